//! The face towards databases.
//!
//! - [`Connection`]: one connection to one member, with what is known of its session state.
//! - [`Gate`]: fair sharing of a member's connections between workspaces.
//! - [`Pool`]: a member's gate and its idle connections.
//! - [`Tracker`]: what is known of a database's members: terms, positions, who answers.
//! - [`Upstreams`]: all databases that this host routes to.

mod connection;
mod gate;
mod pool;
mod registry;
mod tracker;

pub use connection::{Answer, Connection, ConnectionError, Source};
pub(crate) use connection::{cancel, error_fields};
pub use gate::{Gate, Permit};
pub use pool::{Pool, Turn};
pub use registry::{Upstream, Upstreams};
pub use tracker::{Known, Sample, Tracker, Watching};
