//! Bodies as bytes.

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::MAX_BODY_BYTES;

/// A body that cannot be written or read.
#[derive(Debug, Error)]
pub enum CodecError {
    /// A value that `bincode` cannot write.
    #[error("body cannot be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// Bytes that are not the value that was expected.
    #[error("body cannot be decoded: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// Bytes are left over after the value.
    #[error("{0} bytes follow the body")]
    Trailing(usize),
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_BODY_BYTES>()
}

/// Writes a value.
///
/// # Errors
///
/// [`CodecError::Encode`] when the value cannot be written.
pub fn encode<T>(value: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    Ok(bincode::serde::encode_to_vec(value, config())?)
}

/// Reads a value that fills `bytes` exactly.
///
/// # Errors
///
/// [`CodecError`] when the bytes are too few, too many or not such a value.
pub fn decode<T>(bytes: &[u8]) -> Result<T, CodecError>
where
    T: DeserializeOwned,
{
    let (value, read) = bincode::serde::decode_from_slice(bytes, config())?;
    if read < bytes.len() {
        return Err(CodecError::Trailing(bytes.len() - read));
    }
    Ok(value)
}
