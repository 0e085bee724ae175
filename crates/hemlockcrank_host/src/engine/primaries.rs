//! What this host has observed of primaries, shared between traffic and the control thread.
//!
//! Traffic records successes, failures and log positions. The control thread sends them to the
//! control leader with each poll, and applies what the leader reports of the other hosts. A
//! [`Guard`] is the right to use a primary in one term. During a change of primary no guard is
//! issued; the host has released the old primary once the last guard is dropped, or once all guards
//! have been revoked.

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
use hemlockcrank_wire::{LeaderStatus, PositionSample};

use crate::sync::lock;

/// Half-life of the count of recent operations, in milliseconds.
const HALF_LIFE_MS: u64 = 3_000;

/// State of one service's primary.
#[derive(Debug, Default)]
struct Primary {
    term: u64,
    /// Samples of all hosts.
    floor: Floor,
    /// Newest sample of this host.
    own_sample: Option<Sample>,
    failing_since: Option<u64>,
    /// Time of the last answer.
    served_at: Option<u64>,
    /// Newest commit acknowledged to a caller, in any term.
    acknowledged: Position,
    /// Number of guards that are not dropped or revoked.
    guards: usize,
    /// Recent operations.
    usage: Usage,
    /// Connections that this host may have at each member, as assigned by the control leader.
    share: Option<u32>,
    /// Log index of the change of primary in progress.
    change: Option<u64>,
    /// Log index of the change for which this host has released the primary.
    released: Option<u64>,
    /// Incremented whenever guards are revoked.
    epoch: u64,
}

#[derive(Debug, Default)]
struct Inner {
    /// Relates this host's clock to the leader's.
    anchor: Option<Anchor>,
    services: BTreeMap<Name, Primary>,
}

/// The primaries of all services, as observed by this host.
#[derive(Debug, Default)]
pub struct Primaries {
    inner: Mutex<Inner>,
}

/// The right to use a primary in one term, until dropped or revoked.
#[derive(Debug)]
pub(crate) struct Guard {
    primaries: Arc<Primaries>,
    service: Name,
    term: u64,
    epoch: u64,
}

impl Guard {
    /// Whether the guard has not been revoked: this host has neither released the primary nor
    /// seen a newer term.
    pub(crate) fn is_current(&self) -> bool {
        let inner = lock(&self.primaries.inner);
        let primary = inner.services.get(&self.service);
        primary.is_some_and(|primary| self.is_of(primary))
    }

    fn is_of(&self, primary: &Primary) -> bool {
        primary.epoch == self.epoch && primary.term == self.term
    }

    /// Term of the primary.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut inner = lock(&self.primaries.inner);
        if let Some(primary) = inner.services.get_mut(&self.service)
            && primary.epoch == self.epoch
        {
            primary.guards = primary.guards.saturating_sub(1);
        }
    }
}

impl Primaries {
    /// Sets the current term and the change in progress. A newer term resets the state of the older
    /// one and revokes its guards.
    pub(crate) fn set_term(&self, service: &Name, term: u64, change: Option<u64>) {
        let mut inner = lock(&self.inner);
        let primary = inner.services.entry(service.clone()).or_default();
        if primary.change != change {
            primary.change = change;
            primary.released = None;
        }
        if term > primary.term {
            primary.term = term;
            primary.own_sample = None;
            primary.failing_since = None;
            primary.served_at = None;
            primary.epoch += 1;
            primary.guards = 0;
        }
    }

    /// Issues a guard for the primary of `term`, unless a change of primary is in progress.
    pub(crate) fn issue_guard(self: &Arc<Self>, service: &Name, term: u64) -> Option<Guard> {
        let mut inner = lock(&self.inner);
        let primary = inner.services.get_mut(service)?;
        if primary.change.is_some() || primary.term != term {
            return None;
        }
        primary.guards += 1;
        Some(Guard {
            primaries: Arc::clone(self),
            service: service.clone(),
            term,
            epoch: primary.epoch,
        })
    }

    /// Releases the primary for `change` if no guard is left; with `force`, revokes the guards that
    /// are left. Returns whether the primary is released.
    pub(crate) fn release(&self, service: &Name, change: u64, force: bool) -> bool {
        let mut inner = lock(&self.inner);
        let Some(primary) = inner.services.get_mut(service) else {
            return false;
        };
        if primary.change != Some(change) {
            return false;
        }
        if primary.guards > 0 && !force {
            return false;
        }
        primary.guards = 0;
        primary.epoch += 1;
        primary.released = Some(change);
        true
    }

    /// Counts an operation for a service.
    pub(crate) fn record_operation(&self, now: u64, service: &Name) {
        let mut inner = lock(&self.inner);
        if let Some(primary) = inner.services.get_mut(service) {
            primary.usage.record(now, HALF_LIFE_MS);
        }
    }

    /// Connections that this host may have at each member of a service; `None` before the leader
    /// has assigned a number.
    pub(crate) fn share(&self, service: &str) -> Option<u32> {
        lock(&self.inner).services.get(service)?.share
    }

