//! Freshness of reads: read-your-writes, session tokens on other hosts, maximum ages, open
//! services.

use std::time::Duration;

use hemlockcrank_core::record::Kind;

use crate::fixture::{
    KEY, SERVICE, WORKSPACE, connect, group, save, sees, site, site_with, stored,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_read_after_a_save_sees_it_through_every_host_with_lag_and_a_frozen_replica() {
    let site = site_with(group().lag_ms(120)).await;
    site.groups[0].members()[2].set_frozen(true);
    let writer = connect(&site, 0).await;
    let readers = [
        connect(&site, 0).await,
        connect(&site, 1).await,
        connect(&site, 2).await,
    ];

    for round in 0..8 {
        let id = format!("order-{round}");
        save(&writer, &id).await.expect("save");
        for reader in &readers {
            assert!(
                sees(reader, &id).await.expect("read"),
                "the read does not see {id}"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_token_makes_a_read_on_another_host_see_the_save_and_replicas_serve_it() {
    let site = site().await;
    let writer = connect(&site, 0).await;
    save(&writer, "order-1").await.expect("save");
    let token = writer
        .query_one("SHOW hemlockcrank.session", &[])
        .await
        .expect("token");
    let token: String = token.get(0);
    let reader = connect(&site, 1).await;
    reader
        .batch_execute(&format!("SET hemlockcrank.session = '{token}'"))
        .await
        .expect("set");
    let primary = site.groups[0].primary().expect("primary").clone();
    let statements_before = primary.statement_count();

    for _ in 0..20 {
        assert!(sees(&reader, "order-1").await.expect("read"));
    }

    assert_eq!(
        primary.statement_count(),
        statements_before,
        "the primary served reads"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_maximum_age_allows_stale_reads_until_it_is_cleared() {
    let site = site_with(group().lag_ms(60)).await;
    let writer = connect(&site, 0).await;
    let reader = connect(&site, 1).await;
    reader
        .batch_execute("SET hemlockcrank.max_age = '20s'")
        .await
        .expect("set");
    save(&writer, "order-1").await.expect("save");
    for member in &site.groups[0].members()[1..] {
        member.set_lag_ms(600_000);
    }
    let delayed_save = tokio::spawn(async move { save(&writer, "order-2").await });
    tokio::time::sleep(Duration::from_millis(300)).await;

    assert!(
        !sees(&reader, "order-2")
            .await
            .expect("an old answer is allowed")
    );
    reader
        .batch_execute("SET hemlockcrank.max_age = ''")
        .await
        .expect("set");
    for member in &site.groups[0].members()[1..] {
        member.set_lag_ms(5);
    }
    assert!(delayed_save.await.expect("task").is_ok());
    assert!(sees(&reader, "order-2").await.expect("read"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_open_service_serves_reads_without_a_key_and_nothing_else() {
    let site = site().await;
    let operator = site.operator(0);
    let record = operator
        .record(Kind::Service, SERVICE)
        .await
        .expect("service");
    let text = r#"{"access": "open", "open_max_age_ms": 5000}"#;
    let accepted = operator
        .revise(Kind::Service, SERVICE, 2, text, record.revision)
        .await;
    let index = accepted.expect("revise").index;
    operator
        .wait_in_force(index, |_| {})
        .await
        .expect("in force");
    save(&connect(&site, 0).await, "order-1")
        .await
        .expect("save");

    let client = site
        .connect(1, WORKSPACE, "", SERVICE)
        .await
        .expect("no key is needed");
    let sees_order = async || sees(&client, "order-1").await.expect("read");
    crate::fixture::eventually("an open read sees the save", sees_order).await;
    let refused = save(&client, "order-2")
        .await
        .expect_err("open routes only read");

    assert_eq!(crate::fixture::sqlstate(&refused), "25006");
    assert_eq!(stored(&site, "order-2"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_database_ever_sees_a_callers_key() {
    let site = site().await;
    save(&connect(&site, 0).await, "order-1")
        .await
        .expect("save");
    let refused = site.connect(0, WORKSPACE, "a-wrong-key", SERVICE).await;
    assert!(refused.is_err());

    let passwords = site.groups[0].presented_credentials().passwords;

    assert!(!passwords.contains(KEY) && !passwords.contains("a-wrong-key"));
    assert_eq!(passwords.len(), 1);
}
