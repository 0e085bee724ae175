//! Lowest log position (floor) that a member must have reached to serve a read with a maximum age,
//! computed without a round trip.
//!
//! Every answer of a primary ends with its log position. A [`Sample`] states that at time `at` no
//! commit past `position` had been acknowledged. `at` is the time when the statement was **sent**
//! to the primary, while the host held a grant of its term, so the sample is valid although the
//! answer arrived later. A read that accepts data up to some age can go to any member that has
//! reached the position of a sample of at most that age.
//!
//! Hosts exchange samples through the control leader, and their clocks differ. Each transfer
//! converts the time to a **lower bound** by causality alone:
//!
//! - to the leader: a sample that a host took `d` after it had received an answer with the leader's
//!   time `L` was taken no earlier than `L + d`;
//! - to a host: an answer was given after the host's request, so a sample that was `d` old in the
//!   answer was taken no earlier than `d` before the request.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::session::Position;

/// Longest age of a sample that reads can use, in milliseconds; older samples are dropped.
const SAMPLE_MAX_AGE_MS: u64 = 5_000;
/// Smallest distance between two samples, in milliseconds; closer ones are merged.
const MIN_SPACING_MS: u64 = 20;

/// States that at `at` no commit past `position` had been acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Time in the clock of the host that holds the sample, in milliseconds.
    pub at: u64,
    /// Log position of the primary.
    pub position: Position,
}

/// The recent samples of one group, all of one term.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Floor {
    term: u64,
    samples: VecDeque<Sample>,
}

impl Floor {
    /// Adds a sample of the primary of `term`, and drops samples of older terms.
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
            Some(last) if sample.at < last.at + MIN_SPACING_MS => {
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
            .is_some_and(|first| first.at + SAMPLE_MAX_AGE_MS < sample.at)
        {
            self.samples.pop_front();
        }
    }

    /// Lowest position that may serve a read that accepts data as of `since`; `None` without a
    /// sample of `term` that is recent enough.
    pub fn at_or_after(&self, term: u64, since: u64) -> Option<Position> {
        if term != self.term {
            return None;
        }
        let mut fresh = self.samples.iter().filter(|sample| sample.at >= since);
        fresh.next().map(|sample| sample.position)
    }

    /// Newest sample, with its term, if reads can still use it.
    pub fn newest_usable(&self, now: u64) -> Option<(u64, Sample)> {
        self.newest()
            .filter(|(_, sample)| now < sample.at + SAMPLE_MAX_AGE_MS)
    }

    /// Newest sample, with its term.
    pub fn newest(&self) -> Option<(u64, Sample)> {
        self.samples.back().map(|sample| (self.term, *sample))
    }
}

/// Relates a host's clock to the leader's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Anchor {
    /// Term of the leader that the clock belongs to; unique for each leader.
    pub leader_term: u64,
    /// Leader's clock as stated in its answer, in milliseconds.
    pub leader_ms: u64,
    /// Local clock when that answer was received, in milliseconds.
    pub received_ms: u64,
}

impl Anchor {
    /// Lower bound, in the leader's clock, of the local time `at`; `None` if `at` is before the
    /// answer.
    pub fn to_leader_time(&self, at: u64) -> Option<u64> {
        let elapsed = at.checked_sub(self.received_ms)?;
        Some(self.leader_ms + elapsed)
    }
}

/// Lower bound, in the local clock, of the time of a sample that was `age_ms` old in the answer to
/// a request sent at `asked_at`; `None` if that is before the start of the local clock.
pub fn from_leader_age(asked_at: u64, age_ms: u64) -> Option<u64> {
    asked_at.checked_sub(age_ms)
}
