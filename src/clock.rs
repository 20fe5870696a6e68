//! Clocks of the daemons; the cores take the time as an argument.

use std::sync::LazyLock;
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

static START: LazyLock<u64> = LazyLock::new(boot_ms);

/// Milliseconds of wall-clock time since 1970.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Milliseconds on a monotonic clock that starts above zero. It goes on while the machine is
/// suspended, so leases and grants run out then as they do elsewhere.
pub fn mono_ms() -> u64 {
    1_000 + boot_ms().saturating_sub(*START)
}

/// Milliseconds since the machine was started, time in suspension included.
fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
}

/// A number that differs at each start of a process.
pub fn incarnation() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX)
}
