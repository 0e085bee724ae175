//! Time of this process.

use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

static START: OnceLock<Instant> = OnceLock::new();

/// Milliseconds of the monotonic clock since the process first asked. Goes on while the process is
/// stopped, so a lease that ran out meanwhile is seen to have run out.
pub fn now_ms() -> u64 {
    let start = START.get_or_init(Instant::now);
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// Milliseconds of the wall clock since the Unix epoch; only for time lines and incarnations.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |e| u64::try_from(e.as_millis()).unwrap_or(u64::MAX))
}
