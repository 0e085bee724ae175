//! A host's few connections to one member, and who gets them.
//!
//! A connection belongs to one workspace for life, and opening one costs the member more than a short
//! statement does. So a workspace that has a connection in use rather waits a moment for it than takes
//! another's place; and when a place is taken, it is that of the workspace which uses its connections
//! least, not of the one whose turn was longest ago.
//!
//! Connections are opened few at a time, and by nobody in particular: whoever wanted one waits in the
//! queue, and one that is opened after its session has given up serves the next. Otherwise a member that
//! is slow to open would spend its slots on connections that nobody waits for any more. For the same
//! reason places change hands only so often that opening takes a small part of the time: where many
//! workspaces press on few places, those that have one are served and the others wait or are refused.
//!
//! ```
//! use hemlockcrank_core::connections::{Connections, Release, Take};
//!
//! let mut places = Connections::new(1);
//! assert_eq!(places.take(0, &"loud".into(), 0, false), Take::Open);
//! let ticket = places.wait("loud".into(), 0);
//! let link = places.opened(20, "loud".into());
//! assert_eq!(places.release(20, link), ticket.map_or(Release::Keep, Release::Give));
//! ```

use std::collections::BTreeMap;

use crate::{Name, usage::Usage};

/// Sessions that may wait for each connection: one further back would be served too late to be of use.
const WAITING_EACH: usize = 4;
/// Sessions that may wait however few the connections are.
const MIN_WAITING: usize = 8;
/// Connections that are opened at once.
const MAX_OPENING: usize = 2;
/// Time after which half of a workspace's use is forgotten, in milliseconds.
const HALF_LIFE_MS: u64 = 2_000;
/// Use of another workspace, relative to the taker's own, up to which its place is taken, in percent.
const TAKE_PERCENT: u64 = 150;
/// Time between two openings, as a multiple of the time for which openings queue.
const OPEN_QUEUES: u64 = 12;
/// Openings that may follow each other after a quiet time.
const OPEN_BURST: u64 = 3;
/// Longest time to open a connection that is taken for one without a queue, in milliseconds.
const MAX_SHORTEST_MS: u64 = 30;
/// Longest time to open a connection that is counted, in milliseconds.
const MAX_OPEN_MS: u64 = 100;
/// Weight of the newest opening in the moving average, as one part in this many.
const SMOOTHING: u64 = 8;
/// Part of the distance by which the shortest time to open rises towards the usual one at each opening.
const FORGETTING: u64 = 64;

/// A connection of the pool.
pub type ConnectionId = u64;
/// A session that waits, by rank and arrival.
pub type Ticket = (u32, u64);

/// Answer to [`Connections::take`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// Use this connection.
    Reuse(ConnectionId),
    /// Open one.
    Open,
    /// Close this connection, then open one.
    Replace(ConnectionId),
    /// None is to be had now.
    Wait,
}

/// What becomes of a connection, or of a place, that is given back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Release {
    /// It stays free.
    Keep,
    /// The waiting session uses it.
    Give(Ticket),
    /// Close it, and open one for this workspace.
    Replace(Name),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    workspace: Name,
    /// Stands for the session values that the connection has.
    values: u64,
    used_at: u64,
    free: bool,
}

/// A connection that is being opened.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Opening {
    workspace: Name,
    since: u64,
}

/// How long openings take, in microseconds; nothing before the first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct OpenTime {
    usual_us: u64,
    shortest_us: u64,
}

impl OpenTime {
    fn note(&mut self, took_ms: u64) {
        let took_us = took_ms.clamp(1, MAX_OPEN_MS) * 1_000;
        if self.usual_us == 0 {
            self.usual_us = took_us;
            self.shortest_us = took_us.min(MAX_SHORTEST_MS * 1_000);
            return;
        }
        self.usual_us = (self.usual_us * (SMOOTHING - 1) + took_us) / SMOOTHING;
        let rising_us = self.shortest_us + self.queued_us() / FORGETTING;
        self.shortest_us = rising_us.min(took_us);
    }

    /// Usual time for which an opening queues at the member.
    fn queued_us(self) -> u64 {
        self.usual_us.saturating_sub(self.shortest_us)
    }
}

/// All places of one host at one member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Connections {
    capacity: usize,
    crowded_until: u64,
    opening: Vec<Opening>,
    open_time: OpenTime,
    /// Time up to which openings are paid for.
    paid_until: u64,
    held: BTreeMap<ConnectionId, Held>,
    next_link: ConnectionId,
    waiting: BTreeMap<Ticket, Name>,
    next_ticket: u64,
    uses: BTreeMap<Name, Usage>,
}

