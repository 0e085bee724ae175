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

use crate::{Member, member::lock, server};

/// Interval between two looks at a source, besides its commits.
const REPLICATION_TICK: Duration = Duration::from_millis(2);

/// How a group behaves.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// Service that it belongs to.
    pub service: Name,
    /// Name of the database.
    pub database: Name,
    /// Zones of the members; the first member starts as primary.
    pub zones: Vec<Name>,
    /// Replication lag, in milliseconds.
    pub lag_ms: u64,
    /// Cost of a new connection, in milliseconds.
    pub connect_ms: u64,
    /// Time that a statement takes, in milliseconds.
    pub statement_ms: u64,
    /// Statements that a member runs at once.
    pub slots: u32,
    /// Connections that a member accepts.
    pub connections: u32,
    /// Credential that members accept.
    pub password: Name,
}

impl GroupSettings {
    /// A group of three members in one zone each, at the brief's sizes.
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

    /// Sets how many connections a member accepts, and what a new one costs.
    #[must_use]
    pub fn connections(mut self, connections: u32, connect_ms: u64) -> Self {
        self.connections = connections;
        self.connect_ms = connect_ms;
        self
    }
}

/// What the members saw of their callers.
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
    _tasks: JoinSet<()>,
}

impl Group {
    /// Starts all members on free ports of loopback.
    ///
    /// # Errors
    ///
    /// When a port cannot be had.
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
            _tasks: tasks,
        })
    }

    /// All members.
    pub fn members(&self) -> &[Arc<Member>] {
        &self.members
    }

    /// The member of that name.
    pub fn member(&self, name: &str) -> Option<&Arc<Member>> {
        self.members.iter().find(|member| &*member.name == name)
    }

    /// The primary of the highest term.
    pub fn primary(&self) -> Option<&Arc<Member>> {
        let primaries = self.members.iter().filter(|m| m.role().0 == Role::Primary);
        primaries.max_by_key(|member| member.role().1)
    }

    /// What the members saw of their callers.
    pub fn presented_credentials(&self) -> Credentials {
        Credentials {
            passwords: self.members.iter().flat_map(|m| m.passwords()).collect(),
        }
    }

    /// Announcements as the members would make them now; members that are down make none.
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
            term: state.adopted,
            position: state.last(),
            members: self.members.len() as u32,
            connections: self.settings.connections,
            slots: self.settings.slots,
        }
    }

    /// Announces all members to `platform` again and again; ends with the group.
    pub fn announce_to(&mut self, platform: Vec<SocketAddr>, credential: &str, every: Duration) {
        let members = self.members.clone();
        let settings = self.settings.clone();
        let credential = credential.to_owned();
        self._tasks.spawn(async move {
            let group = Self {
                settings,
                members,
                _tasks: JoinSet::new(),
            };
            let http = reqwest::Client::new();
            loop {
                for announcement in group.announcements() {
                    for address in &platform {
                        let sent = http
                            .post(format!("http://{address}/v1/announcements"))
                            .bearer_auth(&credential)
                            .json(&announcement)
                            .timeout(Duration::from_secs(1))
                            .send()
                            .await;
                        if sent.is_ok_and(|answer| answer.status().is_success()) {
                            break;
                        }
                    }
                }
                tokio::time::sleep(every).await;
            }
        });
    }
}

/// Copies the source's log with the set lag.
async fn replicate(member: Arc<Member>, members: Vec<Arc<Member>>) {
    loop {
        tokio::time::sleep(REPLICATION_TICK).await;
        if !member.replicates() {
            continue;
        }
        let (source, adopted) = {
            let state = lock(&member.state);
            (state.source.clone(), state.adopted)
        };
        let source = source.and_then(|name| members.iter().find(|m| m.name == name));
        let Some(source) = source.filter(|source| source.replicates()) else {
            continue;
        };
        copy_log(&member, source, adopted);
    }
}

fn copy_log(member: &Member, source: &Member, adopted: u64) {
    let lag = Duration::from_millis(member.lag_ms.load(Ordering::Relaxed));
    let own = lock(&member.state).last();
    let own_len = usize::try_from(own.index).unwrap_or(usize::MAX);
    let fresh: Vec<crate::member::LogEntry> = {
        let from = lock(&source.state);
        if from.role != Role::Primary || from.adopted != adopted {
            return;
        }
        let tail = own_len.checked_sub(1).and_then(|index| from.log.get(index));
        let agrees = own_len == 0 || tail.is_some_and(|entry| entry.term == own.term);
        let common = if agrees {
            own_len
        } else {
            let terms: Vec<u64> = from.log.iter().map(|entry| entry.term).collect();
            drop(from);
            let common = common_prefix(member, &terms);
            lock(&member.state).truncate(common);
            return;
        };
        let due = |entry: &&crate::member::LogEntry| entry.committed_at.elapsed() >= lag;
        from.log[common..].iter().take_while(due).cloned().collect()
    };
    if fresh.is_empty() {
        return;
    }
    let mut state = lock(&member.state);
    if state.adopted != adopted || state.log.len() != own_len {
        return;
    }
    for entry in fresh {
        state.append(entry);
    }
}

fn common_prefix(member: &Member, terms: &[u64]) -> usize {
    let state = lock(&member.state);
    let pairs = state.log.iter().zip(terms);
    pairs
        .take_while(|(entry, term)| entry.term == **term)
        .count()
}
