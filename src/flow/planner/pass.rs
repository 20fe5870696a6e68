//! A placement pass over all ready units: their order, the search for workers, preemption and
//! reservations.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::flow::command::Command;
use crate::flow::job::{Amount, Step};
use crate::flow::place::{self, Request, Scope, Victim, Victims};
use crate::flow::planner::cells::Spare;
use crate::flow::planner::reserve::RunEnd;
use crate::flow::planner::search::Search;
use crate::flow::planner::{CONTACT_TIMEOUT_MS, Claim, Planner};
use crate::flow::registry::{Cause, Job, Registry, Running, State, Unit};
use crate::flow::{JobId, Millis, UnitId, WorkerKey};
use crate::map;

/// Factor on the cost of stopping runs of the most urgent priority. It halves with each lower
/// priority.
const URGENCY_COST_FACTOR: u64 = 16;

/// Priority from which on the factor stays the same.
const CHEAPEST_PRIORITY: u32 = 4;

/// Maximum number of doublings of the cost; each run of the unit doubles it once.
const MAX_RUN_COST_DOUBLINGS: u32 = 6;

/// Number of the first run that may only be preempted for a guarantee. A unit that is preempted
/// again and again wastes more work than it makes room for.
pub(super) const FIRST_PROTECTED_RUN: u32 = 3;

/// Sort key of a ready unit: no guarantee, priority, due time, identity. Smaller keys are placed
/// first.
type Rank = (bool, u32, Millis, UnitId);

/// Which runs may be preempted: whether the unit that needs their capacity is covered by a guarantee, and
/// its priority.
type VictimKind = (bool, u32);

/// Workers for a unit, and the units that must stop there.
pub(super) type Placement = (Vec<WorkerKey>, Vec<UnitId>);

/// State of one pass.
pub(super) struct Context {
    /// Jobs that are covered by their account's guarantee.
    pub(super) guaranteed_jobs: map::Set<JobId>,
    /// Largest free amount of each resource on any single worker, by service. A task that does not
    /// fit into it fits on no worker, which saves the search.
    max_free: map::Map<String, Amount>,
    /// Runs that may be preempted.
    victims: map::Map<VictimKind, Rc<Victims>>,
    /// Capacity that is being reclaimed, by worker.
    pub(super) claimed: BTreeMap<WorkerKey, Amount>,
    /// Reserved workers, and the time from which on they are reserved.
    pub(super) reserved: BTreeMap<WorkerKey, Millis>,
    pub(super) reservations: usize,
    /// What the account of the last covered unit may cover.
    pub(super) spare: Option<Spare>,
    /// Estimated ends of all runs, until another run is placed.
    pub(super) ends: Option<Rc<Vec<RunEnd>>>,
}

impl Planner {
    /// Places as many ready units as possible in the order of their rank.
    pub(super) fn pass(&mut self) {
        let now = self.now;
        let projected = &self.projected;
        self.claims
            .retain(|unit, claim| now < claim.expires_ms && is_waiting(projected, *unit));
        self.blocked.retain(|unit| is_waiting(projected, *unit));
        let guaranteed_jobs = self.guaranteed_jobs();
        let mut context = Context {
            guaranteed_jobs,
            max_free: map::Map::default(),
            victims: map::Map::default(),
            claimed: BTreeMap::new(),
            reserved: BTreeMap::new(),
            reservations: 0,
            spare: None,
            ends: None,
        };
        for (unit, claim) in &self.claims {
            let Some((_job, step)) = self.projected.step(*unit) else {
                continue;
            };
            for worker in &claim.workers {
                let held = context.claimed.entry(*worker).or_default();
                *held = held.plus(&step.per_task);
            }
        }
        let relocating = self.relocating().into_iter();
        let mut order: Vec<Rank> = self
            .projected
            .ready_steps()
            .chain(relocating)
            .map(|id| self.rank(&context, id))
            .collect();
        order.sort_unstable();
        // Once a unit of a step cannot be placed, the others are skipped: they need the same capacity.
        for (_no_guarantee, _priority, _due_ms, first) in order {
            if self.hold(&mut context, first) {
                continue;
            }
            let mut next = Some(first);
            while let Some(id) = next.filter(|id| self.try_place(&mut context, *id)) {
                next = self.projected.next_ready(id);
            }
        }
        self.relocate(&mut context);
    }

