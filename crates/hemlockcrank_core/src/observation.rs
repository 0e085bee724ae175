//! What serving hosts say of the primaries that they use, and what the leader makes of it.
//!
//! A [`Observation`] travels with each question for news. [`Observations`] puts them together: who fails at which
//! primary, who has let go of one in a change, how far commits have been acknowledged, and the newest
//! samples of [`crate::floor`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    Name,
    floor::{Floor, Sample},
    group::Group,
    session::Position,
    succession::Fencing,
};

/// Age after which a host's success or failure counts no more, in milliseconds.
const SIGHT_MS: u64 = 1_500;

/// One host's word on one primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Service.
    pub service: Name,
    /// Term of the primary.
    pub term: u64,
    /// How long all attempts at it have failed, in milliseconds.
    pub failing_ms: Option<u64>,
    /// Time since the last success at it, in milliseconds.
    pub served_ms: Option<u64>,
    /// Newest commit that the host has acknowledged in any term.
    pub acknowledged: Position,
    /// Change for which the host has let go of the old primary.
    pub released: Option<u64>,
    /// Operations that came lately.
    pub operations: u64,
    /// Newest sample, by the leader's clock, with the leadership that the clock belongs to.
    pub sample: Option<(u64, Sample)>,
}

#[derive(Clone, Debug)]
struct Noted {
    at: u64,
    sight: Observation,
}

/// All hosts' sights of all services, at the leader.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    leadership: u64,
    noted: BTreeMap<Name, BTreeMap<Name, Noted>>,
    acknowledged: BTreeMap<Name, Position>,
    floors: BTreeMap<Name, Floor>,
}

impl Observations {
    /// Begins the leadership of that number.
    pub fn new(leadership: u64) -> Self {
        Self {
            leadership,
            ..Self::default()
        }
    }

    /// Forgets what hosts have said that are not in view any more; what they acknowledged stays.
    pub fn retain_hosts<F>(&mut self, in_view: F)
    where
        F: Fn(&Name) -> bool,
    {
        for hosts in self.noted.values_mut() {
            hosts.retain(|host, _| in_view(host));
        }
    }

    /// Operations that came lately at each host that has spoken of the service.
    pub fn operations(&self, service: &str) -> impl Iterator<Item = (Name, u64)> {
        let hosts = self.noted.get(service).into_iter().flatten();
        hosts.map(|(host, noted)| (host.clone(), noted.sight.operations))
    }

    /// Takes a host's sights.
    pub fn record(&mut self, now: u64, host: &Name, sights: Vec<Observation>) {
        for sight in sights {
            let service = sight.service.clone();
            let best = self.acknowledged.entry(service.clone()).or_default();
            *best = sight.acknowledged.max(*best);
            if let Some((leadership, sample)) = sight.sample
                && leadership == self.leadership
                && sample.at <= now
            {
                let floor = self.floors.entry(service.clone()).or_default();
                floor.add(sight.term, sample);
            }
            let hosts = self.noted.entry(service).or_default();
            hosts.insert(host.clone(), Noted { at: now, sight });
        }
    }

    /// Adds a sample that the leader itself has taken.
    pub fn add_sample(&mut self, service: &Name, term: u64, sample: Sample) {
        let floor = self.floors.entry(service.clone()).or_default();
        floor.add(term, sample);
    }

    /// How long hosts have failed at the primary of `term` while none succeeded, in milliseconds.
    pub fn failing_ms(&self, now: u64, service: &str, term: u64) -> Option<u64> {
        let hosts = self.noted.get(service)?;
        let recent = |noted: &&Noted| noted.sight.term == term && now < noted.at + SIGHT_MS;
        let since = |noted: &Noted, ms: u64| ms + now.saturating_sub(noted.at);
        let failing = hosts.values().filter(recent);
        let failing = failing
            .filter_map(|noted| Some(since(noted, noted.sight.failing_ms?)))
            .max()?;
        let served = hosts.values().filter(recent);
        let served = served
            .filter_map(|noted| Some(since(noted, noted.sight.served_ms?)))
            .min();
        match served {
            Some(ago) if ago < failing => None,
            _ => Some(failing),
        }
    }

    /// How far the hosts have let go of the primary that is being replaced.
    ///
    /// `hosts` are the serving hosts in view, each with the time at which its lease surely ends.
    pub fn fencing<'a, I>(&self, now: u64, service: &str, group: &Group, hosts: I) -> Fencing
    where
        I: IntoIterator<Item = (&'a Name, u64)>,
    {
        let change = group.change.map(|change| change.index);
        let noted = self.noted.get(service);
        let released = |host: &Name| {
            let noted = noted.and_then(|hosts| hosts.get(host));
            noted.is_some_and(|noted| change.is_some() && noted.sight.released == change)
        };
        let mut all = true;
        let mut exact = true;
        for (host, ends_at) in hosts {
            let said = released(host);
            exact &= said;
            all &= said || now >= ends_at;
        }
        Fencing {
            complete: all,
            confirmed: exact,
            acknowledged: self.acknowledged.get(service).copied().unwrap_or_default(),
        }
    }

    /// Newest samples by service, with their term.
    pub fn newest_samples(&self) -> impl Iterator<Item = (&Name, u64, Sample)> {
        let floors = self.floors.iter();
        floors.filter_map(|(service, floor)| {
            let (term, sample) = floor.newest()?;
            Some((service, term, sample))
        })
    }
}
