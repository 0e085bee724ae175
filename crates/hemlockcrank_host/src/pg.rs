//! PostgreSQL wire protocol v3 on a TCP stream, for both faces.
//!
//! A [`Frame`] is one message as raw bytes. Most frames are only passed on, so they are never decoded;
//! the few that matter are read with `pgwire`'s message types through [`Frame::decode_frontend`] and
//! [`Frame::decode_backend`].

mod frame;
mod stream;

pub use frame::{Frame, PgError, Severity, error_response, notice_response, tag};
pub use stream::{StartupPacket, Stream};
