//! Jobs of several steps, placed task by task on workers that an agent beside each one drives.
//!
//! `registry` is the replicated state, `planner` the leader's decisions, `place` the search for room and
//! `agent` what an agent does with its worker. None of them has a clock, socket or thread.

pub mod agent;
pub mod catalog;
pub mod command;
pub mod explain;
pub mod history;
pub mod job;
pub mod message;
pub mod place;
pub mod planner;
pub mod registry;

pub use command::Command;
pub use registry::Registry;

use serde::{Deserialize, Serialize};

/// Identity of a job, chosen by the caller.
pub type JobId = u64;

/// Milliseconds on the clock that the context names.
pub type Millis = u64;

/// Key of one incarnation of a worker; the leader gives them out and never twice.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WorkerKey(pub u64);

/// One task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task {
    pub job: JobId,
    /// Which time of a repeated job; zero for others.
    pub occurrence: u32,
    pub step: u32,
    pub index: u32,
}

/// What is started and ended as a whole: a gang, or a single task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UnitId {
    pub job: JobId,
    pub occurrence: u32,
    pub step: u32,
    /// Index of its first task.
    pub first: u32,
}

impl UnitId {
    /// The unit's task at a position.
    pub fn task(self, position: u32) -> Task {
        Task {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index: self.first + position,
        }
    }
}

/// One start of a task; members of a gang share the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    pub task: Task,
    /// Rises with each start, from 1 on.
    pub number: u32,
}
