//! Speed of runs and workers, measured by the percentages that the workers report.
//!
//! A worker is slow if its runs advance far more slowly than runs of the same step elsewhere, than they
//! did before, or than their step's estimate allows. See docs/design/drain-and-speed.md.

mod evidence;
mod pace;

use std::collections::{BTreeMap, BTreeSet};

use crate::flow::planner::speed::evidence::{Evidence, MEMORY_MS, SLOW_RATIO, Sample};
use crate::flow::planner::speed::pace::{MIN_GAIN, MIN_SPAN_MS, Pace};
use crate::flow::planner::watch::MAX_REPORT_AGE_MS;
use crate::flow::planner::{Planner, Progress, relocate};
use crate::flow::registry::Cause;
use crate::flow::{JobId, Millis, Run, Task, UnitId, WorkerKey};
use crate::telemetry;

/// Maximum number of steps whose speeds are stored.
const MAX_STEPS: usize = 1_024;

/// Factor by which a run may take longer than its estimate on a healthy worker.
const ESTIMATE_ERROR: f64 = 2.0;

/// Time between the decision to stop a run and the start of the next one, besides the stop itself.
const HANDOVER_MS: Millis = 500;

/// Ratio of the time left on a slow worker to that of a fresh run elsewhere, from which on a run is
/// moved.
const CLEAR_GAIN_FACTOR: Millis = 2;

/// The same ratio for units that have been started often.
const CAUTIOUS_GAIN_FACTOR: Millis = 3;

/// Speeds measured on the workers for a step, by worker: time of the measurement, and milliseconds for
/// one percent.
type Peers = BTreeMap<WorkerKey, (Millis, f64)>;

/// All measured speeds.
#[derive(Debug, Default)]
pub(super) struct Table {
    paces: BTreeMap<WorkerKey, BTreeMap<Run, Pace>>,
    evidence: BTreeMap<WorkerKey, Evidence>,
    /// Workers that are slow by their evidence.
    slow: BTreeSet<WorkerKey>,
    peers: BTreeMap<(JobId, u32), Peers>,
}

impl Table {
    /// Forgets a worker that is gone.
    pub fn remove(&mut self, key: WorkerKey) {
        self.paces.remove(&key);
        self.evidence.remove(&key);
        self.slow.remove(&key);
        telemetry::SLOW_WORKERS.set(self.slow.len() as i64);
    }

    /// Forgets workers that were slow and have had no new samples since.
    pub fn expire(&mut self, now: Millis) {
        let evidence = &self.evidence;
        let count = self.slow.len();
        self.slow.retain(|key| {
            let evidence = evidence.get(key);
            evidence.is_some_and(|evidence| now < evidence.sampled_ms + MEMORY_MS)
        });
        if self.slow.len() < count {
            log::info!(remaining = self.slow.len(); "slow workers forgotten: no run was measured there");
            telemetry::SLOW_WORKERS.set(self.slow.len() as i64);
        }
    }

    /// Adds a sample of a worker. Returns its mean, if it has become slow or healthy.
    fn add(&mut self, key: WorkerKey, now: Millis, sample: &Sample) -> Option<f64> {
        let evidence = self.evidence.entry(key).or_default();
        evidence.add(now, sample);
        let has_changed = if evidence.is_slow {
            self.slow.insert(key)
        } else {
            self.slow.remove(&key)
        };
        telemetry::SLOW_WORKERS.set(self.slow.len() as i64);
        has_changed.then_some(evidence.mean)
    }

