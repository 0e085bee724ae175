//! Named statements of a session, which follow it from connection to connection.

use hemlockcrank_core::statement::Class;

use crate::pg::Frame;

/// One named statement.
#[derive(Clone, Debug)]
pub(crate) struct Prepared {
    /// What it does.
    pub(crate) class: Class,
    /// Its text.
    pub(crate) text: String,
    /// The message that prepares it.
    pub(crate) frame: Frame,
}
