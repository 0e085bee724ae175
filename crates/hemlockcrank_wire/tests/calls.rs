//! Calls over a real connection: answers, wrong secrets, lost peers, malformed bodies.

use std::time::Duration;

use hemlockcrank_core::clock::Stamp;
use hemlockcrank_wire::{
    CallError, Client, Formation, Frame, Request, Response, decode, encode, serve,
};
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(5);

async fn start(proof: &str) -> std::net::SocketAddr {
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
async fn a_call_is_answered_with_the_callers_stamp_and_many_share_a_connection() {
    let client = Client::new(start("secret").await, "secret".into());
    let stamp = Stamp {
        wall_ms: 7,
        count: 3,
    };
    let calls = (0..50).map(|_| client.call(stamp, &Request::Formation, LIMIT));

    for answer in futures_util::future::join_all(calls).await {
        let frame = answer.expect("answer");
        assert_eq!(frame.stamp, stamp);
        assert_eq!(frame.body, Response::Formation(Formation::NoDisk));
    }
}

#[tokio::test]
async fn a_wrong_secret_is_refused_and_was_not_seen() {
    let client = Client::new(start("secret").await, "other".into());
    let refused = client
        .call(Stamp::default(), &Request::Formation, LIMIT)
        .await;
    let error = refused.expect_err("refused");
    assert!(matches!(error, CallError::Refused { .. }) && error.is_unexecuted());
}

#[tokio::test]
async fn a_call_without_an_answer_may_have_been_seen_and_a_missing_peer_has_not() {
    let client = Client::new(start("secret").await, "secret".into());
    let short = Duration::from_millis(50);
    let lost = client.call(Stamp::default(), &Request::Events, short).await;
    assert!(!lost.expect_err("no answer").is_unexecuted());

    let nobody = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = nobody.local_addr().expect("address");
    drop(nobody);
    let client = Client::new(address, "secret".into());
    let unreached = client
        .call(Stamp::default(), &Request::Formation, LIMIT)
        .await;
    assert!(unreached.expect_err("nobody").is_unexecuted());
}

#[test]
fn a_body_that_is_cut_or_followed_by_more_is_an_error() {
    let bytes = encode(&Request::Join(hemlockcrank_core::consensus::Id::new(
        "h", 9,
    )))
    .expect("bytes");
    assert!(decode::<Request>(&bytes).is_ok());
    for kept in 0..bytes.len() {
        assert!(decode::<Request>(&bytes[..kept]).is_err());
    }
    let mut longer = bytes;
    longer.push(0);
    assert!(decode::<Request>(&longer).is_err());
}
