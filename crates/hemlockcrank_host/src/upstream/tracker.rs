//! What is known of one database's members.
//!
//! One task a member keeps a connection of its own and asks for the member's status: at once when
//! somebody wants a sample taken after some moment, in the rhythm of a watcher while this host watches
//! the database, and now and then while it was used lately. All who wait share the same samples.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use hemlockcrank_core::{
    Name,
    failover::{POLL_MS, Status},
    session::{self, Position},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time::timeout,
};

use super::{ConnectOptions, Connection, ConnectionError, connection::parse_status};

/// Longest wait for a status.
const STATUS_LIMIT: Duration = Duration::from_millis(250);
/// Polls of a watched primary for one of a replica.
const REPLICA_POLLS: u32 = 4;
/// Pause after a member that did not answer.
const FAILED_PAUSE: Duration = Duration::from_millis(50);
/// Interval between samples of a database that was used lately.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after its last use that a database is still sampled.
const USED_LATELY: Duration = Duration::from_secs(60);
/// Longest wait for the remaining members once a majority has answered.
const GRACE: Duration = Duration::from_millis(2);
/// Age up to which samples are kept.
const HISTORY: Duration = Duration::from_secs(60);
/// Smallest distance of two samples that are kept.
const HISTORY_STEP: Duration = Duration::from_millis(20);
/// Pause between two samples while a majority lags behind a commit.
const ACKNOWLEDGE_PAUSE: Duration = Duration::from_millis(1);
/// Longest such pause, in steps of the first.
const MAX_PAUSE_STEPS: u32 = 10;

/// One answer of a member.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When it was asked for; whatever was committed before is in it.
    pub asked_at: Instant,
    /// What the member said.
    pub status: Status,
    /// Whom the member follows; empty for none.
    pub source: Name,
    /// Whether its last answer came, and in time.
    pub reachable: bool,
}

/// The last sample of every member.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    /// Samples by member.
    pub latest: BTreeMap<Name, Sample>,
    history: BTreeMap<Name, VecDeque<(Instant, Position)>>,
}

impl Samples {
    /// Members whose last answer came.
    pub fn reachable(&self) -> usize {
        self.latest
            .values()
            .filter(|sample| sample.reachable)
            .count()
    }

    fn note(&mut self, member: &Name, sample: Sample) {
        let history = self.history.entry(member.clone()).or_default();
        let last = history.back().map(|(at, _)| *at);
        if last.is_none_or(|at| sample.asked_at >= at + HISTORY_STEP) {
            history.push_back((sample.asked_at, sample.status.last));
        }
        while history
            .front()
            .is_some_and(|(at, _)| at.elapsed() > HISTORY)
        {
            history.pop_front();
        }
        self.latest.insert(member.clone(), sample);
    }

    /// Positions of members that were asked at or after `since`.
    fn positions_since(&self, since: Instant) -> Vec<Position> {
        let fresh = self.latest.values().filter(|s| s.asked_at >= since);
        fresh.map(|sample| sample.status.last).collect()
    }

    /// Oldest kept position of each member that was asked at or after `since`.
    fn oldest_since(&self, since: Instant) -> Vec<Position> {
        let histories = self.history.values();
        histories
            .filter_map(|history| history.iter().find(|(at, _)| *at >= since))
            .map(|(_, position)| *position)
            .collect()
    }
}

/// An order for a member, given over its task's connection.
#[derive(Debug)]
struct Command {
    text: String,
    answer: oneshot::Sender<Option<Status>>,
}

/// Whether a database is watched.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Watching {
    /// It is not.
    #[default]
    No,
    /// It is; the primary is polled more often than the others.
    Yes {
        /// Present primary.
        primary: Option<Name>,
    },
}

impl Watching {
    fn interval(&self, member: &Name) -> Option<Duration> {
        let poll = Duration::from_millis(POLL_MS);
        match self {
            Self::No => None,
            Self::Yes { primary } if primary.as_ref() == Some(member) => Some(poll),
            Self::Yes { .. } => Some(poll * REPLICA_POLLS),
        }
    }
}

/// Follows the members of one database.
#[derive(Debug)]
pub struct Tracker {
    size: usize,
    known: watch::Sender<Samples>,
    demand: watch::Sender<Instant>,
    used: watch::Sender<Instant>,
    watching: watch::Sender<Watching>,
    commands: BTreeMap<Name, mpsc::Sender<Command>>,
    _tasks: JoinSet<()>,
}

