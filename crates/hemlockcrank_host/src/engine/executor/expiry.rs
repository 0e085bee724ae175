//! Rollback of transactions of other hosts whose next statement does not come.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use crate::{
    clock::now_ms,
    engine::{
        Proxy,
        session::{IDLE_TOO_LONG, SHUTTING_DOWN},
        transaction::ZONE_OUT,
    },
    event::Event,
    phase::Phase,
    sync::lock,
};

/// Interval at which open transactions are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest idle time of a transaction if the configuration does not limit it, in milliseconds. The
/// origin may have died, and nothing else ends the transaction then.
const MAX_IDLE_MS: u64 = 10_000;

impl Proxy {
    /// Rolls back the transactions of other hosts that are idle for too long, whose member is in a
    /// zone out of service, and those that a shutdown does not wait for. Runs until dropped.
    pub(crate) async fn expire_transactions(self: Arc<Self>) {
        loop {
            if lock(&self.executor.transactions).is_empty() {
                self.executor.changed.notified().await;
            }
            sleep(CHECK_INTERVAL).await;
            self.expire_once();
        }
    }

    /// Checks all idle transactions once.
    pub(super) fn expire_once(&self) {
        let now = now_ms();
        let is_closing = *self.phase.borrow() >= Phase::Closing;
        let idle_ms = match self.host_state().state.catalog.transaction_idle_ms() {
            0 => MAX_IDLE_MS,
            idle_ms => idle_ms,
        };
        let expired = lock(&self.executor.transactions).expire(now, |transaction, since| {
            if is_closing {
                return Some(SHUTTING_DOWN);
            }
            if now >= since + idle_ms {
                return Some(IDLE_TOO_LONG);
            }
            let leave_at = transaction.note_zone(self);
            leave_at.filter(|at| now >= *at).map(|_| ZONE_OUT)
        });
        for (id, reason, transaction) in expired {
            drop(transaction);
            let fields: [(&str, &dyn std::fmt::Display); 3] = [
                ("origin", &id.origin.name),
                ("transaction", &id.number),
                ("reason", &reason),
            ];
            self.timeline.emit(Event::ForwardedRolledBack, &fields);
        }
    }
}
