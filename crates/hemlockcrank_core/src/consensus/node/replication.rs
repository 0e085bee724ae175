//! Log replication: a leader's messages to the other members, and the replies to them.

use super::{
    DurableChange, Entry, Id, Message, Node, Output, Payload, Progress, Role, SharedBytes, Snapshot,
};

/// Pause after which entries are sent again to a member that has not confirmed them, in milliseconds.
const RESEND_MS: u64 = 300;
/// The same for a snapshot, which takes longer to send and to store.
const INSTALL_MS: u64 = 1_000;
/// Size of the commands in one message after which no further entry is added, in bytes.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// The first entries, up to [`MAX_MESSAGE_BYTES`], at least one.
fn bounded(mut entries: Vec<Entry>) -> Vec<Entry> {
    let mut bytes = 0;
    let fitting = entries.iter().take_while(|entry| {
        let fits = bytes < MAX_MESSAGE_BYTES;
        bytes += match &entry.payload {
            Payload::Command(data) => data.len(),
            Payload::Noop | Payload::Members(_) => 0,
        };
        fits
    });
    let length = fitting.count();
    entries.truncate(length);
    entries
}

impl Node {
    /// Accepts the sender as the leader and returns true, unless its term is old; then replies with
    /// the newer term and returns false.
    pub(super) fn accept_leader(&mut self, now: u64, from: &Id, term: u64, sent_at: u64) -> bool {
        if term < self.term {
            self.reply_append(from.clone(), false, 0, sent_at);
            return false;
        }
        assert!(
            !(term == self.term && self.role == Role::Leader),
            "two leaders in term {term}: {} and {from}",
            self.id
        );
        self.become_follower(now, term, Some(from.clone()));
        self.leader_contact_at = now;
        true
    }

    /// Stores entries if the log matches at `prev_index`; returns whether it does, and the index to
    /// reply with.
    pub(super) fn store(
        &mut self,
        prev_index: u64,
        prev_term: u64,
        entries: Vec<Entry>,
    ) -> (bool, u64) {
        if prev_index > self.log.last_index() {
            return (false, self.log.last_index() + 1);
        }
        if prev_index > self.log.snapshot().index && self.log.term_at(prev_index) != Some(prev_term)
        {
            return (false, prev_index);
        }
        let last_matched = entries.last().map_or(prev_index, |e| e.index);
        let new_entries: Vec<Entry> = entries
            .into_iter()
            .skip_while(|e| {
                e.index <= self.log.snapshot().index || self.log.term_at(e.index) == Some(e.term)
            })
            .collect();
        if let Some(first) = new_entries.first() {
            assert!(
                first.index > self.commit,
                "committed entry {} would be replaced on {}",
                first.index,
                self.id
            );
            self.log.truncate(first.index);
            self.outputs
                .push(Output::Persist(DurableChange::Entries(new_entries.clone())));
            for entry in new_entries {
                self.log.append(entry);
            }
        }
        (true, last_matched)
    }

    pub(super) fn install(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.commit {
            return;
        }
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.log.install(snapshot.clone());
        self.outputs
            .push(Output::Persist(DurableChange::Snapshot(snapshot.clone())));
        self.outputs.push(Output::Restore(snapshot));
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: u64,
        from: &Id,
        term: u64,
        success: bool,
        index: u64,
        sent_at: u64,
    ) {
        if term > self.term {
            self.become_follower(now, term, None);
            return;
        }
        if self.role != Role::Leader || term < self.term {
            return;
        }
        let Some(progress) = self.progress.get_mut(from) else {
            return;
        };
        progress.last_reply_at = now;
        progress.acked_at = progress.acked_at.max(Some(sent_at));
        if success {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
            progress.resend_from = progress.matched + 1;
            let is_behind = progress.next <= self.log.last_index();
            let previous_commit = self.commit;
            self.advance_commit();
            if is_behind || self.commit > previous_commit {
                self.send_append(now, from.clone());
            }
        } else {
            let min_next = progress.matched + 1;
            let is_outdated = index < min_next;
            progress.next = index.clamp(min_next, (progress.next - 1).max(min_next));
            progress.resend_from = progress.next;
            if !is_outdated && now >= progress.installing_until {
                self.send_append(now, from.clone());
            }
        }
    }

