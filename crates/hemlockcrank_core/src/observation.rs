//! What serving hosts observe at the primaries they use, and how the control leader combines it.
//!
//! A host attaches an [`Observation`] of each primary to its regular request to the control leader.
//! [`Observations`] combines them: which hosts fail at which primary, which hosts have released a
//! primary that is being replaced, how far commits have been acknowledged, and the newest samples
//! of [`crate::floor`].

mod departure;
mod merge;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    Name,
    floor::{Floor, Sample},
    group::Group,
    membership::HostId,
    session::Position,
    succession::Fencing,
};

use departure::Departure;
pub use merge::merge;

/// Age after which a host's observation no longer counts as a success or failure, in milliseconds.
const OBSERVATION_MAX_AGE_MS: u64 = 1_500;

/// One host's observation of one primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Service.
    pub service: Name,
    /// Term of the primary.
    pub term: u64,
    /// How long every operation at it has failed, in milliseconds.
    pub failing_ms: Option<u64>,
    /// Time since the last successful operation at it, in milliseconds.
    pub served_ms: Option<u64>,
    /// Newest commit that the host has acknowledged in any term.
    pub acknowledged: Position,
    /// Change of primary for which the host has released the old primary.
    pub released: Option<u64>,
    /// Recent operations of the service at this host, as a decaying count.
    pub operations: u64,
    /// Newest sample, in the leader's clock, with the term of that leader.
    pub sample: Option<(u64, Sample)>,
}

/// One host's use of one service, which cannot be merged with that of other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
    /// Service.
    pub service: Name,
    /// Change of primary for which the host has released the old primary.
    pub released: Option<u64>,
    /// Recent operations of the service at this host, as a decaying count.
    pub operations: u64,
}

impl Observation {
    /// Whether the host has not used the primary at all, so that there is nothing to report.
    pub fn is_empty(&self) -> bool {
        let never_used = self.failing_ms.is_none() && self.served_ms.is_none();
        let nothing_seen = self.sample.is_none() && self.acknowledged == Position::default();
        never_used && nothing_seen && self.released.is_none() && self.operations == 0
    }

    /// The part that concerns this host alone.
    pub fn to_use(&self) -> Use {
        Use {
            service: self.service.clone(),
            released: self.released,
            operations: self.operations,
        }
    }
}

/// Latest observation of a host, and when the control leader received it.
#[derive(Clone, Debug)]
struct TimedObservation {
    at: u64,
    observation: Observation,
}

/// The observations of all hosts and services, at the control leader.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    leader_term: u64,
    /// Latest observation by service and process. What a process reported does not hold for the next one
    /// of its host.
    received: BTreeMap<Name, BTreeMap<HostId, TimedObservation>>,
    /// Latest use by service and process.
    uses: BTreeMap<Name, BTreeMap<HostId, Use>>,
    acknowledged: BTreeMap<Name, Position>,
    floors: BTreeMap<Name, Floor>,
    /// Until when hosts that left under earlier leaders may have acknowledged commits.
    earlier: Departure,
    /// The same for hosts that left under this leader, by service.
    departures: BTreeMap<Name, Departure>,
}

impl Observations {
    /// Starts empty, for the leader of that term. Hosts that left the view before may have acknowledged
    /// commits until `acting_until`; 0 if there were none.
    pub fn new(leader_term: u64, acting_until: u64) -> Self {
        Self {
            leader_term,
            earlier: Departure::new(acting_until),
            ..Self::default()
        }
    }

    /// Notes processes of hosts that left the view, and that may use the primary of `service` until
    /// `acting_until`. One that has released it for `change` has reported all that it acknowledged.
    pub fn note_departures(
        &mut self,
        service: &Name,
        hosts: &[HostId],
        change: Option<u64>,
        acting_until: u64,
    ) {
        let has_left_unheard = hosts
            .iter()
            .any(|host| !self.has_released(service, host, change));
        if has_left_unheard {
            self.departures
                .insert(service.clone(), Departure::new(acting_until));
        }
    }

    fn has_released(&self, service: &str, host: &HostId, change: Option<u64>) -> bool {
        let used = self.uses.get(service).and_then(|hosts| hosts.get(host));
        used.is_some_and(|used| change.is_some() && used.released == change)
    }

