//! One member of the voting group.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};
use thiserror::Error;

use super::{
    Config, Data, Entry, Envelope, Id, Log, Message, Payload, Snapshot, Timing, progress::Progress,
};

/// Part of its election timeout that a leader trusts, in percent; the rest allows for clock drift.
const LEASE_PERCENT: u64 = 80;

/// The part a node plays in its term.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it could win an election.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Replicates its log.
    Leader,
}

/// What happens to a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed; `random` spreads the election timeouts.
    Tick {
        /// Any random number.
        random: u64,
    },
    /// A message arrived.
    Receive(Envelope),
    /// Starts an election at once, without the pre-vote.
    Campaign,
    /// A host with a disk asks to receive the log.
    Join(Id),
    /// The state machine as of the applied index; the log before it may go.
    Compact {
        /// Applied index that `data` covers.
        index: u64,
        /// Encoded state machine.
        data: Data,
    },
}

/// What the caller has to carry out, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Sync to disk before anything that follows.
    Persist(Persist),
    /// Deliver to another member, at most once.
    Send(Envelope),
    /// Apply a committed entry.
    Apply(Entry),
    /// Replace the state machine.
    Restore(Snapshot),
}

/// One change of the durable state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Persist {
    /// Current term and the vote given in it.
    Vote {
        /// Current term.
        term: u64,
        /// Candidate voted for in `term`.
        vote: Option<Id>,
    },
    /// Drop entries from the first one's index on, then append these.
    Entries(Vec<Entry>),
    /// Replace the log up to the snapshot's index.
    Snapshot(Snapshot),
}

/// Durable state read back at start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Saved {
    /// Current term.
    pub term: u64,
    /// Candidate voted for in `term`.
    pub vote: Option<Id>,
    /// Snapshot at the beginning of the log.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Saved {
    /// Applies one durable change.
    pub fn apply(&mut self, change: Persist) {
        match change {
            Persist::Vote { term, vote } => {
                self.term = term;
                self.vote = vote;
            }
            Persist::Entries(entries) => {
                if let Some(first) = entries.first().map(|e| e.index) {
                    self.entries.retain(|e| e.index < first);
                }
                self.entries.extend(entries);
            }
            Persist::Snapshot(snapshot) => {
                let mut log = Log::new(
                    std::mem::take(&mut self.snapshot),
                    std::mem::take(&mut self.entries),
                );
                log.install(snapshot);
                self.snapshot = log.snapshot().clone();
                self.entries = log.range(0, usize::MAX);
            }
        }
    }
}

/// Why a proposal was not appended. Nothing was written: *not run*.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ProposeError {
    /// This node does not lead.
    #[error("this host does not lead the control group (leader: {leader:?})")]
    NotLeader {
        /// Leader of the present term, if known.
        leader: Option<Id>,
    },
}

/// One control host's state of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    pub(super) id: Id,
    pub(super) timing: Timing,
    pub(super) term: u64,
    pub(super) vote: Option<Id>,
    pub(super) log: Log,
    pub(super) commit: u64,
    pub(super) applied: u64,
    pub(super) role: Role,
    pub(super) leader: Option<Id>,
    /// Last time a leader was heard, a vote given or the process started.
    pub(super) heard_at: u64,
    pub(super) election_at: u64,
    pub(super) heartbeat_at: u64,
    pub(super) votes: BTreeSet<Id>,
    pub(super) progress: BTreeMap<Id, Progress>,
    pub(super) outputs: Vec<Output>,
}

impl Node {
    /// A member that starts with an empty log and a given membership.
    pub fn new(id: Id, config: Config, timing: Timing, now: u64) -> Self {
        let snapshot = Snapshot {
            config,
            ..Snapshot::default()
        };
        let saved = Saved {
            snapshot,
            ..Saved::default()
        };
        Self::restore(id, saved, timing, now)
    }

