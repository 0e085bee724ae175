//! Running the reports of usage: collecting the hosts' counts, and the calls to the platform.

use std::sync::Arc;

use hemlockcrank_core::{
    membership::HostId,
    metering::{Answer, Caller, Counts, Order, Tally},
    state::Command,
};

use super::{ActorState, Message, succession::participants};
use crate::{
    clock::now_ms,
    control::{Submission, group::Group, reporting::Reporting},
    event::Event,
};

impl ActorState {
    /// The leader's part in the reports, on sites that have them.
    pub(super) fn new_reporting(&self, term: u64) -> Option<Reporting> {
        let windows = self.settings.windows()?;
        let caller = Caller {
            host: self.host.name.clone(),
            leadership: term,
        };
        Some(Reporting::new(now_ms(), windows, caller))
    }

    /// Notes, as the leader, a host's count.
    pub(super) fn note_usage(&mut self, now: u64, id: &HostId, tally: &Tally) {
        if let Some(reporting) = self.reporting() {
            reporting.note(now, id, tally);
        }
    }

    fn reporting(&mut self) -> Option<&mut Reporting> {
        self.coordinator.as_mut()?.reporting.as_mut()
    }

    /// Closes windows and sends them, as the leader.
    pub(super) fn run_reports(&mut self, now: u64) {
        self.note_lease();
        let node = self.group.as_ref().and_then(Group::node);
        let participants = participants(node, &self.host.name);
        let id = self.host.id();
        let tally = self.meter.tally(now);
        let state = self.state.clone();
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        let leadership = coordinator.term;
        let Some(reporting) = &mut coordinator.reporting else {
            return;
        };
        if let Some(tally) = tally {
            reporting.note(now, &id, &tally);
        }
        let orders = reporting.tick(now, &state, &participants);
        self.meter.note_time(leadership, reporting.true_ms(now));
        if let Some(hosts) = reporting.note_awaited(now) {
            let hosts = format!("{hosts:?}");
            self.timeline
                .emit(Event::UsageWithheld, &[("hosts", &hosts)]);
        }
        for order in orders {
            match order {
                Order::Commit(entry) => self.propose(Command::Usage(entry), None),
                Order::Send {
                    window,
                    counts,
                    number,
                } => self.submit_usage(window, counts, number),
            }
        }
    }

    fn submit_usage(&self, window: u64, counts: Counts, number: u64) {
        let (Some(callbacks), Some(coordinator)) = (&self.callbacks, &self.coordinator) else {
            return;
        };
        let leadership = coordinator.term;
        let authority = coordinator.authority(self.host.name.clone());
        let fields: [(&str, &dyn std::fmt::Display); 3] = [
            ("window", &window),
            ("call", &number),
            ("token", &authority.token),
        ];
        self.timeline.emit(Event::UsageSent, &fields);
        let answer = (callbacks.submit_usage)(Submission {
            window,
            counts,
            authority,
        });
        let (myself, timeline) = (self.myself.clone(), Arc::clone(&self.timeline));
        let asked_at = now_ms();
        tokio::spawn(async move {
            let report = answer.await;
            let ended_ms = now_ms().saturating_sub(asked_at);
            report.log_usage(&timeline, window, number, ended_ms);
            let _ = myself.cast(Message::UsageAnswered {
                leadership,
                number,
                answer: report.usage_answer(),
            });
        });
    }

    /// Records the platform's answer to a call of this leadership.
    pub(super) fn note_usage_answer(&mut self, leadership: u64, number: u64, answer: Answer) {
        let is_current = self
            .coordinator
            .as_ref()
            .is_some_and(|coordinator| coordinator.term == leadership);
        if !is_current {
            return;
        }
        let now = now_ms();
        if let Some(reporting) = self.reporting() {
            reporting.record(now, number, answer);
        }
        if self.leads(now) {
            self.run_reports(now);
        }
    }

    /// Forgets what is closed in the applied state.
    pub(super) fn forget_usage(&self) {
        let dropped = self.meter.forget(self.state.ledger.closed());
        if dropped > 0 {
            self.timeline
                .emit(Event::UsageDropped, &[("operations", &dropped)]);
        }
    }
}
