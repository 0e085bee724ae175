//! The steps of a change of primary in progress: orders to members, the promotion, and the samples that
//! reads may use meanwhile.

use super::{Inputs, Order, Succession, calls::ANSWER_WAIT_MS};
use crate::{
    Name,
    floor::Sample,
    group::{Change, Edit, Group, Intent, Lead, Nominee},
};

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
        let final_position = self.final_position(inputs);
        let paused = self.frozen(inputs, |name, latest| {
            self.stays_paused(now, name, latest, term)
        });
        let bound = self.provable_bound(inputs);
        let sample = if let Some(position) = bound.filter(|_| inputs.fencing.complete) {
            Sample { at: now, position }
        } else if let Some((position, at)) = paused {
            Sample { at, position }
        } else {
            let (_, at) = self.stepped_down?;
            let position = final_position?;
            Sample { at, position }
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
        let term = self.next_term(group);
        let mut orders = Vec::new();
        if let Some(position) = self.provable_bound(inputs)
            && inputs.final_bound().is_none_or(|bound| position < bound)
        {
            orders.extend(self.propose_bound(now, inputs, change.index, position));
        }
        if let Some(followed) = self.follow_promotion(now, inputs, change) {
            orders.extend(followed);
            return orders;
        }
        let old = group.lead.as_ref().map(|lead| lead.member.clone());
        let planned = change.planned && now < self.began_at + PLANNED_MAX_WAIT_MS;
        let has_stepped_down = self.final_position(inputs).is_some();
        if let Some(old) = old.filter(|name| group.members.contains_key(name)) {
            let draining = planned && !inputs.fencing.complete;
            if !has_stepped_down && !draining {
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
            } else if planned || paused || has_stepped_down {
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

    /// Nominates a member, or asks the platform for the promotion of the nominated one. What proved that it
    /// holds every acknowledged commit must still hold. Another one takes its place only if it does not, or
    /// if it is not running, and if no call for it can be carried out any more.
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
        let is_proved = |nominee: &&Nominee| self.is_proved(now, inputs, term, &nominee.member);
        if let Some(nominee) = nominee.filter(|_| !is_gone).filter(is_proved) {
            return self.call(now, inputs, nominee);
        }
        let candidate = self.candidate(now, inputs, term)?;
        let born = inputs.group.born(&candidate)?;
        let previous = nominee.map(|nominee| &nominee.member);
        if let Some(nominee) =
            nominee.filter(|nominee| nominee.member == candidate && nominee.born == born)
        {
            self.calls.forget_not_running();
            return self.call(now, inputs, nominee);
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

    /// Asks for the promotion of the nominated member. The intent is committed first, and no call of an
    /// earlier leader may still be on its way.
    fn call(&mut self, now: u64, inputs: &Inputs<'_>, nominee: &Nominee) -> Option<Order> {
        if self.calls.await_earlier(now) {
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
            let row = latest.row;
            let mut orders = Vec::new();
            if inputs.final_bound().is_none() {
                // The new primary holds every acknowledged commit.
                orders.extend(self.propose_bound(now, inputs, change.index, row.received));
            }
            let lead = Lead {
                member,
                term: row.term,
            };
            let edit = Edit::Finish {
                service: inputs.service.clone(),
                change: Some(change.index),
                lead,
            };
            orders.extend(self.propose(now, edit));
            return Some(orders);
        }
        if now >= at + ANSWER_WAIT_MS || !inputs.group.members.contains_key(&member) {
            self.promoted = None;
            return None;
        }
        let order = self.send(now, inputs.fencing.complete, Order::Look(member));
        Some(Vec::from_iter(order))
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
pub(super) fn others(group: &Group) -> Vec<Name> {
    let names = group.members.keys();
    names
        .filter(|name| !group.is_primary(name))
        .cloned()
        .collect()
}
