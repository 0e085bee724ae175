//! The PostgreSQL server of one member.

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
    engine::{self, Cell, Rows, SqlError, Tables, Type, empty_result},
    member::{BoundStatement, lock, read_only},
};

/// Longest message that a member accepts.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Object identifiers of the result column types.
const OID_TEXT: u32 = 25;
const OID_INT8: u32 = 20;
/// Format code of binary values.
const BINARY_FORMAT: i16 = 1;

/// Accepts connections until the task is dropped; closes all of them when the member is killed.
pub(crate) async fn serve(member: Arc<Member>, listener: TcpListener) {
    let mut sessions = JoinSet::new();
    let mut down = member.down.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((socket, peer)) = accepted && !*member.down.borrow() {
                    sessions.spawn(run_session(Arc::clone(&member), socket, peer.ip()));
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

/// Decrements the member's number of open connections on drop.
struct ConnectionGuard(Arc<Member>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn run_session(member: Arc<Member>, socket: TcpStream, peer: IpAddr) {
    let open_connections = member.open_connections.fetch_add(1, Ordering::Relaxed) + 1;
    let _guard = ConnectionGuard(Arc::clone(&member));
    let silence_generation = *member.silence_generation.borrow();
    let mut session = Session {
        stream: Stream::new(socket, MAX_MESSAGE_BYTES),
        peer,
        silence_generation,
        pid: member.next_pid.fetch_add(1, Ordering::Relaxed),
        transaction: None,
        transaction_failed: false,
        skip_to_sync: false,
        prepared: HashMap::new(),
        portals: HashMap::new(),
        member,
    };
    let _ = session.run(open_connections).await;
}

/// An open transaction: its own copy of the tables, and its writes so far.
struct Transaction {
    tables: Tables,
    writes: Vec<BoundStatement>,
    read_only: bool,
}

/// One connection of a caller.
struct Session {
    member: Arc<Member>,
    stream: Stream,
    peer: IpAddr,
    silence_generation: u64,
    pid: i32,
    transaction: Option<Transaction>,
    transaction_failed: bool,
    skip_to_sync: bool,
    /// Query texts by name of the prepared statement.
    prepared: HashMap<String, String>,
    /// Query text, parameters and result format codes, by portal name.
    portals: HashMap<String, (String, Vec<Cell>, Vec<i16>)>,
}

impl Session {
    async fn run(&mut self, open_connections: usize) -> Result<(), PgError> {
        self.wait_until_reachable().await;
        let startup = match self.stream.read_startup_packet().await? {
            Some(StartupPacket::Startup(startup)) => startup,
            Some(StartupPacket::Cancel(cancel)) => {
                self.member.canceled_pid.send_replace(cancel.pid);
                return Ok(());
            }
            None => return Ok(()),
        };
        tokio::time::sleep(Duration::from_millis(self.member.settings.connect_ms)).await;
        if open_connections > self.member.settings.connections as usize {
            return self.refuse("53300", "too many connections").await;
        }
        self.stream.queue(&Authentication::CleartextPassword)?;
        self.stream.flush().await?;
        let Some(PgWireFrontendMessage::PasswordMessageFamily(family)) = self
            .next_frame()
            .await?
            .map(|f| f.decode_frontend())
            .transpose()?
        else {
            return Ok(());
        };
        let password = decode_password(family)?;
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
        self.send_ready_for_query().await?;
        while let Some(frame) = self.next_frame().await? {
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

    /// Reads the next message and returns it once the member is reachable for this connection.
    async fn next_frame(&mut self) -> Result<Option<Frame>, PgError> {
        let frame = self.stream.read().await;
        self.wait_until_reachable().await;
        frame
    }

    /// Waits while the member is frozen or partitioned from this caller, and forever when this
    /// connection was silenced.
    async fn wait_until_reachable(&self) {
        let mut frozen = self.member.frozen.subscribe();
        let mut partitioned = self.member.partitioned.subscribe();
        if *self.member.silence_generation.borrow() != self.silence_generation {
            std::future::pending::<()>().await;
        }
        loop {
            let is_frozen = *frozen.borrow_and_update();
            partitioned.borrow_and_update();
            if !is_frozen && self.member.is_reachable_from(self.peer) {
                return;
            }
            tokio::select! {
                _ = frozen.changed() => {}
                _ = partitioned.changed() => {}
            }
        }
    }

    async fn flush(&mut self) -> Result<(), PgError> {
        self.wait_until_reachable().await;
        self.stream.flush().await
    }

    async fn send_ready_for_query(&mut self) -> Result<(), PgError> {
        let status = match (&self.transaction, self.transaction_failed) {
            (Some(_), true) => TransactionStatus::Error,
            (Some(_), false) => TransactionStatus::Transaction,
            (None, _) => TransactionStatus::Idle,
        };
        self.stream.queue(&ReadyForQuery::new(status))?;
        self.flush().await
    }

    /// Handles one message; returns whether the connection stays open.
    async fn handle(&mut self, frame: &Frame) -> Result<bool, PgError> {
        let message = frame.decode_frontend()?;
        if self.skip_to_sync && !matches!(message, PgWireFrontendMessage::Sync(_)) {
            return Ok(!matches!(message, PgWireFrontendMessage::Terminate(_)));
        }
        match message {
            PgWireFrontendMessage::Terminate(_) => return Ok(false),
            PgWireFrontendMessage::Query(query) => {
                if !self.handle_query(&query.query).await? {
                    return Ok(false);
                }
                self.send_ready_for_query().await?;
            }
            PgWireFrontendMessage::Sync(_) => {
                self.skip_to_sync = false;
                self.send_ready_for_query().await?;
            }
            PgWireFrontendMessage::Flush(_) => self.flush().await?,
            other => match self.handle_extended(other).await {
                Ok(true) => {}
                Ok(false) => return Ok(false),
                Err(error) => {
                    self.skip_to_sync = true;
                    self.transaction_failed = self.transaction.is_some();
                    self.queue_error(&error)?;
                }
            },
        }
        Ok(true)
    }

    fn queue_error(&mut self, error: &SqlError) -> Result<(), PgError> {
        let message = error_response(Severity::Error, error.code, &error.message, "");
        self.stream.queue(&message)
    }

    /// Handles a simple query; returns whether the connection stays open.
    async fn handle_query(&mut self, text: &str) -> Result<bool, PgError> {
        if !self.trigger_fault(text, Point::BeforeRun).await {
            return Ok(false);
        }
        let mut outcome = self.run_text(text).await;
        if !self.trigger_fault(text, Point::AfterRun).await {
            return Ok(false);
        }
        let mut mid_answer_fault = self.member.take_fault(text, Point::MidAnswer);
        let results = match &mut outcome {
            Ok(results) => std::mem::take(results),
            Err(error) => {
                self.transaction_failed = self.transaction.is_some();
                let error = error.clone();
                self.queue_error(&error)?;
                return Ok(true);
            }
        };
        if results.is_empty() {
            self.stream.queue(&EmptyQueryResponse::new())?;
        }
        for rows in &results {
            if !rows.columns.is_empty() {
                self.stream.queue(&row_description(&rows.columns, &[]))?;
            }
            if let Some(fault) = mid_answer_fault.take() {
                self.flush().await?;
                if !self.apply_fault(fault.action).await {
                    return Ok(false);
                }
            }
            self.queue_rows(rows, &[])?;
        }
        Ok(true)
    }

    /// Triggers the fault for this statement at `point`, if there is one; returns whether the
    /// connection stays open.
    async fn trigger_fault(&mut self, text: &str, point: Point) -> bool {
        match self.member.take_fault(text, point) {
            Some(fault) => self.apply_fault(fault.action).await,
            None => true,
        }
    }

    /// Applies a fault's action; returns whether the connection stays open.
    async fn apply_fault(&mut self, action: Action) -> bool {
        match action {
            Action::Close => false,
            Action::Silence => std::future::pending().await,
            Action::DelayMs(delay) => {
                tokio::time::sleep(Duration::from_millis(delay)).await;
                true
            }
        }
    }

    /// Runs the statements of a query string; several statements outside a transaction run in an
    /// implicit one.
    async fn run_text(&mut self, text: &str) -> Result<Vec<Rows>, SqlError> {
        if let Some(rows) = self.builtin(text)? {
            return Ok(vec![rows]);
        }
        let statements = engine::parse(text)?;
        let is_implicit = self.transaction.is_none() && statements.len() > 1;
        if is_implicit {
            self.transaction = Some(self.begin(false));
        }
        let mut results = Vec::new();
        for statement in statements {
            match self.run_statement(text, statement, &[]).await {
                Ok(rows) => results.push(rows),
                Err(error) => {
                    if is_implicit {
                        self.transaction = None;
                    }
                    return Err(error);
                }
            }
        }
        if is_implicit {
            self.commit()?;
        }
        Ok(results)
    }

    fn begin(&self, read_only: bool) -> Transaction {
        Transaction {
            tables: lock(&self.member.state).tables.clone(),
            writes: Vec::new(),
            read_only,
        }
    }

    fn commit(&mut self) -> Result<Rows, SqlError> {
        let Some(transaction) = self.transaction.take() else {
            return Ok(empty_result("COMMIT"));
        };
        if std::mem::take(&mut self.transaction_failed) {
            return Ok(empty_result("ROLLBACK"));
        }
        if !transaction.writes.is_empty() {
            self.member.commit(transaction.writes)?;
        }
        Ok(empty_result("COMMIT"))
    }

    async fn run_statement(
        &mut self,
        text: &str,
        statement: Statement,
        params: &[Cell],
    ) -> Result<Rows, SqlError> {
        match &statement {
            Statement::StartTransaction { modes, .. } => {
                let read_only = modes.iter().any(|mode| mode.to_string() == "READ ONLY");
                self.transaction = Some(self.begin(read_only));
                self.transaction_failed = false;
                return Ok(empty_result("BEGIN"));
            }
            Statement::Commit { .. } => return self.commit(),
            Statement::Rollback { .. } => {
                self.transaction = None;
                self.transaction_failed = false;
                return Ok(empty_result("ROLLBACK"));
            }
            Statement::Discard { .. } => {
                self.prepared.clear();
                self.portals.clear();
                return Ok(empty_result("DISCARD ALL"));
            }
            _ if self.transaction_failed => {
                return Err(SqlError::new("25P02", "the transaction is aborted"));
            }
            _ => {}
        }
        self.member.statement_count.fetch_add(1, Ordering::Relaxed);
        if self.member.records_statements.load(Ordering::Relaxed) {
            lock(&self.member.recorded_statements).push(text.to_owned());
        }
        self.run_in_slot(statement, params).await
    }

    /// Runs one statement in one of the member's slots.
    async fn run_in_slot(
        &mut self,
        statement: Statement,
        params: &[Cell],
    ) -> Result<Rows, SqlError> {
        let member = Arc::clone(&self.member);
        let _slot = member.slots.acquire().await;
        lock(&member.active_pids).insert(self.pid);
        let statement_ms = self.member.settings.statement_ms;
        if statement_ms > 0 {
            tokio::time::sleep(Duration::from_millis(statement_ms)).await;
        }
        let outcome = self.execute(statement, params).await;
        lock(&member.active_pids).remove(&self.pid);
        outcome
    }

    async fn execute(&mut self, statement: Statement, params: &[Cell]) -> Result<Rows, SqlError> {
        let is_write = engine::is_write(&statement);
        if is_write && lock(&self.member.state).role != Role::Primary {
            return Err(read_only());
        }
        let statement = Arc::new(statement);
        let rows = if let Some(transaction) = &mut self.transaction {
            if is_write && transaction.read_only {
                return Err(read_only());
            }
            let rows = transaction.tables.run(&statement, params)?;
            if is_write {
                transaction.writes.push((statement, params.to_vec()));
            }
            rows
        } else {
            let mut tables = lock(&self.member.state).tables.clone();
            let rows = tables.run(&statement, params)?;
            if is_write {
                self.member.commit(vec![(statement, params.to_vec())])?;
            }
            rows
        };
        if rows.sleep_ms > 0 {
            self.sleep(rows.sleep_ms).await?;
        }
        Ok(rows)
    }

    /// Sleeps for `pg_sleep`, until a cancel request ends it.
    async fn sleep(&mut self, sleep_ms: u64) -> Result<(), SqlError> {
        let mut canceled_pid = self.member.canceled_pid.subscribe();
        let end = tokio::time::sleep(Duration::from_millis(sleep_ms));
        tokio::pin!(end);
        loop {
            tokio::select! {
                () = &mut end => return Ok(()),
                Ok(()) = canceled_pid.changed() => {
                    if *canceled_pid.borrow_and_update() == self.pid {
                        return Err(SqlError::new("57014", "canceled on request"));
                    }
                }
            }
        }
    }

    /// Queues data rows and the command tag.
    fn queue_rows(&mut self, rows: &Rows, formats: &[i16]) -> Result<(), PgError> {
        for row in &rows.rows {
            let mut data = BytesMut::new();
            for (index, cell) in row.iter().enumerate() {
                let column_type = rows.columns.get(index).map_or(Type::Text, |c| c.1);
                put_cell(&mut data, cell, column_type, format_of(formats, index));
            }
            self.stream.queue(&DataRow::new(data, row.len() as i16))?;
        }
        self.stream.queue(&CommandComplete::new(rows.tag.clone()))
    }
}

fn decode_password(family: PasswordMessageFamily) -> Result<String, PgError> {
    Ok(family.into_password()?.password)
}

fn one_row(cells: &[(&str, &str)]) -> Rows {
    Rows {
        columns: cells
            .iter()
            .map(|(name, _)| ((*name).to_owned(), Type::Text))
            .collect(),
        rows: vec![
            cells
                .iter()
                .map(|(_, value)| Some((*value).to_owned()))
                .collect(),
        ],
        tag: "SELECT 1".into(),
        sleep_ms: 0,
    }
}

fn row_description(columns: &[(String, Type)], formats: &[i16]) -> RowDescription {
    let field = |(index, (name, column_type)): (usize, &(String, Type))| {
        let (oid, size) = match column_type {
            Type::Text => (OID_TEXT, -1),
            Type::Int8 => (OID_INT8, 8),
        };
        let format = format_of(formats, index);
        FieldDescription::new(name.clone(), 0, 0, oid, size, -1, format)
    };
    RowDescription::new(columns.iter().enumerate().map(field).collect())
}

/// Format code of a column: none means text, and a single code applies to all columns.
fn format_of(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [all] => *all,
        by_column => by_column.get(index).copied().unwrap_or(0),
    }
}

fn put_cell(data: &mut BytesMut, cell: &Cell, column_type: Type, format: i16) {
    let Some(text) = cell else {
        data.put_i32(-1);
        return;
    };
    if column_type == Type::Int8 && format == BINARY_FORMAT {
        data.put_i32(8);
        data.put_i64(text.parse().unwrap_or(0));
    } else {
        data.put_i32(text.len() as i32);
        data.put_slice(text.as_bytes());
    }
}

fn decode_parameters(bind: &Bind) -> Result<Vec<Cell>, SqlError> {
    let text = |bytes: &Bytes| {
        String::from_utf8(bytes.to_vec())
            .map_err(|_| SqlError::new("22021", "a parameter is no UTF-8"))
    };
    bind.parameters
        .iter()
        .map(|parameter| parameter.as_ref().map(text).transpose())
        .collect()
}
