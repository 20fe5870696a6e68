//! A cluster without failures in virtual time: the planner and its registry, with workers that carry out
//! every order within a step.

use std::collections::BTreeMap;

use bytes::Bytes;
use oriolereel::flow::bounds::Bounds;
use oriolereel::flow::catalog::{Account, Catalog, Limits};
use oriolereel::flow::job::{Amount, Spec, Step};
use oriolereel::flow::message::{Action, Active, Answer, Ended, Report};
use oriolereel::flow::planner::{Options, Planner};
use oriolereel::flow::registry::{End, Info, State};
use oriolereel::flow::{JobId, Registry, Run, Task};

use super::worker::Worker;
use super::world::queue;

/// Virtual time of one step.
const STEP_MS: u64 = 50;

/// Time on the leader's wall clock at which the simulation starts.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Time that a stop takes.
const STOP_MS: u64 = 200;

/// Interval at which workers refresh their percentages.
const REFRESH_MS: u64 = 1_000;

/// Time for which a worker stays after the time that it has announced.
const GRACE_MS: u64 = 300;

/// A job of one step of single tasks.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Number of the account.
    pub account: usize,
    pub urgent: bool,
    pub tasks: u32,
    pub accelerators: u64,
    pub work_ms: u64,
    /// Maximum number of its tasks on one worker; zero for no limit.
    pub max_per_worker: u32,
}

struct Execution {
    worker: usize,
    work_ms: u64,
    done_ms: u64,
    /// Percentage as the worker lists it.
    percent: u32,
    stops_ms: Option<u64>,
}

/// How a worker performs.
#[derive(Clone, Copy, Debug)]
pub struct Condition {
    /// Work that it does in 100 ms.
    pub speed: u64,
    /// Time at which it leaves, as it has announced.
    pub leaves_ms: Option<u64>,
    /// Age of its listings.
    pub age_ms: u64,
}

pub struct Calm {
    now: u64,
    index: u64,
    registry: Registry,
    planner: Planner,
    infos: Vec<Info>,
    runs: BTreeMap<Run, Execution>,
    /// Ends by worker, as it lists them.
    ended: Vec<Vec<Ended>>,
    jobs: BTreeMap<JobId, (Job, u64)>,
    /// Time of the first start of each task.
    begun: BTreeMap<Task, u64>,
    /// Number of runs that were stopped, by job.
    pub stopped: BTreeMap<JobId, u32>,
    /// Number of runs that ended with their worker, by job.
    pub lost: BTreeMap<JobId, u32>,
    pub conditions: Vec<Condition>,
}

impl Calm {
    /// Creates a cluster whose accounts have these guarantees.
    pub fn new(workers: usize, guarantees: &[u64]) -> Self {
        let bounds = Bounds {
            stop_ms: STOP_MS,
            ..Bounds::default()
        };
        let registry = Registry::default();
        let mut planner = Planner::new(&registry, 0, Options::from(bounds));
        let accounts = guarantees
            .iter()
            .enumerate()
            .map(|(number, guaranteed)| Account {
                name: format!("a{number}"),
                keys: vec![format!("k{number}")],
                guaranteed: *guaranteed,
            });
        planner.declare(
            Box::new(Catalog {
                version: 1,
                document: Bytes::new(),
                queues: vec![queue("urgent", 0), queue("later", 2)],
                accounts: accounts.collect(),
            }),
            Limits::default(),
        );
        let infos = (0..workers).map(|machine| Worker::new(machine, 1).announce(machine).info);
        let mut calm = Self {
            now: 10_000,
            index: 1,
            registry,
            planner,
            infos: infos.collect(),
            runs: BTreeMap::new(),
            ended: vec![Vec::new(); workers],
            jobs: BTreeMap::new(),
            begun: BTreeMap::new(),
            stopped: BTreeMap::new(),
            lost: BTreeMap::new(),
            conditions: vec![
                Condition {
                    speed: 100,
                    leaves_ms: None,
                    age_ms: 0,
                };
                workers
            ],
        };
        calm.advance(1_000);
        calm
    }

    /// Submits a job, and lets it be placed if there is room. Returns its identity.
    pub fn submit(&mut self, job: Job) -> JobId {
        let step = Step {
            count: job.tasks,
            per_task: Amount {
                millicpus: 1_000,
                memory_mb: 1_000,
                accelerators: job.accelerators,
            },
            estimate_ms: job.work_ms,
            max_per_worker: job.max_per_worker,
            ..Step::default()
        };
        self.submit_step(job, step)
    }

