//! Who is served when a member is full.
//!
//! A host that runs the operations of its zone limits the statements in progress at each member. The
//! others wait here, where their order is known, and not at the member. Statements of transactions that
//! have begun go first, because they hold locks and a connection. New work is divided into classes by the
//! priority of its route; each class has four times the share of the next one, so that the most urgent is
//! served first in practice and none starves. Within a class the workspaces share equally. Both levels
//! are start-time fair queueing, and shares are shares of the time in progress.
//!
//! What cannot start by its latest useful time is refused when it arrives. When more urgent work
//! arrives or the member turns slow, waiting statements that will not make it any more are refused
//! at once, the least urgent first. A refusal says when the backlog is expected to be gone, and the
//! refused take turns from then on, so that they do not come back at once.
//!
//! ```
//! use hemlockcrank_core::dispatch::{Decision, Dispatcher, Offer, Outcome};
//!
//! let mut dispatcher = Dispatcher::new(Some(4));
//! let offer = |priority| Offer { workspace: "w".into(), priority, latest: 1_000, begun: false };
//! assert_eq!(dispatcher.offer(0, offer(2)), Decision::Run(0));
//! assert_eq!(dispatcher.offer(0, offer(2)), Decision::Wait(1));
//! assert_eq!(dispatcher.offer(0, offer(0)), Decision::Wait(2));
//! dispatcher.finish(9, 0, Outcome::Served);
//! let started: Vec<_> = dispatcher.take_turns(9).into_iter().map(|turn| turn.ticket).collect();
//! assert_eq!(started, [1, 2]);
//! ```

mod backlog;
mod limit;
mod service;
mod turns;

use std::collections::BTreeMap;

use crate::Name;

use backlog::Backlog;
use limit::Limit;
use service::Service;

/// Classes of priorities; the last one has all routes that are less urgent.
pub const CLASSES: usize = 4;
/// Statements that may wait, as a bound of memory and of the time for a decision.
const MAX_WAITING: usize = 256;
/// Time after which the answer of a statement is overdue, as a multiple of the usual service time.
const OVERDUE_FACTOR: u64 = 8;
/// Shortest such time, in milliseconds.
const MIN_OVERDUE_MS: u64 = 250;
/// Time over which the retries of refused callers are spread, in microseconds.
const RETURN_SPREAD_US: u64 = 2_000_000;
/// Longest time after which a caller is told to retry, in milliseconds.
const MAX_RETRY_MS: u64 = 4_000;
/// The golden ratio's fraction of 2^32. Its multiples, modulo 2^32, are spread evenly.
const GOLDEN: u64 = 2_654_435_769;

/// Index of a class; 0 is the most urgent.
pub type Class = usize;
/// Identifies a statement that waits or is in progress.
pub type Ticket = u64;

/// A statement that is to run at the member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Workspace of the statement.
    pub workspace: Name,
    /// Priority of its route; 0 is the most urgent.
    pub priority: u32,
    /// Time until which waiting is useful.
    pub latest: u64,
    /// Whether it belongs to a transaction that has begun at the member.
    pub begun: bool,
}

impl Offer {
    /// Class of the statement.
    pub fn class(&self) -> Class {
        (self.priority as usize).min(CLASSES - 1)
    }
}

/// Result of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It runs now.
    Run(Ticket),
    /// It waits for its turn.
    Wait(Ticket),
    /// It is not run.
    Refuse(Refusal),
}

/// Why a statement is refused: the inputs of the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Time after which to retry, in milliseconds.
    pub retry_after_ms: u64,
    /// Expected wait of the statement, in milliseconds.
    pub expected_wait_ms: u64,
    /// State of the member's dispatcher.
    pub load: Load,
}

/// State of a dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Largest number of statements in progress; `None` without a limit.
    pub limit: Option<usize>,
    /// Statements in progress.
    pub in_progress: usize,
    /// Statements that wait.
    pub waiting: usize,
}

/// A statement that waits no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The statement.
    pub ticket: Ticket,
    /// Why it is refused; it runs otherwise.
    pub refusal: Option<Refusal>,
}

/// How a statement in progress ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The member answered.
    Served,
    /// The member refused it as busy.
    Busy,
    /// No answer was received.
    Lost,
    /// The member could not be reached.
    Unreached,
    /// It was not sent.
    Unused,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    class: Class,
    since: u64,
}

/// Decides which statements run at one member.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    limit: Option<Limit>,
    running: BTreeMap<Ticket, Running>,
    backlog: Backlog,
    service: Service,
    next_ticket: Ticket,
    /// Time at which the next refused caller is told to retry, in microseconds.
    next_return_us: u64,
    /// Refusals whose times were spread because the turns reach too far.
    spread_count: u64,
}

