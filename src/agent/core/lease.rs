//! Leases of the gangs: prepared on all members, started on all, renewed for each worker in one
//! message, and released on all.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::agent::core::{
    Batch, CLOCK_DRIFT_MS, Core, Effect, RENEWAL_CHECK_MS, RENEWALS_PER_TERM,
};
use crate::agent::gang::{self, Gang, Lease, Stage};
use crate::backend::{self, Op, Outcomes, Refusal, Verb, client};
use crate::error;
use crate::sched::JobId;
use crate::sched::event;

impl Core {
    /// Requests a lease from every member; a gang on a single worker starts in the same step.
    pub(super) fn prepare(&mut self, job: JobId) {
        let Some(gang) = self.gangs.get_mut(&job) else {
            return;
        };
        let is_single = gang.members.len() == 1;
        gang.stage = if is_single {
            Stage::Starting
        } else {
            Stage::Preparing
        };
        gang.may_have_started |= is_single;
        let verb = if is_single {
            Verb::Launch
        } else {
            Verb::Prepare
        };
        self.send_to_all(job, verb);
    }

    /// Sends an operation to every member.
    pub(super) fn send_to_all(&mut self, job: JobId, verb: Verb) {
        let Some(gang) = self.gangs.get_mut(&job) else {
            return;
        };
        let workers: Vec<event::WorkerKey> = gang.members.keys().copied().collect();
        for worker in workers {
            let op = gang.op(worker, verb);
            gang.mark_sent(worker, verb, self.now);
            let addr = gang.members[&worker].info.addr;
            self.effects.push(Effect::Lease(Batch {
                worker,
                addr,
                ops: vec![op],
            }));
        }
    }

    pub(super) fn on_lease_result(
        &mut self,
        worker: event::WorkerKey,
        ops: &[Op],
        result: &backend::Result<Outcomes>,
    ) {
        for (index, op) in ops.iter().enumerate() {
            let is_current = self
                .gangs
                .get(&op.job)
                .is_some_and(|gang| gang.grant.token == op.token);
            if !is_current {
                continue;
            }
            let outcome = match result {
                Ok(outcomes) => outcomes.outcomes.get(index).map(|outcome| outcome.refusal),
                Err(_unreachable) => None,
            };
            match outcome {
                Some(None) => self.on_confirmed(worker, op),
                Some(Some(refusal)) => self.on_refused(worker, op, refusal),
                None => self.on_unanswered(worker, op),
            }
        }
    }

    fn on_confirmed(&mut self, worker: event::WorkerKey, op: &Op) {
        let now = self.now;
        let Some(gang) = self.gangs.get_mut(&op.job) else {
            return;
        };
        let Some(member) = gang.members.get_mut(&worker) else {
            return;
        };
        member.in_flight = false;
        match op.verb {
            Verb::Release => member.lease = Lease::Released,
            Verb::Prepare => {
                member.confirmed_ms = now;
                member.lease = Lease::Prepared;
            }
            Verb::Start | Verb::Launch => {
                member.confirmed_ms = now;
                member.lease = Lease::Started;
            }
            Verb::Renew => member.confirmed_ms = now,
            Verb::Throttle | Verb::Checkpoint => {}
        }
        self.advance(op.job);
    }

    /// Moves a gang to its next stage once all members have confirmed the current one.
    fn advance(&mut self, job: JobId) {
        let Some(gang) = self.gangs.get_mut(&job) else {
            return;
        };
        match gang.stage {
            Stage::Preparing if gang.has_all(Lease::Prepared) => {
                gang.stage = Stage::Starting;
                gang.may_have_started = true;
                self.send_to_all(job, Verb::Start);
            }
            Stage::Starting if gang.has_all(Lease::Started) => self.dispatch(job),
            Stage::Releasing if gang.has_all(Lease::Released) => self.finish(job),
            _ => {}
        }
    }

    fn dispatch(&mut self, job: JobId) {
        let now = self.now;
        let Some(target) = self.target.as_ref().map(|target| target.announcement.addr) else {
            return;
        };
        let Some(gang) = self.gangs.get_mut(&job) else {
            return;
        };
        gang.stage = Stage::Running;
        gang.started_ms = now;
        gang.dispatched = true;
        let remaining = gang.deadline_ms.saturating_sub(now).max(1);
        let dispatch = client::Dispatch {
            target,
            service: gang.grant.service.clone(),
            account: gang.grant.account.clone(),
            job,
            attempt: gang.grant.attempt,
            gang: gang.worker_names(),
            content_type: gang.grant.content_type.clone(),
            body: gang.grant.body.clone(),
            remaining: Duration::from_millis(remaining),
        };
        self.dispatched.insert((job, gang.grant.attempt));
        self.effects.push(Effect::Dispatch(dispatch));
    }

    fn on_refused(&mut self, worker: event::WorkerKey, op: &Op, refusal: Refusal) {
        let Some(gang) = self.gangs.get_mut(&op.job) else {
            return;
        };
        let Some(member) = gang.members.get_mut(&worker) else {
            return;
        };
        member.in_flight = false;
        // Whatever the reason, the worker no longer holds a lease of this gang.
        member.lease = Lease::Released;
        if gang.members.len() == 1 && op.verb == Verb::Launch {
            gang.may_have_started = false;
        }
        let ran = gang.ran();
        let started = ran != error::Ran::No;
        let name = &gang.members[&worker].info.name;
        let detail = format!("worker {name} refused to {:?}: {refusal:?}", op.verb).to_lowercase();
        let worker = Some(worker);
        let end = if gang::is_worker_fault(refusal) {
            event::End::Failed {
                worker,
                ran: started,
            }
        } else {
            event::End::Lost {
                worker,
                ran: started,
            }
        };
        self.end(op.job, end, Some(error::Kind::GangFailed), ran, detail);
        self.advance(op.job);
    }

