//! Reads outside a transaction: choice of the member, retries, and hedging (sending the read to a
//! second member as well if the first is slow).

use std::{borrow::Cow, sync::Arc, time::Duration};

use hemlockcrank_core::{
    Name,
    balance::{Candidate, choose},
    catalog::Freshness,
    retry::Backoff,
    session::Position,
};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

use super::{
    Code, PreparedStatement, Proxy, ProxyStatement, Query,
    admission::{Operation, Refusal, Trail},
    member_connection::{Answer, MemberConnection, SessionValues},
    pool::{ConnectionRequest, Pool, PooledConnection, Unavailable},
    primaries::Guard,
};
use crate::{clock::now_ms, control::HostState};

/// Margin by which data must be newer than the route's maximum age allows, in milliseconds.
const AGE_MARGIN_MS: u64 = 30;
/// Interval at which a write checks again for a primary while there is none.
pub(crate) const PRIMARY_RETRY_INTERVAL: Duration = Duration::from_millis(15);
/// Longest wait for a connection to one member.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(150);
/// Shortest time without an answer after which the read is sent to another member as well, in
/// milliseconds.
const MIN_HEDGE_MS: u64 = 120;
/// The same time, as a multiple of the member's latency.
const HEDGE_LATENCIES: u64 = 4;
/// Maximum number of attempts for one read.
const MAX_ATTEMPTS: usize = 6;

/// What to send to the member.
#[derive(Clone, Debug)]
pub(crate) enum Body {
    /// This text.
    Text(Name),
    /// The execution of a prepared statement, whose name differs between connections.
    Prepared {
        statement: PreparedStatement,
        arguments: Name,
    },
}

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
    /// It ran and failed.
    Failed(Answer),
    /// No answer was received; it may have run.
    Lost,
}

/// The member chosen for a statement.
pub(crate) struct Choice {
    pub(crate) name: Name,
    pub(crate) pool: Arc<Pool>,
    /// Position that the member must have reached.
    pub(crate) after: Option<Position>,
    /// Set if the member is the primary.
    pub(crate) guard: Option<Guard>,
}

impl Proxy {
    /// Chooses the best member for a read, except those in `tried`.
    pub(crate) fn choose(
        &self,
        host_state: &HostState,
        operation: &Operation,
        watermark: Position,
        tried: &[Name],
    ) -> Option<Choice> {
        let now = now_ms();
        let route = &operation.route;
        let group = host_state.state.groups.get(&route.service)?;
        let lead = group.lead.as_ref()?;
        let floor = self.floor(operation, lead.term, watermark);
        let mut members = Vec::new();
        let mut candidates = Vec::new();
        for (name, member) in &group.members {
            let is_primary = *name == lead.member;
            let excluded = match is_primary {
                true => group.change.is_some() || !host_state.has_lease(),
                false => floor.is_none(),
            };
            if excluded || tried.contains(name) || !host_state.state.groups.accepts_work(member) {
                continue;
            }
            let pool = self.pool(host_state, &route.service, name, member);
            candidates.push(Candidate {
                load: pool.load(),
                same_zone: *member.zone == *self.settings.zone,
                connected: pool.has_free(&operation.workspace),
                primary: is_primary,
            });
            members.push((name, pool, is_primary));
        }
        let best = choose(now, &candidates)?;
        let (name, pool, is_primary) = members.swap_remove(best);
        let guard = match is_primary {
            true => Some(self.primaries.issue_guard(&route.service, lead.term)?),
            false => None,
        };
        Some(Choice {
            name: name.clone(),
            pool,
            after: floor.filter(|_| !is_primary),
            guard,
        })
    }

    /// Position that a replica must have reached; `None` if only the primary can serve the read.
    fn floor(&self, operation: &Operation, term: u64, watermark: Position) -> Option<Position> {
        let route = &operation.route;
        let since = operation.arrived_at.saturating_sub(route.max_age_ms) + AGE_MARGIN_MS;
        let sampled_floor = || self.primaries.floor(&route.service, term, since);
        match route.freshness {
            Freshness::Primary => None,
            Freshness::Bounded => sampled_floor(),
            Freshness::ReadYourWrites => sampled_floor().map(|floor| floor.max(watermark)),
        }
    }

    /// Runs a read, at one member after another, until one returns a result.
    pub(crate) async fn read(self: &Arc<Self>, execution: Execution) -> Result<Answer, Refusal> {
        let execution = Arc::new(execution);
        let mut tried: Vec<Name> = Vec::new();
        let mut trail = Trail::default();
        let mut running = JoinSet::new();
        let mut attempts = 0;
        let mut failed = None;
        let mut backoff = Backoff::default();
        loop {
            let now = now_ms();
            if now >= execution.deadline {
                running.detach_all();
                let refusal = Refusal::new(Code::Busy, "no result in time");
                return Err(refusal.with_trail(trail));
            }
            let host_state = self.host_state();
            execution.operation.check_permitted(&host_state, false)?;
            let choice = self.choose(
                &host_state,
                &execution.operation,
                execution.watermark,
                &tried,
            );
            let choice = choice.filter(|_| attempts < MAX_ATTEMPTS);
            let wait = match choice {
                Some(choice) => {
                    attempts += 1;
                    tried.push(choice.name.clone());
                    let hedge_ms = choice.pool.load().latency_ms() * HEDGE_LATENCIES;
                    running.spawn(Arc::clone(self).attempt(Arc::clone(&execution), choice));
                    Duration::from_millis(hedge_ms.max(MIN_HEDGE_MS)).min(execution.time_left(now))
                }
                None if !running.is_empty() => execution.time_left(now),
                None => {
                    if let Some(answer) = failed {
                        return Ok(answer);
                    }
                    if now >= execution.operation.wait_deadline() || attempts >= MAX_ATTEMPTS {
                        let refusal = Refusal::new(Code::Busy, "no member can serve the read");
                        return Err(refusal.with_trail(trail));
                    }
                    tried.clear();
                    sleep(Duration::from_millis(backoff.next_pause_ms())).await;
                    continue;
                }
            };
            let Ok(Some(Ok((member, outcome)))) = timeout(wait, running.join_next()).await else {
                self.metrics.count_read_retry();
                continue;
            };
            match outcome {
                Ok(answer) => {
                    running.detach_all();
                    return Ok(answer);
                }
                Err(AttemptError::Refused(refusal)) => return Err(refusal.with_trail(trail)),
                Err(AttemptError::Failed(answer)) => {
                    trail.add(&member, "failed");
                    failed = Some(answer);
                }
                Err(AttemptError::NotRun(reason)) => trail.add(&member, &reason),
                Err(AttemptError::Lost) => trail.add(&member, "lost"),
            }
        }
    }

