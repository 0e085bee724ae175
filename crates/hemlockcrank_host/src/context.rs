//! What the parts of the daemon share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize},
    },
};

use pgwire::messages::startup::SecretKey;

use crate::{
    control::Control,
    engine::Site,
    event::Timeline,
    limits::{Limits, Portions},
    metrics::Metrics,
    peers::Peers,
    settings::Settings,
    upstream::Upstreams,
};

/// Where a caller's statement runs now: member address and the key for a cancel request.
pub(crate) type CancelTarget = (SocketAddr, (i32, SecretKey));

/// Handles on everything that is shared.
#[derive(Debug)]
pub struct Context {
    /// Settings of this host.
    pub settings: Arc<Settings>,
    /// Control state.
    pub control: Control,
    /// Events.
    pub timeline: Arc<Timeline>,
    /// Other hosts.
    pub peers: Arc<Peers>,
    /// Databases.
    pub upstreams: Upstreams,
    /// Rates.
    pub limits: Arc<Limits>,
    /// Rates of a configuration that was submitted whole.
    pub portions: Arc<Portions>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Sessions of a platform of its own, on hosts that serve them.
    pub site: Option<Arc<Site>>,
    /// Number of the next caller session.
    pub(crate) next_session: AtomicU64,
    /// Caller sessions that are open.
    pub(crate) sessions: AtomicUsize,
    /// Statements that run now, by the caller's cancel key.
    pub(crate) cancels: Mutex<HashMap<(i32, i32), CancelTarget>>,
}

impl Context {
    /// Sets or clears where a caller's statement runs.
    pub(crate) fn set_cancel_target(&self, key: (i32, i32), target: Option<CancelTarget>) {
        let mut cancels = self.cancels.lock().unwrap_or_else(PoisonError::into_inner);
        match target {
            Some(target) => cancels.insert(key, target),
            None => cancels.remove(&key),
        };
    }

    /// Where the statement of the caller with this cancel key runs.
    pub(crate) fn cancel_target(&self, key: (i32, i32)) -> Option<CancelTarget> {
        let cancels = self.cancels.lock().unwrap_or_else(PoisonError::into_inner);
        cancels.get(&key).cloned()
    }
}
