//! All databases that this host routes to, kept in step with the committed directory.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use hemlockcrank_core::{Name, directory::Database, retry::Budget};

use super::{ConnectOptions, Pool, Tracker};
use crate::control::HostState;

/// Connections of each member that stay free for the platform's own use.
const RESERVED_CONNECTIONS: usize = 1;

/// One database as this host reaches it.
#[derive(Debug)]
pub struct Upstream {
    /// Name.
    pub name: Name,
    /// What is known of its members.
    pub tracker: Tracker,
    /// Connections by member.
    pub pools: BTreeMap<Name, Arc<Pool>>,
    /// Retries of reads.
    pub retries: Mutex<Budget>,
}

/// All databases by name.
#[derive(Debug)]
pub struct Upstreams {
    source: ConnectOptions,
    databases: Mutex<HashMap<Name, Arc<Upstream>>>,
}

impl Upstreams {
    /// None yet.
    pub fn new(source: ConnectOptions) -> Self {
        Self {
            source,
            databases: Mutex::default(),
        }
    }

    /// Where connections come from.
    pub fn connect_options(&self) -> &ConnectOptions {
        &self.source
    }

    /// The database as committed in `world`, started if it is new or its members have moved.
    pub fn get(&self, world: &HostState, name: &Name) -> Option<Arc<Upstream>> {
        let database = world.state.directory.get(name)?;
        let mut databases = self
            .databases
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = databases.get(name)
            && known.leads_to(database)
        {
            known.resize(database, world.state.view.len());
            return Some(Arc::clone(known));
        }
        let fresh = Arc::new(self.start(name, database, world.state.view.len()));
        databases.insert(name.clone(), Arc::clone(&fresh));
        Some(fresh)
    }

    fn start(&self, name: &Name, database: &Database, hosts: usize) -> Upstream {
        let members = database.members.iter();
        let addresses: BTreeMap<Name, SocketAddr> = members
            .map(|(member, data)| (member.clone(), data.address))
            .collect();
        let tracker = Tracker::start(&self.source, name, database.size(), &addresses);
        let pools = database.members.iter().map(|(member, data)| {
            let slots = connection_share(data.connections as usize, hosts);
            let pool = Pool::new(
                member.clone(),
                name.clone(),
                data.address,
                self.source.clone(),
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
    fn leads_to(&self, database: &Database) -> bool {
        let same = |(member, pool): (&Name, &Arc<Pool>)| {
            let data = database.members.get(member);
            data.is_some_and(|data| data.address == pool.address())
        };
        self.pools.len() == database.members.len() && self.pools.iter().all(same)
    }

    fn resize(&self, database: &Database, hosts: usize) {
        for (member, pool) in &self.pools {
            if let Some(data) = database.members.get(member) {
                pool.set_slots(connection_share(data.connections as usize, hosts));
            }
        }
    }
}

/// This host's share of a member's connections, one for its status left out.
fn connection_share(connections: usize, hosts: usize) -> usize {
    let hosts = hosts.max(1);
    let for_callers = connections.saturating_sub(RESERVED_CONNECTIONS + hosts);
    (for_callers / hosts).max(1)
}
