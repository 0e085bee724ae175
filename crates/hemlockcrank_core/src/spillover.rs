//! Reads that leave their availability zone because its own members are too slow.
//!
//! A [`Spillover`] belongs to one service, at a host that runs the reads of its zone. It holds a share of
//! the reads for each other zone. The share rises if a read in the zone takes longer than one in the other
//! zone by more than the price of the traffic, which is given as the time that a caller must gain. All
//! times are measured at this host from the choice of the member to its answer, so they include the wait
//! for a connection and the way between the zones.
//!
//! - A zone without recent answers gets a small trial share, and only if reads in the own zone have been
//!   slow for a while, so that a short burst waits in the zone's own queue.
//! - The share changes in steps. The next step waits for answers to reads that began after the last one.
//! - Between the thresholds for rising and falling the share stays. Two zones never send to each other for
//!   long: each would have to be faster than the other, from where the other is.
//! - A zone that does not answer, refuses or is much slower gets nothing, and later another trial.
//!
//! ```
//! use hemlockcrank_core::spillover::{Answer, Spillover};
//!
//! let mut spillover = Spillover::new("a".into(), 20);
//! spillover.record_answer(5, "a", Answer { began_at: 0, waited_ms: 0, ran_ms: 5 });
//! assert_eq!(spillover.next_zone(6, &["b".into()]), None);
//! ```

mod choice;
mod report;
mod zone;

use std::collections::BTreeMap;

use crate::Name;
pub use report::{Reason, Report};
use zone::{Figure, Zone};

/// Shortest time between two changes of a share, in milliseconds.
const STEP_MS: u64 = 250;
/// Change of a share in one step, in percent of the reads.
const STEP_PERCENT: u32 = 10;
/// Share of a zone of which nothing recent is known, in percent.
const TRIAL_PERCENT: u32 = 5;
/// Answers from a zone that show the effect of a step.
const MIN_ANSWERS: u32 = 2;
/// Time for which reads in the zone must be slow before any leave it, in milliseconds.
const SUSTAIN_MS: u64 = 1_000;
/// Gain beyond the price from which a share rises, in milliseconds. It separates the thresholds also
/// where the price is 0.
const HYSTERESIS_MS: u64 = 4;
/// Assumed round trip to a zone of which nothing recent is known, in milliseconds.
const ROUND_TRIP_MS: u64 = 3;
/// Assumed time that a member takes for a read before the first answer, in milliseconds.
const INITIAL_SERVICE_MS: u64 = 20;
/// Shortest time between two increases of the service time by 1 ms, in milliseconds. It must not follow
/// an overload; too low a value only leads to more trials.
const SERVICE_INTERVAL_MS: u64 = 1_000;
/// Decrease of the time in the own zone between two steps from which on a share does not rise, as one
/// part in this many: the queue is being worked off, and a larger share would empty it.
const IMPROVEMENT: u64 = 16;
/// Largest price, in milliseconds. No read takes as long.
const MAX_GAIN_MS: u64 = 3_600_000;
/// Shortest time between two reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 5_000;

/// Times of a read that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Local time at which the member was chosen, in milliseconds.
    pub began_at: u64,
    /// Wait for a connection to the member, in milliseconds.
    pub waited_ms: u64,
    /// Time from sending the read to its answer, in milliseconds.
    pub ran_ms: u64,
}

/// Shares of a service's reads that leave their zone.
#[derive(Clone, Debug)]
pub struct Spillover {
    home: Name,
    gain_ms: u64,
    figure: Figure,
    /// Time that a member in the zone takes for a read that does not wait, in milliseconds.
    service_ms: u64,
    /// When that time was last increased.
    service_increased_at: u64,
    /// Time of a read in the own zone at the last step, in milliseconds.
    previous_ms: Option<u64>,
    /// Since when reads in the zone are slow.
    slow_since: Option<u64>,
    zones: BTreeMap<Name, Zone>,
    stepped_at: u64,
    changed_at: u64,
    /// The last change that was not reported.
    unreported: Option<(Name, Reason)>,
    reported_at: Option<u64>,
}

/// What is known at a step, besides the figures of the other zone.
#[derive(Clone, Copy, Debug)]
struct Situation {
    /// Time of a read in the own zone, in milliseconds.
    home_ms: Option<u64>,
    /// Whether that is long enough for a trial.
    is_slow: bool,
    /// Whether a share of 0 may rise.
    may_begin: bool,
    /// Whether the share of this zone is the one that may rise.
    may_rise: bool,
    /// Part of the reads that may still leave, in percent.
    room: u32,
}

