//! Promotion calls to the platform that may still be carried out.
//!
//! A call without a clear answer may take effect at any later time. Until it is settled, a member
//! other than the one that it names must not be promoted: the platform would then promote both, and
//! the later one lacks what the earlier one has acknowledged. While a call of an earlier control
//! leader may still reach the platform, this one makes none: the platform would see the older
//! fencing token after the newer one.
//!
//! The sender resets the connection of a call when its lease ends, so what has not reached the
//! platform by then never will. The evidence that it has done so is that its host takes part in the
//! present leadership, which a process does only after it has ended its own ([`Sender`]). A sender that
//! stays silent is waited for as long as [`ABSENT_MS`]; after that another member may be promoted, but the
//! member that the call names becomes a witness ([`Groups::witnesses`](crate::group::Groups::witnesses)),
//! without which nothing is acknowledged, until the sender returns or [`GIVE_UP_MS`] has passed.

use std::collections::BTreeSet;

use super::PromotionReply;
use crate::{
    Name,
    group::{Intent, Nominee},
    sender::{ABSENT_MS, Sender},
};

/// Time that the platform takes at most to carry out a call that has reached it, in milliseconds.
const SETTLE_MS: u64 = 10_000;
/// Time after which a sender that never returned counts as gone for good, with its call, in
/// milliseconds.
const GIVE_UP_MS: u64 = 60_000;
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
    /// When it was sent; for a call of an earlier leader, when the present leadership began.
    sent_at: u64,
    state: CallState,
}

impl Call {
    /// Whether the platform certainly does not carry it out any more.
    fn is_settled(&self, now: u64) -> bool {
        match &self.state {
            CallState::Awaited => now >= self.sent_at + GIVE_UP_MS,
            CallState::Accepted { at } | CallState::Unclear { ended_at: at } => {
                now >= at + SETTLE_MS
            }
            CallState::Earlier(sender) => {
                let landed_at = sender.landed_at();
                landed_at.is_some_and(|at| now >= at + SETTLE_MS)
            }
        }
    }

    /// Whether it was made by an earlier leader, and may still reach the platform.
    fn may_arrive(&self, now: u64) -> bool {
        match &self.state {
            CallState::Earlier(sender) => sender.may_arrive(now),
            _ => false,
        }
    }

    /// Whether it is not waited for any more: it is settled, or its sender has been silent for `limit_ms`.
    fn is_waited_out(&self, now: u64, limit_ms: u64) -> bool {
        let is_earlier = matches!(self.state, CallState::Earlier(_));
        self.is_settled(now) || (is_earlier && now >= self.sent_at + limit_ms)
    }
}

