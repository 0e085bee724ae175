//! Selection of the member that serves a read.

use crate::{Name, session::Position};

/// A member that could serve a read, with its state as last reported.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name of the member.
    pub name: Name,
    /// Last reported position of its log; the actual position is the same or later.
    pub position: Position,
    /// Whether it is the current primary.
    pub primary: bool,
    /// Whether its availability zone is in service and the member answers.
    pub available: bool,
    /// Statements of this host that are running at the member or waiting for it.
    pub load: usize,
    /// Statements of this host that the member may run at once.
    pub slots: usize,
    /// Smoothed round-trip time, in microseconds.
    pub latency_us: u64,
}

/// Index of the member that should serve a read at or past `floor`.
///
/// Replicas are preferred over the primary, which serves the writes; among replicas, the one with the
/// shortest expected time. Members in `avoid` were tried already.
pub fn choose(candidates: &[Candidate], floor: Position, avoid: &[Name]) -> Option<usize> {
    candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| c.available && c.position >= floor && !avoid.contains(&c.name))
        .min_by_key(|(_, c)| (c.primary, expected_us(c)))
        .map(|(index, _)| index)
}

/// Expected time of a read at this member, in microseconds.
fn expected_us(candidate: &Candidate) -> u64 {
    let statements = candidate.load as u64 + 1;
    let slots = candidate.slots.max(1) as u64;
    candidate.latency_us.max(1) * statements.div_ceil(slots) + statements
}
