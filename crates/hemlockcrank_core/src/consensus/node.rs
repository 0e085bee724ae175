//! The state machine of one member of the group.

mod election;
mod replication;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};
use thiserror::Error;

use crate::Name;

use super::{
    Config, Entry, Envelope, Id, Log, Message, Payload, SharedBytes, Snapshot, Timing,
    progress::Progress,
};

/// Length of a leader's lease as a percentage of the election timeout; the rest allows for clock
/// drift.
const LEASE_PERCENT: u64 = 80;

/// The role of a node in its term.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Replicates from a leader, or waits for one.
    Follower,
    /// Asks in a pre-vote whether it could win an election.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Replicates its log to the other members.
    Leader,
}

/// An event for a node to process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed; `random` randomises the election timeout.
    Tick {
        /// Any random number.
        random: u64,
    },
    /// A message from another member arrived.
    Receive(Envelope),
    /// The caller requests an election at once, without the pre-vote.
    Campaign,
    /// A host with a control disk asks to receive the log as a learner.
    Join(Id),
    /// The caller requests compaction of the log: a snapshot replaces the entries up to an applied
    /// index.
    Compact {
        /// Applied index that `data` covers.
        index: u64,
        /// Encoded state machine.
        data: SharedBytes,
    },
}

/// An action for the caller, to be executed in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Write the change and sync it to disk before executing any later output.
    Persist(DurableChange),
    /// Send to another member, at most once.
    Send(Envelope),
    /// Apply a committed entry to the state machine.
    Apply(Entry),
    /// Replace the state machine by the snapshot's.
    Restore(Snapshot),
}

/// A change to [`DurableState`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DurableChange {
    /// Current term and the vote granted in it.
    Vote {
        /// Current term.
        term: u64,
        /// Candidate voted for in `term`.
        vote: Option<Id>,
    },
    /// Remove the log's entries from the index of the first of these on, then append these.
    Entries(Vec<Entry>),
    /// Replace the log up to the snapshot's index by the snapshot.
    Snapshot(Snapshot),
}

