//! The steps of a change of primary in progress: orders to members, the proof for a promotion, and
//! the samples that reads may use meanwhile.

use super::{Inputs, MemberRow, Order, Succession, calls::ANSWER_WAIT_MS};
use crate::{
    Name,
    floor::Sample,
    group::{Change, Edit, Group, Intent, Lead, Nominee},
};

/// Longest wait for a member to reach the position of an old primary that has stepped down, in
/// milliseconds.
const CATCH_UP_MS: u64 = 2_000;
/// Age after which a row no longer proves that a member is paused, in milliseconds: a restart
/// clears the pause.
const PAUSE_MAX_AGE_MS: u64 = 400;
/// Time after the departure of a member in which the primary may hold the only copy of some
/// commits, in milliseconds.
const DEPARTURE_SETTLE_MS: u64 = 3_000;
/// Longest wait for a primary that may hold the only copy of such commits, in milliseconds.
const DEPARTURE_MAX_WAIT_MS: u64 = 20_000;
/// Longest wait for the old primary of a planned change to finish its open transactions, in
/// milliseconds.
const PLANNED_MAX_WAIT_MS: u64 = 2_500;

impl Succession {
    /// Old term, and a sample that bounds all commits acknowledged in it. During a change it lets
    /// replicas continue to serve reads with a maximum age while there is no primary.
    pub fn outgoing_sample(&self, now: u64, inputs: &Inputs<'_>) -> Option<(u64, Sample)> {
        inputs.group.change?;
        let lead = inputs.group.lead.as_ref()?;
        let term = self.next_term(inputs.group);
        let others = others(inputs.group);
        let rows = others
            .iter()
            .filter_map(|name| self.rows.get_key_value(name));
        let paused = rows.filter(|(name, latest)| self.stays_paused(now, name, latest, term));
        let paused: Vec<&MemberRow> = paused.map(|(_, latest)| latest).collect();
        let all_paused = self.has_all_copies(now, inputs.group)
            && paused.len() == others.len()
            && others.len() > inputs.sync_replicas as usize
            && inputs.sync_replicas > 0;
        let received = paused.iter().map(|latest| latest.row.received).max();
        let received = received.filter(|_| all_paused);
        let sample = if inputs.fencing.complete {
            let position = self.final_position.or(received)?;
            Sample { at: now, position }
        } else if let Some(position) = received {
            let at = paused.iter().map(|latest| latest.asked_at).min()?;
            Sample { at, position }
        } else {
            Sample {
                at: self.final_asked_at,
                position: self.final_position?,
            }
        };
        Some((lead.term, sample))
    }

    /// New term, and the position of its primary, before [`Edit::Finish`] grants the term.
    pub fn incoming_sample(&self, now: u64, inputs: &Inputs<'_>) -> Option<(u64, Sample)> {
        inputs.group.change?;
        let (member, at) = self.promoted.as_ref()?;
        let old_term = inputs.group.lead.as_ref().map_or(0, |lead| lead.term);
        let latest = self
            .rows
            .get(member)
            .filter(|latest| latest.received_at >= *at)?;
        let may_lead = latest.row.primary && latest.row.term > old_term && inputs.fencing.complete;
        let sample = Sample {
            at: now,
            position: latest.row.received,
        };
        may_lead.then_some((latest.row.term, sample))
    }

    /// Returns the orders for the current change.
    pub(super) fn run_change(
        &mut self,
        now: u64,
        inputs: &Inputs<'_>,
        change: Change,
    ) -> Vec<Order> {
        let group = inputs.group;
        self.adopt_promoted(inputs);
        self.outgoing = self.old_primary(group);
        if let Some(orders) = self.follow_promotion(now, inputs, change) {
            return orders;
        }
        let old = group.lead.as_ref().map(|lead| lead.member.clone());
        let term = self.next_term(group);
        let planned = change.planned && now < self.began_at + PLANNED_MAX_WAIT_MS;
        let mut orders = Vec::new();
        if let Some(old) = old.filter(|name| group.members.contains_key(name)) {
            let draining = planned && !inputs.fencing.complete;
            if self.final_position.is_none() && !draining {
                let order = Order::StepDown(old, term);
                orders.extend(self.send(now, inputs.fencing.complete, order));
            }
        }
        for name in others(group) {
            let latest = self.rows.get(&name);
            let paused = latest.is_some_and(|latest| latest.row.held >= term);
            let is_final = paused && latest.is_some_and(|latest| latest.fenced);
            let order = if latest.is_some_and(|latest| latest.row.primary) {
                // The old primary after a restart under another name, or a primary of an older
                // term.
                Order::StepDown(name, term)
            } else if planned || paused || self.final_position.is_some() {
                Order::Look(name)
            } else {
                Order::Pause(name, term)
            };
            if !is_final {
                orders.extend(self.send(now, inputs.fencing.complete, order));
            }
        }
        if self.calls.await_earlier(now)
            && let Some(nominee) = inputs.nominee()
        {
            let order = Order::Look(nominee.member.clone());
            orders.extend(self.send(now, inputs.fencing.complete, order));
        }
        orders.extend(self.promote(now, inputs, change, term));
        orders
    }

