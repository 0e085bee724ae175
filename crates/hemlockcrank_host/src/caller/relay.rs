//! Transfer of messages between a caller and a database connection.

use std::{sync::Arc, time::Duration};

use hemlockcrank_core::Name;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage, extendedquery::Close};

use super::{session::Session, unit::Unit};
use crate::{
    control::HostState,
    event::Event,
    pg::{Frame, PgError, tag},
    upstream::{Connection, ConnectionError, PooledConnection, error_fields},
};

/// Size of the buffered part of an answer, in bytes, at which it is sent before the answer is
/// complete.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Time limit of the check whether a statement still runs, and of the last read from its connection
/// if it does not, before the connection is regarded as silent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Status byte outside a transaction.
pub(crate) const IDLE: u8 = b'I';

/// A failure while relaying: on the caller's side or on the database's.
#[derive(Debug)]
pub(crate) enum RelayError {
    /// The caller's connection broke.
    Caller(PgError),
    /// The database's connection broke; `relayed` tells whether part of the answer was passed on to
    /// the caller's stream.
    Database { relayed: bool },
}

/// A complete answer that has not been sent to the caller, except for rows beyond the buffer size.
#[derive(Debug, Default)]
pub(crate) struct BufferedAnswer {
    pub(crate) frames: Vec<Frame>,
    /// Transaction status byte of ReadyForQuery.
    pub(crate) status: u8,
    /// SQLSTATE of the error in the answer.
    pub(crate) error: Option<String>,
    /// Whether the answer contains the completion of a COMMIT.
    pub(crate) committed: bool,
    /// Whether part of the answer was sent already.
    pub(crate) relayed: bool,
}

impl Session {
    /// Applies this session's settings to a connection that another session may have used before.
    pub(crate) async fn apply_session_state(
        &self,
        connection: &mut Connection,
    ) -> Result<(), ConnectionError> {
        let is_current =
            connection.owner == self.number && connection.settings_version == self.settings_version;
        if is_current {
            return Ok(());
        }
        if connection.dirty {
            connection.query("DISCARD ALL").await?;
            connection.prepared.clear();
            connection.dirty = false;
        }
        for text in self.database_settings.values() {
            connection.query(text).await?;
            connection.dirty = true;
        }
        connection.owner = self.number;
        connection.settings_version = self.settings_version;
        Ok(())
    }

    /// Sends a unit, preceded by the named statements that it needs and the connection lacks.
    ///
    /// Returns how many of the first messages of the answer belong to the proxy's own Parse and
    /// Close.
    pub(crate) async fn send_unit(
        &self,
        connection: &mut Connection,
        unit: &Unit,
    ) -> Result<usize, ConnectionError> {
        let mut skip = 0;
        for name in &unit.required_statements {
            if !connection.prepared.contains(name)
                && let Some(statement) = self.prepared.get(name)
            {
                connection.stream.queue_frame(&statement.frame);
                connection.prepared.insert(name.clone());
                skip += 1;
            }
        }
        for frame in &unit.frames {
            if let Some(name) = parse_statement_name(frame)? {
                connection.dirty = true;
                if !connection.prepared.insert(name.clone()) {
                    connection.stream.queue(&Close::new(b'S', Some(name)))?;
                    skip += 1;
                }
            }
        }
        connection.dirty |= skip > 0;
        for frame in &unit.frames {
            connection.stream.queue_frame(frame);
        }
        connection.stream.flush().await?;
        Ok(skip)
    }

    /// Relays a complete answer while it arrives; returns the transaction status and the error's
    /// SQLSTATE.
    pub(crate) async fn relay_answer(
        &mut self,
        pooled: &mut PooledConnection,
        mut skip: usize,
    ) -> Result<(u8, Option<String>), RelayError> {
        let mut relayed = false;
        let mut error = None;
        loop {
            let frame = self.next_answer_frame(pooled, &mut skip, relayed).await?;
            match frame.tag {
                tag::READY_FOR_QUERY => {
                    let status = frame.body().first().copied().unwrap_or(IDLE);
                    return Ok((status, error));
                }
                tag::ERROR_RESPONSE => {
                    error = error_fields(&frame).ok().map(|(sqlstate, _)| sqlstate);
                }
                _ => {}
            }
            relayed = true;
            self.stream.queue_frame(&frame);
            if self.stream.queued_bytes() >= MAX_BUFFERED_BYTES {
                self.stream.flush().await.map_err(RelayError::Caller)?;
            }
        }
    }

