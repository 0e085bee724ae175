//! Sessions and statements, whatever protocol they are spoken in.
//!
//! A [`Dialect`] turns bytes into typed events and back; everything else is here: which member runs a
//! statement, on which connection, how often, and what its caller is told.
//!
//! - `session`: one caller's session, statement by statement.
//! - `transaction`: a session's open transaction.
//! - `read`, `write`: one statement outside a transaction.
//! - `pool`: connections to one member; `link`: one connection.
//! - [`Board`]: what this host has seen of primaries; shared with the control thread.
//! - `admission`: lease, key and rate.

mod admission;
mod board;
mod dialect;
mod inquiry;
mod link;
mod pool;
mod read;
mod serve;
mod session;
mod site;
mod transaction;
mod write;

pub use board::Board;
pub use dialect::{
    CallerEvent, Code, Dialect, Greeting, Malformed, MemberEvent, Own, Query, Reply, Shape,
    Statement, Status,
};
pub use inquiry::inquire;
pub use site::Site;

pub(crate) use serve::serve;
pub(crate) use site::Parts;