    /// Nominates a member, or asks the platform for the promotion of the nominated one. Another one
    /// takes its place only if it is not running, and no call for it can be carried out any more.
    fn promote(
        &mut self,
        now: u64,
        inputs: &Inputs<'_>,
        change: Change,
        term: u64,
    ) -> Option<Order> {
        let nominee = inputs.nominee();
        let is_gone = nominee.is_some_and(|nominee| {
            inputs.group.born(&nominee.member) != Some(nominee.born)
                || self.calls.is_not_running(&nominee.member)
        });
        if let Some(nominee) = nominee.filter(|_| !is_gone) {
            return self.call(now, inputs, term, nominee);
        }
        let candidate = self.candidate(now, inputs, term)?;
        let born = inputs.group.born(&candidate)?;
        let previous = nominee.map(|nominee| &nominee.member);
        if let Some(nominee) =
            nominee.filter(|nominee| nominee.member == candidate && nominee.born == born)
        {
            self.calls.forget_not_running();
            return self.call(now, inputs, term, nominee);
        }
        let is_allowed = self.calls.allow(now, &candidate, change.planned);
        if !is_allowed || self.calls.await_earlier(now) {
            return None;
        }
        let nominee = Nominee {
            member: candidate,
            born,
            change: change.index,
        };
        self.declare(now, inputs, &nominee, previous)
    }

    /// Asks for the promotion of the nominated member. What proved that it holds every acknowledged
    /// commit must still hold, or no host can acknowledge anything more. The intent is committed
    /// first, and no call of an earlier leader may still be on its way.
    fn call(
        &mut self,
        now: u64,
        inputs: &Inputs<'_>,
        term: u64,
        nominee: &Nominee,
    ) -> Option<Order> {
        let mut eligible = self.eligible(now, inputs, term).into_iter();
        let holds = inputs.fencing.complete || eligible.any(|(name, _)| *name == nominee.member);
        if !holds || self.calls.await_earlier(now) {
            return None;
        }
        let mut intents = inputs.groups.intents(inputs.service).iter();
        let is_known = intents.any(|intent| {
            intent.change == nominee.change
                && intent.member == nominee.member
                && intent.born == nominee.born
                && intent.leadership == inputs.leadership
        });
        if !is_known {
            return self.declare(now, inputs, nominee, None);
        }
        let number = self.calls.send(now, &nominee.member, self.change)?;
        Some(Order::Promote(nominee.member.clone(), number))
    }

    /// Commits the intent to call for a member, which also nominates it in place of `previous`.
    fn declare(
        &mut self,
        now: u64,
        inputs: &Inputs<'_>,
        nominee: &Nominee,
        previous: Option<&Name>,
    ) -> Option<Order> {
        let intent = Intent {
            service: inputs.service.clone(),
            change: nominee.change,
            member: nominee.member.clone(),
            born: nominee.born,
            previous: previous.cloned(),
            host: inputs.host.clone(),
            leadership: inputs.leadership,
            witnesses: self.calls.doubtful(now, &nominee.member),
        };
        self.propose(now, Edit::Intent(intent)).pop()
    }

    /// The primary of the old term, also after a restart under another name.
    fn old_primary(&self, group: &Group) -> Option<Name> {
        let lead = group.lead.as_ref()?;
        if group.members.contains_key(&lead.member) {
            return Some(lead.member.clone());
        }
        let mut rows = self.rows.iter();
        let restarted = rows.find(|(_, latest)| latest.row.primary && latest.row.term == lead.term);
        restarted
            .map(|(name, _)| name.clone())
            .or_else(|| self.outgoing.clone())
    }

    /// Continues the promotion of a member by an earlier control leader. That is safe: only control
    /// leaders promote members, and only with a proof.
    fn adopt_promoted(&mut self, inputs: &Inputs<'_>) {
        let group = inputs.group;
        let old_term = group.lead.as_ref().map_or(0, |lead| lead.term);
        let may_be_adopted = |name: &Name| match inputs.nominee() {
            Some(nominee) => *name == nominee.member,
            None => !group.is_primary(name),
        };
        let mut rows = self.rows.iter().filter(|(name, _)| may_be_adopted(name));
        let primary = rows.find(|(_, latest)| latest.row.primary && latest.row.term > old_term);
        if let Some((name, latest)) = primary.filter(|_| self.promoted.is_none()) {
            self.promoted = Some((name.clone(), latest.received_at));
        }
    }

