//! Decisions of one host's connection pool for one member: which session reuses, opens, replaces or waits
//! for a connection.
//!
//! The number of connections is limited. A connection belongs to one workspace for its lifetime, and
//! opening one costs the member more than a short statement does. So a workspace with a connection in use
//! waits a moment for it before it replaces a connection of another workspace. The connection that is
//! replaced is one of the workspace that uses its connections least, not the least recently used one.
//!
//! Few connections are opened at a time, and none for a particular session: sessions wait in a queue, and
//! a connection that is opened after its session has given up serves the next one. Otherwise a member
//! that is slow to open connections would spend its slots on connections that no session waits for any
//! more. For the same reason connections are replaced only so often that opening takes a small part of
//! the time: if many workspaces compete for few connections, those that have one are served and the
//! others wait or are refused.
//!
//! On a large site a member accepts fewer connections than there are hosts. Then a host opens
//! connections as it needs them and closes them after a while of idleness ([`Capacity::fleet`]), so that
//! the member always has room for the hosts that need one now.
//!
//! ```
//! use hemlockcrank_core::connections::{Connections, Release, Take};
//!
//! let mut connections = Connections::new(1);
//! assert_eq!(connections.take(0, &"loud".into(), 0, false), Take::Open);
//! let ticket = connections.wait("loud".into(), 0);
//! let id = connections.opened(20, "loud".into());
//! assert_eq!(connections.release(20, id), ticket.map_or(Release::Keep, Release::Give));
//! ```

mod capacity;
mod open_time;

use std::collections::BTreeMap;

use crate::{Name, usage::Usage};

pub use capacity::{Capacity, Fleet};
use open_time::OpenTime;

/// Sessions that may wait for each connection. In a longer queue, the last ones would be served too late
/// to be of use.
const WAITING_PER_CONNECTION: usize = 4;
/// Sessions that may always wait, for any number of connections.
const MIN_QUEUE: usize = 8;
/// Connections that may be opening at the same time.
const MAX_OPENING: usize = 2;
/// Half-life of a workspace's recorded use, in milliseconds.
const HALF_LIFE_MS: u64 = 2_000;
/// Workspaces whose use is kept, beyond those that were used lately.
const MAX_USAGES: usize = 64;
/// Use of another workspace, relative to the requesting workspace's own, up to which its connection is
/// replaced, in percent.
const REPLACE_PERCENT: u64 = 150;
/// Time between two openings, as a multiple of the time that an opening queues at the member.
const OPEN_INTERVAL_FACTOR: u64 = 12;
/// Openings that may follow each other at once after a time without openings.
const OPEN_BURST: u64 = 3;
/// Identifies a connection of the pool.
pub type ConnectionId = u64;
/// Identifies a waiting session: its rank (lower is served first) and its number in order of arrival.
pub type Ticket = (u32, u64);

/// Answer to [`Connections::take`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// Use this free connection.
    Reuse(ConnectionId),
    /// Open a new connection.
    Open,
    /// Close this connection, then open a new one.
    Replace(ConnectionId),
    /// No connection is available now.
    Wait,
}

/// What to do with a connection that was released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Release {
    /// Keep it free.
    Keep,
    /// Pass it to the waiting session.
    Give(Ticket),
    /// Close it, then open a new one for this workspace.
    Replace(Name),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Connection {
    workspace: Name,
    /// Hash of the session values that are set on the connection.
    session_values: u64,
    last_used_at: u64,
    free: bool,
}

/// A connection that is being opened.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Opening {
    workspace: Name,
    started_at: u64,
}

/// Connections of one host to one member, and the sessions that wait for them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Connections {
    capacity: Capacity,
    opening_paused_until: u64,
    opening: Vec<Opening>,
    open_time: OpenTime,
    /// Virtual time of the rate limit on openings: each opening advances it by the interval.
    opening_virtual_time: u64,
    connections: BTreeMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    waiting: BTreeMap<Ticket, Name>,
    next_ticket: u64,
    usage: BTreeMap<Name, Usage>,
    /// Use by all workspaces.
    total_usage: Usage,
}

