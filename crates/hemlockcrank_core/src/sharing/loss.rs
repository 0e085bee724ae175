//! What an operation without an answer means for its caller.

/// Kind of a statement that was sent to an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// A read outside a transaction.
    Read,
    /// A write outside a transaction.
    Write,
    /// A statement of a transaction that is not its commit.
    Statement,
    /// The commit of a transaction.
    Commit {
        /// Whether a statement of the transaction may have written.
        wrote: bool,
    },
}

/// What follows from a missing answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The statement may run again.
    Repeat,
    /// The statement may have taken effect, and must not run again.
    Unknown,
    /// The transaction is rolled back.
    Abort,
}

impl Sent {
    /// What follows if the executor may have received the statement and has not answered.
    pub fn unanswered(self) -> Loss {
        match self {
            Self::Read => Loss::Repeat,
            Self::Write | Self::Commit { wrote: true } => Loss::Unknown,
            Self::Statement | Self::Commit { wrote: false } => Loss::Abort,
        }
    }
}
