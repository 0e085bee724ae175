//! A fixture of entry hosts and databases in one process on loopback.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use hemlockcrank_core::{Name, record::Kind};
use hemlockcrank_host::{
    Daemon, DaemonError, Settings,
    settings::{Limits, Listen, LogFormat, Peer, Secrets, Upstream},
};
use hemlockctl::{Client, ClientError};
use thiserror::Error;
use tokio_postgres::NoTls;

use crate::{Group, GroupSettings, Link, port::free_address};

/// Interval between two announcements of a member.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for a condition, such as a ready site.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Address on which all links listen. It differs from the hosts' addresses, so that no link binds a
/// port reserved for a host.
const LINK_IP: Ipv4Addr = Ipv4Addr::new(127, 255, 0, 1);
/// Number of hosts in the control group.
const VOTERS: usize = 3;

static NEXT_SITE: AtomicU32 = AtomicU32::new(0);

/// An error of a site fixture.
#[derive(Debug, Error)]
pub enum SiteError {
    /// A socket or a folder could not be used.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A host did not start.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// A request to the operator API failed.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// A caller's connection failed.
    #[error(transparent)]
    Caller(#[from] tokio_postgres::Error),
    /// A condition did not hold in time.
    #[error("timed out waiting for {0}")]
    Timeout(&'static str),
}

/// Hosts and databases of a site.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// Zone of each entry host.
    pub hosts: Vec<Name>,
    /// Databases.
    pub groups: Vec<GroupSettings>,
    /// Limits of every host.
    pub limits: Limits,
}

impl SiteSettings {
    /// One entry host per element of `zones`, in that zone, and these databases.
    pub fn new(zones: &[&str], groups: Vec<GroupSettings>) -> Self {
        Self {
            hosts: zones.iter().map(|zone| Name::from(*zone)).collect(),
            groups,
            limits: Limits::default(),
        }
    }
}

/// A running site; dropping it deletes its data folder.
#[derive(Debug)]
pub struct Site {
    /// Settings of every host.
    pub settings: Vec<Settings>,
    /// Databases.
    pub groups: Vec<Group>,
    /// Links between hosts, by the indexes of the connecting and the accepting host.
    links: BTreeMap<(usize, usize), Link>,
    daemons: Vec<Option<Daemon>>,
    folder: PathBuf,
}

impl Site {
    /// Starts all hosts and databases, and waits until every host has a lease and has every member
    /// in its directory.
    ///
    /// # Errors
    ///
    /// [`SiteError`] when a host or a database does not start, or the site is not ready in time.
    pub async fn start(settings: SiteSettings) -> Result<Self, SiteError> {
        let folder = fresh_folder();
        let mut hosts = host_settings(&settings, &folder)?;
        let links = link_hosts(&mut hosts)?;
        let mut site = Self {
            links,
            daemons: hosts.iter().map(|_| None).collect(),
            settings: hosts,
            groups: Vec::new(),
            folder,
        };
        for index in 0..site.settings.len() {
            site.start_host(index).await?;
        }
        for group in settings.groups {
            site.add_group(group).await?;
        }
        site.wait_ready().await?;
        Ok(site)
    }

    /// Drops all traffic between a host and the other hosts without closing connections, or forwards
    /// it again.
    pub fn set_host_partitioned(&self, index: usize, partitioned: bool) {
        for ((from, to), link) in &self.links {
            if *from == index || *to == index {
                link.set_partitioned(partitioned);
            }
        }
    }

    /// IP address from which a host connects.
    pub fn host_ip(&self, index: usize) -> IpAddr {
        self.settings[index].listen.peer.ip()
    }

    /// Starts a host, or restarts it on the same data folder.
    ///
    /// # Errors
    ///
    /// [`SiteError`] when it does not start.
    pub async fn start_host(&mut self, index: usize) -> Result<(), SiteError> {
        let daemon = Daemon::start(self.settings[index].clone()).await?;
        self.daemons[index] = Some(daemon);
        Ok(())
    }

    /// Stops a host abruptly, as a crash does.
    pub async fn kill_host(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].take() {
            daemon.kill().await;
        }
    }

