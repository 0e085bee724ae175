//! A database: a few members with asynchronous replication.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use hemlockcrank_core::{
    Name,
    directory::{Announcement, Role},
};
use tokio::{net::TcpListener, task::JoinSet};

use crate::{
    Member,
    member::{LogEntry, lock},
    server,
};

/// Interval between two reads of the source's log by a replica.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(2);

/// Size and timing of a group.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// Service that the database belongs to.
    pub service: Name,
    /// Name of the database.
    pub database: Name,
    /// Zones of the members; the first member starts as primary.
    pub zones: Vec<Name>,
    /// Replication lag, in milliseconds.
    pub lag_ms: u64,
    /// Time that a member takes to accept a new connection, in milliseconds.
    pub connect_ms: u64,
    /// Time that a statement takes in its slot, in milliseconds.
    pub statement_ms: u64,
    /// Statements that a member runs concurrently.
    pub slots: u32,
    /// Connections that a member accepts.
    pub connections: u32,
    /// Password that members accept.
    pub password: Name,
}

impl GroupSettings {
    /// A group of three members, each in its own zone, with the sizes of the target deployment.
    pub fn new(service: &str, database: &str) -> Self {
        Self {
            service: service.into(),
            database: database.into(),
            zones: ["z1", "z2", "z3"].map(Name::from).to_vec(),
            lag_ms: 5,
            connect_ms: 10,
            statement_ms: 0,
            slots: 3,
            connections: 20,
            password: "upstream-secret".into(),
        }
    }

    /// Sets the members' zones.
    #[must_use]
    pub fn zones(mut self, zones: &[&str]) -> Self {
        self.zones = zones.iter().map(|zone| Name::from(*zone)).collect();
        self
    }

    /// Sets the replication lag.
    #[must_use]
    pub fn lag_ms(mut self, lag_ms: u64) -> Self {
        self.lag_ms = lag_ms;
        self
    }

    /// Sets the time that a statement takes.
    #[must_use]
    pub fn statement_ms(mut self, statement_ms: u64) -> Self {
        self.statement_ms = statement_ms;
        self
    }

    /// Sets how many connections a member accepts, and how long a new one takes.
    #[must_use]
    pub fn connections(mut self, connections: u32, connect_ms: u64) -> Self {
        self.connections = connections;
        self.connect_ms = connect_ms;
        self
    }
}

/// Credentials that callers presented to the members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Credentials {
    /// Every password presented to any member.
    pub passwords: BTreeSet<String>,
}

/// A running group; stops when dropped.
#[derive(Debug)]
pub struct Group {
    /// Settings that it was started with.
    pub settings: GroupSettings,
    members: Vec<Arc<Member>>,
    tasks: JoinSet<()>,
}

