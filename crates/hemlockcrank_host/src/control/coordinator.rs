//! The leader's part in databases that replicate on their own: orders to members and their answers.
//!
//! [`hemlockcrank_core::succession`] makes the decisions; this module contains the leader's
//! volatile state and the functions that send the orders.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use hemlockcrank_core::{
    Name,
    connections::{Capacity, Fleet},
    group::Groups,
    membership::{Host, HostId, View},
    observation::Observations,
    share::Shares,
    state::State,
    succession::{Lack, Order, OrderReply, Succession},
};

use hemlockcrank_wire::{Division, Fetch};

use super::{
    Authority, CallReport, Promotion, Submission, reporting::Reporting, supervisor::lease_end,
};
use crate::clock::now_ms;

/// Time after the start of a leadership within which every host has reported, in milliseconds.
const REPORTS_MS: u64 = 3_000;

/// Interval at which the members' connections are divided between the hosts, in milliseconds.
const DIVIDE_MS: u64 = 1_000;

/// A boxed future of an answer.
type AnswerFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;
/// Sends an order to a member and returns its answer.
pub type SendOrder = dyn Fn(Dispatch) -> AnswerFuture<OrderReply> + Send + Sync;
/// Requests a change of primary from the platform, and reports how the call went.
pub type RequestPromotion = dyn Fn(Promotion) -> AnswerFuture<CallReport> + Send + Sync;
/// Reports the usage of a window to the platform, and reports how the call went.
pub type SubmitUsage = dyn Fn(Submission) -> AnswerFuture<CallReport> + Send + Sync;

/// An order and the member that it goes to.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Service that the member belongs to.
    pub service: Name,
    /// Member.
    pub member: Name,
    /// Address at which the member accepts connections.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
    /// End of the leader's lease on this process's clock, in milliseconds.
    pub lease_until: Arc<AtomicU64>,
}

impl Dispatch {
    /// Whether the leader's lease is still valid. Check it right before the order is sent: a leader that
    /// stood still must not carry out what it decided before.
    pub(crate) fn is_current(&self) -> bool {
        now_ms() < self.lease_until.load(Ordering::Acquire)
    }
}

/// Functions through which the leader sends orders to members and requests changes of primary.
#[derive(Clone)]
pub struct Callbacks {
    /// Sends an order to a member.
    pub send_order: Arc<SendOrder>,
    /// Requests a change of primary.
    pub request_promotion: Arc<RequestPromotion>,
    /// Reports the usage of a window.
    pub submit_usage: Arc<SubmitUsage>,
}

impl fmt::Debug for Callbacks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Callbacks")
    }
}

/// The leader's volatile state of databases that replicate on their own.
pub(crate) struct Coordinator {
    /// Term of this leadership.
    pub(crate) term: u64,
    started_at: u64,
    pub(crate) observations: Observations,
    /// End of the leader's lease, shared with the promotions that are in flight.
    pub(crate) lease_until: Arc<AtomicU64>,
    /// Reports of usage, on sites that have them.
    pub(crate) reporting: Option<Reporting>,
    view: Arc<View>,
    successions: BTreeMap<Name, Succession>,
    /// Control hosts whose calls under earlier leaderships are waited for, by service.
    awaited_hosts: BTreeMap<Name, BTreeSet<Name>>,
    /// What changes of primary lack for a proof, by service.
    lacks: BTreeMap<Name, Lack>,
    shares: BTreeMap<Name, Shares>,
    divided_at: u64,
    /// Number of changes of the division in this leadership.
    divisions: u64,
}

impl Coordinator {
    /// Starts a leadership in `term`.
    pub(crate) fn new(term: u64, now: u64, reporting: Option<Reporting>) -> Self {
        Self {
            term,
            started_at: now,
            observations: Observations::new(term, lease_end(now)),
            lease_until: Arc::default(),
            reporting,
            view: Arc::default(),
            successions: BTreeMap::new(),
            awaited_hosts: BTreeMap::new(),
            lacks: BTreeMap::new(),
            shares: BTreeMap::new(),
            divided_at: 0,
            divisions: 0,
        }
    }

