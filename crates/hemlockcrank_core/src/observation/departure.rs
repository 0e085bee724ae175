//! What hosts that left the view may have acknowledged without a report.
//!
//! A position of the primary that was sampled after the last of them could act bounds it. Without such a
//! sample nothing is known: no wait stands for it, and no report of an earlier leader.

use crate::{floor::Sample, session::Position};

/// The latest departure of hosts that use a primary.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Departure {
    /// Time until which they may have acknowledged commits, in the leader's clock.
    acting_until: u64,
    /// Position of the first sample since.
    bound: Option<Position>,
}

impl Departure {
    /// Hosts that may act until then; with 0, none have left.
    pub(super) fn new(acting_until: u64) -> Self {
        Self {
            acting_until,
            bound: None,
        }
    }

    pub(super) fn note_sample(&mut self, sample: Sample) {
        if sample.at >= self.acting_until {
            self.bound.get_or_insert(sample.position);
        }
    }

    /// Position past which they have acknowledged nothing; `None` if it is not known.
    pub(super) fn bound(&self) -> Option<Position> {
        match self.acting_until {
            0 => Some(Position::default()),
            _ => self.bound,
        }
    }
}
