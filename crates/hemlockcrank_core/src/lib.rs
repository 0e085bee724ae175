//! # hemlockcrank_core
//!
//! Every decision of the proxy, without input or output. Time and random numbers come in as arguments,
//! so the same code runs in the daemon, in the exhaustive explorations and in the randomised runs.
//!
//! Where to begin:
//!
//! - [`consensus`]: the replicated log of the control group.
//! - [`state`]: what the log decides: [`record`]s, the host view ([`membership`]), databases
//!   ([`directory`]) and [`placement`].
//! - [`lease`]: how long a host may act on what it knows.
//! - [`session`], [`route`], [`request`], [`retry`]: the way of one statement.
//! - [`failover`]: changes of primary.
//! - [`catalog`], [`group`], [`succession`], [`floor`]: sites whose configuration comes whole and whose
//!   databases replicate by themselves.
//! - [`allotment`], [`queue`], [`places`], [`share`]: fair shares.
//! - [`statement`]: what a statement does, read from its text.
//!
//! ```
//! use hemlockcrank_core::session::{Position, is_acknowledged};
//!
//! let write = Position::new(2, 7);
//! let reports = [(2, Position::new(2, 7)), (2, Position::new(2, 9)), (1, Position::new(1, 6))];
//! assert!(is_acknowledged(3, write, &reports));
//! ```

pub mod allotment;
pub mod balance;
pub mod catalog;
pub mod clock;
pub mod consensus;
pub mod directory;
pub mod failover;
pub mod floor;
pub mod group;
pub mod lease;
pub mod membership;
pub mod observation;
pub mod placement;
pub mod places;
pub mod queue;
pub mod record;
pub mod request;
pub mod retry;
pub mod route;
pub mod session;
pub mod share;
pub mod state;
pub mod statement;
pub mod succession;
pub mod usage;

/// A shared immutable name.
pub type Name = std::sync::Arc<str>;
