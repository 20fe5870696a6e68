//! One pass over all units that could run: the order, the places, who gives way.

use std::collections::BTreeMap;

use crate::flow::command::Command;
use crate::flow::job::{Amount, Step};
use crate::flow::place::{self, Candidate, Request, Scope, Victim};
use crate::flow::planner::{Claim, Planner, SILENT_MS};
use crate::flow::registry::{Cause, Registry, State, Unit};
use crate::flow::{JobId, Millis, UnitId, WorkerKey};
use crate::map;

/// Time after which a unit goes where it is slower rather than wait on.
const IDEAL_WAIT_MS: Millis = 2_000;

/// The same for the most urgent ones.
const URGENT_IDEAL_WAIT_MS: Millis = 600;

/// Time in which those who give way must have ended.
const CLAIM_MS: Millis = 2_500;

/// Time for which a unit rather waits than goes back to where it has failed.
const BAD_WAIT_MS: Millis = 4_000;

/// Units that hold a reservation at a time.
const MAX_RESERVATIONS: usize = 2;

/// Work lost that a stop costs whatever the run has done, in milliseconds.
const STOP_COST_MS: Millis = 500;

/// Unfinished work that a checkpoint can miss, in milliseconds.
const CHECKPOINT_COST_MS: Millis = 500;

/// Factor of the cost of stopping the most urgent work; halves with each step of priority.
const URGENCY_COST: u64 = 16;

/// Priority from which on the cost falls no further.
const LEAST_URGENT: u32 = 4;

/// Earlier runs of a unit that each double the cost of stopping it.
const DEAR_RUNS: u32 = 6;

/// Number of the run that only a guarantee may stop: a unit that is started again and again wastes
/// more than it gives way to.
const SPARED_RUNS: u32 = 3;

/// Place in the order: smaller goes first.
type Rank = (bool, u32, Millis, UnitId);

/// What a pass works with.
struct Desk {
    /// Jobs whose account's guarantee covers them.
    entitled: map::Set<JobId>,
    /// Most of each resource that is free on any one worker of a service. What does not fit into it
    /// fits nowhere, and needs no search among all workers.
    most: map::Map<String, Amount>,
    /// Room that is being vacated, by worker.
    claimed: BTreeMap<WorkerKey, Amount>,
    /// Workers that are reserved, and from when on.
    reserved: BTreeMap<WorkerKey, Millis>,
    reservations: usize,
}

impl Planner {
    pub(super) fn pass(&mut self) {
        let now = self.now;
        let projected = &self.projected;
        self.claims
            .retain(|unit, claim| now < claim.until_ms && is_waiting(projected, *unit));
        let mut desk = Desk {
            entitled: self.entitled(),
            most: self.most(),
            claimed: BTreeMap::new(),
            reserved: BTreeMap::new(),
            reservations: 0,
        };
        for (unit, claim) in &self.claims {
            let Some((_job, step)) = self.projected.step(*unit) else {
                continue;
            };
            for worker in &claim.workers {
                let held = desk.claimed.entry(*worker).or_default();
                *held = held.plus(&step.per_task);
            }
        }
        let mut order: Vec<Rank> = self
            .projected
            .ready()
            .map(|id| self.rank(&desk, id))
            .collect();
        order.sort_unstable();
        // Units that differ in nothing the search looks at fail together.
        let mut failed: map::Set<(JobId, u32, u32)> = map::Set::default();
        for (_lower, _priority, _due, id) in order {
            if failed.contains(&(id.job, id.occurrence, id.step)) {
                continue;
            }
            if !self.try_unit(&mut desk, id) {
                failed.insert((id.job, id.occurrence, id.step));
            }
        }
    }

    fn most(&self) -> map::Map<String, Amount> {
        let mut most: map::Map<String, Amount> = map::Map::default();
        for (key, worker) in self.projected.workers() {
            if self.is_usable(key) {
                let free = worker.info.total.minus(&worker.used);
                let sum = most.entry(worker.info.service.clone()).or_default();
                *sum = sum.max(&free);
            }
        }
        most
    }

    fn rank(&self, desk: &Desk, id: UnitId) -> Rank {
        let Some(job) = self.projected.job(id.job) else {
            return (true, u32::MAX, Millis::MAX, id);
        };
        let due = job.due_ms(id.occurrence);
        (
            !desk.entitled.contains(&id.job),
            job.queue.priority,
            due,
            id,
        )
    }

    /// Most urgent jobs that fit into what their account is guaranteed, the earliest first.
    fn entitled(&self) -> map::Set<JobId> {
        let mut urgent: Vec<(Millis, JobId, &str, u64)> = Vec::new();
        for job in self.projected.jobs() {
            if job.state == State::Open && job.queue.priority == 0 && !job.account.is_empty() {
                urgent.push((
                    job.accepted_ms,
                    job.id,
                    &job.account,
                    job.spec.peak_accelerators(),
                ));
            }
        }
        urgent.sort_unstable();
        let mut left: map::Map<&str, u64> = map::Map::default();
        let mut entitled = map::Set::default();
        for (_accepted, id, account, need) in urgent {
            let guaranteed = || self.projected.catalog().guaranteed(account);
            let left = left.entry(account).or_insert_with(guaranteed);
            if need <= *left {
                *left -= need;
                entitled.insert(id);
            }
        }
        entitled
    }

