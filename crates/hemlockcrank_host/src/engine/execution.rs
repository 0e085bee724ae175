//! A statement to run, what an attempt at a member results in, and the texts for the log.

use std::{borrow::Cow, sync::Arc, time::Duration};

use hemlockcrank_core::{Name, dispatch, session::Position};
use tokio::time::timeout;

pub(crate) use hemlockcrank_wire::Body;

use super::{
    ProxyStatement, Query,
    admission::{Operation, Refusal},
    attempts::Attempts,
    member_connection::{Answer, MemberConnection, SessionValues},
    pool::{ConnectionRequest, PooledConnection},
};
use crate::{clock::now_ms, metering::Counted};

/// Longest wait for a connection to one member.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(150);
/// A statement that waits for a permit starts within 1/`START_FRACTION` of its route's latency
/// objective. The rest is for its work and its transport.
const START_FRACTION: u64 = 2;

/// A statement to run, with its operation and session state.
#[derive(Clone, Debug)]
pub(crate) struct Execution {
    pub(crate) operation: Operation,
    /// Request id, from the caller.
    pub(crate) id: Name,
    pub(crate) body: Body,
    pub(crate) values: Arc<SessionValues>,
    /// Newest commit of the session.
    pub(crate) watermark: Position,
    /// Local time after which the statement is not run any more, in milliseconds.
    pub(crate) deadline: u64,
    /// Whether the operation has been counted for the report of usage.
    pub(crate) counted: Counted,
    /// Attempts outside a transaction that may have run.
    pub(crate) attempts: Attempts,
}

impl Execution {
    pub(crate) fn connection_request(&self) -> ConnectionRequest<'_> {
        ConnectionRequest {
            workspace: &self.operation.workspace,
            values: &self.values,
            priority: self.operation.route.priority,
        }
    }

    pub(crate) fn time_left(&self, now: u64) -> Duration {
        Duration::from_millis(self.deadline.saturating_sub(now))
    }

    /// Time until which waiting for a permit is useful, in milliseconds.
    pub(crate) fn start_deadline(&self) -> u64 {
        let route = &self.operation.route;
        let arrived_at = self.deadline.saturating_sub(route.timeout_ms);
        let useful_ms = (route.objective_ms / START_FRACTION).max(1);
        self.deadline.min(arrived_at + useful_ms)
    }

    /// Longest wait for a connection to one member.
    pub(crate) fn acquire_timeout(&self) -> Duration {
        self.time_left(now_ms()).min(ACQUIRE_TIMEOUT)
    }

    /// The query for a connection that is set up; `None` if a prepared statement is not prepared on
    /// it.
    pub(crate) fn query(
        &self,
        connection: &MemberConnection,
        after: Option<Position>,
    ) -> Option<Query> {
        let text = match &self.body {
            Body::Text(text) => text.clone(),
            Body::Prepared {
                statement,
                arguments,
            } => connection.execute_text(statement, arguments)?,
        };
        Some(Query {
            id: self.id.clone(),
            text,
            after,
        })
    }

    /// Statements that set up a connection for this execution.
    pub(crate) fn setup_statements(&self, connection: &MemberConnection) -> Vec<ProxyStatement> {
        let prepared = match &self.body {
            Body::Text(_) => None,
            Body::Prepared { statement, .. } => Some(statement),
        };
        connection.setup_statements(&self.values, prepared)
    }

    /// Sets up a connection, and closes it if that fails. Returns whether it can be used.
    pub(crate) async fn set_up(&self, pooled: &mut PooledConnection) -> bool {
        let Some(connection) = pooled.connection() else {
            return false;
        };
        let setup = self.setup_statements(connection);
        if setup.is_empty() {
            return true;
        }
        let result = timeout(
            self.time_left(now_ms()),
            connection.run_proxy_statements(&setup),
        )
        .await;
        let succeeded = matches!(&result, Ok(Ok(Some(answer))) if answer.outcome.is_ok());
        if !succeeded {
            pooled.close();
        }
        succeeded
    }
}

/// Why an attempt at one member has no result.
#[derive(Clone, Debug)]
pub(crate) enum AttemptError {
    /// The operation may not run at any member any more.
    Refused(Refusal),
    /// It did not run at this member; contains the reason for the log.
    NotRun(Cow<'static, str>),
    /// The member is full; it did not run there.
    Full(dispatch::Refusal),
    /// It ran and failed.
    Failed(Answer),
    /// No answer was received; it may have run.
    Lost,
}

/// Outcome for the trail: the position that a member has reached, and the one that it had to reach.
pub(crate) fn lagging(reached: Option<Position>, required: Option<Position>) -> String {
    format!(
        "lagging:{}<{}",
        position_text(reached),
        position_text(required)
    )
}

/// Text of a position for the log.
pub(crate) fn position_text(position: Option<Position>) -> String {
    match position {
        Some(Position { term, index }) => format!("{term}.{index}"),
        None => "-".to_owned(),
    }
}
