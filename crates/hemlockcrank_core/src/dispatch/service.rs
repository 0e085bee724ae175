//! Measured service times of the classes of statements.

use super::{CLASSES, Class};

/// Service time before the first measurement, in microseconds.
const INITIAL_US: u64 = 20_000;
/// Weight of the newest service time in a moving average, as one part in this many.
const SMOOTHING: u64 = 8;

/// Moving averages of the service time, in microseconds; 0 before the first measurement.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Service {
    all_us: u64,
    class_us: [u64; CLASSES],
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
