//! The fair queue before a member's connections, for tasks that wait.

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
    waiting: HashMap<Ticket, oneshot::Sender<bool>>,
}

/// Admits as many statements at once as there are slots, fairly between workspaces.
#[derive(Debug)]
pub struct FairSemaphore {
    inner: Mutex<Inner>,
}

/// One slot; freed when dropped.
#[derive(Debug)]
pub struct Permit {
    semaphore: Arc<FairSemaphore>,
    since: u64,
}

impl FairSemaphore {
    /// A gate with this many slots.
    pub fn new(slots: usize) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                queue: FairQueue::new(slots),
                waiting: HashMap::new(),
            }),
        })
    }

    /// Changes the number of slots.
    pub fn set_slots(&self, slots: usize) {
        let mut inner = self.lock();
        inner.queue.set_slots(slots);
        inner.admit();
    }

    /// Statements in service and waiting.
    pub fn load(&self) -> usize {
        let inner = self.lock();
        inner.queue.busy() + inner.queue.waiting()
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when the deadline would pass or has passed; the statement is not run.
    pub async fn acquire(self: &Arc<Self>, entry: Entry) -> Result<Permit, Refusal> {
        let deadline = entry.deadline;
        let mut place = {
            let mut inner = self.lock();
            let ticket = inner.queue.push(now_ms(), entry)?;
            let (sender, turn) = oneshot::channel();
            inner.waiting.insert(ticket, sender);
            inner.admit();
            Place {
                semaphore: self,
                ticket,
                turn: Some(turn),
            }
        };
        let left = Duration::from_millis(deadline.saturating_sub(now_ms()));
        if !place.wait(left).await {
            return Err(Refusal::Busy {
                expected_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            });
        }
        Ok(Permit {
            semaphore: Arc::clone(self),
            since: now_ms(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Wakes everyone whose turn has come.
    fn admit(&mut self) {
        let now = now_ms();
        while let Some(turn) = self.queue.pop(now) {
            let waiter = self.waiting.remove(&turn.ticket);
            let taken = waiter.is_some_and(|waiter| waiter.send(turn.admitted).is_ok());
            if turn.admitted && !taken {
                self.queue.release_unused();
            }
        }
    }
}

/// A place in the queue; leaves it when the wait is given up, and hands on a slot that came too late.
struct Place<'a> {
    semaphore: &'a Arc<FairSemaphore>,
    ticket: Ticket,
    turn: Option<oneshot::Receiver<bool>>,
}

impl Place<'_> {
    /// Whether a slot came within `left`.
    async fn wait(&mut self, left: Duration) -> bool {
        let Some(turn) = self.turn.as_mut() else {
            return false;
        };
        match tokio::time::timeout(left, turn).await {
            Ok(admitted) => {
                self.turn = None;
                admitted.unwrap_or(false)
            }
            Err(_) => false,
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let Some(mut turn) = self.turn.take() else {
            return;
        };
        let mut inner = self.semaphore.lock();
        inner.waiting.remove(&self.ticket);
        let left_queue = inner.queue.cancel(self.ticket);
        if !left_queue && turn.try_recv() == Ok(true) {
            inner.queue.release_unused();
            inner.admit();
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut inner = self.semaphore.lock();
        inner.queue.release(self.since, now_ms());
        inner.admit();
    }
}
