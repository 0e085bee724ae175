//! How long it takes to open a connection, and which part of that is spent queueing at the member.

/// Upper bound of the first estimate of the time to open a connection without queueing, in milliseconds.
const MAX_SHORTEST_MS: u64 = 30;
/// Largest measured time to open a connection; longer ones are counted as this, in milliseconds.
const MAX_OPEN_MS: u64 = 100;
/// Weight of the newest opening time in the moving average, as one part in this many.
const SMOOTHING: u64 = 8;
/// Fraction of the distance by which the shortest opening time rises towards the average at each opening,
/// as one part in this many.
const SHORTEST_RISE: u64 = 64;

/// Time to open a connection, in microseconds; 0 before the first measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct OpenTime {
    average_us: u64,
    shortest_us: u64,
}

impl OpenTime {
    /// Adds a measurement.
    pub(super) fn record(&mut self, took_ms: u64) {
        let took_us = took_ms.clamp(1, MAX_OPEN_MS) * 1_000;
        if self.average_us == 0 {
            self.average_us = took_us;
            self.shortest_us = took_us.min(MAX_SHORTEST_MS * 1_000);
            return;
        }
        self.average_us = (self.average_us * (SMOOTHING - 1) + took_us) / SMOOTHING;
        let rising_us = self.shortest_us + self.queueing_us() / SHORTEST_RISE;
        self.shortest_us = rising_us.min(took_us);
    }

    /// Estimated time that an opening queues at the member.
    pub(super) fn queueing_us(self) -> u64 {
        self.average_us.saturating_sub(self.shortest_us)
    }
}
