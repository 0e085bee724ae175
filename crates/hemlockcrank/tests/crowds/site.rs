//! One control host and one entry host of a platform, as processes, before three members.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::{
    caller::{Caller, Outcome},
    operator,
    process::Process,
    stand_in::Group,
    usage::{MEMORY_BOUND_KB, Usage},
};

/// Longest wait for the site to serve, also beside a crowd.
const SERVE_TIMEOUT: Duration = Duration::from_secs(90);
/// Interval between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two heartbeats of a member.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Opens a session.
pub(crate) const START: &str = "START orders k0\r\n";
/// Item that every member has.
pub(crate) const LARGE_ITEM: &str = "large";

/// Counter for the third byte of a site's loopback addresses; the second comes from the process id.
static NEXT_SUBNET: AtomicU32 = AtomicU32::new(1);

/// Limits of the entry host.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Limits {
    pub(crate) descriptors: Option<u32>,
    pub(crate) callers: Option<u32>,
}

/// The running hosts and their members.
pub(crate) struct Site {
    pub(crate) group: Group,
    pub(crate) control_host: Process,
    pub(crate) entry_host: Process,
    /// Address of the control host for operators and members.
    pub(crate) control: SocketAddr,
    /// Address of the entry host for callers.
    pub(crate) callers: SocketAddr,
    /// Address of the entry host for the balancer.
    pub(crate) ready: SocketAddr,
    /// Address of the entry host for hemlockcrank's own operators.
    pub(crate) operators: SocketAddr,
    /// Addresses for other hosts: of the control host and of the entry host.
    pub(crate) peers: [SocketAddr; 2],
    http: reqwest::Client,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.control_host.kill();
        self.entry_host.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Starts all processes and waits until the entry host serves a read.
    pub(crate) async fn start(limits: Limits) -> Self {
        let subnet = NEXT_SUBNET.fetch_add(1, Ordering::Relaxed);
        let network = format!("127.{}.{subnet}", std::process::id() % 200 + 50);
        let (control_ip, entry_ip) = (format!("{network}.1"), format!("{network}.2"));
        let peer_port = operator::free_address(&control_ip).port();
        let folder = format!("crowds-{}-{subnet}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        let _ = std::fs::remove_dir_all(&folder);
        let group = Group::default();
        let members = group.start(&["a", "b", "c"]).await;
        let control = operator::free_address(&control_ip);
        let (callers, ready) = (
            operator::free_address(&entry_ip),
            operator::free_address(&entry_ip),
        );
        let seeds = [control_ip.as_str()];
        let fields = json!({"control": control, "data_dir": folder.join("control")});
        let settings = operator::settings(&control_ip, peer_port, &seeds, true, &fields);
        let control_host = Process::start(&control_ip, &settings.to_string(), &folder);
        let fields = json!({"caller": callers, "ready": ready});
        let mut settings = operator::settings(&entry_ip, peer_port, &seeds, false, &fields);
        if let Some(limit) = limits.callers {
            settings["limits"]["callers"] = limit.into();
        }
        let operators = settings["listen"]["operator"].as_str().expect("address");
        let operators = operators.parse().expect("address");
        let text = settings.to_string();
        let entry_host = Process::start_limited(&entry_ip, &text, &folder, limits.descriptors);
        let peer = |ip: &str| format!("{ip}:{peer_port}").parse().expect("address");
        let site = Self {
            group,
            control_host,
            entry_host,
            control,
            callers,
            ready,
            operators,
            peers: [peer(&control_ip), peer(&entry_ip)],
            http: client(),
            folder,
        };
        site.configure().await;
        site.send_heartbeats(members);
        site.check_serves().await;
        site
    }

    async fn configure(&self) {
        let body = operator::configuration(1, &["k0"]).to_string();
        let url = format!("http://{}/config", self.control);
        let deadline = Instant::now() + SERVE_TIMEOUT;
        loop {
            let response = self.http.put(&url).body(body.clone()).send().await;
            if response.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            assert!(Instant::now() < deadline, "no configuration in force");
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Starts a task that sends the heartbeats of all members.
    fn send_heartbeats(&self, members: Vec<(String, SocketAddr)>) {
        let (control, group) = (self.control, self.group.clone());
        tokio::spawn(async move {
            let client = client();
            for seq in 1.. {
                for (name, address) in &members {
                    let primary = group.with_member(name, |member| member.primary);
                    let body = operator::heartbeat(*address, primary, seq).to_string();
                    let url = format!("http://{control}/instances/{name}");
                    let _ = client.put(url).body(body).send().await;
                }
                sleep(HEARTBEAT_INTERVAL).await;
            }
        });
    }

    /// Gives every member an item of this size.
    pub(crate) fn add_large_item(&self, bytes: usize) {
        for name in ["a", "b", "c"] {
            self.group.with_member(name, |member| {
                let value = "v".repeat(bytes);
                member.data.insert(LARGE_ITEM.into(), value);
            });
        }
    }

    /// Waits until an ordinary session is opened and its read is answered.
    pub(crate) async fn check_serves(&self) {
        let deadline = Instant::now() + SERVE_TIMEOUT;
        loop {
            if let Some(mut caller) = Caller::open(self.callers, "orders", "k0").await
                && let Outcome::Done(_) = Outcome::parse(&caller.query("READ warm").await)
            {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "an ordinary session is not served"
            );
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Waits until an ordinary request for the host's status is answered.
    pub(crate) async fn check_operators(&self) {
        let url = format!("http://{}/v1/status", self.operators);
        self.check_http(&url).await;
    }

    /// Waits until an ordinary request for the configuration is answered.
    pub(crate) async fn check_control(&self) {
        let url = format!("http://{}/config", self.control);
        self.check_http(&url).await;
    }

    async fn check_http(&self, url: &str) {
        let deadline = Instant::now() + SERVE_TIMEOUT;
        loop {
            let request = client().get(url).bearer_auth("operator-secret");
            if let Ok(response) = request.send().await
                && response.status().is_success()
                && response.json::<Value>().await.is_ok()
            {
                return;
            }
            assert!(Instant::now() < deadline, "{url} is not answered");
            sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Checks that a process lives, and that its memory and its descriptors stay under the bounds.
pub(crate) async fn check_usage(process: &Process, max_descriptors: usize) {
    let usage = Usage::settled(process).await;
    println!("{usage:?}");
    assert!(usage.peak_kb <= MEMORY_BOUND_KB, "memory: {usage:?}");
    assert!(usage.descriptors <= max_descriptors, "{usage:?}");
}

fn client() -> reqwest::Client {
    let client = reqwest::Client::builder().timeout(Duration::from_secs(5));
    client.build().expect("client")
}
