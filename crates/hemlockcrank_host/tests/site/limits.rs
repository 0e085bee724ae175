//! Rate limits over all hosts, and fairness between workspaces.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hemlockcrank_standin::Site;

use crate::fixture::{WORKSPACE, connect, group, outcome, site, site_with, sqlstate};

const PER_SECOND: u64 = 40;
const BURST: u64 = 10;

/// Sends reads to one host, each after the answer to the last one, until `stop` is set; returns how
/// many were served and how many were refused.
async fn read_until_stopped(site: &Site, host: usize, stop: &AtomicBool) -> (u64, u64) {
    let client = connect(site, host).await;
    let (mut served, mut refused) = (0, 0);
    while !stop.load(Ordering::Relaxed) {
        match client.simple_query("SELECT 1").await {
            Ok(_) => served += 1,
            Err(error) => {
                assert_eq!(outcome(&error), "outcome: not run", "{error:?}");
                refused += 1;
            }
        }
    }
    (served, refused)
}

/// Reads with two clients on each host for `duration`; returns the number of reads served, and the
/// time taken.
async fn read_for(site: &Site, hosts: &[usize], duration: Duration) -> (u64, Duration) {
    let stop = AtomicBool::new(false);
    let started = Instant::now();
    let hosts = hosts.iter().flat_map(|host| [*host, *host]);
    let clients =
        futures_util::future::join_all(hosts.map(|host| read_until_stopped(site, host, &stop)));
    let ((), counts) = tokio::join!(
        async {
            tokio::time::sleep(duration).await;
            stop.store(true, Ordering::Relaxed);
        },
        clients
    );
    (
        counts.iter().map(|(served, _)| served).sum(),
        started.elapsed(),
    )
}

/// Most reads that the rate allows within `elapsed`.
fn allowed(elapsed: Duration) -> u64 {
    BURST + PER_SECOND * u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX) / 1_000 + 1
}

#[tokio::test(flavor = "multi_thread")]
async fn no_workspace_exceeds_its_rate_summed_over_all_hosts() {
    let site = site().await;
    site.set_rate(WORKSPACE, PER_SECOND, BURST)
        .await
        .expect("rate");

    let (served, elapsed) = read_for(&site, &[0, 1, 2], Duration::from_secs(2)).await;

    assert!(served <= allowed(elapsed), "{served} in {elapsed:?}");
    assert!(served > BURST, "{served} in {elapsed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_rate_is_not_exceeded_while_its_owner_fails_and_restarts() {
    let mut site = site().await;
    site.set_rate(WORKSPACE, PER_SECOND, BURST)
        .await
        .expect("rate");
    let host_state = site.daemon(0).expect("host").context().control.host_state();
    let owner_name = host_state
        .state
        .view
        .owner(WORKSPACE)
        .expect("owner")
        .clone();
    let owner = site
        .settings
        .iter()
        .position(|settings| settings.host == owner_name)
        .expect("settings of the owner");
    let others: Vec<usize> = (0..3).filter(|host| *host != owner).collect();
    let started = Instant::now();
    let (before, _) = read_for(&site, &others, Duration::from_millis(500)).await;

    site.kill_host(owner).await;
    let (during, _) = read_for(&site, &others, Duration::from_millis(5_500)).await;
    site.start_host(owner).await.expect("restart");
    let (after, _) = read_for(&site, &others, Duration::from_secs(2)).await;

    let elapsed = started.elapsed();
    let served = before + during + after;
    assert!(served <= allowed(elapsed), "{served} in {elapsed:?}");
    assert!(during > 0, "reads are served under a new owner");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_from_one_workspace_does_not_starve_another() {
    let site = site_with(group().statement_ms(10)).await;
    site.open_workspace("calm", "ledger")
        .await
        .expect("workspace");
    let stop = Arc::new(AtomicBool::new(false));
    let calm_served = AtomicU64::new(0);
    let calm = async {
        let client = site
            .connect(0, "calm", "calm-key", "ledger")
            .await
            .expect("connect");
        for _ in 0..30 {
            client.simple_query("SELECT 1").await.expect("a calm read");
            calm_served.fetch_add(1, Ordering::Relaxed);
        }
        stop.store(true, Ordering::Relaxed);
    };
    let flood = (0..60).map(|_| async {
        let client = connect(&site, 0).await;
        let mut served = 0_u64;
        while !stop.load(Ordering::Relaxed) {
            served += u64::from(client.simple_query("SELECT 1").await.is_ok());
        }
        served
    });

    let (flood, ()) = tokio::join!(futures_util::future::join_all(flood), calm);

    let flood_served: u64 = flood.iter().sum();
    assert_eq!(calm_served.load(Ordering::Relaxed), 30);
    assert!(
        flood_served < 60 * 30,
        "{flood_served} reads of the flood were served in the same time"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_over_the_rate_are_refused_with_sqlstate_53400() {
    let site = site().await;
    site.set_rate(WORKSPACE, 1, 1).await.expect("rate");
    let client = connect(&site, 0).await;
    let mut refusals = 0;
    for _ in 0..4 {
        if let Err(error) = client.simple_query("SELECT 1").await {
            assert_eq!(sqlstate(&error), "53400");
            refusals += 1;
        }
    }
    assert!(refusals >= 2, "{refusals} refusals");
}
