//! The faults that a run injects.

use rand_chacha::{ChaCha8Rng, rand_core::Rng};

/// Number of control hosts.
pub(crate) const CONTROLS: usize = 3;
/// Number of entry hosts.
pub(crate) const ENTRIES: usize = 2;
/// Number of members.
pub(crate) const MEMBERS: usize = 3;

/// How a host process is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    /// Killed.
    Kill,
    /// Killed during a write, which leaves a torn record at the end of its journal.
    Torn,
    /// Killed, with the loss of its disk.
    Wipe,
    /// Shut down gracefully (SIGTERM).
    Terminate,
    /// Suspended (SIGSTOP) and resumed later.
    Freeze,
}

/// One fault. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A control host stops and restarts.
    Control {
        host: usize,
        stop: Stop,
        duration_ms: u64,
    },
    /// All control hosts are killed at once and restart.
    AllControls { duration_ms: u64 },
    /// An entry host stops and restarts.
    Entry {
        host: usize,
        stop: Stop,
        duration_ms: u64,
    },
    /// The primary crashes and recovers with its log.
    Crash { duration_ms: u64 },
    /// A member runs the next `count` statements but its answers are lost.
    LoseAnswers { member: usize, count: u32 },
    /// A network partition between a member and one entry host, or all hosts.
    Partition {
        entry: Option<usize>,
        member: usize,
        duration_ms: u64,
    },
    /// All open connections to a member stall permanently; new connections work.
    Stall { member: usize },
    /// All open connections to a member are reset.
    Reset { member: usize },
    /// The callers' key is withdrawn and replaced by a new one.
    Withdraw,
}

impl Fault {
    /// Draws a random fault.
    pub(crate) fn draw(random: &mut ChaCha8Rng) -> Self {
        let mut below = |count: usize| (random.next_u64() % count as u64) as usize;
        let duration_ms = 200 + below(3_300) as u64;
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
                duration_ms,
            },
            2 => Self::AllControls {
                duration_ms: duration_ms / 4,
            },
            3 => Self::Entry {
                host: below(ENTRIES),
                stop: [Stop::Kill, Stop::Terminate, Stop::Freeze][below(3)],
                duration_ms,
            },
            4 | 5 => Self::Crash { duration_ms },
            6 => Self::LoseAnswers {
                member,
                count: 1 + below(5) as u32,
            },
            7 | 8 => Self::Partition {
                entry: [None, Some(0), Some(1)][below(3)],
                member,
                duration_ms,
            },
            9 => Self::Stall { member },
            10 => Self::Reset { member },
            _ => Self::Withdraw,
        }
    }
}

/// What happens to a control leader that is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sender {
    /// It runs.
    CutOff,
    /// It stands still.
    Frozen,
    /// It is killed, which closes its connections without a reset.
    Killed,
}

/// Why the primary changes when the leader is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// It crashes.
    Crash,
    /// Its zone is evacuated.
    Evacuation,
}

/// A cut of the control leader while the primary changes. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Cut {
    pub(crate) cause: Cause,
    /// Time from the cause to the start of the cut; `None` if the cut starts with the leader's call to
    /// the platform, which it holds.
    pub(crate) delay_ms: Option<u64>,
    /// Whether new connections are not opened, or else opened and their bytes held.
    pub(crate) closes: bool,
    pub(crate) sender: Sender,
    pub(crate) duration_ms: u64,
    /// Time from the start of the cut until the new primary crashes too.
    pub(crate) second_crash_ms: u64,
    /// Whether that member receives nothing around the end of the cut.
    pub(crate) lags: bool,
    /// Whether a leader that stands still goes on before the held bytes arrive, or else afterwards.
    pub(crate) resumes_first: bool,
}

impl Cut {
    /// Draws a random cut.
    pub(crate) fn draw(random: &mut ChaCha8Rng) -> Self {
        let mut below = |count: u64| random.next_u64() % count;
        Self {
            cause: [Cause::Crash, Cause::Crash, Cause::Evacuation][below(3) as usize],
            delay_ms: [None, None, Some(below(1_500))][below(3) as usize],
            closes: below(2) == 0,
            sender: [
                Sender::CutOff,
                Sender::CutOff,
                Sender::Frozen,
                Sender::Killed,
            ][below(4) as usize],
            duration_ms: 8_000 + below(8_000),
            second_crash_ms: 3_500 + below(3_000),
            lags: below(2) == 0,
            resumes_first: below(2) == 0,
        }
    }
}