    /// Records the percentages in a listing. Returns the runs that are due for a sample.
    fn record(
        &mut self,
        key: WorkerKey,
        listed_ms: Millis,
        progress: &BTreeMap<Run, Progress>,
    ) -> Vec<Run> {
        let paces = self.paces.entry(key).or_default();
        paces.retain(|run, _pace| progress.contains_key(run));
        let mut due = Vec::new();
        for (run, progress) in progress {
            let pace = paces.entry(*run).or_default();
            if listed_ms <= pace.listed_ms {
                continue;
            }
            pace.record(listed_ms, progress.percent);
            if listed_ms >= pace.sampled_ms + MIN_SPAN_MS && pace.recent().is_some() {
                pace.sampled_ms = listed_ms;
                due.push(*run);
            }
        }
        due
    }

    fn pace(&self, key: WorkerKey, run: Run) -> Option<&Pace> {
        self.paces.get(&key)?.get(&run)
    }

    fn is_slow(&self, key: WorkerKey, now: Millis) -> bool {
        let evidence = self.evidence.get(&key);
        let is_current = evidence.is_some_and(|evidence| now < evidence.sampled_ms + MEMORY_MS);
        is_current && self.slow.contains(&key)
    }

    fn slow(&self, now: Millis) -> impl Iterator<Item = WorkerKey> {
        let keys = self.slow.iter().copied();
        keys.filter(move |key| self.is_slow(*key, now))
    }

    /// Returns the median of the milliseconds for one percent of a step on other workers that are not
    /// slow.
    fn peer_ms(&self, key: WorkerKey, task: Task, now: Millis) -> Option<f64> {
        let peers = self.peers.get(&(task.job, task.step))?;
        let others = peers.iter().filter(|(other, (at_ms, _speed))| {
            **other != key && now < at_ms + MEMORY_MS && !self.is_slow(**other, now)
        });
        let mut speeds: Vec<f64> = others.map(|(_key, (_at_ms, speed))| *speed).collect();
        speeds.sort_unstable_by(f64::total_cmp);
        speeds.get(speeds.len() / 2).copied()
    }

    fn add_peer(&mut self, key: WorkerKey, task: Task, now: Millis, speed: f64) {
        let step = (task.job, task.step);
        if self.peers.len() >= MAX_STEPS && !self.peers.contains_key(&step) {
            for peers in self.peers.values_mut() {
                peers.retain(|_key, (at_ms, _speed)| now < *at_ms + MEMORY_MS);
            }
            self.peers.retain(|_step, peers| !peers.is_empty());
            if self.peers.len() >= MAX_STEPS {
                return;
            }
        }
        self.peers
            .entry(step)
            .or_default()
            .insert(key, (now, speed));
    }
}

/// How long a run still takes on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Forecast {
    pub remaining_ms: Millis,
    pub percent: u32,
    /// Whether the time follows from measured progress, rather than from the step's estimate.
    pub is_measured: bool,
}

impl Planner {
    /// Reports whether runs on a worker advance far more slowly than elsewhere.
    pub fn is_slow(&self, key: WorkerKey) -> bool {
        self.speeds.is_slow(key, self.now)
    }

    /// Returns the slow workers.
    pub(super) fn slow_workers(&self) -> impl Iterator<Item = WorkerKey> {
        self.speeds.slow(self.now)
    }

    /// Reports whether a worker's lists are recent enough to decide by.
    pub(super) fn is_listed(&self, key: WorkerKey) -> bool {
        self.observations.get(&key).is_some_and(|observation| {
            observation.responsive && self.now < observation.listed_ms + MAX_REPORT_AGE_MS
        })
    }

    /// Measures the speed of a worker's runs after a report.
    pub(super) fn record_speed(&mut self, key: WorkerKey) {
        let Some(observation) = self.observations.get(&key) else {
            return;
        };
        let listed_ms = observation.listed_ms;
        let due = self.speeds.record(key, listed_ms, &observation.progress);
        for run in due {
            self.record_sample(key, run);
        }
    }

