//! Rates of a configuration that was submitted whole: this host as holder and as owner.
//!
//! Decisions are those of `hemlockcrank_core::quota`; here are the calls and their pace.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
    time::Duration,
};

use hemlockcrank_core::{
    Name,
    quota::{Allocation, Portion, PortionGrant, PortionRequest, max_held, uses_portions},
    record::Rate,
};
use hemlockcrank_wire::{Request, Response};
use tokio::time::sleep;

use crate::{
    clock::now_ms,
    control::{Control, HostState},
    peers::Peers,
    sync::lock,
};

/// Interval between two questions to the same owner.
const ASK_EVERY: Duration = Duration::from_millis(300);
/// Time for which a workspace counts as over its rate after it was, in milliseconds.
const OVER_MS: u64 = 3_000;
/// Longest wait for an owner's answer.
const ASK_LIMIT: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct Owned {
    /// Last time at which the workspace was found over its rate.
    over_at: Option<u64>,
    index: u64,
    division: Allocation,
}

impl Owned {
    fn over(&self, now: u64) -> bool {
        self.over_at.is_some_and(|at| now < at + OVER_MS)
    }
}

/// All portions and divisions of this host.
#[derive(Debug)]
pub struct Portions {
    control: Control,
    peers: Arc<Peers>,
    held: Mutex<HashMap<Name, Portion>>,
    owned: Mutex<HashMap<Name, Owned>>,
    /// Owners that have not answered yet, since when.
    asking: Mutex<HashMap<Name, u64>>,
}

impl Portions {
    /// Nothing held yet.
    pub fn new(control: Control, peers: Arc<Peers>) -> Arc<Self> {
        Arc::new(Self {
            control,
            peers,
            held: Mutex::default(),
            owned: Mutex::default(),
            asking: Mutex::default(),
        })
    }

    /// Spends one operation of a workspace's portion, if one is here.
    pub fn take(&self, workspace: &Name) -> bool {
        let world = self.control.host_state();
        let Some(rate) = world.state.catalog.rate(workspace) else {
            return true;
        };
        let hosts = world.serving_hosts;
        let mut held = lock(&self.held);
        if !uses_portions(rate, hosts) && !held.contains_key(workspace) {
            return false;
        }
        let portion = held.entry(workspace.clone()).or_default();
        portion.take(now_ms(), rate, hosts)
    }

    /// Asks the owners of all rates again and again, until dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let world = self.control.host_state();
            let mut questions: BTreeMap<Name, Vec<PortionRequest>> = BTreeMap::new();
            let now = now_ms();
            {
                let mut held = lock(&self.held);
                let hosts = world.serving_hosts;
                let is_asked = |workspace: &Name| {
                    let rate = world.state.catalog.rate(workspace);
                    rate.is_some_and(|rate| uses_portions(rate, hosts))
                };
                held.retain(|workspace, portion| !portion.is_idle(now) || is_asked(workspace));
                let limited = world.state.catalog.rate_limited_workspaces();
                for workspace in limited.filter(|workspace| is_asked(workspace)) {
                    let Some(owner) = world.state.view.serving_owner(workspace) else {
                        continue;
                    };
                    let limit = u64::try_from(ASK_LIMIT.as_millis()).unwrap_or(u64::MAX);
                    let since = lock(&self.asking).get(owner).copied();
                    if since.is_some_and(|since| now < since + limit) {
                        continue;
                    }
                    let portion = held.entry(workspace.clone()).or_default();
                    let ask = portion.request(now, workspace.clone());
                    questions.entry(owner.clone()).or_default().push(ask);
                }
            }
            for (owner, asks) in questions {
                lock(&self.asking).insert(owner.clone(), now);
                let portions = Arc::clone(&self);
                let world = Arc::clone(&world);
                tokio::spawn(async move { portions.ask(&world, &owner, asks, now).await });
            }
            sleep(ASK_EVERY).await;
        }
    }

    async fn ask(&self, world: &HostState, owner: &Name, asks: Vec<PortionRequest>, asked_at: u64) {
        let host = &self.control.host().name;
        let index = world.state.index;
        let grants = if owner == host {
            self.answer(host, index, &asks).await
        } else {
            let request = Request::Portions {
                host: host.clone(),
                index,
                asks,
            };
            match self.peers.address_of(owner, &world.state.view) {
                Some(address) => match self.peers.call(address, &request, ASK_LIMIT).await {
                    Ok(Response::Portions(grants)) => grants,
                    _ => None,
                },
                None => None,
            }
        };
        let now = now_ms();
        lock(&self.asking).remove(owner);
        let mut held = lock(&self.held);
        for grant in grants.into_iter().flatten() {
            let rate = world.state.catalog.rate(&grant.workspace);
            if let (Some(rate), Some(portion)) = (rate, held.get_mut(&grant.workspace)) {
                portion.apply_grant(now, asked_at, grant.parts, rate, world.serving_hosts);
            }
        }
    }

    /// Answers a host; `None` when this host is not the owner, or does not know of it yet.
    pub async fn answer(
        &self,
        host: &Name,
        index: u64,
        asks: &[PortionRequest],
    ) -> Option<Vec<PortionGrant>> {
        let world = self.control.wait_for_index(index).await?;
        let myself = &self.control.host().name;
        world.state.view.get(host)?;
        if !world.has_lease() {
            return None;
        }
        let now = now_ms();
        let view = &world.state.view;
        let mut owned = lock(&self.owned);
        owned.retain(|workspace, _| view.serving_owner(workspace) == Some(myself));
        let mut grants = Vec::new();
        for ask in asks {
            if view.serving_owner(&ask.workspace) != Some(myself) {
                continue;
            }
            let fresh = || Owned {
                over_at: None,
                index: world.state.index,
                division: Allocation::new(now, view.serving().map(|host| host.name.clone())),
            };
            let entry = owned.entry(ask.workspace.clone()).or_insert_with(fresh);
            debug_assert!(
                entry.index <= world.state.index,
                "the view does not go back"
            );
            entry.division.retain_hosts(|name| view.get(name).is_some());
            let rate = world.state.catalog.rate(&ask.workspace);
            let most = rate.filter(|_| !entry.over(now)).map_or(0, max_held);
            let parts = entry
                .division
                .allocate(now, host, ask, world.serving_hosts, most);
            grants.push(PortionGrant {
                workspace: ask.workspace.clone(),
                parts,
            });
        }
        Some(grants)
    }

    /// Parts of an owned rate that hosts may be using in portions.
    pub(super) fn in_use(&self, world: &HostState, workspace: &str, rate: Rate) -> u64 {
        let owned = lock(&self.owned);
        match owned.get(workspace) {
            Some(owned) => owned.division.in_use(now_ms(), max_held(rate)),
            None if uses_portions(rate, world.serving_hosts) => max_held(rate),
            None => 0,
        }
    }

    /// Notes that an owned rate was found empty.
    pub(super) fn note_over(&self, workspace: &str) {
        if let Some(owned) = lock(&self.owned).get_mut(workspace) {
            owned.over_at = Some(now_ms());
        }
    }
}
