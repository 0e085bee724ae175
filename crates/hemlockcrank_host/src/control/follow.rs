//! Asking a parent for news and a lease.

use std::net::SocketAddr;

use hemlockcrank_core::{
    Name,
    lease::{self, Lease},
};

/// Pause after a parent that could not answer, in milliseconds.
const RETRY_MS: u64 = 50;

/// An answer that becomes a lease once the state has reached its index.
#[derive(Clone, Copy, Debug)]
struct Pending {
    index: u64,
    asked_at: u64,
    remaining_ms: u64,
}

/// Where this host asks, and what it was granted.
#[derive(Debug, Default)]
pub(crate) struct Following {
    lease: Lease,
    pending: Option<Pending>,
    leader: Option<(Name, SocketAddr)>,
    next_candidate: usize,
    asking: bool,
    ask_at: u64,
}

impl Following {
    /// Authority held.
    pub(crate) fn lease(&self) -> Lease {
        self.lease
    }

    /// Leader as far as known.
    pub(crate) fn leader(&self) -> Option<&Name> {
        self.leader.as_ref().map(|(name, _)| name)
    }

    /// Address to ask now, if it is time: the known leader, else the candidates in turn.
    pub(crate) fn next(&mut self, now: u64, candidates: &[SocketAddr]) -> Option<SocketAddr> {
        if self.asking || now < self.ask_at {
            return None;
        }
        let address = match &self.leader {
            Some((_, address)) => *address,
            None => {
                self.next_candidate += 1;
                *candidates.get(self.next_candidate % candidates.len().max(1))?
            }
        };
        self.asking = true;
        Some(address)
    }

    /// The parent did not answer.
    pub(crate) fn failed(&mut self, now: u64) {
        self.asking = false;
        self.leader = None;
        self.ask_at = now + RETRY_MS;
    }

    /// The parent named another one.
    pub(crate) fn redirected(&mut self, now: u64, leader: Option<(Name, SocketAddr)>) {
        self.asking = false;
        self.leader = leader;
        self.ask_at = now + RETRY_MS;
    }

    /// The parent answered at `index`.
    pub(crate) fn granted(&mut self, index: u64, asked_at: u64, remaining_ms: u64) {
        self.asking = false;
        self.pending = Some(Pending {
            index,
            asked_at,
            remaining_ms,
        });
    }

    /// Turns a pending answer into a lease once the state is there.
    pub(crate) fn reached(&mut self, index: u64) {
        if let Some(pending) = self.pending.take_if(|pending| pending.index <= index) {
            self.lease.renew(pending.asked_at, pending.remaining_ms);
        }
    }

    /// The leader's own authority, as of now.
    pub(crate) fn lead(&mut self, now: u64) {
        self.leader = None;
        self.lease.renew(now, lease::DURATION_MS);
    }
}
