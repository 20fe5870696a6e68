//! One scheduling pass: claims under guarantees, then probes of workers, then borrowed placements.

use crate::config::Resources;
use crate::sched::core::{Class, Job, JobKey, Policy, Scheduler, State};
use crate::sched::event::{self, Decision, Reason, Router};
use crate::sched::fleet;
use crate::sched::guarantee;
use crate::sched::queue;
use crate::sched::reclaim;
use crate::sched::{JobId, Millis};

/// Extra cost of stopping a gang that must not run again, in accelerator-milliseconds.
const NOT_REPEATABLE_COST: u64 = 1 << 40;

/// Maximum number of passes over the claims in one dispatch.
const CLAIM_ROUNDS: usize = 4;

impl Scheduler {
    /// Runs one scheduling pass over all waiting jobs.
    pub(super) fn dispatch<R: Router>(&mut self, router: &mut R) {
        self.start_claimed();
        for _round in 0..CLAIM_ROUNDS {
            // A claim that cancels another one may free cells for a job earlier in the order.
            self.has_freed_capacity = false;
            self.serve_claims(router);
            if !self.has_freed_capacity {
                break;
            }
        }
        match self.policy {
            Policy::Fair => {
                self.start_probes(router);
                self.borrow_fair(router);
                self.consolidate(router);
            }
            Policy::Fifo => self.borrow_fifo(router),
        }
    }

    /// Starts gangs whose workers have been vacated.
    fn start_claimed(&mut self) {
        for key in self.claiming.clone() {
            let State::Claiming {
                placement,
                stopping,
            } = &self.jobs[key].state
            else {
                continue;
            };
            if placement
                .members
                .iter()
                .any(|member| self.is_worker_occupied(key, member.worker))
            {
                continue;
            }
            let (placement, stopped) = (placement.clone(), stopping.clone());
            self.claiming.retain(|claiming| *claiming != key);
            let share_ppm = self.share_ppm(key);
            self.start(key, placement, |job, placement, now| {
                let waited_ms = now.saturating_sub(job.spec.submitted_ms);
                if placement.is_guaranteed() {
                    let shapes = shapes(placement);
                    return Reason::Guaranteed {
                        shapes,
                        waited_ms,
                        stopped,
                        moved: false,
                    };
                }
                Reason::Borrowed {
                    waited_ms,
                    share_ppm,
                    backfilled: None,
                    fragments: 0,
                }
            });
        }
    }

    /// Reports whether other gangs still hold resources that a claim needs on a worker; claims made
    /// later are not counted.
    fn is_worker_occupied(&self, key: JobKey, worker: event::WorkerKey) -> bool {
        let Some(entry) = self.fleet.get(worker) else {
            return true;
        };
        let later = self
            .claiming
            .iter()
            .skip_while(|other| **other != key)
            .skip(1);
        let mut used = entry.used;
        for job in later.map(|other| &self.jobs[*other]) {
            used = used.minus(&job.held_on(worker));
        }
        !entry.total.fits(&used)
    }

    pub(super) fn share_ppm(&self, key: JobKey) -> u64 {
        let total = self.fleet.total();
        self.accounts[self.jobs[key].account].share_ppm(&total)
    }

    /// Marks a job as running and pushes the decision to place it.
    pub(super) fn start(
        &mut self,
        key: JobKey,
        placement: event::Placement,
        reason: impl FnOnce(&Job, &event::Placement, Millis) -> Reason,
    ) {
        let now = self.now;
        let job = &mut self.jobs[key];
        job.started_ms = now;
        let reason = reason(job, &placement, now);
        job.state = State::Running {
            placement: placement.clone(),
        };
        self.counts.placed += 1;
        self.forecast_stale = true;
        self.decisions.push(Decision::Place {
            job: job.spec.id,
            placement,
            reason,
        });
    }

    /// Returns the regions that admit a job, in order of preference.
    pub(super) fn regions<R: Router>(&self, job: &Job, router: &R) -> Vec<fleet::RegionKey> {
        let names = router.regions(&job.spec);
        names
            .iter()
            .filter_map(|name| self.fleet.find_region(name))
            .collect()
    }