    /// Notes the current view and drops the observations of hosts that left it.
    pub(crate) fn note_view(&mut self, now: u64, view: &Arc<View>, groups: &Groups) {
        if Arc::ptr_eq(&self.view, view) {
            return;
        }
        let last = std::mem::replace(&mut self.view, Arc::clone(view));
        let processes = last.serving().map(Host::id);
        let left: Vec<HostId> = processes.filter(|id| view.find(id).is_none()).collect();
        if !left.is_empty() {
            for (service, group) in groups.iter() {
                let change = group.change.map(|change| change.index);
                self.observations
                    .note_departures(service, &left, change, lease_end(now));
            }
        }
        self.observations
            .retain_hosts(|process| view.find(process).is_some());
    }

    /// Divides the members' connections between the hosts by their use, except where there are too few
    /// for each host to keep some. Begins once all hosts have reported their use of the service, or
    /// after [`REPORTS_MS`]; a host that has not used it by then reports nothing.
    pub(crate) fn divide_connections(&mut self, now: u64, state: &State) {
        if now < self.divided_at + DIVIDE_MS {
            return;
        }
        self.divided_at = now;
        let all_reported = now >= self.started_at + REPORTS_MS;
        let hosts = state.view.serving().count() as u64;
        for (service, _) in state.groups.iter() {
            let Some(settings) = state.catalog.service(service) else {
                continue;
            };
            let fleet = Fleet {
                connections: u64::from(settings.connections),
                hosts,
            };
            if hosts == 0 || Capacity::new(fleet, None).fleet.is_some() {
                continue;
            }
            let uses: Option<Vec<(Name, u64)>> = state
                .view
                .serving()
                .map(|host| {
                    let operations = self.observations.operations(service, &host.id());
                    let operations = operations.or(all_reported.then_some(0))?;
                    Some((host.name.clone(), operations))
                })
                .collect();
            let Some(uses) = uses else {
                continue;
            };
            let shares = self.shares.entry(service.clone()).or_default();
            if shares.update(settings.connections, uses) {
                self.divisions += 1;
            }
        }
    }

    /// Number of connections that a host may open to each member of a service, by service.
    pub(crate) fn shares_of(&self, host: &str) -> Vec<(Name, u32)> {
        let shares = self.shares.iter();
        let share = |(service, shares): (&Name, &Shares)| Some((service.clone(), shares.of(host)?));
        shares.filter_map(share).collect()
    }

    /// The division between the followers that a relay lists, unless the relay has it.
    pub(crate) fn division_for(&self, fetch: &Fetch) -> Option<Division> {
        let version = (self.term << 32) + self.divisions;
        if self.divisions == 0 || fetch.followers.is_empty() || fetch.division == version {
            return None;
        }
        let names = fetch.followers.iter().map(|follower| &follower.id.name);
        let shares = names.map(|host| (host.clone(), self.shares_of(host)));
        let shares = shares.collect();
        Some(Division { version, shares })
    }

    /// The succession of a service, which is created on first use.
    pub(crate) fn succession(&mut self, service: &Name, groups: &Groups) -> &mut Succession {
        self.successions
            .entry(service.clone())
            .or_insert_with(|| Succession::new(now_ms(), groups, service))
    }

    /// Control hosts whose earlier calls a change of `service` waits for; `None` if they are the same
    /// as before.
    pub(crate) fn note_awaited(&mut self, now: u64, service: &Name) -> Option<&BTreeSet<Name>> {
        let hosts = self.successions.get(service)?.awaited_hosts(now);
        let known = self.awaited_hosts.entry(service.clone()).or_default();
        if hosts == *known {
            return None;
        }
        *known = hosts;
        Some(known)
    }

    /// Notes what a change of primary lacks; returns whether that has changed.
    pub(crate) fn note_lack(&mut self, service: &Name, lack: Option<Lack>) -> bool {
        let last = match lack {
            Some(lack) => self.lacks.insert(service.clone(), lack),
            None => self.lacks.remove(service),
        };
        last != lack
    }

    /// The request that makes `member` the primary.
    pub(crate) fn promotion(&self, service: &Name, member: Name, holder: Name) -> Promotion {
        Promotion {
            service: service.clone(),
            member,
            authority: self.authority(holder),
        }
    }

    /// The right of this leadership to call the platform.
    pub(crate) fn authority(&self, holder: Name) -> Authority {
        Authority {
            holder,
            token: self.term,
            lease_until: Arc::clone(&self.lease_until),
        }
    }
}
