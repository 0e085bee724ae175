//! The leader's volatile state of reports of usage. Decisions are in [`hemlockcrank_core::metering`].

use std::collections::BTreeSet;

use hemlockcrank_core::{
    Name,
    membership::HostId,
    metering::{Answer, Caller, Collector, Inputs, Order, Reporter, Tally, TrueTime, Windows},
    state::State,
};

/// Totals of the hosts, true time and the calls of one leadership.
#[derive(Debug)]
pub(crate) struct Reporting {
    windows: Windows,
    caller: Caller,
    true_time: TrueTime,
    collector: Collector,
    /// Created once this host has applied what earlier leaders have committed.
    reporter: Option<Reporter>,
    awaited_hosts: BTreeSet<Name>,
}

impl Reporting {
    /// Starts a leadership.
    pub(crate) fn new(now: u64, windows: Windows, caller: Caller) -> Self {
        Self {
            windows,
            caller,
            true_time: TrueTime::new(now),
            collector: Collector::default(),
            reporter: None,
            awaited_hosts: BTreeSet::new(),
        }
    }

    /// True time, in milliseconds since the start of 1970, if it is known.
    pub(crate) fn true_ms(&self, now: u64) -> Option<u64> {
        self.true_time.at(now)
    }

    /// Notes a host's count.
    pub(crate) fn note(&mut self, now: u64, id: &HostId, tally: &Tally) {
        let sent_at = now.saturating_sub(tally.age_ms);
        self.true_time.note(sent_at, &id.name, tally.reading);
        // A host may be a little ahead, by what an earlier leader told it.
        let newest = self.true_time.at(now);
        let newest = newest.map_or(u64::MAX, |true_ms| self.windows.at(true_ms) + 1);
        self.collector.note(id, tally, newest);
    }

    /// The orders to carry out at `now`.
    pub(crate) fn tick(
        &mut self,
        now: u64,
        state: &State,
        participants: &BTreeSet<Name>,
    ) -> Vec<Order> {
        self.true_time.tick(now, state.view.len());
        self.collector.forget(state.ledger.closed(), &state.view);
        let reporter = self
            .reporter
            .get_or_insert_with(|| Reporter::new(now, &self.caller.host, &state.ledger));
        let inputs = Inputs {
            windows: self.windows,
            true_ms: self.true_time.at(now),
            ledger: &state.ledger,
            catalog: &state.catalog,
            view: &state.view,
            collector: &self.collector,
            caller: &self.caller,
            participants,
        };
        reporter.tick(now, &inputs)
    }

    /// Records the outcome of a call.
    pub(crate) fn record(&mut self, now: u64, number: u64, answer: Answer) {
        if let Some(reporter) = &mut self.reporter {
            reporter.record(now, number, answer);
        }
    }

    /// Control hosts whose earlier calls are waited for; `None` if they are the same as before.
    pub(crate) fn note_awaited(&mut self, now: u64) -> Option<&BTreeSet<Name>> {
        let hosts = self.reporter.as_ref()?.awaited_hosts(now);
        if hosts == self.awaited_hosts {
            return None;
        }
        self.awaited_hosts = hosts;
        Some(&self.awaited_hosts)
    }
}
