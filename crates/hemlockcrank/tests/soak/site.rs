//! The system under test: control and entry hosts as processes, members behind proxies, and the
//! injection of faults.

use std::{
    io::Write,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use rand_chacha::{ChaCha8Rng, rand_core::Rng};
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use crate::{
    caller::{Caller, Outcome},
    fault::{CONTROLS, ENTRIES, Fault, MEMBERS, Stop},
    history::History,
    operator,
    process::Process,
    proxy::Proxy,
    stand_in::Group,
};

/// Longest wait for the system to serve or to answer a request.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two heartbeats of a member.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time that a control host needs to catch up before the next one may lose its disk.
const CATCH_UP_DURATION: Duration = Duration::from_secs(4);
/// File name of a control host's journal.
const JOURNAL_FILE: &str = "control.journal";
/// Names of the members.
const MEMBER_NAMES: [&str; MEMBERS] = ["a", "b", "c"];

/// A host with its settings and, while it runs, its process.
struct Host {
    ip: String,
    settings: Value,
    process: Option<Process>,
}

impl Host {
    fn start(&mut self, folder: &Path) {
        let process = Process::start(&self.ip, &self.settings.to_string(), folder);
        self.process = Some(process);
    }

    fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
    }

    fn data_dir(&self) -> PathBuf {
        PathBuf::from(self.settings["data_dir"].as_str().unwrap_or_default())
    }
}

