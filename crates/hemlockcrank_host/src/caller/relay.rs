//! Messages between a caller and a database connection.

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

/// Bytes of an answer that are kept back before rows are passed on early.
const HELD_BACK_BYTES: usize = 1024 * 1024;
/// Last wait for an answer whose statement has ended, before its connection counts as silent.
const LAST_WAIT: Duration = Duration::from_millis(200);
/// Status byte outside a transaction.
pub(crate) const IDLE: u8 = b'I';

/// A failure while relaying: on the caller's side or on the database's.
#[derive(Debug)]
pub(crate) enum RelayError {
    /// The caller's connection broke.
    Caller(PgError),
    /// The database's connection broke; `relayed` tells whether a part of the answer has left.
    Database { relayed: bool },
}

/// A whole answer that has not left yet, rows beyond a limit apart.
#[derive(Debug, Default)]
pub(crate) struct Collected {
    pub(crate) frames: Vec<Frame>,
    pub(crate) status: u8,
    /// SQLSTATE of the error in it.
    pub(crate) error: Option<String>,
    /// Whether a COMMIT is in it.
    pub(crate) committed: bool,
    /// Whether some rows have left early.
    pub(crate) relayed: bool,
}

impl Session {
    /// Brings this session's state onto a connection that may carry another's.
    pub(crate) async fn take_over(
        &self,
        connection: &mut Connection,
    ) -> Result<(), ConnectionError> {
        let same =
            connection.owner == self.number && connection.settings_version == self.settings_version;
        if same {
            return Ok(());
        }
        if connection.dirty {
            connection.query("DISCARD ALL").await?;
            connection.prepared.clear();
            connection.dirty = false;
        }
        for text in self.settings.values() {
            connection.query(text).await?;
            connection.dirty = true;
        }
        connection.owner = self.number;
        connection.settings_version = self.settings_version;
        Ok(())
    }

    /// Sends a unit, with the named statements that it needs; returns how many of the first messages of
    /// the answer belong to those.
    pub(crate) async fn send_unit(
        &self,
        connection: &mut Connection,
        unit: &Unit,
    ) -> Result<usize, ConnectionError> {
        let mut extra = 0;
        for name in &unit.needs {
            if !connection.prepared.contains(name)
                && let Some(statement) = self.prepared.get(name)
            {
                connection.stream.queue_frame(&statement.frame);
                connection.prepared.insert(name.clone());
                extra += 1;
            }
        }
        for frame in &unit.frames {
            if let Some(name) = prepared_name(frame)? {
                connection.dirty = true;
                if !connection.prepared.insert(name.clone()) {
                    connection.stream.queue(&Close::new(b'S', Some(name)))?;
                    extra += 1;
                }
            }
        }
        connection.dirty |= extra > 0;
        for frame in &unit.frames {
            connection.stream.queue_frame(frame);
        }
        connection.stream.flush().await?;
        Ok(extra)
    }

