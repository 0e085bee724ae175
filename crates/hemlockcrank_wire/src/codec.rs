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

/// Decodes a control state, also one of an older version: that of version 7 ends before the bounds of
/// acknowledged commits, that of version 6 before the ledger of usage, too, that of version 5 before the intents to promote, too, that of version 4 before the zones'
/// orders, too, that of version 3 before the nominated members, too.
///
/// # Errors
///
/// [`CodecError`] if `bytes` is no state of any of these versions.
pub fn decode_state(bytes: &[u8]) -> Result<State, CodecError> {
    /// Encodings of the maps that versions before 6 lack, each without entries.
    const MISSING_MAPS: usize = 3;
    /// Encoding of the ledger without entries, which versions before 7 lack.
    const LEDGER_BYTES: usize = 4;
    /// Encoding of no bounds, which all older versions lack.
    const BOUNDS_BYTES: usize = 1;
    const VERSION_6: usize = BOUNDS_BYTES + LEDGER_BYTES;
    const VERSION_3: usize = VERSION_6 + MISSING_MAPS;
    decode(bytes).or_else(|error| {
        let mut missing = std::iter::once(BOUNDS_BYTES).chain(VERSION_6..=VERSION_3);
        let older = missing.find_map(|count| {
            let completed = [bytes, &[0; VERSION_3][..count]].concat();
            decode(&completed).ok()
        });
        older.ok_or(error)
    })
}