impl Connections {
    /// No connections yet, and at most `capacity`.
    pub fn new<C>(capacity: C) -> Self
    where
        C: Into<Capacity>,
    {
        Self {
            capacity: capacity.into(),
            ..Self::default()
        }
    }

    /// Changes the number of connections allowed; see [`Connections::trim`].
    pub fn set_capacity<C>(&mut self, capacity: C)
    where
        C: Into<Capacity>,
    {
        self.capacity = capacity.into();
    }

    /// Time after which an idle connection is closed, in milliseconds; `None` if it is kept.
    pub fn linger_ms(&mut self, now: u64) -> Option<u64> {
        let uses = self.total_usage.weight(now, HALF_LIFE_MS);
        Some(self.capacity.fleet?.linger_ms(uses, HALF_LIFE_MS))
    }

    /// Removes the connections that have been idle for too long, for the caller to close.
    pub fn take_idle(&mut self, now: u64) -> Vec<ConnectionId> {
        let Some(linger_ms) = self.linger_ms(now) else {
            return Vec::new();
        };
        let idle = self.connections.iter().filter(|(_, connection)| {
            connection.free && now >= connection.last_used_at + linger_ms
        });
        let idle: Vec<ConnectionId> = idle.map(|(id, _)| *id).collect();
        for id in &idle {
            self.connections.remove(id);
        }
        idle
    }

    /// Removes free connections over the capacity, those of the least used workspaces first. The caller
    /// closes them, because other hosts may open that many instead.
    pub fn trim(&mut self, now: u64) -> Vec<ConnectionId> {
        if self.usage.len() > MAX_USAGES {
            self.usage
                .retain(|_, usage| usage.weight(now, HALF_LIFE_MS) > 0);
        }
        let mut removed = Vec::new();
        while self.connections.len() + self.opening.len() > self.capacity.connections {
            let Some(id) = self.least_used_free(now).map(|(_, id)| id) else {
                break;
            };
            self.connections.remove(&id);
            removed.push(id);
        }
        removed
    }

    /// Opens no additional connections before `until`, because the member refused one as too many.
    /// Connections may still be replaced.
    pub fn pause_opening(&mut self, until: u64) {
        self.opening_paused_until = until;
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Whether the workspace has a free connection.
    pub fn has_free(&self, workspace: &Name) -> bool {
        let mut connections = self.connections.values();
        connections.any(|connection| connection.free && connection.workspace == *workspace)
    }

    /// Takes a free connection, or the right to open one. With `has_waited`, the session no longer
    /// waits for a connection of its own workspace, and may replace one of any other workspace.
    pub fn take(
        &mut self,
        now: u64,
        workspace: &Name,
        session_values: u64,
        has_waited: bool,
    ) -> Take {
        if let Some(id) = self.best_free(workspace, session_values) {
            self.record_use(now, workspace);
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.free = false;
            }
            return Take::Reuse(id);
        }
        if self.opening.len() >= MAX_OPENING || self.is_opening(workspace) {
            return Take::Wait;
        }
        if !self.may_open(now) {
            return Take::Wait;
        }
        if self.has_capacity(now) {
            self.record_use(now, workspace);
            self.begin_opening(now, workspace.clone());
            return Take::Open;
        }
        let own = self
            .connections
            .values()
            .any(|connection| connection.workspace == *workspace);
        if own && !has_waited {
            return Take::Wait;
        }
        match self.replaceable(now, workspace, has_waited) {
            Some(id) => {
                self.record_use(now, workspace);
                self.replace(now, id, workspace.clone());
                Take::Replace(id)
            }
            None => Take::Wait,
        }
    }

