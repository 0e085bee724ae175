//! # hemlockcrank_wire
//!
//! What the proxy's own processes say to each other, and how: one `h2` stream for each call, with a
//! `bincode` body on either side. Every body is a [`Frame`] with the sender's hybrid clock, so the time
//! line of all processes has one causal order.
//!
//! - [`Request`] and [`Response`]: the calls.
//! - [`Client`]: one connection to one peer, opened again when it breaks.
//! - [`serve`]: accepts connections and answers calls.
//!
//! Both ends name the protocol's [`VERSION`] and prove that they know the site's peer secret. A peer with
//! another version or secret is refused with a status that says so; see [`CallError`].

mod call;
mod client;
mod codec;
mod server;

pub use call::{
    EventRecord, Fetch, FetchReply, Formation, Frame, HostProgress, LeaderStatus, PositionSample,
    ProposeReply, Request, Response, Update,
};
pub use client::{CallError, Client};
pub use codec::{CodecError, decode, encode};
pub use server::{Incoming, serve};

/// Version of the protocol between our processes.
pub const VERSION: u32 = 2;
/// Largest body of a call, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Header with the protocol version.
pub(crate) const VERSION_HEADER: &str = "hemlockcrank-version";
/// Header with the proof of the peer secret.
pub(crate) const PROOF_HEADER: &str = "hemlockcrank-proof";
