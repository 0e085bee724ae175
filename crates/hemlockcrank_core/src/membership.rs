//! The committed view of live hosts, and the choices that are functions of it.
//!
//! Every host computes the same owner of an allotment, the same watchers of a database and the same
//! parent from the same [`View`]; nothing else has to be agreed on. Choices use rendezvous hashing, so
//! a host that comes or goes moves only its own share.
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

/// Port and address that stand for "none" in fixtures.
const NO_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// One live host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Host {
    /// Name from its settings.
    pub name: Name,
    /// Start time of its process; a newer one replaces an older one.
    pub incarnation: u64,
    /// Availability zone from its settings.
    pub zone: Name,
    /// Where other hosts reach it.
    pub peer: SocketAddr,
    /// Where operators reach it.
    pub operator: SocketAddr,
    /// Where a platform's operators and members reach it, on hosts that serve them.
    pub control: Option<SocketAddr>,
}

impl Host {
    /// A host without addresses.
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

/// All live hosts as of one log index; versions share their parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    hosts: OrdMap<Name, Listed>,
}

/// A host with the hash of its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Listed {
    host: Host,
    hash: u64,
}

impl View {
    /// Adds a host, unless a newer incarnation of it is known; returns whether the view changed.
    pub fn insert(&mut self, host: Host) -> bool {
        match self.get(&host.name) {
            Some(known) if *known == host || known.incarnation > host.incarnation => false,
            _ => {
                let hash = hash(&host.name);
                self.hosts.insert(host.name.clone(), Listed { host, hash });
                true
            }
        }
    }

    /// Removes a host, unless a newer incarnation of it has come; returns whether the view changed.
    pub fn remove(&mut self, name: &str, incarnation: u64) -> bool {
        let same = self
            .get(name)
            .is_some_and(|host| host.incarnation <= incarnation);
        if same {
            self.hosts.remove(name);
        }
        same
    }

    /// The host of that name.
    pub fn get(&self, name: &str) -> Option<&Host> {
        self.hosts.get(name).map(|listed| &listed.host)
    }

    /// All hosts in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values().map(|listed| &listed.host)
    }

    /// Number of live hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no host is live.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// The one host that owns `key`.
    pub fn owner(&self, key: &str) -> Option<&Name> {
        let key = hash(key);
        let best = self.hosts.values().max_by_key(|listed| score(key, listed));
        best.map(|listed| &listed.host.name)
    }

    /// Hosts that serve callers: those that serve a platform's control are left out.
    pub fn serving(&self) -> impl Iterator<Item = &Host> {
        self.iter().filter(|host| host.control.is_none())
    }

    /// Whether a host is in view and serves callers.
    pub fn serves(&self, name: &str) -> bool {
        self.get(name).is_some_and(|host| host.control.is_none())
    }

    /// The one serving host that owns `key`: hosts that serve a platform's control are left out.
    pub fn serving_owner(&self, key: &str) -> Option<&Name> {
        let key = hash(key);
        let serving = self
            .hosts
            .values()
            .filter(|listed| listed.host.control.is_none());
        let best = serving.max_by_key(|listed| score(key, listed));
        best.map(|listed| &listed.host.name)
    }

    /// Up to `count` hosts for `key`, in different availability zones as far as there are enough.
    pub fn select_across_zones(&self, key: &str, count: usize) -> Vec<Name> {
        let key = hash(key);
        let mut best: BTreeMap<&Name, (u64, &Host)> = BTreeMap::new();
        for listed in self.hosts.values() {
            let entry = (score(key, listed), &listed.host);
            let known = best.entry(&listed.host.zone).or_insert(entry);
            if entry.0 > known.0 {
                *known = entry;
            }
        }
        let mut chosen: Vec<(u64, &Host)> = best.into_values().collect();
        chosen.sort_by_key(|(score, _)| Reverse(*score));
        chosen.truncate(count);
        let mut names: Vec<Name> = chosen.into_iter().map(|(_, h)| h.name.clone()).collect();
        if names.len() < count {
            self.fill(key, count, &mut names);
        }
        names
    }

    /// Adds the best of the hosts that are not chosen yet.
    fn fill(&self, key: u64, count: usize, names: &mut Vec<Name>) {
        let mut ranked: Vec<&Listed> = self.hosts.values().collect();
        ranked.sort_by_key(|listed| Reverse(score(key, listed)));
        for listed in ranked {
            if names.len() < count && !names.contains(&listed.host.name) {
                names.push(listed.host.name.clone());
            }
        }
    }
}

/// Hash of a name or key, the same on every host and build.
fn hash(text: &str) -> u64 {
    let digest = blake3::hash(text.as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(head)
}

/// Rank of a host for a key: a mix of both hashes (the finalizer of SplitMix64).
fn score(key: u64, listed: &Listed) -> u64 {
    let mut mixed = key ^ listed.hash.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
