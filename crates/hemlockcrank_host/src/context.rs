//! State that the components of the daemon share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize},
    },
};

use pgwire::messages::startup::SecretKey;
use tokio::sync::watch;

use crate::{
    budget::Budget,
    control::Control,
    engine::Proxy,
    event::Timeline,
    limits::{Limits, Portions},
    metrics::Metrics,
    peers::Peers,
    phase::Phase,
    settings::Settings,
    upstream::Upstreams,
};

/// Member that runs a caller's statement: its address and the key for a cancel request.
pub(crate) type CancelTarget = (SocketAddr, (i32, SecretKey));

/// Handles to the shared components.
#[derive(Debug)]
pub struct Context {
    /// Settings of this host.
    pub settings: Arc<Settings>,
    /// Control state.
    pub control: Control,
    /// Log and timeline of events.
    pub timeline: Arc<Timeline>,
    /// Clients for calls to other hosts.
    pub peers: Arc<Peers>,
    /// Connections to the databases.
    pub upstreams: Upstreams,
    /// Rate limits of workspaces, with tokens that a host borrows from the owner of the workspace.
    pub limits: Arc<Limits>,
    /// Rate limits of a configuration that was submitted as a whole, divided among the hosts.
    pub portions: Arc<Portions>,
    /// Bytes and connections of clients.
    pub budget: Arc<Budget>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Sessions of a platform that replaces PostgreSQL, on hosts that serve them.
    pub proxy: Option<Arc<Proxy>>,
    /// Steps of a graceful shutdown.
    pub(crate) phase: watch::Receiver<Phase>,
    /// Counter that numbers the caller sessions.
    pub(crate) next_session: AtomicU64,
    /// Number of open caller sessions.
    pub(crate) sessions: AtomicUsize,
    /// Running statements by the caller's cancel key.
    pub(crate) cancel_targets: Mutex<HashMap<(i32, i32), CancelTarget>>,
}

impl Context {
    /// Sets or clears the member that runs the statement of the caller with this cancel key.
    pub(crate) fn set_cancel_target(&self, key: (i32, i32), target: Option<CancelTarget>) {
        let mut cancel_targets = self
            .cancel_targets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match target {
            Some(target) => cancel_targets.insert(key, target),
            None => cancel_targets.remove(&key),
        };
    }

    /// Member that runs the statement of the caller with this cancel key.
    pub(crate) fn cancel_target(&self, key: (i32, i32)) -> Option<CancelTarget> {
        let cancel_targets = self
            .cancel_targets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        cancel_targets.get(&key).cloned()
    }
}
