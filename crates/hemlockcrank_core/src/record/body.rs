//! Parsed record contents, independent of the schema version.

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

use super::{Digest, Kind};
use crate::Name;

/// Default maximum age of open reads of a service, in milliseconds.
const DEFAULT_OPEN_MAX_AGE_MS: u64 = 10_000;
/// Default weight of a workspace.
const DEFAULT_WEIGHT: u32 = 1;
/// Largest weight of a workspace.
const MAX_WEIGHT: u32 = 1_000;
/// Largest rate and burst, in statements per second and statements.
const MAX_RATE: u64 = 10_000_000;

/// Why a record's text is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Invalid {
    /// Unknown schema version.
    #[error("schema version {schema} is not known; use 1 or 2")]
    Schema {
        /// The unknown version.
        schema: u32,
    },
    /// Not JSON, or a field is missing, unknown or of the wrong type.
    #[error("line {line}, column {column}: {problem}")]
    Json {
        /// Line, counted from 1.
        line: usize,
        /// Column, counted from 1.
        column: usize,
        /// Error message of the parser.
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
    /// Services that its keys can use.
    pub services: Vec<Name>,
    /// Share of a contended database, relative to other workspaces.
    pub weight: u32,
}

/// A key in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Workspace that the key authenticates.
    pub workspace: Name,
    /// Keyed hash of the secret.
    pub digest: Digest,
}

/// A rate limit in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rate {
    /// Statements per second over all hosts together.
    pub per_second: u64,
    /// Statements allowed at once.
    pub burst: u64,
}

/// A service in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Whether reads with a maximum age are accepted without a key.
    pub open: bool,
    /// Maximum age of an open read, in milliseconds.
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
        /// Whether the zone accepts work.
        in_service: bool,
    },
    /// See [`Kind::Database`].
    Database {
        /// Whether the database accepts work.
        in_service: bool,
    },
}

impl Body {
    /// Parses a record's text.
    ///
    /// # Errors
    ///
    /// [`Invalid`] with the schema version, the position in the text or the field at fault.
    pub fn parse(kind: Kind, schema: u32, text: &str) -> Result<Self, Invalid> {
        let body = match (kind, schema) {
            (Kind::Workspace, 1) => parse_json::<WorkspaceV1>(text)?.into(),
            (Kind::Workspace, 2) => parse_json::<WorkspaceV2>(text)?.into(),
            (Kind::Key, 1) => parse_json::<KeyV1>(text)?.into(),
            (Kind::Key, 2) => parse_json::<KeyV2>(text)?.into(),
            (Kind::Rate, 1) => parse_json::<RateV1>(text)?.into(),
            (Kind::Rate, 2) => parse_json::<RateV2>(text)?.into(),
            (Kind::Service, 1) => parse_json::<ServiceV1>(text)?.into(),
            (Kind::Service, 2) => parse_json::<ServiceV2>(text)?.into(),
            (Kind::Zone, _) => Self::Zone {
                in_service: parse_availability(schema, text)?,
            },
            (Kind::Database, _) => Self::Database {
                in_service: parse_availability(schema, text)?,
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
                let in_bounds = (1..=MAX_WEIGHT).contains(&workspace.weight);
                check(in_bounds, "weight", "from 1 to 1000")
            }
            Self::Rate(rate) => {
                let in_bounds = (1..=MAX_RATE).contains(&rate.per_second);
                check(in_bounds, "per_second", "from 1 to 10000000")?;
                let in_bounds = (1..=MAX_RATE).contains(&rate.burst);
                check(in_bounds, "burst", "from 1 to 10000000")
            }
            Self::Key(_) | Self::Service(_) | Self::Zone { .. } | Self::Database { .. } => Ok(()),
        }
    }
}

fn check(in_bounds: bool, field: &str, bounds: &str) -> Result<(), Invalid> {
    if in_bounds {
        return Ok(());
    }
    Err(Invalid::Bounds {
        field: field.into(),
        bounds: bounds.into(),
    })
}

fn parse_json<T>(text: &str) -> Result<T, Invalid>
where
    T: DeserializeOwned,
{
    serde_json::from_str(text).map_err(|error| Invalid::Json {
        line: error.line(),
        column: error.column(),
        problem: error.to_string().into(),
    })
}

fn parse_availability(schema: u32, text: &str) -> Result<bool, Invalid> {
    match schema {
        1 => Ok(parse_json::<AvailabilityV1>(text)?.in_service),
        2 => Ok(parse_json::<AvailabilityV2>(text)?.state == Availability::InService),
        _ => Err(Invalid::Schema { schema }),
    }
}

// -------------------------------------------------------------------------------------------------
// JSON forms by schema version

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
    DEFAULT_OPEN_MAX_AGE_MS
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
            open_max_age_ms: DEFAULT_OPEN_MAX_AGE_MS,
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
