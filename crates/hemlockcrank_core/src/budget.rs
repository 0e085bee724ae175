//! Which connections are closed when the clients of a host use too much of it.
//!
//! Every connection has an account. It holds bytes while a message of the client is incomplete, while
//! its work is queued, or while an answer is unread. When all accounts together hold more than the
//! limit, the largest and slowest are closed first: those with the largest product of bytes and time.
//! An account whose work is in progress is not chosen, because its statement may have an effect; it is
//! refused before it begins instead.
//!
//! Ports other than that of callers also have a limit on connections. Beyond it, the connection that has
//! been without a completed message for the longest time is closed. Connections that have proved to be
//! our own hosts' are exempt.
//!
//! ```
//! use hemlockcrank_core::budget::{Budget, Limits, Port};
//!
//! let mut budget = Budget::new(Limits { bytes: 1_000, connections: 10, message_ms: 30_000 });
//! let (slow, _) = budget.open(0, Port::Callers);
//! let (quick, _) = budget.open(0, Port::Callers);
//! assert!(budget.hold(0, slow, 900).is_empty());
//! let closed = budget.hold(5_000, quick, 200);
//! assert_eq!(closed[0].id, slow);
//! ```

use std::collections::BTreeMap;

use strum::{Display, IntoStaticStr};

/// Time that is added to the age of what an account holds when accounts are compared, in milliseconds:
/// among new ones the size decides.
const AGE_OFFSET_MS: u64 = 1_000;

/// Part of the limit that connections may hold after they were chosen, as a divisor, before others wait
/// for them.
const CLOSING_DIVISOR: u64 = 8;

/// Identifies an account.
pub type Id = u64;

/// What a connection was accepted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Port {
    /// Sessions of callers, whose number is limited where they are accepted.
    Callers,
    /// Other hosts.
    Peers,
    /// Operators, the balancer and metrics over HTTP.
    Operators,
    /// Operators and members of a platform.
    Control,
    /// The balancer of a platform.
    Ready,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// All accounts together held more than the limit.
    Bytes,
    /// The port had too many connections.
    Connections,
    /// A message was not completed, or an answer not taken, in time.
    Slow,
}

/// Limits of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of all accounts together.
    pub bytes: u64,
    /// Connections to each port other than that of callers.
    pub connections: usize,
    /// Time in which a message that has begun is completed, in milliseconds.
    pub message_ms: u64,
}

/// A connection to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closing {
    /// Its account.
    pub id: Id,
    /// Its port.
    pub port: Port,
    /// Bytes that it held.
    pub bytes: u64,
    /// Time since it completed a message or began the present one, in milliseconds.
    pub age_ms: u64,
    /// Why it is closed.
    pub reason: Reason,
}

/// No room for the work of an account; it must not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

#[derive(Clone, Copy, Debug)]
struct Account {
    port: Port,
    bytes: u64,
    /// Bytes that the client's session keeps between messages.
    kept: u64,
    /// When the present message began, or the last one was completed.
    since: u64,
    is_working: bool,
    is_trusted: bool,
}

impl Account {
    fn total(&self) -> u64 {
        self.bytes + self.kept
    }

    fn age_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.since)
    }

    /// The account with the highest weight is closed first. After `message_ms` age no longer counts,
    /// so that an old account with few bytes does not outweigh a large one.
    fn weight(&self, now: u64, message_ms: u64) -> u64 {
        let age_ms = self.age_ms(now).min(message_ms) + AGE_OFFSET_MS;
        self.total().saturating_mul(age_ms)
    }
}

/// The accounts of all connections of a host.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    accounts: BTreeMap<Id, Account>,
    held: u64,
    /// Bytes of connections that were chosen and have not been closed yet.
    closing: BTreeMap<Id, u64>,
    closing_bytes: u64,
    next_id: Id,
}

