//! Operations that one host runs for another host of its availability zone.
//!
//! An operation is a statement outside a transaction, or a whole transaction, statement by
//! statement. Times are relative, because the clocks of two hosts differ.

use std::collections::BTreeMap;

use hemlockcrank_core::{Name, catalog::Route, membership::HostId, session::Position};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Why a statement has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Code {
    /// Not run: no free slot, no authority (lease) or no primary in time.
    Busy,
    /// Not run or rolled back: the operation has no effect.
    Aborted,
    /// Not run: the member's log has not reached the required position.
    Lagging,
    /// Not run: the member does not accept writes.
    ReadOnly,
    /// Not run: the address belongs to another member than expected.
    Misrouted,
    /// Not run: too many connections, or the workspace is over its rate.
    TooMany,
    /// Not run: no prepared statement has this name.
    NoStatement,
    /// Ran and failed.
    Failed,
    /// Exceeded the time limit.
    TimedOut,
    /// The outcome of a write is unknown.
    InDoubt,
    /// The key belongs to no workspace.
    NoKey,
    /// No route has the name.
    NoDatabase,
    /// The statement is malformed, or not allowed in the current state of the session.
    Malformed,
    /// Any other code of a member.
    Other,
}

impl Code {
    /// Whether a member that answers with this code has certainly not run the statement.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Lagging
                | Self::ReadOnly
                | Self::Misrouted
                | Self::TooMany
                | Self::NoStatement
        )
    }
}

/// Transaction status of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// Outside a transaction.
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that failed.
    Failed,
}

/// Content of a prepared statement, without its name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PreparedStatement {
    /// Whether it writes.
    pub writes: bool,
    /// Text.
    pub text: Name,
}

/// What to send to the member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// This text.
    Text(Name),
    /// The execution of a prepared statement, whose name differs between connections.
    Prepared {
        /// Statement.
        statement: PreparedStatement,
        /// Arguments, forwarded unchanged.
        arguments: Name,
    },
}

impl Body {
    /// Size of its texts, in bytes.
    pub fn text_bytes(&self) -> usize {
        match self {
            Self::Text(text) => text.len(),
            Self::Prepared {
                statement,
                arguments,
            } => statement.text.len() + arguments.len(),
        }
    }
}

/// Kind of a statement in a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// A read.
    Read,
    /// A write.
    Write,
    /// The commit.
    Commit,
}

/// Identifies a transaction among those of all hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TransactionId {
    /// Process that has the session.
    pub origin: HostId,
    /// Number, unique in that process.
    pub number: u64,
}

/// Kind of a statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A read outside a transaction.
    Read,
    /// A write outside a transaction.
    Write,
    /// A statement of a transaction.
    Step {
        /// Transaction.
        transaction: TransactionId,
        /// Kind of the statement.
        step: Step,
        /// Whether it is the first statement, which opens the transaction at the executor.
        first: bool,
        /// Whether the transaction is read-only.
        read_only: bool,
        /// Whether this or an earlier statement of the transaction may write.
        wrote: bool,
    },
}

impl Kind {
    /// Whether the statement belongs to a transaction that is open at the receiver.
    pub fn is_of_open_transaction(&self) -> bool {
        matches!(self, Self::Step { first: false, .. })
    }
}

/// A statement to run, with its operation and session state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execute {
    /// Process that has the session.
    pub origin: HostId,
    /// Request id, from the caller.
    pub id: Name,
    /// Route in the origin's configuration.
    pub route: Route,
    /// Key of the caller, if it sent one.
    pub key: Option<Name>,
    /// Workspace of the key in the origin's configuration.
    pub workspace: Name,
    /// Kind of the statement.
    pub kind: Kind,
    /// What to send to the member.
    pub body: Body,
    /// Session values by name.
    pub values: BTreeMap<Name, Name>,
    /// Newest commit of the session.
    pub watermark: Position,
    /// Time for which the operation has waited at the origin, in milliseconds.
    pub waited_ms: u64,
    /// Time after which the statement is not run any more, in milliseconds.
    pub time_left_ms: u64,
}

impl Execute {
    /// Size of its texts, in bytes.
    pub fn text_bytes(&self) -> usize {
        let values = self.values.iter();
        let value_bytes: usize = values.map(|(name, value)| name.len() + value.len()).sum();
        self.body.text_bytes() + value_bytes
    }
}

/// A member's complete answer to one statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Rows.
    pub rows: Vec<Vec<u8>>,
    /// Signature of the result, or code and text of the error.
    pub outcome: Result<Vec<u8>, (Code, Vec<u8>)>,
    /// Transaction status after the statement.
    pub status: Status,
    /// Last position of the member's log.
    pub position: Option<Position>,
}

/// Why an operation has no result. It has no effect, unless the code is [`Code::InDoubt`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Code.
    pub code: Code,
    /// Reason in words.
    pub reason: Name,
    /// Members that were tried, each with the outcome.
    pub trail: Name,
    /// Time after which the operation may be tried again, in milliseconds, if it is known.
    pub retry_after_ms: Option<u64>,
    /// Transaction status: `Idle` if the transaction was not opened, `Failed` if it has ended.
    pub status: Status,
    /// Whether a member may have run the statement.
    pub may_have_run: bool,
}

/// Why a host does not run an operation for another one. Nothing has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Decline {
    /// It has no lease.
    NoLease,
    /// It is shutting down.
    Draining,
    /// It is not a host that serves callers, as far as it knows.
    NotServing,
    /// Its configuration has another route for the database, or none.
    OtherRoute,
    /// Its configuration has another workspace for the key, or none.
    OtherWorkspace,
}

/// The answer to [`Execute`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Executed {
    /// A member has answered.
    Answered(Answer),
    /// The operation is refused, and must not be run elsewhere.
    Refused(Refusal),
    /// The receiver does not run the operation, and another host may.
    Declined(Decline),
}
