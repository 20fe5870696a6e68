//! The search for workers with enough free capacity for one unit.

use std::collections::BTreeSet;

use crate::flow::fleet::Service;
use crate::flow::job::{Amount, Step};
use crate::flow::place::{self, Candidate, Request, Scope, SortKey};
use crate::flow::planner::Planner;
use crate::flow::planner::pass::Context;
use crate::flow::registry::{Unit, Worker};
use crate::flow::{Millis, Task, UnitId, WorkerKey};

/// Time for which a unit waits for other workers before it is placed again where it has failed.
const FAILED_WORKER_WAIT_MS: Millis = 4_000;

/// Everything that decides where a unit may be placed.
pub(super) struct Search<'p, 'c> {
    planner: &'p Planner,
    context: &'c Context,
    id: UnitId,
    unit: &'p Unit,
    step: &'p Step,
    service: &'p Service,
    /// Whether the unit is limited to what its account may cover on each worker.
    is_limited: bool,
}

impl<'p, 'c> Search<'p, 'c> {
    /// Creates a search, if the unit's job is stored and its service has workers.
    pub fn new(
        planner: &'p Planner,
        context: &'c Context,
        id: UnitId,
        is_limited: bool,
    ) -> Option<Self> {
        let (job, step) = planner.projected.step(id)?;
        Some(Self {
            planner,
            context,
            id,
            unit: planner.projected.unit(id)?,
            step,
            service: planner.fleet.service(&job.queue.service)?,
            is_limited,
        })
    }

    /// Returns the request for the whole unit.
    pub fn request(&self, scope: Scope) -> Request<'p> {
        // A task that lasts and was at work must be again, so no reservation may lie before its end.
        let is_restart = self.step.long_running && self.unit.last_run > 0;
        let estimated_end_ms = if is_restart {
            self.planner.wall_now
        } else {
            self.planner.end_if_placed_ms(self.id)
        };
        Request {
            step: self.step,
            tasks: self.unit.tasks,
            scope,
            estimated_end_ms,
        }
    }

    /// Finds a worker for each task in free capacity. Returns nothing unless all tasks fit.
    pub fn place(&self, request: &Request<'_>) -> Option<Vec<WorkerKey>> {
        let step = request.step;
        let is_ideal = request.scope == Scope::Ideal;
        if let Some(data_rack) = step.data_rack.as_ref().filter(|_rack| is_ideal) {
            let racks = self
                .service
                .racks()
                .filter(|((_region, name), _keys)| name == data_rack);
            let keys: BTreeSet<WorkerKey> = racks
                .flat_map(|(_rack, keys)| keys.iter().copied())
                .collect();
            return place::place(request, &self.candidates(keys));
        }
        if is_ideal && step.rack_local && step.count > 1 {
            return place::place(request, &self.all_candidates());
        }
        self.place_anywhere(request)
    }

    /// Finds workers among all of the service, those with the least free capacity first.
    fn place_anywhere(&self, request: &Request<'_>) -> Option<Vec<WorkerKey>> {
        let special = self.special_workers();
        let mut ranked: Vec<(SortKey, u32)> = special
            .iter()
            .filter_map(|key| self.ranked(request, *key))
            .collect();
        ranked.sort_unstable();
        let mut ranked = ranked.into_iter().peekable();
        let ordinary = self.service.by_free(request.step.per_task.accelerators);
        let need = &request.step.per_task;
        let ordinary = ordinary.filter(|(key, free)| free.fits(need) && !special.contains(key));
        let mut ordinary = ordinary
            .filter_map(|(key, _free)| self.ranked(request, key))
            .peekable();
        let mut workers = Vec::new();
        while workers.len() < request.tasks as usize {
            let is_special_first = match (ranked.peek(), ordinary.peek()) {
                (Some(special), Some(ordinary)) => special.0 < ordinary.0,
                (Some(_special), None) => true,
                (None, Some(_ordinary)) => false,
                (None, None) => return None,
            };
            let next = if is_special_first {
                ranked.next()
            } else {
                ordinary.next()
            };
            let ((_failure, _accelerators, _millicpus, key), capacity) = next?;
            let count = (capacity as usize).min(request.tasks as usize - workers.len());
            workers.extend(std::iter::repeat_n(key, count));
        }
        Some(workers)
    }

    /// Returns the workers whose position differs from that by free capacity alone.
    fn special_workers(&self) -> BTreeSet<WorkerKey> {
        let claimed = self.context.claimed.keys();
        let failed = self.unit.failed_workers.iter();
        let failing = self.planner.failing_workers();
        let slow = self.planner.slow_workers();
        let special = claimed.chain(failed).copied().chain(failing).chain(slow);
        special
            .filter(|key| self.service.free(*key).is_some())
            .collect()
    }

    fn ranked(&self, request: &Request<'_>, key: WorkerKey) -> Option<(SortKey, u32)> {
        let candidate = self.candidate(key)?;
        let capacity = candidate.task_capacity(request);
        (capacity > 0).then(|| (candidate.sort_key(&candidate.free), capacity))
    }

    /// Returns the service's workers that may get new runs now.
    pub fn all_candidates(&self) -> Vec<Candidate<'p>> {
        self.candidates(self.service.workers())
    }

    /// Returns those of some workers that may get new runs now.
    fn candidates(&self, keys: impl IntoIterator<Item = WorkerKey>) -> Vec<Candidate<'p>> {
        keys.into_iter()
            .filter_map(|key| self.candidate(key))
            .collect()
    }

    fn candidate(&self, key: WorkerKey) -> Option<Candidate<'p>> {
        let planner = self.planner;
        let may_wait = planner.wall_now < self.unit.ready_ms + FAILED_WORKER_WAIT_MS;
        let has_failed = self.unit.failed_workers.contains(&key);
        if has_failed && may_wait || !planner.is_usable(key) {
            return None;
        }
        let worker = planner.projected.worker(key)?;
        let claimed = self.context.claimed.get(&key).copied().unwrap_or_default();
        Some(Candidate {
            key,
            info: &worker.info,
            free: self.free(key).minus(&claimed),
            step_tasks: self.step_tasks(worker),
            max_tasks: self.max_tasks(key),
            reserved_from_ms: self.context.reserved.get(&key).copied(),
            has_recent_failure: has_failed || planner.has_recent_failure(key),
            is_slow: planner.is_slow(key),
        })
    }

    fn max_tasks(&self, key: WorkerKey) -> u32 {
        let tasks = self.unit.tasks;
        let spare = self.context.spare.as_ref();
        let spare = spare.filter(|_spare| self.is_limited);
        spare.map_or(tasks, |spare| {
            spare.max_tasks(key, &self.step.per_task, tasks)
        })
    }

    fn free(&self, key: WorkerKey) -> Amount {
        self.service.free(key).unwrap_or_default()
    }

    /// Returns the number of tasks of the unit's step on a worker, if the step limits it.
    fn step_tasks(&self, worker: &Worker) -> u32 {
        if self.step.max_per_worker == 0 {
            return 0;
        }
        let task = |index| Task {
            index,
            ..self.id.task(0)
        };
        worker.runs.range(task(0)..=task(u32::MAX)).count() as u32
    }
}
