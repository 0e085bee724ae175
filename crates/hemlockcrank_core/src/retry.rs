//! A retry budget, which limits retries to a small share of the traffic, and exponential backoff for busy
//! members.

/// Thousandths of a retry that each request adds to the budget.
const DEPOSIT_MILLI: u64 = 100;
/// Cost of one retry in the same unit.
const COST_MILLI: u64 = 1_000;
/// Largest balance of the budget, in the same unit.
const MAX_MILLI: u64 = 10_000;

/// Retry budget for one database on one host.
#[derive(Clone, Debug)]
pub struct Budget {
    balance_milli: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            balance_milli: MAX_MILLI,
        }
    }
}

impl Budget {
    /// Counts a request, which adds a part of a retry to the budget.
    pub fn deposit(&mut self) {
        self.balance_milli = (self.balance_milli + DEPOSIT_MILLI).min(MAX_MILLI);
    }

    /// Spends one retry; returns whether the budget had one.
    pub fn try_withdraw(&mut self) -> bool {
        let available = self.balance_milli >= COST_MILLI;
        if available {
            self.balance_milli -= COST_MILLI;
        }
        available
    }
}

/// First pause before a statement is sent to a busy member again, in milliseconds.
const FIRST_PAUSE_MS: u64 = 15;
/// Longest pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 120;

/// Pauses before a statement is sent to a busy member again. Each is twice as long as the one before:
/// if many hosts retry at short intervals, a member with a full queue is kept busy with refusals.
///
/// ```
/// use hemlockcrank_core::retry::Backoff;
///
/// let mut backoff = Backoff::default();
/// let pauses: Vec<u64> = (0..5).map(|_| backoff.next_pause_ms()).collect();
/// assert_eq!(pauses, [15, 30, 60, 120, 120]);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    next_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            next_ms: FIRST_PAUSE_MS,
        }
    }
}

impl Backoff {
    /// The next pause, in milliseconds.
    pub fn next_pause_ms(&mut self) -> u64 {
        let pause_ms = self.next_ms;
        self.next_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
        pause_ms
    }
}
