//! This host's membership in the control group: the consensus node and its journal.

use std::{collections::BTreeMap, path::Path};

use hemlockcrank_core::{
    Name,
    consensus::{
        Config, DurableChange, DurableState, Entry, Envelope, Id, Input, Node, Output, Payload,
        SharedBytes, Snapshot, Timing,
    },
    state::{Command, Reply, State},
};
use hemlockcrank_wire::{CodecError, ProposeReply, decode, decode_state, encode};
use ractor::RpcReplyPort;

use crate::{
    clock::now_ms,
    journal::{Journal, JournalError},
};

/// Number of log entries after which the log is compacted.
const COMPACT_ENTRIES: usize = 256;
/// Size of the logged commands after which the log is compacted, in bytes.
const COMPACT_BYTES: usize = 2 * 1024 * 1024;

/// Reply port of a proposal.
pub(crate) type ReplyPort = RpcReplyPort<ProposeReply>;

/// Outputs of a protocol step that are left to the actor after the journal is written.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub(crate) sends: Vec<Envelope>,
    pub(crate) applied: Vec<Entry>,
    pub(crate) restored: Option<Snapshot>,
}

/// A command to commit, and where its outcome goes.
#[derive(Debug)]
pub(crate) struct Proposal {
    pub(crate) command: Command,
    pub(crate) port: ReplyPort,
}

/// Consensus node, its journal and the pending proposals.
pub(crate) struct Group {
    journal: Journal,
    node: Option<Node>,
    id: Id,
    timing: Timing,
    log_bytes: usize,
    /// Pending proposals by log index: the term in which each was proposed and its reply port.
    pending: BTreeMap<u64, (u64, ReplyPort)>,
}

impl Group {
    /// Restores the node from the journal; without saved state the disk is fresh and has no node.
    /// Returns the group and the state in the node's snapshot.
    ///
    /// # Errors
    ///
    /// [`JournalError::Codec`] if the snapshot cannot be decoded.
    pub(crate) fn new(
        host: &str,
        mut journal: Journal,
        timing: Timing,
    ) -> Result<(Self, State), JournalError> {
        let id = Id::new(host, journal.incarnation());
        let node = journal
            .take_saved()
            .map(|saved| Node::restore(id.clone(), saved, timing.clone(), now_ms()));
        let state = match &node {
            Some(node) => state_of(node.log().snapshot())?,
            None => State::default(),
        };
        let group = Self {
            journal,
            node,
            id,
            timing,
            log_bytes: 0,
            pending: BTreeMap::new(),
        };
        Ok((group, state))
    }

    /// Folder of the journal.
    pub(crate) fn folder(&self) -> &Path {
        self.journal.folder()
    }

    pub(crate) fn id(&self) -> &Id {
        &self.id
    }

    pub(crate) fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    /// Starts the node with this configuration if the disk is fresh.
    pub(crate) fn form(&mut self, config: Config) -> Result<(), JournalError> {
        if self.node.is_some() {
            return Ok(());
        }
        let snapshot = Snapshot {
            config,
            ..Snapshot::default()
        };
        self.journal
            .append(&[DurableChange::Snapshot(snapshot.clone())])?;
        let saved = DurableState {
            snapshot,
            ..DurableState::default()
        };
        let node = Node::restore(self.id.clone(), saved, self.timing.clone(), now_ms());
        self.node = Some(node);
        Ok(())
    }

    /// Runs one protocol step. The journal is written before any effect is returned.
    pub(crate) fn step(&mut self, input: Input) -> Result<Effects, JournalError> {
        let Some(node) = &mut self.node else {
            return Ok(Effects::default());
        };
        let outputs = node.step(now_ms(), input);
        self.process_outputs(outputs)
    }

    /// Proposes commands, which are written to the journal together. Each port is answered when its
    /// entry is applied or another entry has its index.
    pub(crate) fn propose(&mut self, proposals: Vec<Proposal>) -> Result<Effects, JournalError> {
        let Some(node) = &mut self.node else {
            refuse(proposals, None);
            return Ok(Effects::default());
        };
        let mut commands: Vec<SharedBytes> = Vec::new();
        for proposal in &proposals {
            commands.push(encode(&proposal.command)?.into());
        }
        match node.propose_all(now_ms(), commands) {
            Ok((first, outputs)) => {
                let term = node.term();
                for (index, proposal) in (first..).zip(proposals) {
                    self.pending.insert(index, (term, proposal.port));
                }
                self.process_outputs(outputs)
            }
            Err(_) => {
                let leader = node.leader().map(|id| id.host.clone());
                refuse(proposals, leader.as_ref());
                Ok(Effects::default())
            }
        }
    }

