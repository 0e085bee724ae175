//! Which host to ask for log entries and a lease.
//!
//! A host asks the one that answered last. When that one falls silent, each further question to a
//! host that does not answer costs about a third of a lease, so it is not asked again at once, and a
//! leader that this host knows from its own part in the control group is asked first.

use std::net::SocketAddr;

/// The host that is asked, and the one that fell silent last.
#[derive(Clone, Debug, Default)]
pub struct Parent {
    current: Option<SocketAddr>,
    silent: Option<SocketAddr>,
    next: usize,
}

impl Parent {
    /// Address that is asked, if it is known.
    pub fn current(&self) -> Option<SocketAddr> {
        self.current
    }

    /// Chooses the address of the next question: `relay` if there is one, the one that answered last,
    /// `leader` if it is known, else the next of `addresses`.
    pub fn choose(
        &mut self,
        relay: Option<SocketAddr>,
        leader: Option<SocketAddr>,
        addresses: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let leader = leader.filter(|address| Some(*address) != self.silent);
        let known = relay.or(self.current).or(leader);
        self.current = known.or_else(|| self.next_of(addresses));
        self.current
    }

    /// The next address in turn, other than the silent one if there is another.
    fn next_of(&mut self, addresses: &[SocketAddr]) -> Option<SocketAddr> {
        let others = addresses
            .iter()
            .filter(|address| Some(**address) != self.silent);
        let others: Vec<&SocketAddr> = others.collect();
        self.next += 1;
        match others.is_empty() {
            true => addresses.first().copied(),
            false => others
                .get(self.next % others.len())
                .map(|address| **address),
        }
    }

    /// The host that was asked has not answered, or knows nothing.
    pub fn note_silence(&mut self) {
        self.silent = self.current.take();
    }

    /// Another host has named this one as the leader.
    pub fn note_named(&mut self, leader: SocketAddr) {
        self.current = Some(leader);
    }

    /// This host leads; it asks nobody.
    pub fn clear(&mut self) {
        self.current = None;
        self.silent = None;
    }
}
