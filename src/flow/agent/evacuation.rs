//! What an agent does while the failure domain of its worker is evacuated: it withdraws the runs that
//! the worker has not accepted, as on a draining worker, and leaves the others alone.

use crate::flow::Millis;
use crate::flow::agent::Core;

/// Shortest time in which the call for a start must reach the worker; with less left it is not sent.
const MIN_START_MS: Millis = 500;

impl Core {
    pub(super) fn set_evacuated(&mut self, is_evacuated: bool) {
        if self.is_evacuated != is_evacuated {
            log::info!(evacuated = is_evacuated, wanted = self.wanted.len();
                "evacuation of the worker's failure domain has changed");
        }
        self.is_evacuated = is_evacuated;
    }

    /// Returns the time on the worker's clock until which the worker may execute a start that is sent
    /// now; nothing if none may be sent. An agent without contact may have missed an evacuation, so
    /// its starts are valid only for a time after the last poll that the leader has answered.
    pub(super) fn start_expires_ms(&self, now: Millis) -> Option<Millis> {
        let lease_end_ms = self.lease_expires_ms(now)?;
        let valid_until_ms = self.last_grant_ms + self.options.bounds.start_validity_ms();
        let left_ms = valid_until_ms.saturating_sub(now);
        if left_ms < MIN_START_MS {
            return None;
        }
        let valid_until_ms = self.lease_end_on_worker_ms(now, left_ms)?;
        Some(lease_end_ms.min(valid_until_ms))
    }
}
