//! The connections that a member accepts, divided between the hosts by their use.
//!
//! Every host gets one where there are enough; the rest goes in proportion to the operations that came
//! to each host lately. A division stands until some host's part is off by a whole connection, so that
//! noise in the use closes no connections.
//!
//! The member itself refuses what is too many, so a division that is not in force everywhere yet costs a
//! refused connection and no more.
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

/// Connections that are left to the system's own questions, where there are many.
const RESERVED: u32 = 2;
/// Fewest connections of which some are reserved.
const MANY: u32 = 12;
/// Distance from the exact part at which a division is made anew, in hundredths of a connection.
const SLACK: u64 = 125;
/// Hundredths in one.
const HUNDRED: u64 = 100;

/// The division of one service's connections; the same at each of its members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shares {
    total: u32,
    parts: BTreeMap<Name, u32>,
}

impl Shares {
    /// Divides what is left of `accepted` connections between hosts by their use; hosts that are not
    /// named get nothing.
    pub fn update<I>(&mut self, accepted: u32, uses: I)
    where
        I: IntoIterator<Item = (Name, u64)>,
    {
        let total = match accepted {
            MANY.. => accepted - RESERVED,
            few => few,
        };
        let uses: BTreeMap<Name, u64> = uses.into_iter().collect();
        let exact = exact_parts(total, &uses);
        let same_hosts = self.parts.len() == exact.len();
        let near = exact.iter().all(|(host, exact)| {
            let part = self.parts.get(host);
            part.is_some_and(|part| exact.abs_diff(u64::from(*part) * HUNDRED) < SLACK)
        });
        if self.total != total || !same_hosts || !near {
            self.total = total;
            self.parts = round(total, &exact);
        }
    }

    /// A host's connections, if the host was named.
    pub fn of(&self, host: &str) -> Option<u32> {
        self.parts.get(host).copied()
    }
}

/// Each host's part in hundredths: one for everybody where there are enough, the rest by use.
fn exact_parts(total: u32, uses: &BTreeMap<Name, u64>) -> BTreeMap<Name, u64> {
    let hosts = uses.len() as u64;
    let total = u64::from(total);
    let each = u64::from(total >= hosts);
    let rest = (total - each * hosts.min(total)) * HUNDRED;
    let weight: u64 = uses.values().map(|uses| uses + 1).sum();
    let part = |uses: &u64| each * HUNDRED + rest * (uses + 1) / weight.max(1);
    uses.iter()
        .map(|(host, uses)| (host.clone(), part(uses)))
        .collect()
}

/// Whole connections, the largest remainders rounded up.
fn round(total: u32, exact: &BTreeMap<Name, u64>) -> BTreeMap<Name, u32> {
    let whole = |part: u64| u32::try_from(part / HUNDRED).unwrap_or(u32::MAX);
    let mut parts: BTreeMap<Name, u32> = exact
        .iter()
        .map(|(host, part)| (host.clone(), whole(*part)))
        .collect();
    let given: u32 = parts.values().sum();
    let mut remainders: Vec<(&Name, u64)> = exact
        .iter()
        .map(|(host, part)| (host, part % HUNDRED))
        .collect();
    remainders.sort_by_key(|(_, remainder)| std::cmp::Reverse(*remainder));
    for (host, _) in remainders
        .into_iter()
        .take(total.saturating_sub(given) as usize)
    {
        if let Some(part) = parts.get_mut(host) {
            *part += 1;
        }
    }
    parts
}
