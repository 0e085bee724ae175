//! A leader's record of the replication to another member.

/// Replication state of one follower or learner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Progress {
    /// Highest index known to be stored on the member.
    pub(crate) matched: u64,
    /// Index of the next entry to send.
    pub(crate) next: u64,
    /// Local time of the last reply.
    pub(crate) last_reply_at: u64,
    /// Latest send time of a message that the member has replied to in this term.
    pub(crate) acked_at: Option<u64>,
}

impl Progress {
    pub(crate) fn new(now: u64, last_index: u64) -> Self {
        Self {
            matched: 0,
            next: last_index + 1,
            last_reply_at: now,
            acked_at: None,
        }
    }
}