    /// Attempts a read at one member; returns the member's name with the outcome.
    async fn attempt(
        self: Arc<Self>,
        execution: Arc<Execution>,
        choice: Choice,
    ) -> (Name, Result<Answer, AttemptError>) {
        let outcome = self.try_read(&execution, &choice).await;
        (choice.name, outcome)
    }

    async fn try_read(
        &self,
        execution: &Execution,
        choice: &Choice,
    ) -> Result<Answer, AttemptError> {
        let service = &execution.operation.route.service;
        let _in_flight = choice.pool.track_in_flight();
        let acquired = choice
            .pool
            .acquire(execution.connection_request(), execution.acquire_timeout())
            .await;
        let mut pooled = match acquired {
            Ok(pooled) => pooled,
            Err(error) => {
                self.record_unavailable(choice, service, error);
                return Err(AttemptError::NotRun(<&str>::from(error).into()));
            }
        };
        let term = choice.guard.as_ref().map(Guard::term);
        let outcome = self
            .run_on(&mut pooled, execution, choice.after, choice.guard.as_ref())
            .await;
        let now = now_ms();
        match outcome {
            Ok((sent_at, answer)) => {
                if answer.outcome.is_ok() {
                    choice
                        .pool
                        .update_load(|load| load.record_success(now.saturating_sub(sent_at)));
                }
                if let Some(term) = term {
                    self.record_primary_answer(service, term, sent_at, &answer);
                }
                match &answer.outcome {
                    Ok(_) => Ok(answer),
                    Err((Code::Lagging, _)) => Err(AttemptError::NotRun(
                        lagging(answer.position, choice.after).into(),
                    )),
                    Err((code, _)) if code.is_not_run() => {
                        Err(AttemptError::NotRun(<&str>::from(*code).into()))
                    }
                    Err(_) => Err(AttemptError::Failed(answer)),
                }
            }
            Err(error) => {
                if matches!(error, AttemptError::Lost) {
                    choice.pool.update_load(|load| load.record_failure(now));
                    if let Some(term) = term {
                        self.primary_failed(service, term);
                    }
                }
                Err(error)
            }
        }
    }

    /// Records an answer of the primary, to be reported to the control leader.
    pub(crate) fn record_primary_answer(
        &self,
        service: &Name,
        term: u64,
        sent_at: u64,
        answer: &Answer,
    ) {
        match &answer.outcome {
            Err((Code::ReadOnly | Code::Misrouted, _)) => self.primary_failed(service, term),
            Err((Code::Busy | Code::TooMany, _)) => {}
            _ => self
                .primaries
                .record_answer(now_ms(), service, term, sent_at, answer.position),
        }
    }

    /// Records that no connection to a member was available. If all are in use, that is not a
    /// failure of the member.
    pub(crate) fn record_unavailable(&self, choice: &Choice, service: &Name, error: Unavailable) {
        let now = now_ms();
        let all_in_use =
            matches!(error, Unavailable::Refused(Code::TooMany)) || error == Unavailable::Late;
        if all_in_use {
            return;
        }
        choice.pool.update_load(|load| load.record_failure(now));
        if let Some(guard) = &choice.guard {
            self.primary_failed(service, guard.term());
        }
    }

    /// Sets up a connection and runs a statement outside a transaction on it; returns the time at
    /// which the statement was sent, and the answer.
    pub(crate) async fn run_on(
        &self,
        pooled: &mut PooledConnection,
        execution: &Execution,
        after: Option<Position>,
        guard: Option<&Guard>,
    ) -> Result<(u64, Answer), AttemptError> {
        if !execution.set_up(pooled).await {
            return Err(AttemptError::NotRun("no connection".into()));
        }
        if let Err(refusal) = execution
            .operation
            .check_permitted(&self.host_state(), guard.is_some())
        {
            return Err(AttemptError::Refused(refusal));
        }
        if guard.is_some_and(|guard| !guard.is_current()) {
            return Err(AttemptError::NotRun("no connection".into()));
        }
        let sent_at = now_ms();
        let Some(connection) = pooled.connection() else {
            return Err(AttemptError::NotRun("no connection".into()));
        };
        let Some(query) = execution.query(connection, after) else {
            return Err(AttemptError::NotRun("not prepared".into()));
        };
        match timeout(execution.time_left(sent_at), connection.run(&query)).await {
            Ok(Ok(answer)) => Ok((sent_at, answer)),
            _ => {
                pooled.close();
                Err(AttemptError::Lost)
            }
        }
    }
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
