//! State that all sessions of this host share, and the release of primaries that are being
//! replaced.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Arc, Mutex, atomic::AtomicUsize},
    time::Duration,
};

use hemlockcrank_core::{
    Name,
    group::{Change, Member},
};
use tokio::{sync::watch, time::sleep};

use super::{
    Primaries, Protocol, execution::Execution, executor::Executor, forward::Forwarding,
    member_connection::Target, pool::Pool, sharing::Sharing, spillover::Spillovers,
};
use crate::{
    clock::now_ms,
    control::{Control, HostState},
    event::{Event, Timeline},
    limits::{Limits, Portions},
    metering::Meter,
    metrics::Metrics,
    peers::Peers,
    phase::Phase,
    settings::Settings,
    sync::lock,
};

/// Interval at which primaries that are being replaced are checked for release.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time limit for open transactions in a planned change, in which the old primary still works, in
/// milliseconds. Guards that are left after it are revoked.
const PLANNED_RELEASE_MS: u64 = 600;
/// Time limit for statements in progress if the old primary does not work, in milliseconds. Guards
/// that are left after it are revoked.
const UNPLANNED_RELEASE_MS: u64 = 100;

/// A change of primary in progress, and whether this host has released the old primary.
#[derive(Clone, Copy, Debug)]
struct PendingChange {
    change: Change,
    /// Local time at which this host applied the start of the change.
    started_at: u64,
    released: bool,
}

/// Components of the host that a [`Proxy`] uses.
#[derive(Debug)]
pub(crate) struct Dependencies {
    pub(crate) settings: Arc<Settings>,
    pub(crate) control: Control,
    pub(crate) peers: Arc<Peers>,
    pub(crate) limits: Arc<Limits>,
    pub(crate) portions: Arc<Portions>,
    pub(crate) primaries: Arc<Primaries>,
    pub(crate) meter: Arc<Meter>,
    pub(crate) timeline: Arc<Timeline>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) phase: watch::Receiver<Phase>,
}

/// Proxy for the callers of this host: all that their sessions share.
#[derive(Debug)]
pub struct Proxy {
    pub(crate) protocol: Protocol,
    pub(crate) settings: Arc<Settings>,
    pub(crate) control: Control,
    pub(crate) peers: Arc<Peers>,
    pub(crate) limits: Arc<Limits>,
    pub(crate) portions: Arc<Portions>,
    pub(crate) primaries: Arc<Primaries>,
    pub(crate) meter: Arc<Meter>,
    pub(crate) timeline: Arc<Timeline>,
    pub(crate) metrics: Arc<Metrics>,
    /// Number of open sessions.
    pub(crate) sessions: AtomicUsize,
    /// Steps of a graceful shutdown.
    pub(crate) phase: watch::Receiver<Phase>,
    /// Operations that this host runs for others.
    pub(crate) executor: Executor,
    /// Operations that others run for this host.
    pub(crate) forwarding: Forwarding,
    pub(super) sharing: Mutex<Arc<Sharing>>,
    /// Reads that leave the zone, by service.
    pub(super) spillovers: Spillovers,
    /// Connection pools by member.
    pools: Mutex<HashMap<Name, Arc<Pool>>>,
}

impl Proxy {
    pub(crate) fn new(protocol: Protocol, dependencies: Dependencies) -> Arc<Self> {
        Arc::new(Self {
            protocol,
            settings: dependencies.settings,
            control: dependencies.control,
            peers: dependencies.peers,
            limits: dependencies.limits,
            portions: dependencies.portions,
            primaries: dependencies.primaries,
            meter: dependencies.meter,
            timeline: dependencies.timeline,
            metrics: dependencies.metrics,
            sessions: AtomicUsize::new(0),
            phase: dependencies.phase,
            executor: Executor::default(),
            forwarding: Forwarding::default(),
            sharing: Mutex::default(),
            spillovers: Spillovers::default(),
            pools: Mutex::default(),
        })
    }

    pub(crate) fn host_state(&self) -> Arc<HostState> {
        self.control.host_state()
    }

    /// Counts an operation that was sent to a member at `sent_at`, once.
    pub(crate) fn count_operation(&self, execution: &Execution, sent_at: u64) {
        let workspace = &execution.operation.workspace;
        if self.meter.count(&execution.counted, sent_at, workspace) {
            self.metrics.count_metered();
        }
    }

    /// Local address for connections to members.
    pub(crate) fn source_ip(&self) -> IpAddr {
        self.settings.listen.peer.ip()
    }

