//! Answering hosts that follow the log through this host while it does not lead.

use hemlockcrank_core::{Name, relay::MAX_DIRECT_FOLLOWERS};
use hemlockcrank_wire::{Fetch, LeaderStatus, Response};
use ractor::RpcReplyPort;

use super::{ActorState, LongPoll};
use crate::{clock::now_ms, control::group::reply};

/// Time that must remain of this host's own lease for it to grant others, in milliseconds. With
/// less, followers have to find another relay while their own leases last.
const MIN_REMAINING_MS: u64 = 1_000;
/// Time for which a new follower waits for a poll of this host that lists it, in milliseconds.
const LISTING_WAIT_MS: u64 = 300;

impl ActorState {
    /// Notes a poll from a host that follows through this one.
    pub(super) fn receive_as_relay(&mut self, fetch: Fetch, port: RpcReplyPort<Response>) {
        let now = now_ms();
        let follows = fetch.host.control.is_none() && fetch.followers.is_empty();
        if !follows || !self.relays(now) {
            reply(port, Response::Fetched(self.redirect()));
            return;
        }
        self.followers.note(
            now,
            fetch.host.clone(),
            fetch.applied,
            fetch.reports.clone(),
            fetch.primaries.clone(),
        );
        if let Some(tally) = &fetch.usage {
            let host = &fetch.host.name;
            self.followers.note_usage(now, host, tally.clone());
        }
        self.hold_poll(now, fetch, port);
    }

    /// Whether this host may grant leases under its own.
    fn relays(&self, now: u64) -> bool {
        self.host.control.is_some()
            && self.state.view.len() > MAX_DIRECT_FOLLOWERS
            && self.poller.lease().remaining(now) >= MIN_REMAINING_MS
            && !self.draining
    }

    /// Answers a poll as a relay, or returns it if it has to wait.
    pub(super) fn answer_as_relay(&mut self, now: u64, poll: LongPoll) -> Option<LongPoll> {
        let host = &poll.fetch.host;
        let in_view = self.state.view.get(&host.name) == Some(host);
        let listed = self.poller.lists(&host.id());
        let overdue = now >= poll.deadline + LISTING_WAIT_MS;
        if !self.relays(now) || (overdue && !(in_view && listed)) {
            reply(poll.port, Response::Fetched(self.redirect()));
            return None;
        }
        let ready = poll.fetch.applied < self.state.index || now >= poll.deadline;
        if !(in_view && listed && ready) {
            return Some(poll);
        }
        let until = self.poller.lease().until();
        let remaining_ms = until.saturating_sub(poll.received_at);
        let status = self.relayed_status(now, &host.name.clone());
        let answer = self.updates_for(&poll.fetch, remaining_ms, status);
        reply(poll.port, Response::Fetched(answer));
        None
    }

    /// What this host knows from the leader, for a follower.
    fn relayed_status(&self, now: u64, follower: &Name) -> LeaderStatus {
        let shares = self.division.shares.get(follower);
        LeaderStatus {
            shares: shares.cloned().unwrap_or_default(),
            leader: self.leader_name(),
            true_ms: self.meter.true_ms(now),
            ..self.primaries.leader_status(now)
        }
    }

    /// Version of the division of connections, if it covers all followers.
    pub(super) fn known_division(&self) -> u64 {
        let shares = &self.division.shares;
        match self.followers.names().all(|name| shares.contains_key(name)) {
            true => self.division.version,
            false => 0,
        }
    }

    /// Passes urgent reports of the followers on to the leader.
    pub(super) fn relay_urgent(&mut self, now: u64) {
        if self.followers.take_urgent() {
            self.poll(now, true);
        }
    }
}
