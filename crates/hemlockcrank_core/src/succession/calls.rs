//! Promotion calls to the platform that may still be carried out.
//!
//! A call without a clear answer may take effect at any later time. Until it is settled, a member
//! other than the one that it names must not be promoted: the platform would then promote both, and
//! the later one lacks what the earlier one has acknowledged.

use super::PromotionReply;
use crate::{Name, group::Nominee};

/// Time after which a call without a clear answer counts as settled, in milliseconds. A platform
/// that carries out a call even later is not guarded against: a service must not stay without a
/// primary for good.
const SETTLE_MS: u64 = 10_000;
/// Pause before a call is repeated after an answer that is not clear, in milliseconds.
const RETRY_MS: u64 = 500;
/// Longest wait for an answer, or for an accepted member to be primary, before the call is
/// repeated, in milliseconds.
pub(super) const ANSWER_WAIT_MS: u64 = 1_500;

/// One call.
#[derive(Clone, Debug)]
pub(super) struct Call {
    number: u64,
    pub(super) member: Name,
    /// Change that it belongs to.
    pub(super) change: Option<u64>,
    sent_at: u64,
    state: CallState,
}

/// What is known of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    /// Its answer is awaited.
    Awaited,
    /// The platform makes the member the primary.
    Accepted,
    /// It was made without a clear answer, or may have been made by an earlier control leader.
    Unclear,
}

/// The calls of one leadership that are not settled.
#[derive(Clone, Debug, Default)]
pub(super) struct Calls {
    open: Vec<Call>,
    next_number: u64,
    /// When the latest call of the current change was sent.
    sent_at: Option<u64>,
    /// Member that was not running according to the latest answer in the current change.
    not_running: Option<Name>,
    /// Primary when the latest change began or ended.
    primary: Option<Name>,
}

impl Calls {
    /// The calls that earlier leaders may have made.
    pub(super) fn new(now: u64, unsettled: Option<&Nominee>) -> Self {
        let mut calls = Self::default();
        if let Some(nominee) = unsettled {
            calls.add(
                now,
                &nominee.member,
                Some(nominee.change),
                CallState::Unclear,
            );
        }
        calls
    }

    /// A change begins or ends. A call that the platform has accepted is settled once its member is
    /// the primary.
    pub(super) fn begin(&mut self, primary: Option<&Name>) {
        self.sent_at = None;
        self.not_running = None;
        self.primary = primary.cloned();
        self.open
            .retain(|call| call.state != CallState::Accepted || primary != Some(&call.member));
    }

    /// Adds a call and returns its number, if the pause before the next one has passed.
    pub(super) fn send(&mut self, now: u64, member: &Name, change: Option<u64>) -> Option<u64> {
        let pause_ms = match self.awaits(now, change) {
            true => ANSWER_WAIT_MS,
            false => RETRY_MS,
        };
        if self.sent_at.is_some_and(|at| now < at + pause_ms) {
            return None;
        }
        self.sent_at = Some(now);
        Some(self.add(now, member, change, CallState::Awaited))
    }

    fn add(&mut self, now: u64, member: &Name, change: Option<u64>, state: CallState) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.open.retain(|call| now < call.sent_at + SETTLE_MS);
        self.open.push(Call {
            number,
            member: member.clone(),
            change,
            sent_at: now,
            state,
        });
        number
    }

    /// Records an answer, during `change`, and returns the call; `None` if it counts as settled
    /// already.
    pub(super) fn record(
        &mut self,
        number: u64,
        change: Option<u64>,
        reply: PromotionReply,
    ) -> Option<Call> {
        let index = self.open.iter().position(|call| call.number == number)?;
        let call = self.open[index].clone();
        let is_carried_out = call.change != change && self.primary.as_ref() == Some(&call.member);
        match reply {
            PromotionReply::Accepted if is_carried_out => {
                self.open.swap_remove(index);
            }
            PromotionReply::Accepted => self.open[index].state = CallState::Accepted,
            PromotionReply::Unknown => self.open[index].state = CallState::Unclear,
            PromotionReply::NotRunning | PromotionReply::NotSent => {
                self.open.swap_remove(index);
            }
        }
        if call.change == change {
            let not_running = reply == PromotionReply::NotRunning;
            self.not_running = not_running.then(|| call.member.clone());
        }
        Some(call)
    }

    /// Whether the answer to a call of this change is awaited, and is not overdue.
    pub(super) fn awaits(&self, now: u64, change: Option<u64>) -> bool {
        self.open.iter().any(|call| {
            call.state == CallState::Awaited
                && call.change == change
                && now < call.sent_at + ANSWER_WAIT_MS
        })
    }

    /// Whether no call can be carried out any more.
    pub(super) fn all_settled(&self, now: u64) -> bool {
        let mut open = self.open.iter();
        open.all(|call| now >= call.sent_at + SETTLE_MS)
    }

    /// Whether no call that names another member can be carried out any more.
    pub(super) fn allow(&self, now: u64, member: &Name) -> bool {
        let mut others = self.open.iter().filter(|call| call.member != *member);
        others.all(|call| now >= call.sent_at + SETTLE_MS)
    }

    /// Whether the platform answered last that this member is not running.
    pub(super) fn is_not_running(&self, member: &Name) -> bool {
        self.not_running.as_ref() == Some(member)
    }

    /// Forgets that a member was not running, before it is asked for again.
    pub(super) fn forget_not_running(&mut self) {
        self.not_running = None;
    }
}
