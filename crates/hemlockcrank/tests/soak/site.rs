//! The system under test: control and entry hosts as processes, and members. All are behind links
//! that faults can cut.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use crate::{
    caller::{Caller, Outcome},
    fault::{CONTROLS, ENTRIES, MEMBERS},
    history::History,
    host::Host,
    links::Links,
    operator,
    promotions::Promotions,
    proxy::Proxy,
    stand_in::Group,
};

/// Longest wait for the system to serve or to answer a request.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two heartbeats of a member.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Longest wait for a host's status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Names of the members.
pub(crate) const MEMBER_NAMES: [&str; MEMBERS] = ["a", "b", "c"];

/// The running system.
pub(crate) struct Site {
    pub(crate) group: Group,
    /// Caller addresses of the entry hosts.
    pub(crate) callers: Vec<SocketAddr>,
    pub(crate) controls: Vec<Host>,
    pub(crate) entries: Vec<Host>,
    /// One proxy per member.
    pub(crate) proxies: Vec<Proxy>,
    pub(crate) links: Links,
    pub(crate) promotions: Promotions,
    /// Zones of the members.
    zones: [&'static str; MEMBERS],
    /// HTTP addresses of the control hosts.
    pub(crate) control_addresses: Vec<SocketAddr>,
    pub(crate) folder: PathBuf,
    /// Version of the configuration that was submitted last.
    pub(crate) version: u64,
    /// Whether the files remain after the run.
    keep_files: bool,
}

impl Drop for Site {
    fn drop(&mut self) {
        for host in self.controls.iter_mut().chain(&mut self.entries) {
            host.kill();
        }
        if !self.keep_files && !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Site {
    /// Starts all processes and waits until every entry host serves a read.
    pub(crate) async fn start(seed: u64) -> Self {
        Self::start_in(seed, ["z"; MEMBERS]).await
    }

    /// As [`Self::start`], with the members in these zones.
    pub(crate) async fn start_in(seed: u64, zones: [&'static str; MEMBERS]) -> Self {
        let subnet = (u64::from(std::process::id()) + seed) % 250;
        let ips = |first: usize, count: usize| {
            let ip = move |host: usize| format!("127.11.{subnet}.{}", first + host);
            (0..count).map(ip).collect::<Vec<_>>()
        };
        let (control_ips, entry_ips) = (ips(1, CONTROLS), ips(101, ENTRIES));
        let peer_port = operator::free_address(&control_ips[0]).port();
        let folder = format!("soak-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        let group = Group::default();
        let mut proxies = Vec::new();
        let mut members = Vec::new();
        for (name, address) in group.start(&MEMBER_NAMES).await {
            let (proxy, proxy_address) = Proxy::start(address).await;
            proxies.push(proxy);
            members.push((name, proxy_address));
        }
        let (promotions, promotions_address) = Promotions::start(group.clone()).await;
        let links = Links::start(&control_ips, &entry_ips, peer_port, promotions_address).await;
        let seeds: Vec<&str> = control_ips.iter().map(String::as_str).collect();
        let control_addresses: Vec<SocketAddr> = control_ips
            .iter()
            .map(|ip| operator::free_address(ip))
            .collect();
        let callers: Vec<SocketAddr> = entry_ips
            .iter()
            .map(|ip| operator::free_address(ip))
            .collect();
        let host = |ip: &String, options: Value| {
            let mut settings = operator::settings(ip, peer_port, &seeds, true, &options);
            settings["peers"] = links.peers_of(ip);
            Host {
                settings,
                ip: ip.clone(),
                process: None,
            }
        };
        let control = |(ip, address): (&String, &SocketAddr)| {
            let data_dir = folder.join(ip);
            let promotions = links.promotions_of(ip).address;
            let fields =
                json!({"control": address, "promotions": promotions, "data_dir": data_dir});
            let mut control = host(ip, fields);
            // Nobody listens there, so that no other host gets past its link.
            control.settings["advertise_peer"] = json!(operator::free_address(ip));
            control
        };
        let entry = |(ip, caller): (&String, &SocketAddr)| {
            host(
                ip,
                json!({"caller": caller, "ready": operator::free_address(ip)}),
            )
        };
        let mut site = Self {
            controls: control_ips
                .iter()
                .zip(&control_addresses)
                .map(control)
                .collect(),
            entries: entry_ips.iter().zip(&callers).map(entry).collect(),
            group,
            callers,
            proxies,
            promotions,
            zones,
            control_addresses,
            links,
            folder,
            version: 1,
            keep_files: std::env::var_os("SOAK_KEEP").is_some(),
        };
        for host in site.controls.iter_mut().chain(&mut site.entries) {
            host.start(&site.folder);
        }
        site.send_heartbeats(members);
        let first = operator::configuration(1, &["k0"]);
        assert!(
            site.submit(&first).await,
            "the first configuration is acknowledged"
        );
        site.wait_ready().await;
        // A control host that starts with an empty disk from now on joins the existing group.
        for host in site.controls.iter_mut().chain(&mut site.entries) {
            host.settings["found_from_seeds"] = false.into();
        }
        site
    }

    /// Starts a task per member that sends its heartbeats. Each goes to one control host after the
    /// other until one accepts it, first to the one that accepted the last.
    fn send_heartbeats(&self, members: Vec<(String, SocketAddr)>) {
        for (name, address) in members {
            let (group, control_addresses) = (self.group.clone(), self.control_addresses.clone());
            let (client, zone) = (client(), self.zone_of(&name));
            tokio::spawn(async move {
                let mut first = 0;
                for seq in 1.. {
                    let (down, primary) =
                        group.with_member(&name, |member| (member.down, member.primary));
                    let mut body = operator::heartbeat(address, primary, seq);
                    body["zone"] = zone.into();
                    let body = body.to_string();
                    for attempt in 0..control_addresses.len() * usize::from(!down) {
                        let host = (first + attempt) % control_addresses.len();
                        let url = format!("http://{}/instances/{name}", control_addresses[host]);
                        let response = client.put(url).body(body.clone()).send().await;
                        if response.is_ok_and(|response| response.status().is_success()) {
                            first = host;
                            break;
                        }
                    }
                    sleep(HEARTBEAT_INTERVAL).await;
                }
            });
        }
    }

    /// Zone of a member.
    pub(crate) fn zone_of(&self, member: &str) -> &'static str {
        let index = MEMBER_NAMES.iter().position(|name| *name == member);
        self.zones[index.expect("a member")]
    }

    /// Sends a configuration to one control host after the other until one acknowledges it.
    pub(crate) async fn submit(&self, body: &Value) -> bool {
        let client = client();
        let submitted = timeout(TIMEOUT, async {
            for attempt in 0.. {
                let control = self.control_addresses[attempt % self.control_addresses.len()];
                let url = format!("http://{control}/config");
                let response = client.put(url).body(body.to_string()).send().await;
                if response.is_ok_and(|response| response.status().is_success()) {
                    return;
                }
                sleep(POLL_INTERVAL).await;
            }
        });
        submitted.await.is_ok()
    }

    /// Sends an order to one control host after the other, from host `first` on, until one acknowledges
    /// it.
    pub(crate) async fn order(&self, method: &str, path: &str, first: usize) -> bool {
        let client = client();
        let method: reqwest::Method = method.parse().expect("a method");
        let ordered = timeout(TIMEOUT, async {
            for attempt in first.. {
                let control = self.control_addresses[attempt % self.control_addresses.len()];
                let url = format!("http://{control}{path}");
                let response = client.request(method.clone(), url).send().await;
                if response.is_ok_and(|response| response.status().is_success()) {
                    return;
                }
                sleep(POLL_INTERVAL).await;
            }
        });
        ordered.await.is_ok()
    }

    /// Sends a signal to the process of a control host.
    pub(crate) fn signal_control(&self, host: usize, signal: &str) {
        let process = self.controls[host].process.as_ref();
        process.expect("a process").signal(signal);
    }

    /// Number of the control host that leads, other than `except`; waits until there is one.
    pub(crate) async fn leader(&self, except: Option<usize>) -> usize {
        let found = timeout(TIMEOUT, async {
            loop {
                let hosts = (0..self.controls.len()).filter(|host| Some(*host) != except);
                for host in hosts {
                    if self.leads(host).await {
                        return host;
                    }
                }
                sleep(POLL_INTERVAL).await;
            }
        });
        found.await.expect("a control host leads")
    }

    /// Whether a control host leads, by its own status.
    async fn leads(&self, host: usize) -> bool {
        let operator = &self.controls[host].settings["listen"]["operator"];
        let url = format!("http://{}/v1/status", operator.as_str().unwrap_or_default());
        let request = client().get(url).bearer_auth("operator-secret");
        let read = timeout(STATUS_TIMEOUT, async {
            let text = request.send().await.ok()?.text().await.ok()?;
            let status: Value = serde_json::from_str(&text).ok()?;
            Some(status["role"] == "leader")
        });
        matches!(read.await, Ok(Some(true)))
    }

    /// Returns all violated guarantees of a run that has ended.
    pub(crate) async fn check(&self, history: &History) -> Vec<String> {
        let mut violations = history.check(&self.group, self.read_version().await);
        violations.extend(self.promotions.check_order());
        violations.extend(history.check_promoted(&self.promotions.promoted()));
        violations
    }

    /// Reads the version of the configuration in force from the first control host that answers.
    pub(crate) async fn read_version(&self) -> Option<u64> {
        let client = client();
        let read = timeout(TIMEOUT, async {
            loop {
                for control in &self.control_addresses {
                    let url = format!("http://{control}/config");
                    if let Ok(response) = client.get(url).send().await
                        && response.status().is_success()
                        && let Ok(text) = response.text().await
                    {
                        let body: Option<Value> = serde_json::from_str(&text).ok();
                        return body.and_then(|body| body["version"].as_u64());
                    }
                }
                sleep(POLL_INTERVAL).await;
            }
        });
        read.await.ok().flatten()
    }

    /// Waits until every entry host serves a read at the primary.
    pub(crate) async fn wait_ready(&self) {
        for address in &self.callers {
            let key = self.newest_key();
            let ready = timeout(TIMEOUT, async {
                loop {
                    let opened = Caller::open(*address, "orders", &key).await;
                    if let Some(mut caller) = opened
                        && let Outcome::Done(_) = Outcome::parse(&caller.query("READ warm").await)
                    {
                        return;
                    }
                    sleep(POLL_INTERVAL).await;
                }
            });
            assert!(ready.await.is_ok(), "{address} does not serve reads");
        }
    }

    pub(crate) fn newest_key(&self) -> String {
        format!("k{}", self.version - 1)
    }

    /// Keeps the files of the run, and returns their folder.
    pub(crate) fn keep_files(&mut self) -> &Path {
        self.keep_files = true;
        &self.folder
    }
}

fn client() -> reqwest::Client {
    let client = reqwest::Client::builder().timeout(Duration::from_secs(1));
    client.build().expect("client")
}