    /// Records an answer of the primary of `term` to a statement sent at `sent_at`.
    pub(crate) fn record_answer(
        &self,
        now: u64,
        service: &Name,
        term: u64,
        sent_at: u64,
        position: Option<Position>,
    ) {
        let mut inner = lock(&self.inner);
        let Some(primary) = inner.services.get_mut(service) else {
            return;
        };
        if primary.term != term {
            return;
        }
        primary.failing_since = None;
        primary.served_at = Some(now);
        if let Some(position) = position {
            let sample = Sample {
                at: sent_at,
                position,
            };
            primary.floor.add(term, sample);
            if primary.own_sample.is_none_or(|own| own.at < sent_at) {
                primary.own_sample = Some(sample);
            }
        }
    }

    /// Records a failure to use the primary of `term`; returns whether it is the first since the
    /// last answer.
    pub(crate) fn record_failure(&self, now: u64, service: &Name, term: u64) -> bool {
        let mut inner = lock(&self.inner);
        let Some(primary) = inner.services.get_mut(service) else {
            return false;
        };
        if primary.term != term || primary.change.is_some() {
            return false;
        }
        let first = primary.failing_since.is_none();
        primary.failing_since.get_or_insert(now);
        first
    }

    /// Records the position of a commit that is about to be acknowledged to its caller; returns whether it
    /// may be. A guard that has been revoked is refused in the same step, so each report of a release
    /// comes after all that it covers.
    pub(crate) fn record_acknowledged(&self, guard: &Guard, position: Position) -> bool {
        let mut inner = lock(&self.inner);
        let primary = inner.services.get_mut(&guard.service);
        let Some(primary) = primary.filter(|primary| guard.is_of(primary)) else {
            return false;
        };
        primary.acknowledged = position.max(primary.acknowledged);
        true
    }

    /// Lowest position that may serve a read that accepts data as of `since`.
    pub(crate) fn floor(&self, service: &str, term: u64, since: u64) -> Option<Position> {
        let inner = lock(&self.inner);
        inner.services.get(service)?.floor.at_or_after(term, since)
    }

    /// Observations to report to the control leader, of the primaries that this host has used.
    pub(crate) fn observations(&self, now: u64) -> Vec<Observation> {
        let mut inner = lock(&self.inner);
        let anchor = inner.anchor;
        let services = inner.services.iter_mut();
        let observations = services.map(|(service, primary)| {
            let sample = anchor.zip(primary.own_sample).and_then(|(anchor, own)| {
                let at = anchor.to_leader_time(own.at)?;
                let position = own.position;
                Some((anchor.leader_term, Sample { at, position }))
            });
            Observation {
                operations: primary.usage.weight(now, HALF_LIFE_MS),
                service: service.clone(),
                term: primary.term,
                failing_ms: primary.failing_since.map(|since| now.saturating_sub(since)),
                served_ms: primary.served_at.map(|at| now.saturating_sub(at)),
                acknowledged: primary.acknowledged,
                released: primary.released,
                sample,
            }
        });
        observations
            .filter(|observation| !observation.is_empty())
            .collect()
    }

    /// What this host has learned from the leader, for hosts that follow through it: lower bounds of
    /// the leader's clock and of the times of all samples.
    pub(crate) fn leader_status(&self, now: u64) -> LeaderStatus {
        let inner = lock(&self.inner);
        let Some(anchor) = inner.anchor else {
            return LeaderStatus::default();
        };
        let samples = inner.services.iter().filter_map(|(service, primary)| {
            let (term, sample) = primary.floor.newest_usable(now)?;
            Some(PositionSample {
                service: service.clone(),
                term,
                position: sample.position,
                age_ms: now.saturating_sub(sample.at),
            })
        });
        LeaderStatus {
            leader_term: anchor.leader_term,
            clock_ms: anchor.to_leader_time(now).unwrap_or(anchor.leader_ms),
            samples: samples.collect(),
            ..LeaderStatus::default()
        }
    }

    /// Applies the leader's answer to a request sent at `asked_at`: its clock, the shares of
    /// connections, and the samples of all hosts.
    pub(crate) fn apply_leader_status(&self, asked_at: u64, now: u64, status: &LeaderStatus) {
        let mut inner = lock(&self.inner);
        inner.anchor = Some(Anchor {
            leader_term: status.leader_term,
            leader_ms: status.clock_ms,
            received_ms: now,
        });
        for (service, share) in &status.shares {
            let primary = inner.services.entry(service.clone()).or_default();
            primary.share = Some(*share);
        }
        for sample in &status.samples {
            let Some(at) = from_leader_age(asked_at, sample.age_ms) else {
                continue;
            };
            let primary = inner.services.entry(sample.service.clone()).or_default();
            let position = sample.position;
            primary.floor.add(sample.term, Sample { at, position });
        }
    }
}
