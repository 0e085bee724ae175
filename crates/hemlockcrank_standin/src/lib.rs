//! # hemlockcrank_standin
//!
//! Not shipped. A small stand-in for the platform's databases, and fixtures around it.
//!
//! - [`Group`]: one database of a few members with asynchronous replication, terms, log positions, slots
//!   and a cap on connections. It speaks the PostgreSQL protocol and nothing else, and can be killed,
//!   frozen, cut off or made to lose an answer at a chosen point.
//! - [`Site`]: entry hosts and groups in one process on loopback, for tests, the demo and measurements.
//!
//! - [`Link`]: a road between two hosts that can be cut silently.
//!
//! It exists to be lied to by. It understands just enough SQL for that: see [`engine`].

pub mod engine;
mod fault;
mod group;
mod link;
mod member;
mod server;
mod site;

pub use fault::{Action, Fault, Point};
pub use group::{Credentials, Group, GroupSettings};
pub use link::Link;
pub use member::{Member, MemberState};
pub use site::{
    OPERATOR_TOKEN, PLATFORM_TOKEN, Site, SiteError, SiteSettings, fresh_folder, host_settings,
};
