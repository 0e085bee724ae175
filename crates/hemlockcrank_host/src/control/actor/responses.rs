//! Answers of the actor: to polling hosts, to fresh disks, and for this host's status.

use hemlockcrank_core::{Name, consensus::Id, lease};
use hemlockcrank_wire::{Fetch, FetchReply, Formation, HostProgress, Response};
use ractor::RpcReplyPort;

use super::{ActorState, LongPoll};
use crate::{
    clock::now_ms,
    control::{
        Status,
        group::{Group, reply},
        supervisor::Supervisor,
    },
    journal::JournalError,
};

impl ActorState {
    /// Notes a poll from a host. It is answered when there are new entries, or after
    /// [`lease::RENEW_INTERVAL_MS`].
    pub(super) fn receive_poll(
        &mut self,
        fetch: Fetch,
        port: RpcReplyPort<Response>,
    ) -> Result<(), JournalError> {
        let now = now_ms();
        let Some(supervisor) = &mut self.supervisor else {
            reply(port, Response::Fetched(self.redirect()));
            return Ok(());
        };
        let host_up = supervisor.note_heartbeat(now, &self.state, &fetch.host, fetch.applied);
        supervisor.note_reports(now, &fetch.host.name, fetch.reports.clone());
        supervisor.note_serves(&fetch.host.name, fetch.serves_callers);
        if let Some(coordinator) = &mut self.coordinator {
            coordinator
                .observations
                .record(now, &fetch.host.name, fetch.primaries.clone());
        }
        if let Some(command) = host_up {
            self.propose(&command, None)?;
        }
        self.long_polls.push(LongPoll {
            deadline: now + lease::RENEW_INTERVAL_MS,
            fetch,
            port,
        });
        self.run_successions(now)
    }

    /// The answer of a host that does not lead: the leader, if it is known.
    pub(super) fn redirect(&self) -> FetchReply {
        let node = self.group.as_ref().and_then(Group::node);
        let leader = node.and_then(|node| node.leader());
        let leader = leader.map(|id| id.host.clone());
        let leader = leader.or_else(|| self.poller.leader().cloned());
        let address = leader.as_ref().and_then(|name| self.address_of(name));
        FetchReply::NotLeader { leader, address }
    }

    /// Answers the polls for which there are new entries or whose deadline has passed.
    pub(super) fn answer_long_polls(&mut self) {
        let now = now_ms();
        let leads = self.leads(now);
        let long_polls = std::mem::take(&mut self.long_polls);
        for poll in long_polls {
            let in_view = self.state.view.get(&poll.fetch.host.name) == Some(&poll.fetch.host);
            let ready = poll.fetch.applied < self.state.index || now >= poll.deadline;
            if self.supervisor.is_none() || (now >= poll.deadline && !(leads && in_view)) {
                reply(poll.port, Response::Fetched(self.redirect()));
            } else if leads && in_view && ready {
                let answer = self.updates_after(&poll.fetch.host.name, poll.fetch.applied);
                reply(poll.port, Response::Fetched(answer));
            } else {
                self.long_polls.push(poll);
            }
        }
    }

    /// Updates after `applied` with a lease for the host; the whole state when some of them are no
    /// longer kept.
    pub(super) fn updates_after(&mut self, host: &Name, applied: u64) -> FetchReply {
        let remaining_ms = lease::DURATION_MS;
        let index = self.state.index;
        let leader_status = self.leader_info(host);
        let all_kept = self
            .recent_updates
            .front()
            .is_some_and(|first| first.index <= applied + 1);
        let newer = || {
            let updates = self.recent_updates.iter();
            updates
                .skip_while(|update| update.index <= applied)
                .cloned()
                .collect()
        };
        let updates = (applied >= index || all_kept).then(newer);
        match updates {
            Some(updates) => FetchReply::Updates {
                updates,
                index,
                remaining_ms,
                leader_status,
            },
            None => FetchReply::State {
                state: Box::new(self.state.clone()),
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
        let leader = node
            .and_then(|node| node.leader())
            .map(|id| id.host.clone());
        let voters = node.map_or_else(Vec::new, |node| {
            let voters = node.log().config().voters.iter();
            voters.map(|id| id.host.clone()).collect()
        });
        Status {
            host: self.host.name.clone(),
            role,
            term: node.map_or(0, hemlockcrank_core::consensus::Node::term),
            leader: leader.or_else(|| self.poller.leader().cloned()),
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
