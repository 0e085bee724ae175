//! Operations that this host runs for other hosts of its zone.
//!
//! Each is run by the functions that also run those of this host's own sessions, and is never sent
//! to a further host. All checks are repeated here, with this host's own state and lease. An
//! operation that another host may run instead is declined; then nothing has run.
//!
//! - `open_transactions`: transactions that are open, between their statements.
//! - `expiry`: rolls them back when they are idle for too long, and when this host shuts down.

mod expiry;
mod open_transactions;

use std::sync::{Arc, Mutex};

use hemlockcrank_core::Name;
use hemlockcrank_wire::{self as wire, Decline, Execute, Executed, Kind, Step, TransactionId};
use tokio::sync::Notify;

use super::{
    Code, Proxy, Status,
    admission::{Operation, Refusal},
    attempts::Attempts,
    execution::Execution,
    member_connection::Answer,
    session::SHUTTING_DOWN,
    transaction::Transaction,
};
use crate::{
    clock::now_ms,
    event::Event,
    metering::Counted,
    phase::{self, Phase},
    sync::lock,
};

use open_transactions::{OpenTransactions, Taken};

/// Operations that may run at the same time. An entry host is small; further ones would wait longer
/// than their callers do.
const MAX_RUNNING: usize = 256;
/// Size of the texts of all operations that run, in bytes.
const MAX_RUNNING_BYTES: usize = 16 * 1024 * 1024;

/// Operations that this host runs for others.
#[derive(Debug, Default)]
pub(crate) struct Executor {
    running: Mutex<Running>,
    transactions: Mutex<OpenTransactions>,
    /// Notified when a transaction is opened or ended.
    changed: Notify,
}

/// Number and size of the operations that run.
#[derive(Debug, Default)]
struct Running {
    count: usize,
    bytes: usize,
}

/// Counts an operation that runs until dropped.
struct Place<'a> {
    executor: &'a Executor,
    bytes: usize,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut running = lock(&self.executor.running);
        running.count -= 1;
        running.bytes -= self.bytes;
    }
}

impl Executor {
    /// Number of operations that a shutdown waits for.
    pub(crate) fn open(&self) -> usize {
        let running = lock(&self.running).count;
        running + lock(&self.transactions).idle_count()
    }

    /// Rolls a transaction back, at once or after the statement that runs.
    pub(crate) fn end(&self, id: TransactionId) {
        let ended = lock(&self.transactions).end(id, now_ms());
        drop(ended);
        self.changed.notify_one();
    }

    /// A place for a statement; `None` if there is none. A transaction that is open always goes on.
    fn enter(&self, request: &Execute) -> Option<Place<'_>> {
        let bytes = request.text_bytes();
        let mut running = lock(&self.running);
        let is_full = running.count >= MAX_RUNNING || running.bytes + bytes > MAX_RUNNING_BYTES;
        if is_full && !request.kind.is_of_open_transaction() {
            return None;
        }
        running.count += 1;
        running.bytes += bytes;
        Some(Place {
            executor: self,
            bytes,
        })
    }
}

/// A statement of a transaction that runs. If it is dropped before its end, its transaction has ended,
/// because the connection may still have an answer outstanding.
struct Statement<'a> {
    executor: &'a Executor,
    id: &'a TransactionId,
    has_ended: bool,
}

impl Statement<'_> {
    /// Ends the statement; with `None`, its transaction has ended, too.
    fn end(mut self, transaction: Option<Transaction>) {
        self.has_ended = true;
        let mut transactions = lock(&self.executor.transactions);
        transactions.put_back(self.id, transaction, now_ms());
    }
}

impl Drop for Statement<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            lock(&self.executor.transactions).put_back(self.id, None, now_ms());
        }
    }
}

impl Proxy {
    /// Runs a statement for another host.
    pub(crate) async fn execute(self: &Arc<Self>, request: Execute) -> Executed {
        let operation = match self.accept(&request) {
            Ok(operation) => operation,
            Err(reason) => {
                self.metrics.count_declined(reason.into());
                return Executed::Declined(reason);
            }
        };
        let Some(_place) = self.executor.enter(&request) else {
            let refusal = Refusal::new(Code::Busy, "the executor has too many operations");
            return self.refuse(&request, &refusal, Status::Idle, false);
        };
        self.metrics.count_run_for_others();
        let mut phase = self.phase.clone();
        tokio::select! {
            biased;
            executed = self.run_for_origin(&request, operation) => executed,
            // The statement is dropped, and a connection with an answer outstanding is closed.
            () = phase::reached(&mut phase, Phase::Ending) => {
                self.refuse(&request, &last_answer(&request.kind), Status::Failed, true)
            }
        }
    }

    /// Checks whether this host may run an operation for the origin. A statement of a transaction
    /// that is open here needs no such check: the transaction makes all checks itself, and goes on
    /// while this host shuts down.
    fn accept(&self, request: &Execute) -> Result<Operation, Decline> {
        let now = now_ms();
        // Not earlier than the true arrival, because the way here took time, so reads are not older
        // than the route allows.
        let arrived_at = now.saturating_sub(request.waited_ms);
        let operation = || Operation {
            route: Arc::new(request.route.clone()),
            workspace: request.workspace.clone(),
            key: request.key.clone(),
            arrived_at,
        };
        if request.kind.is_of_open_transaction() {
            return Ok(operation());
        }
        let host_state = self.host_state();
        if *self.phase.borrow() >= Phase::Draining {
            return Err(Decline::Draining);
        }
        if !host_state.has_lease() {
            return Err(Decline::NoLease);
        }
        let state = &host_state.state;
        let is_in_view = state.view.find(&self.control.host().id()).is_some();
        if !is_in_view || !state.view.serves(&self.settings.host) {
            return Err(Decline::NotServing);
        }
        if state.catalog.route(&request.route.database) != Some(&request.route) {
            return Err(Decline::OtherRoute);
        }
        let resolved = self.resolve(&request.route.database, request.key.as_ref());
        if !resolved.is_ok_and(|resolved| resolved.workspace == request.workspace) {
            return Err(Decline::OtherWorkspace);
        }
        Ok(operation())
    }

