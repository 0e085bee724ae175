//! Memory and open descriptors of a process, as the kernel reports them.

use std::time::Duration;

use tokio::time::sleep;

use crate::process::Process;

/// Bound on the largest resident memory of a host, in kilobytes. A small entry host has 160 MB.
pub(crate) const MEMORY_BOUND_KB: u64 = 120_000;
/// Interval between two looks at the memory.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of looks without a change after which the memory is steady.
const STEADY_LOOKS: u32 = 10;
/// Largest number of looks.
const MAX_LOOKS: u32 = 300;

/// What a process uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Usage {
    /// Largest resident memory so far, in kilobytes.
    pub(crate) peak_kb: u64,
    /// Open descriptors.
    pub(crate) descriptors: usize,
}

impl Usage {
    /// Reads the usage of a process; `None` if it has ended.
    fn read(process: &Process) -> Option<Self> {
        let folder = format!("/proc/{}", process.id());
        let status = std::fs::read_to_string(format!("{folder}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        let peak_kb = line.split_whitespace().nth(1)?.parse().ok()?;
        let descriptors = std::fs::read_dir(format!("{folder}/fd")).ok()?.count();
        Some(Self {
            peak_kb,
            descriptors,
        })
    }

    /// Waits until the process has taken in what it was sent, and reads its usage.
    pub(crate) async fn settled(process: &Process) -> Self {
        let mut last = Self::read(process).expect("the process lives");
        let mut steady = 0;
        for _ in 0..MAX_LOOKS {
            sleep(LOOK_INTERVAL).await;
            let usage = Self::read(process).expect("the process lives");
            steady = if usage.peak_kb == last.peak_kb {
                steady + 1
            } else {
                0
            };
            last = usage;
            if steady == STEADY_LOOKS {
                break;
            }
        }
        last
    }
}
