//! Sessions and statements, whatever protocol they are spoken in.
//!
//! A [`Protocol`] turns bytes into typed events and back; everything else is here: which member runs a
//! statement, on which connection, how often, and what its caller is told.
//!
//! - `session`: one caller's session, statement by statement.
//! - `transaction`: a session's open transaction.
//! - `read`, `write`: one statement outside a transaction.
//! - `pool`: connections to one member; `link`: one connection.
//! - [`Primaries`]: what this host has seen of primaries; shared with the control thread.
//! - `admission`: lease, key and rate.

mod admission;
mod link;
mod order;
mod pool;
mod primaries;
mod protocol;
mod proxy;
mod read;
mod serve;
mod session;
mod transaction;
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
