//! A member's connections: a gate in front, idle ones kept.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hemlockcrank_core::{Name, queue::Entry, queue::Refusal};

use super::{ConnectOptions, Connection, ConnectionError, FairSemaphore, Permit};

/// Idle time after which a connection is tested before it is used again.
const TEST_AFTER: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a test.
const TEST_LIMIT: Duration = Duration::from_millis(400);
/// Idle time after which a connection is closed.
const CLOSE_AFTER: Duration = Duration::from_secs(60);
/// Weight of the newest latency in the moving average, as one part in this many.
const SMOOTHING: u64 = 8;

/// Connections to one member, for statements of callers.
#[derive(Debug)]
pub struct Pool {
    /// Member.
    pub member: Name,
    database: Name,
    address: SocketAddr,
    source: ConnectOptions,
    semaphore: Arc<FairSemaphore>,
    idle: Mutex<Vec<Connection>>,
    latency_us: AtomicU64,
}

/// A connection in use, with its slot; returned with [`PooledConnection::release`], closed when dropped.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// Member that it leads to.
    pub member: Name,
    pool: Arc<Pool>,
    _permit: Permit,
    began: Instant,
}

impl Pool {
    /// An empty pool with `slots` connections to `address` at most.
    pub fn new(
        member: Name,
        database: Name,
        address: SocketAddr,
        source: ConnectOptions,
        slots: usize,
    ) -> Arc<Self> {
        Arc::new(Self {
            member,
            database,
            address,
            source,
            semaphore: FairSemaphore::new(slots),
            idle: Mutex::default(),
            latency_us: AtomicU64::new(0),
        })
    }

    /// Database that the member belongs to.
    pub fn database(&self) -> &Name {
        &self.database
    }

    /// Address of the member.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the number of connections.
    pub fn set_slots(&self, slots: usize) {
        self.semaphore.set_slots(slots);
    }

    /// Statements in service and waiting.
    pub fn load(&self) -> usize {
        self.semaphore.load()
    }

    /// Smoothed time of a statement, in microseconds.
    pub fn latency_us(&self) -> u64 {
        self.latency_us.load(Ordering::Relaxed)
    }

    /// Waits for a slot. Nothing is sent yet.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when the deadline would pass; the statement is not run.
    pub async fn acquire(&self, entry: Entry) -> Result<Permit, Refusal> {
        self.semaphore.acquire(entry).await
    }

    /// A connection that is known to answer: an idle one, tested if it was idle for long, or a new one.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] when none can be had; no statement was sent.
    pub async fn connect(
        self: &Arc<Self>,
        permit: Permit,
        session: u64,
    ) -> Result<PooledConnection, ConnectionError> {
        let connection = match self.usable_idle(session).await {
            Some(connection) => connection,
            None => Connection::open(&self.source, self.address, &self.database).await?,
        };
        Ok(PooledConnection {
            connection,
            member: self.member.clone(),
            pool: Arc::clone(self),
            _permit: permit,
            began: Instant::now(),
        })
    }

    async fn usable_idle(&self, session: u64) -> Option<Connection> {
        loop {
            let mut connection = self.take_idle(session)?;
            let idle = connection.idle_since.elapsed();
            if idle > CLOSE_AFTER {
                connection.close().await;
                continue;
            }
            if idle < TEST_AFTER {
                return Some(connection);
            }
            let test = tokio::time::timeout(TEST_LIMIT, connection.query("SELECT 1")).await;
            if matches!(test, Ok(Ok(answer)) if answer.error.is_none()) {
                return Some(connection);
            }
        }
    }

    /// The session's own last connection if it is idle, else the one used last.
    fn take_idle(&self, session: u64) -> Option<Connection> {
        let mut idle = self.lock();
        let own = idle.iter().position(|c| c.owner == session);
        match own {
            Some(index) => Some(idle.remove(index)),
            None => idle.pop(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note_latency(&self, took: Duration) {
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let old = self.latency_us();
        let new = if old == 0 {
            took_us
        } else {
            (old * (SMOOTHING - 1) + took_us) / SMOOTHING
        };
        self.latency_us.store(new, Ordering::Relaxed);
    }
}

impl PooledConnection {
    /// Gives the connection back; it must be idle and outside a transaction.
    pub fn release(mut self) {
        self.pool.note_latency(self.began.elapsed());
        self.connection.idle_since = Instant::now();
        self.pool.lock().push(self.connection);
    }

    /// Address and key for a cancel request.
    pub fn cancel_target(&self) -> (SocketAddr, (i32, pgwire::messages::startup::SecretKey)) {
        (self.pool.address, self.connection.cancel_key.clone())
    }

    /// Pool that the connection belongs to.
    pub fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }
}
