//! Measured service times of the classes of statements.

use super::{CLASSES, Class};

/// Service time before the first measurement, in microseconds.
const INITIAL_US: u64 = 20_000;
/// Weight of the newest service time in a moving average, as one part in this many.
const SMOOTHING: u64 = 8;
/// Fraction of the distance by which a shortest service time rises towards the average with each
/// measurement, as one part in this many. With a faster rise the shortest time follows a queue before
/// the limit has removed it.
const SHORTEST_RISE: u64 = 2_048;
/// Service time from which on statements queue at the member, as a multiple of the shortest. At
/// this much, more are in progress than the member has slots.
const QUEUEING_FACTOR: u64 = 2;
/// Added to it, for connections that are opened and for slots that become free unevenly, in
/// microseconds.
const QUEUEING_MARGIN_US: u64 = 15_000;

/// Moving averages of the service time, in microseconds; 0 before the first measurement.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Service {
    all_us: u64,
    class_us: [u64; CLASSES],
    shortest_us: [u64; CLASSES],
}

impl Service {
    /// Adds a measurement.
    pub(super) fn record(&mut self, class: Class, took_ms: u64) {
        let took_us = took_ms.max(1) * 1_000;
        for average in [&mut self.all_us, &mut self.class_us[class]] {
            *average = match *average {
                0 => took_us,
                us => (us * (SMOOTHING - 1) + took_us) / SMOOTHING,
            };
        }
        let shortest_us = &mut self.shortest_us[class];
        *shortest_us = match *shortest_us {
            0 => took_us,
            us => took_us.min(us + self.class_us[class].saturating_sub(us) / SHORTEST_RISE),
        };
    }

    /// Whether a service time of this class is so long that the statement queued at the member.
    pub(super) fn is_queueing(&self, class: Class, us: u64) -> bool {
        us > self.shortest_us[class] * QUEUEING_FACTOR + QUEUEING_MARGIN_US
    }

    /// Average of all classes.
    pub(super) fn average_us(&self) -> u64 {
        match self.all_us {
            0 => INITIAL_US,
            us => us,
        }
    }

    /// Average of a class; that of all classes before its first measurement.
    pub(super) fn class_us(&self, class: Class) -> u64 {
        match self.class_us[class] {
            0 => self.average_us(),
            us => us,
        }
    }
}
