//! Configuration records: what operators submit, revise and withdraw.
//!
//! A [`Record`] has a kind, a name, a **schema version** (both 1 and 2 are accepted) and a
//! **revision**. Every change to an existing record states the revision that it is based on. Of two
//! concurrent changes one is accepted; the other one is refused and returns the current record.
//! Every change has an operation id; a retry with the same id returns the original answer.
//!
//! A withdrawn record is kept as a tombstone with its revision, so that a delayed retry of an old
//! change cannot restore it.
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
    /// A workspace, the services that it can use, and its weight.
    Workspace,
    /// A secret that authenticates a workspace.
    Key,
    /// Rate limit and burst of the workspace with the same name.
    Rate,
    /// A name that callers connect to.
    Service,
    /// Whether an availability zone accepts work.
    Zone,
    /// Whether a database accepts work.
    Database,
}

/// Kind and name, unique among all records.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// What the record describes.
    pub kind: Kind,
    /// Name within the kind.
    pub name: Name,
}

impl Id {
    /// Creates an id.
    pub fn new(kind: Kind, name: impl Into<Name>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

/// A record as last accepted.
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