    /// Adds a session to the queue; `None` when the queue is full.
    pub fn wait(&mut self, workspace: Name, rank: u32) -> Option<Ticket> {
        let max_waiting = (self.capacity.connections * WAITING_PER_CONNECTION).max(MIN_QUEUE);
        if self.waiting.len() >= max_waiting {
            return None;
        }
        let ticket = (rank, self.next_ticket);
        self.next_ticket += 1;
        self.waiting.insert(ticket, workspace);
        Some(ticket)
    }

    /// Removes a session from the queue; returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Adds a connection that was opened. It counts as in use until the caller releases it, which passes
    /// it to a waiting session if there is one.
    pub fn opened(&mut self, now: u64, workspace: Name) -> ConnectionId {
        if let Some(started_at) = self.end_opening(&workspace) {
            self.open_time.record(now.saturating_sub(started_at));
        }
        let id = self.next_id;
        self.next_id += 1;
        let connection = Connection {
            workspace,
            session_values: 0,
            last_used_at: now,
            free: false,
        };
        self.connections.insert(id, connection);
        id
    }

    /// Handles a connection that could not be opened; returns the workspace to open one for instead.
    pub fn open_failed(&mut self, now: u64, workspace: &Name) -> Option<Name> {
        self.end_opening(workspace);
        self.open_next(now)
    }

    /// Removes a free connection that the caller found closed. The caller may take or open another.
    pub fn remove_closed(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Removes a connection that has closed; returns the workspace to open one for instead.
    pub fn closed(&mut self, now: u64, id: ConnectionId) -> Option<Name> {
        self.connections.remove(&id)?;
        self.open_next(now)
    }

    /// Records the hash of the session values that are set on a connection.
    pub fn set_session_values(&mut self, id: ConnectionId, session_values: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.session_values = session_values;
        }
    }

