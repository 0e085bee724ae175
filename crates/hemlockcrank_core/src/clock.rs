//! A hybrid logical clock: one causal order for the events of all processes.
//!
//! Every frame between our processes carries the sender's [`Stamp`]; the receiver moves its own clock
//! past it. An event that can have been caused by another one therefore always has a higher stamp, also
//! where wall clocks disagree.
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

/// Furthest that a foreign stamp may run ahead of the local wall clock, in milliseconds.
const MAX_AHEAD_MS: u64 = 60_000;

/// One moment in the causal order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch, or later.
    pub wall_ms: u64,
    /// Orders stamps of the same millisecond.
    pub count: u32,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}", self.wall_ms, self.count)
    }
}

/// One process's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// A stamp for a local event at wall time `wall_ms`.
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

    /// Moves past a stamp that was received. A stamp too far ahead is a broken clock and is ignored.
    pub fn observe(&mut self, wall_ms: u64, seen: Stamp) {
        if seen.wall_ms <= wall_ms + MAX_AHEAD_MS {
            self.last = self.last.max(seen);
        }
    }
}
