//! The replicated state of jobs and workers.
//!
//! Applying a command involves no decision. A command that no longer matches the state is ignored,
//! in the same way on every member.

mod apply;
mod evacuations;
mod learn;
mod names;
mod orders;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::flow::catalog;
use crate::flow::durations;
use crate::flow::history;
use crate::flow::job;
use crate::flow::{JobId, Millis, Run, Task, UnitId, WorkerKey};
use crate::raft::Index;

/// Maximum number of workers stored for a unit because it failed on them.
pub const MAX_FAILED_WORKERS: usize = 4;

/// How a run ended on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    Done,
    /// Because of the task itself or of the worker.
    Failed,
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
    /// It never started.
    Absent,
}

/// Why a run must stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// Its job was cancelled or failed.
    JobEnded,
    /// A step of a job that is more urgent, or is covered by a guarantee, needs its capacity.
    Reclaimed { job: JobId, step: u32 },
    /// Another member of its gang ended.
    GangBroken,
    /// It makes no progress on its workers.
    Stalled,
    /// It would not end before a draining worker leaves.
    Draining,
    /// It is on a slow worker, and a fresh run elsewhere ends clearly earlier.
    Slow,
}

impl std::fmt::Display for Cause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Reclaimed { job, step } => write!(f, "Reclaimed for job {job:016x} step {step}"),
            other => write!(f, "{other:?}"),
        }
    }
}

/// A worker as its agent announces it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Info {
    pub name: String,
    /// Identity of this incarnation: the time at which the worker says that it started.
    pub incarnation: u64,
    /// Instance of the agent that controls the worker.
    pub instance: String,
    pub service: String,
    pub region: String,
    pub domain: String,
    pub rack: String,
    pub labels: Vec<String>,
    /// Total capacity.
    pub total: job::Amount,
    /// Whether the worker itself rejects runs that exceed its capacity.
    pub enforces_capacity: bool,
}

/// One incarnation of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    pub info: Info,
    /// Resources held by runs that have not ended, including those that are being stopped.
    pub used: job::Amount,
    /// Run number of each task on the worker.
    pub runs: BTreeMap<Task, u32>,
    /// Ends up to this number are recorded in the log.
    pub cursor: u64,
    /// Index of the last log entry that changed the agent's orders.
    pub changed_index: Index,
    /// Whether this incarnation was declared lost before. The results of its old runs do not count,
    /// and it gets no new runs until its old leases have expired.
    pub fenced: bool,
}

/// One task of a run: its worker, and how it ended there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub worker: WorkerKey,
    pub end: Option<End>,
}

/// The current run of a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// One member for each task, in order.
    pub members: Vec<Member>,
    pub placed_ms: Millis,
    /// Why the run was asked to stop, if it was.
    pub stop: Option<Cause>,
}

impl Running {
    /// Reports whether every member has ended.
    pub fn has_ended(&self) -> bool {
        self.members.iter().all(|member| member.end.is_some())
    }

    /// Reports whether a member ended in the given way.
    pub fn has_end(&self, end: End) -> bool {
        self.members.iter().any(|member| member.end == Some(end))
    }

    /// Reports whether some but not all members have ended, and none of them as done. Once one
    /// member is done, the others end at the same moment without being stopped.
    pub fn is_broken(&self) -> bool {
        let some = self.members.iter().any(|member| member.end.is_some());
        some && !self.has_ended() && !self.has_end(End::Done)
    }
}

/// A gang or a single task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unit {
    pub tasks: u32,
    /// Number of the last run. It is never reused, whatever the outcome of the run.
    pub last_run: u32,
    /// Numbers of the runs that failed.
    pub failed_runs: BTreeSet<u32>,
    /// Latest checkpoint; empty for none.
    pub checkpoint: String,
    pub running: Option<Running>,
    pub done: bool,
    /// Time since which the unit has been ready to run.
    pub ready_ms: Millis,
    /// Workers on which the unit failed most recently.
    pub failed_workers: Vec<WorkerKey>,
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    Open,
    Completed,
    Failed,
    Cancelled,
}

/// An accepted job and its units.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    pub id: JobId,
    pub queue: catalog::Queue,
    pub account: String,
    pub spec: job::Spec,
    pub accepted_ms: Millis,
    pub state: State,
    /// Whether any of its tasks has ever been placed.
    pub started: bool,
    /// Number of occurrences whose units exist.
    pub opened: u32,
    /// Units by occurrence, step and index of the first task.
    pub units: BTreeMap<(u32, u32, u32), Unit>,
    pub history: history::History,
}

impl Job {
    /// Reports whether all tasks of a step are done.
    pub fn is_step_done(&self, occurrence: u32, step: u32) -> bool {
        let units = self
            .units
            .range((occurrence, step, 0)..=(occurrence, step, u32::MAX));
        units.into_iter().all(|(_key, unit)| unit.done)
    }

    /// Returns the time by which an occurrence should be complete, on the leader's wall clock. It follows
    /// the caller's estimates: order and reclaim by learned durations lost callers on an earlier
    /// deployment (docs/design/estimates.md).
    pub fn due_ms(&self, occurrence: u32) -> Millis {
        let start_ms = self.accepted_ms.max(self.spec.due_ms(occurrence));
        let path_ms = self.spec.critical_path_ms();
        let slack_ms = path_ms.saturating_mul(self.queue.slack_percent) / 100;
        start_ms
            .saturating_add(slack_ms)
            .saturating_add(self.queue.target_ms)
    }
}

