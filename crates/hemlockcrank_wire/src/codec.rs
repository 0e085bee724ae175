//! Encoding and decoding of message bodies.

use hemlockcrank_core::state::State;
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::MAX_BODY_BYTES;

/// Why a body cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// `bincode` cannot encode the value.
    #[error("body cannot be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes are not a value of the expected type.
    #[error("body cannot be decoded: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// There are extra bytes after the value.
    #[error("{0} bytes follow the body")]
    Trailing(usize),
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_BODY_BYTES>()
}

/// Encodes a value.
///
/// # Errors
///
/// [`CodecError::Encode`] if the value cannot be encoded.
pub fn encode<T>(value: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    Ok(bincode::serde::encode_to_vec(value, config())?)
}

/// Decodes a value that takes up all of `bytes`.
///
/// # Errors
///
/// [`CodecError`] if `bytes` is truncated or malformed, or has extra bytes after the value.
pub fn decode<T>(bytes: &[u8]) -> Result<T, CodecError>
where
    T: DeserializeOwned,
{
    let (value, bytes_read) = bincode::serde::decode_from_slice(bytes, config())?;
    if bytes_read < bytes.len() {
        return Err(CodecError::Trailing(bytes.len() - bytes_read));
    }
    Ok(value)
}

/// Decodes a control state, also one of an older version: that of version 6 ends before the ledger of
/// usage, that of version 5 before the intents to promote, too, that of version 4 before the zones'
/// orders, too, that of version 3 before the nominated members, too.
///
/// # Errors
///
/// [`CodecError`] if `bytes` is no state of any of these versions.
pub fn decode_state(bytes: &[u8]) -> Result<State, CodecError> {
    /// Encodings of the maps that versions before 6 lack, each without entries.
    const MISSING_MAPS: usize = 3;
    /// Encoding of the ledger without entries, which all older versions lack.
    const LEDGER_BYTES: usize = 4;
    decode(bytes).or_else(|error| {
        let older = (LEDGER_BYTES..=LEDGER_BYTES + MISSING_MAPS).find_map(|count| {
            let completed = [bytes, &[0; LEDGER_BYTES + MISSING_MAPS][..count]].concat();
            decode(&completed).ok()
        });
        older.ok_or(error)
    })
}
