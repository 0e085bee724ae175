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

/// Bytes of a message's head: type and length.
pub(crate) const HEAD_BYTES: usize = 5;

/// Type bytes that the proxy looks at.
pub mod tag {
    /// Bind, from a caller.
    pub const BIND: u8 = b'B';
    /// Close, from a caller; CommandComplete, from a database.
    pub const CLOSE: u8 = b'C';
    /// CommandComplete, from a database.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// Describe, from a caller; DataRow, from a database.
    pub const DESCRIBE: u8 = b'D';
    /// DataRow, from a database.
    pub const DATA_ROW: u8 = b'D';
    /// Execute, from a caller; ErrorResponse, from a database.
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
    /// Password and the like.
    pub const PASSWORD: u8 = b'p';
    /// Simple query.
    pub const QUERY: u8 = b'Q';
    /// Sync, from a caller; ParameterStatus, from a database.
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

/// A connection that cannot go on.
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
        /// Length that the message states.
        length: usize,
        /// Longest allowed.
        limit: usize,
    },
    /// A message's length is impossible.
    #[error("message states an impossible length")]
    Length,
    /// A message's content is malformed.
    #[error("malformed message: {0}")]
    Malformed(#[from] PgWireError),
    /// A message that does not belong here.
    #[error("unexpected message of type {0:#04x}")]
    Unexpected(u8),
}

/// How grave a message to a caller is.
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

/// One message as raw bytes, head included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Type byte.
    pub tag: u8,
    /// All bytes, from the type byte on.
    pub bytes: Bytes,
}

impl Frame {
    /// Encodes a message.
    ///
    /// # Errors
    ///
    /// [`PgError::Malformed`] when it is over the protocol's own limit.
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

    /// Bytes after the head.
    pub fn body(&self) -> &[u8] {
        self.bytes.get(HEAD_BYTES..).unwrap_or_default()
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

/// Decoding context after the start of a connection.
fn context() -> DecodeContext {
    let mut context = DecodeContext::default();
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}

/// An error with its standard SQLSTATE, and a detail such as the outcome.
pub fn error_response(
    severity: Severity,
    sqlstate: &str,
    message: &str,
    detail: &str,
) -> ErrorResponse {
    ErrorResponse::new(fields(severity, sqlstate, message, detail))
}

/// A notice.
pub fn notice_response(sqlstate: &str, message: &str, detail: &str) -> NoticeResponse {
    NoticeResponse::new(fields(Severity::Notice, sqlstate, message, detail))
}

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
