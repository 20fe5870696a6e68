//! Limits how often a message about input of other writers is logged.

use std::sync::{Mutex, PoisonError};

/// Shortest time between two messages.
const INTERVAL_MS: u64 = 10_000;

/// State of one kind of message.
#[derive(Debug, Default)]
pub struct Notice {
    /// Time of the last message, and how many have been left out since.
    last: Mutex<Option<(u64, u64)>>,
}

impl Notice {
    /// Reports whether a message may be logged now. Returns how many were left out before it, or
    /// nothing if this one is left out as well.
    pub fn admit(&self, now_ms: u64) -> Option<u64> {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut *last {
            Some((at_ms, omitted)) if now_ms.saturating_sub(*at_ms) < INTERVAL_MS => {
                *omitted += 1;
                None
            }
            last => {
                let omitted = last.map_or(0, |(_at_ms, omitted)| omitted);
                *last = Some((now_ms, 0));
                Some(omitted)
            }
        }
    }
}
