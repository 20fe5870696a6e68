//! Leases of the gangs: prepare all, start all, renew by worker, release all.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::agent::core::{Core, DRIFT_MS, Effect, GATHER_MS, Order, RENEWALS};
use crate::agent::gang::{self, Gang, Lease, Stage};
use crate::backend::{self, Op, Outcomes, Refusal, Verb, client};
use crate::error;
use crate::sched::JobId;
use crate::sched::event;

impl Core {
    /// Asks every member for a lease; a gang on one worker starts in the same step.
    pub(super) fn prepare(&mut self, job: JobId) {
        let Some(gang) = self.gangs.get_mut(&job) else {
            return;
        };
        let single = gang.members.len() == 1;
        gang.stage = if single {
            Stage::Starting
        } else {
            Stage::Preparing
        };
        gang.touched |= single;
        let verb = if single { Verb::Launch } else { Verb::Prepare };
        self.order(job, verb);
    }

    /// Sends one operation to every member.
    pub(super) fn order(&mut self, job: JobId, verb: Verb) {
        let Some(gang) = self.gangs.get_mut(&job) else {
            return;
        };
        let workers: Vec<event::WorkerKey> = gang.members.keys().copied().collect();
        for worker in workers {
            let op = gang.op(worker, verb);
            gang.sending(worker, verb, self.now);
            let addr = gang.members[&worker].info.addr;
            self.out.push(Effect::Lease(Order {
                worker,
                addr,
                ops: vec![op],
            }));
        }
    }

    pub(super) fn on_leased(
        &mut self,
        worker: event::WorkerKey,
        ops: &[Op],
        result: &backend::Result<Outcomes>,
    ) {
        for (at, op) in ops.iter().enumerate() {
            let current = self
                .gangs
                .get(&op.job)
                .is_some_and(|gang| gang.grant.token == op.token);
            if !current {
                continue;
            }
            let outcome = match result {
                Ok(outcomes) => outcomes.outcomes.get(at).map(|done| done.refusal),
                Err(_unreachable) => None,
            };
            match outcome {
                Some(None) => self.confirmed(worker, op),
                Some(Some(refusal)) => self.refused(worker, op, refusal),
                None => self.unanswered(worker, op),
            }
        }
    }

