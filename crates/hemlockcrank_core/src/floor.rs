//! How far a replica's log must reach for a read of a stated age, without asking anybody.
//!
//! Every answer of a primary ends with its log position. A [`Sample`] says: at time `at`, no commit past
//! `position` had been acknowledged. It is taken when the statement was **sent** to the primary, under a
//! grant on its term, so it holds although the answer came later. A read that accepts data of an age
//! goes to any member at or past a sample that is at most that old.
//!
//! Samples travel between hosts whose clocks differ, by way of the control leader. Each leg converts the
//! time to a **lower bound** by causality alone:
//!
//! - to the leader: what a host sent after it had received the leader's answer `L` is no older than `L`;
//! - to a host: an answer was given after the host asked, so a sample that was `d` old in the answer was
//!   taken no earlier than `d` before the question.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::session::Position;

/// Longest age that is of use, in milliseconds.
const KEPT_MS: u64 = 5_000;
/// Smallest distance between two samples that are both kept, in milliseconds.
const STEP_MS: u64 = 20;

/// At `at`, no commit past `position` had been acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Time of the holder's clock, in milliseconds.
    pub at: u64,
    /// Position of the primary's log.
    pub position: Position,
}

/// The samples of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Floor {
    term: u64,
    samples: VecDeque<Sample>,
}

impl Floor {
    /// Adds a sample of the primary of `term`; samples of older terms go.
    pub fn add(&mut self, term: u64, sample: Sample) {
        if term < self.term {
            return;
        }
        if term > self.term {
            self.term = term;
            self.samples.clear();
        }
        let newest = self.samples.back().copied();
        match newest {
            Some(last) if sample.at < last.at => return,
            Some(last) if sample.at < last.at + STEP_MS => {
                if let Some(back) = self.samples.back_mut() {
                    back.position = back.position.max(sample.position);
                }
                return;
            }
            _ => {}
        }
        let position = newest.map_or(sample.position, |last| last.position.max(sample.position));
        self.samples.push_back(Sample {
            at: sample.at,
            position,
        });
        while self
            .samples
            .front()
            .is_some_and(|first| first.at + KEPT_MS < sample.at)
        {
            self.samples.pop_front();
        }
    }

    /// Lowest position that a read accepting data as of `since` may be served from.
    pub fn at_or_after(&self, term: u64, since: u64) -> Option<Position> {
        if term != self.term {
            return None;
        }
        let mut fresh = self.samples.iter().filter(|sample| sample.at >= since);
        fresh.next().map(|sample| sample.position)
    }

    /// Newest sample with its term.
    pub fn newest(&self) -> Option<(u64, Sample)> {
        self.samples.back().map(|sample| (self.term, *sample))
    }
}

/// A host's bound on the leader's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Anchor {
    /// Leader that the clock belongs to, by a number that no other leadership has.
    pub leadership: u64,
    /// Leader's clock in its answer, in milliseconds.
    pub leader_ms: u64,
    /// Own clock when that answer was received, in milliseconds.
    pub received_ms: u64,
}

impl Anchor {
    /// Earliest time on the leader's clock at which the own clock can have shown `at`; `None` when that
    /// was before the answer.
    pub fn to_leader_time(&self, at: u64) -> Option<u64> {
        let since = at.checked_sub(self.received_ms)?;
        Some(self.leader_ms + since)
    }
}

/// Earliest time on the own clock of a sample that was `age_ms` old in an answer to a question asked at
/// `asked_at`; `None` when that is before the own clock began.
pub fn from_leader_age(asked_at: u64, age_ms: u64) -> Option<u64> {
    asked_at.checked_sub(age_ms)
}
