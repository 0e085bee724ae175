//! One caller's session.

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

use super::{failure::Failure, own::Own, prepared::Prepared, transaction::Transaction, unit::Unit};
use crate::{
    context::Context,
    event::Event,
    pg::{Frame, PgError, Severity, Stream, error_response, notice_response, tag},
};

/// Object identifier of the type text.
const OID_TEXT: u32 = 25;
/// Size of a type of variable length.
const SIZE_VARIABLE: i16 = -1;

/// Who the caller is.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Workspace of its key; `None` on a route open to all.
    pub(crate) workspace: Option<Name>,
    /// Name and digest of its key.
    pub(crate) key: Option<(Name, Digest)>,
    /// Name that it gave; without a key it only says whose published data it reads.
    pub(crate) user: Name,
    /// Service that it asked for.
    pub(crate) service: Name,
}

/// How a unit ended, apart from a broken connection to the caller.
pub(crate) type Ended = Result<(), Failure>;

/// One caller's connection and all state that follows it.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) context: Arc<Context>,
    pub(crate) stream: Stream,
    pub(crate) who: Identity,
    pub(crate) number: u64,
    pub(crate) cancel_key: (i32, i32),
    pub(crate) own: Own,
    /// Statements that set the session's database settings, by setting.
    pub(crate) settings: BTreeMap<String, String>,
    /// Number of changes to `settings`.
    pub(crate) settings_version: u64,
    pub(crate) prepared: HashMap<String, Prepared>,
    pub(crate) transaction: Option<Transaction>,
    /// The caller is in a transaction that has rolled back already.
    pub(crate) failed: bool,
    /// Name of the workspace in queues; open routes share one.
    pub(crate) flow: Name,
}

impl Session {
    pub(crate) fn new(
        context: Arc<Context>,
        stream: Stream,
        who: Identity,
        number: u64,
        cancel_key: (i32, i32),
    ) -> Self {
        let flow = who.workspace.clone().unwrap_or_else(|| "".into());
        Self {
            context,
            stream,
            who,
            number,
            cancel_key,
            own: Own::default(),
            settings: BTreeMap::new(),
            settings_version: 0,
            prepared: HashMap::new(),
            transaction: None,
            failed: false,
            flow,
        }
    }

    /// Serves units until the caller or the proxy ends the connection.
    pub(crate) async fn run(&mut self) {
        let ended = self.serve().await;
        if let Some(transaction) = self.transaction.take() {
            transaction.abandon();
        }
        if let Err(error) = ended {
            tracing::debug!(%error, "caller connection ended");
            let failure = Failure::protocol(error);
            self.stream.discard_queued();
            let _ = self.queue_failure(&failure);
        }
        self.stream.close().await;
    }

