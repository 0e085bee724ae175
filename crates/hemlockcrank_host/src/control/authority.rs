//! The leader's right to call the platform, which ends with its lease.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hemlockcrank_core::Name;
use tokio::time::sleep;

use crate::clock::now_ms;

/// Longest time between two looks at the lease, in milliseconds. Timers do not count the time in which
/// the machine is suspended, but the lease does.
const LOOK_INTERVAL_MS: u64 = 50;

/// The right of a control leader to call the platform.
#[derive(Clone, Debug)]
pub struct Authority {
    /// Name of this host, the control leader.
    pub holder: Name,
    /// Fencing token: the leader's term in the control group.
    pub token: u64,
    /// End of the leader's lease on this process's clock, in milliseconds. It moves while the leader
    /// hears its quorum.
    pub lease_until: Arc<AtomicU64>,
}

impl Authority {
    /// Time left of the leader's lease, in milliseconds; no other host can lead before it has ended.
    /// Check it right before the request is sent.
    pub fn lease_left_ms(&self) -> u64 {
        let until = self.lease_until.load(Ordering::Acquire);
        until.saturating_sub(now_ms())
    }

    /// Waits until the lease has ended, extensions included. A call without an answer must be reset then.
    pub async fn ended(&self) {
        loop {
            let left_ms = self.lease_left_ms();
            if left_ms == 0 {
                return;
            }
            sleep(Duration::from_millis(left_ms.min(LOOK_INTERVAL_MS))).await;
        }
    }
}
