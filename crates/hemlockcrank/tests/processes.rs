//! End-to-end tests of daemons that run as separate processes with settings files.

#[path = "shared/pg_site.rs"]
mod pg_site;
#[path = "shared/process.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod process;

use std::{
    process::Command,
    time::{Duration, Instant},
};

use hemlockcrank_core::record::Kind;
use hemlockcrank_standin::fresh_folder;
use pg_site::{POLL_INTERVAL, READY_TIMEOUT, Site, connect, open_workspace, operator, start_site};

/// State of an established connection in the kernel's list of sockets.
const CONNECTED: &str = "01";

/// Waits until a caller's bytes wait unread at a stopped host.
async fn wait_for_unread_input(site: &Site, index: usize) {
    let address = site.settings[index].listen.caller.expect("an address");
    let port = format!(":{:04X}", address.port());
    let has_unread = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let queued = fields.get(4).and_then(|queues| queues.split_once(':'));
        let connected = fields.get(3) == Some(&CONNECTED);
        connected
            && fields.get(1).is_some_and(|local| local.ends_with(&port))
            && queued.is_some_and(|(_, unread)| unread.bytes().any(|digit| digit != b'0'))
    };
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let sockets = std::fs::read_to_string("/proc/net/tcp").expect("list of sockets");
        if sockets.lines().skip(1).any(has_unread) {
            return;
        }
        assert!(Instant::now() < deadline, "no input arrived");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn save(client: &tokio_postgres::Client, id: &str) {
    let insert = "INSERT INTO orders (id, sign) VALUES ($1, $2)";
    let count = client.execute(insert, &[&id, &"brass"]).await;
    assert_eq!(count.expect("save"), 1);
}

async fn read(client: &tokio_postgres::Client, id: &str) -> String {
    let query = "SELECT sign FROM orders WHERE id = $1";
    let row = client.query_one(query, &[&id]).await.expect("read");
    row.get(0)
}

const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS orders (id text PRIMARY KEY, sign text)";

#[tokio::test(flavor = "multi_thread")]
async fn serves_before_and_after_a_host_is_killed() {
    let mut site = start_site().await;
    open_workspace(&site).await;
    let client = connect(&site, 0).await;
    client.batch_execute(CREATE_TABLE).await.expect("table");
    save(&client, "order-1").await;
    assert_eq!(read(&connect(&site, 1).await, "order-1").await, "brass");

    site.processes[0].kill();

    let client = connect(&site, 1).await;
    save(&client, "order-2").await;
    let other = connect(&site, 2).await;
    assert_eq!(read(&other, "order-1").await, "brass");
    assert_eq!(read(&other, "order-2").await, "brass");
    let simple = other
        .simple_query("SELECT sign FROM orders WHERE id = 'order-2'")
        .await;
    // The column description, the row and the end of the command.
    assert_eq!(simple.expect("simple query").len(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_cuts_no_transaction() {
    let mut site = start_site().await;
    open_workspace(&site).await;
    let mut client = connect(&site, 1).await;
    client.batch_execute(CREATE_TABLE).await.expect("table");
    let transaction = client.transaction().await.expect("begin");
    transaction
        .execute(
            "INSERT INTO orders (id, sign) VALUES ('order-3', 'enamel')",
            &[],
        )
        .await
        .expect("save");

    site.processes[1].signal("-TERM");
    tokio::time::sleep(Duration::from_millis(500)).await;
    transaction
        .execute(
            "INSERT INTO orders (id, sign) VALUES ('order-4', 'neon')",
            &[],
        )
        .await
        .expect("statement in the open transaction");
    transaction.commit().await.expect("commit");

    assert_eq!(site.processes[1].wait_for_exit().await, Some(0));
    let other = connect(&site, 2).await;
    assert_eq!(read(&other, "order-3").await, "enamel");
    assert_eq!(read(&other, "order-4").await, "neon");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_was_stopped_serves_nothing_on_its_old_lease() {
    let site = start_site().await;
    open_workspace(&site).await;
    let client = connect(&site, 2).await;
    client.batch_execute(CREATE_TABLE).await.expect("table");

    site.processes[2].signal("-STOP");
    let operator = operator(&site, 0);
    let withdrawn = operator.withdraw(Kind::Key, "khedive-1", 1).await;
    let index = withdrawn.expect("withdraw").index;
    operator
        .wait_in_force(index, |_| {})
        .await
        .expect("in force");
    let insert = tokio::spawn(async move {
        client
            .batch_execute("INSERT INTO orders (id, sign) VALUES ('late', 'x')")
            .await
    });
    wait_for_unread_input(&site, 2).await;
    site.processes[2].signal("-CONT");

    let error = insert
        .await
        .expect("task")
        .expect_err("the key is withdrawn");
    // 57P03: the host has no lease. 28000: the key of the connection was withdrawn.
    let code = error.code().map(|code| code.code().to_owned());
    assert!(
        matches!(code.as_deref(), Some("57P03" | "28000")),
        "{error:?}"
    );
}

#[test]
fn bad_settings_are_reported_with_their_line_and_exit_status_2() {
    let folder = fresh_folder();
    std::fs::create_dir_all(&folder).expect("folder");
    let file = folder.join("bad.json");
    std::fs::write(&file, "{\n  \"host\": \"a\",\n  \"zoone\": \"z\"\n}").expect("file");

    let output = Command::new(env!("CARGO_BIN_EXE_hemlockcrank"))
        .arg("check")
        .arg(&file)
        .output()
        .expect("daemon");

    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    assert!(text.contains("zoone") && text.contains(":3:"), "{text}");
    let _ = std::fs::remove_dir_all(&folder);
}
