//! How much something was used lately: a count of which half is forgotten again and again.

/// Weight of one use.
const USE: u64 = 16;

/// Recent use of one thing.
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

    /// Recent use, a multiple of what one use counts; see [`Usage::one_use`].
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

    /// Weight of a single use just now.
    pub const fn one_use() -> u64 {
        USE
    }
}
