//! Messages on a TCP stream.

use bytes::{Buf, BytesMut};
use pgwire::messages::{
    DecodeContext, Message, PgWireFrontendMessage, SslNegotiationMetaMessage,
    cancel::CancelRequest, startup::Startup,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::{Frame, PgError, frame::HEAD_BYTES};

/// Room that is kept for reading, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// Longest first message of a connection, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Answer to a request for encryption, which is left to the platform's balancer.
const NO_ENCRYPTION: u8 = b'N';

/// What a connection begins with.
#[derive(Debug)]
pub enum StartupPacket {
    /// A session.
    Startup(Startup),
    /// A request to cancel another session's statement.
    Cancel(CancelRequest),
}

/// A connection with its buffers.
#[derive(Debug)]
pub struct Stream {
    socket: TcpStream,
    input: BytesMut,
    output: BytesMut,
    limit: usize,
}

impl Stream {
    /// Wraps a socket; messages over `limit` bytes are refused.
    pub fn new(socket: TcpStream, limit: usize) -> Self {
        let _ = socket.set_nodelay(true);
        Self {
            socket,
            input: BytesMut::with_capacity(READ_BYTES),
            output: BytesMut::new(),
            limit,
        }
    }

    /// The socket, for its addresses.
    pub fn socket(&self) -> &TcpStream {
        &self.socket
    }

    /// Reads the first message, refusing encryption on the way. `None` when the other side left.
    ///
    /// # Errors
    ///
    /// [`PgError`] when the message is malformed or the socket fails.
    pub async fn read_startup_packet(&mut self) -> Result<Option<StartupPacket>, PgError> {
        let mut context = DecodeContext::default();
        loop {
            self.check_opening()?;
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

    fn check_opening(&self) -> Result<(), PgError> {
        let Some(mut head) = self.input.get(..4) else {
            return Ok(());
        };
        let length = head.get_i32();
        let length = usize::try_from(length).map_err(|_| PgError::Length)?;
        if length < 8 {
            return Err(PgError::Length);
        }
        if length > MAX_STARTUP_BYTES {
            return Err(PgError::Oversized {
                length,
                limit: MAX_STARTUP_BYTES,
            });
        }
        Ok(())
    }

    /// Reads one message; `None` when the other side closed between messages. Cancel-safe.
    ///
    /// # Errors
    ///
    /// [`PgError`] when the head is malformed, the message too long or the socket fails.
    pub async fn read(&mut self) -> Result<Option<Frame>, PgError> {
        loop {
            if let Some(frame) = self.buffered()? {
                return Ok(Some(frame));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Takes one message that has already arrived whole.
    ///
    /// # Errors
    ///
    /// [`PgError`] when the head is malformed or the message too long.
    pub fn buffered(&mut self) -> Result<Option<Frame>, PgError> {
        let Some(head) = self.input.get(..HEAD_BYTES) else {
            return Ok(None);
        };
        let tag = head[0];
        let stated = (&head[1..]).get_i32();
        let length = usize::try_from(stated).map_err(|_| PgError::Length)? + 1;
        if length < HEAD_BYTES {
            return Err(PgError::Length);
        }
        if length > self.limit {
            return Err(PgError::Oversized {
                length,
                limit: self.limit,
            });
        }
        if self.input.len() < length {
            self.input.reserve(length - self.input.len());
            return Ok(None);
        }
        let bytes = self.input.split_to(length).freeze();
        Ok(Some(Frame { tag, bytes }))
    }

    async fn fill(&mut self) -> Result<bool, PgError> {
        if self.input.capacity() - self.input.len() < READ_BYTES / 4 {
            self.input.reserve(READ_BYTES);
        }
        let read = self.socket.read_buf(&mut self.input).await?;
        if read == 0 && !self.input.is_empty() {
            return Err(PgError::Truncated);
        }
        Ok(read > 0)
    }

    /// Adds a message to the output.
    ///
    /// # Errors
    ///
    /// [`PgError::Malformed`] when it is over the protocol's own limit.
    pub fn queue<M>(&mut self, message: &M) -> Result<(), PgError>
    where
        M: Message,
    {
        Ok(message.encode(&mut self.output)?)
    }

    /// Adds a message as raw bytes to the output.
    pub fn queue_frame(&mut self, frame: &Frame) {
        self.output.extend_from_slice(&frame.bytes);
    }

    /// Bytes in the output that are not sent.
    pub fn queued(&self) -> usize {
        self.output.len()
    }

    /// Drops what is in the output and not sent.
    pub fn discard_queued(&mut self) {
        self.output.clear();
    }

    /// Sends the output.
    ///
    /// # Errors
    ///
    /// [`PgError::Io`] when the socket fails; a part may have been sent.
    pub async fn flush(&mut self) -> Result<(), PgError> {
        if !self.output.is_empty() {
            self.socket.write_all(&self.output).await?;
            self.output.clear();
        }
        Ok(())
    }

    /// Ends the connection after what was sent.
    pub async fn close(&mut self) {
        let _ = self.flush().await;
        let _ = self.socket.shutdown().await;
    }
}
