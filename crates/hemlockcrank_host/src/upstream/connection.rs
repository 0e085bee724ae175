//! One connection to one member.

use std::{
    collections::HashSet,
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use bytes::Buf;
use hemlockcrank_core::{Name, directory::Role, failover::Status, session::Position};
use pgwire::messages::{
    PgWireBackendMessage,
    cancel::CancelRequest,
    data::DataRow,
    simplequery::Query,
    startup::{Authentication, Password, SecretKey, Startup},
    terminate::Terminate,
};
use thiserror::Error;
use tokio::time::timeout;

use crate::{
    dial::dial,
    pg::{Frame, PgError, Stream, tag},
    settings,
};

/// Longest wait for a connection to be ready.
const OPEN_LIMIT: Duration = Duration::from_millis(1_500);
/// Asks a member for its term, role and position.
const STATUS_QUERY: &str =
    "SELECT adopted_term, role, last_term, last_index, source FROM hemlockcrank_status";

/// A connection that was not opened or did not last.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The protocol or the socket failed.
    #[error(transparent)]
    Pg(#[from] PgError),
    /// The member refused with an error.
    #[error("the member refused: {message} ({sqlstate})")]
    Refused {
        /// SQLSTATE.
        sqlstate: Name,
        /// Message.
        message: Name,
    },
    /// The member closed the connection.
    #[error("the member closed the connection")]
    Closed,
    /// Another member became primary while the answer was awaited.
    #[error("another member has become primary")]
    Superseded,
    /// No answer in time.
    #[error("the member did not answer in time")]
    TimedOut,
    /// The member's answer is not what the query asks for.
    #[error("the member's answer does not have the expected form")]
    UnexpectedAnswer,
}

/// Where connections come from and what they present.
#[derive(Clone, Debug)]
pub struct ConnectOptions {
    /// Local address to connect from.
    pub local_address: IpAddr,
    /// The proxy's own credential.
    pub credential: settings::Upstream,
    /// Longest message, in bytes.
    pub message_bytes: usize,
    /// Longest wait for the answer to a query of the proxy's own.
    pub answer_limit: Duration,
}

/// The whole answer to a simple query of the proxy's own.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Cells by row, as text.
    pub rows: Vec<Vec<Option<String>>>,
    /// SQLSTATE and message when it failed.
    pub error: Option<(String, String)>,
    /// Transaction status byte.
    pub status: u8,
}

impl Answer {
    /// Whether it failed with this SQLSTATE.
    pub fn failed_with(&self, sqlstate: &str) -> bool {
        self.error
            .as_ref()
            .is_some_and(|(code, _)| code == sqlstate)
    }
}

/// One open connection.
#[derive(Debug)]
pub struct Connection {
    /// Messages in both directions.
    pub stream: Stream,
    /// Process id and secret for cancel requests.
    pub cancel_key: (i32, SecretKey),
    /// Longest wait for the answer to a query of the proxy's own.
    answer_limit: Duration,
    /// Prepared statements that exist on it.
    pub prepared: HashSet<String>,
    /// Session whose state is on it; 0 for none.
    pub owner: u64,
    /// Version of the owner's settings that are on it.
    pub settings_version: u64,
    /// Whether session state was left on it.
    pub dirty: bool,
    /// Since when it has not been used.
    pub idle_since: Instant,
}

impl Connection {
    /// Opens a connection to `address` as a caller of `database`.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] when it is not ready in time.
    pub async fn open(
        source: &ConnectOptions,
        address: SocketAddr,
        database: &str,
    ) -> Result<Self, ConnectionError> {
        timeout(OPEN_LIMIT, Self::handshake(source, address, database))
            .await
            .map_err(|_| ConnectionError::TimedOut)?
    }

    async fn handshake(
        source: &ConnectOptions,
        address: SocketAddr,
        database: &str,
    ) -> Result<Self, ConnectionError> {
        let socket = dial(source.local_address, address)
            .await
            .map_err(PgError::from)?;
        let mut stream = Stream::new(socket, source.message_bytes);
        let mut startup = Startup::new();
        startup.protocol_number_minor = 0;
        for (name, value) in [
            ("user", &*source.credential.user),
            ("database", database),
            ("application_name", "hemlockcrank"),
        ] {
            startup.parameters.insert(name.into(), value.into());
        }
        stream.queue(&startup)?;
        stream.flush().await?;
        let mut connection = Self {
            stream,
            cancel_key: (0, SecretKey::I32(0)),
            answer_limit: source.answer_limit,
            prepared: HashSet::new(),
            owner: 0,
            settings_version: 0,
            dirty: false,
            idle_since: Instant::now(),
        };
        connection.authenticate(&source.credential.password).await?;
        Ok(connection)
    }

