//! Permits for the statements in progress at one member.
//!
//! [`hemlockcrank_core::dispatch`] decides who runs, waits or is refused. This module passes the
//! decisions to the sessions that wait.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use hemlockcrank_core::{
    Name,
    dispatch::{Decision, Dispatcher, Load, Offer, Outcome, Refusal, Ticket},
};
use tokio::{sync::oneshot, time::timeout};

use super::{
    Code, Proxy,
    execution::{AttemptError, Execution},
    member_connection::Answer,
    pool::{Pool, Unavailable},
};
use crate::{clock::now_ms, sync::lock};

/// Set if the session is refused; otherwise it has its permit.
type Verdict = Option<Refusal>;

#[derive(Debug, Default)]
struct Inner {
    dispatcher: Dispatcher,
    /// Sessions that wait, until their verdict is sent.
    waiters: HashMap<Ticket, oneshot::Sender<Verdict>>,
}

/// Permits for one member.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    inner: Mutex<Inner>,
}

/// Permission for one statement at a member; released when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    permits: Arc<Permits>,
    ticket: Ticket,
    outcome: Outcome,
}

impl Permits {
    /// Permits for a member with this number of slots; without one there is no limit.
    pub(crate) fn new(slots: Option<usize>) -> Arc<Self> {
        let inner = Inner {
            dispatcher: Dispatcher::new(slots),
            ..Inner::default()
        };
        Arc::new(Self {
            inner: Mutex::new(inner),
        })
    }

    /// Changes the number of slots.
    pub(crate) fn set_slots(&self, slots: Option<usize>) {
        let mut inner = lock(&self.inner);
        inner.dispatcher.set_slots(slots);
        inner.take_turns(now_ms());
    }

    /// Lets the limit grow from one again, after an outage.
    pub(crate) fn restart(&self) {
        lock(&self.inner).dispatcher.restart();
    }

    /// Whether the number of statements in progress is limited.
    pub(crate) fn is_limited(&self) -> bool {
        self.load().limit.is_some()
    }

    /// Limit, statements in progress and waiting.
    pub(crate) fn load(&self) -> Load {
        lock(&self.inner).dispatcher.load()
    }

    /// Expected wait of a new statement, in milliseconds.
    pub(crate) fn expected_wait_ms(&self, workspace: &Name, priority: u32) -> u64 {
        let inner = lock(&self.inner);
        let dispatcher = &inner.dispatcher;
        dispatcher.expected_wait_ms(now_ms(), workspace, priority)
    }

    /// Waits for a permit, until the latest time of the offer.
    pub(crate) async fn acquire(self: &Arc<Self>, offer: Offer) -> Result<Permit, Refusal> {
        let now = now_ms();
        let limit = Duration::from_millis(offer.latest.saturating_sub(now) + 1);
        let mut waiter = {
            let mut inner = lock(&self.inner);
            match inner.dispatcher.offer(now, offer) {
                Decision::Run(ticket) => return Ok(self.permit(ticket)),
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    inner.waiters.insert(ticket, sender);
                    inner.take_turns(now);
                    Waiter {
                        permits: self,
                        ticket,
                        receiver,
                    }
                }
            }
        };
        let verdict = match timeout(limit, &mut waiter.receiver).await {
            Ok(verdict) => verdict.ok(),
            Err(_) => waiter.give_up(),
        };
        match verdict {
            Some(None) => Ok(self.permit(waiter.ticket)),
            Some(Some(refusal)) => Err(refusal),
            // The sender is kept until a verdict is sent.
            None => Err(Refusal {
                retry_after_ms: 1,
                expected_wait_ms: 0,
                load: self.load(),
            }),
        }
    }

    fn permit(self: &Arc<Self>, ticket: Ticket) -> Permit {
        Permit {
            permits: Arc::clone(self),
            ticket,
            outcome: Outcome::Unused,
        }
    }

    fn finish(&self, ticket: Ticket, outcome: Outcome) {
        let now = now_ms();
        let mut inner = lock(&self.inner);
        inner.dispatcher.finish(now, ticket, outcome);
        inner.take_turns(now);
    }
}

impl Inner {
    /// Sends the verdicts of the statements that wait no more.
    fn take_turns(&mut self, now: u64) {
        for turn in self.dispatcher.take_turns(now) {
            let sender = self.waiters.remove(&turn.ticket);
            let sent = sender.is_some_and(|sender| sender.send(turn.refusal).is_ok());
            debug_assert!(sent, "a waiter removes its sender before it goes");
        }
    }
}

impl Permit {
    /// Releases the permit with the outcome of the statement.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.permits.finish(self.ticket, self.outcome);
    }
}

/// A session that waits. When dropped, it leaves the queue and releases a permit that it has received
/// but not taken.
struct Waiter<'a> {
    permits: &'a Arc<Permits>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Verdict>,
}

impl Waiter<'_> {
    /// Leaves the queue because the latest time has passed; returns the verdict.
    fn give_up(&mut self) -> Option<Verdict> {
        let mut inner = lock(&self.permits.inner);
        if let Some(refusal) = inner.dispatcher.cancel(now_ms(), self.ticket) {
            inner.waiters.remove(&self.ticket);
            return Some(Some(refusal));
        }
        self.receiver.try_recv().ok()
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        {
            let mut inner = lock(&self.permits.inner);
            if inner.waiters.remove(&self.ticket).is_some() {
                inner.dispatcher.cancel(now_ms(), self.ticket);
                return;
            }
        }
        if let Ok(None) = self.receiver.try_recv() {
            self.permits.finish(self.ticket, Outcome::Unused);
        }
    }
}

impl From<Unavailable> for Outcome {
    fn from(error: Unavailable) -> Self {
        match error {
            Unavailable::Unreached => Self::Unreached,
            Unavailable::Refused(Code::Busy) => Self::Busy,
            Unavailable::Refused(_) | Unavailable::Late => Self::Unused,
        }
    }
}

/// What an attempt says of the member.
pub(crate) fn outcome_of(attempt: &Result<(u64, Answer), AttemptError>) -> Outcome {
    match attempt {
        Ok((_, answer)) => answer_outcome(answer),
        Err(AttemptError::Lost) => Outcome::Lost,
        Err(_) => Outcome::Unused,
    }
}

/// What an answer says of the member.
pub(crate) fn answer_outcome(answer: &Answer) -> Outcome {
    match &answer.outcome {
        Err((Code::Busy, _)) => Outcome::Busy,
        _ => Outcome::Served,
    }
}

impl Proxy {
    /// Waits for a permit for a statement at a member. `begun` is whether its transaction has begun
    /// there.
    pub(crate) async fn permit(
        &self,
        pool: &Pool,
        execution: &Execution,
        begun: bool,
    ) -> Result<Permit, Refusal> {
        let offer = Offer {
            workspace: execution.operation.workspace.clone(),
            priority: execution.operation.route.priority,
            latest: match begun {
                true => execution.deadline,
                false => execution.start_deadline(),
            },
            begun,
        };
        let class = offer.class();
        let result = pool.permits.acquire(offer).await;
        let load = pool.permits.load();
        if load.limit.is_some() {
            self.metrics.record_dispatch(&pool.target.member, load);
        }
        if result.is_err() {
            self.metrics.count_dispatch_refusal(class);
        }
        result
    }
}
