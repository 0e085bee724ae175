//! Writes: acknowledged by a majority, run at most once.

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
    claim::{Claim, ClaimError, open_claim, void, write_claim},
    failure::Failure,
    relay::{Collected, IDLE, RelayError},
    session::{Ended, Session},
    unit::Unit,
};
use crate::{
    clock::now_ms,
    control::HostState,
    event::{Event, Timeline},
    pg::PgError,
    upstream::{PooledConnection, Upstream},
};

/// SQLSTATE of a member that is no primary; the statement had no effect.
pub(crate) const READ_ONLY: &str = "25006";
/// SQLSTATE of a duplicate key.
pub(crate) const DUPLICATE: &str = "23505";
/// Pause before a primary that failed is tried again.
const TRY_AGAIN: Duration = Duration::from_millis(20);
/// Tries of a write that was proved not to have run.
const MAX_TRIES: u32 = 5;

/// Whether a commit is known to be held by a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Held {
    ByMajority,
    /// Not known; the position where the database put it, if that is known.
    Unknown(Option<Position>),
}

/// How one try of a write ended.
enum Try {
    /// The caller has its answer.
    Answered,
    Failed(Failure),
    /// Proved not to have run: it may be tried again.
    Again(Failure),
}

impl Session {
    /// Serves a write that stands alone.
    pub(crate) async fn write(&mut self, unit: Unit) -> Result<Ended, PgError> {
        let deadline = self.deadline_ms();
        let request = self.own.request.take();
        let world = self.context.control.host_state();
        let database = match self.database(&world).await {
            Ok(upstream) => upstream.name.clone(),
            Err(failure) => return Ok(Err(failure)),
        };
        let mut tries = 0;
        loop {
            let claim = request.as_deref().map(|request| self.claim(request));
            let (turn, upstream) = match self.writer(&database, deadline).await {
                Ok(held) => held,
                Err(failure) => return Ok(Err(failure)),
            };
            if let Err(failure) = self.check_permission(&self.context.control.host_state(), &unit) {
                turn.release();
                return Ok(Err(failure));
            }
            let outcome = self.try_write(turn, &upstream, &unit, claim.as_ref());
            match outcome.await? {
                Try::Answered => return Ok(Ok(())),
                Try::Failed(failure) => return Ok(Err(failure)),
                Try::Again(failure) => {
                    tries += 1;
                    if tries >= MAX_TRIES || now_ms() >= deadline {
                        return Ok(Err(failure));
                    }
                    tokio::time::sleep(TRY_AGAIN).await;
                }
            }
        }
    }

    fn claim(&self, request: &str) -> Claim {
        let host = self.context.control.host();
        let unique = self
            .context
            .next_session
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let attempt = format!("{}:{}:{unique}", host.name, host.incarnation);
        Claim {
            request: request.to_owned(),
            marker: Marker::new(&self.flow, request, &attempt),
        }
    }

    /// A connection to the present primary, waiting through a change of primary until `deadline`.
    pub(crate) async fn writer(
        &self,
        database: &Name,
        deadline: u64,
    ) -> Result<(PooledConnection, Arc<Upstream>), Failure> {
        let mut watch = self.context.control.watch();
        loop {
            let world = watch.borrow_and_update().clone();
            if !world.has_lease() {
                return Err(Failure::no_lease());
            }
            if let Some((upstream, primary)) = self.steady_primary(&world, database)
                && let Some(pool) = upstream.pools.get(&primary)
            {
                let entry = self.queue_entry(&world, deadline);
                let permit = pool.acquire(entry).await.map_err(Failure::busy)?;
                let now = self.context.control.host_state();
                let moved = self.steady_primary(&now, database).map(|(_, name)| name);
                if moved.as_ref() == Some(&primary) {
                    match pool.connect(permit, self.number).await {
                        Ok(mut turn) => match self.take_over(&mut turn.connection).await {
                            Ok(()) => return Ok((turn, upstream)),
                            Err(error) => self.note_connection_failure(&primary, &error),
                        },
                        Err(error) => self.note_connection_failure(&primary, &error),
                    }
                }
            }
            let now = now_ms();
            if now >= deadline {
                return Err(Failure::no_database("the database has no primary in time"));
            }
            let left = Duration::from_millis(deadline - now).min(TRY_AGAIN);
            let _ = tokio::time::timeout(left, watch.changed()).await;
        }
    }

