//! Portions of a rate that hosts hold for seconds, so that single operations need no call to the owner.
//!
//! The owner of a rate divides it between the hosts in proportion to their demand. A host renews its
//! [`Portion`] regularly and spends from it locally; if the owner fails, it continues until the portion
//! expires. The owner's [`Allocation`] records, for each host, the most that the host may be using:
//!
//! ```text
//! sum of all portions in use <= parts that may be held
//! ```
//!
//! When the owner reduces a portion, the larger one counts until the host has confirmed the smaller one.
//! The portion of a host that stops renewing counts until it is certain to have expired. A new owner
//! increases no portion until every host in view has reported the portion it holds, or all portions of
//! the previous owner have expired.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Name, record::Rate};

/// Number of parts into which a rate is divided.
pub const TOTAL_PARTS: u64 = 1_000_000;
/// Lifetime of a portion for its host, counted from when it sent the request, in milliseconds.
pub const PORTION_MS: u64 = 5_000;
/// Extra lifetime of a portion for the owner, which covers clock drift, in milliseconds.
const MARGIN_MS: u64 = 100;
/// Parts of a rate that are divided evenly, so that no host starts with nothing.
const EVEN_PARTS: u64 = TOTAL_PARTS / 12;
/// Lower bound of [`max_held`], in parts; the owner lends the rest on demand.
const MIN_MAX_HELD: u64 = TOTAL_PARTS / 2;
/// Fewest parts that the owner keeps to lend; applies to large rates.
const MIN_LENDABLE: u64 = TOTAL_PARTS / 5;
/// Tokens of the burst that the owner keeps to lend, if that is more than [`MIN_LENDABLE`].
const LENDABLE_BURST: u64 = 16;
/// Thousandths of a token in a token.
const MILLI: u64 = 1_000;
/// Largest number of hosts with which each may hold one token, however small its portion.
const FEW_HOSTS: u64 = 12;
/// Tokens a second up to which the owner lends a whole rate one by one to many hosts. More requests would
/// take up a small host.
const MAX_LENT_PER_SECOND: u64 = 100;
/// Window over which demand is counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Rate that the owner may lend while hosts may be using `held` parts of `rate` in portions.
pub fn lendable(rate: Rate, held: u64) -> Rate {
    let remainder = |full: u64| full * TOTAL_PARTS.saturating_sub(held) / TOTAL_PARTS;
    Rate {
        per_second: remainder(rate.per_second),
        burst: remainder(rate.burst),
    }
}

/// Most parts of a rate that may be held in portions: half of a small rate, more of a large one, whose
/// hosts can then serve more while the owner is unreachable.
pub fn max_held(rate: Rate) -> u64 {
    let lendable_parts = TOTAL_PARTS * LENDABLE_BURST / rate.burst.max(1);
    TOTAL_PARTS - lendable_parts.clamp(MIN_LENDABLE, TOTAL_PARTS - MIN_MAX_HELD)
}

/// Most parts that may be held while the workspace is over its rate. They are none where the owner can
/// lend every token on demand, so that no part is left unused at a host without demand.
pub fn max_held_over_rate(rate: Rate, hosts: u64) -> u64 {
    if has_many_hosts(hosts) && rate.per_second > MAX_LENT_PER_SECOND {
        return max_held(rate);
    }
    0
}

/// Whether there are so many hosts that all of them together can overload the owner of a rate.
pub fn has_many_hosts(hosts: u64) -> bool {
    hosts > FEW_HOSTS
}

/// Whether a rate is divided into portions for this number of hosts. If each host would get less than one
/// token, the owner lends the whole rate instead.
pub fn uses_portions(rate: Rate, hosts: u64) -> bool {
    hosts <= FEW_HOSTS || rate.burst * max_held(rate) / TOTAL_PARTS >= hosts
}

/// A host's request for a portion of one rate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PortionRequest {
    /// Workspace.
    pub workspace: Name,
    /// Parts that the host holds now.
    pub held: u64,
    /// Operations that arrived within the last second.
    pub demand: u64,
}

/// The owner's answer to a [`PortionRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PortionGrant {
    /// Workspace.
    pub workspace: Name,
    /// Parts that the host may use from now on.
    pub parts: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldPortion {
    parts: u64,
    expires_at: u64,
    demand: u64,
}

/// The owner's record of the portions of one rate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Allocation {
    opens_at: u64,
    /// Hosts that may hold portions of the previous owner and have not reported them.
    unreported: BTreeSet<Name>,
    portions: BTreeMap<Name, HeldPortion>,
}

impl Allocation {
    /// Allocation of a host that becomes the owner at `now`; `hosts` may hold portions of the previous
    /// owner.
    pub fn new<I>(now: u64, hosts: I) -> Self
    where
        I: IntoIterator<Item = Name>,
    {
        Self {
            opens_at: now + PORTION_MS + MARGIN_MS,
            unreported: hosts.into_iter().collect(),
            portions: BTreeMap::new(),
        }
    }

    /// Stops waiting for reports of hosts that are not in view any more: their leases have expired.
    pub fn retain_hosts<F>(&mut self, in_view: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.unreported.retain(in_view);
    }

