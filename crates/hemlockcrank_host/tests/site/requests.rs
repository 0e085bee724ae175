//! Writes run at most once: faults before, during and after each message to a database.

use std::time::Duration;

use hemlockcrank_standin::{Action, Fault, Point, Site};

use crate::fixture::{
    connect, eventually, group, outcome, save, save_marked, site, site_with, sqlstate, stored,
};

const POINTS: [Point; 3] = [Point::BeforeRun, Point::AfterRun, Point::MidAnswer];
const ACTIONS: [Action; 2] = [Action::Close, Action::Silence];
/// Each message of a write with a request id, identified by part of its text.
const MARKED_WRITE_MESSAGES: [&str; 5] = [
    "BEGIN",
    "SELECT attempt",
    "INSERT INTO hemlockcrank_marker",
    "INSERT INTO orders",
    "COMMIT",
];
/// Each message of a transaction that the caller opens, identified by part of its text.
const TRANSACTION_MESSAGES: [&str; 3] = ["BEGIN", "INSERT INTO orders", "COMMIT"];

fn arm(site: &Site, needle: &str, point: Point, action: Action) {
    let fault = Fault {
        needle: needle.to_owned(),
        point,
        action,
    };
    site.groups[0]
        .primary()
        .expect("primary")
        .inject_fault(fault);
}

/// Checks that the database agrees with the outcome reported to the caller; waits first, so that a
/// late commit is noticed too.
async fn check(
    site: &Site,
    id: &str,
    result: Result<(), tokio_postgres::Error>,
    allow_unknown: bool,
) {
    tokio::time::sleep(Duration::from_millis(30)).await;
    let count = stored(site, id);
    match result {
        Ok(()) => assert_eq!(count, 1, "{id} was acknowledged"),
        Err(error) => match outcome(&error).as_str() {
            "outcome: not run" => assert_eq!(count, 0, "{id}: {error:?}"),
            "outcome: ran" => assert_eq!(count, 1, "{id}: {error:?}"),
            "outcome: unknown" => assert!(allow_unknown && count <= 1, "{id}: {error:?}"),
            other => assert_eq!(other, "one of the three outcomes", "{id}: {error:?}"),
        },
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_without_a_request_id_never_reports_a_wrong_outcome() {
    let site = site().await;
    let mut number = 0;
    for point in POINTS {
        for action in ACTIONS {
            let client = connect(&site, number % 3).await;
            number += 1;
            let id = format!("plain-{number}");
            arm(&site, "INSERT INTO orders", point, action);

            let result = save(&client, &id).await.map(|_| ());

            check(&site, &id, result, true).await;
        }
    }
    assert_eq!(
        site.groups[0].primary().expect("primary").pending_faults(),
        0
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_with_a_request_id_always_has_a_known_outcome() {
    // Silent connections count against the members' connection limit until the members detect them.
    let site = site_with(group().connections(200, 1)).await;
    let mut number = 0;
    for needle in MARKED_WRITE_MESSAGES {
        for point in POINTS {
            for action in ACTIONS {
                let client = connect(&site, number % 3).await;
                number += 1;
                let id = format!("marked-{number}");
                arm(&site, needle, point, action);

                let result = save_marked(&client, &id).await;

                check(&site, &id, result, false).await;
                assert_eq!(stored(&site, &id), 1, "{needle} {point:?} {action:?}: {id}");
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_transaction_that_breaks_before_its_commit_was_not_run() {
    let site = site().await;
    let mut number = 0;
    for needle in TRANSACTION_MESSAGES {
        for point in POINTS {
            for action in ACTIONS {
                let mut client = connect(&site, number % 3).await;
                number += 1;
                let id = format!("transaction-{number}");
                arm(&site, needle, point, action);

                let result = async {
                    let transaction = client.transaction().await?;
                    let insert = format!("INSERT INTO orders (id, sign) VALUES ('{id}', 'x')");
                    transaction.batch_execute(&insert).await?;
                    transaction.commit().await
                }
                .await;

                check(&site, &id, result, needle == "COMMIT").await;
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ran_is_not_run_again_on_any_host() {
    let site = site().await;
    save_marked(&connect(&site, 0).await, "order-1")
        .await
        .expect("save");

    let client = connect(&site, 1).await;
    let set = "SET hemlockcrank.request_id = 'request-order-1'";
    client.batch_execute(set).await.expect("set");
    let repeated = client
        .batch_execute("INSERT INTO orders (id, sign) VALUES ('order-2', 'x')")
        .await;

    let refused = repeated.expect_err("it ran before");
    assert_eq!(
        (sqlstate(&refused).as_str(), outcome(&refused).as_str()),
        ("23505", "outcome: ran")
    );
    assert_eq!(stored(&site, "order-2"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_marked_write_survives_the_death_of_the_primary_under_it() {
    let site = site().await;
    for round in 0..3 {
        let old_primary = site.groups[0].primary().expect("primary").clone();
        let id = format!("order-{round}");
        arm(&site, "COMMIT", Point::AfterRun, Action::DelayMs(400));
        let client = connect(&site, round % 3).await;
        let kill_primary = async {
            eventually("the fault occurs", async || {
                old_primary.pending_faults() == 0
            })
            .await;
            old_primary.kill();
        };

        let (result, ()) = tokio::join!(save_marked(&client, &id), kill_primary);

        check(&site, &id, result, false).await;
        assert_eq!(stored(&site, &id), 1);
        old_primary.start();
        eventually("the old primary follows", async || {
            let primary = site.groups[0].primary().expect("primary");
            primary.name != old_primary.name && old_primary.last() == primary.last()
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_killed_in_a_transaction_leaves_nothing_stored() {
    let mut site = site().await;
    let mut client = connect(&site, 1).await;
    let transaction = client.transaction().await.expect("begin");
    let insert = "INSERT INTO orders (id, sign) VALUES ('order-1', 'x')";
    transaction.batch_execute(insert).await.expect("save");

    site.kill_host(1).await;

    let result = transaction.commit().await;
    assert!(result.is_err());
    assert_eq!(stored(&site, "order-1"), 0);
    save(&connect(&site, 0).await, "order-1")
        .await
        .expect("the id is free");
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced_and_no_write_runs_twice() {
    let site = site().await;
    let client = connect(&site, 0).await;
    for round in 0..3 {
        save(&client, &format!("before-{round}"))
            .await
            .expect("save");
        for member in site.groups[0].members() {
            member.silence_open_connections();
        }
        let id = format!("after-{round}");
        let result = save_marked(&client, &id).await;
        check(&site, &id, result, false).await;
        assert_eq!(stored(&site, &id), 1);
        assert!(crate::fixture::sees(&client, &id).await.expect("read"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_statement_is_not_taken_for_a_silent_connection() {
    let site = site().await;
    let client = connect(&site, 0).await;

    let row = client.query_one("SELECT pg_sleep(1.5)", &[]).await;

    assert!(row.is_ok(), "{row:?}");
}
