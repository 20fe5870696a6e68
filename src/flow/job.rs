//! What a caller hands in.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::flow::Millis;

/// Most steps of a job.
pub const MAX_STEPS: usize = 64;

/// Most tasks of a job, over all steps.
pub const MAX_TASKS: u32 = 20_000;

/// An amount of each resource, in finer units than the declared `config::Resources`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Amount {
    /// Thousandths of a core.
    pub millicpus: u64,
    pub memory_mb: u64,
    pub accelerators: u64,
}

impl Amount {
    /// Whether another amount fits into this one.
    pub fn fits(&self, need: &Self) -> bool {
        self.millicpus >= need.millicpus
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// How many times an amount fits into this one, up to a limit.
    pub fn count_fitting(&self, need: &Self, limit: u64) -> u64 {
        let of = |have: u64, need: u64| have.checked_div(need).unwrap_or(limit);
        of(self.millicpus, need.millicpus)
            .min(of(self.memory_mb, need.memory_mb))
            .min(of(self.accelerators, need.accelerators))
            .min(limit)
    }

    /// What remains after taking an amount, not below zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            millicpus: self.millicpus.saturating_sub(other.millicpus),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The sum of two amounts.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicpus: self.millicpus + other.millicpus,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// The larger of two amounts, for each resource by itself.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            millicpus: self.millicpus.max(other.millicpus),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// This amount a number of times.
    pub fn scaled(&self, times: u64) -> Self {
        Self {
            millicpus: self.millicpus * times,
            memory_mb: self.memory_mb * times,
            accelerators: self.accelerators * times,
        }
    }

    /// Cores, an accelerator counting as eight.
    pub fn weighted_millicpus(&self) -> u64 {
        const ACCELERATOR_MILLICPUS: u64 = 8_000;
        self.millicpus + self.accelerators * ACCELERATOR_MILLICPUS
    }
}

/// A step: tasks with the same requirements.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    pub count: u32,
    /// Resources of each task.
    pub per_task: Amount,
    /// The caller's rough estimate of a task's duration.
    pub estimate_ms: Millis,
    /// Steps whose tasks must all be done before.
    pub depends_on: Vec<u32>,
    pub checkpoints: bool,
    /// Whether the tasks run only together.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub rack_local: bool,
    /// Label that the worker must have.
    pub label: Option<String>,
    /// Rack of the data, outside of which tasks are slower.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker; zero for any number.
    pub max_per_worker: u32,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
}

/// When a repeated job is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Milliseconds since 1970.
    pub start_ms: Millis,
    pub interval_ms: Millis,
    pub count: u32,
}

/// A job as its caller describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Handed to each task as it is.
    pub payload: Bytes,
    pub steps: Vec<Step>,
    pub schedule: Option<Schedule>,
}

impl Spec {
    /// Says what is wrong with the spec, if anything is.
    pub fn validation_error(&self) -> Option<String> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Some(format!("a job has 1 to {MAX_STEPS} steps"));
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > u64::from(MAX_TASKS) {
            return Some(format!("{tasks} tasks are over {MAX_TASKS}"));
        }
        for (at, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Some(format!("step {at} has no tasks"));
            }
            if let Some(late) = step
                .depends_on
                .iter()
                .find(|before| **before as usize >= at)
            {
                return Some(format!(
                    "step {at} waits for step {late}, which is not earlier"
                ));
            }
        }
        None
    }

    /// Times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Due time of an occurrence, in milliseconds since 1970; zero without a schedule.
    pub fn due_ms(&self, occurrence: u32) -> Millis {
        self.schedule.map_or(0, |schedule| {
            schedule.start_ms + schedule.interval_ms * u64::from(occurrence)
        })
    }

    /// Largest number of accelerators that any one step takes.
    pub fn peak_accelerators(&self) -> u64 {
        let of = |step: &Step| step.per_task.accelerators * u64::from(step.count);
        self.steps.iter().map(of).max().unwrap_or(0)
    }

    /// Estimated time of the longest chain of steps.
    pub fn critical_path_ms(&self) -> Millis {
        let mut ends: Vec<Millis> = Vec::new();
        for step in &self.steps {
            let begin = step
                .depends_on
                .iter()
                .filter_map(|before| ends.get(*before as usize));
            let begin = begin.copied().max().unwrap_or(0);
            ends.push(begin + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }
}
