//! Named prepared statements of a session, which are prepared again on each connection that it
//! uses.

use hemlockcrank_core::statement::Class;

use crate::pg::Frame;

/// One named prepared statement.
#[derive(Clone, Debug)]
pub(crate) struct Prepared {
    /// What the statement does.
    pub(crate) class: Class,
    /// Text of the statement.
    pub(crate) text: String,
    /// The Parse message that prepares it.
    pub(crate) frame: Frame,
}
