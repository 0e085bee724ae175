//! When an order that has no number of its own can have been sent.
//!
//! An order may lie anywhere on its way while its caller gives it up, sends it to another host and
//! then sends a newer one: unread at a host that stands still, behind a link that is cut, in a call
//! to a leader that stands still. Looking at the state when it is read at last proves nothing, since
//! the state may already contain the newer order.
//!
//! The order cannot have been sent before its connection was opened. Its [`Arrival`] is a moment
//! before that, with the log index that was applied here then. What was committed up to there is
//! older than the order; it must not undo anything later, with one exception: a caller that moves on
//! only after a second cannot have sent a newer order yet, so in the first part of that time
//! every committed order is an older one.

/// Shortest time for which a caller waits for the answer to an order before it sends the order
/// elsewhere, in milliseconds.
const PATIENCE_MS: u64 = 1_000;
/// Time after the arrival in which every committed order is older, in milliseconds. The rest of
/// [`PATIENCE_MS`] is left to the opening of the connection, which a caller counts in.
const RECENT_MS: u64 = PATIENCE_MS / 2;

/// A moment before an order was sent, as seen by the host that received it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// The moment, on this host's clock, in milliseconds.
    pub at: u64,
    /// Last log index that this host had applied at that moment.
    pub index: u64,
}

/// What becomes of an order once the leader has decided on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It was carried out.
    Done,
    /// It is the newest order for certain: propose it again, since this log index.
    Again(u64),
    /// A newer order may have been carried out. Its caller has no use for an answer any more, or
    /// sends it again.
    Drop,
}

impl Arrival {
    /// Whether the order's caller cannot have sent anything newer by `now`.
    pub fn is_recent(&self, now: u64) -> bool {
        now < self.at + RECENT_MS
    }

    /// What becomes of the order when the leader's decision is here at `now`; `overtaken` is the log
    /// index of the order that kept it from being carried out.
    pub fn next(&self, now: u64, overtaken: Option<u64>) -> Next {
        match overtaken {
            None => Next::Done,
            Some(index) if self.is_recent(now) => Next::Again(index),
            Some(_) => Next::Drop,
        }
    }
}