    fn record_sample(&mut self, key: WorkerKey, run: Run) {
        if !self.is_comparable(key, run) {
            return;
        }
        let sample = self.sample(key, run);
        let recent = self.speeds.pace(key, run).and_then(Pace::recent);
        if let Some(recent) = recent.filter(|recent| recent.gain >= MIN_GAIN) {
            let speed = recent.ms_per_percent();
            self.speeds.add_peer(key, run.task, self.now, speed);
        }
        let Some(sample) = sample else {
            return;
        };
        let Some(mean) = self.speeds.add(key, self.now, &sample) else {
            return;
        };
        let name = self.projected.worker(key).map(|worker| &worker.info.name);
        let name = name.map_or("", String::as_str);
        if self.speeds.is_slow(key, self.now) {
            log::warn!(worker = name, key = key.0, dropped = sample.has_dropped,
                job:% = format_args!("{:016x}", run.task.job);
                "worker slow: its runs take {:.1} times as long", mean.exp2());
        } else {
            log::info!(worker = name, key = key.0; "worker no longer slow");
        }
        self.dirty = true;
    }

    /// Reports whether the speed of a run tells something of its worker: it is the current run of a
    /// unit on this worker alone, near its data.
    fn is_comparable(&self, key: WorkerKey, run: Run) -> bool {
        let Some(id) = self.projected.unit_of(run.task) else {
            return false;
        };
        let (Some((_job, step)), Some(unit)) = (self.projected.step(id), self.projected.unit(id))
        else {
            return false;
        };
        let (Some(running), Some(worker)) = (&unit.running, self.projected.worker(key)) else {
            return false;
        };
        let is_alone = running.members.iter().all(|member| member.worker == key);
        let rack = &worker.info.rack;
        let is_near = step.data_rack.as_ref().is_none_or(|name| name == rack);
        unit.last_run == run.number
            && running.stop.is_none()
            && is_alone
            && is_near
            && !step.long_running
    }

    /// Compares a run with itself before, with runs of its step on other workers, or else with its
    /// step's estimate.
    fn sample(&self, key: WorkerKey, run: Run) -> Option<Sample> {
        let task = run.task;
        let pace = self.speeds.pace(key, run)?;
        let recent = pace.recent()?;
        let sample = |ratio, has_dropped| Sample {
            task,
            ratio,
            has_dropped,
        };
        if let Some(earlier) = pace.earlier() {
            if recent.min_ms_per_percent() >= SLOW_RATIO * earlier.ms_per_percent() {
                let ratio = recent.min_ms_per_percent() / earlier.ms_per_percent();
                return Some(sample(ratio, true));
            }
            if recent.ms_per_percent() * SLOW_RATIO <= earlier.min_ms_per_percent() {
                return Some(sample(1.0, false));
            }
        }
        let is_exact = recent.gain >= MIN_GAIN;
        if let Some(peer_ms) = self.speeds.peer_ms(key, task, self.now) {
            let ratio = recent.min_ms_per_percent() / peer_ms.max(1.0);
            return (is_exact || ratio >= SLOW_RATIO).then(|| sample(ratio, false));
        }
        let (_job, step) = self
            .projected
            .step(self.projected.unit_of(task)?)
            .filter(|(_job, step)| step.estimate_ms > 0)?;
        let estimated_ms = step.estimate_ms as f64 / 100.0;
        let ratio = recent.min_ms_per_percent() / estimated_ms;
        if ratio <= 1.0 {
            return is_exact.then(|| sample(1.0, false));
        }
        (ratio >= ESTIMATE_ERROR * SLOW_RATIO).then(|| Sample {
            task: Task { index: 0, ..task },
            ratio: ratio / ESTIMATE_ERROR,
            has_dropped: false,
        })
    }

