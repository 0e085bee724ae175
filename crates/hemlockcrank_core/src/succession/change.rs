//! What happens between the beginning of a change and its end: orders, proofs, and what hosts may still
//! read meanwhile.

use super::{Inputs, Order, PROPOSE_AGAIN_MS, Seen, Succession};
use crate::{
    Name,
    floor::Sample,
    group::{Change, Edit, Group, Lead},
};

/// Longest wait for a member to reach an old primary that has stepped down, in milliseconds.
const CATCH_UP_MS: u64 = 2_000;
/// Age after which a paused member may have restarted and forgotten it, in milliseconds.
const PAUSE_FRESH_MS: u64 = 400;
/// Time after a member left in which commits may stand on the primary alone, in milliseconds.
const SHRUNK_CALM_MS: u64 = 3_000;
/// Longest wait for a primary that may hold such commits alone, in milliseconds.
const SHRUNK_WAIT_MS: u64 = 20_000;
/// Pause before the same member is promoted again, in milliseconds.
const PROMOTE_AGAIN_MS: u64 = 1_500;
/// Longest wait for the old primary of a planned change, in milliseconds.
const PLANNED_WAIT_MS: u64 = 2_500;

impl Succession {
    /// Term and position that no acknowledged commit is past, during a change: so replicas go on serving
    /// reads of a stated age while there is no primary.
    pub fn outgoing_sample(&self, now: u64, facts: &Inputs<'_>) -> Option<(u64, Sample)> {
        facts.group.change?;
        let lead = facts.group.lead.as_ref()?;
        let term = self.next_term(facts.group);
        let others = others(facts.group);
        let paused = others.iter().filter_map(|name| self.seen.get(name));
        let paused: Vec<&Seen> = paused.filter(|seen| seen.row.held >= term).collect();
        let complete = self.is_whole(now, facts.group)
            && paused.len() == others.len()
            && others.len() > facts.sync_replicas as usize
            && facts.sync_replicas > 0;
        let received = paused.iter().map(|seen| seen.row.received).max();
        let received = received.filter(|_| complete);
        let sample = if facts.fencing.complete {
            let position = self.stepped.or(received)?;
            Sample { at: now, position }
        } else if let Some(position) = received {
            let at = paused.iter().map(|seen| seen.asked_at).min()?;
            Sample { at, position }
        } else {
            Sample {
                at: self.stepped_at,
                position: self.stepped?,
            }
        };
        Some((lead.term, sample))
    }

    /// Term and position of a member that leads and has not been granted yet.
    pub fn incoming_sample(&self, now: u64, facts: &Inputs<'_>) -> Option<(u64, Sample)> {
        facts.group.change?;
        let (member, at) = self.promoted.as_ref()?;
        let left = facts.group.lead.as_ref().map_or(0, |lead| lead.term);
        let seen = self.seen.get(member).filter(|seen| seen.at >= *at)?;
        let leads = seen.row.primary && seen.row.term > left && facts.fencing.complete;
        let sample = Sample {
            at: now,
            position: seen.row.received,
        };
        leads.then_some((seen.row.term, sample))
    }

    pub(super) fn drive(&mut self, now: u64, facts: &Inputs<'_>, change: Change) -> Vec<Order> {
        let group = facts.group;
        self.take_up(group);
        self.stepping = self.old_primary(group);
        if let Some(orders) = self.arrive(now, facts, change) {
            return orders;
        }
        let old = group.lead.as_ref().map(|lead| lead.member.clone());
        let term = self.next_term(group);
        let planned = change.planned && now < self.began_at + PLANNED_WAIT_MS;
        let mut orders = Vec::new();
        if let Some(old) = old.filter(|name| group.members.contains_key(name)) {
            let wait = planned && !facts.fencing.complete;
            if self.stepped.is_none() && !wait {
                let order = Order::StepDown(old, term);
                orders.extend(self.ask(now, facts.fencing.complete, order));
            }
        }
        for name in others(group) {
            let seen = self.seen.get(&name);
            let paused = seen.is_some_and(|seen| seen.row.held >= term);
            let current = paused && seen.is_some_and(|seen| seen.settled);
            let order = if seen.is_some_and(|seen| seen.row.primary) {
                // The old primary under another name after a restart, or one of an older term.
                Order::StepDown(name, term)
            } else if planned || paused || self.stepped.is_some() {
                Order::Look(name)
            } else {
                Order::Pause(name, term)
            };
            if !current {
                orders.extend(self.ask(now, facts.fencing.complete, order));
            }
        }
        if let Some(candidate) = self.candidate(now, facts, term) {
            orders.extend(self.promote(now, candidate));
        }
        orders
    }

    /// The primary of the term that is left: also where it came back under another name.
    fn old_primary(&self, group: &Group) -> Option<Name> {
        let lead = group.lead.as_ref()?;
        if group.members.contains_key(&lead.member) {
            return Some(lead.member.clone());
        }
        let mut seen = self.seen.iter();
        let again = seen.find(|(_, seen)| seen.row.primary && seen.row.term == lead.term);
        again
            .map(|(name, _)| name.clone())
            .or_else(|| self.stepping.clone())
    }