impl Dispatcher {
    /// A dispatcher for a member with this number of slots; without one there is no limit.
    pub fn new(slots: Option<usize>) -> Self {
        Self {
            limit: slots.map(Limit::new),
            ..Self::default()
        }
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, slots: Option<usize>) {
        match (&mut self.limit, slots) {
            (Some(limit), Some(slots)) => limit.set_slots(slots),
            (limit, slots) => *limit = slots.map(Limit::new),
        }
    }

    /// Starts with a limit of one again, after an outage of the member or of its primary role.
    pub fn restart(&mut self) {
        if let Some(limit) = &mut self.limit {
            limit.restart();
        }
    }

    /// Limit, statements in progress and waiting.
    pub fn load(&self) -> Load {
        Load {
            limit: self.limit.map(Limit::get),
            in_progress: self.running.len(),
            waiting: self.backlog.len(),
        }
    }

    /// Decides on a statement. Statements that wait may have to be refused because of it; see
    /// [`Dispatcher::take_turns`].
    pub fn offer(&mut self, now: u64, offer: Offer) -> Decision {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        if self.backlog.is_empty() && self.has_free(now) {
            self.start(now, ticket, &offer);
            return Decision::Run(ticket);
        }
        let (begun, latest) = (offer.begun, offer.latest);
        self.backlog.push(ticket, offer);
        let expected_wait_ms = self.wait_of(now, ticket);
        let too_late = now + expected_wait_ms > latest || self.backlog.len() > MAX_WAITING;
        if too_late && !begun {
            self.backlog.remove(ticket);
            return Decision::Refuse(self.refusal(now, expected_wait_ms));
        }
        Decision::Wait(ticket)
    }

    /// Removes and returns the statements that run now or are refused now. To be called after each
    /// offer that waits, after each end of a statement, and after a change of the limit.
    pub fn take_turns(&mut self, now: u64) -> Vec<Turn> {
        let mut turns = Vec::new();
        while self.has_free(now)
            && let Some((ticket, offer)) = self.backlog.pop(&self.service)
        {
            self.start(now, ticket, &offer);
            turns.push(Turn {
                ticket,
                refusal: None,
            });
        }
        while let Some((ticket, expected_wait_ms)) = self.latecomer(now) {
            self.backlog.remove(ticket);
            let refusal = Some(self.refusal(now, expected_wait_ms));
            turns.push(Turn { ticket, refusal });
        }
        turns
    }

    /// Ends a statement in progress.
    pub fn finish(&mut self, now: u64, ticket: Ticket, outcome: Outcome) {
        let Some(Running { class, since }) = self.running.remove(&ticket) else {
            return;
        };
        let Some(limit) = &mut self.limit else {
            return;
        };
        let took_ms = now.saturating_sub(since);
        if outcome == Outcome::Served {
            self.service.record(class, took_ms);
        }
        let queueing = |us: u64| self.service.is_queueing(class, us);
        match outcome {
            Outcome::Served if queueing(self.service.class_us(class)) => limit.ease(),
            // The average follows later.
            Outcome::Served if queueing(took_ms * 1_000) => {}
            Outcome::Served => limit.raise(),
            Outcome::Busy => limit.lower(now, since),
            Outcome::Unreached => limit.restart(),
            // A lost answer says nothing of the member's room.
            Outcome::Lost | Outcome::Unused => {}
        }
    }

    /// Removes a statement that waits, because its caller has left or its latest time has passed.
    pub fn cancel(&mut self, now: u64, ticket: Ticket) -> Option<Refusal> {
        let expected_wait_ms = self.wait_of(now, ticket);
        self.backlog.remove(ticket)?;
        Some(self.refusal(now, expected_wait_ms))
    }

    /// Expected wait of a new statement, in milliseconds.
    pub fn expected_wait_ms(&self, now: u64, workspace: &Name, priority: u32) -> u64 {
        if self.backlog.is_empty() && self.has_free(now) {
            return 0;
        }
        let mut backlog = self.backlog.clone();
        let offer = Offer {
            workspace: workspace.clone(),
            priority,
            latest: now,
            begun: false,
        };
        backlog.push(self.next_ticket, offer);
        let mut waits = self.waits(now, &backlog);
        let own = waits.find(|(ticket, _, _)| *ticket == self.next_ticket);
        own.map_or(0, |(_, _, wait_ms)| wait_ms)
    }