    /// Returns how long the run of a unit still takes where it is, if all its workers that are listed
    /// in `keys` report it as active. Of several members the earliest end counts, which ends the gang.
    pub(super) fn forecast(&self, id: UnitId, keys: &[WorkerKey]) -> Option<Forecast> {
        let (_job, step) = self.projected.step(id)?;
        let unit = self.projected.unit(id)?;
        let running = unit.running.as_ref()?;
        let elapsed_ms = self.wall_now.saturating_sub(running.placed_ms);
        let mut earliest: Option<Forecast> = None;
        for (position, member) in running.members.iter().enumerate() {
            let run = Run {
                task: id.task(position as u32),
                number: unit.last_run,
            };
            let pace = self.speeds.pace(member.worker, run);
            let pace = pace.filter(|_pace| self.is_listed(member.worker));
            let Some(pace) = pace else {
                if keys.contains(&member.worker) {
                    return None;
                }
                continue;
            };
            let percent = pace.percent;
            let forecast = match pace.recent() {
                Some(recent) => Forecast {
                    remaining_ms: pace.remaining_ms(self.now, recent.min_ms_per_percent()),
                    percent,
                    is_measured: true,
                },
                None => {
                    let done_ms = step.estimate_ms.saturating_mul(percent.into()) / 100;
                    Forecast {
                        remaining_ms: step.estimate_ms.saturating_sub(done_ms.max(elapsed_ms)),
                        percent,
                        is_measured: false,
                    }
                }
            };
            let rank = |forecast: &Forecast| (!forecast.is_measured, forecast.remaining_ms);
            if earliest.is_none_or(|earliest| rank(&forecast) < rank(&earliest)) {
                earliest = Some(forecast);
            }
        }
        earliest
    }

    /// Returns the runs on slow workers that would end clearly earlier if they were moved.
    pub(super) fn slowed_runs(&self) -> Vec<relocate::Plan> {
        let workers = self
            .slow_workers()
            .filter(|key| self.is_listed(*key) && !self.departures.is_draining(*key));
        let mut plans: Vec<relocate::Plan> = Vec::new();
        for key in workers {
            for (task, number) in self.projected.worker(key).into_iter().flat_map(|w| &w.runs) {
                let run = Run {
                    task: *task,
                    number: *number,
                };
                let plan = self.slowed_run(key, run);
                plans.extend(plan.filter(|plan| plans.iter().all(|other| other.unit != plan.unit)));
            }
        }
        plans
    }

    /// Compares the time that a run needs on a slow worker with that of a fresh run elsewhere.
    fn slowed_run(&self, key: WorkerKey, run: Run) -> Option<relocate::Plan> {
        let unit = self.projected.unit_of(run.task)?;
        let (_job, step) = self.projected.step(unit)?;
        if step.long_running {
            return None;
        }
        let pace = self.speeds.pace(key, run)?;
        let here_ms = pace.remaining_ms(self.now, pace.recent()?.min_ms_per_percent());
        let peer_ms = self.speeds.peer_ms(key, run.task, self.now);
        let earlier_ms = || Some(pace.earlier()?.ms_per_percent());
        let known_ms = peer_ms.or_else(earlier_ms);
        let elsewhere_ms = match known_ms {
            Some(known_ms) => known_ms,
            None if step.estimate_ms > 0 => step.estimate_ms as f64 * ESTIMATE_ERROR / 100.0,
            None => return None,
        };
        let bounds = self.options.bounds;
        let work = if step.checkpoints {
            100_u32.saturating_sub(pace.percent)
        } else {
            100
        };
        let fresh_ms = (f64::from(work) * elsewhere_ms) as Millis;
        let fresh_ms = fresh_ms + bounds.stop_cost_ms(step.checkpoints) + HANDOVER_MS;
        let is_cautious = self.is_often_started(unit);
        let factor = if is_cautious {
            CAUTIOUS_GAIN_FACTOR
        } else {
            CLEAR_GAIN_FACTOR
        };
        (here_ms >= fresh_ms.saturating_mul(factor)).then_some(relocate::Plan {
            unit,
            cause: Cause::Slow,
            worker: key,
            percent: pace.percent,
            here_ms,
            limit_ms: fresh_ms,
        })
    }
}
