//! Relocation: a run is stopped so that its unit starts elsewhere, in free capacity that is held for it
//! until the stop has ended.

use std::collections::BTreeMap;

use crate::flow::place;
use crate::flow::place::Scope;
use crate::flow::planner::Planner;
use crate::flow::planner::pass::{Context, FIRST_PROTECTED_RUN};
use crate::flow::planner::search::Search;
use crate::flow::registry::{Cause, State};
use crate::flow::{Millis, UnitId, WorkerKey};
use crate::telemetry;

/// Time in which a unit is moved at most once for each cause. It is longer than most runs.
const INTERVAL_MS: Millis = 30_000;

/// A run that should be moved, if there is room for it, and what that was decided by.
#[derive(Clone, Copy, Debug)]
pub(super) struct Plan {
    pub unit: UnitId,
    pub cause: Cause,
    /// Worker that makes the move necessary.
    pub worker: WorkerKey,
    pub percent: u32,
    /// Expected time until the run ends where it is.
    pub here_ms: Millis,
    /// Time left on a draining worker, or time of a fresh run elsewhere.
    pub limit_ms: Millis,
}

/// Free capacity that is held for a unit whose run is being stopped.
#[derive(Debug)]
struct Hold {
    workers: Vec<WorkerKey>,
    expires_ms: Millis,
}

/// Units that are being moved, and the times of recent moves.
#[derive(Debug, Default)]
pub(super) struct Table {
    holds: BTreeMap<UnitId, Hold>,
    recent: BTreeMap<(UnitId, &'static str), Millis>,
}

/// Returns the value of the metric's label.
fn label(cause: Cause) -> &'static str {
    match cause {
        Cause::Draining => "draining",
        _ => "slow",
    }
}

impl Planner {
    /// Reports whether a unit has been started often, so that it is moved only for a larger gain.
    pub(super) fn is_often_started(&self, id: UnitId) -> bool {
        let unit = self.projected.unit(id);
        unit.is_some_and(|unit| unit.last_run >= FIRST_PROTECTED_RUN)
    }

    /// Returns the units for which capacity is held until their runs have stopped.
    pub(super) fn relocating(&mut self) -> Vec<UnitId> {
        let (now, projected) = (self.now, &self.projected);
        let is_stopping = |id: &UnitId| {
            let running = projected.unit(*id).and_then(|unit| unit.running.as_ref());
            running.is_some_and(|running| running.stop.is_some())
        };
        let holds = &mut self.relocations.holds;
        holds.retain(|id, hold| now < hold.expires_ms && is_stopping(id));
        holds.keys().copied().collect()
    }

    /// Keeps the capacity that is held for a unit from the units that follow it in a pass. Returns
    /// false if none is held.
    pub(super) fn hold(&self, context: &mut Context, id: UnitId) -> bool {
        let hold = self.relocations.holds.get(&id);
        if let (Some(hold), Some((_job, step))) = (hold, self.projected.step(id)) {
            for worker in &hold.workers {
                let held = context.claimed.entry(*worker).or_default();
                *held = held.plus(&step.per_task);
            }
        }
        hold.is_some()
    }

    /// Moves runs away from draining and slow workers, at the end of a pass: units that wait have taken
    /// the free capacity that they can use.
    pub(super) fn relocate(&mut self, context: &mut Context) {
        let now = self.now;
        self.speeds.expire(now);
        let recent = &mut self.relocations.recent;
        recent.retain(|_move, at_ms| now < *at_ms + INTERVAL_MS);
        let mut plans = self.departing_runs();
        plans.extend(self.slowed_runs());
        for plan in plans {
            if self.may_move(&plan)
                && let Some(workers) = self.find_room(context, plan.unit)
            {
                self.start_move(context, &plan, workers);
            }
        }
    }

    /// Reports whether the whole run of a unit is active and has not been moved lately.
    fn may_move(&self, plan: &Plan) -> bool {
        let unit = self.projected.unit(plan.unit);
        let running = unit.and_then(|unit| unit.running.as_ref());
        let is_whole = running.is_some_and(|running| {
            running.stop.is_none() && running.members.iter().all(|member| member.end.is_none())
        });
        let job = self.projected.job(plan.unit.job);
        let is_open = job.is_some_and(|job| job.state == State::Open);
        let key = (plan.unit, label(plan.cause));
        is_whole && is_open && !self.relocations.recent.contains_key(&key)
    }

    /// Finds healthy workers for a whole unit in capacity that is free or that its run frees. A covered
    /// unit leaves the cells of other guarantees alone.
    fn find_room(&self, context: &mut Context, id: UnitId) -> Option<Vec<WorkerKey>> {
        let (job, step) = self.projected.step(id)?;
        // At least one task needs another worker, which saves most searches under load.
        let max_free = self.max_free(context, &job.queue.service);
        if !max_free.fits(&step.per_task) {
            return None;
        }
        let is_covered = context.guaranteed_jobs.contains(&id.job);
        if is_covered {
            self.update_spare(context, id, &[]);
        }
        let search = Search::new(self, context, id, is_covered)?;
        let request = search.request(Scope::Ideal);
        let mut candidates = search.all_candidates();
        candidates.retain(|candidate| !candidate.is_slow && !candidate.has_recent_failure);
        let running = self.projected.unit(id)?.running.as_ref()?;
        for candidate in &mut candidates {
            let own = running.members.iter();
            let own = own.filter(|member| member.worker == candidate.key).count();
            let held = request.step.per_task.scaled(own as u64);
            candidate.free = candidate.free.plus(&held);
            candidate.step_tasks = candidate.step_tasks.saturating_sub(own as u32);
        }
        place::place(&request, &candidates)
    }

    fn start_move(&mut self, context: &mut Context, plan: &Plan, workers: Vec<WorkerKey>) {
        let (id, cause) = (plan.unit, plan.cause);
        let worker = self.projected.worker(plan.worker);
        let name = worker.map_or("", |worker| worker.info.name.as_str());
        let unit = self.projected.unit(id);
        let runs = unit.map_or(0, |unit| unit.last_run);
        let is_covered = context.guaranteed_jobs.contains(&id.job);
        let to: Vec<u64> = workers.iter().map(|key| key.0).collect();
        log::info!(job:% = format_args!("{:016x}", id.job), step = id.step, first = id.first, run = runs,
            worker = name, percent = plan.percent, here_ms = plan.here_ms, limit_ms = plan.limit_ms,
            covered = is_covered; "moving run to workers {to:?}: {cause}");
        telemetry::RUNS_MOVED
            .with_label_values(&[label(cause)])
            .inc();
        self.stop(id, cause);
        let expires_ms = self.now + self.options.bounds.claim_timeout_ms();
        let recent = &mut self.relocations.recent;
        recent.insert((id, label(cause)), self.now);
        let hold = Hold {
            workers,
            expires_ms,
        };
        self.relocations.holds.insert(id, hold);
        self.hold(context, id);
    }
}
