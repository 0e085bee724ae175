//! Counter of recent uses, which is halved once every half-life.

/// Weight of one use.
const USE: u64 = 16;

/// Decaying counter of uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    weight: u64,
    halved_at: u64,
}

impl Usage {
    /// Counts a use at `now`.
    pub fn record(&mut self, now: u64, half_life_ms: u64) {
        self.weight(now, half_life_ms);
        self.weight += USE;
    }

    /// Decayed count of recent uses; each use adds [`Usage::one_use`].
    pub fn weight(&mut self, now: u64, half_life_ms: u64) -> u64 {
        while self.weight > 0 && now >= self.halved_at + half_life_ms {
            self.weight /= 2;
            self.halved_at += half_life_ms;
        }
        if self.weight == 0 {
            self.halved_at = now;
        }
        self.weight
    }

    /// Weight that a use adds when it is recorded.
    pub const fn one_use() -> u64 {
        USE
    }
}
