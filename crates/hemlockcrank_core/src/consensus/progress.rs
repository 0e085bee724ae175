//! A leader's record of the replication to another member.

/// Replication state of one follower or learner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Progress {
    /// Highest index known to be stored on the member.
    pub(crate) matched: u64,
    /// Index of the next entry to send. Entries before it may still be on their way.
    pub(crate) next: u64,
    /// Index of the first entry to send again if messages were lost.
    pub(crate) resend_from: u64,
    /// Local time of the last message with entries or a snapshot.
    pub(crate) sent_at: u64,
    /// Local time until which a snapshot that was sent may still be on its way.
    pub(crate) installing_until: u64,
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
            resend_from: last_index + 1,
            sent_at: 0,
            installing_until: 0,
            last_reply_at: now,
            acked_at: None,
        }
    }
}
