//! Zones, databases and hosts that are taken out of service and return.

use std::time::Duration;

use hemlockcrank_core::record::Kind;
use hemlockcrank_host::settings::Limits;
use hemlockcrank_standin::SiteSettings;

use crate::fixture::{
    DATABASE, EVENTUALLY_LIMIT, connect, eventually, group, outcome, save, sees, site, site_from,
    sqlstate, stored,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_taken_out_gets_no_new_work_and_its_primary_moves() {
    let site = site().await;
    let operator = site.operator(1);
    let client_in_zone = connect(&site, 0).await;
    let client_elsewhere = connect(&site, 1).await;
    save(&client_elsewhere, "order-1").await.expect("save");

    let removal = operator
        .submit(Kind::Zone, "z1", 1, r#"{"in_service": false}"#)
        .await;
    let removal = removal.expect("take the zone out of service");
    operator
        .wait_in_force(removal.index, |_| {})
        .await
        .expect("in force");
    let members = site.groups[0].members();
    eventually("the primary moves", async || {
        site.groups[0]
            .primary()
            .is_some_and(|primary| &*primary.zone != "z1")
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let statements_before = members[0].statement_count();
    for round in 0..10 {
        let id = format!("moved-{round}");
        save(&client_elsewhere, &id).await.expect("save");
        assert!(sees(&client_elsewhere, &id).await.expect("read"));
    }

    assert_eq!(
        members[0].statement_count(),
        statements_before,
        "a member of the zone received statements"
    );
    assert!(
        save(&client_in_zone, "order-2").await.is_err(),
        "a host of the zone accepted a write"
    );
    assert_eq!(stored(&site, "order-2"), 0);

    let readmission = operator
        .revise(Kind::Zone, "z1", 2, r#"{"state": "in_service"}"#, 1)
        .await;
    let readmission = readmission.expect("return the zone to service");
    operator
        .wait_in_force(readmission.index, |_| {})
        .await
        .expect("in force");
    let returned = connect(&site, 0).await;
    save(&returned, "order-3").await.expect("save");
    assert!(sees(&returned, "order-1").await.expect("read"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_database_taken_out_gets_no_new_work_and_finishes_what_is_open() {
    let site = site().await;
    let mut client = connect(&site, 0).await;
    let other = connect(&site, 1).await;
    let transaction = client.transaction().await.expect("begin");
    let insert = "INSERT INTO orders (id, sign) VALUES ('open', 'x')";
    transaction.batch_execute(insert).await.expect("save");
    let operator = site.operator(2);

    let removal = operator
        .submit(Kind::Database, DATABASE, 2, r#"{"state": "out"}"#)
        .await;
    let removal = removal.expect("take the database out of service");
    operator
        .wait_in_force(removal.index, |_| {})
        .await
        .expect("in force");

    let refused = save(&other, "order-1").await.expect_err("out of service");
    assert_eq!(
        (sqlstate(&refused).as_str(), outcome(&refused).as_str()),
        ("57P03", "outcome: not run")
    );
    transaction
        .commit()
        .await
        .expect("an open transaction ends");
    assert_eq!((stored(&site, "order-1"), stored(&site, "open")), (0, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_under_load_cuts_no_request() {
    let mut site = site().await;
    let clients = [
        connect(&site, 2).await,
        connect(&site, 2).await,
        connect(&site, 2).await,
    ];
    let load = clients
        .into_iter()
        .enumerate()
        .map(|(number, client)| async move {
            let mut results = Vec::new();
            for round in 0..400 {
                let id = format!("order-{number}-{round}");
                match save(&client, &id).await {
                    Ok(_) => results.push((id, true)),
                    Err(error) => {
                        let closed = client.is_closed() || sqlstate(&error) == "57P01";
                        assert!(closed, "{error:?}");
                        results.push((id, false));
                        break;
                    }
                }
            }
            results
        });
    let load = futures_util::future::join_all(load);
    let host = site.take_daemon(2).expect("host");
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        host.shut_down().await;
    };

    let (results, ()) = tokio::join!(load, stopping);

    for (id, acknowledged) in results.into_iter().flatten() {
        assert_eq!(stored(&site, &id), usize::from(acknowledged), "{id}");
    }
    let host_state = site.daemon(0).expect("host").context().control.host_state();
    assert!(
        host_state.state.view.get("host-3").is_none(),
        "the stopped host is still in the view"
    );
}

/// Guards against an open transaction that goes on until the process ends and is cut then.
#[tokio::test(flavor = "multi_thread")]
async fn an_open_transaction_is_ended_by_a_shutdown_and_its_caller_is_told() {
    let mut settings = SiteSettings::new(&["z1", "z2", "z3"], vec![group()]);
    settings.limits = Limits {
        drain_ms: 120_000,
        transaction_drain_ms: 500,
        ..Limits::default()
    };
    let mut site = site_from(settings).await;
    let client = connect(&site, 2).await;
    client.batch_execute("BEGIN").await.expect("begin");
    save(&client, "open").await.expect("save");
    let host = site.take_daemon(2).expect("host");

    let stopped = tokio::time::timeout(EVENTUALLY_LIMIT, host.shut_down()).await;

    assert!(stopped.is_ok(), "the shutdown waits for the transaction");
    let refused = save(&client, "late").await.expect_err("the host has left");
    assert!(
        client.is_closed() || sqlstate(&refused) == "57P01",
        "{refused:?}"
    );
    assert_eq!((stored(&site, "open"), stored(&site, "late")), (0, 0));
}
