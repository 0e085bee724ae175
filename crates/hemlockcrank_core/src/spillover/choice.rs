//! Choice of the member for one read.

use std::collections::BTreeSet;

use super::Spillover;
use crate::{
    Name,
    balance::{Candidate, choose_preferred},
};

impl Spillover {
    /// Index of the member for a read: in the zone, or in the zone that the read is sent to. `zones` are
    /// the zones of the candidates. A read that no replica in the zone can serve goes to any replica
    /// whose zone is not closed. The primary is used if it is idle, or if no replica is left.
    pub fn choose(
        &mut self,
        now: u64,
        candidates: &[Candidate],
        zones: &[&Name],
        is_retry: bool,
    ) -> Option<usize> {
        let is_replica =
            |candidate: &Candidate| !candidate.primary && !candidate.load.is_paused(now);
        let replicas = candidates.iter().zip(zones);
        let replicas = replicas.filter(|(candidate, _)| is_replica(candidate));
        let (home, others): (Vec<_>, Vec<_>) =
            replicas.partition(|(candidate, _)| candidate.same_zone);
        let target = if home.is_empty() || is_retry {
            None
        } else {
            let others: BTreeSet<Name> = others.iter().map(|(_, zone)| (**zone).clone()).collect();
            self.next_zone(now, &Vec::from_iter(others))
        };
        choose_preferred(now, candidates, |index, candidate| match &target {
            Some(target) => is_replica(candidate) && zones[index] == target,
            None if !home.is_empty() => candidate.same_zone && is_usable(candidate),
            None => is_usable(candidate) && !self.is_closed(now, zones[index]),
        })
    }
}

/// Whether a read may use the member while others can serve it.
fn is_usable(candidate: &Candidate) -> bool {
    !candidate.primary || candidate.load.is_idle()
}
