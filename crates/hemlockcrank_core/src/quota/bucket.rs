//! The owner's side.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{LOAN_MARGIN_MS, LOAN_MS};
use crate::record::Rate;

/// Fractions of a token that are counted.
const MILLI: i64 = 1_000;
/// Longest time ahead for which a token is reserved, in milliseconds; leaves time to spend it.
const MAX_RESERVED_MS: u64 = LOAN_MS / 2;

/// Tokens lent to one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Loan {
    /// Number given by the owner.
    pub id: u64,
    /// Tokens.
    pub amount: u64,
}

/// What a borrower says of a loan it is done with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Settlement {
    /// Loan.
    pub id: u64,
    /// Tokens that were not spent and never will be.
    pub unspent: u64,
}

/// The owner's answer to a borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// Tokens to spend within [`LOAN_MS`] of asking.
    Granted(Loan),
    /// One token that comes in later, in the order in which hosts asked: it may be spent from then on,
    /// within [`LOAN_MS`] of asking.
    Reserved {
        /// The token.
        loan: Loan,
        /// Time until it may be spent, counted from the answer, in milliseconds.
        wait_ms: u64,
    },
    /// The workspace is at its rate.
    Empty {
        /// Time until a token may be there, in milliseconds.
        retry_after_ms: u64,
    },
    /// The bucket has another owner, or its new owner may not lend yet.
    Closed,
}

/// What an old owner tells the new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Handover {
    /// Thousandths of tokens not lent; negative while tokens are reserved that have not come in.
    pub available_milli: i64,
    /// Tokens lent and not settled.
    pub outstanding: u64,
    /// For how long nothing can have been lent, in milliseconds, where there was no bucket.
    pub quiet_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Debt {
    amount: u64,
    ends_at: u64,
}

/// One workspace's tokens.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bucket {
    rate: Rate,
    available_milli: i64,
    refilled_at: u64,
    opens_at: u64,
    next_loan: u64,
    debts: BTreeMap<u64, Debt>,
}

impl Bucket {
    /// A full bucket, for a rate that has had no other owner.
    pub fn full(rate: Rate, now: u64) -> Self {
        let mut bucket = Self::empty(rate, now, now);
        bucket.available_milli = milli(rate.burst);
        bucket
    }

    /// An empty bucket that neither refills nor lends before `opens_at`.
    pub fn empty(rate: Rate, now: u64, opens_at: u64) -> Self {
        Self {
            rate,
            available_milli: 0,
            refilled_at: now.max(opens_at),
            opens_at,
            next_loan: 1,
            debts: BTreeMap::new(),
        }
    }

    /// A bucket that refills since all loans of earlier owners have ended, `quiet_ms` ago.
    pub fn after_quiet(rate: Rate, now: u64, quiet_ms: u64) -> Self {
        let ended = now.saturating_sub(quiet_ms);
        Self::empty(rate, ended, ended)
    }

    /// Continues an old owner's bucket. Its loans cannot be settled here and end by themselves.
    pub fn resume(rate: Rate, now: u64, handover: Handover) -> Self {
        let mut bucket = Self::empty(rate, now, now);
        let outstanding = handover.outstanding.min(rate.burst);
        bucket.available_milli = handover
            .available_milli
            .min(milli(rate.burst - outstanding));
        if outstanding > 0 {
            bucket.owe(now, outstanding);
        }
        bucket.check();
        bucket
    }

    /// What the next owner needs; this bucket must not lend afterwards.
    pub fn hand_over(&mut self, now: u64) -> Handover {
        self.refill(now);
        self.opens_at = u64::MAX;
        Handover {
            available_milli: self.available_milli,
            outstanding: self.outstanding(),
            quiet_ms: None,
        }
    }

    /// Takes a new rate into force.
    pub fn set_rate(&mut self, now: u64, rate: Rate) {
        if rate != self.rate {
            self.refill(now);
            self.rate = rate;
            self.available_milli = self.available_milli.min(self.room_milli());
        }
    }

