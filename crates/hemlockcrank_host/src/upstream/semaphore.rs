//! An asynchronous semaphore for a member's connections, with a fair queue.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hemlockcrank_core::queue::{Entry, FairQueue, Refusal, Ticket};
use tokio::sync::oneshot;

use crate::clock::now_ms;

#[derive(Debug)]
struct Inner {
    queue: FairQueue,
    /// Channels that notify the waiting statements; the value is whether the statement is admitted.
    senders: HashMap<Ticket, oneshot::Sender<bool>>,
}

/// Limits the statements that run at once to a number of slots, shared fairly between workspaces.
#[derive(Debug)]
pub struct FairSemaphore {
    inner: Mutex<Inner>,
}

/// A slot, which is freed on drop.
#[derive(Debug)]
pub struct Permit {
    semaphore: Arc<FairSemaphore>,
    started_at: u64,
}

impl FairSemaphore {
    /// A semaphore with this many slots.
    pub fn new(slots: usize) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                queue: FairQueue::new(slots),
                senders: HashMap::new(),
            }),
        })
    }

    /// Changes the number of slots.
    pub fn set_slots(&self, slots: usize) {
        let mut inner = self.lock();
        inner.queue.set_slots(slots);
        inner.admit();
    }

    /// Number of running and waiting statements.
    pub fn load(&self) -> usize {
        let inner = self.lock();
        inner.queue.busy() + inner.queue.waiting()
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when no slot can be had before the deadline or the deadline has passed; the
    /// statement is not run.
    pub async fn acquire(self: &Arc<Self>, entry: Entry) -> Result<Permit, Refusal> {
        let deadline = entry.deadline;
        let mut waiter = {
            let mut inner = self.lock();
            let ticket = inner.queue.push(now_ms(), entry)?;
            let (sender, admission) = oneshot::channel();
            inner.senders.insert(ticket, sender);
            inner.admit();
            Waiter {
                semaphore: self,
                ticket,
                admission: Some(admission),
            }
        };
        let remaining = Duration::from_millis(deadline.saturating_sub(now_ms()));
        if !waiter.wait(remaining).await {
            return Err(Refusal::Busy {
                expected_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            });
        }
        Ok(Permit {
            semaphore: Arc::clone(self),
            started_at: now_ms(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Wakes the waiters that have a slot now or whose deadline has passed.
    fn admit(&mut self) {
        let now = now_ms();
        while let Some(turn) = self.queue.pop(now) {
            let sender = self.senders.remove(&turn.ticket);
            let received = sender.is_some_and(|sender| sender.send(turn.admitted).is_ok());
            if turn.admitted && !received {
                self.queue.release_unused();
            }
        }
    }
}

/// A statement in the queue. Dropping it before it is admitted removes it from the queue, or frees
/// the slot if one was assigned in the meantime.
struct Waiter<'a> {
    semaphore: &'a Arc<FairSemaphore>,
    ticket: Ticket,
    admission: Option<oneshot::Receiver<bool>>,
}

impl Waiter<'_> {
    /// Waits for a slot; `false` when none is assigned within `limit`.
    async fn wait(&mut self, limit: Duration) -> bool {
        let Some(admission) = self.admission.as_mut() else {
            return false;
        };
        match tokio::time::timeout(limit, admission).await {
            Ok(admitted) => {
                self.admission = None;
                admitted.unwrap_or(false)
            }
            Err(_) => false,
        }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let Some(mut admission) = self.admission.take() else {
            return;
        };
        let mut inner = self.semaphore.lock();
        inner.senders.remove(&self.ticket);
        let was_waiting = inner.queue.cancel(self.ticket);
        if !was_waiting && admission.try_recv() == Ok(true) {
            inner.queue.release_unused();
            inner.admit();
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut inner = self.semaphore.lock();
        inner.queue.release(self.started_at, now_ms());
        inner.admit();
    }
}
