//! Asking a parent for news, and taking its answer.

use std::{net::SocketAddr, time::Duration};

use hemlockcrank_core::{failover::Report, lease};
use hemlockcrank_wire::{Fetch, FetchReply, Request, Response};

use super::{Control, Message};
use crate::clock::now_ms;

/// Longest wait for news: a parent holds a question for [`lease::RENEW_INTERVAL_MS`] at most.
const NEWS_LIMIT: Duration = Duration::from_millis(lease::RENEW_INTERVAL_MS + 400);

impl Control {
    pub(super) fn follow(&mut self, now: u64, urgent: bool) {
        if self.left || self.leads(now) {
            return;
        }
        let candidates = self.candidates();
        let address = if urgent {
            self.leader_address()
        } else {
            self.following.next(now, &candidates)
        };
        let Some(address) = address else {
            return;
        };
        let request = Request::Fetch(Fetch {
            host: self.host.clone(),
            applied: self.state.index,
            reports: self.reports.clone(),
            serves_callers: self.settings.listen.caller.is_some(),
            primaries: self.board.sights(now),
        });
        if urgent {
            self.send(address, request);
            return;
        }
        let (peers, myself) = (self.peers.clone(), self.myself.clone());
        tokio::spawn(async move {
            let news = match peers.call(address, &request, NEWS_LIMIT).await {
                Ok(Response::Fetched(news)) => Some(news),
                _ => None,
            };
            let _ = myself.cast(Message::News {
                asked_at: now,
                news,
            });
        });
    }

    /// Peer addresses that may lead: the hosts named in the settings and, on a platform of its own, those
    /// in view that serve control. This one is left out.
    pub(super) fn candidates(&self) -> Vec<SocketAddr> {
        let peers = self.settings.peers.iter();
        let mut addresses: Vec<SocketAddr> = peers.map(|peer| peer.address).collect();
        for host in self.state.view.iter() {
            let other = host.name != self.host.name && host.control.is_some();
            if other && !addresses.contains(&host.peer) {
                addresses.push(host.peer);
            }
        }
        addresses
    }

    pub(super) fn news(&mut self, asked_at: u64, news: Option<FetchReply>) {
        let now = now_ms();
        match news {
            None => self.following.failed(now),
            Some(FetchReply::NotLeader { leader, address }) => {
                let own = leader.as_ref().and_then(|name| self.address_of(name));
                self.following.redirected(now, leader.zip(own.or(address)));
            }
            Some(FetchReply::Updates {
                updates,
                index,
                remaining_ms,
                leader_status,
            }) => {
                self.board.hear(asked_at, now, &leader_status);
                for update in &updates {
                    if update.index == self.state.index + 1 {
                        self.apply(update.index, update.command.as_ref());
                    }
                }
                self.following.granted(index, asked_at, remaining_ms);
            }
            Some(FetchReply::State {
                state,
                remaining_ms,
                leader_status,
            }) => {
                self.board.hear(asked_at, now, &leader_status);
                let index = state.index;
                self.replace_state(*state);
                self.following.granted(index, asked_at, remaining_ms);
            }
        }
        self.following.reached(self.state.index);
        self.follow(now, false);
    }

    pub(super) fn own_reports(&mut self, reports: Vec<Report>) {
        let urgent = reports.iter().any(|report| report.suspects);
        self.reports = reports;
        if urgent {
            self.follow(now_ms(), true);
        }
    }
}