    /// The primary, unless it is changing or the database is out of service.
    fn steady_primary(&self, world: &HostState, name: &Name) -> Option<(Arc<Upstream>, Name)> {
        let database = world.state.directory.get(name)?;
        if database.promotion.is_some() || !world.state.records.database_in_service(name) {
            return None;
        }
        let primary = database.primary.clone()?;
        let upstream = self.context.upstreams.get(world, name)?;
        upstream.tracker.mark_used();
        Some((upstream, primary))
    }

    async fn try_write(
        &mut self,
        mut turn: PooledConnection,
        upstream: &Arc<Upstream>,
        unit: &Unit,
        claim: Option<&Claim>,
    ) -> Result<Try, PgError> {
        if let Some(claim) = claim {
            match open_claim(&mut turn.connection, claim).await {
                Ok(()) => {}
                Err(ClaimError::Ran) => return Ok(Try::Failed(Failure::ran(&claim.request))),
                Err(ClaimError::NotPrimary) => {
                    return Ok(Try::Again(Failure::no_database("the primary has changed")));
                }
                Err(ClaimError::Lost) => return Ok(Try::Again(Failure::transaction_lost())),
            }
        }
        self.context
            .set_cancel(self.cancel_key, Some(turn.cancel_target()));
        let sent = self.send_unit(&mut turn.connection, unit).await;
        let collected = match sent {
            Ok(skip) => self.collect(&mut turn, skip).await,
            Err(_) => Err(RelayError::Database { relayed: false }),
        };
        self.context.set_cancel(self.cancel_key, None);
        let collected = match collected {
            Ok(collected) => collected,
            Err(RelayError::Caller(error)) => return Err(error),
            Err(RelayError::Database { relayed }) => {
                drop(turn);
                return Ok(self.lost_write(upstream, claim, relayed).await);
            }
        };
        if collected.error.as_deref() == Some(READ_ONLY) && !collected.relayed {
            return Ok(Try::Again(Failure::no_database("the primary has changed")));
        }
        match claim {
            Some(claim) => self.finish_claim(turn, upstream, collected, claim).await,
            None => self.finish_plain(turn, upstream, collected).await,
        }
    }

    /// The connection broke after the unit was sent.
    async fn lost_write(&self, upstream: &Upstream, claim: Option<&Claim>, relayed: bool) -> Try {
        let stage = match claim {
            Some(_) => Stage::InTransaction,
            None => Stage::CommitSent,
        };
        match write_outcome(stage) {
            Outcome::NotRun if !relayed => Try::Again(Failure::transaction_lost()),
            _ => Try::Failed(self.explain(stage, &upstream.name, claim).await),
        }
    }

    async fn finish_plain(
        &mut self,
        turn: PooledConnection,
        upstream: &Arc<Upstream>,
        collected: Collected,
    ) -> Result<Try, PgError> {
        if collected.status != IDLE {
            self.queue_collected(&collected);
            self.hold(turn, Arc::clone(upstream), collected.status);
            self.ready().await?;
            return Ok(Try::Answered);
        }
        let ran = collected.error.is_none() || collected.committed;
        let mut kept = Some(turn);
        if ran && let Some(mut turn) = kept.take() {
            match self.acknowledge(&mut turn, upstream).await {
                Held::ByMajority => kept = Some(turn),
                Held::Unknown(write) => {
                    drop(turn);
                    match self.follow_commit(&upstream.name, write).await {
                        Outcome::Ran => {}
                        Outcome::NotRun if !collected.relayed => {
                            return Ok(Try::Again(Failure::transaction_lost()));
                        }
                        Outcome::NotRun => return Ok(Try::Failed(Failure::transaction_lost())),
                        Outcome::Unknown => return Ok(Try::Failed(Failure::unknown())),
                    }
                }
            }
        }
        self.answer_write(&collected, ran).await?;
        if let Some(turn) = kept {
            self.keep(turn, &collected);
        }
        Ok(Try::Answered)
    }