    /// Settles old loans and lends up to `want` tokens. Where there is none, one that comes in within
    /// `patience_ms` is reserved, so that hosts far away and hosts nearby are served in turn.
    pub fn lend(
        &mut self,
        now: u64,
        want: u64,
        patience_ms: u64,
        settled: &[Settlement],
    ) -> Answer {
        if now < self.opens_at {
            return Answer::Closed;
        }
        self.refill(now);
        for settlement in settled {
            self.settle(*settlement);
        }
        let amount = want.min(self.available());
        self.check();
        if amount > 0 {
            let loan = self.issue(now, amount);
            self.check();
            return Answer::Granted(loan);
        }
        let wait_ms = self.next_token_ms();
        let patience_ms = patience_ms.min(MAX_RESERVED_MS);
        if want == 0 || wait_ms > patience_ms || self.outstanding() >= self.rate.burst {
            return Answer::Empty {
                retry_after_ms: wait_ms,
            };
        }
        let loan = self.issue(now, 1);
        self.check();
        Answer::Reserved { loan, wait_ms }
    }

    /// Tokens lent and neither settled nor ended.
    pub fn outstanding(&self) -> u64 {
        self.debts.values().map(|debt| debt.amount).sum()
    }

    /// Whether some loan may still be spent.
    pub fn has_active_loans(&self, now: u64) -> bool {
        self.debts.values().any(|debt| debt.ends_at > now)
    }

    /// Whole tokens that could be lent.
    pub fn available(&self) -> u64 {
        u64::try_from(self.available_milli / MILLI).unwrap_or(0)
    }

    fn issue(&mut self, now: u64, amount: u64) -> Loan {
        self.available_milli -= milli(amount);
        let id = self.owe(now, amount);
        Loan { id, amount }
    }

    /// Counts tokens as out until a loan made now has surely ended.
    fn owe(&mut self, now: u64, amount: u64) -> u64 {
        let id = self.next_loan;
        self.next_loan += 1;
        let ends_at = now + LOAN_MS + LOAN_MARGIN_MS;
        self.debts.insert(id, Debt { amount, ends_at });
        id
    }

    fn settle(&mut self, settlement: Settlement) {
        if let Some(debt) = self.debts.remove(&settlement.id) {
            let unspent = settlement.unspent.min(debt.amount);
            self.available_milli += milli(unspent);
            self.available_milli = self.available_milli.min(self.room_milli());
        }
    }

    fn refill(&mut self, now: u64) {
        self.debts.retain(|_, debt| debt.ends_at > now);
        let elapsed = now.saturating_sub(self.refilled_at);
        let gained = elapsed.saturating_mul(self.rate.per_second);
        self.refilled_at = self.refilled_at.max(now);
        let gained = i64::try_from(gained).unwrap_or(i64::MAX);
        let filled = self.available_milli.saturating_add(gained);
        self.available_milli = filled.min(self.room_milli());
    }

    fn room_milli(&self) -> i64 {
        milli(self.rate.burst.saturating_sub(self.outstanding()))
    }

    /// Time until a token that nobody has reserved comes in.
    fn next_token_ms(&self) -> u64 {
        let missing = u64::try_from(MILLI - self.available_milli).unwrap_or(0);
        missing.div_ceil(self.rate.per_second.max(1)).max(1)
    }

    fn check(&self) {
        let held = self.available_milli + milli(self.outstanding());
        let burst = milli(self.rate.burst);
        let lowered = self.available_milli <= 0;
        assert!(
            held <= burst || lowered,
            "{held} thousandths of tokens are out or available, burst is {burst}"
        );
    }
}

/// Thousandths of tokens.
fn milli(tokens: u64) -> i64 {
    i64::try_from(tokens).map_or(i64::MAX, |tokens| tokens.saturating_mul(MILLI))
}