    /// Drops the observations of hosts that are no longer in view, but not the positions that these
    /// hosts have acknowledged.
    pub fn retain_hosts<F>(&mut self, in_view: F)
    where
        F: Fn(&HostId) -> bool,
    {
        for hosts in self.received.values_mut() {
            hosts.retain(|host, _| in_view(host));
        }
        for hosts in self.uses.values_mut() {
            hosts.retain(|host, _| in_view(host));
        }
    }

    /// Recent operations at a host; `None` if it has not reported an observation of the service.
    pub fn operations(&self, service: &str, host: &HostId) -> Option<u64> {
        let used = self.uses.get(service)?.get(host)?;
        Some(used.operations)
    }

    /// Records what a host that follows through a relay uses.
    pub fn record_uses(&mut self, host: &HostId, uses: Vec<Use>) {
        for used in uses {
            let hosts = self.uses.entry(used.service.clone()).or_default();
            hosts.insert(host.clone(), used);
        }
    }

    /// Records the observations of a host.
    pub fn record(&mut self, now: u64, host: &HostId, observations: Vec<Observation>) {
        let uses = observations.iter().map(Observation::to_use).collect();
        self.record_uses(host, uses);
        for observation in observations {
            let service = observation.service.clone();
            let highest = self.acknowledged.entry(service.clone()).or_default();
            *highest = observation.acknowledged.max(*highest);
            if let Some((leader_term, sample)) = observation.sample
                && leader_term == self.leader_term
                && sample.at <= now
            {
                self.add_sample(&service, observation.term, sample);
            }
            let hosts = self.received.entry(service).or_default();
            let received = TimedObservation {
                at: now,
                observation,
            };
            hosts.insert(host.clone(), received);
        }
    }

    /// Adds a sample in the leader's clock.
    pub fn add_sample(&mut self, service: &Name, term: u64, sample: Sample) {
        let earlier = self.earlier;
        let departure = self.departures.entry(service.clone()).or_insert(earlier);
        departure.note_sample(sample);
        let floor = self.floors.entry(service.clone()).or_default();
        floor.add(term, sample);
    }

    /// How long operations at the primary of `term` have failed on some host while none succeeded
    /// on any, in milliseconds.
    pub fn failing_ms(&self, now: u64, service: &str, term: u64) -> Option<u64> {
        let hosts = self.received.get(service)?;
        let recent = |received: &&TimedObservation| {
            received.observation.term == term && now < received.at + OBSERVATION_MAX_AGE_MS
        };
        let elapsed = |received: &TimedObservation, ms: u64| ms + now.saturating_sub(received.at);
        let failing = hosts.values().filter(recent);
        let failing = failing
            .filter_map(|received| Some(elapsed(received, received.observation.failing_ms?)))
            .max()?;
        let served = hosts.values().filter(recent);
        let served = served
            .filter_map(|received| Some(elapsed(received, received.observation.served_ms?)))
            .min();
        match served {
            Some(served) if served < failing => None,
            _ => Some(failing),
        }
    }

    /// How far the hosts have been fenced off from the primary that is being replaced.
    ///
    /// `hosts` are the serving hosts in view, each with the time at which its lease has certainly
    /// expired.
    pub fn fencing<I>(&self, now: u64, service: &str, group: &Group, hosts: I) -> Fencing
    where
        I: IntoIterator<Item = (HostId, u64)>,
    {
        let change = group.change.map(|change| change.index);
        let departure = self.departures.get(service).unwrap_or(&self.earlier);
        let departed = departure.bound();
        let mut complete = true;
        let mut confirmed = departed.is_some();
        for (host, lease_ends_at) in hosts {
            let has_released = self.has_released(service, &host, change);
            confirmed &= has_released;
            complete &= has_released || now >= lease_ends_at;
        }
        Fencing {
            complete,
            confirmed,
            departed: departed.unwrap_or_default(),
            acknowledged: self.acknowledged.get(service).copied().unwrap_or_default(),
        }
    }

    /// Newest sample of each service, with its term, if reads can still use it.
    pub fn newest_samples(&self, now: u64) -> impl Iterator<Item = (&Name, u64, Sample)> {
        let floors = self.floors.iter();
        floors.filter_map(move |(service, floor)| {
            let (term, sample) = floor.newest_usable(now)?;
            Some((service, term, sample))
        })
    }
}
