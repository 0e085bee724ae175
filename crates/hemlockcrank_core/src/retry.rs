//! A budget that keeps retries a small share of the traffic.

/// Thousandths of a retry earned by one request.
const EARNED_MILLI: u64 = 100;
/// Cost of one retry in the same unit.
const COST_MILLI: u64 = 1_000;
/// Most that can be saved up, in the same unit.
const MAX_MILLI: u64 = 10_000;

/// Retries left for one database on one host.
#[derive(Clone, Debug)]
pub struct Budget {
    milli: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { milli: MAX_MILLI }
    }
}

impl Budget {
    /// Counts a request, which earns a part of a retry.
    pub fn earn(&mut self) {
        self.milli = (self.milli + EARNED_MILLI).min(MAX_MILLI);
    }

    /// Spends one retry if there is one.
    pub fn spend(&mut self) -> bool {
        let enough = self.milli >= COST_MILLI;
        if enough {
            self.milli -= COST_MILLI;
        }
        enough
    }
}
