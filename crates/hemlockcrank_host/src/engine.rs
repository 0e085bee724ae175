//! Sessions and statements, independent of the protocol.
//!
//! A [`Protocol`] decodes bytes into typed messages and encodes replies. The engine does the rest:
//! it chooses the member that runs a statement and the connection to it, retries, and replies to
//! the caller.
//!
//! - `session`: one caller's session, statement by statement.
//! - `transaction`: a session's open transaction.
//! - `read`, `write`: one statement outside a transaction.
//! - `execution`: a statement to run, with its session's state; `choice`: the member that runs it;
//!   `spillover`: whether a read leaves the zone.
//! - `permits`: which statements may run at one member.
//! - `pool`: connections to one member; `member_connection`: one connection.
//! - [`Primaries`]: what this host has observed of primaries; shared with the control thread.
//! - `witness`: members that must receive a commit before it is acknowledged.
//! - `sharing`: services whose connections the hosts of a zone share, and who has them.
//! - `forward`: operations that another host of the zone runs for this one; `executor`: those that
//!   this host runs for others.
//! - `admission`: checks of lease, key and rate; `attempts`: whether a member may have run an operation.

mod admission;
mod attempts;
mod choice;
mod execution;
mod executor;
mod forward;
mod member_connection;
mod order;
mod permits;
mod pool;
mod primaries;
mod protocol;
mod proxy;
mod read;
mod receipt;
mod serve;
mod session;
mod sharing;
mod spillover;
mod transaction;
mod witness;
mod write;

pub use order::execute_order;
pub use primaries::Primaries;
pub use protocol::{
    CallerMessage, Code, Malformed, MemberMessage, PreparedStatement, Protocol, ProxyStatement,
    Query, Reply, Startup, Statement, Status,
};
pub use proxy::Proxy;

pub(crate) use proxy::Dependencies;
pub(crate) use serve::serve;
