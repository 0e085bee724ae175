//! Messages between the members of the group.

use serde::{Deserialize, Serialize};

use super::{Entry, Id, Snapshot};

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: Id,
    /// Receiver; another incarnation of the same host ignores the message.
    pub to: Id,
    /// Content.
    pub message: Message,
}

/// A protocol message. Every kind contains the sender's term.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Requests a vote, or with `pre_vote` asks whether the receiver would grant one.
    Vote {
        /// Term in which the candidate campaigns.
        term: u64,
        /// Whether this is a pre-vote, which changes no state on the receiver.
        pre_vote: bool,
        /// Last index of the candidate's log.
        last_index: u64,
        /// Term at `last_index`.
        last_term: u64,
    },
    /// Reply to [`Message::Vote`].
    VoteReply {
        /// Term of the request if granted, else the voter's term.
        term: u64,
        /// `pre_vote` of the request.
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries; without entries, a heartbeat.
    Append {
        /// Leader's term.
        term: u64,
        /// Index of the entry before `entries`.
        prev_index: u64,
        /// Term at `prev_index`.
        prev_term: u64,
        /// Entries starting at `prev_index + 1`.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: u64,
        /// Leader's time of sending, returned in the reply.
        sent_at: u64,
    },
    /// Reply to [`Message::Append`] and [`Message::Install`].
    AppendReply {
        /// Receiver's term.
        term: u64,
        /// Whether the receiver's log matched at `prev_index`.
        success: bool,
        /// On success, the last index known to match; else the index to try next.
        index: u64,
        /// `sent_at` of the message that this replies to.
        sent_at: u64,
    },
    /// Sends a snapshot to a member that needs compacted entries.
    Install {
        /// Leader's term.
        term: u64,
        /// The snapshot.
        snapshot: Snapshot,
        /// Leader's time of sending, returned in the reply.
        sent_at: u64,
    },
}
