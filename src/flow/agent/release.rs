//! Calls that have waited in a queue, as behind calls to a worker that does not answer. Each is checked
//! again just before it is sent, since the leader may have decided otherwise meanwhile.

use crate::flow::agent::{Core, Effect, Start, Stop};
use crate::flow::{Millis, Run};

impl Core {
    /// Returns a queued call as it is to be sent now, with the current token and lease; `None` if it is not
    /// needed any more. What is due in place of it is among the next `due_effects` then.
    pub fn release(&mut self, now: Millis, effect: Effect) -> Option<Effect> {
        self.check_clock(now);
        match effect {
            Effect::Start(start) => {
                let start = self.release_start(now, *start)?;
                Some(Effect::Start(Box::new(start)))
            }
            Effect::Stop(stop) => self.release_stop(stop).map(Effect::Stop),
        }
    }

    fn release_start(&mut self, now: Millis, start: Start) -> Option<Start> {
        // Another incarnation may answer by now under the name of the one that was meant.
        if !self.is_current_epoch(start.epoch) {
            return None;
        }
        let run = start.run;
        let is_needed = !self.is_given_up(run) && !self.is_listed(run) && !self.accepts_no_starts();
        let expires_ms = self.start_expires_ms(now).filter(|_expires_ms| is_needed);
        let order = self.orders.get_mut(&run);
        let is_waiting = order.as_ref().is_some_and(|order| order.in_flight);
        let Some(expires_ms) = expires_ms.filter(|_expires_ms| is_waiting) else {
            if let Some(order) = order {
                order.in_flight = false;
            }
            log::info!(job:% = format_args!("{:016x}", run.task.job), run = run.number, wanted = is_waiting,
                needed = is_needed, leased = expires_ms.is_some(); "queued start withheld");
            return None;
        };
        self.record_lease(now);
        Some(Start {
            expires_ms,
            token: self.call_token(),
            ..start
        })
    }

    fn release_stop(&mut self, stop: Stop) -> Option<Stop> {
        if !self.is_current_epoch(stop.epoch) {
            return None;
        }
        let token = self.call_token();
        if stop.worker.is_empty() {
            // A worker that has been named since may be meant to run it.
            return self
                .incarnation()
                .is_none()
                .then_some(Stop { token, ..stop });
        }
        let has_ended = self.has_ended(stop.run);
        let removal = self.removals.get_mut(&stop.run)?;
        removal.in_flight &= !has_ended;
        removal.in_flight.then_some(Stop { token, ..stop })
    }

    /// Reports whether a run is to be stopped, or is known to be absent.
    pub(super) fn is_given_up(&self, run: Run) -> bool {
        self.removals.contains_key(&run) || self.absent.contains(&run)
    }

    /// Reports whether the worker lists a run as active or ended.
    pub(super) fn is_listed(&self, run: Run) -> bool {
        let mut active = self.listing.iter().flat_map(|listing| &listing.active);
        active.any(|active| active.run == run) || self.has_ended(run)
    }

    /// Reports whether the worker lists the end of a run.
    pub(super) fn has_ended(&self, run: Run) -> bool {
        let mut ended = self.listing.iter().flat_map(|listing| &listing.ended);
        ended.any(|ended| ended.run == run)
    }

    /// Reports whether nothing may be started on the worker.
    pub(super) fn accepts_no_starts(&self) -> bool {
        self.is_draining() || self.is_evacuated
    }
}
