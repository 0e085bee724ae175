//! Session consistency: the log position that a read must reflect.
//!
//! A [`Position`] is the term and index of a log entry. A [`Watermark`] is the lowest position of
//! one database that a read may be served from. The caller passes it along as a [`Token`], so a
//! session that moves to another host needs no state from the previous host.
//!
//! The watermark of a read without a token comes from member positions **sampled after the read
//! arrived**; see [`floor`].

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Name;

/// Format version, the first field of a token.
const TOKEN_VERSION: &str = "1";

/// Term and index of a log entry; ordered by term first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term of the primary that wrote the entry, not the term that the member has adopted.
    pub term: u64,
    /// Index in the group's log.
    pub index: u64,
}

impl Position {
    /// A position of `term` at `index`.
    pub const fn new(term: u64, index: u64) -> Self {
        Self { term, index }
    }
}

/// Lowest position of `database` that may serve a read.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Watermark {
    /// Database that the position belongs to.
    pub database: Name,
    /// Lowest position.
    pub position: Position,
}

/// A malformed token.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a session token reads `1:DATABASE:TERM:INDEX`")]
pub struct TokenError;

/// The text form of a watermark, which the caller stores and passes back.
///
/// ```
/// use hemlockcrank_core::session::{Position, Token};
///
/// let token: Token = "1:ledger-1:3:1207".parse()?;
/// assert_eq!(token.0.position, Position::new(3, 1207));
/// assert_eq!(token.to_string(), "1:ledger-1:3:1207");
/// # Ok::<(), hemlockcrank_core::session::TokenError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token(pub Watermark);

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Watermark { database, position } = &self.0;
        let Position { term, index } = position;
        write!(f, "{TOKEN_VERSION}:{database}:{term}:{index}")
    }
}

impl FromStr for Token {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, TokenError> {
        let (version, rest) = text.split_once(':').ok_or(TokenError)?;
        let (rest, index) = rest.rsplit_once(':').ok_or(TokenError)?;
        let (database, term) = rest.rsplit_once(':').ok_or(TokenError)?;
        if version != TOKEN_VERSION || database.is_empty() {
            return Err(TokenError);
        }
        let position = Position {
            term: term.parse().map_err(|_| TokenError)?,
            index: index.parse().map_err(|_| TokenError)?,
        };
        Ok(Self(Watermark {
            database: database.into(),
            position,
        }))
    }
}

/// Lowest position that covers every write acknowledged before the samples were taken.
///
/// `samples` are positions of different members of a group of `members`, all taken after the read
/// arrived. A write is acknowledged only when a majority holds it, so at least
/// `majority - (members - samples)` of the sampled members hold it. The highest position that this
/// many sampled members have reached is therefore high enough. Returns `None` when fewer than a
/// majority were sampled.
///
/// ```
/// use hemlockcrank_core::session::{Position, floor};
///
/// let at = |index| Position::new(1, index);
/// assert_eq!(floor(3, &[at(10), at(8), at(5)]), Some(at(8)));
/// assert_eq!(floor(3, &[at(8), at(5)]), Some(at(8)));
/// assert_eq!(floor(3, &[at(10)]), None);
/// ```
pub fn floor(members: usize, samples: &[Position]) -> Option<Position> {
    let majority = members / 2 + 1;
    let unsampled = members.checked_sub(samples.len())?;
    let holders = majority.checked_sub(unsampled).filter(|count| *count > 0)?;
    let mut descending = samples.to_vec();
    descending.sort_unstable_by(|a, b| b.cmp(a));
    descending.get(holders - 1).copied()
}

/// Whether a write of `term` at `index` may be acknowledged.
///
/// `reports` are `(adopted term, last position)` of different members. A majority must have adopted
/// exactly the write's term and hold an entry of that term at or past its index. A superseded
/// primary never gets such a majority, because a majority adopted the newer term before the
/// promotion.
pub fn is_acknowledged(members: usize, write: Position, reports: &[(u64, Position)]) -> bool {
    let holders = reports
        .iter()
        .filter(|(adopted, last)| {
            *adopted == write.term && last.term == write.term && last.index >= write.index
        })
        .count();
    holders > members / 2
}
