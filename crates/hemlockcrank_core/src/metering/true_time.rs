//! True time at the control leader.
//!
//! The leader's own boot clock runs evenly, but says nothing about the time of day; the wall clocks of the
//! hosts do, but each may step by seconds. The leader keeps one offset from its boot clock to true time:
//! the median of the hosts, which is right while the wall clocks of more than half of them are. A step of
//! fewer hosts changes nothing, and a step of more of them nothing for [`HOLD_MS`].
//!
//! A new leader begins with the median of what earlier leaders have told the hosts, so that a change of
//! leader does not move the windows.

use std::collections::BTreeMap;

use super::{Reading, counter::difference};
use crate::Name;

/// Age after which a host's clocks no longer count, in milliseconds.
const READING_MAX_AGE_MS: u64 = 10_000;
/// Time after the start of a leadership in which most hosts have reported, in milliseconds.
const REPORTS_MS: u64 = 2_000;
/// Time after the first start of a site in which the median is followed at once, because the first hosts
/// to report may be those with a wrong clock, in milliseconds.
const START_MS: u64 = 10_000;
/// Change of the median that is followed at once, in milliseconds. It covers delays of messages and drift.
const FOLLOWED_MS: u64 = 200;
/// Time after which a larger change of the median is followed, in milliseconds.
const HOLD_MS: u64 = 60_000;

/// A host's clocks relative to the leader's, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Offsets {
    at: u64,
    wall: i64,
    told: Option<i64>,
}

/// The leader's estimate of true time.
#[derive(Clone, Debug)]
pub struct TrueTime {
    started_at: u64,
    hosts: BTreeMap<Name, Offsets>,
    offset: Option<i64>,
    /// Whether the offset comes from an earlier leader.
    is_inherited: bool,
    /// Since when the median is too far from the offset.
    apart_since: Option<u64>,
}

impl TrueTime {
    /// The estimate of a leadership that begins at `now`.
    pub fn new(now: u64) -> Self {
        Self {
            started_at: now,
            hosts: BTreeMap::new(),
            offset: None,
            is_inherited: false,
            apart_since: None,
        }
    }

    /// Notes the clocks of a host at the leader's time `at`.
    pub fn note(&mut self, at: u64, host: &Name, reading: Reading) {
        let Some(wall) = difference(reading.wall_ms, at) else {
            return;
        };
        let told = reading.true_ms.and_then(|true_ms| difference(true_ms, at));
        self.hosts.insert(host.clone(), Offsets { at, wall, told });
    }

    /// Updates the estimate from the hosts that have reported lately, of `hosts` in the view.
    pub fn tick(&mut self, now: u64, hosts: usize) {
        self.hosts
            .retain(|_, offsets| now < offsets.at + READING_MAX_AGE_MS);
        let Some(wall) = median(self.hosts.values().map(|offsets| offsets.wall)) else {
            return;
        };
        let Some(offset) = self.offset else {
            let most_reported = self.hosts.len() * 2 > hosts;
            if most_reported || now >= self.started_at + REPORTS_MS {
                let told = median(self.hosts.values().filter_map(|offsets| offsets.told));
                self.is_inherited = told.is_some();
                self.offset = Some(told.unwrap_or(wall));
            }
            return;
        };
        let is_starting = !self.is_inherited && now < self.started_at + START_MS;
        let is_followed = wall.abs_diff(offset) <= FOLLOWED_MS || is_starting;
        if is_followed || now >= *self.apart_since.get_or_insert(now) + HOLD_MS {
            self.offset = Some(wall);
            self.apart_since = None;
        }
    }

    /// True time at the leader's time `now`, in milliseconds since the start of 1970; `None` before most
    /// hosts have reported.
    pub fn at(&self, now: u64) -> Option<u64> {
        now.checked_add_signed(self.offset?)
    }
}

/// The lower one of the two middle values.
fn median<I>(values: I) -> Option<i64>
where
    I: Iterator<Item = i64>,
{
    let mut values: Vec<i64> = values.collect();
    values.sort_unstable();
    let middle = values.len().checked_sub(1)? / 2;
    values.get(middle).copied()
}
