//! Configuration records: what operators submit, revise and withdraw.
//!
//! A [`Record`] has a kind, a name, a **schema version** (1 and 2 are in force side by side) and a
//! **revision**. Every change names the revision that it is based on, so a race has one winner and the
//! loser receives the current record. Every change carries an operation id; a resend with the same id
//! receives the first answer.
//!
//! A withdrawn record stays as a tombstone with its revision, so that a late resend of an old change
//! can never bring it back.
//!
//! ```
//! use hemlockcrank_core::record::{Body, Kind};
//!
//! let v1 = Body::parse(Kind::Rate, 1, r#"{"per_second": 50, "burst": 10}"#)?;
//! let v2 = Body::parse(Kind::Rate, 2, r#"{"statements_per_second": 50, "burst_statements": 10}"#)?;
//! assert_eq!(v1, v2);
//! # Ok::<(), hemlockcrank_core::record::Invalid>(())
//! ```

mod body;
mod change;
mod digest;
mod store;

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

pub use body::{Body, Invalid, Key, Rate, Service, Workspace};
pub use change::{Action, Change, Outcome};
pub use digest::{Digest, DigestError};
pub use store::{Store, StoreError};

use crate::Name;

/// What a record describes.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Who sends requests, and which services they reach.
    Workspace,
    /// A secret that proves a workspace.
    Key,
    /// Rate and burst of the workspace of the same name.
    Rate,
    /// A name that callers connect to.
    Service,
    /// Whether an availability zone takes work.
    Zone,
    /// Whether a database takes work.
    Database,
}

/// Kind and name together, unique over all records.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// What the record describes.
    pub kind: Kind,
    /// Name within the kind.
    pub name: Name,
}

impl Id {
    /// Names one record.
    pub fn new(kind: Kind, name: impl Into<Name>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

/// One record as accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Kind and name.
    pub id: Id,
    /// Schema version that `text` is written in.
    pub schema: u32,
    /// Number of accepted changes to this record.
    pub revision: u64,
    /// Log index of the last accepted change.
    pub index: u64,
    /// JSON text as accepted; empty once withdrawn.
    pub text: Arc<str>,
    /// Parsed content; `None` once withdrawn.
    pub body: Option<Body>,
}
