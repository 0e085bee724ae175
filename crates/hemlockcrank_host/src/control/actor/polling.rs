//! Polling the leader and applying its answer.

use std::{net::SocketAddr, time::Duration};

use hemlockcrank_core::{failover::Report, lease};
use hemlockcrank_wire::{Fetch, FetchReply, Request, Response};

use super::{ActorState, Message};
use crate::clock::now_ms;

/// Time limit of a poll: the leader answers after [`lease::RENEW_INTERVAL_MS`] at the latest.
const POLL_LIMIT: Duration = Duration::from_millis(lease::RENEW_INTERVAL_MS + 400);

impl ActorState {
    /// Polls the leader if a poll is due. With `urgent`, sends the reports and the observations of
    /// primaries at once and ignores the answer.
    pub(super) fn poll(&mut self, now: u64, urgent: bool) {
        if self.leaving || self.leads(now) {
            return;
        }
        let addresses = self.possible_leaders();
        let address = if urgent {
            self.leader_address()
        } else {
            self.poller.start(now, &addresses)
        };
        let Some(address) = address else {
            return;
        };
        let request = Request::Fetch(Fetch {
            host: self.host.clone(),
            applied: self.state.index,
            reports: self.reports.clone(),
            serves_callers: self.settings.listen.caller.is_some(),
            primaries: self.primaries.observations(now),
        });
        if urgent {
            self.send(address, request);
            return;
        }
        let (peers, myself) = (self.peers.clone(), self.myself.clone());
        tokio::spawn(async move {
            let answer = match peers.call(address, &request, POLL_LIMIT).await {
                Ok(Response::Fetched(reply)) => Some(reply),
                _ => None,
            };
            let _ = myself.cast(Message::PollAnswered {
                asked_at: now,
                answer,
            });
        });
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

    pub(super) fn apply_poll_answer(&mut self, asked_at: u64, answer: Option<FetchReply>) {
        let now = now_ms();
        match answer {
            None => self.poller.note_failure(now),
            Some(FetchReply::NotLeader { leader, address }) => {
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
                self.primaries
                    .apply_leader_status(asked_at, now, &leader_status);
                for update in &updates {
                    if update.index == self.state.index + 1 {
                        self.apply(update.index, update.command.as_ref());
                    }
                }
                self.poller.note_grant(index, asked_at, remaining_ms);
            }
            Some(FetchReply::State {
                state,
                remaining_ms,
                leader_status,
            }) => {
                self.primaries
                    .apply_leader_status(asked_at, now, &leader_status);
                let index = state.index;
                self.replace_state(*state);
                self.poller.note_grant(index, asked_at, remaining_ms);
            }
        }
        self.poller.note_applied(self.state.index);
        self.poll(now, false);
    }

    pub(super) fn set_reports(&mut self, reports: Vec<Report>) {
        let urgent = reports.iter().any(|report| report.suspects);
        self.reports = reports;
        if urgent {
            self.poll(now_ms(), true);
        }
    }
}