    pub(super) fn class(&self, job: &Job, regions: &[fleet::RegionKey]) -> Class {
        let region_bits = regions.iter().map(|region| 1_u64 << (region.0 % 64)).sum();
        let ends_ms = self.now + self.expected_ms(job);
        let overrun_reservations = self
            .reservations
            .iter()
            .filter(|reservation| ends_ms > reservation.start_ms)
            .count();
        Class {
            each: job.spec.each,
            within: job.spec.within,
            regions: region_bits,
            overrun_reservations,
            preserve_largest: self.is_preserving_largest(job),
        }
    }

    /// Returns the waiting jobs of an account in the order in which they are served.
    pub(super) fn sorted_queue(&self, account: usize) -> Vec<JobKey> {
        let mut waiting = self.accounts[account].waiting.clone();
        match self.policy {
            Policy::Fifo => waiting.sort_by_key(|key| self.arrival(*key)),
            Policy::Fair => waiting.sort_by_cached_key(|key| {
                let job = &self.jobs[*key];
                let factors = queue::Factors {
                    urgent: job.spec.urgent,
                    expected_ms: self.expected_ms(job),
                    accelerators: job.accelerators(),
                    waited_ms: self.now.saturating_sub(job.spec.submitted_ms),
                    completion: self.config.weights.completion,
                };
                (queue::rank(&factors), job.spec.submitted_ms, job.spec.id)
            }),
        }
        waiting
    }

    /// Returns the sort key for first come, first served.
    pub(super) fn arrival(&self, key: JobKey) -> (Millis, JobId) {
        let spec = &self.jobs[key].spec;
        (spec.submitted_ms, spec.id)
    }

    /// Tries to claim cells for the waiting jobs of each account with guarantees.
    fn serve_claims<R: Router>(&mut self, router: &mut R) {
        let can_claim = |index: &usize| {
            let account = &self.accounts[*index];
            !account.waiting.is_empty() && self.guarantees.has_account(&account.name)
        };
        let mut order: Vec<usize> = (0..self.accounts.len()).filter(can_claim).collect();
        let total = self.fleet.total();
        order.sort_by_key(|index| (self.accounts[*index].share_ppm(&total), *index));
        for account in order {
            for key in self.sorted_queue(account) {
                self.try_claim(key, router);
            }
        }
    }

    /// Places a job under its account's guarantee if cells are left, reclaiming borrowed gangs if
    /// necessary.
    fn try_claim<R: Router>(&mut self, key: JobKey, router: &mut R) {
        let job = &self.jobs[key];
        let account = job.account;
        let regions = self.regions(job, router);
        let class = Class {
            overrun_reservations: 0,
            preserve_largest: false,
            ..self.class(job, &regions)
        };
        let min_failed = self.unclaimable.get(&(account, class));
        if min_failed.is_some_and(|tasks| *tasks <= job.spec.tasks) {
            return;
        }
        let spec = job.spec.clone();
        let Some(mut plan) = self.guarantees.plan(&self.fleet, &spec, &regions) else {
            self.unclaimable.insert((account, class), spec.tasks);
            return;
        };
        let avoids_split = self.policy == Policy::Fair && !spec.urgent;
        if avoids_split
            && self.guarantees.is_splitting_idle_gang(&spec, &plan)
            && self.try_borrow(key, router)
        {
            return;
        }
        let mut moved = false;
        if !plan.to_vacate.is_empty() && self.guarantees.relocate(&mut self.fleet, &spec, &regions)
        {
            moved = true;
            plan = self
                .guarantees
                .plan(&self.fleet, &spec, &regions)
                .unwrap_or(plan);
        }
        self.cancel_consolidations(&plan, router);
        let missing = self.to_vacate(&plan.placement, &spec);
        let Some(victims) = reclaim::choose(&missing, &self.candidates(&missing)) else {
            self.unclaimable.insert((account, class), spec.tasks);
            return;
        };
        self.commit_claim(key, plan.placement, &victims, moved, router);
    }

    /// Cancels consolidations on workers that a guarantee needs.
    fn cancel_consolidations<R: Router>(&mut self, plan: &guarantee::Plan, router: &mut R) {
        for (worker, _amount) in &plan.to_vacate {
            let on_worker = self
                .residents
                .get(worker.0 as usize)
                .cloned()
                .unwrap_or_default();
            for key in on_worker {
                if self.is_consolidating(key) {
                    self.cancel_claim(key, router);
                }
            }
        }
    }

