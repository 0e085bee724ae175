//! A hybrid logical clock, which orders the events of all processes causally.
//!
//! Every frame between processes contains the sender's [`Stamp`], and the receiver advances its own
//! clock to at least that value. An event that may have been caused by another one therefore always
//! has a higher stamp, even when the wall clocks disagree.
//!
//! ```
//! use hemlockcrank_core::clock::Clock;
//!
//! let mut slow = Clock::default();
//! let mut fast = Clock::default();
//! let sent = fast.tick(9_000);
//! slow.observe(5_000, sent);
//! assert!(slow.tick(5_000) > sent);
//! ```

use std::fmt;

use serde::{Deserialize, Serialize};

/// How far a received stamp may be ahead of the local wall clock, in milliseconds.
const MAX_AHEAD_MS: u64 = 60_000;

/// A timestamp in the causal order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch; ahead of the wall clock if a higher stamp was received.
    pub wall_ms: u64,
    /// Counter that orders stamps of the same millisecond.
    pub count: u32,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}", self.wall_ms, self.count)
    }
}

/// The clock of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// Returns the stamp for a local event at wall time `wall_ms`.
    pub fn tick(&mut self, wall_ms: u64) -> Stamp {
        self.last = if wall_ms > self.last.wall_ms {
            Stamp { wall_ms, count: 0 }
        } else {
            Stamp {
                wall_ms: self.last.wall_ms,
                count: self.last.count.saturating_add(1),
            }
        };
        self.last
    }

    /// Advances the clock to a received stamp. A stamp too far ahead comes from a broken clock and
    /// is ignored.
    pub fn observe(&mut self, wall_ms: u64, received: Stamp) {
        if received.wall_ms <= wall_ms + MAX_AHEAD_MS {
            self.last = self.last.max(received);
        }
    }
}
