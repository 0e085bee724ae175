//! One caller's session, statement by statement.

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
    CallerEvent, Code, Reply, Shape, Site, Statement, Status,
    admission::{Operation, Refusal},
    link::{Answer, Values},
    read::Work,
    transaction::{Step, Transaction},
};
use crate::{clock::now_ms, control::HostState, event::Event};

/// Longest message of a caller, in bytes.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;
/// Room made for each read, in bytes.
const READ_BYTES: usize = 1024;
/// Longest wait for the first message.
const START_LIMIT: Duration = Duration::from_secs(5);
/// Longest wait for a caller that does not read.
const WRITE_LIMIT: Duration = Duration::from_secs(10);
/// Most values and most prepared statements of one session.
const MAX_NAMES: usize = 256;

/// Why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The caller left, or its connection broke.
    Gone,
    /// This host shuts down.
    Draining,
    /// The caller sent what is no message.
    Malformed,
    /// The caller was refused.
    Refused,
}

/// A session.
pub(crate) struct Session {
    site: Arc<Site>,
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    database: Name,
    key: Option<Name>,
    values: Arc<Values>,
    prepared: HashMap<Name, (Name, Shape)>,
    watermark: Position,
    transaction: Option<Transaction>,
    closing: watch::Receiver<bool>,
}

impl Session {
    pub(crate) fn new(site: Arc<Site>, stream: TcpStream) -> Self {
        let closing = site.closing();
        Self {
            site,
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            database: "".into(),
            key: None,
            values: Arc::default(),
            prepared: HashMap::new(),
            watermark: Position::default(),
            transaction: None,
            closing,
        }
    }

    /// Serves until either end leaves.
    pub(crate) async fn run(mut self, caller: SocketAddr) {
        let end = self.serve().await.unwrap_or_else(|end| end);
        if end == End::Malformed {
            let site = &self.site;
            site.timeline
                .emit(Event::CallerMalformed, &[("caller", &caller)]);
        }
        let _ = self.stream.shutdown().await;
    }

