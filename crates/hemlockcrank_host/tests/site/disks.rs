//! Disks of control hosts that refuse writes for a while.

use std::{path::PathBuf, time::Duration};

use hemlockcrank_core::{lease, record::Kind};
use hemlockcrank_standin::Site;
use hemlockctl::ClientError;

use crate::fixture::{KEY, SERVICE, WORKSPACE, eventually, save, site};

/// Number of changes after which every control host has written a snapshot: more than the log keeps.
const CHANGES: u64 = 300;

/// A folder in the place of the file that the next snapshot is written to.
fn obstacle(site: &Site, host: usize) -> PathBuf {
    let folder = site.settings[host].data_dir.as_ref();
    folder.expect("data folder").join("control.journal.new")
}

/// Makes the disk of a host refuse snapshots, or accept them again.
fn refuse_snapshots(site: &Site, host: usize, refuse: bool) {
    let obstacle = obstacle(site, host);
    match refuse {
        true => std::fs::create_dir(obstacle),
        false => std::fs::remove_dir(obstacle),
    }
    .expect("folder");
}

/// Revises one rate until `count` revisions are accepted or one is not; returns the last revision.
async fn revise(site: &Site, host: usize, mut revision: u64, count: u64) -> u64 {
    let operator = site.operator(host);
    for _ in 0..count {
        let text = format!(r#"{{"per_second": {}, "burst": 1000}}"#, 1_000 + revision);
        let revised = operator
            .revise(Kind::Rate, WORKSPACE, 1, &text, revision)
            .await;
        match revised {
            Ok(_) => revision += 1,
            Err(ClientError::NotAccepted { .. }) => revision += 1,
            Err(_) => return revision,
        }
    }
    revision
}

/// Whether a host accepts a session and a save.
async fn saves_at(site: &Site, host: usize) -> bool {
    match site.connect(host, WORKSPACE, KEY, SERVICE).await {
        Ok(client) => save(&client, "meanwhile").await.is_ok(),
        Err(_) => false,
    }
}

/// Whether a host takes part in the control group.
async fn takes_part(site: &Site, host: usize) -> bool {
    let daemon = site.daemon(host).expect("host");
    let status = daemon.context().control.status().await;
    status.is_some_and(|status| matches!(&*status.role, "leader" | "follower"))
}

/// Guards against a control host that stays up and takes part in control no more, because its disk
/// refused one write: two such hosts of three ended control for good.
#[tokio::test(flavor = "multi_thread")]
async fn control_hosts_take_part_again_once_their_disks_accept_writes() {
    let site = site().await;
    site.set_rate(WORKSPACE, 1_000, 1_000).await.expect("rate");
    refuse_snapshots(&site, 0, true);
    refuse_snapshots(&site, 1, true);
    let revision = revise(&site, 2, 1, CHANGES).await;
    eventually("two hosts left the control group", async || {
        !takes_part(&site, 0).await && !takes_part(&site, 1).await
    })
    .await;

    refuse_snapshots(&site, 0, false);
    refuse_snapshots(&site, 1, false);

    eventually("all hosts take part in control", async || {
        takes_part(&site, 0).await && takes_part(&site, 1).await && takes_part(&site, 2).await
    })
    .await;
    eventually("a change is accepted", async || {
        revise(&site, 0, revision, 4).await >= revision + 4
    })
    .await;
    eventually("a save is accepted", async || saves_at(&site, 1).await).await;
}

/// Guards against callers at an entry host with a disk that are refused while it cannot be written:
/// the host follows the others meanwhile, and passes changes on.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_whose_disk_refuses_writes_serves_callers_and_operators() {
    let site = site().await;
    site.set_rate(WORKSPACE, 1_000, 1_000).await.expect("rate");
    refuse_snapshots(&site, 0, true);
    let revision = revise(&site, 2, 1, CHANGES).await;
    eventually("the host left the control group", async || {
        !takes_part(&site, 0).await
    })
    .await;

    eventually("a save is accepted at the host", async || {
        saves_at(&site, 0).await
    })
    .await;
    let revised = revise(&site, 0, revision, 1).await;

    assert_eq!(revised, revision + 1);
}

/// Guards against a host that names itself as the leader after it has left the control group: the
/// others asked it again and again, and their leases ended although there was a new leader.
#[tokio::test(flavor = "multi_thread")]
async fn a_site_serves_while_the_disk_of_its_leader_refuses_writes() {
    let site = site().await;
    site.set_rate(WORKSPACE, 1_000, 1_000).await.expect("rate");
    let leader = site.leader().await.expect("leader");
    let others: Vec<usize> = (0..3).filter(|host| *host != leader).collect();
    refuse_snapshots(&site, leader, true);
    revise(&site, others[0], 1, CHANGES).await;
    eventually("the leader left the control group", async || {
        !takes_part(&site, leader).await
    })
    .await;

    eventually("every host has a lease", async || {
        // Longer than a lease, so that it has been renewed by the new leader.
        tokio::time::sleep(Duration::from_millis(lease::DURATION_MS + 500)).await;
        let mut hosts = (0..3).filter_map(|host| site.daemon(host));
        hosts.all(|daemon| daemon.context().control.host_state().has_lease())
    })
    .await;

    for host in 0..3 {
        let status = site.daemon(host).expect("host").context().control.status();
        let named = status.await.and_then(|status| status.leader);
        assert_ne!(
            named,
            Some(site.settings[leader].host.clone()),
            "host {host}"
        );
    }
}
