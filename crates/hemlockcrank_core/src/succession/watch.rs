//! The time between changes of primary: the choice of the first one, the checks that begin a change, and
//! what is committed about changes and losses of the past.

use super::{Inputs, MemberRow, Order, Succession};
use crate::{
    Name,
    group::{Edit, Lead},
};

/// Age after which a member's row no longer counts in the choice of the first primary, in
/// milliseconds.
const ROW_MAX_AGE_MS: u64 = 2_000;
/// Longest wait for the rows of all members before the first primary is chosen, in milliseconds.
const FIRST_PRIMARY_WAIT_MS: u64 = 4_000;
/// Time without a successful operation after which a primary is replaced although it still answers
/// polls, in milliseconds.
const MAX_UNSERVED_MS: u64 = 1_500;
/// Consecutive unanswered polls after which a suspected primary is replaced.
const MAX_MISSES: u32 = 2;
/// Time in which a member that said it was leaving may still receive commits, in milliseconds.
const LOSS_SETTLE_MS: u64 = 1_000;

impl Succession {
    /// Chooses the first primary of a group, or begins a change if no member is primary.
    pub(super) fn choose_first(&mut self, now: u64, inputs: &Inputs<'_>) -> Vec<Order> {
        let members = &inputs.group.members;
        if members.is_empty() {
            return Vec::new();
        }
        let since = *self.waiting_since.get_or_insert(now);
        let fresh = |latest: &&MemberRow| now < latest.received_at + ROW_MAX_AGE_MS;
        let rows: Vec<(&Name, &MemberRow)> = self
            .rows
            .iter()
            .filter(|(_, latest)| fresh(latest))
            .collect();
        let all_reported = rows.len() == members.len() && members.len() > 1;
        let may_choose = all_reported || (now >= since + FIRST_PRIMARY_WAIT_MS && !rows.is_empty());
        let primaries = rows.iter().filter(|(_, latest)| latest.row.primary);
        let newest = primaries.max_by_key(|(_, latest)| latest.row.term);
        if may_choose && let Some((member, latest)) = newest {
            let lead = Lead {
                member: (*member).clone(),
                term: latest.row.term,
            };
            let edit = Edit::Finish {
                service: inputs.service.clone(),
                change: None,
                lead,
            };
            return self.propose(now, edit);
        }
        if all_reported && now >= since + FIRST_PRIMARY_WAIT_MS {
            return self.begin(now, inputs, 0, false);
        }
        let names: Vec<Name> = members.keys().cloned().collect();
        names
            .into_iter()
            .filter_map(|name| self.send(now, false, Order::Look(name)))
            .collect()
    }

    /// Checks the primary of a group without a change in progress, and begins one when it has to be
    /// replaced.
    pub(super) fn monitor(&mut self, now: u64, inputs: &Inputs<'_>, lead: &Lead) -> Vec<Order> {
        let group = inputs.group;
        let Some(primary) = group.members.get(&lead.member) else {
            return self.begin(now, inputs, lead.term, false);
        };
        let others = group
            .members
            .iter()
            .filter(|(name, _)| **name != lead.member);
        let has_successor = others
            .clone()
            .any(|(_, member)| inputs.groups.accepts_work(member));
        let may_begin_planned = now >= self.next_planned_at && self.calls.allow_change(now);
        if !inputs.groups.accepts_work(primary) && has_successor && may_begin_planned {
            return self.begin(now, inputs, lead.term, true);
        }
        let mut orders = Vec::new();
        // A promotion ends a pause, and a primary is never paused.
        self.to_resume.remove(&lead.member);
        let may_be_paused: Vec<Name> = self.to_resume.iter().cloned().collect();
        for member in may_be_paused {
            orders.extend(self.send(now, false, Order::Resume(member)));
        }
        orders.extend(self.settle(now, inputs));
        orders.extend(self.bound_losses(now, inputs, lead));
        let Some(failing_ms) = inputs.failing_ms else {
            self.rows.remove(&lead.member);
            if let Some(polling) = self.polling.get_mut(&lead.member) {
                polling.misses = 0;
            }
            return orders;
        };
        let misses = self
            .polling
            .get(&lead.member)
            .map_or(0, |polling| polling.misses);
        let row = self.rows.get(&lead.member).map(|latest| latest.row);
        let demoted = row.is_some_and(|row| !row.primary || row.term != lead.term);
        let unserved = failing_ms >= MAX_UNSERVED_MS;
        let unresponsive = misses >= MAX_MISSES;
        if has_successor && (demoted || unserved || unresponsive) {
            return self.begin(now, inputs, lead.term, false);
        }
        orders.extend(self.send(now, false, Order::Look(lead.member.clone())));
        orders
    }

    /// Commits that the latest promotion is settled, once all calls are.
    fn settle(&mut self, now: u64, inputs: &Inputs<'_>) -> Vec<Order> {
        let unsettled = inputs.groups.unsettled(inputs.service);
        let Some(nominee) = unsettled.filter(|_| self.calls.all_settled(now)) else {
            return Vec::new();
        };
        let edit = Edit::Settle {
            service: inputs.service.clone(),
            change: nominee.change,
        };
        self.propose(now, edit)
    }

    /// Commits how far commits had been acknowledged when the log of a replica was lost, as the primary
    /// says it afterwards.
    fn bound_losses(&mut self, now: u64, inputs: &Inputs<'_>, lead: &Lead) -> Vec<Order> {
        let since = self.loss_seen_at + LOSS_SETTLE_MS;
        if inputs.sync_replicas == 0 || inputs.is_covered() || now < since {
            return Vec::new();
        }
        let latest = self.rows.get(&lead.member).filter(|latest| {
            let row = latest.row;
            latest.asked_at >= since && row.primary && row.term == lead.term
        });
        match latest.map(|latest| latest.row.received) {
            Some(position) => self.propose_bound(now, inputs, self.last_loss, position),
            None => Vec::from_iter(self.send(now, false, Order::Look(lead.member.clone()))),
        }
    }

    fn begin(&mut self, now: u64, inputs: &Inputs<'_>, term: u64, planned: bool) -> Vec<Order> {
        let edit = Edit::Begin {
            service: inputs.service.clone(),
            term,
            planned,
        };
        self.propose(now, edit)
    }
}
