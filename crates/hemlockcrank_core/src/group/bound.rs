//! How far the commits of each service have been acknowledged, as the log states it.
//!
//! A commit is acknowledged once the primary and a replica hold it. When the log of a replica no longer
//! counts ([`Group::last_loss`]), the primary may hold the only copy of what that replica had received.
//! A [`Bound`] that is newer than the loss tells any later leader, whatever its process remembers, which
//! commits these may be: a member whose log ends before the bound proves nothing.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Group;
use crate::{Name, session::Position};

/// States that no commit past `position` had been acknowledged before the log entry at `index`. If a
/// change of primary began at that index, none is acknowledged in the old term after it either.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bound {
    /// Log index.
    pub index: u64,
    /// Position in the log of the service.
    pub position: Position,
}

/// Newest bound by service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    newest: BTreeMap<Name, Bound>,
}

impl Bounds {
    /// Newest bound of a service.
    pub fn get(&self, service: &str) -> Option<&Bound> {
        self.newest.get(service)
    }

    /// Notes a bound, unless a newer one is known, or a lower one of the same age; returns whether it says
    /// more.
    pub(crate) fn note(&mut self, service: &Name, bound: Bound) -> bool {
        let says_more = self.get(service).is_none_or(|newest| {
            let is_lower = bound.position < newest.position;
            newest.index < bound.index || (newest.index == bound.index && is_lower)
        });
        if says_more {
            self.newest.insert(service.clone(), bound);
        }
        says_more
    }

    /// The change of primary that began at `change` ends at `index`: nothing was acknowledged in between
    /// that its bound does not cover.
    pub(crate) fn finish(&mut self, service: &str, change: u64, index: u64) {
        let bound = self.newest.get_mut(service);
        if let Some(bound) = bound.filter(|bound| bound.index == change) {
            bound.index = index;
        }
    }
}

impl Group {
    /// Whether each commit that was acknowledged is within `bound`, or lies at a present member other than
    /// the primary. Nothing is acknowledged before the first primary is committed.
    pub(crate) fn is_covered(&self, bound: Option<&Bound>) -> bool {
        let bounded = bound.map_or(0, |bound| bound.index);
        self.lead.is_none() || bounded >= self.last_loss
    }
}
