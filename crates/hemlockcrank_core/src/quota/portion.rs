//! Parts of a rate that hosts hold for seconds, so that nobody is asked for a single operation.
//!
//! The owner of a rate divides it between the hosts in proportion to their demand. A host asks again and
//! again, and spends its [`Portion`] meanwhile by itself; if the owner is lost, it goes on until the
//! portion ends. The owner's [`Allocation`] keeps, for each host, the most that the host may be using:
//!
//! ```text
//! sum of all portions in use <= the whole
//! ```
//!
//! A portion that shrinks counts in full until its host has confirmed the smaller one, and one of a
//! silent host until it has surely ended. A new owner raises nobody's portion until every host in view
//! has told it what it holds, or all portions of the old owner have ended.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Name, record::Rate};

/// The whole of a rate, in parts.
pub const TOTAL_PARTS: u64 = 1_000_000;
/// Life of a portion for its holder, counted from when it asked, in milliseconds.
pub const PORTION_MS: u64 = 5_000;
/// Addition for the owner, which covers clock drift, in milliseconds.
const MARGIN_MS: u64 = 100;
/// Part of the whole that is divided evenly, so that no host starts with nothing.
const EVEN: u64 = TOTAL_PARTS / 12;
/// Least of the whole that may be held in portions; the owner lends the rest on demand.
const LEAST_HELD: u64 = TOTAL_PARTS / 2;
/// Part of the whole that the owner of a large rate keeps to lend.
const LEAST_LENT: u64 = TOTAL_PARTS / 5;
/// Operations of the burst that the owner keeps to lend, where that is more.
const LENT_BURST: u64 = 16;
/// Thousandths of operations in an operation.
const MILLI: u64 = 1_000;
/// Most hosts for which each may hold one operation, however small its portion.
const FEW_HOSTS: u64 = 12;
/// Window over which demand is counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// What the owner may lend while hosts may be using `held` parts of the rate in portions.
pub fn lendable(rate: Rate, held: u64) -> Rate {
    let rest = |whole: u64| whole * TOTAL_PARTS.saturating_sub(held) / TOTAL_PARTS;
    Rate {
        per_second: rest(rate.per_second),
        burst: rest(rate.burst),
    }
}

/// Most of a rate that may be held in portions: half of a small one, more of a large one, which then goes on
/// better without its owner.
pub fn max_held(rate: Rate) -> u64 {
    let lent = TOTAL_PARTS * LENT_BURST / rate.burst.max(1);
    TOTAL_PARTS - lent.clamp(LEAST_LENT, TOTAL_PARTS - LEAST_HELD)
}

/// Whether portions of a rate are of use to so many hosts. Where each would get less than an operation, the
/// owner lends the whole rate.
pub fn uses_portions(rate: Rate, hosts: u64) -> bool {
    hosts <= FEW_HOSTS || rate.burst * max_held(rate) / TOTAL_PARTS >= hosts
}

/// A host's question about one rate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PortionRequest {
    /// Workspace.
    pub workspace: Name,
    /// Parts that the host uses now.
    pub held: u64,
    /// Operations that came within the last second.
    pub demand: u64,
}

/// The owner's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PortionGrant {
    /// Workspace.
    pub workspace: Name,
    /// Parts that the host may use from now on.
    pub parts: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Holding {
    parts: u64,
    ends_at: u64,
    demand: u64,
}

/// The owner's side of one rate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Allocation {
    opens_at: u64,
    unheard: BTreeSet<Name>,
    holdings: BTreeMap<Name, Holding>,
}

impl Allocation {
    /// Begins an ownership at `now`; portions of an old owner may be held by `hosts`.
    pub fn new<I>(now: u64, hosts: I) -> Self
    where
        I: IntoIterator<Item = Name>,
    {
        Self {
            opens_at: now + PORTION_MS + MARGIN_MS,
            unheard: hosts.into_iter().collect(),
            holdings: BTreeMap::new(),
        }
    }

    /// Forgets to wait for hosts that are not in view any more: their leases have ended.
    pub fn retain_hosts<F>(&mut self, in_view: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.unheard.retain(in_view);
    }

