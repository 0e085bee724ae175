//! One message of the protocol.

use bytes::{Bytes, BytesMut};
use pgwire::{
    error::PgWireError,
    messages::{
        DecodeContext, Message, PgWireBackendMessage, PgWireFrontendMessage,
        response::{ErrorResponse, NoticeResponse},
    },
};
use strum::IntoStaticStr;
use thiserror::Error;

/// Size of a message's header, in bytes: type and length.
pub(crate) const HEADER_BYTES: usize = 5;

/// Type bytes of the messages that the proxy interprets.
///
/// Some bytes have a different meaning in each direction, so their constants come in pairs.
pub mod tag {
    /// Bind, from a caller.
    pub const BIND: u8 = b'B';
    /// Close, from a caller; the same byte as [`COMMAND_COMPLETE`].
    pub const CLOSE: u8 = b'C';
    /// CommandComplete, from a database.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// Describe, from a caller; the same byte as [`DATA_ROW`].
    pub const DESCRIBE: u8 = b'D';
    /// DataRow, from a database.
    pub const DATA_ROW: u8 = b'D';
    /// Execute, from a caller; the same byte as [`ERROR_RESPONSE`].
    pub const EXECUTE: u8 = b'E';
    /// ErrorResponse, from a database.
    pub const ERROR_RESPONSE: u8 = b'E';
    /// Flush.
    pub const FLUSH: u8 = b'H';
    /// Parse.
    pub const PARSE: u8 = b'P';
    /// ParseComplete.
    pub const PARSE_COMPLETE: u8 = b'1';
    /// CloseComplete.
    pub const CLOSE_COMPLETE: u8 = b'3';
    /// PasswordMessage and other authentication responses.
    pub const PASSWORD: u8 = b'p';
    /// Query, a simple query.
    pub const QUERY: u8 = b'Q';
    /// Sync, from a caller; the same byte as [`PARAMETER_STATUS`].
    pub const SYNC: u8 = b'S';
    /// ParameterStatus, from a database.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// Terminate.
    pub const TERMINATE: u8 = b'X';
    /// ReadyForQuery.
    pub const READY_FOR_QUERY: u8 = b'Z';
    /// Authentication request.
    pub const AUTHENTICATION: u8 = b'R';
    /// BackendKeyData.
    pub const BACKEND_KEY_DATA: u8 = b'K';
    /// CopyInResponse.
    pub const COPY_IN: u8 = b'G';
    /// CopyData.
    pub const COPY_DATA: u8 = b'd';
    /// CopyDone.
    pub const COPY_DONE: u8 = b'c';
    /// CopyFail.
    pub const COPY_FAIL: u8 = b'f';
    /// NoticeResponse.
    pub const NOTICE: u8 = b'N';
}

/// Error after which a connection cannot continue.
#[derive(Debug, Error)]
pub enum PgError {
    /// The socket failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The other side closed in the middle of a message.
    #[error("connection was closed within a message")]
    Truncated,
    /// A message is longer than allowed.
    #[error("message of {length} bytes is over the limit of {limit}")]
    Oversized {
        /// Length in the message's header.
        length: usize,
        /// Longest allowed message.
        limit: usize,
    },
    /// The length in a message's header is impossible.
    #[error("message states an impossible length")]
    InvalidLength,
    /// A message's content is malformed.
    #[error("malformed message: {0}")]
    Malformed(#[from] PgWireError),
    /// The clients of this host use too much of it, this one most.
    #[error("connection was closed because clients use too much of this host")]
    Closed,
    /// A message of this type is not allowed at this point.
    #[error("unexpected message of type {0:#04x}")]
    Unexpected(u8),
}

/// Severity of an error or notice to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "UPPERCASE")]
pub enum Severity {
    /// The statement failed.
    Error,
    /// The connection ends.
    Fatal,
    /// For information.
    Notice,
}

/// One message as raw bytes, including its header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Type byte.
    pub tag: u8,
    /// All bytes, starting with the type byte.
    pub bytes: Bytes,
}

impl Frame {
    /// Encodes a message.
    ///
    /// # Errors
    ///
    /// [`PgError::Malformed`] if the message is larger than the protocol allows.
    pub fn encode<M>(message: &M) -> Result<Self, PgError>
    where
        M: Message,
    {
        let mut buffer = BytesMut::new();
        message.encode(&mut buffer)?;
        let bytes = buffer.freeze();
        let tag = bytes.first().copied().unwrap_or_default();
        Ok(Self { tag, bytes })
    }

    /// Bytes after the header.
    pub fn body(&self) -> &[u8] {
        self.bytes.get(HEADER_BYTES..).unwrap_or_default()
    }

    /// Decodes a message from a caller.
    ///
    /// # Errors
    ///
    /// [`PgError`] when the content is malformed.
    pub fn decode_frontend(&self) -> Result<PgWireFrontendMessage, PgError> {
        let mut buffer = BytesMut::from(self.bytes.as_ref());
        let message = PgWireFrontendMessage::decode(&mut buffer, &context())?;
        message.ok_or(PgError::Unexpected(self.tag))
    }

    /// Decodes a message from a database.
    ///
    /// # Errors
    ///
    /// [`PgError`] when the content is malformed.
    pub fn decode_backend(&self) -> Result<PgWireBackendMessage, PgError> {
        let mut buffer = BytesMut::from(self.bytes.as_ref());
        let message = PgWireBackendMessage::decode(&mut buffer, &context())?;
        message.ok_or(PgError::Unexpected(self.tag))
    }
}

/// Decoding context for messages after the startup of a connection.
fn context() -> DecodeContext {
    let mut context = DecodeContext::default();
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}

/// Builds an error response with a standard SQLSTATE and a detail, such as the outcome.
pub fn error_response(
    severity: Severity,
    sqlstate: &str,
    message: &str,
    detail: &str,
) -> ErrorResponse {
    ErrorResponse::new(fields(severity, sqlstate, message, detail))
}

/// Builds a notice.
pub fn notice_response(sqlstate: &str, message: &str, detail: &str) -> NoticeResponse {
    NoticeResponse::new(fields(Severity::Notice, sqlstate, message, detail))
}

/// Fields of an error or a notice; an empty detail is left out.
fn fields(severity: Severity, sqlstate: &str, message: &str, detail: &str) -> Vec<(u8, String)> {
    let severity: &str = severity.into();
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', sqlstate.to_owned()),
        (b'M', message.to_owned()),
    ];
    if !detail.is_empty() {
        fields.push((b'D', detail.to_owned()));
    }
    fields
}
