//! Reads: which member is fresh enough, and what happens when it fails.

use std::{
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use hemlockcrank_core::{
    Name,
    placement::PlacementKey,
    route::{self, Candidate},
    session::Position,
    statement::Class,
};

use super::{
    failure::Failure,
    relay::{RelayError, is_primary},
    session::{Ended, Session},
    unit::Unit,
};
use crate::{
    clock::now_ms,
    control::HostState,
    event::Event,
    pg::PgError,
    upstream::{PooledConnection, Upstream},
};

/// Pause before members are looked at again when none is fresh enough.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// A read on one member.
enum Attempt {
    Done,
    Failed(Failure),
    /// Nothing of the answer has left: another member may serve it.
    Retry(Name),
}

impl Session {
    /// The database that holds the caller's workspace.
    pub(crate) async fn database(&self, world: &HostState) -> Result<Arc<Upstream>, Failure> {
        let place = PlacementKey {
            workspace: self.who.user.clone(),
            service: self.who.service.clone(),
        };
        let found = if self.who.workspace.is_some() {
            self.context.control.ensure_placement(place).await
        } else {
            let placed = world.state.placements.get(&place).cloned();
            let mut others = world.state.directory.names_for_service(&self.who.service);
            placed.or_else(|| others.next().cloned())
        };
        let Some(name) = found else {
            return Err(Failure::no_database("no database of the service is known"));
        };
        let world = self.context.control.host_state();
        if !world.state.records.database_in_service(&name) {
            return Err(Failure::no_database("the database is out of service"));
        }
        let upstream = self.context.upstreams.get(&world, &name);
        upstream.ok_or_else(|| Failure::no_database("the database is not known"))
    }

    /// Serves a read that stands alone.
    pub(crate) async fn read(&mut self, unit: &Unit) -> Result<Ended, PgError> {
        let arrived = Instant::now();
        let deadline = self.deadline_ms();
        let world = self.context.control.host_state();
        let upstream = match self.database(&world).await {
            Ok(upstream) => upstream,
            Err(failure) => return Ok(Err(failure)),
        };
        let floor = match self.floor(&world, &upstream, arrived).await {
            Ok(floor) => floor,
            Err(failure) => return Ok(Err(failure)),
        };
        retries(&upstream).deposit();
        let mut avoid = Vec::new();
        loop {
            let turn = match self.reader(&upstream, floor, &avoid, deadline).await {
                Ok(turn) => turn,
                Err(failure) => return Ok(Err(failure)),
            };
            if let Err(failure) = self.check_permission(&self.context.control.host_state(), unit) {
                turn.release();
                return Ok(Err(failure));
            }
            match self.read_on(turn, unit).await? {
                Attempt::Done => return Ok(Ok(())),
                Attempt::Failed(failure) => return Ok(Err(failure)),
                Attempt::Retry(member) => {
                    if !retries(&upstream).try_withdraw() {
                        let why = "the database does not answer";
                        return Ok(Err(Failure::no_database(why)));
                    }
                    self.context.metrics.retry();
                    let fields: [(&str, &dyn std::fmt::Display); 1] = [("member", &member)];
                    self.context.timeline.emit(Event::ReadRetried, &fields);
                    avoid.push(member);
                }
            }
        }
    }

    /// Lowest position that the caller's reads may be served from.
    pub(crate) async fn floor(
        &self,
        world: &HostState,
        upstream: &Upstream,
        arrived: Instant,
    ) -> Result<Position, Failure> {
        upstream.tracker.mark_used();
        let of_database = |token: &hemlockcrank_core::session::Watermark| {
            (token.database == upstream.name).then_some(token.position)
        };
        let written = self.own.written.as_ref().and_then(of_database);
        let written = written.unwrap_or_default();
        if let Some(given) = self.own.token.as_ref().and_then(of_database) {
            return Ok(given.max(written));
        }
        let deadline = arrived + Duration::from_millis(self.context.settings.limits.wait_ms);
        let sampled = match self.stated_age(world) {
            Some(age) => upstream.tracker.floor_with_max_age(age, deadline).await,
            None => upstream.tracker.floor_at(arrived, deadline).await,
        };
        match sampled {
            Some(floor) => Ok(floor.max(written)),
            None => Err(Failure::no_database("no majority of the database answers")),
        }
    }

    /// Age that reads may have: the caller's own, or what an open service allows.
    fn stated_age(&self, world: &HostState) -> Option<Duration> {
        if self.who.workspace.is_some() {
            return self.own.max_age;
        }
        let service = world.state.records.service(&self.who.service)?;
        let allowed = Duration::from_millis(service.open_max_age_ms);
        Some(self.own.max_age.map_or(allowed, |age| age.min(allowed)))
    }

    /// A connection to a member at or past `floor`, waiting for one until `deadline`.
    pub(crate) async fn reader(
        &self,
        upstream: &Arc<Upstream>,
        floor: Position,
        avoid: &[Name],
        deadline: u64,
    ) -> Result<PooledConnection, Failure> {
        let mut avoid = avoid.to_vec();
        let mut refreshed = false;
        loop {
            let world = self.context.control.host_state();
            let mut candidates = candidates(&world, upstream);
            let replica_reads = self.context.settings.limits.replica_reads;
            if !replica_reads {
                candidates.retain(|candidate| candidate.primary);
            }
            let choice = route::choose(&candidates, floor, &avoid);
            let by_primary = choice.is_none_or(|index| candidates[index].primary);
            if by_primary && replica_reads && !refreshed {
                refreshed = true;
                let now = Instant::now();
                upstream.tracker.floor_at(now, now + LOOK_AGAIN).await;
                continue;
            }
            let Some(index) = choice else {
                if now_ms() >= deadline {
                    return Err(Failure::no_database("no member is fresh enough in time"));
                }
                avoid.clear();
                tokio::time::sleep(LOOK_AGAIN).await;
                refreshed = false;
                continue;
            };
            let member = &candidates[index].name;
            let Some(pool) = upstream.pools.get(member) else {
                avoid.push(member.clone());
                continue;
            };
            let entry = self.queue_entry(&world, deadline);
            let permit = pool.acquire(entry).await.map_err(Failure::busy)?;
            match pool.connect(permit, self.number).await {
                Ok(mut turn) => match self.take_over(&mut turn.connection).await {
                    Ok(()) => return Ok(turn),
                    Err(_) => avoid.push(member.clone()),
                },
                Err(error) => {
                    self.note_connection_failure(member, &error);
                    avoid.push(member.clone());
                }
            }
        }
    }

    pub(crate) fn note_connection_failure(&self, member: &Name, error: &dyn std::fmt::Display) {
        let fields: [(&str, &dyn std::fmt::Display); 2] = [("member", member), ("error", error)];
        self.context.timeline.emit(Event::ConnectionFailed, &fields);
    }

    async fn read_on(
        &mut self,
        mut turn: PooledConnection,
        unit: &Unit,
    ) -> Result<Attempt, PgError> {
        self.context
            .set_cancel(self.cancel_key, Some(turn.cancel_target()));
        let outcome = match self.send_unit(&mut turn.connection, unit).await {
            Ok(skip) => self.relay(&mut turn, skip).await,
            Err(_) => Err(RelayError::Database { relayed: false }),
        };
        self.context.set_cancel(self.cancel_key, None);
        match outcome {
            Ok((_, error)) => {
                self.after_read(turn, unit, error.is_some());
                self.ready().await?;
                Ok(Attempt::Done)
            }
            Err(RelayError::Caller(error)) => Err(error),
            Err(RelayError::Database { relayed: false }) => Ok(Attempt::Retry(turn.member.clone())),
            Err(RelayError::Database { relayed: true }) => {
                Ok(Attempt::Failed(Failure::read_lost()))
            }
        }
    }

    fn after_read(&mut self, mut turn: PooledConnection, unit: &Unit, failed: bool) {
        let world = self.context.control.host_state();
        let primary = is_primary(&world, turn.pool().database(), &turn.member);
        self.context.metrics.read(primary);
        if let (Class::Set { name }, false) = (&unit.class, failed) {
            self.settings.insert(name.clone(), unit.text.clone());
            self.settings_version += 1;
            turn.connection.dirty = true;
            turn.connection.settings_version = self.settings_version;
        }
        let clean = !failed || turn.connection.prepared.is_empty();
        if clean {
            turn.release();
        }
    }
}

fn retries(upstream: &Upstream) -> std::sync::MutexGuard<'_, hemlockcrank_core::retry::Budget> {
    upstream
        .retries
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

/// What is known of the members as places for a read.
fn candidates(world: &HostState, upstream: &Upstream) -> Vec<Candidate> {
    let Some(database) = world.state.directory.get(&upstream.name) else {
        return Vec::new();
    };
    let members = database.members.iter();
    upstream.tracker.with_samples(|known| {
        members
            .filter_map(|(name, member)| {
                let sample = known.latest.get(name)?;
                let pool = upstream.pools.get(name)?;
                let in_service = world.state.records.zone_in_service(&member.zone);
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
