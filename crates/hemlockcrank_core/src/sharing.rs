//! Connections that the hosts of an availability zone share.
//!
//! On a large site a host has few connections to each member, and seldom one of the workspace that a
//! statement comes from. There, the operations of all hosts of a zone on one service run at a few
//! *executors* in that zone, whose connections are used by all of them. An [`Assignment`] names the
//! executors. Every host computes it from the same committed view, so it needs no agreement. Hosts
//! whose views differ for a moment may name different executors; then fewer connections are reused,
//! and nothing else changes.
//!
//! [`Executors`] is what one host observes of them: those that do not answer are avoided for a while.
//! [`Sent`] says what a missing answer means for the caller.
//!
//! A host is executor of a second service only if all hosts of the zone are executors, because entry
//! hosts are small.
//!
//! ```
//! use hemlockcrank_core::{membership::{Host, View}, sharing::Assignment};
//!
//! let mut view = View::default();
//! for name in ["a", "b", "c", "d"] {
//!     view.insert(Host::new(name, "zone-1"));
//! }
//! let assignment = Assignment::new(&view, "zone-1", ["orders".into(), "stock".into()]);
//! assert_ne!(
//!     assignment.executors("orders", "teclado").next(),
//!     assignment.executors("stock", "teclado").next(),
//! );
//! ```

mod health;
mod loss;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use crate::{
    Name,
    connections::Fleet,
    membership::{Host, View, bucket},
};

pub use health::Executors;
pub use loss::{Loss, Sent};

/// Entry hosts of a zone from which on they share connections. With fewer, an executor would replace
/// few pools.
const MIN_HOSTS: usize = 4;
/// Largest number of executors of a service in a zone. Each additional one splits the connections.
const MAX_EXECUTORS: usize = 2;
/// Connections of a member for each host, in tenths, below which the hosts share them. A host with more
/// of its own reuses them about as often as an executor would.
const MIN_OWN_TENTHS: u64 = 25;
/// Part of a member's connections that executors use, in percent. The rest is for hosts that cannot
/// reach their executor, and for the system's own queries.
const EXECUTOR_PERCENT: u64 = 80;

/// The executors of all services in one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    executors: BTreeMap<Name, Vec<Name>>,
    /// Zones that have executors of their own.
    zones: u64,
}

/// Whether hosts share their connections to the members of a service.
pub fn is_shared(fleet: Fleet, zone_hosts: usize) -> bool {
    zone_hosts >= MIN_HOSTS && fleet.connections * 10 < fleet.hosts * MIN_OWN_TENTHS
}

impl Assignment {
    /// Assigns executors in `zone` to `services`.
    pub fn new<I>(view: &View, zone: &str, services: I) -> Self
    where
        I: IntoIterator<Item = Name>,
    {
        let hosts: Vec<&Host> = view.serving().filter(|host| *host.zone == *zone).collect();
        let mut services: Vec<Name> = services.into_iter().collect();
        services.sort();
        services.dedup();
        let zones: BTreeSet<&Name> = view.serving().map(|host| &host.zone).collect();
        let per_service = hosts.len().checked_div(services.len()).unwrap_or(0);
        let mut assignment = Self {
            zones: zones.len() as u64,
            ..Self::default()
        };
        let mut assigned: BTreeMap<&Name, usize> = BTreeMap::new();
        for _ in 0..per_service.clamp(1, MAX_EXECUTORS) {
            for service in &services {
                let best = hosts.iter().min_by_key(|host| {
                    let count = assigned.get(&host.name).copied().unwrap_or(0);
                    (count, Reverse(view.score(&host.name, service)))
                });
                let Some(host) = best else { continue };
                *assigned.entry(&host.name).or_default() += 1;
                let executors = assignment.executors.entry(service.clone()).or_default();
                executors.push(host.name.clone());
            }
        }
        assignment
    }

    /// Executors for a workspace's operations on a service, the preferred one first. The others are
    /// for the time in which it cannot be reached.
    pub fn executors(&self, service: &str, workspace: &str) -> impl Iterator<Item = &Name> {
        let executors = self.executors.get(service).map_or(&[][..], Vec::as_slice);
        let first = match executors.len() {
            0 | 1 => 0,
            count => bucket(workspace, count),
        };
        executors[first..].iter().chain(&executors[..first])
    }

    /// Whether `host` is an executor of the service.
    pub fn is_executor(&self, service: &str, host: &str) -> bool {
        let mut executors = self.executors.get(service).into_iter().flatten();
        executors.any(|executor| **executor == *host)
    }

    /// Connections that each executor of a service may have to a member that accepts `accepted`.
    pub fn connections(&self, service: &str, accepted: u64) -> usize {
        let executors = self.executors.get(service).map_or(1, Vec::len) as u64;
        let all = accepted * EXECUTOR_PERCENT / 100;
        let connections = all / (self.zones.max(1) * executors.max(1));
        usize::try_from(connections).unwrap_or(usize::MAX).max(1)
    }
}
