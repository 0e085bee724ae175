//! What this host has seen of primaries, shared between traffic and control.
//!
//! Traffic notes successes, failures and positions; the control thread takes them along with each
//! question for news and brings back what the other hosts have seen. A [`Hold`] is this host's right to
//! use a primary in one term; while a change of primary is under way no new ones are given, and once the
//! last is gone, or they have been called in, the host has released the primary.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use hemlockcrank_core::{
    Name,
    floor::{Anchor, Floor, Sample, from_leader_age},
    observation::Observation,
    session::Position,
    usage::Usage,
};
use hemlockcrank_wire::LeaderStatus;

use crate::sync::lock;

/// Time after which half of the operations that came is forgotten, in milliseconds.
const HALF_LIFE_MS: u64 = 3_000;

#[derive(Debug, Default)]
struct Seen {
    term: u64,
    floor: Floor,
    own: Option<Sample>,
    failing_since: Option<u64>,
    served_at: Option<u64>,
    acknowledged: Position,
    holds: usize,
    /// Operations that came lately.
    usage: Usage,
    /// Connections that this host may have at each member.
    share: Option<u32>,
    /// Change whose beginning this host has in force.
    change: Option<u64>,
    released: Option<u64>,
    /// Raised whenever holds are called in.
    epoch: u64,
}

#[derive(Debug, Default)]
struct Inner {
    anchor: Option<Anchor>,
    services: BTreeMap<Name, Seen>,
}

/// All that this host has seen of primaries.
#[derive(Debug, Default)]
pub struct Primaries {
    inner: Mutex<Inner>,
}

/// The right to use a primary; given back when dropped.
#[derive(Debug)]
pub(crate) struct Hold {
    primaries: Arc<Primaries>,
    service: Name,
    term: u64,
    epoch: u64,
}

impl Hold {
    /// Whether this host has not released the primary meanwhile.
    pub(crate) fn is_current(&self) -> bool {
        let inner = lock(&self.primaries.inner);
        let seen = inner.services.get(&self.service);
        seen.is_some_and(|seen| seen.epoch == self.epoch && seen.term == self.term)
    }

    /// Term of the primary.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut inner = lock(&self.primaries.inner);
        if let Some(seen) = inner.services.get_mut(&self.service)
            && seen.epoch == self.epoch
        {
            seen.holds = seen.holds.saturating_sub(1);
        }
    }
}

impl Primaries {
    /// Takes up a primary's term; notes of an older one go.
    pub(crate) fn grant(&self, service: &Name, term: u64, change: Option<u64>) {
        let mut inner = lock(&self.inner);
        let seen = inner.services.entry(service.clone()).or_default();
        if seen.change != change {
            seen.change = change;
            seen.released = None;
        }
        if term > seen.term {
            seen.term = term;
            seen.own = None;
            seen.failing_since = None;
            seen.served_at = None;
            seen.epoch += 1;
            seen.holds = 0;
        }
    }

    /// The right to use the primary of `term`, unless a change is under way.
    pub(crate) fn hold(self: &Arc<Self>, service: &Name, term: u64) -> Option<Hold> {
        let mut inner = lock(&self.inner);
        let seen = inner.services.get_mut(service)?;
        if seen.change.is_some() || seen.term != term {
            return None;
        }
        seen.holds += 1;
        Some(Hold {
            primaries: Arc::clone(self),
            service: service.clone(),
            term,
            epoch: seen.epoch,
        })
    }

    /// Releases the primary for `change` once nothing holds it, or at once where `now_or_never`; returns
    /// whether it is released.
    pub(crate) fn release(&self, service: &Name, change: u64, now_or_never: bool) -> bool {
        let mut inner = lock(&self.inner);
        let Some(seen) = inner.services.get_mut(service) else {
            return false;
        };
        if seen.change != Some(change) {
            return false;
        }
        if seen.holds > 0 && !now_or_never {
            return false;
        }
        seen.holds = 0;
        seen.epoch += 1;
        seen.released = Some(change);
        true
    }

