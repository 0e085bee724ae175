//! Services whose connections the hosts of this zone share, and who has these connections.

use std::sync::Arc;

use hemlockcrank_core::{
    Name,
    catalog::Catalog,
    connections::{Capacity, Fleet},
    membership::View,
    sharing::{Assignment, is_shared},
};

use super::Proxy;
use crate::{control::HostState, sync::lock};

/// The executors of this host's zone, as of one view and configuration.
#[derive(Debug, Default)]
pub(super) struct Sharing {
    view: Arc<View>,
    catalog: Arc<Catalog>,
    zone_hosts: usize,
    assignment: Assignment,
}

impl Sharing {
    fn new(view: &Arc<View>, catalog: &Arc<Catalog>, zone: &str) -> Self {
        let services = catalog.services().map(|service| service.name.clone());
        let zone_hosts = view.serving().filter(|host| *host.zone == *zone);
        Self {
            view: Arc::clone(view),
            catalog: Arc::clone(catalog),
            zone_hosts: zone_hosts.count(),
            assignment: Assignment::new(view, zone, services),
        }
    }

    fn is_of(&self, view: &Arc<View>, catalog: &Arc<Catalog>) -> bool {
        Arc::ptr_eq(&self.view, view) && Arc::ptr_eq(&self.catalog, catalog)
    }
}

impl Proxy {
    /// Whether the hosts of this zone share their connections to the members of a service.
    pub(crate) fn shares_connections(&self, host_state: &HostState, service: &str) -> bool {
        let zone_hosts = self.sharing(host_state).zone_hosts;
        is_shared(fleet(host_state, service), zone_hosts)
    }

    /// Whether this host runs the operations of its zone on a service.
    pub(crate) fn is_executor(&self, host_state: &HostState, service: &str) -> bool {
        let sharing = self.sharing(host_state);
        let is_assigned = sharing.assignment.is_executor(service, &self.settings.host);
        is_assigned && self.shares_connections(host_state, service)
    }

    /// Executors for a workspace's operations on a service, the preferred one first; none if the
    /// service is not shared.
    pub(super) fn executors(
        &self,
        host_state: &HostState,
        service: &str,
        workspace: &str,
    ) -> Vec<Name> {
        if !self.shares_connections(host_state, service) {
            return Vec::new();
        }
        let sharing = self.sharing(host_state);
        let executors = sharing.assignment.executors(service, workspace);
        executors.cloned().collect()
    }

    /// Connections that this host may have at each member of a service. An executor keeps its
    /// connections open. The other hosts of its zone have few of their own, for the time in which no
    /// executor runs their operations.
    pub(super) fn capacity(&self, host_state: &HostState, service: &Name) -> Capacity {
        let fleet = fleet(host_state, service);
        if self.is_executor(host_state, service) {
            let sharing = self.sharing(host_state);
            let connections = sharing.assignment.connections(service, fleet.connections);
            return connections.into();
        }
        Capacity::new(fleet, self.primaries.share(service))
    }

    /// The executors as of a state; computed once for each view and configuration.
    fn sharing(&self, host_state: &HostState) -> Arc<Sharing> {
        let (view, catalog) = (&host_state.state.view, &host_state.state.catalog);
        let mut current = lock(&self.sharing);
        if !current.is_of(view, catalog) {
            *current = Arc::new(Sharing::new(view, catalog, &self.settings.zone));
        }
        Arc::clone(&current)
    }
}

/// All connections of each member of a service, and the hosts that need them.
fn fleet(host_state: &HostState, service: &str) -> Fleet {
    let settings = host_state.state.catalog.service(service);
    Fleet {
        connections: settings.map_or(1, |settings| u64::from(settings.connections)),
        hosts: host_state.serving_hosts,
    }
}
