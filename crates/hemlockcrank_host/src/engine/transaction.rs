//! A session's open transaction, which is pinned to one connection from its first statement to its
//! end.

use std::{sync::Arc, time::Duration};

use hemlockcrank_core::{catalog::Freshness, dispatch::Outcome, retry::Backoff, session::Position};
use tokio::time::{sleep, timeout};

pub(crate) use hemlockcrank_wire::Step;

use super::{
    Code, Proxy, ProxyStatement, Status,
    admission::{Operation, Refusal, Trail},
    choice::Choice,
    execution::{AttemptError, Execution, lagging},
    member_connection::Answer,
    permits::answer_outcome,
    pool::{InFlight, PooledConnection},
    primaries::Guard,
    read::FullMembers,
    spillover::ReadEnd,
};
use crate::clock::now_ms;

/// Time limit for a rollback at a member.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a transaction is rolled back at a member of a zone that was taken out of service.
pub(crate) const ZONE_OUT: &str = "the member's availability zone is out of service";

/// Connection of a transaction that has begun at a member, with a guard if that is the primary.
#[derive(Debug)]
struct PinnedConnection {
    pooled: PooledConnection,
    guard: Option<Guard>,
    /// Set while the member's availability zone is out of service: local time after which nothing is
    /// sent to the member any more, in milliseconds.
    leave_at: Option<u64>,
    _in_flight: InFlight,
}

/// An open transaction.
#[derive(Debug)]
pub(crate) struct Transaction {
    pub(crate) operation: Operation,
    read_only: bool,
    /// Newest commit of the session at the start.
    watermark: Position,
    /// Set once the transaction has begun at a member.
    pinned: Option<PinnedConnection>,
    wrote: bool,
    /// Set once the transaction cannot be committed any more.
    pub(crate) failed: bool,
}

impl Transaction {
    /// Opens a transaction. Nothing is sent to a member before its first statement.
    pub(crate) fn new(operation: Operation, read_only: bool, watermark: Position) -> Self {
        Self {
            operation,
            read_only,
            watermark,
            pinned: None,
            wrote: false,
            failed: false,
        }
    }

    /// Whether it has begun at a member, and has not ended there.
    pub(crate) fn is_pinned(&self) -> bool {
        self.pinned.is_some()
    }

    /// Whether a statement of it may have written.
    pub(crate) fn wrote(&self) -> bool {
        self.wrote
    }

    /// Notes whether the member's availability zone is out of service. Returns the local time by which
    /// the transaction has to end there, in milliseconds; `None` if it may go on.
    pub(crate) fn note_zone(&mut self, proxy: &Proxy) -> Option<u64> {
        let pinned = self.pinned.as_mut()?;
        let host_state = proxy.host_state();
        let groups = &host_state.state.groups;
        let group = groups.get(&self.operation.route.service)?;
        let member = group.members.get(&pinned.pooled.target().member)?;
        pinned.leave_at = match groups.zone_in_service(&member.zone) {
            true => None,
            false => pinned
                .leave_at
                .or(Some(now_ms() + proxy.settings.limits.zone_drain_ms)),
        };
        pinned.leave_at
    }

    /// Runs a statement. The first statement chooses the member for the whole transaction.
    ///
    /// # Errors
    ///
    /// [`Refusal`]: the transaction has no effect, unless the code is [`Code::InDoubt`].
    pub(crate) async fn run(
        &mut self,
        proxy: &Arc<Proxy>,
        execution: &Execution,
        step: Step,
    ) -> Result<Answer, Refusal> {
        if self.pinned.is_none() {
            self.pinned = Some(self.begin(proxy, execution).await?);
        }
        self.wrote |= step == Step::Write;
        let outcome = self.run_step(proxy, execution, step).await;
        match &outcome {
            Ok(answer) if answer.status == Status::Open => {}
            Ok(answer) => {
                self.failed |= has_failed(answer, step);
                if answer.status == Status::Idle {
                    self.pinned = None;
                }
            }
            Err(_) => {
                self.failed = true;
                self.abandon();
            }
        }
        outcome
    }

    /// Rolls the transaction back at its member, in the background.
    pub(crate) fn abandon(&mut self) {
        let Some(mut pinned) = self.pinned.take() else {
            return;
        };
        tokio::spawn(async move {
            let Some(connection) = pinned.pooled.connection() else {
                return;
            };
            let result = timeout(
                ROLLBACK_TIMEOUT,
                connection.run_proxy_statements(&[ProxyStatement::Rollback]),
            )
            .await;
            let rolled_back =
                matches!(&result, Ok(Ok(Some(answer))) if answer.status == Status::Idle);
            if !rolled_back {
                pinned.pooled.close();
            }
        });
    }

