//! A few nodes, their disks and the messages between them, with the invariants of the protocol.

use std::collections::{BTreeMap, BTreeSet};

use hemlockcrank_core::consensus::{
    Config, DurableChange, DurableState, Entry, Envelope, Id, Input, Node, Output, Role,
    SharedBytes, Timing,
};

/// One host: its disk, and its process while it runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Host {
    pub id: Id,
    pub disk: DurableState,
    pub node: Option<Node>,
}

/// What the model does wrong on purpose, to see that the invariants catch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Plant {
    Nothing,
    /// Votes are not on disk after a restart.
    LosesVotes,
    /// Entries are not on disk after a restart.
    LosesEntries,
    /// A restarted node may vote at once.
    VotesAtOnce,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Cluster {
    pub now: u64,
    pub timing: Timing,
    pub hosts: Vec<Host>,
    pub network: BTreeSet<Envelope>,
    pub plant: Plant,
    /// Every entry that was ever applied, by index.
    pub applied: BTreeMap<u64, Entry>,
    /// The leader of every term that had one.
    leaders: BTreeMap<u64, Id>,
}

impl Cluster {
    pub(crate) fn new(names: &[&str], timing: Timing, plant: Plant) -> Self {
        let ids: Vec<Id> = names.iter().map(|name| Id::new(*name, 1)).collect();
        let config = Config::with_voters(ids.iter().cloned());
        let hosts = ids.into_iter().map(|id| {
            let mut disk = DurableState::default();
            disk.snapshot.config = config.clone();
            let node = Node::restore(id.clone(), disk.clone(), timing.clone(), 0);
            Host {
                id,
                disk,
                node: Some(node),
            }
        });
        Self {
            now: 0,
            hosts: hosts.collect(),
            timing,
            network: BTreeSet::new(),
            plant,
            applied: BTreeMap::new(),
            leaders: BTreeMap::new(),
        }
    }

    pub(crate) fn input(&mut self, index: usize, input: Input) -> Result<(), String> {
        let now = self.now;
        let Some(node) = &mut self.hosts[index].node else {
            return Ok(());
        };
        let outputs = node.step(now, input);
        self.carry_out(index, outputs)
    }

    pub(crate) fn propose(&mut self, index: usize, data: &[u8]) -> Result<(), String> {
        let now = self.now;
        let Some(node) = &mut self.hosts[index].node else {
            return Ok(());
        };
        match node.propose(now, SharedBytes::from(data)) {
            Ok((_, outputs)) => self.carry_out(index, outputs),
            Err(_) => Ok(()),
        }
    }

    pub(crate) fn deliver(&mut self, envelope: &Envelope) -> Result<(), String> {
        self.network.remove(envelope);
        let to = self.hosts.iter().position(|host| host.id == envelope.to);
        match to {
            Some(index) => self.input(index, Input::Receive(envelope.clone())),
            None => Ok(()),
        }
    }

    pub(crate) fn crash(&mut self, index: usize) {
        self.hosts[index].node = None;
    }

    pub(crate) fn restart(&mut self, index: usize) {
        let plant = self.plant;
        let host = &mut self.hosts[index];
        if plant == Plant::LosesVotes {
            host.disk.vote = None;
        }
        if plant == Plant::LosesEntries {
            host.disk.entries.clear();
        }
        let started = match plant {
            Plant::VotesAtOnce => self.now.saturating_sub(self.timing.election_min_ms),
            _ => self.now,
        };
        let saved = host.disk.clone();
        host.node = Some(Node::restore(
            host.id.clone(),
            saved,
            self.timing.clone(),
            started,
        ));
    }

    fn carry_out(&mut self, index: usize, outputs: Vec<Output>) -> Result<(), String> {
        for output in outputs {
            match output {
                Output::Persist(change) => self.hosts[index].disk.apply(change),
                Output::Send(envelope) => {
                    self.network.insert(envelope);
                }
                Output::Apply(entry) => self.note_applied(entry)?,
                Output::Restore(snapshot) => {
                    let known = self.applied.get(&snapshot.index).map(|entry| entry.term);
                    if known != Some(snapshot.term) {
                        return Err(format!("snapshot of unknown index {}", snapshot.index));
                    }
                }
            }
        }
        self.check(index)
    }

    fn note_applied(&mut self, entry: Entry) -> Result<(), String> {
        match self.applied.get(&entry.index) {
            Some(known) if *known != entry => {
                Err(format!("index {} was applied in two ways", entry.index))
            }
            Some(_) => Ok(()),
            None => {
                self.applied.insert(entry.index, entry);
                Ok(())
            }
        }
    }

    /// One leader a term, and every leader holds all that was ever committed.
    fn check(&mut self, index: usize) -> Result<(), String> {
        let host = &self.hosts[index];
        let Some(node) = &host.node else {
            return Ok(());
        };
        if node.role() != Role::Leader {
            return Ok(());
        }
        let known = self.leaders.entry(node.term()).or_insert(host.id.clone());
        if *known != host.id {
            return Err(format!("two leaders in term {}", node.term()));
        }
        let base = node.log().snapshot().index;
        for (index, entry) in self.applied.range(base + 1..) {
            let newer = self.applied[index].term > node.term();
            if !newer && node.log().get(*index) != Some(entry) {
                return Err(format!("a leader lacks committed index {index}"));
            }
        }
        Ok(())
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |host: &Host| host.node.as_ref().is_some_and(Node::has_committed_in_term);
        self.hosts.iter().position(leads)
    }

    /// Gives a host a fresh disk: a new incarnation that knows only the present membership.
    pub(crate) fn lose_disk(&mut self, index: usize, config: Config) {
        let host = &mut self.hosts[index];
        host.id.incarnation += 1;
        let mut disk = DurableState::default();
        disk.apply(DurableChange::Vote {
            term: 0,
            vote: None,
        });
        disk.snapshot.config = config;
        host.disk = disk.clone();
        host.node = Some(Node::restore(
            host.id.clone(),
            disk,
            self.timing.clone(),
            self.now,
        ));
    }
}
