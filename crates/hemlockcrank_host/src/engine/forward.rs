//! Operations that an executor of this zone runs for this host.
//!
//! An operation goes to the preferred executor of its workspace, then to the others, and runs on
//! this host if none of them runs it. A statement that may have run somewhere is not sent again,
//! except a read. What follows from a missing answer is decided in
//! [`hemlockcrank_core::sharing::Sent`].

mod call;
mod transaction;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hemlockcrank_core::{
    Name,
    membership::HostId,
    sharing::{Executors, Loss, Sent},
};
use hemlockcrank_wire::{Kind, TransactionId};
use tokio::time::timeout;

use super::{
    Code, Proxy,
    admission::{Refusal, Trail},
    execution::Execution,
    member_connection::Answer,
};
use crate::{clock::now_ms, event::Event, sync::lock};

use call::Call;
pub(crate) use transaction::Transaction;

/// Interval at which a read that waits for an executor checks whether that is silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What this host knows of executors, and the numbers of its transactions.
#[derive(Debug, Default)]
pub(crate) struct Forwarding {
    executors: Mutex<Executors>,
    last_transaction: AtomicU64,
}

impl Forwarding {
    fn next_transaction(&self, origin: HostId) -> TransactionId {
        TransactionId {
            origin,
            number: self.last_transaction.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }
}

/// How an executor has dealt with a statement.
#[derive(Debug)]
enum Reply {
    /// A member has answered.
    Answered(Answer),
    /// Refused; `begun` is whether the transaction, if any, has begun at the executor.
    Refused { refusal: Refusal, begun: bool },
    /// Not run, and another host may run it; with the reason for the log.
    NotRun(String),
    /// It may have run.
    Lost,
}

impl Proxy {
    /// Runs a read at an executor or on this host.
    pub(crate) async fn forward_read(
        self: &Arc<Self>,
        execution: Execution,
    ) -> Result<Answer, Refusal> {
        let mut tried = Vec::new();
        while let Some(executor) = self.next_executor(&execution, &mut tried) {
            execution
                .operation
                .check_permitted(&self.host_state(), false)?;
            let mut call = Box::pin(self.send(&execution, executor.clone(), Kind::Read));
            let Some(reply) = self.answer_or_silence(&executor, &mut call).await else {
                self.metrics.count_run_directly();
                return self.read_at_both(&execution, call).await;
            };
            match reply {
                Reply::Answered(answer) => return Ok(answer),
                Reply::Refused { refusal, .. } => return Err(refusal),
                Reply::NotRun(_) => {}
                Reply::Lost => break,
            }
        }
        if !tried.is_empty() {
            self.metrics.count_run_directly();
        }
        self.read(execution).await
    }

    /// Waits for the reply to `call`; `None` if the executor is silent.
    async fn answer_or_silence<F>(&self, executor: &str, call: &mut F) -> Option<Reply>
    where
        F: Future<Output = Reply> + Unpin,
    {
        loop {
            if let Ok(reply) = timeout(SILENCE_CHECK_INTERVAL, &mut *call).await {
                return Some(reply);
            }
            if lock(&self.forwarding.executors).is_silent(now_ms(), executor) {
                return None;
            }
        }
    }

    /// Runs a read on this host as well as at the executor that `call` waits for; the first result
    /// counts.
    async fn read_at_both<F>(
        self: &Arc<Self>,
        execution: &Execution,
        mut call: F,
    ) -> Result<Answer, Refusal>
    where
        F: Future<Output = Reply> + Unpin,
    {
        let mut direct = Box::pin(self.read(execution.clone()));
        tokio::select! {
            outcome = &mut direct => match outcome {
                Ok(answer) => Ok(answer),
                Err(refusal) => match call.await {
                    Reply::Answered(answer) => Ok(answer),
                    _ => Err(refusal),
                },
            },
            reply = &mut call => match reply {
                Reply::Answered(answer) => Ok(answer),
                _ => direct.await,
            },
        }
    }

    /// Runs a write at an executor or on this host, and never twice.
    pub(crate) async fn forward_write(
        self: &Arc<Self>,
        execution: &Execution,
    ) -> Result<Answer, Refusal> {
        let mut tried = Vec::new();
        while let Some(executor) = self.next_executor(execution, &mut tried) {
            execution
                .operation
                .check_permitted(&self.host_state(), true)?;
            match self.send(execution, executor.clone(), Kind::Write).await {
                Reply::Answered(answer) => return Ok(answer),
                Reply::Refused { refusal, .. } => return Err(refusal),
                Reply::NotRun(_) => {}
                Reply::Lost => return Err(lost(&executor, Sent::Write)),
            }
        }
        if !tried.is_empty() {
            self.metrics.count_run_directly();
        }
        self.write(execution).await
    }

    /// The executor to send an operation to next, which is added to `tried`; `None` if the operation
    /// is to be run on this host.
    fn next_executor(&self, execution: &Execution, tried: &mut Vec<Name>) -> Option<Name> {
        let now = now_ms();
        let host_state = self.host_state();
        // Without a lease this host does not know the executors.
        if !host_state.has_lease() || now >= execution.deadline {
            return None;
        }
        let operation = &execution.operation;
        let order = self.executors(&host_state, &operation.route.service, &operation.workspace);
        let (silent, next) = {
            let mut executors = lock(&self.forwarding.executors);
            let silent = executors.avoid_silent(now, &order);
            (silent, executors.choose(now, &order, tried))
        };
        for executor in silent {
            self.emit_avoided(&executor, &execution.id, &"silent");
        }
        let next = next?;
        if *next == *self.settings.host {
            return None;
        }
        tried.push(next.clone());
        Some(next)
    }

    /// Emits the event of an executor that is avoided from now on; `outcome` is that of the operation
    /// `id`.
    fn emit_avoided(&self, executor: &Name, id: &Name, outcome: &dyn std::fmt::Display) {
        let fields: [(&str, &dyn std::fmt::Display); 3] =
            [("executor", executor), ("id", id), ("outcome", outcome)];
        self.timeline.emit(Event::ExecutorAvoided, &fields);
    }

    /// Sends a statement to an executor.
    async fn send(self: &Arc<Self>, execution: &Execution, executor: Name, kind: Kind) -> Reply {
        let host_state = self.host_state();
        match self.peers.address_of(&executor, &host_state.state.view) {
            Some(address) => {
                let call = Call {
                    proxy: self,
                    executor: &executor,
                    address,
                };
                call.run(execution, kind).await
            }
            None => Reply::NotRun("unknown address".into()),
        }
    }
}

/// The refusal of a statement that an executor has not answered.
fn lost(executor: &str, sent: Sent) -> Refusal {
    let mut trail = Trail::default();
    trail.add(executor, "lost");
    let refusal = match sent.unanswered() {
        Loss::Unknown => Refusal::new(Code::InDoubt, "no answer from the executor"),
        Loss::Abort | Loss::Repeat => Refusal::new(Code::Aborted, "the executor was lost"),
    };
    refusal.with_trail(trail)
}
