//! A caller's session: reads units of work, runs them and reports their results.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use hemlockcrank_core::{Name, record::Digest, request::Outcome, session::Token, statement::Class};
use pgwire::messages::{
    data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription},
    extendedquery::{BindComplete, CloseComplete, ParseComplete},
    response::{CommandComplete, EmptyQueryResponse, ReadyForQuery, TransactionStatus},
    startup::ParameterStatus,
};

use super::{
    failure::Failure, prepared::Prepared, proxy_settings::ProxySettings, transaction::Transaction,
    unit::Unit,
};
use crate::{
    context::Context,
    event::Event,
    pg::{Frame, PgError, Severity, Stream, error_response, notice_response, tag},
    phase::{self, Phase},
};

/// Object identifier of the type text.
const OID_TEXT: u32 = 25;
/// Size of a type of variable length.
const SIZE_VARIABLE: i16 = -1;

/// Identity of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Workspace of its key; `None` for a caller without a key on a route open to all.
    pub(crate) workspace: Option<Name>,
    /// Name and digest of its key.
    pub(crate) key: Option<(Name, Digest)>,
    /// User name in the startup packet; without a key it only selects whose published data is read.
    pub(crate) user: Name,
    /// Requested service.
    pub(crate) service: Name,
}

/// Result of a unit. A failure is reported to the caller, and the session continues unless it is
/// fatal.
pub(crate) type UnitResult = Result<(), Failure>;

/// A caller's connection and the state of its session.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) context: Arc<Context>,
    pub(crate) stream: Stream,
    pub(crate) identity: Identity,
    /// Number of this session on its host.
    pub(crate) number: u64,
    /// Process id and secret key that a cancel request for this session contains.
    pub(crate) cancel_key: (i32, i32),
    pub(crate) proxy_settings: ProxySettings,
    /// Statements that set the session's database settings, by setting.
    pub(crate) database_settings: BTreeMap<String, String>,
    /// Number of changes to `database_settings`.
    pub(crate) settings_version: u64,
    pub(crate) prepared: HashMap<String, Prepared>,
    pub(crate) transaction: Option<Transaction>,
    /// Whether the caller is in a transaction that was rolled back already.
    pub(crate) transaction_failed: bool,
    /// Workspace name used in queues; empty, so shared, for callers without a key.
    pub(crate) queue_workspace: Name,
}

impl Session {
    pub(crate) fn new(
        context: Arc<Context>,
        stream: Stream,
        identity: Identity,
        number: u64,
        cancel_key: (i32, i32),
    ) -> Self {
        let queue_workspace = identity.workspace.clone().unwrap_or_else(|| "".into());
        Self {
            context,
            stream,
            identity,
            number,
            cancel_key,
            proxy_settings: ProxySettings::default(),
            database_settings: BTreeMap::new(),
            settings_version: 0,
            prepared: HashMap::new(),
            transaction: None,
            transaction_failed: false,
            queue_workspace,
        }
    }

    /// Serves units until the caller or the proxy ends the connection.
    pub(crate) async fn run(&mut self) {
        let result = self.serve().await;
        if let Some(transaction) = self.transaction.take() {
            transaction.abandon();
        }
        if let Err(error) = result {
            tracing::debug!(%error, "caller connection ended");
            let failure = Failure::protocol_error(error);
            self.stream.discard_queued();
            let _ = self.queue_failure(&failure);
        }
        self.stream.close().await;
    }