    /// Returns the resources that must be vacated for a gang, beyond those of stopping gangs.
    pub(super) fn to_vacate(
        &self,
        placement: &event::Placement,
        spec: &event::Spec,
    ) -> Vec<(event::WorkerKey, Resources)> {
        let mut missing = Vec::new();
        for member in &placement.members {
            let Some(worker) = self.fleet.get(member.worker) else {
                continue;
            };
            let mut used = worker.used;
            used += spec.each.scaled(member.tasks);
            let used = used.minus(&self.stopping_on(member.worker));
            let shortage = used.minus(&worker.total);
            if !shortage.is_zero() {
                missing.push((member.worker, shortage));
            }
        }
        missing
    }

    /// Returns the resources of gangs that are being stopped on a worker.
    fn stopping_on(&self, key: event::WorkerKey) -> Resources {
        let mut sum = Resources::default();
        let on_worker = self.residents.get(key.0 as usize).into_iter().flatten();
        for job in on_worker.map(|job| &self.jobs[*job]) {
            if matches!(job.state, State::Stopping { .. }) {
                sum += job.held_on(key);
            }
        }
        sum
    }

    /// Returns the reclaimable gangs on the given workers.
    fn candidates(
        &self,
        missing: &[(event::WorkerKey, Resources)],
    ) -> Vec<reclaim::Candidate<JobKey>> {
        let mut keys: Vec<JobKey> = Vec::new();
        for (worker, _amount) in missing {
            let on_worker = self.residents.get(worker.0 as usize).into_iter().flatten();
            keys.extend(on_worker.filter(|key| self.jobs[**key].is_reclaimable()));
        }
        keys.sort_unstable();
        keys.dedup();
        keys.into_iter().map(|key| self.candidate(key)).collect()
    }

    pub(super) fn candidate(&self, key: JobKey) -> reclaim::Candidate<JobKey> {
        let job = &self.jobs[key];
        let each = job.spec.each;
        let members = job
            .state
            .placement()
            .map(|placement| placement.members.as_slice());
        let held = members
            .unwrap_or_default()
            .iter()
            .map(|member| (member.worker, each.scaled(member.tasks)))
            .collect();
        let ran = self.now.saturating_sub(job.started_ms) + 1;
        let mut cost = ran * u64::from(job.accelerators().max(1));
        if !job.spec.repeatable {
            cost += NOT_REPEATABLE_COST;
        }
        reclaim::Candidate {
            job: key,
            held,
            cost,
        }
    }

    /// Allocates a placement and reclaims the victims; starts the gang at once if none must leave.
    pub(super) fn commit_claim<R: Router>(
        &mut self,
        key: JobKey,
        placement: event::Placement,
        victims: &[JobKey],
        moved: bool,
        router: &mut R,
    ) {
        let id = self.jobs[key].spec.id;
        for victim in victims {
            let reason = self.reclaim_reason(*victim, id, placement.claims.first());
            self.reclaim(*victim, reason);
        }
        self.dequeue(key, &placement, router);
        self.occupy(key, &placement);
        let is_overcommitted = placement.members.iter().any(|member| {
            self.fleet
                .get(member.worker)
                .is_none_or(fleet::Worker::is_overcommitted)
        });
        if !is_overcommitted {
            self.start(key, placement, |job, placement, now| Reason::Guaranteed {
                shapes: shapes(placement),
                waited_ms: now.saturating_sub(job.spec.submitted_ms),
                stopped: Vec::new(),
                moved,
            });
            return;
        }
        let stopping = victims
            .iter()
            .map(|victim| self.jobs[*victim].spec.id)
            .collect();
        self.jobs[key].state = State::Claiming {
            placement,
            stopping,
        };
        self.claiming.push(key);
    }

    /// Removes a job from its queue and acquires a target slot in the region of its placement.
    pub(super) fn dequeue<R: Router>(
        &mut self,
        key: JobKey,
        placement: &event::Placement,
        router: &mut R,
    ) {
        let job = &self.jobs[key];
        self.accounts[job.account]
            .waiting
            .retain(|waiting| *waiting != key);
        let worker = placement
            .members
            .first()
            .and_then(|member| self.fleet.get(member.worker));
        if let Some(worker) = worker {
            router.acquire(&job.spec, &self.fleet.region(worker.region).name);
        }
    }
}

fn shapes(placement: &event::Placement) -> Vec<u32> {
    placement
        .claims
        .iter()
        .map(|claim| claim.shape_index)
        .collect()
}
