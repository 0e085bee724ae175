//! Three hosts of the PostgreSQL protocol as processes, before one database.

use std::time::{Duration, Instant};

use hemlockcrank_core::record::Kind;
use hemlockcrank_host::Settings;
use hemlockcrank_standin::{
    Group, GroupSettings, OPERATOR_TOKEN, PLATFORM_TOKEN, SiteSettings, fresh_folder, host_settings,
};
use hemlockctl::Client;
use tokio_postgres::NoTls;

use crate::process::Process;

/// Longest wait for the site to become ready.
pub(crate) const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two polls of the site.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The running hosts and their database.
pub(crate) struct Site {
    pub(crate) settings: Vec<Settings>,
    pub(crate) processes: Vec<Process>,
    _group: Group,
    folder: std::path::PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub(crate) async fn start_site() -> Site {
    let folder = fresh_folder();
    let site_settings = SiteSettings::new(&["z1", "z2", "z3"], Vec::new());
    let settings = host_settings(&site_settings, &folder).expect("settings");
    let processes = settings
        .iter()
        .map(|s| {
            let text = serde_json::to_string_pretty(s).expect("settings as JSON");
            Process::start(&s.host, &text, &folder)
        })
        .collect();
    let mut group = Group::start(GroupSettings::new("ledger", "ledger-1"))
        .await
        .expect("group");
    let operators = settings.iter().map(|s| s.listen.operator).collect();
    group.announce_to(operators, PLATFORM_TOKEN, Duration::from_millis(100));
    let site = Site {
        settings,
        processes,
        _group: group,
        folder,
    };
    wait_ready(&site).await;
    site
}

/// Log lines of all hosts.
fn logs(site: &Site) -> String {
    let hosts = site.settings.iter();
    let logs = hosts.map(|settings| {
        let file = site.folder.join(format!("{}.log", settings.host));
        let log = std::fs::read_to_string(file).unwrap_or_default();
        format!("{}: {}\n{log}", settings.host, settings.listen.peer)
    });
    logs.collect()
}

async fn wait_ready(site: &Site) {
    let operator = operator(site, 0);
    let started = Instant::now();
    loop {
        assert!(
            started.elapsed() < READY_TIMEOUT,
            "the site was not ready in time: {}",
            logs(site)
        );
        let hosts = operator
            .status()
            .await
            .map_or(0, |status| status.hosts.len());
        let databases = operator.databases().await.unwrap_or_default();
        if hosts == 3
            && databases
                .iter()
                .any(|d| d.members.len() == 3 && d.primary.is_some())
        {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

pub(crate) fn operator(site: &Site, index: usize) -> Client {
    let address = site.settings[index].listen.operator;
    Client::new(&address.to_string(), OPERATOR_TOKEN)
}

pub(crate) async fn open_workspace(site: &Site) {
    let operator = operator(site, 0);
    let submit = async |kind, name: &str, text: &str| {
        operator.submit(kind, name, 1, text).await.expect("submit")
    };
    submit(Kind::Service, "ledger", r#"{"open": false}"#).await;
    submit(Kind::Workspace, "khedive", r#"{"service": "ledger"}"#).await;
    let key = r#"{"workspace": "khedive", "secret": "counter-key"}"#;
    let accepted = submit(Kind::Key, "khedive-1", key).await;
    operator
        .wait_in_force(accepted.index, |_| {})
        .await
        .expect("in force");
}

pub(crate) async fn connect(site: &Site, index: usize) -> tokio_postgres::Client {
    let address = site.settings[index]
        .listen
        .caller
        .expect("a caller address");
    let url = format!("postgres://khedive:counter-key@{address}/ledger");
    let (client, connection) = tokio_postgres::connect(&url, NoTls).await.expect("connect");
    tokio::spawn(async move {
        let _ = connection.await;
    });
    client
}
