//! Calls between hosts that a link holds: one that was given up does not arrive when it is released.

#[path = "../../../platform/tests/fixture/link.rs"]
#[expect(dead_code, reason = "the tests of the platform use the rest")]
mod link;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use hemlockcrank_core::clock::Stamp;
use hemlockcrank_wire::{CallError, Client, Frame, Request, Response, serve};
use rstest::rstest;
use tokio::{
    net::TcpListener,
    time::{sleep, timeout},
};

use link::Link;

/// Time limit of a call.
const TIME_LIMIT: Duration = Duration::from_millis(300);
/// Maximum wait for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which calls that are passed on are carried out.
const QUIET: Duration = Duration::from_millis(500);
/// Name that the late call contains.
const LATE: &str = "late-call";

fn hand_over(workspace: &str) -> Request {
    Request::HandOver {
        workspace: workspace.into(),
        index: 1,
    }
}

/// A server, and the calls that it has received.
async fn start_server() -> (std::net::SocketAddr, Arc<Mutex<Vec<Request>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let received = Arc::<Mutex<Vec<Request>>>::default();
    let calls = Arc::clone(&received);
    tokio::spawn(serve(
        listener,
        "secret".into(),
        move |call: Frame<Request>| {
            calls.lock().expect("a lock").push(call.body);
            async move {
                Frame {
                    stamp: call.stamp,
                    body: Response::Received,
                }
            }
        },
    ));
    (address, received)
}

/// Guards against a call of a host that was cut off: it is carried out after the cut, when its sender
/// has long called again or lost its place.
#[rstest]
#[case::before_its_connection(true)]
#[case::on_an_open_connection(false)]
#[tokio::test]
async fn a_call_that_was_given_up_never_arrives(#[case] from_the_start: bool) {
    let (server, received) = start_server().await;
    let link = Link::start([127, 0, 0, 1].into(), server).await;
    let client = Client::new(link.address, "secret".into());
    let stamp = Stamp::default();
    if from_the_start {
        link.hold();
    } else {
        let answer = client.call(stamp, &hand_over("early"), TIME_LIMIT).await;
        answer.expect("an answer");
        link.hold_at(LATE);
    }

    let late = client.call(stamp, &hand_over(LATE), TIME_LIMIT).await;
    let reset = timeout(CONDITION_TIMEOUT, async {
        while link.resets() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
    });
    let is_reset = reset.await.is_ok();
    link.release();
    sleep(QUIET).await;

    assert!(matches!(late, Err(CallError::Lost { .. })), "{late:?}");
    assert!(link.held_bytes() > 0, "the call was sent");
    let received = received.lock().expect("a lock");
    assert!(!received.contains(&hand_over(LATE)), "it was carried out");
    assert!(is_reset);
}
