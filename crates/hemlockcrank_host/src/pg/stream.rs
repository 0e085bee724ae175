//! Reading and writing of messages on a TCP stream.

use bytes::{Buf, BytesMut};
use pgwire::messages::{
    DecodeContext, Message, PgWireFrontendMessage, SslNegotiationMetaMessage,
    cancel::CancelRequest, startup::Startup,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::{Frame, PgError, frame::HEADER_BYTES};
use crate::budget::Account;

/// Capacity that is reserved for reading, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// Output buffer that a connection keeps, in bytes.
const KEPT_BYTES: usize = 16 * 1024;
/// Copies of a unit of work while it runs: its messages, their decoded form, and what is sent to the
/// database.
const WORK_FACTOR: usize = 3;
/// Longest startup packet, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Answer that refuses encryption, which the platform's load balancer provides.
const NO_ENCRYPTION: u8 = b'N';

/// First message of a connection.
#[derive(Debug)]
pub enum StartupPacket {
    /// Starts a session.
    Startup(Startup),
    /// Requests to cancel the statement of another session.
    Cancel(CancelRequest),
}

/// A connection with its input and output buffers.
#[derive(Debug)]
pub struct Stream {
    socket: TcpStream,
    input: BytesMut,
    output: BytesMut,
    /// Longest allowed message, in bytes.
    limit: usize,
    /// Account of a caller; connections to databases have none.
    account: Option<Account>,
    /// Bytes of the messages that were taken since the present unit of work began.
    taken: usize,
}

impl Stream {
    /// Wraps a socket; reading a message of more than `limit` bytes is an error.
    pub fn new(socket: TcpStream, limit: usize) -> Self {
        let _ = socket.set_nodelay(true);
        Self {
            socket,
            input: BytesMut::with_capacity(READ_BYTES),
            output: BytesMut::new(),
            limit,
            account: None,
            taken: 0,
        }
    }

    /// The same for a caller, whose unread and unanswered bytes are counted in its account.
    pub(crate) fn with_account(socket: TcpStream, limit: usize, account: Account) -> Self {
        Self {
            account: Some(account),
            ..Self::new(socket, limit)
        }
    }

    /// Begins to read a unit of work: the answer to the last one is done.
    pub(crate) fn begin_unit(&mut self) {
        self.taken = 0;
        if let Some(account) = &self.account {
            account.settle();
            account.hold(self.input.len());
        }
    }

    /// Counts what the session keeps between units of work.
    pub(crate) fn count_kept(&self, bytes: usize) {
        if let Some(account) = &self.account {
            account.keep(bytes);
        }
    }

    /// The unit of work is complete and runs.
    ///
    /// # Errors
    ///
    /// [`PgError::Closed`] if the clients of this host use too much of it.
    pub(crate) fn begin_work(&mut self) -> Result<(), PgError> {
        let Some(account) = &self.account else {
            return Ok(());
        };
        let bytes = self.taken * WORK_FACTOR + self.input.len();
        account.begin_work(bytes).map_err(|_| PgError::Closed)
    }

    /// The socket, for its addresses.
    pub fn socket(&self) -> &TcpStream {
        &self.socket
    }

    /// Reads the startup packet and refuses requests for encryption before it. `None` if the other
    /// side closed the connection.
    ///
    /// # Errors
    ///
    /// [`PgError`] if the message is malformed or the socket fails.
    pub async fn read_startup_packet(&mut self) -> Result<Option<StartupPacket>, PgError> {
        let mut context = DecodeContext::default();
        loop {
            self.check_startup_length()?;
            match PgWireFrontendMessage::decode(&mut self.input, &context)? {
                Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                    context.awaiting_frontend_ssl = false;
                }
                Some(PgWireFrontendMessage::SslNegotiation(_)) => {
                    self.output.extend_from_slice(&[NO_ENCRYPTION]);
                    self.flush().await?;
                }
                Some(PgWireFrontendMessage::Startup(startup)) => {
                    return Ok(Some(StartupPacket::Startup(startup)));
                }
                Some(PgWireFrontendMessage::CancelRequest(cancel)) => {
                    return Ok(Some(StartupPacket::Cancel(cancel)));
                }
                Some(_) => return Err(PgError::Unexpected(0)),
                None => {
                    if !self.fill().await? {
                        return Ok(None);
                    }
                }
            }
        }
    }

    /// Checks the length of the startup packet, if it has arrived.
    fn check_startup_length(&self) -> Result<(), PgError> {
        let Some(mut header) = self.input.get(..4) else {
            return Ok(());
        };
        let length = header.get_i32();
        let length = usize::try_from(length).map_err(|_| PgError::InvalidLength)?;
        if length < 8 {
            return Err(PgError::InvalidLength);
        }
        if length > MAX_STARTUP_BYTES {
            return Err(PgError::Oversized {
                length,
                limit: MAX_STARTUP_BYTES,
            });
        }
        Ok(())
    }

    /// Reads one message; `None` if the other side closed the connection between messages.
    /// Cancel-safe.
    ///
    /// # Errors
    ///
    /// [`PgError`] if the header is malformed, the message is too long or the socket fails.
    pub async fn read(&mut self) -> Result<Option<Frame>, PgError> {
        loop {
            if let Some(frame) = self.read_buffered()? {
                return Ok(Some(frame));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Takes one message from the input buffer; `None` if no complete message has arrived.
    ///
    /// # Errors
    ///
    /// [`PgError`] if the header is malformed or the message is too long.
    pub fn read_buffered(&mut self) -> Result<Option<Frame>, PgError> {
        let Some(header) = self.input.get(..HEADER_BYTES) else {
            return Ok(None);
        };
        let tag = header[0];
        let length_field = (&header[1..]).get_i32();
        let length = usize::try_from(length_field).map_err(|_| PgError::InvalidLength)? + 1;
        if length < HEADER_BYTES {
            return Err(PgError::InvalidLength);
        }
        if length > self.limit {
            return Err(PgError::Oversized {
                length,
                limit: self.limit,
            });
        }
        if self.input.len() < length {
            return Ok(None);
        }
        let bytes = self.input.split_to(length).freeze();
        self.taken += length;
        Ok(Some(Frame { tag, bytes }))
    }

    /// Reads from the socket; `false` if the other side closed the connection between messages.
    async fn fill(&mut self) -> Result<bool, PgError> {
        if let Some(account) = &self.account {
            account.wait_for_room(self.input.len() + self.taken).await;
        }
        if self.input.capacity() - self.input.len() < READ_BYTES / 4 {
            self.input.reserve(READ_BYTES);
        }
        let reads = self.socket.read_buf(&mut self.input);
        let bytes_read = match &self.account {
            None => reads.await?,
            Some(account) => tokio::select! {
                biased;
                () = account.closed() => return Err(PgError::Closed),
                read = reads => read?,
            },
        };
        if let Some(account) = &self.account {
            account.hold(self.input.len() + self.taken);
        }
        if bytes_read == 0 && !self.input.is_empty() {
            return Err(PgError::Truncated);
        }
        Ok(bytes_read > 0)
    }

    /// Adds a message to the output buffer.
    ///
    /// # Errors
    ///
    /// [`PgError::Malformed`] if the message is larger than the protocol allows.
    pub fn queue<M>(&mut self, message: &M) -> Result<(), PgError>
    where
        M: Message,
    {
        Ok(message.encode(&mut self.output)?)
    }

    /// Adds a message as raw bytes to the output buffer.
    pub fn queue_frame(&mut self, frame: &Frame) {
        self.output.extend_from_slice(&frame.bytes);
    }

    /// Bytes in the output buffer.
    pub fn queued_bytes(&self) -> usize {
        self.output.len()
    }

    /// Clears the output buffer without sending it.
    pub fn discard_queued(&mut self) {
        self.output.clear();
    }

    /// Sends the output buffer.
    ///
    /// # Errors
    ///
    /// [`PgError::Io`] if the socket fails; part of the output may have been sent.
    pub async fn flush(&mut self) -> Result<(), PgError> {
        if !self.output.is_empty() {
            match &self.account {
                None => self.socket.write_all(&self.output).await?,
                Some(account) => write_to_caller(&mut self.socket, &self.output, account).await?,
            }
            if self.output.len() > KEPT_BYTES {
                self.output = BytesMut::new();
            }
            self.output.clear();
        }
        Ok(())
    }

    /// Sends the output buffer and closes the connection.
    pub async fn close(&mut self) {
        let _ = self.flush().await;
        let _ = self.socket.shutdown().await;
    }
}

/// Writes all bytes, with a time limit for each part that the caller takes.
async fn write_to_caller(
    socket: &mut TcpStream,
    mut bytes: &[u8],
    account: &Account,
) -> Result<(), PgError> {
    while !bytes.is_empty() {
        let limit = account.budget().message_limit();
        let written = tokio::select! {
            biased;
            written = timeout(limit, socket.write(bytes)) => written,
            () = account.closed() => return Err(PgError::Closed),
        };
        let written = written.map_err(|_| PgError::Closed)??;
        bytes = &bytes[written..];
    }
    Ok(())
}
