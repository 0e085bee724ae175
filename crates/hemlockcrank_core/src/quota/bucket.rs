//! The owner's token bucket for one workspace.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{LOAN_MARGIN_MS, LOAN_MS};
use crate::record::Rate;

/// Thousandths of a token in a token.
const MILLI: i64 = 1_000;
/// Longest time ahead for which a token is reserved, in milliseconds. Leaves the borrower time to
/// spend it before the loan expires.
const MAX_RESERVED_MS: u64 = LOAN_MS / 2;

/// Tokens lent to one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Loan {
    /// Number assigned by the owner.
    pub id: u64,
    /// Number of tokens.
    pub amount: u64,
}

/// A borrower's report on a loan that it no longer uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Settlement {
    /// Id of the loan.
    pub id: u64,
    /// Tokens that were not spent and are returned to the owner.
    pub unspent: u64,
}

/// The owner's answer to a borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// Tokens that may be spent within [`LOAN_MS`] of the request.
    Granted(Loan),
    /// One token from a future refill, reserved in the order of requests. It may be spent after
    /// `wait_ms` and within [`LOAN_MS`] of the request.
    Reserved {
        /// Loan of the one token.
        loan: Loan,
        /// Time until the token may be spent, counted from the answer, in milliseconds.
        wait_ms: u64,
    },
    /// The workspace has reached its rate.
    Empty {
        /// Time until a token may be available, in milliseconds.
        retry_after_ms: u64,
    },
    /// This host does not own the bucket, or may not lend from it yet.
    Closed,
}

/// State that the previous owner of a bucket passes to the new owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Handover {
    /// Thousandths of tokens not lent; negative while tokens of future refills are reserved.
    pub available_milli: i64,
    /// Tokens lent and neither settled nor expired.
    pub outstanding: u64,
    /// Time since the last earlier loan expired, in milliseconds; set only if the sender had no bucket.
    pub quiet_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ActiveLoan {
    amount: u64,
    expires_at: u64,
}

/// Token bucket of one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bucket {
    rate: Rate,
    available_milli: i64,
    refilled_at: u64,
    opens_at: u64,
    next_loan: u64,
    active_loans: BTreeMap<u64, ActiveLoan>,
}

