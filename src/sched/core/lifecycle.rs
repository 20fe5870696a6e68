//! Effects of each event on jobs, workers and guarantees.

use std::sync::Arc;

use crate::config;
use crate::error;
use crate::sched::core::{self, Job, JobKey, RECLAIM_GRACE_MS, Scheduler, State};
use crate::sched::event::{self, Cause, Decision, End, Reason, Router};
use crate::sched::fleet;
use crate::sched::fragmentation;
use crate::sched::gang;
use crate::sched::health;
use crate::sched::{JobId, Millis};

/// Memory in use on a worker, in percent of its total, from which overuse is limited.
const MEMORY_PRESSURE_PERCENT: u64 = 95;

impl Scheduler {
    /// Replaces the configuration and updates accounts and guarantees.
    pub(super) fn configure(&mut self, config: Arc<config::Config>) {
        for account in &mut self.accounts {
            if let Some(declared) = config.accounts.get(&account.name) {
                account.weight = declared.weight;
                account.limit = declared.queue;
            }
        }
        self.largest_shape = fragmentation::largest_shape(&config).cloned();
        self.config = config;
        let config = Arc::clone(&self.config);
        let dropped = self.guarantees.configure(&mut self.fleet, &config);
        self.demote(&dropped);
        self.on_capacity_freed();
    }

