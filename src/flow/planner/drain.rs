//! Draining workers: their runs are moved if they will not end in the time that is left.

use std::collections::{BTreeMap, BTreeSet};

use crate::flow::planner::{Planner, relocate};
use crate::flow::registry::Cause;
use crate::flow::{Millis, UnitId, WorkerKey};

/// Time for which a draining worker serves on after the time that it has announced. A run that may end
/// in it is left alone.
const GRACE_MS: Millis = 500;

/// Expected duration from which on a run does not end in the time left, in percent of that time, if the
/// duration follows from measured progress.
const CLEAR_PERCENT: Millis = 130;

/// The same for a duration that follows from the step's estimate, which is off by about half.
const CLEAR_ESTIMATE_PERCENT: Millis = 200;

/// Factor on both for units that have been started often.
const CAUTION_FACTOR: Millis = 2;

/// Time left, besides that of the stop, from which on a run without checkpoints is stopped: its work is
/// lost either way, so only this time is gained.
const MIN_GAIN_MS: Millis = 500;

/// Draining workers, and the time at which each will leave at the earliest.
#[derive(Debug, Default)]
pub(super) struct Table(BTreeMap<WorkerKey, Millis>);

impl Table {
    /// Records what a report says. The announced time is not reduced until the worker announces another
    /// one, so that the earliest end counts.
    pub fn record(&mut self, now: Millis, key: WorkerKey, draining: bool, remaining_ms: Millis) {
        if !draining {
            self.0.remove(&key);
            return;
        }
        let leaves_ms = now.saturating_add(remaining_ms);
        let known = self.0.entry(key).or_insert(leaves_ms);
        *known = leaves_ms.min(*known);
    }

    /// Forgets a worker that is gone.
    pub fn remove(&mut self, key: WorkerKey) {
        self.0.remove(&key);
    }

    pub fn is_draining(&self, key: WorkerKey) -> bool {
        self.0.contains_key(&key)
    }
}

impl Planner {
    /// Returns the runs on draining workers that will not end in the time left, those with the least
    /// time first.
    pub(super) fn departing_runs(&self) -> Vec<relocate::Plan> {
        let workers = self.departures.0.keys();
        let workers = workers.filter_map(|key| self.projected.worker(*key));
        let tasks = workers.flat_map(|worker| worker.runs.keys());
        let units: BTreeSet<UnitId> = tasks
            .filter_map(|task| self.projected.unit_of(*task))
            .collect();
        let plans = units.into_iter().filter_map(|id| self.departing_run(id));
        let mut plans: Vec<relocate::Plan> = plans.collect();
        plans.sort_by_key(|plan| (plan.limit_ms, plan.unit));
        plans
    }

    fn departing_run(&self, id: UnitId) -> Option<relocate::Plan> {
        let (_job, step) = self.projected.step(id)?;
        let running = self.projected.unit(id)?.running.as_ref()?;
        let members = running.members.iter().map(|member| member.worker);
        let draining: Vec<WorkerKey> = members
            .filter(|key| self.departures.is_draining(*key))
            .collect();
        let leaves = draining.iter().filter_map(|key| {
            let leaves_ms = self.departures.0.get(key)?;
            Some((*leaves_ms, *key))
        });
        let (leaves_ms, worker) = leaves.min()?;
        let left_ms = leaves_ms.saturating_sub(self.now);
        let min_gain_ms = if step.checkpoints { 0 } else { MIN_GAIN_MS };
        if left_ms < self.options.bounds.stop_ms + min_gain_ms {
            return None;
        }
        let forecast = self.forecast(id, &draining)?;
        let percent = if forecast.is_measured {
            CLEAR_PERCENT
        } else {
            CLEAR_ESTIMATE_PERCENT
        };
        let caution = if self.is_often_started(id) {
            CAUTION_FACTOR
        } else {
            1
        };
        let limit_ms = (left_ms + GRACE_MS).saturating_mul(percent * caution) / 100;
        let is_late = step.long_running || forecast.remaining_ms > limit_ms;
        is_late.then_some(relocate::Plan {
            unit: id,
            cause: Cause::Draining,
            worker,
            percent: forecast.percent,
            here_ms: forecast.remaining_ms,
            limit_ms: left_ms,
        })
    }
}
