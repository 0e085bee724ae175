//! Connections to one member, shared by all sessions of this host.
//!
//! Who gets which connection is decided by [`hemlockcrank_core::connections`]; here are the connections
//! themselves and the sessions that wait.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::{Arc, Mutex},
    time::Duration,
};

use hemlockcrank_core::{
    Name,
    balance::Load,
    connections::{Connections, Release, Take, Ticket},
};
use strum::IntoStaticStr;
use tokio::{sync::oneshot, time::timeout};

use super::{
    Code, Protocol,
    link::{Link, OpenError, Target, Values},
};
use crate::{clock::now_ms, sync::lock};

/// Longest wait for a new connection; one that is given up has cost the member its slot for nothing.
const OPEN_LIMIT: Duration = Duration::from_millis(1_500);
/// Time for which a member that could not be reached is not tried again, in milliseconds.
const UNREACHED_MS: u64 = 150;
/// Time for which a refused connection lowers the limit, in milliseconds.
const CROWDED_MS: u64 = 300;
/// Wait for a connection of the own workspace, before another's place is taken.
const OWN_WAIT: Duration = Duration::from_millis(40);

/// Why there is no connection. Nothing has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Unavailable {
    /// None came free in time.
    Late,
    /// The member refused.
    Refused(Code),
    /// The member was not reached.
    Unreached,
}

/// What a connection is wanted for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wish<'a> {
    pub(crate) workspace: &'a Name,
    pub(crate) values: &'a Values,
    pub(crate) priority: u32,
}

/// A connection on its way to a session.
type Given = (u64, Box<Link>);

#[derive(Debug, Default)]
struct Inner {
    places: Connections,
    free: HashMap<u64, Link>,
    waiting: HashMap<Ticket, oneshot::Sender<Given>>,
    /// How the last connection could not be opened, and until when that counts.
    failed: Option<(u64, Unavailable)>,
    load: Load,
}

/// All connections of this host to one member.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) target: Target,
    dialect: Protocol,
    inner: Mutex<Inner>,
}

/// A connection in use; given back when dropped, unless it was spoilt.
#[derive(Debug)]
pub(crate) struct Loan {
    pool: Arc<Pool>,
    number: u64,
    link: Option<Link>,
}

impl Pool {
    pub(crate) fn new(dialect: Protocol, target: Target, capacity: usize) -> Arc<Self> {
        let inner = Inner {
            places: Connections::new(capacity),
            ..Inner::default()
        };
        Arc::new(Self {
            target,
            dialect,
            inner: Mutex::new(inner),
        })
    }

    /// Changes how many connections this host may have.
    pub(crate) fn set_capacity(&self, capacity: usize) {
        let mut inner = lock(&self.inner);
        inner.places.set_capacity(capacity);
        inner.trim();
    }

    /// What this host has seen of the member.
    pub(crate) fn load(&self) -> Load {
        lock(&self.inner).load
    }

    /// Changes what this host has seen of the member.
    pub(crate) fn note<F>(&self, change: F)
    where
        F: FnOnce(&mut Load),
    {
        change(&mut lock(&self.inner).load);
    }

    /// Counts work at the member until dropped.
    pub(crate) fn busy(self: &Arc<Self>) -> Busy {
        self.note(Load::begin);
        Busy(Arc::clone(self))
    }

    /// Whether a connection for the workspace is free.
    pub(crate) fn has_idle(&self, workspace: &Name) -> bool {
        lock(&self.inner).places.has_free(workspace)
    }

    /// Closes all free connections.
    pub(crate) fn close_idle(&self) {
        let mut inner = lock(&self.inner);
        inner.places.drain_free();
        inner.free.clear();
    }

