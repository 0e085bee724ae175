//! Status of the members of one database.
//!
//! One task per member polls the member's status over a connection of its own: at once when a
//! caller needs a sample taken after some moment, at the watchers' polling interval while this host
//! watches the database, and otherwise at a longer interval, which depends on whether the database
//! was used recently. All callers share the same samples.

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

/// Longest wait for a status, including the time to connect.
const STATUS_LIMIT: Duration = Duration::from_millis(250);
/// Number of polls of a watched primary for each poll of a replica.
const REPLICA_POLLS: u32 = 4;
/// Pause after a member that did not answer.
const FAILED_PAUSE: Duration = Duration::from_millis(50);
/// Interval between samples of a database that was used recently.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after its last use for which a database counts as recently used, and interval between its
/// samples after that.
const RECENT_USE: Duration = Duration::from_secs(60);
/// Longest wait for the remaining members once a majority has answered.
const GRACE_PERIOD: Duration = Duration::from_millis(2);
/// Age up to which samples are kept.
const HISTORY_AGE: Duration = Duration::from_secs(60);
/// Minimum time between two samples that are kept.
const HISTORY_STEP: Duration = Duration::from_millis(20);
/// First pause between two samples while a majority lags behind a commit.
const ACKNOWLEDGE_PAUSE: Duration = Duration::from_millis(1);
/// Longest such pause, as a multiple of the first.
const MAX_PAUSE_STEPS: u32 = 10;

/// The status of a member at one moment.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When it was requested; it includes everything that was committed before.
    pub asked_at: Instant,
    /// Status that the member reported.
    pub status: Status,
    /// Name of the member that it replicates from; empty for none.
    pub source: Name,
    /// Whether the member answered its last query in time.
    pub reachable: bool,
}

/// The latest sample of every member, and a history of their positions.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    /// Latest sample by member.
    pub latest: BTreeMap<Name, Sample>,
    /// Positions by member, oldest first, with the time at which they were requested.
    history: BTreeMap<Name, VecDeque<(Instant, Position)>>,
}

impl Samples {
    /// Number of members that answered their last query in time.
    pub fn reachable(&self) -> usize {
        self.latest
            .values()
            .filter(|sample| sample.reachable)
            .count()
    }

    fn record(&mut self, member: &Name, sample: Sample) {
        let history = self.history.entry(member.clone()).or_default();
        let newest_at = history.back().map(|(at, _)| *at);
        if newest_at.is_none_or(|at| sample.asked_at >= at + HISTORY_STEP) {
            history.push_back((sample.asked_at, sample.status.last));
        }
        while history
            .front()
            .is_some_and(|(at, _)| at.elapsed() > HISTORY_AGE)
        {
            history.pop_front();
        }
        self.latest.insert(member.clone(), sample);
    }

    /// Latest positions of the members that were queried at or after `since`.
    fn positions_since(&self, since: Instant) -> Vec<Position> {
        let recent = self.latest.values().filter(|s| s.asked_at >= since);
        recent.map(|sample| sample.status.last).collect()
    }

    /// For each member, the oldest kept position that was requested at or after `since`.
    fn oldest_since(&self, since: Instant) -> Vec<Position> {
        let histories = self.history.values();
        histories
            .filter_map(|history| history.iter().find(|(at, _)| *at >= since))
            .map(|(_, position)| *position)
            .collect()
    }
}

/// A query to run over the connection of a member's task.
#[derive(Debug)]
struct MemberQuery {
    text: String,
    reply: oneshot::Sender<Option<Status>>,
}

/// Whether a database is watched.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Watching {
    /// This host does not watch it.
    #[default]
    No,
    /// This host watches it, and polls the primary more often than the replicas.
    Yes {
        /// Committed primary.
        primary: Option<Name>,
    },
}

impl Watching {
    /// Polling interval of a member; `None` if the database is not watched.
    fn interval(&self, member: &Name) -> Option<Duration> {
        let poll = Duration::from_millis(POLL_MS);
        match self {
            Self::No => None,
            Self::Yes { primary } if primary.as_ref() == Some(member) => Some(poll),
            Self::Yes { .. } => Some(poll * REPLICA_POLLS),
        }
    }
}

/// Polls the members of one database.
#[derive(Debug)]
pub struct Tracker {
    size: usize,
    samples: watch::Sender<Samples>,
    /// Members whose latest sample was requested before this moment are polled at once.
    required_since: watch::Sender<Instant>,
    /// Last use, recorded with a precision of [`IDLE_INTERVAL`].
    used_at: watch::Sender<Instant>,
    watching: watch::Sender<Watching>,
    queries: BTreeMap<Name, mpsc::Sender<MemberQuery>>,
    _tasks: JoinSet<()>,
}

