//! A budget that keeps retries a small share of the traffic, and pauses that grow while a member is busy.

/// Thousandths of a retry earned by one request.
const EARNED_MILLI: u64 = 100;
/// Cost of one retry in the same unit.
const COST_MILLI: u64 = 1_000;
/// Most that can be saved up, in the same unit.
const MAX_MILLI: u64 = 10_000;

/// Retries left for one database on one host.
#[derive(Clone, Debug)]
pub struct Budget {
    milli: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { milli: MAX_MILLI }
    }
}

impl Budget {
    /// Counts a request, which earns a part of a retry.
    pub fn deposit(&mut self) {
        self.milli = (self.milli + EARNED_MILLI).min(MAX_MILLI);
    }

    /// Spends one retry if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.milli >= COST_MILLI;
        if enough {
            self.milli -= COST_MILLI;
        }
        enough
    }
}

/// First pause before a busy member is asked again, in milliseconds.
const FIRST_PAUSE_MS: u64 = 15;
/// Longest pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 120;

/// Pauses of one statement before a busy member is asked again. Each is twice as long as the one before:
/// many hosts that ask a full queue in a short circle keep its members busy with refusing.
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
