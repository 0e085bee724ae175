//! What a host reports with a poll.

use serde::{Deserialize, Serialize};

use super::Counts;

/// A host's clocks at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// Wall clock, in milliseconds since the start of 1970.
    pub wall_ms: u64,
    /// True time by the last answer of a leader, in milliseconds since the start of 1970.
    pub true_ms: Option<u64>,
}

/// A host's totals by window. A repeat adds nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The host's clocks when it sent the report.
    pub reading: Reading,
    /// Time since the report was received, if it comes through a relay, in milliseconds.
    pub age_ms: u64,
    /// If all totals are included: true time up to which they are complete, in milliseconds.
    pub complete_ms: Option<u64>,
    /// Totals by window, oldest first.
    pub windows: Vec<(u64, Counts)>,
}

impl Tally {
    /// Adds what an older report of the same host contains.
    pub(crate) fn add_older(&mut self, older: Self) {
        self.complete_ms = self.complete_ms.max(older.complete_ms);
        for (window, counts) in older.windows {
            match self.windows.iter_mut().find(|(known, _)| *known == window) {
                Some((_, known)) => raise(known, counts),
                None => self.windows.push((window, counts)),
            }
        }
    }
}

/// Raises totals to those of another report of the same host.
pub(super) fn raise(known: &mut Counts, counts: Counts) {
    for (workspace, count) in counts {
        let total = known.entry(workspace).or_default();
        *total = count.max(*total);
    }
}
