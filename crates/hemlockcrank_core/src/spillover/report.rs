//! Changes of a share, for the log.

use strum::Display;

use crate::Name;

/// Why a share changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Reads in the own zone are slow, and nothing recent is known of the other zone.
    Trial,
    /// Leaving the zone gains more than its price.
    Gain,
    /// Leaving the zone gains too little.
    NoGain,
    /// The other zone is much slower than the own one.
    Slow,
    /// The other zone refused a read, or did not answer.
    Failed,
    /// The other zone has no member that takes reads.
    OutOfService,
    /// The answers from the other zone are too old.
    Old,
}

/// A change of a share, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The other zone.
    pub zone: Name,
    /// Its share of the reads, in percent.
    pub share: u32,
    /// Why it changed last.
    pub reason: Reason,
    /// Time of a read in the own zone, in milliseconds, if known.
    pub home_ms: Option<u64>,
    /// Time of a read in the other zone, in milliseconds, if known.
    pub away_ms: Option<u64>,
}
