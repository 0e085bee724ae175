//! Orders of an operator that a control host holds unread while it stands still.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::{
    caller::{Caller, Outcome},
    held::HeldCall,
    site::Site,
};

const ZONE_PATH: &str = "/evacuations/z";
/// Time after which the operator gives up a call, and leaves its connection open.
const PATIENCE: Duration = Duration::from_secs(1);
/// Longest wait until an evacuation is in force at all entry hosts.
const IN_FORCE: Duration = Duration::from_secs(5);
/// Time for which the zone is watched after the host goes on.
const WATCH: Duration = Duration::from_secs(2);
/// Number of the fixture's addresses; no seed of the soak is as high.
const SITE_NUMBER: u64 = 201;

/// Whether any entry host serves a read.
async fn serves(site: &Site) -> bool {
    for address in &site.callers {
        if let Some(mut caller) = Caller::open(*address, "orders", &site.newest_key()).await
            && let Outcome::Done(_) = Outcome::parse(&caller.query("READ warm").await)
        {
            return true;
        }
    }
    false
}

/// Guards against review case 5 with real processes, at each control host in turn, so that one of them
/// leads: the order that it holds is carried out when it goes on, after a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_held_by_a_frozen_control_host_undoes_no_newer_one() {
    let site = Site::start(SITE_NUMBER).await;
    for frozen in 0..site.control_addresses.len() {
        let elsewhere = frozen + 1;
        assert!(site.order("POST", ZONE_PATH, elsewhere).await);
        site.signal_control(frozen, "-STOP");
        let held = HeldCall::open(site.control_addresses[frozen], "DELETE", ZONE_PATH).await;
        let late = tokio::spawn(held.release());
        sleep(PATIENCE).await;
        assert!(site.order("DELETE", ZONE_PATH, elsewhere).await);
        assert!(site.order("POST", ZONE_PATH, elsewhere).await);

        site.signal_control(frozen, "-CONT");

        let status = late.await.expect("a task");
        assert_ne!(status, Some(200), "control host {frozen}");
        let since = Instant::now();
        while serves(&site).await {
            assert!(since.elapsed() < IN_FORCE, "control host {frozen}");
        }
        let since = Instant::now();
        while since.elapsed() < WATCH {
            assert!(!serves(&site).await, "control host {frozen}");
        }
        assert!(site.order("DELETE", ZONE_PATH, elsewhere).await);
        site.wait_ready().await;
    }
}