    /// Places a unit, makes room for it or reserves some; tells whether it was placed.
    fn try_unit(&mut self, desk: &mut Desk, id: UnitId) -> bool {
        let Some((job, step)) = self.projected.step(id) else {
            return false;
        };
        let (step, service) = (step.clone(), job.queue.service.clone());
        let Some(unit) = self.projected.unit(id).cloned() else {
            return false;
        };
        self.release_claim(desk, id, &step);
        match self.find(desk, id, &unit, &step) {
            Some((workers, stopped)) if stopped.is_empty() => {
                self.place(id, &unit, workers);
                true
            }
            Some((workers, stopped)) => {
                self.claim(desk, id, &step, workers, stopped);
                false
            }
            None => {
                self.reserve(desk, id, &step, unit.tasks, &service);
                false
            }
        }
    }

    /// Workers for a unit, and the runs that must give way there.
    fn find(
        &self,
        desk: &Desk,
        id: UnitId,
        unit: &Unit,
        step: &Step,
    ) -> Option<(Vec<WorkerKey>, Vec<UnitId>)> {
        let job = self.projected.job(id.job)?;
        let (service, priority) = (&job.queue.service, job.queue.priority);
        let end_ms = self.wall + step.estimate_ms;
        let entitled = desk.entitled.contains(&id.job);
        let may_reclaim = entitled || priority == 0 && end_ms <= job.due_ms(id.occurrence);
        let fits = desk
            .most
            .get(service)
            .is_some_and(|most| most.fits(&step.per_task));
        if !fits && !may_reclaim {
            return None;
        }
        let offers = self.offers(desk, id, unit, service);
        let ask = |reach: &Scope| Request {
            step,
            tasks: unit.tasks,
            scope: *reach,
            end_ms,
        };
        let reaches = self.reaches(unit, priority);
        let mut places = reaches
            .iter()
            .map(|reach| place::place(&ask(reach), &offers));
        if let Some(workers) = places.find_map(|found| found) {
            return Some((workers, Vec::new()));
        }
        if !may_reclaim {
            return None;
        }
        let victims = self.victims(desk, entitled, priority);
        let mut rooms = reaches
            .iter()
            .map(|reach| place::reclaim(&ask(reach), &offers, &victims));
        rooms.find_map(|found| found)
    }

