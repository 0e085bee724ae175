//! Carrying out what the successions say.

use std::sync::{Arc, atomic::Ordering};

use hemlockcrank_core::{
    Name,
    consensus::Node,
    state::Command,
    succession::{Facts, Order, Promoted, Said},
};
use hemlockcrank_wire::{Bearings, Height};

use super::{Control, Message};
use crate::{
    clock::now_ms,
    control::{group::Group, steward::Dispatch},
    event::Event,
    journal::JournalError,
};

impl Control {
    /// Asks every succession what to do, and does it.
    pub(super) fn oversee(&mut self, now: u64) -> Result<(), JournalError> {
        let node = self.group.as_ref().and_then(Group::node);
        let until = node.and_then(Node::lease_until).unwrap_or(0);
        let leads = self.leads(now);
        let (Some(steward), Some(duties), true) = (&mut self.steward, &self.duties, leads) else {
            return Ok(());
        };
        steward.authority.store(until, Ordering::Release);
        steward.note_view(now, &self.state.view);
        let groups = Arc::clone(&self.state.groups);
        let mut orders = Vec::new();
        let catalog = &self.state.catalog;
        let known = groups
            .iter()
            .filter(|(service, _)| catalog.service(service).is_some());
        for (service, group) in known {
            let term = group.lead.as_ref().map_or(0, |lead| lead.term);
            let ends = duties.lease_ends(&self.state);
            let known = catalog.service(service);
            let facts = Facts {
                groups: &groups,
                group,
                service,
                sync_replicas: known.map_or(1, |known| known.sync_replicas),
                settled: steward.settled(now, service, group, ends),
                failing_ms: steward.sightings.failing_ms(now, service, term),
            };
            let succession = steward.succession(service, group);
            let due = succession.tick(now, &facts);
            let frozen = succession.frozen(now, &facts);
            let arriving = succession.arriving(now, &facts);
            for (term, sample) in frozen.into_iter().chain(arriving) {
                steward.sightings.sample(service, term, sample);
            }
            orders.extend(due.into_iter().map(|order| (service.clone(), order)));
        }
        for (service, order) in orders {
            self.carry_out(&service, order)?;
        }
        Ok(())
    }

    pub(super) fn answered(
        &mut self,
        service: &Name,
        order: &Order,
        said: Said,
    ) -> Result<(), JournalError> {
        let now = now_ms();
        let Some(member) = order.member() else {
            return Ok(());
        };
        let groups = Arc::clone(&self.state.groups);
        if let (Some(steward), Some(group)) = (&mut self.steward, groups.get(service)) {
            let succession = steward.succession(service, group);
            succession.answered(now, member, order, said);
        }
        let shown = format!("{said:?}");
        let fields: [(&str, &dyn std::fmt::Display); 4] = [
            ("service", service),
            ("member", member),
            ("order", &format!("{order:?}")),
            ("answer", &shown),
        ];
        self.timeline.emit(Event::MemberAnswered, &fields);
        self.oversee(now)
    }

    pub(super) fn promoted(
        &mut self,
        service: &Name,
        member: &Name,
        outcome: Promoted,
    ) -> Result<(), JournalError> {
        let now = now_ms();
        let groups = Arc::clone(&self.state.groups);
        if let (Some(steward), Some(group)) = (&mut self.steward, groups.get(service)) {
            steward
                .succession(service, group)
                .promoted(now, member, outcome);
        }
        let fields: [(&str, &dyn std::fmt::Display); 3] = [
            ("service", service),
            ("member", member),
            ("outcome", &format!("{outcome:?}")),
        ];
        self.timeline.emit(Event::PromotionAnswered, &fields);
        self.oversee(now)
    }

    /// Clock, samples and shares that go with an answer to a follower.
    pub(super) fn bearings(&mut self, host: &Name) -> Bearings {
        let now = now_ms();
        let Some(steward) = &mut self.steward else {
            return Bearings::default();
        };
        steward.divide(now, &self.state);
        let heights = steward
            .sightings
            .newest()
            .map(|(service, term, sample)| Height {
                service: service.clone(),
                term,
                position: sample.position,
                age_ms: now.saturating_sub(sample.at),
            });
        Bearings {
            leadership: steward.leadership,
            clock_ms: now,
            heights: heights.collect(),
            shares: steward.shares_of(host),
        }
    }

    fn carry_out(&mut self, service: &Name, order: Order) -> Result<(), JournalError> {
        match order {
            Order::Commit(edit) => self.propose(&Command::Group(edit), None),
            Order::Promote(member) => {
                self.call_promotion(service, &member);
                Ok(())
            }
            order => {
                self.ask_member(service, order);
                Ok(())
            }
        }
    }

    fn call_promotion(&self, service: &Name, member: &Name) {
        let (Some(overseer), Some(steward)) = (&self.overseer, &self.steward) else {
            return;
        };
        let promotion = steward.promotion(service, member.clone(), self.host.name.clone());
        let fields: [(&str, &dyn std::fmt::Display); 3] = [
            ("service", service),
            ("member", member),
            ("token", &promotion.token),
        ];
        self.timeline.emit(Event::PromotionAsked, &fields);
        let answer = (overseer.request_promotion)(promotion);
        let (myself, service, member) = (self.myself.clone(), service.clone(), member.clone());
        tokio::spawn(async move {
            let outcome = answer.await;
            let _ = myself.cast(Message::Promoted {
                service,
                member,
                outcome,
            });
        });
    }

    fn ask_member(&self, service: &Name, order: Order) {
        let member = order.member().cloned();
        let group = self.state.groups.get(service);
        let known = member.as_ref().and_then(|name| group?.members.get(name));
        let (Some(overseer), Some(member)) = (&self.overseer, member) else {
            return;
        };
        let answer = known.map(|known| {
            (overseer.send_order)(Dispatch {
                service: service.clone(),
                member,
                address: known.address,
                order: order.clone(),
            })
        });
        let (myself, service) = (self.myself.clone(), service.clone());
        tokio::spawn(async move {
            let said = match answer {
                Some(answer) => answer.await,
                None => Said::Nothing,
            };
            let _ = myself.cast(Message::Answered {
                service,
                order,
                said,
            });
        });
    }
}