impl Connections {
    /// No connection yet, and room for `capacity`.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Changes the room; see [`Connections::trim`].
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Takes out the free connections that are over the room, least used workspaces first. They are to be
    /// closed: other hosts count on the places.
    pub fn trim(&mut self, now: u64) -> Vec<ConnectionId> {
        let mut over = Vec::new();
        while self.held.len() + self.opening.len() > self.capacity {
            let Some(link) = self.rank_free(now).map(|(_, link)| link) else {
                break;
            };
            self.held.remove(&link);
            over.push(link);
        }
        over
    }

    /// The member refused one more connection: none is opened before `until`.
    pub fn pause_opening(&mut self, until: u64) {
        self.crowded_until = until;
    }

    /// Whether there is no connection at all.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether a connection of the workspace is free.
    pub fn has_free(&self, workspace: &Name) -> bool {
        let mut held = self.held.values();
        held.any(|held| held.free && held.workspace == *workspace)
    }

    /// Takes a connection or a place. A session that has waited may `insist`: it then does not wait for a
    /// connection of its own workspace any longer.
    pub fn take(&mut self, now: u64, workspace: &Name, values: u64, insist: bool) -> Take {
        if let Some(link) = self.best_free(workspace, values) {
            self.count(now, workspace);
            if let Some(held) = self.held.get_mut(&link) {
                held.free = false;
            }
            return Take::Reuse(link);
        }
        if self.opening.len() >= MAX_OPENING || self.is_opening(workspace) {
            return Take::Wait;
        }
        if !self.may_open(now) {
            return Take::Wait;
        }
        if self.has_room(now) {
            self.count(now, workspace);
            self.begin_opening(now, workspace.clone());
            return Take::Open;
        }
        let own = self.held.values().any(|held| held.workspace == *workspace);
        if own && !insist {
            return Take::Wait;
        }
        match self.least_used(now, workspace, insist) {
            Some(link) => {
                self.count(now, workspace);
                self.replace(now, link, workspace.clone());
                Take::Replace(link)
            }
            None => Take::Wait,
        }
    }

    /// Puts a session into the queue; `None` when that is full.
    pub fn wait(&mut self, workspace: Name, rank: u32) -> Option<Ticket> {
        let most = (self.capacity * WAITING_EACH).max(MIN_WAITING);
        if self.waiting.len() >= most {
            return None;
        }
        let ticket = (rank, self.next_ticket);
        self.next_ticket += 1;
        self.waiting.insert(ticket, workspace);
        Some(ticket)
    }

    /// Takes a session out of the queue; returns whether it still waited.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// A connection was opened. It counts as in use until it is released, to whoever waits.
    pub fn opened(&mut self, now: u64, workspace: Name) -> ConnectionId {
        if let Some(since) = self.end_opening(&workspace) {
            self.open_time.note(now.saturating_sub(since));
        }
        let link = self.next_link;
        self.next_link += 1;
        let held = Held {
            workspace,
            values: 0,
            used_at: now,
            free: false,
        };
        self.held.insert(link, held);
        link
    }

    /// A connection could not be opened; the workspace to open one for instead.
    pub fn open_failed(&mut self, now: u64, workspace: &Name) -> Option<Name> {
        self.end_opening(workspace);
        self.open_next(now)
    }

    /// A free connection was found closed; its place is the finder's.
    pub fn remove_closed(&mut self, link: ConnectionId) {
        self.held.remove(&link);
    }

    /// A connection has closed; the workspace to open one for instead.
    pub fn closed(&mut self, now: u64, link: ConnectionId) -> Option<Name> {
        self.held.remove(&link)?;
        self.open_next(now)
    }

    /// Notes the session values of a connection.
    pub fn set_session_values(&mut self, link: ConnectionId, values: u64) {
        if let Some(held) = self.held.get_mut(&link) {
            held.values = values;
        }
    }

    /// A connection is not used any more.
    pub fn release(&mut self, now: u64, link: ConnectionId) -> Release {
        let Some(held) = self.held.get_mut(&link) else {
            return Release::Keep;
        };
        held.used_at = now;
        let workspace = held.workspace.clone();
        let Some(first) = self.waiting.keys().next().copied() else {
            held.free = true;
            return Release::Keep;
        };
        let mut rank = self
            .waiting
            .iter()
            .take_while(|(ticket, _)| ticket.0 == first.0);
        let same = rank.find(|(_, waiting)| **waiting == workspace);
        if let Some(ticket) = same.map(|(ticket, _)| *ticket) {
            self.waiting.remove(&ticket);
            self.count(now, &workspace);
            return Release::Give(ticket);
        }
        match self.next_wanted().filter(|_| self.may_open(now)) {
            Some(wanted) => {
                self.replace(now, link, wanted.clone());
                Release::Replace(wanted)
            }
            None => {
                if let Some(held) = self.held.get_mut(&link) {
                    held.free = true;
                }
                Release::Keep
            }
        }
    }

