//! Failure detection by one watcher for one database.

use super::POLL_MS;
use crate::Name;

/// Missed polls after which the primary is suspected to have failed.
const MISSED_POLLS: u64 = 4;

/// Failure detector for the committed primary. Tracks when it last answered this watcher as
/// primary.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    primary: Option<Name>,
    answered_at: u64,
}

impl Detector {
    /// Sets the committed primary; a change restarts the timeout.
    pub fn set_primary(&mut self, now: u64, primary: Option<&Name>) {
        if self.primary.as_ref() != primary {
            self.primary = primary.cloned();
            self.answered_at = now;
        }
    }

    /// Records a member's answer. Only an answer of the committed primary, in the role of primary,
    /// counts.
    pub fn record_answer(&mut self, now: u64, member: &Name, as_primary: bool) {
        if as_primary && self.primary.as_ref() == Some(member) {
            self.answered_at = now;
        }
    }

    /// Whether the primary has not answered for too long.
    pub fn suspects(&self, now: u64) -> bool {
        self.primary.is_some() && now >= self.answered_at + MISSED_POLLS * POLL_MS
    }
}
