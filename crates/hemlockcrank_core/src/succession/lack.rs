//! Why a change of primary waits, for operators: without a proof it waits for as long as it takes.

use super::{Inputs, Succession, change::others};

/// Time after which a change that has nominated nobody says what it lacks, in milliseconds.
const PATIENCE_MS: u64 = 2_000;

/// What a change of primary lacks for a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Lack {
    /// Answers: of a member or of the old primary, or the reports of all hosts.
    Answers,
    /// The log of a replica that was lost since it was last known how far commits had come.
    Log,
    /// Commits: no member that has answered has reached what may have been acknowledged.
    Commits,
}

impl Succession {
    /// What the change in progress lacks, once it has waited for two seconds; `None` if it has
    /// nominated a member, or if none is in progress.
    pub fn lack(&self, now: u64, inputs: &Inputs<'_>) -> Option<Lack> {
        inputs.group.change?;
        if inputs.nominee().is_some() || now < self.began_at + PATIENCE_MS {
            return None;
        }
        let others = others(inputs.group);
        let all_answered = others.iter().all(|name| self.rows.contains_key(name));
        let received = self.rows.values().map(|latest| latest.row.received);
        let has_reached = received.max() >= Some(inputs.least());
        Some(match (all_answered, has_reached) {
            (true, false) => Lack::Commits,
            (true, true) if !inputs.is_covered() => Lack::Log,
            _ => Lack::Answers,
        })
    }
}