    async fn serve(&mut self) -> Result<(), PgError> {
        while let Some(unit) = self.next_unit().await? {
            let ended = self.run_unit(unit).await?;
            if let Err(failure) = ended {
                let fatal = failure.severity == Severity::Fatal;
                self.fail(&failure).await?;
                if fatal {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Reads the next unit; `None` when the caller leaves or has to leave.
    async fn next_unit(&mut self) -> Result<Option<Unit>, PgError> {
        let mut frames = Vec::new();
        loop {
            let Some(frame) = self.next_frame(frames.is_empty()).await? else {
                return Ok(None);
            };
            match frame.tag {
                tag::TERMINATE => return Ok(None),
                tag::QUERY => return Unit::simple(frame).map(Some),
                tag::FLUSH => {}
                tag::SYNC => {
                    frames.push(frame);
                    return Unit::extended(frames, &mut self.prepared).map(Some);
                }
                tag::PARSE | tag::BIND | tag::DESCRIBE | tag::EXECUTE | tag::CLOSE => {
                    frames.push(frame);
                }
                tag::COPY_DATA | tag::COPY_DONE | tag::COPY_FAIL => {}
                other => return Err(PgError::Unexpected(other)),
            }
        }
    }

    /// Reads one message. An idle caller is told to leave when its key or this host leaves.
    async fn next_frame(&mut self, idle: bool) -> Result<Option<Frame>, PgError> {
        let mut changes = self.context.control.watch_changes();
        loop {
            changes.borrow_and_update();
            let world = self.context.control.host_state();
            let leave = if self.key_is_withdrawn(&world) {
                Some(Failure::key_withdrawn())
            } else if idle && self.transaction.is_none() && self.host_leaves(&world) {
                Some(Failure::leaving())
            } else {
                None
            };
            if let Some(failure) = leave {
                self.note_refusal(&failure);
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
            }
        }
    }

    async fn run_unit(&mut self, unit: Unit) -> Result<Ended, PgError> {
        match &unit.class {
            Class::Empty if unit.simple => {
                self.stream.queue(&EmptyQueryResponse::new())?;
                self.ready().await?;
                return Ok(Ok(()));
            }
            Class::SetOwn { name, value } => {
                if unit.executes
                    && let Err(failure) = self.own.set(name, value)
                {
                    return Ok(Err(failure));
                }
                return self.answer_own(&unit, "SET", None).await;
            }
            Class::ShowOwn { name } => {
                return match self.own.get(name) {
                    Ok(value) => self.answer_own(&unit, "SHOW", Some((name, &value))).await,
                    Err(failure) => Ok(Err(failure)),
                };
            }
            _ => {}
        }
        if self.failed {
            return self.end_failed(&unit).await;
        }
        if let Err(failure) = self.admit(&unit).await {
            self.roll_back().await;
            return Ok(Err(failure));
        }
        if self.transaction.is_some() {
            return self.run_in_transaction(unit).await;
        }
        match &unit.class {
            Class::Commit | Class::Rollback => self.end_nothing(&unit).await,
            Class::Reset => self.reset(&unit).await,
            Class::Begin { read_only } => self.begin(&unit, *read_only).await,
            Class::Pin => self.begin(&unit, false).await,
            Class::Copy => Ok(Err(Failure::unsupported("COPY"))),
            Class::Read | Class::Set { .. } | Class::Empty => self.read(&unit).await,
            _ => self.write(unit).await,
        }
    }

    /// In a transaction that rolled back already, only its end is answered.
    async fn end_failed(&mut self, unit: &Unit) -> Result<Ended, PgError> {
        if matches!(unit.class, Class::Commit | Class::Rollback) {
            self.failed = false;
            return self.answer_own(unit, "ROLLBACK", None).await;
        }
        Ok(Err(Failure::transaction_failed()))
    }

    async fn end_nothing(&mut self, unit: &Unit) -> Result<Ended, PgError> {
        let notice = notice_response("25P01", "there is no transaction in progress", "");
        self.stream.queue(&notice)?;
        let word = if unit.class == Class::Commit {
            "COMMIT"
        } else {
            "ROLLBACK"
        };
        self.answer_own(unit, word, None).await
    }

    async fn reset(&mut self, unit: &Unit) -> Result<Ended, PgError> {
        self.settings.clear();
        self.settings_version += 1;
        self.prepared.clear();
        self.own = Own {
            written: self.own.written.take(),
            ..Own::default()
        };
        self.answer_own(unit, "RESET", None).await
    }

    /// Answers a unit without a database: one command word, and one text cell for SHOW.
    async fn answer_own(
        &mut self,
        unit: &Unit,
        word: &str,
        shown: Option<(&str, &str)>,
    ) -> Result<Ended, PgError> {
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
                    match shown {
                        Some((name, _)) => self.stream.queue(&describe_text(name))?,
                        None => self.stream.queue(&NoData::new())?,
                    }
                }
                tag::QUERY | tag::EXECUTE => {
                    if let Some((name, value)) = shown {
                        if unit.simple {
                            self.stream.queue(&describe_text(name))?;
                        }
                        self.stream.queue(&text_row(value))?;
                    }
                    self.stream.queue(&CommandComplete::new(word.to_owned()))?;
                }
                _ => {}
            }
        }
        self.ready().await?;
        Ok(Ok(()))
    }

    // ---------------------------------------------------------------------------------------------
    // Answers

    /// Tells the caller that a unit failed, and is ready for the next one.
    async fn fail(&mut self, failure: &Failure) -> Result<(), PgError> {
        self.note_refusal(failure);
        self.queue_failure(failure)?;
        if failure.severity == Severity::Fatal {
            return self.stream.flush().await;
        }
        self.ready().await
    }

    fn note_refusal(&self, failure: &Failure) {
        let event = match failure.outcome {
            Outcome::NotRun if failure.sqlstate == "28000" => Event::KeyWithdrawn,
            Outcome::NotRun => Event::NotRun,
            Outcome::Unknown => Event::OutcomeUnknown,
            Outcome::Ran => Event::OutcomeResolved,
        };
        let fields: [(&str, &dyn std::fmt::Display); 4] = [
            ("workspace", &self.flow),
            ("service", &self.who.service),
            ("sqlstate", &failure.sqlstate),
            ("why", &failure.message),
        ];
        self.context.timeline.emit(event, &fields);
        self.context.metrics.refusal(failure.sqlstate);
        if failure.outcome == Outcome::Unknown {
            self.context.metrics.unknown();
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

    /// Tells the caller its new token.
    pub(crate) fn queue_token(&mut self) -> Result<(), PgError> {
        let Some(token) = self.own.present() else {
            return Ok(());
        };
        self.queue_token_text(&token)
    }

    fn queue_token_text(&mut self, token: &Token) -> Result<(), PgError> {
        let name = "hemlockcrank.session".to_owned();
        self.stream
            .queue(&ParameterStatus::new(name, token.to_string()))
    }

    /// Ready for the next unit.
    pub(crate) async fn ready(&mut self) -> Result<(), PgError> {
        let status = if self.failed {
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
