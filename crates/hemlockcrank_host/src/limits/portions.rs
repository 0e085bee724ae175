//! Rate limits of a configuration that was submitted as a unit, for hosts as holders and as owners
//! of portions.
//!
//! `hemlockcrank_core::quota` makes the decisions. This module makes the calls between hosts, at
//! regular intervals.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
    time::Duration,
};

use hemlockcrank_core::{
    Name,
    quota::{
        Allocation, Portion, PortionGrant, PortionRequest, max_held, max_held_over_rate,
        uses_portions,
    },
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

/// Interval between two requests to the same owner.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a workspace counts as over its rate after it was last found so, in milliseconds.
const OVER_RATE_MS: u64 = 3_000;
/// Time limit for an owner's answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// A rate limit that this host owns.
#[derive(Debug)]
struct OwnedRate {
    /// Last time at which the workspace was found over its rate.
    over_rate_at: Option<u64>,
    /// Log index at which this host first answered as the owner.
    index: u64,
    allocation: Allocation,
}

impl OwnedRate {
    fn is_over_rate(&self, now: u64) -> bool {
        self.over_rate_at.is_some_and(|at| now < at + OVER_RATE_MS)
    }
}

/// The portions that this host holds, and the rate limits that it owns and divides into portions.
#[derive(Debug)]
pub struct Portions {
    control: Control,
    peers: Arc<Peers>,
    /// Portions of this host, by workspace.
    held: Mutex<HashMap<Name, Portion>>,
    /// Rate limits that this host owns, by workspace.
    owned: Mutex<HashMap<Name, OwnedRate>>,
    /// Owners that have not answered yet, with the time of the request.
    pending: Mutex<HashMap<Name, u64>>,
}

impl Portions {
    /// Creates the state without any portion.
    pub fn new(control: Control, peers: Arc<Peers>) -> Arc<Self> {
        Arc::new(Self {
            control,
            peers,
            held: Mutex::default(),
            owned: Mutex::default(),
            pending: Mutex::default(),
        })
    }

    /// Spends one operation of this host's portion of a workspace's rate limit. Returns whether the
    /// operation is admitted; without a rate limit it always is.
    pub fn take(&self, workspace: &Name) -> bool {
        let host_state = self.control.host_state();
        let Some(rate) = host_state.state.catalog.rate(workspace) else {
            return true;
        };
        let hosts = host_state.serving_hosts;
        let mut held = lock(&self.held);
        if !uses_portions(rate, hosts) && !held.contains_key(workspace) {
            return false;
        }
        let portion = held.entry(workspace.clone()).or_default();
        portion.take(now_ms(), rate, hosts)
    }

    /// Requests portions from the owners of all rate limits at regular intervals, until dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let host_state = self.control.host_state();
            let mut requests: BTreeMap<Name, Vec<PortionRequest>> = BTreeMap::new();
            let now = now_ms();
            {
                let mut held = lock(&self.held);
                let hosts = host_state.serving_hosts;
                let needs_portion = |workspace: &Name| {
                    let rate = host_state.state.catalog.rate(workspace);
                    rate.is_some_and(|rate| uses_portions(rate, hosts))
                };
                held.retain(|workspace, portion| !portion.is_idle(now) || needs_portion(workspace));
                let limited = host_state.state.catalog.rate_limited_workspaces();
                for workspace in limited.filter(|workspace| needs_portion(workspace)) {
                    let Some(owner) = host_state.state.view.serving_owner(workspace) else {
                        continue;
                    };
                    let timeout_ms = u64::try_from(REQUEST_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
                    let asked_at = lock(&self.pending).get(owner).copied();
                    if asked_at.is_some_and(|asked_at| now < asked_at + timeout_ms) {
                        continue;
                    }
                    let portion = held.entry(workspace.clone()).or_default();
                    let request = portion.request(now, workspace.clone());
                    requests.entry(owner.clone()).or_default().push(request);
                }
            }
            for (owner, owner_requests) in requests {
                lock(&self.pending).insert(owner.clone(), now);
                let portions = Arc::clone(&self);
                let host_state = Arc::clone(&host_state);
                tokio::spawn(async move {
                    portions
                        .request_from(&host_state, &owner, owner_requests, now)
                        .await;
                });
            }
            sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Requests portions from their owner, which may be this host, and applies the grants.
    async fn request_from(
        &self,
        host_state: &HostState,
        owner: &Name,
        requests: Vec<PortionRequest>,
        asked_at: u64,
    ) {
        let host = &self.control.host().name;
        let index = host_state.state.index;
        let grants = if owner == host {
            self.answer(host, index, &requests).await
        } else {
            let request = Request::Portions {
                host: host.clone(),
                index,
                requests,
            };
            match self.peers.address_of(owner, &host_state.state.view) {
                Some(address) => match self.peers.call(address, &request, REQUEST_TIMEOUT).await {
                    Ok(Response::Portions(grants)) => grants,
                    _ => None,
                },
                None => None,
            }
        };
        let now = now_ms();
        lock(&self.pending).remove(owner);
        let mut held = lock(&self.held);
        for grant in grants.into_iter().flatten() {
            let rate = host_state.state.catalog.rate(&grant.workspace);
            if let (Some(rate), Some(portion)) = (rate, held.get_mut(&grant.workspace)) {
                portion.apply_grant(now, asked_at, grant.parts, rate, host_state.serving_hosts);
            }
        }
    }

    /// Answers a host's requests for portions; `None` if this host has not applied the log up to
    /// `index`, does not have the host in its view, or has no lease. Rate limits that it does not
    /// own are left out.
    pub async fn answer(
        &self,
        host: &Name,
        index: u64,
        requests: &[PortionRequest],
    ) -> Option<Vec<PortionGrant>> {
        let host_state = self.control.wait_for_index(index).await?;
        let own_name = &self.control.host().name;
        host_state.state.view.get(host)?;
        if !host_state.has_lease() {
            return None;
        }
        let now = now_ms();
        let view = &host_state.state.view;
        let mut owned = lock(&self.owned);
        owned.retain(|workspace, _| view.serving_owner(workspace) == Some(own_name));
        let mut grants = Vec::new();
        for request in requests {
            if view.serving_owner(&request.workspace) != Some(own_name) {
                continue;
            }
            let new = || OwnedRate {
                over_rate_at: None,
                index: host_state.state.index,
                allocation: Allocation::new(now, view.serving().map(|host| host.name.clone())),
            };
            let entry = owned.entry(request.workspace.clone()).or_insert_with(new);
            debug_assert!(
                entry.index <= host_state.state.index,
                "the log index of the view never decreases"
            );
            entry
                .allocation
                .retain_hosts(|name| view.get(name).is_some());
            let rate = host_state.state.catalog.rate(&request.workspace);
            let max_parts = match rate {
                None => 0,
                Some(rate) if entry.is_over_rate(now) => {
                    max_held_over_rate(rate, host_state.serving_hosts)
                }
                Some(rate) => max_held(rate),
            };
            let parts =
                entry
                    .allocation
                    .allocate(now, host, request, host_state.serving_hosts, max_parts);
            grants.push(PortionGrant {
                workspace: request.workspace.clone(),
                parts,
            });
        }
        Some(grants)
    }

    /// Parts of an owned rate limit that hosts may be using in portions.
    pub(super) fn in_use(&self, host_state: &HostState, workspace: &str, rate: Rate) -> u64 {
        let owned = lock(&self.owned);
        match owned.get(workspace) {
            Some(owned) => owned.allocation.in_use(now_ms(), max_held(rate)),
            None if uses_portions(rate, host_state.serving_hosts) => max_held(rate),
            None => 0,
        }
    }

    /// Records that the workspace of an owned rate limit was found over its rate.
    pub(super) fn record_over_rate(&self, workspace: &str) {
        if let Some(owned) = lock(&self.owned).get_mut(workspace) {
            owned.over_rate_at = Some(now_ms());
        }
    }
}
