//! Detects stalled runs and faulty workers from reported progress and ends.

use std::collections::BTreeSet;

use crate::estimate::Source;
use crate::flow::job::Step;
use crate::flow::message::{Active, Report};
use crate::flow::planner::{Planner, Progress};
use crate::flow::registry::{Cause, End, Running};
use crate::flow::{Millis, Run, UnitId, WorkerKey};
use crate::telemetry;

/// Shortest time without progress after which a run counts as stalled. Progress is reported in whole per
/// cent: a run of ten minutes advances only every six seconds, so long runs are not watched.
const STALL_TIMEOUT_MS: Millis = 2_500;

/// Factor on the time in which a run should advance by one per cent, after which it counts as stalled. It
/// covers rough estimates and workers that are up to eight times slower; these are left to the watch
/// for slow workers.
const STALL_FACTOR: Millis = 8;

/// Estimated duration from which on a run is not watched for progress and never counts as stalled.
const MAX_WATCHED_ESTIMATE_MS: Millis = 120_000;

/// Duration of the quarantine of a worker whose runs have stalled.
const STALL_QUARANTINE_MS: Millis = 3_000;

/// Maximum age of the report by which progress is judged.
pub(super) const MAX_REPORT_AGE_MS: Millis = 1_500;

/// Number of different jobs that must fail in a row on a worker before it is quarantined.
const QUARANTINE_FAILED_JOBS: usize = 2;

/// Duration of a worker's first quarantine. It doubles with each further one.
const QUARANTINE_MS: Millis = 4_000;

/// Maximum number of doublings of the quarantine.
const MAX_QUARANTINE_DOUBLINGS: u32 = 3;

impl Planner {
    /// Records the reported progress of a worker's active runs.
    pub(super) fn record_progress(&mut self, key: WorkerKey, active: Vec<Active>) {
        let Some(observation) = self.observations.get_mut(&key) else {
            return;
        };
        let now = observation.listed_ms;
        let mut previous = std::mem::take(&mut observation.progress);
        for entry in active {
            let before = previous.remove(&entry.run);
            let has_advanced = before
                .as_ref()
                .is_none_or(|before| entry.percent > before.percent);
            let first = before.as_ref().and_then(|before| before.first);
            let first = first.or((entry.percent > 0).then_some((entry.percent, now)));
            let advanced_ms = match before {
                Some(before) if !has_advanced => before.advanced_ms,
                _ => now,
            };
            let progress = Progress {
                percent: entry.percent,
                advanced_ms,
                checkpoint: entry.checkpoint,
                first,
            };
            observation.progress.insert(entry.run, progress);
        }
    }

    /// Logs active runs of a worker whose tasks the log has on other workers. Each is logged once.
    pub(super) fn log_duplicates(&mut self, key: WorkerKey, report: &Report) {
        let is_elsewhere = |run: &Run| {
            let unit = self.projected.unit_of(run.task);
            let unit = unit.and_then(|id| Some((id, self.projected.unit(id)?)));
            unit.is_some_and(|(id, unit)| {
                let position = (run.task.index - id.first) as usize;
                let member = unit.running.as_ref();
                let member = member.and_then(|running| running.members.get(position));
                member.is_some_and(|member| member.worker != key && member.end.is_none())
            })
        };
        let runs = report.active.iter().map(|active| active.run);
        let duplicates: BTreeSet<Run> = runs.filter(is_elsewhere).collect();
        let Some(observation) = self.observations.get_mut(&key) else {
            return;
        };
        for run in duplicates.difference(&observation.duplicates) {
            telemetry::DUPLICATE_RUNS.inc();
            log::warn!(job:% = format_args!("{:016x}", run.task.job), step = run.task.step,
                index = run.task.index, run = run.number, worker = report.info.name, key = key.0,
                agent = report.instance; "run is active on a worker, but its task was placed on another one");
        }
        observation.duplicates = duplicates;
    }

    /// Reports whether a worker is quarantined.
    pub fn is_quarantined(&self, key: WorkerKey) -> bool {
        let observation = self.observations.get(&key);
        observation.is_some_and(|observation| self.now < observation.quarantined_until_ms)
    }

    /// Reports whether a run has failed on a worker, or was refused by it, since the last success or quarantine
    /// for failures.
    pub(super) fn has_recent_failure(&self, key: WorkerKey) -> bool {
        self.failing.contains(&key)
    }

    /// Records that a worker was to start a run and never did, so that others are chosen before it.
    pub(super) fn record_refusal(&mut self, key: WorkerKey) {
        if let Some(observation) = self.observations.get_mut(&key) {
            observation.has_refused = true;
            self.failing.insert(key);
        }
    }

    /// Returns the workers with a recent failure or refusal.
    pub(super) fn failing_workers(&self) -> impl Iterator<Item = WorkerKey> {
        self.failing.iter().copied()
    }

