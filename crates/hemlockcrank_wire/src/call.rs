//! The calls between our processes.

use std::net::SocketAddr;

use hemlockcrank_core::{
    Name,
    allotment::{Answer, Handover, PortionAsk, PortionGrant, Settlement},
    clock::Stamp,
    consensus::{Config, Envelope, Id},
    failover::Report,
    membership::Host,
    observation::Observation,
    session::Position,
    state::{Command, Reply, State},
};
use serde::{Deserialize, Serialize};

/// A body with the sender's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame<T> {
    /// Sender's hybrid clock.
    pub stamp: Stamp,
    /// Content.
    pub body: T,
}

/// What one process asks of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// A message of the control group.
    Consensus(Envelope),
    /// Asks how the control group was formed.
    Form,
    /// Asks to receive the control log, on the way to becoming a voter.
    Join(Id),
    /// Asks for news and a lease.
    Follow(Follow),
    /// Asks the leader to commit a command.
    Propose(Command),
    /// Asks the owner of a workspace's rate for tokens.
    Borrow {
        /// Workspace.
        workspace: Name,
        /// Tokens wanted.
        want: u64,
        /// Longest wait for one where there are none, in milliseconds.
        patience_ms: u64,
        /// Loans that are done.
        settled: Vec<Settlement>,
    },
    /// Asks the owner of rates for portions of them. Rates that are not named are not held.
    Portions {
        /// Host that asks.
        host: Name,
        /// Log index of the view by which the receiver is the owner.
        index: u64,
        /// Rates.
        asks: Vec<PortionAsk>,
    },
    /// Asks the last owner of a workspace's rate for its bucket.
    HandOver {
        /// Workspace.
        workspace: Name,
        /// Log index of the view that made the sender the owner.
        index: u64,
    },
    /// Asks for recent events.
    Events,
    /// Asks the leader how far every live host has come.
    Progress,
    /// Asks the leader, with its leadership confirmed, for the index of the newest committed entry.
    Newest,
    /// Asks the leader for a planned change of primary.
    SwitchOver {
        /// Database.
        database: Name,
        /// Member that should become primary.
        member: Name,
    },
}

/// One live host's progress, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Host.
    pub host: Name,
    /// Availability zone.
    pub zone: Name,
    /// Last log index that it has in force; `None` where the leader has not heard it.
    pub applied: Option<u64>,
}

/// A host's question to its parent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Follow {
    /// The host that asks.
    pub host: Host,
    /// Last log index that it has applied.
    pub applied: u64,
    /// What it says of the databases that it watches.
    pub reports: Vec<Report>,
    /// Whether it serves callers.
    pub serves: bool,
    /// What it says of the primaries that it uses.
    pub sights: Vec<Observation>,
}

/// The leader's clock and what it knows of primaries' positions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bearings {
    /// Term of the leader in the control group.
    pub leadership: u64,
    /// Leader's clock, in milliseconds.
    pub clock_ms: u64,
    /// Positions by service.
    pub heights: Vec<Height>,
    /// Connections by service that the asker may have at each member.
    pub shares: Vec<(Name, u32)>,
}

/// A position that no acknowledged commit was past, at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Height {
    /// Service.
    pub service: Name,
    /// Term of its primary.
    pub term: u64,
    /// Position.
    pub position: Position,
    /// How long ago, when the answer was given, in milliseconds.
    pub age_ms: u64,
}

/// What happened at one log index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Log index.
    pub index: u64,
    /// Command; `None` for entries of the protocol itself.
    pub command: Option<Command>,
}

/// The answer to [`Follow`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// Log entries after the asker's index.
    Updates {
        /// Entries, without gaps.
        updates: Vec<Update>,
        /// Index that the lease is good for.
        index: u64,
        /// Time left of the parent's authority, in milliseconds.
        remaining_ms: u64,
        /// Clock and positions.
        bearings: Bearings,
    },
    /// The whole state, for an asker that is far behind.
    State {
        /// State machine.
        state: Box<State>,
        /// Time left of the parent's authority, in milliseconds.
        remaining_ms: u64,
        /// Clock and positions.
        bearings: Bearings,
    },
    /// The receiver is no parent now.
    NotLeader {
        /// Host that leads, if known.
        leader: Option<Name>,
        /// Its address, if known.
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
    /// Another host leads; nothing was written.
    NotLeader {
        /// Host that leads, if known.
        leader: Option<Name>,
    },
    /// Leadership changed meanwhile: the command may or may not be committed.
    Unknown,
}

/// The answer to [`Request::Form`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Formation {
    /// The host has no control disk.
    NoDisk,
    /// The host's disk knows no group yet.
    Fresh(Id),
    /// The host's disk knows a group.
    Formed {
        /// Its membership.
        config: Config,
    },
}

/// One event of the time line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Place in the causal order.
    pub stamp: Stamp,
    /// Host that it happened on.
    pub host: Name,
    /// Number in the catalogue.
    pub number: u16,
    /// Name in the catalogue.
    pub name: Name,
    /// Field names and values.
    pub fields: Vec<(Name, Name)>,
}

/// The answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Received; nothing to say.
    Noted,
    /// Answer to [`Request::Form`].
    Formation(Formation),
    /// Answer to [`Request::Follow`].
    News(News),
    /// Answer to [`Request::Propose`].
    Proposed(ProposeReply),
    /// Answer to [`Request::Borrow`].
    Allotment(Answer),
    /// Answer to [`Request::Portions`]; `None` when the receiver is not the owner.
    Portions(Option<Vec<PortionGrant>>),
    /// Answer to [`Request::HandOver`]; `None` when the receiver had no bucket or is not ready.
    HandOver(Option<Handover>),
    /// Answer to [`Request::Progress`]; `None` when the receiver does not lead.
    Progress(Option<Vec<Progress>>),
    /// Answer to [`Request::Newest`]; `None` when the receiver does not lead.
    Newest(Option<u64>),
    /// Answer to [`Request::Events`].
    Events(Vec<EventRecord>),
    /// The receiver is stopping or cannot answer now; nothing was done.
    Unavailable,
}
