//! Statements to members that a link holds: one that was given up does not arrive when it is released.

#[path = "../../../platform/tests/fixture/link.rs"]
#[expect(dead_code, reason = "the tests of the platform use the rest")]
mod link;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use hemlockcrank_host::{
    settings::Upstream,
    upstream::{ConnectOptions, Connection},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use link::Link;

const LOCAL_IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Maximum wait for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which what is passed on arrives.
const QUIET: Duration = Duration::from_millis(500);
/// AuthenticationOk and ReadyForQuery.
const WELCOME: &[u8] = b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I";

/// A member that opens every session and answers no statement, and the bytes that it has received.
async fn start_member() -> (SocketAddr, Arc<Mutex<Vec<u8>>>) {
    let listener = TcpListener::bind((LOCAL_IP, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let received = Arc::<Mutex<Vec<u8>>>::default();
    let bytes = Arc::clone(&received);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&bytes)));
        }
    });
    (address, received)
}

async fn serve(mut stream: TcpStream, received: Arc<Mutex<Vec<u8>>>) {
    let mut bytes = vec![0; 4_096];
    let mut welcomed = false;
    while let Ok(length @ 1..) = stream.read(&mut bytes).await {
        let new = &bytes[..length];
        received.lock().expect("a lock").extend_from_slice(new);
        if !welcomed && stream.write_all(WELCOME).await.is_err() {
            return;
        }
        welcomed = true;
    }
}

fn options() -> ConnectOptions {
    ConnectOptions {
        local_address: LOCAL_IP,
        credential: Upstream {
            user: "u".into(),
            password: "p".into(),
        },
        message_bytes: 1_024,
        answer_limit: Duration::from_millis(300),
    }
}

/// Releases the link once the sender has reset the connection, or some time after; returns whether it
/// has, and what the member has received in the end.
async fn release(link: &Link, received: &Mutex<Vec<u8>>) -> (bool, String) {
    let reset = timeout(CONDITION_TIMEOUT, async {
        while link.resets() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
    });
    let is_reset = reset.await.is_ok();
    link.release();
    sleep(QUIET).await;
    let received = received.lock().expect("a lock");
    (is_reset, String::from_utf8_lossy(&received).into_owned())
}

/// Guards against a write that is made long after its caller was told that the outcome is unknown.
#[tokio::test]
async fn a_statement_that_was_given_up_never_arrives() {
    let (member, received) = start_member().await;
    let link = Link::start(LOCAL_IP, member).await;
    let opened = Connection::open(&options(), link.address, "d").await;
    let mut connection = opened.expect("a connection");
    link.hold_at("late");

    let answer = connection.query("INSERT late").await;
    drop(connection);
    let (is_reset, received) = release(&link, &received).await;

    assert!(answer.is_err());
    assert!(link.held_bytes() > 0, "the statement was sent");
    assert!(!received.contains("late"), "the statement arrived");
    assert!(is_reset);
}

/// Guards against a session that is opened for nobody, and uses a place of the member.
#[tokio::test]
async fn a_connection_that_was_given_up_is_not_opened() {
    let (member, received) = start_member().await;
    let link = Link::start(LOCAL_IP, member).await;
    link.hold();

    let opened = Connection::open(&options(), link.address, "d").await;
    let (is_reset, received) = release(&link, &received).await;

    assert!(opened.is_err());
    assert!(link.held_bytes() > 0, "the request was sent");
    assert_eq!(received, "");
    assert!(is_reset);
}

/// Guards against the mend: a connection that is closed in order ends with its last message.
#[tokio::test]
async fn a_connection_that_is_closed_in_order_says_so() {
    let (member, received) = start_member().await;
    let opened = Connection::open(&options(), member, "d").await;

    opened.expect("a connection").close().await;

    let terminated = timeout(CONDITION_TIMEOUT, async {
        while !received.lock().expect("a lock").ends_with(b"X\0\0\0\x04") {
            sleep(Duration::from_millis(5)).await;
        }
    });
    terminated.await.expect("a Terminate message");
}
