//! Moves narrow borrowed gangs to other workers so that a wide gang fits.
//!
//! When enough resources are free in total but fragmented, checkpointing a few narrow gangs and
//! restarting them elsewhere costs them seconds and spares the wide gang a wait for whole workers.

use crate::config::{Resources, Within};
use crate::sched::core::{Job, JobKey, Scheduler, State};
use crate::sched::event::{self, Router};
use crate::sched::fleet;
use crate::sched::reclaim;

/// A gang may be moved if its accelerators are at most 1 / `MOVABLE_DIVISOR` of the wide gang's.
const MOVABLE_DIVISOR: u32 = 2;

/// Maximum number of gangs that are moved for one wide gang.
const MAX_MOVES: usize = 8;

/// Placement of a wide gang and the gangs that must move for it.
struct Consolidation {
    placement: event::Placement,
    victims: Vec<JobKey>,
    /// Lost work of the victims, in accelerator-milliseconds.
    cost: u64,
}

impl Scheduler {
    /// Moves narrow gangs for the first overdue wide gang that fits in a rack that way; at most one
    /// consolidation is under way at a time.
    pub(super) fn consolidate<R: Router>(&mut self, router: &mut R) {
        if self.claiming.iter().any(|key| self.is_consolidating(*key)) {
            return;
        }
        for key in self.overdue() {
            let job = &self.jobs[key];
            if !job.failed_workers.is_empty() || job.spec.within == Within::Region {
                continue;
            }
            let regions = self.regions(job, router);
            let racks = (0..self.fleet.racks().len() as u32).map(fleet::RackKey);
            let plans = racks
                .filter(|rack| regions.contains(&self.fleet.rack(*rack).region))
                .filter_map(|rack| self.plan_consolidation(job, rack));
            if let Some(plan) = plans.min_by_key(|plan| plan.cost) {
                self.commit_claim(key, plan.placement, &plan.victims, false, router);
                self.on_capacity_freed();
                return;
            }
        }
    }

    /// Reports whether gangs are being moved for a borrowed placement of the job.
    pub(super) fn is_consolidating(&self, key: JobKey) -> bool {
        matches!(&self.jobs[key].state, State::Claiming { placement, .. } if !placement.is_guaranteed())
    }

    /// Plans a placement in a rack; `None` if moving gangs does not free enough of it, if more than
    /// `MAX_MOVES` gangs would have to move, or if one of them does not fit elsewhere.
    fn plan_consolidation(&self, job: &Job, rack: fleet::RackKey) -> Option<Consolidation> {
        let members = self.vacatable_members(job, rack)?;
        let placement = event::Placement {
            members,
            claims: Vec::new(),
        };
        let missing = self.to_vacate(&placement, &job.spec);
        let mut movable: Vec<JobKey> = Vec::new();
        for (worker, _amount) in &missing {
            let on_worker = self
                .residents
                .get(worker.0 as usize)
                .into_iter()
                .flatten()
                .copied();
            movable.extend(on_worker.filter(|key| self.is_movable(*key, job)));
        }
        movable.sort_unstable();
        movable.dedup();
        let candidates: Vec<reclaim::Candidate<JobKey>> =
            movable.into_iter().map(|key| self.candidate(key)).collect();
        let victims = reclaim::choose(&missing, &candidates)?;
        if victims.len() > MAX_MOVES || !self.can_fit_elsewhere(&victims, &placement) {
            return None;
        }
        let costs = candidates
            .iter()
            .filter(|candidate| victims.contains(&candidate.job));
        let cost = costs.map(|candidate| candidate.cost).sum();
        Some(Consolidation {
            placement,
            victims,
            cost,
        })
    }

    /// Returns workers of a rack that hold the gang once their movable gangs have left, preferring
    /// those with the fewest accelerators in movable use.
    fn vacatable_members(&self, job: &Job, rack: fleet::RackKey) -> Option<Vec<event::Member>> {
        let mut offers: Vec<(u32, event::WorkerKey, u32)> = Vec::new();
        for key in &self.fleet.rack(rack).workers {
            let worker = self.fleet.get(*key)?;
            if worker.state != fleet::State::Up {
                continue;
            }
            let movable = self.movable_resources(*key, job);
            let mut available = worker.borrowable();
            available += movable.minus(&worker.blocked);
            let max_tasks = available.count_fitting(&job.spec.each, job.spec.tasks);
            if max_tasks > 0 {
                offers.push((movable.accelerators, *key, max_tasks));
            }
        }
        offers.sort_unstable();
        let mut left = job.spec.tasks;
        let mut members = Vec::new();
        for (_movable, worker, max_tasks) in offers {
            let needs_one_worker = job.spec.within == Within::Worker;
            if needs_one_worker && max_tasks < job.spec.tasks {
                continue;
            }
            let tasks = max_tasks.min(left);
            members.push(event::Member { worker, tasks });
            left -= tasks;
            if left == 0 {
                return Some(members);
            }
        }
        None
    }

    /// Returns the resources of movable gangs on a worker.
    fn movable_resources(&self, worker: event::WorkerKey, wide: &Job) -> Resources {
        let mut sum = Resources::default();
        let on_worker = self.residents.get(worker.0 as usize).into_iter().flatten();
        for key in on_worker.filter(|key| self.is_movable(**key, wide)) {
            sum += self.jobs[*key].held_on(worker);
        }
        sum
    }

    /// Reports whether a gang may be moved for a wide one.
    fn is_movable(&self, key: JobKey, wide: &Job) -> bool {
        let job = &self.jobs[key];
        job.is_reclaimable()
            && job.spec.repeatable
            && !job.spec.urgent
            && job.accelerators() * MOVABLE_DIVISOR <= wide.accelerators()
    }

    /// Reports whether the victims fit on the free resources of other workers.
    fn can_fit_elsewhere(&self, victims: &[JobKey], placement: &event::Placement) -> bool {
        let is_in_placement =
            |key: event::WorkerKey| placement.members.iter().any(|member| member.worker == key);
        let mut free: Vec<Resources> = self
            .fleet
            .iter()
            .filter(|(key, _worker)| !is_in_placement(*key))
            .map(|(_key, worker)| worker.borrowable())
            .collect();
        victims.iter().all(|key| {
            let job = &self.jobs[*key];
            let members = job
                .state
                .placement()
                .map(|placement| placement.members.clone());
            members.into_iter().flatten().all(|member| {
                let amount = job.spec.each.scaled(member.tasks);
                let fitting = free.iter_mut().find(|free| free.fits(&amount));
                fitting.map(|free| *free -= amount).is_some()
            })
        })
    }
}
