//! The control leader's decisions: when a window is closed, and when it is sent.
//!
//! A leader sends only what is committed, with an intent of its own committed before. While a call of an
//! earlier leader may still reach the platform it sends nothing ([`Sender`]); the earlier leaders are those
//! in [`Ledger::callers`]. Usually there is none, because each leader has its calls settled within a
//! fraction of a second.

use std::collections::BTreeSet;

use super::{Caller, Collector, Counts, Entry, Ledger, Windows};
use crate::{Name, catalog::Catalog, membership::View, sender::Sender};

/// Pause before another host than the last one sends, in milliseconds. Calls of three leaders in turn
/// are then never closer than the platform accepts.
const HANDOVER_MS: u64 = 3_000;
/// Time after the start of a leadership in which the hosts repeat their totals, in milliseconds.
const REPORTS_MS: u64 = 2_500;
/// Time before a window in which a host must have reported for the window to wait for it, if the host
/// has left the view, in milliseconds. It covers the lease of a host that is cut off.
const RECENT_MS: u64 = 5_000;
/// Pause after a call that was not carried out or has no clear answer, in milliseconds.
const RETRY_MS: u64 = 500;
/// Wait for an answer before the same window is sent once more, in milliseconds. The platform ignores an
/// exact repeat.
const ANSWER_WAIT_MS: u64 = 3_000;
/// Shortest interval between two calls, in milliseconds: well below the 50 calls per second that the
/// platform accepts.
const CALL_INTERVAL_MS: u64 = 50;
/// Largest number of calls whose answers are awaited.
const MAX_CALLS: usize = 8;
/// Time that a call without a clear answer may take to reach the platform, in milliseconds.
const SETTLE_MS: u64 = 10_000;
/// Pause before an entry is proposed again, in milliseconds.
const PROPOSE_RETRY_MS: u64 = 500;

/// Inputs of a decision.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// Windows of the site.
    pub windows: Windows,
    /// True time, in milliseconds; `None` while it is not known.
    pub true_ms: Option<u64>,
    /// Committed windows.
    pub ledger: &'a Ledger,
    /// Committed configuration.
    pub catalog: &'a Catalog,
    /// Committed view.
    pub view: &'a View,
    /// Totals of the hosts.
    pub collector: &'a Collector,
    /// This control host and its leadership.
    pub caller: &'a Caller,
    /// Control hosts that take part in this leadership, this one included.
    pub participants: &'a BTreeSet<Name>,
}

/// An action for the control leader to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Commit an entry.
    Commit(Entry),
    /// Send a window to the platform, with a number that identifies the call.
    Send {
        /// Window.
        window: u64,
        /// Operations by workspace.
        counts: Counts,
        /// Number of the call.
        number: u64,
    },
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The platform has the window.
    Confirmed,
    /// The call was not carried out and never will be.
    NotDone,
    /// No clear answer: the call may be carried out later.
    Unknown,
}

/// A call that may still reach the platform.
#[derive(Clone, Copy, Debug)]
struct Call {
    number: u64,
    window: u64,
    sent_at: u64,
    /// When it ended without a clear answer.
    ended_at: Option<u64>,
}

/// State of one leadership.
#[derive(Clone, Debug)]
pub struct Reporter {
    started_at: u64,
    /// Leaders before this one whose calls may still reach the platform.
    earlier: Vec<Sender>,
    /// Until when this host sends nothing because another one has sent before.
    quiet_until: u64,
    calls: Vec<Call>,
    next_number: u64,
    /// Earliest time of the next call.
    next_call_at: u64,
    /// Windows that the platform has, until that is committed.
    confirmed: BTreeSet<u64>,
    proposed: Option<(u64, Entry)>,
    /// Window to close first, while none is closed.
    first: Option<u64>,
}

impl Reporter {
    /// Initial state of a leadership of `host` that begins at `now`.
    pub fn new(now: u64, host: &Name, ledger: &Ledger) -> Self {
        let hosts: BTreeSet<&Name> = ledger.callers().iter().map(|caller| &caller.host).collect();
        let is_handover = ledger.last().is_some_and(|last| last.host != *host);
        Self {
            started_at: now,
            earlier: hosts
                .into_iter()
                .map(|host| Sender::new(now, Some(host.clone())))
                .collect(),
            quiet_until: if is_handover { now + HANDOVER_MS } else { 0 },
            calls: Vec::new(),
            next_number: 0,
            next_call_at: 0,
            confirmed: BTreeSet::new(),
            proposed: None,
            first: None,
        }
    }

    /// Hosts whose calls under an earlier leadership may still reach the platform.
    pub fn awaited_hosts(&self, now: u64) -> BTreeSet<Name> {
        let awaited = self.earlier.iter().filter(|sender| sender.may_arrive(now));
        awaited.filter_map(|sender| sender.host.clone()).collect()
    }

    /// Returns the orders to carry out at `now`.
    pub fn tick(&mut self, now: u64, inputs: &Inputs<'_>) -> Vec<Order> {
        for sender in &mut self.earlier {
            sender.note_participants(now, inputs.participants);
        }
        let unconfirmed = inputs.ledger.unconfirmed();
        self.confirmed
            .retain(|window| unconfirmed.contains_key(window));
        self.calls
            .retain(|call| call.ended_at.is_none_or(|at| now < at + SETTLE_MS));
        let commit = self.next_entry(now, inputs).map(Order::Commit);
        let send = self.next_call(now, inputs);
        commit.into_iter().chain(send).collect()
    }

