//! Parts of a host that end by themselves.

use std::time::Duration;

use hemlockcrank_core::consensus::{DurableChange, Snapshot};
use hemlockcrank_host::{Daemon, DaemonError, journal::Journal};
use tokio::time::timeout;

use crate::fixture::site;

/// Longest wait for a host to notice that a part of it has ended.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against a process that stays up without its control thread, serves nothing, and is never
/// started again.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_whose_control_thread_ends_reports_that_it_failed() {
    let mut site = site().await;
    let mut daemon = site.take_daemon(1).expect("host");

    daemon.context().control.stop().await;
    let failed = timeout(NOTICE_TIMEOUT, daemon.failed()).await;

    assert!(
        matches!(failed, Ok(DaemonError::Ended { .. })),
        "{failed:?}"
    );
}

/// Guards against a task that panics unnoticed.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_with_a_task_that_panics_reports_that_it_failed() {
    let mut site = site().await;
    let mut daemon = site.take_daemon(1).expect("host");
    daemon.spawn("planted", async {
        assert!(std::env::args().next().is_none(), "planted");
    });

    let failed = timeout(NOTICE_TIMEOUT, daemon.failed()).await;

    assert!(
        matches!(
            failed,
            Ok(DaemonError::Ended {
                part: "planted",
                ..
            })
        ),
        "{failed:?}"
    );
}

/// Guards against a host that starts with an empty state because it cannot decode its own.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_cannot_decode_its_state_does_not_start() {
    let mut site = site().await;
    site.kill_host(1).await;
    let folder = site.settings[1].data_dir.clone().expect("data folder");
    let mut journal = Journal::open(&folder, 1).expect("journal");
    let snapshot = Snapshot {
        index: 1,
        data: vec![0xff; 9].into(),
        ..Snapshot::default()
    };
    journal
        .rewrite(&[DurableChange::Snapshot(snapshot)])
        .expect("rewrite");
    drop(journal);

    let started = Daemon::start(site.settings[1].clone()).await;

    assert!(started.is_err(), "{started:?}");
}