    /// A member that restarts from its disk.
    ///
    /// The first election timeout counts from `now`, so that a vote given before the restart and a
    /// lease built on it are still respected.
    pub fn restore(id: Id, saved: Saved, timing: Timing, now: u64) -> Self {
        let base = saved.snapshot.index;
        let election_at = now + timing.election_min_ms + timing.election_spread_ms;
        Self {
            id,
            timing,
            term: saved.term,
            vote: saved.vote,
            log: Log::new(saved.snapshot, saved.entries),
            commit: base,
            applied: base,
            role: Role::Follower,
            leader: None,
            heard_at: now,
            election_at,
            heartbeat_at: now,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            outputs: Vec::new(),
        }
    }

    /// This member's identity.
    pub fn id(&self) -> &Id {
        &self.id
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Leader of the current term, if known.
    pub fn leader(&self) -> Option<&Id> {
        self.leader.as_ref()
    }

    /// Highest index known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The log, for inspection.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Term and vote, as a durable change.
    pub fn durable_vote(&self) -> Persist {
        Persist::Vote {
            term: self.term,
            vote: self.vote.clone(),
        }
    }

    /// Whether an entry of the current term is committed, so that the commit index is current.
    pub fn is_settled(&self) -> bool {
        self.role == Role::Leader && self.log.term_at(self.commit) == Some(self.term)
    }

    /// Time until which no other leader can have been elected; `None` when this node does not lead.
    pub fn lease_until(&self) -> Option<u64> {
        if !self.is_settled() {
            return None;
        }
        let quorum = self.log.config().quorum();
        let trusted = self.timing.election_min_ms * LEASE_PERCENT / 100;
        if quorum == 1 && self.log.config().voters.contains(&self.id) {
            return Some(u64::MAX);
        }
        let mut acked = self.voter_values(u64::MAX, |p| p.acked_at.unwrap_or(0));
        acked.sort_unstable_by(|a, b| b.cmp(a));
        acked.get(quorum - 1).map(|at| at + trusted)
    }

    /// Advances the protocol and returns what to carry out.
    pub fn step(&mut self, now: u64, input: Input) -> Vec<Output> {
        match input {
            Input::Tick { random } => self.tick(now, random),
            Input::Receive(envelope) => self.receive(now, envelope),
            Input::Campaign => self.campaign(now, false),
            Input::Join(id) => self.admit_learner(now, id),
            Input::Compact { index, data } => self.compact(index, data),
        }
        self.apply_committed();
        std::mem::take(&mut self.outputs)
    }

    /// Appends a command if this node leads; returns its index and what to carry out.
    ///
    /// # Errors
    ///
    /// [`ProposeError::NotLeader`] when another node leads or none does.
    pub fn propose(&mut self, now: u64, data: Data) -> Result<(u64, Vec<Output>), ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader {
                leader: self.leader.clone(),
            });
        }
        let index = self.append_own(now, Payload::Command(data));
        self.apply_committed();
        Ok((index, std::mem::take(&mut self.outputs)))
    }

    // ---------------------------------------------------------------------------------------------
    // Time

    fn tick(&mut self, now: u64, random: u64) {
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else if now >= self.election_at {
            self.reset_election(now, random);
            if self.log.config().voters.contains(&self.id) {
                self.campaign(now, true);
            }
        }
    }

    fn tick_leader(&mut self, now: u64) {
        let window = self.timing.election_min_ms;
        let heard = self.voter_values(now, |p| p.heard_at);
        let alive = heard.iter().filter(|at| **at + window >= now).count();
        if alive < self.log.config().quorum() {
            self.become_follower(now, self.term, None);
            return;
        }
        self.manage_membership(now);
        if now >= self.heartbeat_at {
            self.broadcast(now);
        }
    }

    fn reset_election(&mut self, now: u64, random: u64) {
        let spread = random % (self.timing.election_spread_ms + 1);
        self.election_at = now + self.timing.election_min_ms + spread;
    }

    // ---------------------------------------------------------------------------------------------
    // Elections

    fn campaign(&mut self, now: u64, pre: bool) {
        if !self.log.config().voters.contains(&self.id) {
            return;
        }
        self.leader = None;
        self.votes = BTreeSet::from([self.id.clone()]);
        let term = self.term + 1;
        if pre {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            self.set_vote(term, Some(self.id.clone()));
        }
        let message = Message::Vote {
            term,
            pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&message);
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: u64) {
        let voters = &self.log.config().voters;
        let given = self.votes.iter().filter(|id| voters.contains(*id)).count();
        if given < self.log.config().quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(now, false),
            Role::Candidate => self.become_leader(now),
            Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self, now: u64) {
        self.role = Role::Leader;
        self.leader = Some(self.id.clone());
        self.progress.clear();
        self.refresh_progress(now);
        self.append_own(now, Payload::Noop);
    }

    fn become_follower(&mut self, now: u64, term: u64, leader: Option<Id>) {
        if term > self.term {
            self.set_vote(term, None);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.progress.clear();
        let spread = self.timing.election_spread_ms / 2;
        self.election_at = now + self.timing.election_min_ms + spread;
    }

    fn set_vote(&mut self, term: u64, vote: Option<Id>) {
        self.term = term;
        self.vote.clone_from(&vote);
        self.outputs
            .push(Output::Persist(Persist::Vote { term, vote }));
    }

    fn hears_leader(&self, now: u64) -> bool {
        let recent = now < self.heard_at + self.timing.election_min_ms;
        recent && (self.leader.is_some() || self.role == Role::Follower)
    }

    // ---------------------------------------------------------------------------------------------
    // Messages

    fn receive(&mut self, now: u64, envelope: Envelope) {
        if envelope.to != self.id {
            return;
        }
        let from = envelope.from;
        match envelope.message {
            Message::Vote {
                term,
                pre,
                last_index,
                last_term,
            } => self.on_vote(now, from, term, pre, (last_term, last_index)),
            Message::VoteReply { term, pre, granted } => {
                self.on_vote_reply(now, from, term, pre, granted);
            }
            Message::Append {
                term,
                prev_index,
                prev_term,
                entries,
                commit,
                sent_at,
            } => {
                if self.accept_leader(now, &from, term, sent_at) {
                    let (success, index) = self.store(prev_index, prev_term, entries);
                    if success {
                        self.commit = self.commit.max(commit.min(index));
                    }
                    self.reply_append(from, success, index, sent_at);
                }
            }
            Message::Install {
                term,
                snapshot,
                sent_at,
            } => {
                if self.accept_leader(now, &from, term, sent_at) {
                    let index = snapshot.index;
                    self.install(snapshot);
                    self.reply_append(from, true, index, sent_at);
                }
            }
            Message::AppendReply {
                term,
                success,
                index,
                sent_at,
            } => self.on_append_reply(now, &from, term, success, index, sent_at),
        }
    }

    fn on_vote(&mut self, now: u64, from: Id, term: u64, pre: bool, last: (u64, u64)) {
        let current = (self.log.last_term(), self.log.last_index());
        let sticky = self.hears_leader(now) || self.role == Role::Leader;
        if !pre && !sticky && term > self.term {
            self.become_follower(now, term, None);
        }
        let free = match &self.vote {
            Some(vote) => term > self.term || (term == self.term && *vote == from),
            None => term >= self.term,
        };
        let granted = !sticky && free && last >= current && (pre || term == self.term);
        if granted && !pre {
            if self.vote.is_none() {
                self.set_vote(term, Some(from.clone()));
            }
            self.election_at = now + self.timing.election_min_ms + self.timing.election_spread_ms;
        }
        let term = if granted { term } else { self.term };
        self.send(from, Message::VoteReply { term, pre, granted });
    }

    fn on_vote_reply(&mut self, now: u64, from: Id, term: u64, pre: bool, granted: bool) {
        let expected = match self.role {
            Role::PreCandidate => pre && term == self.term + 1,
            Role::Candidate => !pre && term == self.term,
            Role::Follower | Role::Leader => false,
        };
        if granted && expected {
            self.votes.insert(from);
            self.count_votes(now);
        } else if !granted && term > self.term {
            self.become_follower(now, term, None);
        }
    }

    /// Follows the sender unless its term is old; a refusal tells it the newer term.
    fn accept_leader(&mut self, now: u64, from: &Id, term: u64, sent_at: u64) -> bool {
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
    fn store(&mut self, prev_index: u64, prev_term: u64, entries: Vec<Entry>) -> (bool, u64) {
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
                .push(Output::Persist(Persist::Entries(fresh.clone())));
            for entry in fresh {
                self.log.append(entry);
            }
        }
        (true, reported)
    }

    fn install(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.commit {
            return;
        }
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.log.install(snapshot.clone());
        self.outputs
            .push(Output::Persist(Persist::Snapshot(snapshot.clone())));
        self.outputs.push(Output::Restore(snapshot));
    }

    fn on_append_reply(
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

    // ---------------------------------------------------------------------------------------------
    // Replication

    pub(super) fn append_own(&mut self, now: u64, payload: Payload) -> u64 {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.term,
            payload,
        };
        let index = entry.index;
        self.outputs
            .push(Output::Persist(Persist::Entries(vec![entry.clone()])));
        self.log.append(entry);
        self.refresh_progress(now);
        self.broadcast(now);
        self.advance_commit();
        index
    }

    fn broadcast(&mut self, now: u64) {
        self.heartbeat_at = now + self.timing.heartbeat_ms;
        let others: Vec<Id> = self.progress.keys().cloned().collect();
        for id in others {
            self.send_append(now, id);
        }
    }

    fn send_append(&mut self, now: u64, to: Id) {
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
        let entries = self.log.range(prev_index + 1, self.timing.batch);
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
    fn advance_commit(&mut self) {
        let mut matched = self.voter_values(self.log.last_index(), |p| p.matched);
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(self.log.config().quorum() - 1).copied() else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.term) {
            self.commit = index;
        }
    }

    /// One value for each voter: `own` for this node, `read` of the progress for the others.
    fn voter_values<F>(&self, own: u64, read: F) -> Vec<u64>
    where
        F: Fn(&Progress) -> u64,
    {
        let voters = self.log.config().voters.iter();
        voters
            .map(|id| match self.progress.get(id) {
                _ if *id == self.id => own,
                Some(progress) => read(progress),
                None => 0,
            })
            .collect()
    }

    fn refresh_progress(&mut self, now: u64) {
        let config = self.log.config();
        self.progress.retain(|id, _| config.contains(id));
        for id in config.members().filter(|id| **id != self.id) {
            self.progress
                .entry(id.clone())
                .or_insert_with(|| Progress::new(now, self.log.last_index()));
        }
    }

    fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                return;
            };
            self.applied += 1;
            self.outputs.push(Output::Apply(entry));
        }
    }

    fn compact(&mut self, index: u64, data: Data) {
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
            .push(Output::Persist(Persist::Snapshot(snapshot)));
    }

    fn reply_append(&mut self, to: Id, success: bool, index: u64, sent_at: u64) {
        let message = Message::AppendReply {
            term: self.term,
            success,
            index,
            sent_at,
        };
        self.send(to, message);
    }

    fn send_to_voters(&mut self, message: &Message) {
        let mut others = self.log.config().voters.clone();
        others.remove(&self.id);
        for id in others {
            self.send(id, message.clone());
        }
    }

    fn send(&mut self, to: Id, message: Message) {
        let envelope = Envelope {
            from: self.id.clone(),
            to,
            message,
        };
        self.outputs.push(Output::Send(envelope));
    }
}
