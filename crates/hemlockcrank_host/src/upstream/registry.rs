//! All databases that this host routes to, updated from the committed directory.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use hemlockcrank_core::{Name, directory::Database, retry::Budget};

use super::{ConnectOptions, Pool, Tracker};
use crate::control::HostState;

/// Connections of each member that are reserved for the platform.
const RESERVED_CONNECTIONS: usize = 1;

/// A database, with the status of its members and this host's connections to them.
#[derive(Debug)]
pub struct Upstream {
    /// Name of the database.
    pub name: Name,
    /// Polls the status of the members.
    pub tracker: Tracker,
    /// Connection pools by member.
    pub pools: BTreeMap<Name, Arc<Pool>>,
    /// Retry budget of reads.
    pub retries: Mutex<Budget>,
}

/// The databases that this host routes to, by name.
#[derive(Debug)]
pub struct Upstreams {
    options: ConnectOptions,
    databases: Mutex<HashMap<Name, Arc<Upstream>>>,
}

impl Upstreams {
    /// An empty set; [`Upstreams::get`] adds databases as they are used.
    pub fn new(options: ConnectOptions) -> Self {
        Self {
            options,
            databases: Mutex::default(),
        }
    }

    /// Options for connections to members.
    pub fn connect_options(&self) -> &ConnectOptions {
        &self.options
    }

    /// Returns the upstream of the database `name` as committed in `host_state`; `None` if there is
    /// no such database. Creates the upstream if the database is new, and replaces it if the
    /// members or their addresses have changed.
    pub fn get(&self, host_state: &HostState, name: &Name) -> Option<Arc<Upstream>> {
        let database = host_state.state.directory.get(name)?;
        let mut databases = self
            .databases
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(existing) = databases.get(name)
            && existing.has_members_of(database)
        {
            existing.resize_pools(database, host_state.state.view.len());
            return Some(Arc::clone(existing));
        }
        let started = Arc::new(self.start(name, database, host_state.state.view.len()));
        databases.insert(name.clone(), Arc::clone(&started));
        Some(started)
    }

    fn start(&self, name: &Name, database: &Database, hosts: usize) -> Upstream {
        let members = database.members.iter();
        let addresses: BTreeMap<Name, SocketAddr> = members
            .map(|(member, data)| (member.clone(), data.address))
            .collect();
        let tracker = Tracker::start(&self.options, name, database.size(), &addresses);
        let pools = database.members.iter().map(|(member, data)| {
            let slots = connection_share(data.connections as usize, hosts);
            let pool = Pool::new(
                member.clone(),
                name.clone(),
                data.address,
                self.options.clone(),
                slots,
            );
            (member.clone(), pool)
        });
        Upstream {
            name: name.clone(),
            tracker,
            pools: pools.collect(),
            retries: Mutex::default(),
        }
    }
}

impl Upstream {
    /// Whether the members and their addresses are those of `database`.
    fn has_members_of(&self, database: &Database) -> bool {
        let has_same_address = |(member, pool): (&Name, &Arc<Pool>)| {
            let data = database.members.get(member);
            data.is_some_and(|data| data.address == pool.address())
        };
        self.pools.len() == database.members.len() && self.pools.iter().all(has_same_address)
    }

    /// Gives each pool this host's share of the member's connections.
    fn resize_pools(&self, database: &Database, hosts: usize) {
        for (member, pool) in &self.pools {
            if let Some(data) = database.members.get(member) {
                pool.set_slots(connection_share(data.connections as usize, hosts));
            }
        }
    }
}

/// This host's share of a member's connections for callers, at least one. Every host also has one
/// connection for the member's status, which is not in the share.
fn connection_share(connections: usize, hosts: usize) -> usize {
    let hosts = hosts.max(1);
    let for_callers = connections.saturating_sub(RESERVED_CONNECTIONS + hosts);
    (for_callers / hosts).max(1)
}