    /// Connections that are free, to be closed all together.
    pub fn drain_free(&mut self) -> Vec<ConnectionId> {
        let free = self.held.iter().filter(|(_, held)| held.free);
        let free: Vec<ConnectionId> = free.map(|(link, _)| *link).collect();
        for link in &free {
            self.held.remove(link);
        }
        free
    }

    fn has_room(&self, now: u64) -> bool {
        self.held.len() + self.opening.len() < self.capacity && now >= self.crowded_until
    }

    fn is_opening(&self, workspace: &Name) -> bool {
        let mut opening = self.opening.iter();
        opening.any(|opening| opening.workspace == *workspace)
    }

    fn begin_opening(&mut self, now: u64, workspace: Name) {
        self.paid_until = self.paid_until.max(now) + self.open_interval_ms();
        self.opening.push(Opening {
            workspace,
            since: now,
        });
    }

    /// Returns when the opening began.
    fn end_opening(&mut self, workspace: &Name) -> Option<u64> {
        let mut opening = self.opening.iter();
        let index = opening.position(|opening| opening.workspace == *workspace)?;
        Some(self.opening.swap_remove(index).since)
    }

    /// Time that one opening stands for, in milliseconds.
    fn open_interval_ms(&self) -> u64 {
        self.open_time.queued_us() * OPEN_QUEUES / 1_000
    }

    /// Whether a connection may be opened now.
    fn may_open(&self, now: u64) -> bool {
        self.held.is_empty() || self.paid_until <= now + (OPEN_BURST - 1) * self.open_interval_ms()
    }

    /// Gives a connection's place to a workspace.
    fn replace(&mut self, now: u64, link: ConnectionId, workspace: Name) {
        self.held.remove(&link);
        self.begin_opening(now, workspace);
    }

    fn open_next(&mut self, now: u64) -> Option<Name> {
        let may_open = self.has_room(now) && self.may_open(now);
        let wanted = self.next_wanted().filter(|_| may_open)?;
        self.begin_opening(now, wanted.clone());
        Some(wanted)
    }

    /// Workspace of the first session that waits and that no connection is being opened for.
    fn next_wanted(&self) -> Option<Name> {
        if self.opening.len() >= MAX_OPENING {
            return None;
        }
        let mut waiting = self.waiting.values();
        waiting
            .find(|workspace| !self.is_opening(workspace))
            .cloned()
    }

    fn best_free(&self, workspace: &Name, values: u64) -> Option<ConnectionId> {
        let own = self.held.iter();
        let own = own.filter(|(_, held)| held.free && held.workspace == *workspace);
        let best = own.max_by_key(|(_, held)| (held.values == values, held.used_at));
        best.map(|(link, _)| *link)
    }

    /// Free connection whose place is taken: of the least used workspace, unless that is used much more
    /// than the taker's own.
    fn least_used(&mut self, now: u64, taker: &Name, insist: bool) -> Option<ConnectionId> {
        let own = self.weight(now, taker).max(Usage::one_use());
        let (each, link) = self.rank_free(now)?;
        (insist || each * 100 <= own * TAKE_PERCENT).then_some(link)
    }

    /// The free connection of the least used workspace, with the use of each of that workspace's.
    fn rank_free(&mut self, now: u64) -> Option<(u64, ConnectionId)> {
        let free: Vec<(ConnectionId, Name, u64)> = self
            .held
            .iter()
            .filter(|(_, held)| held.free)
            .map(|(link, held)| (*link, held.workspace.clone(), held.used_at))
            .collect();
        let mut best: Option<(u64, u64, ConnectionId)> = None;
        for (link, workspace, used_at) in free {
            let many = self
                .held
                .values()
                .filter(|held| held.workspace == workspace)
                .count() as u64;
            let each = self.weight(now, &workspace) / many.max(1);
            let rank = (each, used_at, link);
            if best.is_none_or(|best| rank < best) {
                best = Some(rank);
            }
        }
        best.map(|(each, _, link)| (each, link))
    }

    fn weight(&mut self, now: u64, workspace: &Name) -> u64 {
        let used = self.uses.entry(workspace.clone()).or_default();
        used.weight(now, HALF_LIFE_MS)
    }

    fn count(&mut self, now: u64, workspace: &Name) {
        let used = self.uses.entry(workspace.clone()).or_default();
        used.record(now, HALF_LIFE_MS);
    }
}
