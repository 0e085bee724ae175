//! Members that must have received a commit before it is acknowledged.
//!
//! A promotion call that is not settled may still make another member the primary. The committed
//! state names such members as witnesses ([`hemlockcrank_core::group::Groups::witnesses`]). What all
//! of them have received is not lost by a late promotion.

use std::{sync::Arc, time::Duration};

use hemlockcrank_core::{session::Position, succession::OrderReply};
use tokio::time::{Instant, sleep_until, timeout};

use super::{
    Proxy, ProxyStatement,
    execution::{Execution, position_text},
    order::read_reply,
    pool::Pool,
    primaries::Guard,
};
use crate::{clock::now_ms, event::Event};

/// Shortest pause between two questions to a witness.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// Whether a member whose log ends at `received` holds `commit`; `None` if it may still receive it.
/// A log that ends in a later term may lack commits of earlier ones, whatever its length.
fn holds(received: Position, commit: Position) -> Option<bool> {
    if received.term > commit.term {
        return Some(false);
    }
    (received >= commit).then_some(true)
}

impl Proxy {
    /// Records a commit as acknowledged, if it may be acknowledged to its caller; returns whether it
    /// may. Otherwise its outcome is unknown.
    pub(crate) async fn acknowledge(
        &self,
        execution: &Execution,
        guard: &Guard,
        commit: Option<Position>,
    ) -> bool {
        let is_witnessed = self.is_witnessed(execution, commit).await;
        // Without authority a new primary may lack the commit. Authority may end during the wait for
        // witnesses, so it is checked after it.
        if !is_witnessed || !self.host_state().has_lease() {
            return false;
        }
        match commit {
            Some(position) => self.primaries.record_acknowledged(guard, position),
            None => guard.is_current(),
        }
    }

    /// Waits until every witness of the service has received a commit at this position, for as long
    /// as the execution may take. Returns whether all have. To be called after the answer of the
    /// primary: the witnesses of a term are committed before its primary is.
    async fn is_witnessed(&self, execution: &Execution, commit: Option<Position>) -> bool {
        let host_state = self.host_state();
        let groups = &host_state.state.groups;
        let service = &execution.operation.route.service;
        for witness in groups.witnesses(service) {
            let member = groups.get(service).and_then(|g| g.members.get(witness));
            let mut received = None;
            if let (Some(commit), Some(member)) = (commit, member) {
                let pool = self.pool(&host_state, service, witness, member);
                let wait = await_receipt(&pool, execution, commit, &mut received);
                let limit = execution.time_left(now_ms());
                if timeout(limit, wait).await == Ok(true) {
                    continue;
                }
            }
            let (commit, received) = (position_text(commit), position_text(received));
            self.timeline.emit(
                Event::WitnessMissed,
                &[
                    ("service", service),
                    ("member", witness),
                    ("commit", &commit),
                    ("received", &received),
                ],
            );
            return false;
        }
        true
    }
}

/// Waits until a member has received `commit`; returns `false` if it never will. Sets `received` to
/// the last position that it reported.
async fn await_receipt(
    pool: &Arc<Pool>,
    execution: &Execution,
    commit: Position,
    received: &mut Option<Position>,
) -> bool {
    loop {
        let since = Instant::now();
        if let Some(position) = received_since(pool, execution, since).await {
            *received = Some(position);
            if let Some(holds) = holds(position, commit) {
                return holds;
            }
        }
    }
}

/// Position that a member has reported in answer to a question asked at `since` or later; `None`
/// without an answer. A member is asked at most once per [`POLL_PAUSE`].
async fn received_since(
    pool: &Arc<Pool>,
    execution: &Execution,
    since: Instant,
) -> Option<Position> {
    let mut latest = pool.receipt.latest.lock().await;
    if let Some((asked_at, received)) = *latest {
        if asked_at >= since {
            return received;
        }
        sleep_until(asked_at + POLL_PAUSE).await;
    }
    let asked_at = Instant::now();
    *latest = Some((asked_at, None));
    let received = ask(pool, execution).await;
    *latest = Some((asked_at, received));
    received
}

/// Asks a member what it has received.
async fn ask(pool: &Arc<Pool>, execution: &Execution) -> Option<Position> {
    let request = execution.connection_request();
    let acquired = pool.acquire(request, execution.acquire_timeout()).await;
    let mut pooled = acquired.ok()?;
    let connection = pooled.connection()?;
    let mut statements = connection.setup_statements(&connection.values, None);
    statements.push(ProxyStatement::ReadStatus);
    match read_reply(pool.protocol, connection, &statements).await? {
        OrderReply::Row(row) => Some(row.received),
        OrderReply::Busy | OrderReply::Nothing => None,
    }
}