    async fn serve(&mut self) -> Result<(), PgError> {
        while let Some(unit) = self.next_unit().await? {
            let result = self.run_or_give_up(unit).await?;
            if let Err(failure) = result {
                let fatal = failure.severity == Severity::Fatal;
                self.answer_failure(&failure).await?;
                if fatal {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Runs a unit, unless the process ends before it is done.
    async fn run_or_give_up(&mut self, unit: Unit) -> Result<UnitResult, PgError> {
        let may_write = !matches!(unit.class, Class::Read | Class::Set { .. });
        let mut phase = self.context.phase.clone();
        let result = tokio::select! {
            biased;
            result = self.run_unit(unit) => Some(result),
            () = phase::reached(&mut phase, Phase::Ending) => None,
        };
        if let Some(result) = result {
            return result;
        }
        self.stream.discard_queued();
        let failure = match may_write {
            true => Failure::outcome_unknown(),
            false => Failure::read_lost(),
        };
        Ok(Err(failure.into_fatal()))
    }

    /// Reads the next unit; `None` when the caller disconnects or the proxy ends the session.
    async fn next_unit(&mut self) -> Result<Option<Unit>, PgError> {
        let mut frames = Vec::new();
        let statements = self.prepared.values();
        let statements =
            statements.map(|prepared| prepared.frame.bytes.len() + prepared.text.len());
        let settings = self.database_settings.values().map(String::len);
        self.stream.count_kept(statements.chain(settings).sum());
        self.stream.begin_unit();
        loop {
            let Some(frame) = self.next_frame(frames.is_empty()).await? else {
                return Ok(None);
            };
            match frame.tag {
                tag::TERMINATE => return Ok(None),
                tag::QUERY => {
                    self.stream.begin_work()?;
                    return Unit::simple(frame).map(Some);
                }
                tag::FLUSH => {}
                tag::SYNC => {
                    self.stream.begin_work()?;
                    frames.push(frame);
                    return Unit::extended(frames, &mut self.prepared).map(Some);
                }
                tag::PARSE | tag::BIND | tag::DESCRIBE | tag::EXECUTE | tag::CLOSE => {
                    frames.push(frame);
                }
                tag::COPY_DATA | tag::COPY_DONE | tag::COPY_FAIL => {}
                unexpected => return Err(PgError::Unexpected(unexpected)),
            }
        }
    }

    /// Reads one message. Ends the session when the caller's key was withdrawn, or when this host
    /// leaves service and the caller is idle outside a transaction, or in one that the shutdown does
    /// not wait for any more.
    async fn next_frame(&mut self, idle: bool) -> Result<Option<Frame>, PgError> {
        let mut changes = self.context.control.watch_changes();
        let mut phases = self.context.phase.clone();
        loop {
            changes.borrow_and_update();
            let may_go_on =
                self.transaction.is_some() && *phases.borrow_and_update() < Phase::Closing;
            let host_state = self.context.control.host_state();
            let ending = if self.key_is_withdrawn(&host_state) {
                Some(Failure::key_withdrawn())
            } else if idle && !may_go_on && self.is_host_leaving(&host_state) {
                Some(Failure::host_leaving())
            } else {
                None
            };
            if let Some(failure) = ending {
                self.record_refusal(&failure);
                self.queue_failure(&failure)?;
                self.stream.flush().await?;
                return Ok(None);
            }
            tokio::select! {
                frame = self.stream.read() => return frame,
                changed = changes.changed() => {
                    if changed.is_err() {
                        return self.stream.read().await;
                    }
                }
                () = phase::changed(&mut phases) => {}
            }
        }
    }

    async fn run_unit(&mut self, unit: Unit) -> Result<UnitResult, PgError> {
        match &unit.class {
            Class::Empty if unit.simple => {
                self.stream.queue(&EmptyQueryResponse::new())?;
                self.send_ready().await?;
                return Ok(Ok(()));
            }
            Class::SetOwn { name, value } => {
                if unit.executes
                    && let Err(failure) = self.proxy_settings.set(name, value)
                {
                    return Ok(Err(failure));
                }
                return self.answer_locally(&unit, "SET", None).await;
            }
            Class::ShowOwn { name } => {
                return match self.proxy_settings.get(name) {
                    Ok(value) => {
                        self.answer_locally(&unit, "SHOW", Some((name, &value)))
                            .await
                    }
                    Err(failure) => Ok(Err(failure)),
                };
            }
            _ => {}
        }
        if self.transaction_failed {
            return self.answer_in_failed_transaction(&unit).await;
        }
        if let Err(failure) = self.admit(&unit).await {
            self.roll_back().await;
            return Ok(Err(failure));
        }
        if self.transaction.is_some() {
            return self.run_in_transaction(unit).await;
        }
        match &unit.class {
            Class::Commit | Class::Rollback => self.end_without_transaction(&unit).await,
            Class::Reset => self.reset(&unit).await,
            Class::Begin { read_only } => self.begin(&unit, *read_only).await,
            Class::Pin => self.begin(&unit, false).await,
            Class::Copy => Ok(Err(Failure::unsupported("COPY"))),
            Class::Read | Class::Set { .. } | Class::Empty => self.read(&unit).await,
            _ => self.write(unit).await,
        }
    }

    /// Answers a unit in a transaction that was rolled back already: only its end succeeds.
    async fn answer_in_failed_transaction(&mut self, unit: &Unit) -> Result<UnitResult, PgError> {
        if matches!(unit.class, Class::Commit | Class::Rollback) {
            self.transaction_failed = false;
            return self.answer_locally(unit, "ROLLBACK", None).await;
        }
        Ok(Err(Failure::transaction_failed()))
    }

    /// Answers COMMIT or ROLLBACK outside a transaction.
    async fn end_without_transaction(&mut self, unit: &Unit) -> Result<UnitResult, PgError> {
        let notice = notice_response("25P01", "there is no transaction in progress", "");
        self.stream.queue(&notice)?;
        let command_tag = if unit.class == Class::Commit {
            "COMMIT"
        } else {
            "ROLLBACK"
        };
        self.answer_locally(unit, command_tag, None).await
    }

    /// Clears the session's settings and prepared statements. The last write stays: later reads
    /// must still see it.
    async fn reset(&mut self, unit: &Unit) -> Result<UnitResult, PgError> {
        self.database_settings.clear();
        self.settings_version += 1;
        self.prepared.clear();
        self.proxy_settings = ProxySettings {
            last_write: self.proxy_settings.last_write.take(),
            ..ProxySettings::default()
        };
        self.answer_locally(unit, "RESET", None).await
    }

    /// Answers a unit without a database: with a command tag, and for SHOW with a row of one text
    /// column, given by name and value.
    async fn answer_locally(
        &mut self,
        unit: &Unit,
        command_tag: &str,
        column: Option<(&str, &str)>,
    ) -> Result<UnitResult, PgError> {
        let frames = unit.frames.clone();
        for frame in frames {
            match frame.tag {
                tag::PARSE => self.stream.queue(&ParseComplete::new())?,
                tag::BIND => self.stream.queue(&BindComplete::new())?,
                tag::CLOSE => self.stream.queue(&CloseComplete::new())?,
                tag::DESCRIBE => {
                    if frame.body().first() == Some(&b'S') {
                        self.stream.queue(&ParameterDescription::new(Vec::new()))?;
                    }
                    match column {
                        Some((name, _)) => self.stream.queue(&describe_text(name))?,
                        None => self.stream.queue(&NoData::new())?,
                    }
                }
                tag::QUERY | tag::EXECUTE => {
                    if let Some((name, value)) = column {
                        if unit.simple {
                            self.stream.queue(&describe_text(name))?;
                        }
                        self.stream.queue(&text_row(value))?;
                    }
                    self.stream
                        .queue(&CommandComplete::new(command_tag.to_owned()))?;
                }
                _ => {}
            }
        }
        self.send_ready().await?;
        Ok(Ok(()))
    }

    // ---------------------------------------------------------------------------------------------
    // Answers

    /// Reports a failed unit to the caller and, unless the failure is fatal, that the session is
    /// ready.
    async fn answer_failure(&mut self, failure: &Failure) -> Result<(), PgError> {
        self.record_refusal(failure);
        self.queue_failure(failure)?;
        if failure.severity == Severity::Fatal {
            return self.stream.flush().await;
        }
        self.send_ready().await
    }

    fn record_refusal(&self, failure: &Failure) {
        let event = match failure.outcome {
            Outcome::NotRun if failure.sqlstate == "28000" => Event::KeyWithdrawn,
            Outcome::NotRun => Event::NotRun,
            Outcome::Unknown => Event::OutcomeUnknown,
            Outcome::Ran => Event::OutcomeResolved,
        };
        let fields: [(&str, &dyn std::fmt::Display); 4] = [
            ("workspace", &self.queue_workspace),
            ("service", &self.identity.service),
            ("sqlstate", &failure.sqlstate),
            ("why", &failure.message),
        ];
        self.context.timeline.emit(event, &fields);
        self.context.metrics.count_refusal(failure.sqlstate);
        if failure.outcome == Outcome::Unknown {
            self.context.metrics.count_unknown_outcome();
        }
    }

    pub(crate) fn queue_failure(&mut self, failure: &Failure) -> Result<(), PgError> {
        let error = error_response(
            failure.severity,
            failure.sqlstate,
            &failure.message,
            failure.detail(),
        );
        self.stream.queue(&error)
    }

    /// Reports the session's new token to the caller.
    pub(crate) fn queue_token(&mut self) -> Result<(), PgError> {
        let Some(token) = self.proxy_settings.session_token() else {
            return Ok(());
        };
        self.queue_token_text(&token)
    }

    fn queue_token_text(&mut self, token: &Token) -> Result<(), PgError> {
        let name = "hemlockcrank.session".to_owned();
        self.stream
            .queue(&ParameterStatus::new(name, token.to_string()))
    }

    /// Reports that the session is ready for the next unit.
    pub(crate) async fn send_ready(&mut self) -> Result<(), PgError> {
        let status = if self.transaction_failed {
            TransactionStatus::Error
        } else {
            match &self.transaction {
                Some(transaction) => transaction.status(),
                None => TransactionStatus::Idle,
            }
        };
        self.stream.queue(&ReadyForQuery::new(status))?;
        self.stream.flush().await
    }
}

fn describe_text(name: &str) -> RowDescription {
    let field = FieldDescription::new(name.to_owned(), 0, 0, OID_TEXT, SIZE_VARIABLE, -1, 0);
    RowDescription::new(vec![field])
}

fn text_row(value: &str) -> DataRow {
    let mut data = bytes::BytesMut::new();
    let length = i32::try_from(value.len()).unwrap_or(i32::MAX);
    data.extend_from_slice(&length.to_be_bytes());
    data.extend_from_slice(value.as_bytes());
    DataRow::new(data, 1)
}