    /// Takes up a member that an earlier leader has promoted: only leaders promote, and with a proof.
    fn take_up(&mut self, group: &Group) {
        let left = group.lead.as_ref().map_or(0, |lead| lead.term);
        let mut others = self.seen.iter().filter(|(name, _)| !group.is_primary(name));
        let found = others.find(|(_, seen)| seen.row.primary && seen.row.term > left);
        if let Some((name, seen)) = found.filter(|_| self.promoted.is_none()) {
            self.promoted = Some((name.clone(), seen.at));
        }
    }

    /// Watches a promoted member until it leads and the hosts have let go; `None` before a promotion.
    fn arrive(&mut self, now: u64, facts: &Inputs<'_>, change: Change) -> Option<Vec<Order>> {
        let (member, at) = self.promoted.clone()?;
        let left = facts.group.lead.as_ref().map_or(0, |lead| lead.term);
        let seen = self.seen.get(&member).filter(|seen| seen.at >= at);
        let leads = seen.filter(|seen| seen.row.primary && seen.row.term > left);
        if let Some(seen) = leads {
            if !facts.fencing.complete {
                return Some(Vec::new());
            }
            let lead = Lead {
                member,
                term: seen.row.term,
            };
            let edit = Edit::Finish {
                service: facts.service.clone(),
                change: Some(change.index),
                lead,
            };
            return Some(self.propose(now, edit));
        }
        if now >= at + PROMOTE_AGAIN_MS || !facts.group.members.contains_key(&member) {
            self.promoted = None;
            return None;
        }
        Some(
            self.ask(now, facts.fencing.complete, Order::Look(member))
                .into_iter()
                .collect(),
        )
    }

    /// Whether all that was acknowledged in this term is held by the present members: a member that left
    /// takes its log along, which may have been the only second copy of a commit.
    fn is_whole(&self, now: u64, group: &Group) -> bool {
        let during = group
            .change
            .is_some_and(|change| group.shrunk > change.index);
        let calm = |at| at + SHRUNK_CALM_MS <= self.began_at;
        let whole = !during && self.shrunk_at.is_none_or(calm);
        whole || now >= self.began_at + SHRUNK_WAIT_MS
    }

    /// A member that surely holds every acknowledged commit.
    fn candidate(&self, now: u64, facts: &Inputs<'_>, term: u64) -> Option<Name> {
        let group = facts.group;
        let acknowledged = facts.fencing.acknowledged;
        let others = others(group);
        let rows: Vec<(&Name, &Seen)> = others
            .iter()
            .filter_map(|name| self.seen.get_key_value(name))
            .collect();
        let paused =
            |seen: &Seen| seen.row.held >= term && (seen.settled || now < seen.at + PAUSE_FRESH_MS);
        let complete = self.is_whole(now, group)
            && rows.len() == others.len()
            && rows.iter().all(|(_, seen)| paused(seen))
            && others.len() > facts.sync_replicas as usize
            && facts.sync_replicas > 0;
        let best = rows.iter().map(|(_, seen)| seen.row.received).max();
        let holds_all = |seen: &Seen| {
            let received = seen.row.received;
            if received < acknowledged {
                return false;
            }
            match self.stepped {
                Some(last) if received >= last => true,
                _ if complete => Some(received) >= best,
                Some(_) => false,
                None => facts.fencing.confirmed && seen.settled,
            }
        };
        let fit = rows.iter().filter(|(_, seen)| holds_all(seen));
        let suits = |name: &Name| {
            let member = group.members.get(name);
            member.is_some_and(|member| facts.groups.accepts_work(member))
        };
        let ranked = fit.max_by_key(|(name, seen)| (suits(name), seen.row.received));
        if let Some((name, _)) = ranked {
            return Some((*name).clone());
        }
        self.old_again(now, facts)
    }

    /// The old primary itself, where it stepped down and no other member has reached it in time.
    fn old_again(&self, now: u64, facts: &Inputs<'_>) -> Option<Name> {
        let lead = facts.group.lead.as_ref()?;
        self.stepped?;
        let late = now >= self.began_at + CATCH_UP_MS;
        let known = facts.group.members.contains_key(&lead.member);
        (late && known && facts.fencing.complete).then(|| lead.member.clone())
    }

    fn promote(&mut self, now: u64, member: Name) -> Option<Order> {
        let due = self.called_at.is_none_or(|at| now >= at + PROPOSE_AGAIN_MS);
        due.then(|| {
            self.called_at = Some(now);
            Order::Promote(member)
        })
    }

    /// A term above every one that is known, so that members obey.
    fn next_term(&self, group: &Group) -> u64 {
        let known = group.lead.as_ref().map_or(0, |lead| lead.term);
        let seen = self.seen.values().map(|seen| seen.row.term).max();
        known.max(seen.unwrap_or(0)) + 1
    }
}

fn others(group: &Group) -> Vec<Name> {
    let names = group.members.keys();
    names
        .filter(|name| !group.is_primary(name))
        .cloned()
        .collect()
}
