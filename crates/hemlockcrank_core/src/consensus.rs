//! The replicated log of the control state.
//!
//! A [`Node`] implements the protocol for one member of a small voting group. It processes an
//! [`Input`] at the current time and returns [`Output`]s that the caller executes **in order**: the
//! change in an [`Output::Persist`] must be synced to disk before any later [`Output::Send`] is
//! sent.
//!
//! The protocol is Raft with these features:
//!
//! - **Pre-vote**: a node that was partitioned does not raise the term when it reconnects.
//! - **Check-quorum**: a leader without replies from a quorum for one election timeout steps down.
//! - **Leader lease**: followers refuse to vote while they receive messages from a leader, so a
//!   leader with recent replies from a quorum knows that there is no other leader. See
//!   [`Node::lease_until`].
//! - **Snapshots**: [`Input::Compact`] compacts the log; a follower that needs compacted entries
//!   receives the snapshot.
//! - **Membership changes**: one change at a time, and learners catch up before they vote. See the
//!   `membership` module.
//! - **Incarnations**: an [`Id`] identifies a host *and* the incarnation of its disk. A host that
//!   lost its disk has a new incarnation, so it can never vote as the old one.
//!
//! ```
//! use hemlockcrank_core::consensus::{Config, Id, Input, Node, Role, Timing};
//!
//! let id = Id::new("host-1", 1);
//! let config = Config::with_voters([id.clone()]);
//! let mut node = Node::new(id, config, Timing::default(), 0);
//! node.step(0, Input::Campaign);
//! assert_eq!(node.role(), Role::Leader);
//! ```

mod log;
mod membership;
mod message;
mod node;
mod progress;

use std::{collections::BTreeSet, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

pub use log::{Entry, Log, Payload, Snapshot};
pub use message::{Envelope, Message};
pub use node::{DurableChange, DurableState, Input, Node, Output, ProposeError, Role};

use crate::Name;

/// One incarnation of one host's control disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Host name from the settings.
    pub host: Name,
    /// Number written to the data folder when it was created.
    pub incarnation: u64,
}

impl Id {
    /// Creates the id of an incarnation of `host`.
    pub fn new(host: impl Into<Name>, incarnation: u64) -> Self {
        Self {
            host: host.into(),
            incarnation,
        }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.host, self.incarnation)
    }
}

/// The members of the group: voters and learners.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Config {
    /// Members that vote and count towards a quorum.
    pub voters: BTreeSet<Id>,
    /// Members that receive the log but neither vote nor count towards a quorum.
    pub learners: BTreeSet<Id>,
}

impl Config {
    /// Creates a configuration with these voters and no learners.
    pub fn with_voters<I>(voters: I) -> Self
    where
        I: IntoIterator<Item = Id>,
    {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Smallest number of voters that forms a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// All members, voters first.
    pub fn members(&self) -> impl Iterator<Item = &Id> {
        self.voters.iter().chain(self.learners.iter())
    }

    /// Whether `id` is a voter or a learner.
    pub fn contains(&self, id: &Id) -> bool {
        self.voters.contains(id) || self.learners.contains(id)
    }
}

/// Time limits of the protocol, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Timing {
    /// Interval between a leader's heartbeats.
    pub heartbeat_ms: u64,
    /// Minimum election timeout, and the time for which a follower refuses to vote after a message
    /// from a leader.
    pub election_min_ms: u64,
    /// Maximum random addition to `election_min_ms`.
    pub election_spread_ms: u64,
    /// Time without a reply after which a voter is replaced.
    pub voter_timeout_ms: u64,
    /// Number of voters that the leader aims for.
    pub target_voters: usize,
    /// Maximum number of entries in one message.
    pub max_entries: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_ms: 100,
            election_min_ms: 600,
            election_spread_ms: 600,
            voter_timeout_ms: 30_000,
            target_voters: 3,
            max_entries: 64,
        }
    }
}

/// Shared immutable bytes of a command or a snapshot.
pub type SharedBytes = Arc<[u8]>;
