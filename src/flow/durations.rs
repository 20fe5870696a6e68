//! What finished runs have taught about durations, as a part of the replicated state.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::estimate::log2::{DOUBLING, Log};
use crate::estimate::mean::Mean;
use crate::estimate::{Estimate, Key, MAX_KEYS, Table};
use crate::flow::registry::End;
use crate::flow::{JobId, Millis, UnitId, WorkerKey};

/// Maximum number of steps with finished runs; the one that was learned least recently is dropped.
pub const MAX_STEPS: usize = 4_096;

/// Maximum number of workers whose speed is stored; the one observed least recently is dropped.
pub const MAX_WORKERS: usize = 4_096;

/// Number of runs on a worker from which on it may count as slow.
const MIN_WORKER_RUNS: u32 = 4;

/// Mean excess over the estimate from which on a worker counts as slow: a factor of 1.5.
const SLOW_EXCESS: i64 = DOUBLING * 585 / 1_000;

/// Largest excess of one run over its estimate that counts: one run that takes seven times as long
/// does not make a worker slow.
const MAX_EXCESS: i64 = DOUBLING;

/// Variance of the excess that is assumed before there are runs.
const PRIOR_EXCESS_VARIANCE: i64 = DOUBLING * DOUBLING / 4;

/// Number of samples behind an estimate from which on a worker's run is held against it.
const MIN_ESTIMATE_SAMPLES: u32 = 3;

/// Number of runs in a row under one key that may be left out because of slow workers. After it the
/// durations have more probably changed than all workers have become slow.
const MAX_SLOW_IN_A_ROW: u8 = 8;

/// What the end of a run meant for the estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Outcome {
    /// It was used as a sample.
    Used,
    /// It continued from a checkpoint.
    Resumed,
    /// It was not the unit's first run.
    Restarted,
    /// It ran away from its data, or spread over racks.
    Remote,
    /// A worker on which it ran is slow.
    SlowWorker,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone,
    Absent,
}

/// Number of outcomes.
pub const OUTCOMES: usize = 11;

impl Outcome {
    /// All outcomes in order.
    pub const ALL: [Self; OUTCOMES] = [
        Self::Used,
        Self::Resumed,
        Self::Restarted,
        Self::Remote,
        Self::SlowWorker,
        Self::Failed,
        Self::Stopped,
        Self::Lapsed,
        Self::Broken,
        Self::Alone,
        Self::Absent,
    ];

    /// Returns the value of the metric's label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Used => "used",
            Self::Resumed => "resumed",
            Self::Restarted => "restarted",
            Self::Remote => "remote",
            Self::SlowWorker => "slow-worker",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
            Self::Absent => "absent",
        }
    }

    /// Returns the outcome of a run that ended without a result.
    pub fn unfinished(end: End) -> Option<Self> {
        Some(match end {
            End::Done => return None,
            End::Failed => Self::Failed,
            End::Stopped => Self::Stopped,
            End::Lapsed => Self::Lapsed,
            End::Broken => Self::Broken,
            End::Alone => Self::Alone,
            End::Absent => Self::Absent,
        })
    }
}

/// Step of an occurrence of a job.
type StepId = (JobId, u32, u32);

fn step_of(unit: UnitId) -> StepId {
    (unit.job, unit.occurrence, unit.step)
}

/// A mean with the time of its last change, in numbers of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Dated {
    mean: Mean,
    changed: u64,
}

/// A run that has completed its unit.
#[derive(Clone, Debug)]
pub struct Finished {
    pub unit: UnitId,
    pub key: Key,
    /// Duration that the caller has named.
    pub caller_ms: Millis,
    pub run_ms: Millis,
    /// Workers of the run, each once.
    pub workers: Vec<WorkerKey>,
    /// Why the run says nothing about the usual duration, apart from slow workers.
    pub excluded: Option<Outcome>,
}

/// Durations learned from finished runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Durations {
    table: Table,
    /// Finished runs of the steps of open jobs.
    steps: BTreeMap<StepId, Dated>,
    /// Excess of the runs on each worker over their estimates.
    workers: BTreeMap<WorkerKey, Dated>,
    /// Number of runs in a row that were left out because of slow workers.
    slow_in_a_row: BTreeMap<Key, u8>,
    /// Number of runs by outcome.
    counts: [u64; OUTCOMES],
    /// Number of changes.
    clock: u64,
}

impl Durations {
    /// Returns the estimate of a unit's run.
    pub fn estimate(&self, unit: UnitId, key: Key, caller_ms: Millis) -> Estimate {
        let step = self.steps.get(&step_of(unit));
        let step = step.map_or_else(Mean::default, |step| step.mean);
        self.table.estimate(key, caller_ms, &step)
    }

