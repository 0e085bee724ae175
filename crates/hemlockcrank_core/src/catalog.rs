//! The whole configuration of a site as one change set under one version.
//!
//! Where [`crate::record`] takes changes one by one, a [`Catalog`] is submitted whole: it is checked
//! whole, replaces the one before it at one log index, and the highest version wins for ever. A catalog
//! carries the schema version that its text is written in, so old and new forms can be in force side by
//! side while operators migrate.
//!
//! ```
//! use hemlockcrank_core::catalog::{Catalog, Draft};
//!
//! let catalog = Catalog::check(Draft { version: 3, ..Draft::default() })?;
//! assert!(catalog.supersedes(&Catalog::default()));
//! # Ok::<(), hemlockcrank_core::catalog::Invalid>(())
//! ```

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};
use thiserror::Error;

use crate::{Name, record::Rate};

/// Prefix under which a session's database name is looked up.
const WHOLE: &str = "/";

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
    /// Sees commits older than the stated age.
    Bounded,
    /// Sees commits older than the stated age, and all commits of its own session.
    ReadYourWrites,
}

/// Where sessions of one database name go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Database name that sessions ask for.
    pub database: Name,
    /// Part of the name space; `/` for all of it.
    pub prefix: Name,
    /// Service that runs the statements.
    pub service: Name,
    /// How fresh reads have to be.
    pub freshness: Freshness,
    /// Age that reads accept, in milliseconds.
    pub max_age_ms: u64,
    /// Longest run of one statement, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective of a whole operation, in milliseconds.
    pub objective_ms: u64,
    /// Rank in queues; 0 goes first.
    pub priority: u32,
    /// Whether no key is needed.
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
    /// Keys that prove it.
    pub keys: Vec<Name>,
    /// Operations over all hosts.
    pub rate: Option<Rate>,
}

/// A configuration as submitted, not checked yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Draft {
    /// Schema version of `text`.
    pub schema: u32,
    /// Version; higher ones win.
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

/// Why a configuration is refused. Nothing of it is in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Invalid {
    /// A route names a service that the configuration does not hold.
    #[error("route `{route}` names service `{service}`, which is not in the configuration")]
    UnknownService {
        /// Route at fault.
        route: Name,
        /// Service that it names.
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
    /// A statement could never run.
    #[error("route `{route}` has a timeout of 0")]
    NoTimeout {
        /// Route at fault.
        route: Name,
    },
    /// Two workspaces are proved by the same key.
    #[error("workspaces `{first}` and `{second}` share a key")]
    SharedKey {
        /// One of the workspaces.
        first: Name,
        /// The other one.
        second: Name,
    },
    /// Two services or workspaces have the same name.
    #[error("the name `{name}` stands twice")]
    SameName {
        /// Name at fault.
        name: Name,
    },
}

/// A checked configuration.
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
    /// Checks a draft as a whole.
    ///
    /// # Errors
    ///
    /// [`Invalid`] names the first contradiction.
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

    /// Version; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The text as submitted.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Idle time after which a transaction may be ended, in milliseconds; 0 for never.
    pub fn transaction_idle_ms(&self) -> u64 {
        self.transaction_idle_ms
    }

    /// Whether this catalog takes the place of `other`.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.version > other.version
    }

    /// Route of sessions that ask for `database`.
    pub fn route(&self, database: &str) -> Option<&Route> {
        // The pair of shared names has no borrowed form.
        self.routes.get(&(database.into(), WHOLE.into()))
    }

    /// Service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Workspace that `key` proves.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Name> {
        self.keys.get(key)
    }

    /// Workspaces that have a rate.
    pub fn rate_limited_workspaces(&self) -> impl Iterator<Item = &Name> {
        let rates = self.rates.iter();
        rates.filter_map(|(name, rate)| rate.map(|_| name))
    }

    /// Rate of a workspace; `None` for one without a limit, or one that is not known.
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
        let place = (route.database.clone(), route.prefix.clone());
        let second = route.name.clone();
        match self.routes.insert(place, route) {
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
            let other = self.keys.insert(key, name.clone());
            if let Some(first) = other.filter(|first| *first != name) {
                return Err(Invalid::SharedKey {
                    first,
                    second: name,
                });
            }
        }
        Ok(())
    }
}
