//! The totals of all hosts, at the control leader.

use std::collections::BTreeMap;

use super::{Counts, MAX_WINDOWS, Tally, tally::raise};
use crate::membership::{HostId, View};

/// Totals of one process.
#[derive(Clone, Debug, Default)]
struct Process {
    /// True time up to which its totals are complete, in milliseconds.
    complete_ms: u64,
    windows: BTreeMap<u64, Counts>,
}

/// Totals of the windows that are not closed, by process: one that starts again counts from zero.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    processes: BTreeMap<HostId, Process>,
    closed: Option<u64>,
}

impl Collector {
    /// Notes a report. Windows that are closed or later than `newest` are left out. Like the process itself,
    /// it keeps a limited number of the newest windows while none is closed.
    pub fn note(&mut self, id: &HostId, tally: &Tally, newest: u64) {
        let process = self.processes.entry(id.clone()).or_default();
        let complete_ms = tally.complete_ms.unwrap_or(0);
        process.complete_ms = complete_ms.max(process.complete_ms);
        for (window, counts) in &tally.windows {
            let is_closed = self.closed.is_some_and(|closed| *window <= closed);
            if !is_closed && *window <= newest {
                let known = process.windows.entry(*window).or_default();
                raise(known, counts.clone());
            }
        }
        while process.windows.len() > MAX_WINDOWS {
            process.windows.pop_first();
        }
    }

    /// Whether all hosts of the view that serve callers have sent all totals at or after `true_ms`, and so
    /// has every other process that has done so since `recent_ms`: it may be cut off.
    pub fn is_complete(&self, view: &View, recent_ms: u64, true_ms: u64) -> bool {
        let in_view = view.serving().all(|host| {
            let process = self.processes.get(&host.id());
            process.is_some_and(|process| process.complete_ms >= true_ms)
        });
        let recent = |process: &Process| (recent_ms..true_ms).contains(&process.complete_ms);
        in_view && !self.processes.values().any(recent)
    }

    /// Oldest window that is not closed and has operations.
    pub fn first_window(&self) -> Option<u64> {
        let windows = self
            .processes
            .values()
            .flat_map(|process| process.windows.keys());
        windows.min().copied()
    }

    /// Operations of all hosts in a window.
    pub fn counts(&self, window: u64) -> Counts {
        let mut sums = Counts::new();
        let processes = self.processes.values();
        for counts in processes.filter_map(|process| process.windows.get(&window)) {
            for (workspace, count) in counts {
                let sum = sums.entry(workspace.clone()).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
        sums
    }

    /// Forgets the windows up to the last closed one, and the processes that have left and have no others.
    pub fn forget(&mut self, closed: Option<u64>, view: &View) {
        if closed <= self.closed {
            return;
        }
        self.closed = closed;
        self.processes.retain(|id, process| {
            let windows = &mut process.windows;
            windows.retain(|window, _| closed.is_none_or(|closed| *window > closed));
            !windows.is_empty() || view.find(id).is_some()
        });
    }
}
