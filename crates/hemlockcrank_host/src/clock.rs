//! Clocks of this process.

use std::{
    sync::OnceLock,
    time::{SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};

/// Value of the boot clock at the first call of [`now_ms`], in milliseconds.
static START: OnceLock<u64> = OnceLock::new();

/// Milliseconds of the boot clock since the first call. The clock keeps running while the process
/// or its machine is suspended, so a lease that expires in the meantime is detected as expired.
pub fn now_ms() -> u64 {
    let now = boot_ms();
    now.saturating_sub(*START.get_or_init(|| now))
}

/// Milliseconds of the wall clock since the Unix epoch. Used only for timelines and incarnations.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |e| u64::try_from(e.as_millis()).unwrap_or(u64::MAX))
}

fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let millis = u64::try_from(time.tv_nsec / 1_000_000).unwrap_or(0);
    seconds * 1_000 + millis
}
