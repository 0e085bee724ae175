//! What can go wrong in a run.

use rand_chacha::{ChaCha8Rng, rand_core::Rng};

/// Number of control hosts.
pub(crate) const CONTROLS: usize = 3;
/// Number of entry hosts.
pub(crate) const ENTRIES: usize = 2;
/// Number of members.
pub(crate) const MEMBERS: usize = 3;

/// How a process stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    /// It is killed.
    Kill,
    /// It is killed while it writes: a torn record follows in its journal.
    Torn,
    /// It is killed and its disk is lost.
    Wipe,
    /// It is asked to stop.
    Terminate,
    /// It stands still.
    Freeze,
}

/// One fault; durations in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A control host stops and comes back.
    Control {
        host: usize,
        stop: Stop,
        for_ms: u64,
    },
    /// All control hosts are killed at once and come back.
    AllControls { for_ms: u64 },
    /// An entry host stops and comes back.
    Entry {
        host: usize,
        stop: Stop,
        for_ms: u64,
    },
    /// The primary crashes and comes back with its log.
    Crash { for_ms: u64 },
    /// A member loses the answers of some statements that have run.
    LoseAnswers { member: usize, count: u32 },
    /// One entry host, or all hosts, and a member do not hear each other.
    Cut {
        entry: Option<usize>,
        member: usize,
        for_ms: u64,
    },
    /// All connections to a member go silent for good; new ones work.
    Silence { member: usize },
    /// All connections to a member are reset.
    Reset { member: usize },
    /// A key is withdrawn, another one given.
    Withdraw,
}

impl Fault {
    /// Draws one.
    pub(crate) fn draw(random: &mut ChaCha8Rng) -> Self {
        let mut below = |count: usize| (random.next_u64() % count as u64) as usize;
        let for_ms = 200 + below(3_300) as u64;
        let stops = [
            Stop::Kill,
            Stop::Torn,
            Stop::Wipe,
            Stop::Terminate,
            Stop::Freeze,
        ];
        let member = below(MEMBERS);
        match below(12) {
            0 | 1 => Self::Control {
                host: below(CONTROLS),
                stop: stops[below(5)],
                for_ms,
            },
            2 => Self::AllControls { for_ms: for_ms / 4 },
            3 => Self::Entry {
                host: below(ENTRIES),
                stop: [Stop::Kill, Stop::Terminate, Stop::Freeze][below(3)],
                for_ms,
            },
            4 | 5 => Self::Crash { for_ms },
            6 => Self::LoseAnswers {
                member,
                count: 1 + below(5) as u32,
            },
            7 | 8 => Self::Cut {
                entry: [None, Some(0), Some(1)][below(3)],
                member,
                for_ms,
            },
            9 => Self::Silence { member },
            10 => Self::Reset { member },
            _ => Self::Withdraw,
        }
    }
}