    async fn serve(&mut self) -> Result<End, End> {
        let first = timeout(START_LIMIT, self.event()).await;
        let CallerEvent::Start { database, key } = first.map_err(|_| End::Gone)?? else {
            return Err(End::Malformed);
        };
        self.database = database;
        self.key = key;
        if let Err(refusal) = self.site.identify(&self.database, self.key.as_ref()) {
            self.report(&"-".into(), &refusal);
            self.put(&Reply::Failed(refusal.code, refusal.reason.as_bytes()));
            self.flush().await?;
            return Err(End::Refused);
        }
        self.put(&Reply::Ready(Status::Idle, None));
        self.flush().await?;
        loop {
            match self.next().await? {
                CallerEvent::Query { id, statement } => {
                    self.statement(&id, statement).await;
                    self.flush().await?;
                }
                CallerEvent::Bye => return Ok(End::Gone),
                CallerEvent::Start { .. } => return Err(End::Malformed),
            }
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Input

    /// Next message; ends an idle session while the host shuts down, and a transaction that idles.
    async fn next(&mut self) -> Result<CallerEvent, End> {
        loop {
            if let Some(event) = self.parse()? {
                return Ok(event);
            }
            let world = self.site.world();
            let idle = self.transaction.is_none() && self.input.is_empty();
            let closing = *self.closing.borrow_and_update();
            if closing && idle {
                return Err(End::Draining);
            }
            let limit = self.idle_limit(&world);
            tokio::select! {
                read = read_more(&mut self.stream, &mut self.input) => read?,
                _ = self.closing.changed() => {}
                () = sleep_or_never(limit) => {
                    if let Some(transaction) = &mut self.transaction {
                        transaction.abandon();
                        transaction.failed = true;
                    }
                }
            }
        }
    }

    fn idle_limit(&self, world: &HostState) -> Option<Duration> {
        let open = self
            .transaction
            .as_ref()
            .is_some_and(|transaction| !transaction.failed);
        let limit = world.state.catalog.transaction_idle_ms();
        (open && limit > 0).then(|| Duration::from_millis(limit))
    }

    async fn event(&mut self) -> Result<CallerEvent, End> {
        loop {
            if let Some(event) = self.parse()? {
                return Ok(event);
            }
            read_more(&mut self.stream, &mut self.input).await?;
        }
    }

    fn parse(&mut self) -> Result<Option<CallerEvent>, End> {
        let event = (self.site.dialect.read_caller)(&mut self.input);
        let event = event.map_err(|_| End::Malformed)?;
        if event.is_none() && self.input.len() > MAX_MESSAGE_BYTES {
            return Err(End::Malformed);
        }
        Ok(event)
    }

    // ---------------------------------------------------------------------------------------------
    // Statements

    async fn statement(&mut self, id: &Name, statement: Statement) {
        let failed = self.transaction.as_ref().is_some_and(|t| t.failed);
        if failed && statement != Statement::Rollback && statement != Statement::Commit {
            self.fail(Code::Malformed, "the transaction has failed");
            return;
        }
        match statement {
            Statement::Begin { read } => self.begin(id, read).await,
            Statement::Commit => self.commit(id).await,
            Statement::Rollback => {
                if let Some(mut transaction) = self.transaction.take() {
                    transaction.abandon();
                    self.done();
                } else {
                    self.fail(Code::Malformed, "no transaction is open");
                }
            }
            Statement::Set { name, value } => {
                let values = Arc::make_mut(&mut self.values);
                if values.len() < MAX_NAMES || values.contains_key(&name) {
                    values.insert(name, value);
                    self.done();
                } else {
                    self.fail(Code::Malformed, "too many values");
                }
            }
            Statement::Prepare { name, shape } => self.prepare(name, shape),
            Statement::Deallocate { name } => match self.prepared.remove(&name) {
                Some(_) => self.done(),
                None => self.fail(Code::NoStatement, "no such prepared statement"),
            },
            Statement::Execute { name, arguments } => match self.prepared.get(&name).cloned() {
                Some((shared, shape)) => {
                    let text = (self.site.dialect.execute)(&shared, &arguments);
                    let writes = shape.writes;
                    self.execute(id, text.into(), Some((shared, shape)), writes)
                        .await;
                }
                None => self.fail(Code::NoStatement, "no such prepared statement"),
            },
            Statement::Read(text) => self.execute(id, text, None, false).await,
            Statement::Write(text) => self.execute(id, text, None, true).await,
            Statement::Unknown => self.fail(Code::Malformed, "not a statement"),
        }
    }

    /// Names a statement. Equal statements share one name at the members.
    fn prepare(&mut self, name: Name, shape: Shape) {
        if self.prepared.len() >= MAX_NAMES && !self.prepared.contains_key(&name) {
            self.fail(Code::Malformed, "too many prepared statements");
            return;
        }
        let kind = if shape.writes { "w" } else { "r" };
        let digest = blake3::hash(shape.text.as_bytes()).to_hex();
        let shared = Name::from(format!("{kind}{}", &digest[..12]));
        self.prepared.insert(name, (shared, shape));
        self.done();
    }

    async fn begin(&mut self, id: &Name, read: bool) {
        if self.transaction.is_some() {
            self.fail(Code::Malformed, "a transaction is open");
            return;
        }
        match self.admit().await {
            Ok(operation) => {
                let transaction = Transaction::new(operation, read, self.watermark);
                self.transaction = Some(transaction);
                self.done();
            }
            Err(refusal) => self.refuse(id, &refusal),
        }
    }

    async fn commit(&mut self, id: &Name) {
        let Some(mut transaction) = self.transaction.take() else {
            self.fail(Code::Malformed, "no transaction is open");
            return;
        };
        if transaction.failed {
            transaction.abandon();
            self.fail(Code::Aborted, "the transaction has failed");
            return;
        }
        let text = self.site.dialect.commit.into();
        let work = self.work(transaction.operation.clone(), id, text, None);
        let outcome = transaction
            .run(&self.site.clone(), &work, Step::Commit)
            .await;
        transaction.abandon();
        drop(transaction);
        match outcome {
            Ok(answer) => {
                if let (Ok(_), Some(position)) = (&answer.outcome, answer.position) {
                    self.watermark = self.watermark.max(position);
                }
                self.answer(&answer, Status::Idle);
            }
            Err(refusal) => self.refuse(id, &refusal),
        }
    }

    async fn execute(&mut self, id: &Name, text: Name, shape: Option<(Name, Shape)>, writes: bool) {
        let step = if writes { Step::Write } else { Step::Read };
        if let Some(mut transaction) = self.transaction.take() {
            let work = self.work(transaction.operation.clone(), id, text, shape);
            let outcome = transaction.run(&self.site.clone(), &work, step).await;
            self.transaction = Some(transaction);
            match outcome {
                Ok(answer) => {
                    let status = self.status();
                    self.answer(&answer, status);
                }
                Err(refusal) => self.refuse(id, &refusal),
            }
            return;
        }
        let operation = match self.admit().await {
            Ok(operation) => operation,
            Err(refusal) => return self.refuse(id, &refusal),
        };
        let work = self.work(operation, id, text, shape);
        let site = Arc::clone(&self.site);
        let outcome = match writes {
            true => site.write(&work).await,
            false => site.read(work).await,
        };
        match outcome {
            Ok(answer) => {
                if let (true, Ok(_), Some(position)) = (writes, &answer.outcome, answer.position) {
                    self.watermark = self.watermark.max(position);
                }
                self.answer(&answer, Status::Idle);
            }
            Err(refusal) => self.refuse(id, &refusal),
        }
    }

    async fn admit(&self) -> Result<Operation, Refusal> {
        let operation = self.site.identify(&self.database, self.key.as_ref())?;
        self.site.admit(&operation).await?;
        let service = &operation.route.service;
        self.site.board.count(operation.arrived, service);
        Ok(operation)
    }

    fn work(
        &self,
        operation: Operation,
        id: &Name,
        text: Name,
        shape: Option<(Name, Shape)>,
    ) -> Work {
        let deadline = now_ms() + operation.route.timeout_ms;
        Work {
            operation,
            id: id.clone(),
            text,
            shape,
            values: Arc::clone(&self.values),
            watermark: self.watermark,
            deadline,
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Output

    fn status(&self) -> Status {
        match &self.transaction {
            None => Status::Idle,
            Some(transaction) if transaction.failed => Status::Failed,
            Some(_) => Status::Open,
        }
    }

    fn put(&mut self, reply: &Reply<'_>) {
        (self.site.dialect.write_caller)(&mut self.output, reply);
    }

    fn done(&mut self) {
        self.put(&Reply::Done(None));
        let status = self.status();
        self.put(&Reply::Ready(status, None));
    }

    fn fail(&mut self, code: Code, reason: &str) {
        self.put(&Reply::Failed(code, reason.as_bytes()));
        let status = self.status();
        self.put(&Reply::Ready(status, None));
    }

    fn refuse(&mut self, id: &Name, refusal: &Refusal) {
        self.report(id, refusal);
        self.fail(refusal.code, refusal.reason);
    }

    fn answer(&mut self, answer: &Answer, status: Status) {
        for row in &answer.rows {
            self.put(&Reply::Row(row));
        }
        match &answer.outcome {
            Ok(signature) => self.put(&Reply::Done(Some(signature))),
            Err((code, text)) => self.put(&Reply::Failed(*code, text)),
        }
        self.put(&Reply::Ready(status, answer.position));
    }

    fn report(&self, id: &Name, refusal: &Refusal) {
        let world = self.site.world();
        let event = match refusal.code {
            Code::InDoubt => Event::OutcomeUnknown,
            _ => Event::NotRun,
        };
        let catalog = &world.state.catalog;
        let holder = self
            .key
            .as_ref()
            .and_then(|key| catalog.workspace_by_key(key));
        let workspace = holder.map_or("-", |holder| holder);
        let fields: [(&str, &dyn std::fmt::Display); 8] = [
            ("id", id),
            ("workspace", &workspace),
            ("database", &self.database),
            ("code", &refusal.code),
            ("reason", &refusal.reason),
            ("trail", &refusal.trail),
            ("configuration", &catalog.version()),
            ("lease_ms", &world.lease.remaining(now_ms())),
        ];
        self.site.timeline.emit(event, &fields);
        self.site.metrics.count_refusal(refusal.reason);
    }

    async fn flush(&mut self) -> Result<(), End> {
        let written = timeout(WRITE_LIMIT, self.stream.write_all(&self.output)).await;
        self.output.clear();
        match written {
            Ok(Ok(())) => Ok(()),
            _ => Err(End::Gone),
        }
    }
}

async fn read_more(stream: &mut TcpStream, input: &mut BytesMut) -> Result<(), End> {
    input.reserve(READ_BYTES);
    match stream.read_buf(input).await {
        Ok(0) | Err(_) => Err(End::Gone),
        Ok(_) => Ok(()),
    }
}

async fn sleep_or_never(limit: Option<Duration>) {
    match limit {
        Some(limit) => tokio::time::sleep(limit).await,
        None => std::future::pending().await,
    }
}
