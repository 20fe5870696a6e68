//! Accepts grants, and applies stops, throttles and withdrawals to them.

use crate::agent::core::Core;
use crate::agent::gang::{Ending, Gang, Stage};
use crate::backend::Verb;
use crate::error;
use crate::ledger;
use crate::map;
use crate::raft::Index;
use crate::sched::JobId;
use crate::sched::event;
use crate::wire::frame;

impl Core {
    pub(super) fn on_grants(&mut self, index: Index, grants: Vec<frame::Grant>) {
        if index < self.last_index {
            // The control member that sent this lags behind; its grants may have ended since.
            return;
        }
        self.last_index = index;
        let mut granted_tokens: map::Map<JobId, Index> = map::Map::default();
        for grant in grants {
            granted_tokens.insert(grant.job, grant.token);
            self.on_grant(grant);
        }
        let withdrawn: Vec<JobId> = self
            .gangs
            .iter()
            .filter(|(job, gang)| {
                gang.grant.token <= index && granted_tokens.get(job) != Some(&gang.grant.token)
            })
            .map(|(job, _gang)| *job)
            .collect();
        for job in withdrawn {
            self.withdraw(job);
        }
    }

    pub(super) fn on_grant(&mut self, grant: frame::Grant) {
        if grant.incarnation != self.options.incarnation {
            return;
        }
        let key = (grant.job, grant.attempt);
        if self.pending_finishes.contains_key(&key) {
            return;
        }
        match self.gangs.get(&grant.job).map(|gang| gang.grant.token) {
            Some(token) if token == grant.token => self.apply_updates(&grant),
            Some(token) if token > grant.token => {}
            Some(_older) => self.replace(grant),
            None => self.accept(grant),
        }
    }

    fn accept(&mut self, grant: frame::Grant) {
        if grant.stop.is_some() || !self.can_accept_work() {
            let cause = grant.stop.map(|stop| stop.cause);
            self.refuse(grant, cause);
            return;
        }
        let job = grant.job;
        self.gangs.insert(job, Gang::new(self.now, grant));
        self.admit_queued();
    }

    /// Reports to the leader that a grant will never run here.
    fn refuse(&mut self, grant: frame::Grant, cause: Option<event::Cause>) {
        let job = grant.job;
        let (end, kind, detail) = match cause {
            Some(_) => (
                event::End::Stopped { ran: false },
                error::Kind::Cancelled,
                "stopped before the gang was started",
            ),
            None => (
                event::End::Lost {
                    worker: None,
                    ran: false,
                },
                error::Kind::NoTarget,
                "the target accepts no new requests",
            ),
        };
        let mut gang = Gang::new(self.now, grant);
        gang.ending = Some(Ending {
            end,
            kind: Some(kind),
            ran: error::Ran::No,
            detail: detail.to_owned(),
            answer: None,
            ended_ms: self.now,
        });
        self.gangs.insert(job, gang);
        self.finish(job);
    }

    /// Starts queued gangs while the target has free slots.
    pub(super) fn admit_queued(&mut self) {
        let Some(target) = &self.target else { return };
        let slots = target.announcement.slots as usize;
        loop {
            let active = self.gangs.values().filter(|gang| gang.is_active()).count();
            // The target may still be working on requests of gangs that have ended.
            let ended = self.dispatched.iter().filter(|(job, attempt)| {
                let gang = self
                    .gangs
                    .get(job)
                    .filter(|gang| gang.grant.attempt == *attempt);
                gang.is_none_or(|gang| !gang.is_active())
            });
            if active + ended.count() >= slots {
                return;
            }
            let queued = self
                .gangs
                .iter()
                .find(|(_job, gang)| gang.stage == Stage::Queued);
            let Some(job) = queued.map(|(job, _gang)| *job) else {
                return;
            };
            self.prepare(job);
        }
    }

    /// Applies a throttle or stop that was added to a grant after it was accepted.
    fn apply_updates(&mut self, grant: &frame::Grant) {
        let Some(gang) = self.gangs.get_mut(&grant.job) else {
            return;
        };
        if gang.ending.is_some() {
            return;
        }
        if grant.throttled && !gang.throttled {
            gang.throttled = true;
            self.send_to_all(grant.job, Verb::Throttle);
        }
        if let Some(stop) = grant.stop {
            self.stop(grant.job, stop);
        }
    }

    /// Stops a gang: throttles and checkpoints it now, and ends it when the grace period is over.
    pub(super) fn stop(&mut self, job: JobId, stop: ledger::Stop) {
        let now = self.now;
        let Some(gang) = self.gangs.get_mut(&job) else {
            return;
        };
        let requested_ms = now + stop.grace_ms;
        let is_first = gang.stop_ms.is_none();
        gang.stop_ms = Some(
            gang.stop_ms
                .map_or(requested_ms, |stop_ms| stop_ms.min(requested_ms)),
        );
        let is_running = gang.stage == Stage::Running;
        if !is_running || stop.grace_ms == 0 {
            self.end_stopped(job);
        } else if is_first {
            self.send_to_all(job, Verb::Throttle);
            self.send_to_all(job, Verb::Checkpoint);
        }
    }

    /// Ends a gang that was asked to stop.
    pub(super) fn end_stopped(&mut self, job: JobId) {
        let Some(gang) = self.gangs.get(&job) else {
            return;
        };
        let ran = gang.ran();
        let end = event::End::Stopped {
            ran: ran != error::Ran::No,
        };
        self.end(
            job,
            end,
            Some(error::Kind::Stopped),
            ran,
            "stopped on request".to_owned(),
        );
    }

    /// Ends a gang whose grant the leader has moved to another agent or ended.
    pub(super) fn withdraw(&mut self, job: JobId) {
        if let Some(gang) = self.gangs.get_mut(&job) {
            gang.is_withdrawn = true;
        }
        let end = event::End::Stopped { ran: true };
        let detail = "the grant was withdrawn".to_owned();
        self.end(
            job,
            end,
            Some(error::Kind::Stopped),
            error::Ran::Unknown,
            detail,
        );
    }

    /// Withdraws a grant and accepts a later one of the same job once the earlier one is released.
    fn replace(&mut self, grant: frame::Grant) {
        let job = grant.job;
        if let Some(gang) = self.gangs.get_mut(&job) {
            gang.next_grant = Some(grant);
        }
        self.withdraw(job);
    }
}
