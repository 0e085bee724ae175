//! The face towards databases.
//!
//! - [`Connection`]: one connection to one member, with what is known of its session state.
//! - [`FairSemaphore`]: fair sharing of a member's connections between workspaces.
//! - [`Pool`]: a member's gate and its idle connections.
//! - [`Tracker`]: what is known of a database's members: terms, positions, who answers.
//! - [`Upstreams`]: all databases that this host routes to.

mod connection;
mod pool;
mod registry;
mod semaphore;
mod tracker;

pub use connection::{Answer, ConnectOptions, Connection, ConnectionError};
pub(crate) use connection::{cancel, error_fields};
pub use pool::{Pool, PooledConnection};
pub use registry::{Upstream, Upstreams};
pub use semaphore::{FairSemaphore, Permit};
pub use tracker::{Sample, Samples, Tracker, Watching};
