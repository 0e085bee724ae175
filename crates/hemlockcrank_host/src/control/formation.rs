//! How a fresh disk finds or forms the control group.
//!
//! - A host that hears of a group which lists **this disk's incarnation** as a voter takes it up: it has
//!   never voted, so it can start as that voter.
//! - A host that hears of a group which does not list it asks to join as a learner. That is the way of a
//!   host that lost its disk, and of a spare.
//! - Only the first host of `bootstrap` may form a new group, and only when **every** other one answers
//!   that its disk is fresh too. A lost disk can therefore never make a second group while any other
//!   member still knows the first.

use std::collections::BTreeMap;

use hemlockcrank_core::{
    Name,
    consensus::{Config, Id},
};
use hemlockcrank_wire::Formation;

/// What the bootstrap hosts have answered so far.
#[derive(Debug, Default)]
pub(crate) struct Founding {
    fresh: BTreeMap<Name, Id>,
}

/// What to do after an answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Ask again.
    Wait,
    /// Take up this membership.
    Form(Config),
}

impl Founding {
    /// Takes a host's answer. `own` is this disk; `bootstrap` the hosts from the settings.
    pub(crate) fn answer(
        &mut self,
        own: &Id,
        bootstrap: &[Name],
        from: &Name,
        answer: Formation,
    ) -> Decision {
        match answer {
            Formation::Formed { config } => return Decision::Form(config),
            Formation::Fresh(id) => {
                self.fresh.insert(from.clone(), id);
            }
            Formation::NoDisk => {
                self.fresh.remove(from);
            }
        }
        self.found(own, bootstrap)
    }

    /// Forms the group when this host is the first and all others are fresh.
    pub(crate) fn found(&self, own: &Id, bootstrap: &[Name]) -> Decision {
        if bootstrap.first() != Some(&own.host) {
            return Decision::Wait;
        }
        let others = bootstrap.iter().filter(|name| **name != own.host);
        let mut voters = vec![own.clone()];
        for name in others {
            match self.fresh.get(name) {
                Some(id) => voters.push(id.clone()),
                None => return Decision::Wait,
            }
        }
        Decision::Form(Config::with_voters(voters))
    }
}
