//! What a protocol has to translate.

use bytes::{Bytes, BytesMut};
use hemlockcrank_core::{Name, session::Position, succession::Row};
use strum::{Display, IntoStaticStr};
use thiserror::Error;

/// Bytes that are no message of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a message of the protocol")]
pub struct Malformed;

/// Why a statement has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Code {
    /// Not run: no slot, no authority or no primary in time.
    Busy,
    /// Not run or rolled back: nothing of the operation is kept.
    Aborted,
    /// Not run: the member's log is too short.
    Lagging,
    /// Not run: the member takes no writes.
    ReadOnly,
    /// Not run: another member than expected.
    Misrouted,
    /// Not run: too many connections, or the workspace is over its rate.
    TooMany,
    /// Not run: the member does not know the prepared statement.
    NoStatement,
    /// Ran and failed.
    Failed,
    /// Ran too long.
    TimedOut,
    /// It is not known whether a write was kept.
    InDoubt,
    /// The key proves no workspace.
    NoKey,
    /// No route has the name.
    NoDatabase,
    /// The statement is not understood, or not possible now.
    Malformed,
    /// A code of another kind.
    Other,
}

impl Code {
    /// Whether the statement has surely not run at the member that answered so.
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

/// A prepared statement's content.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PreparedStatement {
    /// Whether it writes.
    pub writes: bool,
    /// Its text.
    pub text: Name,
}

/// A statement as a caller sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction, for reads alone or not.
    Begin {
        /// Whether it only reads.
        read: bool,
    },
    /// Ends a transaction and keeps it.
    Commit,
    /// Ends a transaction and drops it.
    Rollback,
    /// A read; the text goes on unchanged.
    Read(Name),
    /// A write; the text goes on unchanged.
    Write(Name),
    /// A value of the session.
    Set {
        /// Name.
        name: Name,
        /// Value.
        value: Name,
    },
    /// Names a statement.
    Prepare {
        /// Name within the session.
        name: Name,
        /// Content.
        statement: PreparedStatement,
    },
    /// Runs a named statement.
    Execute {
        /// Name within the session.
        name: Name,
        /// Arguments, which go on unchanged.
        arguments: Name,
    },
    /// Forgets a named statement.
    Deallocate {
        /// Name within the session.
        name: Name,
    },
    /// None of these.
    Unknown,
}

/// What a caller sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session.
    Start {
        /// Database that it asks for.
        database: Name,
        /// Key, where one came.
        key: Option<Name>,
    },
    /// A statement.
    Query {
        /// Name of the request, from the caller.
        id: Name,
        /// What to do.
        statement: Statement,
    },
    /// Ends the session.
    Bye,
}

/// Where a session stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Outside a transaction.
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that failed.
    Failed,
}

/// What a member sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberMessage {
    /// A row.
    Row(Bytes),
    /// The statement is done; the member's signature for it.
    Done(Bytes),
    /// The statement has no result.
    Failed(Code, Bytes),
    /// The member waits for the next statement.
    Ready {
        /// Where the session stands.
        status: Status,
        /// End of the member's log.
        position: Option<Position>,
    },
}

/// The first message to a member.
#[derive(Clone, Copy, Debug)]
pub struct Startup<'a> {
    /// Service that the member belongs to.
    pub service: &'a str,
    /// Workspace that is served.
    pub workspace: &'a str,
    /// Member that is expected.
    pub member: &'a str,
}

/// A caller's statement on its way to a member.
#[derive(Clone, Debug)]
pub struct Query {
    /// Name of the request, as the caller gave it.
    pub id: Name,
    /// Text, as the caller gave it.
    pub text: Name,
    /// Position that the member must have reached.
    pub after: Option<Position>,
}

/// A statement of the proxy's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProxyStatement {
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        read: bool,
        /// Position that the member must have reached.
        after: Option<Position>,
    },
    /// Drops a transaction.
    Rollback,
    /// Drops the values and names of the session.
    Reset,
    /// Sets a value of the session.
    Set(Name, Name),
    /// Names a statement.
    Prepare(Name, PreparedStatement),
    /// Asks a member for itself.
    ReadStatus,
    /// Stops a member from receiving, for a term.
    Pause(u64),
    /// Lets a member receive again.
    Resume,
    /// Makes a primary a replica, for a term.
    StepDown(u64),
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply<'a> {
    /// A row.
    Row(&'a [u8]),
    /// The statement is done, with the member's signature for it, if a member ran it.
    Done(Option<&'a [u8]>),
    /// The statement has no result.
    Failed(Code, &'a [u8]),
    /// The next statement may come.
    Ready(Status, Option<Position>),
}

/// A protocol: pure translation, without decisions.
#[derive(Clone, Copy, Debug)]
pub struct Protocol {
    /// Reads one message of a caller; `None` until it is whole.
    pub read_caller: fn(&mut BytesMut) -> Result<Option<CallerMessage>, Malformed>,
    /// Writes to a caller.
    pub write_caller: fn(&mut BytesMut, &Reply<'_>),
    /// Reads one message of a member; `None` until it is whole.
    pub read_member: fn(&mut BytesMut) -> Result<Option<MemberMessage>, Malformed>,
    /// Writes the first message to a member.
    pub write_startup: fn(&mut BytesMut, &Startup<'_>),
    /// Writes a caller's statement to a member.
    pub write_query: fn(&mut BytesMut, &Query),
    /// Writes a statement of the proxy's own to a member.
    pub write_proxy_statement: fn(&mut BytesMut, &ProxyStatement),
    /// Text of a commit.
    pub commit: &'static str,
    /// Text that runs a named statement with arguments.
    pub execute: fn(&str, &str) -> String,
    /// Reads a member's row about itself.
    pub read_row: fn(&[u8]) -> Option<Row>,
}
