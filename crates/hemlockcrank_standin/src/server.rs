//! The PostgreSQL face of one member.

mod builtin;
mod extended;

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::{BufMut, Bytes, BytesMut};
use hemlockcrank_core::directory::Role;
use hemlockcrank_host::pg::{Frame, PgError, Severity, StartupPacket, Stream, error_response};
use pgwire::messages::{
    PgWireFrontendMessage,
    data::{DataRow, FieldDescription, RowDescription},
    extendedquery::Bind,
    response::{CommandComplete, EmptyQueryResponse, ReadyForQuery, TransactionStatus},
    startup::{Authentication, BackendKeyData, ParameterStatus, PasswordMessageFamily, SecretKey},
};
use sqlparser::ast::Statement;
use tokio::{net::TcpListener, net::TcpStream, task::JoinSet};

use crate::{
    Action, Member, Point,
    engine::{self, Cell, Rows, SqlError, Tables, Type, tagged},
    member::{Work, lock, read_only},
};

/// Longest message that a member reads.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Object identifiers of the result types.
const OID_TEXT: u32 = 25;
const OID_INT8: u32 = 20;
/// Format code of binary cells.
const BINARY: i16 = 1;

/// Accepts callers until the task is dropped.
pub(crate) async fn serve(member: Arc<Member>, listener: TcpListener) {
    let mut sessions = JoinSet::new();
    let mut down = member.down.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((socket, peer)) = accepted && !*member.down.borrow() {
                    sessions.spawn(session(Arc::clone(&member), socket, peer.ip()));
                }
            }
            Some(_) = sessions.join_next() => {}
            Ok(()) = down.changed() => {
                if *down.borrow_and_update() {
                    sessions.abort_all();
                }
            }
        }
    }
}

