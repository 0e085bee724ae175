//! Statements that wait, in the order in which they will run.

use std::collections::{BTreeMap, VecDeque};

use super::{CLASSES, Class, Offer, Ticket, service::Service, turns::Turns};
use crate::Name;

/// Share of a class, relative to the next less urgent one.
const CLASS_WEIGHT_SHIFT: u32 = 2;

/// Statements of one class that wait.
#[derive(Clone, Debug, Default)]
struct Queue {
    workspaces: Turns<Name>,
    tickets: BTreeMap<Name, VecDeque<Ticket>>,
}

/// Order of the waiting statements: those of transactions that have begun, then the classes by their
/// shares, and in each class the workspaces in turn.
#[derive(Clone, Debug, Default)]
pub(super) struct Order {
    begun: VecDeque<Ticket>,
    classes: Turns<Class>,
    queues: [Queue; CLASSES],
}

/// All waiting statements.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlog {
    offers: BTreeMap<Ticket, Offer>,
    order: Order,
}

/// Virtual duration of a statement: a class with a larger weight is charged less.
fn cost(class: Class, service: &Service) -> u64 {
    service.class_us(class) << (CLASS_WEIGHT_SHIFT * class as u32)
}

impl Order {
    fn push(&mut self, ticket: Ticket, offer: &Offer) {
        if offer.begun {
            self.begun.push_back(ticket);
            return;
        }
        let class = offer.class();
        let queue = &mut self.queues[class];
        let tickets = queue.tickets.entry(offer.workspace.clone()).or_default();
        tickets.push_back(ticket);
        queue.workspaces.add(&offer.workspace);
        self.classes.add(&class);
    }

    /// Removes the next statement to run.
    fn pop(&mut self, service: &Service) -> Option<Ticket> {
        if let Some(ticket) = self.begun.pop_front() {
            return Some(ticket);
        }
        let class = *self.classes.next()?;
        let queue = &mut self.queues[class];
        let workspace = queue.workspaces.next()?.clone();
        let tickets = queue.tickets.get_mut(&workspace)?;
        let ticket = tickets.pop_front()?;
        let more = !tickets.is_empty();
        if !more {
            queue.tickets.remove(&workspace);
        }
        let us = service.class_us(class);
        queue.workspaces.charge(&workspace, us, more);
        let more = !queue.tickets.is_empty();
        self.classes.charge(&class, cost(class, service), more);
        Some(ticket)
    }

    fn remove(&mut self, ticket: Ticket, offer: &Offer) {
        if offer.begun {
            self.begun.retain(|other| *other != ticket);
            return;
        }
        let class = offer.class();
        let queue = &mut self.queues[class];
        if let Some(tickets) = queue.tickets.get_mut(&offer.workspace) {
            tickets.retain(|other| *other != ticket);
            if tickets.is_empty() {
                queue.tickets.remove(&offer.workspace);
                queue.workspaces.remove(&offer.workspace);
            }
        }
        if queue.tickets.is_empty() {
            self.classes.remove(&class);
        }
    }
}

impl Backlog {
    pub(super) fn len(&self) -> usize {
        self.offers.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.offers.is_empty()
    }

    pub(super) fn push(&mut self, ticket: Ticket, offer: Offer) {
        self.order.push(ticket, &offer);
        self.offers.insert(ticket, offer);
    }

    /// Removes the next statement to run.
    pub(super) fn pop(&mut self, service: &Service) -> Option<(Ticket, Offer)> {
        let ticket = self.order.pop(service)?;
        Some((ticket, self.offers.remove(&ticket)?))
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Offer> {
        let offer = self.offers.remove(&ticket)?;
        self.order.remove(ticket, &offer);
        Some(offer)
    }

    /// All statements in the order in which they will run if nothing else arrives.
    pub(super) fn in_order<'a>(
        &'a self,
        service: &'a Service,
    ) -> impl Iterator<Item = (Ticket, &'a Offer)> {
        let mut order = self.order.clone();
        std::iter::from_fn(move || {
            let ticket = order.pop(service)?;
            Some((ticket, self.offers.get(&ticket)?))
        })
    }

    /// Work of all statements that wait, in microseconds.
    pub(super) fn work_us(&self, service: &Service) -> u64 {
        let offers = self.offers.values();
        offers.map(|offer| service.class_us(offer.class())).sum()
    }
}