impl Spillover {
    /// State of a service at a host in zone `home`; a caller must gain `gain_ms` if its read leaves the
    /// zone.
    pub fn new(home: Name, gain_ms: u64) -> Self {
        Self {
            home,
            gain_ms: gain_ms.min(MAX_GAIN_MS),
            figure: Figure::default(),
            service_ms: INITIAL_SERVICE_MS,
            service_increased_at: 0,
            previous_ms: None,
            slow_since: None,
            zones: BTreeMap::new(),
            stepped_at: 0,
            changed_at: 0,
            unreported: None,
            reported_at: None,
        }
    }

    /// Zone that the next read is sent to; `None` if it stays. `available` are the other zones with a
    /// member that takes reads.
    pub fn next_zone(&mut self, now: u64, available: &[Name]) -> Option<Name> {
        self.update_zones(now, available);
        if now >= self.stepped_at + STEP_MS {
            self.stepped_at = now;
            self.step(now);
        }
        let mut next = None;
        for (name, zone) in &mut self.zones {
            if zone.take_read() && next.is_none() {
                next = Some(name.clone());
            }
        }
        if let Some(zone) = next.as_ref().and_then(|name| self.zones.get_mut(name)) {
            zone.send(now);
        }
        next
    }

    /// Records that a member in `zone` answered a read.
    pub fn record_answer(&mut self, now: u64, zone: &str, answer: Answer) {
        let time_ms = answer.waited_ms + answer.ran_ms;
        if *zone == *self.home {
            self.update_service_time(now, answer);
            self.figure.record(now, time_ms);
        } else if let Some(zone) = self.zones.get_mut(zone) {
            zone.record_answer(now, time_ms);
        }
        self.count_answer(zone, answer.began_at);
    }

    /// Records that a read that began at `began_at` was refused by a full member in `zone`, or not
    /// answered. In the own zone this counts as an answer after `objective_ms`, which the caller misses.
    pub fn record_failure(&mut self, now: u64, zone: &str, began_at: u64, objective_ms: u64) {
        if *zone == *self.home {
            self.figure.record(now, objective_ms);
            self.count_answer(zone, began_at);
        } else if self.zones.contains_key(zone) {
            self.close(now, &zone.into(), Reason::Failed);
        }
    }