    fn confirmed(&mut self, worker: event::WorkerKey, op: &Op) {
        let now = self.now;
        let Some(gang) = self.gangs.get_mut(&op.job) else {
            return;
        };
        let Some(member) = gang.members.get_mut(&worker) else {
            return;
        };
        member.busy = false;
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

    /// Moves a gang on when all of its members have confirmed a step.
    fn advance(&mut self, job: JobId) {
        let Some(gang) = self.gangs.get_mut(&job) else {
            return;
        };
        match gang.stage {
            Stage::Preparing if gang.all(Lease::Prepared) => {
                gang.stage = Stage::Starting;
                gang.touched = true;
                self.order(job, Verb::Start);
            }
            Stage::Starting if gang.all(Lease::Started) => self.dispatch(job),
            Stage::Releasing if gang.all(Lease::Released) => self.finish(job),
            _ => {}
        }
    }

    fn dispatch(&mut self, job: JobId) {
        let now = self.now;
        let Some(target) = self.target.as_ref().map(|target| target.news.addr) else {
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
            gang: gang.names(),
            content_type: gang.grant.content_type.clone(),
            body: gang.grant.body.clone(),
            remaining: Duration::from_millis(remaining),
        };
        self.dispatched.insert((job, gang.grant.attempt));
        self.out.push(Effect::Dispatch(dispatch));
    }

    fn refused(&mut self, worker: event::WorkerKey, op: &Op, refusal: Refusal) {
        let Some(gang) = self.gangs.get_mut(&op.job) else {
            return;
        };
        let Some(member) = gang.members.get_mut(&worker) else {
            return;
        };
        member.busy = false;
        // Whatever the reason, the worker holds no lease of this gang any more.
        member.lease = Lease::Released;
        if gang.members.len() == 1 && op.verb == Verb::Launch {
            gang.touched = false;
        }
        let ran = gang.ran();
        let started = ran != error::Ran::No;
        let name = &gang.members[&worker].info.name;
        let detail = format!("worker {name} refused to {:?}: {refusal:?}", op.verb).to_lowercase();
        let worker = Some(worker);
        let end = if gang::is_fault(refusal) {
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

    /// An operation got no answer: its effect is unknown until the lease's term has run out.
    fn unanswered(&mut self, worker: event::WorkerKey, op: &Op) {
        let Some(gang) = self.gangs.get_mut(&op.job) else {
            return;
        };
        let Some(member) = gang.members.get_mut(&worker) else {
            return;
        };
        member.busy = false;
        if matches!(op.verb, Verb::Prepare | Verb::Start | Verb::Launch) {
            self.lose(op.job, worker);
        }
    }

    fn lose(&mut self, job: JobId, worker: event::WorkerKey) {
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

    /// Gives back every lease of a gang.
    pub(super) fn release(&mut self, job: JobId) {
        let Some(gang) = self.gangs.get_mut(&job) else {
            return;
        };
        if gang.stage == Stage::Queued {
            self.finish(job);
            return;
        }
        gang.stage = Stage::Releasing;
        let open: Vec<event::WorkerKey> = gang
            .members
            .iter()
            .filter(|(_worker, member)| member.lease != Lease::Released)
            .map(|(worker, _member)| *worker)
            .collect();
        for worker in open {
            let op = gang.op(worker, Verb::Release);
            gang.sending(worker, Verb::Release, self.now);
            let addr = gang.members[&worker].info.addr;
            self.out.push(Effect::Lease(Order {
                worker,
                addr,
                ops: vec![op],
            }));
        }
        self.advance(job);
    }

    /// Renews everything held, in one message for each worker; repeats releases.
    pub(super) fn renew(&mut self) {
        if self.now < self.renewed_ms + GATHER_MS {
            return;
        }
        self.renewed_ms = self.now;
        let mut messages: BTreeMap<event::WorkerKey, (SocketAddr, Vec<Op>)> = BTreeMap::new();
        for gang in self.gangs.values_mut() {
            let verb = if gang.is_held() {
                Verb::Renew
            } else {
                Verb::Release
            };
            if gang.stage == Stage::Queued {
                continue;
            }
            let interval_ms = gang.lease_ms() / RENEWALS;
            let due = |member: &gang::Member| match verb {
                Verb::Renew => {
                    matches!(member.lease, Lease::Prepared | Lease::Started)
                        && self.now >= member.sent_ms + interval_ms
                }
                _ => member.lease != Lease::Released,
            };
            let workers: Vec<event::WorkerKey> = gang
                .members
                .iter()
                .filter(|(_worker, member)| due(member) && !member.busy)
                .map(|(worker, _member)| *worker)
                .collect();
            for worker in workers {
                let op = gang.op(worker, verb);
                gang.sending(worker, verb, self.now);
                let addr = gang.members[&worker].info.addr;
                let entry = messages.entry(worker).or_insert((addr, Vec::new()));
                entry.1.push(op);
            }
        }
        for (worker, (addr, ops)) in messages {
            self.out.push(Effect::Lease(Order { worker, addr, ops }));
        }
    }

    /// Ends gangs with a member whose lease has run out, and releases that nobody confirms.
    pub(super) fn expire_leases(&mut self) {
        let now = self.now;
        let mut lost = Vec::new();
        let mut released = Vec::new();
        for (job, gang) in &mut self.gangs {
            if gang.is_held() {
                lost.extend(expired(gang, now).map(|worker| (*job, worker)));
            }
            if gang.stage == Stage::Releasing {
                let lease_ms = gang.lease_ms();
                for member in gang.members.values_mut() {
                    // Both clocks may run at different speeds, hence the margin.
                    if now >= member.sent_ms + lease_ms + DRIFT_MS {
                        member.lease = Lease::Released;
                    }
                }
                released.push(*job);
            }
        }
        for (job, worker) in lost {
            self.lose(job, worker);
        }
        for job in released {
            self.advance(job);
        }
    }
}

/// A member whose lease has run out on the worker's side.
fn expired(gang: &Gang, now: u64) -> Option<event::WorkerKey> {
    let lease_ms = gang.lease_ms();
    let over = |confirmed_ms: u64| now >= confirmed_ms + lease_ms;
    let found = gang
        .members
        .iter()
        .find(|(_worker, member)| over(member.confirmed_ms));
    found.map(|(worker, _member)| *worker)
}