/// Counts a connection while it is open.
struct Counted(Arc<Member>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn session(member: Arc<Member>, socket: TcpStream, peer: IpAddr) {
    let open = member.connections.fetch_add(1, Ordering::Relaxed) + 1;
    let _counted = Counted(Arc::clone(&member));
    let generation = *member.silenced.borrow();
    let mut session = Session {
        stream: Stream::new(socket, MAX_MESSAGE_BYTES),
        peer,
        generation,
        pid: member.next_pid.fetch_add(1, Ordering::Relaxed),
        transaction: None,
        failed: false,
        skip_to_sync: false,
        prepared: HashMap::new(),
        portals: HashMap::new(),
        member,
    };
    let _ = session.run(open).await;
}

/// An open transaction: its own copy of the tables and what it did.
struct Transaction {
    tables: Tables,
    work: Vec<Work>,
    read_only: bool,
}

struct Session {
    member: Arc<Member>,
    stream: Stream,
    peer: IpAddr,
    generation: u64,
    pid: i32,
    transaction: Option<Transaction>,
    failed: bool,
    skip_to_sync: bool,
    prepared: HashMap<String, String>,
    portals: HashMap<String, (String, Vec<Cell>, Vec<i16>)>,
}

impl Session {
    async fn run(&mut self, open: usize) -> Result<(), PgError> {
        self.pass().await;
        let startup = match self.stream.read_startup_packet().await? {
            Some(StartupPacket::Startup(startup)) => startup,
            Some(StartupPacket::Cancel(cancel)) => {
                self.member.canceled.send_replace(cancel.pid);
                return Ok(());
            }
            None => return Ok(()),
        };
        tokio::time::sleep(Duration::from_millis(self.member.settings.connect_ms)).await;
        if open > self.member.settings.connections as usize {
            return self.refuse("53300", "too many connections").await;
        }
        self.stream.queue(&Authentication::CleartextPassword)?;
        self.stream.flush().await?;
        let Some(PgWireFrontendMessage::PasswordMessageFamily(family)) = self
            .next()
            .await?
            .map(|f| f.decode_frontend())
            .transpose()?
        else {
            return Ok(());
        };
        let password = password_of(family)?;
        lock(&self.member.passwords).insert(password.clone());
        let user = startup.parameters.get("user").map_or("", String::as_str);
        if password != *self.member.settings.password || user.is_empty() {
            return self.refuse("28P01", "password authentication failed").await;
        }
        self.stream.queue(&Authentication::Ok)?;
        for (name, value) in [("server_version", "16.0"), ("client_encoding", "UTF8")] {
            let status = ParameterStatus::new(name.into(), value.into());
            self.stream.queue(&status)?;
        }
        let key = BackendKeyData::new(self.pid, SecretKey::I32(self.pid));
        self.stream.queue(&key)?;
        self.ready().await?;
        while let Some(frame) = self.next().await? {
            if !self.handle(&frame).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn refuse(&mut self, code: &str, message: &str) -> Result<(), PgError> {
        let error = error_response(Severity::Fatal, code, message, "");
        self.stream.queue(&error)?;
        self.stream.close().await;
        Ok(())
    }

    /// Next message; waits for good while the member is frozen or this connection is cut or silent.
    async fn next(&mut self) -> Result<Option<Frame>, PgError> {
        let frame = self.stream.read().await;
        self.pass().await;
        frame
    }

    /// Waits while the member is frozen or cut from this peer, and for good once silenced.
    async fn pass(&self) {
        let mut frozen = self.member.frozen.subscribe();
        let mut cut = self.member.cut.subscribe();
        if *self.member.silenced.borrow() != self.generation {
            std::future::pending::<()>().await;
        }
        loop {
            let stuck = *frozen.borrow_and_update();
            cut.borrow_and_update();
            if !stuck && self.member.is_reachable_from(self.peer) {
                return;
            }
            tokio::select! {
                _ = frozen.changed() => {}
                _ = cut.changed() => {}
            }
        }
    }

    async fn flush(&mut self) -> Result<(), PgError> {
        self.pass().await;
        self.stream.flush().await
    }

    async fn ready(&mut self) -> Result<(), PgError> {
        let status = match (&self.transaction, self.failed) {
            (Some(_), true) => TransactionStatus::Error,
            (Some(_), false) => TransactionStatus::Transaction,
            (None, _) => TransactionStatus::Idle,
        };
        self.stream.queue(&ReadyForQuery::new(status))?;
        self.flush().await
    }

    /// Serves one message; returns whether the connection goes on.
    async fn handle(&mut self, frame: &Frame) -> Result<bool, PgError> {
        let message = frame.decode_frontend()?;
        if self.skip_to_sync && !matches!(message, PgWireFrontendMessage::Sync(_)) {
            return Ok(!matches!(message, PgWireFrontendMessage::Terminate(_)));
        }
        match message {
            PgWireFrontendMessage::Terminate(_) => return Ok(false),
            PgWireFrontendMessage::Query(query) => {
                if !self.simple(&query.query).await? {
                    return Ok(false);
                }
                self.ready().await?;
            }
            PgWireFrontendMessage::Sync(_) => {
                self.skip_to_sync = false;
                self.ready().await?;
            }
            PgWireFrontendMessage::Flush(_) => self.flush().await?,
            other => match self.extended(other).await {
                Ok(true) => {}
                Ok(false) => return Ok(false),
                Err(error) => {
                    self.skip_to_sync = true;
                    self.failed = self.transaction.is_some();
                    self.error(&error)?;
                }
            },
        }
        Ok(true)
    }

    fn error(&mut self, error: &SqlError) -> Result<(), PgError> {
        let message = error_response(Severity::Error, error.code, &error.message, "");
        self.stream.queue(&message)
    }

    /// Runs a simple query; returns whether the connection goes on.
    async fn simple(&mut self, text: &str) -> Result<bool, PgError> {
        if !self.strike(text, Point::BeforeRun).await {
            return Ok(false);
        }
        let mut outcome = self.run_text(text).await;
        if !self.strike(text, Point::AfterRun).await {
            return Ok(false);
        }
        let mut mid_answer = self.member.take_fault(text, Point::MidAnswer);
        let results = match &mut outcome {
            Ok(results) => std::mem::take(results),
            Err(error) => {
                self.failed = self.transaction.is_some();
                let error = error.clone();
                self.error(&error)?;
                return Ok(true);
            }
        };
        if results.is_empty() {
            self.stream.queue(&EmptyQueryResponse::new())?;
        }
        for rows in &results {
            if !rows.columns.is_empty() {
                self.stream.queue(&describe(&rows.columns, &[]))?;
            }
            if let Some(fault) = mid_answer.take() {
                self.flush().await?;
                if !self.act(fault.action).await {
                    return Ok(false);
                }
            }
            self.rows(rows, &[])?;
        }
        Ok(true)
    }

    async fn strike(&mut self, text: &str, point: Point) -> bool {
        match self.member.take_fault(text, point) {
            Some(fault) => self.act(fault.action).await,
            None => true,
        }
    }

    async fn act(&mut self, action: Action) -> bool {
        match action {
            Action::Close => false,
            Action::Silence => std::future::pending().await,
            Action::DelayMs(delay) => {
                tokio::time::sleep(Duration::from_millis(delay)).await;
                true
            }
        }
    }

    async fn run_text(&mut self, text: &str) -> Result<Vec<Rows>, SqlError> {
        if let Some(rows) = self.builtin(text)? {
            return Ok(vec![rows]);
        }
        let statements = engine::parse(text)?;
        let alone = self.transaction.is_none() && statements.len() > 1;
        if alone {
            self.transaction = Some(self.begin(false));
        }
        let mut results = Vec::new();
        for statement in statements {
            match self.statement(text, statement, &[]).await {
                Ok(rows) => results.push(rows),
                Err(error) => {
                    if alone {
                        self.transaction = None;
                    }
                    return Err(error);
                }
            }
        }
        if alone {
            self.commit()?;
        }
        Ok(results)
    }

    fn begin(&self, read_only: bool) -> Transaction {
        Transaction {
            tables: lock(&self.member.state).tables.clone(),
            work: Vec::new(),
            read_only,
        }
    }

    fn commit(&mut self) -> Result<Rows, SqlError> {
        let Some(transaction) = self.transaction.take() else {
            return Ok(tagged("COMMIT"));
        };
        if std::mem::take(&mut self.failed) {
            return Ok(tagged("ROLLBACK"));
        }
        if !transaction.work.is_empty() {
            self.member.commit(transaction.work)?;
        }
        Ok(tagged("COMMIT"))
    }

    async fn statement(
        &mut self,
        text: &str,
        statement: Statement,
        params: &[Cell],
    ) -> Result<Rows, SqlError> {
        match &statement {
            Statement::StartTransaction { modes, .. } => {
                let read_only = modes.iter().any(|mode| mode.to_string() == "READ ONLY");
                self.transaction = Some(self.begin(read_only));
                self.failed = false;
                return Ok(tagged("BEGIN"));
            }
            Statement::Commit { .. } => return self.commit(),
            Statement::Rollback { .. } => {
                self.transaction = None;
                self.failed = false;
                return Ok(tagged("ROLLBACK"));
            }
            Statement::Discard { .. } => {
                self.prepared.clear();
                self.portals.clear();
                return Ok(tagged("DISCARD ALL"));
            }
            _ if self.failed => {
                return Err(SqlError::new("25P02", "the transaction is aborted"));
            }
            _ => {}
        }
        self.member.statements.fetch_add(1, Ordering::Relaxed);
        if self.member.recording.load(Ordering::Relaxed) {
            lock(&self.member.texts).push(text.to_owned());
        }
        self.in_slot(statement, params).await
    }

    /// Runs one statement in one of the member's slots.
    async fn in_slot(&mut self, statement: Statement, params: &[Cell]) -> Result<Rows, SqlError> {
        let member = Arc::clone(&self.member);
        let _slot = member.slots.acquire().await;
        lock(&member.active).insert(self.pid);
        let took = self.member.settings.statement_ms;
        if took > 0 {
            tokio::time::sleep(Duration::from_millis(took)).await;
        }
        let outcome = self.execute(statement, params).await;
        lock(&member.active).remove(&self.pid);
        outcome
    }

    async fn execute(&mut self, statement: Statement, params: &[Cell]) -> Result<Rows, SqlError> {
        let writes = engine::writes(&statement);
        if writes && lock(&self.member.state).role != Role::Primary {
            return Err(read_only());
        }
        let statement = Arc::new(statement);
        let rows = if let Some(transaction) = &mut self.transaction {
            if writes && transaction.read_only {
                return Err(read_only());
            }
            let rows = transaction.tables.run(&statement, params)?;
            if writes {
                transaction.work.push((statement, params.to_vec()));
            }
            rows
        } else {
            let mut tables = lock(&self.member.state).tables.clone();
            let rows = tables.run(&statement, params)?;
            if writes {
                self.member.commit(vec![(statement, params.to_vec())])?;
            }
            rows
        };
        if rows.sleep_ms > 0 {
            self.sleep(rows.sleep_ms).await?;
        }
        Ok(rows)
    }

    async fn sleep(&mut self, sleep_ms: u64) -> Result<(), SqlError> {
        let mut canceled = self.member.canceled.subscribe();
        let end = tokio::time::sleep(Duration::from_millis(sleep_ms));
        tokio::pin!(end);
        loop {
            tokio::select! {
                () = &mut end => return Ok(()),
                Ok(()) = canceled.changed() => {
                    if *canceled.borrow_and_update() == self.pid {
                        return Err(SqlError::new("57014", "canceled on request"));
                    }
                }
            }
        }
    }

    fn rows(&mut self, rows: &Rows, formats: &[i16]) -> Result<(), PgError> {
        for row in &rows.rows {
            let mut data = BytesMut::new();
            for (index, cell) in row.iter().enumerate() {
                let kind = rows.columns.get(index).map_or(Type::Text, |c| c.1);
                put_cell(&mut data, cell, kind, format_of(formats, index));
            }
            self.stream.queue(&DataRow::new(data, row.len() as i16))?;
        }
        self.stream.queue(&CommandComplete::new(rows.tag.clone()))
    }
}

fn password_of(family: PasswordMessageFamily) -> Result<String, PgError> {
    Ok(family.into_password()?.password)
}

fn one_row(cells: &[(&str, &str)]) -> Rows {
    Rows {
        columns: cells
            .iter()
            .map(|(n, _)| ((*n).to_owned(), Type::Text))
            .collect(),
        rows: vec![cells.iter().map(|(_, v)| Some((*v).to_owned())).collect()],
        tag: "SELECT 1".into(),
        sleep_ms: 0,
    }
}

fn describe(columns: &[(String, Type)], formats: &[i16]) -> RowDescription {
    let field = |(index, (name, kind)): (usize, &(String, Type))| {
        let (oid, size) = match kind {
            Type::Text => (OID_TEXT, -1),
            Type::Int8 => (OID_INT8, 8),
        };
        let format = format_of(formats, index);
        FieldDescription::new(name.clone(), 0, 0, oid, size, -1, format)
    };
    RowDescription::new(columns.iter().enumerate().map(field).collect())
}

fn format_of(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [one] => *one,
        many => many.get(index).copied().unwrap_or(0),
    }
}

fn put_cell(data: &mut BytesMut, cell: &Cell, kind: Type, format: i16) {
    let Some(text) = cell else {
        data.put_i32(-1);
        return;
    };
    if kind == Type::Int8 && format == BINARY {
        data.put_i32(8);
        data.put_i64(text.parse().unwrap_or(0));
    } else {
        data.put_i32(text.len() as i32);
        data.put_slice(text.as_bytes());
    }
}

fn parameters(bind: &Bind) -> Result<Vec<Cell>, SqlError> {
    let text = |bytes: &Bytes| {
        String::from_utf8(bytes.to_vec())
            .map_err(|_| SqlError::new("22021", "a parameter is no UTF-8"))
    };
    bind.parameters
        .iter()
        .map(|parameter| parameter.as_ref().map(text).transpose())
        .collect()
}