    /// Commits a unit together with its marker.
    async fn finish_claim(
        &mut self,
        mut turn: PooledConnection,
        upstream: &Arc<Upstream>,
        collected: Collected,
        claim: &Claim,
    ) -> Result<Try, PgError> {
        if collected.error.is_some() {
            let _ = turn.connection.query("ROLLBACK").await;
            self.answer_write(&collected, false).await?;
            return Ok(Try::Answered);
        }
        let commit = turn.connection.query("COMMIT").await;
        let stage = match commit {
            Ok(answer) if answer.failed_with(READ_ONLY) => {
                return Ok(Try::Again(Failure::no_database("the primary has changed")));
            }
            Ok(answer) if answer.failed_with(DUPLICATE) => Stage::CommitSent,
            Ok(answer) if answer.error.is_some() => Stage::Rejected,
            Ok(_) => match self.acknowledge(&mut turn, upstream).await {
                Held::ByMajority => Stage::Acknowledged,
                Held::Unknown(_) => Stage::Committed,
            },
            Err(_) => Stage::CommitSent,
        };
        let outcome = match write_outcome(stage) {
            Outcome::Unknown => {
                drop(turn);
                self.resolve(&upstream.name, claim).await
            }
            known => {
                if stage == Stage::Acknowledged {
                    self.keep(turn, &collected);
                }
                known
            }
        };
        match outcome {
            Outcome::Ran => {
                self.answer_write(&collected, true).await?;
                Ok(Try::Answered)
            }
            Outcome::NotRun => Ok(Try::Again(Failure::transaction_lost())),
            Outcome::Unknown => Ok(Try::Failed(Failure::unknown())),
        }
    }

    async fn answer_write(&mut self, collected: &Collected, ran: bool) -> Result<(), PgError> {
        self.queue_collected(collected);
        if ran {
            self.context.metrics.write();
            self.queue_token()?;
        }
        self.ready().await
    }

    /// Gives a connection back, unless an error leaves open which statements are prepared on it.
    fn keep(&self, turn: PooledConnection, collected: &Collected) {
        if collected.error.is_none() || turn.connection.prepared.is_empty() {
            turn.release();
        }
    }

    /// Waits until a majority holds what the connection has just committed, and notes it as written.
    pub(crate) async fn acknowledge(
        &mut self,
        turn: &mut PooledConnection,
        upstream: &Upstream,
    ) -> Held {
        let limit = Duration::from_millis(self.context.settings.limits.acknowledge_ms);
        let deadline = Instant::now() + limit;
        let status = tokio::time::timeout(limit, turn.connection.status()).await;
        let Ok(Ok((status, _))) = status else {
            return Held::Unknown(None);
        };
        let write = status.last;
        if status.role != Role::Primary || status.adopted != write.term {
            return Held::Unknown(None);
        }
        if !upstream.tracker.wait_for_majority(write, deadline).await {
            return Held::Unknown(Some(write));
        }
        self.note_written(&upstream.name, write);
        Held::ByMajority
    }

    fn note_written(&mut self, database: &Name, position: Position) {
        self.own.written = Some(Watermark {
            database: database.clone(),
            position,
        });
    }

