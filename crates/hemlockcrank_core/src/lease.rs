//! The lease that allows a host to serve requests from its copy of the control state.
//!
//! A host polls its parent, the host from which it receives the committed log, for updates. A
//! response proves that the parent's state was current at some moment after the request was sent,
//! so the host may act on it until [`DURATION_MS`] after it **sent the request**, by its own
//! monotonic clock. A withdrawn key or zone therefore goes out of use on every host, reachable or
//! not, at most `DURATION_MS` after the withdrawal was committed.
//!
//! A parent that is not the leader grants only the time that remains of its own lease.

/// Length of a lease, in milliseconds.
pub const DURATION_MS: u64 = 3_000;
/// Interval between two requests for renewal, in milliseconds.
pub const RENEW_INTERVAL_MS: u64 = 500;

/// A host's permission to serve keyed requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lease {
    until: u64,
}

impl Lease {
    /// Extends the lease with the response to a request sent at `requested_at`. `remaining_ms` is
    /// what remained of the parent's own lease when it responded.
    pub fn renew(&mut self, requested_at: u64, remaining_ms: u64) {
        let granted_until = requested_at + remaining_ms.min(DURATION_MS);
        self.until = self.until.max(granted_until);
    }

    /// Whether keyed requests may be served at `now`.
    pub fn is_valid(&self, now: u64) -> bool {
        now < self.until
    }

    /// Time remaining at `now`, in milliseconds.
    pub fn remaining(&self, now: u64) -> u64 {
        self.until.saturating_sub(now)
    }

    /// Local time at which the lease expires.
    pub fn until(&self) -> u64 {
        self.until
    }
}
