//! One host's count of the operations that it has sent to members.
//!
//! Operations are dated with the host's boot clock, which never steps, and with the newest answers of the
//! control leader, which say what time it is. An answer is late by the time that it was on its way, so of
//! several the one with the highest offset is the closest.

use std::collections::{BTreeMap, VecDeque};

use super::{Counts, MAX_WINDOWS, Reading, Tally, Windows};
use crate::Name;

/// Number of answers of which the best one counts. A correction backward takes effect after as many.
const ANSWERS: usize = 8;
/// Shortest interval between two reports with totals, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 250;
/// Interval at which all totals are repeated, in milliseconds. It replaces reports that were lost on the
/// way from a relay to the leader.
const REPEAT_MS: u64 = 2_000;
/// Length of the periods in which operations are counted before the time is known, in milliseconds.
const UNDATED_MS: u64 = 100;
/// Largest number of such periods.
const MAX_UNDATED: usize = 600;

/// Operations of one workspace in one window.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    count: u64,
    /// The count in the last report.
    reported: u64,
}

/// The operations of one host by window and workspace.
#[derive(Clone, Debug)]
pub struct Counter {
    windows: Windows,
    /// Differences between true time and the local clock according to the last answers, in milliseconds.
    offsets: VecDeque<i64>,
    leadership: u64,
    totals: BTreeMap<u64, BTreeMap<Name, Total>>,
    /// Operations by period of the local clock, until the time is known.
    undated: BTreeMap<u64, Counts>,
    closed: Option<u64>,
    reported_at: Option<u64>,
    /// Local and true time of the last report with all totals; `None` if the next one has to have them.
    repeated: Option<(u64, u64)>,
    dropped: u64,
}

impl Counter {
    /// A counter without operations.
    pub fn new(windows: Windows) -> Self {
        Self {
            windows,
            offsets: VecDeque::new(),
            leadership: 0,
            totals: BTreeMap::new(),
            undated: BTreeMap::new(),
            closed: None,
            reported_at: None,
            repeated: None,
            dropped: 0,
        }
    }

    /// True time, in milliseconds; `None` before a leader has told it.
    pub fn true_ms(&self, now: u64) -> Option<u64> {
        let offset = self.offsets.iter().max()?;
        now.checked_add_signed(*offset)
    }

    /// Counts an operation that was sent to a member at the local time `at`.
    pub fn count(&mut self, at: u64, workspace: &Name) {
        match self.true_ms(at) {
            Some(true_ms) => self.add(self.windows.at(true_ms), workspace, 1),
            None => {
                let period = self.undated.entry(at / UNDATED_MS).or_default();
                *period.entry(workspace.clone()).or_default() += 1;
                if self.undated.len() > MAX_UNDATED {
                    self.undated.pop_first();
                }
            }
        }
    }

    fn add(&mut self, window: u64, workspace: &Name, count: u64) {
        if self.closed.is_some_and(|closed| window <= closed) {
            self.dropped += count;
            return;
        }
        let totals = self.totals.entry(window).or_default();
        totals.entry(workspace.clone()).or_default().count += count;
        if self.totals.len() > MAX_WINDOWS
            && let Some((_, oldest)) = self.totals.pop_first()
        {
            self.dropped += oldest.values().map(|total| total.count).sum::<u64>();
        }
    }

    /// Notes what a leader said that arrived at `now`: its leadership and the true time.
    pub fn note_time(&mut self, now: u64, leadership: u64, true_ms: Option<u64>) {
        if leadership != self.leadership {
            self.leadership = leadership;
            self.repeated = None;
        }
        let Some(offset) = true_ms.and_then(|true_ms| difference(true_ms, now)) else {
            return;
        };
        if self.offsets.len() == ANSWERS {
            self.offsets.pop_front();
        }
        self.offsets.push_back(offset);
        for (period, counts) in std::mem::take(&mut self.undated) {
            let Some(true_ms) = self.true_ms(period * UNDATED_MS) else {
                continue;
            };
            for (workspace, count) in counts {
                self.add(self.windows.at(true_ms), &workspace, count);
            }
        }
    }

    /// The report to send at `now`, when the wall clock shows `wall_ms`.
    pub fn tally(&mut self, now: u64, wall_ms: u64) -> Tally {
        let true_ms = self.true_ms(now);
        let mut tally = Tally {
            reading: Reading { wall_ms, true_ms },
            ..Tally::default()
        };
        let Some(true_ms) = true_ms else {
            return tally;
        };
        let all = self.is_repeat_due(now, true_ms);
        let too_soon = self
            .reported_at
            .is_some_and(|at| now < at + REPORT_INTERVAL_MS);
        if too_soon && !all {
            return tally;
        }
        self.reported_at = Some(now);
        if all {
            self.repeated = Some((now, true_ms));
            tally.complete_ms = Some(true_ms);
        }
        for (window, totals) in &mut self.totals {
            let mut counts = Counts::new();
            for (workspace, total) in totals {
                if all || total.count != total.reported {
                    total.reported = total.count;
                    counts.insert(workspace.clone(), total.count);
                }
            }
            if !counts.is_empty() {
                tally.windows.push((*window, counts));
            }
        }
        tally
    }

    /// Whether all totals are due: some may be lost, or a window has become complete.
    fn is_repeat_due(&self, now: u64, true_ms: u64) -> bool {
        let Some((at, repeated_ms)) = self.repeated else {
            return true;
        };
        let window = self.windows.at(true_ms);
        let complete_at = window
            .checked_sub(1)
            .map(|window| self.windows.counted_at(window));
        let has_completed = complete_at.is_some_and(|at| repeated_ms < at && at <= true_ms);
        now >= at + REPEAT_MS || has_completed
    }

    /// Notes that a report may not have arrived.
    pub fn note_loss(&mut self) {
        self.repeated = None;
    }

    /// Forgets the windows up to the last closed one.
    pub fn forget(&mut self, closed: Option<u64>) {
        let Some(last) = closed.filter(|_| closed > self.closed) else {
            return;
        };
        self.closed = closed;
        let open = self.totals.split_off(&(last + 1));
        let forgotten = std::mem::replace(&mut self.totals, open);
        let totals = forgotten.values().flat_map(BTreeMap::values);
        self.dropped += totals
            .map(|total| total.count - total.reported)
            .sum::<u64>();
    }

    /// Operations that are in no report, because their windows were closed or too many windows were open;
    /// resets the number.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

/// Difference of two times in milliseconds; `None` if it is out of range.
pub(super) fn difference(later: u64, earlier: u64) -> Option<i64> {
    let later = i64::try_from(later).ok()?;
    later.checked_sub(i64::try_from(earlier).ok()?)
}
