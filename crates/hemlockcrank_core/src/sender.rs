//! A control host that may have called the platform under an earlier leadership.
//!
//! A call ends with the lease that it was sent under, but only the sender's participation in the present
//! leadership proves that it has. A sender that stays silent is waited for as long as [`ABSENT_MS`].

use std::collections::BTreeSet;

use crate::Name;

/// Time in which a call that was on its way when its sender returned reaches the platform, in
/// milliseconds.
const LANDING_MS: u64 = 1_000;
/// Longest wait for the sender of an earlier leader's call, in milliseconds. It is longer than the
/// 11 s that a change of primary may take, so that a partition of that length ends in evidence.
pub(crate) const ABSENT_MS: u64 = 15_000;

/// A control host whose call may still reach the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Sender {
    /// The host; `None` if the log does not name it.
    pub(crate) host: Option<Name>,
    /// When the present leadership began.
    since: u64,
    /// When the host first took part in the present leadership.
    returned_at: Option<u64>,
}

impl Sender {
    /// A sender of an earlier leadership than the one that begins at `now`.
    pub(crate) fn new(now: u64, host: Option<Name>) -> Self {
        Self {
            host,
            since: now,
            returned_at: None,
        }
    }

    /// Notes the control hosts that take part in the present leadership.
    pub(crate) fn note_participants(&mut self, now: u64, participants: &BTreeSet<Name>) {
        let returned = self.host.as_ref();
        if returned.is_some_and(|host| participants.contains(host)) {
            self.returned_at.get_or_insert(now);
        }
    }

    /// When its call has reached the platform, if the sender has returned.
    pub(crate) fn landed_at(&self) -> Option<u64> {
        self.returned_at.map(|at| at + LANDING_MS)
    }

    /// Whether its call may still reach the platform.
    pub(crate) fn may_arrive(&self, now: u64) -> bool {
        let landed = self.landed_at().is_some_and(|at| now >= at);
        !landed && now < self.since + ABSENT_MS
    }
}