    /// Learns from a run that has completed its unit.
    pub fn finish(&mut self, finished: &Finished) {
        self.clock += 1;
        let outcome = finished.excluded.unwrap_or_else(|| self.judge(finished));
        self.count(outcome);
        if outcome == Outcome::Used {
            let step = step_of(finished.unit);
            if !self.steps.contains_key(&step) {
                drop_oldest(&mut self.steps, MAX_STEPS);
            }
            let dated = self.steps.entry(step).or_default();
            dated.changed = self.clock;
            let (key, caller_ms) = (finished.key, finished.caller_ms);
            self.table
                .observe_run(key, caller_ms, &mut dated.mean, finished.run_ms);
        }
    }

    /// Learns the duration of a step all of whose units are done.
    pub fn finish_step(&mut self, unit: UnitId, key: Key, caller_ms: Millis) {
        if let Some(step) = self.steps.get(&step_of(unit)) {
            self.clock += 1;
            self.table.observe_step(key, caller_ms, &step.mean);
        }
    }

    /// Counts a run that was not used as a sample.
    pub fn count(&mut self, outcome: Outcome) {
        if let Some(count) = self.counts.get_mut(outcome as usize) {
            *count += 1;
        }
    }

    /// Forgets the runs of a job that has ended. What they have taught about their queue stays.
    pub fn forget_job(&mut self, job: JobId) {
        let steps = self.steps.range((job, 0, 0)..=(job, u32::MAX, u32::MAX));
        let steps: Vec<StepId> = steps.map(|(step, _dated)| *step).collect();
        for step in steps {
            self.clock += 1;
            self.steps.remove(&step);
        }
    }

    /// Forgets a worker.
    pub fn forget_worker(&mut self, worker: WorkerKey) {
        self.workers.remove(&worker);
    }

    /// Reports whether the recent runs on a worker took much longer than estimated.
    pub fn is_slow(&self, worker: WorkerKey) -> bool {
        self.workers.get(&worker).is_some_and(|dated| {
            dated.mean.count() >= MIN_WORKER_RUNS && dated.mean.units() > SLOW_EXCESS
        })
    }

    /// Returns the number of runs with an outcome.
    pub fn outcomes(&self, outcome: Outcome) -> u64 {
        self.counts.get(outcome as usize).copied().unwrap_or(0)
    }

    /// Returns the numbers of runs by outcome, in the order of `Outcome::ALL`.
    pub fn counts(&self) -> [u64; OUTCOMES] {
        self.counts
    }

    /// Returns the number of changes so far. As long as it is the same, so are all estimates.
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// Updates the speed of the run's worker, and decides whether the run is a sample.
    fn judge(&mut self, finished: &Finished) -> Outcome {
        let estimate = self.estimate(finished.unit, finished.key, finished.caller_ms);
        // The run of a gang says nothing about which of its workers is slow.
        if let [worker] = finished.workers[..]
            && estimate.samples >= MIN_ESTIMATE_SAMPLES
        {
            let excess = Log::of(finished.run_ms).units() - Log::of(estimate.expected_ms).units();
            let excess = Log::from_units(excess.clamp(-MAX_EXCESS, MAX_EXCESS));
            if !self.workers.contains_key(&worker) {
                drop_oldest(&mut self.workers, MAX_WORKERS);
            }
            let dated = self.workers.entry(worker).or_default();
            dated.changed = self.clock;
            dated.mean.add(excess, PRIOR_EXCESS_VARIANCE);
        }
        if !finished.workers.iter().any(|worker| self.is_slow(*worker)) {
            self.slow_in_a_row.remove(&finished.key);
            return Outcome::Used;
        }
        if self.slow_in_a_row.len() >= MAX_KEYS {
            self.slow_in_a_row.pop_first();
        }
        let in_a_row = self.slow_in_a_row.entry(finished.key).or_default();
        if *in_a_row >= MAX_SLOW_IN_A_ROW {
            return Outcome::Used;
        }
        *in_a_row += 1;
        Outcome::SlowWorker
    }
}

/// Removes the entry that was changed least recently if the map has reached its maximum size.
fn drop_oldest<K: Copy + Ord>(map: &mut BTreeMap<K, Dated>, max: usize) {
    if map.len() < max {
        return;
    }
    let oldest = map.iter().min_by_key(|(_key, dated)| dated.changed);
    if let Some(oldest) = oldest.map(|(key, _dated)| *key) {
        map.remove(&oldest);
    }
}
