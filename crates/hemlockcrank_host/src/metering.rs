//! This host's count of operations, shared between traffic and the control thread.
//!
//! Decisions are in [`hemlockcrank_core::metering`]. On sites without reports of usage nothing is counted.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};

use hemlockcrank_core::{
    Name,
    metering::{Counter, Tally, Windows},
};

use crate::{
    clock::{now_ms, wall_ms},
    sync::lock,
};

/// Whether an operation has been counted. Clones belong to the same operation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counted(Arc<AtomicBool>);

/// The count of operations that this host has sent to members.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    counter: Option<Mutex<Counter>>,
}

impl Meter {
    /// A meter for the windows of a site; without windows it counts nothing.
    pub(crate) fn new(windows: Option<Windows>) -> Self {
        let counter = windows.map(|windows| Mutex::new(Counter::new(windows)));
        Self { counter }
    }

    /// Counts an operation that was sent to a member at `sent_at`, unless it has been counted. Returns
    /// whether it is counted now.
    pub(crate) fn count(&self, counted: &Counted, sent_at: u64, workspace: &Name) -> bool {
        let Some(counter) = &self.counter else {
            return false;
        };
        let is_first = !counted.0.swap(true, Ordering::AcqRel);
        if is_first {
            lock(counter).count(sent_at, workspace);
        }
        is_first
    }

    /// The report that goes with a poll sent at `now`.
    pub(crate) fn tally(&self, now: u64) -> Option<Tally> {
        let counter = self.counter.as_ref()?;
        Some(lock(counter).tally(now, wall_ms()))
    }

    /// Notes that a report may not have arrived.
    pub(crate) fn note_loss(&self) {
        if let Some(counter) = &self.counter {
            lock(counter).note_loss();
        }
    }

    /// Notes the true time that a leader has told.
    pub(crate) fn note_time(&self, leadership: u64, true_ms: Option<u64>) {
        if let Some(counter) = &self.counter {
            lock(counter).note_time(now_ms(), leadership, true_ms);
        }
    }

    /// True time, in milliseconds since the start of 1970, if it is known.
    pub(crate) fn true_ms(&self, now: u64) -> Option<u64> {
        lock(self.counter.as_ref()?).true_ms(now)
    }

    /// Forgets the windows up to the last closed one. Returns the number of operations that are in no
    /// report since the last call.
    pub(crate) fn forget(&self, closed: Option<u64>) -> u64 {
        let Some(counter) = &self.counter else {
            return 0;
        };
        let mut counter = lock(counter);
        counter.forget(closed);
        counter.take_dropped()
    }
}
