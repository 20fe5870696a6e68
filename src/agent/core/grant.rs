//! Taking grants and the orders that follow them.

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
        if index < self.seen {
            // A member that is behind; it would bring back grants that have ended.
            return;
        }
        self.seen = index;
        let mut named: map::Map<JobId, Index> = map::Map::default();
        for grant in grants {
            named.insert(grant.job, grant.token);
            self.on_grant(grant);
        }
        let withdrawn: Vec<JobId> = self
            .gangs
            .iter()
            .filter(|(job, gang)| {
                gang.grant.token <= index && named.get(job) != Some(&gang.grant.token)
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
        if self.finished.contains_key(&key) {
            return;
        }
        match self.gangs.get(&grant.job).map(|gang| gang.grant.token) {
            Some(token) if token == grant.token => self.follow_orders(&grant),
            Some(token) if token > grant.token => {}
            Some(_older) => self.replace(grant),
            None => self.accept(grant),
        }
    }

    fn accept(&mut self, grant: frame::Grant) {
        if grant.stop.is_some() || !self.accepts_work() {
            let cause = grant.stop.map(|stop| stop.cause);
            self.refuse(grant, cause);
            return;
        }
        let job = grant.job;
        self.gangs.insert(job, Gang::new(self.now, grant));
        self.admit_queued();
    }

    /// Confirms that a grant will never run here.
    fn refuse(&mut self, grant: frame::Grant, cause: Option<event::Cause>) {
        let job = grant.job;
        let (end, kind, detail) = match cause {
            Some(_) => (
                event::End::Stopped { ran: false },
                error::Kind::Cancelled,
                "not started",
            ),
            None => (
                event::End::Lost {
                    worker: None,
                    ran: false,
                },
                error::Kind::NoTarget,
                "the target takes no new work",
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
        let slots = target.news.slots as usize;
        loop {
            let active = self.gangs.values().filter(|gang| gang.is_active()).count();
            // Requests of gangs that have ended may still be with the target.
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

    /// Takes over orders that came after the grant.
    fn follow_orders(&mut self, grant: &frame::Grant) {
        let Some(gang) = self.gangs.get_mut(&grant.job) else {
            return;
        };
        if gang.ending.is_some() {
            return;
        }
        if grant.throttled && !gang.throttled {
            gang.throttled = true;
            self.order(grant.job, Verb::Throttle);
        }
        if let Some(stop) = grant.stop {
            self.stop(grant.job, stop);
        }
    }

    /// Throttles and checkpoints at once, stops at the end of the grace.
    pub(super) fn stop(&mut self, job: JobId, stop: ledger::Stop) {
        let now = self.now;
        let Some(gang) = self.gangs.get_mut(&job) else {
            return;
        };
        let wanted = now + stop.grace_ms;
        let first = gang.stop_ms.is_none();
        gang.stop_ms = Some(gang.stop_ms.map_or(wanted, |due| due.min(wanted)));
        let running = gang.stage == Stage::Running;
        if !running || stop.grace_ms == 0 {
            self.end_stopped(job);
        } else if first {
            self.order(job, Verb::Throttle);
            self.order(job, Verb::Checkpoint);
        }
    }

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

    /// Ends a gang that the leader has given to somebody else or ended.
    pub(super) fn withdraw(&mut self, job: JobId) {
        if let Some(gang) = self.gangs.get_mut(&job) {
            gang.silent = true;
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

    /// Takes a later grant of the same job as soon as the earlier one is released.
    fn replace(&mut self, grant: frame::Grant) {
        let job = grant.job;
        if let Some(gang) = self.gangs.get_mut(&job) {
            gang.next = Some(grant);
        }
        self.withdraw(job);
    }
}
