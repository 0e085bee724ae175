//! Control and entry hosts as processes, members behind gates, and what strikes them.

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
    gate::Gate,
    ledger::Ledger,
    operator,
    process::Process,
    stand_in::Group,
};

/// Longest wait for anything that must come.
const WAIT: Duration = Duration::from_secs(60);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(100);
/// Interval between two heartbeats of a member.
const BEAT: Duration = Duration::from_millis(300);
/// Time that a control host needs to catch up before the next may lose its disk.
const CATCH_UP: Duration = Duration::from_secs(4);
/// File of a control host's log.
const JOURNAL_FILE: &str = "control.journal";
/// Names of the members.
const NAMES: [&str; MEMBERS] = ["a", "b", "c"];

/// One host: its settings and, while it runs, its process.
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

    fn data(&self) -> PathBuf {
        PathBuf::from(self.settings["data_dir"].as_str().unwrap_or_default())
    }
}

/// Everything that runs.
pub(crate) struct Site {
    pub(crate) group: Group,
    pub(crate) callers: Vec<SocketAddr>,
    controls: Vec<Host>,
    entries: Vec<Host>,
    gates: Vec<Gate>,
    faces: Vec<SocketAddr>,
    folder: PathBuf,
    version: u64,
    kept: bool,
}

impl Drop for Site {
    fn drop(&mut self) {
        for host in self.controls.iter_mut().chain(&mut self.entries) {
            host.kill();
        }
        if !self.kept && !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Site {
    /// Starts all and waits until a save is served.
    pub(crate) async fn start(seed: u64) -> Self {
        let net = (u64::from(std::process::id()) + seed) % 250;
        let ips = |first: usize, count: usize| {
            let ip = move |host: usize| format!("127.11.{net}.{}", first + host);
            (0..count).map(ip).collect::<Vec<_>>()
        };
        let (cores, fronts) = (ips(1, CONTROLS), ips(101, ENTRIES));
        let peer_port = operator::free_address(&cores[0]).port();
        let folder = format!("soak-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        let group = Group::default();
        let mut gates = Vec::new();
        let mut members = Vec::new();
        for (name, address) in group.start(&NAMES).await {
            let (gate, before) = Gate::start(address).await;
            gates.push(gate);
            members.push((name, before));
        }
        let promotions = group.start_promotions().await;
        let seeds: Vec<&str> = cores.iter().map(String::as_str).collect();
        let faces: Vec<SocketAddr> = cores.iter().map(|ip| operator::free_address(ip)).collect();
        let callers: Vec<SocketAddr> = fronts.iter().map(|ip| operator::free_address(ip)).collect();
        let host = |ip: &String, faces: Value| Host {
            settings: operator::settings(ip, peer_port, &seeds, true, &faces),
            ip: ip.clone(),
            process: None,
        };
        let control = |(ip, face): (&String, &SocketAddr)| {
            let data_dir = folder.join(ip);
            host(
                ip,
                json!({"control": face, "promotions": promotions, "data_dir": data_dir}),
            )
        };
        let entry = |(ip, caller): (&String, &SocketAddr)| {
            host(
                ip,
                json!({"caller": caller, "ready": operator::free_address(ip)}),
            )
        };
        let mut site = Self {
            controls: cores.iter().zip(&faces).map(control).collect(),
            entries: fronts.iter().zip(&callers).map(entry).collect(),
            group,
            callers,
            gates,
            faces,
            folder,
            version: 1,
            kept: std::env::var_os("SOAK_KEEP").is_some(),
        };
        for host in site.controls.iter_mut().chain(&mut site.entries) {
            host.start(&site.folder);
        }
        site.beat(members);
        let first = operator::configuration(1, &["k0"]);
        assert!(
            site.submit(&first).await,
            "the first configuration is taken"
        );
        site.wait_served().await;
        // From now on a control host that starts with an empty disk joins the group that there is.
        for host in site.controls.iter_mut().chain(&mut site.entries) {
            host.settings["found_from_seeds"] = false.into();
        }
        site
    }

    /// Members announce themselves to one control host after the other until one answers.
    fn beat(&self, members: Vec<(String, SocketAddr)>) {
        let (group, faces) = (self.group.clone(), self.faces.clone());
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
                    for face in &faces {
                        let url = format!("http://{face}/instances/{name}");
                        let sent = client.put(url).body(body.clone()).send().await;
                        if sent.is_ok_and(|answer| answer.status().is_success()) {
                            break;
                        }
                    }
                }
                sleep(BEAT).await;
            }
        });
    }

    /// Sends a configuration to one control host after the other until one acknowledges it.
    async fn submit(&self, body: &Value) -> bool {
        let client = client();
        let sent = timeout(WAIT, async {
            for turn in 0.. {
                let face = self.faces[turn % self.faces.len()];
                let url = format!("http://{face}/config");
                let sent = client.put(url).body(body.to_string()).send().await;
                if sent.is_ok_and(|answer| answer.status().is_success()) {
                    return;
                }
                sleep(LOOK).await;
            }
        });
        sent.await.is_ok()
    }

    /// Newest configuration that a control host reads back.
    pub(crate) async fn newest(&self) -> Option<u64> {
        let client = client();
        let read = timeout(WAIT, async {
            loop {
                for face in &self.faces {
                    let url = format!("http://{face}/config");
                    if let Ok(answer) = client.get(url).send().await
                        && answer.status().is_success()
                        && let Ok(text) = answer.text().await
                    {
                        let body: Option<Value> = serde_json::from_str(&text).ok();
                        return body.and_then(|body| body["version"].as_u64());
                    }
                }
                sleep(LOOK).await;
            }
        });
        read.await.ok().flatten()
    }

    /// Waits until every entry host serves a read at the primary.
    pub(crate) async fn wait_served(&self) {
        for address in &self.callers {
            let key = self.newest_key();
            let served = timeout(WAIT, async {
                loop {
                    let opened = Caller::open(*address, "orders", &key).await;
                    if let Some(mut caller) = opened
                        && let Outcome::Done(_) = Outcome::parse(&caller.query("READ warm").await)
                    {
                        return;
                    }
                    sleep(LOOK).await;
                }
            });
            assert!(served.await.is_ok(), "{address} does not serve again");
        }
    }

    fn newest_key(&self) -> String {
        format!("k{}", self.version - 1)
    }

    /// Carries a fault out, and mends it.
    pub(crate) async fn strike(&mut self, fault: &Fault, ledger: &Ledger, random: &mut ChaCha8Rng) {
        match *fault {
            Fault::Control { host, stop, for_ms } => {
                stop_host(&mut self.controls[host], &self.folder, stop, for_ms, random).await;
                if stop == Stop::Wipe {
                    sleep(CATCH_UP).await;
                }
            }
            Fault::Entry { host, stop, for_ms } => {
                stop_host(&mut self.entries[host], &self.folder, stop, for_ms, random).await;
            }
            Fault::AllControls { for_ms } => {
                self.controls.iter_mut().for_each(Host::kill);
                sleep(Duration::from_millis(for_ms)).await;
                for host in &mut self.controls {
                    host.start(&self.folder);
                }
            }
            Fault::Crash { for_ms } => {
                if let Some(primary) = self.group.primary() {
                    self.group
                        .with_member(&primary, |member| member.down = true);
                    sleep(Duration::from_millis(for_ms)).await;
                    self.group.recover(&primary);
                }
            }
            Fault::LoseAnswers { member, count } => {
                self.group
                    .with_member(NAMES[member], |member| member.answers_to_drop = count);
            }
            Fault::Cut {
                entry,
                member,
                for_ms,
            } => {
                let all = self.controls.iter().chain(&self.entries);
                let cut: Vec<IpAddr> = match entry {
                    Some(entry) => vec![address(&self.entries[entry])],
                    None => all.map(address).collect(),
                };
                self.gates[member].cut(cut);
                sleep(Duration::from_millis(for_ms)).await;
                self.gates[member].join();
            }
            Fault::Silence { member } => self.gates[member].silence(),
            Fault::Reset { member } => self.gates[member].reset(),
            Fault::Withdraw => {
                self.version += 1;
                let key = self.newest_key();
                ledger.renew(&key);
                let body = operator::configuration(self.version, &[key.as_str()]);
                assert!(self.submit(&body).await, "a configuration is taken");
                ledger.acknowledged(self.version);
            }
        }
    }

    /// Ends everything that still lasts.
    pub(crate) async fn heal(&mut self) {
        for gate in &self.gates {
            gate.join();
        }
        for name in NAMES {
            self.group
                .with_member(name, |member| member.answers_to_drop = 0);
        }
    }

    /// Keeps the run's files, and says where they are.
    pub(crate) fn keep(&mut self) -> &Path {
        self.kept = true;
        &self.folder
    }
}

