//! Changes of primary.
//!
//! Three parts, each a plain state machine:
//!
//! 1. [`Detector`]: a few hosts in different zones, the watchers, poll each database and report
//!    when its primary has failed.
//! 2. [`Arbiter`]: the control leader collects the watchers' reports and decides when to begin
//!    a change, and which host executes it.
//! 3. [`Handoff`]: that host has a majority adopt the new term **first**, then promotes the member
//!    with the highest position among the adopters.
//!
//! The order of the steps in the third part makes it safe. A write is acknowledged only by a
//! majority at its own term ([`crate::session::is_acknowledged`]). Any majority that adopts the
//! next term shares a member with that majority. The shared member reported the write's position
//! before it adopted the new term, so the most advanced adopter holds the write. After the adoption
//! no majority remains at the old term to acknowledge another write.

mod arbiter;
mod detector;
mod handoff;

pub use arbiter::{Arbiter, Report, Verdict};
pub use detector::Detector;
pub use handoff::{Handoff, Order, Status, Step};

/// Number of hosts that poll each database.
pub const WATCHERS_PER_DATABASE: usize = 3;
/// Interval between two polls of a watched member, in milliseconds.
pub const POLL_MS: u64 = 100;