    /// Returns the parts that `host`, one of `hosts` serving hosts, may use from now on; all hosts
    /// together may use `max_parts`.
    pub fn allocate(
        &mut self,
        now: u64,
        host: &Name,
        request: &PortionRequest,
        hosts: u64,
        max_parts: u64,
    ) -> u64 {
        self.portions.retain(|_, portion| portion.expires_at > now);
        self.unreported.remove(host);
        let portion = HeldPortion {
            parts: request.held,
            expires_at: now + PORTION_MS + MARGIN_MS,
            demand: request.demand,
        };
        self.portions.insert(host.clone(), portion);
        let others = self.portions.iter().filter(|(name, _)| *name != host);
        let used: u64 = others.map(|(_, portion)| portion.parts).sum();
        let free = max_parts.saturating_sub(used);
        let all_reported = self.unreported.is_empty() || now >= self.opens_at;
        let limit = if all_reported {
            free
        } else {
            free.min(request.held)
        };
        let granted = self.target(request.demand, hosts, max_parts).min(limit);
        if let Some(portion) = self.portions.get_mut(host) {
            portion.parts = granted.max(request.held);
        }
        granted
    }

    /// Parts that hosts may be using. Until the portions of the previous owner are reported or have expired,
    /// that is all of `max_parts`, which it may have granted.
    pub fn in_use(&self, now: u64, max_parts: u64) -> u64 {
        if !self.unreported.is_empty() && now < self.opens_at {
            return max_parts;
        }
        let live = self
            .portions
            .values()
            .filter(|portion| portion.expires_at > now);
        live.map(|portion| portion.parts).sum()
    }

    /// Parts for a host with `demand`: an even part, and a part in proportion to the demand.
    fn target(&self, demand: u64, hosts: u64, max_parts: u64) -> u64 {
        let hosts = hosts.max(1);
        let total_demand: u64 = self.portions.values().map(|portion| portion.demand).sum();
        if total_demand == 0 {
            return max_parts / hosts;
        }
        EVEN_PARTS.min(max_parts) / hosts
            + max_parts.saturating_sub(EVEN_PARTS) * demand / total_demand
    }
}

/// A host's portion of one rate, as a token bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Portion {
    parts: u64,
    expires_at: u64,
    asked_at: u64,
    level_milli: u64,
    /// Remainder of the last refill, in millionths of thousandths.
    refill_remainder: u64,
    refilled_at: u64,
    arrived: u64,
    arrived_last_window: u64,
    window_start: u64,
}

impl Portion {
    /// Spends one token if one is available, and counts the demand.
    pub fn take(&mut self, now: u64, rate: Rate, hosts: u64) -> bool {
        self.roll_window(now);
        self.arrived += 1;
        self.refill(now, rate, hosts);
        let available = self.level_milli >= MILLI;
        if available {
            self.level_milli -= MILLI;
        }
        available
    }

    /// Request to the owner for the next portion.
    pub fn request(&mut self, now: u64, workspace: Name) -> PortionRequest {
        self.roll_window(now);
        self.asked_at = now;
        PortionRequest {
            workspace,
            held: if now < self.expires_at { self.parts } else { 0 },
            demand: self.arrived.max(self.arrived_last_window),
        }
    }

    /// Applies the owner's answer to the request of `asked_at`. An answer to an earlier request than the
    /// newest is ignored: the newest may have reported the portion held until now to another owner.
    pub fn apply_grant(&mut self, now: u64, asked_at: u64, parts: u64, rate: Rate, hosts: u64) {
        if asked_at != self.asked_at {
            return;
        }
        self.refill(now, rate, hosts);
        self.parts = parts;
        self.expires_at = asked_at + PORTION_MS;
        self.level_milli = self.level_milli.min(self.capacity_milli(rate, hosts));
    }

    /// Whether no operations arrived lately and no portion is held.
    pub fn is_idle(&self, now: u64) -> bool {
        self.arrived == 0 && self.arrived_last_window == 0 && now >= self.expires_at
    }

    fn refill(&mut self, now: u64, rate: Rate, hosts: u64) {
        let until = now.min(self.expires_at);
        let elapsed = until.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let refill = self.refill_remainder + elapsed * rate.per_second * self.parts;
        self.refill_remainder = refill % TOTAL_PARTS;
        let level = self.level_milli + refill / TOTAL_PARTS;
        let capacity = if now < self.expires_at {
            self.capacity_milli(rate, hosts)
        } else {
            0
        };
        self.level_milli = level.min(capacity);
    }

    fn capacity_milli(&self, rate: Rate, hosts: u64) -> u64 {
        let capacity = rate.burst * MILLI * self.parts / TOTAL_PARTS;
        if hosts <= FEW_HOSTS && self.parts > 0 && rate.burst > 0 {
            return capacity.max(MILLI);
        }
        capacity
    }

    fn roll_window(&mut self, now: u64) {
        if now >= self.window_start + WINDOW_MS {
            let adjacent = now < self.window_start + 2 * WINDOW_MS;
            self.arrived_last_window = if adjacent { self.arrived } else { 0 };
            self.arrived = 0;
            self.window_start = now;
        }
    }
}
