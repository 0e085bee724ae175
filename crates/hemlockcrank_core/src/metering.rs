//! Usage of each window of time, which the platform receives once and always with the same content.
//!
//! A window has a fixed length in true time, and its number is that of the windows since the start of 1970.
//!
//! 1. Each host counts the operations that it has sent to members ([`Counter`]), and sends the totals with
//!    its polls ([`Tally`]).
//! 2. The control leader adds them up ([`Collector`]) and tells all hosts what time it is ([`TrueTime`]).
//! 3. The leader commits the counts of a window ([`Entry::Close`]) before the first call ([`Reporter`]).
//!    From then on every leader sends these counts ([`Ledger`]).
//! 4. Once the platform has answered, the window is confirmed ([`Entry::Confirm`]) and forgotten.

mod collector;
mod counter;
mod ledger;
mod reporter;
mod tally;
mod true_time;

use std::collections::BTreeMap;

use crate::Name;

pub use collector::Collector;
pub use counter::Counter;
pub use ledger::{Caller, Entry, Ledger, Refusal};
pub use reporter::{Answer, Inputs, Order, Reporter};
pub use tally::{Reading, Tally};
pub use true_time::TrueTime;

/// Operations by workspace.
pub type Counts = BTreeMap<Name, u64>;

/// Longest time from the start of an operation until its host has counted it, in milliseconds: a host
/// counts once the member has answered.
const LONGEST_OPERATION_MS: u64 = 2_000;

/// Largest number of windows of one process that are kept while no leader closes any.
const MAX_WINDOWS: usize = 120;

/// Windows of a site, and when they are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    /// Length, in milliseconds; more than 0.
    pub length_ms: u64,
    /// Time after the end of a window in which the platform must have its report, in milliseconds.
    pub delay_ms: u64,
}

impl Windows {
    /// Window that contains a moment of true time.
    pub fn at(&self, true_ms: u64) -> u64 {
        true_ms / self.length_ms
    }

    /// True time at which a window begins, in milliseconds.
    pub(crate) fn start_of(&self, window: u64) -> u64 {
        window.saturating_mul(self.length_ms)
    }

    /// True time at which a window ends, in milliseconds.
    pub fn end_of(&self, window: u64) -> u64 {
        window.saturating_add(1).saturating_mul(self.length_ms)
    }

    /// True time at which every host that runs has counted all operations of a window, in milliseconds.
    pub(crate) fn counted_at(&self, window: u64) -> u64 {
        self.end_of(window) + LONGEST_OPERATION_MS.min(self.delay_ms / 4)
    }

    /// True time at which a window is closed without the hosts that are missing, in milliseconds. The
    /// rest of the delay is left to a change of leader.
    pub(crate) fn latest_close(&self, window: u64) -> u64 {
        self.end_of(window) + self.delay_ms / 2
    }
}
