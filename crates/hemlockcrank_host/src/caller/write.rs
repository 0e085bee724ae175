//! Writes: acknowledged once a majority has them, and run at most once.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hemlockcrank_core::{
    Name,
    directory::Role,
    request::{Marker, Outcome, Stage, commit_survived, write_outcome},
    session::{Position, Watermark},
};

use super::{
    claim::{Claim, ClaimError, begin_with_claim, void_attempt, write_claim},
    failure::Failure,
    relay::{BufferedAnswer, IDLE, RelayError},
    session::{Session, UnitResult},
    unit::Unit,
};
use crate::{
    clock::now_ms,
    control::HostState,
    event::{Event, Timeline},
    pg::PgError,
    upstream::{PooledConnection, Upstream},
};

/// SQLSTATE of a write that a member refused because it is not the primary; it had no effect.
pub(crate) const READ_ONLY: &str = "25006";
/// SQLSTATE of a duplicate key.
pub(crate) const DUPLICATE: &str = "23505";
/// Pause before the next attempt after the primary failed.
const PRIMARY_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of attempts at a write. It is retried only if the earlier attempts are proved not
/// to have run.
const MAX_WRITE_ATTEMPTS: u32 = 5;

/// Whether a commit is known to have reached a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Acknowledgement {
    /// A majority has it.
    ByMajority,
    /// Unknown; with the commit's position in the database's log, if that is known.
    Unknown(Option<Position>),
}

/// Result of one attempt at a write.
enum WriteAttempt {
    /// The caller has its answer.
    Answered,
    Failed(Failure),
    /// Proved not to have run, so it may be retried.
    Retry(Failure),
}

