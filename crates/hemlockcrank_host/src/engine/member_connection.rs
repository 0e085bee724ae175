//! One connection to a member.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use hemlockcrank_core::{Name, session::Position};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::protocol::{
    Code, MemberMessage, PreparedStatement, Protocol, ProxyStatement, Query, Startup, Status,
};
use crate::dial::{close_on_drop, dial, limit_unacknowledged, reset_on_drop};

/// Maximum length of a member's message, in bytes.
const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;
/// Buffer space reserved for each read, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// Number of prepared statements after which a connection is reset before the next one.
const MAX_PREPARED: usize = 1_024;
/// Size of the texts of prepared statements after which a connection is reset, in bytes.
const MAX_PREPARED_BYTES: usize = 256 * 1024;

/// Session values by name.
pub(crate) type SessionValues = BTreeMap<Name, Name>;

/// A member's complete answer to one statement.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) rows: Vec<Bytes>,
    /// Signature of the result, or code and text of the error.
    pub(crate) outcome: Result<Bytes, (Code, Bytes)>,
    pub(crate) status: Status,
    /// Last position of the member's log.
    pub(crate) position: Option<Position>,
}

/// Why a connection was not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OpenError {
    /// The member refused.
    Refused(Code),
    /// The member could not be reached, or did not answer.
    Unreached,
}

/// The connection failed, or the member sent an invalid message. Statements that were sent may have
/// run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Broken;

/// Buffer that a connection keeps between two answers, in bytes.
const KEPT_BYTES: usize = 16 * 1024;

/// What a connection is opened for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Statements of callers.
    Callers,
    /// One order of the control leader. It must not arrive after it was given up, even if this process
    /// is killed or stopped meanwhile.
    Order,
}

/// The member that a connection goes to, and the local address that it comes from.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    pub(crate) source: IpAddr,
    pub(crate) service: Name,
    pub(crate) member: Name,
}

/// The statements that are prepared on a connection, with their names there.
///
/// The names are numbers of this connection. A name made from the text, such as a digest, would be
/// the same for two texts whose digests agree, and one would run for the other.
#[derive(Debug, Default)]
struct PreparedNames {
    names: HashMap<PreparedStatement, Name>,
    text_bytes: usize,
}

impl PreparedNames {
    /// Name for the next statement.
    fn next_name(&self) -> Name {
        format!("s{}", self.names.len()).into()
    }

    /// Whether there is no room for another statement.
    fn is_full(&self) -> bool {
        self.names.len() >= MAX_PREPARED || self.text_bytes >= MAX_PREPARED_BYTES
    }

    fn add(&mut self, name: Name, statement: PreparedStatement) {
        self.text_bytes += statement.text.len();
        self.names.insert(statement, name);
    }
}

/// One connection to a member, with the session state that was set up on it.
///
/// A connection that is dropped while an answer is outstanding is reset: what has not reached the member
/// by then never does. One without is closed.
#[derive(Debug)]
pub(crate) struct MemberConnection {
    stream: TcpStream,
    input: BytesMut,
    protocol: Protocol,
    pub(crate) values: SessionValues,
    prepared: PreparedNames,
    purpose: Purpose,
    /// Statements that were sent and whose answers have not been read whole; the request to open the
    /// session is one.
    outstanding: usize,
    /// Status after the last answer.
    status: Status,
}

impl MemberConnection {
    /// Connects and opens a session for `workspace`; `limit` applies to each of the two steps.
    pub(crate) async fn open(
        protocol: Protocol,
        target: &Target,
        workspace: &Name,
        purpose: Purpose,
        limit: Duration,
    ) -> Result<Self, OpenError> {
        let opened = timeout(
            limit,
            Self::connect(protocol, target, workspace, purpose, limit),
        );
        let mut connection = opened
            .await
            .map_err(|_| OpenError::Unreached)?
            .map_err(|_| OpenError::Unreached)?;
        match timeout(limit, connection.read_message()).await {
            Ok(Ok(MemberMessage::Ready { .. })) => {
                connection.outstanding = 0;
                Ok(connection)
            }
            Ok(Ok(MemberMessage::Failed(code, _))) => {
                connection.outstanding = 0;
                Err(OpenError::Refused(code))
            }
            _ => Err(OpenError::Unreached),
        }
    }

    async fn connect(
        protocol: Protocol,
        target: &Target,
        workspace: &Name,
        purpose: Purpose,
        limit: Duration,
    ) -> io::Result<Self> {
        let stream = dial(target.source, target.address).await?;
        stream.set_nodelay(true)?;
        if purpose == Purpose::Order {
            // An order goes out even if the kernel refuses one of the options, because no primary could
            // be changed otherwise.
            let _ = reset_on_drop(&stream);
            let _ = limit_unacknowledged(&stream, limit);
        }
        let mut connection = Self {
            stream,
            input: BytesMut::new(),
            protocol,
            values: SessionValues::new(),
            prepared: PreparedNames::default(),
            purpose,
            outstanding: 0,
            status: Status::Idle,
        };
        let mut output = BytesMut::new();
        let startup = Startup {
            service: &target.service,
            workspace,
            member: &target.member,
        };
        (protocol.write_startup)(&mut output, &startup);
        connection.outstanding = 1;
        connection.stream.write_all(&output).await?;
        Ok(connection)
    }

    /// Whether the member has neither closed the connection nor sent data that was not requested.
    pub(crate) fn is_usable(&self) -> bool {
        let mut byte = [0];
        let no_data = matches!(
            self.stream.try_read(&mut byte),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock
        );
        no_data && self.input.is_empty()
    }

