//! Carrying out one change of primary.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Name, directory::Role, session::Position};

/// Rounds that a planned switchover waits for the preferred member.
const CATCH_UP_ROUNDS: u32 = 50;

/// What a member says of itself when asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Status {
    /// Term that it has adopted.
    pub adopted: u64,
    /// Its role.
    pub role: Role,
    /// Its last log entry.
    pub last: Position,
}

/// What to tell a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Refuse everything of older terms from now on.
    Adopt,
    /// Become primary of the new term.
    Promote,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask these members for their status, without any order.
    Poll(Vec<Name>),
    /// Give this order to these members and come back with their answers.
    Tell(Order, Vec<Name>),
    /// The member is primary of the new term: commit that.
    Done(Name),
    /// A newer change has overtaken this one: stop.
    Superseded,
}

/// One change of primary of one database, on the host that carries it out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Handoff {
    term: u64,
    members: BTreeSet<Name>,
    quorum: usize,
    prefer: Option<Name>,
    rounds: u32,
    fenced: bool,
    adopters: BTreeMap<Name, Status>,
    chosen: Option<Name>,
}

impl Handoff {
    /// Starts a change to `term` among `members`, `quorum` of which are a majority.
    pub fn new<I>(term: u64, members: I, quorum: usize, prefer: Option<Name>) -> Self
    where
        I: IntoIterator<Item = Name>,
    {
        Self {
            term,
            members: members.into_iter().collect(),
            quorum,
            fenced: prefer.is_none(),
            prefer,
            rounds: 0,
            adopters: BTreeMap::new(),
            chosen: None,
        }
    }

    /// Last log entry of the member that was promoted, as of when it adopted the term; `None` before the
    /// choice.
    pub fn base(&self) -> Option<Position> {
        let status = self.adopters.get(self.chosen.as_ref()?)?;
        Some(status.last)
    }

    /// Takes the answers to the last step and says what comes next.
    ///
    /// Members that did not answer are left out of `answers` and are told again.
    pub fn step(&mut self, answers: &[(Name, Status)]) -> Step {
        if answers.iter().any(|(_, status)| status.adopted > self.term) {
            return Step::Superseded;
        }
        if !self.fenced {
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
            return Step::Tell(Order::Adopt, missing.cloned().collect());
        }
        let chosen = self.choose();
        Step::Tell(Order::Promote, vec![chosen])
    }

    /// Before the fence of a planned switchover: wait until the preferred member has caught up.
    fn await_preferred(&mut self, answers: &[(Name, Status)]) -> Step {
        self.rounds += 1;
        let highest = answers.iter().map(|(_, status)| status.last).max();
        let preferred = answers
            .iter()
            .find(|(name, _)| Some(name) == self.prefer.as_ref());
        let level = preferred.is_some_and(|(_, status)| Some(status.last) == highest);
        if level || self.rounds > CATCH_UP_ROUNDS {
            self.fenced = true;
            return Step::Tell(Order::Adopt, self.members.iter().cloned().collect());
        }
        Step::Poll(self.members.iter().cloned().collect())
    }

    /// The most advanced adopter, the preferred one on a tie. Once made, the choice stands.
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
