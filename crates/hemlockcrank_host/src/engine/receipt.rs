//! What a witness last reported to have received.

use hemlockcrank_core::session::Position;
use tokio::{sync::Mutex, time::Instant};

/// When a member was last asked what it has received, and its answer. Commits that wait at the same
/// time share the questions.
#[derive(Debug, Default)]
pub(super) struct Receipt {
    pub(super) latest: Mutex<Option<(Instant, Option<Position>)>>,
}