    /// Records the outcome of the call with this number.
    pub fn record(&mut self, now: u64, number: u64, answer: Answer) {
        let Some(index) = self.calls.iter().position(|call| call.number == number) else {
            return;
        };
        match answer {
            Answer::Confirmed => {
                let call = self.calls.swap_remove(index);
                self.confirmed.insert(call.window);
            }
            Answer::NotDone => {
                self.calls.swap_remove(index);
                self.next_call_at = now + RETRY_MS;
            }
            Answer::Unknown => {
                self.calls[index].ended_at = Some(now);
                self.next_call_at = now + RETRY_MS;
            }
        }
    }

    /// The entry to propose, unless the outcome of the last one is awaited.
    fn next_entry(&mut self, now: u64, inputs: &Inputs<'_>) -> Option<Entry> {
        self.proposed
            .take_if(|(at, entry)| is_applied(entry, inputs) || now >= *at + PROPOSE_RETRY_MS);
        if self.proposed.is_some() {
            return None;
        }
        let entry = self
            .confirmation()
            .or_else(|| intent(inputs))
            .or_else(|| self.next_close(now, inputs))?;
        self.proposed = Some((now, entry.clone()));
        Some(entry)
    }

    fn confirmation(&self) -> Option<Entry> {
        let window = *self.confirmed.first()?;
        let settled = self.calls.is_empty();
        Some(Entry::Confirm { window, settled })
    }

    /// Closes the next window once all hosts have reported it, or at the latest moment.
    fn next_close(&mut self, now: u64, inputs: &Inputs<'_>) -> Option<Entry> {
        let (true_ms, windows) = (inputs.true_ms?, inputs.windows);
        let window = match inputs.ledger.closed() {
            Some(closed) => closed + 1,
            None => self.first_window(windows.at(true_ms), inputs.collector),
        };
        let counted_at = windows.counted_at(window);
        let recent = windows.start_of(window).saturating_sub(RECENT_MS);
        let collector = inputs.collector;
        let is_complete =
            true_ms >= counted_at && collector.is_complete(inputs.view, recent, counted_at);
        let is_overdue =
            true_ms >= windows.latest_close(window) && now >= self.started_at + REPORTS_MS;
        if !inputs.ledger.has_room() || !(is_complete || is_overdue) {
            return None;
        }
        let mut counts = inputs.collector.counts(window);
        counts.retain(|workspace, _| inputs.catalog.has_workspace(workspace));
        let caller = inputs.caller.clone();
        Some(Entry::Close {
            window,
            counts,
            caller,
        })
    }

    /// The first window that this site reports: the one in which the first leader began, or an earlier
    /// one of which a host has reported operations.
    fn first_window(&mut self, present: u64, collector: &Collector) -> u64 {
        let first = self.first.get_or_insert(present);
        *first = collector
            .first_window()
            .map_or(*first, |window| window.min(*first));
        *first
    }

    /// The next call, if one may be made now.
    fn next_call(&mut self, now: u64, inputs: &Inputs<'_>) -> Option<Order> {
        let awaits_settlement = matches!(
            self.proposed,
            Some((_, Entry::Confirm { settled: true, .. }))
        );
        let has_intent = inputs.ledger.callers().contains(inputs.caller);
        let may_call = now >= self.next_call_at.max(self.quiet_until)
            && !self.earlier.iter().any(|sender| sender.may_arrive(now));
        let open = self.calls.iter().filter(|call| call.ended_at.is_none());
        if awaits_settlement || !has_intent || !may_call || open.count() >= MAX_CALLS {
            return None;
        }
        let mut unconfirmed = inputs.ledger.unconfirmed().iter();
        let (window, counts) = unconfirmed.find(|(window, _)| {
            !self.confirmed.contains(window) && !self.awaits_answer(now, **window)
        })?;
        let number = self.next_number;
        self.next_number += 1;
        self.next_call_at = now + CALL_INTERVAL_MS;
        self.calls.push(Call {
            number,
            window: *window,
            sent_at: now,
            ended_at: None,
        });
        Some(Order::Send {
            window: *window,
            counts: counts.clone(),
            number,
        })
    }

    /// Whether the answer to a call of this window is awaited, and is not overdue.
    fn awaits_answer(&self, now: u64, window: u64) -> bool {
        self.calls.iter().any(|call| {
            call.window == window && call.ended_at.is_none() && now < call.sent_at + ANSWER_WAIT_MS
        })
    }
}

/// The intent to send what an earlier leader has closed, if it is not committed.
fn intent(inputs: &Inputs<'_>) -> Option<Entry> {
    let is_needed =
        !inputs.ledger.unconfirmed().is_empty() && !inputs.ledger.callers().contains(inputs.caller);
    is_needed.then(|| Entry::Intend(inputs.caller.clone()))
}

/// Whether the committed state includes an entry already.
fn is_applied(entry: &Entry, inputs: &Inputs<'_>) -> bool {
    let ledger = inputs.ledger;
    match entry {
        Entry::Close { window, .. } => ledger.closed().is_some_and(|closed| closed >= *window),
        Entry::Intend(caller) => ledger.callers().contains(caller),
        Entry::Confirm { window, .. } => !ledger.unconfirmed().contains_key(window),
    }
}