    /// Releases a connection that is no longer in use. It is passed to a session of its workspace if one
    /// waits with the best rank of all waiting sessions. Otherwise it is replaced by a connection for
    /// another waiting workspace, or kept free.
    pub fn release(&mut self, now: u64, id: ConnectionId) -> Release {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Release::Keep;
        };
        connection.last_used_at = now;
        let workspace = connection.workspace.clone();
        let Some(first) = self.waiting.keys().next().copied() else {
            connection.free = true;
            return Release::Keep;
        };
        let mut best_ranked = self
            .waiting
            .iter()
            .take_while(|(ticket, _)| ticket.0 == first.0);
        let same_workspace = best_ranked.find(|(_, waiting)| **waiting == workspace);
        if let Some(ticket) = same_workspace.map(|(ticket, _)| *ticket) {
            self.waiting.remove(&ticket);
            self.record_use(now, &workspace);
            return Release::Give(ticket);
        }
        match self.next_workspace_to_open().filter(|_| self.may_open(now)) {
            Some(next) => {
                self.replace(now, id, next.clone());
                Release::Replace(next)
            }
            None => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.free = true;
                }
                Release::Keep
            }
        }
    }

    /// Removes all free connections and returns them, for the caller to close.
    pub fn drain_free(&mut self) -> Vec<ConnectionId> {
        let free = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.free);
        let free: Vec<ConnectionId> = free.map(|(id, _)| *id).collect();
        for id in &free {
            self.connections.remove(id);
        }
        free
    }

    fn has_capacity(&self, now: u64) -> bool {
        self.connections.len() + self.opening.len() < self.capacity.connections
            && now >= self.opening_paused_until
    }

    fn is_opening(&self, workspace: &Name) -> bool {
        let mut opening = self.opening.iter();
        opening.any(|opening| opening.workspace == *workspace)
    }

    fn begin_opening(&mut self, now: u64, workspace: Name) {
        self.opening_virtual_time = self.opening_virtual_time.max(now) + self.open_interval_ms();
        self.opening.push(Opening {
            workspace,
            started_at: now,
        });
    }

    /// Removes an opening of the workspace; returns when it started.
    fn end_opening(&mut self, workspace: &Name) -> Option<u64> {
        let mut opening = self.opening.iter();
        let index = opening.position(|opening| opening.workspace == *workspace)?;
        Some(self.opening.swap_remove(index).started_at)
    }

    /// Average time between openings that the rate limit allows, in milliseconds.
    fn open_interval_ms(&self) -> u64 {
        self.open_time.queueing_us() * OPEN_INTERVAL_FACTOR / 1_000
    }

    /// Whether the rate limit allows an opening now. The first connection may always be opened.
    fn may_open(&self, now: u64) -> bool {
        self.connections.is_empty()
            || self.opening_virtual_time <= now + (OPEN_BURST - 1) * self.open_interval_ms()
    }

    /// Removes a connection and begins to open one for `workspace`.
    fn replace(&mut self, now: u64, id: ConnectionId, workspace: Name) {
        self.connections.remove(&id);
        self.begin_opening(now, workspace);
    }

    /// Begins to open a connection for a waiting session, if one may be opened; returns its workspace.
    fn open_next(&mut self, now: u64) -> Option<Name> {
        let may_open = self.has_capacity(now) && self.may_open(now);
        let next = self.next_workspace_to_open().filter(|_| may_open)?;
        self.begin_opening(now, next.clone());
        Some(next)
    }

    /// Workspace of the first waiting session for whose workspace no connection is being opened.
    fn next_workspace_to_open(&self) -> Option<Name> {
        if self.opening.len() >= MAX_OPENING {
            return None;
        }
        let mut waiting = self.waiting.values();
        waiting
            .find(|workspace| !self.is_opening(workspace))
            .cloned()
    }

    /// Free connection of the workspace: preferably with the same session values, then the most recently
    /// used.
    fn best_free(&self, workspace: &Name, session_values: u64) -> Option<ConnectionId> {
        let own = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.free && connection.workspace == *workspace);
        let best = own.max_by_key(|(_, connection)| {
            (
                connection.session_values == session_values,
                connection.last_used_at,
            )
        });
        best.map(|(id, _)| *id)
    }

    /// Free connection that `workspace` may replace: of the least used workspace, unless that is used much
    /// more than `workspace` is. With `has_waited`, its use does not matter.
    fn replaceable(
        &mut self,
        now: u64,
        workspace: &Name,
        has_waited: bool,
    ) -> Option<ConnectionId> {
        let own_use = self.recent_use(now, workspace).max(Usage::one_use());
        let (use_per_connection, id) = self.least_used_free(now)?;
        (has_waited || use_per_connection * 100 <= own_use * REPLACE_PERCENT).then_some(id)
    }

    /// Free connection of the workspace with the least use per connection, and that use.
    fn least_used_free(&mut self, now: u64) -> Option<(u64, ConnectionId)> {
        let free: Vec<(ConnectionId, Name, u64)> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.free)
            .map(|(id, connection)| (*id, connection.workspace.clone(), connection.last_used_at))
            .collect();
        let mut best: Option<(u64, u64, ConnectionId)> = None;
        for (id, workspace, last_used_at) in free {
            let count = self
                .connections
                .values()
                .filter(|connection| connection.workspace == workspace)
                .count() as u64;
            let use_per_connection = self.recent_use(now, &workspace) / count.max(1);
            let key = (use_per_connection, last_used_at, id);
            if best.is_none_or(|best| key < best) {
                best = Some(key);
            }
        }
        best.map(|(use_per_connection, _, id)| (use_per_connection, id))
    }

    /// Decayed use of the workspace; see [`Usage::weight`].
    fn recent_use(&mut self, now: u64, workspace: &Name) -> u64 {
        let usage = self.usage.entry(workspace.clone()).or_default();
        usage.weight(now, HALF_LIFE_MS)
    }

    fn record_use(&mut self, now: u64, workspace: &Name) {
        let usage = self.usage.entry(workspace.clone()).or_default();
        usage.record(now, HALF_LIFE_MS);
        self.total_usage.record(now, HALF_LIFE_MS);
    }
}
