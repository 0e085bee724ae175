//! Reads: selection of a member that is fresh enough, and retries on other members.

use std::{
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use hemlockcrank_core::{
    Name,
    placement::PlacementKey,
    route::{self, Candidate},
    session::{Position, Watermark},
    statement::Class,
};

use super::{
    failure::Failure,
    relay::{RelayError, is_primary},
    session::{Session, UnitResult},
    unit::Unit,
};
use crate::{
    clock::now_ms,
    control::HostState,
    event::Event,
    pg::PgError,
    upstream::{PooledConnection, Upstream},
};

/// Pause before members are checked again when none is fresh enough, and time limit for sampling
/// them again.
const MEMBER_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Result of a read on one member.
enum ReadAttempt {
    /// The caller has its answer.
    Answered,
    Failed(Failure),
    /// No part of the answer was sent to the caller, so another member may serve the read.
    Retry(Name),
}

impl Session {
    /// The database that stores the data of the caller's workspace.
    pub(crate) async fn database(&self, host_state: &HostState) -> Result<Arc<Upstream>, Failure> {
        let key = PlacementKey {
            workspace: self.identity.user.clone(),
            service: self.identity.service.clone(),
        };
        let database = if self.identity.workspace.is_some() {
            self.context.control.ensure_placement(key).await
        } else {
            let placement = host_state.state.placements.get(&key).cloned();
            let mut databases = host_state
                .state
                .directory
                .names_for_service(&self.identity.service);
            placement.or_else(|| databases.next().cloned())
        };
        let Some(name) = database else {
            return Err(Failure::no_database("no database of the service is known"));
        };
        let host_state = self.context.control.host_state();
        if !host_state.state.records.database_in_service(&name) {
            return Err(Failure::no_database("the database is out of service"));
        }
        let upstream = self.context.upstreams.get(&host_state, &name);
        upstream.ok_or_else(|| Failure::no_database("the database is not known"))
    }

    /// Serves a read outside a transaction.
    pub(crate) async fn read(&mut self, unit: &Unit) -> Result<UnitResult, PgError> {
        let arrived = Instant::now();
        let deadline = self.deadline_ms();
        let host_state = self.context.control.host_state();
        let upstream = match self.database(&host_state).await {
            Ok(upstream) => upstream,
            Err(failure) => return Ok(Err(failure)),
        };
        let floor = match self.floor(&host_state, &upstream, arrived).await {
            Ok(floor) => floor,
            Err(failure) => return Ok(Err(failure)),
        };
        retry_budget(&upstream).deposit();
        let mut avoid = Vec::new();
        loop {
            let pooled = match self
                .acquire_reader(&upstream, floor, &avoid, deadline)
                .await
            {
                Ok(pooled) => pooled,
                Err(failure) => return Ok(Err(failure)),
            };
            if let Err(failure) = self.check_permission(&self.context.control.host_state(), unit) {
                pooled.release();
                return Ok(Err(failure));
            }
            match self.try_read(pooled, unit).await? {
                ReadAttempt::Answered => return Ok(Ok(())),
                ReadAttempt::Failed(failure) => return Ok(Err(failure)),
                ReadAttempt::Retry(member) => {
                    if !retry_budget(&upstream).try_withdraw() {
                        let reason = "the database does not answer";
                        return Ok(Err(Failure::no_database(reason)));
                    }
                    self.context.metrics.count_read_retry();
                    let fields: [(&str, &dyn std::fmt::Display); 1] = [("member", &member)];
                    self.context.timeline.emit(Event::ReadRetried, &fields);
                    avoid.push(member);
                }
            }
        }
    }

    /// Lowest position at which a member may serve the caller's reads.
    ///
    /// It is the position of the caller's token, or else one sampled from a majority of the
    /// members, and never below the session's own last write.
    pub(crate) async fn floor(
        &self,
        host_state: &HostState,
        upstream: &Upstream,
        arrived: Instant,
    ) -> Result<Position, Failure> {
        upstream.tracker.mark_used();
        let in_database =
            |token: &Watermark| (token.database == upstream.name).then_some(token.position);
        let last_write = self
            .proxy_settings
            .last_write
            .as_ref()
            .and_then(in_database);
        let last_write = last_write.unwrap_or_default();
        if let Some(position) = self.proxy_settings.token.as_ref().and_then(in_database) {
            return Ok(position.max(last_write));
        }
        let deadline = arrived + Duration::from_millis(self.context.settings.limits.wait_ms);
        let sampled = match self.allowed_age(host_state) {
            Some(age) => upstream.tracker.floor_with_max_age(age, deadline).await,
            None => upstream.tracker.floor_at(arrived, deadline).await,
        };
        match sampled {
            Some(floor) => Ok(floor.max(last_write)),
            None => Err(Failure::no_database("no majority of the database answers")),
        }
    }

    /// Maximum age of reads: the caller's setting; on a route open to all, at most what the service
    /// allows.
    fn allowed_age(&self, host_state: &HostState) -> Option<Duration> {
        if self.identity.workspace.is_some() {
            return self.proxy_settings.max_age;
        }
        let service = host_state.state.records.service(&self.identity.service)?;
        let limit = Duration::from_millis(service.open_max_age_ms);
        Some(
            self.proxy_settings
                .max_age
                .map_or(limit, |age| age.min(limit)),
        )
    }

    /// Acquires a connection to a member at or past `floor`; waits for one until `deadline`.
    pub(crate) async fn acquire_reader(
        &self,
        upstream: &Arc<Upstream>,
        floor: Position,
        avoid: &[Name],
        deadline: u64,
    ) -> Result<PooledConnection, Failure> {
        let mut avoid = avoid.to_vec();
        let mut refreshed = false;
        loop {
            let host_state = self.context.control.host_state();
            let mut candidates = candidates(&host_state, upstream);
            let replica_reads = self.context.settings.limits.replica_reads;
            if !replica_reads {
                candidates.retain(|candidate| candidate.primary);
            }
            let choice = route::choose(&candidates, floor, &avoid);
            let primary_only = choice.is_none_or(|index| candidates[index].primary);
            if primary_only && replica_reads && !refreshed {
                // A replica may have caught up since it was last sampled.
                refreshed = true;
                let now = Instant::now();
                upstream
                    .tracker
                    .floor_at(now, now + MEMBER_RETRY_INTERVAL)
                    .await;
                continue;
            }
            let Some(index) = choice else {
                if now_ms() >= deadline {
                    return Err(Failure::no_database("no member is fresh enough in time"));
                }
                avoid.clear();
                tokio::time::sleep(MEMBER_RETRY_INTERVAL).await;
                refreshed = false;
                continue;
            };
            let member = &candidates[index].name;
            let Some(pool) = upstream.pools.get(member) else {
                avoid.push(member.clone());
                continue;
            };
            let entry = self.queue_entry(&host_state, deadline);
            let permit = pool.acquire(entry).await.map_err(Failure::busy)?;
            match pool.connect(permit, self.number).await {
                Ok(mut pooled) => match self.apply_session_state(&mut pooled.connection).await {
                    Ok(()) => return Ok(pooled),
                    Err(_) => avoid.push(member.clone()),
                },
                Err(error) => {
                    self.emit_connection_failure(member, &error);
                    avoid.push(member.clone());
                }
            }
        }
    }

    pub(crate) fn emit_connection_failure(&self, member: &Name, error: &dyn std::fmt::Display) {
        let fields: [(&str, &dyn std::fmt::Display); 2] = [("member", member), ("error", error)];
        self.context.timeline.emit(Event::ConnectionFailed, &fields);
    }

    /// Runs a read on one member and passes its answer to the caller.
    async fn try_read(
        &mut self,
        mut pooled: PooledConnection,
        unit: &Unit,
    ) -> Result<ReadAttempt, PgError> {
        self.context
            .set_cancel_target(self.cancel_key, Some(pooled.cancel_target()));
        let answer = match self.send_unit(&mut pooled.connection, unit).await {
            Ok(skip) => self.relay_answer(&mut pooled, skip).await,
            Err(_) => Err(RelayError::Database { relayed: false }),
        };
        self.context.set_cancel_target(self.cancel_key, None);
        match answer {
            Ok((_, error)) => {
                self.finish_read(pooled, unit, error.is_some());
                self.send_ready().await?;
                Ok(ReadAttempt::Answered)
            }
            Err(RelayError::Caller(error)) => Err(error),
            Err(RelayError::Database { relayed: false }) => {
                Ok(ReadAttempt::Retry(pooled.member.clone()))
            }
            Err(RelayError::Database { relayed: true }) => {
                Ok(ReadAttempt::Failed(Failure::read_lost()))
            }
        }
    }

    /// Counts the read, records a changed setting and returns the connection to its pool.
    ///
    /// After an error it is unknown which statements are prepared on the connection, so one with
    /// prepared statements is closed.
    fn finish_read(&mut self, mut pooled: PooledConnection, unit: &Unit, failed: bool) {
        let host_state = self.context.control.host_state();
        let on_primary = is_primary(&host_state, pooled.pool().database(), &pooled.member);
        self.context.metrics.count_read(on_primary);
        if let (Class::Set { name }, false) = (&unit.class, failed) {
            self.database_settings
                .insert(name.clone(), unit.text.clone());
            self.settings_version += 1;
            pooled.connection.dirty = true;
            pooled.connection.settings_version = self.settings_version;
        }
        let reusable = !failed || pooled.connection.prepared.is_empty();
        if reusable {
            pooled.release();
        }
    }
}

fn retry_budget(
    upstream: &Upstream,
) -> std::sync::MutexGuard<'_, hemlockcrank_core::retry::Budget> {
    upstream
        .retries
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

/// The members that could serve a read, with their state as last sampled.
fn candidates(host_state: &HostState, upstream: &Upstream) -> Vec<Candidate> {
    let Some(database) = host_state.state.directory.get(&upstream.name) else {
        return Vec::new();
    };
    let members = database.members.iter();
    upstream.tracker.with_samples(|samples| {
        members
            .filter_map(|(name, member)| {
                let sample = samples.latest.get(name)?;
                let pool = upstream.pools.get(name)?;
                let in_service = host_state.state.records.zone_in_service(&member.zone);
                Some(Candidate {
                    name: name.clone(),
                    position: sample.status.last,
                    primary: database.primary.as_ref() == Some(name),
                    available: sample.reachable && in_service,
                    load: pool.load(),
                    slots: member.slots as usize,
                    latency_us: pool.latency_us(),
                })
            })
            .collect()
    })
}