impl Tracker {
    /// Starts a task for each of `members` of `database`, which has `size` members in all.
    pub fn start(
        options: &ConnectOptions,
        database: &Name,
        size: usize,
        members: &BTreeMap<Name, SocketAddr>,
    ) -> Self {
        let mut tasks = JoinSet::new();
        let mut queries = BTreeMap::new();
        let samples = watch::Sender::new(Samples::default());
        let required_since = watch::Sender::new(Instant::now());
        let used_at = watch::Sender::new(Instant::now());
        let watching = watch::Sender::new(Watching::No);
        for (member, address) in members {
            let (sender, receiver) = mpsc::channel(8);
            queries.insert(member.clone(), sender);
            let poller = MemberPoller {
                options: options.clone(),
                database: database.clone(),
                member: member.clone(),
                address: *address,
                samples: samples.clone(),
                required_since: required_since.subscribe(),
                used_at: used_at.subscribe(),
                watching: watching.subscribe(),
                queries: receiver,
                connection: None,
                asked_at: Instant::now(),
            };
            tasks.spawn(poller.run());
        }
        Self {
            size,
            samples,
            required_since,
            used_at,
            watching,
            queries,
            _tasks: tasks,
        }
    }

    /// A copy of the current samples.
    pub fn samples(&self) -> Samples {
        self.samples.borrow().clone()
    }

    /// Passes the current samples to `read` without a copy.
    pub fn with_samples<F, R>(&self, read: F) -> R
    where
        F: FnOnce(&Samples) -> R,
    {
        read(&self.samples.borrow())
    }

    /// Sets whether this host watches the database, and which member is primary.
    pub fn set_watching(&self, new: Watching) {
        self.watching.send_if_modified(|watching| {
            let changed = *watching != new;
            *watching = new;
            changed
        });
    }

    /// Records that the database is in use.
    pub fn mark_used(&self) {
        let now = Instant::now();
        self.used_at.send_if_modified(|used_at| {
            let stale = now.duration_since(*used_at) > IDLE_INTERVAL;
            if stale {
                *used_at = now;
            }
            stale
        });
    }

    /// Lowest position that covers all writes acknowledged before `time`.
    ///
    /// `None` when no majority answers before `deadline`.
    pub async fn floor_at(&self, time: Instant, deadline: Instant) -> Option<Position> {
        self.require_since(time);
        let mut receiver = self.samples.subscribe();
        let mut grace_end: Option<Instant> = None;
        loop {
            let (floor, complete) = {
                let samples = receiver.borrow_and_update();
                let positions = samples.positions_since(time);
                let complete = positions.len() >= samples.reachable().min(self.size);
                (session::floor(self.size, &positions), complete)
            };
            let now = Instant::now();
            if floor.is_some() {
                let until = *grace_end.get_or_insert(now + GRACE_PERIOD);
                if complete || now >= until {
                    return floor;
                }
            }
            let until = grace_end.unwrap_or(deadline).min(deadline);
            if now >= until {
                return floor;
            }
            let _ = tokio::time::timeout_at(until.into(), receiver.changed()).await;
        }
    }

    /// Lowest position that covers all writes acknowledged before a moment at most `max_age` ago.
    ///
    /// `None` when the samples do not give one and no majority answers before `deadline`.
    pub async fn floor_with_max_age(
        &self,
        max_age: Duration,
        deadline: Instant,
    ) -> Option<Position> {
        let now = Instant::now();
        let since = now.checked_sub(max_age).unwrap_or(now);
        let positions = self.with_samples(|samples| samples.oldest_since(since));
        match session::floor(self.size, &positions) {
            Some(floor) => Some(floor),
            None => self.floor_at(now, deadline).await,
        }
    }

    /// Waits until a majority that has adopted the write's term has the write in its log. Returns
    /// `false` when that has not happened by `deadline`, or can no longer happen.
    pub async fn wait_for_majority(&self, write: Position, deadline: Instant) -> bool {
        let mut receiver = self.samples.subscribe();
        let mut attempts = 0;
        loop {
            {
                let samples = receiver.borrow_and_update();
                let reports: Vec<(u64, Position)> = samples
                    .latest
                    .values()
                    .map(|sample| (sample.status.adopted, sample.status.last))
                    .collect();
                if session::is_acknowledged(self.size, write, &reports) {
                    return true;
                }
                let in_newer_term = reports.iter().filter(|(adopted, _)| *adopted > write.term);
                if in_newer_term.count() > self.size / 2 {
                    return false;
                }
            }
            if Instant::now() >= deadline {
                return false;
            }
            self.require_since(Instant::now());
            let _ = tokio::time::timeout_at(deadline.into(), receiver.changed()).await;
            if attempts > 0 {
                tokio::time::sleep(ACKNOWLEDGE_PAUSE * attempts.min(MAX_PAUSE_STEPS)).await;
            }
            attempts += 1;
        }
    }