    /// Begins at one member after another, until one accepts the transaction.
    async fn begin(
        &mut self,
        proxy: &Arc<Proxy>,
        execution: &Execution,
    ) -> Result<PinnedConnection, Refusal> {
        let mut tried = Vec::new();
        let mut trail = Trail::default();
        let mut full = FullMembers::default();
        let mut backoff = Backoff::default();
        let wait_deadline = now_ms() + self.operation.wait_deadline() - self.operation.arrived_at;
        loop {
            let now = now_ms();
            let host_state = proxy.host_state();
            let service = &self.operation.route.service;
            let needs_primary =
                !self.read_only || self.operation.route.freshness == Freshness::Primary;
            self.operation.check_permitted(&host_state, needs_primary)?;
            let choice = if !needs_primary {
                proxy.choose(&host_state, &self.operation, self.watermark, &tried)
            } else {
                proxy.choose_primary(&host_state, service)
            };
            match choice {
                Some(choice) => {
                    let member = choice.name.clone();
                    tried.push(member.clone());
                    let begun = self.begin_at(proxy, execution, &choice).await;
                    let end = match &begun {
                        Err(AttemptError::Full(_) | AttemptError::Lost) => ReadEnd::Failed {
                            began_at: now,
                            objective_ms: self.operation.route.objective_ms,
                        },
                        // The time of a begin says nothing of that of a read.
                        _ => ReadEnd::Abandoned,
                    };
                    proxy.record_read_end(service, &choice, end);
                    match begun {
                        Ok((pooled, in_flight)) => {
                            return Ok(PinnedConnection {
                                pooled,
                                guard: choice.guard,
                                leave_at: None,
                                _in_flight: in_flight,
                            });
                        }
                        Err(AttemptError::Refused(refusal)) => return Err(refusal),
                        Err(AttemptError::Full(decision)) => {
                            trail.add(&member, "full");
                            if needs_primary {
                                return Err(Refusal::full(decision).with_trail(trail));
                            }
                            full.add(member, decision);
                            continue;
                        }
                        Err(AttemptError::NotRun(reason)) => trail.add(&member, &reason),
                        Err(AttemptError::Lost | AttemptError::Failed(_)) => {
                            trail.add(&member, "lost");
                        }
                    }
                    self.operation
                        .check_permitted(&proxy.host_state(), needs_primary)?;
                }
                None => {
                    if let Some(decision) = full.all_of(&tried) {
                        return Err(Refusal::full(decision).with_trail(trail));
                    }
                    tried.clone_from(&full.names);
                }
            }
            if now >= wait_deadline.min(execution.deadline) {
                let refusal = Refusal::new(Code::Busy, "no member can open the transaction");
                return Err(refusal.with_trail(trail));
            }
            sleep(Duration::from_millis(backoff.next_pause_ms())).await;
        }
    }

    /// Begins at one member; with an error nothing has run.
    async fn begin_at(
        &self,
        proxy: &Arc<Proxy>,
        execution: &Execution,
        choice: &Choice,
    ) -> Result<(PooledConnection, InFlight), AttemptError> {
        let service = &self.operation.route.service;
        let in_flight = choice.pool.track_in_flight();
        let permit = proxy.permit(&choice.pool, execution, false).await;
        let permit = permit.map_err(AttemptError::Full)?;
        let mut pooled = match choice
            .pool
            .acquire(execution.connection_request(), execution.acquire_timeout())
            .await
        {
            Ok(pooled) => pooled,
            Err(error) => {
                permit.finish(error.into());
                proxy.record_unavailable(choice, service, error);
                return Err(AttemptError::NotRun(<&str>::from(error).into()));
            }
        };
        let not_run = |reason: &'static str| AttemptError::NotRun(reason.into());
        let connection = pooled.connection().ok_or(not_run("no connection"))?;
        let mut statements = execution.setup_statements(connection);
        statements.push(ProxyStatement::Begin {
            read: self.read_only,
            after: choice.after,
        });
        let sent_at = now_ms();
        let result = timeout(
            execution.time_left(sent_at),
            connection.run_proxy_statements(&statements),
        )
        .await;
        let Ok(Ok(Some(answer))) = result else {
            permit.finish(Outcome::Lost);
            pooled.close();
            choice
                .pool
                .update_load(|load| load.record_failure(now_ms()));
            if let Some(guard) = &choice.guard {
                proxy.primary_failed(service, guard.term());
            }
            return Err(AttemptError::Lost);
        };
        permit.finish(answer_outcome(&answer));
        if let Some(guard) = &choice.guard {
            proxy.record_primary_answer(service, guard.term(), sent_at, &answer);
        }
        if answer.outcome.is_err() || answer.status != Status::Open {
            if answer.status != Status::Idle {
                pooled.close();
            }
            return Err(match answer.outcome {
                Err((Code::Lagging, _)) => {
                    AttemptError::NotRun(lagging(answer.position, choice.after).into())
                }
                Err((code, _)) => not_run(code.into()),
                Ok(_) => not_run("not begun"),
            });
        }
        proxy.count_operation(execution, sent_at);
        Ok((pooled, in_flight))
    }

