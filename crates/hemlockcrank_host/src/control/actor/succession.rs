//! Running the successions, which decide the changes of primary: their orders to members and the
//! answers.

use std::{
    collections::BTreeSet,
    sync::{Arc, atomic::Ordering},
};

use hemlockcrank_core::{
    Name,
    consensus::Node,
    state::Command,
    succession::{Fencing, Inputs, Order, OrderReply, PromotionReply},
};
use hemlockcrank_wire::{Fetch, LeaderStatus, PositionSample};

use super::{ActorState, Message, Ticket};
use crate::{
    clock::now_ms,
    control::{coordinator::Dispatch, group::Group},
    event::Event,
    journal::JournalError,
};

impl ActorState {
    /// Runs the succession of every service and executes its orders.
    pub(super) fn run_successions(&mut self, now: u64) -> Result<(), JournalError> {
        let leads = self.leads(now);
        if leads {
            self.note_lease();
        }
        let node = self.group.as_ref().and_then(Group::node);
        let (Some(coordinator), Some(supervisor), true) =
            (&mut self.coordinator, &self.supervisor, leads)
        else {
            return Ok(());
        };
        let groups = Arc::clone(&self.state.groups);
        coordinator.note_view(now, &self.state.view, &groups);
        let participants = participants(node, &self.host.name);
        let mut orders = Vec::new();
        let catalog = &self.state.catalog;
        let in_catalog = groups
            .iter()
            .filter(|(service, _)| catalog.service(service).is_some());
        for (service, group) in in_catalog {
            let term = group.lead.as_ref().map_or(0, |lead| lead.term);
            let lease_ends = supervisor.lease_ends(&self.state);
            let settings = catalog.service(service);
            let facts = Inputs {
                groups: &groups,
                group,
                service,
                sync_replicas: settings.map_or(1, |settings| settings.sync_replicas),
                bound: self.state.bounds.get(service),
                fencing: match group.change {
                    Some(_) => coordinator
                        .observations
                        .fencing(now, service, group, lease_ends),
                    None => Fencing::default(),
                },
                failing_ms: coordinator.observations.failing_ms(now, service, term),
                host: &self.host.name,
                leadership: coordinator.term,
                participants: &participants,
            };
            let succession = coordinator.succession(service, &groups);
            let new_orders = succession.tick(now, &facts);
            let frozen = succession.outgoing_sample(now, &facts);
            let arriving = succession.incoming_sample(now, &facts);
            let lack = succession.lack(now, &facts);
            for (term, sample) in frozen.into_iter().chain(arriving) {
                coordinator.observations.add_sample(service, term, sample);
            }
            if group.change.is_some()
                && let Some(hosts) = coordinator.note_awaited(now, service)
            {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("service", service), ("hosts", &format!("{hosts:?}"))];
                self.timeline.emit(Event::PromotionWithheld, &fields);
            }
            if coordinator.note_lack(service, lack) {
                let lacks = lack.map_or("nothing".into(), |lack| lack.to_string());
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("service", service), ("lacks", &lacks)];
                self.timeline.emit(Event::PromotionUnproved, &fields);
            }
            orders.extend(new_orders.into_iter().map(|order| (service.clone(), order)));
        }
        for (service, order) in orders {
            self.execute_order(&service, order);
        }
        Ok(())
    }

    /// Shares the end of the leader's lease with the calls that are in flight.
    pub(super) fn note_lease(&self) {
        let node = self.group.as_ref().and_then(Group::node);
        let lease_until = node.and_then(Node::lease_until).unwrap_or(0);
        if let Some(coordinator) = &self.coordinator {
            coordinator
                .lease_until
                .store(lease_until, Ordering::Release);
        }
    }

    /// What an order that is sent now belongs to; `None` on a host that does not lead.
    fn ticket(&self, service: &Name) -> Option<Ticket> {
        let group = self.state.groups.get(service)?;
        Some(Ticket {
            service: service.clone(),
            leadership: self.coordinator.as_ref()?.term,
            change: group.change.map(|change| change.index),
        })
    }

    /// Records a member's answer. One to an order of an earlier change or leadership is logged only.
    pub(super) fn note_order_reply(
        &mut self,
        ticket: &Ticket,
        order: &Order,
        reply: OrderReply,
    ) -> Result<(), JournalError> {
        let now = now_ms();
        let Some(member) = order.member() else {
            return Ok(());
        };
        let service = &ticket.service;
        let is_current = self.ticket(service).as_ref() == Some(ticket);
        let groups = Arc::clone(&self.state.groups);
        if let (Some(coordinator), true) = (&mut self.coordinator, is_current) {
            let succession = coordinator.succession(service, &groups);
            succession.record_reply(now, member, order, reply);
        }
        let reply = format!("{reply:?}");
        let fields: [(&str, &dyn std::fmt::Display); 5] = [
            ("service", service),
            ("member", member),
            ("order", &format!("{order:?}")),
            ("answer", &reply),
            ("late", &!is_current),
        ];
        self.timeline.emit(Event::MemberAnswered, &fields);
        self.run_successions(now)
    }

    /// Records the platform's answer to a call of this leadership, also if its change has ended.
    pub(super) fn note_promotion_reply(
        &mut self,
        ticket: &Ticket,
        member: &Name,
        number: u64,
        reply: PromotionReply,
    ) -> Result<(), JournalError> {
        let now = now_ms();
        let service = &ticket.service;
        let current = self.ticket(service);
        let same_leadership = current
            .as_ref()
            .is_some_and(|current| current.leadership == ticket.leadership);
        let groups = Arc::clone(&self.state.groups);
        if let (Some(coordinator), true) = (&mut self.coordinator, same_leadership) {
            let succession = coordinator.succession(service, &groups);
            succession.record_promotion(now, number, reply);
        }
        let fields: [(&str, &dyn std::fmt::Display); 5] = [
            ("service", service),
            ("member", member),
            ("call", &number),
            ("outcome", &format!("{reply:?}")),
            ("late", &(current.as_ref() != Some(ticket))),
        ];
        self.timeline.emit(Event::PromotionAnswered, &fields);
        self.run_successions(now)
    }

    /// The leader's clock, samples and connection shares, which go with each answer to a polling
    /// host.
    pub(super) fn leader_info(&mut self, fetch: &Fetch) -> LeaderStatus {
        let now = now_ms();
        let Some(coordinator) = &mut self.coordinator else {
            return LeaderStatus {
                leader: Some(self.host.name.clone()),
                ..LeaderStatus::default()
            };
        };
        coordinator.divide_connections(now, &self.state);
        let samples =
            coordinator
                .observations
                .newest_samples(now)
                .map(|(service, term, sample)| PositionSample {
                    service: service.clone(),
                    term,
                    position: sample.position,
                    age_ms: now.saturating_sub(sample.at),
                });
        LeaderStatus {
            leader_term: coordinator.term,
            clock_ms: now,
            samples: samples.collect(),
            shares: coordinator.shares_of(&fetch.host.name),
            leader: Some(self.host.name.clone()),
            division: coordinator.division_for(fetch),
            true_ms: coordinator
                .reporting
                .as_ref()
                .and_then(|reporting| reporting.true_ms(now)),
        }
    }

    fn execute_order(&mut self, service: &Name, order: Order) {
        match order {
            Order::Commit(edit) => self.propose(Command::Group(edit), None),
            Order::Promote(member, number) => self.request_promotion(service, &member, number),
            order => self.send_order(service, order),
        }
    }

    fn request_promotion(&self, service: &Name, member: &Name, number: u64) {
        let (Some(callbacks), Some(coordinator), Some(ticket)) =
            (&self.callbacks, &self.coordinator, self.ticket(service))
        else {
            return;
        };
        let promotion = coordinator.promotion(service, member.clone(), self.host.name.clone());
        let fields: [(&str, &dyn std::fmt::Display); 4] = [
            ("service", service),
            ("member", member),
            ("call", &number),
            ("token", &promotion.authority.token),
        ];
        self.timeline.emit(Event::PromotionAsked, &fields);
        let answer = (callbacks.request_promotion)(promotion);
        let (myself, member) = (self.myself.clone(), member.clone());
        let (timeline, asked_at) = (Arc::clone(&self.timeline), now_ms());
        tokio::spawn(async move {
            let report = answer.await;
            let ended_ms = now_ms().saturating_sub(asked_at);
            report.log(&timeline, (&ticket.service, &member), number, ended_ms);
            let reply = report.reply;
            let _ = myself.cast(Message::PromotionAnswered {
                ticket,
                member,
                number,
                reply,
            });
        });
    }

    fn send_order(&self, service: &Name, order: Order) {
        let member = order.member().cloned();
        let group = self.state.groups.get(service);
        let recorded = member.as_ref().and_then(|name| group?.members.get(name));
        let (Some(callbacks), Some(coordinator), Some(member), Some(ticket)) = (
            &self.callbacks,
            &self.coordinator,
            member,
            self.ticket(service),
        ) else {
            return;
        };
        let answer = recorded.map(|recorded| {
            (callbacks.send_order)(Dispatch {
                service: service.clone(),
                member,
                address: recorded.address,
                order: order.clone(),
                lease_until: Arc::clone(&coordinator.lease_until),
            })
        });
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let reply = match answer {
                Some(answer) => answer.await,
                None => OrderReply::Nothing,
            };
            let _ = myself.cast(Message::OrderAnswered {
                ticket,
                order,
                reply,
            });
        });
    }
}

/// Control hosts that take part in this leadership, this one included.
pub(super) fn participants(node: Option<&Node>, host: &Name) -> BTreeSet<Name> {
    let mut participants = node.map(Node::participants).unwrap_or_default();
    participants.insert(host.clone());
    participants
}
