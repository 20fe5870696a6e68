//! The agent's view of the leases on its worker, and of the leader's grant to extend them.

use crate::flow::Millis;
use crate::flow::agent::Core;

/// Time between two checks of the clock above which the machine must have been suspended. Threads
/// check the clock several times a second.
const SUSPEND_GAP_MS: Millis = 1_500;

/// Maximum drift of the worker's clock, which is 2 %, plus a margin of half as much.
const LEASE_DRIFT_PERCENT: Millis = 3;

/// Margin added to the end of a lease before the lease counts as expired. It covers the error of the
/// agent's estimate of the worker's clock.
const LEASE_MARGIN_MS: Millis = 200;

impl Core {
    /// Checks the clock for a suspension of the machine. The time of a suspension counts for the
    /// grant, as the leader may have declared the worker lost, but not for leases, as the worker's
    /// clock was suspended as well.
    pub(super) fn check_clock(&mut self, now: Millis) {
        let gap_ms = now.saturating_sub(self.last_check_ms);
        if self.last_check_ms > 0 && gap_ms > SUSPEND_GAP_MS {
            log::warn!("machine was suspended for {gap_ms} ms");
            self.lease_end_ms += gap_ms;
            self.last_response_ms += gap_ms;
            if let Some((_clock_ms, read_ms)) = &mut self.worker_clock {
                *read_ms += gap_ms;
            }
        }
        self.last_check_ms = self.last_check_ms.max(now);
    }

    /// Reports whether the leader may have declared the worker lost and started its runs elsewhere.
    pub(super) fn may_be_declared_lost(&self, now: Millis) -> bool {
        let term_ms = self.options.grant_ms + self.options.bounds.lease_ms();
        self.last_grant_ms > 0 && now > self.last_grant_ms + term_ms
    }

    /// Reports whether the last contact with the leader allows leases to be extended and runs to be
    /// started.
    pub(super) fn has_grant(&self, now: Millis) -> bool {
        self.last_grant_ms > 0 && now < self.last_grant_ms + self.options.grant_ms
    }

    /// Stores a reading of the worker's clock if it is ahead of the estimate, or if the stored
    /// reading is old.
    pub(super) fn set_worker_clock(&mut self, now: Millis, clock_ms: Millis) {
        let estimate = |(clock_ms, read_ms): (Millis, Millis)| {
            clock_ms.saturating_add(now.saturating_sub(read_ms))
        };
        if self
            .worker_clock
            .is_none_or(|clock| clock_ms > estimate(clock))
            || self.worker_clock.is_some_and(|clock| now > clock.1 + 1_000)
        {
            self.worker_clock = Some((clock_ms, now));
        }
    }

    /// Returns the term of a lease that starts now. It is short on a draining worker, whose runs can
    /// start elsewhere only after their leases have expired.
    fn lease_ms(&self) -> Millis {
        if self.is_draining() {
            self.options.bounds.drain_lease_ms()
        } else {
            self.options.bounds.lease_ms()
        }
    }

    /// Returns the longest time that the worker may hold a list call, which also extends the lease.
    pub(super) fn max_list_wait_ms(&self) -> Millis {
        self.options.bounds.list_wait_ms(self.lease_ms())
    }

    /// Returns the end of a lease that starts now, on the worker's clock; nothing if the lease may not
    /// be extended. That of a worker which does not answer must expire, as it may be lost for good.
    pub(super) fn lease_expires_ms(&self, now: Millis) -> Option<Millis> {
        // What a worker holds for an earlier incarnation must lapse, so it gets no lease before it is settled.
        let may_extend = self.key.is_some()
            && self.settled == self.key
            && self.has_grant(now)
            && self.is_responsive(now)
            && !self.is_fenced
            && !self.is_leaving
            && !self.is_superseded;
        self.lease_end_on_worker_ms(now, self.lease_ms())
            .filter(|_end_ms| may_extend)
    }

    /// Returns the end of a lease of the given term, on the worker's clock.
    pub(super) fn lease_end_on_worker_ms(&self, now: Millis, lease_ms: Millis) -> Option<Millis> {
        let (clock_ms, read_ms) = self.worker_clock?;
        let now_ms = clock_ms.saturating_add(now.saturating_sub(read_ms));
        Some(now_ms.saturating_add(lease_ms))
    }

    /// Sets whether the leader has fenced the worker. The lease of a fenced worker is not extended,
    /// and the leader ignores its results until the lease has expired. Otherwise it could record the
    /// end of an old run as well as that of the run that was started elsewhere.
    pub(super) fn set_fenced(&mut self, now: Millis, is_fenced: bool) {
        if !is_fenced {
            self.fence_end_ms = None;
            self.fence_expired = false;
        } else if !self.is_fenced {
            log::info!("worker was declared lost before, waiting for its leases to expire");
        }
        self.is_fenced = is_fenced;
        if is_fenced && self.fence_end_ms.is_none() {
            self.fence_end_ms = self
                .lease_end_on_worker_ms(now, self.options.bounds.lease_ms())
                .map(|end_ms| end_ms.saturating_add(LEASE_MARGIN_MS));
        }
    }

    /// Records that a call which may extend a lease is sent to the worker now.
    pub(super) fn record_lease(&mut self, now: Millis) {
        self.record_lease_of(now, self.lease_ms());
    }

    /// Records that the worker may have been given the longest lease that it accepts.
    pub(super) fn record_longest_lease(&mut self, now: Millis) {
        self.record_lease_of(now, self.options.bounds.max_lease_ms);
    }

    fn record_lease_of(&mut self, now: Millis, lease_ms: Millis) {
        let drift_ms = lease_ms * LEASE_DRIFT_PERCENT / 100;
        let end_ms = now + lease_ms + drift_ms + LEASE_MARGIN_MS;
        self.lease_end_ms = self.lease_end_ms.max(end_ms);
    }
}
