//! Connections to one member, shared by all sessions of this host.
//!
//! [`hemlockcrank_core::connections`] assigns the connections to sessions. This module opens and
//! closes them, and passes them to the sessions that wait.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::{Arc, Mutex},
    time::Duration,
};

use hemlockcrank_core::{
    Name,
    balance::Load,
    connections::{Capacity, ConnectionId, Connections, Release, Take, Ticket},
};
use strum::IntoStaticStr;
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

use super::{
    Code, Protocol,
    member_connection::{MemberConnection, OpenError, Purpose, SessionValues, Target},
    permits::Permits,
    receipt::Receipt,
};
use crate::{clock::now_ms, sync::lock};

/// Time limit for opening a connection. It is long because an abandoned attempt has already used a
/// slot of the member.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time in which no connection is opened after the member could not be reached, in milliseconds.
const UNREACHED_PAUSE_MS: u64 = 150;
/// Time in which no connection is opened after the member has refused one, in milliseconds.
const REFUSED_PAUSE_MS: u64 = 300;
/// Time that a session waits for a connection of its own workspace, before it may replace a
/// connection of another workspace.
const OWN_WORKSPACE_WAIT: Duration = Duration::from_millis(40);
/// The same for a session with a permit of a limited number. It is about the time that a member takes
/// to open a connection, because the permit is of no use to others meanwhile.
const PERMIT_OWN_WORKSPACE_WAIT: Duration = Duration::from_millis(12);

/// Why there is no connection. No statement has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Unavailable {
    /// None became free in time.
    Late,
    /// The member refused.
    Refused(Code),
    /// The member could not be reached.
    Unreached,
}

/// A session's request for a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionRequest<'a> {
    pub(crate) workspace: &'a Name,
    pub(crate) values: &'a SessionValues,
    /// Rank in the queue; lower is served first.
    pub(crate) priority: u32,
}

/// An open connection with its id.
type OpenConnection = (ConnectionId, Box<MemberConnection>);

#[derive(Debug, Default)]
struct Inner {
    connections: Connections,
    free: HashMap<ConnectionId, MemberConnection>,
    waiters: HashMap<Ticket, oneshot::Sender<OpenConnection>>,
    /// Until when sessions are refused because the last attempt to open a connection failed, and
    /// why it failed.
    last_failure: Option<(u64, Unavailable)>,
    /// Load and latency of the member, as observed by this host.
    load: Load,
    /// Set while a task waits to close idle connections.
    idle_check_scheduled: bool,
}

/// All connections of this host to one member.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) target: Target,
    pub(super) protocol: Protocol,
    /// Log position that the member has received, if it is a witness.
    pub(super) receipt: Receipt,
    /// Permits for statements at the member.
    pub(crate) permits: Arc<Permits>,
    inner: Mutex<Inner>,
}

/// A connection in use; returned to the pool when dropped, unless it was closed.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pool: Arc<Pool>,
    id: ConnectionId,
    connection: Option<MemberConnection>,
}

impl Pool {
    /// `slots` is the member's number of slots if the statements in progress are limited.
    pub(crate) fn new(
        protocol: Protocol,
        target: Target,
        capacity: Capacity,
        slots: Option<usize>,
    ) -> Arc<Self> {
        let inner = Inner {
            connections: Connections::new(capacity),
            ..Inner::default()
        };
        Arc::new(Self {
            target,
            protocol,
            receipt: Receipt::default(),
            permits: Permits::new(slots),
            inner: Mutex::new(inner),
        })
    }

    /// Changes how many connections this host may have.
    pub(crate) fn set_capacity(&self, capacity: Capacity) {
        let mut inner = lock(&self.inner);
        inner.connections.set_capacity(capacity);
        inner.trim();
    }

    /// Load and latency of the member, as observed by this host.
    pub(crate) fn load(&self) -> Load {
        lock(&self.inner).load
    }

    /// Updates the observed load and latency of the member.
    pub(crate) fn update_load<F>(&self, change: F)
    where
        F: FnOnce(&mut Load),
    {
        change(&mut lock(&self.inner).load);
    }

    /// Expected wait of a new statement for a permit, in milliseconds.
    pub(crate) fn expected_wait_ms(&self, workspace: &Name, priority: u32) -> u64 {
        self.permits.expected_wait_ms(workspace, priority)
    }

    /// Counts a statement at the member until the returned value is dropped.
    pub(crate) fn track_in_flight(self: &Arc<Self>) -> InFlight {
        self.update_load(Load::begin);
        InFlight(Arc::clone(self))
    }

    /// Whether a connection for the workspace is free.
    pub(crate) fn has_free(&self, workspace: &Name) -> bool {
        lock(&self.inner).connections.has_free(workspace)
    }