    /// Answers the proposal at the index of an applied entry.
    pub(crate) fn answer_proposal(&mut self, entry: &Entry, outcome: Reply) {
        if let Some((term, port)) = self.pending.remove(&entry.index) {
            let index = entry.index;
            let answer = if term == entry.term {
                let reply = outcome;
                ProposeReply::Applied { reply, index }
            } else {
                ProposeReply::Unknown
            };
            reply(port, answer);
        }
    }

    /// Answers all pending proposals with an unknown outcome after a loss of leadership.
    pub(crate) fn abandon_proposals(&mut self) {
        for (_, (_, port)) in std::mem::take(&mut self.pending) {
            reply(port, ProposeReply::Unknown);
        }
    }

    /// Compacts a long log if `state` includes every committed entry. Returns whether it did.
    pub(crate) fn compact(&mut self, state: &State) -> Result<bool, JournalError> {
        let Some(node) = &mut self.node else {
            return Ok(false);
        };
        let long = node.log().len() >= COMPACT_ENTRIES || self.log_bytes >= COMPACT_BYTES;
        let covered = state.index <= node.log().snapshot().index;
        if !long || covered || node.commit() != state.index {
            return Ok(false);
        }
        let data: SharedBytes = encode(state)?.into();
        let index = state.index;
        self.log_bytes = 0;
        let effects = self.step(Input::Compact { index, data })?;
        debug_assert!(effects.applied.is_empty(), "compaction applies nothing");
        Ok(true)
    }

    fn process_outputs(&mut self, outputs: Vec<Output>) -> Result<Effects, JournalError> {
        let mut effects = Effects::default();
        let mut changes = Vec::new();
        let mut rewrite = false;
        for output in outputs {
            match output {
                Output::Persist(change) => {
                    rewrite |= matches!(change, DurableChange::Snapshot(_));
                    self.log_bytes += command_bytes(&change);
                    changes.push(change);
                }
                Output::Send(envelope) => effects.sends.push(envelope),
                Output::Apply(entry) => effects.applied.push(entry),
                Output::Restore(snapshot) => effects.restored = Some(snapshot),
            }
        }
        if rewrite {
            self.rewrite()?;
        } else if !changes.is_empty() {
            self.journal.append(&changes)?;
        }
        Ok(effects)
    }

    fn rewrite(&mut self) -> Result<(), JournalError> {
        let Some(node) = &self.node else {
            return Ok(());
        };
        let log = node.log();
        let changes = [
            node.durable_vote(),
            DurableChange::Snapshot(log.snapshot().clone()),
            DurableChange::Entries(log.range(0, usize::MAX)),
        ];
        self.journal.rewrite(&changes)
    }
}

/// Answers proposals that were not written because this host does not lead.
fn refuse(proposals: Vec<Proposal>, leader: Option<&Name>) {
    for proposal in proposals {
        let leader = leader.cloned();
        reply(proposal.port, ProposeReply::NotLeader { leader });
    }
}

fn command_bytes(change: &DurableChange) -> usize {
    let DurableChange::Entries(entries) = change else {
        return 0;
    };
    let bytes = entries.iter().map(|entry| match &entry.payload {
        Payload::Command(data) => data.len(),
        Payload::Noop | Payload::Members(_) => 0,
    });
    bytes.sum()
}

/// Decodes the command of an entry; `None` for entries of the protocol itself.
pub(crate) fn command_of(entry: &Entry) -> Option<Command> {
    match &entry.payload {
        Payload::Command(data) => decode(data).ok(),
        Payload::Noop | Payload::Members(_) => None,
    }
}

/// Decodes the state in a snapshot; that of a new group is empty.
///
/// # Errors
///
/// [`CodecError`] if it is no state.
pub(crate) fn state_of(snapshot: &Snapshot) -> Result<State, CodecError> {
    let data = &snapshot.data;
    if data.is_empty() {
        return Ok(State::default());
    }
    decode_state(data)
}

/// Sends a reply. A caller that has stopped waiting is ignored.
pub(crate) fn reply<T>(port: RpcReplyPort<T>, answer: T)
where
    T: ractor::Message,
{
    let _ = port.send(answer);
}