    /// Takes a connection, opens one or waits for one.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        wish: Wish<'_>,
        limit: Duration,
    ) -> Result<Loan, Unavailable> {
        let own = OWN_WAIT.min(limit);
        if let Some(given) = self.take_or_wait(wish, false, own).await? {
            return Ok(self.lend(given));
        }
        let rest = limit.saturating_sub(own);
        match self.take_or_wait(wish, true, rest).await? {
            Some(given) => Ok(self.lend(given)),
            None => Err(Unavailable::Late),
        }
    }

    /// Waits for `limit` where nothing is to be had at once.
    async fn take_or_wait(
        self: &Arc<Self>,
        wish: Wish<'_>,
        insist: bool,
        limit: Duration,
    ) -> Result<Option<Given>, Unavailable> {
        let mut queued = {
            let mut inner = lock(&self.inner);
            let (given, open) = inner.take(wish, insist);
            if given.is_some() {
                return Ok(given);
            }
            if open {
                self.open(wish.workspace.clone());
            } else if let Some(error) = inner.failure() {
                return Err(error);
            }
            let ticket = inner.places.wait(wish.workspace.clone(), wish.priority);
            let ticket = ticket.ok_or(Unavailable::Late)?;
            let (give, given) = oneshot::channel();
            inner.waiting.insert(ticket, give);
            Queued {
                pool: self,
                ticket,
                given,
            }
        };
        match timeout(limit, &mut queued.given).await {
            Ok(Ok(given)) => Ok(Some(given)),
            Ok(Err(_)) => Err(lock(&self.inner).failure().unwrap_or(Unavailable::Late)),
            Err(_) => Ok(queued.given.try_recv().ok()),
        }
    }

    /// Opens a connection in the background, for whoever then waits.
    fn open(self: &Arc<Self>, workspace: Name) {
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            let mut place = Place {
                pool: &pool,
                workspace: Some(workspace.clone()),
            };
            let opened = Link::open(pool.dialect, &pool.target, &workspace, OPEN_LIMIT).await;
            match opened {
                Ok(link) => {
                    place.workspace = None;
                    let mut inner = lock(&pool.inner);
                    inner.failed = None;
                    let number = inner.places.opened(now_ms(), workspace);
                    pool.release(&mut inner, number, link);
                }
                Err(error) => lock(&pool.inner).fail(error),
            }
        });
    }

    fn lend(self: &Arc<Self>, (number, link): Given) -> Loan {
        Loan {
            pool: Arc::clone(self),
            number,
            link: Some(*link),
        }
    }

    /// Hands a connection on, or keeps it.
    fn release(self: &Arc<Self>, inner: &mut Inner, number: u64, link: Link) {
        inner
            .places
            .set_session_values(number, sum_of(&link.values));
        match inner.places.release(now_ms(), number) {
            Release::Keep => {
                inner.free.insert(number, link);
                inner.trim();
            }
            Release::Give(ticket) => {
                let given = (number, Box::new(link));
                let unsent = match inner.waiting.remove(&ticket) {
                    Some(waiter) => waiter.send(given).err(),
                    None => Some(given),
                };
                if let Some((number, link)) = unsent {
                    self.release(inner, number, *link);
                }
            }
            Release::Replace(workspace) => self.open(workspace),
        }
    }

    fn closed(self: &Arc<Self>, number: u64) {
        let next = lock(&self.inner).places.closed(now_ms(), number);
        if let Some(workspace) = next {
            self.open(workspace);
        }
    }
}

/// The place of a connection that is being opened; given up when dropped.
struct Place<'a> {
    pool: &'a Arc<Pool>,
    workspace: Option<Name>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let Some(workspace) = self.workspace.take() else {
            return;
        };
        let next = lock(&self.pool.inner)
            .places
            .open_failed(now_ms(), &workspace);
        if let Some(workspace) = next {
            self.pool.open(workspace);
        }
    }
}

/// A place in the queue; left when dropped, and what had been handed over goes to the next one.
struct Queued<'a> {
    pool: &'a Arc<Pool>,
    ticket: Ticket,
    given: oneshot::Receiver<Given>,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        {
            let mut inner = lock(&self.pool.inner);
            inner.places.cancel(self.ticket);
            inner.waiting.remove(&self.ticket);
        }
        if let Ok((number, link)) = self.given.try_recv() {
            self.pool
                .release(&mut lock(&self.pool.inner), number, *link);
        }
    }
}

impl Inner {
    /// A free connection, and whether one is to be opened.
    fn take(&mut self, wish: Wish<'_>, insist: bool) -> (Option<Given>, bool) {
        let values = sum_of(wish.values);
        loop {
            match self.places.take(now_ms(), wish.workspace, values, insist) {
                Take::Reuse(number) => match self.free.remove(&number) {
                    Some(link) if link.is_usable() => {
                        return (Some((number, Box::new(link))), false);
                    }
                    _ => self.places.remove_closed(number),
                },
                Take::Open => return (None, true),
                Take::Replace(number) => {
                    self.free.remove(&number);
                    return (None, true);
                }
                Take::Wait => return (None, false),
            }
        }
    }

    /// Closes free connections over the room.
    fn trim(&mut self) {
        for number in self.places.trim(now_ms()) {
            self.free.remove(&number);
        }
    }

    /// Notes that a connection could not be opened.
    fn fail(&mut self, error: OpenError) {
        let now = now_ms();
        let (pause, error) = match error {
            OpenError::Refused(code) => (CROWDED_MS, Unavailable::Refused(code)),
            OpenError::Unreached => (UNREACHED_MS, Unavailable::Unreached),
        };
        self.places.pause_opening(now + pause);
        self.failed = Some((now + pause, error));
        // Whoever waits is told by the closed channel, unless a connection in use may still come free.
        if self.places.is_empty() {
            self.waiting.clear();
        }
    }

    /// Why nothing can be had here for a moment.
    fn failure(&self) -> Option<Unavailable> {
        let (until, error) = self.failed?;
        (now_ms() < until && self.places.is_empty()).then_some(error)
    }
}

/// A number that stands for session values.
fn sum_of(values: &Values) -> u64 {
    let mut hasher = DefaultHasher::new();
    values.hash(&mut hasher);
    hasher.finish()
}

/// Work at a member, counted until dropped.
#[derive(Debug)]
pub(crate) struct Busy(Arc<Pool>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.note(Load::end);
    }
}

impl Loan {
    /// Where the connection goes.
    pub(crate) fn target(&self) -> &Target {
        &self.pool.target
    }

    /// The connection.
    pub(crate) fn link(&mut self) -> Option<&mut Link> {
        self.link.as_mut()
    }

    /// Closes the connection; the member then rolls back what is open on it.
    pub(crate) fn spoil(&mut self) {
        if self.link.take().is_some() {
            self.pool.closed(self.number);
        }
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        if let Some(link) = self.link.take() {
            let mut inner = lock(&self.pool.inner);
            self.pool.release(&mut inner, self.number, link);
        }
    }
}