    /// Follows the nominated member until it is primary and all hosts are fenced off from the old
    /// term; `None` when no promotion is in progress.
    fn follow_promotion(
        &mut self,
        now: u64,
        inputs: &Inputs<'_>,
        change: Change,
    ) -> Option<Vec<Order>> {
        let Some((member, at)) = self.promoted.clone() else {
            let awaited = self.calls.awaits(now, self.change);
            let order = Order::Look(inputs.nominee().filter(|_| awaited)?.member.clone());
            return Some(Vec::from_iter(self.send(
                now,
                inputs.fencing.complete,
                order,
            )));
        };
        let old_term = inputs.group.lead.as_ref().map_or(0, |lead| lead.term);
        let latest = self
            .rows
            .get(&member)
            .filter(|latest| latest.received_at >= at);
        let primary_row = latest.filter(|latest| latest.row.primary && latest.row.term > old_term);
        if let Some(latest) = primary_row {
            if !inputs.fencing.complete {
                return Some(Vec::new());
            }
            let lead = Lead {
                member,
                term: latest.row.term,
            };
            let edit = Edit::Finish {
                service: inputs.service.clone(),
                change: Some(change.index),
                lead,
            };
            return Some(self.propose(now, edit));
        }
        if now >= at + ANSWER_WAIT_MS || !inputs.group.members.contains_key(&member) {
            self.promoted = None;
            return None;
        }
        let order = self.send(now, inputs.fencing.complete, Order::Look(member));
        Some(Vec::from_iter(order))
    }

    /// Whether the present members hold every commit acknowledged in this term. The log of a member
    /// that departed is lost, and it may have been the only second copy of a commit; the wait for
    /// such a copy is limited.
    fn has_all_copies(&self, now: u64, group: &Group) -> bool {
        let departed_during = group
            .change
            .is_some_and(|change| group.last_departure > change.index);
        let settled = |at| at + DEPARTURE_SETTLE_MS <= self.began_at;
        let has_all = !departed_during && self.departure_seen_at.is_none_or(settled);
        has_all || now >= self.began_at + DEPARTURE_MAX_WAIT_MS
    }

    /// Whether a member is paused, and either no late order ends the pause or nothing can be
    /// acknowledged any more.
    fn stays_paused(&self, now: u64, name: &Name, latest: &MemberRow, term: u64) -> bool {
        let settled = latest.fenced || !self.resumes.may_arrive(now, name);
        latest.row.held >= term && settled
    }

    /// The best member that provably holds every acknowledged commit; `None` without a proof.
    fn candidate(&self, now: u64, inputs: &Inputs<'_>, term: u64) -> Option<Name> {
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

    /// The members that provably hold every acknowledged commit, other than the old primary.
    fn eligible(&self, now: u64, inputs: &Inputs<'_>, term: u64) -> Vec<(&Name, &MemberRow)> {
        let group = inputs.group;
        let acknowledged = inputs.fencing.acknowledged;
        let others = others(group);
        let rows: Vec<(&Name, &MemberRow)> = others
            .iter()
            .filter_map(|name| self.rows.get_key_value(name))
            .collect();
        let paused = |name: &Name, latest: &MemberRow| {
            self.stays_paused(now, name, latest, term)
                && (latest.fenced || now < latest.received_at + PAUSE_MAX_AGE_MS)
        };
        let all_paused = self.has_all_copies(now, group)
            && rows.len() == others.len()
            && rows.iter().all(|(name, latest)| paused(name, latest))
            && others.len() > inputs.sync_replicas as usize
            && inputs.sync_replicas > 0;
        let most_advanced = rows.iter().map(|(_, latest)| latest.row.received).max();
        let holds_all = |latest: &MemberRow| {
            let received = latest.row.received;
            if received < acknowledged {
                return false;
            }
            match self.final_position {
                Some(final_position) if received >= final_position => true,
                _ if all_paused => Some(received) >= most_advanced,
                Some(_) => false,
                None => inputs.fencing.confirmed && latest.fenced,
            }
        };
        rows.into_iter()
            .filter(|(_, latest)| holds_all(latest))
            .collect()
    }

    /// The old primary itself, if it has stepped down and no other member reached its position in
    /// time.
    fn fall_back_to_old_primary(&self, now: u64, inputs: &Inputs<'_>) -> Option<Name> {
        let lead = inputs.group.lead.as_ref()?;
        self.final_position?;
        let timed_out = now >= self.began_at + CATCH_UP_MS;
        let is_member = inputs.group.members.contains_key(&lead.member);
        (timed_out && is_member && inputs.fencing.complete).then(|| lead.member.clone())
    }

    /// A term above the committed one and all that members have reported, so that members accept
    /// its orders.
    fn next_term(&self, group: &Group) -> u64 {
        let committed = group.lead.as_ref().map_or(0, |lead| lead.term);
        let reported = self.rows.values().map(|latest| latest.row.term).max();
        committed.max(reported.unwrap_or(0)) + 1
    }
}

/// Members other than the primary.
fn others(group: &Group) -> Vec<Name> {
    let names = group.members.keys();
    names
        .filter(|name| !group.is_primary(name))
        .cloned()
        .collect()
}