    fn rank(&self, context: &Context, id: UnitId) -> Rank {
        let Some(job) = self.projected.job(id.job) else {
            return (true, u32::MAX, Millis::MAX, id);
        };
        let due_ms = job.due_ms(id.occurrence);
        (
            !context.guaranteed_jobs.contains(&id.job),
            job.queue.priority,
            due_ms,
            id,
        )
    }

    /// Returns the most urgent jobs that fit into their account's guarantee, in the order of their
    /// acceptance.
    fn guaranteed_jobs(&mut self) -> map::Set<JobId> {
        let projected = &self.projected;
        let is_open = |id: &JobId| {
            let job = projected.job(*id);
            job.is_some_and(|job| job.state == State::Open)
        };
        self.watched.urgent.retain(is_open);
        let mut urgent: Vec<(Millis, JobId, &str, u64)> = Vec::new();
        for id in &self.watched.urgent {
            if let Some(job) = self.projected.job(*id) {
                urgent.push((
                    job.accepted_ms,
                    job.id,
                    &job.account,
                    job.spec.peak_accelerators(),
                ));
            }
        }
        urgent.sort_unstable();
        let mut remaining: map::Map<&str, u64> = map::Map::default();
        let mut guaranteed_jobs = map::Set::default();
        for (_accepted_ms, id, account, need) in urgent {
            let guaranteed = || self.projected.catalog().guaranteed(account);
            let remaining = remaining.entry(account).or_insert_with(guaranteed);
            if need <= *remaining {
                *remaining -= need;
                guaranteed_jobs.insert(id);
            }
        }
        guaranteed_jobs
    }

    /// Places a unit, or else reclaims or reserves capacity for it. Returns whether it was placed.
    fn try_place(&mut self, context: &mut Context, id: UnitId) -> bool {
        let Some((job, step)) = self.projected.step(id) else {
            return false;
        };
        let (step, service) = (step.clone(), job.queue.service.clone());
        let Some(unit) = self.projected.unit(id).cloned() else {
            return false;
        };
        let claimed = self.release_claim(context, id, &step);
        let found = self.find_workers(context, id, &claimed);
        if let Some((workers, _stopped)) = &found
            && context.guaranteed_jobs.contains(&id.job)
            && let Some(spare) = &mut context.spare
        {
            spare.subtract(workers, &step.per_task);
        }
        match found {
            Some((workers, stopped)) if stopped.is_empty() => {
                self.place(id, &unit, workers);
                context.victims.clear();
                context.ends = None;
                true
            }
            Some((workers, stopped)) => {
                self.claim(context, id, &step, workers, stopped);
                false
            }
            None => {
                if context.guaranteed_jobs.contains(&id.job) {
                    self.log_blocked(context, id, &step, &service);
                }
                self.reserve(context, id, &step, unit.tasks, &service);
                false
            }
        }
    }

    /// Finds workers for a unit, and the runs that must be preempted there. The unit has just given up its
    /// claim on some workers.
    fn find_workers(
        &self,
        context: &mut Context,
        id: UnitId,
        claimed: &[WorkerKey],
    ) -> Option<Placement> {
        let (job, step) = self.projected.step(id)?;
        let unit = self.projected.unit(id)?;
        let priority = job.queue.priority;
        let estimated_end_ms = self.wall_now.saturating_add(step.estimate_ms);
        let is_guaranteed = context.guaranteed_jobs.contains(&id.job);
        let may_reclaim =
            is_guaranteed || priority == 0 && estimated_end_ms <= job.due_ms(id.occurrence);
        let max_free = self.max_free(context, &job.queue.service);
        if !may_reclaim && !max_free.fits(&step.per_task) {
            return None;
        }
        let scopes = self.scopes(unit, priority);
        if !is_guaranteed {
            let victims = may_reclaim.then_some((false, priority));
            return self.find_or_reclaim(context, id, scopes, victims, false);
        }
        self.update_spare(context, id, claimed);
        let found = self.find_or_reclaim(context, id, scopes, None, true);
        let found = found.or_else(|| self.find_beside_cells(context, id, scopes));
        if found.is_some() {
            return found;
        }
        // What accounts need now goes before what they may need.
        let victims = Some((true, priority));
        let found = self.find_or_reclaim(context, id, scopes, victims, true);
        let found = found.or_else(|| self.find_or_reclaim(context, id, scopes, victims, false));
        found.or_else(|| self.find_displacing(context, id, scopes))
    }

