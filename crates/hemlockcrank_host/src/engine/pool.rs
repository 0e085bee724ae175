//! Connections to one member, shared by all sessions of this host.
//!
//! Who gets which connection is decided by [`hemlockcrank_core::places`]; here are the connections
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
    places::{Places, Release, Take, Ticket},
};
use tokio::{sync::oneshot, time::timeout};

use super::{
    Code, Dialect,
    link::{Link, OpenError, Target, Values},
};
use crate::{clock::now_ms, sync::lock};

/// Longest wait for a new connection.
const OPEN_LIMIT: Duration = Duration::from_millis(600);
/// Time for which a refused connection lowers the limit, in milliseconds.
const CROWDED_MS: u64 = 300;
/// Wait for a connection of the own workspace, before another's place is taken.
const OWN_WAIT: Duration = Duration::from_millis(40);

/// Why there is no connection. Nothing has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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

/// A connection, or the right to open one.
#[derive(Debug)]
enum Given {
    Link(u64, Box<Link>),
    Place,
}

#[derive(Debug, Default)]
struct Inner {
    places: Places,
    free: HashMap<u64, Link>,
    waiting: HashMap<Ticket, oneshot::Sender<Given>>,
    load: Load,
}

/// All connections of this host to one member.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) target: Target,
    dialect: Dialect,
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
    pub(crate) fn new(dialect: Dialect, target: Target, capacity: usize) -> Arc<Self> {
        let inner = Inner {
            places: Places::new(capacity),
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
        lock(&self.inner).places.set_capacity(capacity);
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
        inner.places.drop_free();
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
            return self.redeem(given, wish).await;
        }
        let rest = limit.saturating_sub(own);
        match self.take_or_wait(wish, true, rest).await? {
            Some(given) => self.redeem(given, wish).await,
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
            if let Some(given) = inner.take(wish, insist) {
                return Ok(Some(given));
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
            _ => Ok(queued.given.try_recv().ok()),
        }
    }

    async fn redeem(self: &Arc<Self>, given: Given, wish: Wish<'_>) -> Result<Loan, Unavailable> {
        if let Given::Link(number, link) = given {
            return Ok(self.lend(number, *link));
        }
        let mut place = Place(Some(self));
        let opened = Link::open(self.dialect, &self.target, wish.workspace, OPEN_LIMIT);
        match opened.await {
            Ok(link) => {
                place.0 = None;
                let number = lock(&self.inner)
                    .places
                    .opened(now_ms(), wish.workspace.clone());
                Ok(self.lend(number, link))
            }
            Err(OpenError::Refused(code)) => {
                if code == Code::TooMany {
                    lock(&self.inner).places.crowd(now_ms() + CROWDED_MS);
                }
                Err(Unavailable::Refused(code))
            }
            Err(OpenError::Unreached) => Err(Unavailable::Unreached),
        }
    }

    fn lend(self: &Arc<Self>, number: u64, link: Link) -> Loan {
        Loan {
            pool: Arc::clone(self),
            number,
            link: Some(link),
        }
    }

    /// A session that is handed something has gone meanwhile: the next one gets it.
    fn give_back(&self, given: Given) {
        let mut inner = lock(&self.inner);
        match given {
            Given::Link(number, link) => inner.release(number, *link),
            Given::Place => inner.not_opened(),
        }
    }
}

/// The right to open a connection; given back when dropped.
struct Place<'a>(Option<&'a Arc<Pool>>);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if let Some(pool) = self.0 {
            lock(&pool.inner).not_opened();
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
            inner.places.leave(self.ticket);
            inner.waiting.remove(&self.ticket);
        }
        if let Ok(given) = self.given.try_recv() {
            self.pool.give_back(given);
        }
    }
}

impl Inner {
    fn take(&mut self, wish: Wish<'_>, insist: bool) -> Option<Given> {
        let values = sum_of(wish.values);
        loop {
            match self.places.take(now_ms(), wish.workspace, values, insist) {
                Take::Reuse(number) => match self.free.remove(&number) {
                    Some(link) if link.is_usable() => {
                        return Some(Given::Link(number, Box::new(link)));
                    }
                    _ => self.closed(number),
                },
                Take::Open => return Some(Given::Place),
                Take::Replace(number) => {
                    self.free.remove(&number);
                    return Some(Given::Place);
                }
                Take::Wait => return None,
            }
        }
    }

    /// Hands a connection on, or keeps it.
    fn release(&mut self, number: u64, link: Link) {
        self.places.set_values(number, sum_of(&link.values));
        match self.places.release(now_ms(), number) {
            Release::Keep => {
                self.free.insert(number, link);
            }
            Release::Give(ticket) => self.give(ticket, Given::Link(number, Box::new(link))),
            Release::Replace(ticket) => self.give(ticket, Given::Place),
        }
    }

    fn closed(&mut self, number: u64) {
        if let Some(ticket) = self.places.closed(number) {
            self.give(ticket, Given::Place);
        }
    }

    fn not_opened(&mut self) {
        if let Some(ticket) = self.places.not_opened() {
            self.give(ticket, Given::Place);
        }
    }

    fn give(&mut self, ticket: Ticket, given: Given) {
        let unsent = match self.waiting.remove(&ticket) {
            Some(waiter) => waiter.send(given).err(),
            None => Some(given),
        };
        match unsent {
            Some(Given::Link(number, link)) => self.release(number, *link),
            Some(Given::Place) => self.not_opened(),
            None => {}
        }
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
    /// The connection.
    pub(crate) fn link(&mut self) -> Option<&mut Link> {
        self.link.as_mut()
    }

    /// Closes the connection; the member then rolls back what is open on it.
    pub(crate) fn spoil(&mut self) {
        if self.link.take().is_some() {
            lock(&self.pool.inner).closed(self.number);
        }
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        if let Some(link) = self.link.take() {
            lock(&self.pool.inner).release(self.number, link);
        }
    }
}
