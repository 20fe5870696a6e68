//! Searches for workers with enough free capacity for a whole unit, with or without preemption of
//! other runs.

use std::collections::BTreeSet;

use crate::flow::job::{Amount, Step};
use crate::flow::registry::Info;
use crate::flow::{Millis, UnitId, WorkerKey};
use crate::map;

/// The workers that a unit may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// Only workers that do not slow the unit down: those on the rack of its data, or else on any
    /// single rack if it is rack-local.
    Ideal,
    /// All workers.
    Anywhere,
}

/// A unit to place.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub step: &'a Step,
    pub tasks: u32,
    pub scope: Scope,
    /// Estimated end of its run, which must not overlap with the reservation of a worker.
    pub estimated_end_ms: Millis,
}

/// A run that may be preempted.
#[derive(Clone, Debug)]
pub struct Victim {
    pub unit: UnitId,
    /// Cost of preemption: the lost work in core-milliseconds, weighted.
    pub cost: u64,
    /// Resources that it holds on each worker.
    pub held: Vec<(WorkerKey, Amount)>,
}

/// A worker on which the unit may be placed.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    pub key: WorkerKey,
    pub info: &'a Info,
    pub free: Amount,
    /// Number of tasks of the same step on the worker.
    pub step_tasks: u32,
    /// Maximum number of the unit's tasks that the worker may take.
    pub max_tasks: u32,
    /// Time from which on the worker is reserved for another unit.
    pub reserved_from_ms: Option<Millis>,
    /// Whether the unit has failed on the worker, or any run has failed there since the last success
    /// or quarantine.
    pub has_recent_failure: bool,
    /// Whether runs advance far more slowly on the worker than elsewhere.
    pub is_slow: bool,
}

/// Sort key of a candidate: recent failure and slowness, free accelerators, free millicores, worker. The
/// candidate with the smallest key is used first.
pub type SortKey = ((bool, bool), u64, u64, WorkerKey);

impl Candidate<'_> {
    /// Reports whether the worker has the required label and is not reserved during the run.
    fn admits(&self, request: &Request<'_>) -> bool {
        let label = request.step.label.as_ref();
        label.is_none_or(|label| self.info.labels.contains(label))
            && self
                .reserved_from_ms
                .is_none_or(|from_ms| request.estimated_end_ms <= from_ms)
    }

    /// Returns how many tasks of the unit fit on the worker.
    pub fn task_capacity(&self, request: &Request<'_>) -> u32 {
        if !self.admits(request) {
            return 0;
        }
        let max_tasks = match request.step.max_per_worker {
            0 => request.tasks,
            max => max.saturating_sub(self.step_tasks),
        };
        let limit = u64::from(request.tasks.min(max_tasks).min(self.max_tasks));
        self.free.count_fitting(&request.step.per_task, limit) as u32
    }

    /// Returns the sort key. Workers with little free capacity come first, so that empty workers stay
    /// available for large tasks.
    pub fn sort_key(&self, free: &Amount) -> SortKey {
        (
            (self.has_recent_failure, self.is_slow),
            free.accelerators,
            free.millicpus,
            self.key,
        )
    }
}

/// Region and name of a rack.
type Rack<'a> = (&'a str, &'a str);

fn rack<'a>(info: &'a Info) -> Rack<'a> {
    (&info.region, &info.rack)
}

/// Finds a worker for each task in free capacity. Returns nothing unless all tasks fit.
pub fn place(request: &Request<'_>, candidates: &[Candidate<'_>]) -> Option<Vec<WorkerKey>> {
    let all: Vec<&Candidate<'_>> = candidates.iter().collect();
    worker_sets(request, &all)
        .into_iter()
        .filter_map(|set| fill(request, &set))
        .min_by_key(|(_workers, waste)| *waste)
        .map(|(workers, _waste)| workers)
}

/// Returns the sets of workers that are allowed by the scope. The unit must fit into one of them.
fn worker_sets<'o, 'a>(
    request: &Request<'_>,
    candidates: &[&'o Candidate<'a>],
) -> Vec<Vec<&'o Candidate<'a>>> {
    if request.scope == Scope::Anywhere {
        return vec![candidates.to_vec()];
    }
    if let Some(data_rack) = &request.step.data_rack {
        let on_rack = candidates
            .iter()
            .filter(|candidate| candidate.info.rack == *data_rack);
        return vec![on_rack.copied().collect()];
    }
    if request.step.rack_local && request.step.count > 1 {
        let mut racks: Vec<Rack<'_>> = candidates
            .iter()
            .map(|candidate| rack(candidate.info))
            .collect();
        racks.sort_unstable();
        racks.dedup();
        let workers_of = |name: Rack<'_>| {
            let on_rack = candidates
                .iter()
                .filter(|candidate| rack(candidate.info) == name);
            on_rack.copied().collect()
        };
        return racks.into_iter().map(workers_of).collect();
    }
    vec![candidates.to_vec()]
}

