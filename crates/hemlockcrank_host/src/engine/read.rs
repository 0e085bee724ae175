//! Reads outside a transaction: choice of the member, retries, and hedging (sending the read to a
//! second member as well if the first is slow).

use std::{sync::Arc, time::Duration};

use hemlockcrank_core::{Name, dispatch, retry::Backoff, session::Position, spillover};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

use super::{
    Code, Proxy,
    admission::{Refusal, Trail},
    choice::Choice,
    execution::{AttemptError, Execution, lagging},
    member_connection::Answer,
    permits::outcome_of,
    pool::PooledConnection,
    primaries::Guard,
    spillover::ReadEnd,
};
use crate::clock::now_ms;

/// Shortest time without an answer after which the read is sent to another member as well, in
/// milliseconds.
const MIN_HEDGE_MS: u64 = 120;
/// The same time, as a multiple of the member's latency.
const HEDGE_LATENCIES: u64 = 4;
/// Maximum number of attempts for one read.
const MAX_ATTEMPTS: usize = 6;

/// Members that are full, and the decision of the one that is expected to have room first.
#[derive(Debug, Default)]
pub(crate) struct FullMembers {
    pub(crate) names: Vec<Name>,
    first: Option<dispatch::Refusal>,
}

impl FullMembers {
    pub(crate) fn add(&mut self, name: Name, decision: dispatch::Refusal) {
        self.names.push(name);
        let earlier = self
            .first
            .filter(|first| first.retry_after_ms <= decision.retry_after_ms);
        self.first = Some(earlier.unwrap_or(decision));
    }

    /// The decision, if all members in `tried` are full.
    pub(crate) fn all_of(&self, tried: &[Name]) -> Option<dispatch::Refusal> {
        let all_full = tried.iter().all(|name| self.names.contains(name));
        self.first.filter(|_| all_full)
    }
}

/// How far an attempt at a member came.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// Wait for a connection, in milliseconds.
    waited_ms: u64,
    /// Whether the member has no room, or cannot be reached.
    overloaded: bool,
}

impl Proxy {
    /// Runs a read, at one member after another, until one returns a result.
    pub(crate) async fn read(self: &Arc<Self>, execution: Execution) -> Result<Answer, Refusal> {
        let execution = Arc::new(execution);
        let mut tried: Vec<Name> = Vec::new();
        let mut trail = Trail::default();
        let mut running = JoinSet::new();
        let mut attempts = 0;
        let mut failed = None;
        let mut full = FullMembers::default();
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
            let choice = match attempts < MAX_ATTEMPTS {
                true => self.choose(
                    &host_state,
                    &execution.operation,
                    execution.watermark,
                    &tried,
                ),
                false => None,
            };
            let wait = match choice {
                Some(choice) => {
                    attempts += 1;
                    tried.push(choice.name.clone());
                    let hedge_ms = choice.pool.load().latency_ms() * HEDGE_LATENCIES;
                    // A second attempt while the first waits for a permit would wait as well.
                    let operation = &execution.operation;
                    let permit_ms = choice
                        .pool
                        .expected_wait_ms(&operation.workspace, operation.route.priority);
                    let hedge = Duration::from_millis(hedge_ms.max(MIN_HEDGE_MS) + permit_ms);
                    running.spawn(Arc::clone(self).attempt(Arc::clone(&execution), choice));
                    hedge.min(execution.time_left(now))
                }
                None if !running.is_empty() => execution.time_left(now),
                None => {
                    if let Some(answer) = failed {
                        return Ok(answer);
                    }
                    if let Some(decision) = full.all_of(&tried) {
                        return Err(Refusal::full(decision).with_trail(trail));
                    }
                    if now >= execution.operation.wait_deadline() || attempts >= MAX_ATTEMPTS {
                        let refusal = Refusal::new(Code::Busy, "no member can serve the read");
                        return Err(refusal.with_trail(trail));
                    }
                    tried.clone_from(&full.names);
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
                Err(AttemptError::Full(decision)) => {
                    trail.add(&member, "full");
                    full.add(member, decision);
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
        let began_at = now_ms();
        let mut progress = Progress::default();
        let outcome = self.try_read(&execution, &choice, &mut progress).await;
        let end = match &outcome {
            Ok(_) | Err(AttemptError::Failed(_)) => {
                let took_ms = now_ms().saturating_sub(began_at);
                ReadEnd::Answered(spillover::Answer {
                    began_at,
                    waited_ms: progress.waited_ms,
                    ran_ms: took_ms.saturating_sub(progress.waited_ms),
                })
            }
            Err(AttemptError::NotRun(_)) if !progress.overloaded => ReadEnd::Abandoned,
            Err(AttemptError::NotRun(_) | AttemptError::Full(_) | AttemptError::Lost) => {
                ReadEnd::Failed {
                    began_at,
                    objective_ms: execution.operation.route.objective_ms,
                }
            }
            Err(AttemptError::Refused(_)) => ReadEnd::Abandoned,
        };
        self.record_read_end(&execution.operation.route.service, &choice, end);
        (choice.name, outcome)
    }

    async fn try_read(
        &self,
        execution: &Execution,
        choice: &Choice,
        progress: &mut Progress,
    ) -> Result<Answer, AttemptError> {
        let began_at = now_ms();
        let service = &execution.operation.route.service;
        let _in_flight = choice.pool.track_in_flight();
        let permit = self.permit(&choice.pool, execution, false).await;
        let permit = permit.map_err(AttemptError::Full)?;
        let acquired = choice
            .pool
            .acquire(execution.connection_request(), execution.acquire_timeout())
            .await;
        let mut pooled = match acquired {
            Ok(pooled) => pooled,
            Err(error) => {
                permit.finish(error.into());
                progress.overloaded = true;
                self.record_unavailable(choice, service, error);
                return Err(AttemptError::NotRun(<&str>::from(error).into()));
            }
        };
        progress.waited_ms = now_ms().saturating_sub(began_at);
        let term = choice.guard.as_ref().map(Guard::term);
        let outcome = self
            .run_on(&mut pooled, execution, choice.after, choice.guard.as_ref())
            .await;
        permit.finish(outcome_of(&outcome));
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
                        progress.overloaded = matches!(code, Code::Busy | Code::TooMany);
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
        execution.attempts.begin();
        match timeout(execution.time_left(sent_at), connection.run(&query)).await {
            Ok(Ok(answer)) => {
                match &answer.outcome {
                    Err((code, _)) if code.is_not_run() => execution.attempts.cancel(),
                    _ => self.count_operation(execution, sent_at),
                }
                Ok((sent_at, answer))
            }
            _ => {
                // It may have begun to run. A read that is repeated elsewhere is counted once all the same.
                self.count_operation(execution, sent_at);
                pooled.close();
                Err(AttemptError::Lost)
            }
        }
    }
}
