//! Connections to the members of the upstream databases.
//!
//! - [`Connection`]: a connection to one member, and the session state on it.
//! - [`FairSemaphore`]: fair sharing of a member's connections between workspaces.
//! - [`Pool`]: the semaphore and the idle connections of a member.
//! - [`Tracker`]: polls the members of a database for their terms, positions and reachability.
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
