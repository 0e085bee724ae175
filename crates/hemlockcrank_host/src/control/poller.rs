//! Polling the leader, or a relay, for updates and a lease.

use std::{collections::BTreeSet, net::SocketAddr};

use hemlockcrank_core::{
    Name,
    lease::{self, Lease},
    membership::HostId,
    parent::Parent,
};

/// Pause after the first poll that failed, or one that was redirected to the leader, in milliseconds;
/// it doubles with each further failure, [`MAX_DOUBLINGS`] times.
const RETRY_MS: u64 = 50;
/// Largest number of doublings of the pause.
const MAX_DOUBLINGS: u32 = 2;
/// Time for which a relay that did not grant a lease is not polled again, in milliseconds.
const RELAY_PAUSE_MS: u64 = 2_000;

/// A grant that becomes a lease once the local state has reached its index.
#[derive(Clone, Debug)]
struct Grant {
    index: u64,
    asked_at: u64,
    remaining_ms: u64,
    /// Followers that the poll listed.
    listed: BTreeSet<HostId>,
}

/// Address to poll next, the state of the current poll, and the lease.
#[derive(Debug, Default)]
pub(crate) struct Poller {
    lease: Lease,
    /// Followers that may be granted a lease under this host's own.
    listed: BTreeSet<HostId>,
    pending_grant: Option<Grant>,
    leader: Option<Name>,
    parent: Parent,
    in_flight: bool,
    next_poll_at: u64,
    /// Polls without a grant since the last one that had one.
    failures: u32,
    relay_paused_until: u64,
}

impl Poller {
    /// Current lease.
    pub(crate) fn lease(&self) -> Lease {
        self.lease
    }

    /// Whether the poll that led to the current lease listed this follower.
    pub(crate) fn lists(&self, follower: &HostId) -> bool {
        self.listed.contains(follower)
    }

    /// Leader, if it is known.
    pub(crate) fn leader(&self) -> Option<&Name> {
        self.leader.as_ref()
    }

    /// Address that this host polls, if it is known.
    pub(crate) fn parent(&self) -> Option<SocketAddr> {
        self.parent.current()
    }

    /// Starts a poll if one is due and returns its address; see [`Parent::choose`]. A relay that has
    /// failed lately is passed over.
    pub(crate) fn start(
        &mut self,
        now: u64,
        relay: Option<SocketAddr>,
        leader: Option<SocketAddr>,
        addresses: &[SocketAddr],
    ) -> Option<SocketAddr> {
        if self.in_flight || now < self.next_poll_at {
            return None;
        }
        let relay = relay.filter(|_| now >= self.relay_paused_until);
        let address = self.parent.choose(relay, leader, addresses)?;
        self.in_flight = true;
        Some(address)
    }

    /// Notes that the poll got no answer.
    pub(crate) fn note_failure(&mut self, now: u64) {
        self.in_flight = false;
        self.leader = None;
        self.parent.note_silence();
        self.next_poll_at = now + (RETRY_MS << self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        self.relay_paused_until = now + RELAY_PAUSE_MS;
    }

    /// Notes that the polled host grants no lease, and the leader that it named.
    pub(crate) fn note_redirect(&mut self, now: u64, leader: Option<(Name, SocketAddr)>) {
        self.note_failure(now);
        if let Some((name, address)) = leader {
            self.leader = Some(name);
            self.parent.note_named(address);
            self.next_poll_at = now + RETRY_MS;
        }
    }

    /// Notes a lease grant that takes effect once `index` is applied, and the followers that the
    /// poll listed.
    pub(crate) fn note_grant(
        &mut self,
        index: u64,
        asked_at: u64,
        remaining_ms: u64,
        listed: BTreeSet<HostId>,
    ) {
        self.in_flight = false;
        self.failures = 0;
        self.pending_grant = Some(Grant {
            index,
            asked_at,
            remaining_ms,
            listed,
        });
    }

    /// Notes the leader that an answer named.
    pub(crate) fn note_leader(&mut self, leader: Name) {
        self.leader = Some(leader);
    }

    /// Renews the lease from a pending grant whose index has been applied.
    pub(crate) fn note_applied(&mut self, index: u64) {
        if let Some(grant) = self.pending_grant.take_if(|grant| grant.index <= index) {
            self.lease.renew(grant.asked_at, grant.remaining_ms);
            self.listed = grant.listed;
        }
    }

    /// Renews the lease of this host while it is the leader.
    pub(crate) fn renew_as_leader(&mut self, now: u64) {
        self.leader = None;
        self.parent.clear();
        self.listed.clear();
        self.lease.renew(now, lease::DURATION_MS);
    }
}
