//! Crowds of clients that do not behave, against daemons as processes.
//!
//! Each test starts a site and a crowd, and checks while the crowd's connections are still open that the
//! process lives, that its memory and its open descriptors stay under a bound, and that one ordinary
//! request is answered. No test checks a time or a share of served requests: a client of a crowd may be
//! refused, and its connection may be closed.
//!
//! The crowds are small, and so are the bounds. The tests run one at a time, see [`turn`].

#![cfg(target_os = "linux")]
#![expect(clippy::print_stdout, reason = "reports what the hosts use")]

#[path = "../../../../platform/tests/fixture/caller.rs"]
mod caller;
mod crowd;
#[path = "../../../../platform/tests/fixture/operator.rs"]
mod operator;
#[path = "../../../../platform/tests/fixture/own_ip.rs"]
mod own_ip;
#[path = "../shared/pg_site.rs"]
mod pg_site;
#[path = "../shared/process.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod process;
mod requests;
mod sessions;
mod site;
#[path = "../../../../platform/tests/fixture/stand_in.rs"]
#[expect(dead_code, reason = "the tests of the platform use the rest")]
mod stand_in;
mod usage;

use tokio::sync::{Mutex, MutexGuard};

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::const_new(());

/// Waits until no other test of this binary runs. Memory and descriptors of one crowd would otherwise be
/// taken from the other one.
pub(crate) async fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}
