//! At-most-once execution: the outcome of a request, depending on where it failed.
//!
//! There are three outcomes: *not run* (only if that is proved), *ran* and *unknown*. Only
//! [`write_outcome`] decides between them. A request is sent again only if its outcome is
//! [`Outcome::NotRun`].
//!
//! For a request with an id, the proxy inserts a marker row in the same transaction as the
//! request's own writes. An unknown outcome is then resolved on the current primary by
//! [`Marker::void`], which inserts a row with the same id. If the request's marker exists already,
//! the insert fails and the request *ran*. If the insert succeeds, the request can no longer
//! commit, because its own marker would violate the primary key: it is *not run*.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::{Name, directory::TermStart, session::Position};

/// What is known about the execution of a request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// Proved to have no effect, now and later.
    NotRun,
    /// Committed for good.
    Ran,
    /// It may or may not have run.
    Unknown,
}

/// How far a write had progressed when it ended or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
pub enum Stage {
    /// None of its bytes were written to a database connection.
    Unsent,
    /// Some bytes of a statement in an open transaction were written, but none of the commit.
    InTransaction,
    /// Some bytes of a commit, or of a statement outside a transaction, were written.
    CommitSent,
    /// The database answered with an error and rolled back.
    Rejected,
    /// The database confirmed the commit; it is not known whether a majority has it.
    Committed,
    /// A majority in the same term has the commit.
    Acknowledged,
}

/// Outcome of a write that ended or failed at `stage`.
pub fn write_outcome(stage: Stage) -> Outcome {
    match stage {
        Stage::Unsent | Stage::InTransaction | Stage::Rejected => Outcome::NotRun,
        Stage::CommitSent | Stage::Committed => Outcome::Unknown,
        Stage::Acknowledged => Outcome::Ran,
    }
}

/// Whether a commit of the previous term is permanently part of the current primary's log.
///
/// `write` is the position of the commit, `term` and `base` belong to the current primary as
/// committed in the control group, and `majority_position` is a position that a majority has
/// reached in that position's own term.
///
/// The result is `None`
///
/// - while `majority_position` is not in `term`, because another promotion could still restore the
///   old log;
/// - if there is another term between that of `write` and `term`;
/// - if `term` is not later than that of `write`.
pub fn commit_survived(
    write: Position,
    term: u64,
    base: &TermStart,
    majority_position: Position,
) -> Option<bool> {
    let is_permanent = term > write.term && majority_position.term == term;
    let terms_adjoin = base.previous_term == write.term && base.last.term <= write.term;
    (is_permanent && terms_adjoin).then_some(base.last >= write)
}

/// Table of the markers.
pub const MARKER_TABLE: &str = "hemlockcrank_marker";
/// Prefix of the attempt column of a marker that voids an attempt, so that it never runs.
const VOID_PREFIX: &str = "void:";

/// Marker row of one attempt at a request, and the SQL statements that use it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Marker {
    /// Primary key: workspace and request id as an SQL literal.
    key: String,
    /// Name of this attempt, unique across hosts and restarts.
    attempt: String,
}

/// State of a request according to its existing marker row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MarkerState {
    /// The request ran before.
    Ran,
    /// An attempt was voided; its row may be replaced.
    Void {
        /// Content of the attempt column.
        attempt: String,
    },
}

impl Marker {
    /// Marker of `request` of `workspace`, attempted as `attempt`.
    pub fn new(workspace: &Name, request: &str, attempt: &str) -> Self {
        Self {
            key: quote(&format!("{workspace}/{request}")),
            attempt: attempt.to_owned(),
        }
    }

    /// SQL that creates the table.
    pub fn create_table() -> String {
        format!("CREATE TABLE IF NOT EXISTS {MARKER_TABLE} (id text PRIMARY KEY, attempt text)")
    }

    /// SQL that inserts the marker, to run in the request's own transaction.
    pub fn claim(&self) -> String {
        let Self { key, .. } = self;
        let attempt = quote(&self.attempt);
        format!("INSERT INTO {MARKER_TABLE} (id, attempt) VALUES ({key}, {attempt})")
    }

    /// SQL that deletes the row of a voided attempt, to run in the transaction that replaces it.
    pub fn delete_voided(&self, voided: &str) -> String {
        let voided = quote(voided);
        let key = &self.key;
        format!("DELETE FROM {MARKER_TABLE} WHERE id = {key} AND attempt = {voided}")
    }

    /// SQL that voids this attempt, so that it can never commit; fails if the key exists already.
    pub fn void(&self) -> String {
        let Self { key, .. } = self;
        let voided = quote(&self.voided_attempt());
        format!("INSERT INTO {MARKER_TABLE} (id, attempt) VALUES ({key}, {voided})")
    }

    /// Content of the attempt column once this attempt is voided.
    pub fn voided_attempt(&self) -> String {
        format!("{VOID_PREFIX}{}", self.attempt)
    }

    /// SQL that reads the attempt column.
    pub fn find(&self) -> String {
        format!("SELECT attempt FROM {MARKER_TABLE} WHERE id = {}", self.key)
    }

    /// Interprets the attempt column.
    pub fn parse(column: &str) -> MarkerState {
        if column.starts_with(VOID_PREFIX) {
            MarkerState::Void {
                attempt: column.to_owned(),
            }
        } else {
            MarkerState::Ran
        }
    }
}

/// Formats an SQL string literal; single quotes are doubled.
fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}