impl Group {
    /// Starts all members on free loopback ports.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(settings: GroupSettings) -> std::io::Result<Self> {
        let mut members = Vec::new();
        let mut listeners = Vec::new();
        for (index, zone) in settings.zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let name = format!("{}-m{}", settings.database, index + 1);
            let member = Member::new(
                name.into(),
                zone.clone(),
                listener.local_addr()?,
                settings.clone(),
                index == 0,
            );
            members.push(Arc::new(member));
            listeners.push(listener);
        }
        let first = members[0].name.clone();
        for member in &members[1..] {
            lock(&member.state).source = Some(first.clone());
        }
        let mut tasks = JoinSet::new();
        for (member, listener) in members.iter().zip(listeners) {
            tasks.spawn(server::serve(Arc::clone(member), listener));
            tasks.spawn(replicate(Arc::clone(member), members.clone()));
        }
        Ok(Self {
            settings,
            members,
            tasks,
        })
    }

    /// All members.
    pub fn members(&self) -> &[Arc<Member>] {
        &self.members
    }

    /// The member with this name.
    pub fn member(&self, name: &str) -> Option<&Arc<Member>> {
        self.members.iter().find(|member| &*member.name == name)
    }

    /// The primary with the highest adopted term.
    pub fn primary(&self) -> Option<&Arc<Member>> {
        let primaries = self.members.iter().filter(|m| m.role().0 == Role::Primary);
        primaries.max_by_key(|member| member.role().1)
    }

    /// Credentials that callers presented to the members so far.
    pub fn presented_credentials(&self) -> Credentials {
        Credentials {
            passwords: self.members.iter().flat_map(|m| m.passwords()).collect(),
        }
    }

    /// Current announcements of all members except those that are down.
    pub fn announcements(&self) -> Vec<Announcement> {
        let up = self.members.iter().filter(|member| !*member.down.borrow());
        up.map(|member| self.announcement(member)).collect()
    }

    fn announcement(&self, member: &Member) -> Announcement {
        let state = lock(&member.state);
        Announcement {
            service: self.settings.service.clone(),
            database: self.settings.database.clone(),
            member: member.name.clone(),
            address: member.address,
            zone: member.zone.clone(),
            role: state.role,
            term: state.adopted_term,
            position: state.last(),
            members: self.members.len() as u32,
            connections: self.settings.connections,
            slots: self.settings.slots,
        }
    }

    /// Announces all members at each interval until the group is dropped, each announcement to the
    /// first of the hosts' operator addresses that accepts it.
    pub fn announce_to(&mut self, operators: Vec<SocketAddr>, token: &str, interval: Duration) {
        let members = self.members.clone();
        let settings = self.settings.clone();
        let token = token.to_owned();
        self.tasks.spawn(async move {
            let group = Self {
                settings,
                members,
                tasks: JoinSet::new(),
            };
            let http = reqwest::Client::new();
            loop {
                for announcement in group.announcements() {
                    for address in &operators {
                        let response = http
                            .post(format!("http://{address}/v1/announcements"))
                            .bearer_auth(&token)
                            .json(&announcement)
                            .timeout(Duration::from_secs(1))
                            .send()
                            .await;
                        if response.is_ok_and(|response| response.status().is_success()) {
                            break;
                        }
                    }
                }
                tokio::time::sleep(interval).await;
            }
        });
    }
}

/// Copies the log of a member's source, with the configured lag, for as long as the group runs.
async fn replicate(member: Arc<Member>, members: Vec<Arc<Member>>) {
    loop {
        tokio::time::sleep(REPLICATION_INTERVAL).await;
        if !member.can_replicate() {
            continue;
        }
        let (source, adopted_term) = {
            let state = lock(&member.state);
            (state.source.clone(), state.adopted_term)
        };
        let source = source.and_then(|name| members.iter().find(|m| m.name == name));
        let Some(source) = source.filter(|source| source.can_replicate()) else {
            continue;
        };
        copy_log(&member, source, adopted_term);
    }
}

/// Appends the source's entries that are older than the lag; where the logs differ, only truncates
/// the member's log to the common prefix.
fn copy_log(member: &Member, source: &Member, adopted_term: u64) {
    let lag = Duration::from_millis(member.lag_ms.load(Ordering::Relaxed));
    let last = lock(&member.state).last();
    let len = usize::try_from(last.index).unwrap_or(usize::MAX);
    let new_entries: Vec<LogEntry> = {
        let source = lock(&source.state);
        if source.role != Role::Primary || source.adopted_term != adopted_term {
            return;
        }
        let source_entry = len.checked_sub(1).and_then(|index| source.log.get(index));
        let matches = len == 0 || source_entry.is_some_and(|entry| entry.term == last.term);
        let common = if matches {
            len
        } else {
            let terms: Vec<u64> = source.log.iter().map(|entry| entry.term).collect();
            drop(source);
            let common = common_prefix(member, &terms);
            lock(&member.state).truncate(common);
            return;
        };
        let is_visible = |entry: &&LogEntry| entry.committed_at.elapsed() >= lag;
        source.log[common..]
            .iter()
            .take_while(is_visible)
            .cloned()
            .collect()
    };
    if new_entries.is_empty() {
        return;
    }
    let mut state = lock(&member.state);
    if state.adopted_term != adopted_term || state.log.len() != len {
        return;
    }
    for entry in new_entries {
        state.append(entry);
    }
}

/// Number of leading entries whose terms are the same in the member's log and in `terms`.
fn common_prefix(member: &Member, terms: &[u64]) -> usize {
    let state = lock(&member.state);
    let pairs = state.log.iter().zip(terms);
    pairs
        .take_while(|(entry, term)| entry.term == **term)
        .count()
}
