//! Which member serves a read.

use crate::{Name, session::Position};

/// What is known of one member.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Member.
    pub name: Name,
    /// Last known position of its log; it has this one or a later one.
    pub position: Position,
    /// Whether it is the present primary.
    pub primary: bool,
    /// Whether its availability zone takes work and it answers.
    pub available: bool,
    /// Statements in service and waiting here.
    pub load: usize,
    /// Statements that it may run at once for this host.
    pub slots: usize,
    /// Smoothed time of a round trip, in microseconds.
    pub latency_us: u64,
}

/// Index of the member that should serve a read at or past `floor`.
///
/// Replicas go before the primary, which has the writes; among them the one with the shortest expected
/// time. Members in `avoid` were tried already.
pub fn choose(candidates: &[Candidate], floor: Position, avoid: &[Name]) -> Option<usize> {
    candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| c.available && c.position >= floor && !avoid.contains(&c.name))
        .min_by_key(|(_, c)| (c.primary, expected_us(c)))
        .map(|(index, _)| index)
}

fn expected_us(candidate: &Candidate) -> u64 {
    let rounds = candidate.load as u64 + 1;
    let slots = candidate.slots.max(1) as u64;
    candidate.latency_us.max(1) * rounds.div_ceil(slots) + rounds
}
