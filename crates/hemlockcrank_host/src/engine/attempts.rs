//! Whether a member may have run an operation.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Number of times that an operation was sent without an answer that says it did not run. Clones belong
/// to the same operation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempts(Arc<AtomicUsize>);

impl Attempts {
    /// Counts an attempt. To be called before the statement is sent, because its sender may be dropped
    /// at any time after that.
    pub(crate) fn begin(&self) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }

    /// Takes back an attempt whose answer says that the statement did not run.
    pub(crate) fn cancel(&self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }

    /// Whether a member may have run the operation.
    pub(crate) fn may_have_run(&self) -> bool {
        self.0.load(Ordering::Acquire) > 0
    }
}
