//! Answers of the actor: to polling hosts, to fresh disks, and for this host's status.

use hemlockcrank_core::{
    Name,
    consensus::Id,
    failover::Report,
    lease,
    membership::Host,
    updates::{Answer, Progress},
};
use hemlockcrank_wire::{Fetch, FetchReply, Formation, HostProgress, LeaderStatus, Response};
use ractor::RpcReplyPort;

use super::{ActorState, LongPoll};
use crate::{
    clock::now_ms,
    control::{
        Status,
        group::{Group, reply},
        supervisor::Supervisor,
    },
};

impl ActorState {
    /// Notes a poll from a host. It is answered when there are new entries, or when the time has
    /// passed for which it may be held.
    pub(super) fn receive_poll(&mut self, fetch: Fetch, port: RpcReplyPort<Response>) {
        let now = now_ms();
        if self.supervisor.is_none() {
            self.receive_as_relay(fetch, port);
            return;
        }
        self.note_host(now, &fetch.host, fetch.applied, fetch.reports.clone());
        if let Some(supervisor) = &mut self.supervisor {
            supervisor.note_serves(&fetch.host.name, fetch.serves_callers);
        }
        if let Some(coordinator) = &mut self.coordinator {
            coordinator
                .observations
                .record(now, &fetch.host.id(), fetch.primaries.clone());
        }
        if let Some(tally) = &fetch.usage {
            self.note_usage(now, &fetch.host.id(), tally);
        }
        self.note_followers(now, &fetch);
        self.hold_poll(now, fetch, port);
    }

    pub(super) fn hold_poll(&mut self, now: u64, fetch: Fetch, port: RpcReplyPort<Response>) {
        self.long_polls.push(LongPoll {
            received_at: now,
            deadline: now + fetch.hold_ms.min(lease::RENEW_INTERVAL_MS),
            fetch,
            port,
        });
    }

    /// Notes, as the leader, that a host has polled this host or a relay. A host that is not in the
    /// view is added at the next tick.
    fn note_host(&mut self, now: u64, host: &Host, applied: u64, reports: Vec<Report>) {
        let Some(supervisor) = &mut self.supervisor else {
            return;
        };
        if supervisor.note_heartbeat(now, &self.state, host, applied) {
            self.pending_up.insert(host.name.clone(), host.clone());
        }
        supervisor.note_reports(now, &host.name, reports);
    }

    /// Notes the hosts that a relay lists.
    fn note_followers(&mut self, now: u64, fetch: &Fetch) {
        for follower in &fetch.followers {
            let name = &follower.id.name;
            let host = follower
                .host
                .as_ref()
                .or(self.state.view.find(&follower.id));
            let outdated = self
                .supervisor
                .as_ref()
                .is_some_and(|supervisor| supervisor.removed_after(name, fetch.applied));
            let Some(host) = host.filter(|_| !outdated).cloned() else {
                continue;
            };
            self.note_host(now, &host, follower.applied, follower.reports.clone());
            if let Some(tally) = &follower.usage {
                self.note_usage(now, &follower.id, tally);
            }
            if let Some(coordinator) = &mut self.coordinator {
                coordinator
                    .observations
                    .record_uses(&follower.id, follower.uses.clone());
            }
        }
    }

    /// Name of the leader, if it is known.
    pub(super) fn leader_name(&self) -> Option<Name> {
        let node = self.group.as_ref().and_then(Group::node);
        let leader = node.and_then(|node| node.leader());
        let leader = leader.map(|id| id.host.clone());
        leader.or_else(|| self.poller.leader().cloned())
    }

    /// The answer of a host that does not lead: the leader, if it is known.
    pub(super) fn redirect(&self) -> FetchReply {
        let leader = self.leader_name();
        let address = leader.as_ref().and_then(|name| self.address_of(name));
        FetchReply::NotLeader { leader, address }
    }

    /// Answers the polls for which there are new entries or whose deadline has passed.
    pub(super) fn answer_long_polls(&mut self) {
        let now = now_ms();
        let leads = self.leads(now);
        for poll in std::mem::take(&mut self.long_polls) {
            let waiting = match self.supervisor.is_some() {
                true => self.answer_as_leader(now, leads, poll),
                false => self.answer_as_relay(now, poll),
            };
            self.long_polls.extend(waiting);
        }
    }

    /// Answers a poll as the leader, or returns it if it has to wait.
    fn answer_as_leader(&mut self, now: u64, leads: bool, poll: LongPoll) -> Option<LongPoll> {
        let host = &poll.fetch.host;
        let in_view = self.state.view.get(&host.name) == Some(host);
        let overdue = now >= poll.received_at + lease::RENEW_INTERVAL_MS;
        let ready = poll.fetch.applied < self.state.index || now >= poll.deadline;
        if leads && in_view && ready {
            let status = self.leader_info(&poll.fetch);
            let answer = self.updates_for(&poll.fetch, lease::DURATION_MS, status);
            reply(poll.port, Response::Fetched(answer));
            return None;
        }
        if overdue {
            reply(poll.port, Response::Fetched(self.redirect()));
            return None;
        }
        Some(poll)
    }

    /// What a host lacks, with a lease and what the leader reports.
    pub(super) fn updates_for(
        &mut self,
        fetch: &Fetch,
        remaining_ms: u64,
        leader_status: LeaderStatus,
    ) -> FetchReply {
        let progress = Progress {
            applied: fetch.applied,
            catalog_version: fetch.catalog_version,
            serves_operators: fetch.host.control.is_some(),
        };
        match self.updates.answer(progress, &self.state) {
            Answer::Updates(updates) => FetchReply::Updates {
                updates,
                index: self.state.index,
                remaining_ms,
                leader_status,
            },
            Answer::State(state) => FetchReply::State {
                state,
                remaining_ms,
                leader_status,
            },
        }
    }

    pub(super) fn formation(&self) -> Formation {
        match &self.group {
            None => Formation::NoDisk,
            Some(group) => match group.node() {
                None => Formation::Fresh(group.id().clone()),
                Some(node) => Formation::Formed {
                    config: node.log().config().clone(),
                },
            },
        }
    }

    pub(super) fn status(&self) -> Status {
        let node = self.group.as_ref().and_then(Group::node);
        let own_id: Option<&Id> = node.map(hemlockcrank_core::consensus::Node::id);
        let role: Name = match (&self.group, node) {
            (None, _) => "none".into(),
            (Some(_), None) => "fresh".into(),
            (_, Some(node))
                if own_id.is_some_and(|id| node.log().config().learners.contains(id)) =>
            {
                "learner".into()
            }
            (_, Some(node)) if !node.log().config().contains(node.id()) => "joining".into(),
            (_, Some(node)) => node.role().to_string().into(),
        };
        let voters = node.map_or_else(Vec::new, |node| {
            let voters = node.log().config().voters.iter();
            voters.map(|id| id.host.clone()).collect()
        });
        Status {
            host: self.host.name.clone(),
            role,
            term: node.map_or(0, hemlockcrank_core::consensus::Node::term),
            leader: self.leader_name(),
            voters,
            applied: self.state.index,
            lease_ms: self.poller.lease().remaining(now_ms()),
            hosts: self.progress(),
        }
    }

    pub(super) fn progress(&self) -> Vec<HostProgress> {
        match &self.supervisor {
            Some(supervisor) => supervisor.progress(&self.state),
            None => Supervisor::default().progress(&self.state),
        }
    }
}
