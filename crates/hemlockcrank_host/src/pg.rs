//! PostgreSQL wire protocol v3 on a TCP stream, for connections to callers and to databases.
//!
//! A [`Frame`] is one message as raw bytes. Most frames are only passed on and never decoded; the
//! few that the proxy interprets are decoded into `pgwire`'s message types by
//! [`Frame::decode_frontend`] and [`Frame::decode_backend`].

mod frame;
mod stream;

pub use frame::{Frame, PgError, Severity, error_response, notice_response, tag};
pub use stream::{StartupPacket, Stream};
