//! A connection to one member.

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
    dial::{dial, reset_on_drop},
    pg::{Frame, PgError, Stream, tag},
    settings,
};

/// Longest wait for a connection to be ready.
const OPEN_LIMIT: Duration = Duration::from_millis(1_500);
/// Queries a member's adopted term, role, last position and replication source.
const STATUS_QUERY: &str =
    "SELECT adopted_term, role, last_term, last_index, source FROM hemlockcrank_status";

/// Why a connection could not be opened or used.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The protocol or the socket failed.
    #[error(transparent)]
    Pg(#[from] PgError),
    /// The member refused the connection with an error.
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
    /// Another member became primary before the answer arrived.
    #[error("another member has become primary")]
    Superseded,
    /// No answer in time.
    #[error("the member did not answer in time")]
    TimedOut,
    /// The member's answer does not have the form that the query asks for.
    #[error("the member's answer does not have the expected form")]
    UnexpectedAnswer,
}

/// Options for connections to members.
#[derive(Clone, Debug)]
pub struct ConnectOptions {
    /// Local address to connect from.
    pub local_address: IpAddr,
    /// User and password of the proxy.
    pub credential: settings::Upstream,
    /// Longest message, in bytes.
    pub message_bytes: usize,
    /// Longest wait for the answer to one of the proxy's own queries.
    pub answer_limit: Duration,
}

/// The complete answer to one of the proxy's own simple queries.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Rows of column values as text; `None` for NULL.
    pub rows: Vec<Vec<Option<String>>>,
    /// SQLSTATE and message if the query failed.
    pub error: Option<(String, String)>,
    /// Transaction status byte.
    pub status: u8,
}

impl Answer {
    /// Whether the query failed with this SQLSTATE.
    pub fn failed_with(&self, sqlstate: &str) -> bool {
        self.error
            .as_ref()
            .is_some_and(|(code, _)| code == sqlstate)
    }
}

/// An open connection to a member. Dropping it resets it, so that what has not reached the member by then
/// never does; [`Connection::close`] closes it in order.
#[derive(Debug)]
pub struct Connection {
    /// Message stream in both directions.
    pub stream: Stream,
    /// Process id and secret for cancel requests.
    pub cancel_key: (i32, SecretKey),
    /// Longest wait for the answer to one of the proxy's own queries.
    answer_limit: Duration,
    /// Names of the prepared statements that exist on it.
    pub prepared: HashSet<String>,
    /// Number of the session whose state is on it; 0 for none.
    pub owner: u64,
    /// Version of the owner's settings that are applied on it.
    pub settings_version: u64,
    /// Whether session state was left on it that has not been reset.
    pub dirty: bool,
    /// When it was last used.
    pub idle_since: Instant,
    /// Set when it was closed in order.
    closed: bool,
}

impl Connection {
    /// Opens a connection to `database` on the member at `address`.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] when the member refuses it or it is not ready in time.
    pub async fn open(
        options: &ConnectOptions,
        address: SocketAddr,
        database: &str,
    ) -> Result<Self, ConnectionError> {
        timeout(OPEN_LIMIT, Self::handshake(options, address, database))
            .await
            .map_err(|_| ConnectionError::TimedOut)?
    }

    async fn handshake(
        options: &ConnectOptions,
        address: SocketAddr,
        database: &str,
    ) -> Result<Self, ConnectionError> {
        let socket = dial(options.local_address, address)
            .await
            .map_err(PgError::from)?;
        let mut stream = Stream::new(socket, options.message_bytes);
        let mut startup = Startup::new();
        startup.protocol_number_minor = 0;
        for (name, value) in [
            ("user", &*options.credential.user),
            ("database", database),
            ("application_name", "hemlockcrank"),
        ] {
            startup.parameters.insert(name.into(), value.into());
        }
        stream.queue(&startup)?;
        let mut connection = Self {
            stream,
            cancel_key: (0, SecretKey::I32(0)),
            answer_limit: options.answer_limit,
            prepared: HashSet::new(),
            owner: 0,
            settings_version: 0,
            dirty: false,
            idle_since: Instant::now(),
            closed: false,
        };
        connection.stream.flush().await?;
        connection
            .authenticate(&options.credential.password)
            .await?;
        Ok(connection)
    }

