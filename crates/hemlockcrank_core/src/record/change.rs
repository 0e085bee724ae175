//! Changes to records and the answers to them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Id, Record, StoreError};
use crate::Name;

/// What a change does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Creates a record that does not exist or was withdrawn.
    Submit {
        /// Schema version of `text`.
        schema: u32,
        /// JSON text.
        text: Arc<str>,
    },
    /// Replaces a record's content.
    Revise {
        /// Schema version of `text`.
        schema: u32,
        /// JSON text.
        text: Arc<str>,
        /// Revision that the change is based on.
        expected: u64,
    },
    /// Withdraws a record.
    Withdraw {
        /// Revision that the change is based on.
        expected: u64,
    },
}

/// A change requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Operation id; a retry with the same id receives the original answer.
    pub op: Name,
    /// Record to change.
    pub id: Id,
    /// What to do with it.
    pub action: Action,
}

/// The answer to a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The change was accepted.
    Accepted {
        /// New revision of the record.
        revision: u64,
        /// Log index from which it is in force.
        index: u64,
    },
    /// The change was not accepted and changed nothing.
    Refused {
        /// Reason.
        error: StoreError,
        /// The current record, if there is one.
        current: Option<Record>,
    },
}