    async fn authenticate(&mut self, password: &str) -> Result<(), ConnectionError> {
        loop {
            let frame = self.read().await?;
            match frame.tag {
                tag::AUTHENTICATION => {
                    if let PgWireBackendMessage::Authentication(Authentication::CleartextPassword) =
                        frame.backend()?
                    {
                        self.stream.queue(&Password::new(password.to_owned()))?;
                        self.stream.flush().await?;
                    }
                }
                tag::KEY_DATA => {
                    if let PgWireBackendMessage::BackendKeyData(key) = frame.backend()? {
                        self.cancel_key = (key.pid, key.secret_key);
                    }
                }
                tag::ERROR_RESPONSE => {
                    let (sqlstate, message) = error_fields(&frame)?;
                    return Err(ConnectionError::Refused {
                        sqlstate: sqlstate.into(),
                        message: message.into(),
                    });
                }
                tag::READY => return Ok(()),
                _ => {}
            }
        }
    }

    /// Reads one message; the end of the connection is an error.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] when the connection ends or a message is malformed.
    pub async fn read(&mut self) -> Result<Frame, ConnectionError> {
        self.stream.read().await?.ok_or(ConnectionError::Closed)
    }

    /// Runs a query of the proxy's own and collects its whole answer.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] when the connection fails or stays silent; it must not be used again then. An
    /// error of the statement is in the [`Answer`].
    pub async fn query(&mut self, text: &str) -> Result<Answer, ConnectionError> {
        let limit = self.answer_limit;
        let exchange = async {
            self.stream.queue(&Query::new(text.to_owned()))?;
            self.stream.flush().await?;
            self.collect().await
        };
        timeout(limit, exchange)
            .await
            .map_err(|_| ConnectionError::TimedOut)?
    }

    async fn collect(&mut self) -> Result<Answer, ConnectionError> {
        let mut answer = Answer::default();
        loop {
            let frame = self.read().await?;
            match frame.tag {
                tag::DATA_ROW => {
                    if let PgWireBackendMessage::DataRow(row) = frame.backend()? {
                        answer.rows.push(cells(row)?);
                    }
                }
                tag::ERROR_RESPONSE => answer.error = Some(error_fields(&frame)?),
                tag::READY => {
                    answer.status = frame.body().first().copied().unwrap_or_default();
                    return Ok(answer);
                }
                _ => {}
            }
        }
    }

    /// Asks for the member's status; also returns whom it follows.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] when the connection fails or the answer has another form.
    pub async fn status(&mut self) -> Result<(Status, Name), ConnectionError> {
        let answer = self.query(STATUS_QUERY).await?;
        parse_status(&answer).ok_or(ConnectionError::UnexpectedAnswer)
    }

    /// Says goodbye.
    pub async fn close(mut self) {
        let _ = self.stream.queue(&Terminate::new());
        self.stream.close().await;
    }
}

/// Asks a member to cancel what the connection with `key` runs.
///
/// # Errors
///
/// [`ConnectionError`] when the member is not reached.
pub(crate) async fn cancel(
    source: &ConnectOptions,
    address: SocketAddr,
    key: (i32, SecretKey),
) -> Result<(), ConnectionError> {
    let socket = dial(source.local_address, address)
        .await
        .map_err(PgError::from)?;
    let mut stream = Stream::new(socket, source.message_bytes);
    stream.queue(&CancelRequest::new(key.0, key.1))?;
    stream.close().await;
    Ok(())
}

/// SQLSTATE and message of an ErrorResponse.
pub(crate) fn error_fields(frame: &Frame) -> Result<(String, String), PgError> {
    let PgWireBackendMessage::ErrorResponse(error) = frame.backend()? else {
        return Err(PgError::Unexpected(frame.tag));
    };
    let field = |wanted: u8| {
        let found = error.fields.iter().find(|(kind, _)| *kind == wanted);
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    };
    Ok((field(b'C'), field(b'M')))
}

fn cells(row: DataRow) -> Result<Vec<Option<String>>, ConnectionError> {
    let mut data = row.data;
    let mut cells = Vec::new();
    for _ in 0..row.field_count {
        let length = data
            .try_get_i32()
            .map_err(|_| ConnectionError::UnexpectedAnswer)?;
        let Ok(length) = usize::try_from(length) else {
            cells.push(None);
            continue;
        };
        if data.len() < length {
            return Err(ConnectionError::UnexpectedAnswer);
        }
        let bytes = data.split_to(length);
        cells.push(Some(String::from_utf8_lossy(&bytes).into_owned()));
    }
    Ok(cells)
}

pub(crate) fn parse_status(answer: &Answer) -> Option<(Status, Name)> {
    let row = answer.rows.first()?;
    let cell = |index: usize| row.get(index)?.as_deref();
    let role: Role = cell(1)?.parse().ok()?;
    let last = Position::new(cell(2)?.parse().ok()?, cell(3)?.parse().ok()?);
    let status = Status {
        adopted: cell(0)?.parse().ok()?,
        role,
        last,
    };
    Some((status, cell(4).unwrap_or_default().into()))
}