    async fn authenticate(&mut self, password: &str) -> Result<(), ConnectionError> {
        loop {
            let frame = self.read().await?;
            match frame.tag {
                tag::AUTHENTICATION => {
                    if let PgWireBackendMessage::Authentication(Authentication::CleartextPassword) =
                        frame.decode_backend()?
                    {
                        self.stream.queue(&Password::new(password.to_owned()))?;
                        self.stream.flush().await?;
                    }
                }
                tag::BACKEND_KEY_DATA => {
                    if let PgWireBackendMessage::BackendKeyData(key) = frame.decode_backend()? {
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
                tag::READY_FOR_QUERY => return Ok(()),
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

    /// Runs one of the proxy's own queries and collects the complete answer.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] when the connection fails or does not answer in time; the connection
    /// must not be used after that. An error of the statement is in the [`Answer`].
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
                    if let PgWireBackendMessage::DataRow(row) = frame.decode_backend()? {
                        answer.rows.push(decode_row(row)?);
                    }
                }
                tag::ERROR_RESPONSE => answer.error = Some(error_fields(&frame)?),
                tag::READY_FOR_QUERY => {
                    answer.status = frame.body().first().copied().unwrap_or_default();
                    return Ok(answer);
                }
                _ => {}
            }
        }
    }

    /// Queries the member's status, and the name of the member that it replicates from.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] when the connection fails or the answer has another form.
    pub async fn status(&mut self) -> Result<(Status, Name), ConnectionError> {
        let answer = self.query(STATUS_QUERY).await?;
        parse_status(&answer).ok_or(ConnectionError::UnexpectedAnswer)
    }

    /// Sends a Terminate message and closes the connection.
    pub async fn close(mut self) {
        let _ = self.stream.queue(&Terminate::new());
        self.stream.close().await;
        self.closed = true;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if !self.closed {
            // Without the option the connection is closed, and a late statement may arrive; there is
            // nothing else to do then.
            let _ = reset_on_drop(self.stream.socket());
        }
    }
}

/// Asks a member to cancel the statement on the connection with `cancel_key`.
///
/// # Errors
///
/// [`ConnectionError`] when the member cannot be reached.
pub(crate) async fn cancel(
    options: &ConnectOptions,
    address: SocketAddr,
    cancel_key: (i32, SecretKey),
) -> Result<(), ConnectionError> {
    let socket = dial(options.local_address, address)
        .await
        .map_err(PgError::from)?;
    let mut stream = Stream::new(socket, options.message_bytes);
    stream.queue(&CancelRequest::new(cancel_key.0, cancel_key.1))?;
    stream.close().await;
    Ok(())
}

/// SQLSTATE and message of an ErrorResponse.
pub(crate) fn error_fields(frame: &Frame) -> Result<(String, String), PgError> {
    let PgWireBackendMessage::ErrorResponse(error) = frame.decode_backend()? else {
        return Err(PgError::Unexpected(frame.tag));
    };
    let field = |code: u8| {
        let field = error.fields.iter().find(|(kind, _)| *kind == code);
        field.map(|(_, value)| value.clone()).unwrap_or_default()
    };
    Ok((field(b'C'), field(b'M')))
}

/// Decodes the column values of a row; a negative length stands for NULL.
fn decode_row(row: DataRow) -> Result<Vec<Option<String>>, ConnectionError> {
    let mut data = row.data;
    let mut values = Vec::new();
    for _ in 0..row.field_count {
        let length = data
            .try_get_i32()
            .map_err(|_| ConnectionError::UnexpectedAnswer)?;
        let Ok(length) = usize::try_from(length) else {
            values.push(None);
            continue;
        };
        if data.len() < length {
            return Err(ConnectionError::UnexpectedAnswer);
        }
        let bytes = data.split_to(length);
        values.push(Some(String::from_utf8_lossy(&bytes).into_owned()));
    }
    Ok(values)
}

/// Parses the answer to a status query; `None` when it has another form.
pub(crate) fn parse_status(answer: &Answer) -> Option<(Status, Name)> {
    let row = answer.rows.first()?;
    let column = |index: usize| row.get(index)?.as_deref();
    let role: Role = column(1)?.parse().ok()?;
    let last = Position::new(column(2)?.parse().ok()?, column(3)?.parse().ok()?);
    let status = Status {
        adopted: column(0)?.parse().ok()?,
        role,
        last,
    };
    Some((status, column(4).unwrap_or_default().into()))
}
