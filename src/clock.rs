//! Clocks of the daemons; the cores take the time as an argument.

use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Milliseconds of wall-clock time since 1970.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Milliseconds on a monotonic clock that starts above zero.
pub fn mono_ms() -> u64 {
    1_000 + u64::try_from(START.elapsed().as_millis()).unwrap_or(u64::MAX / 2)
}

/// A number that differs at each start of a process.
pub fn incarnation() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX)
}
