//! One watcher's opinion of one database.

use super::POLL_MS;
use crate::Name;

/// Polls without an answer after which the primary counts as gone.
const MISSED_POLLS: u64 = 4;

/// When the primary last answered this watcher as primary of the committed term.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    primary: Option<Name>,
    answered_at: u64,
}

impl Detector {
    /// Starts over when the committed primary has changed.
    pub fn set_primary(&mut self, now: u64, primary: Option<&Name>) {
        if self.primary.as_ref() != primary {
            self.primary = primary.cloned();
            self.answered_at = now;
        }
    }

    /// Notes a member's answer. Only the committed primary, acting as primary, counts.
    pub fn record_answer(&mut self, now: u64, member: &Name, as_primary: bool) {
        if as_primary && self.primary.as_ref() == Some(member) {
            self.answered_at = now;
        }
    }

    /// Whether the primary has been silent for too long.
    pub fn suspects(&self, now: u64) -> bool {
        self.primary.is_some() && now >= self.answered_at + MISSED_POLLS * POLL_MS
    }
}