    /// Updates the failures in a row on a worker, and quarantines it when several jobs have failed.
    pub(super) fn update_failures(&mut self, key: WorkerKey, run: Run, end: End) {
        let now = self.now;
        let Some(observation) = self.observations.get_mut(&key) else {
            return;
        };
        match end {
            End::Done => {
                observation.failed_jobs.clear();
                observation.has_refused = false;
                observation.quarantine_count = 0;
            }
            End::Failed if !observation.failed_jobs.contains(&run.task.job) => {
                observation.failed_jobs.push(run.task.job)
            }
            _ => {}
        }
        if observation.failed_jobs.is_empty() && !observation.has_refused {
            self.failing.remove(&key);
        } else {
            self.failing.insert(key);
        }
        if observation.failed_jobs.len() >= QUARANTINE_FAILED_JOBS {
            self.failing.remove(&key);
            observation.failed_jobs.clear();
            observation.has_refused = false;
            let doublings = observation.quarantine_count.min(MAX_QUARANTINE_DOUBLINGS);
            observation.quarantine_count += 1;
            observation.quarantined_until_ms = now + (QUARANTINE_MS << doublings);
            log::warn!(worker = key.0; "worker quarantined: {QUARANTINE_FAILED_JOBS} jobs failed there in a row");
        }
    }
}

impl Planner {
    /// Stops stalled runs, and quarantines their workers if no other run makes progress there.
    pub(super) fn stop_stalled(&mut self) {
        // A run can only be seen to stall in the report of one of its workers.
        let reported = std::mem::take(&mut self.watched.reported);
        let workers = reported
            .iter()
            .filter_map(|key| self.projected.worker(*key));
        let tasks = workers.flat_map(|worker| worker.runs.keys());
        let units: BTreeSet<UnitId> = tasks
            .filter_map(|task| self.projected.unit_of(*task))
            .collect();
        let stalled: Vec<(UnitId, Vec<WorkerKey>)> = units
            .into_iter()
            .filter_map(|id| Some((id, self.stalled_workers(id)?)))
            .collect();
        for (unit, workers) in stalled {
            for key in workers {
                self.quarantine(key);
            }
            self.stop(unit, Cause::Stalled);
        }
    }

    /// Returns the workers of a unit whose run has stalled. Returns nothing for a run that advances
    /// or cannot be judged.
    fn stalled_workers(&self, id: UnitId) -> Option<Vec<WorkerKey>> {
        let (_job, step) = self.projected.step(id)?;
        let unit = self.projected.unit(id)?;
        let running = unit.running.as_ref()?;
        let estimate = self.projected.estimate(id);
        // With evidence, runs that are slow but not unusually so must not count as stalled either.
        let estimate_ms = match estimate.source {
            Source::Caller => estimate.expected_ms,
            _ => estimate.high_ms,
        };
        let is_watched = !step.long_running && estimate_ms < MAX_WATCHED_ESTIMATE_MS;
        if !is_watched
            || running.stop.is_some()
            || running.members.iter().any(|member| member.end.is_some())
        {
            return None;
        }
        let workers = workers_of(running);
        let percent_ms = self.percent_ms(step, estimate_ms, &workers);
        let stall_ms = percent_ms * STALL_FACTOR + MAX_REPORT_AGE_MS;
        let all_stalled = running
            .members
            .iter()
            .enumerate()
            .all(|(position, member)| {
                let run = Run {
                    task: id.task(position as u32),
                    number: unit.last_run,
                };
                self.is_stalled(member.worker, run, stall_ms)
            });
        all_stalled.then_some(workers)
    }

    /// Returns the time in which a run on these workers should advance by one per cent.
    fn percent_ms(&self, step: &Step, estimate_ms: Millis, workers: &[WorkerKey]) -> Millis {
        let is_remote = self.projected.is_remote(step, workers);
        let place_percent = if is_remote {
            self.options.bounds.remote_percent.max(100)
        } else {
            100
        };
        estimate_ms.saturating_mul(place_percent) / 100 / 100
    }

    /// Reports whether a run has not advanced on a worker for a time, which is `stall_ms` at least.
    fn is_stalled(&self, key: WorkerKey, run: Run, stall_ms: Millis) -> bool {
        let Some(observation) = self.observations.get(&key) else {
            return false;
        };
        let is_fresh =
            observation.responsive && self.now < observation.last_contact_ms + MAX_REPORT_AGE_MS;
        let has_stalled = |progress: &Progress| {
            let limit_ms = if progress.percent == 0 {
                self.options.bounds.startup_timeout_ms()
            } else {
                STALL_TIMEOUT_MS
            };
            observation.listed_ms >= progress.advanced_ms + limit_ms.max(stall_ms)
        };
        is_fresh && observation.progress.get(&run).is_some_and(has_stalled)
    }

    /// Quarantines a worker, unless one of its runs makes progress.
    fn quarantine(&mut self, key: WorkerKey) {
        let now = self.now;
        let Some(observation) = self.observations.get_mut(&key) else {
            return;
        };
        let listed_ms = observation.listed_ms;
        let advances = |progress: &Progress| {
            listed_ms < progress.advanced_ms + MAX_REPORT_AGE_MS && progress.percent > 0
        };
        if observation.progress.values().any(advances) {
            return;
        }
        observation.quarantined_until_ms = observation
            .quarantined_until_ms
            .max(now + STALL_QUARANTINE_MS);
        log::warn!(worker = key.0; "worker quarantined: no run makes progress there");
    }
}

fn workers_of(running: &Running) -> Vec<WorkerKey> {
    let mut workers: Vec<WorkerKey> = running.members.iter().map(|member| member.worker).collect();
    workers.sort_unstable();
    workers.dedup();
    workers
}
