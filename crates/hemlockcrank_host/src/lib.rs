//! # hemlockcrank
//!
//! The daemon that runs on every entry host: a database proxy with session consistency.
//!
//! A [`Daemon`] has three faces (callers, peers, operators and platform) and two kinds of threads: one for
//! control state, the others for traffic. See `ARCHITECTURE.md` for the way of one request through the
//! files.
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