impl Tracker {
    /// Starts a task for each member of `database`, which has `size` members in all.
    pub fn start(
        source: &ConnectOptions,
        database: &Name,
        size: usize,
        members: &BTreeMap<Name, SocketAddr>,
    ) -> Self {
        let mut tasks = JoinSet::new();
        let mut commands = BTreeMap::new();
        let known = watch::Sender::new(Samples::default());
        let demand = watch::Sender::new(Instant::now());
        let used = watch::Sender::new(Instant::now());
        let watching = watch::Sender::new(Watching::No);
        for (member, address) in members {
            let (sender, receiver) = mpsc::channel(8);
            commands.insert(member.clone(), sender);
            let prober = Prober {
                source: source.clone(),
                database: database.clone(),
                member: member.clone(),
                address: *address,
                known: known.clone(),
                demand: demand.subscribe(),
                used: used.subscribe(),
                watching: watching.subscribe(),
                commands: receiver,
                connection: None,
                asked_at: Instant::now(),
            };
            tasks.spawn(prober.run());
        }
        Self {
            size,
            known,
            demand,
            used,
            watching,
            commands,
            _tasks: tasks,
        }
    }

    /// What is known now.
    pub fn samples(&self) -> Samples {
        self.known.borrow().clone()
    }

    /// Reads what is known now.
    pub fn with_samples<F, R>(&self, read: F) -> R
    where
        F: FnOnce(&Samples) -> R,
    {
        read(&self.known.borrow())
    }

    /// Sets whether this host watches the database, and which member is primary.
    pub fn set_watching(&self, on: Watching) {
        self.watching.send_if_modified(|watching| {
            let changed = *watching != on;
            *watching = on;
            changed
        });
    }

    /// Notes that the database is in use.
    pub fn mark_used(&self) {
        let now = Instant::now();
        self.used.send_if_modified(|used| {
            let stale = now.duration_since(*used) > IDLE_INTERVAL;
            if stale {
                *used = now;
            }
            stale
        });
    }

    /// Lowest position that covers all writes acknowledged before `since`.
    ///
    /// `None` when no majority answers before `deadline`.
    pub async fn floor_at(&self, since: Instant, deadline: Instant) -> Option<Position> {
        self.want_since(since);
        let mut known = self.known.subscribe();
        let mut patience: Option<Instant> = None;
        loop {
            let (floor, complete) = {
                let known = known.borrow_and_update();
                let positions = known.positions_since(since);
                let complete = positions.len() >= known.reachable().min(self.size);
                (session::floor(self.size, &positions), complete)
            };
            let now = Instant::now();
            if floor.is_some() {
                let until = *patience.get_or_insert(now + GRACE);
                if complete || now >= until {
                    return floor;
                }
            }
            let until = patience.unwrap_or(deadline).min(deadline);
            if now >= until {
                return floor;
            }
            let _ = tokio::time::timeout_at(until.into(), known.changed()).await;
        }
    }

    /// Lowest position that covers all writes acknowledged before some moment at most `age` ago.
    pub async fn floor_with_max_age(&self, age: Duration, deadline: Instant) -> Option<Position> {
        let now = Instant::now();
        let since = now.checked_sub(age).unwrap_or(now);
        let kept = self.with_samples(|known| known.oldest_since(since));
        match session::floor(self.size, &kept) {
            Some(floor) => Some(floor),
            None => self.floor_at(now, deadline).await,
        }
    }

    /// Waits until a majority at the write's term holds it; `false` when that did not come to pass
    /// before `deadline`, or cannot any more.
    pub async fn wait_for_majority(&self, write: Position, deadline: Instant) -> bool {
        let mut known = self.known.subscribe();
        let mut steps = 0;
        loop {
            {
                let known = known.borrow_and_update();
                let reports: Vec<(u64, Position)> = known
                    .latest
                    .values()
                    .map(|sample| (sample.status.adopted, sample.status.last))
                    .collect();
                if session::is_acknowledged(self.size, write, &reports) {
                    return true;
                }
                let beyond = reports.iter().filter(|(adopted, _)| *adopted > write.term);
                if beyond.count() > self.size / 2 {
                    return false;
                }
            }
            if Instant::now() >= deadline {
                return false;
            }
            self.want_since(Instant::now());
            let _ = tokio::time::timeout_at(deadline.into(), known.changed()).await;
            if steps > 0 {
                tokio::time::sleep(ACKNOWLEDGE_PAUSE * steps.min(MAX_PAUSE_STEPS)).await;
            }
            steps += 1;
        }
    }

