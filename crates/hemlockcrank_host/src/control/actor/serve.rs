//! What the actor answers: followers' questions, and how this host stands.

use hemlockcrank_core::{Name, consensus::Id, lease};
use hemlockcrank_wire::{Fetch, FetchReply, Formation, HostProgress, Response};
use ractor::RpcReplyPort;

use super::{Control, Held};
use crate::{
    clock::now_ms,
    control::{
        Status,
        group::{Group, reply},
        leader::Duties,
    },
    journal::JournalError,
};

impl Control {
    pub(super) fn followed(
        &mut self,
        follow: Fetch,
        port: RpcReplyPort<Response>,
    ) -> Result<(), JournalError> {
        let now = now_ms();
        let Some(duties) = &mut self.duties else {
            reply(port, Response::Fetched(self.redirect()));
            return Ok(());
        };
        let command = duties.heard(now, &self.state, &follow.host, follow.applied);
        duties.reports(now, &follow.host.name, follow.reports.clone());
        duties.serves(&follow.host.name, follow.serves_callers);
        if let Some(steward) = &mut self.steward {
            steward
                .sightings
                .record(now, &follow.host.name, follow.primaries.clone());
        }
        if let Some(command) = command {
            self.propose(&command, None)?;
        }
        self.held.push(Held {
            until: now + lease::RENEW_INTERVAL_MS,
            follow,
            port,
        });
        self.oversee(now)
    }

    pub(super) fn redirect(&self) -> FetchReply {
        let node = self.group.as_ref().and_then(Group::node);
        let known = node.and_then(|node| node.leader());
        let leader = known.map(|id| id.host.clone());
        let leader = leader.or_else(|| self.following.leader().cloned());
        let address = leader.as_ref().and_then(|name| self.address_of(name));
        FetchReply::NotLeader { leader, address }
    }

    /// Answers held questions that have news or have waited long enough.
    pub(super) fn answer_held(&mut self) {
        let now = now_ms();
        let leads = self.leads(now);
        let still = std::mem::take(&mut self.held);
        for held in still {
            let listed = self.state.view.get(&held.follow.host.name) == Some(&held.follow.host);
            let due = held.follow.applied < self.state.index || now >= held.until;
            if self.duties.is_none() || (now >= held.until && !(leads && listed)) {
                reply(held.port, Response::Fetched(self.redirect()));
            } else if leads && listed && due {
                let news = self.updates_after(&held.follow.host.name, held.follow.applied);
                reply(held.port, Response::Fetched(news));
            } else {
                self.held.push(held);
            }
        }
    }

    pub(super) fn updates_after(&mut self, host: &Name, applied: u64) -> FetchReply {
        let remaining_ms = lease::DURATION_MS;
        let index = self.state.index;
        let leader_status = self.bearings(host);
        let reaches_back = self
            .recent
            .front()
            .is_some_and(|first| first.index <= applied + 1);
        let newer = || {
            let all = self.recent.iter();
            all.skip_while(|update| update.index <= applied)
                .cloned()
                .collect()
        };
        let entries = (applied >= index || reaches_back).then(newer);
        match entries {
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
        let own: Option<&Id> = node.map(hemlockcrank_core::consensus::Node::id);
        let role: Name = match (&self.group, node) {
            (None, _) => "none".into(),
            (Some(_), None) => "fresh".into(),
            (_, Some(node)) if own.is_some_and(|id| node.log().config().learners.contains(id)) => {
                "learner".into()
            }
            (_, Some(node)) if !node.log().config().contains(node.id()) => "joining".into(),
            (_, Some(node)) => node.role().to_string().into(),
        };
        let known = node
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
            leader: known.or_else(|| self.following.leader().cloned()),
            voters,
            applied: self.state.index,
            lease_ms: self.following.lease().remaining(now_ms()),
            hosts: self.progress(),
        }
    }

    pub(super) fn progress(&self) -> Vec<HostProgress> {
        match &self.duties {
            Some(duties) => duties.progress(&self.state),
            None => Duties::default().progress(&self.state),
        }
    }
}
