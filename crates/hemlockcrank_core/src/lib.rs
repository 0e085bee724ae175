//! # hemlockcrank_core
//!
//! The decision logic of the proxy, free of I/O. Time and random numbers are passed in as
//! arguments, so the same code runs in the daemon, in the exhaustive state explorations and in the
//! randomised tests.
//!
//! Main modules:
//!
//! - [`consensus`]: the replicated log of the control group.
//! - [`state`]: the state machine on top of the log: [`record`]s, the view of live hosts
//!   ([`membership`]), databases ([`directory`]) and [`placement`].
//! - [`lease`]: how long a host may serve requests from its copy of the state.
//! - [`updates`], [`relay`], [`parent`]: how hosts follow the log, and how those of a large site do so
//!   without asking the leader.
//! - [`session`], [`route`], [`request`], [`retry`]: processing of one statement.
//! - [`failover`]: changes of primary.
//! - [`catalog`], [`group`], [`succession`], [`floor`]: sites whose configuration is submitted as a
//!   whole and whose databases manage their own replication.
//! - [`metering`]: usage by window, reported to the platform once.
//! - [`arrival`]: orders that have no number of their own.
//! - [`quota`], [`queue`], [`connections`], [`share`]: rate limits and fair queueing.
//! - [`dispatch`]: which statements run at a member, wait, or are refused.
//! - [`sharing`]: connections that the hosts of an availability zone share.
//! - [`spillover`]: the share of the reads that leaves an availability zone.
//! - [`statement`]: classifies a statement by its text.
//!
//! ```
//! use hemlockcrank_core::session::{Position, is_acknowledged};
//!
//! let write = Position::new(2, 7);
//! let reports = [(2, Position::new(2, 7)), (2, Position::new(2, 9)), (1, Position::new(1, 6))];
//! assert!(is_acknowledged(3, write, &reports));
//! ```

pub mod arrival;
pub mod balance;
pub mod catalog;
pub mod clock;
pub mod connections;
pub mod consensus;
pub mod directory;
pub mod dispatch;
pub mod failover;
pub mod floor;
pub mod group;
pub mod lease;
pub mod membership;
pub mod metering;
pub mod observation;
pub mod parent;
pub mod placement;
pub mod queue;
pub mod quota;
pub mod record;
pub mod relay;
pub mod request;
pub mod retry;
pub mod route;
mod sender;
pub mod session;
pub mod share;
pub mod sharing;
pub mod spillover;
pub mod state;
pub mod statement;
pub mod succession;
pub mod updates;
pub mod usage;

/// A shared immutable name.
pub type Name = std::sync::Arc<str>;
