//! Network partitions between zones that drop packets without closing connections: what is refused,
//! what still works, and the recovery.

use std::time::Duration;

use hemlockcrank_core::record::Kind;
use hemlockcrank_standin::Site;

use crate::fixture::{
    SERVICE, WORKSPACE, connect, eventually, outcome, save, save_marked, sees, site, sqlstate,
    stored,
};

/// Isolates zone 3, or reconnects it: its host from the other hosts and members, and its member
/// from the other hosts.
fn cut_zone_3(site: &Site, on: bool) {
    site.set_host_partitioned(2, on);
    let members = site.groups[0].members();
    let (inside, outside) = (
        vec![site.host_ip(2)],
        vec![site.host_ip(0), site.host_ip(1)],
    );
    for (index, member) in members.iter().enumerate() {
        let cut = if index == 2 { &outside } else { &inside };
        member.partition_from(if on { cut.clone() } else { Vec::new() });
    }
}

async fn has_lease(site: &Site, host: usize) -> bool {
    let daemon = site.daemon(host).expect("host");
    daemon.context().control.host_state().has_lease()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_zone_refuses_keyed_work_serves_open_reads_and_recovers() {
    let site = site().await;
    let text = r#"{"access": "open", "open_max_age_ms": 30000}"#;
    let opened = site
        .operator(0)
        .revise(Kind::Service, SERVICE, 2, text, 1)
        .await;
    let index = opened.expect("open").index;
    site.operator(0)
        .wait_in_force(index, |_| {})
        .await
        .expect("in force");
    let inside = connect(&site, 2).await;
    let outside = connect(&site, 0).await;
    save(&outside, "order-1").await.expect("save");
    let unkeyed = site
        .connect(2, WORKSPACE, "", SERVICE)
        .await
        .expect("connect without a key");
    eventually("an open read", async || {
        sees(&unkeyed, "order-1").await.unwrap_or(false)
    })
    .await;

    cut_zone_3(&site, true);
    eventually("the lease to run out", async || !has_lease(&site, 2).await).await;

    let refused = save(&inside, "order-2").await.expect_err("no lease");
    assert_eq!(outcome(&refused), "outcome: not run", "{refused:?}");
    assert!(
        sees(&unkeyed, "order-1")
            .await
            .expect("an open read in the cut-off zone")
    );
    save_marked(&outside, "order-3")
        .await
        .expect("a save in the other zones");
    assert_eq!((stored(&site, "order-2"), stored(&site, "order-3")), (0, 1));

    cut_zone_3(&site, false);
    eventually("the lease to come back", async || has_lease(&site, 2).await).await;
    let reconnected = connect(&site, 2).await;
    eventually("the zone to serve", async || {
        sees(&reconnected, "order-3").await.unwrap_or(false)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_withdrawn_while_a_zone_is_cut_off_never_works_there_again() {
    let site = site().await;
    let inside = connect(&site, 2).await;
    save(&inside, "order-1").await.expect("save");

    cut_zone_3(&site, true);
    let withdrawn = site
        .operator(0)
        .withdraw(Kind::Key, WORKSPACE, 1)
        .await
        .expect("withdraw");
    site.operator(0)
        .wait_in_force(withdrawn.index, |_| {})
        .await
        .expect("in force");
    let refused = save(&inside, "order-2").await.expect_err("no lease");
    assert_eq!(outcome(&refused), "outcome: not run");
    cut_zone_3(&site, false);
    eventually("the lease to come back", async || has_lease(&site, 2).await).await;

    assert!(save(&inside, "order-3").await.is_err());
    assert_eq!((stored(&site, "order-2"), stored(&site, "order-3")), (0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_leader_is_replaced_and_its_return_causes_no_election() {
    let site = site().await;
    let old = site.leader().await.expect("leader");
    let other = (old + 1) % 3;

    site.set_host_partitioned(old, true);
    eventually("a change without the old leader", async || {
        let text = r#"{"per_second": 5, "burst": 5}"#;
        site.operator(other)
            .submit(Kind::Rate, "during", 1, text)
            .await
            .is_ok()
    })
    .await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert!(!has_lease(&site, old).await);
    let term = site.operator(other).status().await.expect("status").term;
    site.set_host_partitioned(old, false);
    eventually("the old leader to follow", async || {
        let status = site.operator(old).status().await;
        status.is_ok_and(|s| &*s.role == "follower" && s.lease_ms > 0)
    })
    .await;

    let after = site.operator(other).status().await.expect("status");
    assert_eq!(
        after.term, term,
        "the return of the old leader caused an election"
    );
    let records = site.operator(old).records().await.expect("records");
    assert!(records.iter().any(|record| &*record.name == "during"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_primary_in_a_zone_that_is_cut_off_is_replaced_and_nothing_acknowledged_is_lost() {
    let site = site().await;
    let target = site.groups[0].members()[2].name.clone();
    site.operator(0)
        .switch_over("ledger-1", &target)
        .await
        .expect("switchover");
    eventually("the switchover", async || {
        site.groups[0]
            .primary()
            .is_some_and(|primary| primary.name == target)
    })
    .await;
    let outside = connect(&site, 0).await;
    let inside = connect(&site, 2).await;
    save_marked(&outside, "order-1").await.expect("save");

    cut_zone_3(&site, true);
    site.groups[0].members()[2].set_partitioned(true);
    let pending = tokio::spawn(async move { save(&inside, "order-2").await });
    save_marked(&outside, "order-3")
        .await
        .expect("a save during the change of primary");

    let refused = pending
        .await
        .expect("task")
        .expect_err("no acknowledgement from the cut-off primary");
    assert_ne!(sqlstate(&refused), "");
    cut_zone_3(&site, false);
    site.groups[0].members()[2].set_partitioned(false);
    let primary = site.groups[0].primary().expect("primary").clone();
    assert_ne!(primary.name, target);
    eventually("the old primary catches up", async || {
        site.groups[0].members()[2].last() == primary.last()
    })
    .await;
    assert_eq!((stored(&site, "order-1"), stored(&site, "order-3")), (1, 1));
}