fn client() -> reqwest::Client {
    let client = reqwest::Client::builder().timeout(Duration::from_secs(1));
    client.build().expect("a client")
}

fn address(host: &Host) -> IpAddr {
    host.ip.parse().expect("an IP number")
}

async fn stop_host(
    host: &mut Host,
    folder: &Path,
    stop: Stop,
    for_ms: u64,
    random: &mut ChaCha8Rng,
) {
    let pause = Duration::from_millis(for_ms);
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
                assert_eq!(process.ended().await, Some(0), "{} ends", host.ip);
            }
        }
        Stop::Kill | Stop::Torn | Stop::Wipe => host.kill(),
    }
    match stop {
        Stop::Wipe => {
            let _ = std::fs::remove_dir_all(host.data());
        }
        Stop::Torn => tear(&host.data(), random),
        Stop::Kill | Stop::Terminate | Stop::Freeze => {}
    }
    sleep(pause).await;
    host.start(folder);
}

/// Adds a piece of a record that was being written to the journal.
fn tear(data: &Path, random: &mut ChaCha8Rng) {
    let mut torn = vec![0; 1 + (random.next_u64() % 40) as usize];
    random.fill_bytes(&mut torn);
    let journal = std::fs::OpenOptions::new()
        .append(true)
        .open(data.join(JOURNAL_FILE));
    if let Ok(mut journal) = journal {
        let _ = journal.write_all(&torn);
    }
}
