//! Replication: a leader's log to the others, and the others' answers.

use super::{
    DurableChange, Entry, Id, Message, Node, Output, Payload, Progress, Role, SharedBytes, Snapshot,
};

impl Node {
    /// Follows the sender unless its term is old; a refusal tells it the newer term.
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
        self.heard_at = now;
        true
    }

    /// Stores entries that follow a known one; returns success and the index to report.
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
        let reported = entries.last().map_or(prev_index, |e| e.index);
        let fresh: Vec<Entry> = entries
            .into_iter()
            .skip_while(|e| {
                e.index <= self.log.snapshot().index || self.log.term_at(e.index) == Some(e.term)
            })
            .collect();
        if let Some(first) = fresh.first() {
            assert!(
                first.index > self.commit,
                "committed entry {} would be replaced on {}",
                first.index,
                self.id
            );
            self.log.truncate(first.index);
            self.outputs
                .push(Output::Persist(DurableChange::Entries(fresh.clone())));
            for entry in fresh {
                self.log.append(entry);
            }
        }
        (true, reported)
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
        progress.heard_at = now;
        progress.acked_at = progress.acked_at.max(Some(sent_at));
        if success {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
            let behind = progress.next <= self.log.last_index();
            let before = self.commit;
            self.advance_commit();
            if behind || self.commit > before {
                self.send_append(now, from.clone());
            }
        } else {
            let lowest = progress.matched + 1;
            let is_late = index < lowest;
            progress.next = index.clamp(lowest, (progress.next - 1).max(lowest));
            if !is_late {
                self.send_append(now, from.clone());
            }
        }
    }

    pub(in crate::consensus) fn append_own(&mut self, now: u64, payload: Payload) -> u64 {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.term,
            payload,
        };
        let index = entry.index;
        self.outputs
            .push(Output::Persist(DurableChange::Entries(vec![entry.clone()])));
        self.log.append(entry);
        self.refresh_progress(now);
        self.broadcast(now);
        self.advance_commit();
        index
    }

    pub(super) fn broadcast(&mut self, now: u64) {
        self.heartbeat_at = now + self.timing.heartbeat_ms;
        let others: Vec<Id> = self.progress.keys().cloned().collect();
        for id in others {
            self.send_append(now, id);
        }
    }

    pub(super) fn send_append(&mut self, now: u64, to: Id) {
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            let snapshot = self.log.snapshot().clone();
            progress.next = snapshot.index + 1;
            let message = Message::Install {
                term: self.term,
                snapshot,
                sent_at: now,
            };
            self.send(to, message);
            return;
        };
        let entries = self.log.range(prev_index + 1, self.timing.max_entries);
        let message = Message::Append {
            term: self.term,
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            sent_at: now,
        };
        self.send(to, message);
    }

    /// Commits the highest index of the current term that a quorum stores.
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
