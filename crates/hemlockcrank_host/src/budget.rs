//! The bytes and connections of all clients of this process.
//!
//! [`hemlockcrank_core::budget`] decides which connections are closed. Here each connection has an
//! [`Account`], which tells its task when to end, and [`Metered`] keeps the account of a connection that a
//! library reads and writes. A task of the host closes what is slow.

mod account;
mod listener;
mod metered;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use hemlockcrank_core::budget::{self, Closing, Id, Port};
use rustix::process::{Resource, getrlimit};

use crate::{
    clock::now_ms,
    event::{Event, Timeline},
    metrics::Metrics,
    settings::Settings,
    sync::lock,
};
use account::Signal;

pub use account::Account;
pub(crate) use listener::ACCEPT_PAUSE;
pub use listener::Listener;
pub use metered::Metered;

/// Interval between two looks for what is slow.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Part of the descriptors that callers may take, as a divisor of the rest: callers get all but one in
/// this many.
const CALLERS_REST: u64 = 4;
/// Part of the descriptors for each other port on a host that serves callers, as a divisor.
const PORT_SHARE: u64 = 20;
/// The same on a host without callers.
const PORT_SHARE_WITHOUT_CALLERS: u64 = 5;

#[derive(Debug)]
struct State {
    budget: budget::Budget,
    signals: HashMap<Id, Arc<Signal>>,
}

/// The accounts of all connections of this process.
#[derive(Debug)]
pub struct Budget {
    state: Mutex<State>,
    /// Largest number of caller connections.
    callers: usize,
    /// Time limit for completing a message and for taking an answer.
    message_limit: Duration,
    timeline: Arc<Timeline>,
    metrics: Arc<Metrics>,
}

impl Budget {
    /// A budget with the limits of the settings, and of the descriptors that the process may open.
    pub fn new(settings: &Settings, timeline: Arc<Timeline>, metrics: Arc<Metrics>) -> Arc<Self> {
        let limits = &settings.limits;
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let share = match settings.listen.caller {
            Some(_) => PORT_SHARE,
            None => PORT_SHARE_WITHOUT_CALLERS,
        };
        let count = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
        let core_limits = budget::Limits {
            bytes: limits.client_bytes,
            connections: count(descriptors / share).max(1),
            message_ms: limits.message_ms,
        };
        let state = State {
            budget: budget::Budget::new(core_limits),
            signals: HashMap::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            callers: limits
                .callers
                .min(count(descriptors - descriptors / CALLERS_REST)),
            message_limit: Duration::from_millis(limits.message_ms),
            timeline,
            metrics,
        })
    }

    /// Largest number of caller connections.
    pub(crate) fn callers(&self) -> usize {
        self.callers
    }

    /// Time limit for completing a message and for taking an answer.
    pub(crate) fn message_limit(&self) -> Duration {
        self.message_limit
    }

    /// Whether a large message of this account is read no further for now.
    fn must_wait(&self, id: Id) -> bool {
        lock(&self.state).budget.must_wait(id)
    }

    /// Opens the account of a connection; closes another one if the port has too many.
    pub fn open(self: &Arc<Self>, port: Port) -> Account {
        let signal = Arc::new(Signal::default());
        let mut state = lock(&self.state);
        let (id, closing) = state.budget.open(now_ms(), port);
        state.signals.insert(id, Arc::clone(&signal));
        let closings: Vec<Closing> = closing.into_iter().collect();
        Self::signal(&mut state, &closings);
        drop(state);
        self.report(&closings);
        Account::new(Arc::clone(self), id, signal)
    }

    /// Closes connections whose message or answer is not completed in time, until dropped.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.apply(|budget| budget.overdue(now_ms()));
            let held = lock(&self.state).budget.held();
            self.metrics.record_client_bytes(held);
        }
    }

    /// Makes a change to the accounts and closes the connections that it returns.
    fn apply<F>(&self, change: F)
    where
        F: FnOnce(&mut budget::Budget) -> Vec<Closing>,
    {
        let mut state = lock(&self.state);
        let closings = change(&mut state.budget);
        Self::signal(&mut state, &closings);
        drop(state);
        self.report(&closings);
    }

    fn signal(state: &mut State, closings: &[Closing]) {
        for closing in closings {
            if let Some(signal) = state.signals.remove(&closing.id) {
                signal.send();
            }
        }
    }

    fn report(&self, closings: &[Closing]) {
        for closing in closings {
            let fields: [(&str, &dyn std::fmt::Display); 4] = [
                ("port", &closing.port),
                ("reason", &closing.reason),
                ("bytes", &closing.bytes),
                ("age_ms", &closing.age_ms),
            ];
            self.timeline.emit_bounded(Event::ClientClosed, &fields);
            self.metrics.count_client_closed(closing.reason.into());
        }
    }

    /// Reports that a connection could not be accepted.
    pub(crate) fn report_unaccepted(&self, port: Port, error: &std::io::Error) {
        let fields: [(&str, &dyn std::fmt::Display); 2] = [("port", &port), ("error", error)];
        self.timeline.emit_bounded(Event::ClientUnaccepted, &fields);
    }

    fn close(&self, id: Id) {
        let mut state = lock(&self.state);
        state.budget.close(id);
        state.signals.remove(&id);
    }
}