    /// Finds out whether a commit at a known position outlived a change of primary.
    ///
    /// What the next primary began with decides, once a majority holds an entry of its own term: before
    /// that, another change could still bring the old log back.
    pub(crate) async fn follow_commit(
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
            let Ok((mut turn, upstream)) = self.writer(database, deadline).await else {
                break;
            };
            let world = self.context.control.host_state();
            let known = world.state.directory.get(database);
            let base = known.and_then(|database| database.term_start);
            let term = known.map_or(0, |database| database.term);
            let settled = if term > write.term {
                self.settled_at(&mut turn, &upstream).await
            } else {
                None
            };
            if let Some(settled) = settled.filter(|settled| settled.term == term) {
                let Some(survived) =
                    base.and_then(|base| commit_survived(write, term, &base, settled))
                else {
                    break;
                };
                outcome = if survived {
                    Outcome::Ran
                } else {
                    Outcome::NotRun
                };
                if survived {
                    self.note_written(database, settled);
                }
                turn.release();
            } else {
                tokio::time::sleep(TRY_AGAIN).await;
            }
        }
        let position = format!("{}:{}", write.term, write.index);
        note_resolved(&self.context.timeline, &position, outcome);
        outcome
    }

    // ---------------------------------------------------------------------------------------------
    // Outcomes

    /// What to tell the caller of work that stopped at `stage`, resolved by its marker where it has one.
    pub(crate) async fn explain(
        &self,
        stage: Stage,
        database: &Name,
        claim: Option<&Claim>,
    ) -> Failure {
        let outcome = match (write_outcome(stage), claim) {
            (Outcome::Unknown, Some(claim)) => self.resolve(database, claim).await,
            (outcome, _) => outcome,
        };
        match (outcome, claim) {
            (Outcome::NotRun, _) => Failure::transaction_lost(),
            (Outcome::Ran, Some(claim)) => Failure::ran(&claim.request),
            (Outcome::Ran | Outcome::Unknown, _) => Failure::unknown(),
        }
    }

    /// Finds out whether an attempt committed, and makes sure that it never does if it has not.
    pub(crate) async fn resolve(&self, database: &Name, claim: &Claim) -> Outcome {
        let deadline = now_ms() + self.context.settings.limits.acknowledge_ms;
        let mut outcome = Outcome::Unknown;
        while outcome == Outcome::Unknown && now_ms() < deadline {
            let Ok((mut turn, upstream)) = self.writer(database, deadline).await else {
                break;
            };
            let found = void(&mut turn.connection, &claim.marker).await;
            if let Ok(Some(found)) = found
                && self.settled_at(&mut turn, &upstream).await.is_some()
            {
                outcome = found;
                turn.release();
            } else {
                tokio::time::sleep(TRY_AGAIN).await;
            }
        }
        note_resolved(&self.context.timeline, &claim.request, outcome);
        outcome
    }

    /// Position up to which a majority holds everything that the connection has seen.
    async fn settled_at(
        &self,
        turn: &mut PooledConnection,
        upstream: &Upstream,
    ) -> Option<Position> {
        let limit = Duration::from_millis(self.context.settings.limits.acknowledge_ms);
        let (status, _) = turn.connection.status().await.ok()?;
        let current = status.role == Role::Primary && status.adopted == status.last.term;
        let deadline = Instant::now() + limit;
        let held = current
            && upstream
                .tracker
                .wait_for_majority(status.last, deadline)
                .await;
        held.then_some(status.last)
    }

    /// Writes the marker of the next request into the open transaction, before its commit.
    pub(crate) async fn claim_in_transaction(
        &mut self,
        turn: &mut PooledConnection,
    ) -> Result<Option<Claim>, Failure> {
        let Some(request) = self.own.request.take() else {
            return Ok(None);
        };
        let claim = self.claim(&request);
        match write_claim(&mut turn.connection, &claim).await {
            Ok(()) => Ok(Some(claim)),
            Err(ClaimError::Ran) => Err(Failure::ran(&claim.request)),
            Err(ClaimError::NotPrimary | ClaimError::Lost) => Err(Failure::transaction_lost()),
        }
    }
}

fn note_resolved(timeline: &Timeline, request: &str, outcome: Outcome) {
    let fields: [(&str, &dyn std::fmt::Display); 2] =
        [("request", &request), ("outcome", &outcome)];
    timeline.emit(Event::OutcomeResolved, &fields);
}
