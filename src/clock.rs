//! Clocks for the daemons. The state machines take the time as an argument instead.

use std::sync::LazyLock;
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

static START: LazyLock<u64> = LazyLock::new(boot_ms);

/// Returns the wall-clock time in milliseconds since 1970.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time in milliseconds on a monotonic clock that starts above zero.
///
/// The clock advances while the machine is suspended, so that leases and grants expire during a
/// suspension as they do on other machines.
pub fn mono_ms() -> u64 {
    1_000 + boot_ms().saturating_sub(*START)
}

/// Returns the milliseconds since the machine booted, including time in suspension.
fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
}