    /// Runs a statement on the pinned connection; retries while the member is busy.
    async fn run_step(
        &mut self,
        proxy: &Arc<Proxy>,
        execution: &Execution,
        step: Step,
    ) -> Result<Answer, Refusal> {
        let service = self.operation.route.service.clone();
        let leave_at = self.note_zone(proxy);
        let Some(pinned) = &mut self.pinned else {
            return Err(Refusal::new(Code::Aborted, "the transaction has ended"));
        };
        let member = pinned.pooled.target().member.clone();
        let refuse = |code: Code, reason: &'static str, outcome: &str| {
            let mut trail = Trail::default();
            trail.add(&member, outcome);
            Err(Refusal::new(code, reason).with_trail(trail))
        };
        let lost = || match step {
            Step::Commit if self.wrote => refuse(Code::InDoubt, "no answer to the commit", "lost"),
            _ => refuse(Code::Aborted, "the member was lost", "lost"),
        };
        let mut backoff = Backoff::default();
        loop {
            let now = now_ms();
            if now >= execution.deadline {
                return refuse(Code::Aborted, "no place at the member in time", "busy");
            }
            if leave_at.is_some_and(|leave_at| now >= leave_at) {
                return refuse(Code::Aborted, ZONE_OUT, "out of service");
            }
            let is_current = pinned.guard.as_ref().is_none_or(Guard::is_current);
            if !is_current {
                return refuse(Code::Aborted, "the primary is being replaced", "released");
            }
            let Ok(permit) = proxy.permit(pinned.pooled.pool(), execution, true).await else {
                return refuse(Code::Aborted, "no place at the member in time", "full");
            };
            if !execution.set_up(&mut pinned.pooled).await {
                return refuse(Code::Aborted, "the session could not be set up", "lost");
            }
            self.operation
                .check_permitted(&proxy.host_state(), pinned.guard.is_some())?;
            let Some(connection) = pinned.pooled.connection() else {
                return refuse(Code::Aborted, "the member was lost", "no connection");
            };
            let Some(query) = execution.query(connection, None) else {
                return refuse(
                    Code::Aborted,
                    "the session could not be set up",
                    "not prepared",
                );
            };
            let sent_at = now_ms();
            let Ok(Ok(answer)) =
                timeout(execution.time_left(sent_at), connection.run(&query)).await
            else {
                permit.finish(Outcome::Lost);
                pinned.pooled.close();
                if let Some(guard) = &pinned.guard {
                    proxy.primary_failed(&service, guard.term());
                }
                return lost();
            };
            permit.finish(answer_outcome(&answer));
            if let Some(guard) = &pinned.guard {
                proxy.record_primary_answer(&service, guard.term(), sent_at, &answer);
            }
            let wrote = step == Step::Commit && self.wrote && answer.outcome.is_ok();
            if wrote && let Some(guard) = pinned.guard.take() {
                // The connection is free again during the wait for witnesses.
                self.pinned = None;
                return match proxy.acknowledge(execution, &guard, answer.position).await {
                    true => Ok(answer),
                    false => lost(),
                };
            }
            let busy = matches!(&answer.outcome, Err((Code::Busy, _)));
            if busy && answer.status == Status::Open {
                sleep(Duration::from_millis(backoff.next_pause_ms())).await;
                continue;
            }
            return Ok(answer);
        }
    }
}

/// Whether an answer says that the transaction cannot be committed any more. A member that refuses a
/// statement may also end the transaction by itself; a further statement would begin another one.
pub(crate) fn has_failed(answer: &Answer, step: Step) -> bool {
    let has_ended = answer.status == Status::Idle && step != Step::Commit;
    answer.status == Status::Failed || (has_ended && answer.outcome.is_err())
}

impl Drop for Transaction {
    fn drop(&mut self) {
        self.abandon();
    }
}