    /// Finds workers in free capacity, or else by preempting the victims of the given kind, if any.
    fn find_or_reclaim(
        &self,
        context: &mut Context,
        id: UnitId,
        scopes: &[Scope],
        victims: Option<VictimKind>,
        is_limited: bool,
    ) -> Option<Placement> {
        let search = Search::new(self, context, id, is_limited)?;
        let mut placements = scopes
            .iter()
            .map(|scope| search.place(&search.request(*scope)));
        if let Some(workers) = placements.find_map(|found| found) {
            return Some((workers, Vec::new()));
        }
        let kind = victims?;
        let requests: Vec<Request<'_>> =
            scopes.iter().map(|scope| search.request(*scope)).collect();
        let candidates = search.all_candidates();
        let victims = self.known_victims(context, kind);
        let mut preemptions = requests
            .iter()
            .map(|request| place::reclaim(request, &candidates, &victims));
        preemptions.find_map(|found| found)
    }

    /// Finds workers for a covered unit where other covered runs must give way.
    fn find_displacing(
        &self,
        context: &mut Context,
        id: UnitId,
        scopes: &[Scope],
    ) -> Option<Placement> {
        let victims = self.known_victims(context, (true, 0));
        let search = Search::new(self, context, id, false)?;
        let candidates = search.all_candidates();
        let mut displacements = scopes.iter().map(|scope| {
            let request = search.request(*scope);
            self.displace(context, id, &request, &candidates, &victims)
        });
        displacements.find_map(|found| found)
    }

    /// Returns the runs that may be preempted, from this pass's cache if nothing was placed or stopped
    /// since.
    fn known_victims(&self, context: &mut Context, kind: VictimKind) -> Rc<Victims> {
        if let Some(victims) = context.victims.get(&kind) {
            return Rc::clone(victims);
        }
        let (is_guaranteed, priority) = kind;
        let victims = Rc::new(Victims::new(self.victims(context, is_guaranteed, priority)));
        context.victims.insert(kind, Rc::clone(&victims));
        victims
    }

    /// Returns the largest free amount of each resource on any single usable worker of a service, as
    /// of the start of the pass.
    pub(super) fn max_free(&self, context: &mut Context, service: &str) -> Amount {
        if let Some(max_free) = context.max_free.get(service) {
            return *max_free;
        }
        let max_free = self
            .fleet
            .service(service)
            .map(|service| service.max_free(|key| self.is_usable(key)));
        let max_free = max_free.unwrap_or_default();
        context.max_free.insert(service.to_owned(), max_free);
        max_free
    }

