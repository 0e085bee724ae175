//! Decides at the control leader when to change a primary, and which host executes the change.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::WATCHERS_PER_DATABASE;
use crate::{
    Name,
    directory::{Database, Promotion},
    membership::View,
};

/// Age after which a report no longer counts, in milliseconds.
const REPORT_MAX_AGE_MS: u64 = 1_000;
/// Time after which an unfinished change is reassigned to another host, in milliseconds.
const EXECUTION_TIMEOUT_MS: u64 = 2_000;

/// A watcher's report on one database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Database.
    pub database: Name,
    /// Committed term that the watcher polled in.
    pub term: u64,
    /// Whether it suspects that the primary has failed.
    pub suspects: bool,
    /// Number of members that answer it.
    pub reachable: u32,
}

/// Decision of the arbiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Commit nothing now.
    Wait,
    /// Begin a change, or restart one with another host.
    Begin(Promotion),
}

/// Latest report of a watcher, and when the control leader received it.
#[derive(Clone, Debug)]
struct TimedReport {
    at: u64,
    report: Report,
}

/// Watchers' reports on one database. The state is not replicated: a new control leader starts
/// empty.
#[derive(Clone, Debug, Default)]
pub struct Arbiter {
    reports: BTreeMap<Name, TimedReport>,
    /// Term of the change in progress, and when this leader began or first saw it.
    in_progress: Option<(u64, u64)>,
}

impl Arbiter {
    /// Records a watcher's report.
    pub fn record_report(&mut self, now: u64, watcher: &Name, report: Report) {
        let timed = TimedReport { at: now, report };
        self.reports.insert(watcher.clone(), timed);
    }

    /// Decides from the recent reports and the committed state of `database`. `switchover` is the
    /// target of a requested planned switchover.
    pub fn decide(
        &mut self,
        now: u64,
        name: &Name,
        database: &Database,
        view: &View,
        switchover: Option<&Name>,
    ) -> Verdict {
        if database.promotion.is_none() && switchover.is_none() && !self.is_suspected(now) {
            self.in_progress = None;
            return Verdict::Wait;
        }
        let watchers = view.select_across_zones(name, WATCHERS_PER_DATABASE);
        let Some(promotion) = &database.promotion else {
            self.in_progress = None;
            if !self.is_suspected_by_majority(now, database, &watchers) && switchover.is_none() {
                return Verdict::Wait;
            }
            return self.begin(now, database, &watchers, switchover, None);
        };
        let (term, since) = *self.in_progress.get_or_insert((promotion.term, now));
        if term != promotion.term {
            self.in_progress = Some((promotion.term, now));
            return Verdict::Wait;
        }
        if now < since + EXECUTION_TIMEOUT_MS {
            return Verdict::Wait;
        }
        let previous = promotion.executor.clone();
        self.begin(now, database, &watchers, None, Some(&previous))
    }

    /// Whether any recent report suspects the primary. This check is cheap and lets healthy
    /// databases, which are most, skip the rest of the decision.
    fn is_suspected(&self, now: u64) -> bool {
        let mut reports = self.reports.values();
        reports.any(|timed| timed.report.suspects && now < timed.at + REPORT_MAX_AGE_MS)
    }

    /// Whether a majority of the watchers suspects the primary.
    fn is_suspected_by_majority(&self, now: u64, database: &Database, watchers: &[Name]) -> bool {
        let suspecting = watchers
            .iter()
            .filter(|name| {
                self.fresh_report(now, name, database)
                    .is_some_and(|report| report.suspects)
            })
            .count();
        !watchers.is_empty() && suspecting > watchers.len() / 2
    }

    /// Assigns the change to a watcher that reaches a majority of the members, preferably another
    /// one than `previous`.
    fn begin(
        &mut self,
        now: u64,
        database: &Database,
        watchers: &[Name],
        prefer: Option<&Name>,
        previous: Option<&Name>,
    ) -> Verdict {
        let quorum = database.quorum();
        let capable: Vec<&Name> = watchers
            .iter()
            .filter(|name| {
                self.fresh_report(now, name, database)
                    .is_some_and(|report| report.reachable as usize >= quorum)
            })
            .collect();
        let other = capable.iter().find(|name| Some(**name) != previous);
        let Some(executor) = other.or(capable.first()) else {
            return Verdict::Wait;
        };
        let promotion = Promotion {
            term: database.highest_term() + 1,
            executor: (*executor).clone(),
            prefer: prefer.cloned(),
        };
        self.in_progress = Some((promotion.term, now));
        Verdict::Begin(promotion)
    }

    /// The watcher's report, if it is recent and about the committed term.
    fn fresh_report(&self, now: u64, watcher: &Name, database: &Database) -> Option<&Report> {
        let timed = self.reports.get(watcher)?;
        let recent = now < timed.at + REPORT_MAX_AGE_MS;
        (recent && timed.report.term == database.term).then_some(&timed.report)
    }
}
