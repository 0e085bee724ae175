//! This host's role in the control group, and the work of the leader in each tick.

use std::collections::BTreeSet;

use hemlockcrank_core::{
    consensus::{Id, Role},
    relay::Followers,
    state::Command,
};
use hemlockcrank_wire::ProposeReply;

use super::{ActorState, Message};
use crate::{
    clock::now_ms,
    control::{
        coordinator::Coordinator,
        group::{Group, Proposal, ReplyPort, reply},
        supervisor::Supervisor,
    },
    event::Event,
    journal::JournalError,
};

impl ActorState {
    /// Emits events for a changed role or configuration, and creates or drops the state that only
    /// the leader has.
    pub(super) fn note_role(&mut self) {
        let node = self.group.as_ref().and_then(Group::node);
        let role = node.map(hemlockcrank_core::consensus::Node::role);
        let is_leader = node.is_some_and(hemlockcrank_core::consensus::Node::has_committed_in_term);
        let term = node.map_or(0, hemlockcrank_core::consensus::Node::term);
        if let Some(config) = node.map(|node| node.log().config())
            && *config != self.config
        {
            self.config = config.clone();
            let join = |ids: &BTreeSet<Id>| {
                let ids: Vec<String> = ids.iter().map(ToString::to_string).collect();
                ids.join(",")
            };
            let fields: [(&str, &dyn std::fmt::Display); 2] = [
                ("voters", &join(&config.voters)),
                ("learners", &join(&config.learners)),
            ];
            self.timeline.emit(Event::MembersChanged, &fields);
        }
        if role != self.role {
            self.role = role;
            if let Some(role) = role {
                self.timeline
                    .emit(Event::RoleChanged, &[("role", &role), ("term", &term)]);
            }
            if role != Some(Role::Leader)
                && let Some(group) = &mut self.group
            {
                group.abandon_proposals();
            }
        }
        match (is_leader, self.supervisor.is_some()) {
            (true, false) => {
                self.followers = Followers::default();
                self.pending_up.clear();
                self.supervisor = Some(Supervisor::begin(now_ms(), &self.state));
                self.coordinator = self.callbacks.as_ref().map(|_| {
                    let reporting = self.new_reporting(term);
                    Coordinator::new(term, now_ms(), reporting)
                });
            }
            (false, true) => {
                self.supervisor = None;
                self.coordinator = None;
            }
            _ => {}
        }
    }

    /// Does the leader's work of one tick; does nothing on other hosts.
    pub(super) fn lead(&mut self, now: u64) -> Result<(), JournalError> {
        if !self.leads(now) {
            return Ok(());
        }
        self.poller.renew_as_leader(now);
        let Some(supervisor) = &mut self.supervisor else {
            return Ok(());
        };
        let own_up = supervisor.note_heartbeat(now, &self.state, &self.host, self.state.index);
        supervisor.note_reports(now, &self.host.name, self.reports.clone());
        supervisor.note_serves(&self.host.name, self.settings.listen.caller.is_some());
        if let Some(coordinator) = &mut self.coordinator {
            coordinator
                .observations
                .record(now, &self.host.id(), self.primaries.observations(now));
        }
        let mut commands = supervisor.tick(now, &self.state);
        let down = supervisor.dead_hosts(now, &self.state);
        let mut up = std::mem::take(&mut self.pending_up);
        if own_up && !self.draining {
            up.insert(self.host.name.clone(), self.host.clone());
        }
        if !up.is_empty() || !down.is_empty() {
            let up = up.into_values().collect();
            commands.push(Command::Hosts { up, down });
        }
        for command in commands {
            self.propose(command, None);
        }
        self.run_reports(now);
        self.run_successions(now)
    }

    /// Whether this host leads, holds a valid leader lease, so that no other host can lead, and has
    /// applied every committed entry.
    pub(super) fn leads(&self, now: u64) -> bool {
        let node = self.group.as_ref().and_then(Group::node);
        let lease_until = node.and_then(hemlockcrank_core::consensus::Node::lease_until);
        let applied_all = node.is_some_and(|node| self.state.index >= node.commit());
        applied_all && lease_until.is_some_and(|until| now < until)
    }

    /// Proposes a command; without a port the outcome is dropped. Proposals that arrive together are
    /// written together, see [`Self::flush_proposals`].
    pub(super) fn propose(&mut self, command: Command, port: Option<ReplyPort>) {
        if self.group.is_none() {
            if let Some(port) = port {
                let leader = self.poller.leader().cloned();
                reply(port, ProposeReply::NotLeader { leader });
            }
            return;
        }
        let port = port.unwrap_or_else(|| ractor::concurrency::oneshot().0.into());
        if self.proposals.is_empty() {
            let _ = self.myself.cast(Message::Flush);
        }
        self.proposals.push(Proposal { command, port });
    }

    /// Writes all proposals that have arrived. Those that would change nothing are answered without
    /// an entry.
    pub(super) fn flush_proposals(&mut self) -> Result<(), JournalError> {
        let leads = self.leads(now_ms());
        let mut proposals = Vec::new();
        for proposal in std::mem::take(&mut self.proposals) {
            match self.state.reply_without_entry(&proposal.command) {
                Some(outcome) if leads => reply(
                    proposal.port,
                    ProposeReply::Applied {
                        reply: outcome,
                        index: self.state.index,
                    },
                ),
                _ => proposals.push(proposal),
            }
        }
        let Some(group) = self.group.as_mut().filter(|_| !proposals.is_empty()) else {
            return Ok(());
        };
        let effects = group.propose(proposals)?;
        self.apply_effects(effects);
        Ok(())
    }
}
