//! Following the control log through a relay.
//!
//! On a large site the leader would spend its time answering every host. A control host that does
//! not lead is a relay: the hosts of its availability zone poll it in place of the leader. It answers
//! from its own copy of the state and passes on what remains of its own lease.
//!
//! The leader has to know by when the lease of every host has certainly expired, also of one that
//! it never hears from directly. So a relay lists the hosts that it heard lately in each of its own
//! polls, and grants a host a lease only under a lease of its own that it obtained with a poll that
//! listed this process of the host. The leader counts a listed host as heard when it receives the
//! list: the host's lease ends at most [`crate::lease::DURATION_MS`] later.
//!
//! A relay may still list a host whose removal it has not applied yet; the leader ignores that.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    Name,
    failover::Report,
    membership::{Host, HostId, View},
    metering::Tally,
    observation::{Observation, Use, merge},
};

/// Number of hosts in the view, control hosts included, up to which all of them follow the leader
/// directly.
pub const MAX_DIRECT_FOLLOWERS: usize = 24;
/// Time after a host was last heard for which it is listed, in milliseconds.
const LISTED_MS: u64 = 700;
/// Interval between two reports of the hosts' use of the services, in milliseconds.
const USES_INTERVAL_MS: u64 = 1_000;
/// Shortest and longest interval between two polls of a relay, in milliseconds.
const POLL_INTERVAL_MS: (u64, u64) = (100, 500);

/// What a relay reports of a host that follows through it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Follower {
    /// The process.
    pub id: HostId,
    /// Its data, while it is not in the relay's view.
    pub host: Option<Host>,
    /// Last log index that it has applied.
    pub applied: u64,
    /// Its reports on databases.
    pub reports: Vec<Report>,
    /// Its use of the services, if it has changed or is due.
    pub uses: Vec<Use>,
    /// Its count of operations since the last poll of the relay.
    pub usage: Option<Tally>,
}

/// The last poll of a follower.
#[derive(Clone, Debug)]
struct Heard {
    at: u64,
    host: Host,
    applied: u64,
    reports: Vec<Report>,
    observations: Vec<Observation>,
    /// Whether the use of the services has to be reported with the next poll.
    uses_due: bool,
    /// Its count of operations, and when it was received.
    usage: Option<(u64, Tally)>,
}

/// The hosts that follow the log through this relay.
#[derive(Clone, Debug, Default)]
pub struct Followers {
    heard: BTreeMap<Name, Heard>,
    uses_reported_at: u64,
    urgent: bool,
}

impl Followers {
    /// Notes a poll of a host.
    pub fn note(
        &mut self,
        now: u64,
        host: Host,
        applied: u64,
        reports: Vec<Report>,
        observations: Vec<Observation>,
    ) {
        let last = self.heard.get(&host.name);
        let last = last.filter(|last| last.host == host);
        let urgent = is_urgent(last.map(|last| &*last.observations), &observations)
            || reports.iter().any(|report| report.suspects);
        let uses_due = urgent || last.is_none_or(|last| last.uses_due);
        let usage = last.and_then(|last| last.usage.clone());
        self.urgent |= urgent;
        let name = host.name.clone();
        let heard = Heard {
            at: now,
            host,
            applied,
            reports,
            observations,
            uses_due,
            usage,
        };
        self.heard.insert(name, heard);
    }

    /// Notes the count of operations that came with a poll. One that is lost on its way to the leader is
    /// repeated by the host.
    pub fn note_usage(&mut self, now: u64, host: &Name, mut tally: Tally) {
        if let Some(heard) = self.heard.get_mut(host) {
            if let Some((_, older)) = heard.usage.take() {
                tally.add_older(older);
            }
            heard.usage = Some((now, tally));
        }
    }

    /// Drops the hosts that are silent, and those that have left the view that they were in.
    pub fn retain(&mut self, now: u64, old: &View, new: &View) {
        self.heard.retain(|name, heard| {
            let left = old.get(name).is_some() && new.get(name).is_none();
            now < heard.at + LISTED_MS && !left
        });
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.heard.len()
    }

    /// Whether no host follows through this relay.
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }

    /// Names of the hosts.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.heard.keys()
    }

    /// Whether the leader should hear at once what a host has reported; resets the answer.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// Time that the leader may hold this relay's poll, in milliseconds: shorter with more hosts,
    /// because each of them adds samples that the others wait for.
    pub fn poll_interval_ms(&self) -> u64 {
        let (shortest, longest) = POLL_INTERVAL_MS;
        let hosts = u64::try_from(self.len()).unwrap_or(u64::MAX).max(1);
        (longest / hosts).clamp(shortest, longest)
    }

    /// The hosts to list in a poll sent now.
    pub fn list(&mut self, now: u64, view: &View) -> Vec<Follower> {
        let uses_due = now >= self.uses_reported_at + USES_INTERVAL_MS;
        if uses_due {
            self.uses_reported_at = now;
        }
        let listed = self.heard.values_mut();
        let listed = listed.filter(|heard| now < heard.at + LISTED_MS);
        let report = |heard: &mut Heard| {
            let with_uses = std::mem::take(&mut heard.uses_due) || uses_due;
            let uses = heard.observations.iter().filter(|_| with_uses);
            Follower {
                id: heard.host.id(),
                host: (view.get(&heard.host.name) != Some(&heard.host)).then(|| heard.host.clone()),
                applied: heard.applied,
                reports: heard.reports.clone(),
                uses: uses.map(Observation::to_use).collect(),
                usage: heard.usage.take().map(|(at, tally)| Tally {
                    age_ms: now.saturating_sub(at),
                    ..tally
                }),
            }
        };
        listed.map(report).collect()
    }

    /// Has the use of the services reported again, after a poll that may not have arrived.
    pub fn repeat_uses(&mut self) {
        self.uses_reported_at = 0;
    }

    /// The hosts' observations, merged by service.
    pub fn observations(&self, now: u64) -> Vec<Observation> {
        merge(self.heard.values().flat_map(|heard| {
            let age_ms = now.saturating_sub(heard.at);
            heard
                .observations
                .iter()
                .map(move |observation| (age_ms, observation))
        }))
    }
}

/// Whether a host has released a primary, or failed at one, since its last poll.
fn is_urgent(last: Option<&[Observation]>, observations: &[Observation]) -> bool {
    let previous = |service: &Name| {
        let mut last = last.into_iter().flatten();
        last.find(|observation| observation.service == *service)
    };
    observations.iter().any(|observation| {
        let previous = previous(&observation.service);
        let released = previous.and_then(|previous| previous.released);
        let failing = previous.is_some_and(|previous| previous.failing_ms.is_some());
        (observation.released.is_some() && observation.released != released)
            || (observation.failing_ms.is_some() && !failing)
    })
}

/// Processes listed in a poll.
pub fn ids(followers: &[Follower]) -> BTreeSet<HostId> {
    followers
        .iter()
        .map(|follower| follower.id.clone())
        .collect()
}
