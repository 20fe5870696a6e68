//! The replicated state of jobs and workers.
//!
//! Applying a command never decides anything; a command that no longer fits the state is ignored,
//! the same way on every member.

mod apply;
mod orders;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::flow::catalog;
use crate::flow::history;
use crate::flow::job;
use crate::flow::{JobId, Millis, Run, Task, UnitId, WorkerKey};
use crate::raft::Index;

/// Workers remembered for a unit because it failed there.
pub const MAX_FAILED_WORKERS: usize = 4;

/// How a run ended on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    Done,
    /// Through its own fault or the worker's.
    Failed,
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not come in time.
    Alone,
    /// It never began.
    Absent,
}

/// Why a run must stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// Its job was cancelled or has failed.
    JobEnded,
    /// Its room is needed for a step of a more urgent job.
    Reclaimed { job: JobId, step: u32 },
    /// Another member of its gang has ended.
    GangBroken,
    /// It makes no progress where it is.
    Stalled,
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
    /// Start of this incarnation, by the worker's own account.
    pub incarnation: u64,
    /// Instance of the agent beside it.
    pub instance: String,
    pub service: String,
    pub region: String,
    pub domain: String,
    pub rack: String,
    pub labels: Vec<String>,
    pub total: job::Amount,
    /// Whether the worker itself refuses what does not fit.
    pub enforces_capacity: bool,
}

/// One incarnation of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    pub info: Info,
    /// Taken by runs that have not ended, those that are being stopped included.
    pub used: job::Amount,
    /// Number of the run of each task here.
    pub runs: BTreeMap<Task, u32>,
    /// Ends up to this number are in the log.
    pub cursor: u64,
    /// Index of the last entry that changed what its agent has to do.
    pub changed_index: Index,
    /// Whether it had been given up before: what it still holds is void, and it gets nothing until
    /// its lease has lapsed.
    pub fenced: bool,
}

/// Where one task of a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub worker: WorkerKey,
    pub end: Option<End>,
}

/// The present run of a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// One for each task, in order.
    pub members: Vec<Member>,
    pub placed_ms: Millis,
    pub stop: Option<Cause>,
}

impl Running {
    /// Whether every member has ended.
    pub fn has_ended(&self) -> bool {
        self.members.iter().all(|member| member.end.is_some())
    }

    /// Whether a member ended this way.
    pub fn has_end(&self, end: End) -> bool {
        self.members.iter().any(|member| member.end == Some(end))
    }

    /// Whether some but not all members have ended, none of them as done. Where one is done the
    /// others end by themselves in the same moment.
    pub fn is_broken(&self) -> bool {
        let some = self.members.iter().any(|member| member.end.is_some());
        some && !self.has_ended() && !self.has_end(End::Done)
    }
}

/// A gang or a single task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unit {
    pub tasks: u32,
    /// Number of the last run; never used again, whatever became of it.
    pub last_run: u32,
    /// Numbers of the runs that failed.
    pub failed_runs: BTreeSet<u32>,
    /// Latest checkpoint, empty for none.
    pub checkpoint: String,
    pub running: Option<Running>,
    pub done: bool,
    /// Since when it could run.
    pub ready_ms: Millis,
    /// Workers on which it failed last.
    pub failed_workers: Vec<WorkerKey>,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    Open,
    Completed,
    Failed,
    Cancelled,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    pub id: JobId,
    pub queue: catalog::Queue,
    pub account: String,
    pub spec: job::Spec,
    pub accepted_ms: Millis,
    pub state: State,
    /// Whether any of its tasks was ever placed.
    pub started: bool,
    /// Occurrences whose tasks are known.
    pub opened: u32,
    /// By occurrence, step and first task.
    pub units: BTreeMap<(u32, u32, u32), Unit>,
    pub history: history::History,
}

impl Job {
    /// Whether all tasks of a step have ended as done.
    pub fn is_step_done(&self, occurrence: u32, step: u32) -> bool {
        let units = self
            .units
            .range((occurrence, step, 0)..=(occurrence, step, u32::MAX));
        units.into_iter().all(|(_key, unit)| unit.done)
    }

    /// When it should have ended, on the leader's wall clock.
    pub fn due_ms(&self, occurrence: u32) -> Millis {
        let begin = self.accepted_ms.max(self.spec.due_ms(occurrence));
        begin + self.spec.critical_path_ms() * self.queue.slack_percent / 100 + self.queue.target_ms
    }
}

/// The replicated state of jobs and workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    catalog: catalog::Catalog,
    jobs: BTreeMap<JobId, Job>,
    workers: BTreeMap<WorkerKey, Worker>,
    next_worker: u64,
    /// Units that could run now.
    ready: BTreeSet<UnitId>,
    /// Units with a run that is not over.
    active: BTreeSet<UnitId>,
    ended: VecDeque<(Millis, JobId)>,
    /// Last incarnation beside each agent that is over by the log, by name and start.
    last_incarnations: BTreeMap<String, (String, u64)>,
}

impl Registry {
    /// What is declared.
    pub fn catalog(&self) -> &catalog::Catalog {
        &self.catalog
    }

    /// A job.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// All jobs that are remembered.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// A unit.
    pub fn unit(&self, id: UnitId) -> Option<&Unit> {
        self.jobs
            .get(&id.job)?
            .units
            .get(&(id.occurrence, id.step, id.first))
    }

    /// A job and the step that a unit is of.
    pub fn step(&self, id: UnitId) -> Option<(&Job, &job::Step)> {
        let job = self.jobs.get(&id.job)?;
        Some((job, job.spec.steps.get(id.step as usize)?))
    }

    /// The unit that a task belongs to.
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

    /// A worker, until its incarnation is over.
    pub fn worker(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(&key)
    }

    /// All workers whose incarnation is not known to be over.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter().map(|(key, worker)| (*key, worker))
    }

    /// The worker of an incarnation.
    pub fn find_worker(&self, name: &str, incarnation: u64) -> Option<WorkerKey> {
        let mut workers = self.workers();
        let found = workers.find(|(_key, worker)| {
            worker.info.name == name && worker.info.incarnation == incarnation
        });
        found.map(|(key, _worker)| key)
    }

    /// Key for the next incarnation that appears.
    pub fn next_worker(&self) -> WorkerKey {
        WorkerKey(self.next_worker)
    }

    /// Units that could run now.
    pub fn ready(&self) -> impl Iterator<Item = UnitId> {
        self.ready.iter().copied()
    }

    /// Units with a run that is not over.
    pub fn active(&self) -> impl Iterator<Item = UnitId> {
        self.active.iter().copied()
    }

    /// Jobs of a queue none of whose tasks was ever placed.
    pub fn pending(&self, queue: &str) -> usize {
        let open = self.jobs.values().filter(|job| job.state == State::Open);
        open.filter(|job| job.queue.name == queue && !job.started)
            .count()
    }

    /// Whether a run is to go on, by the log.
    pub fn is_wanted(&self, worker: WorkerKey, run: Run) -> bool {
        let Some(unit) = self.unit_of(run.task).and_then(|id| self.unit(id)) else {
            return false;
        };
        let Some(running) = &unit.running else {
            return false;
        };
        let here = self.workers.get(&worker);
        let here = here.is_some_and(|worker| worker.runs.get(&run.task) == Some(&run.number));
        here && unit.last_run == run.number && running.stop.is_none()
    }
}
