//! A caller's session: reads statements and runs them. The replies are written in `output`.

mod output;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::BytesMut;
use hemlockcrank_core::{Name, session::Position};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::timeout,
};

use super::{
    CallerMessage, Code, PreparedStatement, Proxy, Reply, Statement, Status,
    admission::{Operation, Refusal},
    attempts::Attempts,
    execution::{Body, Execution},
    forward::Transaction,
    member_connection::SessionValues,
    transaction::{Step, ZONE_OUT},
};
use crate::{
    budget::Account,
    clock::now_ms,
    event::Event,
    metering::Counted,
    phase::{self, Phase},
};

/// Maximum length of a caller's message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;
/// Buffer space reserved for each read, in bytes.
const READ_BYTES: usize = 1024;
/// Length of a message after which its buffer is given back, in bytes.
const KEPT_BYTES: usize = 16 * 1024;
/// Copies of a message while its statement runs: the statement, and what is sent to the member, in a
/// buffer that grows by doubling.
const WORK_FACTOR: usize = 3;
/// Time limit for the first message.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for a write to a caller that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of session values, and of prepared statements, of one session.
const MAX_NAMES: usize = 256;

/// Why a statement is refused, or a transaction rolled back, late in a graceful shutdown.
pub(super) const SHUTTING_DOWN: &str = "this host is shutting down";

/// Why a transaction without a statement is rolled back.
pub(super) const IDLE_TOO_LONG: &str = "the transaction was idle for too long";

/// Why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The caller disconnected, or its connection failed.
    Disconnected,
    /// This host is shutting down.
    Draining,
    /// The caller sent an invalid message.
    Malformed,
    /// The caller was refused.
    Refused,
    /// Clients use too much of this host, this one most.
    Closed,
}

/// A caller's session.
pub(crate) struct Session {
    proxy: Arc<Proxy>,
    stream: TcpStream,
    account: Account,
    input: BytesMut,
    output: BytesMut,
    database: Name,
    key: Option<Name>,
    values: Arc<SessionValues>,
    /// Prepared statements by the caller's name.
    prepared: HashMap<Name, PreparedStatement>,
    /// Newest commit of the session.
    watermark: Position,
    transaction: Option<Transaction>,
    /// Why the open transaction was rolled back without a statement of the caller, until the caller
    /// is told.
    rolled_back: Option<&'static str>,
    phase: watch::Receiver<Phase>,
    /// Notified of changes to availability zones, among others.
    changes: watch::Receiver<u64>,
}

impl Session {
    pub(crate) fn new(proxy: Arc<Proxy>, stream: TcpStream, account: Account) -> Self {
        let phase = proxy.phase.clone();
        let changes = proxy.control.watch_changes();
        Self {
            proxy,
            stream,
            account,
            input: BytesMut::new(),
            output: BytesMut::new(),
            database: "".into(),
            key: None,
            values: Arc::default(),
            prepared: HashMap::new(),
            watermark: Position::default(),
            transaction: None,
            rolled_back: None,
            phase,
            changes,
        }
    }

    /// Runs the session until it ends.
    pub(crate) async fn run(mut self, caller: SocketAddr) {
        let end = self.serve().await.unwrap_or_else(|end| end);
        if end == End::Malformed {
            let proxy = &self.proxy;
            proxy
                .timeline
                .emit_bounded(Event::CallerMalformed, &[("caller", &caller)]);
        }
        let _ = self.stream.shutdown().await;
    }

