//! The steps of a graceful shutdown, as the sessions see them.

use tokio::sync::watch;

/// What sessions may still do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Everything.
    #[default]
    Serving,
    /// Idle sessions end; open transactions go on.
    Draining,
    /// Open transactions are rolled back; statements that run are waited for.
    Closing,
    /// Statements that still run get their last answer, because the process ends.
    Ending,
}

/// Waits until the phase is at least `phase`; for ever if it is never reached.
pub(crate) async fn reached(phases: &mut watch::Receiver<Phase>, phase: Phase) {
    if phases.wait_for(|current| *current >= phase).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Waits until the value changes; for ever once it cannot any more.
pub(crate) async fn changed<T>(values: &mut watch::Receiver<T>) {
    if values.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
