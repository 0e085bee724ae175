//! # hemlockcrank_wire
//!
//! Protocol between the hosts of a site: each call is one `h2` stream with a `bincode` request body
//! and a `bincode` response body. Every body is a [`Frame`] with the sender's hybrid clock, which
//! orders the events of all hosts causally.
//!
//! - [`Request`] and [`Response`]: the messages of a call.
//! - [`Client`]: a connection to one peer, reopened when it breaks.
//! - [`Execute`] and [`Executed`]: an operation that one host runs for another.
//! - [`serve`]: accepts connections and answers calls.
//!
//! A call has the protocol [`VERSION`] and a proof that the client knows the site's peer secret. A
//! client with another version or secret is refused with a distinct status; see [`CallError`].

mod call;
mod client;
mod codec;
mod execution;
mod server;

pub use call::{
    Division, EventRecord, Fetch, FetchReply, Formation, Frame, HostProgress, LeaderStatus,
    PositionSample, ProposeReply, Request, Response,
};
pub use client::{CallError, Client};
pub use codec::{CodecError, decode, decode_state, encode};
pub use execution::{
    Answer, Body, Code, Decline, Execute, Executed, Kind, PreparedStatement, Refusal, Status, Step,
    TransactionId,
};
pub use server::{Incoming, serve, serve_gated};

/// Version of the protocol between hosts.
pub const VERSION: u32 = 8;
/// Maximum size of a request or response body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Header with the protocol version.
pub(crate) const VERSION_HEADER: &str = "hemlockcrank-version";
/// Header with the proof that the client knows the peer secret.
pub(crate) const PROOF_HEADER: &str = "hemlockcrank-proof";
