//! What all sessions of this host share.

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

use super::{Primaries, Protocol, link::Target, pool::Pool};
use crate::{
    clock::now_ms,
    control::{Control, HostState},
    event::{Event, Timeline},
    limits::{Limits, Portions},
    metrics::Metrics,
    settings::Settings,
    sync::lock,
};

/// Interval between two looks at a primary that is to be released.
const RELEASE_LOOK: Duration = Duration::from_millis(10);
/// Longest wait for open transactions when the old primary still works, in milliseconds.
const PLANNED_RELEASE_MS: u64 = 600;
/// Longest wait for statements under way when it does not, in milliseconds.
const RELEASE_MS: u64 = 100;

/// A change of primary that is under way, as this host follows it.
#[derive(Clone, Copy, Debug)]
struct Pending {
    change: Change,
    since: u64,
    released: bool,
}

/// What a site shares with the rest of the host.
#[derive(Debug)]
pub(crate) struct Dependencies {
    pub(crate) settings: Arc<Settings>,
    pub(crate) control: Control,
    pub(crate) limits: Arc<Limits>,
    pub(crate) portions: Arc<Portions>,
    pub(crate) primaries: Arc<Primaries>,
    pub(crate) timeline: Arc<Timeline>,
    pub(crate) metrics: Arc<Metrics>,
}

/// Everything that a session needs.
#[derive(Debug)]
pub struct Proxy {
    pub(crate) dialect: Protocol,
    pub(crate) settings: Arc<Settings>,
    pub(crate) control: Control,
    pub(crate) limits: Arc<Limits>,
    pub(crate) portions: Arc<Portions>,
    pub(crate) primaries: Arc<Primaries>,
    pub(crate) timeline: Arc<Timeline>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) sessions: AtomicUsize,
    closing: watch::Sender<bool>,
    pools: Mutex<HashMap<Name, Arc<Pool>>>,
}

impl Proxy {
    pub(crate) fn new(dialect: Protocol, parts: Dependencies) -> Arc<Self> {
        Arc::new(Self {
            dialect,
            settings: parts.settings,
            control: parts.control,
            limits: parts.limits,
            portions: parts.portions,
            primaries: parts.primaries,
            timeline: parts.timeline,
            metrics: parts.metrics,
            sessions: AtomicUsize::new(0),
            closing: watch::channel(false).0,
            pools: Mutex::default(),
        })
    }

    /// Has idle sessions end, and others once they are idle.
    pub(crate) fn drain(&self) {
        self.closing.send_replace(true);
    }

    /// Whether sessions end once they are idle.
    pub(crate) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    pub(crate) fn world(&self) -> Arc<HostState> {
        self.control.host_state()
    }

    pub(crate) fn from(&self) -> IpAddr {
        self.settings.listen.peer.ip()
    }

    /// Connections to a member.
    pub(crate) fn pool(
        &self,
        world: &HostState,
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
            from: self.from(),
            service: service.clone(),
            member: name.clone(),
        };
        let pool = Pool::new(self.dialect, target, self.capacity(world, service));
        pools.insert(name.clone(), Arc::clone(&pool));
        pool
    }

    /// Notes that a primary could not be used; the leader hears of the first time at once.
    pub(crate) fn primary_failed(&self, service: &Name, term: u64) {
        if self.primaries.failed(now_ms(), service, term) {
            self.timeline.emit(
                Event::PrimaryMissed,
                &[("service", service), ("term", &term)],
            );
            self.control.notify_leader();
        }
    }

    /// Follows the committed state: terms, changes of primary, members that left.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut watch = self.control.watch();
        let mut pending: HashMap<Name, Pending> = HashMap::new();
        loop {
            let world = watch.borrow_and_update().clone();
            self.follow(&world, &mut pending);
            self.release(&mut pending);
            let look = async {
                if pending.values().all(|pending| pending.released) {
                    std::future::pending::<()>().await;
                }
                sleep(RELEASE_LOOK).await;
            };
            tokio::select! {
                changed = watch.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = look => {}
            }
        }
    }

    fn follow(&self, world: &HostState, pending: &mut HashMap<Name, Pending>) {
        let state = &world.state;
        for (service, group) in state.groups.iter() {
            let term = group.lead.as_ref().map_or(0, |lead| lead.term);
            let change = group.change;
            self.primaries
                .grant(service, term, change.map(|change| change.index));
            match change {
                Some(change) => {
                    let known = pending.get(service).map(|known| known.change.index);
                    if known != Some(change.index) {
                        let fresh = Pending {
                            change,
                            since: now_ms(),
                            released: false,
                        };
                        pending.insert(service.clone(), fresh);
                    }
                }
                None => {
                    pending.remove(service);
                }
            }
        }
        let mut pools = lock(&self.pools);
        pools.retain(|name, pool| {
            let known = state.groups.find(name).is_some();
            if known {
                pool.set_capacity(self.capacity(world, &pool.target.service));
            } else {
                pool.close_idle();
            }
            known
        });
    }

    /// This host's part of the connections that a member accepts: even until the leader has divided them.
    fn capacity(&self, world: &HostState, service: &Name) -> usize {
        let even = || {
            let all = world.state.catalog.service(service);
            let all = all.map_or(1, |known| known.connections) as usize;
            all / usize::try_from(world.serving_hosts)
                .unwrap_or(usize::MAX)
                .max(1)
        };
        let share = self.primaries.share(service);
        share.map_or_else(even, |share| share as usize).max(1)
    }

    /// Releases primaries that are being replaced; those done stay noted until the change is over.
    fn release(&self, pending: &mut HashMap<Name, Pending>) {
        let now = now_ms();
        let mut told = false;
        for (service, pending) in pending.iter_mut().filter(|(_, pending)| !pending.released) {
            let change = pending.change;
            let limit = if change.planned {
                PLANNED_RELEASE_MS
            } else {
                RELEASE_MS
            };
            let late = now >= pending.since + limit;
            pending.released = self.primaries.release(service, change.index, late);
            if pending.released {
                told = true;
                let fields: [(&str, &dyn std::fmt::Display); 3] = [
                    ("service", service),
                    ("change", &change.index),
                    ("forced", &late),
                ];
                self.timeline.emit(Event::PrimaryReleased, &fields);
            }
        }
        if told {
            self.control.notify_leader();
        }
    }
}
