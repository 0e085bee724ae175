//! Execution of one change of primary.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Name, directory::Role, session::Position};

/// Longest wait of a planned switchover for the preferred member to catch up, in rounds.
const CATCH_UP_ROUNDS: u32 = 50;

/// Replication status of a member, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Status {
    /// Term that it has adopted.
    pub adopted: u64,
    /// Its role.
    pub role: Role,
    /// Position of its last log entry.
    pub last: Position,
}

/// An order to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Adopt the new term, and refuse everything of older terms from then on.
    Adopt,
    /// Become the primary of the new term.
    Promote,
}

/// The next step of the executing host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Request the status of these members.
    Poll(Vec<Name>),
    /// Send this order to these members, and pass their answers to [`Handoff::step`].
    Send(Order, Vec<Name>),
    /// The member is primary of the new term; commit this result.
    Done(Name),
    /// A newer change has superseded this one; stop.
    Superseded,
}

/// State machine for one change of primary of one database, on the host that executes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Handoff {
    term: u64,
    members: BTreeSet<Name>,
    quorum: usize,
    prefer: Option<Name>,
    rounds: u32,
    /// Whether members have been ordered to adopt the term; a planned switchover waits before that.
    adopting: bool,
    adopters: BTreeMap<Name, Status>,
    chosen: Option<Name>,
}

impl Handoff {
    /// Starts a change to `term` among `members`, where `quorum` members are a majority. `prefer`
    /// is the target of a planned switchover.
    pub fn new<I>(term: u64, members: I, quorum: usize, prefer: Option<Name>) -> Self
    where
        I: IntoIterator<Item = Name>,
    {
        Self {
            term,
            members: members.into_iter().collect(),
            quorum,
            adopting: prefer.is_none(),
            prefer,
            rounds: 0,
            adopters: BTreeMap::new(),
            chosen: None,
        }
    }

    /// Last log entry of the promoted member when it adopted the term; `None` before a member has
    /// been chosen.
    pub fn base(&self) -> Option<Position> {
        let status = self.adopters.get(self.chosen.as_ref()?)?;
        Some(status.last)
    }

    /// Processes the answers to the last step and returns the next one.
    ///
    /// Members that did not answer are missing from `answers`; the order is sent to them again.
    pub fn step(&mut self, answers: &[(Name, Status)]) -> Step {
        if answers.iter().any(|(_, status)| status.adopted > self.term) {
            return Step::Superseded;
        }
        if !self.adopting {
            return self.await_preferred(answers);
        }
        let at_term = |status: &Status| status.adopted == self.term;
        let promoted = answers
            .iter()
            .find(|(_, status)| at_term(status) && status.role == Role::Primary);
        if let Some((name, _)) = promoted {
            return Step::Done(name.clone());
        }
        for (name, status) in answers.iter().filter(|(_, status)| at_term(status)) {
            self.adopters.entry(name.clone()).or_insert(*status);
        }
        if self.adopters.len() < self.quorum {
            let missing = self.members.iter();
            let missing = missing.filter(|name| !self.adopters.contains_key(*name));
            return Step::Send(Order::Adopt, missing.cloned().collect());
        }
        let chosen = self.choose();
        Step::Send(Order::Promote, vec![chosen])
    }

    /// Delays the adoption of the new term in a planned switchover until the preferred member has
    /// caught up.
    fn await_preferred(&mut self, answers: &[(Name, Status)]) -> Step {
        self.rounds += 1;
        let highest = answers.iter().map(|(_, status)| status.last).max();
        let preferred = answers
            .iter()
            .find(|(name, _)| Some(name) == self.prefer.as_ref());
        let caught_up = preferred.is_some_and(|(_, status)| Some(status.last) == highest);
        if caught_up || self.rounds > CATCH_UP_ROUNDS {
            self.adopting = true;
            return Step::Send(Order::Adopt, self.members.iter().cloned().collect());
        }
        Step::Poll(self.members.iter().cloned().collect())
    }

    /// The most advanced adopter, with ties going to the preferred member. The first choice is
    /// final.
    fn choose(&mut self) -> Name {
        let prefer = self.prefer.clone();
        let best = self
            .adopters
            .iter()
            .max_by_key(|(name, status)| (status.last, Some(*name) == prefer.as_ref()))
            .map(|(name, _)| name.clone());
        let chosen = self.chosen.take().or(best).unwrap_or_else(|| "".into());
        self.chosen = Some(chosen.clone());
        chosen
    }
}
