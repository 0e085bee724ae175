//! Weighted fair queueing of statements for a member's slots.
//!
//! This is start-time fair queueing: each statement starts, in virtual time, when the previous statement
//! of its workspace finishes, so a workspace that floods the queue only delays its own statements. A
//! statement that cannot be served by its deadline is refused when it arrives; one whose deadline passes
//! while it waits is refused when its turn comes. Both are *not run*.
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

/// Virtual duration of one statement at weight 1.
const UNIT: u64 = 1_000_000;
/// Largest number of statements that may wait.
const MAX_WAITING: usize = 10_000;
/// Weight of the newest service time in the moving average, as one part in this many.
const SMOOTHING: u64 = 8;

/// Identifies one waiting statement.
pub type Ticket = u64;

/// A statement to be queued.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Workspace of the statement.
    pub workspace: Name,
    /// Weight of the workspace.
    pub weight: u32,
    /// Time after which the statement is refused.
    pub deadline: u64,
}

/// Reason why a statement gets no slot. The statement was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The statement cannot be served before its deadline.
    #[error("the database is busy: the expected wait of {expected_ms} ms is over the deadline")]
    Busy {
        /// Expected wait in milliseconds.
        expected_ms: u64,
    },
    /// The queue is full.
    #[error("the database is busy: too many statements wait")]
    Full,
}

/// The statement whose turn it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Ticket of the statement.
    pub ticket: Ticket,
    /// Whether the statement has a slot now; otherwise its deadline has passed and it is refused.
    pub admitted: bool,
}

#[derive(Clone, Debug)]
struct Waiting {
    workspace: Name,
    /// Virtual start time.
    start: u64,
    deadline: u64,
}

/// State of one workspace.
#[derive(Clone, Debug, Default)]
struct Flow {
    /// Virtual finish time of the last statement.
    finish: u64,
    waiting: u64,
    weight: u64,
}

/// Queue of statements for a member's slots.
#[derive(Clone, Debug)]
pub struct FairQueue {
    slots: usize,
    busy: usize,
    virtual_time: u64,
    next_ticket: Ticket,
    /// Waiting statements by virtual start time.
    order: BTreeSet<(u64, Ticket)>,
    waiting: BTreeMap<Ticket, Waiting>,
    flows: BTreeMap<Name, Flow>,
    /// Moving average of the service time, in microseconds; 0 before the first measurement.
    service_us: u64,
}

impl FairQueue {
    /// An empty queue for `slots` slots.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            busy: 0,
            virtual_time: 0,
            next_ticket: 0,
            order: BTreeSet::new(),
            waiting: BTreeMap::new(),
            flows: BTreeMap::new(),
            service_us: 0,
        }
    }

    /// Changes the number of slots; running statements keep theirs.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Number of slots in use.
    pub fn busy(&self) -> usize {
        self.busy
    }

    /// Number of waiting statements.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a statement to the queue.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when the queue is full or the statement cannot be served in time.
    pub fn push(&mut self, now: u64, entry: Entry) -> Result<Ticket, Refusal> {
        if self.waiting.len() >= MAX_WAITING {
            return Err(Refusal::Full);
        }
        let expected_ms = self.expected_wait_ms(&entry);
        if now + expected_ms > entry.deadline {
            return Err(Refusal::Busy { expected_ms });
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
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

    /// Removes the next statement to serve or to refuse; `None` when no slot is free or no statement waits.
    pub fn pop(&mut self, now: u64) -> Option<Turn> {
        let (start, ticket) = self.order.first().copied()?;
        let expired = self
            .waiting
            .get(&ticket)
            .is_some_and(|waiting| waiting.deadline < now);
        if !expired && self.busy >= self.slots {
            return None;
        }
        self.remove(ticket);
        if !expired {
            self.virtual_time = self.virtual_time.max(start);
            self.busy += 1;
        }
        Some(Turn {
            ticket,
            admitted: !expired,
        })
    }

    /// Removes a statement from the queue; returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.remove(ticket).is_some()
    }

    /// Frees a slot that was in use since `started_at`, and records the service time.
    pub fn release(&mut self, started_at: u64, now: u64) {
        self.busy = self.busy.saturating_sub(1);
        let took_us = now.saturating_sub(started_at) * 1_000;
        self.service_us = if self.service_us == 0 {
            took_us
        } else {
            (self.service_us * (SMOOTHING - 1) + took_us) / SMOOTHING
        };
    }

    /// Frees a slot that was assigned but not used.
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

    /// Estimated wait of a new statement, from the backlog of its workspace and the workspace's share of
    /// the slots, in milliseconds.
    fn expected_wait_ms(&self, entry: &Entry) -> u64 {
        if self.busy < self.slots && self.waiting.is_empty() {
            return 0;
        }
        let weight = u64::from(entry.weight.max(1));
        let own_waiting = self
            .flows
            .get(&entry.workspace)
            .map_or(0, |flow| flow.waiting);
        let other_weights: u64 = self
            .flows
            .iter()
            .filter(|(name, flow)| **name != entry.workspace && flow.waiting > 0)
            .map(|(_, flow)| flow.weight)
            .sum();
        let ahead = (own_waiting + 1) * (other_weights + weight) / weight;
        let slots = self.slots.max(1) as u64;
        ahead * self.service_us / slots / 1_000
    }
}