    /// Turns gangs whose guarantee was withdrawn into borrowed ones.
    fn demote(&mut self, dropped: &[(String, u32, u32)]) {
        let is_dropped = |account: &str, claim: &event::Claim| {
            dropped.iter().any(|(owner, shape_index, gang_index)| {
                owner == account
                    && *shape_index == claim.shape_index
                    && *gang_index == claim.gang_index
            })
        };
        let affected: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_key, job)| {
                let claims = job.state.placement().map(|placement| &placement.claims);
                claims
                    .into_iter()
                    .flatten()
                    .any(|claim| is_dropped(&job.spec.account, claim))
            })
            .map(|(key, _job)| key)
            .collect();
        for key in affected {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            let each = job.spec.each;
            let mut claims = match &mut job.state {
                State::Waiting => continue,
                State::Claiming { placement, .. }
                | State::Running { placement }
                | State::Stopping { placement, .. } => std::mem::take(&mut placement.claims),
            };
            let account = job.spec.account.clone();
            // The cells of a dropped gang no longer exist; a new gang may have the same indexes.
            claims.retain(|claim| !is_dropped(&account, claim));
            self.guarantees
                .release(&mut self.fleet, &account, &claims, each);
        }
    }

    /// Registers a worker; one that was quarantined before it went down stays quarantined.
    pub(super) fn worker_up(&mut self, worker: &event::Worker) {
        self.fleet.register(worker);
        if self.health.is_quarantined(worker.key)
            && let Some(entry) = self.fleet.get_mut(worker.key)
        {
            entry.state = fleet::State::Quarantined;
        }
        self.guarantees
            .worker_available(&mut self.fleet, worker.key);
        self.on_capacity_freed();
    }

    /// Marks a worker as down, unbinds its cells and cancels the claims on it.
    pub(super) fn worker_down<R: Router>(&mut self, key: event::WorkerKey, router: &mut R) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        worker.state = fleet::State::Down;
        self.guarantees.unbind_worker(&mut self.fleet, key, true);
        let residents = self
            .residents
            .get(key.0 as usize)
            .cloned()
            .unwrap_or_default();
        for job in residents {
            if self.claiming.contains(&job) {
                self.cancel_claim(job, router);
            }
        }
        self.on_capacity_freed();
    }

    /// Cancels a claim whose workers are still being vacated and puts the job back into its queue.
    pub(super) fn cancel_claim<R: Router>(&mut self, key: JobKey, router: &mut R) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let State::Claiming { placement, .. } = std::mem::replace(&mut job.state, State::Waiting)
        else {
            return;
        };
        let (id, account) = (job.spec.id, job.account);
        self.vacate(key, &placement);
        self.claiming.retain(|claiming| *claiming != key);
        self.accounts[account].waiting.push(key);
        router.release(id);
    }

    /// Queues a job, or ends it if it can never fit or its account's queue is full.
    pub(super) fn submit(&mut self, spec: event::Spec) {
        if self.job_keys.contains_key(&spec.id) {
            return;
        }
        let most = gang::max_tasks(&self.fleet, &spec.each, spec.within, spec.tasks).max(
            gang::max_tasks_declared(&self.config, &spec.each, spec.within, spec.tasks),
        );
        let is_capacity_known = self.fleet.iter().next().is_some() || !self.config.racks.is_empty();
        if is_capacity_known && most < spec.tasks {
            let reason = Reason::NeverFits {
                tasks: spec.tasks,
                each: spec.each,
                within: spec.within,
                most,
            };
            self.push_end(spec.id, Some(error::Kind::NeverFits), reason);
            return;
        }
        let account = self.account_index(&spec.account);
        let limit = self.accounts[account].limit;
        if self.accounts[account].waiting.len() >= limit as usize {
            let reason = Reason::QueueFull { limit };
            self.push_end(spec.id, Some(error::Kind::QueueFull), reason);
            return;
        }
        let key = self.insert(spec, account, State::Waiting, 0);
        self.accounts[account].waiting.push(key);
    }

    fn insert(
        &mut self,
        spec: event::Spec,
        account: usize,
        state: State,
        started_ms: Millis,
    ) -> JobKey {
        let id = spec.id;
        let estimate = core::estimate_key(&spec.account, &spec.service);
        let key = self.jobs.insert(Job {
            spec,
            account,
            estimate,
            state,
            started_ms,
            attempts: 0,
            failed_workers: Vec::new(),
            throttled: false,
        });
        self.job_keys.insert(id, key);
        key
    }

    /// Restores a gang that already runs; it becomes borrowed if its guarantee no longer exists.
    pub(super) fn adopt(
        &mut self,
        spec: event::Spec,
        mut placement: event::Placement,
        started_ms: Millis,
        attempts: u32,
        stopping: bool,
    ) {
        if self.job_keys.contains_key(&spec.id) {
            return;
        }
        let account = self.account_index(&spec.account);
        if !self
            .guarantees
            .restore(&mut self.fleet, &spec.account, &placement.claims)
        {
            placement.claims.clear();
        }
        let state = if stopping {
            let cause = Cause::Reclaimed;
            State::Stopping {
                placement: placement.clone(),
                cause,
            }
        } else {
            State::Running {
                placement: placement.clone(),
            }
        };
        let key = self.insert(spec, account, state, started_ms);
        self.jobs[key].attempts = attempts;
        self.occupy(key, &placement);
        self.guarantees.rebind_excess(&mut self.fleet);
    }

    pub(super) fn on_ended(&mut self, id: JobId, end: End, run_ms: Millis) {
        let Some(key) = self.job_keys.get(&id).copied() else {
            return;
        };
        let state = std::mem::replace(&mut self.jobs[key].state, State::Waiting);
        let (placement, cause) = match state {
            State::Running { placement } => (placement, None),
            State::Stopping { placement, cause } => (placement, Some(cause)),
            state @ (State::Waiting | State::Claiming { .. }) => {
                self.jobs[key].state = state;
                return;
            }
        };
        self.vacate(key, &placement);
        match (end, cause) {
            (End::Done, _) => self.on_done(key, &placement, run_ms),
            (
                End::Failed { ran, .. } | End::Stopped { ran } | End::Lost { ran, .. },
                Some(cause),
            ) => {
                self.on_stopped(key, cause, ran);
            }
            (End::Failed { worker, ran }, None) => self.on_failed(key, &placement, worker, ran),
            (End::Lost { worker, ran }, None) => self.on_lost(key, worker, ran),
            (End::Stopped { ran }, None) => self.on_lost(key, None, ran),
        }
    }

    fn on_done(&mut self, key: JobKey, placement: &event::Placement, run_ms: Millis) {
        let job = &self.jobs[key];
        let id = job.spec.id;
        self.estimates
            .observe_single(job.estimate, job.spec.declared_ms, run_ms);
        for worker in self.health.record_success(&placement.members) {
            self.end_quarantine(worker);
        }
        self.push_end(id, None, Reason::Done { run_ms });
        self.remove(key);
    }

    /// Takes a worker out of quarantine.
    fn end_quarantine(&mut self, key: event::WorkerKey) {
        if let Some(worker) = self.fleet.get_mut(key)
            && worker.state == fleet::State::Quarantined
        {
            worker.state = fleet::State::Up;
        }
        self.guarantees.worker_available(&mut self.fleet, key);
        let reason = Reason::WorkerRecovered;
        self.decisions.push(Decision::Quarantine {
            worker: key,
            on: false,
            reason,
        });
    }

    /// Ends or requeues a gang that was stopped on request.
    fn on_stopped(&mut self, key: JobKey, cause: Cause, ran: bool) {
        let job = &self.jobs[key];
        let id = job.spec.id;
        match cause {
            Cause::Cancelled => {
                let reason = Reason::Cancelled { was_running: true };
                self.push_end(id, Some(error::Kind::Cancelled), reason);
                self.remove(key);
            }
            Cause::Reclaimed | Cause::Overuse if job.spec.repeatable || !ran => {
                let attempt = job.attempts;
                self.requeue(
                    key,
                    Reason::Retried {
                        attempt,
                        worker: None,
                    },
                );
            }
            Cause::Reclaimed | Cause::Overuse => {
                let reason = Reason::NotRepeatable { cause };
                self.push_end(id, Some(error::Kind::Stopped), reason);
                self.remove(key);
            }
        }
    }

    /// Blames the workers of a failed gang, then requeues the job or ends it.
    fn on_failed(
        &mut self,
        key: JobKey,
        placement: &event::Placement,
        worker: Option<event::WorkerKey>,
        ran: bool,
    ) {
        let members = placement.members.iter().map(|member| member.worker);
        let blamed: Vec<event::WorkerKey> = match worker {
            Some(worker) => vec![worker],
            None => members.collect(),
        };
        let id = self.jobs[key].spec.id;
        for (worker, failures, until_ms) in self.health.record_failure(id, &blamed, self.now) {
            self.quarantine(worker, failures, until_ms);
        }
        let job = &mut self.jobs[key];
        job.failed_workers.extend(blamed);
        job.attempts += 1;
        let attempts = job.attempts;
        if !job.spec.repeatable && ran {
            let reason = Reason::FailsEverywhere { attempts };
            self.push_end(id, Some(error::Kind::GangFailed), reason);
            self.remove(key);
        } else if attempts >= health::MAX_ATTEMPTS {
            for worker in self.health.withdraw_blame(id) {
                self.end_quarantine(worker);
            }
            let reason = Reason::FailsEverywhere { attempts };
            self.push_end(id, Some(error::Kind::GangFailed), reason);
            self.remove(key);
        } else {
            self.requeue(
                key,
                Reason::Retried {
                    attempt: attempts,
                    worker,
                },
            );
        }
    }

    fn quarantine(&mut self, key: event::WorkerKey, failures: u32, until_ms: Millis) {
        if let Some(worker) = self.fleet.get_mut(key)
            && worker.state == fleet::State::Up
        {
            worker.state = fleet::State::Quarantined;
        }
        self.guarantees.unbind_worker(&mut self.fleet, key, false);
        let reason = Reason::WorkerFails { failures, until_ms };
        self.decisions.push(Decision::Quarantine {
            worker: key,
            on: true,
            reason,
        });
    }

    /// Requeues a gang that lost a worker, or ends it if it ran and must not run again.
    fn on_lost(&mut self, key: JobKey, worker: Option<event::WorkerKey>, ran: bool) {
        let job = &self.jobs[key];
        let id = job.spec.id;
        if job.spec.repeatable || !ran {
            self.requeue(key, Reason::WorkerLost { worker });
            return;
        }
        self.push_end(
            id,
            Some(error::Kind::GangFailed),
            Reason::WorkerLost { worker },
        );
        self.remove(key);
    }

    /// Puts a job back into its account's queue.
    fn requeue(&mut self, key: JobKey, reason: Reason) {
        let job = &mut self.jobs[key];
        job.state = State::Waiting;
        job.throttled = false;
        let (id, account) = (job.spec.id, job.account);
        self.accounts[account].waiting.push(key);
        self.counts.requeued += 1;
        self.decisions.push(Decision::Requeue { job: id, reason });
    }

    /// Ends a waiting job, or stops a running one.
    pub(super) fn cancel<R: Router>(&mut self, id: JobId, kind: error::Kind, router: &mut R) {
        let Some(key) = self.job_keys.get(&id).copied() else {
            return;
        };
        let job = &mut self.jobs[key];
        let waited_ms = self.now.saturating_sub(job.spec.submitted_ms);
        match &mut job.state {
            State::Stopping { cause, .. } => *cause = Cause::Cancelled,
            State::Running { placement } => {
                let placement = std::mem::take(placement);
                job.state = State::Stopping {
                    placement,
                    cause: Cause::Cancelled,
                };
                let reason = Reason::Cancelled { was_running: true };
                let cause = Cause::Cancelled;
                self.decisions.push(Decision::Stop {
                    job: id,
                    cause,
                    grace_ms: 0,
                    reason,
                });
            }
            State::Claiming { .. } => {
                self.cancel_claim(key, router);
                self.end_waiting(key, kind, waited_ms);
            }
            State::Waiting => self.end_waiting(key, kind, waited_ms),
        }
    }

    /// Ends a job that does not run.
    fn end_waiting(&mut self, key: JobKey, kind: error::Kind, waited_ms: Millis) {
        let id = self.jobs[key].spec.id;
        let reason = match kind {
            error::Kind::Deadline => Reason::DeadlinePassed { waited_ms },
            _ => Reason::Cancelled { was_running: false },
        };
        self.push_end(id, Some(kind), reason);
        self.remove(key);
    }

    /// Returns the reason for stopping a borrowed gang in favour of another job.
    pub(super) fn reclaim_reason(
        &self,
        key: JobKey,
        to: JobId,
        claim: Option<&event::Claim>,
    ) -> Reason {
        let ran_ms = self.now.saturating_sub(self.jobs[key].started_ms);
        let claimant = self.job_keys.get(&to).and_then(|to| self.jobs.get(*to));
        let account = claimant
            .map(|job| job.spec.account.clone())
            .unwrap_or_default();
        match claim {
            Some(claim) => Reason::Yielded {
                to,
                account,
                shape: claim.shape_index,
                lost_ms: ran_ms,
            },
            None => Reason::Moved {
                to,
                account,
                ran_ms,
            },
        }
    }

    /// Stops a borrowed gang after the grace period of a reclaim.
    pub(super) fn reclaim(&mut self, key: JobKey, reason: Reason) {
        let job = &mut self.jobs[key];
        let State::Running { placement } = &mut job.state else {
            return;
        };
        let placement = std::mem::take(placement);
        job.state = State::Stopping {
            placement,
            cause: Cause::Reclaimed,
        };
        let job = job.spec.id;
        self.counts.stopped += 1;
        let cause = Cause::Reclaimed;
        self.decisions.push(Decision::Stop {
            job,
            cause,
            grace_ms: RECLAIM_GRACE_MS,
            reason,
        });
    }

    /// Limits memory overuse: on a worker short of memory, throttles the gang with the largest
    /// overuse, and stops it if it has been throttled already.
    pub(super) fn on_usage(&mut self, usage: &[event::Usage]) {
        let mut workers: Vec<event::WorkerKey> = usage.iter().map(|entry| entry.worker).collect();
        workers.sort_unstable();
        workers.dedup();
        for worker in workers {
            let entries: Vec<&event::Usage> = usage
                .iter()
                .filter(|entry| entry.worker == worker)
                .collect();
            let sum: u64 = entries.iter().map(|entry| u64::from(entry.memory_gb)).sum();
            let Some(total) = self.fleet.get(worker).map(|worker| worker.total) else {
                continue;
            };
            if sum * 100 < u64::from(total.memory_gb) * MEMORY_PRESSURE_PERCENT {
                continue;
            }
            let overuses = entries.iter().filter_map(|entry| self.find_overuse(entry));
            if let Some((key, used, declared)) =
                overuses.max_by_key(|(_key, used, declared)| used.saturating_sub(*declared))
            {
                self.limit_overuse(key, used, declared);
            }
        }
    }

    /// Returns the job with its used and declared memory in GB if it uses more than declared.
    fn find_overuse(&self, entry: &event::Usage) -> Option<(JobKey, u32, u32)> {
        let key = *self.job_keys.get(&entry.job)?;
        let job = &self.jobs[key];
        let State::Running { placement } = &job.state else {
            return None;
        };
        let member = placement
            .members
            .iter()
            .find(|member| member.worker == entry.worker)?;
        let declared = job.spec.each.memory_gb * member.tasks;
        (entry.memory_gb > declared).then_some((key, entry.memory_gb, declared))
    }

    /// Throttles a gang, or stops it if it is throttled already.
    fn limit_overuse(&mut self, key: JobKey, used: u32, declared: u32) {
        let job = &mut self.jobs[key];
        let id = job.spec.id;
        let reason = Reason::Overuse {
            used_gb: used,
            declared_gb: declared,
        };
        if !job.throttled {
            job.throttled = true;
            self.decisions.push(Decision::Throttle { job: id, reason });
            return;
        }
        let State::Running { placement } = &mut job.state else {
            return;
        };
        let placement = std::mem::take(placement);
        // The next attempt requests the memory that this one was measured to use.
        let grown =
            u64::from(job.spec.each.memory_gb) * u64::from(used) / u64::from(declared.max(1));
        job.spec.each.memory_gb = job
            .spec
            .each
            .memory_gb
            .max(u32::try_from(grown).unwrap_or(u32::MAX));
        job.state = State::Stopping {
            placement,
            cause: Cause::Overuse,
        };
        self.counts.stopped += 1;
        let cause = Cause::Overuse;
        self.decisions.push(Decision::Stop {
            job: id,
            cause,
            grace_ms: RECLAIM_GRACE_MS,
            reason,
        });
    }
}
