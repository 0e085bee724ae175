//! At most once: what is known of a statement at every point where it can fail.
//!
//! Three outcomes are kept apart everywhere: *not run* (only when proved), *ran*, and *unknown*.
//! [`write_outcome`] is the one place that decides between them. Nothing is sent again unless its outcome is
//! [`Outcome::NotRun`].
//!
//! With a request id, the proxy writes a marker row in the transaction of the work. An unknown outcome
//! is then resolved at the present primary by [`Marker::void`]: an insert under the same id. Either the
//! work's marker is there (*ran*), or the insert wins, and the work can never commit any more because
//! its own marker would break the primary key (*not run*).

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::{Name, directory::Base, session::Position};

/// What is known of a request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// Proved to have had no effect, and never to have one.
    NotRun,
    /// Recorded.
    Ran,
    /// Either of the two.
    Unknown,
}

/// How far a unit of work had come when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
pub enum Stage {
    /// No byte of it was written to a database connection.
    Unsent,
    /// Some bytes of a statement inside an open transaction were written, none of its commit.
    InTransaction,
    /// Some bytes were written that commit by themselves or ask to commit.
    CommitSent,
    /// The database answered with an error and rolled back.
    Rejected,
    /// The database answered that it committed; no majority is known to hold it.
    Committed,
    /// A majority at the same term holds it.
    Acknowledged,
}

/// Decides what is known of a write that stopped at `stage`.
pub fn write_outcome(stage: Stage) -> Outcome {
    match stage {
        Stage::Unsent | Stage::InTransaction | Stage::Rejected => Outcome::NotRun,
        Stage::CommitSent | Stage::Committed => Outcome::Unknown,
        Stage::Acknowledged => Outcome::Ran,
    }
}

/// Whether a commit of the last term is part of the present primary's log, for good.
///
/// `write` is where the database put it, `term` and `base` are the committed primary's, and `settled` is
/// a position that a majority holds at its own term. `None` while that is not of the same term, because
/// another change could still bring the old log back, and when another term lies between them.
pub fn commit_survived(write: Position, term: u64, base: &Base, settled: Position) -> Option<bool> {
    let is_final = term > write.term && settled.term == term;
    let adjoining = base.from_term == write.term && base.last.term <= write.term;
    (is_final && adjoining).then_some(base.last >= write)
}

/// Table that holds the markers.
pub const MARKER_TABLE: &str = "hemlockcrank_marker";
/// Head of the attempt column of a marker that stands for "never ran".
const VOID: &str = "void:";

/// The marker of one attempt of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Marker {
    /// Workspace and request id as a literal, the primary key.
    key: String,
    /// Name of this attempt, unique over hosts and restarts.
    attempt: String,
}

/// What a marker's row says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MarkerState {
    /// The request ran before.
    Ran,
    /// An earlier attempt was voided; its row may be replaced.
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

    /// Creates the table.
    pub fn create_table() -> String {
        format!("CREATE TABLE IF NOT EXISTS {MARKER_TABLE} (id text PRIMARY KEY, attempt text)")
    }

    /// Claims the request, inside the transaction of the work.
    pub fn claim(&self) -> String {
        let Self { key, .. } = self;
        let attempt = quote(&self.attempt);
        format!("INSERT INTO {MARKER_TABLE} (id, attempt) VALUES ({key}, {attempt})")
    }

    /// Removes the row of a voided attempt, inside the transaction of the work.
    pub fn delete_voided(&self, voided: &str) -> String {
        let voided = quote(voided);
        let key = &self.key;
        format!("DELETE FROM {MARKER_TABLE} WHERE id = {key} AND attempt = {voided}")
    }

    /// Makes sure that this attempt never commits, or fails because the key is taken.
    pub fn void(&self) -> String {
        let Self { key, .. } = self;
        let own = quote(&self.voided_attempt());
        format!("INSERT INTO {MARKER_TABLE} (id, attempt) VALUES ({key}, {own})")
    }

    /// Content of the attempt column once this attempt is voided.
    pub fn voided_attempt(&self) -> String {
        format!("{VOID}{}", self.attempt)
    }

    /// Reads the attempt column.
    pub fn find(&self) -> String {
        format!("SELECT attempt FROM {MARKER_TABLE} WHERE id = {}", self.key)
    }

    /// Understands the attempt column.
    pub fn parse(column: &str) -> MarkerState {
        if column.starts_with(VOID) {
            MarkerState::Void {
                attempt: column.to_owned(),
            }
        } else {
            MarkerState::Ran
        }
    }
}

/// A string literal; quotes are doubled.
fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}