/// The state on disk, from which a node restarts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// Current term.
    pub term: u64,
    /// Candidate voted for in `term`.
    pub vote: Option<Id>,
    /// Snapshot at the start of the log.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl DurableState {
    /// The changes that lead from an empty state to this one.
    pub fn to_changes(&self) -> Vec<DurableChange> {
        vec![
            DurableChange::Vote {
                term: self.term,
                vote: self.vote.clone(),
            },
            DurableChange::Snapshot(self.snapshot.clone()),
            DurableChange::Entries(self.entries.clone()),
        ]
    }

    /// Applies one change.
    pub fn apply(&mut self, change: DurableChange) {
        match change {
            DurableChange::Vote { term, vote } => {
                self.term = term;
                self.vote = vote;
            }
            DurableChange::Entries(entries) => {
                if let Some(first) = entries.first().map(|e| e.index) {
                    self.entries.retain(|e| e.index < first);
                }
                self.entries.extend(entries);
            }
            DurableChange::Snapshot(snapshot) => {
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

/// The reason why a proposal was not appended. Nothing was written, so its outcome is *not run*.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ProposeError {
    /// This node is not the leader.
    #[error("this host does not lead the control group (leader: {leader:?})")]
    NotLeader {
        /// Leader of the current term, if known.
        leader: Option<Id>,
    },
}

/// The protocol state of one member of the group.
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
    /// Local time of the last message from a leader, or of the start of the process.
    pub(super) leader_contact_at: u64,
    /// Local time at which the election timeout expires.
    pub(super) election_at: u64,
    /// Local time at which a leader sends its next heartbeat.
    pub(super) heartbeat_at: u64,
    pub(super) votes: BTreeSet<Id>,
    pub(super) progress: BTreeMap<Id, Progress>,
    pub(super) outputs: Vec<Output>,
}

impl Node {
    /// Creates a member with an empty log and the membership `config`.
    pub fn new(id: Id, config: Config, timing: Timing, now: u64) -> Self {
        let snapshot = Snapshot {
            config,
            ..Snapshot::default()
        };
        let saved = DurableState {
            snapshot,
            ..DurableState::default()
        };
        Self::restore(id, saved, timing, now)
    }

    /// Creates a member from its durable state after a restart.
    ///
    /// The first election timeout starts at `now`, so that the node does not vote against a leader
    /// whose lease depends on a vote that the node granted before the restart.
    pub fn restore(id: Id, saved: DurableState, timing: Timing, now: u64) -> Self {
        let snapshot_index = saved.snapshot.index;
        let offset = initial_offset(&id, timing.election_spread_ms);
        let election_at = now + timing.election_min_ms + offset;
        Self {
            id,
            timing,
            term: saved.term,
            vote: saved.vote,
            log: Log::new(saved.snapshot, saved.entries),
            commit: snapshot_index,
            applied: snapshot_index,
            role: Role::Follower,
            leader: None,
            leader_contact_at: now,
            election_at,
            heartbeat_at: now,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            outputs: Vec::new(),
        }
    }

    /// Id of this member.
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

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The current term and vote, as a change to the durable state.
    pub fn durable_vote(&self) -> DurableChange {
        DurableChange::Vote {
            term: self.term,
            vote: self.vote.clone(),
        }
    }

    /// Whether this node leads and has committed an entry of its term, so that its commit index is
    /// up to date.
    pub fn has_committed_in_term(&self) -> bool {
        self.role == Role::Leader && self.log.term_at(self.commit) == Some(self.term)
    }

    /// Hosts that have answered this node in its term as the leader.
    pub fn participants(&self) -> BTreeSet<Name> {
        let answered = self
            .progress
            .iter()
            .filter(|(_, progress)| progress.acked_at.is_some());
        answered.map(|(id, _)| id.host.clone()).collect()
    }

    /// Local time until which no other leader can be elected. `None` if this node does not lead or
    /// has not committed an entry of its term.
    pub fn lease_until(&self) -> Option<u64> {
        if !self.has_committed_in_term() {
            return None;
        }
        let quorum = self.log.config().quorum();
        let lease_ms = self.timing.election_min_ms * LEASE_PERCENT / 100;
        if quorum == 1 && self.log.config().voters.contains(&self.id) {
            return Some(u64::MAX);
        }
        let mut acked = self.voter_values(u64::MAX, |p| p.acked_at.unwrap_or(0));
        acked.sort_unstable_by(|a, b| b.cmp(a));
        acked.get(quorum - 1).map(|at| at + lease_ms)
    }

    /// Processes one input and returns the outputs for the caller.
    pub fn step(&mut self, now: u64, input: Input) -> Vec<Output> {
        match input {
            Input::Tick { random } => self.tick(now, random),
            Input::Receive(envelope) => self.receive(now, envelope),
            Input::Campaign => self.campaign(now, false),
            Input::Join(id) => self.add_learner(now, id),
            Input::Compact { index, data } => self.compact(index, data),
        }
        self.apply_committed();
        std::mem::take(&mut self.outputs)
    }

    /// Appends a command if this node leads; returns its index and the outputs for the caller.
    ///
    /// # Errors
    ///
    /// [`ProposeError::NotLeader`] if another node leads or there is no leader.
    pub fn propose(
        &mut self,
        now: u64,
        data: SharedBytes,
    ) -> Result<(u64, Vec<Output>), ProposeError> {
        self.propose_all(now, vec![data])
    }

    /// Appends several commands as [`Self::propose`] does, to be stored and sent together; returns the
    /// index of the first.
    ///
    /// # Errors
    ///
    /// [`ProposeError::NotLeader`] if another node leads or there is no leader.
    pub fn propose_all(
        &mut self,
        now: u64,
        commands: Vec<SharedBytes>,
    ) -> Result<(u64, Vec<Output>), ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader {
                leader: self.leader.clone(),
            });
        }
        let payloads = commands.into_iter().map(Payload::Command).collect();
        let index = self.append_as_leader(now, payloads);
        self.apply_committed();
        Ok((index, std::mem::take(&mut self.outputs)))
    }

    // ---------------------------------------------------------------------------------------------
    // Time

    fn tick(&mut self, now: u64, random: u64) {
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else if now >= self.election_at {
            let is_retry = self.role == Role::PreCandidate;
            self.reset_election(now, random);
            if is_retry {
                // A pre-vote does not disturb the group, so it is retried early: voters that
                // restarted together refuse each other's first pre-vote.
                let retry_ms = self.timing.election_min_ms / 4;
                self.election_at = now + retry_ms + random % (retry_ms + 1);
            }
            if self.log.config().voters.contains(&self.id) {
                self.campaign(now, true);
            }
        }
    }

    fn tick_leader(&mut self, now: u64) {
        let window = self.timing.election_min_ms;
        let last_replies = self.voter_values(now, |p| p.last_reply_at);
        let responsive = last_replies
            .iter()
            .filter(|at| **at + window >= now)
            .count();
        if responsive < self.log.config().quorum() {
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
    // Messages

    fn receive(&mut self, now: u64, envelope: Envelope) {
        if envelope.to != self.id {
            return;
        }
        let from = envelope.from;
        match envelope.message {
            Message::Vote {
                term,
                pre_vote,
                last_index,
                last_term,
            } => self.on_vote(now, from, term, pre_vote, (last_term, last_index)),
            Message::VoteReply {
                term,
                pre_vote,
                granted,
            } => {
                self.on_vote_reply(now, from, term, pre_vote, granted);
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

    /// One value per voter: `own` for this node, and `read` applied to the progress of the others.
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

    fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                return;
            };
            self.applied += 1;
            self.outputs.push(Output::Apply(entry));
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

/// Offset of a member's first election timeout, derived from its id, so that voters that restart
/// together do not campaign at the same time.
fn initial_offset(id: &Id, spread_ms: u64) -> u64 {
    let bytes = id.host.bytes().chain(id.incarnation.to_le_bytes());
    let mixed = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (mixed >> 16) % (spread_ms + 1)
}
