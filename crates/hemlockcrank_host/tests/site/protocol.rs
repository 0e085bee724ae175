//! The PostgreSQL protocol for callers: session state across connections, cancel requests,
//! malformed input.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use hemlockcrank_standin::{Action, Fault, Point};
use tokio_postgres::SimpleQueryMessage;

use crate::fixture::{
    SERVICE, WORKSPACE, connect, group, outcome, save, sees, site, site_with, sqlstate,
};

#[tokio::test(flavor = "multi_thread")]
async fn statements_of_one_transaction_never_mix_with_anothers() {
    let site = site().await;
    let mut first = connect(&site, 0).await;
    let mut second = connect(&site, 0).await;
    let first_transaction = first.transaction().await.expect("begin");
    let second_transaction = second.transaction().await.expect("begin");
    for number in 0..5 {
        let insert = |name: &str| format!("INSERT INTO orders (id) VALUES ('{name}-{number}')");
        first_transaction
            .batch_execute(&insert("one"))
            .await
            .expect("save");
        second_transaction
            .batch_execute(&insert("two"))
            .await
            .expect("save");
    }

    first_transaction.rollback().await.expect("rollback");
    second_transaction.commit().await.expect("commit");

    let reader = connect(&site, 1).await;
    for number in 0..5 {
        assert!(!sees(&reader, &format!("one-{number}")).await.expect("read"));
        assert!(sees(&reader, &format!("two-{number}")).await.expect("read"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn prepared_statements_follow_the_session_from_connection_to_connection() {
    let site = site().await;
    let client = connect(&site, 0).await;
    let others = [connect(&site, 0).await, connect(&site, 0).await];
    let insert = client
        .prepare("INSERT INTO orders (id, sign) VALUES ($1, $2)")
        .await;
    let insert = insert.expect("prepare");
    let select = client
        .prepare("SELECT sign FROM orders WHERE id = $1")
        .await
        .expect("prepare");

    for round in 0..20 {
        let id = format!("order-{round}");
        client
            .execute(&insert, &[&id, &"neon"])
            .await
            .expect("save");
        for other in &others {
            assert!(sees(other, &id).await.expect("read"));
        }
        let row = client.query_one(&select, &[&id]).await.expect("read");
        assert_eq!(row.get::<_, &str>(0), "neon");
    }
    client
        .simple_query("SELECT * FROM missing")
        .await
        .expect_err("no such table");
    client
        .execute(&insert, &[&"last", &"x"])
        .await
        .expect("save after an error");
}

#[tokio::test(flavor = "multi_thread")]
async fn each_caller_gets_its_own_whole_answer_though_answers_are_late_or_cut() {
    let site = site_with(group().connections(60, 1)).await;
    let writer = connect(&site, 0).await;
    for number in 0..40 {
        save(&writer, &format!("order-{number}"))
            .await
            .expect("save");
    }
    let actions = [Action::DelayMs(150), Action::Close, Action::DelayMs(60)];
    for number in 0..40 {
        for member in site.groups[0].members() {
            member.inject_fault(Fault {
                needle: format!("'order-{number}'"),
                point: [Point::AfterRun, Point::MidAnswer][number % 2],
                action: actions[number % 3],
            });
        }
    }
    let reads = (0..40).map(|number| {
        let site = &site;
        async move {
            let client = connect(site, number % 3).await;
            for _ in 0..6 {
                let id = format!("order-{number}");
                let query = format!("SELECT id FROM orders WHERE id = '{id}'");
                match client.simple_query(&query).await {
                    Ok(messages) => {
                        let rows = messages.iter().filter_map(|message| match message {
                            SimpleQueryMessage::Row(row) => row.get(0),
                            _ => None,
                        });
                        assert_eq!(rows.collect::<Vec<_>>(), [id.as_str()]);
                    }
                    Err(error) => assert_eq!(outcome(&error), "outcome: not run", "{error:?}"),
                }
            }
        }
    });

    futures_util::future::join_all(reads).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_transaction_stays_failed_until_its_end() {
    let site = site().await;
    let client = connect(&site, 0).await;
    client.batch_execute("BEGIN").await.expect("begin");
    client
        .batch_execute("SELECT * FROM missing")
        .await
        .expect_err("no such table");

    let refused = save(&client, "order-1").await.expect_err("aborted");
    assert_eq!(sqlstate(&refused), "25P02");
    client.batch_execute("ROLLBACK").await.expect("rollback");
    save(&client, "order-1").await.expect("save");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_request_reaches_the_statement() {
    let site = site().await;
    let client = connect(&site, 0).await;
    let cancel = client.cancel_token();
    let send_cancel = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        cancel
            .cancel_query(tokio_postgres::NoTls)
            .await
            .expect("cancel");
    };

    let (result, ()) = tokio::join!(client.simple_query("SELECT pg_sleep(60)"), send_cancel);

    assert_eq!(sqlstate(&result.expect_err("canceled")), "57014");
    save(&client, "order-1")
        .await
        .expect("the session continues");
}

#[tokio::test(flavor = "multi_thread")]
async fn unsupported_statements_and_wrong_settings_are_refused_clearly() {
    let site = site().await;
    let client = connect(&site, 0).await;
    for (text, code) in [
        ("COPY orders FROM STDIN", "0A000"),
        ("SET hemlockcrank.max_age = 'soon'", "22023"),
        ("SET hemlockcrank.nonsense = '1'", "22023"),
        ("SET hemlockcrank.session = 'x'", "22023"),
        ("INSERT INTO", "42601"),
    ] {
        let refused = client.batch_execute(text).await.expect_err(text);
        assert_eq!(sqlstate(&refused), code, "{text}");
    }
    save(&client, "order-1")
        .await
        .expect("the session continues");
    for (workspace, key, service) in [
        (WORKSPACE, "wrong", SERVICE),
        ("nobody", "x", SERVICE),
        (WORKSPACE, "khedive-key", "elsewhere"),
    ] {
        assert!(site.connect(0, workspace, key, service).await.is_err());
    }
}

/// Sends bytes and reads until the host closes the connection, or until a timeout if the host waits
/// for more.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(bytes).await.expect("write");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_millis(300), read).await;
    answer
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_bytes_on_any_listener_get_an_error_and_the_host_keeps_serving() {
    let site = site().await;
    let startup = b"\0\0\0\x1d\0\x03\0\0user\0khedive\0\0";
    let mut oversized = Vec::from(&startup[..]);
    oversized.extend_from_slice(b"p\x7f\xff\xff\xff");
    let inputs: [&[u8]; 7] = [
        b"",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\0\0\0\x04",
        b"\xff\xff\xff\xff\0\x03\0\0",
        b"\0\0\0\x08\x04\xd2\x16\x2f",
        b"\0\0\0\x09\0\x03\0\0\0",
        &oversized,
    ];
    let listeners = [
        site.settings[0].listen.caller.expect("a caller listener"),
        site.settings[0].listen.peer,
        site.settings[0].listen.operator,
    ];
    for listener in listeners {
        for input in inputs {
            send_raw(listener, input).await;
        }
    }

    let http = reqwest::Client::new();
    let url = |path: &str| format!("http://{}{path}", site.settings[0].listen.operator);
    for (path, token, body, status) in [
        ("/v1/changes", "operator-secret", "{", 400),
        ("/v1/changes", "operator-secret", "{\"op\": \"a\"}", 400),
        ("/v1/changes", "wrong", "{}", 401),
        ("/v1/announcements", "platform-secret", "[]", 400),
        ("/v1/announcements", "operator-secret", "{}", 401),
    ] {
        let request = http.post(url(path)).bearer_auth(token).body(body);
        let response = request
            .header("content-type", "application/json")
            .send()
            .await;
        assert_eq!(
            response.expect("answer").status().as_u16(),
            status,
            "{path} {body}"
        );
    }
    let ready = http.get(url("/ready")).send().await.expect("answer");
    assert!(ready.status().is_success());
    let metrics = http.get(url("/metrics")).send().await.expect("answer");
    assert!(
        metrics
            .text()
            .await
            .expect("text")
            .contains("hemlockcrank_writes")
    );
    save(&connect(&site, 0).await, "order-1")
        .await
        .expect("save");
}
