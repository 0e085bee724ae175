//! Calls over a real connection: answers, wrong secrets, unreachable peers, malformed bodies.

use std::{net::SocketAddr, time::Duration};

use hemlockcrank_core::clock::Stamp;
use hemlockcrank_wire::{
    CallError, Client, Formation, Frame, HostProgress, Request, Response, decode, encode, serve,
};
use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

const TIME_LIMIT: Duration = Duration::from_secs(5);

async fn start_server(proof: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    tokio::spawn(serve(listener, proof.into(), |call| async move {
        let body = match call.body {
            Request::Formation => Response::Formation(Formation::NoDisk),
            Request::Events => std::future::pending().await,
            Request::Progress => Response::Progress(Some(large_progress())),
            _ => Response::Received,
        };
        Frame {
            stamp: call.stamp,
            body,
        }
    }));
    address
}

/// An answer of about 1 MB.
fn large_progress() -> Vec<HostProgress> {
    let host = |number: u64| HostProgress {
        host: format!("{number:0>100}").into(),
        zone: "zone".into(),
        applied: Some(number),
    };
    (0..10_000).map(host).collect()
}

/// Forwards one connection to `server`, and what comes back in small parts with pauses.
async fn start_slow_link(server: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let (mut client, _) = listener.accept().await.expect("client");
        let mut server = TcpStream::connect(server).await.expect("server");
        let (mut from_client, mut to_client) = client.split();
        let (mut from_server, mut to_server) = server.split();
        let back = async {
            let mut part = vec![0; 32 * 1024];
            while let Ok(length @ 1..) = from_server.read(&mut part).await {
                sleep(Duration::from_millis(20)).await;
                if to_client.write_all(&part[..length]).await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::join!(tokio::io::copy(&mut from_client, &mut to_server), back);
    });
    address
}

/// Whole configurations over slow links: an answer that arrives in parts is not given up, and not asked
/// for again from the start.
#[tokio::test]
async fn a_large_answer_may_take_longer_than_the_time_limit_while_parts_of_it_arrive() {
    let server = start_server("secret").await;
    let client = Client::new(start_slow_link(server).await, "secret".into());

    let answer = client
        .call(
            Stamp::default(),
            &Request::Progress,
            Duration::from_millis(250),
        )
        .await;

    let Ok(Frame {
        body: Response::Progress(Some(hosts)),
        ..
    }) = answer
    else {
        unreachable!("{answer:?}");
    };
    assert_eq!(hosts.len(), 10_000);
}

#[test]
fn a_call_whose_answer_cannot_be_used_may_have_run() {
    let peer = "127.0.0.1:1".parse().expect("address");
    let refused = |status| CallError::Refused { peer, status };
    let undecodable = decode::<Response>(&[255; 9]).expect_err("no response");

    assert!(!refused(StatusCode::INTERNAL_SERVER_ERROR).is_unexecuted());
    assert!(refused(StatusCode::UPGRADE_REQUIRED).is_unexecuted());
    assert!(!CallError::from(undecodable).is_unexecuted());
}

#[tokio::test]
async fn concurrent_calls_on_one_connection_are_answered_with_the_callers_stamp() {
    let client = Client::new(start_server("secret").await, "secret".into());
    let stamp = Stamp {
        wall_ms: 7,
        count: 3,
    };
    let calls = (0..50).map(|_| client.call(stamp, &Request::Formation, TIME_LIMIT));

    for answer in futures_util::future::join_all(calls).await {
        let frame = answer.expect("answer");
        assert_eq!(frame.stamp, stamp);
        assert_eq!(frame.body, Response::Formation(Formation::NoDisk));
    }
}

#[tokio::test]
async fn a_call_with_a_wrong_secret_is_refused_and_not_executed() {
    let client = Client::new(start_server("secret").await, "other".into());
    let refused = client
        .call(Stamp::default(), &Request::Formation, TIME_LIMIT)
        .await;
    let error = refused.expect_err("refused");
    assert!(matches!(error, CallError::Refused { .. }) && error.is_unexecuted());
}

#[tokio::test]
async fn a_call_without_an_answer_may_have_run_and_a_call_to_an_unreachable_peer_has_not() {
    let client = Client::new(start_server("secret").await, "secret".into());
    let short_time_limit = Duration::from_millis(50);
    let unanswered = client
        .call(Stamp::default(), &Request::Events, short_time_limit)
        .await;
    assert!(!unanswered.expect_err("no answer").is_unexecuted());

    let closed_listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = closed_listener.local_addr().expect("address");
    drop(closed_listener);
    let client = Client::new(address, "secret".into());
    let unreached = client
        .call(Stamp::default(), &Request::Formation, TIME_LIMIT)
        .await;
    assert!(unreached.expect_err("unreachable").is_unexecuted());
}

#[test]
fn a_truncated_body_and_a_body_with_extra_bytes_are_errors() {
    let bytes = encode(&Request::Join(hemlockcrank_core::consensus::Id::new(
        "h", 9,
    )))
    .expect("bytes");
    assert!(decode::<Request>(&bytes).is_ok());
    for length in 0..bytes.len() {
        assert!(decode::<Request>(&bytes[..length]).is_err());
    }
    let mut extended = bytes;
    extended.push(0);
    assert!(decode::<Request>(&extended).is_err());
}
