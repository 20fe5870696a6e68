//! Leases on the worker and the grant to extend them: what may still run, by which clock.

use crate::flow::Millis;
use crate::flow::agent::Core;

/// Time between two looks at the clock from which on the machine is taken to have been suspended;
/// threads look several times a second.
const SUSPEND_GAP_MS: Millis = 1_500;

/// Drift of the worker's clock, with a reserve of half as much.
const LEASE_DRIFT_PERCENT: Millis = 3;

/// Added to the lease on the worker's clock before it counts as lapsed: the error of the agent's idea
/// of that clock.
const FENCE_MARGIN_MS: Millis = 200;

impl Core {
    /// Looks at the clock. Time in which the machine was suspended counts for the leader, which may
    /// have given the worker up, but not for leases, as the worker's clock stood still with it.
    pub(super) fn check_clock(&mut self, now: Millis) {
        let gap_ms = now.saturating_sub(self.last_check_ms);
        if self.last_check_ms > 0 && gap_ms > SUSPEND_GAP_MS {
            log::warn!("the machine stood still for {gap_ms} ms");
            self.lease_end_ms += gap_ms;
            self.last_response_ms += gap_ms;
            if let Some((_clock_ms, read_ms)) = &mut self.worker_clock {
                *read_ms += gap_ms;
            }
        }
        self.last_check_ms = self.last_check_ms.max(now);
    }

    /// Whether the leader may have given the worker up and started its runs elsewhere.
    pub(super) fn may_be_declared_lost(&self, now: Millis) -> bool {
        let lasts_ms = self.options.grant_ms + self.options.lease_ms;
        self.last_grant_ms > 0 && now > self.last_grant_ms + lasts_ms
    }

    /// Whether the leader has been heard of lately enough to extend leases and start work.
    pub(super) fn has_grant(&self, now: Millis) -> bool {
        self.last_grant_ms > 0 && now < self.last_grant_ms + self.options.grant_ms
    }

    pub(super) fn set_worker_clock(&mut self, now: Millis, clock_ms: Millis) {
        let passed = |(at, read): (Millis, Millis)| at + now.saturating_sub(read);
        if self
            .worker_clock
            .is_none_or(|clock| clock_ms > passed(clock))
            || self.worker_clock.is_some_and(|clock| now > clock.1 + 1_000)
        {
            self.worker_clock = Some((clock_ms, now));
        }
    }

    /// End of a lease that begins now, on the worker's clock.
    pub(super) fn lease_expires_ms(&self, now: Millis) -> Option<Millis> {
        let is_held = self.has_grant(now) && !self.is_fenced;
        self.max_lease_end_ms(now).filter(|_end_ms| is_held)
    }

    /// End of the longest lease that can have begun until now, on the worker's clock.
    pub(super) fn max_lease_end_ms(&self, now: Millis) -> Option<Millis> {
        let (clock_ms, read_ms) = self.worker_clock?;
        Some(clock_ms + now.saturating_sub(read_ms) + self.options.lease_ms)
    }

    /// Takes word of whether what the worker holds is void. Its lease is extended no more then, and
    /// what it did counts only once that has lapsed: an end noted before could stand beside the
    /// run that was started elsewhere.
    pub(super) fn set_fenced(&mut self, now: Millis, is_void: bool) {
        if !is_void {
            self.fence_end_ms = None;
            self.fence_expired = false;
        } else if !self.is_fenced {
            log::info!("the worker had been given up; its lease is to lapse");
        }
        self.is_fenced = is_void;
        if is_void && self.fence_end_ms.is_none() {
            self.fence_end_ms = self
                .max_lease_end_ms(now)
                .map(|end_ms| end_ms + FENCE_MARGIN_MS);
        }
    }

    pub(super) fn record_lease(&mut self, now: Millis) {
        let lease_ms = self.options.lease_ms;
        let end_ms = now + lease_ms + lease_ms * LEASE_DRIFT_PERCENT / 100;
        self.lease_end_ms = self.lease_end_ms.max(end_ms);
    }
}
