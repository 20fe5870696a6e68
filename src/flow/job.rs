//! The specification of a job as its caller submits it.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::flow::Millis;

/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 64;

/// Maximum number of tasks of a job, summed over all steps.
pub const MAX_TASKS: u32 = 20_000;

/// An amount of each resource. Its units are finer than those of `config::Resources`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Amount {
    /// Thousandths of a core.
    pub millicpus: u64,
    pub memory_mb: u64,
    pub accelerators: u64,
}

impl Amount {
    /// Reports whether `need` fits into this amount.
    pub fn fits(&self, need: &Self) -> bool {
        self.millicpus >= need.millicpus
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// Returns how many times `need` fits into this amount, up to a limit.
    pub fn count_fitting(&self, need: &Self, limit: u64) -> u64 {
        let count = |have: u64, need: u64| have.checked_div(need).unwrap_or(limit);
        count(self.millicpus, need.millicpus)
            .min(count(self.memory_mb, need.memory_mb))
            .min(count(self.accelerators, need.accelerators))
            .min(limit)
    }

    /// Subtracts an amount, with zero as the lower bound of each resource.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            millicpus: self.millicpus.saturating_sub(other.millicpus),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the sum of two amounts. This and the other sums and products of what callers, operators
    /// and workers name stay at the end of the range where they would exceed it.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicpus: self.millicpus.saturating_add(other.millicpus),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the part of this amount that has the given number of its accelerators, which is at most
    /// the whole amount. The other resources are rounded down.
    pub fn share(&self, accelerators: u64) -> Self {
        let part = |all: u64| {
            let product = u128::from(all) * u128::from(accelerators.min(self.accelerators));
            let part = product.checked_div(u128::from(self.accelerators));
            part.map_or(0, |part| part as u64)
        };
        Self {
            millicpus: part(self.millicpus),
            memory_mb: part(self.memory_mb),
            accelerators,
        }
    }

    /// Returns the larger of two amounts, separately for each resource.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            millicpus: self.millicpus.max(other.millicpus),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the amount multiplied by a factor.
    pub fn scaled(&self, times: u64) -> Self {
        Self {
            millicpus: self.millicpus.saturating_mul(times),
            memory_mb: self.memory_mb.saturating_mul(times),
            accelerators: self.accelerators.saturating_mul(times),
        }
    }

    /// Returns the size in millicores, with an accelerator counted as eight cores.
    pub fn weighted_millicpus(&self) -> u64 {
        const ACCELERATOR_MILLICPUS: u64 = 8_000;
        let accelerators = self.accelerators.saturating_mul(ACCELERATOR_MILLICPUS);
        self.millicpus.saturating_add(accelerators)
    }
}

/// A step: tasks with the same requirements.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    pub count: u32,
    /// Resources that each task needs.
    pub per_task: Amount,
    /// Rough estimate of a task's duration, given by the caller.
    pub estimate_ms: Millis,
    /// Indexes of the steps whose tasks must all be done before this step starts.
    pub depends_on: Vec<u32>,
    /// Whether the tasks write checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks form a gang, which runs only as a whole.
    pub gang: bool,
    /// Whether the tasks run slower when they are spread over several racks.
    pub rack_local: bool,
    /// Label that a worker must carry to run the tasks.
    pub label: Option<String>,
    /// Rack that holds the data. The tasks run slower on other racks.
    pub data_rack: Option<String>,
    /// Maximum number of tasks of the step on one worker; zero for no limit.
    pub max_per_worker: u32,
    /// Whether the tasks have no end of their own and run until the job is cancelled.
    pub long_running: bool,
}

/// Schedule of a repeated job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Due time of the first occurrence, in milliseconds since 1970.
    pub start_ms: Millis,
    pub interval_ms: Millis,
    /// Number of occurrences.
    pub count: u32,
}

/// Specification of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Opaque data that every task receives unchanged.
    pub payload: Bytes,
    pub steps: Vec<Step>,
    pub schedule: Option<Schedule>,
}

impl Spec {
    /// Returns why the specification is invalid, or nothing if it is valid.
    pub fn validation_error(&self) -> Option<String> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Some(format!(
                "invalid number of steps, expected 1 to {MAX_STEPS}"
            ));
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > u64::from(MAX_TASKS) {
            return Some(format!("{tasks} tasks are over the limit of {MAX_TASKS}"));
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Some(format!("step {index} has no tasks, expected at least 1"));
            }
            if let Some(dependency) = step
                .depends_on
                .iter()
                .find(|dependency| **dependency as usize >= index)
            {
                return Some(format!(
                    "step {index} waits for step {dependency}, expected an earlier step"
                ));
            }
        }
        None
    }

    /// Returns how many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Returns the due time of an occurrence in milliseconds since 1970; zero without a schedule.
    pub fn due_ms(&self, occurrence: u32) -> Millis {
        self.schedule.map_or(0, |schedule| {
            let after_ms = schedule.interval_ms.saturating_mul(u64::from(occurrence));
            schedule.start_ms.saturating_add(after_ms)
        })
    }

    /// Returns the number of accelerators of the step that needs most of them.
    pub fn peak_accelerators(&self) -> u64 {
        let total = |step: &Step| step.per_task.scaled(u64::from(step.count)).accelerators;
        self.steps.iter().map(total).max().unwrap_or(0)
    }

    /// Returns the estimated duration of the longest chain of dependent steps.
    pub fn critical_path_ms(&self) -> Millis {
        let mut ends_ms: Vec<Millis> = Vec::new();
        for step in &self.steps {
            let start_ms = step
                .depends_on
                .iter()
                .filter_map(|dependency| ends_ms.get(*dependency as usize));
            let start_ms = start_ms.copied().max().unwrap_or(0);
            ends_ms.push(start_ms.saturating_add(step.estimate_ms));
        }
        ends_ms.into_iter().max().unwrap_or(0)
    }
}