    /// As `submit`, with another step than the job's own.
    pub fn submit_step(&mut self, job: Job, step: Step) -> JobId {
        let id = self.jobs.len() as u64 + 1;
        let spec = Spec {
            payload: Bytes::from_static(b"work"),
            steps: vec![step],
            schedule: None,
        };
        let queue = if job.urgent { "urgent" } else { "later" };
        let path = format!("/{queue}/{id:016x}");
        let key = format!("k{}", job.account);
        let action = Action::Submit(Box::new(spec));
        let (answer, _waits) = self
            .planner
            .request(&self.registry, "h", &path, Some(&key), action);
        assert_eq!(answer, Answer::Accepted);
        self.jobs.insert(id, (job, self.now));
        self.advance(STEP_MS);
        id
    }

    /// Cancels a job without guarantee.
    pub fn cancel(&mut self, id: JobId) {
        let (job, _at) = self.jobs[&id];
        let (path, key) = (format!("/later/{id:016x}"), format!("k{}", job.account));
        let (answer, _waits) =
            self.planner
                .request(&self.registry, "h", &path, Some(&key), Action::Cancel);
        assert_eq!(answer, Answer::Cancelled);
    }

    /// Returns how many accelerators an account's open urgent jobs need.
    pub fn demand(&self, account: usize) -> u64 {
        let is_open = |id: &JobId| {
            let job = self.registry.job(*id);
            job.is_some_and(|job| job.state == State::Open)
        };
        let jobs = self.jobs.iter();
        let open =
            jobs.filter(|(id, (job, _at))| job.urgent && job.account == account && is_open(id));
        open.map(|(_id, (job, _at))| u64::from(job.tasks) * job.accelerators)
            .sum()
    }

    /// Returns how long a job took from its acceptance until all its tasks had begun.
    pub fn begun_after_ms(&self, id: JobId) -> Option<u64> {
        let (job, accepted_ms) = self.jobs[&id];
        let tasks = self.begun.iter().filter(|(task, _at_ms)| task.job == id);
        let starts: Vec<u64> = tasks.map(|(_task, at_ms)| *at_ms).collect();
        let last = starts.iter().max()?;
        (starts.len() == job.tasks as usize).then(|| last - accepted_ms)
    }

    /// Returns the number of a job's tasks that are active.
    pub fn active(&self, id: JobId) -> usize {
        self.runs.keys().filter(|run| run.task.job == id).count()
    }

    /// Lets a worker announce that it leaves.
    pub fn drain(&mut self, machine: usize, remaining_ms: u64) {
        self.conditions[machine].leaves_ms = Some(self.now + remaining_ms);
    }

    /// Reports whether the planner regards a worker as slow.
    pub fn is_slow(&self, machine: usize) -> bool {
        let info = &self.infos[machine];
        let key = self.registry.find_worker(&info.name, info.incarnation);
        key.is_some_and(|key| self.planner.is_slow(key))
    }

    pub fn is_completed(&self, id: JobId) -> bool {
        let job = self.registry.job(id);
        job.is_some_and(|job| job.state == State::Completed)
    }

    /// Returns the urgent jobs that had not begun a time after their acceptance.
    pub fn late(&self, limit_ms: u64) -> Vec<(JobId, Job, Option<u64>)> {
        let urgent = self.jobs.iter().filter(|(_id, (job, _at))| job.urgent);
        urgent
            .map(|(id, (job, _at))| (*id, *job, self.begun_after_ms(*id)))
            .filter(|(_id, _job, after_ms)| after_ms.is_none_or(|after_ms| after_ms > limit_ms))
            .collect()
    }

    /// Evacuates the failure domain of a machine, or revokes that.
    pub fn evacuate(&mut self, machine: usize, evacuated: bool) {
        let domain = self.infos[machine].domain.clone();
        self.planner.evacuate(domain, evacuated);
    }

    /// Returns the machines on which a job's tasks are active, one for each task.
    pub fn machines(&self, id: JobId) -> Vec<usize> {
        let runs = self
            .runs
            .iter()
            .filter(|(run, _execution)| run.task.job == id);
        runs.map(|(_run, execution)| execution.worker).collect()
    }

    /// Returns what a job waits for.
    pub fn wait_reasons(&self, id: JobId) -> Vec<String> {
        self.planner.wait_reasons(id)
    }

    /// Lets time pass.
    pub fn advance(&mut self, time_ms: u64) {
        for _step in 0..time_ms / STEP_MS {
            self.now += STEP_MS;
            for machine in 0..self.infos.len() {
                self.run_worker(machine);
            }
            let wall_now = EPOCH_MS + self.now;
            for command in self.planner.decide(self.now, wall_now) {
                self.index += 1;
                self.registry.apply(self.index, wall_now, command);
            }
        }
    }