    /// Handles an operation without a reply: its effect is unknown until the lease has expired.
    fn on_unanswered(&mut self, worker: event::WorkerKey, op: &Op) {
        let Some(gang) = self.gangs.get_mut(&op.job) else {
            return;
        };
        let Some(member) = gang.members.get_mut(&worker) else {
            return;
        };
        member.in_flight = false;
        if matches!(op.verb, Verb::Prepare | Verb::Start | Verb::Launch) {
            self.end_lost(op.job, worker);
        }
    }

    /// Ends a gang because one of its workers does not answer.
    fn end_lost(&mut self, job: JobId, worker: event::WorkerKey) {
        let Some(gang) = self.gangs.get(&job) else {
            return;
        };
        let ran = gang.ran();
        let name = gang
            .members
            .get(&worker)
            .map(|member| member.info.name.clone());
        let detail = format!("worker {} does not answer", name.unwrap_or_default());
        let end = event::End::Lost {
            worker: Some(worker),
            ran: ran != error::Ran::No,
        };
        self.end(job, end, Some(error::Kind::GangFailed), ran, detail);
    }

    /// Releases every lease of a gang.
    pub(super) fn release(&mut self, job: JobId) {
        let Some(gang) = self.gangs.get_mut(&job) else {
            return;
        };
        if gang.stage == Stage::Queued {
            self.finish(job);
            return;
        }
        gang.stage = Stage::Releasing;
        let unreleased: Vec<event::WorkerKey> = gang
            .members
            .iter()
            .filter(|(_worker, member)| member.lease != Lease::Released)
            .map(|(worker, _member)| *worker)
            .collect();
        for worker in unreleased {
            let op = gang.op(worker, Verb::Release);
            gang.mark_sent(worker, Verb::Release, self.now);
            let addr = gang.members[&worker].info.addr;
            self.effects.push(Effect::Lease(Batch {
                worker,
                addr,
                ops: vec![op],
            }));
        }
        self.advance(job);
    }

    /// Renews the leases that are due, with one message for each worker, and repeats unconfirmed
    /// releases.
    pub(super) fn renew(&mut self) {
        if self.now < self.renewed_ms + RENEWAL_CHECK_MS {
            return;
        }
        self.renewed_ms = self.now;
        let mut messages: BTreeMap<event::WorkerKey, (SocketAddr, Vec<Op>)> = BTreeMap::new();
        for gang in self.gangs.values_mut() {
            let verb = if gang.has_live_leases() {
                Verb::Renew
            } else {
                Verb::Release
            };
            if gang.stage == Stage::Queued {
                continue;
            }
            let interval_ms = gang.lease_ms() / RENEWALS_PER_TERM;
            let is_due = |member: &gang::Member| match verb {
                Verb::Renew => {
                    matches!(member.lease, Lease::Prepared | Lease::Started)
                        && self.now >= member.sent_ms + interval_ms
                }
                _ => member.lease != Lease::Released,
            };
            let workers: Vec<event::WorkerKey> = gang
                .members
                .iter()
                .filter(|(_worker, member)| is_due(member) && !member.in_flight)
                .map(|(worker, _member)| *worker)
                .collect();
            for worker in workers {
                let op = gang.op(worker, verb);
                gang.mark_sent(worker, verb, self.now);
                let addr = gang.members[&worker].info.addr;
                let entry = messages.entry(worker).or_insert((addr, Vec::new()));
                entry.1.push(op);
            }
        }
        for (worker, (addr, ops)) in messages {
            self.effects
                .push(Effect::Lease(Batch { worker, addr, ops }));
        }
    }

    /// Ends gangs with a member whose lease has expired, and counts unconfirmed leases as released
    /// once their term is over.
    pub(super) fn expire_leases(&mut self) {
        let now = self.now;
        let mut lost = Vec::new();
        let mut released = Vec::new();
        for (job, gang) in &mut self.gangs {
            if gang.has_live_leases() {
                lost.extend(find_expired(gang, now).map(|worker| (*job, worker)));
            }
            if gang.stage == Stage::Releasing {
                let lease_ms = gang.lease_ms();
                for member in gang.members.values_mut() {
                    // The margin covers clocks that run at different speeds.
                    if now >= member.sent_ms + lease_ms + CLOCK_DRIFT_MS {
                        member.lease = Lease::Released;
                    }
                }
                released.push(*job);
            }
        }
        for (job, worker) in lost {
            self.end_lost(job, worker);
        }
        for job in released {
            self.advance(job);
        }
    }
}

/// Returns a member whose lease has expired on its worker, if there is one.
fn find_expired(gang: &Gang, now: u64) -> Option<event::WorkerKey> {
    let lease_ms = gang.lease_ms();
    let is_over = |confirmed_ms: u64| now >= confirmed_ms + lease_ms;
    let found = gang
        .members
        .iter()
        .find(|(_worker, member)| is_over(member.confirmed_ms));
    found.map(|(worker, _member)| *worker)
}