    /// Appends entries of the current term as leader and replicates them; returns the index of the
    /// first.
    pub(in crate::consensus) fn append_as_leader(
        &mut self,
        now: u64,
        payloads: Vec<Payload>,
    ) -> u64 {
        let first = self.log.last_index() + 1;
        let term = self.term;
        let entries: Vec<Entry> = (first..)
            .zip(payloads)
            .map(|(index, payload)| Entry {
                index,
                term,
                payload,
            })
            .collect();
        self.outputs
            .push(Output::Persist(DurableChange::Entries(entries.clone())));
        for entry in entries {
            self.log.append(entry);
        }
        self.refresh_progress(now);
        self.broadcast(now);
        self.advance_commit();
        first
    }

    pub(super) fn broadcast(&mut self, now: u64) {
        self.heartbeat_at = now + self.timing.heartbeat_ms;
        let others: Vec<Id> = self.progress.keys().cloned().collect();
        for id in others {
            self.send_append(now, id);
        }
    }

    /// Sends what the member lacks and is not on its way to it yet. What was sent and not confirmed is
    /// sent again after a pause, not with every message.
    pub(super) fn send_append(&mut self, now: u64, to: Id) {
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        if progress.next > progress.resend_from && now >= progress.sent_at + RESEND_MS {
            progress.next = progress.resend_from;
        }
        let snapshot = self.log.snapshot();
        let mut prev_index = progress.next - 1;
        if self.log.term_at(prev_index).is_none() {
            if now >= progress.installing_until {
                progress.next = snapshot.index + 1;
                progress.sent_at = now;
                progress.installing_until = now + INSTALL_MS;
                let message = Message::Install {
                    term: self.term,
                    snapshot: snapshot.clone(),
                    sent_at: now,
                };
                self.send(to, message);
                return;
            }
            prev_index = snapshot.index;
        }
        let entries = match prev_index + 1 == progress.next {
            true => bounded(self.log.range(prev_index + 1, self.timing.max_entries)),
            false => Vec::new(),
        };
        if let Some(last) = entries.last() {
            progress.next = last.index + 1;
            progress.sent_at = now;
        }
        let message = Message::Append {
            term: self.term,
            prev_index,
            prev_term: self.log.term_at(prev_index).unwrap_or_default(),
            entries,
            commit: self.commit,
            sent_at: now,
        };
        self.send(to, message);
    }

    /// Advances the commit index to the highest index that a quorum stores, if its entry is of the
    /// current term.
    pub(super) fn advance_commit(&mut self) {
        let mut matched = self.voter_values(self.log.last_index(), |p| p.matched);
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(self.log.config().quorum() - 1).copied() else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.term) {
            self.commit = index;
        }
    }

    pub(super) fn refresh_progress(&mut self, now: u64) {
        let config = self.log.config();
        self.progress.retain(|id, _| config.contains(id));
        for id in config.members().filter(|id| **id != self.id) {
            self.progress
                .entry(id.clone())
                .or_insert_with(|| Progress::new(now, self.log.last_index()));
        }
    }

    pub(super) fn compact(&mut self, index: u64, data: SharedBytes) {
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        if index > self.applied || index <= self.log.snapshot().index {
            return;
        }
        let snapshot = Snapshot {
            index,
            term,
            config: self.log.config_at(index),
            data,
        };
        self.log.install(snapshot.clone());
        self.outputs
            .push(Output::Persist(DurableChange::Snapshot(snapshot)));
    }

    pub(super) fn reply_append(&mut self, to: Id, success: bool, index: u64, sent_at: u64) {
        let message = Message::AppendReply {
            term: self.term,
            success,
            index,
            sent_at,
        };
        self.send(to, message);
    }
}
