//! Parsed contents of records, the same for every schema version.

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

use super::{Digest, Kind};
use crate::Name;

/// Oldest age that open reads of a service may have when its record gives none, in milliseconds.
const OPEN_MAX_AGE_MS: u64 = 10_000;
/// Share of a workspace whose record gives no weight.
const DEFAULT_WEIGHT: u32 = 1;
/// Largest weight of a workspace.
const MAX_WEIGHT: u32 = 1_000;
/// Largest rate and burst, in statements per second and statements.
const MAX_RATE: u64 = 10_000_000;

/// Why a record's text is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Invalid {
    /// No such schema version.
    #[error("schema version {schema} is not known; use 1 or 2")]
    Schema {
        /// Version asked for.
        schema: u32,
    },
    /// Not JSON, a field that is missing, unknown or of the wrong type.
    #[error("line {line}, column {column}: {problem}")]
    Json {
        /// Line, counted from 1.
        line: usize,
        /// Column, counted from 1.
        column: usize,
        /// What the parser found.
        problem: Name,
    },
    /// A field's value is out of bounds.
    #[error("field `{field}` must be {bounds}")]
    Bounds {
        /// Field name.
        field: Name,
        /// Allowed values.
        bounds: Name,
    },
}

/// A workspace in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Services that its keys reach.
    pub services: Vec<Name>,
    /// Share of a contended database, relative to other workspaces.
    pub weight: u32,
}

/// A key in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Workspace that the key proves.
    pub workspace: Name,
    /// Keyed hash of the secret.
    pub digest: Digest,
}

/// A rate limit in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rate {
    /// Statements a second over all hosts.
    pub per_second: u64,
    /// Statements that may come at once.
    pub burst: u64,
}

/// A service in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Whether reads of a stated age need no key.
    pub open: bool,
    /// Oldest age of an open read, in milliseconds.
    pub open_max_age_ms: u64,
}

/// Parsed content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// See [`Kind::Workspace`].
    Workspace(Workspace),
    /// See [`Kind::Key`].
    Key(Key),
    /// See [`Kind::Rate`].
    Rate(Rate),
    /// See [`Kind::Service`].
    Service(Service),
    /// See [`Kind::Zone`].
    Zone {
        /// Whether it takes work.
        in_service: bool,
    },
    /// See [`Kind::Database`].
    Database {
        /// Whether it takes work.
        in_service: bool,
    },
}

impl Body {
    /// Parses a record's text.
    ///
    /// # Errors
    ///
    /// [`Invalid`] names the line and column, or the field, at fault.
    pub fn parse(kind: Kind, schema: u32, text: &str) -> Result<Self, Invalid> {
        let body = match (kind, schema) {
            (Kind::Workspace, 1) => json::<WorkspaceV1>(text)?.into(),
            (Kind::Workspace, 2) => json::<WorkspaceV2>(text)?.into(),
            (Kind::Key, 1) => json::<KeyV1>(text)?.into(),
            (Kind::Key, 2) => json::<KeyV2>(text)?.into(),
            (Kind::Rate, 1) => json::<RateV1>(text)?.into(),
            (Kind::Rate, 2) => json::<RateV2>(text)?.into(),
            (Kind::Service, 1) => json::<ServiceV1>(text)?.into(),
            (Kind::Service, 2) => json::<ServiceV2>(text)?.into(),
            (Kind::Zone, _) => Self::Zone {
                in_service: availability(schema, text)?,
            },
            (Kind::Database, _) => Self::Database {
                in_service: availability(schema, text)?,
            },
            _ => return Err(Invalid::Schema { schema }),
        };
        body.check_bounds()?;
        Ok(body)
    }