    /// Answers a host among `hosts` serving ones: the parts that it may use from now on, where all may use
    /// `most`. Of a rate that is over its limit nothing is held, so that no part lies where it is not wanted.
    pub fn allocate(
        &mut self,
        now: u64,
        host: &Name,
        ask: &PortionRequest,
        hosts: u64,
        most: u64,
    ) -> u64 {
        self.holdings.retain(|_, holding| holding.ends_at > now);
        self.unheard.remove(host);
        let entry = Holding {
            parts: ask.held,
            ends_at: now + PORTION_MS + MARGIN_MS,
            demand: ask.demand,
        };
        self.holdings.insert(host.clone(), entry);
        let others = self.holdings.iter().filter(|(name, _)| *name != host);
        let used: u64 = others.map(|(_, holding)| holding.parts).sum();
        let free = most.saturating_sub(used);
        let known = self.unheard.is_empty() || now >= self.opens_at;
        let room = if known { free } else { free.min(ask.held) };
        let granted = self.target(ask.demand, hosts, most).min(room);
        if let Some(entry) = self.holdings.get_mut(host) {
            entry.parts = granted.max(ask.held);
        }
        granted
    }

    /// Parts that hosts may be using; an earlier owner may have granted `most`.
    pub fn in_use(&self, now: u64, most: u64) -> u64 {
        if !self.unheard.is_empty() && now < self.opens_at {
            return most;
        }
        let live = self
            .holdings
            .values()
            .filter(|holding| holding.ends_at > now);
        live.map(|holding| holding.parts).sum()
    }

    fn target(&self, demand: u64, hosts: u64, most: u64) -> u64 {
        let hosts = hosts.max(1);
        let total: u64 = self.holdings.values().map(|holding| holding.demand).sum();
        if total == 0 {
            return most / hosts;
        }
        EVEN.min(most) / hosts + most.saturating_sub(EVEN) * demand / total
    }
}

/// The holder's side of one rate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Portion {
    parts: u64,
    ends_at: u64,
    asked_at: u64,
    level_milli: u64,
    /// Remainder of the last refill, in millionths of thousandths.
    rest: u64,
    refilled_at: u64,
    came: u64,
    came_before: u64,
    window_at: u64,
}

impl Portion {
    /// Spends one operation if one is here, and counts the demand.
    pub fn take(&mut self, now: u64, rate: Rate, hosts: u64) -> bool {
        self.roll(now);
        self.came += 1;
        self.refill(now, rate, hosts);
        let enough = self.level_milli >= MILLI;
        if enough {
            self.level_milli -= MILLI;
        }
        enough
    }

    /// What to tell the owner.
    pub fn request(&mut self, now: u64, workspace: Name) -> PortionRequest {
        self.roll(now);
        self.asked_at = now;
        PortionRequest {
            workspace,
            held: if now < self.ends_at { self.parts } else { 0 },
            demand: self.came.max(self.came_before),
        }
    }

    /// Takes the owner's answer to a question asked at `asked_at`; only the newest question counts, as
    /// another owner may have been told since what was held before.
    pub fn apply_grant(&mut self, now: u64, asked_at: u64, parts: u64, rate: Rate, hosts: u64) {
        if asked_at != self.asked_at {
            return;
        }
        self.refill(now, rate, hosts);
        self.parts = parts;
        self.ends_at = asked_at + PORTION_MS;
        self.level_milli = self.level_milli.min(self.room_milli(rate, hosts));
    }

    /// Whether nothing came lately and nothing is held.
    pub fn is_idle(&self, now: u64) -> bool {
        self.came == 0 && self.came_before == 0 && now >= self.ends_at
    }

    fn refill(&mut self, now: u64, rate: Rate, hosts: u64) {
        let until = now.min(self.ends_at);
        let elapsed = until.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let gained = self.rest + elapsed * rate.per_second * self.parts;
        self.rest = gained % TOTAL_PARTS;
        let level = self.level_milli + gained / TOTAL_PARTS;
        let room = if now < self.ends_at {
            self.room_milli(rate, hosts)
        } else {
            0
        };
        self.level_milli = level.min(room);
    }

    fn room_milli(&self, rate: Rate, hosts: u64) -> u64 {
        let part = rate.burst * MILLI * self.parts / TOTAL_PARTS;
        if hosts <= FEW_HOSTS && self.parts > 0 && rate.burst > 0 {
            return part.max(MILLI);
        }
        part
    }

    fn roll(&mut self, now: u64) {
        if now >= self.window_at + WINDOW_MS {
            let adjacent = now < self.window_at + 2 * WINDOW_MS;
            self.came_before = if adjacent { self.came } else { 0 };
            self.came = 0;
            self.window_at = now;
        }
    }
}
