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

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

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
        }
    }
}

/// All live hosts as of one log index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    hosts: BTreeMap<Name, Host>,
}

impl View {
    /// Adds a host, unless a newer incarnation of it is known; returns whether the view changed.
    pub fn insert(&mut self, host: Host) -> bool {
        match self.hosts.get(&host.name) {
            Some(known) if *known == host || known.incarnation > host.incarnation => false,
            _ => {
                self.hosts.insert(host.name.clone(), host);
                true
            }
        }
    }

    /// Removes a host, unless a newer incarnation of it has come; returns whether the view changed.
    pub fn remove(&mut self, name: &str, incarnation: u64) -> bool {
        let same = self
            .hosts
            .get(name)
            .is_some_and(|host| host.incarnation <= incarnation);
        if same {
            self.hosts.remove(name);
        }
        same
    }

    /// The host of that name.
    pub fn get(&self, name: &str) -> Option<&Host> {
        self.hosts.get(name)
    }

    /// All hosts in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
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
        self.hosts.keys().max_by_key(|name| score(key, name))
    }

    /// Up to `count` hosts for `key`, in different availability zones as far as there are enough.
    pub fn spread(&self, key: &str, count: usize) -> Vec<Name> {
        let mut ranked: Vec<&Host> = self.hosts.values().collect();
        ranked.sort_by_key(|host| std::cmp::Reverse(score(key, &host.name)));
        let mut chosen: Vec<Name> = Vec::new();
        let mut zones: BTreeSet<&Name> = BTreeSet::new();
        for host in &ranked {
            if chosen.len() < count && zones.insert(&host.zone) {
                chosen.push(host.name.clone());
            }
        }
        for host in ranked {
            if chosen.len() < count && !chosen.contains(&host.name) {
                chosen.push(host.name.clone());
            }
        }
        chosen
    }
}

/// Rank of `name` for `key`, the same on every host and build.
fn score(key: &str, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    let bytes = hasher.finalize();
    let mut head = [0; 8];
    head.copy_from_slice(&bytes.as_bytes()[..8]);
    u64::from_le_bytes(head)
}