    async fn run_for_origin(self: &Arc<Self>, request: &Execute, operation: Operation) -> Executed {
        let attempts = Attempts::default();
        let execution = Execution {
            operation,
            id: request.id.clone(),
            body: request.body.clone(),
            values: Arc::new(request.values.clone()),
            watermark: request.watermark,
            deadline: now_ms() + request.time_left_ms,
            counted: Counted::default(),
            attempts: attempts.clone(),
        };
        let outcome = match &request.kind {
            Kind::Read => self.read(execution).await,
            Kind::Write => self.write(&execution).await,
            Kind::Step {
                transaction, step, ..
            } => {
                return self.run_step(request, &execution, transaction, *step).await;
            }
        };
        match outcome {
            Ok(answer) => Executed::Answered(encode(answer)),
            Err(refusal) => {
                let may_have_run = attempts.may_have_run();
                self.refuse(request, &refusal, Status::Idle, may_have_run)
            }
        }
    }

    /// Runs a statement of a transaction.
    async fn run_step(
        self: &Arc<Self>,
        request: &Execute,
        execution: &Execution,
        id: &TransactionId,
        step: Step,
    ) -> Executed {
        let mut transaction = match self.take_transaction(request, execution, id) {
            Ok(transaction) => transaction,
            Err(refusal) => {
                let status = match refusal.code {
                    Code::Busy => Status::Idle,
                    _ => Status::Failed,
                };
                return self.refuse(request, &refusal, status, status == Status::Failed);
            }
        };
        let statement = Statement {
            executor: &self.executor,
            id,
            has_ended: false,
        };
        let outcome = transaction.run(self, execution, step).await;
        let goes_on = matches!(&outcome, Ok(answer) if answer.status == Status::Open);
        let status = match transaction.failed {
            true => Status::Failed,
            false => Status::Idle,
        };
        // One that does not go on is rolled back, if it is still open at its member.
        statement.end(goes_on.then_some(transaction));
        match outcome {
            Ok(answer) => Executed::Answered(encode(answer)),
            Err(refusal) => self.refuse(request, &refusal, status, status == Status::Failed),
        }
    }

    /// Takes an open transaction for a statement, or opens it for the first one.
    fn take_transaction(
        &self,
        request: &Execute,
        execution: &Execution,
        id: &TransactionId,
    ) -> Result<Transaction, Refusal> {
        let (first, read_only) = match request.kind {
            Kind::Step {
                first, read_only, ..
            } => (first, read_only),
            Kind::Read | Kind::Write => (false, true),
        };
        // Otherwise a transaction whose statements follow each other closely would never be idle when
        // `expire_transactions` looks.
        if *self.phase.borrow() >= Phase::Closing {
            self.expire_once();
        }
        let mut transactions = lock(&self.executor.transactions);
        if first {
            if !transactions.open(id) {
                let reason = "the executor has too many transactions";
                return Err(Refusal::new(Code::Busy, reason));
            }
            self.executor.changed.notify_one();
            let operation = execution.operation.clone();
            return Ok(Transaction::new(operation, read_only, request.watermark));
        }
        match transactions.take(id) {
            Taken::Transaction(transaction) => Ok(*transaction),
            Taken::Running => {
                let reason = "another statement of the transaction is running";
                Err(Refusal::new(Code::Aborted, reason))
            }
            Taken::Ended(reason) => Err(Refusal::new(Code::Aborted, reason)),
        }
    }

    /// The refusal for the origin. Also logged here, so that an operation can be followed by its id.
    fn refuse(
        &self,
        request: &Execute,
        refusal: &Refusal,
        status: Status,
        may_have_run: bool,
    ) -> Executed {
        let host_state = self.host_state();
        let fields: [(&str, &dyn std::fmt::Display); 11] = [
            ("id", &request.id),
            ("origin", &request.origin.name),
            ("workspace", &request.workspace),
            ("database", &request.route.database),
            ("code", &refusal.code),
            ("reason", &refusal.reason),
            ("trail", &refusal.trail),
            ("retry_after_ms", &refusal.retry_after_text()),
            ("decision", &refusal.decision_text()),
            ("configuration", &host_state.state.catalog.version()),
            ("lease_ms", &host_state.lease.remaining(now_ms())),
        ];
        self.timeline.emit(Event::ForwardedRefused, &fields);
        Executed::Refused(wire::Refusal {
            code: refusal.code,
            reason: Name::from(&*refusal.reason),
            trail: refusal.trail.to_string().into(),
            retry_after_ms: refusal.retry_after_ms,
            status,
            may_have_run,
        })
    }
}

/// The refusal of a statement that still runs when the process ends.
fn last_answer(kind: &Kind) -> Refusal {
    let may_commit = match kind {
        Kind::Read => false,
        Kind::Write => true,
        Kind::Step { step, wrote, .. } => *step == Step::Commit && *wrote,
    };
    let code = match may_commit {
        true => Code::InDoubt,
        false => Code::Aborted,
    };
    Refusal::new(code, SHUTTING_DOWN)
}

fn encode(answer: Answer) -> wire::Answer {
    wire::Answer {
        rows: answer.rows.into_iter().map(Vec::from).collect(),
        outcome: answer
            .outcome
            .map(Vec::from)
            .map_err(|(code, text)| (code, text.into())),
        status: answer.status,
        position: answer.position,
    }
}
