//! The leader's request for a change of primary.

use hemlockcrank_core::Name;

use super::Authority;

/// A request for a change of primary.
#[derive(Clone, Debug)]
pub struct Promotion {
    /// Service.
    pub service: Name,
    /// Member that becomes the primary.
    pub member: Name,
    /// Right to make the call.
    pub authority: Authority,
}