    /// Reads a complete answer into memory. Rows are sent early only when they exceed the buffer
    /// size; the command's completion, which acknowledges the command to the caller, is never sent
    /// here.
    pub(crate) async fn buffer_answer(
        &mut self,
        pooled: &mut PooledConnection,
        mut skip: usize,
    ) -> Result<BufferedAnswer, RelayError> {
        let mut answer = BufferedAnswer::default();
        let mut buffered_bytes = 0;
        loop {
            let relayed = answer.relayed;
            let frame = self.next_answer_frame(pooled, &mut skip, relayed).await?;
            match frame.tag {
                tag::READY_FOR_QUERY => {
                    answer.status = frame.body().first().copied().unwrap_or(IDLE);
                    return Ok(answer);
                }
                tag::ERROR_RESPONSE => {
                    answer.error = error_fields(&frame).ok().map(|(sqlstate, _)| sqlstate);
                }
                tag::COMMAND_COMPLETE => answer.committed |= is_commit(&frame),
                _ => {}
            }
            buffered_bytes += frame.bytes.len();
            let is_row = frame.tag == tag::DATA_ROW;
            answer.frames.push(frame);
            if is_row && buffered_bytes >= MAX_BUFFERED_BYTES {
                buffered_bytes = 0;
                answer.relayed = true;
                for frame in answer.frames.drain(..) {
                    self.stream.queue_frame(&frame);
                }
                self.stream.flush().await.map_err(RelayError::Caller)?;
            }
        }
    }

    /// Adds a buffered answer to the caller's output.
    pub(crate) fn queue_answer(&mut self, answer: &BufferedAnswer) {
        for frame in &answer.frames {
            self.stream.queue_frame(frame);
        }
    }

    /// Next message that belongs to the caller's own unit: skips the answers to the proxy's own
    /// messages, and ParameterStatus.
    async fn next_answer_frame(
        &self,
        pooled: &mut PooledConnection,
        skip: &mut usize,
        relayed: bool,
    ) -> Result<Frame, RelayError> {
        loop {
            let answer = self.read_answer_frame(pooled).await;
            let frame = answer.map_err(|_| RelayError::Database { relayed })?;
            let is_preparation = matches!(frame.tag, tag::PARSE_COMPLETE | tag::CLOSE_COMPLETE);
            if *skip > 0 && is_preparation {
                *skip -= 1;
            } else if frame.tag != tag::PARAMETER_STATUS {
                return Ok(frame);
            }
        }
    }

    /// Next message of an answer.
    ///
    /// If nothing arrives for the silence timeout, the member is asked whether the statement still
    /// runs: it may take long, or something between the two ends may have lost its state for the
    /// connection. Waiting ends with an error when another member becomes primary in place of this
    /// one.
    async fn read_answer_frame(
        &self,
        pooled: &mut PooledConnection,
    ) -> Result<Frame, ConnectionError> {
        let silence_timeout = Duration::from_millis(self.context.settings.limits.silence_ms);
        let database = pooled.pool().database().clone();
        let member = pooled.member.clone();
        let mut watch = self.context.control.watch();
        let was_primary = is_primary(&watch.borrow_and_update(), &database, &member);
        loop {
            let replaced = async {
                let is_replaced = |host_state: &Arc<HostState>| {
                    was_primary && !is_primary(host_state, &database, &member)
                };
                if watch.wait_for(is_replaced).await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            let answer = tokio::select! {
                biased;
                answer = tokio::time::timeout(silence_timeout, pooled.connection.read()) => answer,
                () = replaced => return Err(ConnectionError::Superseded),
            };
            match answer {
                Ok(frame) => return frame,
                Err(_) if self.is_statement_running(pooled).await => {}
                Err(_) => {
                    let last_read =
                        tokio::time::timeout(PROBE_TIMEOUT, pooled.connection.read()).await;
                    if let Ok(frame) = last_read {
                        return frame;
                    }
                    let fields: [(&str, &dyn std::fmt::Display); 1] = [("member", &pooled.member)];
                    self.context.timeline.emit(Event::ConnectionSilent, &fields);
                    return Err(ConnectionError::TimedOut);
                }
            }
        }
    }

    /// Asks the member over a new connection whether the statement is still running.
    async fn is_statement_running(&self, pooled: &PooledConnection) -> bool {
        let (address, (pid, _)) = pooled.cancel_target();
        let options = self.context.upstreams.connect_options();
        let Ok(mut probe) = Connection::open(options, address, "hemlockcrank").await else {
            return false;
        };
        let text = format!("SELECT state FROM pg_stat_activity WHERE pid = {pid}");
        let reply = tokio::time::timeout(PROBE_TIMEOUT, probe.query(&text)).await;
        let is_running = match reply {
            Ok(Ok(answer)) => {
                let state = answer.rows.first().and_then(|row| row.first()?.as_deref());
                state.is_some_and(|state| state != "idle")
            }
            _ => false,
        };
        probe.close().await;
        is_running
    }
}

/// Whether the member is the primary of the database in the committed control state.
pub(crate) fn is_primary(host_state: &HostState, database: &Name, member: &Name) -> bool {
    let database = host_state.state.directory.get(database);
    database.is_some_and(|database| database.primary.as_ref() == Some(member))
}

/// Name of the statement that a Parse message prepares, if it has one.
fn parse_statement_name(frame: &Frame) -> Result<Option<String>, PgError> {
    if frame.tag != tag::PARSE {
        return Ok(None);
    }
    match frame.decode_frontend()? {
        PgWireFrontendMessage::Parse(parse) => Ok(parse.name.filter(|name| !name.is_empty())),
        _ => Ok(None),
    }
}

fn is_commit(frame: &Frame) -> bool {
    match frame.decode_backend() {
        Ok(PgWireBackendMessage::CommandComplete(complete)) => complete.tag == "COMMIT",
        _ => false,
    }
}