    /// Whether a statement may start. Statements whose answers are overdue may be lost, and occupy no
    /// slot then; in case they do, they are left out only up to the limit.
    fn has_free(&self, now: u64) -> bool {
        self.limit.is_none_or(|limit| {
            let overdue = self
                .running
                .values()
                .filter(|running| self.is_overdue(now, running));
            let overdue = overdue.count().min(limit.get());
            self.running.len() - overdue < limit.get()
        })
    }

    fn is_overdue(&self, now: u64, running: &Running) -> bool {
        let usual_ms = self.service.class_us(running.class) / 1_000;
        now.saturating_sub(running.since) > (usual_ms * OVERDUE_FACTOR).max(MIN_OVERDUE_MS)
    }

    fn start(&mut self, now: u64, ticket: Ticket, offer: &Offer) {
        let class = offer.class();
        self.running.insert(ticket, Running { class, since: now });
    }

    /// Expected wait of a statement that waits, in milliseconds.
    fn wait_of(&self, now: u64, ticket: Ticket) -> u64 {
        let mut waits = self.waits(now, &self.backlog);
        let own = waits.find(|(other, _, _)| *other == ticket);
        own.map_or(0, |(_, _, wait_ms)| wait_ms)
    }

    /// Waiting statements in their order, each with its expected wait in milliseconds.
    fn waits<'a>(
        &'a self,
        now: u64,
        backlog: &'a Backlog,
    ) -> impl Iterator<Item = (Ticket, &'a Offer, u64)> {
        let mut ahead_us = self.first_free_us(now);
        let slowdown = self.slowdown_percent(now);
        backlog.in_order(&self.service).map(move |(ticket, offer)| {
            let wait_ms = ahead_us / 1_000;
            let work_us = self.service.class_us(offer.class()) * slowdown / 100;
            ahead_us += work_us / self.limit_or_one();
            (ticket, offer, wait_ms)
        })
    }

    /// The least urgent waiting statement that is not expected to start in time, with its expected
    /// wait; the last one in order if there are several. Statements of transactions that have begun
    /// are refused only after their latest time.
    fn latecomer(&self, now: u64) -> Option<(Ticket, u64)> {
        let late = self
            .waits(now, &self.backlog)
            .filter(|(_, offer, wait_ms)| {
                let start = if offer.begun { now } else { now + wait_ms };
                start > offer.latest
            });
        let last = late.max_by_key(|(_, offer, _)| (!offer.begun, offer.class()));
        last.map(|(ticket, _, wait_ms)| (ticket, wait_ms))
    }

    /// Expected time until a running statement makes room, in microseconds.
    fn first_free_us(&self, now: u64) -> u64 {
        let limit = self.limit_or_one();
        let over = (self.running.len() as u64 + 1).saturating_sub(limit);
        let average_us = self.service.average_us() * self.slowdown_percent(now) / 100;
        over * average_us / limit
    }

    /// How much slower the member is than measured, in percent of the measured service time: the
    /// statements in progress may have taken longer already.
    fn slowdown_percent(&self, now: u64) -> u64 {
        let count = self.running.len().max(1) as u64;
        let ages = self.running.values();
        let age_ms: u64 = ages.map(|running| now.saturating_sub(running.since)).sum();
        let percent = age_ms * 1_000 * 100 / count / self.service.average_us();
        percent.clamp(100, OVERDUE_FACTOR * 100)
    }

    fn limit_or_one(&self) -> u64 {
        self.limit.map_or(1, |limit| limit.get() as u64)
    }

    /// A refusal with the time until the backlog is expected to be gone. Each takes the next turn after
    /// the one before it, as fast as the member serves; when these turns reach too far, the times
    /// are spread evenly.
    fn refusal(&mut self, now: u64, expected_wait_ms: u64) -> Refusal {
        let limit = self.limit_or_one();
        let work_us = self.backlog.work_us(&self.service) / limit;
        let earliest_us = now * 1_000 + self.first_free_us(now) + work_us;
        let due_us = self.next_return_us.max(earliest_us);
        let retry_us = if due_us < earliest_us + RETURN_SPREAD_US {
            self.next_return_us = due_us + self.service.average_us() / limit;
            due_us
        } else {
            self.spread_count += 1;
            let fraction = self.spread_count.wrapping_mul(GOLDEN) & u64::from(u32::MAX);
            earliest_us + ((RETURN_SPREAD_US * fraction) >> u32::BITS)
        };
        let retry_after_ms = (retry_us / 1_000).saturating_sub(now);
        Refusal {
            retry_after_ms: retry_after_ms.clamp(1, MAX_RETRY_MS),
            expected_wait_ms,
            load: self.load(),
        }
    }
}
