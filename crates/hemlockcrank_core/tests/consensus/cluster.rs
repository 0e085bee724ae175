//! A model of a cluster: nodes, their disks and the messages in flight. Checks the protocol's
//! invariants after every step.

use std::collections::{BTreeMap, BTreeSet};

use hemlockcrank_core::consensus::{
    Config, DurableChange, DurableState, Entry, Envelope, Id, Input, Node, Output, Role,
    SharedBytes, Timing,
};

/// A host with its disk and, while the process runs, its node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Host {
    pub id: Id,
    pub disk: DurableState,
    pub node: Option<Node>,
}

/// A deliberate bug in the model, to show that the invariants detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum InjectedBug {
    None,
    /// A restart loses the vote.
    LosesVote,
    /// A restart loses the log entries.
    LosesEntries,
    /// A restarted node votes without waiting for an election timeout.
    VotesImmediately,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Cluster {
    pub now: u64,
    pub timing: Timing,
    pub hosts: Vec<Host>,
    /// Messages in flight.
    pub network: BTreeSet<Envelope>,
    pub bug: InjectedBug,
    /// Every entry that was ever applied, by index.
    pub applied: BTreeMap<u64, Entry>,
    /// The leader of each term that had one.
    leaders: BTreeMap<u64, Id>,
}

impl Cluster {
    pub(crate) fn new(names: &[&str], timing: Timing, bug: InjectedBug) -> Self {
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
            bug,
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
        self.execute(index, outputs)
    }

    pub(crate) fn propose(&mut self, index: usize, data: &[u8]) -> Result<(), String> {
        let now = self.now;
        let Some(node) = &mut self.hosts[index].node else {
            return Ok(());
        };
        match node.propose(now, SharedBytes::from(data)) {
            Ok((_, outputs)) => self.execute(index, outputs),
            Err(_) => Ok(()),
        }
    }

    pub(crate) fn deliver(&mut self, envelope: &Envelope) -> Result<(), String> {
        self.network.remove(envelope);
        let receiver = self.hosts.iter().position(|host| host.id == envelope.to);
        match receiver {
            Some(index) => self.input(index, Input::Receive(envelope.clone())),
            None => Ok(()),
        }
    }

    pub(crate) fn crash(&mut self, index: usize) {
        self.hosts[index].node = None;
    }

    pub(crate) fn restart(&mut self, index: usize) {
        let bug = self.bug;
        let host = &mut self.hosts[index];
        if bug == InjectedBug::LosesVote {
            host.disk.vote = None;
        }
        if bug == InjectedBug::LosesEntries {
            host.disk.entries.clear();
        }
        let started_at = match bug {
            InjectedBug::VotesImmediately => self.now.saturating_sub(self.timing.election_min_ms),
            _ => self.now,
        };
        let saved = host.disk.clone();
        host.node = Some(Node::restore(
            host.id.clone(),
            saved,
            self.timing.clone(),
            started_at,
        ));
    }

    fn execute(&mut self, index: usize, outputs: Vec<Output>) -> Result<(), String> {
        for output in outputs {
            match output {
                Output::Persist(change) => self.hosts[index].disk.apply(change),
                Output::Send(envelope) => {
                    self.network.insert(envelope);
                }
                Output::Apply(entry) => self.record_applied(entry)?,
                Output::Restore(snapshot) => {
                    let applied = self.applied.get(&snapshot.index).map(|entry| entry.term);
                    if applied != Some(snapshot.term) {
                        return Err(format!("snapshot of unknown index {}", snapshot.index));
                    }
                }
            }
        }
        self.check_leader(index)
    }

    fn record_applied(&mut self, entry: Entry) -> Result<(), String> {
        match self.applied.get(&entry.index) {
            Some(applied) if *applied != entry => {
                Err(format!("index {} was applied in two ways", entry.index))
            }
            Some(_) => Ok(()),
            None => {
                self.applied.insert(entry.index, entry);
                Ok(())
            }
        }
    }

    /// Checks that each term has at most one leader, and that a leader's log has every committed
    /// entry.
    fn check_leader(&mut self, index: usize) -> Result<(), String> {
        let host = &self.hosts[index];
        let Some(node) = &host.node else {
            return Ok(());
        };
        if node.role() != Role::Leader {
            return Ok(());
        }
        let leader = self.leaders.entry(node.term()).or_insert(host.id.clone());
        if *leader != host.id {
            return Err(format!("two leaders in term {}", node.term()));
        }
        let snapshot_index = node.log().snapshot().index;
        for (index, entry) in self.applied.range(snapshot_index + 1..) {
            let is_newer = self.applied[index].term > node.term();
            if !is_newer && node.log().get(*index) != Some(entry) {
                return Err(format!("a leader lacks committed index {index}"));
            }
        }
        Ok(())
    }

    /// The first host whose node leads and has committed an entry of its term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let is_leader = |host: &Host| host.node.as_ref().is_some_and(Node::has_committed_in_term);
        self.hosts.iter().position(is_leader)
    }

    /// Replaces a host's disk by an empty one: a new incarnation that has only the current
    /// membership.
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
