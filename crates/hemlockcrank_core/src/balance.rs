//! Load balancing of reads between members.
//!
//! The expected time of a read at a member is the member's recent latency times the number of operations
//! that this host runs there, including the read. Constants are added for a member in another zone, for a
//! connection that has to be opened, and for the primary, whose slots are needed for writes.

/// Added for a member in another availability zone, in milliseconds.
const OTHER_ZONE_MS: u64 = 2;
/// Added for a member without a free connection for the workspace, in milliseconds.
const OPEN_MS: u64 = 40;
/// Added for the primary, in milliseconds.
const PRIMARY_MS: u64 = 25;
/// Expected latency of a member that has not answered yet, in milliseconds.
const INITIAL_LATENCY_MS: u64 = 20;
/// Weight of the newest latency in the moving average, as one part in this many.
const SMOOTHING: u64 = 8;
/// Time for which a member is avoided after its first failure, in milliseconds.
const PAUSE_MS: u64 = 300;
/// Longest time for which a member is avoided after failures, in milliseconds.
const MAX_PAUSE_MS: u64 = 2_400;

/// Load, latency and failures of one member, as this host observes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    running: u64,
    latency_us: u64,
    failures: u32,
    paused_until: u64,
}

impl Load {
    /// Counts an operation that starts at the member.
    pub fn begin(&mut self) {
        self.running += 1;
    }

    /// Counts the end of an operation at the member, with any outcome.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records that the member answered after `took_ms`.
    pub fn record_success(&mut self, took_ms: u64) {
        self.failures = 0;
        self.paused_until = 0;
        let took_us = took_ms * 1_000;
        self.latency_us = if self.latency_us == 0 {
            took_us
        } else {
            (self.latency_us * (SMOOTHING - 1) + took_us) / SMOOTHING
        };
    }

    /// Records that the member did not answer, or could not be reached.
    pub fn record_failure(&mut self, now: u64) {
        let pause = PAUSE_MS << self.failures.min(3);
        self.failures = self.failures.saturating_add(1);
        self.paused_until = now + pause.min(MAX_PAUSE_MS);
    }

    /// Whether the member is avoided because of a recent failure.
    pub fn is_paused(&self, now: u64) -> bool {
        now < self.paused_until
    }

    /// Whether this host runs nothing at the member.
    pub fn is_idle(&self) -> bool {
        self.running == 0
    }

    /// Moving average of the latency, in milliseconds.
    pub fn latency_ms(&self) -> u64 {
        match self.latency_us {
            0 => INITIAL_LATENCY_MS,
            us => us.div_ceil(1_000),
        }
    }
}

/// One member that could serve a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Load of the member, as this host observes it.
    pub load: Load,
    /// Whether it is in this host's availability zone.
    pub same_zone: bool,
    /// Whether a connection for the workspace is free.
    pub connected: bool,
    /// Whether it is the primary.
    pub primary: bool,
}

impl Candidate {
    /// Expected time of a read at this member, in milliseconds.
    pub fn expected_ms(&self) -> u64 {
        let zone = if self.same_zone { 0 } else { OTHER_ZONE_MS };
        let open = if self.connected { 0 } else { OPEN_MS };
        let primary = if self.primary { PRIMARY_MS } else { 0 };
        (self.load.running + 1) * self.load.latency_ms() + zone + open + primary
    }
}

/// Index of the candidate with the shortest expected time. Members that failed recently are chosen only
/// if there is no other.
pub fn choose(now: u64, candidates: &[Candidate]) -> Option<usize> {
    choose_preferred(now, candidates, |_, _| true)
}

/// Like [`choose`], but only among the candidates that `is_preferred` accepts with their index, unless
/// it accepts none.
pub fn choose_preferred<F>(now: u64, candidates: &[Candidate], is_preferred: F) -> Option<usize>
where
    F: Fn(usize, &Candidate) -> bool,
{
    let best = candidates
        .iter()
        .enumerate()
        .min_by_key(|(index, candidate)| {
            (
                !is_preferred(*index, candidate),
                candidate.load.is_paused(now),
                candidate.expected_ms(),
            )
        });
    best.map(|(index, _)| index)
}