    /// Passes a whole answer on as it comes; returns the transaction status and the error's SQLSTATE.
    pub(crate) async fn relay(
        &mut self,
        turn: &mut PooledConnection,
        mut skip: usize,
    ) -> Result<(u8, Option<String>), RelayError> {
        let mut relayed = false;
        let mut error = None;
        loop {
            let frame = self.next_of_unit(turn, &mut skip, relayed).await?;
            match frame.tag {
                tag::READY => {
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
            if self.stream.queued() >= HELD_BACK_BYTES {
                self.stream.flush().await.map_err(RelayError::Caller)?;
            }
        }
    }

    /// Collects a whole answer. Rows leave early only when they are many; the command's completion, which
    /// is what acknowledges it, never does.
    pub(crate) async fn collect(
        &mut self,
        turn: &mut PooledConnection,
        mut skip: usize,
    ) -> Result<Collected, RelayError> {
        let mut collected = Collected::default();
        let mut held = 0;
        loop {
            let relayed = collected.relayed;
            let frame = self.next_of_unit(turn, &mut skip, relayed).await?;
            match frame.tag {
                tag::READY => {
                    collected.status = frame.body().first().copied().unwrap_or(IDLE);
                    return Ok(collected);
                }
                tag::ERROR_RESPONSE => {
                    collected.error = error_fields(&frame).ok().map(|(sqlstate, _)| sqlstate);
                }
                tag::COMMAND_COMPLETE => collected.committed |= is_commit(&frame),
                _ => {}
            }
            held += frame.bytes.len();
            let row = frame.tag == tag::DATA_ROW;
            collected.frames.push(frame);
            if row && held >= HELD_BACK_BYTES {
                held = 0;
                collected.relayed = true;
                for frame in collected.frames.drain(..) {
                    self.stream.queue_frame(&frame);
                }
                self.stream.flush().await.map_err(RelayError::Caller)?;
            }
        }
    }

    /// Adds a collected answer to the caller's output.
    pub(crate) fn queue_collected(&mut self, collected: &Collected) {
        for frame in &collected.frames {
            self.stream.queue_frame(frame);
        }
    }

    /// Next message that belongs to the caller's own unit.
    async fn next_of_unit(
        &self,
        turn: &mut PooledConnection,
        skip: &mut usize,
        relayed: bool,
    ) -> Result<Frame, RelayError> {
        loop {
            let answer = self.next_answer(turn).await;
            let frame = answer.map_err(|_| RelayError::Database { relayed })?;
            let prepares = matches!(frame.tag, tag::PARSE_COMPLETE | tag::CLOSE_COMPLETE);
            if *skip > 0 && prepares {
                *skip -= 1;
            } else if frame.tag != tag::PARAMETER_STATUS {
                return Ok(frame);
            }
        }
    }

    /// Next message of an answer. A connection that stays silent is examined: its statement may take
    /// long, or something between the two ends may have lost track of it. A primary that another one has
    /// replaced meanwhile is not waited for.
    async fn next_answer(&self, turn: &mut PooledConnection) -> Result<Frame, ConnectionError> {
        let patience = Duration::from_millis(self.context.settings.limits.silence_ms);
        let database = turn.pool().database().clone();
        let member = turn.member.clone();
        let mut watch = self.context.control.watch();
        let was_primary = is_primary(&watch.borrow_and_update(), &database, &member);
        loop {
            let replaced = async {
                let gone =
                    |world: &Arc<HostState>| was_primary && !is_primary(world, &database, &member);
                if watch.wait_for(gone).await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            let answer = tokio::select! {
                biased;
                answer = tokio::time::timeout(patience, turn.connection.read()) => answer,
                () = replaced => return Err(ConnectionError::Superseded),
            };
            match answer {
                Ok(frame) => return frame,
                Err(_) if self.still_runs(turn).await => {}
                Err(_) => {
                    let last = tokio::time::timeout(LAST_WAIT, turn.connection.read()).await;
                    if let Ok(frame) = last {
                        return frame;
                    }
                    let fields: [(&str, &dyn std::fmt::Display); 1] = [("member", &turn.member)];
                    self.context.timeline.emit(Event::ConnectionSilent, &fields);
                    return Err(ConnectionError::TimedOut);
                }
            }
        }
    }

    /// Asks the member over a fresh connection whether the statement is still running.
    async fn still_runs(&self, turn: &PooledConnection) -> bool {
        let (address, (pid, _)) = turn.cancel_target();
        let source = self.context.upstreams.connect_options();
        let Ok(mut fresh) = Connection::open(source, address, "hemlockcrank").await else {
            return false;
        };
        let text = format!("SELECT state FROM pg_stat_activity WHERE pid = {pid}");
        let asked = tokio::time::timeout(LAST_WAIT, fresh.query(&text)).await;
        let runs = match asked {
            Ok(Ok(answer)) => {
                let state = answer.rows.first().and_then(|row| row.first()?.as_deref());
                state.is_some_and(|state| state != "idle")
            }
            _ => false,
        };
        fresh.close().await;
        runs
    }
}

/// Whether the member is the committed primary of the database.
pub(crate) fn is_primary(world: &HostState, database: &Name, member: &Name) -> bool {
    let known = world.state.directory.get(database);
    known.is_some_and(|database| database.primary.as_ref() == Some(member))
}

/// Name that a Parse message gives its statement, if it gives one.
fn prepared_name(frame: &Frame) -> Result<Option<String>, PgError> {
    if frame.tag != tag::PARSE {
        return Ok(None);
    }
    match frame.frontend()? {
        PgWireFrontendMessage::Parse(parse) => Ok(parse.name.filter(|name| !name.is_empty())),
        _ => Ok(None),
    }
}

fn is_commit(frame: &Frame) -> bool {
    match frame.backend() {
        Ok(PgWireBackendMessage::CommandComplete(complete)) => complete.tag == "COMMIT",
        _ => false,
    }
}