    /// Closes all free connections.
    pub(crate) fn close_free(&self) {
        let mut inner = lock(&self.inner);
        inner.connections.drain_free();
        inner.free.clear();
    }

    /// Takes a free connection, or waits for one that is opened or becomes free.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: ConnectionRequest<'_>,
        limit: Duration,
    ) -> Result<PooledConnection, Unavailable> {
        let own_wait = match self.permits.is_limited() {
            true => PERMIT_OWN_WORKSPACE_WAIT,
            false => OWN_WORKSPACE_WAIT,
        };
        let first_wait = own_wait.min(limit);
        if let Some(open) = self.take_or_wait(request, false, first_wait).await? {
            return Ok(self.check_out(open));
        }
        let remaining = limit.saturating_sub(first_wait);
        match self.take_or_wait(request, true, remaining).await? {
            Some(open) => Ok(self.check_out(open)),
            None => Err(Unavailable::Late),
        }
    }

    /// Takes a free connection; if there is none, opens one if allowed, and waits in the queue for
    /// up to `limit`. With `insist`, a connection of any other workspace may be replaced.
    async fn take_or_wait(
        self: &Arc<Self>,
        request: ConnectionRequest<'_>,
        insist: bool,
        limit: Duration,
    ) -> Result<Option<OpenConnection>, Unavailable> {
        let mut waiter = {
            let mut inner = lock(&self.inner);
            let (free, may_open) = inner.take(request, insist);
            if free.is_some() {
                return Ok(free);
            }
            if may_open {
                self.open(request.workspace.clone());
            } else if let Some(error) = inner.current_failure() {
                return Err(error);
            }
            let ticket = inner
                .connections
                .wait(request.workspace.clone(), request.priority);
            let ticket = ticket.ok_or(Unavailable::Late)?;
            let (sender, receiver) = oneshot::channel();
            inner.waiters.insert(ticket, sender);
            Waiter {
                pool: self,
                ticket,
                receiver,
            }
        };
        match timeout(limit, &mut waiter.receiver).await {
            Ok(Ok(open)) => Ok(Some(open)),
            Ok(Err(_)) => Err(lock(&self.inner)
                .current_failure()
                .unwrap_or(Unavailable::Late)),
            Err(_) => Ok(waiter.receiver.try_recv().ok()),
        }
    }

    /// Opens a connection in the background, for the first session that then waits.
    fn open(self: &Arc<Self>, workspace: Name) {
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            let mut opening = OpeningGuard {
                pool: &pool,
                workspace: Some(workspace.clone()),
            };
            let opened = MemberConnection::open(
                pool.protocol,
                &pool.target,
                &workspace,
                Purpose::Callers,
                OPEN_TIMEOUT,
            )
            .await;
            match opened {
                Ok(connection) => {
                    opening.workspace = None;
                    let mut inner = lock(&pool.inner);
                    inner.last_failure = None;
                    let id = inner.connections.opened(now_ms(), workspace);
                    pool.release(&mut inner, id, connection);
                }
                Err(error) => lock(&pool.inner).record_open_failure(error),
            }
        });
    }

    fn check_out(self: &Arc<Self>, (id, connection): OpenConnection) -> PooledConnection {
        PooledConnection {
            pool: Arc::clone(self),
            id,
            connection: Some(*connection),
        }
    }

    /// Passes a connection to a waiting session, replaces it, or keeps it free. One that another
    /// session must not use is closed.
    fn release(
        self: &Arc<Self>,
        inner: &mut Inner,
        id: ConnectionId,
        connection: MemberConnection,
    ) {
        if !connection.is_reusable() {
            drop(connection);
            self.note_closed(inner, id);
            return;
        }
        inner
            .connections
            .set_session_values(id, hash_values(&connection.values));
        match inner.connections.release(now_ms(), id) {
            Release::Keep => {
                inner.free.insert(id, connection);
                inner.trim();
                self.schedule_idle_check(inner);
            }
            Release::Give(ticket) => {
                let open = (id, Box::new(connection));
                let unsent = match inner.waiters.remove(&ticket) {
                    Some(sender) => sender.send(open).err(),
                    None => Some(open),
                };
                if let Some((id, connection)) = unsent {
                    self.release(inner, id, *connection);
                }
            }
            Release::Replace(workspace) => self.open(workspace),
        }
    }

    /// Closes idle connections later, if they are not to be kept.
    fn schedule_idle_check(self: &Arc<Self>, inner: &mut Inner) {
        let Some(linger_ms) = inner.connections.linger_ms(now_ms()) else {
            return;
        };
        if std::mem::replace(&mut inner.idle_check_scheduled, true) {
            return;
        }
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            sleep(Duration::from_millis(linger_ms)).await;
            let mut inner = lock(&pool.inner);
            inner.idle_check_scheduled = false;
            for id in inner.connections.take_idle(now_ms()) {
                inner.free.remove(&id);
            }
            if !inner.free.is_empty() {
                pool.schedule_idle_check(&mut inner);
            }
        });
    }

    /// Removes a closed connection; opens another one if sessions wait.
    fn note_closed(self: &Arc<Self>, inner: &mut Inner, id: ConnectionId) {
        let next = inner.connections.closed(now_ms(), id);
        if let Some(workspace) = next {
            self.open(workspace);
        }
    }
}

