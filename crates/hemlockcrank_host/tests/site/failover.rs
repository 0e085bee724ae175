//! Changes of primary lose no acknowledged save and store none twice.

use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

use hemlockcrank_core::directory::Role;
use hemlockcrank_standin::Site;

use crate::fixture::{
    DATABASE, connect, eventually, group, outcome, save, save_marked, sees, site, site_with,
    sqlstate, stored,
};

/// Number of acknowledged saves, and whether the clients should stop.
#[derive(Default)]
struct Progress {
    acknowledged: AtomicU64,
    stop: AtomicBool,
}

impl Progress {
    /// Waits until ten more saves have been acknowledged.
    async fn wait_for_more(&self) {
        let goal = self.acknowledged.load(Ordering::Relaxed) + 10;
        eventually("more saves", async || {
            self.acknowledged.load(Ordering::Relaxed) >= goal
        })
        .await;
    }
}

/// Saves one order after another until `progress.stop` is set; returns each id with its outcome.
async fn save_many(site: &Site, host: usize, progress: &Progress) -> Vec<(String, String)> {
    let mut client = connect(site, host).await;
    let mut outcomes = Vec::new();
    let mut number = 0;
    while !progress.stop.load(Ordering::Relaxed) {
        let id = format!("order-{host}-{number}");
        number += 1;
        match save(&client, &id).await {
            Ok(_) => {
                progress.acknowledged.fetch_add(1, Ordering::Relaxed);
                outcomes.push((id, "acknowledged".to_owned()));
            }
            Err(error) => {
                outcomes.push((id, outcome(&error)));
                if client.is_closed() {
                    client = connect(site, host).await;
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    outcomes
}

/// Runs `fault` while clients save through two hosts, and checks that the stored orders agree with
/// the outcomes that the clients received.
async fn check_saves_during<F>(site: &Site, fault: F)
where
    F: AsyncFnOnce(),
{
    let progress = Progress::default();
    let scenario = async {
        progress.wait_for_more().await;
        fault().await;
        progress.wait_for_more().await;
        progress.stop.store(true, Ordering::Relaxed);
    };
    let clients = (save_many(site, 0, &progress), save_many(site, 1, &progress));
    let (first, second, ()) = tokio::join!(clients.0, clients.1, scenario);
    let all: Vec<(String, String)> = first.into_iter().chain(second).collect();
    for (id, reported) in &all {
        let count = stored(site, id);
        match reported.as_str() {
            "acknowledged" => assert_eq!(count, 1, "{id} was acknowledged"),
            "outcome: not run" => assert_eq!(count, 0, "{id} was reported as not run"),
            "outcome: unknown" => assert!(count <= 1, "{id}"),
            other => assert_eq!(other, "", "{id} has an unexpected outcome"),
        }
    }
}

async fn wait_for_another_primary(site: &Site, old: &str) {
    eventually("another primary", async || {
        let primary = site.groups[0].primary();
        primary.is_some_and(|primary| *primary.name != *old)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_primary_loses_no_acknowledged_save() {
    let site = site().await;
    let old = site.groups[0].primary().expect("primary").clone();

    check_saves_during(&site, async || {
        old.kill();
        wait_for_another_primary(&site, &old.name).await;
    })
    .await;

    let new = site.groups[0].primary().expect("primary").clone();
    assert!(new.name != old.name && new.role().1 > 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_primary_that_is_cut_off_is_superseded_and_follows_when_it_returns() {
    let site = site_with(group().lag_ms(15)).await;
    let old = site.groups[0].primary().expect("primary").clone();

    check_saves_during(&site, async || {
        old.set_partitioned(true);
        wait_for_another_primary(&site, &old.name).await;
    })
    .await;
    let new = site.groups[0].primary().expect("primary").clone();
    assert_ne!(new.name, old.name);

    old.set_partitioned(false);
    eventually("the old primary follows", async || {
        old.role() == (Role::Replica, new.role().1) && old.last() == new.last()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_superseded_primary_that_one_host_still_reaches_acknowledges_nothing() {
    let site = site().await;
    let old = site.groups[0].primary().expect("primary").clone();
    let others = [1, 2].map(|host| site.settings[host].listen.peer.ip());

    check_saves_during(&site, async || {
        old.partition_from(others);
        wait_for_another_primary(&site, &old.name).await;
    })
    .await;

    let new = site.groups[0].primary().expect("primary").clone();
    assert_ne!(
        new.name, old.name,
        "two of three watchers cannot reach the primary"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_go_on_and_stay_fresh_while_the_primary_is_frozen() {
    let site = site().await;
    let writer = connect(&site, 0).await;
    let reader = connect(&site, 1).await;
    save(&writer, "order-1").await.expect("save");

    site.groups[0].primary().expect("primary").set_frozen(true);

    for _ in 0..10 {
        assert!(sees(&reader, "order-1").await.expect("read"));
    }
    save_marked(&writer, "order-2")
        .await
        .expect("a marked save waits until the change of primary is complete");
    assert!(sees(&reader, "order-2").await.expect("read"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_switchover_refuses_and_loses_nothing() {
    let site = site_with(group().lag_ms(20)).await;
    let target = site.groups[0].members()[1].name.clone();
    let progress = Progress::default();
    let scenario = async {
        progress.wait_for_more().await;
        site.operator(1)
            .switch_over(DATABASE, &target)
            .await
            .expect("switchover");
        eventually("the switchover", async || {
            site.groups[0].primary().is_some_and(|p| p.name == target)
        })
        .await;
        progress.wait_for_more().await;
        progress.stop.store(true, Ordering::Relaxed);
    };

    let (all, ()) = tokio::join!(save_many(&site, 0, &progress), scenario);

    for (id, reported) in &all {
        assert_eq!(
            (reported.as_str(), stored(&site, id)),
            ("acknowledged", 1),
            "{id}"
        );
    }
}

/// Guards against a switchover that is carried out after a newer one, because its order came late.
#[tokio::test(flavor = "multi_thread")]
async fn a_switchover_that_comes_late_undoes_no_newer_one() {
    let site = site().await;
    let operator = site.operator(1);
    let [first, second, third] =
        [0, 1, 2].map(|index| site.groups[0].members()[index].name.clone());
    let term = operator.databases().await.expect("databases")[0].term;
    let is_primary = async |name: &hemlockcrank_core::Name| {
        let databases = operator.databases().await.expect("databases");
        databases[0].primary.as_ref() == Some(name)
    };
    assert!(is_primary(&first).await);
    operator
        .switch_over(DATABASE, &second)
        .await
        .expect("order");
    eventually("the switchover", async || is_primary(&second).await).await;

    let late = operator.switch_over_in(DATABASE, &third, Some(term)).await;

    let refused = late.expect_err("a newer order was carried out").to_string();
    assert!(refused.contains("the primary has changed"), "{refused}");
    let next = operator.switch_over(DATABASE, &third).await;
    next.expect("an order that starts from the present primary");
    eventually("the next switchover", async || is_primary(&third).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_majority_no_save_is_acknowledged() {
    let site = site().await;
    let client = connect(&site, 0).await;
    for member in &site.groups[0].members()[1..] {
        member.set_partitioned(true);
    }

    let answer = tokio::time::timeout(Duration::from_secs(20), save(&client, "order-1")).await;

    let error = answer.expect("an answer").expect_err("no majority");
    assert!(
        matches!(sqlstate(&error).as_str(), "08007" | "57P03"),
        "{error:?}"
    );
    for member in &site.groups[0].members()[1..] {
        member.set_partitioned(false);
    }
}