/// Assigns the tasks to workers in their sort order. Returns the workers, and a measure of waste: the
/// accelerators left free on the used workers, plus 1,000 for each worker with a recent failure and for
/// each slow one.
fn fill(request: &Request<'_>, set: &[&Candidate<'_>]) -> Option<(Vec<WorkerKey>, u64)> {
    let mut capacities: Vec<(&Candidate<'_>, u32)> = set
        .iter()
        .map(|candidate| (*candidate, candidate.task_capacity(request)))
        .filter(|(_candidate, capacity)| *capacity > 0)
        .collect();
    let total: u64 = capacities
        .iter()
        .map(|(_candidate, capacity)| u64::from(*capacity))
        .sum();
    if total < u64::from(request.tasks) {
        return None;
    }
    capacities.sort_by_key(|(candidate, _capacity)| candidate.sort_key(&candidate.free));
    let mut workers = Vec::new();
    let mut waste = 0_u64;
    for (candidate, capacity) in capacities {
        let count = capacity.min(request.tasks - workers.len() as u32);
        workers.extend(std::iter::repeat_n(candidate.key, count as usize));
        let free_after = candidate
            .free
            .minus(&request.step.per_task.scaled(u64::from(count)));
        let failure = u64::from(candidate.has_recent_failure) + u64::from(candidate.is_slow);
        let failure = failure * 1_000;
        waste = free_after
            .accelerators
            .saturating_add(failure)
            .saturating_add(waste);
        if workers.len() as u32 == request.tasks {
            return Some((workers, waste));
        }
    }
    None
}

/// The runs that may be preempted for a unit, with an index by worker.
#[derive(Debug)]
pub struct Victims {
    all: Vec<Victim>,
    by_worker: Holdings,
}

impl Victims {
    /// Creates the index.
    pub fn new(all: Vec<Victim>) -> Self {
        let by_worker = holdings_by_worker(&all);
        Self { all, by_worker }
    }

    /// Returns all runs.
    pub fn all(&self) -> &[Victim] {
        &self.all
    }
}

/// Finds workers for all tasks by preempting the runs with the lowest cost. Free capacity is used
/// without preemption.
pub fn reclaim(
    request: &Request<'_>,
    candidates: &[Candidate<'_>],
    victims: &Victims,
) -> Option<(Vec<WorkerKey>, Vec<UnitId>)> {
    let all: Vec<&Candidate<'_>> = candidates.iter().collect();
    worker_sets(request, &all)
        .into_iter()
        .filter_map(|set| preempt(request, &set, victims))
        .min_by_key(|found| found.cost)
        .map(|found| (found.workers, found.stopped))
}

/// Holdings of the victims by worker: cost and index of the victim, and the resources that it holds
/// there; the cheapest first.
type Holdings = map::Map<WorkerKey, Vec<(u64, usize, Amount)>>;

fn holdings_by_worker(victims: &[Victim]) -> Holdings {
    let mut holdings: Holdings = map::Map::default();
    for (index, victim) in victims.iter().enumerate() {
        for (worker, amount) in &victim.held {
            let on_worker = holdings.entry(*worker).or_default();
            on_worker.push((victim.cost, index, *amount));
        }
    }
    for on_worker in holdings.values_mut() {
        on_worker.sort_unstable_by_key(|(cost, index, _amount)| (*cost, *index));
    }
    holdings
}

/// A placement that requires preemption.
struct Preemption {
    workers: Vec<WorkerKey>,
    stopped: Vec<UnitId>,
    cost: u64,
}

/// The way to place one task on a worker that costs least.
struct Assignment {
    /// Cost and the worker's sort key; the smallest is used first.
    rank: (u64, SortKey),
    /// Indexes of the victims.
    victims: Vec<usize>,
}

/// Assigns the tasks one by one, each to the worker on which it costs least. The way to place a task on
/// a worker is searched again only after something has changed there.
fn preempt(request: &Request<'_>, set: &[&Candidate<'_>], victims: &Victims) -> Option<Preemption> {
    let mut state = Trial::new(request, set, victims);
    let mut workers: Vec<WorkerKey> = Vec::new();
    let mut cost = 0;
    for _task in 0..request.tasks {
        let (best_cost, key) = state.assign()?;
        cost = best_cost.saturating_add(cost);
        workers.push(key);
    }
    let stopped = victims.all.iter().zip(&state.is_stopped);
    let stopped = stopped
        .filter(|(_victim, is_stopped)| **is_stopped)
        .map(|(victim, _is_stopped)| victim.unit)
        .collect();
    Some(Preemption {
        workers,
        stopped,
        cost,
    })
}

/// A worker in a trial: its free capacity with the victims so far stopped and the tasks so far placed.
struct Slot<'o, 'a> {
    candidate: &'o Candidate<'a>,
    free: Amount,
    step_tasks: u32,
    /// Number of the unit's tasks placed so far.
    placed: u32,
    assignment: Option<Assignment>,
}

/// A placement with preemption as far as it has been worked out.
struct Trial<'o, 'a, 'r> {
    request: &'o Request<'r>,
    victims: &'o Victims,
    is_stopped: Vec<bool>,
    slots: map::Map<WorkerKey, Slot<'o, 'a>>,
    ranks: BTreeSet<(u64, SortKey)>,
}

