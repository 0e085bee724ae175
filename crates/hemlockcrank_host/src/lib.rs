//! # hemlockcrank
//!
//! The daemon that runs on every host: a database proxy with session consistency.
//!
//! A [`Daemon`] listens on one address for peers, on one for operators and the platform, and, if
//! the host serves callers, on one for callers. The control state has a thread of its own; traffic
//! is served on the other threads. See `ARCHITECTURE.md` for the path of a request through the
//! source files.
//!
//! ```no_run
//! use hemlockcrank_host::{Daemon, Settings};
//!
//! # async fn run() -> miette::Result<()> {
//! let settings = Settings::load("host.json".as_ref()).map_err(|error| *error)?;
//! let daemon = Daemon::start(settings).await?;
//! daemon.shut_down().await;
//! # Ok(())
//! # }
//! ```

mod caller;
pub mod clock;
pub mod contact;
pub mod context;
pub mod control;
mod daemon;
pub mod dial;
pub mod engine;
pub mod event;
pub mod http;
pub mod journal;
pub mod limits;
pub mod logging;
mod metering;
pub mod metrics;
pub mod peers;
pub mod pg;
pub mod phase;
pub mod settings;
mod sync;
mod tasks;
pub mod upstream;
mod watcher;

pub use daemon::{Adapter, Daemon, DaemonError};
pub use settings::Settings;
