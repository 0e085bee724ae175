//! A session's open transaction, which runs on this host or at an executor.

use std::{sync::Arc, time::Duration};

use hemlockcrank_core::{Name, session::Position, sharing::Sent};
use hemlockcrank_wire::{Kind, Request, Step, TransactionId};

use super::{Reply, lost};
use crate::{
    engine::{
        Code, Proxy, Status,
        admission::{Operation, Refusal, Trail},
        execution::Execution,
        member_connection::Answer,
        transaction::{self, has_failed},
    },
    peers::CALL_TIMEOUT,
};

/// Pauses before the attempts to end a transaction at an executor. After the last one the executor
/// ends it because it is idle.
const END_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(400),
];

/// A transaction at an executor. It is rolled back there when dropped, unless it has ended.
#[derive(Debug)]
struct Remote {
    proxy: Arc<Proxy>,
    executor: Name,
    id: TransactionId,
    /// Set once the executor has ended the transaction.
    has_ended: bool,
}

/// An open transaction. Its first statement decides where it runs.
#[derive(Debug)]
pub(crate) struct Transaction {
    pub(crate) operation: Operation,
    read_only: bool,
    wrote: bool,
    /// Set once the transaction cannot be committed any more.
    pub(crate) failed: bool,
    /// The transaction if it runs on this host.
    local: transaction::Transaction,
    /// Set once a statement was sent to an executor, and while it was not declined.
    remote: Option<Remote>,
}

impl Transaction {
    /// Opens a transaction. Nothing is sent before its first statement.
    pub(crate) fn new(operation: Operation, read_only: bool, watermark: Position) -> Self {
        Self {
            operation: operation.clone(),
            read_only,
            wrote: false,
            failed: false,
            local: transaction::Transaction::new(operation, read_only, watermark),
            remote: None,
        }
    }

    /// Whether a statement of it may have written.
    pub(crate) fn wrote(&self) -> bool {
        self.wrote || self.local.wrote()
    }

    /// As for a transaction on this host. An executor notes the zone itself.
    pub(crate) fn note_zone(&mut self, proxy: &Proxy) -> Option<u64> {
        self.local.note_zone(proxy)
    }

    /// Rolls the transaction back, in the background.
    pub(crate) fn abandon(&mut self) {
        self.remote = None;
        self.local.abandon();
    }

    /// Runs a statement.
    ///
    /// # Errors
    ///
    /// [`Refusal`]: the transaction has no effect, unless the code is [`Code::InDoubt`].
    pub(crate) async fn run(
        &mut self,
        proxy: &Arc<Proxy>,
        execution: &Execution,
        step: Step,
    ) -> Result<Answer, Refusal> {
        if self.remote.is_some() {
            return self.run_remote(proxy, execution, step).await;
        }
        if !self.local.is_pinned()
            && let Some(outcome) = self.begin_remote(proxy, execution, step).await
        {
            return outcome;
        }
        let outcome = self.local.run(proxy, execution, step).await;
        self.failed = self.local.failed;
        outcome
    }

    /// Runs the first statement at an executor; `None` if it is to be run on this host.
    async fn begin_remote(
        &mut self,
        proxy: &Arc<Proxy>,
        execution: &Execution,
        step: Step,
    ) -> Option<Result<Answer, Refusal>> {
        let mut tried = Vec::new();
        while let Some(executor) = proxy.next_executor(execution, &mut tried) {
            let permitted = self
                .operation
                .check_permitted(&proxy.host_state(), !self.read_only);
            if let Err(refusal) = permitted {
                return Some(Err(refusal));
            }
            // Set before the call, so that the executor is told if the session ends meanwhile.
            let id = proxy.forwarding.next_transaction(proxy.control.host().id());
            let remote = self.remote.insert(Remote {
                proxy: Arc::clone(proxy),
                executor: executor.clone(),
                id: id.clone(),
                has_ended: false,
            });
            self.wrote |= step == Step::Write;
            let kind = Kind::Step {
                transaction: id,
                step,
                first: true,
                read_only: self.read_only,
                wrote: self.wrote,
            };
            match proxy.send(execution, executor, kind).await {
                Reply::NotRun(_) => {
                    remote.has_ended = true;
                    self.remote = None;
                    self.wrote = false;
                }
                Reply::Refused {
                    refusal,
                    begun: false,
                } => {
                    remote.has_ended = true;
                    self.remote = None;
                    self.wrote = false;
                    return Some(Err(refusal));
                }
                reply => return Some(self.finish(reply, step)),
            }
        }
        if !tried.is_empty() {
            proxy.metrics.count_run_directly();
        }
        None
    }

    /// Runs a statement that is not the first at the executor.
    async fn run_remote(
        &mut self,
        proxy: &Arc<Proxy>,
        execution: &Execution,
        step: Step,
    ) -> Result<Answer, Refusal> {
        let Some(remote) = &self.remote else {
            return Err(Refusal::new(Code::Aborted, "the transaction has ended"));
        };
        self.wrote |= step == Step::Write;
        let kind = Kind::Step {
            transaction: remote.id.clone(),
            step,
            first: false,
            read_only: self.read_only,
            wrote: self.wrote,
        };
        let executor = remote.executor.clone();
        let reply = match self.operation.check_permitted(&proxy.host_state(), false) {
            Ok(()) => proxy.send(execution, executor, kind).await,
            Err(refusal) => {
                self.failed = true;
                self.remote = None;
                return Err(refusal);
            }
        };
        self.finish(reply, step)
    }

    /// Notes what a reply says of the transaction.
    fn finish(&mut self, reply: Reply, step: Step) -> Result<Answer, Refusal> {
        let Some(remote) = &mut self.remote else {
            return Err(Refusal::new(Code::Aborted, "the transaction has ended"));
        };
        let sent = match step {
            Step::Commit => Sent::Commit { wrote: self.wrote },
            Step::Read | Step::Write => Sent::Statement,
        };
        let outcome = match reply {
            Reply::Answered(answer) if answer.status == Status::Open => return Ok(answer),
            Reply::Answered(answer) => {
                remote.has_ended = true;
                self.failed |= has_failed(&answer, step);
                Ok(answer)
            }
            Reply::Refused { refusal, .. } => {
                remote.has_ended = true;
                self.failed = true;
                Err(refusal)
            }
            Reply::NotRun(reason) => {
                self.failed = true;
                let mut trail = Trail::default();
                trail.add(&remote.executor, &reason);
                Err(Refusal::new(Code::Aborted, "the executor was lost").with_trail(trail))
            }
            Reply::Lost => {
                self.failed = true;
                Err(lost(&remote.executor, sent))
            }
        };
        self.remote = None;
        outcome
    }
}

impl Drop for Remote {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let proxy = Arc::clone(&self.proxy);
        let (executor, id) = (self.executor.clone(), self.id.clone());
        tokio::spawn(async move {
            let request = Request::EndTransaction(id);
            for pause in END_PAUSES {
                tokio::time::sleep(pause).await;
                let view = Arc::clone(&proxy.host_state().state.view);
                let Some(address) = proxy.peers.address_of(&executor, &view) else {
                    return;
                };
                match proxy.peers.call(address, &request, CALL_TIMEOUT).await {
                    Ok(_) => return,
                    Err(error) => {
                        tracing::debug!(%error, %executor, "a transaction was not ended");
                    }
                }
            }
        });
    }
}