/// What is known of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CallState {
    /// Its answer is awaited.
    Awaited,
    /// The platform makes the member the primary.
    Accepted { at: u64 },
    /// Its connection was ended without a clear answer.
    Unclear { ended_at: u64 },
    /// An earlier control leader may have made it.
    Earlier(Sender),
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
    /// The calls that earlier leaders may have made. A nomination without an intent comes from an older
    /// version of the program.
    pub(super) fn new(now: u64, unsettled: Option<&Nominee>, intents: &[Intent]) -> Self {
        let mut calls = Self::default();
        for intent in intents {
            let host = Some(intent.host.clone());
            calls.add_earlier(now, &intent.member, intent.change, host);
        }
        if let Some(nominee) = unsettled.filter(|_| intents.is_empty()) {
            calls.add_earlier(now, &nominee.member, nominee.change, None);
        }
        calls
    }

    fn add_earlier(&mut self, now: u64, member: &Name, change: u64, host: Option<Name>) {
        let state = CallState::Earlier(Sender::new(now, host));
        self.add(now, member, Some(change), state);
    }

    /// Notes the control hosts that take part in the present leadership.
    pub(super) fn note_participants(&mut self, now: u64, participants: &BTreeSet<Name>) {
        for call in &mut self.open {
            if let CallState::Earlier(sender) = &mut call.state {
                sender.note_participants(now, participants);
            }
        }
    }

    /// A change begins or ends. A call that the platform has accepted is settled once its member is
    /// the primary, if no other one can have made it that.
    pub(super) fn begin(&mut self, primary: Option<&Name>) {
        self.sent_at = None;
        self.not_running = None;
        self.primary = primary.cloned();
        let is_only = primary.is_some_and(|member| self.is_only(member));
        self.open.retain(|call| {
            let accepted = matches!(call.state, CallState::Accepted { .. });
            !accepted || !is_only || primary != Some(&call.member)
        });
    }

    /// Whether one open call alone names this member.
    fn is_only(&self, member: &Name) -> bool {
        let calls = self.open.iter().filter(|call| call.member == *member);
        calls.count() == 1
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
        self.open
            .retain(|call| !call.is_waited_out(now, GIVE_UP_MS));
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
        now: u64,
        number: u64,
        change: Option<u64>,
        reply: PromotionReply,
    ) -> Option<Call> {
        let index = self.open.iter().position(|call| call.number == number)?;
        let call = self.open[index].clone();
        let is_primary = self.primary.as_ref() == Some(&call.member);
        let is_carried_out = call.change != change && is_primary && self.is_only(&call.member);
        match reply {
            PromotionReply::Accepted if is_carried_out => {
                self.open.swap_remove(index);
            }
            PromotionReply::Accepted => {
                self.open[index].state = CallState::Accepted { at: now };
            }
            PromotionReply::Unknown => {
                self.open[index].state = CallState::Unclear { ended_at: now };
            }
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
        open.all(|call| call.is_waited_out(now, GIVE_UP_MS))
    }

    /// Whether a planned change may begin: no call can be carried out any more, or its sender has been
    /// silent for too long, or it names the primary.
    pub(super) fn allow_change(&self, now: u64) -> bool {
        let mut open = self.open.iter();
        open.all(|call| call.is_waited_out(now, ABSENT_MS) || self.names_primary(now, call))
    }

    /// Whether this member may be promoted: no call that names another member can be carried out any
    /// more, also if that member has left the group, or the sender has been silent for too long. In a
    /// planned change a call may name the old primary, which runs.
    pub(super) fn allow(&self, now: u64, member: &Name, planned: bool) -> bool {
        let mut others = self.open.iter().filter(|call| call.member != *member);
        others.all(|call| {
            call.is_waited_out(now, ABSENT_MS) || (planned && self.names_primary(now, call))
        })
    }

    /// Whether a call names the member that was primary when the latest change began or ended, and has
    /// ended at its sender. It changes nothing while that member leads; once another one does, the member
    /// is a witness.
    fn names_primary(&self, now: u64, call: &Call) -> bool {
        let has_ended = call.state != CallState::Awaited && !call.may_arrive(now);
        has_ended && self.primary.as_ref() == Some(&call.member)
    }

    /// Members of calls that may still be carried out although their senders are not waited for any
    /// more, other than `member`.
    pub(super) fn doubtful(&self, now: u64, member: &Name) -> Vec<Name> {
        let others = self.open.iter().filter(|call| call.member != *member);
        let open = others.filter(|call| !call.is_settled(now));
        let names: BTreeSet<&Name> = open.map(|call| &call.member).collect();
        names.into_iter().cloned().collect()
    }

    /// Whether a call of an earlier leader may still reach the platform.
    pub(super) fn await_earlier(&self, now: u64) -> bool {
        self.open.iter().any(|call| call.may_arrive(now))
    }

    /// Hosts whose calls under an earlier leadership may still reach the platform.
    pub(super) fn awaited_hosts(&self, now: u64) -> BTreeSet<Name> {
        let open = self.open.iter().filter(|call| call.may_arrive(now));
        open.filter_map(|call| match &call.state {
            CallState::Earlier(sender) => sender.host.clone(),
            _ => None,
        })
        .collect()
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
