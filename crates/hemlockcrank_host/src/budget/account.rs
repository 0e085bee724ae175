//! The account of one connection.

use std::{
    future::poll_fn,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use futures_util::task::AtomicWaker;
use hemlockcrank_core::budget::{Id, NoRoom};
use tokio::task::yield_now;

use super::Budget;
use crate::{clock::now_ms, sync::lock};

/// Work, and what a session keeps, of fewer bytes is not counted, in bytes.
const UNCOUNTED_BYTES: u64 = 4_096;

/// Length up to which messages are always read, in bytes.
const UNHINDERED_BYTES: usize = 16 * 1024;

/// Tells the task of a connection to end.
#[derive(Debug, Default)]
pub(super) struct Signal {
    sent: AtomicBool,
    waker: AtomicWaker,
}

impl Signal {
    pub(super) fn send(&self) {
        self.sent.store(true, Ordering::Release);
        self.waker.wake();
    }
}

/// Bytes and state of one connection; closed when dropped.
#[derive(Debug)]
pub struct Account {
    budget: Arc<Budget>,
    id: Id,
    signal: Arc<Signal>,
    /// Bytes as the budget knows them.
    held: AtomicU64,
    /// Bytes that the session keeps, as the budget knows them.
    kept: AtomicU64,
}

impl Account {
    pub(super) fn new(budget: Arc<Budget>, id: Id, signal: Arc<Signal>) -> Self {
        Self {
            budget,
            id,
            signal,
            held: AtomicU64::new(0),
            kept: AtomicU64::new(0),
        }
    }

    /// The budget of the account.
    pub(crate) fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Sets the bytes of an incomplete message or an unread answer. It may close this connection.
    pub(crate) fn hold(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        if self.held.swap(bytes, Ordering::Relaxed) != bytes {
            self.budget
                .apply(|budget| budget.hold(now_ms(), self.id, bytes));
        }
    }

    /// Begins the work for a message, which holds these bytes until [`Self::settle`].
    ///
    /// # Errors
    ///
    /// [`NoRoom`]; the connection has to be closed.
    pub(crate) fn begin_work(&self, bytes: usize) -> Result<(), NoRoom> {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        if bytes < UNCOUNTED_BYTES && self.held.load(Ordering::Relaxed) == 0 {
            return Ok(());
        }
        self.held.store(bytes, Ordering::Relaxed);
        let mut begun = Ok(());
        self.budget.apply(|budget| {
            let closings = budget.begin_work(now_ms(), self.id, bytes);
            begun = closings.as_ref().map(|_| ()).map_err(|no_room| *no_room);
            closings.unwrap_or_default()
        });
        begun
    }

    /// Sets the bytes that the session keeps between messages. It may close this connection.
    pub(crate) fn keep(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let counted = if bytes < UNCOUNTED_BYTES { 0 } else { bytes };
        if self.kept.swap(counted, Ordering::Relaxed) != counted {
            self.budget
                .apply(|budget| budget.keep(now_ms(), self.id, counted));
        }
    }

    /// The message or the answer is done.
    pub(crate) fn settle(&self) {
        if self.held.swap(0, Ordering::Relaxed) != 0 {
            self.budget.apply(|budget| budget.settle(now_ms(), self.id));
        }
    }

    /// Notes that the client has made itself known as one of our own hosts.
    pub(crate) fn trust(&self) {
        lock(&self.budget.state).budget.trust(self.id);
    }

    /// Ready once the connection has to be closed.
    pub(crate) fn poll_closed(&self, context: &mut Context<'_>) -> Poll<()> {
        self.signal.waker.register(context.waker());
        match self.signal.sent.load(Ordering::Acquire) {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    }

    /// Whether more of a message of this length is read only later.
    pub(super) fn must_wait(&self, length: usize) -> bool {
        length > UNHINDERED_BYTES && self.budget.must_wait(self.id)
    }

    /// Waits until more of a message of this length may be read, or the connection has to be closed.
    pub(crate) async fn wait_for_room(&self, length: usize) {
        while self.must_wait(length) && !self.signal.sent.load(Ordering::Acquire) {
            yield_now().await;
        }
    }

    /// Waits until the connection has to be closed.
    pub(crate) async fn closed(&self) {
        poll_fn(|context| self.poll_closed(context)).await;
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.budget.close(self.id);
    }
}
