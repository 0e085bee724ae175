//! The leader's report of the usage of a window.

use hemlockcrank_core::metering::Counts;

use super::Authority;

/// A report of the usage of a closed window.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Window.
    pub window: u64,
    /// Operations by workspace.
    pub counts: Counts,
    /// Right to make the call.
    pub authority: Authority,
}
