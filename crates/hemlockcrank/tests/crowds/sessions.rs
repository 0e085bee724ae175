//! Crowds of callers on a platform's line protocol.

use crate::{
    caller::{Caller, Outcome},
    crowd::{Crowd, Script},
    site::{LARGE_ITEM, Limits, START, Site, check_usage},
    turn,
};

/// Callers in a crowd.
const CROWD: usize = 200;
/// Size of a large message inside the limit of 1 MiB, in bytes.
const LARGE: usize = 1_000_000;
/// Size of a message far over the limit, in bytes.
const FAR_OVER: usize = 8_000_000;
/// Bound on open descriptors beside a crowd.
const MAX_DESCRIPTORS: usize = 300;

/// The first bytes of a large write.
fn unfinished() -> Vec<u8> {
    let mut message = b"QUERY 5c0e WRITE item ".to_vec();
    message.resize(LARGE, b'v');
    message
}

fn finished() -> Vec<u8> {
    let mut message = unfinished();
    message.extend_from_slice(b"\r\n");
    message
}

/// Runs a crowd at the entry host, and checks it while the crowd's connections are open.
async fn check_beside(script: Script) {
    let site = Site::start(Limits::default()).await;
    site.add_large_item(LARGE);

    let crowd = Crowd::run(site.callers, CROWD, script).await;

    assert_eq!(crowd.len(), CROWD);
    site.check_serves().await;
    check_usage(&site.entry_host, MAX_DESCRIPTORS).await;
    site.check_serves().await;
}

/// Guards against input buffers of all sessions together that outgrow the host's memory.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_large_messages_in_one_piece() {
    let _turn = turn().await;
    check_beside(Script::new(START, unfinished())).await;
}

/// Guards against the same, where every message grows a little at a time.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_large_messages_in_small_pieces() {
    let _turn = turn().await;
    check_beside(Script::new(START, unfinished()).in_small_pieces()).await;
}

/// Guards against large messages that wait for a connection to a member.
#[tokio::test(flavor = "multi_thread")]
async fn finished_large_messages_in_one_piece() {
    let _turn = turn().await;
    check_beside(Script::new(START, finished())).await;
}

/// Guards against the same, where every message arrives in small pieces.
#[tokio::test(flavor = "multi_thread")]
async fn finished_large_messages_in_small_pieces() {
    let _turn = turn().await;
    check_beside(Script::new(START, finished()).in_small_pieces()).await;
}

/// Guards against input that is kept although it can no longer become a message.
#[tokio::test(flavor = "multi_thread")]
async fn messages_far_over_the_limit() {
    let _turn = turn().await;
    check_beside(Script::new(START, vec![b'v'; FAR_OVER])).await;
}

/// Guards against statements and answers that pile up at sessions which send ahead and never read.
#[tokio::test(flavor = "multi_thread")]
async fn small_messages_sent_ahead() {
    let _turn = turn().await;
    let message = "QUERY 5c0e READ item\r\n".repeat(2_000);
    check_beside(Script::new(START, message.into())).await;
}

/// Guards against large answers that are kept for callers which never read.
#[tokio::test(flavor = "multi_thread")]
async fn large_answers_that_are_never_read() {
    let _turn = turn().await;
    let message = format!("QUERY 5c0e READ {LARGE_ITEM}\r\n").repeat(20);
    check_beside(Script::new(START, message.into())).await;
}

/// Guards against session values of legal size and number that together outgrow the host's memory.
#[tokio::test(flavor = "multi_thread")]
async fn large_values_that_sessions_keep() {
    const SESSIONS: usize = 10;
    const VALUES: usize = 20;
    let _turn = turn().await;
    let site = Site::start(Limits::default()).await;
    let value = "v".repeat(LARGE);
    let set = |number: usize| format!("QUERY 5c0e SET name{number} {value}\r\n");
    let message: String = (0..VALUES).map(set).collect();

    let crowd = Crowd::run(site.callers, SESSIONS, Script::new(START, message.into())).await;

    assert_eq!(crowd.len(), SESSIONS);
    site.check_serves().await;
    check_usage(&site.entry_host, MAX_DESCRIPTORS).await;
    site.check_serves().await;
}

/// Guards against sessions that stop in the middle of a message and are kept for ever.
#[tokio::test(flavor = "multi_thread")]
async fn senders_that_stop_half_way() {
    const MAX_SESSIONS: u32 = 50;
    const SENDERS: usize = 60;
    let _turn = turn().await;
    let limits = Limits {
        callers: Some(MAX_SESSIONS),
        ..Limits::default()
    };
    let site = Site::start(limits).await;

    let script = Script::new(START, b"QUERY 5c0e WRITE item".to_vec());
    let crowd = Crowd::run(site.callers, SENDERS, script).await;

    assert_eq!(crowd.len(), SENDERS);
    site.check_serves().await;
    check_usage(&site.entry_host, MAX_DESCRIPTORS).await;
}

/// Guards against sessions that use up the descriptors which the host needs for members and peers.
#[tokio::test(flavor = "multi_thread")]
async fn more_sessions_than_descriptors() {
    const DESCRIPTORS: u32 = 300;
    const ROOM: usize = 30;
    let _turn = turn().await;
    let limits = Limits {
        descriptors: Some(DESCRIPTORS),
        ..Limits::default()
    };
    let site = Site::start(limits).await;
    let mut session = Caller::open(site.callers, "orders", "k0")
        .await
        .expect("session");

    let _crowd = Crowd::run(site.callers, 400, Script::new(START, Vec::new())).await;

    let answer = session.query("READ item").await;
    assert!(
        matches!(Outcome::parse(&answer), Outcome::Done(_)),
        "{answer}"
    );
    check_usage(&site.entry_host, DESCRIPTORS as usize - ROOM).await;
}

/// Guards against a budget that refuses what the limits allow: one large message in calm is served.
#[tokio::test(flavor = "multi_thread")]
async fn one_large_message_is_served_in_calm() {
    let _turn = turn().await;
    let site = Site::start(Limits::default()).await;
    let mut session = Caller::open(site.callers, "orders", "k0")
        .await
        .expect("session");

    let wrote = session
        .query(&format!("WRITE item {}", "v".repeat(LARGE)))
        .await;
    let read = session.query("READ item").await;

    assert!(
        matches!(Outcome::parse(&wrote), Outcome::Done(_)),
        "{wrote}"
    );
    assert!(matches!(Outcome::parse(&read), Outcome::Done(rows) if rows[0].len() == LARGE));
}
