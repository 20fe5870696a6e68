//! Jobs of several steps, whose tasks are placed on workers. An agent controls each worker.
//!
//! `registry` holds the replicated state, `planner` makes the leader's decisions, `place` searches
//! for free capacity and `agent` controls one worker. None of them uses a clock, a socket or a
//! thread; callers pass the time in.

pub mod agent;
pub mod bounds;
pub mod catalog;
pub mod command;
pub mod durations;
pub mod explain;
pub mod fleet;
pub mod history;
pub mod job;
pub mod message;
pub mod place;
pub mod planner;
pub mod registry;
pub mod ticket;

pub use command::Command;
pub use registry::Registry;

use serde::{Deserialize, Serialize};

/// Identity of a job, chosen by the caller.
pub type JobId = u64;

/// Milliseconds: a duration, or a point in time on the clock that the field or function names.
pub type Millis = u64;

/// Key of one incarnation of a worker, assigned by the leader and never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WorkerKey(pub u64);

/// One task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task {
    pub job: JobId,
    /// Number of the repetition of a scheduled job; zero for other jobs.
    pub occurrence: u32,
    pub step: u32,
    pub index: u32,
}

/// Identity of a unit: a gang or a single task, which is started and stopped as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UnitId {
    pub job: JobId,
    pub occurrence: u32,
    pub step: u32,
    /// Index of the unit's first task.
    pub first: u32,
}

impl UnitId {
    /// Returns the unit's task at a position.
    pub fn task(self, position: u32) -> Task {
        Task {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index: self.first + position,
        }
    }
}

/// One run of a task. The members of a gang share the run number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    pub task: Task,
    /// Starts at 1 and rises with each start of the unit.
    pub number: u32,
}