impl<'o, 'a, 'r> Trial<'o, 'a, 'r> {
    fn new(request: &'o Request<'r>, set: &[&'o Candidate<'a>], victims: &'o Victims) -> Self {
        let mut trial = Self {
            request,
            victims,
            is_stopped: vec![false; victims.all.len()],
            slots: map::Map::default(),
            ranks: BTreeSet::new(),
        };
        for candidate in set {
            let slot = Slot {
                candidate,
                free: candidate.free,
                step_tasks: candidate.step_tasks,
                placed: 0,
                assignment: None,
            };
            trial.slots.insert(candidate.key, slot);
            trial.update(candidate.key);
        }
        trial
    }

    /// Searches the best way to place a task on a worker.
    fn update(&mut self, key: WorkerKey) {
        let Some(slot) = self.slots.get_mut(&key) else {
            return;
        };
        if let Some(old) = slot.assignment.take() {
            self.ranks.remove(&old.rank);
        }
        let max_per_worker = self.request.step.max_per_worker;
        let admits = slot.candidate.admits(self.request)
            && slot.placed < slot.candidate.max_tasks
            && (max_per_worker == 0 || slot.step_tasks < max_per_worker);
        if !admits {
            return;
        }
        let on_worker = self
            .victims
            .by_worker
            .get(&key)
            .map_or(&[][..], Vec::as_slice);
        let found = cheapest_victims(self.request, &slot.free, on_worker, &self.is_stopped);
        if let Some((cost, victims)) = found {
            let rank = (cost, slot.candidate.sort_key(&slot.free));
            self.ranks.insert(rank);
            slot.assignment = Some(Assignment { rank, victims });
        }
    }

    /// Places one task where it costs least. Returns the cost and the worker.
    fn assign(&mut self) -> Option<(u64, WorkerKey)> {
        let (cost, (_failure, _accelerators, _millicpus, key)) = self.ranks.first().copied()?;
        let slot = self.slots.get_mut(&key)?;
        let chosen = slot.assignment.as_ref()?.victims.clone();
        let mut changed = vec![key];
        for index in chosen {
            self.is_stopped[index] = true;
            for (worker, amount) in &self.victims.all[index].held {
                if let Some(slot) = self.slots.get_mut(worker) {
                    slot.free = slot.free.plus(amount);
                    changed.push(*worker);
                }
            }
        }
        if let Some(slot) = self.slots.get_mut(&key) {
            slot.free = slot.free.minus(&self.request.step.per_task);
            slot.step_tasks += 1;
            slot.placed += 1;
        }
        for key in changed {
            self.update(key);
        }
        Some((cost, key))
    }
}

/// Finds the cheapest victims on a worker whose end frees enough capacity for one task. Returns their
/// total cost and their indexes.
fn cheapest_victims(
    request: &Request<'_>,
    free: &Amount,
    on_worker: &[(u64, usize, Amount)],
    is_stopped: &[bool],
) -> Option<(u64, Vec<usize>)> {
    let need = &request.step.per_task;
    if free.fits(need) {
        return Some((0, Vec::new()));
    }
    let mut available = *free;
    let mut chosen: Vec<(u64, usize, Amount)> = Vec::new();
    for entry in on_worker
        .iter()
        .filter(|(_cost, index, _amount)| !is_stopped[*index])
    {
        if available.fits(need) {
            break;
        }
        available = available.plus(&entry.2);
        chosen.push(*entry);
    }
    if !available.fits(need) {
        return None;
    }
    // Drops victims that are no longer needed because of larger ones chosen after them.
    let mut index = 0;
    while index < chosen.len() {
        let without = available.minus(&chosen[index].2);
        if without.fits(need) {
            available = without;
            chosen.remove(index);
        } else {
            index += 1;
        }
    }
    let costs = chosen.iter().map(|(cost, _index, _amount)| *cost);
    let cost = costs.fold(0, u64::saturating_add);
    Some((
        cost,
        chosen
            .into_iter()
            .map(|(_cost, index, _amount)| index)
            .collect(),
    ))
}
