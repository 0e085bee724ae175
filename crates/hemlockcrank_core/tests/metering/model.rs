//! A control group of two hosts that lead in turn, over one committed state, and the platform.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use hemlockcrank_core::{
    Name,
    catalog::{Catalog, Draft, Workspace},
    membership::Host,
    metering::{
        Answer, Caller, Collector, Counts, Entry, Inputs, Order, Refusal, Reporter, Tally, Windows,
    },
    state::{Command, Reply, State},
};

/// Windows of 5 s that are due 10 s after their ends.
pub(crate) const WINDOWS: Windows = Windows {
    length_ms: 5_000,
    delay_ms: 10_000,
};
/// Window in which the model begins.
pub(crate) const FIRST: u64 = 1_000;
/// Time of one step, in milliseconds.
const TICK_MS: u64 = 25;

/// Counts of one workspace.
pub(crate) fn counts(count: u64) -> Counts {
    Counts::from([("w".into(), count)])
}

/// A leader of the control group.
pub(crate) fn caller(host: &str, leadership: u64) -> Caller {
    let host = host.into();
    Caller { host, leadership }
}

/// A state with one workspace and one host that serves callers.
pub(crate) fn state() -> State {
    let workspace = Workspace {
        name: "w".into(),
        rate: None,
        keys: vec!["k".into()],
    };
    let draft = Draft {
        version: 1,
        workspaces: vec![workspace],
        ..Draft::default()
    };
    let catalog = Arc::new(Catalog::check(draft).expect("configuration"));
    let mut state = State::default();
    state.apply(1, Some(&Command::Catalog(catalog)));
    state.apply(2, Some(&Command::HostUp(entry_host())));
    state
}

/// The host that serves callers.
pub(crate) fn entry_host() -> Host {
    Host::new("entry", "z")
}

/// Applies an entry; returns why it is refused.
pub(crate) fn apply(state: &mut State, entry: Entry) -> Option<Refusal> {
    match state.apply(state.index + 1, Some(&Command::Usage(entry))) {
        Reply::UsageRefused(refusal) => Some(refusal),
        _ => None,
    }
}

/// A report with all totals up to a moment.
pub(crate) fn tally(complete_ms: u64, windows: &[(u64, u64)]) -> Tally {
    let windows = windows
        .iter()
        .map(|(window, count)| (*window, counts(*count)));
    Tally {
        complete_ms: Some(complete_ms),
        windows: windows.collect(),
        ..Tally::default()
    }
}

/// A call that the platform has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Received {
    pub(crate) at: u64,
    pub(crate) window: u64,
    pub(crate) counts: Counts,
    pub(crate) caller: Caller,
    pub(crate) number: u64,
}

/// One leadership at a time over the committed state.
pub(crate) struct Model {
    /// True time; also the leader's clock.
    pub(crate) now: u64,
    pub(crate) state: State,
    pub(crate) collector: Collector,
    pub(crate) caller: Caller,
    pub(crate) participants: BTreeSet<Name>,
    reporter: Reporter,
    /// Answer of the platform to each call; `None` for no answer.
    pub(crate) answer: Option<Answer>,
    pub(crate) received: Vec<Received>,
}

impl Model {
    /// Begins in the middle of the first window, under the leader `a`.
    pub(crate) fn new() -> Self {
        let (now, state) = (FIRST * WINDOWS.length_ms + 2_500, state());
        Self {
            now,
            reporter: Reporter::new(now, &"a".into(), &state.ledger),
            state,
            collector: Collector::default(),
            caller: caller("a", 1),
            participants: BTreeSet::from(["a".into()]),
            answer: Some(Answer::Confirmed),
            received: Vec::new(),
        }
    }

    /// Starts a leadership of `host`; only this host is heard. Its totals of the hosts are empty.
    pub(crate) fn lead(&mut self, host: &str) {
        self.caller = caller(host, self.caller.leadership + 1);
        self.participants = BTreeSet::from([host.into()]);
        self.collector = Collector::default();
        self.reporter = Reporter::new(self.now, &self.caller.host, &self.state.ledger);
    }

    /// The entry host reports its total of a window that is over.
    pub(crate) fn report(&mut self, window: u64, count: u64) {
        let complete_ms = WINDOWS.end_of(window) + 2_000;
        let tally = tally(complete_ms, &[(window, count)]);
        self.collector.note(&entry_host().id(), &tally, window + 2);
    }

    /// Runs the leader for a time; it commits everything at once.
    pub(crate) fn run(&mut self, duration_ms: u64) {
        self.run_until(duration_ms, |_| false);
    }

    /// The same, until `done` returns true.
    pub(crate) fn run_until<F>(&mut self, limit_ms: u64, done: F)
    where
        F: Fn(&Self) -> bool,
    {
        let end = self.now + limit_ms;
        while self.now < end && !done(self) {
            self.now += TICK_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        let inputs = Inputs {
            windows: WINDOWS,
            true_ms: Some(self.now),
            ledger: &self.state.ledger,
            catalog: &self.state.catalog,
            view: &self.state.view,
            collector: &self.collector,
            caller: &self.caller,
            participants: &self.participants,
        };
        for order in self.reporter.tick(self.now, &inputs) {
            match order {
                Order::Commit(entry) => {
                    let refusal = apply(&mut self.state, entry);
                    assert_eq!(refusal, None, "a leader proposed what is refused");
                }
                Order::Send {
                    window,
                    counts,
                    number,
                } => {
                    self.received.push(Received {
                        at: self.now,
                        window,
                        counts,
                        caller: self.caller.clone(),
                        number,
                    });
                    if let Some(answer) = self.answer {
                        self.reporter.record(self.now, number, answer);
                    }
                }
            }
        }
    }

    /// Counts by window as the platform has them; each window must always have the same ones, and the
    /// tokens must not go down.
    pub(crate) fn accepted(&self) -> BTreeMap<u64, Counts> {
        let mut accepted = BTreeMap::new();
        for received in &self.received {
            let first = accepted
                .entry(received.window)
                .or_insert_with(|| received.counts.clone());
            assert_eq!(*first, received.counts, "window {}", received.window);
        }
        let tokens = self.received.iter().map(|call| call.caller.leadership);
        assert!(tokens.is_sorted(), "{:?}", self.received);
        accepted
    }

    /// Records the late answer to a call of the present leader.
    pub(crate) fn answer_late(&mut self, number: u64, answer: Answer) {
        self.reporter.record(self.now, number, answer);
    }
}
