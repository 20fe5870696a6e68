//! What speaks for or against a worker.

use crate::flow::{Millis, Task};

/// Weight of a new sample in the mean of a worker.
const SAMPLE_WEIGHT: f64 = 0.4;

/// Mean (of the binary logarithms of the slowness) from which on a worker counts as slow. A worker at
/// half speed reaches it with the third sample.
const SLOW_MEAN: f64 = 0.6;

/// Mean below which a slow worker counts as healthy again.
const HEALTHY_MEAN: f64 = 0.3;

/// Largest logarithm of one sample, so that a recovered worker is healthy after three samples.
const MAX_SAMPLE: f64 = 1.5;

/// Number of tasks that must be slow on a worker, unless a run has become slow there: single runs may
/// take several times as long as others anywhere.
const MIN_SLOW_TASKS: usize = 2;

/// Slowness from which on a sample speaks against the worker. Measured percentages are off by up to a
/// third.
pub const SLOW_RATIO: f64 = 1.6;

/// Time for which a measured speed serves as reference for other runs of the same step, and for which a
/// worker without new samples counts as slow. Slow phases last some seconds.
pub const MEMORY_MS: Millis = 15_000;

/// How slow a run is on its worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The task; if it is compared with an estimate, the first task of its step, as an estimate is wrong
    /// for all of them.
    pub task: Task,
    /// Time that the run takes, relative to that on a healthy worker.
    pub ratio: f64,
    /// Whether the run was faster on the same worker before.
    pub has_dropped: bool,
}

/// What speaks for or against a worker.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Weighted mean of the binary logarithms of the slowness.
    pub mean: f64,
    pub sampled_ms: Millis,
    slow_samples: u32,
    /// Tasks that were slow since the worker was healthy.
    slow_tasks: Vec<Task>,
    has_dropped: bool,
    pub is_slow: bool,
}

impl Evidence {
    /// Adds a sample. Older evidence loses weight, and is forgotten after a time without samples.
    pub fn add(&mut self, now: Millis, sample: &Sample) {
        if now > self.sampled_ms + MEMORY_MS {
            *self = Self::default();
        }
        self.sampled_ms = now;
        let value = sample.ratio.max(1.0).log2().min(MAX_SAMPLE);
        self.mean += (value - self.mean) * SAMPLE_WEIGHT;
        if sample.ratio >= SLOW_RATIO {
            self.slow_samples += 1;
            self.has_dropped |= sample.has_dropped;
            if !self.slow_tasks.contains(&sample.task) && self.slow_tasks.len() < MIN_SLOW_TASKS {
                self.slow_tasks.push(sample.task);
            }
        }
        if self.mean < HEALTHY_MEAN && sample.ratio < SLOW_RATIO {
            *self = Self {
                mean: self.mean,
                sampled_ms: now,
                ..Self::default()
            };
        }
        let is_of_worker = self.has_dropped || self.slow_tasks.len() >= MIN_SLOW_TASKS;
        self.is_slow |= self.mean >= SLOW_MEAN && self.slow_samples >= 2 && is_of_worker;
    }
}