    async fn serve(&mut self) -> Result<End, End> {
        let first = timeout(START_TIMEOUT, self.read_message()).await;
        let CallerMessage::Start { database, key } = first.map_err(|_| End::Disconnected)?? else {
            return Err(End::Malformed);
        };
        self.database = database;
        self.key = key;
        if let Err(refusal) = self.proxy.resolve(&self.database, self.key.as_ref()) {
            self.emit_refusal(&"-".into(), &refusal);
            self.write_reply(&Reply::Failed(refusal.code, refusal.reason.as_bytes()));
            self.flush().await?;
            return Err(End::Refused);
        }
        self.write_reply(&Reply::Ready(Status::Idle, None));
        self.flush().await?;
        loop {
            match self.next_message().await? {
                CallerMessage::Query { id, statement } => {
                    let last = self.run_or_give_up(&id, statement).await;
                    self.flush().await?;
                    if last {
                        return Ok(End::Draining);
                    }
                }
                CallerMessage::Bye => return Ok(End::Disconnected),
                CallerMessage::Start { .. } => return Err(End::Malformed),
            }
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Input

    /// Reads the next message. Ends the session if it is idle while the host shuts down, and rolls
    /// back a transaction that has been idle for too long, that the shutdown does not wait for, or
    /// whose member is in an availability zone that was taken out of service.
    async fn next_message(&mut self) -> Result<CallerMessage, End> {
        let mut idle_since = now_ms();
        loop {
            let phase = *self.phase.borrow_and_update();
            if phase >= Phase::Closing {
                self.roll_back(SHUTTING_DOWN);
            }
            self.changes.mark_unchanged();
            let rollback = self.next_rollback(idle_since);
            if let Some(message) = self.parse()? {
                return Ok(message);
            }
            let idle = self.transaction.is_none() && self.input.is_empty();
            if phase >= Phase::Ending || (phase >= Phase::Draining && idle) {
                return Err(End::Draining);
            }
            let due = rollback.map(|(at, _)| Duration::from_millis(at.saturating_sub(now_ms())));
            tokio::select! {
                read = read_more(&mut self.stream, &mut self.input, &self.account) => {
                    read?;
                    idle_since = now_ms();
                }
                () = phase::changed(&mut self.phase) => {}
                () = phase::changed(&mut self.changes), if self.transaction.is_some() => {}
                () = sleep_or_never(due) => {
                    let reason = rollback.map_or(ZONE_OUT, |(_, reason)| reason);
                    self.roll_back(reason);
                }
            }
        }
    }

    /// When and why the open transaction is rolled back if no statement comes before, in milliseconds
    /// of local time.
    fn next_rollback(&mut self, idle_since: u64) -> Option<(u64, &'static str)> {
        let idle_ms = self.proxy.host_state().state.catalog.transaction_idle_ms();
        let transaction = self.transaction.as_mut().filter(|open| !open.failed)?;
        let idle = (idle_ms > 0).then(|| (idle_since + idle_ms, IDLE_TOO_LONG));
        let zone = transaction.note_zone(&self.proxy);
        let zone = zone.map(|leave_at| (leave_at, ZONE_OUT));
        idle.into_iter().chain(zone).min()
    }

    /// Rolls back the open transaction between two statements of the caller.
    fn roll_back(&mut self, reason: &'static str) {
        if let Some(transaction) = self.transaction.as_mut().filter(|open| !open.failed) {
            transaction.abandon();
            transaction.failed = true;
            self.rolled_back = Some(reason);
        }
    }

    async fn read_message(&mut self) -> Result<CallerMessage, End> {
        loop {
            if let Some(message) = self.parse()? {
                return Ok(message);
            }
            read_more(&mut self.stream, &mut self.input, &self.account).await?;
        }
    }

    fn parse(&mut self) -> Result<Option<CallerMessage>, End> {
        let received = self.input.len();
        let message = (self.proxy.protocol.read_caller)(&mut self.input);
        let message = message.map_err(|_| End::Malformed)?;
        if message.is_some() {
            self.begin_work(received - self.input.len())?;
        } else if self.input.len() > MAX_MESSAGE_BYTES {
            return Err(End::Malformed);
        } else {
            let is_empty = self.input.is_empty();
            self.account
                .hold(if is_empty { 0 } else { self.input.capacity() });
        }
        Ok(message)
    }

    /// Counts the work for a message of this length, and gives back the buffer that it came in.
    fn begin_work(&mut self, length: usize) -> Result<(), End> {
        if length > KEPT_BYTES {
            self.input = BytesMut::from(&self.input[..]);
        }
        let bytes = length * WORK_FACTOR + self.input.len();
        self.account.begin_work(bytes).map_err(|_| End::Closed)
    }

    // ---------------------------------------------------------------------------------------------
    // Statements

    /// Runs a statement, unless the process ends before it is done: then the caller gets an answer
    /// that says whether it may have run. Returns whether that answer is the last one.
    async fn run_or_give_up(&mut self, id: &Name, statement: Statement) -> bool {
        let may_commit = self.may_commit(&statement);
        let was_open = self.transaction.is_some();
        let mut phase = self.phase.clone();
        tokio::select! {
            biased;
            () = self.run_statement(id, statement) => return false,
            () = phase::reached(&mut phase, Phase::Ending) => {}
        }
        // The statement has been dropped, and a connection with an answer outstanding is closed.
        self.transaction = None;
        let code = match may_commit {
            true => Code::InDoubt,
            false => Code::Aborted,
        };
        let refusal = Refusal::new(code, SHUTTING_DOWN);
        self.emit_refusal(id, &refusal);
        let status = if was_open {
            Status::Failed
        } else {
            Status::Idle
        };
        self.write_reply(&Reply::Failed(code, SHUTTING_DOWN.as_bytes()));
        self.write_reply(&Reply::Ready(status, None));
        true
    }

    /// Whether a statement may commit a write.
    fn may_commit(&self, statement: &Statement) -> bool {
        match (statement, &self.transaction) {
            (Statement::Commit, Some(transaction)) => transaction.wrote(),
            (Statement::Write(_), None) => true,
            (Statement::Execute { name, .. }, None) => self
                .prepared
                .get(name)
                .is_some_and(|statement| statement.writes),
            _ => false,
        }
    }

    async fn run_statement(&mut self, id: &Name, statement: Statement) {
        let failed = self
            .transaction
            .as_ref()
            .is_some_and(|transaction| transaction.failed);
        let rolled_back = self.rolled_back.take();
        if failed && statement != Statement::Rollback && statement != Statement::Commit {
            if let Some(reason) = rolled_back {
                self.reply_refused(id, &Refusal::new(Code::Aborted, reason));
                return;
            }
            self.reply_failed(Code::Malformed, "the transaction has failed");
            return;
        }
        match statement {
            Statement::Begin { read } => self.begin(id, read).await,
            Statement::Commit => self.commit(id).await,
            Statement::Rollback => {
                if let Some(mut transaction) = self.transaction.take() {
                    transaction.abandon();
                    self.reply_done();
                } else {
                    self.reply_failed(Code::Malformed, "no transaction is open");
                }
            }
            Statement::Set { name, value } => {
                let values = Arc::make_mut(&mut self.values);
                if values.len() < MAX_NAMES || values.contains_key(&name) {
                    values.insert(name, value);
                    self.count_kept();
                    self.reply_done();
                } else {
                    self.reply_failed(Code::Malformed, "too many values");
                }
            }
            Statement::Prepare { name, statement } => self.prepare(name, statement),
            Statement::Deallocate { name } => match self.prepared.remove(&name) {
                Some(_) => {
                    self.count_kept();
                    self.reply_done();
                }
                None => self.reply_failed(Code::NoStatement, "no such prepared statement"),
            },
            Statement::Execute { name, arguments } => match self.prepared.get(&name).cloned() {
                Some(statement) => {
                    let writes = statement.writes;
                    let body = Body::Prepared {
                        statement,
                        arguments,
                    };
                    self.execute(id, body, writes).await;
                }
                None => self.reply_failed(Code::NoStatement, "no such prepared statement"),
            },
            Statement::Read(text) => self.execute(id, Body::Text(text), false).await,
            Statement::Write(text) => self.execute(id, Body::Text(text), true).await,
            Statement::Unknown => self.reply_failed(Code::Malformed, "not a statement"),
        }
    }

    /// Prepares a statement. Equal statements are prepared once on each connection, for all sessions.
    fn prepare(&mut self, name: Name, statement: PreparedStatement) {
        if self.prepared.len() >= MAX_NAMES && !self.prepared.contains_key(&name) {
            self.reply_failed(Code::Malformed, "too many prepared statements");
            return;
        }
        self.prepared.insert(name, statement);
        self.count_kept();
        self.reply_done();
    }

    /// Counts the session values and the prepared statements.
    fn count_kept(&self) {
        let values = self.values.values().map(|value| value.len());
        let statements = self.prepared.values().map(|prepared| prepared.text.len());
        self.account.keep(values.chain(statements).sum());
    }

    async fn begin(&mut self, id: &Name, read: bool) {
        if self.transaction.is_some() {
            self.reply_failed(Code::Malformed, "a transaction is open");
            return;
        }
        match self.admit().await {
            Ok(operation) => {
                let transaction = Transaction::new(operation, read, self.watermark);
                self.transaction = Some(transaction);
                self.reply_done();
            }
            Err(refusal) => self.reply_refused(id, &refusal),
        }
    }

    async fn commit(&mut self, id: &Name) {
        let Some(mut transaction) = self.transaction.take() else {
            self.reply_failed(Code::Malformed, "no transaction is open");
            return;
        };
        if transaction.failed {
            transaction.abandon();
            self.reply_failed(Code::Aborted, "the transaction has failed");
            return;
        }
        let text = self.proxy.protocol.commit.into();
        let execution = self.execution(transaction.operation.clone(), id, Body::Text(text));
        let outcome = transaction
            .run(&self.proxy.clone(), &execution, Step::Commit)
            .await;
        transaction.abandon();
        drop(transaction);
        match outcome {
            Ok(answer) => {
                if let (Ok(_), Some(position)) = (&answer.outcome, answer.position) {
                    self.watermark = self.watermark.max(position);
                }
                self.reply_answer(&answer, Status::Idle);
            }
            Err(refusal) => self.reply_refused(id, &refusal),
        }
    }

    async fn execute(&mut self, id: &Name, body: Body, writes: bool) {
        let step = if writes { Step::Write } else { Step::Read };
        if let Some(mut transaction) = self.transaction.take() {
            let execution = self.execution(transaction.operation.clone(), id, body);
            let outcome = transaction.run(&self.proxy.clone(), &execution, step).await;
            self.transaction = Some(transaction);
            match outcome {
                Ok(answer) => {
                    let status = self.status();
                    self.reply_answer(&answer, status);
                }
                Err(refusal) => self.reply_refused(id, &refusal),
            }
            return;
        }
        let operation = match self.admit().await {
            Ok(operation) => operation,
            Err(refusal) => return self.reply_refused(id, &refusal),
        };
        let execution = self.execution(operation.clone(), id, body);
        let attempts = execution.attempts.clone();
        let proxy = Arc::clone(&self.proxy);
        let outcome = match writes {
            true => proxy.forward_write(&execution).await,
            false => proxy.forward_read(execution).await,
        };
        match outcome {
            Ok(answer) => {
                if let (true, Ok(_), Some(position)) = (writes, &answer.outcome, answer.position) {
                    self.watermark = self.watermark.max(position);
                }
                self.reply_answer(&answer, Status::Idle);
            }
            Err(refusal) => {
                proxy.refund(&operation, &refusal, &attempts);
                self.reply_refused(id, &refusal);
            }
        }
    }

    /// Starts an operation: determines its route and workspace, spends a token of the rate limit and
    /// counts it.
    async fn admit(&self) -> Result<Operation, Refusal> {
        if *self.phase.borrow() >= Phase::Closing {
            return Err(Refusal::new(Code::Aborted, SHUTTING_DOWN));
        }
        let operation = self.proxy.resolve(&self.database, self.key.as_ref())?;
        self.proxy.admit(&operation).await?;
        let service = &operation.route.service;
        self.proxy
            .primaries
            .record_operation(operation.arrived_at, service);
        Ok(operation)
    }

    /// Execution of a statement with the current state of the session.
    fn execution(&self, operation: Operation, id: &Name, body: Body) -> Execution {
        let deadline = now_ms() + operation.route.timeout_ms;
        Execution {
            operation,
            id: id.clone(),
            body,
            values: Arc::clone(&self.values),
            watermark: self.watermark,
            deadline,
            counted: Counted::default(),
            attempts: Attempts::default(),
        }
    }
}

async fn read_more(
    stream: &mut TcpStream,
    input: &mut BytesMut,
    account: &Account,
) -> Result<(), End> {
    account.wait_for_room(input.len()).await;
    input.reserve(READ_BYTES);
    let read = tokio::select! {
        biased;
        () = account.closed() => return Err(End::Closed),
        read = stream.read_buf(input) => read,
    };
    match read {
        Ok(0) | Err(_) => Err(End::Disconnected),
        Ok(_) => Ok(()),
    }
}

async fn sleep_or_never(limit: Option<Duration>) {
    match limit {
        Some(limit) => tokio::time::sleep(limit).await,
        None => std::future::pending().await,
    }
}
