//! Estimates of run durations, and what the ends of runs teach about them.

use std::collections::BTreeSet;

use crate::estimate::{Estimate, Key};
use crate::flow::durations::{Durations, Finished, Outcome};
use crate::flow::job::Step;
use crate::flow::registry::{End, Job, Registry, Running, State, Unit};
use crate::flow::{Millis, UnitId, WorkerKey};

/// Returns the key under which the durations of a step are learned.
fn key(job: &Job, step: u32) -> Key {
    Key::new(&[&job.queue.name], step)
}

impl Registry {
    /// Returns what finished runs have taught.
    pub fn durations(&self) -> &Durations {
        &self.durations
    }

    /// Returns the estimate of a unit's run; zero if its job is not stored. All units of a step have the
    /// same one.
    pub fn estimate(&self, id: UnitId) -> Estimate {
        let Some((job, step)) = self.step(id) else {
            return Estimate::default();
        };
        self.step_estimate(job, step, id)
    }

    fn step_estimate(&self, job: &Job, step: &Step, id: UnitId) -> Estimate {
        if step.long_running {
            return Estimate {
                expected_ms: step.estimate_ms,
                high_ms: step.estimate_ms,
                ..Estimate::default()
            };
        }
        self.durations
            .estimate(id, key(job, id.step), step.estimate_ms)
    }

    /// Returns what a run says about durations that is about to end as done, if it completes its unit.
    pub(super) fn finished(&self, now: Millis, id: UnitId, end: End) -> Option<Finished> {
        let (job, step) = self.step(id)?;
        let unit = self.unit(id)?;
        let running = unit.running.as_ref()?;
        if end != End::Done || unit.done || step.long_running {
            return None;
        }
        let members = running.members.iter();
        let workers: BTreeSet<WorkerKey> = members.map(|member| member.worker).collect();
        let workers: Vec<WorkerKey> = workers.into_iter().collect();
        Some(Finished {
            unit: id,
            key: key(job, id.step),
            caller_ms: step.estimate_ms,
            run_ms: now.saturating_sub(running.placed_ms),
            excluded: self.exclusion(step, unit, &workers),
            workers,
        })
    }

    fn exclusion(&self, step: &Step, unit: &Unit, workers: &[WorkerKey]) -> Option<Outcome> {
        const FIRST_RUN: u32 = 1;
        if !unit.checkpoint.is_empty() {
            return Some(Outcome::Resumed);
        }
        if unit.last_run > FIRST_RUN {
            return Some(Outcome::Restarted);
        }
        self.is_remote(step, workers).then_some(Outcome::Remote)
    }

    /// Reports whether a run on these workers is away from its data or spread over racks.
    pub fn is_remote(&self, step: &Step, workers: &[WorkerKey]) -> bool {
        let racks: BTreeSet<(&str, &str)> = workers
            .iter()
            .filter_map(|key| self.workers.get(key))
            .map(|worker| (worker.info.region.as_str(), worker.info.rack.as_str()))
            .collect();
        let is_away = |data_rack: &String| racks.iter().any(|(_region, rack)| rack != data_rack);
        step.data_rack.as_ref().is_some_and(is_away) || step.rack_local && racks.len() > 1
    }

    /// Learns from the end of a run after the unit and the job have been updated. `finished` was built
    /// before.
    pub(super) fn learn(&mut self, id: UnitId, end: End, finished: Option<Finished>) {
        if let Some(finished) = finished {
            self.durations.finish(&finished);
            let job = self.jobs.get(&id.job);
            if job.is_some_and(|job| job.is_step_done(id.occurrence, id.step)) {
                let (key, caller_ms) = (finished.key, finished.caller_ms);
                self.durations.finish_step(id, key, caller_ms);
            }
        } else if let Some(unit) = self.unit(id)
            && !unit.done
            && unit.running.is_none()
            && let Some(outcome) = Outcome::unfinished(end)
        {
            self.durations.count(outcome);
        }
        let job = self.jobs.get(&id.job);
        if job.is_none_or(|job| job.state != State::Open) {
            self.durations.forget_job(id.job);
        }
    }
}

/// Returns the end that explains best why a run has no result, given that of its last member.
pub(super) fn main_end(running: &Running, last: End) -> End {
    const ORDER: [End; 4] = [End::Failed, End::Lapsed, End::Stopped, End::Alone];
    let mut ends = ORDER.into_iter();
    let main = ends.find(|end| *end == last || running.has_end(*end));
    main.unwrap_or(last)
}
