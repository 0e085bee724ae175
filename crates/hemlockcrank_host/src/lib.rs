//! # hemlockcrank
//!
//! The daemon that runs on every entry host: a database proxy with session consistency.
//!
//! A [`Daemon`] listens on three addresses: one for callers, one for peers, and one for operators
//! and the platform. One thread runs the control state, and the others run the traffic. See
//! `ARCHITECTURE.md` for the path of a request through the source files.
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
pub mod metrics;
pub mod peers;
pub mod pg;
pub mod settings;
mod sync;
pub mod upstream;
mod watcher;

pub use daemon::{Adapter, Daemon, DaemonError};
pub use settings::Settings;