    /// Whether another session may use the connection: no answer is outstanding on it, and no
    /// transaction is open. A failed transaction is rolled back by [`Self::setup_statements`].
    pub(crate) fn is_reusable(&self) -> bool {
        self.outstanding == 0 && self.status != Status::Open
    }

    /// Statements that set exactly these session values, and prepare this statement.
    pub(crate) fn setup_statements(
        &self,
        values: &SessionValues,
        prepared: Option<&PreparedStatement>,
    ) -> Vec<ProxyStatement> {
        let mut statements = Vec::new();
        if self.status == Status::Failed {
            statements.push(ProxyStatement::Rollback);
        }
        let missing = prepared.filter(|statement| self.prepared_name(statement).is_none());
        let has_extra = self.values.keys().any(|name| !values.contains_key(name));
        let resets = has_extra || (missing.is_some() && self.prepared.is_full());
        if resets {
            statements.push(ProxyStatement::Reset);
        }
        for (name, value) in values {
            if resets || self.values.get(name) != Some(value) {
                statements.push(ProxyStatement::Set(name.clone(), value.clone()));
            }
        }
        let name = match resets {
            true => PreparedNames::default().next_name(),
            false => self.prepared.next_name(),
        };
        let needed = if resets { prepared } else { missing };
        statements.extend(needed.map(|statement| ProxyStatement::Prepare(name, statement.clone())));
        statements
    }

    /// Name of a prepared statement on this connection; `None` if it is not prepared.
    pub(crate) fn prepared_name(&self, statement: &PreparedStatement) -> Option<&Name> {
        self.prepared.names.get(statement)
    }

    /// Text that executes a prepared statement on this connection; `None` if it is not prepared.
    pub(crate) fn execute_text(
        &self,
        statement: &PreparedStatement,
        arguments: &str,
    ) -> Option<Name> {
        let name = self.prepared_name(statement)?;
        Some((self.protocol.execute)(name, arguments).into())
    }

    /// Sends statements of the proxy in one write. Returns the answer to the last one that failed,
    /// or the last answer if none failed.
    pub(crate) async fn run_proxy_statements(
        &mut self,
        statements: &[ProxyStatement],
    ) -> Result<Option<Answer>, Broken> {
        let mut output = BytesMut::new();
        for statement in statements {
            (self.protocol.write_proxy_statement)(&mut output, statement);
        }
        self.send(&output, statements.len()).await?;
        let mut last = None;
        let mut failed = None;
        for statement in statements {
            let answer = self.read_answer().await?;
            match &answer.outcome {
                Ok(_) => self.apply_effect(statement),
                Err(_) => failed = Some(answer.clone()),
            }
            last = Some(answer);
        }
        Ok(failed.or(last))
    }

    /// Runs a caller's statement.
    pub(crate) async fn run(&mut self, query: &Query) -> Result<Answer, Broken> {
        let mut output = BytesMut::new();
        (self.protocol.write_query)(&mut output, query);
        self.send(&output, 1).await?;
        self.read_answer().await
    }

    /// Updates the session state after a statement of the proxy has succeeded.
    fn apply_effect(&mut self, statement: &ProxyStatement) {
        match statement {
            ProxyStatement::Reset => {
                self.values.clear();
                self.prepared = PreparedNames::default();
            }
            ProxyStatement::Set(name, value) => {
                self.values.insert(name.clone(), value.clone());
            }
            ProxyStatement::Prepare(name, statement) => {
                self.prepared.add(name.clone(), statement.clone());
            }
            _ => {}
        }
    }

    /// Sends `statements` statements. They count as outstanding before the first byte leaves, so
    /// that a caller that stops waiting leaves a connection that is not reused.
    async fn send(&mut self, output: &[u8], statements: usize) -> Result<(), Broken> {
        self.outstanding += statements;
        self.stream.write_all(output).await.map_err(|_| Broken)
    }

    async fn read_answer(&mut self) -> Result<Answer, Broken> {
        let mut rows = Vec::new();
        let mut outcome = None;
        loop {
            match self.read_message().await? {
                MemberMessage::Row(row) => rows.push(row),
                MemberMessage::Done(signature) => outcome = Some(Ok(signature)),
                MemberMessage::Failed(code, text) => outcome = Some(Err((code, text))),
                MemberMessage::Ready { status, position } => {
                    let outcome = outcome.ok_or(Broken)?;
                    self.outstanding = self.outstanding.saturating_sub(1);
                    self.status = status;
                    if self.input.is_empty() && self.input.capacity() > KEPT_BYTES {
                        self.input = BytesMut::new();
                    }
                    return Ok(Answer {
                        rows,
                        outcome,
                        status,
                        position,
                    });
                }
            }
        }
    }

    async fn read_message(&mut self) -> Result<MemberMessage, Broken> {
        loop {
            let message = (self.protocol.read_member)(&mut self.input);
            if let Some(message) = message.map_err(|_| Broken)? {
                return Ok(message);
            }
            if self.input.len() > MAX_MESSAGE_BYTES {
                return Err(Broken);
            }
            self.input.reserve(READ_BYTES);
            let read = self.stream.read_buf(&mut self.input).await;
            if read.map_err(|_| Broken)? == 0 {
                return Err(Broken);
            }
        }
    }
}

impl Drop for MemberConnection {
    fn drop(&mut self) {
        // Without the option the connection is closed, and a late statement may arrive; there is nothing
        // else to do then.
        let _ = match (self.purpose, self.outstanding) {
            (Purpose::Callers, 0) => Ok(()),
            (Purpose::Callers, _) => reset_on_drop(&self.stream),
            (Purpose::Order, 0) => close_on_drop(&self.stream),
            (Purpose::Order, _) => Ok(()),
        };
    }
}