impl Bucket {
    /// A full bucket, for a rate that has had no owner before.
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
            active_loans: BTreeMap::new(),
        }
    }

    /// A bucket that was empty `quiet_ms` ago, when the last loan of earlier owners expired, and has
    /// refilled since.
    pub fn after_quiet(rate: Rate, now: u64, quiet_ms: u64) -> Self {
        let expired_at = now.saturating_sub(quiet_ms);
        Self::empty(rate, expired_at, expired_at)
    }

    /// Continues the bucket of a previous owner, whose loans cannot be settled here; they expire.
    pub fn resume(rate: Rate, now: u64, handover: Handover) -> Self {
        let mut bucket = Self::empty(rate, now, now);
        let outstanding = handover.outstanding.min(rate.burst);
        bucket.available_milli = handover
            .available_milli
            .min(milli(rate.burst - outstanding));
        if outstanding > 0 {
            bucket.add_loan(now, outstanding);
        }
        bucket.assert_within_burst();
        bucket
    }

    /// Returns the state for the next owner and closes this bucket, which must not lend afterwards.
    pub fn hand_over(&mut self, now: u64) -> Handover {
        self.refill(now);
        self.opens_at = u64::MAX;
        Handover {
            available_milli: self.available_milli,
            outstanding: self.outstanding(),
            quiet_ms: None,
        }
    }

    /// Applies a new rate.
    pub fn set_rate(&mut self, now: u64, rate: Rate) {
        if rate != self.rate {
            self.refill(now);
            self.rate = rate;
            self.available_milli = self.available_milli.min(self.capacity_milli());
        }
    }

    /// Settles old loans and lends up to `requested` tokens. If none is available, reserves one that is
    /// refilled within `max_wait_ms`, so that distant hosts get their turn as nearby hosts do.
    pub fn lend(
        &mut self,
        now: u64,
        requested: u64,
        max_wait_ms: u64,
        settled: &[Settlement],
    ) -> Answer {
        if now < self.opens_at {
            return Answer::Closed;
        }
        self.refill(now);
        for settlement in settled {
            self.settle(*settlement);
        }
        let amount = requested.min(self.available());
        self.assert_within_burst();
        if amount > 0 {
            let loan = self.issue(now, amount);
            self.assert_within_burst();
            return Answer::Granted(loan);
        }
        let wait_ms = self.next_token_ms();
        let max_wait_ms = max_wait_ms.min(MAX_RESERVED_MS);
        if requested == 0 || wait_ms > max_wait_ms || self.outstanding() >= self.rate.burst {
            return Answer::Empty {
                retry_after_ms: wait_ms,
            };
        }
        let loan = self.issue(now, 1);
        self.assert_within_burst();
        Answer::Reserved { loan, wait_ms }
    }

    /// Tokens lent and neither settled nor expired.
    pub fn outstanding(&self) -> u64 {
        self.active_loans.values().map(|loan| loan.amount).sum()
    }

    /// Whether the tokens of any loan may still be spent.
    pub fn has_active_loans(&self, now: u64) -> bool {
        self.active_loans.values().any(|loan| loan.expires_at > now)
    }

    /// Whole tokens available to lend.
    pub fn available(&self) -> u64 {
        u64::try_from(self.available_milli / MILLI).unwrap_or(0)
    }

    fn issue(&mut self, now: u64, amount: u64) -> Loan {
        self.available_milli -= milli(amount);
        let id = self.add_loan(now, amount);
        Loan { id, amount }
    }

    /// Counts tokens as lent until a loan made now is certain to have expired; returns its id.
    fn add_loan(&mut self, now: u64, amount: u64) -> u64 {
        let id = self.next_loan;
        self.next_loan += 1;
        let expires_at = now + LOAN_MS + LOAN_MARGIN_MS;
        self.active_loans
            .insert(id, ActiveLoan { amount, expires_at });
        id
    }

    fn settle(&mut self, settlement: Settlement) {
        if let Some(loan) = self.active_loans.remove(&settlement.id) {
            let unspent = settlement.unspent.min(loan.amount);
            self.available_milli += milli(unspent);
            self.available_milli = self.available_milli.min(self.capacity_milli());
        }
    }

    fn refill(&mut self, now: u64) {
        self.active_loans.retain(|_, loan| loan.expires_at > now);
        let elapsed = now.saturating_sub(self.refilled_at);
        let refill_milli = elapsed.saturating_mul(self.rate.per_second);
        self.refilled_at = self.refilled_at.max(now);
        let refill_milli = i64::try_from(refill_milli).unwrap_or(i64::MAX);
        let refilled = self.available_milli.saturating_add(refill_milli);
        self.available_milli = refilled.min(self.capacity_milli());
    }

    /// Thousandths of tokens that may be available beside the loans.
    fn capacity_milli(&self) -> i64 {
        milli(self.rate.burst.saturating_sub(self.outstanding()))
    }

    /// Time until the next token that is not reserved is refilled, in milliseconds.
    fn next_token_ms(&self) -> u64 {
        let missing = u64::try_from(MILLI - self.available_milli).unwrap_or(0);
        missing.div_ceil(self.rate.per_second.max(1)).max(1)
    }

    /// Asserts that the tokens available and lent do not exceed the burst. Loans may exceed a burst that
    /// was lowered after they were made; then nothing is available.
    fn assert_within_burst(&self) {
        let total = self.available_milli + milli(self.outstanding());
        let burst = milli(self.rate.burst);
        let none_available = self.available_milli <= 0;
        assert!(
            total <= burst || none_available,
            "{total} thousandths of tokens are lent or available, burst is {burst}"
        );
    }
}

/// Converts tokens to thousandths of tokens.
fn milli(tokens: u64) -> i64 {
    i64::try_from(tokens).map_or(i64::MAX, |tokens| tokens.saturating_mul(MILLI))
}