/// The running system.
pub(crate) struct Site {
    pub(crate) group: Group,
    /// Caller addresses of the entry hosts.
    pub(crate) callers: Vec<SocketAddr>,
    controls: Vec<Host>,
    entries: Vec<Host>,
    /// One proxy per member.
    proxies: Vec<Proxy>,
    /// HTTP addresses of the control hosts.
    pub(crate) control_addresses: Vec<SocketAddr>,
    folder: PathBuf,
    /// Version of the configuration that was submitted last.
    version: u64,
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
        let promotions = group.start_promotions().await;
        let seeds: Vec<&str> = control_ips.iter().map(String::as_str).collect();
        let control_addresses: Vec<SocketAddr> = control_ips
            .iter()
            .map(|ip| operator::free_address(ip))
            .collect();
        let callers: Vec<SocketAddr> = entry_ips
            .iter()
            .map(|ip| operator::free_address(ip))
            .collect();
        let host = |ip: &String, options: Value| Host {
            settings: operator::settings(ip, peer_port, &seeds, true, &options),
            ip: ip.clone(),
            process: None,
        };
        let control = |(ip, address): (&String, &SocketAddr)| {
            let data_dir = folder.join(ip);
            host(
                ip,
                json!({"control": address, "promotions": promotions, "data_dir": data_dir}),
            )
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
            control_addresses,
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

    /// Starts a task that sends the heartbeats of the members. Each goes to one control host after
    /// the other until one accepts it.
    fn send_heartbeats(&self, members: Vec<(String, SocketAddr)>) {
        let (group, control_addresses) = (self.group.clone(), self.control_addresses.clone());
        let client = client();
        tokio::spawn(async move {
            for seq in 1.. {
                for (name, address) in &members {
                    let (down, primary) =
                        group.with_member(name, |member| (member.down, member.primary));
                    if down {
                        continue;
                    }
                    let body = operator::heartbeat(*address, primary, seq).to_string();
                    for control in &control_addresses {
                        let url = format!("http://{control}/instances/{name}");
                        let response = client.put(url).body(body.clone()).send().await;
                        if response.is_ok_and(|response| response.status().is_success()) {
                            break;
                        }
                    }
                }
                sleep(HEARTBEAT_INTERVAL).await;
            }
        });
    }

    /// Sends a configuration to one control host after the other until one acknowledges it.
    async fn submit(&self, body: &Value) -> bool {
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

    /// Injects a fault, and repairs it if it has a duration.
    pub(crate) async fn inject(
        &mut self,
        fault: &Fault,
        history: &History,
        random: &mut ChaCha8Rng,
    ) {
        match *fault {
            Fault::Control {
                host,
                stop,
                duration_ms,
            } => {
                stop_host(
                    &mut self.controls[host],
                    &self.folder,
                    stop,
                    duration_ms,
                    random,
                )
                .await;
                if stop == Stop::Wipe {
                    sleep(CATCH_UP_DURATION).await;
                }
            }
            Fault::Entry {
                host,
                stop,
                duration_ms,
            } => {
                stop_host(
                    &mut self.entries[host],
                    &self.folder,
                    stop,
                    duration_ms,
                    random,
                )
                .await;
            }
            Fault::AllControls { duration_ms } => {
                self.controls.iter_mut().for_each(Host::kill);
                sleep(Duration::from_millis(duration_ms)).await;
                for host in &mut self.controls {
                    host.start(&self.folder);
                }
            }
            Fault::Crash { duration_ms } => {
                if let Some(primary) = self.group.primary() {
                    self.group
                        .with_member(&primary, |member| member.down = true);
                    sleep(Duration::from_millis(duration_ms)).await;
                    self.group.recover(&primary);
                }
            }
            Fault::LoseAnswers { member, count } => {
                self.group.with_member(MEMBER_NAMES[member], |member| {
                    member.answers_to_drop = count;
                });
            }
            Fault::Partition {
                entry,
                member,
                duration_ms,
            } => {
                let all = self.controls.iter().chain(&self.entries);
                let hosts: Vec<IpAddr> = match entry {
                    Some(entry) => vec![address(&self.entries[entry])],
                    None => all.map(address).collect(),
                };
                self.proxies[member].partition(hosts);
                sleep(Duration::from_millis(duration_ms)).await;
                self.proxies[member].heal();
            }
            Fault::Stall { member } => self.proxies[member].stall(),
            Fault::Reset { member } => self.proxies[member].reset(),
            Fault::Withdraw => {
                self.version += 1;
                let key = self.newest_key();
                history.add_key(&key);
                let body = operator::configuration(self.version, &[key.as_str()]);
                assert!(
                    self.submit(&body).await,
                    "the configuration is acknowledged"
                );
                history.record_configuration(self.version);
            }
        }
    }

    /// Ends all partitions and stops losing answers.
    pub(crate) async fn heal(&mut self) {
        for proxy in &self.proxies {
            proxy.heal();
        }
        for name in MEMBER_NAMES {
            self.group
                .with_member(name, |member| member.answers_to_drop = 0);
        }
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

fn address(host: &Host) -> IpAddr {
    host.ip.parse().expect("IP address")
}

async fn stop_host(
    host: &mut Host,
    folder: &Path,
    stop: Stop,
    duration_ms: u64,
    random: &mut ChaCha8Rng,
) {
    let pause = Duration::from_millis(duration_ms);
    match stop {
        Stop::Freeze => {
            if let Some(process) = &host.process {
                process.signal("-STOP");
                sleep(pause).await;
                process.signal("-CONT");
            }
            return;
        }
        Stop::Terminate => {
            if let Some(mut process) = host.process.take() {
                process.signal("-TERM");
                assert_eq!(
                    process.wait_for_exit().await,
                    Some(0),
                    "exit status of {}",
                    host.ip
                );
            }
        }
        Stop::Kill | Stop::Torn | Stop::Wipe => host.kill(),
    }
    match stop {
        Stop::Wipe => {
            let _ = std::fs::remove_dir_all(host.data_dir());
        }
        Stop::Torn => append_torn_record(&host.data_dir(), random),
        Stop::Kill | Stop::Terminate | Stop::Freeze => {}
    }
    sleep(pause).await;
    host.start(folder);
}

/// Appends random bytes to the journal, as an incomplete write would leave them.
fn append_torn_record(data_dir: &Path, random: &mut ChaCha8Rng) {
    let mut torn = vec![0; 1 + (random.next_u64() % 40) as usize];
    random.fill_bytes(&mut torn);
    let journal = std::fs::OpenOptions::new()
        .append(true)
        .open(data_dir.join(JOURNAL_FILE));
    if let Ok(mut journal) = journal {
        let _ = journal.write_all(&torn);
    }
}
