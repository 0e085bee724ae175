//! Checks whether an operation may run: authority (lease), route, key and rate.

use std::{borrow::Cow, fmt, sync::Arc};

use hemlockcrank_core::{Name, catalog::Route, dispatch};

use super::{Code, Proxy, attempts::Attempts};
use crate::{clock::now_ms, control::HostState, limits};

/// An operation that cannot run is refused after 1/`WAIT_FRACTION` of its route's latency
/// objective.
const WAIT_FRACTION: u64 = 4;
/// Longest wait for a token of the rate limit, in milliseconds. It is the same for all routes:
/// otherwise the routes that may wait longer would take every token.
const TOKEN_WAIT_MS: u64 = 50;
/// Workspace name for callers of open routes without a valid key.
const NO_WORKSPACE: &str = "-";

/// Why an operation has no result. It has no effect, unless the code is [`Code::InDoubt`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    pub(crate) reason: Cow<'static, str>,
    /// Members that were tried, each with the outcome.
    pub(crate) trail: Trail,
    /// Time after which the caller may retry, in milliseconds.
    pub(crate) retry_after_ms: Option<u64>,
    /// Inputs of the decision, if a full member is the reason.
    pub(crate) decision: Option<dispatch::Refusal>,
}

/// Members that were tried, each with the outcome, for the log.
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

    /// Appends the trail of another host.
    pub(crate) fn append(&mut self, trail: &str) {
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        self.0.push_str(trail);
    }
}

impl fmt::Display for Trail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0.is_empty() { "-" } else { &self.0 })
    }
}

impl Refusal {
    pub(crate) const fn new(code: Code, reason: &'static str) -> Self {
        let trail = Trail(String::new());
        Self {
            code,
            reason: Cow::Borrowed(reason),
            trail,
            retry_after_ms: None,
            decision: None,
        }
    }

    /// A refusal by another host.
    pub(crate) fn received(
        code: Code,
        reason: String,
        trail: Trail,
        retry_after_ms: Option<u64>,
    ) -> Self {
        Self {
            code,
            reason: Cow::Owned(reason),
            trail,
            retry_after_ms,
            decision: None,
        }
    }

    /// Refusal because the member is full, or all members that may run the operation are.
    pub(crate) fn full(decision: dispatch::Refusal) -> Self {
        Self {
            retry_after_ms: Some(decision.retry_after_ms),
            decision: Some(decision),
            ..Self::new(Code::Busy, "the member is full")
        }
    }

    /// Text for the caller.
    pub(crate) fn text(&self) -> Cow<'static, str> {
        match self.retry_after_ms {
            Some(ms) => format!("{}; retry after {ms} ms", self.reason).into(),
            None => self.reason.clone(),
        }
    }

    /// Time after which the caller may retry, for the log.
    pub(crate) fn retry_after_text(&self) -> String {
        self.retry_after_ms
            .map_or_else(|| "-".to_owned(), |ms| ms.to_string())
    }

    /// Inputs of the decision for the log.
    pub(crate) fn decision_text(&self) -> String {
        let Some(decision) = self.decision else {
            return "-".to_owned();
        };
        let dispatch::Load {
            limit,
            in_progress,
            waiting,
        } = decision.load;
        let limit = limit.unwrap_or(0);
        let expected_ms = decision.expected_wait_ms;
        format!(
            "expected_wait_ms:{expected_ms},limit:{limit},in_progress:{in_progress},waiting:{waiting}"
        )
    }

    pub(crate) fn with_trail(self, trail: Trail) -> Self {
        Self { trail, ..self }
    }
}

/// An operation with its route and workspace.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    pub(crate) route: Arc<Route>,
    pub(crate) workspace: Name,
    pub(crate) key: Option<Name>,
    /// Local time of arrival, in milliseconds.
    pub(crate) arrived_at: u64,
}

impl Operation {
    /// Time after which the operation no longer waits for a primary or a connection.
    pub(crate) fn wait_deadline(&self) -> u64 {
        self.arrived_at + (self.route.objective_ms / WAIT_FRACTION).max(1)
    }

    /// Checks the lease and the key, right before the operation is sent to a member. Open routes
    /// need no lease at a replica; at the primary they do, because without a lease this host does
    /// not know which member is the primary.
    pub(crate) fn check_permitted(
        &self,
        host_state: &HostState,
        at_primary: bool,
    ) -> Result<(), Refusal> {
        if (at_primary || !self.route.open) && !host_state.has_lease() {
            return Err(Refusal::new(Code::Busy, "no authority"));
        }
        if self.route.open {
            return Ok(());
        }
        let key_workspace = self
            .key
            .as_ref()
            .and_then(|key| host_state.state.catalog.workspace_by_key(key));
        if key_workspace != Some(&self.workspace) {
            return Err(Refusal::new(Code::NoKey, "key withdrawn"));
        }
        Ok(())
    }
}

impl Proxy {
    /// Determines the route and the workspace of a new operation. Without a lease the catalog may be
    /// out of date, so errors are reported as missing authority.
    pub(crate) fn resolve(
        &self,
        database: &Name,
        key: Option<&Name>,
    ) -> Result<Operation, Refusal> {
        let host_state = self.host_state();
        let catalog = &host_state.state.catalog;
        let has_lease = host_state.has_lease();
        let refuse = |refusal: Refusal| match has_lease {
            true => refusal,
            false => Refusal::new(Code::Busy, "no authority"),
        };
        let route = catalog.route(database);
        let route = route.ok_or_else(|| refuse(Refusal::new(Code::NoDatabase, "no such route")))?;
        let key_workspace = key.and_then(|key| catalog.workspace_by_key(key));
        let workspace = match key_workspace {
            Some(workspace) => workspace.clone(),
            None if route.open => NO_WORKSPACE.into(),
            None => return Err(refuse(Refusal::new(Code::NoKey, "no such key"))),
        };
        if !has_lease && !route.open {
            return Err(Refusal::new(Code::Busy, "no authority"));
        }
        Ok(Operation {
            route: Arc::new(route.clone()),
            workspace,
            key: key.cloned(),
            arrived_at: now_ms(),
        })
    }

    /// Takes back the token of an operation that was refused and that no member has run.
    pub(crate) fn refund(&self, operation: &Operation, refusal: &Refusal, attempts: &Attempts) {
        if refusal.code == Code::Busy && !attempts.may_have_run() {
            self.portions.refund(&operation.workspace);
        }
    }

    /// Spends a token of the workspace's rate limit, waiting for one if necessary.
    pub(crate) async fn admit(&self, operation: &Operation) -> Result<(), Refusal> {
        if self.portions.take(&operation.workspace) {
            return Ok(());
        }
        let deadline = operation.arrived_at + TOKEN_WAIT_MS;
        let admitted = self.limits.admit(&operation.workspace, deadline);
        admitted.await.map_err(|refusal| match refusal {
            limits::Refusal::OverRate => Refusal::new(Code::TooMany, "over the rate"),
            limits::Refusal::OwnerUnreachable => Refusal::new(Code::Busy, "rate unknown"),
        })
    }
}
