//! Crowds at the other ports: the PostgreSQL protocol, both HTTP interfaces and the port for peers.

use std::net::SocketAddr;

use crate::{
    crowd::{Crowd, Script},
    pg_site,
    site::{Limits, Site, check_usage},
    turn,
};

/// Clients in a crowd that each send a message of [`LARGE`] bytes.
const CROWD: usize = 200;
/// Size of a large message, in bytes.
const LARGE: usize = 1_000_000;
/// Bound on open descriptors beside a crowd.
const MAX_DESCRIPTORS: usize = 300;
/// Largest payload of an HTTP/2 frame, in bytes.
const FRAME_BYTES: usize = 16_384;

/// A request of this length whose last byte is never sent.
fn unfinished_request(head: &str, length: usize) -> Vec<u8> {
    let head = format!("{head} HTTP/1.1\r\nHost: host\r\nContent-Type: application/json\r\n");
    let mut request = format!("{head}Content-Length: {length}\r\n\r\n").into_bytes();
    request.resize(request.len() + length - 1, b' ');
    request
}

/// Guards against passwords of callers that nobody has identified yet.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_large_messages_on_the_postgresql_protocol() {
    let _turn = turn().await;
    let site = pg_site::start_site().await;
    pg_site::open_workspace(&site).await;
    let address = site.settings[0].listen.caller.expect("address");
    let parameters = b"user\0khedive\0database\0ledger\0\0";
    let length = u32::try_from(parameters.len() + 8).expect("length");
    let version = 196_608_u32;
    let mut opening = [length.to_be_bytes(), version.to_be_bytes()].concat();
    opening.extend_from_slice(parameters);
    let mut message = vec![b'p'];
    message.extend_from_slice(&u32::try_from(LARGE).expect("length").to_be_bytes());
    message.resize(LARGE, b'v');
    let script = Script {
        opening,
        ..Script::new("", message)
    };

    let crowd = Crowd::run(address, CROWD, script).await;

    assert_eq!(crowd.len(), CROWD);
    check_usage(&site.processes[0], MAX_DESCRIPTORS).await;
    let caller = pg_site::connect(&site, 0).await;
    caller
        .batch_execute("CREATE TABLE IF NOT EXISTS signs (id text PRIMARY KEY)")
        .await
        .expect("an ordinary statement");
}

/// Guards against bodies that are taken in before the operator's token is checked.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_requests_of_operators() {
    const REQUESTS: usize = 700;
    const BODY_BYTES: usize = 250_000;
    const MAX_DESCRIPTORS: usize = 800;
    let _turn = turn().await;
    let site = Site::start(Limits::default()).await;

    let request = unfinished_request("POST /v1/changes", BODY_BYTES);
    let crowd = Crowd::run(site.operators, REQUESTS, Script::new("", request)).await;

    assert_eq!(crowd.len(), REQUESTS);
    site.check_operators().await;
    check_usage(&site.entry_host, MAX_DESCRIPTORS).await;
    site.check_serves().await;
}

/// Guards against large configurations that are never finished.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_requests_of_the_platform() {
    const REQUESTS: usize = 50;
    const BODY_BYTES: usize = 4_000_000;
    let _turn = turn().await;
    let site = Site::start(Limits::default()).await;

    let request = unfinished_request("PUT /config", BODY_BYTES);
    let crowd = Crowd::run(site.control, REQUESTS, Script::new("", request)).await;

    assert_eq!(crowd.len(), REQUESTS);
    site.check_control().await;
    check_usage(&site.control_host, MAX_DESCRIPTORS).await;
    site.check_serves().await;
}

/// An HTTP/2 frame on the first stream, or on the connection for settings.
fn frame(kind: u8, payload: &[u8]) -> Vec<u8> {
    const SETTINGS: u8 = 4;
    let length = u32::try_from(payload.len()).expect("length").to_be_bytes();
    let stream = u8::from(kind != SETTINGS);
    let mut frame = length[1..].to_vec();
    frame.extend_from_slice(&[kind, 0, 0, 0, 0, stream]);
    frame.extend_from_slice(payload);
    frame
}

/// The beginning of an HTTP/2 connection with one header of almost [`LARGE`] bytes, which never ends.
fn unfinished_header() -> Vec<u8> {
    const SETTINGS: u8 = 4;
    const HEADERS: u8 = 1;
    const CONTINUATION: u8 = 9;
    // A literal header with the name `a` and a value of 127 + 0x1f_ffff bytes.
    const HEADER_START: [u8; 7] = [0x00, 0x01, b'a', 0x7f, 0xff, 0xff, 0x7f];
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    bytes.extend(frame(SETTINGS, &[]));
    bytes.extend(frame(HEADERS, &HEADER_START));
    while bytes.len() < LARGE {
        bytes.extend(frame(CONTINUATION, &[b'v'; FRAME_BYTES]));
    }
    bytes
}

/// Guards against headers of clients that do not prove that they know the peer secret.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_headers_at_the_port_for_peers() {
    let _turn = turn().await;
    let site = Site::start(Limits::default()).await;

    let script = Script::new("", unfinished_header());
    let crowd = Crowd::run(site.peers[0], CROWD, script).await;

    assert_eq!(crowd.len(), CROWD);
    site.check_serves().await;
    check_usage(&site.control_host, MAX_DESCRIPTORS).await;
    site.check_serves().await;
}

/// Guards against idle connections to other ports that leave no descriptor for callers.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_to_every_other_port() {
    const DESCRIPTORS: u32 = 300;
    const ROOM: usize = 30;
    const CONNECTIONS: usize = 150;
    let _turn = turn().await;
    let limits = Limits {
        descriptors: Some(DESCRIPTORS),
        ..Limits::default()
    };
    let site = Site::start(limits).await;
    let addresses: [SocketAddr; 3] = [site.peers[1], site.operators, site.ready];

    let mut crowds = Vec::new();
    for address in addresses {
        let script = Script::new("", Vec::new());
        crowds.push(Crowd::run(address, CONNECTIONS, script).await);
    }

    check_usage(&site.entry_host, DESCRIPTORS as usize - ROOM).await;
    site.check_serves().await;
    site.check_operators().await;
}