    fn run_worker(&mut self, machine: usize) {
        let info = self.infos[machine].clone();
        let condition = self.conditions[machine];
        let leaves_ms = condition.leaves_ms;
        if leaves_ms.is_some_and(|leaves_ms| self.now > leaves_ms + GRACE_MS) {
            self.lose(machine, info);
            return;
        }
        let key = self.registry.find_worker(&info.name, info.incarnation);
        let worker = key.and_then(|key| Some((key, self.registry.worker(key)?)));
        let mut absent = Vec::new();
        if let Some((key, worker)) = worker {
            for (task, number) in &worker.runs {
                let run = Run {
                    task: *task,
                    number: *number,
                };
                let is_wanted = self.registry.is_wanted(key, run);
                match self.runs.get_mut(&run) {
                    Some(execution) if !is_wanted => {
                        execution.stops_ms.get_or_insert(self.now + STOP_MS);
                    }
                    Some(_execution) => {}
                    None if is_wanted => {
                        self.begun.entry(*task).or_insert(self.now);
                        let (job, _at) = self.jobs[&task.job];
                        let unit = self.registry.unit_of(*task);
                        let unit = unit.and_then(|id| self.registry.unit(id));
                        let checkpoint = unit.map_or("", |unit| &unit.checkpoint);
                        let done_ms = checkpoint.parse().unwrap_or(0);
                        let execution = Execution {
                            worker: machine,
                            work_ms: job.work_ms,
                            done_ms,
                            percent: (done_ms * 100 / job.work_ms) as u32,
                            stops_ms: None,
                        };
                        self.runs.insert(run, execution);
                    }
                    None => absent.push(run),
                }
            }
            let cursor = worker.cursor;
            self.ended[machine].retain(|ended| ended.number > cursor);
        }
        self.advance_runs(machine);
        self.end_runs(machine);
        let here = self.runs.iter();
        let here = here.filter(|(_run, execution)| execution.worker == machine);
        let active = here.map(|(run, execution)| Active {
            run: *run,
            checkpoint: String::new(),
            percent: execution.percent,
        });
        let report = Report {
            instance: info.instance.clone(),
            info,
            responsive: true,
            draining: leaves_ms.is_some(),
            remaining_ms: leaves_ms.map_or(0, |leaves_ms| leaves_ms.saturating_sub(self.now)),
            age_ms: condition.age_ms,
            active: active.collect(),
            ended: self.ended[machine].clone(),
            absent,
            settled: key,
            ..Report::default()
        };
        self.planner.report(self.now, report);
    }

    fn end_runs(&mut self, machine: usize) {
        let now = self.now;
        let ends = self.runs.iter().filter_map(|(run, execution)| {
            let is_stopped = execution.stops_ms.is_some_and(|at_ms| now >= at_ms);
            let end = match is_stopped {
                true => End::Stopped,
                false if execution.done_ms >= execution.work_ms => End::Done,
                false => return None,
            };
            (execution.worker == machine).then_some((*run, end))
        });
        let ends: Vec<(Run, End)> = ends.collect();
        for (run, end) in ends {
            let execution = self.runs.remove(&run);
            if end == End::Stopped {
                *self.stopped.entry(run.task.job).or_default() += 1;
            }
            let info = &self.infos[machine];
            let key = self.registry.find_worker(&info.name, info.incarnation);
            let cursor = key.and_then(|key| self.registry.worker(key));
            let cursor = cursor.map_or(0, |worker| worker.cursor);
            let last = self.ended[machine]
                .last()
                .map_or(cursor, |ended| ended.number);
            let checkpoint = self.checkpoint(run, execution);
            self.ended[machine].push(Ended {
                number: last + 1,
                run,
                end,
                checkpoint,
            });
        }
    }

    /// Returns the checkpoint that a stopped run leaves: the work done, if its step has checkpoints.
    fn checkpoint(&self, run: Run, execution: Option<Execution>) -> String {
        let unit = self.registry.unit_of(run.task);
        let step = unit.and_then(|id| self.registry.step(id));
        let has_checkpoints = step.is_some_and(|(_job, step)| step.checkpoints);
        let done_ms = execution.map(|execution| execution.done_ms);
        let done_ms = done_ms.filter(|_done_ms| has_checkpoints);
        done_ms.map_or(String::new(), |done_ms| done_ms.to_string())
    }

    fn advance_runs(&mut self, machine: usize) {
        let now = self.now;
        let speed = self.conditions[machine].speed;
        for execution in self.runs.values_mut() {
            if execution.worker == machine {
                execution.done_ms += STEP_MS * speed / 100;
                if now.is_multiple_of(REFRESH_MS) {
                    let percent = execution.done_ms * 100 / execution.work_ms;
                    execution.percent = percent.min(100) as u32;
                }
            }
        }
    }

    /// Ends a worker and everything on it.
    fn lose(&mut self, machine: usize, info: Info) {
        let lost = self.runs.iter();
        let lost = lost.filter(|(_run, execution)| execution.worker == machine);
        let lost: Vec<Run> = lost.map(|(run, _execution)| *run).collect();
        for run in &lost {
            self.runs.remove(run);
            *self.lost.entry(run.task.job).or_default() += 1;
        }
        let report = Report {
            instance: info.instance.clone(),
            info,
            draining: true,
            expired: true,
            absent: lost,
            ..Report::default()
        };
        self.planner.report(self.now, report);
    }
}
