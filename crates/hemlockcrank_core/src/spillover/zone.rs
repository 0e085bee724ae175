//! What is known of one zone's members, and the share of the reads that goes to another zone.

/// Age from which a figure counts as unknown, in milliseconds.
const MAX_AGE_MS: u64 = 3_000;
/// Weight of the newest answer in the moving average, as one part in this many.
const SMOOTHING: u64 = 4;
/// Time for which nothing is sent to a zone after its first failure, in milliseconds.
const CLOSED_MS: u64 = 1_000;
/// Doublings of that time while failures follow each other.
const MAX_DOUBLINGS: u32 = 3;
/// Time without any answer to the reads sent, after which a zone counts as cut off or full, in
/// milliseconds.
const SILENT_MS: u64 = 400;

/// Time of recent reads at the members of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Figure {
    time_us: u64,
    /// Time of the newest answer, in milliseconds; `None` before the first.
    answered_at: Option<u64>,
    /// Answers to reads that began after the last change of the share.
    pub(super) answers: u32,
}

impl Figure {
    /// Adds an answer. The average starts again if the earlier answers are old.
    pub(super) fn record(&mut self, now: u64, time_ms: u64) {
        let time_us = time_ms * 1_000;
        self.time_us = match self.time_ms(now) {
            Some(_) => (self.time_us * (SMOOTHING - 1) + time_us) / SMOOTHING,
            None => time_us,
        };
        self.answered_at = Some(now);
    }

    /// Average time of a read, in milliseconds; `None` if unknown or old.
    pub(super) fn time_ms(&self, now: u64) -> Option<u64> {
        let age_ms = now.saturating_sub(self.answered_at?);
        (age_ms <= MAX_AGE_MS).then(|| self.time_us.div_ceil(1_000))
    }
}

/// Another zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Zone {
    pub(super) figure: Figure,
    /// Share of the reads that goes to this zone, in percent.
    pub(super) share: u32,
    /// Sum of the shares of the reads so far, less 100 for each read that was sent.
    credit: u32,
    failures: u32,
    closed_until: u64,
    /// When the first read was sent after the newest answer.
    unanswered_since: Option<u64>,
}

impl Zone {
    /// Whether reads may be sent.
    pub(super) fn is_open(&self, now: u64) -> bool {
        now >= self.closed_until
    }

    /// Whether reads were sent and none has been answered for too long.
    pub(super) fn is_silent(&self, now: u64) -> bool {
        let since = self.unanswered_since;
        since.is_some_and(|since| now.saturating_sub(since) >= SILENT_MS)
    }

    /// Sends nothing for a time, which is longer after repeated failures.
    pub(super) fn close(&mut self, now: u64) {
        self.closed_until = now + (CLOSED_MS << self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        self.figure = Figure::default();
        self.unanswered_since = None;
        self.set_share(0);
    }

    pub(super) fn record_answer(&mut self, now: u64, time_ms: u64) {
        self.unanswered_since = None;
        self.failures = 0;
        self.figure.record(now, time_ms);
    }

    /// Records that a read that was sent has ended without a result that says anything of the zone.
    pub(super) fn abandon(&mut self) {
        self.unanswered_since = None;
    }

    /// Changes the share. The first read after a share of 0 is sent at once, since its answer is needed
    /// for the next decision.
    pub(super) fn set_share(&mut self, share: u32) {
        if share == 0 {
            self.credit = 0;
        } else if self.share == 0 {
            self.credit = 100 - share.min(100);
        }
        self.share = share;
    }

    /// Counts a read, and returns whether it is sent to this zone.
    pub(super) fn take_read(&mut self) -> bool {
        self.credit += self.share;
        self.credit >= 100
    }

    /// Records that a read is sent to this zone.
    pub(super) fn send(&mut self, now: u64) {
        self.credit -= 100;
        self.unanswered_since.get_or_insert(now);
    }
}
