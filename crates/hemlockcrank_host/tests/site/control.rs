//! Control state: withdrawn keys, concurrent changes, restarts, lost disks, and hosts without a
//! control group.

use std::time::Duration;

use hemlockcrank_core::record::{Action, Kind, StoreError};
use hemlockctl::ClientError;

use crate::fixture::{
    KEY, SERVICE, WORKSPACE, connect, eventually, outcome, save, sees, site, sqlstate, stored,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_ends_open_connections_and_opens_no_new_one() {
    let site = site().await;
    let open = connect(&site, 1).await;
    let mut other = connect(&site, 2).await;
    let transaction = other.transaction().await.expect("begin");
    let insert = "INSERT INTO orders (id, sign) VALUES ('late', 'x')";
    transaction.batch_execute(insert).await.expect("save");
    let operator = site.operator(0);

    let withdrawn = operator
        .withdraw(Kind::Key, WORKSPACE, 1)
        .await
        .expect("withdraw");
    operator
        .wait_in_force(withdrawn.index, |_| {})
        .await
        .expect("in force");

    let refused = save(&open, "order-1")
        .await
        .expect_err("the key is withdrawn");
    assert!(
        open.is_closed() || sqlstate(&refused) == "28000",
        "{refused:?}"
    );
    assert!(transaction.commit().await.is_err());
    assert_eq!((stored(&site, "order-1"), stored(&site, "late")), (0, 0));
    for host in 0..3 {
        let reconnected = site.connect(host, WORKSPACE, KEY, SERVICE).await;
        assert!(reconnected.is_err(), "host {host} accepts a withdrawn key");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_save_that_waits_while_its_key_is_withdrawn_is_not_run() {
    let site = site().await;
    let client = connect(&site, 1).await;
    let members = site.groups[0].members();
    tokio::time::sleep(Duration::from_millis(700)).await;
    members
        .iter()
        .for_each(|member| member.set_partitioned(true));
    let waiting = tokio::spawn(async move { save(&client, "order-1").await });
    tokio::time::sleep(Duration::from_millis(200)).await;

    let operator = site.operator(0);
    let withdrawn = operator
        .withdraw(Kind::Key, WORKSPACE, 1)
        .await
        .expect("withdraw");
    operator
        .wait_in_force(withdrawn.index, |_| {})
        .await
        .expect("in force");
    members
        .iter()
        .for_each(|member| member.set_partitioned(false));

    let refused = waiting.await.expect("task").expect_err("withdrawn");
    assert_eq!(outcome(&refused), "outcome: not run", "{refused:?}");
    eventually("a primary", async || site.groups[0].primary().is_some()).await;
    assert_eq!(stored(&site, "order-1"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_changes_to_one_revision_one_is_accepted_and_a_resend_gets_the_same_answer() {
    let site = site().await;
    site.set_rate(WORKSPACE, 100, 100).await.expect("rate");
    let (first, second) = (site.operator(1), site.operator(2));
    let text = |rate: u64| format!(r#"{{"per_second": {rate}, "burst": 10}}"#);
    for round in 1..8 {
        let (one, two) = (text(100 + round), text(200 + round));
        let race = tokio::join!(
            first.revise(Kind::Rate, WORKSPACE, 1, &one, round),
            second.revise(Kind::Rate, WORKSPACE, 1, &two, round),
        );
        let accepted = [&race.0, &race.1]
            .iter()
            .filter(|answer| answer.is_ok())
            .count();
        assert_eq!(accepted, 1, "{race:?}");
        let refused = [race.0, race.1].into_iter().find_map(Result::err);
        assert!(matches!(
            refused,
            Some(ClientError::NotAccepted {
                error: StoreError::Conflict { .. },
                ..
            })
        ));
    }

    let action = Action::Withdraw { expected: 8 };
    let answer = first
        .change(Kind::Rate, WORKSPACE, action.clone(), "op-1")
        .await;
    let resent = second.change(Kind::Rate, WORKSPACE, action, "op-1").await;
    assert_eq!(answer.expect("withdraw"), resent.expect("the same answer"));
}

#[tokio::test(flavor = "multi_thread")]
async fn all_records_survive_a_restart_of_all_hosts_after_hundreds_of_changes() {
    let mut site = site().await;
    let operator = site.operator(0);
    for number in 0..320 {
        let text = format!(r#"{{"per_second": {}, "burst": 1}}"#, number + 1);
        let name = format!("rate-{}", number % 40);
        let revision = number / 40;
        let changed = if revision == 0 {
            operator.submit(Kind::Rate, &name, 1, &text).await
        } else {
            operator.revise(Kind::Rate, &name, 1, &text, revision).await
        };
        changed.expect("change");
    }
    let before = operator.records().await.expect("records");

    for host in 0..3 {
        site.kill_host(host).await;
    }
    for host in 0..3 {
        site.start_host(host).await.expect("restart");
    }
    site.wait_ready().await.expect("ready");

    for host in 0..3 {
        assert_eq!(
            site.operator(host).records().await.expect("records"),
            before
        );
    }
    save(&connect(&site, 2).await, "order-1")
        .await
        .expect("save");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_disk_is_rebuilt_and_then_a_second_host_may_fail() {
    let mut site = site().await;
    site.kill_host(2).await;
    site.delete_data_dir(2).expect("disk");
    site.start_host(2).await.expect("restart");
    let status = async || site.operator(2).status().await.ok();
    eventually("the host with the lost disk is a voter again", async || {
        status()
            .await
            .is_some_and(|s| s.voters.len() == 3 && &*s.role == "follower")
    })
    .await;

    let leader = site.leader().await.expect("leader");
    site.kill_host(leader).await;

    let host = site.any_running_host();
    let operator = site.operator(host);
    eventually("a change is accepted after both failures", async || {
        let text = r#"{"per_second": 5, "burst": 5}"#;
        let submitted = operator.submit(Kind::Rate, "after", 1, text).await;
        matches!(
            submitted,
            Ok(_)
                | Err(ClientError::NotAccepted {
                    error: StoreError::Exists { .. },
                    ..
                })
        )
    })
    .await;
    save(&connect(&site, host).await, "order-1")
        .await
        .expect("save");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_its_control_group_refuses_keyed_work_and_serves_open_reads() {
    let mut site = site().await;
    let operator = site.operator(2);
    let text = r#"{"access": "open", "open_max_age_ms": 60000}"#;
    let accepted = operator
        .revise(Kind::Service, SERVICE, 2, text, 1)
        .await
        .expect("open");
    operator
        .wait_in_force(accepted.index, |_| {})
        .await
        .expect("in force");
    let keyed = connect(&site, 2).await;
    save(&keyed, "order-1").await.expect("save");
    let unkeyed = site
        .connect(2, WORKSPACE, "", SERVICE)
        .await
        .expect("connect without a key");
    eventually("an open read", async || {
        sees(&unkeyed, "order-1").await.unwrap_or(false)
    })
    .await;

    site.kill_host(0).await;
    site.kill_host(1).await;
    let isolated = site.daemon(2).expect("host").context().control.clone();
    eventually("the lease to run out", async || {
        !isolated.host_state().has_lease()
    })
    .await;

    let refused = save(&keyed, "order-2").await.expect_err("no lease");
    assert_eq!(
        (sqlstate(&refused).as_str(), outcome(&refused).as_str()),
        ("57P03", "outcome: not run")
    );
    assert_eq!(stored(&site, "order-2"), 0);
    assert!(
        sees(&unkeyed, "order-1")
            .await
            .expect("open read without a lease")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_on_every_host_when_the_wait_returns() {
    let site = site().await;
    let operator = site.operator(1);
    for number in 1..20_u64 {
        let text = format!(r#"{{"per_second": {number}, "burst": 5}}"#);
        let accepted = if number == 1 {
            operator.submit(Kind::Rate, "seen", 1, &text).await
        } else {
            operator
                .revise(Kind::Rate, "seen", 1, &text, number - 1)
                .await
        };
        let index = accepted.expect("accepted").index;
        operator
            .wait_in_force(index, |_| {})
            .await
            .expect("in force");
        for host in 0..3 {
            let host_state = site
                .daemon(host)
                .expect("host")
                .context()
                .control
                .host_state();
            let rate = host_state
                .state
                .records
                .rate("seen")
                .map(|rate| rate.per_second);
            assert_eq!(rate, Some(number), "host {host}");
        }
    }
}