impl Budget {
    /// A budget without accounts.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            accounts: BTreeMap::new(),
            held: 0,
            closing: BTreeMap::new(),
            closing_bytes: 0,
            next_id: 0,
        }
    }

    /// Bytes that all accounts hold.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Opens an account. Returns its number, and the connection that has to make room for it.
    pub fn open(&mut self, now: u64, port: Port) -> (Id, Option<Closing>) {
        let id = self.next_id;
        self.next_id += 1;
        let full = port != Port::Callers && self.connections(port) >= self.limits.connections;
        let closing = full.then(|| self.longest_idle(port)).flatten();
        let closing = closing.and_then(|id| self.evict(now, id, Reason::Connections));
        let account = Account {
            port,
            bytes: 0,
            kept: 0,
            since: now,
            is_working: false,
            is_trusted: false,
        };
        self.accounts.insert(id, account);
        (id, closing)
    }

    /// Sets the bytes of an incomplete message or an unread answer; returns the connections to close,
    /// which may include this one.
    pub fn hold(&mut self, now: u64, id: Id, bytes: u64) -> Vec<Closing> {
        let account = self.accounts.get_mut(&id);
        let Some(account) = account.filter(|account| !account.is_trusted) else {
            return Vec::new();
        };
        if account.bytes == 0 {
            account.since = now;
        }
        self.held = self.held - account.bytes + bytes;
        account.bytes = bytes;
        self.make_room(now)
    }

    /// Sets the bytes that a session keeps between messages; returns the connections to close, which may
    /// include this one.
    pub fn keep(&mut self, now: u64, id: Id, kept: u64) -> Vec<Closing> {
        let Some(account) = self.accounts.get_mut(&id) else {
            return Vec::new();
        };
        self.held = self.held - account.kept + kept;
        account.kept = kept;
        self.make_room(now)
    }

    /// Begins the work for a message that is complete; `bytes` is what it holds until it ends. Returns
    /// the connections to close in favour of it.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if the work of others takes all of the limit, or the account was closed.
    pub fn begin_work(&mut self, now: u64, id: Id, bytes: u64) -> Result<Vec<Closing>, NoRoom> {
        let account = self.accounts.get_mut(&id).ok_or(NoRoom)?;
        let others = self.held - account.bytes;
        self.held = others + bytes;
        account.bytes = bytes;
        account.since = now;
        account.is_working = true;
        let own = account.total();
        let closed = self.make_room(now);
        // An account alone may exceed the limit, so that a low limit does not refuse every message.
        if self.held > self.limits.bytes && self.held > own {
            if let Some(account) = self.accounts.get_mut(&id) {
                account.is_working = false;
            }
            self.hold(now, id, 0);
            return Err(NoRoom);
        }
        Ok(closed)
    }

    /// A message was completed or an answer taken, and no work is in progress: the account holds only
    /// what its session keeps. Returns the connections to close, which may include this one.
    pub fn settle(&mut self, now: u64, id: Id) -> Vec<Closing> {
        if let Some(account) = self.accounts.get_mut(&id) {
            self.held -= account.bytes;
            account.bytes = 0;
            account.since = now;
            account.is_working = false;
        }
        self.make_room(now)
    }

    /// Exempts a connection that has proved to be one of our own hosts.
    pub fn trust(&mut self, id: Id) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.is_trusted = true;
            self.held -= account.total();
            account.bytes = 0;
            account.kept = 0;
        }
    }

    /// Removes an account.
    pub fn close(&mut self, id: Id) {
        if let Some(account) = self.accounts.remove(&id) {
            self.held -= account.total();
        }
        if let Some(bytes) = self.closing.remove(&id) {
            self.closing_bytes -= bytes;
        }
    }

    /// Whether a large message of this account is read no further for now, because connections that were
    /// chosen still hold much. Our own hosts never wait for clients.
    pub fn must_wait(&self, id: Id) -> bool {
        let account = self.accounts.get(&id);
        let is_trusted = account.is_some_and(|account| account.is_trusted);
        !is_trusted && self.closing_bytes > self.limits.bytes / CLOSING_DIVISOR
    }

    /// Connections whose message has not been completed, or whose answer has not been taken, in time.
    pub fn overdue(&mut self, now: u64) -> Vec<Closing> {
        let limit_ms = self.limits.message_ms;
        let overdue = self.accounts.iter().filter(|(_, account)| {
            account.bytes > 0 && !account.is_working && account.age_ms(now) > limit_ms
        });
        let overdue: Vec<Id> = overdue.map(|(id, _)| *id).collect();
        let evict = |id| self.evict(now, id, Reason::Slow);
        overdue.into_iter().filter_map(evict).collect()
    }

    fn make_room(&mut self, now: u64) -> Vec<Closing> {
        let mut closed = Vec::new();
        while self.held > self.limits.bytes {
            let message_ms = self.limits.message_ms;
            let candidates = self
                .accounts
                .iter()
                .filter(|(_, account)| account.total() > 0 && !account.is_working);
            let heaviest = candidates.max_by_key(|(_, account)| account.weight(now, message_ms));
            let heaviest = heaviest.map(|(id, _)| *id);
            let Some(closing) = heaviest.and_then(|id| self.evict(now, id, Reason::Bytes)) else {
                break;
            };
            closed.push(closing);
        }
        closed
    }

    fn connections(&self, port: Port) -> usize {
        let counted = |account: &&Account| account.port == port && !account.is_trusted;
        self.accounts.values().filter(counted).count()
    }

    fn longest_idle(&self, port: Port) -> Option<Id> {
        let counted = self
            .accounts
            .iter()
            .filter(|(_, account)| account.port == port && !account.is_trusted);
        let oldest = counted.min_by_key(|(_, account)| account.since);
        oldest.map(|(id, _)| *id)
    }

    fn evict(&mut self, now: u64, id: Id, reason: Reason) -> Option<Closing> {
        let account = self.accounts.remove(&id)?;
        let bytes = account.total();
        self.held -= bytes;
        self.closing.insert(id, bytes);
        self.closing_bytes += bytes;
        Some(Closing {
            id,
            port: account.port,
            bytes,
            age_ms: account.age_ms(now),
            reason,
        })
    }
}
