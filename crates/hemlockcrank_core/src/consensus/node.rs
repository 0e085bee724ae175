//! One member of the voting group.

mod election;
mod replication;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};
use thiserror::Error;

use super::{
    Config, Entry, Envelope, Id, Log, Message, Payload, SharedBytes, Snapshot, Timing,
    progress::Progress,
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
        data: SharedBytes,
    },
}

/// What the caller has to carry out, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Sync to disk before anything that follows.
    Persist(DurableChange),
    /// Deliver to another member, at most once.
    Send(Envelope),
    /// Apply a committed entry.
    Apply(Entry),
    /// Replace the state machine.
    Restore(Snapshot),
}

/// One change of the durable state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DurableChange {
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
pub struct DurableState {
    /// Current term.
    pub term: u64,
    /// Candidate voted for in `term`.
    pub vote: Option<Id>,
    /// Snapshot at the beginning of the log.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl DurableState {
    /// Applies one durable change.
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
        let saved = DurableState {
            snapshot,
            ..DurableState::default()
        };
        Self::restore(id, saved, timing, now)
    }

    /// A member that restarts from its disk.
    ///
    /// The first election timeout counts from `now`, so that a vote given before the restart and a
    /// lease built on it are still respected.
    pub fn restore(id: Id, saved: DurableState, timing: Timing, now: u64) -> Self {
        let base = saved.snapshot.index;
        let spread = spread_of(&id, timing.election_spread_ms);
        let election_at = now + timing.election_min_ms + spread;
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
    pub fn durable_vote(&self) -> DurableChange {
        DurableChange::Vote {
            term: self.term,
            vote: self.vote.clone(),
        }
    }

    /// Whether an entry of the current term is committed, so that the commit index is current.
    pub fn has_committed_in_term(&self) -> bool {
        self.role == Role::Leader && self.log.term_at(self.commit) == Some(self.term)
    }

    /// Time until which no other leader can have been elected; `None` when this node does not lead.
    pub fn lease_until(&self) -> Option<u64> {
        if !self.has_committed_in_term() {
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
    pub fn propose(
        &mut self,
        now: u64,
        data: SharedBytes,
    ) -> Result<(u64, Vec<Output>), ProposeError> {
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
            let again = self.role == Role::PreCandidate;
            self.reset_election(now, random);
            if again {
                // A pre-vote disturbs nobody, and voters that restarted together refuse the first.
                let pause = self.timing.election_min_ms / 4;
                self.election_at = now + pause + random % (pause + 1);
            }
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

/// Part of the spread that an identity starts with, so that voters that restart together differ.
fn spread_of(id: &Id, spread_ms: u64) -> u64 {
    let bytes = id.host.bytes().chain(id.incarnation.to_le_bytes());
    let mixed = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (mixed >> 16) % (spread_ms + 1)
}
