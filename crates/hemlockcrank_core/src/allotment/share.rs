//! The part of a rate that each host spends without asking.
//!
//! The owner of a rate may be down or cut off. So that work within the rate goes on meanwhile, a fixed
//! part of rate and burst is divided evenly between the serving hosts in view, and the owner lends only
//! the rest ([`lent`]). The sum is the whole rate, whoever is reached.

use crate::record::Rate;

/// Part of a rate that is divided, in percent.
const DIVIDED_PERCENT: u64 = 40;
/// Thousandths of tokens in a token.
const MILLI: u64 = 1_000;

/// One host's part of one rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    rate: Option<Rate>,
    hosts: u64,
    per_second_milli: u64,
    burst_milli: u64,
    available_milli: u64,
    refilled_at: u64,
}

impl Share {
    /// Takes a rate and a number of serving hosts into force.
    pub fn set(&mut self, now: u64, rate: Rate, hosts: u64) {
        if self.rate == Some(rate) && self.hosts == hosts {
            return;
        }
        self.refill(now);
        let divided = is_divided(rate, hosts);
        let part = |whole: u64| {
            if divided {
                whole * MILLI * DIVIDED_PERCENT / 100 / hosts
            } else {
                0
            }
        };
        self.rate = Some(rate);
        self.hosts = hosts;
        self.per_second_milli = part(rate.per_second);
        self.burst_milli = part(rate.burst);
        self.available_milli = self.available_milli.min(self.burst_milli);
    }

    /// Spends one token if one is here.
    pub fn take(&mut self, now: u64) -> bool {
        self.refill(now);
        let enough = self.available_milli >= MILLI;
        if enough {
            self.available_milli -= MILLI;
        }
        enough
    }

    fn refill(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let gained = elapsed.saturating_mul(self.per_second_milli) / MILLI;
        self.available_milli = (self.available_milli + gained).min(self.burst_milli);
    }
}

/// What the owner lends of a rate.
pub fn lent(rate: Rate, hosts: u64) -> Rate {
    if !is_divided(rate, hosts) {
        return rate;
    }
    let rest = |whole: u64| whole - whole * DIVIDED_PERCENT / 100;
    Rate {
        per_second: rest(rate.per_second),
        burst: rest(rate.burst),
    }
}

/// Whether each host's part of the burst is a token at least.
fn is_divided(rate: Rate, hosts: u64) -> bool {
    hosts > 0 && rate.burst * DIVIDED_PERCENT / 100 >= hosts
}