    /// Gives a member an order and returns its status afterwards; `None` when it did not answer.
    pub async fn query(&self, member: &str, text: String) -> Option<Status> {
        let (answer, status) = oneshot::channel();
        let sender = self.commands.get(member)?;
        sender.send(Command { text, answer }).await.ok()?;
        status.await.ok()?
    }

    fn want_since(&self, since: Instant) {
        self.demand.send_if_modified(|demand| {
            let later = since > *demand;
            if later {
                *demand = since;
            }
            later
        });
    }
}

/// The task of one member.
struct Prober {
    source: ConnectOptions,
    database: Name,
    member: Name,
    address: SocketAddr,
    known: watch::Sender<Samples>,
    demand: watch::Receiver<Instant>,
    used: watch::Receiver<Instant>,
    watching: watch::Receiver<Watching>,
    commands: mpsc::Receiver<Command>,
    connection: Option<Connection>,
    asked_at: Instant,
}

impl Prober {
    async fn run(mut self) {
        loop {
            tokio::select! {
                command = self.commands.recv() => {
                    let Some(command) = command else {
                        return;
                    };
                    self.obey(command).await;
                }
                () = due(&mut self.demand, &mut self.used, &mut self.watching, &self.member, self.asked_at) => {
                    self.probe().await;
                }
            }
        }
    }

    async fn probe(&mut self) {
        self.asked_at = Instant::now();
        let answer = timeout(STATUS_LIMIT, self.ask_status()).await;
        match answer {
            Ok(Ok((status, source))) => self.publish(status, source),
            _ => self.lost().await,
        }
    }

    async fn ask_status(&mut self) -> Result<(Status, Name), ConnectionError> {
        self.connected().await?.status().await
    }

    async fn connected(&mut self) -> Result<&mut Connection, ConnectionError> {
        let connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(&self.source, self.address, &self.database).await?,
        };
        Ok(self.connection.insert(connection))
    }

    async fn obey(&mut self, command: Command) {
        self.asked_at = Instant::now();
        let obeyed = timeout(STATUS_LIMIT, async {
            let connection = self.connected().await?;
            let answer = connection.query(&command.text).await?;
            match parse_status(&answer) {
                Some(status) => Ok(status),
                None => connection.status().await,
            }
        });
        match obeyed.await {
            Ok(Ok((status, source))) => {
                self.publish(status, source);
                let _ = command.answer.send(Some(status));
            }
            _ => {
                let _ = command.answer.send(None);
                self.lost().await;
            }
        }
    }

    fn publish(&self, status: Status, source: Name) {
        let sample = Sample {
            asked_at: self.asked_at,
            status,
            source,
            reachable: true,
        };
        self.known
            .send_modify(|known| known.note(&self.member, sample));
    }

    async fn lost(&mut self) {
        self.connection = None;
        self.known.send_modify(|known| {
            if let Some(sample) = known.latest.get_mut(&self.member) {
                sample.reachable = false;
            }
        });
        tokio::time::sleep(FAILED_PAUSE).await;
    }
}

/// Waits until the next status should be asked for.
async fn due(
    demand: &mut watch::Receiver<Instant>,
    used: &mut watch::Receiver<Instant>,
    watching: &mut watch::Receiver<Watching>,
    member: &Name,
    asked_at: Instant,
) {
    loop {
        if *demand.borrow_and_update() > asked_at {
            return;
        }
        let watched = watching.borrow_and_update().interval(member);
        let used_lately = used.borrow_and_update().elapsed() < USED_LATELY;
        let next = if let Some(interval) = watched {
            asked_at + interval
        } else if used_lately {
            asked_at + IDLE_INTERVAL
        } else {
            asked_at + USED_LATELY
        };
        tokio::select! {
            () = tokio::time::sleep_until(next.into()) => return,
            _ = demand.changed() => {}
            _ = watching.changed() => {}
        }
    }
}
