//! A site's configuration, submitted and versioned as a unit.
//!
//! [`crate::record`] accepts changes one record at a time. A [`Catalog`] is submitted and validated
//! as a whole and replaces its predecessor at a single log index, but only if its version is
//! higher. A catalog records the schema version of its text, so that old and new schemas can both
//! be used while operators migrate.
//!
//! ```
//! use hemlockcrank_core::catalog::{Catalog, Draft};
//!
//! let catalog = Catalog::check(Draft { version: 3, ..Draft::default() })?;
//! assert!(catalog.supersedes(&Catalog::default()));
//! # Ok::<(), hemlockcrank_core::catalog::Invalid>(())
//! ```

mod delta;

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};
use thiserror::Error;

use crate::{Name, record::Rate};

pub use delta::Delta;

/// Prefix of the whole namespace. Sessions are routed by this prefix and their database name.
const ROOT_PREFIX: &str = "/";

/// How fresh a read has to be.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Freshness {
    /// Sees every acknowledged commit.
    Primary,
    /// Sees every commit older than the maximum age.
    Bounded,
    /// Sees every commit older than the maximum age, and all commits of its own session.
    ReadYourWrites,
}

/// Routes sessions that ask for a database name to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Database name that sessions ask for.
    pub database: Name,
    /// Prefix of the namespace that the route covers; `/` for all of it.
    pub prefix: Name,
    /// Service that runs the statements.
    pub service: Name,
    /// How fresh reads have to be.
    pub freshness: Freshness,
    /// Maximum age of the data that reads return, in milliseconds.
    pub max_age_ms: u64,
    /// Maximum run time of a statement, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective of a whole operation, in milliseconds.
    pub objective_ms: u64,
    /// Queue priority; 0 is served first.
    pub priority: u32,
    /// Whether sessions without a key are accepted.
    pub open: bool,
}

/// A service that statements run on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Connections that each member accepts from all hosts together.
    pub connections: u32,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// A workspace with its keys and its rate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Name,
    /// Keys that authenticate it.
    pub keys: Vec<Name>,
    /// Rate limit over all hosts together; `None` for no limit.
    pub rate: Option<Rate>,
}

/// A configuration as submitted, not validated yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Draft {
    /// Schema version of `text`.
    pub schema: u32,
    /// Version; a higher version replaces a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Idle time after which a transaction may be ended, in milliseconds; 0 for never.
    pub transaction_idle_ms: u64,
    /// The text as submitted.
    pub text: Arc<str>,
}

/// Why a configuration is refused. A refused configuration has no effect at all.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Invalid {
    /// A route names a service that the configuration does not define.
    #[error("route `{route}` names service `{service}`, which is not in the configuration")]
    UnknownService {
        /// Route at fault.
        route: Name,
        /// The undefined service.
        service: Name,
    },
    /// Two routes have the same database and prefix.
    #[error("routes `{first}` and `{second}` have the same database and prefix")]
    SamePlace {
        /// One of the routes.
        first: Name,
        /// The other one.
        second: Name,
    },
    /// A route has a timeout of 0, so no statement could run.
    #[error("route `{route}` has a timeout of 0")]
    NoTimeout {
        /// Route at fault.
        route: Name,
    },
    /// Two workspaces have the same key.
    #[error("workspaces `{first}` and `{second}` share a key")]
    SharedKey {
        /// One of the workspaces.
        first: Name,
        /// The other one.
        second: Name,
    },
    /// Two services or workspaces have the same name.
    #[error("the name `{name}` is used twice")]
    SameName {
        /// The duplicate name.
        name: Name,
    },
}

/// A validated configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    schema: u32,
    version: u64,
    routes: BTreeMap<(Name, Name), Route>,
    services: BTreeMap<Name, Service>,
    rates: BTreeMap<Name, Option<Rate>>,
    keys: BTreeMap<Name, Name>,
    transaction_idle_ms: u64,
    text: Arc<str>,
}

impl Catalog {
    /// Validates a draft.
    ///
    /// # Errors
    ///
    /// [`Invalid`] for the first problem found.
    pub fn check(draft: Draft) -> Result<Self, Invalid> {
        let mut catalog = Self {
            schema: draft.schema,
            version: draft.version,
            transaction_idle_ms: draft.transaction_idle_ms,
            text: draft.text,
            ..Self::default()
        };
        for service in draft.services {
            let name = service.name.clone();
            if catalog.services.insert(name.clone(), service).is_some() {
                return Err(Invalid::SameName { name });
            }
        }
        for route in draft.routes {
            catalog.add_route(route)?;
        }
        for workspace in draft.workspaces {
            catalog.add_workspace(workspace)?;
        }
        Ok(catalog)
    }

    /// Version; 0 if no configuration has been submitted.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The text as submitted.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// The same configuration without its text, for hosts that serve no operators.
    #[must_use]
    pub fn without_text(&self) -> Self {
        Self {
            text: Arc::default(),
            ..self.clone()
        }
    }

    /// Idle time after which a transaction may be ended, in milliseconds; 0 for never.
    pub fn transaction_idle_ms(&self) -> u64 {
        self.transaction_idle_ms
    }

    /// Whether this catalog has a higher version than `other` and replaces it.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.version > other.version
    }

    /// Route of sessions that ask for `database`.
    pub fn route(&self, database: &str) -> Option<&Route> {
        // The lookup needs an owned pair: `(Name, Name)` cannot be borrowed as `(&str, &str)`.
        self.routes.get(&(database.into(), ROOT_PREFIX.into()))
    }

    /// Service named `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Workspace that `key` authenticates.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Name> {
        self.keys.get(key)
    }

    /// Whether a workspace is in the configuration.
    pub fn has_workspace(&self, name: &str) -> bool {
        self.rates.contains_key(name)
    }

    /// Workspaces that have a rate limit.
    pub fn rate_limited_workspaces(&self) -> impl Iterator<Item = &Name> {
        let rates = self.rates.iter();
        rates.filter_map(|(name, rate)| rate.map(|_| name))
    }

    /// Rate limit of a workspace; `None` if it has no limit or does not exist.
    pub fn rate(&self, workspace: &str) -> Option<Rate> {
        self.rates.get(workspace).copied().flatten()
    }

    fn add_route(&mut self, route: Route) -> Result<(), Invalid> {
        if !self.services.contains_key(&route.service) {
            return Err(Invalid::UnknownService {
                route: route.name,
                service: route.service,
            });
        }
        if route.timeout_ms == 0 {
            return Err(Invalid::NoTimeout { route: route.name });
        }
        let key = (route.database.clone(), route.prefix.clone());
        let second = route.name.clone();
        match self.routes.insert(key, route) {
            Some(first) => Err(Invalid::SamePlace {
                first: first.name,
                second,
            }),
            None => Ok(()),
        }
    }

    fn add_workspace(&mut self, workspace: Workspace) -> Result<(), Invalid> {
        let name = workspace.name;
        if self.rates.insert(name.clone(), workspace.rate).is_some() {
            return Err(Invalid::SameName { name });
        }
        for key in workspace.keys {
            let previous = self.keys.insert(key, name.clone());
            if let Some(first) = previous.filter(|first| *first != name) {
                return Err(Invalid::SharedKey {
                    first,
                    second: name,
                });
            }
        }
        Ok(())
    }
}
