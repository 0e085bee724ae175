//! Weighted fair sharing of a few slots between workspaces.
//!
//! Start-time fair queueing: each waiting statement has a virtual finish time that grows with its
//! workspace's own use, so a workspace that floods the queue only moves its own statements back. A
//! statement that cannot be served by its deadline is refused when it arrives, one that was overtaken by
//! its deadline is refused when its turn comes; both are *not run*.
//!
//! ```
//! use hemlockcrank_core::queue::{FairQueue, Entry};
//!
//! let mut queue = FairQueue::new(1);
//! let entry = |workspace: &str| Entry { workspace: workspace.into(), weight: 1, deadline: 1_000 };
//! let first = queue.push(0, entry("loud"))?;
//! let second = queue.push(0, entry("loud"))?;
//! let third = queue.push(0, entry("quiet"))?;
//! assert_eq!(queue.pop(0).map(|turn| turn.ticket), Some(first));
//! queue.release(0, 5);
//! assert_eq!(queue.pop(5).map(|turn| turn.ticket), Some(third));
//! queue.release(5, 10);
//! assert_eq!(queue.pop(10).map(|turn| turn.ticket), Some(second));
//! # Ok::<(), hemlockcrank_core::queue::Refusal>(())
//! ```

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;

use crate::Name;

/// Virtual length of one statement at weight 1.
const UNIT: u64 = 1_000_000;
/// Most statements that may wait.
const MAX_WAITING: usize = 10_000;
/// Weight of the newest service time in the moving average, as one part in this many.
const SMOOTHING: u64 = 8;

/// Identifies one waiting statement.
pub type Ticket = u64;

/// One statement that wants a slot.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Workspace that it belongs to.
    pub workspace: Name,
    /// Weight of the workspace.
    pub weight: u32,
    /// Time after which it is refused.
    pub deadline: u64,
}

/// Why a statement gets no slot. It was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// Its turn cannot come before its deadline.
    #[error("the database is busy: the expected wait of {expected_ms} ms is over the deadline")]
    Busy {
        /// Expected wait in milliseconds.
        expected_ms: u64,
    },
    /// Too many statements wait.
    #[error("the database is busy: too many statements wait")]
    Full,
}

/// A statement whose time has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Which one.
    pub ticket: Ticket,
    /// Whether it holds a slot now; otherwise its deadline has passed and it is refused.
    pub admitted: bool,
}

#[derive(Clone, Debug)]
struct Waiting {
    workspace: Name,
    start: u64,
    deadline: u64,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    finish: u64,
    waiting: u64,
    weight: u64,
}

/// The queue before a member's slots.
#[derive(Clone, Debug)]
pub struct FairQueue {
    slots: usize,
    busy: usize,
    virtual_time: u64,
    next: Ticket,
    order: BTreeSet<(u64, Ticket)>,
    waiting: BTreeMap<Ticket, Waiting>,
    flows: BTreeMap<Name, Flow>,
    service_us: u64,
}

impl FairQueue {
    /// A queue before `slots` slots.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            busy: 0,
            virtual_time: 0,
            next: 0,
            order: BTreeSet::new(),
            waiting: BTreeMap::new(),
            flows: BTreeMap::new(),
            service_us: 0,
        }
    }

    /// Changes the number of slots; statements in service keep theirs.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Slots in use.
    pub fn busy(&self) -> usize {
        self.busy
    }

    /// Statements that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a statement.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when it could not be served in time.
    pub fn push(&mut self, now: u64, entry: Entry) -> Result<Ticket, Refusal> {
        if self.waiting.len() >= MAX_WAITING {
            return Err(Refusal::Full);
        }
        let expected_ms = self.expected_wait_ms(&entry);
        if now + expected_ms > entry.deadline {
            return Err(Refusal::Busy { expected_ms });
        }
        let ticket = self.next;
        self.next += 1;
        let flow = self.flows.entry(entry.workspace.clone()).or_default();
        let start = flow.finish.max(self.virtual_time);
        flow.weight = u64::from(entry.weight.max(1));
        flow.finish = start + UNIT / flow.weight;
        flow.waiting += 1;
        self.order.insert((start, ticket));
        let waiting = Waiting {
            workspace: entry.workspace,
            start,
            deadline: entry.deadline,
        };
        self.waiting.insert(ticket, waiting);
        Ok(ticket)
    }

    /// Next statement to serve or to refuse; `None` when no slot is free or nobody waits.
    pub fn pop(&mut self, now: u64) -> Option<Turn> {
        let (start, ticket) = self.order.first().copied()?;
        let late = self.waiting.get(&ticket).is_some_and(|w| w.deadline < now);
        if !late && self.busy >= self.slots {
            return None;
        }
        self.remove(ticket);
        if !late {
            self.virtual_time = self.virtual_time.max(start);
            self.busy += 1;
        }
        Some(Turn {
            ticket,
            admitted: !late,
        })
    }

    /// Gives up waiting; returns whether the statement was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.remove(ticket).is_some()
    }

    /// Frees a slot that was taken at `since`.
    pub fn release(&mut self, since: u64, now: u64) {
        self.busy = self.busy.saturating_sub(1);
        let took_us = now.saturating_sub(since) * 1_000;
        self.service_us = if self.service_us == 0 {
            took_us
        } else {
            (self.service_us * (SMOOTHING - 1) + took_us) / SMOOTHING
        };
    }

    /// Frees a slot that was never used.
    pub fn release_unused(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.order.remove(&(waiting.start, ticket));
        if let Some(flow) = self.flows.get_mut(&waiting.workspace) {
            flow.waiting -= 1;
            if flow.waiting == 0 && flow.finish <= self.virtual_time {
                self.flows.remove(&waiting.workspace);
            }
        }
        Some(waiting)
    }

    /// Wait of a new statement, from its own workspace's backlog and its share of the slots.
    fn expected_wait_ms(&self, entry: &Entry) -> u64 {
        if self.busy < self.slots && self.waiting.is_empty() {
            return 0;
        }
        let weight = u64::from(entry.weight.max(1));
        let own = self.flows.get(&entry.workspace).map_or(0, |f| f.waiting);
        let others: u64 = self
            .flows
            .iter()
            .filter(|(name, flow)| **name != entry.workspace && flow.waiting > 0)
            .map(|(_, flow)| flow.weight)
            .sum();
        let ahead = (own + 1) * (others + weight) / weight;
        let slots = self.slots.max(1) as u64;
        ahead * self.service_us / slots / 1_000
    }
}