    fn check_bounds(&self) -> Result<(), Invalid> {
        match self {
            Self::Workspace(workspace) => {
                check(
                    !workspace.services.is_empty(),
                    "services",
                    "one or more names",
                )?;
                let weight = (1..=MAX_WEIGHT).contains(&workspace.weight);
                check(weight, "weight", "from 1 to 1000")
            }
            Self::Rate(rate) => {
                let per_second = (1..=MAX_RATE).contains(&rate.per_second);
                check(per_second, "per_second", "from 1 to 10000000")?;
                let burst = (1..=MAX_RATE).contains(&rate.burst);
                check(burst, "burst", "from 1 to 10000000")
            }
            Self::Key(_) | Self::Service(_) | Self::Zone { .. } | Self::Database { .. } => Ok(()),
        }
    }
}

fn check(holds: bool, field: &str, bounds: &str) -> Result<(), Invalid> {
    if holds {
        return Ok(());
    }
    Err(Invalid::Bounds {
        field: field.into(),
        bounds: bounds.into(),
    })
}

fn json<T>(text: &str) -> Result<T, Invalid>
where
    T: DeserializeOwned,
{
    serde_json::from_str(text).map_err(|e| Invalid::Json {
        line: e.line(),
        column: e.column(),
        problem: e.to_string().into(),
    })
}

fn availability(schema: u32, text: &str) -> Result<bool, Invalid> {
    match schema {
        1 => Ok(json::<AvailabilityV1>(text)?.in_service),
        2 => Ok(json::<AvailabilityV2>(text)?.state == Availability::InService),
        _ => Err(Invalid::Schema { schema }),
    }
}

// -------------------------------------------------------------------------------------------------
// Schema versions as written

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceV1 {
    service: Name,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceV2 {
    services: Vec<Name>,
    #[serde(default = "default_weight")]
    weight: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyV1 {
    workspace: Name,
    digest: Digest,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyV2 {
    workspace: Name,
    digest: Digest,
    #[serde(default, rename = "label")]
    _label: Option<Name>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RateV1 {
    per_second: u64,
    burst: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RateV2 {
    statements_per_second: u64,
    burst_statements: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceV1 {
    open: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceV2 {
    access: Access,
    #[serde(default = "default_open_max_age")]
    open_max_age_ms: u64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Access {
    Keyed,
    Open,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AvailabilityV1 {
    in_service: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AvailabilityV2 {
    state: Availability,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Availability {
    InService,
    Out,
}

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

fn default_open_max_age() -> u64 {
    OPEN_MAX_AGE_MS
}

impl From<WorkspaceV1> for Body {
    fn from(v1: WorkspaceV1) -> Self {
        Self::Workspace(Workspace {
            services: vec![v1.service],
            weight: DEFAULT_WEIGHT,
        })
    }
}

impl From<WorkspaceV2> for Body {
    fn from(v2: WorkspaceV2) -> Self {
        Self::Workspace(Workspace {
            services: v2.services,
            weight: v2.weight,
        })
    }
}

impl From<KeyV1> for Body {
    fn from(v1: KeyV1) -> Self {
        Self::Key(Key {
            workspace: v1.workspace,
            digest: v1.digest,
        })
    }
}

impl From<KeyV2> for Body {
    fn from(v2: KeyV2) -> Self {
        Self::Key(Key {
            workspace: v2.workspace,
            digest: v2.digest,
        })
    }
}

impl From<RateV1> for Body {
    fn from(v1: RateV1) -> Self {
        Self::Rate(Rate {
            per_second: v1.per_second,
            burst: v1.burst,
        })
    }
}

impl From<RateV2> for Body {
    fn from(v2: RateV2) -> Self {
        Self::Rate(Rate {
            per_second: v2.statements_per_second,
            burst: v2.burst_statements,
        })
    }
}

impl From<ServiceV1> for Body {
    fn from(v1: ServiceV1) -> Self {
        Self::Service(Service {
            open: v1.open,
            open_max_age_ms: OPEN_MAX_AGE_MS,
        })
    }
}

impl From<ServiceV2> for Body {
    fn from(v2: ServiceV2) -> Self {
        Self::Service(Service {
            open: v2.access == Access::Open,
            open_max_age_ms: v2.open_max_age_ms,
        })
    }
}
