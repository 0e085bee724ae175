//! The log entries that this host keeps for the hosts that poll it.
//!
//! A configuration is large, so a host without operators receives what changed since the version
//! that it has, without the text. Of several configurations in a row it receives the last one alone.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    catalog::{Catalog, Delta},
    state::{Command, Reply, State},
};

/// Number of applied entries kept, also after the log is compacted; a host that is further behind
/// gets the whole state.
const ENTRIES_KEPT: usize = 4_096;
/// Number of configurations kept as the start of a change.
const CATALOGS_KEPT: usize = 16;

/// A committed log entry, as sent to a polling host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Log index.
    pub index: u64,
    /// What the entry changes.
    pub content: Content,
}

/// Content of a log entry, as sent to a polling host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The command.
    Command(Command),
    /// The command was a configuration; this is its difference to the host's.
    Catalog(Arc<Delta>),
    /// Nothing that the host has to apply: an entry of the consensus protocol, or a configuration
    /// that a later one replaces.
    Nothing,
}

impl Content {
    /// The command to apply to `state`; an error if a change starts from another configuration.
    ///
    /// # Errors
    ///
    /// [`OtherBase`] if the change does not start from the configuration in `state`.
    pub fn into_command(self, state: &State) -> Result<Option<Command>, OtherBase> {
        match self {
            Self::Nothing => Ok(None),
            Self::Command(command) => Ok(Some(command)),
            Self::Catalog(delta) => match delta.apply(&state.catalog) {
                Some(catalog) => Ok(Some(Command::Catalog(Arc::new(catalog)))),
                None => Err(OtherBase),
            },
        }
    }
}

/// A change starts from a configuration that the host does not have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the change starts from another configuration")]
pub struct OtherBase;

/// A host that polls, and how far it has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Last log index that it has applied.
    pub applied: u64,
    /// Version of its configuration.
    pub catalog_version: u64,
    /// Whether it serves operators, who may ask for the text of the configuration.
    pub serves_operators: bool,
}

/// One applied entry; a configuration that a later one replaces is left out.
#[derive(Debug)]
struct Entry {
    index: u64,
    command: Option<Command>,
}

/// What a polling host has to apply.
#[derive(Debug)]
pub enum Answer {
    /// The entries that it lacks.
    Updates(Vec<Update>),
    /// The whole state, because some of the entries are no longer kept.
    State(Box<State>),
}

/// The last applied entries, oldest first, without gaps.
#[derive(Debug, Default)]
pub struct Updates {
    entries: VecDeque<Entry>,
    /// Index of the only configuration among the entries.
    catalog_index: Option<u64>,
    /// Recent configurations without their text, oldest first.
    catalogs: VecDeque<Arc<Catalog>>,
    /// Changes to the newest configuration, with the version that each starts from.
    deltas: Vec<(u64, Arc<Delta>)>,
}

impl Updates {
    /// Keeps an applied entry.
    pub fn push(&mut self, index: u64, command: Option<&Command>, outcome: &Reply) {
        if self.entries.len() == ENTRIES_KEPT {
            self.entries.pop_front();
        }
        let mut command = command.cloned();
        match &command {
            Some(Command::Catalog(_)) if *outcome != Reply::Done => command = None,
            Some(Command::Catalog(catalog)) => {
                self.drop_catalog_entry();
                self.catalog_index = Some(index);
                self.note_catalog(catalog);
            }
            _ => {}
        }
        self.entries.push_back(Entry { index, command });
    }

    /// Drops all entries: the state was replaced.
    pub fn restart(&mut self, catalog: &Arc<Catalog>) {
        self.entries.clear();
        self.catalog_index = None;
        self.note_catalog(catalog);
    }

    /// What a host has to apply to reach `state`, the state after the last entry.
    pub fn answer(&mut self, host: Progress, state: &State) -> Answer {
        let all_kept = self
            .entries
            .front()
            .is_some_and(|first| first.index <= host.applied + 1);
        if host.applied < state.index && !all_kept {
            let mut state = state.clone();
            if !host.serves_operators {
                state.catalog = self.without_text(&state.catalog);
            }
            return Answer::State(Box::new(state));
        }
        let first = self
            .entries
            .partition_point(|entry| entry.index <= host.applied);
        let last = self.entries.len();
        let update = |position: usize| {
            let index = self.entries[position].index;
            let content = match self.entries[position].command.clone() {
                None => Content::Nothing,
                Some(Command::Catalog(catalog)) if !host.serves_operators => {
                    self.change_to(&catalog, host.catalog_version)
                }
                Some(command) => Content::Command(command),
            };
            Update { index, content }
        };
        Answer::Updates((first..last).map(update).collect())
    }

    /// The content that brings a host from the configuration `base` to the newest one.
    fn change_to(&mut self, newest: &Arc<Catalog>, base: u64) -> Content {
        if base >= newest.version() {
            return Content::Nothing;
        }
        if let Some((_, delta)) = self.deltas.iter().find(|(version, _)| *version == base) {
            return Content::Catalog(Arc::clone(delta));
        }
        let old = self.catalogs.iter().find(|old| old.version() == base);
        match old {
            Some(old) => {
                let delta = Arc::new(Delta::between(old, newest));
                self.deltas.push((base, Arc::clone(&delta)));
                Content::Catalog(delta)
            }
            None => Content::Command(Command::Catalog(self.without_text(newest))),
        }
    }

    fn without_text(&self, catalog: &Arc<Catalog>) -> Arc<Catalog> {
        match self.catalogs.back() {
            Some(newest) if newest.version() == catalog.version() => Arc::clone(newest),
            _ => Arc::new(catalog.without_text()),
        }
    }

    fn note_catalog(&mut self, catalog: &Catalog) {
        let known = self.catalogs.back().map_or(0, |newest| newest.version());
        if catalog.version() <= known {
            return;
        }
        if self.catalogs.len() == CATALOGS_KEPT {
            self.catalogs.pop_front();
        }
        self.deltas.clear();
        self.catalogs.push_back(Arc::new(catalog.without_text()));
    }

    fn drop_catalog_entry(&mut self) {
        let Some(index) = self.catalog_index else {
            return;
        };
        let position = self.entries.partition_point(|entry| entry.index < index);
        if let Some(entry) = self.entries.get_mut(position) {
            entry.command = None;
        }
    }
}
