//! Polling the leader, or a relay, and applying the answer.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use hemlockcrank_core::{
    failover::Report,
    membership::HostId,
    relay::{self, MAX_DIRECT_FOLLOWERS},
    updates::Update,
};
use hemlockcrank_wire::{Fetch, FetchReply, LeaderStatus, Request, Response};

use super::{ActorState, Message};
use crate::clock::now_ms;

/// Time limit of a poll, beyond the time for which it may be held, in milliseconds.
const POLL_MARGIN_MS: u64 = 400;
/// Time for which a relay may hold a poll, in milliseconds.
const RELAY_HOLD_MS: u64 = 250;

impl ActorState {
    /// Polls the parent (the leader, or a relay on a large site) if a poll is due. With `urgent`, sends the reports and the observations of
    /// primaries at once and ignores the answer.
    pub(super) fn poll(&mut self, now: u64, urgent: bool) {
        if self.leaving || self.leads(now) {
            return;
        }
        let addresses = self.possible_leaders();
        let relay = self.relay();
        let address = match (urgent, relay) {
            (false, relay) => {
                let leader = self.known_leader();
                self.poller.start(now, relay, leader, &addresses)
            }
            (true, Some(_)) => self.poller.parent(),
            (true, None) => self.leader_address(),
        };
        let Some(address) = address else {
            return;
        };
        let hold_ms = match (urgent, relay) {
            (true, _) => 0,
            (false, Some(_)) => RELAY_HOLD_MS,
            (false, None) => self.followers.poll_interval_ms(),
        };
        let fetch = self.fetch(now, hold_ms);
        let listed = relay::ids(&fetch.followers);
        let request = Request::Fetch(fetch);
        if urgent {
            self.send(address, request);
            return;
        }
        let (peers, myself) = (self.peers.clone(), self.myself.clone());
        tokio::spawn(async move {
            let limit = Duration::from_millis(hold_ms + POLL_MARGIN_MS);
            let answer = match peers.call(address, &request, limit).await {
                Ok(Response::Fetched(reply)) => Some(reply),
                _ => None,
            };
            let _ = myself.cast(Message::PollAnswered {
                asked_at: now,
                listed,
                answer,
            });
        });
    }

    /// The body of a poll. A relay reports what its followers have observed: it uses no primaries
    /// itself.
    fn fetch(&mut self, now: u64, hold_ms: u64) -> Fetch {
        let mut primaries = self.primaries.observations(now);
        if !self.followers.is_empty() {
            primaries = self.followers.observations(now);
        }
        Fetch {
            host: self.host.clone(),
            applied: self.state.index,
            reports: self.reports.clone(),
            serves_callers: self.settings.listen.caller.is_some(),
            primaries,
            catalog_version: self.state.catalog.version(),
            hold_ms,
            division: self.known_division(),
            usage: self.meter.tally(now),
            followers: self.followers.list(now, &self.state.view),
        }
    }

    /// Address of the relay that this host polls; `None` on hosts that poll the leader directly.
    fn relay(&self) -> Option<SocketAddr> {
        let large = self.state.view.len() > MAX_DIRECT_FOLLOWERS;
        let follows = self.host.control.is_none() && self.group.is_none();
        let relay = self.state.view.relay_for(&self.host);
        relay.filter(|_| large && follows).map(|relay| relay.peer)
    }

    /// Peer address of the leader according to this host's part in the control group, or to the last
    /// answer.
    fn known_leader(&self) -> Option<SocketAddr> {
        let leader = self.leader_name();
        let leader = leader.filter(|name| *name != self.host.name)?;
        self.address_of(&leader)
    }

    /// Peer addresses of the hosts that may lead: those in the settings and, with a platform, those
    /// in the view that serve control. This host is excluded.
    pub(super) fn possible_leaders(&self) -> Vec<SocketAddr> {
        let peers = self.settings.peers.iter();
        let mut addresses: Vec<SocketAddr> = peers.map(|peer| peer.address).collect();
        for host in self.state.view.iter() {
            let may_lead = host.name != self.host.name && host.control.is_some();
            if may_lead && !addresses.contains(&host.peer) {
                addresses.push(host.peer);
            }
        }
        addresses
    }

    pub(super) fn apply_poll_answer(
        &mut self,
        asked_at: u64,
        listed: BTreeSet<HostId>,
        answer: Option<FetchReply>,
    ) {
        let now = now_ms();
        match answer {
            None => {
                self.meter.note_loss();
                self.followers.repeat_uses();
                self.poller.note_failure(now);
            }
            Some(FetchReply::NotLeader { leader, address }) => {
                self.meter.note_loss();
                self.followers.repeat_uses();
                // A host that does not know yet that this one leads no more may name it.
                let leader = leader.filter(|name| *name != self.host.name);
                let known_address = leader.as_ref().and_then(|name| self.address_of(name));
                self.poller
                    .note_redirect(now, leader.zip(known_address.or(address)));
            }
            Some(FetchReply::Updates {
                updates,
                index,
                remaining_ms,
                leader_status,
            }) => {
                self.apply_leader_status(asked_at, now, leader_status);
                self.apply_updates(updates);
                self.poller
                    .note_grant(index, asked_at, remaining_ms, listed);
            }
            Some(FetchReply::State {
                state,
                remaining_ms,
                leader_status,
            }) => {
                self.apply_leader_status(asked_at, now, leader_status);
                let index = state.index;
                self.replace_state(*state);
                self.poller
                    .note_grant(index, asked_at, remaining_ms, listed);
            }
        }
        self.poller.note_applied(self.state.index);
        self.poll(now, false);
    }

    fn apply_leader_status(&mut self, asked_at: u64, now: u64, status: LeaderStatus) {
        self.primaries.apply_leader_status(asked_at, now, &status);
        self.meter.note_time(status.leader_term, status.true_ms);
        if let Some(leader) = status.leader.filter(|name| *name != self.host.name) {
            self.poller.note_leader(leader);
        }
        if let Some(division) = status.division {
            self.division = division;
        }
    }

    fn apply_updates(&mut self, updates: Vec<Update>) {
        for update in updates {
            if update.index != self.state.index + 1 {
                continue;
            }
            let Ok(command) = update.content.into_command(&self.state) else {
                return;
            };
            self.apply(update.index, command.as_ref());
        }
    }

    pub(super) fn set_reports(&mut self, reports: Vec<Report>) {
        let urgent = reports.iter().any(|report| report.suspects);
        self.reports = reports;
        if urgent {
            self.poll(now_ms(), true);
        }
    }
}
