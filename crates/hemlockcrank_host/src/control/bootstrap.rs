//! How a fresh disk, one that is in no group yet, finds or forms the control group.
//!
//! - If a peer reports a group that lists **this disk's incarnation** as a voter, the host starts
//!   as that voter. This is safe because it has never voted.
//! - If a peer reports a group that does not list this disk, the host asks to join as a learner.
//!   This happens to a host that lost its disk, and to a spare.
//! - Only the first host of `bootstrap` may form a new group, and only when **every** other one
//!   answers that its disk is fresh too. A lost disk can therefore never create a second group
//!   while any other member still has the state of the first.

use std::collections::BTreeMap;

use hemlockcrank_core::{
    Name,
    consensus::{Config, Id},
};
use hemlockcrank_wire::Formation;

/// Answers of the bootstrap hosts so far.
#[derive(Debug, Default)]
pub(crate) struct Bootstrap {
    fresh: BTreeMap<Name, Id>,
}

/// What to do after an answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Keep asking the peers.
    Wait,
    /// Start with this configuration.
    Form(Config),
}

impl Bootstrap {
    /// Notes a host's answer. `own` is the id of this disk, `bootstrap` the hosts from the
    /// settings.
    pub(crate) fn note_answer(
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
        self.try_form(own, bootstrap)
    }

    /// Forms the group if this host is the first in `bootstrap` and all others are fresh.
    pub(crate) fn try_form(&self, own: &Id, bootstrap: &[Name]) -> Decision {
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
