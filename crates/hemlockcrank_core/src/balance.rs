//! Which member a read goes to.
//!
//! The expected time at a member is its recent latency times the work that this host already has there,
//! with additions for a longer way, for a connection that has to be opened, and for the primary, whose
//! slots are wanted by writes.

/// Addition for a member in another availability zone, in milliseconds.
const REMOTE_MS: u64 = 2;
/// Addition for a member without a connection at hand, in milliseconds.
const OPEN_MS: u64 = 40;
/// Addition for the primary, in milliseconds.
const PRIMARY_MS: u64 = 25;
/// Expected latency of a member that has not answered yet, in milliseconds.
const UNKNOWN_MS: u64 = 20;
/// Weight of the newest latency in the moving average, as one part in this many.
const SMOOTHING: u64 = 8;
/// First pause after a failure, in milliseconds.
const PAUSE_MS: u64 = 300;
/// Longest pause after failures, in milliseconds.
const MAX_PAUSE_MS: u64 = 2_400;

/// What a host has seen of one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    running: u64,
    latency_us: u64,
    failures: u32,
    paused_until: u64,
}

impl Load {
    /// Work was given to the member.
    pub fn begin(&mut self) {
        self.running += 1;
    }

    /// Work at the member has ended, however.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// The member answered after `took_ms`.
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

    /// The member did not answer, or could not be reached.
    pub fn record_failure(&mut self, now: u64) {
        let pause = PAUSE_MS << self.failures.min(3);
        self.failures = self.failures.saturating_add(1);
        self.paused_until = now + pause.min(MAX_PAUSE_MS);
    }

    /// Whether the member failed a moment ago.
    pub fn is_paused(&self, now: u64) -> bool {
        now < self.paused_until
    }

    /// Recent latency in milliseconds.
    pub fn latency_ms(&self) -> u64 {
        match self.latency_us {
            0 => UNKNOWN_MS,
            us => us.div_ceil(1_000),
        }
    }
}

/// One member that could serve a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// What this host has seen of it.
    pub load: Load,
    /// Whether it is in this host's availability zone.
    pub same_zone: bool,
    /// Whether a connection for the workspace is at hand.
    pub connected: bool,
    /// Whether it is the primary.
    pub primary: bool,
}

impl Candidate {
    /// Expected time of a read at this member, in milliseconds.
    pub fn expected_ms(&self) -> u64 {
        let remote = if self.same_zone { 0 } else { REMOTE_MS };
        let open = if self.connected { 0 } else { OPEN_MS };
        let primary = if self.primary { PRIMARY_MS } else { 0 };
        (self.load.running + 1) * self.load.latency_ms() + remote + open + primary
    }
}

/// Index of the best candidate; one that failed a moment ago only where there is no other.
pub fn choose(now: u64, candidates: &[Candidate]) -> Option<usize> {
    let ranked = candidates.iter().enumerate();
    let best = ranked
        .min_by_key(|(_, candidate)| (candidate.load.is_paused(now), candidate.expected_ms()));
    best.map(|(index, _)| index)
}
