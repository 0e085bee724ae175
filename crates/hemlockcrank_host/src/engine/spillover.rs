//! Reads that leave the zone of this host, where it runs the reads of its zone on a service.
//!
//! [`hemlockcrank_core::spillover`] decides. This module keeps its state by service, passes it the times of
//! reads, and logs changes. On other hosts it keeps nothing.

use std::{collections::BTreeMap, sync::Mutex};

use hemlockcrank_core::{
    Name,
    balance::{Candidate, choose},
    spillover::{Answer, Report, Spillover},
};

use super::{Proxy, choice::Choice};
use crate::{clock::now_ms, control::HostState, event::Event, sync::lock};

/// Time for which it is not checked again whether this host runs a service for its zone, in
/// milliseconds.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// A service on which this host has run reads.
#[derive(Debug, Default)]
struct Entry {
    checked_at: u64,
    /// Set while this host runs the reads of its zone.
    spillover: Option<Spillover>,
}

/// State of all services.
#[derive(Debug, Default)]
pub(super) struct Spillovers(Mutex<BTreeMap<Name, Entry>>);

/// How a read at a member ended.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReadEnd {
    /// Answered.
    Answered(Answer),
    /// Refused by a full member, or not answered.
    Failed {
        /// Local time at which the member was chosen, in milliseconds.
        began_at: u64,
        /// Latency objective of the route, in milliseconds.
        objective_ms: u64,
    },
    /// Ended with a result that says nothing of the member's load.
    Abandoned,
}

impl Proxy {
    /// Index of the member for a read. `zones` are the zones of the candidates.
    pub(super) fn choose_by_zone(
        &self,
        host_state: &HostState,
        service: &Name,
        candidates: &[Candidate],
        zones: &[&Name],
        is_retry: bool,
    ) -> Option<usize> {
        let now = now_ms();
        let mut entries = lock(&self.spillovers.0);
        let entry = entries.entry(service.clone()).or_default();
        if now >= entry.checked_at + CHECK_INTERVAL_MS {
            entry.checked_at = now;
            let new = || {
                Spillover::new(
                    self.settings.zone.clone(),
                    self.settings.limits.zone_gain_ms,
                )
            };
            let runs = self.is_executor(host_state, service);
            entry.spillover = runs.then(|| entry.spillover.take().unwrap_or_else(new));
        }
        let Some(spillover) = &mut entry.spillover else {
            return choose(now, candidates);
        };
        let before = spillover.share();
        let best = spillover.choose(now, candidates, zones, is_retry);
        if spillover.share() != before {
            self.metrics
                .record_spillover_share(service, spillover.share());
        }
        if let Some(report) = spillover.take_report(now) {
            self.log_share(service, &report);
        }
        best
    }

    /// Records how a read at a replica ended.
    pub(super) fn record_read_end(&self, service: &Name, choice: &Choice, end: ReadEnd) {
        if choice.guard.is_some() {
            return;
        }
        let mut entries = lock(&self.spillovers.0);
        let entry = entries.get_mut(service);
        let Some(spillover) = entry.and_then(|entry| entry.spillover.as_mut()) else {
            return;
        };
        let now = now_ms();
        match end {
            ReadEnd::Answered(answer) => {
                self.metrics
                    .count_zone_read(choice.zone == self.settings.zone);
                spillover.record_answer(now, &choice.zone, answer);
            }
            ReadEnd::Failed {
                began_at,
                objective_ms,
            } => spillover.record_failure(now, &choice.zone, began_at, objective_ms),
            ReadEnd::Abandoned => spillover.abandon(&choice.zone),
        }
    }

    fn log_share(&self, service: &Name, report: &Report) {
        let time_text = |time_ms: Option<u64>| time_ms.map_or("-".to_owned(), |ms| ms.to_string());
        self.timeline.emit(
            Event::SpilloverChanged,
            &[
                ("service", service),
                ("zone", &report.zone),
                ("share", &report.share),
                ("reason", &report.reason),
                ("home_ms", &time_text(report.home_ms)),
                ("away_ms", &time_text(report.away_ms)),
            ],
        );
    }
}
