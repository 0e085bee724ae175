//! The platform's part of the model: promotion calls on their way, carried out and answered.

use hemlockcrank_core::{Name, succession::PromotionReply};

use super::Site;

/// Time after which a sender gives up a call without an answer, in milliseconds.
const GIVEN_UP_MS: u64 = 10_000;

/// A promotion call on its way through the platform.
#[derive(Clone, Debug)]
pub(super) struct Call {
    member: Name,
    /// Start of the member's process at the time of the call. The platform does not promote another one.
    born: Option<u64>,
    number: u64,
    /// Leadership that made the call; its answer means nothing to a later one.
    leadership: u64,
    /// When it reaches the platform; `None` once it has.
    arrives_at: Option<u64>,
    /// When it takes effect; `None` once it has.
    effect_at: Option<u64>,
    /// When it is answered, or given up; `None` if it was.
    answer_at: Option<u64>,
    /// Whether the platform answers it.
    is_answered: bool,
}

/// How the platform treats promotion calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Platform {
    /// Time from a call to the promotion, in milliseconds.
    pub(crate) effect_ms: u64,
    /// Time from a call to its answer, in milliseconds; `None`: it is never answered, and its sender
    /// gives it up after [`GIVEN_UP_MS`].
    pub(crate) answer_ms: Option<u64>,
    /// Time until a call reaches the platform, in milliseconds.
    pub(crate) held_ms: u64,
}

impl Site {
    /// Links hold the calls of this leadership that have not reached the platform until `until`.
    pub(super) fn hold_calls(&mut self, until: u64) {
        let (now, leadership) = (self.now, self.leadership);
        for call in &mut self.calls {
            if call.leadership == leadership
                && let (Some(arrives_at), Some(effect_at)) = (call.arrives_at, call.effect_at)
                && arrives_at > now
            {
                call.effect_at = Some(until + effect_at - arrives_at);
                call.arrives_at = Some(until);
            }
        }
    }

    pub(super) fn ask_for_promotion(&mut self, member: &Name, number: u64, lost: bool) {
        let now = self.now;
        if lost {
            let reply = PromotionReply::NotSent;
            self.succession.record_promotion(now, number, reply);
        } else if let Some(platform) = self.platform {
            self.calls.push(Call {
                member: member.clone(),
                born: self.group().born(member),
                number,
                leadership: self.leadership,
                arrives_at: Some(now + platform.held_ms),
                effect_at: Some(now + platform.held_ms + platform.effect_ms),
                answer_at: Some(now + platform.answer_ms.unwrap_or(GIVEN_UP_MS)),
                is_answered: platform.answer_ms.is_some(),
            });
        } else {
            self.receive_call(self.leadership);
            let reply = self.promote(member);
            self.succession.record_promotion(now, number, reply);
        }
    }

    /// The platform receives a call with this fencing token.
    fn receive_call(&mut self, token: u64) {
        if token < self.newest_token {
            self.late_tokens.push((token, self.newest_token));
        }
        self.newest_token = token.max(self.newest_token);
    }

    /// Carries out and answers the promotion calls that are due.
    pub(super) fn run_platform(&mut self) {
        let now = self.now;
        let is_due = |at: Option<u64>| at.is_some_and(|at| at <= now);
        for mut call in std::mem::take(&mut self.calls) {
            if is_due(call.arrives_at) {
                call.arrives_at = None;
                self.receive_call(call.leadership);
            }
            if is_due(call.effect_at) {
                call.effect_at = None;
                if self
                    .group()
                    .born(&call.member)
                    .is_none_or(|born| call.born == Some(born))
                {
                    self.promote(&call.member);
                }
            }
            if is_due(call.answer_at) {
                call.answer_at = None;
                let reply = match self.members[&call.member].down {
                    _ if !call.is_answered => PromotionReply::Unknown,
                    true => PromotionReply::NotRunning,
                    false => PromotionReply::Accepted,
                };
                if call.leadership == self.leadership {
                    self.succession.record_promotion(now, call.number, reply);
                }
            }
            if call.effect_at.is_some() || call.answer_at.is_some() {
                self.calls.push(call);
            }
        }
    }

    /// Promotes a member, unless it leads the newest term. No acknowledged commit may be missing in
    /// its log.
    fn promote(&mut self, member: &Name) -> PromotionReply {
        if self.members[member].down {
            return PromotionReply::NotRunning;
        }
        let newest = self.members.values().map(|member| member.term).max();
        let current = &self.members[member];
        if current.primary && Some(current.term) == newest {
            return PromotionReply::Accepted;
        }
        let log = &self.members[member].log;
        for commit in &self.acknowledged {
            assert!(
                log.contains(commit),
                "{member} is promoted without {commit:?}"
            );
        }
        let highest = self
            .members
            .values()
            .map(|member| member.term)
            .max()
            .unwrap_or(0);
        let target = self.member(member);
        target.primary = true;
        target.term = highest + 1;
        target.paused_for = 0;
        self.promoted.push(member.clone());
        PromotionReply::Accepted
    }
}
