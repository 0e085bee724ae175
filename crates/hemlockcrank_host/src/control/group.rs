//! This host's part in the control group: the protocol and its journal.

use std::collections::BTreeMap;

use hemlockcrank_core::{
    consensus::{
        Config, DurableChange, DurableState, Entry, Envelope, Id, Input, Node, Output, Payload,
        SharedBytes, Snapshot, Timing,
    },
    state::{Command, Reply, State},
};
use hemlockcrank_wire::{ProposeReply, decode, encode};
use ractor::RpcReplyPort;

use crate::{
    clock::now_ms,
    journal::{Journal, JournalError},
};

/// Entries after which the log is compacted.
const COMPACT_ENTRIES: usize = 256;
/// Bytes of commands after which the log is compacted.
const COMPACT_BYTES: usize = 2 * 1024 * 1024;

/// Answer port of a proposal.
pub(crate) type ReplyPort = RpcReplyPort<ProposeReply>;

/// What a turn of the protocol left to do outside.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub(crate) sends: Vec<Envelope>,
    pub(crate) applied: Vec<Entry>,
    pub(crate) restored: Option<Snapshot>,
}

/// Journal, protocol state and the proposals that wait.
pub(crate) struct Group {
    journal: Journal,
    node: Option<Node>,
    id: Id,
    timing: Timing,
    log_bytes: usize,
    waiting: BTreeMap<u64, (u64, ReplyPort)>,
}

impl Group {
    /// Continues from the journal; without a saved group the disk is fresh.
    pub(crate) fn new(host: &str, mut journal: Journal, timing: Timing) -> Self {
        let id = Id::new(host, journal.incarnation());
        let node = journal
            .take_saved()
            .map(|saved| Node::restore(id.clone(), saved, timing.clone(), now_ms()));
        Self {
            journal,
            node,
            id,
            timing,
            log_bytes: 0,
            waiting: BTreeMap::new(),
        }
    }

    pub(crate) fn id(&self) -> &Id {
        &self.id
    }

    pub(crate) fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    /// Takes up a group's membership on a fresh disk.
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

    /// Feeds the protocol and carries out what it says, the journal first.
    pub(crate) fn step(&mut self, input: Input) -> Result<Work, JournalError> {
        let Some(node) = &mut self.node else {
            return Ok(Work::default());
        };
        let outputs = node.step(now_ms(), input);
        self.carry_out(outputs)
    }

    /// Appends a command; the port is answered once it is applied or overtaken.
    pub(crate) fn propose(
        &mut self,
        command: &Command,
        port: ReplyPort,
    ) -> Result<Work, JournalError> {
        let Some(node) = &mut self.node else {
            reply(port, ProposeReply::NotLeader { leader: None });
            return Ok(Work::default());
        };
        let data: SharedBytes = encode(command)?.into();
        match node.propose(now_ms(), data) {
            Ok((index, outputs)) => {
                self.waiting.insert(index, (node.term(), port));
                self.carry_out(outputs)
            }
            Err(_) => {
                let leader = node.leader().map(|id| id.host.clone());
                reply(port, ProposeReply::NotLeader { leader });
                Ok(Work::default())
            }
        }
    }

    /// Answers the proposal at an applied entry.
    pub(crate) fn settle(&mut self, entry: &Entry, outcome: Reply) {
        if let Some((term, port)) = self.waiting.remove(&entry.index) {
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

    /// Answers all proposals that a lost leadership leaves open.
    pub(crate) fn abandon(&mut self) {
        for (_, (_, port)) in std::mem::take(&mut self.waiting) {
            reply(port, ProposeReply::Unknown);
        }
    }

    /// Compacts a long log when `state` is exactly as of the applied index.
    pub(crate) fn compact(&mut self, state: &State) -> Result<bool, JournalError> {
        let Some(node) = &mut self.node else {
            return Ok(false);
        };
        let long = node.log().len() >= COMPACT_ENTRIES || self.log_bytes >= COMPACT_BYTES;
        if !long || node.commit() != state.index {
            return Ok(false);
        }
        let data: SharedBytes = encode(state)?.into();
        let index = state.index;
        self.log_bytes = 0;
        let work = self.step(Input::Compact { index, data })?;
        debug_assert!(work.applied.is_empty(), "compaction applies nothing");
        Ok(true)
    }

    fn carry_out(&mut self, outputs: Vec<Output>) -> Result<Work, JournalError> {
        let mut work = Work::default();
        let mut changes = Vec::new();
        let mut rewrite = false;
        for output in outputs {
            match output {
                Output::Persist(change) => {
                    rewrite |= matches!(change, DurableChange::Snapshot(_));
                    self.log_bytes += command_bytes(&change);
                    changes.push(change);
                }
                Output::Send(envelope) => work.sends.push(envelope),
                Output::Apply(entry) => work.applied.push(entry),
                Output::Restore(snapshot) => work.restored = Some(snapshot),
            }
        }
        if rewrite {
            self.rewrite()?;
        } else if !changes.is_empty() {
            self.journal.append(&changes)?;
        }
        Ok(work)
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

/// Decodes an entry's command; `None` for entries of the protocol itself.
pub(crate) fn command_of(entry: &Entry) -> Option<Command> {
    match &entry.payload {
        Payload::Command(data) => decode(data).ok(),
        Payload::Noop | Payload::Members(_) => None,
    }
}

/// Decodes the state in a snapshot.
pub(crate) fn state_of(snapshot: &Snapshot) -> Option<State> {
    decode(&snapshot.data).ok()
}

/// The caller may have gone; then nobody needs the answer.
pub(crate) fn reply<T>(port: RpcReplyPort<T>, answer: T)
where
    T: ractor::Message,
{
    let _ = port.send(answer);
}
