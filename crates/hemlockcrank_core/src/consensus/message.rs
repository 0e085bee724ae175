//! Messages between the members of the voting group.

use serde::{Deserialize, Serialize};

use super::{Entry, Id, Snapshot};

/// A message with its two ends.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: Id,
    /// Receiver; another incarnation of the same host drops the message.
    pub to: Id,
    /// Content.
    pub message: Message,
}

/// What members tell each other. Every message carries the sender's term.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote, or with `pre` whether a vote would be given.
    Vote {
        /// Term the candidate campaigns in.
        term: u64,
        /// Only a question: nothing is recorded.
        pre: bool,
        /// Last index of the candidate's log.
        last_index: u64,
        /// Term at `last_index`.
        last_term: u64,
    },
    /// Answers [`Message::Vote`].
    VoteReply {
        /// Term of the vote when granted, else the voter's term.
        term: u64,
        /// Repeats the question's `pre`.
        pre: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Sends entries, or none as a heartbeat.
    Append {
        /// Leader's term.
        term: u64,
        /// Index before the first entry.
        prev_index: u64,
        /// Term at `prev_index`.
        prev_term: u64,
        /// Entries from `prev_index + 1` on.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: u64,
        /// Leader's time of sending, returned in the reply.
        sent_at: u64,
    },
    /// Answers [`Message::Append`] and [`Message::Install`].
    AppendReply {
        /// Receiver's term.
        term: u64,
        /// Whether the log agreed at `prev_index`.
        success: bool,
        /// With success the last index known to agree, else where to try next.
        index: u64,
        /// `sent_at` of the message answered.
        sent_at: u64,
    },
    /// Sends a snapshot to a member that is behind the compacted log.
    Install {
        /// Leader's term.
        term: u64,
        /// The snapshot.
        snapshot: Snapshot,
        /// Leader's time of sending, returned in the reply.
        sent_at: u64,
    },
}
