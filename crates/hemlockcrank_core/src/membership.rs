//! The committed view of live hosts, and the assignments computed from it.
//!
//! From the same [`View`], every host computes the same owner of a rate limit and the same watchers
//! of a database, so these need no agreement of their own. Assignments use rendezvous hashing: when
//! a host joins or leaves, only the keys assigned to it move.
//!
//! ```
//! use hemlockcrank_core::membership::{Host, View};
//!
//! let mut view = View::default();
//! for name in ["a", "b", "c"] {
//!     view.insert(Host::new(name, "zone-1"));
//! }
//! let before = view.owner("workspace/teclado").cloned();
//! view.remove("c", 0);
//! let after = view.owner("workspace/teclado").cloned();
//! assert!(before == after || before.as_deref() == Some("c"));
//! ```

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::Name;

/// Placeholder for a host without addresses, used in fixtures.
const NO_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// One live host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Host {
    /// Name, from its settings.
    pub name: Name,
    /// Start time of its process; a newer one replaces an older one.
    pub incarnation: u64,
    /// Availability zone, from its settings.
    pub zone: Name,
    /// Address for other hosts.
    pub peer: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Address for a platform's operators and members, on hosts that serve the platform's control
    /// traffic.
    pub control: Option<SocketAddr>,
}

/// One process of a host, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostId {
    /// Name of the host.
    pub name: Name,
    /// Start time of the process.
    pub incarnation: u64,
}

impl Host {
    /// Identifies this process of the host.
    pub fn id(&self) -> HostId {
        HostId {
            name: self.name.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Creates a host without addresses.
    pub fn new(name: impl Into<Name>, zone: impl Into<Name>) -> Self {
        Self {
            name: name.into(),
            incarnation: 0,
            zone: zone.into(),
            peer: NO_ADDRESS,
            operator: NO_ADDRESS,
            control: None,
        }
    }
}

/// All live hosts as of one log index. Clones share structure.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    hosts: OrdMap<Name, HashedHost>,
}

/// A host and the hash of its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HashedHost {
    host: Host,
    hash: u64,
}

impl View {
    /// Adds a host, unless the view has a newer incarnation of it; returns whether the view
    /// changed.
    pub fn insert(&mut self, host: Host) -> bool {
        match self.get(&host.name) {
            Some(current) if *current == host || current.incarnation > host.incarnation => false,
            _ => {
                let hash = hash(&host.name);
                self.hosts
                    .insert(host.name.clone(), HashedHost { host, hash });
                true
            }
        }
    }

    /// Removes a host, unless the view has a newer incarnation of it; returns whether the view
    /// changed.
    pub fn remove(&mut self, name: &str, incarnation: u64) -> bool {
        let removable = self
            .get(name)
            .is_some_and(|host| host.incarnation <= incarnation);
        if removable {
            self.hosts.remove(name);
        }
        removable
    }

    /// The host named `name`.
    pub fn get(&self, name: &str) -> Option<&Host> {
        self.hosts.get(name).map(|hashed| &hashed.host)
    }

    /// The host of this process, if it is the one in view.
    pub fn find(&self, id: &HostId) -> Option<&Host> {
        self.get(&id.name)
            .filter(|host| host.incarnation == id.incarnation)
    }

    /// The control host from which `host` receives the log when it does not ask the leader: one in
    /// its own availability zone where there is one.
    pub fn relay_for(&self, host: &Host) -> Option<&Host> {
        let key = hash(&host.name);
        let controls = self
            .hosts
            .values()
            .filter(|hashed| hashed.host.control.is_some() && hashed.host.name != host.name);
        let best =
            controls.max_by_key(|hashed| (hashed.host.zone == host.zone, score(key, hashed)));
        best.map(|hashed| &hashed.host)
    }

    /// All hosts, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values().map(|hashed| &hashed.host)
    }

    /// Number of live hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether there are no live hosts.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// The host that owns `key`.
    pub fn owner(&self, key: &str) -> Option<&Name> {
        let key = hash(key);
        let best = self.hosts.values().max_by_key(|hashed| score(key, hashed));
        best.map(|hashed| &hashed.host.name)
    }

    /// Hosts that serve callers, which excludes those that serve a platform's control traffic.
    pub fn serving(&self) -> impl Iterator<Item = &Host> {
        self.iter().filter(|host| host.control.is_none())
    }

    /// Whether the host is live and serves callers.
    pub fn serves(&self, name: &str) -> bool {
        self.get(name).is_some_and(|host| host.control.is_none())
    }

    /// The owner of `key` among the hosts that serve callers.
    pub fn serving_owner(&self, key: &str) -> Option<&Name> {
        let key = hash(key);
        let serving = self
            .hosts
            .values()
            .filter(|hashed| hashed.host.control.is_none());
        let best = serving.max_by_key(|hashed| score(key, hashed));
        best.map(|hashed| &hashed.host.name)
    }

    /// Rank of a host for `key` in rendezvous hashing; 0 for a host that is not live.
    pub(crate) fn score(&self, host: &str, key: &str) -> u64 {
        self.hosts
            .get(host)
            .map_or(0, |hashed| score(hash(key), hashed))
    }

    /// Selects up to `count` hosts for `key`, in different availability zones where there are
    /// enough.
    pub fn select_across_zones(&self, key: &str, count: usize) -> Vec<Name> {
        let key = hash(key);
        let mut best_per_zone: BTreeMap<&Name, (u64, &Host)> = BTreeMap::new();
        for hashed in self.hosts.values() {
            let candidate = (score(key, hashed), &hashed.host);
            let current = best_per_zone.entry(&hashed.host.zone).or_insert(candidate);
            if candidate.0 > current.0 {
                *current = candidate;
            }
        }
        let mut chosen: Vec<(u64, &Host)> = best_per_zone.into_values().collect();
        chosen.sort_by_key(|(score, _)| Reverse(*score));
        chosen.truncate(count);
        let mut names: Vec<Name> = chosen
            .into_iter()
            .map(|(_, host)| host.name.clone())
            .collect();
        if names.len() < count {
            self.fill(key, count, &mut names);
        }
        names
    }

    /// Fills `names` up to `count` with the highest-scoring hosts that are not selected yet.
    fn fill(&self, key: u64, count: usize, names: &mut Vec<Name>) {
        let mut ranked: Vec<&HashedHost> = self.hosts.values().collect();
        ranked.sort_by_key(|hashed| Reverse(score(key, hashed)));
        for hashed in ranked {
            if names.len() < count && !names.contains(&hashed.host.name) {
                names.push(hashed.host.name.clone());
            }
        }
    }
}

/// Hashes a name or key; the result is the same on every host and build.
fn hash(text: &str) -> u64 {
    let digest = blake3::hash(text.as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(head)
}

/// Number below `count` that a key is hashed to.
pub(crate) fn bucket(key: &str, count: usize) -> usize {
    usize::try_from(hash(key) % count.max(1) as u64).unwrap_or(0)
}

/// Score of a host for a key: both hashes mixed by the finalizer of SplitMix64.
fn score(key: u64, hashed: &HashedHost) -> u64 {
    let mut mixed = key ^ hashed.hash.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
