//! Whether an operation may run: authority, route, key and rate.

use std::sync::Arc;

use hemlockcrank_core::{Name, catalog::Route};

use super::{Code, Proxy};
use crate::{clock::now_ms, control::HostState, limits};

/// Part of the latency objective after which an operation that cannot run is refused.
const PATIENCE_PART: u64 = 4;
/// Longest wait for a token of the rate, in milliseconds. It is the same for all routes: those that may
/// wait longer would otherwise take every token.
const TOKEN_PATIENCE_MS: u64 = 50;
/// Name that stands for callers of open routes.
const NOBODY: &str = "-";

/// Why an operation does not run. Nothing of it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    pub(crate) reason: &'static str,
    /// Members that were tried, each with what came of it.
    pub(crate) trail: Trail,
}

/// Members that were tried, each with what came of it: for the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Trail(String);

impl Trail {
    pub(crate) fn add(&mut self, member: &str, outcome: &str) {
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        self.0.push_str(member);
        self.0.push('=');
        self.0.push_str(outcome);
    }
}

impl std::fmt::Display for Trail {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_empty() { "-" } else { &self.0 })
    }
}

impl Refusal {
    pub(crate) const fn new(code: Code, reason: &'static str) -> Self {
        let trail = Trail(String::new());
        Self {
            code,
            reason,
            trail,
        }
    }

    pub(crate) fn after(self, trail: Trail) -> Self {
        Self { trail, ..self }
    }
}

/// An operation that may run.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    pub(crate) route: Arc<Route>,
    pub(crate) workspace: Name,
    pub(crate) key: Option<Name>,
    /// When it arrived.
    pub(crate) arrived: u64,
}

impl Operation {
    /// Time after which nothing waits for a primary or a place any more.
    pub(crate) fn patience(&self) -> u64 {
        self.arrived + (self.route.objective_ms / PATIENCE_PART).max(1)
    }

    /// Whether the operation may still be given to a member: asked right before it is sent. The lease
    /// says who is primary, so at a `primary` open routes need it too.
    pub(crate) fn is_permitted(&self, world: &HostState, primary: bool) -> Result<(), Refusal> {
        if (primary || !self.route.open) && !world.has_lease() {
            return Err(Refusal::new(Code::Busy, "no authority"));
        }
        if self.route.open {
            return Ok(());
        }
        let holder = self
            .key
            .as_ref()
            .and_then(|key| world.state.catalog.workspace_by_key(key));
        if holder != Some(&self.workspace) {
            return Err(Refusal::new(Code::NoKey, "key withdrawn"));
        }
        Ok(())
    }
}

impl Proxy {
    /// Finds route and workspace of an operation that arrives now.
    pub(crate) fn identify(
        &self,
        database: &Name,
        key: Option<&Name>,
    ) -> Result<Operation, Refusal> {
        let world = self.world();
        let catalog = &world.state.catalog;
        let sure = world.has_lease();
        let doubt = |refusal: Refusal| match sure {
            true => refusal,
            false => Refusal::new(Code::Busy, "no authority"),
        };
        let route = catalog.route(database);
        let route = route.ok_or_else(|| doubt(Refusal::new(Code::NoDatabase, "no such route")))?;
        let holder = key.and_then(|key| catalog.workspace_by_key(key));
        let workspace = match holder {
            Some(workspace) => workspace.clone(),
            None if route.open => NOBODY.into(),
            None => return Err(doubt(Refusal::new(Code::NoKey, "no such key"))),
        };
        if !sure && !route.open {
            return Err(Refusal::new(Code::Busy, "no authority"));
        }
        Ok(Operation {
            route: Arc::new(route.clone()),
            workspace,
            key: key.cloned(),
            arrived: now_ms(),
        })
    }

    /// Spends a token of the workspace's rate.
    pub(crate) async fn admit(&self, operation: &Operation) -> Result<(), Refusal> {
        if self.portions.take(&operation.workspace) {
            return Ok(());
        }
        let patience = operation.arrived + TOKEN_PATIENCE_MS;
        let admitted = self.limits.admit(&operation.workspace, patience);
        admitted.await.map_err(|refusal| match refusal {
            limits::Refusal::OverRate => Refusal::new(Code::TooMany, "over the rate"),
            limits::Refusal::OwnerUnreachable => Refusal::new(Code::Busy, "rate unknown"),
        })
    }
}
