//! All records, and the answers to recent changes.

use imbl::{OrdMap, Vector};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Action, Body, Change, Id, Invalid, Kind, Outcome, Rate, Record, Service, Workspace};
use crate::Name;

/// Maximum number of answers kept for retries.
const MAX_ANSWERS: usize = 4_096;
/// Maximum length of a record name or an operation id, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum StoreError {
    /// Another change was accepted first.
    #[error("the change is based on revision {expected}, the record is at {actual}")]
    Conflict {
        /// Revision the change is based on.
        expected: u64,
        /// Revision in force.
        actual: u64,
    },
    /// A record of this kind and name is already in force.
    #[error("the record exists already at revision {actual}; revise it instead")]
    Exists {
        /// Revision in force.
        actual: u64,
    },
    /// No such record is in force.
    #[error("no such record is in force")]
    Missing,
    /// The text is not valid.
    #[error(transparent)]
    Invalid(#[from] Invalid),
    /// The record refers to another one that is not in force.
    #[error("{kind} `{name}` is not in force")]
    Dangling {
        /// Kind of the record that is missing.
        kind: Kind,
        /// Name of the record that is missing.
        name: Name,
    },
    /// A name is empty, too long or has a control character.
    #[error("names have 1 to 128 bytes and no control characters")]
    Name,
}

/// All records and recent answers. The maps are persistent data structures: clones share their
/// contents, so the cost of a change hardly grows with the number of records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Store {
    records: OrdMap<Id, Record>,
    answers: OrdMap<Name, Outcome>,
    answer_order: Vector<Name>,
}

impl Store {
    /// Applies a change committed at log index `index`.
    pub fn apply(&mut self, index: u64, change: &Change) -> Outcome {
        if let Some(answer) = self.answers.get(&change.op) {
            return answer.clone();
        }
        let outcome = match self.try_apply(index, change) {
            Ok(revision) => Outcome::Accepted { revision, index },
            Err(error) => Outcome::Refused {
                error,
                current: self.records.get(&change.id).cloned(),
            },
        };
        self.keep_answer(change.op.clone(), outcome.clone());
        outcome
    }

    /// The current record, also if it is withdrawn.
    pub fn get(&self, id: &Id) -> Option<&Record> {
        self.records.get(id)
    }

    /// All records ordered by kind and name, including withdrawn ones.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Content in force under `kind` and `name`.
    pub fn body(&self, kind: Kind, name: &str) -> Option<&Body> {
        self.get(&Id::new(kind, name))?.body.as_ref()
    }

    /// The workspace in force under `name`.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        match self.body(Kind::Workspace, name)? {
            Body::Workspace(workspace) => Some(workspace),
            _ => None,
        }
    }

    /// The service in force under `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        match self.body(Kind::Service, name)? {
            Body::Service(service) => Some(service),
            _ => None,
        }
    }

    /// The rate limit in force for the workspace `name`; `None` for no limit.
    pub fn rate(&self, name: &str) -> Option<Rate> {
        match self.body(Kind::Rate, name)? {
            Body::Rate(rate) => Some(*rate),
            _ => None,
        }
    }

    /// Whether the availability zone accepts work; zones without a record do.
    pub fn zone_in_service(&self, name: &str) -> bool {
        !matches!(
            self.body(Kind::Zone, name),
            Some(Body::Zone { in_service: false })
        )
    }

    /// Whether the database accepts work; databases without a record do.
    pub fn database_in_service(&self, name: &str) -> bool {
        !matches!(
            self.body(Kind::Database, name),
            Some(Body::Database { in_service: false })
        )
    }

    fn try_apply(&mut self, index: u64, change: &Change) -> Result<u64, StoreError> {
        if !is_valid_name(&change.id.name) || !is_valid_name(&change.op) {
            return Err(StoreError::Name);
        }
        let current = self.records.get(&change.id);
        let revision = current.map_or(0, |record| record.revision);
        let in_force = current.is_some_and(|record| record.body.is_some());
        let (schema, text) = match &change.action {
            Action::Submit { .. } if in_force => {
                return Err(StoreError::Exists { actual: revision });
            }
            Action::Submit { schema, text } => (*schema, text.clone()),
            Action::Revise { expected, .. } | Action::Withdraw { expected }
                if *expected != revision =>
            {
                return Err(StoreError::Conflict {
                    expected: *expected,
                    actual: revision,
                });
            }
            Action::Revise { .. } | Action::Withdraw { .. } if !in_force => {
                return Err(StoreError::Missing);
            }
            Action::Revise { schema, text, .. } => (*schema, text.clone()),
            Action::Withdraw { .. } => (current.map_or(0, |record| record.schema), "".into()),
        };
        let body = match &change.action {
            Action::Withdraw { .. } => None,
            Action::Submit { .. } | Action::Revise { .. } => {
                let body = Body::parse(change.id.kind, schema, &text)?;
                self.check_references(&body)?;
                Some(body)
            }
        };
        let record = Record {
            id: change.id.clone(),
            schema,
            revision: revision + 1,
            index,
            text,
            body,
        };
        self.records.insert(change.id.clone(), record);
        Ok(revision + 1)
    }

    fn check_references(&self, body: &Body) -> Result<(), StoreError> {
        match body {
            Body::Workspace(workspace) => workspace
                .services
                .iter()
                .try_for_each(|name| self.check_in_force(Kind::Service, name)),
            Body::Key(key) => self.check_in_force(Kind::Workspace, &key.workspace),
            Body::Rate(_) | Body::Service(_) | Body::Zone { .. } | Body::Database { .. } => Ok(()),
        }
    }

    fn check_in_force(&self, kind: Kind, name: &Name) -> Result<(), StoreError> {
        if self.body(kind, name).is_some() {
            return Ok(());
        }
        Err(StoreError::Dangling {
            kind,
            name: name.clone(),
        })
    }

    fn keep_answer(&mut self, op: Name, outcome: Outcome) {
        self.answers.insert(op.clone(), outcome);
        self.answer_order.push_back(op);
        if self.answer_order.len() > MAX_ANSWERS
            && let Some(oldest) = self.answer_order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control)
}
