//! Requests and responses exchanged between hosts.

use std::{collections::BTreeMap, net::SocketAddr};

use hemlockcrank_core::{
    Name,
    clock::Stamp,
    consensus::{Config, Envelope, Id},
    failover::Report,
    membership::Host,
    metering::Tally,
    observation::Observation,
    quota::{Answer, Handover, PortionGrant, PortionRequest, Settlement},
    relay::Follower,
    session::Position,
    state::{Command, Reply, State},
    updates::Update,
};
use serde::{Deserialize, Serialize};

use crate::{Execute, Executed, TransactionId};

/// A message body with the sender's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame<T> {
    /// Sender's hybrid clock.
    pub stamp: Stamp,
    /// Content.
    pub body: T,
}

/// A request to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// A consensus message of the control group.
    Consensus(Envelope),
    /// Asks for the receiver's membership in the control group.
    Formation,
    /// Asks to receive the control log, as a step towards becoming a voter.
    Join(Id),
    /// Asks the leader for new log entries and a renewed lease.
    Fetch(Fetch),
    /// Asks the leader to commit a command.
    Propose(Command),
    /// Asks the owner of a workspace's rate limit for tokens.
    Borrow {
        /// Workspace.
        workspace: Name,
        /// Tokens requested.
        tokens: u64,
        /// Maximum wait for one token if none is available, in milliseconds.
        max_wait_ms: u64,
        /// Loans that the sender has finished using.
        settlements: Vec<Settlement>,
    },
    /// Asks the owner of rate limits for portions of them. The sender has no portion of a rate
    /// limit that `requests` does not list.
    Portions {
        /// Sender.
        host: Name,
        /// Log index of the view that makes the receiver the owner.
        index: u64,
        /// Rate limits that the sender needs portions of.
        requests: Vec<PortionRequest>,
    },
    /// Asks the previous owner of a workspace's rate limit for its token bucket.
    HandOver {
        /// Workspace.
        workspace: Name,
        /// Log index of the view that made the sender the owner.
        index: u64,
    },
    /// Asks for recent events.
    Events,
    /// Asks the leader for the last applied log index of every live host.
    Progress,
    /// Asks for the index of the newest committed entry. The leader confirms its leadership first.
    ReadIndex,
    /// Asks the leader for a planned change of primary.
    SwitchOver {
        /// Database.
        database: Name,
        /// Member that should become primary.
        member: Name,
        /// Term of the primary that the order is about; in another term it is out of date.
        term: u64,
    },
    /// Asks a host of the sender's availability zone to run a statement.
    Execute(Box<Execute>),
    /// Asks the executor of a transaction to roll it back.
    EndTransaction(TransactionId),
}

/// Progress of one live host, as reported to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostProgress {
    /// Name of the host.
    pub host: Name,
    /// Availability zone.
    pub zone: Name,
    /// Last log index that the host has applied; `None` if it has not reported to this leader yet.
    pub applied: Option<u64>,
}

/// A host's request for log entries and a lease, with its reports to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Sender.
    pub host: Host,
    /// Last log index that the sender has applied.
    pub applied: u64,
    /// Reports on the databases that the sender monitors.
    pub reports: Vec<Report>,
    /// Whether the sender serves callers.
    pub serves_callers: bool,
    /// Reports on the primaries that the sender uses.
    pub primaries: Vec<Observation>,
    /// Version of the configuration that the sender has, to which a change may refer.
    pub catalog_version: u64,
    /// Time for which the receiver may wait for new log entries before it answers, in milliseconds.
    pub hold_ms: u64,
    /// Hosts that follow the log through the sender.
    pub followers: Vec<Follower>,
    /// Version of the division of connections that the sender has for all its followers; 0 if it
    /// has none.
    pub division: u64,
    /// Operations that the sender has counted, on sites that report them.
    pub usage: Option<Tally>,
}

/// The division of connections between the followers of a relay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Division {
    /// Version; differs between any two divisions.
    pub version: u64,
    /// Shares of each follower, as in [`LeaderStatus::shares`].
    pub shares: BTreeMap<Name, Vec<(Name, u32)>>,
}

