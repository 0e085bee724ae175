//! What a leader knows of one other member.

/// Replication state of one follower or learner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Progress {
    /// Highest index known to be stored there.
    pub(crate) matched: u64,
    /// Next index to send.
    pub(crate) next: u64,
    /// Local time of the last reply.
    pub(crate) heard_at: u64,
    /// Latest send time that was answered in this term.
    pub(crate) acked_at: Option<u64>,
}

impl Progress {
    pub(crate) fn new(now: u64, last_index: u64) -> Self {
        Self {
            matched: 0,
            next: last_index + 1,
            heard_at: now,
            acked_at: None,
        }
    }
}