    /// Returns the scopes that a unit may use after the time that it has waited, the best first.
    fn scopes(&self, unit: &Unit, priority: u32) -> &'static [Scope] {
        let ideal_wait_ms = self.options.bounds.ideal_wait_ms(priority == 0);
        if self.wall_now.saturating_sub(unit.ready_ms) >= ideal_wait_ms {
            &[Scope::Ideal, Scope::Anywhere]
        } else {
            &[Scope::Ideal]
        }
    }

    fn place(&mut self, id: UnitId, unit: &Unit, workers: Vec<WorkerKey>) {
        let run = unit.last_run + 1;
        let waited_ms = self.wall_now.saturating_sub(unit.ready_ms);
        let keys: Vec<u64> = workers.iter().map(|key| key.0).collect();
        let estimate = self.projected.estimate(id);
        log::info!(job:% = format_args!("{:016x}", id.job), step = id.step, first = id.first, run = run,
            estimate_ms = estimate.expected_ms, source = estimate.source.label(), samples = estimate.samples;
            "placing run on workers {keys:?} after waiting {waited_ms} ms");
        self.push(Command::Place {
            unit: id,
            run,
            workers,
        });
    }

    /// Claims workers for a unit and stops the runs that occupy them.
    fn claim(
        &mut self,
        context: &mut Context,
        id: UnitId,
        step: &Step,
        workers: Vec<WorkerKey>,
        stopped: Vec<UnitId>,
    ) {
        for worker in &workers {
            let held = context.claimed.entry(*worker).or_default();
            *held = held.plus(&step.per_task);
        }
        let (job, step) = (id.job, id.step);
        context.victims.clear();
        for unit in stopped {
            self.stop(unit, Cause::Reclaimed { job, step });
        }
        let expires_ms = self.now + self.options.bounds.claim_timeout_ms();
        self.claims.insert(
            id,
            Claim {
                workers,
                expires_ms,
            },
        );
    }

    /// Releases a unit's own claim, so that the search regards the claimed capacity as free. Returns the
    /// claimed workers.
    fn release_claim(&mut self, context: &mut Context, id: UnitId, step: &Step) -> Vec<WorkerKey> {
        let Some(claim) = self.claims.remove(&id) else {
            return Vec::new();
        };
        for worker in &claim.workers {
            if let Some(held) = context.claimed.get_mut(worker) {
                *held = held.minus(&step.per_task);
            }
        }
        claim.workers
    }

    /// Reports whether a worker may get new runs now.
    pub fn is_usable(&self, key: WorkerKey) -> bool {
        let projected = &self.projected;
        if projected
            .worker(key)
            .is_none_or(|worker| worker.fenced || projected.is_evacuated(&worker.info.domain))
        {
            return false;
        }
        self.observations.get(&key).is_some_and(|observation| {
            observation.responsive
                && !observation.draining
                && !self.has_predecessor(observation)
                && self.now < observation.last_contact_ms + CONTACT_TIMEOUT_MS
                && self.now >= observation.quarantined_until_ms
        })
    }

    /// Returns the runs that may be preempted for a unit with the given guarantee and priority. Runs
    /// that are being stopped already are included at almost no cost.
    fn victims(&self, context: &Context, is_guaranteed: bool, priority: u32) -> Vec<Victim> {
        let mut victims = Vec::new();
        for id in self.projected.active() {
            let (Some((job, step)), Some(unit)) =
                (self.projected.step(id), self.projected.unit(id))
            else {
                continue;
            };
            let Some(running) = &unit.running else {
                continue;
            };
            let is_lower = job.queue.priority > priority || is_guaranteed;
            let is_stopping = running.stop.is_some();
            let is_protected = !is_guaranteed && unit.last_run >= FIRST_PROTECTED_RUN;
            if !is_stopping
                && (context.guaranteed_jobs.contains(&id.job) || !is_lower || is_protected)
            {
                continue;
            }
            let mut victim = self.victim(id, job, step, unit, running);
            if is_stopping {
                victim.cost = 1;
            }
            victims.push(victim);
        }
        victims
    }

    /// Returns what a running unit holds, and the cost of stopping it.
    pub(super) fn victim(
        &self,
        id: UnitId,
        job: &Job,
        step: &Step,
        unit: &Unit,
        running: &Running,
    ) -> Victim {
        let active = running.members.iter().filter(|member| member.end.is_none());
        let held: Vec<_> = active
            .map(|member| (member.worker, step.per_task))
            .collect();
        let bounds = self.options.bounds;
        let ran_ms = self.wall_now.saturating_sub(running.placed_ms);
        let lost_ms = if step.checkpoints {
            ran_ms.min(bounds.checkpoint_ms)
        } else {
            ran_ms
        };
        let cores = step.per_task.scaled(held.len() as u64).weighted_millicpus() / 1_000;
        // Urgent units, and units that have been started often, cost more to stop.
        let factor = URGENCY_COST_FACTOR >> job.queue.priority.min(CHEAPEST_PRIORITY)
            << unit.last_run.min(MAX_RUN_COST_DOUBLINGS);
        let cost = (lost_ms + bounds.stop_cost_ms(step.checkpoints))
            .saturating_mul(cores)
            .saturating_mul(factor);
        Victim {
            unit: id,
            cost,
            held: sum_by_worker(held),
        }
    }
}

/// Sums the amounts that a unit holds on each worker.
fn sum_by_worker(held: Vec<(WorkerKey, Amount)>) -> Vec<(WorkerKey, Amount)> {
    let mut sums: BTreeMap<WorkerKey, Amount> = BTreeMap::new();
    for (key, amount) in held {
        let sum = sums.entry(key).or_default();
        *sum = sum.plus(&amount);
    }
    sums.into_iter().collect()
}

fn is_waiting(registry: &Registry, id: UnitId) -> bool {
    registry
        .unit(id)
        .is_some_and(|unit| !unit.done && unit.running.is_none())
        && registry
            .job(id.job)
            .is_some_and(|job| job.state == State::Open)
}