/// The leader's clock, its samples of the primaries' positions and the receiver's connection
/// shares.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderStatus {
    /// Term of the leader in the control group.
    pub leader_term: u64,
    /// Clock of the leader, in milliseconds.
    pub clock_ms: u64,
    /// Position samples by service.
    pub samples: Vec<PositionSample>,
    /// By service, the number of connections that the receiver may open to each member.
    pub shares: Vec<(Name, u32)>,
    /// Name of the leader.
    pub leader: Option<Name>,
    /// For a relay, the division between its followers if it has changed.
    pub division: Option<Division>,
    /// True time when the answer was sent, in milliseconds since the start of 1970, if it is known.
    pub true_ms: Option<u64>,
}

/// A position that was an upper bound of all acknowledged commits at the time of sampling.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionSample {
    /// Service.
    pub service: Name,
    /// Term of the service's primary.
    pub term: u64,
    /// Upper bound of the acknowledged commits.
    pub position: Position,
    /// Age of the sample when the answer was sent, in milliseconds.
    pub age_ms: u64,
}

/// The answer to [`Fetch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchReply {
    /// The log entries after [`Fetch::applied`].
    Updates {
        /// Entries in order, without gaps.
        updates: Vec<Update>,
        /// Log index that the host must have applied before the lease is valid.
        index: u64,
        /// Remaining time of the leader's own lease, in milliseconds. The receiver's lease lasts at
        /// most as long, counted from the time of its request.
        remaining_ms: u64,
        /// The leader's clock, position samples and connection shares.
        leader_status: LeaderStatus,
    },
    /// The whole state, for a host that is too far behind.
    State {
        /// State machine.
        state: Box<State>,
        /// Remaining time of the leader's own lease, in milliseconds. The receiver's lease lasts at
        /// most as long, counted from the time of its request.
        remaining_ms: u64,
        /// The leader's clock, position samples and connection shares.
        leader_status: LeaderStatus,
    },
    /// The receiver of the request is not the leader.
    NotLeader {
        /// The current leader, if known.
        leader: Option<Name>,
        /// Address of the leader, if known.
        address: Option<SocketAddr>,
    },
}

/// The answer to [`Request::Propose`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposeReply {
    /// Committed and applied.
    Applied {
        /// Answer of the state machine.
        reply: Reply,
        /// Log index.
        index: u64,
    },
    /// The receiver of the request is not the leader; nothing was written.
    NotLeader {
        /// The current leader, if known.
        leader: Option<Name>,
    },
    /// Leadership changed in the meantime: the command may or may not be committed.
    Unknown,
}

/// The answer to [`Request::Formation`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Formation {
    /// The host has no control disk.
    NoDisk,
    /// The host's control disk has no group yet.
    Fresh(Id),
    /// The host's control disk belongs to a group.
    Formed {
        /// Membership of the group.
        config: Config,
    },
}

/// One event of the timeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Hybrid clock, which orders events causally.
    pub stamp: Stamp,
    /// Host that it happened on.
    pub host: Name,
    /// Number in the event catalogue.
    pub number: u16,
    /// Name in the event catalogue.
    pub name: Name,
    /// Field names and values.
    pub fields: Vec<(Name, Name)>,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The request was received; there is no result to return.
    Received,
    /// Answer to [`Request::Formation`].
    Formation(Formation),
    /// Answer to [`Request::Fetch`].
    Fetched(FetchReply),
    /// Answer to [`Request::Propose`].
    Proposed(ProposeReply),
    /// Answer to [`Request::Borrow`].
    Borrowed(Answer),
    /// Answer to [`Request::Portions`]; `None` if the receiver is not the owner or not ready.
    Portions(Option<Vec<PortionGrant>>),
    /// Answer to [`Request::HandOver`]; `None` if the receiver is not ready.
    HandOver(Option<Handover>),
    /// Answer to [`Request::Progress`]; `None` if the receiver is not the leader.
    Progress(Option<Vec<HostProgress>>),
    /// Answer to [`Request::ReadIndex`]; `None` if the receiver is not the leader.
    ReadIndex(Option<u64>),
    /// Answer to [`Request::Events`].
    Events(Vec<EventRecord>),
    /// Answer to [`Request::Execute`].
    Executed(Box<Executed>),
    /// The receiver is stopping or cannot answer now; the request had no effect.
    Unavailable,
    /// The order starts from another state than the current one; it had no effect.
    Stale,
}
