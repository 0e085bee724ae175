//! The entries of the replicated log, and the snapshot that replaces its compacted prefix.

use serde::{Deserialize, Serialize};

use super::{Config, SharedBytes};

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Appended by a new leader, to commit the entries before it.
    Noop,
    /// A command for the state machine, encoded by the caller.
    Command(SharedBytes),
    /// A new membership, effective as soon as it is appended.
    Members(Config),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log, counted from 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Content.
    pub payload: Payload,
}

/// The state after all entries up to and including `index`, which it replaces.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last index that the snapshot covers; 0 for the empty snapshot.
    pub index: u64,
    /// Term of the entry at `index`.
    pub term: u64,
    /// Membership as of `index`.
    pub config: Config,
    /// Encoded state machine.
    pub data: SharedBytes,
}

/// A snapshot and the entries that follow it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    config: Config,
}

impl Log {
    /// Creates a log that starts after `snapshot`.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let config = snapshot.config.clone();
        let mut log = Self {
            snapshot,
            entries,
            config,
        };
        log.refresh_config();
        log
    }

    /// The snapshot at the start of the log.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Effective membership: the latest in the log, committed or not.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Index of the last entry, or of the snapshot if there are no entries.
    pub fn last_index(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.index, |e| e.index)
    }

    /// Term of the last entry, or of the snapshot if there are no entries.
    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.term, |e| e.term)
    }

    /// Term at `index`; `None` before the snapshot's index and past the end.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Entry at `index`, unless it is compacted or past the end.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Up to `limit` entries, starting at `index`.
    pub fn range(&self, index: u64, limit: usize) -> Vec<Entry> {
        let skip = index.saturating_sub(self.snapshot.index + 1);
        self.entries
            .iter()
            .skip(usize::try_from(skip).unwrap_or(usize::MAX))
            .take(limit)
            .cloned()
            .collect()
    }

    /// Number of entries that are not compacted.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether every entry is compacted.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Index of the last membership entry, or of the snapshot if the log has none.
    pub(crate) fn config_index(&self) -> u64 {
        self.entries
            .iter()
            .rev()
            .find(|e| matches!(e.payload, Payload::Members(_)))
            .map_or(self.snapshot.index, |e| e.index)
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Members(config) = &entry.payload {
            self.config = config.clone();
        }
        self.entries.push(entry);
    }

    /// Removes all entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.snapshot.index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.refresh_config();
    }

    /// Replaces the log up to the snapshot's index by `snapshot`. Later entries remain only if the
    /// log agrees with the snapshot at that index.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let matches = self.term_at(snapshot.index) == Some(snapshot.term);
        if matches {
            self.entries.retain(|e| e.index > snapshot.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
        self.refresh_config();
    }

    /// Membership as of `index`.
    pub(crate) fn config_at(&self, index: u64) -> Config {
        self.entries
            .iter()
            .rev()
            .filter(|e| e.index <= index)
            .find_map(|e| match &e.payload {
                Payload::Members(config) => Some(config.clone()),
                Payload::Noop | Payload::Command(_) => None,
            })
            .unwrap_or_else(|| self.snapshot.config.clone())
    }

    fn refresh_config(&mut self) {
        self.config = self.config_at(u64::MAX);
    }
}
