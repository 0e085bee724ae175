//! The proofs that a member holds every acknowledged commit.
//!
//! None of them rests on a wait, or on what an earlier process alone has known: what they need of the past
//! is committed ([`crate::group::Bounds`], [`Group::last_loss`](crate::group::Group::last_loss)).

use super::{Inputs, MemberRow, Succession, change::others};
use crate::{Name, session::Position};

/// Longest wait for a member to reach the position of an old primary that has stepped down, in
/// milliseconds.
const CATCH_UP_MS: u64 = 2_000;
/// Age after which a row no longer proves that a member is paused, in milliseconds: a restart
/// clears the pause.
const PAUSE_MAX_AGE_MS: u64 = 400;

impl Inputs<'_> {
    /// Bound on all commits acknowledged in the old term, if it is committed.
    pub(super) fn final_bound(&self) -> Option<Position> {
        let change = self.group.change?;
        let bound = self.bound.filter(|bound| bound.index == change.index)?;
        Some(bound.position)
    }

    /// Position past which no host has acknowledged a commit, once all have reported.
    fn reported(&self) -> Option<Position> {
        let fencing = self.fencing;
        let reported = fencing.acknowledged.max(fencing.departed);
        fencing.confirmed.then_some(reported)
    }

    /// Lowest position that the log of a member with every acknowledged commit may end at, as far as
    /// hosts and the committed bound say.
    pub(super) fn least(&self) -> Position {
        let bound = self.bound.map(|bound| bound.position);
        self.fencing.acknowledged.max(bound.unwrap_or_default())
    }
}

impl Succession {
    /// Position at which the old primary has stepped down. `None` if it has not, or if that is not the
    /// log of the old primary: a process that starts again under its name holds and knows nothing.
    pub(super) fn final_position(&self, inputs: &Inputs<'_>) -> Option<Position> {
        let (row, _) = self.stepped_down?;
        let position = row.received;
        let term = inputs.group.lead.as_ref().map_or(0, |lead| lead.term);
        if row.term.max(position.term) < term {
            return None;
        }
        let rows = self.rows.values().map(|latest| latest.row.received);
        let in_old_terms = rows.filter(|received| received.term <= term);
        let least = in_old_terms.fold(inputs.least(), Position::max);
        (position >= least).then_some(position)
    }

    /// Lowest bound on all commits acknowledged in the old term that can be proved, if none can be
    /// acknowledged any more.
    pub(super) fn provable_bound(&self, inputs: &Inputs<'_>) -> Option<Position> {
        let last = self.frozen(inputs, |_, latest| latest.fenced);
        let last = last.map(|(position, _)| position);
        let proved = [self.final_position(inputs), last, inputs.reported()];
        proved.into_iter().flatten().min()
    }

    /// Last position that any member but the primary has received, and when the oldest of these answers
    /// was asked for. `None` unless the answers of all of them meet `is_frozen`, and the most advanced one
    /// holds every acknowledged commit.
    pub(super) fn frozen<F>(&self, inputs: &Inputs<'_>, is_frozen: F) -> Option<(Position, u64)>
    where
        F: Fn(&Name, &MemberRow) -> bool,
    {
        let others = others(inputs.group);
        let has_copies = inputs.sync_replicas > 0 && others.len() > inputs.sync_replicas as usize;
        if !has_copies || !inputs.is_covered() {
            return None;
        }
        let mut most_advanced = Position::default();
        let mut asked_at = u64::MAX;
        for name in &others {
            let latest = self
                .rows
                .get(name)
                .filter(|latest| is_frozen(name, latest))?;
            most_advanced = most_advanced.max(latest.row.received);
            asked_at = asked_at.min(latest.asked_at);
        }
        (most_advanced >= inputs.least()).then_some((most_advanced, asked_at))
    }

    /// Whether a member is paused, and either no late order ends the pause or nothing can be
    /// acknowledged any more.
    pub(super) fn stays_paused(
        &self,
        now: u64,
        name: &Name,
        latest: &MemberRow,
        term: u64,
    ) -> bool {
        let settled = latest.fenced || !self.resumes.may_arrive(now, name);
        latest.row.held >= term && settled
    }

    /// The best member that provably holds every acknowledged commit; `None` without a proof.
    pub(super) fn candidate(&self, now: u64, inputs: &Inputs<'_>, term: u64) -> Option<Name> {
        let accepts_work = |name: &Name| {
            let member = inputs.group.members.get(name);
            member.is_some_and(|member| inputs.groups.accepts_work(member))
        };
        let eligible = self.eligible(now, inputs, term).into_iter();
        let best = eligible.max_by_key(|(name, latest)| (accepts_work(name), latest.row.received));
        if let Some((name, _)) = best {
            return Some(name.clone());
        }
        self.fall_back_to_old_primary(now, inputs)
    }

    /// Whether this member provably holds every acknowledged commit.
    pub(super) fn is_proved(
        &self,
        now: u64,
        inputs: &Inputs<'_>,
        term: u64,
        member: &Name,
    ) -> bool {
        let mut eligible = self.eligible(now, inputs, term).into_iter();
        eligible.any(|(name, _)| name == member)
            || self.fall_back_to_old_primary(now, inputs).as_ref() == Some(member)
    }

    /// The members that provably hold every acknowledged commit, other than the old primary.
    pub(super) fn eligible(
        &self,
        now: u64,
        inputs: &Inputs<'_>,
        term: u64,
    ) -> Vec<(&Name, &MemberRow)> {
        let paused = self.frozen(inputs, |name, latest| {
            self.stays_paused(now, name, latest, term)
                && (latest.fenced || now < latest.received_at + PAUSE_MAX_AGE_MS)
        });
        let final_position = self.final_position(inputs);
        let holds_all = |latest: &MemberRow| {
            let received = latest.row.received;
            let reaches = |position: Option<Position>| position.is_some_and(|at| received >= at);
            if received < inputs.fencing.acknowledged {
                return false;
            }
            let is_reported = latest.fenced && reaches(inputs.reported());
            reaches(inputs.final_bound())
                || reaches(final_position)
                || reaches(paused.map(|(position, _)| position))
                || (is_reported && final_position.is_none())
        };
        let others = others(inputs.group);
        others
            .iter()
            .filter_map(|name| self.rows.get_key_value(name))
            .filter(|(_, latest)| holds_all(latest))
            .collect()
    }

    /// The old primary itself, if it has stepped down and no other member reached its position in
    /// time.
    fn fall_back_to_old_primary(&self, now: u64, inputs: &Inputs<'_>) -> Option<Name> {
        let lead = inputs.group.lead.as_ref()?;
        self.final_position(inputs)?;
        let timed_out = now >= self.began_at + CATCH_UP_MS;
        let is_member = inputs.group.members.contains_key(&lead.member);
        (timed_out && is_member && inputs.fencing.complete).then(|| lead.member.clone())
    }
}
