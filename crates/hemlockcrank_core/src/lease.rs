//! How long a host may act on what it knows.
//!
//! A host asks its parent for news. An answer proves that the parent's knowledge was current at some
//! moment after the question was asked, so the host may act on it until [`DURATION_MS`] after it **asked**,
//! by its own monotonic clock. A key or a zone that was withdrawn therefore stops everywhere at most
//! `DURATION_MS` after the withdrawal was committed, reached or not.
//!
//! A parent that is not the leader hands on the time that remains of its own lease.

/// Length of a lease, in milliseconds.
pub const DURATION_MS: u64 = 3_000;
/// Interval between two questions, in milliseconds.
pub const RENEW_INTERVAL_MS: u64 = 500;

/// One host's authority to serve keyed requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lease {
    until: u64,
}

impl Lease {
    /// Extends the lease by an answer to a question asked at `asked_at`, with `remaining_ms` left of the
    /// parent's own authority at the moment it answered.
    pub fn renew(&mut self, asked_at: u64, remaining_ms: u64) {
        let granted = asked_at + remaining_ms.min(DURATION_MS);
        self.until = self.until.max(granted);
    }

    /// Whether keyed requests may be served at `now`.
    pub fn is_valid(&self, now: u64) -> bool {
        now < self.until
    }

    /// Time left at `now`, in milliseconds.
    pub fn remaining(&self, now: u64) -> u64 {
        self.until.saturating_sub(now)
    }

    /// Local time at which it ends.
    pub fn until(&self) -> u64 {
        self.until
    }
}
