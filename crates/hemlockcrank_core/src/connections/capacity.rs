//! How many connections a host may have to a member, and for how long it keeps idle ones.

use crate::usage::Usage;

/// Connections that a host may have to a member that all hosts together can use up, if the host closes
/// idle ones.
const BORROWED_CAPACITY: usize = 3;
/// Connections of a member for each host from which on the hosts keep idle ones.
const MIN_KEPT_PER_HOST: u64 = 2;
/// Part of a member's connections that may be idle, as one part in this many.
const IDLE_PART: u64 = 2;
/// Shortest and longest time for which an idle connection is kept, in milliseconds.
const LINGER_MS: (u64, u64) = (50, 2_000);

/// Connections that a host may have to a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Largest number of connections.
    pub connections: usize,
    /// Set if there are too few for each host to keep its own.
    pub fleet: Option<Fleet>,
}

/// All connections of a member, and the hosts that need them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Connections that the member accepts.
    pub connections: u64,
    /// Hosts that serve callers.
    pub hosts: u64,
}

impl Fleet {
    /// Time after which an idle connection is closed, in milliseconds, for a host with `uses` recent
    /// uses of the member, counted with this half-life. It is so short that the idle connections of all
    /// hosts take a part of what the member accepts, if the others use it as much as this host does.
    pub(super) fn linger_ms(&self, uses: u64, half_life_ms: u64) -> u64 {
        let (shortest, longest) = LINGER_MS;
        let spared = self.connections * Usage::one_use() * half_life_ms / IDLE_PART;
        let linger_ms = spared.checked_div(uses * self.hosts);
        linger_ms.unwrap_or(longest).clamp(shortest, longest)
    }
}

impl Capacity {
    /// The capacity of a host that was assigned `share` connections, or an equal share of them if it
    /// was not assigned any number yet.
    pub fn new(fleet: Fleet, share: Option<u32>) -> Self {
        let hosts = fleet.hosts.max(1);
        if fleet.connections < hosts * MIN_KEPT_PER_HOST {
            return Self {
                connections: BORROWED_CAPACITY,
                fleet: Some(fleet),
            };
        }
        let equal_share = || usize::try_from(fleet.connections / hosts).unwrap_or(usize::MAX);
        let connections = share.map_or_else(equal_share, |share| share as usize);
        Self {
            connections: connections.max(1),
            fleet: None,
        }
    }
}

impl From<usize> for Capacity {
    fn from(connections: usize) -> Self {
        Self {
            connections,
            fleet: None,
        }
    }
}
