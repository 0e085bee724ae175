//! Choice of the member that runs a statement, and what the outcome says of the member.

use std::sync::Arc;

use hemlockcrank_core::{Name, balance::Candidate, catalog::Freshness, session::Position};

use super::{
    Code, Proxy,
    admission::Operation,
    member_connection::Answer,
    pool::{Pool, Unavailable},
    primaries::Guard,
};
use crate::{clock::now_ms, control::HostState};

/// Margin by which data must be newer than the route's maximum age allows, in milliseconds.
const AGE_MARGIN_MS: u64 = 30;

/// The member chosen for a statement.
pub(crate) struct Choice {
    pub(crate) name: Name,
    pub(crate) pool: Arc<Pool>,
    /// Availability zone of the member.
    pub(crate) zone: Name,
    /// Position that the member must have reached.
    pub(crate) after: Option<Position>,
    /// Set if the member is the primary.
    pub(crate) guard: Option<Guard>,
}

impl Proxy {
    /// Chooses the best member for a read, except those in `tried`.
    pub(crate) fn choose(
        &self,
        host_state: &HostState,
        operation: &Operation,
        watermark: Position,
        tried: &[Name],
    ) -> Option<Choice> {
        let route = &operation.route;
        let group = host_state.state.groups.get(&route.service)?;
        let lead = group.lead.as_ref()?;
        let floor = self.floor(operation, lead.term, watermark);
        let mut members = Vec::new();
        let mut candidates = Vec::new();
        let mut zones = Vec::new();
        for (name, member) in &group.members {
            let is_primary = *name == lead.member;
            let excluded = match is_primary {
                true => group.change.is_some() || !host_state.has_lease(),
                false => floor.is_none(),
            };
            if excluded || tried.contains(name) || !host_state.state.groups.accepts_work(member) {
                continue;
            }
            let pool = self.pool(host_state, &route.service, name, member);
            candidates.push(Candidate {
                load: pool.load(),
                same_zone: *member.zone == *self.settings.zone,
                connected: pool.has_free(&operation.workspace),
                primary: is_primary,
            });
            zones.push(&member.zone);
            members.push((name, pool, is_primary));
        }
        let best = self.choose_by_zone(
            host_state,
            &route.service,
            &candidates,
            &zones,
            !tried.is_empty(),
        )?;
        let (name, pool, is_primary) = members.swap_remove(best);
        let guard = match is_primary {
            true => Some(self.primaries.issue_guard(&route.service, lead.term)?),
            false => None,
        };
        Some(Choice {
            name: name.clone(),
            pool,
            zone: zones[best].clone(),
            after: floor.filter(|_| !is_primary),
            guard,
        })
    }

    /// Position that a replica must have reached; `None` if only the primary can serve the read.
    fn floor(&self, operation: &Operation, term: u64, watermark: Position) -> Option<Position> {
        let route = &operation.route;
        let since = operation.arrived_at.saturating_sub(route.max_age_ms) + AGE_MARGIN_MS;
        let sampled_floor = || self.primaries.floor(&route.service, term, since);
        match route.freshness {
            Freshness::Primary => None,
            Freshness::Bounded => sampled_floor(),
            Freshness::ReadYourWrites => sampled_floor().map(|floor| floor.max(watermark)),
        }
    }

    /// Chooses the primary of a service, with a guard; `None` while it must not be used.
    pub(crate) fn choose_primary(&self, host_state: &HostState, service: &Name) -> Option<Choice> {
        let group = host_state.state.groups.get(service)?;
        let lead = group.lead.as_ref()?;
        let (name, member) = group.primary()?;
        if !host_state.state.groups.accepts_work(member) {
            return None;
        }
        let guard = self.primaries.issue_guard(service, lead.term)?;
        Some(Choice {
            name: name.clone(),
            pool: self.pool(host_state, service, name, member),
            zone: member.zone.clone(),
            after: None,
            guard: Some(guard),
        })
    }

    /// Records an answer of the primary, to be reported to the control leader.
    pub(crate) fn record_primary_answer(
        &self,
        service: &Name,
        term: u64,
        sent_at: u64,
        answer: &Answer,
    ) {
        match &answer.outcome {
            Err((Code::ReadOnly | Code::Misrouted, _)) => self.primary_failed(service, term),
            Err((Code::Busy | Code::TooMany, _)) => {}
            _ => self
                .primaries
                .record_answer(now_ms(), service, term, sent_at, answer.position),
        }
    }

    /// Records that no connection to a member was available. If all are in use, that is not a
    /// failure of the member.
    pub(crate) fn record_unavailable(&self, choice: &Choice, service: &Name, error: Unavailable) {
        let now = now_ms();
        let all_in_use =
            matches!(error, Unavailable::Refused(Code::TooMany)) || error == Unavailable::Late;
        if all_in_use {
            return;
        }
        choice.pool.update_load(|load| load.record_failure(now));
        if let Some(guard) = &choice.guard {
            self.primary_failed(service, guard.term());
        }
    }
}