/// Reports a failed attempt to open a connection when dropped, unless `workspace` is `None`.
struct OpeningGuard<'a> {
    pool: &'a Arc<Pool>,
    workspace: Option<Name>,
}

impl Drop for OpeningGuard<'_> {
    fn drop(&mut self) {
        let Some(workspace) = self.workspace.take() else {
            return;
        };
        let next = lock(&self.pool.inner)
            .connections
            .open_failed(now_ms(), &workspace);
        if let Some(workspace) = next {
            self.pool.open(workspace);
        }
    }
}

/// A session in the queue. When dropped, it leaves the queue and releases a connection that it has
/// received but not taken.
struct Waiter<'a> {
    pool: &'a Arc<Pool>,
    ticket: Ticket,
    receiver: oneshot::Receiver<OpenConnection>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        {
            let mut inner = lock(&self.pool.inner);
            inner.connections.cancel(self.ticket);
            inner.waiters.remove(&self.ticket);
        }
        if let Ok((id, connection)) = self.receiver.try_recv() {
            self.pool
                .release(&mut lock(&self.pool.inner), id, *connection);
        }
    }
}

impl Inner {
    /// Takes a free connection, or returns whether the caller may open one.
    fn take(
        &mut self,
        request: ConnectionRequest<'_>,
        insist: bool,
    ) -> (Option<OpenConnection>, bool) {
        let values = hash_values(request.values);
        loop {
            match self
                .connections
                .take(now_ms(), request.workspace, values, insist)
            {
                Take::Reuse(id) => match self.free.remove(&id) {
                    Some(connection) if connection.is_usable() => {
                        return (Some((id, Box::new(connection))), false);
                    }
                    _ => self.connections.remove_closed(id),
                },
                Take::Open => return (None, true),
                Take::Replace(id) => {
                    self.free.remove(&id);
                    return (None, true);
                }
                Take::Wait => return (None, false),
            }
        }
    }

    /// Closes free connections over the capacity.
    fn trim(&mut self) {
        for id in self.connections.trim(now_ms()) {
            self.free.remove(&id);
        }
    }

    /// Records that a connection could not be opened.
    fn record_open_failure(&mut self, error: OpenError) {
        let now = now_ms();
        let (pause, error) = match error {
            OpenError::Refused(code) => (REFUSED_PAUSE_MS, Unavailable::Refused(code)),
            OpenError::Unreached => (UNREACHED_PAUSE_MS, Unavailable::Unreached),
        };
        self.connections.pause_opening(now + pause);
        self.last_failure = Some((now + pause, error));
        // The closed channel ends the wait of all sessions, unless a connection in use may still
        // become free.
        if self.connections.is_empty() {
            self.waiters.clear();
        }
    }

    /// The failure for which sessions are refused without waiting, if there is one.
    fn current_failure(&self) -> Option<Unavailable> {
        let (until, error) = self.last_failure?;
        (now_ms() < until && self.connections.is_empty()).then_some(error)
    }
}

/// Hash of session values.
fn hash_values(values: &SessionValues) -> u64 {
    let mut hasher = DefaultHasher::new();
    values.hash(&mut hasher);
    hasher.finish()
}

/// Counts a statement at a member until dropped.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<Pool>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.update_load(Load::end);
    }
}

impl PooledConnection {
    /// The member that the connection goes to.
    pub(crate) fn target(&self) -> &Target {
        &self.pool.target
    }

    /// The pool that the connection belongs to.
    pub(crate) fn pool(&self) -> &Pool {
        &self.pool
    }

    /// The connection; `None` after it was closed.
    pub(crate) fn connection(&mut self) -> Option<&mut MemberConnection> {
        self.connection.as_mut()
    }

    /// Closes the connection; the member then rolls back a transaction that is open on it.
    pub(crate) fn close(&mut self) {
        if self.connection.take().is_some() {
            self.pool.note_closed(&mut lock(&self.pool.inner), self.id);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            let mut inner = lock(&self.pool.inner);
            self.pool.release(&mut inner, self.id, connection);
        }
    }
}