    /// Counts an operation that came for a service.
    pub(crate) fn count(&self, now: u64, service: &Name) {
        let mut inner = lock(&self.inner);
        if let Some(seen) = inner.services.get_mut(service) {
            seen.usage.record(now, HALF_LIFE_MS);
        }
    }

    /// Connections that this host may have at each member of a service, if the leader has said so.
    pub(crate) fn share(&self, service: &str) -> Option<u32> {
        lock(&self.inner).services.get(service)?.share
    }

    /// Notes an answer of the primary of `term` to a statement sent at `sent_at`.
    pub(crate) fn served(
        &self,
        now: u64,
        service: &Name,
        term: u64,
        sent_at: u64,
        position: Option<Position>,
    ) {
        let mut inner = lock(&self.inner);
        let Some(seen) = inner.services.get_mut(service) else {
            return;
        };
        if seen.term != term {
            return;
        }
        seen.failing_since = None;
        seen.served_at = Some(now);
        if let Some(position) = position {
            let sample = Sample {
                at: sent_at,
                position,
            };
            seen.floor.add(term, sample);
            if seen.own.is_none_or(|own| own.at < sent_at) {
                seen.own = Some(sample);
            }
        }
    }

    /// Notes that the primary of `term` could not be used; returns whether that is new.
    pub(crate) fn failed(&self, now: u64, service: &Name, term: u64) -> bool {
        let mut inner = lock(&self.inner);
        let Some(seen) = inner.services.get_mut(service) else {
            return false;
        };
        if seen.term != term || seen.change.is_some() {
            return false;
        }
        let fresh = seen.failing_since.is_none();
        seen.failing_since.get_or_insert(now);
        fresh
    }

    /// Notes a commit that is acknowledged to its caller now.
    pub(crate) fn acknowledged(&self, service: &Name, position: Position) {
        let mut inner = lock(&self.inner);
        if let Some(seen) = inner.services.get_mut(service) {
            seen.acknowledged = position.max(seen.acknowledged);
        }
    }

    /// Lowest position that a read accepting data as of `since` may be served from.
    pub(crate) fn floor(&self, service: &str, term: u64, since: u64) -> Option<Position> {
        let inner = lock(&self.inner);
        inner.services.get(service)?.floor.at_or_after(term, since)
    }

    /// What to tell the leader.
    pub(crate) fn observations(&self, now: u64) -> Vec<Observation> {
        let mut inner = lock(&self.inner);
        let anchor = inner.anchor;
        let services = inner.services.iter_mut();
        let sights = services.map(|(service, seen)| {
            let sample = anchor.zip(seen.own).and_then(|(anchor, own)| {
                let at = anchor.to_leader_time(own.at)?;
                let position = own.position;
                Some((anchor.leadership, Sample { at, position }))
            });
            Observation {
                operations: seen.usage.weight(now, HALF_LIFE_MS),
                service: service.clone(),
                term: seen.term,
                failing_ms: seen.failing_since.map(|since| now.saturating_sub(since)),
                served_ms: seen.served_at.map(|at| now.saturating_sub(at)),
                acknowledged: seen.acknowledged,
                released: seen.released,
                sample,
            }
        });
        sights.collect()
    }

    /// Takes the leader's clock and the samples of all hosts.
    pub(crate) fn apply_leader_status(&self, asked_at: u64, now: u64, bearings: &LeaderStatus) {
        let mut inner = lock(&self.inner);
        inner.anchor = Some(Anchor {
            leadership: bearings.leadership,
            leader_ms: bearings.clock_ms,
            received_ms: now,
        });
        for (service, share) in &bearings.shares {
            let seen = inner.services.entry(service.clone()).or_default();
            seen.share = Some(*share);
        }
        for height in &bearings.samples {
            let Some(at) = from_leader_age(asked_at, height.age_ms) else {
                continue;
            };
            let seen = inner.services.entry(height.service.clone()).or_default();
            let position = height.position;
            seen.floor.add(height.term, Sample { at, position });
        }
    }
}