    /// Connection pool of a member; a new one if the member's address has changed.
    pub(crate) fn pool(
        &self,
        host_state: &HostState,
        service: &Name,
        name: &Name,
        member: &Member,
    ) -> Arc<Pool> {
        let mut pools = lock(&self.pools);
        if let Some(pool) = pools.get(name)
            && pool.target.address == member.address
        {
            return Arc::clone(pool);
        }
        let target = Target {
            address: member.address,
            source: self.source_ip(),
            service: service.clone(),
            member: name.clone(),
        };
        let slots = self.statement_limit(host_state, service, member);
        let capacity = self.capacity(host_state, service);
        let pool = Pool::new(self.protocol, target, capacity, slots);
        pools.insert(name.clone(), Arc::clone(&pool));
        pool
    }

    /// Records that a primary could not be used, and notifies the control leader of the first
    /// failure at once.
    pub(crate) fn primary_failed(&self, service: &Name, term: u64) {
        if self.primaries.record_failure(now_ms(), service, term) {
            self.timeline.emit(
                Event::PrimaryMissed,
                &[("service", service), ("term", &term)],
            );
            self.control.notify_leader();
        }
    }

    /// Applies the committed state until the control thread ends: terms, changes of primary,
    /// removed members.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut watch = self.control.watch();
        let mut pending: HashMap<Name, PendingChange> = HashMap::new();
        loop {
            let host_state = watch.borrow_and_update().clone();
            self.apply_state(&host_state, &mut pending);
            self.release_primaries(&mut pending);
            let next_check = async {
                if pending.values().all(|pending| pending.released) {
                    std::future::pending::<()>().await;
                }
                sleep(RELEASE_CHECK_INTERVAL).await;
            };
            tokio::select! {
                changed = watch.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = next_check => {}
            }
        }
    }

    /// Applies one committed state to the primaries, the pending changes and the pools.
    fn apply_state(&self, host_state: &HostState, pending: &mut HashMap<Name, PendingChange>) {
        let state = &host_state.state;
        let mut changed: Vec<&Name> = Vec::new();
        for (service, group) in state.groups.iter() {
            let term = group.lead.as_ref().map_or(0, |lead| lead.term);
            let change = group.change;
            self.primaries
                .set_term(service, term, change.map(|change| change.index));
            match change {
                Some(change) => {
                    let previous = pending.get(service).map(|pending| pending.change.index);
                    if previous != Some(change.index) {
                        let new = PendingChange {
                            change,
                            started_at: now_ms(),
                            released: false,
                        };
                        pending.insert(service.clone(), new);
                    }
                }
                None => changed.extend(pending.remove(service).map(|_| service)),
            }
        }
        let mut pools = lock(&self.pools);
        pools.retain(|name, pool| {
            let Some((service, member)) = state.groups.find(name) else {
                pool.close_free();
                return false;
            };
            pool.set_capacity(self.capacity(host_state, service));
            let slots = self.statement_limit(host_state, service, member);
            pool.permits.set_slots(slots);
            if changed.contains(&service) {
                pool.permits.restart();
            }
            true
        });
    }

    /// Slots of a member that limit the statements in progress there; `None` without a limit. Only an
    /// executor has one, because its statements are those of a whole zone.
    fn statement_limit(
        &self,
        host_state: &HostState,
        service: &Name,
        member: &Member,
    ) -> Option<usize> {
        self.is_executor(host_state, service)
            .then(|| usize::try_from(member.slots).unwrap_or(usize::MAX))
    }

    /// Releases primaries that are being replaced. Released ones stay in `pending` until their
    /// change has ended, so that none is released twice.
    fn release_primaries(&self, pending: &mut HashMap<Name, PendingChange>) {
        let now = now_ms();
        let mut any_released = false;
        for (service, pending) in pending.iter_mut().filter(|(_, pending)| !pending.released) {
            let change = pending.change;
            let limit_ms = if change.planned {
                PLANNED_RELEASE_MS
            } else {
                UNPLANNED_RELEASE_MS
            };
            let overdue = now >= pending.started_at + limit_ms;
            pending.released = self.primaries.release(service, change.index, overdue);
            if pending.released {
                any_released = true;
                let fields: [(&str, &dyn std::fmt::Display); 3] = [
                    ("service", service),
                    ("change", &change.index),
                    ("forced", &overdue),
                ];
                self.timeline.emit(Event::PrimaryReleased, &fields);
            }
        }
        if any_released {
            self.control.notify_leader();
        }
    }
}
