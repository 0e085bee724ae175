//! # hemlockcrank_standin
//!
//! Test support, not shipped: an in-process replacement for the platform's databases, and fixtures
//! that use it.
//!
//! - [`Group`]: one database with a few members, asynchronous replication, terms, log positions,
//!   execution slots and a limit on connections. It speaks only the PostgreSQL protocol. Its members
//!   can be killed, frozen or partitioned, and can lose the answer to a statement at a chosen point.
//! - [`Site`]: entry hosts and groups in one process on loopback, for tests, the demo and
//!   measurements.
//! - [`Link`]: a TCP proxy between two hosts that can drop all traffic without closing connections.
//!
//! It understands only the SQL that the tests and measurements use: see [`engine`].

pub mod engine;
mod fault;
mod group;
mod link;
mod member;
mod port;
mod server;
mod site;

pub use fault::{Action, Fault, Point};
pub use group::{Credentials, Group, GroupSettings};
pub use link::Link;
pub use member::{Member, MemberState};
pub use port::free_address;
pub use site::{
    OPERATOR_TOKEN, PLATFORM_TOKEN, Site, SiteError, SiteSettings, fresh_folder, host_settings,
};
