//! Calls over a real connection: answers, wrong secrets, unreachable peers, malformed bodies.

use std::time::Duration;

use hemlockcrank_core::clock::Stamp;
use hemlockcrank_wire::{
    CallError, Client, Formation, Frame, Request, Response, decode, encode, serve,
};
use tokio::net::TcpListener;

const TIME_LIMIT: Duration = Duration::from_secs(5);

async fn start_server(proof: &str) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    tokio::spawn(serve(listener, proof.into(), |call| async move {
        let body = match call.body {
            Request::Formation => Response::Formation(Formation::NoDisk),
            Request::Events => std::future::pending().await,
            _ => Response::Received,
        };
        Frame {
            stamp: call.stamp,
            body,
        }
    }));
    address
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