/// The replicated state of jobs and workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    catalog: catalog::Catalog,
    jobs: BTreeMap<JobId, Job>,
    workers: BTreeMap<WorkerKey, Worker>,
    next_worker: u64,
    /// Units that are ready to run.
    ready: BTreeSet<UnitId>,
    /// Units with a run that has not ended.
    active: BTreeSet<UnitId>,
    /// Ended jobs with the time of their end, in that order.
    ended: VecDeque<(Millis, JobId)>,
    /// Name and incarnation of the worker removed last, by the agent's instance.
    last_incarnations: BTreeMap<String, (String, u64)>,
    #[serde(skip)]
    names: names::Names,
    /// Evacuated failure domains, whose workers get no new runs.
    evacuated: BTreeSet<String>,
    durations: durations::Durations,
    /// Limits of callers' requests, and the version of the catalog that they belong to.
    limits: (u64, catalog::Limits),
}

impl Registry {
    /// Returns the current catalog.
    pub fn catalog(&self) -> &catalog::Catalog {
        &self.catalog
    }

    /// Returns the limits of callers' requests that the current catalog declares.
    pub fn limits(&self) -> catalog::Limits {
        let (version, limits) = self.limits;
        if version == self.catalog.version {
            limits
        } else {
            catalog::Limits::default()
        }
    }

    /// Returns a job, if it is stored.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns all stored jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns a unit, if its job is stored.
    pub fn unit(&self, id: UnitId) -> Option<&Unit> {
        self.jobs
            .get(&id.job)?
            .units
            .get(&(id.occurrence, id.step, id.first))
    }

    /// Returns the job and the step to which a unit belongs.
    pub fn step(&self, id: UnitId) -> Option<(&Job, &job::Step)> {
        let job = self.jobs.get(&id.job)?;
        Some((job, job.spec.steps.get(id.step as usize)?))
    }

    /// Returns the unit to which a task belongs.
    pub fn unit_of(&self, task: Task) -> Option<UnitId> {
        let job = self.jobs.get(&task.job)?;
        let step = job.spec.steps.get(task.step as usize)?;
        Some(UnitId {
            job: task.job,
            occurrence: task.occurrence,
            step: task.step,
            first: if step.gang { 0 } else { task.index },
        })
    }

    /// Returns a worker, if its incarnation has not been removed.
    pub fn worker(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(&key)
    }

    /// Returns all workers whose incarnation has not been removed.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter().map(|(key, worker)| (*key, worker))
    }

    /// Finds a worker by its name and incarnation.
    pub fn find_worker(&self, name: &str, incarnation: u64) -> Option<WorkerKey> {
        self.names.named(name, incarnation)
    }

    /// Returns the workers of an agent's instance: the current incarnation, and those before it whose
    /// runs have not ended yet.
    pub fn workers_of(&self, instance: &str) -> impl Iterator<Item = WorkerKey> {
        self.names.controlled(instance)
    }

    /// Reports whether an incarnation was removed last at its agent, which has another one now.
    pub fn is_replaced(&self, info: &Info) -> bool {
        let last = self.last_incarnations.get(&info.instance);
        last.is_some_and(|(name, incarnation)| {
            *name == info.name && *incarnation == info.incarnation
        }) && self.workers_of(&info.instance).next().is_some()
    }

    /// Builds what is not part of the encoded state.
    pub fn rebuild(&mut self) {
        self.names = names::Names::default();
        for (key, worker) in &self.workers {
            self.names.add(*key, &worker.info);
        }
    }

    /// Returns the workers whose orders or runs have changed since the last call, some of them more
    /// than once.
    pub fn take_changed(&mut self) -> Vec<WorkerKey> {
        self.names.take_changed()
    }

    /// Returns the key for the next incarnation that registers.
    pub fn next_worker(&self) -> WorkerKey {
        WorkerKey(self.next_worker)
    }

    /// Returns the units that are ready to run.
    pub fn ready(&self) -> impl Iterator<Item = UnitId> {
        self.ready.iter().copied()
    }

    /// Returns the first ready unit of each step of an occurrence.
    pub fn ready_steps(&self) -> impl Iterator<Item = UnitId> {
        let after = |unit: UnitId| UnitId {
            first: u32::MAX,
            ..unit
        };
        let next = move |unit: &UnitId| self.ready.range(after(*unit)..).next().copied();
        std::iter::successors(self.ready.first().copied(), next)
    }

    /// Returns the next ready unit of the same step.
    pub fn next_ready(&self, unit: UnitId) -> Option<UnitId> {
        let first = unit.first.checked_add(1)?;
        let last = UnitId {
            first: u32::MAX,
            ..unit
        };
        let mut units = self.ready.range(UnitId { first, ..unit }..=last);
        units.next().copied()
    }

    /// Returns the units with a run that has not ended.
    pub fn active(&self) -> impl Iterator<Item = UnitId> {
        self.active.iter().copied()
    }

    /// Returns the number of open jobs of a queue none of whose tasks has ever been placed.
    pub fn pending(&self, queue: &catalog::Queue) -> usize {
        let open = self.jobs.values().filter(|job| job.state == State::Open);
        open.filter(|job| !job.started && self.catalog.continues(queue, &job.queue))
            .count()
    }

    /// Reports whether a run on a worker should continue, according to the log.
    pub fn is_wanted(&self, worker: WorkerKey, run: Run) -> bool {
        let Some(unit) = self.unit_of(run.task).and_then(|id| self.unit(id)) else {
            return false;
        };
        let Some(running) = &unit.running else {
            return false;
        };
        let worker = self.workers.get(&worker);
        let is_assigned =
            worker.is_some_and(|worker| worker.runs.get(&run.task) == Some(&run.number));
        is_assigned && unit.last_run == run.number && running.stop.is_none()
    }
}
