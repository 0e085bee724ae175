//! Connections to one member, shared by all sessions of this host.
//!
//! A member accepts few connections from all hosts together, so each host keeps to its part. Whoever
//! finds none free waits in order of priority; a connection that is given back goes to a waiter of the
//! same workspace where one waits in the first rank, else it is closed for a waiter of another.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use hemlockcrank_core::{Name, balance::Load};
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
/// Most sessions that may wait for one member.
const MAX_WAITING: usize = 512;

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

#[derive(Debug)]
enum Given {
    Link(Box<Link>),
    Permit,
}

#[derive(Debug)]
struct Waiter {
    workspace: Name,
    give: oneshot::Sender<Given>,
}

#[derive(Debug, Default)]
struct Inner {
    idle: Vec<Link>,
    open: usize,
    capacity: usize,
    crowded_until: u64,
    waiting: BTreeMap<(u32, u64), Waiter>,
    next: u64,
    load: Load,
}

/// All connections of this host to one member.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) target: Target,
    dialect: Dialect,
    inner: Mutex<Inner>,
}

/// Work at a member, counted until dropped.
#[derive(Debug)]
pub(crate) struct Busy(Arc<Pool>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.note(Load::end);
    }
}

/// A connection in use; given back when dropped, unless it was spoilt.
#[derive(Debug)]
pub(crate) struct Loan {
    pool: Arc<Pool>,
    link: Option<Link>,
}

impl Pool {
    pub(crate) fn new(dialect: Dialect, target: Target, capacity: usize) -> Arc<Self> {
        let inner = Inner {
            capacity,
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
        lock(&self.inner).capacity = capacity;
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
        lock(&self.inner)
            .idle
            .iter()
            .any(|link| link.workspace == *workspace)
    }

    /// Closes all free connections.
    pub(crate) fn close_idle(&self) {
        let mut inner = lock(&self.inner);
        inner.open -= inner.idle.len();
        inner.idle.clear();
    }

    /// Takes a connection, opens one or waits for one.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        wish: Wish<'_>,
        limit: Duration,
    ) -> Result<Loan, Unavailable> {
        let waiting = match self.try_take(wish) {
            Ok(given) => return self.redeem(given, wish).await,
            Err(waiting) => waiting,
        };
        let Some(mut waiting) = waiting else {
            return Err(Unavailable::Late);
        };
        match timeout(limit, &mut waiting).await {
            Ok(Ok(given)) => self.redeem(given, wish).await,
            _ => {
                waiting.close();
                if let Ok(given) = waiting.try_recv() {
                    self.give_back(given);
                }
                Err(Unavailable::Late)
            }
        }
    }

    /// A free connection or the right to open one, else a place in the queue, unless that is full.
    fn try_take(
        self: &Arc<Self>,
        wish: Wish<'_>,
    ) -> Result<Given, Option<oneshot::Receiver<Given>>> {
        let mut inner = lock(&self.inner);
        while let Some(index) = inner.best_idle(wish) {
            let link = inner.idle.swap_remove(index);
            if link.is_usable() {
                return Ok(Given::Link(Box::new(link)));
            }
            inner.open -= 1;
        }
        if inner.has_room() {
            inner.open += 1;
            return Ok(Given::Permit);
        }
        if inner.evict_idle() {
            return Ok(Given::Permit);
        }
        if inner.waiting.len() >= MAX_WAITING {
            return Err(None);
        }
        let (give, waiting) = oneshot::channel();
        let ticket = (wish.priority, inner.next);
        inner.next += 1;
        let workspace = wish.workspace.clone();
        inner.waiting.insert(ticket, Waiter { workspace, give });
        Err(Some(waiting))
    }

    async fn redeem(self: &Arc<Self>, given: Given, wish: Wish<'_>) -> Result<Loan, Unavailable> {
        let mut permit = Permit(Some(self));
        let link = match given {
            Given::Link(link) if link.workspace == *wish.workspace => *link,
            _ => {
                let opened = Link::open(self.dialect, &self.target, wish.workspace, OPEN_LIMIT);
                match opened.await {
                    Ok(link) => link,
                    Err(OpenError::Refused(code)) => {
                        if code == Code::TooMany {
                            lock(&self.inner).crowded_until = now_ms() + CROWDED_MS;
                        }
                        return Err(Unavailable::Refused(code));
                    }
                    Err(OpenError::Unreached) => return Err(Unavailable::Unreached),
                }
            }
        };
        permit.0 = None;
        Ok(Loan {
            pool: Arc::clone(self),
            link: Some(link),
        })
    }

    fn give_back(&self, given: Given) {
        let mut inner = lock(&self.inner);
        match given {
            Given::Link(link) => inner.release(*link),
            Given::Permit => inner.close_one(),
        }
    }
}

/// The right to have one connection; given back when dropped.
struct Permit<'a>(Option<&'a Arc<Pool>>);

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        if let Some(pool) = self.0 {
            lock(&pool.inner).close_one();
        }
    }
}

impl Inner {
    fn has_room(&self) -> bool {
        self.open < self.capacity && now_ms() >= self.crowded_until
    }

    /// Free connection of the workspace, best with the same values.
    fn best_idle(&self, wish: Wish<'_>) -> Option<usize> {
        let own = self.idle.iter().enumerate();
        let own = own.filter(|(_, link)| link.workspace == *wish.workspace);
        let best = own.max_by_key(|(_, link)| (link.values == *wish.values, link.used_at));
        best.map(|(index, _)| index)
    }

    /// Closes the free connection that was used longest ago; its place is then the caller's.
    fn evict_idle(&mut self) -> bool {
        let oldest = self
            .idle
            .iter()
            .enumerate()
            .min_by_key(|(_, link)| link.used_at);
        match oldest.map(|(index, _)| index) {
            Some(index) => {
                self.idle.swap_remove(index);
                true
            }
            None => false,
        }
    }

    /// Hands a connection on, or keeps it.
    fn release(&mut self, link: Link) {
        let mut link = Some(Box::new(link));
        while let Some(first) = self.waiting.keys().next().copied() {
            let same = self
                .waiting
                .iter()
                .take_while(|(ticket, _)| ticket.0 == first.0);
            let workspace = link.as_ref().map(|link| link.workspace.clone());
            let mut same = same.filter(|(_, waiter)| Some(&waiter.workspace) == workspace.as_ref());
            let ticket = same.next().map_or(first, |(ticket, _)| *ticket);
            let Some(waiter) = self.waiting.remove(&ticket) else {
                break;
            };
            let fits = Some(&waiter.workspace) == workspace.as_ref();
            let given = match link.take() {
                Some(link) if fits => Given::Link(link),
                _ => Given::Permit,
            };
            match waiter.give.send(given) {
                Ok(()) => return,
                Err(Given::Link(back)) => link = Some(back),
                Err(Given::Permit) => {}
            }
        }
        match link {
            Some(link) => self.idle.push(*link),
            None => self.open = self.open.saturating_sub(1),
        }
    }

    /// Hands the place of a closed connection on, or gives it up.
    fn close_one(&mut self) {
        while let Some((_, waiter)) = self.waiting.pop_first() {
            if waiter.give.send(Given::Permit).is_ok() {
                return;
            }
        }
        self.open = self.open.saturating_sub(1);
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
            lock(&self.pool.inner).close_one();
        }
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        if let Some(mut link) = self.link.take() {
            link.used_at = now_ms();
            lock(&self.pool.inner).release(link);
        }
    }
}
