//! Limit of the statements in progress at one member.
//!
//! Several hosts share the member without knowing of each other. Each lowers its limit by a part when
//! the member refuses a statement as busy, and raises it by about one in each round of answers. While
//! answers show that statements queue at the member, where their priority counts for nothing, it
//! lowers the limit by about one in a round instead. After an outage the limit starts at one again, so
//! that the returning load is paced.

/// Thousandths of a statement in a statement.
const MILLI: u64 = 1_000;
/// Part of the limit that is kept when the member is busy, in percent.
const KEPT_PERCENT: u64 = 60;

/// The limit, in thousandths of a statement.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limit {
    slots: u64,
    milli: u64,
    /// Statements that began before this time say nothing new of a member that was busy.
    lowered_at: u64,
}

impl Limit {
    /// Starts at one; the most is one more than the member's slots, so that the next statement is at
    /// the member when a slot becomes free.
    pub(super) fn new(slots: usize) -> Self {
        Self {
            slots: slots.max(1) as u64,
            milli: MILLI,
            lowered_at: 0,
        }
    }

    pub(super) fn set_slots(&mut self, slots: usize) {
        self.slots = slots.max(1) as u64;
        self.milli = self.milli.min(self.largest());
    }

    /// Whole statements.
    pub(super) fn get(self) -> usize {
        usize::try_from(self.milli / MILLI).unwrap_or(usize::MAX)
    }

    /// Raises the limit after an answer.
    pub(super) fn raise(&mut self) {
        let step = MILLI * MILLI / self.milli;
        self.milli = (self.milli + step).min(self.largest());
    }

    /// Lowers the limit after an answer that shows a queue at the member.
    pub(super) fn ease(&mut self) {
        if self.milli > self.smallest() {
            let step = MILLI * MILLI / self.milli;
            self.milli = (self.milli - step).max(self.smallest());
        }
    }

    /// Lowers the limit after a refusal of a statement that began at `began_at`. The refusals of one
    /// round lower it once.
    pub(super) fn lower(&mut self, now: u64, began_at: u64) {
        if began_at >= self.lowered_at {
            self.lowered_at = now + 1;
            let lowered = (self.milli * KEPT_PERCENT / 100).max(self.smallest());
            self.milli = self.milli.min(lowered);
        }
    }

    /// Starts at one again.
    pub(super) fn restart(&mut self) {
        self.milli = MILLI;
    }

    /// Half of the slots, so that two hosts use a member that is slow by itself, and one statement that
    /// takes long does not keep all others waiting.
    fn smallest(self) -> u64 {
        (self.slots / 2).max(1) * MILLI
    }

    fn largest(self) -> u64 {
        (self.slots + 1) * MILLI
    }
}
