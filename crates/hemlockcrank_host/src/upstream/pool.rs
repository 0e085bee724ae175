//! Connection pool of a member: a fair semaphore limits the connections in use, and idle
//! connections are reused.

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
/// Idle time after which a connection is closed instead of being reused.
const CLOSE_AFTER: Duration = Duration::from_secs(60);
/// Weight of the newest latency in the moving average, as one part in this many.
const SMOOTHING: u64 = 8;

/// Connections to one member for statements of callers.
#[derive(Debug)]
pub struct Pool {
    /// Name of the member.
    pub member: Name,
    database: Name,
    address: SocketAddr,
    options: ConnectOptions,
    semaphore: Arc<FairSemaphore>,
    idle: Mutex<Vec<Connection>>,
    latency_us: AtomicU64,
}

/// A connection in use and its slot. [`PooledConnection::release`] returns it to the pool; dropping
/// it closes the connection.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// Name of the member that it is connected to.
    pub member: Name,
    pool: Arc<Pool>,
    _permit: Permit,
    started_at: Instant,
}

impl Pool {
    /// An empty pool with at most `slots` connections to `address`.
    pub fn new(
        member: Name,
        database: Name,
        address: SocketAddr,
        options: ConnectOptions,
        slots: usize,
    ) -> Arc<Self> {
        Arc::new(Self {
            member,
            database,
            address,
            options,
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

    /// Changes the maximum number of connections in use.
    pub fn set_slots(&self, slots: usize) {
        self.semaphore.set_slots(slots);
    }

    /// Number of running and waiting statements.
    pub fn load(&self) -> usize {
        self.semaphore.load()
    }

    /// Moving average of the time that a statement takes, in microseconds; 0 before the first.
    pub fn latency_us(&self) -> u64 {
        self.latency_us.load(Ordering::Relaxed)
    }

    /// Waits for a slot; sends nothing to the member.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when no slot can be had before the deadline; the statement is not run.
    pub async fn acquire(&self, entry: Entry) -> Result<Permit, Refusal> {
        self.semaphore.acquire(entry).await
    }

    /// Returns a working connection for `session`: an idle one, tested if it was idle for long, or
    /// a new one.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] when a new connection cannot be opened; no statement was sent.
    pub async fn connect(
        self: &Arc<Self>,
        permit: Permit,
        session: u64,
    ) -> Result<PooledConnection, ConnectionError> {
        let connection = match self.usable_idle(session).await {
            Some(connection) => connection,
            None => Connection::open(&self.options, self.address, &self.database).await?,
        };
        Ok(PooledConnection {
            connection,
            member: self.member.clone(),
            pool: Arc::clone(self),
            _permit: permit,
            started_at: Instant::now(),
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

    /// The connection that `session` used last if it is idle, else the most recently used one.
    fn take_idle(&self, session: u64) -> Option<Connection> {
        let mut idle = self.lock();
        let owned = idle.iter().position(|c| c.owner == session);
        match owned {
            Some(index) => Some(idle.remove(index)),
            None => idle.pop(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_latency(&self, elapsed: Duration) {
        let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let old = self.latency_us();
        let new = if old == 0 {
            elapsed_us
        } else {
            (old * (SMOOTHING - 1) + elapsed_us) / SMOOTHING
        };
        self.latency_us.store(new, Ordering::Relaxed);
    }
}

impl PooledConnection {
    /// Returns the connection to the pool; no statement may be running and no transaction open.
    pub fn release(mut self) {
        self.pool.record_latency(self.started_at.elapsed());
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
