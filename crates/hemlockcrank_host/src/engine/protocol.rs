//! Interface between the engine and a protocol: messages of callers and members, and the functions
//! that read and write them.

use bytes::{Bytes, BytesMut};
use hemlockcrank_core::{Name, session::Position, succession::Row};
use thiserror::Error;

pub use hemlockcrank_wire::{Code, PreparedStatement, Status};

/// The bytes are not a message of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a message of the protocol")]
pub struct Malformed;

/// A statement as a caller sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// A read; the text is forwarded unchanged.
    Read(Name),
    /// A write; the text is forwarded unchanged.
    Write(Name),
    /// Sets a session value.
    Set {
        /// Name.
        name: Name,
        /// Value.
        value: Name,
    },
    /// Prepares a statement.
    Prepare {
        /// Name, unique in the session.
        name: Name,
        /// Statement to prepare.
        statement: PreparedStatement,
    },
    /// Executes a prepared statement.
    Execute {
        /// Name, unique in the session.
        name: Name,
        /// Arguments, forwarded unchanged.
        arguments: Name,
    },
    /// Deallocates a prepared statement.
    Deallocate {
        /// Name, unique in the session.
        name: Name,
    },
    /// Not a known statement.
    Unknown,
}

/// A message from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session.
    Start {
        /// Requested database.
        database: Name,
        /// Key, if the caller sent one.
        key: Option<Name>,
    },
    /// A statement.
    Query {
        /// Request id, from the caller.
        id: Name,
        /// Statement to run.
        statement: Statement,
    },
    /// Ends the session.
    Bye,
}

/// A message from a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberMessage {
    /// A row.
    Row(Bytes),
    /// The statement succeeded; contains the member's signature of the result.
    Done(Bytes),
    /// The statement failed or was refused.
    Failed(Code, Bytes),
    /// The member waits for the next statement.
    Ready {
        /// Transaction status of the session.
        status: Status,
        /// Last position of the member's log.
        position: Option<Position>,
    },
}

/// The first message on a connection to a member.
#[derive(Clone, Copy, Debug)]
pub struct Startup<'a> {
    /// Service of the member.
    pub service: &'a str,
    /// Workspace that the connection is for.
    pub workspace: &'a str,
    /// Member expected at the address.
    pub member: &'a str,
}

/// A caller's statement, to be sent to a member.
#[derive(Clone, Debug)]
pub struct Query {
    /// Request id, unchanged from the caller.
    pub id: Name,
    /// Text, unchanged from the caller.
    pub text: Name,
    /// Position that the member's log must have reached.
    pub after: Option<Position>,
}

/// A statement that the proxy itself sends to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProxyStatement {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read: bool,
        /// Position that the member's log must have reached.
        after: Option<Position>,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Clears the session values and prepared statements of the connection.
    Reset,
    /// Sets a session value.
    Set(Name, Name),
    /// Prepares a statement.
    Prepare(Name, PreparedStatement),
    /// Reads the member's status row.
    ReadStatus,
    /// Pauses a member for a term: it receives no more commits.
    Pause(u64),
    /// Ends the pause of a member: it receives commits again.
    Resume,
    /// Demotes a primary to a replica, for a term.
    StepDown(u64),
}

/// A reply to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply<'a> {
    /// A row.
    Row(&'a [u8]),
    /// The statement succeeded; contains the member's signature of the result, if a member ran it.
    Done(Option<&'a [u8]>),
    /// The statement failed or was refused.
    Failed(Code, &'a [u8]),
    /// The session is ready for the next statement.
    Ready(Status, Option<Position>),
}

/// A protocol, as functions that only translate between bytes and messages.
#[derive(Clone, Copy, Debug)]
pub struct Protocol {
    /// Reads one message of a caller; `None` until it is complete.
    pub read_caller: fn(&mut BytesMut) -> Result<Option<CallerMessage>, Malformed>,
    /// Writes a reply to a caller.
    pub write_caller: fn(&mut BytesMut, &Reply<'_>),
    /// Reads one message of a member; `None` until it is complete.
    pub read_member: fn(&mut BytesMut) -> Result<Option<MemberMessage>, Malformed>,
    /// Writes the first message to a member.
    pub write_startup: fn(&mut BytesMut, &Startup<'_>),
    /// Writes a caller's statement to a member.
    pub write_query: fn(&mut BytesMut, &Query),
    /// Writes a statement of the proxy itself to a member.
    pub write_proxy_statement: fn(&mut BytesMut, &ProxyStatement),
    /// Text of the commit statement.
    pub commit: &'static str,
    /// Builds the text that executes the prepared statement of this name with arguments.
    pub execute: fn(&str, &str) -> String,
    /// Parses a member's status row.
    pub read_row: fn(&[u8]) -> Option<Row>,
}