    /// Records that a read in `zone` ended with a result that says nothing of the zone's load.
    pub fn abandon(&mut self, zone: &str) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.abandon();
        }
    }

    /// Whether nothing is to be sent to `zone` after a failure, not even a read that must leave if it
    /// can go elsewhere.
    pub fn is_closed(&self, now: u64, zone: &str) -> bool {
        let zone = self.zones.get(zone);
        zone.is_some_and(|zone| !zone.is_open(now))
    }

    /// Share of the reads that leave the zone, in percent.
    pub fn share(&self) -> u32 {
        self.zones.values().map(|zone| zone.share).sum()
    }

    /// The last change since the previous report, if it is time for one.
    pub fn take_report(&mut self, now: u64) -> Option<Report> {
        if self
            .reported_at
            .is_some_and(|at| now < at + REPORT_INTERVAL_MS)
        {
            return None;
        }
        let (name, reason) = self.unreported.take()?;
        self.reported_at = Some(now);
        let zone = self.zones.get(&name);
        Some(Report {
            share: zone.map_or(0, |zone| zone.share),
            reason,
            home_ms: self.figure.time_ms(now),
            away_ms: zone.and_then(|zone| zone.figure.time_ms(now)),
            zone: name,
        })
    }

    /// Adds and removes zones, and closes those that do not answer.
    fn update_zones(&mut self, now: u64, available: &[Name]) {
        let gone = self.zones.keys().find(|name| !available.contains(name));
        if let Some(name) = gone.cloned() {
            let removed = self.zones.remove(&name);
            if removed.is_some_and(|zone| zone.share > 0) {
                self.note_change(now, name, Reason::OutOfService);
            }
        }
        for name in available {
            if !self.zones.contains_key(name) {
                self.zones.insert(name.clone(), Zone::default());
            }
        }
        let silent = self.zones.iter().find(|(_, zone)| zone.is_silent(now));
        if let Some(name) = silent.map(|(name, _)| name.clone()) {
            self.close(now, &name, Reason::Failed);
        }
    }

    /// Changes the shares by one step each.
    fn step(&mut self, now: u64) {
        let home_ms = self.figure.time_ms(now);
        let fastest = self.fastest(now);
        let idle_ms = self.service_ms + ROUND_TRIP_MS;
        let away_ms = fastest.as_ref().map_or(idle_ms, |(time_ms, _)| *time_ms);
        let slow_ms = away_ms.min(idle_ms) + self.gain_ms + HYSTERESIS_MS;
        let is_slow = home_ms.is_some_and(|home_ms| home_ms >= slow_ms);
        let is_improving = match (self.previous_ms, home_ms) {
            (Some(previous), Some(home)) => home + previous / IMPROVEMENT < previous,
            _ => false,
        };
        self.previous_ms = home_ms;
        self.slow_since = is_slow.then(|| self.slow_since.unwrap_or(now));
        let sustained = self
            .slow_since
            .is_some_and(|since| now >= since + SUSTAIN_MS);
        let mut room = 100 - self.share();
        let mut changes = Vec::new();
        for (name, zone) in &self.zones {
            let situation = Situation {
                home_ms,
                is_slow,
                may_begin: sustained && zone.is_open(now),
                may_rise: !is_improving
                    && fastest.as_ref().is_some_and(|(_, fastest)| fastest == name),
                room,
            };
            let Some((share, reason)) = self.next_share(now, zone, situation) else {
                continue;
            };
            room = room.saturating_sub(share.saturating_sub(zone.share));
            changes.push((name.clone(), share, reason));
        }
        for (name, share, reason) in changes {
            if let Some(zone) = self.zones.get_mut(&name) {
                zone.set_share(share);
            }
            self.note_change(now, name, reason);
        }
    }

    /// The share of a zone after a step, if it changes, and why.
    fn next_share(&self, now: u64, zone: &Zone, situation: Situation) -> Option<(u32, Reason)> {
        let share = zone.share;
        let may_send = share > 0 || situation.may_begin;
        let lower = (share.saturating_sub(STEP_PERCENT), Reason::NoGain);
        let (next, reason) = match (situation.home_ms, zone.figure.time_ms(now)) {
            (_, None) if situation.is_slow && may_send => {
                let reason = match share {
                    0..=TRIAL_PERCENT => Reason::Trial,
                    _ => Reason::Old,
                };
                (TRIAL_PERCENT.min(share + situation.room), reason)
            }
            (Some(home_ms), Some(away_ms)) => match self.compare(home_ms, away_ms)? {
                Reason::Gain if situation.may_rise && may_send && self.is_effect_known(zone) => {
                    (share + STEP_PERCENT.min(situation.room), Reason::Gain)
                }
                Reason::NoGain if self.figure.answers >= MIN_ANSWERS => lower,
                Reason::Slow if share <= STEP_PERCENT => (0, Reason::Slow),
                Reason::Slow if zone.figure.answers >= MIN_ANSWERS => (share / 2, Reason::Slow),
                _ => return None,
            },
            _ => lower,
        };
        (next != share).then_some((next, reason))
    }

    /// Whether enough reads were answered that began after the last change.
    fn is_effect_known(&self, zone: &Zone) -> bool {
        let from_zone = zone.share == 0 || zone.figure.answers >= MIN_ANSWERS;
        from_zone && self.figure.answers >= MIN_ANSWERS
    }

    /// Whether leaving the zone gains more than its price; `None` if the share may stay as it is.
    fn compare(&self, home_ms: u64, away_ms: u64) -> Option<Reason> {
        let price_ms = self.gain_ms + HYSTERESIS_MS;
        if home_ms >= away_ms + price_ms {
            Some(Reason::Gain)
        } else if away_ms >= home_ms + price_ms + ROUND_TRIP_MS {
            Some(Reason::Slow)
        } else {
            (home_ms < away_ms + self.gain_ms / 2).then_some(Reason::NoGain)
        }
    }

    /// The other zone with the shortest known time.
    fn fastest(&self, now: u64) -> Option<(u64, Name)> {
        let known = self.zones.iter().filter_map(|(name, zone)| {
            let time_ms = zone.figure.time_ms(now)?;
            zone.is_open(now).then(|| (time_ms, name.clone()))
        });
        known.min()
    }

    fn close(&mut self, now: u64, name: &Name, reason: Reason) {
        let Some(zone) = self.zones.get_mut(name) else {
            return;
        };
        // Further failures of reads that were sent before do not extend the time.
        if !zone.is_open(now) {
            return;
        }
        let changed = zone.share > 0;
        zone.close(now);
        if changed {
            self.note_change(now, name.clone(), reason);
        }
    }

    /// Starts to count the answers that show the effect of a change.
    fn note_change(&mut self, now: u64, zone: Name, reason: Reason) {
        self.changed_at = now;
        self.figure.answers = 0;
        for zone in self.zones.values_mut() {
            zone.figure.answers = 0;
        }
        self.unreported = Some((zone, reason));
    }

    fn count_answer(&mut self, zone: &str, began_at: u64) {
        if began_at < self.changed_at {
            return;
        }
        if *zone == *self.home {
            self.figure.answers += 1;
        } else if let Some(zone) = self.zones.get_mut(zone) {
            zone.figure.answers += 1;
        }
    }

    /// Updates the time that a member in the zone needs for a read. Longer times count only for reads
    /// that did not wait.
    fn update_service_time(&mut self, now: u64, answer: Answer) {
        if answer.ran_ms <= self.service_ms {
            self.service_ms = answer.ran_ms;
        } else if answer.waited_ms == 0 && now >= self.service_increased_at + SERVICE_INTERVAL_MS {
            self.service_ms += 1;
            self.service_increased_at = now;
        }
    }
}
