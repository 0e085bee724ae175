//! This host's role in the control group, and what a leader does in each turn.

use std::collections::BTreeSet;

use hemlockcrank_core::{
    consensus::{Id, Role},
    state::Command,
};
use hemlockcrank_wire::ProposeReply;

use super::Control;
use crate::{
    clock::now_ms,
    control::{
        group::{Group, ReplyPort, reply},
        leader::Duties,
        steward::Steward,
    },
    event::Event,
    journal::JournalError,
};

impl Control {
    pub(super) fn note_role(&mut self) {
        let node = self.group.as_ref().and_then(Group::node);
        let role = node.map(hemlockcrank_core::consensus::Node::role);
        let leads = node.is_some_and(hemlockcrank_core::consensus::Node::has_committed_in_term);
        let term = node.map_or(0, hemlockcrank_core::consensus::Node::term);
        if let Some(members) = node.map(|node| node.log().config())
            && *members != self.members
        {
            self.members = members.clone();
            let show = |ids: &BTreeSet<Id>| {
                let ids: Vec<String> = ids.iter().map(ToString::to_string).collect();
                ids.join(",")
            };
            let fields: [(&str, &dyn std::fmt::Display); 2] = [
                ("voters", &show(&members.voters)),
                ("learners", &show(&members.learners)),
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
                group.abandon();
            }
        }
        match (leads, self.duties.is_some()) {
            (true, false) => {
                self.duties = Some(Duties::begin(now_ms(), &self.state));
                self.steward = self.overseer.as_ref().map(|_| Steward::new(term));
            }
            (false, true) => {
                self.duties = None;
                self.steward = None;
            }
            _ => {}
        }
    }

    pub(super) fn lead(&mut self, now: u64) -> Result<(), JournalError> {
        if !self.leads(now) {
            return Ok(());
        }
        self.following.lead(now);
        let Some(duties) = &mut self.duties else {
            return Ok(());
        };
        let own = duties.heard(now, &self.state, &self.host, self.state.index);
        duties.reports(now, &self.host.name, self.reports.clone());
        duties.serves(&self.host.name, self.settings.listen.caller.is_some());
        if let Some(steward) = &mut self.steward {
            steward
                .sightings
                .record(now, &self.host.name, self.board.sights(now));
        }
        let mut commands = duties.tick(now, &self.state);
        commands.extend(own.filter(|_| !self.draining));
        for command in commands {
            self.propose(&command, None)?;
        }
        self.oversee(now)
    }

    /// Whether this host leads and no other can.
    pub(super) fn leads(&self, now: u64) -> bool {
        let node = self.group.as_ref().and_then(Group::node);
        let until = node.and_then(hemlockcrank_core::consensus::Node::lease_until);
        let current = node.is_some_and(|node| self.state.index >= node.commit());
        current && until.is_some_and(|until| now < until)
    }

    pub(super) fn propose(
        &mut self,
        command: &Command,
        port: Option<ReplyPort>,
    ) -> Result<(), JournalError> {
        let Some(group) = &mut self.group else {
            if let Some(port) = port {
                let leader = self.following.leader().cloned();
                reply(port, ProposeReply::NotLeader { leader });
            }
            return Ok(());
        };
        let port = port.unwrap_or_else(|| ractor::concurrency::oneshot().0.into());
        let work = group.propose(command, port)?;
        self.work(work);
        Ok(())
    }
}
