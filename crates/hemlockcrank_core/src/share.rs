//! Division of the connections that a member accepts between the hosts.
//!
//! Every host gets one if there are enough; the rest is divided in proportion to the operations that each
//! host received lately. As long as the hosts and the number of connections stay the same, the shares
//! change only when that of some host is off by more than a whole connection, so that noise in the use
//! closes no connections.
//!
//! The member itself refuses connections over its limit, so shares that some hosts do not apply yet cost
//! a refused connection and no more.
//!
//! ```
//! use hemlockcrank_core::share::Shares;
//!
//! let mut shares = Shares::default();
//! shares.update(10, [("a".into(), 30), ("b".into(), 10)]);
//! assert_eq!((shares.of("a"), shares.of("b")), (Some(7), Some(3)));
//! ```

use std::collections::BTreeMap;

use crate::Name;

/// Connections reserved for the system's own queries, if the member accepts many.
const RESERVED: u32 = 2;
/// Smallest number of connections of which some are reserved.
const MIN_FOR_RESERVE: u32 = 12;
/// Distance from its exact share at which a host's share leads to a new division, in hundredths of a
/// connection.
const TOLERANCE: u64 = 125;
/// Hundredths of a connection in a connection.
const HUNDRED: u64 = 100;

/// Hosts' shares of the connections to one service; the same at each of its members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shares {
    total: u32,
    by_host: BTreeMap<Name, u32>,
}

impl Shares {
    /// Divides `accepted` connections, less the reserved ones, between the hosts in `uses` by their use.
    /// Other hosts get none. Returns whether the shares may have changed.
    pub fn update<I>(&mut self, accepted: u32, uses: I) -> bool
    where
        I: IntoIterator<Item = (Name, u64)>,
    {
        let total = match accepted {
            MIN_FOR_RESERVE.. => accepted - RESERVED,
            few => few,
        };
        let uses: BTreeMap<Name, u64> = uses.into_iter().collect();
        let exact = exact_shares(total, &uses);
        let same_hosts = self.by_host.len() == exact.len();
        let within_tolerance = exact.iter().all(|(host, exact)| {
            let share = self.by_host.get(host);
            share.is_some_and(|share| exact.abs_diff(u64::from(*share) * HUNDRED) < TOLERANCE)
        });
        let changed = self.total != total || !same_hosts || !within_tolerance;
        if changed {
            self.total = total;
            self.by_host = round(total, &exact);
        }
        changed
    }

    /// Number of connections for a host; `None` for a host that [`Shares::update`] did not include.
    pub fn of(&self, host: &str) -> Option<u32> {
        self.by_host.get(host).copied()
    }
}

/// Each host's share in hundredths: one connection each if there are enough, the rest by use.
fn exact_shares(total: u32, uses: &BTreeMap<Name, u64>) -> BTreeMap<Name, u64> {
    let hosts = uses.len() as u64;
    let total = u64::from(total);
    let guaranteed = u64::from(total >= hosts);
    let rest = (total - guaranteed * hosts.min(total)) * HUNDRED;
    let total_weight: u64 = uses.values().map(|uses| uses + 1).sum();
    let share = |uses: &u64| guaranteed * HUNDRED + rest * (uses + 1) / total_weight.max(1);
    uses.iter()
        .map(|(host, uses)| (host.clone(), share(uses)))
        .collect()
}

/// Rounds shares to whole connections, those with the largest remainders up, so that the sum is `total`.
fn round(total: u32, exact: &BTreeMap<Name, u64>) -> BTreeMap<Name, u32> {
    let whole = |share: u64| u32::try_from(share / HUNDRED).unwrap_or(u32::MAX);
    let mut shares: BTreeMap<Name, u32> = exact
        .iter()
        .map(|(host, share)| (host.clone(), whole(*share)))
        .collect();
    let assigned: u32 = shares.values().sum();
    let mut remainders: Vec<(&Name, u64)> = exact
        .iter()
        .map(|(host, share)| (host, share % HUNDRED))
        .collect();
    remainders.sort_by_key(|(_, remainder)| std::cmp::Reverse(*remainder));
    for (host, _) in remainders
        .into_iter()
        .take(total.saturating_sub(assigned) as usize)
    {
        if let Some(share) = shares.get_mut(host) {
            *share += 1;
        }
    }
    shares
}