    /// Shuts a host down gracefully.
    pub async fn shut_down_host(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].take() {
            daemon.shut_down().await;
        }
    }

    /// Removes a host's daemon and returns it, so that a test can shut it down concurrently with
    /// other work.
    pub fn take_daemon(&mut self, index: usize) -> Option<Daemon> {
        self.daemons[index].take()
    }

    /// Deletes the data folder of a host, which must not be running.
    ///
    /// # Errors
    ///
    /// When the folder cannot be removed.
    pub fn delete_data_dir(&self, index: usize) -> std::io::Result<()> {
        match &self.settings[index].data_dir {
            Some(folder) => std::fs::remove_dir_all(folder),
            None => Ok(()),
        }
    }

    /// The daemon of a host, if it is running.
    pub fn daemon(&self, index: usize) -> Option<&Daemon> {
        self.daemons[index].as_ref()
    }

    /// Starts a database whose members announce themselves to the hosts.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn add_group(&mut self, settings: GroupSettings) -> Result<(), SiteError> {
        let mut group = Group::start(settings).await?;
        let operators = self.settings.iter().map(|s| s.listen.operator).collect();
        group.announce_to(operators, PLATFORM_TOKEN, ANNOUNCE_INTERVAL);
        self.groups.push(group);
        Ok(())
    }

    /// A client of a host's operator API.
    pub fn operator(&self, index: usize) -> Client {
        let address = self.settings[index].listen.operator;
        Client::new(&address.to_string(), OPERATOR_TOKEN)
    }

    /// Address on which a host listens for callers.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.settings[index]
            .listen
            .caller
            .expect("a caller address")
    }

    /// Connection string for a workspace on a host.
    pub fn url(&self, index: usize, workspace: &str, key: &str, service: &str) -> String {
        let address = self.caller_address(index);
        format!("postgres://{workspace}:{key}@{address}/{service}")
    }

    /// Connects as a caller; a background task drives the connection until the client is dropped.
    ///
    /// # Errors
    ///
    /// [`SiteError::Caller`] when the host refuses the connection.
    pub async fn connect(
        &self,
        index: usize,
        workspace: &str,
        key: &str,
        service: &str,
    ) -> Result<tokio_postgres::Client, SiteError> {
        let url = self.url(index, workspace, key, service);
        let (client, connection) = tokio_postgres::connect(&url, NoTls).await?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(client)
    }

    /// Submits a service, unless it exists, and a workspace with the key `WORKSPACE-key`, and waits
    /// until they are in force.
    ///
    /// # Errors
    ///
    /// [`SiteError::Client`] when a change is refused.
    pub async fn open_workspace(&self, workspace: &str, service: &str) -> Result<(), SiteError> {
        let operator = self.operator(self.any_running_host());
        if operator.record(Kind::Service, service).await.is_err() {
            operator
                .submit(Kind::Service, service, 1, r#"{"open": false}"#)
                .await?;
        }
        let text = format!(r#"{{"service": "{service}"}}"#);
        operator
            .submit(Kind::Workspace, workspace, 1, &text)
            .await?;
        let text = format!(r#"{{"workspace": "{workspace}", "secret": "{workspace}-key"}}"#);
        let accepted = operator.submit(Kind::Key, workspace, 1, &text).await?;
        operator.wait_in_force(accepted.index, |_| {}).await?;
        Ok(())
    }

    /// Submits a workspace's rate and waits until it is in force.
    ///
    /// # Errors
    ///
    /// [`SiteError::Client`] when the change is refused.
    pub async fn set_rate(
        &self,
        workspace: &str,
        per_second: u64,
        burst: u64,
    ) -> Result<(), SiteError> {
        let operator = self.operator(self.any_running_host());
        let text = format!(r#"{{"per_second": {per_second}, "burst": {burst}}}"#);
        let accepted = operator.submit(Kind::Rate, workspace, 1, &text).await?;
        operator.wait_in_force(accepted.index, |_| {}).await?;
        Ok(())
    }

    /// Index of the first host that is running, or 0 if there is none.
    pub fn any_running_host(&self) -> usize {
        self.daemons.iter().position(Option::is_some).unwrap_or(0)
    }

    /// Waits until every running host has a lease, at least as many hosts in its view as are running,
    /// and every member and the primary of each database in its directory.
    ///
    /// # Errors
    ///
    /// [`SiteError::Timeout`].
    pub async fn wait_ready(&self) -> Result<(), SiteError> {
        let running = self.daemons.iter().flatten().count();
        self.wait_for("a ready site", || {
            self.daemons.iter().flatten().all(|daemon| {
                let host = daemon.context().control.host_state();
                let is_directory_complete = self.groups.iter().all(|group| {
                    let database = host.state.directory.get(&group.settings.database);
                    database.is_some_and(|d| d.members.len() == d.size() && d.primary.is_some())
                });
                host.has_lease() && is_directory_complete && host.state.view.len() >= running
            })
        })
        .await
    }

    /// Waits until `condition` holds, at most as long as for a site to be ready.
    ///
    /// # Errors
    ///
    /// [`SiteError::Timeout`] with `what`.
    pub async fn wait_for<F>(&self, what: &'static str, condition: F) -> Result<(), SiteError>
    where
        F: Fn() -> bool,
    {
        let started = Instant::now();
        while !condition() {
            if started.elapsed() > READY_TIMEOUT {
                return Err(SiteError::Timeout(what));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Index of the host that leads the control group.
    pub async fn leader(&self) -> Option<usize> {
        for daemon in self.daemons.iter().flatten() {
            let status = daemon.context().control.status().await?;
            if &*status.role == "leader" {
                return self.settings.iter().position(|s| s.host == status.host);
            }
        }
        None
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Bearer token of operators on every site.
pub const OPERATOR_TOKEN: &str = "operator-secret";
/// Bearer token of the platform on every site.
pub const PLATFORM_TOKEN: &str = "platform-secret";

/// Settings of all hosts; each has its own loopback address and free ports on it.
///
/// # Errors
///
/// When no port can be bound.
pub fn host_settings(site: &SiteSettings, folder: &Path) -> std::io::Result<Vec<Settings>> {
    let number = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
    let names: Vec<Name> = (1..=site.hosts.len())
        .map(|index| format!("host-{index}").into())
        .collect();
    let mut listens = Vec::new();
    for index in 0..site.hosts.len() {
        // Processes that run at the same time do not share addresses, as a rule.
        let second_octet = u8::try_from(std::process::id() % 200 + 50).unwrap_or(50);
        let third_octet = u8::try_from(number % 250 + 1).unwrap_or(1);
        let fourth_octet = u8::try_from(index + 10).unwrap_or(10);
        let ip = Ipv4Addr::new(127, second_octet, third_octet, fourth_octet);
        let ip = IpAddr::V4(ip);
        listens.push(free_addresses(ip)?);
    }
    let peers = names.iter().zip(&listens).map(|(host, listen)| Peer {
        host: host.clone(),
        address: listen.peer,
    });
    let peers: Vec<Peer> = peers.collect();
    let voters = choose_voters(&site.hosts);
    let settings = names.iter().enumerate().map(|(index, name)| Settings {
        host: name.clone(),
        zone: site.hosts[index].clone(),
        listen: listens[index].clone(),
        advertise_peer: None,
        peers: peers.iter().filter(|p| p.host != *name).cloned().collect(),
        seeds: Vec::new(),
        found_from_seeds: false,
        disk_losses: 1,
        platform: None,
        data_dir: voters.contains(&index).then(|| folder.join(&**name)),
        bootstrap: voters.iter().map(|index| names[*index].clone()).collect(),
        secrets: Secrets {
            peer: "peer-secret".into(),
            operator: OPERATOR_TOKEN.into(),
            platform: PLATFORM_TOKEN.into(),
            key_digest: "digest-secret".into(),
        },
        upstream: Upstream {
            user: "hemlockcrank".into(),
            password: "upstream-secret".into(),
        },
        limits: site.limits.clone(),
        log: LogFormat::Text,
    });
    Ok(settings.collect())
}

/// Indexes of the hosts in the control group, in different zones where there are enough zones.
fn choose_voters(zones: &[Name]) -> Vec<usize> {
    let is_first_in_zone = |index: &usize| !zones[..*index].contains(&zones[*index]);
    let (mut voters, others): (Vec<usize>, Vec<usize>) =
        (0..zones.len()).partition(is_first_in_zone);
    voters.extend(others);
    voters.truncate(VOTERS);
    voters
}

/// Starts a link for each direction between every two hosts, and replaces the peer addresses in the
/// settings with the links' addresses.
fn link_hosts(hosts: &mut [Settings]) -> std::io::Result<BTreeMap<(usize, usize), Link>> {
    let names: Vec<Name> = hosts.iter().map(|host| host.host.clone()).collect();
    let mut links = BTreeMap::new();
    for (from, host) in hosts.iter_mut().enumerate() {
        for peer in &mut host.peers {
            let Some(to) = names.iter().position(|name| *name == peer.host) else {
                continue;
            };
            let listener = TcpListener::bind((LINK_IP, 0))?;
            let link = Link::start(listener, peer.address)?;
            peer.address = link.address;
            links.insert((from, to), link);
        }
    }
    Ok(links)
}

/// Path of a new folder, unique to this call, for one site's data; the folder is not created.
pub fn fresh_folder() -> PathBuf {
    let number = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
    let name = format!("hemlockcrank-{}-{number}", std::process::id());
    std::env::temp_dir().join(name)
}

fn free_addresses(ip: IpAddr) -> std::io::Result<Listen> {
    Ok(Listen {
        caller: Some(free_address(ip)?),
        peer: free_address(ip)?,
        operator: free_address(ip)?,
    })
}
