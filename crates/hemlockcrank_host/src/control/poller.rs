//! Polling the leader for updates and a lease.

use std::net::SocketAddr;

use hemlockcrank_core::{
    Name,
    lease::{self, Lease},
};

/// Pause after a poll that failed or was redirected, in milliseconds.
const RETRY_MS: u64 = 50;

/// A grant that becomes a lease once the local state has reached its index.
#[derive(Clone, Copy, Debug)]
struct Grant {
    index: u64,
    asked_at: u64,
    remaining_ms: u64,
}

/// Address to poll next, the state of the current poll, and the lease.
#[derive(Debug, Default)]
pub(crate) struct Poller {
    lease: Lease,
    pending_grant: Option<Grant>,
    leader: Option<(Name, SocketAddr)>,
    next_address: usize,
    in_flight: bool,
    next_poll_at: u64,
}

impl Poller {
    /// Current lease.
    pub(crate) fn lease(&self) -> Lease {
        self.lease
    }

    /// Leader, if it is known.
    pub(crate) fn leader(&self) -> Option<&Name> {
        self.leader.as_ref().map(|(name, _)| name)
    }

    /// Starts a poll if one is due and returns its address: the known leader, else the next of
    /// `addresses`.
    pub(crate) fn start(&mut self, now: u64, addresses: &[SocketAddr]) -> Option<SocketAddr> {
        if self.in_flight || now < self.next_poll_at {
            return None;
        }
        let address = match &self.leader {
            Some((_, address)) => *address,
            None => {
                self.next_address += 1;
                *addresses.get(self.next_address % addresses.len().max(1))?
            }
        };
        self.in_flight = true;
        Some(address)
    }

    /// Notes that the poll got no answer.
    pub(crate) fn note_failure(&mut self, now: u64) {
        self.in_flight = false;
        self.leader = None;
        self.next_poll_at = now + RETRY_MS;
    }

    /// Notes that the polled host is not the leader, and the leader that it named.
    pub(crate) fn note_redirect(&mut self, now: u64, leader: Option<(Name, SocketAddr)>) {
        self.in_flight = false;
        self.leader = leader;
        self.next_poll_at = now + RETRY_MS;
    }

    /// Notes a lease grant that takes effect once `index` is applied.
    pub(crate) fn note_grant(&mut self, index: u64, asked_at: u64, remaining_ms: u64) {
        self.in_flight = false;
        self.pending_grant = Some(Grant {
            index,
            asked_at,
            remaining_ms,
        });
    }

    /// Renews the lease from a pending grant whose index has been applied.
    pub(crate) fn note_applied(&mut self, index: u64) {
        if let Some(grant) = self.pending_grant.take_if(|grant| grant.index <= index) {
            self.lease.renew(grant.asked_at, grant.remaining_ms);
        }
    }

    /// Renews the lease of this host while it is the leader.
    pub(crate) fn renew_as_leader(&mut self, now: u64) {
        self.leader = None;
        self.lease.renew(now, lease::DURATION_MS);
    }
}