impl Session {
    /// Serves a write outside a transaction.
    pub(crate) async fn write(&mut self, unit: Unit) -> Result<UnitResult, PgError> {
        let deadline = self.deadline_ms();
        let request = self.proxy_settings.request_id.take();
        let host_state = self.context.control.host_state();
        let database = match self.database(&host_state).await {
            Ok(upstream) => upstream.name.clone(),
            Err(failure) => return Ok(Err(failure)),
        };
        let mut attempts = 0;
        loop {
            let claim = request.as_deref().map(|request| self.claim(request));
            let (pooled, upstream) = match self.acquire_writer(&database, deadline).await {
                Ok(acquired) => acquired,
                Err(failure) => return Ok(Err(failure)),
            };
            if let Err(failure) = self.check_permission(&self.context.control.host_state(), &unit) {
                pooled.release();
                return Ok(Err(failure));
            }
            let attempt = self.try_write(pooled, &upstream, &unit, claim.as_ref());
            match attempt.await? {
                WriteAttempt::Answered => return Ok(Ok(())),
                WriteAttempt::Failed(failure) => return Ok(Err(failure)),
                WriteAttempt::Retry(failure) => {
                    attempts += 1;
                    if attempts >= MAX_WRITE_ATTEMPTS || now_ms() >= deadline {
                        return Ok(Err(failure));
                    }
                    tokio::time::sleep(PRIMARY_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Claim of a new attempt at a request.
    fn claim(&self, request: &str) -> Claim {
        let host = self.context.control.host();
        let number = self
            .context
            .next_session
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let attempt = format!("{}:{}:{number}", host.name, host.incarnation);
        Claim {
            request_id: request.to_owned(),
            marker: Marker::new(&self.queue_workspace, request, &attempt),
        }
    }

    /// Acquires a connection to the current primary; waits until `deadline` while the primary
    /// changes.
    pub(crate) async fn acquire_writer(
        &self,
        database: &Name,
        deadline: u64,
    ) -> Result<(PooledConnection, Arc<Upstream>), Failure> {
        let mut watch = self.context.control.watch();
        loop {
            let host_state = watch.borrow_and_update().clone();
            if !host_state.has_lease() {
                return Err(Failure::no_lease());
            }
            if let Some((upstream, primary)) = self.stable_primary(&host_state, database)
                && let Some(pool) = upstream.pools.get(&primary)
            {
                let entry = self.queue_entry(&host_state, deadline);
                let permit = pool.acquire(entry).await.map_err(Failure::busy)?;
                let host_state = self.context.control.host_state();
                let current = self
                    .stable_primary(&host_state, database)
                    .map(|(_, name)| name);
                if current.as_ref() == Some(&primary) {
                    match pool.connect(permit, self.number).await {
                        Ok(mut pooled) => {
                            match self.apply_session_state(&mut pooled.connection).await {
                                Ok(()) => return Ok((pooled, upstream)),
                                Err(error) => self.emit_connection_failure(&primary, &error),
                            }
                        }
                        Err(error) => self.emit_connection_failure(&primary, &error),
                    }
                }
            }
            let now = now_ms();
            if now >= deadline {
                return Err(Failure::no_database("the database has no primary in time"));
            }
            let pause = Duration::from_millis(deadline - now).min(PRIMARY_RETRY_INTERVAL);
            let _ = tokio::time::timeout(pause, watch.changed()).await;
        }
    }

    /// The primary, unless a promotion is in progress or the database is out of service.
    fn stable_primary(&self, host_state: &HostState, name: &Name) -> Option<(Arc<Upstream>, Name)> {
        let database = host_state.state.directory.get(name)?;
        if database.promotion.is_some() || !host_state.state.records.database_in_service(name) {
            return None;
        }
        let primary = database.primary.clone()?;
        let upstream = self.context.upstreams.get(host_state, name)?;
        upstream.tracker.mark_used();
        Some((upstream, primary))
    }

    /// Runs a write once on the given connection.
    async fn try_write(
        &mut self,
        mut pooled: PooledConnection,
        upstream: &Arc<Upstream>,
        unit: &Unit,
        claim: Option<&Claim>,
    ) -> Result<WriteAttempt, PgError> {
        if let Some(claim) = claim {
            match begin_with_claim(&mut pooled.connection, claim).await {
                Ok(()) => {}
                Err(ClaimError::Ran) => {
                    return Ok(WriteAttempt::Failed(Failure::already_ran(
                        &claim.request_id,
                    )));
                }
                Err(ClaimError::NotPrimary) => {
                    return Ok(WriteAttempt::Retry(Failure::no_database(
                        "the primary has changed",
                    )));
                }
                Err(ClaimError::Lost) => {
                    return Ok(WriteAttempt::Retry(Failure::transaction_lost()));
                }
            }
        }
        self.context
            .set_cancel_target(self.cancel_key, Some(pooled.cancel_target()));
        let sent = self.send_unit(&mut pooled.connection, unit).await;
        let answer = match sent {
            Ok(skip) => self.buffer_answer(&mut pooled, skip).await,
            Err(_) => Err(RelayError::Database { relayed: false }),
        };
        self.context.set_cancel_target(self.cancel_key, None);
        let answer = match answer {
            Ok(answer) => answer,
            Err(RelayError::Caller(error)) => return Err(error),
            Err(RelayError::Database { relayed }) => {
                drop(pooled);
                return Ok(self.resolve_lost_write(upstream, claim, relayed).await);
            }
        };
        if answer.error.as_deref() == Some(READ_ONLY) && !answer.relayed {
            return Ok(WriteAttempt::Retry(Failure::no_database(
                "the primary has changed",
            )));
        }
        match claim {
            Some(claim) => self.finish_claimed(pooled, upstream, answer, claim).await,
            None => self.finish_unclaimed(pooled, upstream, answer).await,
        }
    }

    /// Result of an attempt whose connection broke after the unit was sent.
    async fn resolve_lost_write(
        &self,
        upstream: &Upstream,
        claim: Option<&Claim>,
        relayed: bool,
    ) -> WriteAttempt {
        let stage = match claim {
            Some(_) => Stage::InTransaction,
            None => Stage::CommitSent,
        };
        match write_outcome(stage) {
            Outcome::NotRun if !relayed => WriteAttempt::Retry(Failure::transaction_lost()),
            _ => WriteAttempt::Failed(self.failure_after(stage, &upstream.name, claim).await),
        }
    }

    /// Finishes a write without a request id.
    async fn finish_unclaimed(
        &mut self,
        pooled: PooledConnection,
        upstream: &Arc<Upstream>,
        answer: BufferedAnswer,
    ) -> Result<WriteAttempt, PgError> {
        if answer.status != IDLE {
            self.queue_answer(&answer);
            self.keep_transaction(pooled, Arc::clone(upstream), answer.status);
            self.send_ready().await?;
            return Ok(WriteAttempt::Answered);
        }
        let ran = answer.error.is_none() || answer.committed;
        let mut reusable = Some(pooled);
        if ran && let Some(mut pooled) = reusable.take() {
            match self.acknowledge(&mut pooled, upstream).await {
                Acknowledgement::ByMajority => reusable = Some(pooled),
                Acknowledgement::Unknown(write) => {
                    drop(pooled);
                    match self.resolve_commit(&upstream.name, write).await {
                        Outcome::Ran => {}
                        Outcome::NotRun if !answer.relayed => {
                            return Ok(WriteAttempt::Retry(Failure::transaction_lost()));
                        }
                        Outcome::NotRun => {
                            return Ok(WriteAttempt::Failed(Failure::transaction_lost()));
                        }
                        Outcome::Unknown => {
                            return Ok(WriteAttempt::Failed(Failure::outcome_unknown()));
                        }
                    }
                }
            }
        }
        self.answer_write(&answer, ran).await?;
        if let Some(pooled) = reusable {
            self.release(pooled, &answer);
        }
        Ok(WriteAttempt::Answered)
    }

    /// Commits a unit together with its claim.
    async fn finish_claimed(
        &mut self,
        mut pooled: PooledConnection,
        upstream: &Arc<Upstream>,
        answer: BufferedAnswer,
        claim: &Claim,
    ) -> Result<WriteAttempt, PgError> {
        if answer.error.is_some() {
            let _ = pooled.connection.query("ROLLBACK").await;
            self.answer_write(&answer, false).await?;
            return Ok(WriteAttempt::Answered);
        }
        let commit = pooled.connection.query("COMMIT").await;
        let stage = match commit {
            Ok(reply) if reply.failed_with(READ_ONLY) => {
                return Ok(WriteAttempt::Retry(Failure::no_database(
                    "the primary has changed",
                )));
            }
            // The duplicate key may be the marker's: then another attempt ran or was voided.
            Ok(reply) if reply.failed_with(DUPLICATE) => Stage::CommitSent,
            Ok(reply) if reply.error.is_some() => Stage::Rejected,
            Ok(_) => match self.acknowledge(&mut pooled, upstream).await {
                Acknowledgement::ByMajority => Stage::Acknowledged,
                Acknowledgement::Unknown(_) => Stage::Committed,
            },
            Err(_) => Stage::CommitSent,
        };
        let outcome = match write_outcome(stage) {
            Outcome::Unknown => {
                drop(pooled);
                self.resolve_claim(&upstream.name, claim).await
            }
            outcome => {
                if stage == Stage::Acknowledged {
                    self.release(pooled, &answer);
                }
                outcome
            }
        };
        match outcome {
            Outcome::Ran => {
                self.answer_write(&answer, true).await?;
                Ok(WriteAttempt::Answered)
            }
            Outcome::NotRun => Ok(WriteAttempt::Retry(Failure::transaction_lost())),
            Outcome::Unknown => Ok(WriteAttempt::Failed(Failure::outcome_unknown())),
        }
    }

    /// Sends the answer of a write, with the session's new token if it ran.
    async fn answer_write(&mut self, answer: &BufferedAnswer, ran: bool) -> Result<(), PgError> {
        self.queue_answer(answer);
        if ran {
            self.context.metrics.count_write();
            self.queue_token()?;
        }
        self.send_ready().await
    }

    /// Returns a connection to its pool, unless after an error it is unknown which statements are
    /// prepared on it.
    fn release(&self, pooled: PooledConnection, answer: &BufferedAnswer) {
        if answer.error.is_none() || pooled.connection.prepared.is_empty() {
            pooled.release();
        }
    }

    /// Waits until a majority has what the connection has just committed, and records it as the
    /// session's last write.
    pub(crate) async fn acknowledge(
        &mut self,
        pooled: &mut PooledConnection,
        upstream: &Upstream,
    ) -> Acknowledgement {
        let limit = Duration::from_millis(self.context.settings.limits.acknowledge_ms);
        let deadline = Instant::now() + limit;
        let status = tokio::time::timeout(limit, pooled.connection.status()).await;
        let Ok(Ok((status, _))) = status else {
            return Acknowledgement::Unknown(None);
        };
        let write = status.last;
        if status.role != Role::Primary || status.adopted != write.term {
            return Acknowledgement::Unknown(None);
        }
        if !upstream.tracker.wait_for_majority(write, deadline).await {
            return Acknowledgement::Unknown(Some(write));
        }
        self.record_write(&upstream.name, write);
        Acknowledgement::ByMajority
    }

    fn record_write(&mut self, database: &Name, position: Position) {
        self.proxy_settings.last_write = Some(Watermark {
            database: database.clone(),
            position,
        });
    }

    /// Determines whether a commit at a known position survived a change of primary.
    ///
    /// The position at which the next primary's term starts decides, once a majority has an entry
    /// of that term: before that, another promotion could still restore the old log.
    pub(crate) async fn resolve_commit(
        &mut self,
        database: &Name,
        write: Option<Position>,
    ) -> Outcome {
        let Some(write) = write else {
            return Outcome::Unknown;
        };
        let deadline = self.deadline_ms();
        let mut outcome = Outcome::Unknown;
        while outcome == Outcome::Unknown && now_ms() < deadline {
            let Ok((mut pooled, upstream)) = self.acquire_writer(database, deadline).await else {
                break;
            };
            let host_state = self.context.control.host_state();
            let entry = host_state.state.directory.get(database);
            let term_start = entry.and_then(|database| database.term_start);
            let term = entry.map_or(0, |database| database.term);
            let majority_position = if term > write.term {
                self.acknowledged_position(&mut pooled, &upstream).await
            } else {
                None
            };
            if let Some(majority_position) =
                majority_position.filter(|position| position.term == term)
            {
                let Some(survived) = term_start
                    .and_then(|start| commit_survived(write, term, &start, majority_position))
                else {
                    break;
                };
                outcome = if survived {
                    Outcome::Ran
                } else {
                    Outcome::NotRun
                };
                if survived {
                    self.record_write(database, majority_position);
                }
                pooled.release();
            } else {
                tokio::time::sleep(PRIMARY_RETRY_INTERVAL).await;
            }
        }
        let position = format!("{}:{}", write.term, write.index);
        emit_resolved(&self.context.timeline, &position, outcome);
        outcome
    }

    // ---------------------------------------------------------------------------------------------
    // Outcomes

    /// Failure to report for work that ended at `stage`; an unknown outcome is resolved by its
    /// claim if it has one.
    pub(crate) async fn failure_after(
        &self,
        stage: Stage,
        database: &Name,
        claim: Option<&Claim>,
    ) -> Failure {
        let outcome = match (write_outcome(stage), claim) {
            (Outcome::Unknown, Some(claim)) => self.resolve_claim(database, claim).await,
            (outcome, _) => outcome,
        };
        match (outcome, claim) {
            (Outcome::NotRun, _) => Failure::transaction_lost(),
            (Outcome::Ran, Some(claim)) => Failure::already_ran(&claim.request_id),
            (Outcome::Ran | Outcome::Unknown, _) => Failure::outcome_unknown(),
        }
    }

    /// Determines whether an attempt committed; if it has not, voids it so that it never does.
    pub(crate) async fn resolve_claim(&self, database: &Name, claim: &Claim) -> Outcome {
        let deadline = now_ms() + self.context.settings.limits.acknowledge_ms;
        let mut outcome = Outcome::Unknown;
        while outcome == Outcome::Unknown && now_ms() < deadline {
            let Ok((mut pooled, upstream)) = self.acquire_writer(database, deadline).await else {
                break;
            };
            let result = void_attempt(&mut pooled.connection, &claim.marker).await;
            if let Ok(Some(resolved)) = result
                && self
                    .acknowledged_position(&mut pooled, &upstream)
                    .await
                    .is_some()
            {
                outcome = resolved;
                pooled.release();
            } else {
                tokio::time::sleep(PRIMARY_RETRY_INTERVAL).await;
            }
        }
        emit_resolved(&self.context.timeline, &claim.request_id, outcome);
        outcome
    }

    /// Last position of the connection's member, once a majority has it; `None` if the member is
    /// not the primary, or the majority does not have the position in time.
    async fn acknowledged_position(
        &self,
        pooled: &mut PooledConnection,
        upstream: &Upstream,
    ) -> Option<Position> {
        let limit = Duration::from_millis(self.context.settings.limits.acknowledge_ms);
        let (status, _) = pooled.connection.status().await.ok()?;
        let is_primary = status.role == Role::Primary && status.adopted == status.last.term;
        let deadline = Instant::now() + limit;
        let is_acknowledged = is_primary
            && upstream
                .tracker
                .wait_for_majority(status.last, deadline)
                .await;
        is_acknowledged.then_some(status.last)
    }

    /// Writes the claim of the session's request id into the open transaction, before its commit.
    pub(crate) async fn claim_in_transaction(
        &mut self,
        pooled: &mut PooledConnection,
    ) -> Result<Option<Claim>, Failure> {
        let Some(request) = self.proxy_settings.request_id.take() else {
            return Ok(None);
        };
        let claim = self.claim(&request);
        match write_claim(&mut pooled.connection, &claim).await {
            Ok(()) => Ok(Some(claim)),
            Err(ClaimError::Ran) => Err(Failure::already_ran(&claim.request_id)),
            Err(ClaimError::NotPrimary | ClaimError::Lost) => Err(Failure::transaction_lost()),
        }
    }
}

fn emit_resolved(timeline: &Timeline, request: &str, outcome: Outcome) {
    let fields: [(&str, &dyn std::fmt::Display); 2] =
        [("request", &request), ("outcome", &outcome)];
    timeline.emit(Event::OutcomeResolved, &fields);
}
