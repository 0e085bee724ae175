//! Changes of primary.
//!
//! Three parts, each a plain state machine:
//!
//! 1. [`Detector`]: a few hosts in different zones poll each database and say when its primary is gone.
//! 2. [`Coordinator`]: the control leader collects what the watchers say and decides when to begin, and which
//!    host carries it out.
//! 3. [`Handoff`]: that host has a majority adopt the new term **first**, then promotes the member with
//!    the highest position among them.
//!
//! The order of the third part is what makes it safe. A write is acknowledged only by a majority at its
//! own term ([`crate::session::is_acknowledged`]). Any majority that adopts the next term shares a member
//! with it; that member reported the write's position before it adopted, so the most advanced adopter
//! holds the write, and after the adoption no majority is left at the old term to acknowledge another.

mod coordinator;
mod detector;
mod handoff;

pub use coordinator::{Coordinator, Report, Verdict};
pub use detector::Detector;
pub use handoff::{Handoff, Order, Status, Step};

/// Watchers of each database.
pub const WATCHERS_PER_DATABASE: usize = 3;
/// Interval between two polls of a watched member, in milliseconds.
pub const POLL_MS: u64 = 100;