    /// Runs a query on a member and returns its status afterwards; `None` when it did not answer.
    pub async fn query(&self, member: &str, text: String) -> Option<Status> {
        let (reply, status) = oneshot::channel();
        let sender = self.queries.get(member)?;
        sender.send(MemberQuery { text, reply }).await.ok()?;
        status.await.ok()?
    }

    /// Makes the tasks take a sample if their last one was requested before `time`.
    fn require_since(&self, time: Instant) {
        self.required_since.send_if_modified(|required_since| {
            let later = time > *required_since;
            if later {
                *required_since = time;
            }
            later
        });
    }
}

/// State of the task that polls one member and runs queries on it.
struct MemberPoller {
    options: ConnectOptions,
    database: Name,
    member: Name,
    address: SocketAddr,
    samples: watch::Sender<Samples>,
    required_since: watch::Receiver<Instant>,
    used_at: watch::Receiver<Instant>,
    watching: watch::Receiver<Watching>,
    queries: mpsc::Receiver<MemberQuery>,
    connection: Option<Connection>,
    asked_at: Instant,
}

impl MemberPoller {
    async fn run(mut self) {
        loop {
            tokio::select! {
                query = self.queries.recv() => {
                    let Some(query) = query else {
                        return;
                    };
                    self.run_query(query).await;
                }
                () = next_poll(
                    &mut self.required_since,
                    &mut self.used_at,
                    &mut self.watching,
                    &self.member,
                    self.asked_at,
                ) => {
                    self.poll().await;
                }
            }
        }
    }

    async fn poll(&mut self) {
        self.asked_at = Instant::now();
        let answer = timeout(STATUS_LIMIT, self.query_status()).await;
        match answer {
            Ok(Ok((status, source))) => self.publish(status, source),
            _ => self.mark_unreachable().await,
        }
    }

    async fn query_status(&mut self) -> Result<(Status, Name), ConnectionError> {
        self.connect().await?.status().await
    }

    /// Returns the connection, opening a new one if there is none.
    async fn connect(&mut self) -> Result<&mut Connection, ConnectionError> {
        let connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(&self.options, self.address, &self.database).await?,
        };
        Ok(self.connection.insert(connection))
    }

    async fn run_query(&mut self, query: MemberQuery) {
        self.asked_at = Instant::now();
        let outcome = timeout(STATUS_LIMIT, async {
            let connection = self.connect().await?;
            let answer = connection.query(&query.text).await?;
            match parse_status(&answer) {
                Some(status) => Ok(status),
                None => connection.status().await,
            }
        });
        match outcome.await {
            Ok(Ok((status, source))) => {
                self.publish(status, source);
                let _ = query.reply.send(Some(status));
            }
            _ => {
                let _ = query.reply.send(None);
                self.mark_unreachable().await;
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
        self.samples
            .send_modify(|samples| samples.record(&self.member, sample));
    }

    /// Drops the connection and pauses before the next attempt.
    async fn mark_unreachable(&mut self) {
        self.connection = None;
        self.samples.send_modify(|samples| {
            if let Some(sample) = samples.latest.get_mut(&self.member) {
                sample.reachable = false;
            }
        });
        tokio::time::sleep(FAILED_PAUSE).await;
    }
}

/// Waits until the member is to be polled again.
async fn next_poll(
    required_since: &mut watch::Receiver<Instant>,
    used_at: &mut watch::Receiver<Instant>,
    watching: &mut watch::Receiver<Watching>,
    member: &Name,
    asked_at: Instant,
) {
    loop {
        if *required_since.borrow_and_update() > asked_at {
            return;
        }
        let watch_interval = watching.borrow_and_update().interval(member);
        let used_recently = used_at.borrow_and_update().elapsed() < RECENT_USE;
        let next = if let Some(interval) = watch_interval {
            asked_at + interval
        } else if used_recently {
            asked_at + IDLE_INTERVAL
        } else {
            asked_at + RECENT_USE
        };
        tokio::select! {
            () = tokio::time::sleep_until(next.into()) => return,
            _ = required_since.changed() => {}
            _ = watching.changed() => {}
        }
    }
}
