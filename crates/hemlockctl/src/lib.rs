//! # hemlockctl
//!
//! A client for the operator API of any host, and the command-line tool for operators.
//!
//! ```no_run
//! use hemlockcrank_core::record::Kind;
//! use hemlockctl::Client;
//!
//! # async fn run() -> Result<(), hemlockctl::ClientError> {
//! let client = Client::new("127.0.0.1:7432", "operator-secret");
//! let accepted = client.submit(Kind::Service, "ledger-db", 1, r#"{"open": false}"#).await?;
//! client.wait_in_force(accepted.index, |_| {}).await?;
//! # Ok(())
//! # }
//! ```

mod client;

pub use client::{Accepted, Client, ClientError};
