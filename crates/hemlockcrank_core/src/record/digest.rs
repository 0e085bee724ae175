//! Keyed hash of a caller's secret, the only form in which a key is stored.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

/// Context string that the hashing key is derived with.
const CONTEXT: &str = "hemlockcrank 2026 workspace key digest";
/// Length of a digest, in bytes.
const DIGEST_LEN: usize = 32;

/// The digest's text is malformed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a digest is 64 hexadecimal digits")]
pub struct DigestError;

/// Keyed hash of a secret.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Digest([u8; DIGEST_LEN]);

impl Digest {
    /// Hashes `secret` with a key derived from `site_secret`.
    pub fn of(site_secret: &str, secret: &str) -> Self {
        let key = blake3::derive_key(CONTEXT, site_secret.as_bytes());
        Self(*blake3::keyed_hash(&key, secret.as_bytes()).as_bytes())
    }

    /// The raw bytes, for comparison in constant time.
    pub fn as_bytes(&self) -> &[u8; DIGEST_LEN] {
        &self.0
    }

    /// Parses 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// [`DigestError`] on any other text.
    pub fn from_hex(text: &str) -> Result<Self, DigestError> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| DigestError)?;
        Ok(Self(*hash.as_bytes()))
    }

    /// Formats the digest as 64 hexadecimal digits.
    pub fn to_hex(&self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

impl Serialize for Digest {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&self.to_hex())
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        Self::from_hex(&text).map_err(serde::de::Error::custom)
    }
}