    /// How far a unit may go after its wait, the best first.
    fn reaches(&self, unit: &Unit, priority: u32) -> &'static [Scope] {
        let patience_ms = if priority == 0 {
            URGENT_IDEAL_WAIT_MS
        } else {
            IDEAL_WAIT_MS
        };
        if self.wall.saturating_sub(unit.ready_ms) >= patience_ms {
            &[Scope::Ideal, Scope::Anywhere]
        } else {
            &[Scope::Ideal]
        }
    }

    fn place(&mut self, id: UnitId, unit: &Unit, workers: Vec<WorkerKey>) {
        let run = unit.last_run + 1;
        let waited_ms = self.wall.saturating_sub(unit.ready_ms);
        let keys: Vec<u64> = workers.iter().map(|key| key.0).collect();
        log::info!(job:% = format_args!("{:016x}", id.job), step = id.step, first = id.first, run = run;
            "place on {keys:?} after {waited_ms} ms");
        self.push(Command::Place {
            unit: id,
            run,
            workers,
        });
    }

    fn claim(
        &mut self,
        desk: &mut Desk,
        id: UnitId,
        step: &Step,
        workers: Vec<WorkerKey>,
        stopped: Vec<UnitId>,
    ) {
        for worker in &workers {
            let held = desk.claimed.entry(*worker).or_default();
            *held = held.plus(&step.per_task);
        }
        let (job, step) = (id.job, id.step);
        for unit in stopped {
            self.stop(unit, Cause::Reclaimed { job, step });
        }
        let until_ms = self.now + CLAIM_MS;
        self.claims.insert(id, Claim { workers, until_ms });
    }

    /// Gives a unit its own claim back, so that the search sees the room.
    fn release_claim(&mut self, desk: &mut Desk, id: UnitId, step: &Step) {
        let Some(claim) = self.claims.remove(&id) else {
            return;
        };
        for worker in &claim.workers {
            if let Some(held) = desk.claimed.get_mut(worker) {
                *held = held.minus(&step.per_task);
            }
        }
    }

    /// Workers of a service that may get something now.
    fn offers<'a>(
        &'a self,
        desk: &Desk,
        id: UnitId,
        unit: &Unit,
        service: &str,
    ) -> Vec<Candidate<'a>> {
        let mut offers = Vec::new();
        let patient = self.wall < unit.ready_ms + BAD_WAIT_MS;
        for (key, worker) in self.projected.workers() {
            let usable = worker.info.service == service && self.is_usable(key);
            if !usable {
                continue;
            }
            let same = |task: &crate::flow::Task| {
                task.job == id.job && task.occurrence == id.occurrence && task.step == id.step
            };
            let step_tasks = worker.runs.keys().filter(|task| same(task)).count() as u32;
            let claimed = desk.claimed.get(&key).copied().unwrap_or_default();
            let failed_here = unit.failed_workers.contains(&key);
            if failed_here && patient {
                continue;
            }
            offers.push(Candidate {
                key,
                info: &worker.info,
                free: worker.info.total.minus(&worker.used).minus(&claimed),
                step_tasks,
                reserved_ms: desk.reserved.get(&key).copied(),
                doubtful: failed_here || self.is_doubtful(key),
            });
        }
        offers
    }

    /// Whether a worker may get something now.
    pub fn is_usable(&self, key: WorkerKey) -> bool {
        if self
            .projected
            .worker(key)
            .is_none_or(|worker| worker.fenced)
        {
            return false;
        }
        self.seen.get(&key).is_some_and(|seen| {
            seen.answers
                && !seen.leaving
                && self.now < seen.heard_ms + SILENT_MS
                && self.now >= seen.quarantined_ms
        })
    }

    /// Runs that a unit of this right may have stopped. Those that are ending already count as
    /// room to come at no cost.
    fn victims(&self, desk: &Desk, entitled: bool, priority: u32) -> Vec<Victim> {
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
            let lower = job.queue.priority > priority || entitled;
            let ending = running.stop.is_some();
            let spared = !entitled && unit.last_run >= SPARED_RUNS;
            if !ending && (desk.entitled.contains(&id.job) || !lower || spared) {
                continue;
            }
            let open = running.members.iter().filter(|member| member.end.is_none());
            let holds: Vec<_> = open.map(|member| (member.worker, step.per_task)).collect();
            let ran_ms = self.wall.saturating_sub(running.placed_ms);
            let lost_ms = if step.checkpoints {
                ran_ms.min(CHECKPOINT_COST_MS)
            } else {
                ran_ms
            };
            let weight = step.per_task.weighted_millicpus() * holds.len() as u64 / 1_000;
            // What is more urgent, and what has been stopped before, is stopped rather last.
            let dear = URGENCY_COST >> job.queue.priority.min(LEAST_URGENT)
                << unit.last_run.min(DEAR_RUNS);
            let cost = if ending {
                1
            } else {
                (lost_ms + STOP_COST_MS) * weight * dear
            };
            victims.push(Victim {
                unit: id,
                cost,
                holds: merged(holds),
            });
        }
        victims
    }

    /// Keeps workers for a unit that fits nowhere yet, from the time on when it will.
    fn reserve(&self, desk: &mut Desk, id: UnitId, step: &Step, tasks: u32, service: &str) {
        if desk.reservations >= MAX_RESERVATIONS {
            return;
        }
        let mut free: BTreeMap<WorkerKey, Amount> = BTreeMap::new();
        let mut ends: Vec<(Millis, WorkerKey, Amount)> = Vec::new();
        for (key, worker) in self.projected.workers() {
            let labelled = step.label.as_ref();
            let labelled = labelled.is_none_or(|label| worker.info.labels.contains(label));
            if worker.info.service == service && labelled && self.is_usable(key) {
                free.insert(key, worker.info.total.minus(&worker.used));
            }
        }
        for unit in self.projected.active() {
            let (Some((_job, other)), Some(state)) =
                (self.projected.step(unit), self.projected.unit(unit))
            else {
                continue;
            };
            let Some(running) = &state.running else {
                continue;
            };
            let end_ms = (running.placed_ms + other.estimate_ms).max(self.wall + 1);
            for member in running.members.iter().filter(|member| member.end.is_none()) {
                ends.push((end_ms, member.worker, other.per_task));
            }
        }
        ends.sort_unstable_by_key(|(end_ms, key, _amount)| (*end_ms, *key));
        let fits = |room: &Amount| room.count_fitting(&step.per_task, u64::from(tasks));
        let mut total: u64 = free.values().map(fits).sum();
        for (end_ms, key, amount) in ends {
            let Some(room) = free.get_mut(&key) else {
                continue;
            };
            total -= fits(room);
            *room = room.plus(&amount);
            total += fits(room);
            if total < u64::from(tasks) {
                continue;
            }
            // The workers with most room are kept; others may still take long work.
            let mut best: Vec<(u64, WorkerKey)> =
                free.iter().map(|(key, room)| (fits(room), *key)).collect();
            best.sort_unstable_by(|a, b| b.cmp(a));
            let mut left = u64::from(tasks);
            for (places, key) in best {
                if left == 0 {
                    break;
                }
                left = left.saturating_sub(places);
                desk.reserved.entry(key).or_insert(end_ms);
            }
            desk.reservations += 1;
            log::debug!(job:% = format_args!("{:016x}", id.job), step = id.step; "reserved from {end_ms} on");
            return;
        }
    }
}

/// Sums what one unit holds on each worker.
fn merged(holds: Vec<(WorkerKey, Amount)>) -> Vec<(WorkerKey, Amount)> {
    let mut sums: BTreeMap<WorkerKey, Amount> = BTreeMap::new();
    for (key, amount) in holds {
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
