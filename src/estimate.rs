//! Estimates of run durations, learned from finished runs, for both scheduling cores.
//!
//! Durations vary over orders of magnitude, so all sums are of logarithms. An estimate combines the
//! caller's estimate (times the learned ratio), the history of its key and the finished runs of the
//! same step, each weighted by the inverse of its learned variance. All state is made of integers and
//! depends on the order of the samples alone. docs/design/estimates.md gives the reasons.

pub mod log2;
pub mod mean;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::estimate::log2::{DOUBLING, Log};
use crate::estimate::mean::Mean;

/// Milliseconds.
pub type Millis = u64;

/// Maximum number of keys; the one that was learned least recently is evicted.
pub const MAX_KEYS: usize = 1_024;

/// Variance of the caller's estimate, and of durations under a key, before there are samples: a spread
/// of a factor of 1.8, a little more than the callers' error of about 1.65.
const PRIOR_VARIANCE: i64 = square(DOUBLING * 85 / 100);

/// Variance of the runs of one step before there are samples: a spread of a factor of 1.25.
const PRIOR_STEP_VARIANCE: i64 = square(DOUBLING * 32 / 100);

/// Number of samples from which on the errors seen replace the variance that the parts of an estimate
/// suggest. The parts may be dependent, as where callers always give the same estimate.
const MIN_ERROR_SAMPLES: u32 = 4;

/// Distance from the history, in spreads, to which a caller's estimate or a first run is moved that
/// lies further away.
const MAX_PLAUSIBLE_SPREADS: i64 = 3;

/// Number of samples of a key from which on a caller's estimate is held against them.
const MIN_HISTORY_SAMPLES: u32 = 4;

/// Largest bias that enters a variance, so that products of variances stay in range.
const MAX_BIAS: i64 = 8 * DOUBLING;

/// 95th percentile of a normal distribution, in thousandths of its spread.
const HIGH_QUANTILE_MILLISPREADS: i64 = 1_645;

const fn square(value: i64) -> i64 {
    value * value
}

/// Key of a kind of runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(u64);

impl Key {
    /// Creates the key of some names and a number. It is the 64-bit FNV-1a hash of them, the same on every
    /// machine; the names come from operators, so nobody gains from a collision.
    pub fn new(names: &[&str], number: u32) -> Self {
        const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0100_0000_01b3;
        // No byte of UTF-8 has this value.
        const SEPARATOR: u8 = 0xff;
        let names = names
            .iter()
            .flat_map(|name| name.bytes().chain(std::iter::once(SEPARATOR)));
        let bytes = names.chain(number.to_le_bytes());
        Self(bytes.fold(OFFSET, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(PRIME)
        }))
    }
}

/// What an estimate is based on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Source {
    /// The caller's estimate alone.
    #[default]
    Caller,
    /// Earlier runs under the same key alone.
    History,
    /// The caller's estimate and earlier runs.
    Combined,
    /// Mostly finished runs of the same step.
    Siblings,
}

impl Source {
    /// Returns the name for log lines and answers.
    pub fn label(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::History => "history",
            Self::Combined => "combined",
            Self::Siblings => "siblings",
        }
    }
}

/// The expected duration of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimate {
    /// Median; zero if nothing is known.
    pub expected_ms: Millis,
    /// 95th percentile of ordinary runs. The few runs that take several times as long lie beyond it.
    pub high_ms: Millis,
    pub source: Source,
    /// Number of samples behind it, up to `mean::WINDOW`; zero for the caller's estimate.
    pub samples: u32,
}

impl std::fmt::Display for Estimate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let seconds = |ms: Millis| ms as f64 / 1_000.0;
        write!(
            f,
            "{:.1} s expected, up to {:.1} s ({}, {} samples)",
            seconds(self.expected_ms),
            seconds(self.high_ms),
            self.source.label(),
            self.samples
        )
    }
}

/// A duration with its uncertainty, in units of the logarithm.
#[derive(Clone, Copy, Debug)]
struct Belief {
    units: i64,
    variance: i64,
}

impl Belief {
    /// Combines two independent beliefs, each weighted by the inverse of its variance.
    fn combine(self, other: Self) -> Self {
        let sum = (self.variance + other.variance).max(1);
        Self {
            units: (self.units * other.variance + other.units * self.variance) / sum,
            variance: self.variance * other.variance / sum,
        }
    }

    /// Moves a value that lies implausibly far from this belief to the limit.
    fn limit(self, units: i64, variance: i64) -> i64 {
        let spread = ((self.variance + variance).max(0) as u64).isqrt() as i64;
        let distance = spread * MAX_PLAUSIBLE_SPREADS;
        units.clamp(self.units - distance, self.units + distance)
    }
}

/// What was learned under one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    /// Duration of steps.
    history: Mean,
    /// Ratio of the duration to the caller's estimate.
    ratio: Mean,
    /// Ratio of the duration to the estimate from `history` and `ratio`.
    error: Mean,
    /// Ratio of a run's duration to that of the runs of its step before it.
    siblings: Mean,
    /// Value of the table's clock when it was last changed.
    changed: u64,
}

impl Entry {
    fn caller(&self, caller_ms: Millis) -> Option<Belief> {
        let variance = match self.ratio.count() {
            0 => PRIOR_VARIANCE,
            _ => self.ratio.predictive_variance(),
        };
        (caller_ms > 0).then(|| Belief {
            units: Log::of(caller_ms).units() + self.ratio.units(),
            variance,
        })
    }

    fn history(&self) -> Option<Belief> {
        (self.history.count() > 0).then(|| Belief {
            units: self.history.units(),
            variance: self.history.predictive_variance(),
        })
    }

    /// Returns what is known of a step before any of its runs has finished.
    fn prior(&self, caller_ms: Millis) -> Option<(Belief, Source)> {
        let (mut belief, source) = match (self.caller(caller_ms), self.history()) {
            (None, None) => return None,
            (Some(caller), None) => (caller, Source::Caller),
            (None, Some(history)) => (history, Source::History),
            (Some(mut caller), Some(history)) => {
                if self.history.count() >= MIN_HISTORY_SAMPLES {
                    caller.units = history.limit(caller.units, caller.variance);
                }
                (caller.combine(history), Source::Combined)
            }
        };
        if self.error.count() >= MIN_ERROR_SAMPLES {
            // A bias that is left, as after a change of the durations, counts as uncertainty too.
            let bias = self.error.units().clamp(-MAX_BIAS, MAX_BIAS);
            belief.variance = self.error.variance() + square(bias);
        }
        Some((belief, source))
    }

    /// Returns the variance of the runs of one step. Without samples, steps have one run each, whose
    /// variation is part of that between steps.
    fn step_variance(&self) -> i64 {
        match self.siblings.count() {
            0 if self.history.count() > 0 => 0,
            0 => PRIOR_STEP_VARIANCE,
            _ => self.siblings.variance(),
        }
    }

    fn estimate(&self, caller_ms: Millis, step: &Mean) -> Estimate {
        let prior = self.prior(caller_ms);
        let (belief, source) = match (prior, step.count()) {
            (None, 0) => return Estimate::default(),
            (Some(prior), 0) => prior,
            (prior, count) => {
                let runs = Belief {
                    units: step.units(),
                    variance: self.step_variance().max(step.variance()) / i64::from(count),
                };
                let belief = prior.map_or(runs, |(prior, _source)| runs.combine(prior));
                (belief, Source::Siblings)
            }
        };
        let samples = match source {
            Source::Siblings => step.count(),
            _ => self.history.count(),
        };
        let variance = belief.variance + self.step_variance();
        let spread = (variance.max(0) as u64).isqrt() as i64;
        let high = belief.units + spread * HIGH_QUANTILE_MILLISPREADS / 1_000;
        let expected_ms = match source {
            Source::Caller => caller_ms,
            _ => Log::from_units(belief.units).exp(),
        };
        Estimate {
            expected_ms,
            high_ms: Log::from_units(high).exp().max(expected_ms),
            source,
            samples,
        }
    }
}

/// What was learned under all keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    entries: BTreeMap<Key, Entry>,
    /// Number of changes.
    clock: u64,
}

impl Table {
    /// Returns the estimate of a run. `step` holds the finished runs of the same step, if any.
    pub fn estimate(&self, key: Key, caller_ms: Millis, step: &Mean) -> Estimate {
        let entry = self.entries.get(&key).copied().unwrap_or_default();
        entry.estimate(caller_ms, step)
    }

    /// Adds a finished run to those of its step, and learns how far the runs of a step differ.
    pub fn observe_run(&mut self, key: Key, caller_ms: Millis, step: &mut Mean, run_ms: Millis) {
        let sample = Log::of(run_ms);
        let entry = self.entry(key);
        let variance = match entry.step_variance() {
            0 => PRIOR_STEP_VARIANCE,
            variance => variance,
        };
        if step.count() > 0 {
            let difference = Log::from_units(sample.units() - step.units());
            entry.siblings.add(difference, PRIOR_STEP_VARIANCE);
            step.add(sample, variance);
            return;
        }
        // There is nothing else in the step yet to hold the first run against.
        let prior = entry.prior(caller_ms);
        let units = prior.map_or(sample.units(), |(prior, _source)| {
            prior.limit(sample.units(), variance)
        });
        step.add(Log::from_units(units), variance);
    }

    /// Learns the duration of a step from its finished runs. Each step counts once, however many runs it
    /// has, since their durations depend on each other.
    pub fn observe_step(&mut self, key: Key, caller_ms: Millis, step: &Mean) {
        if step.count() > 0 {
            self.observe(key, caller_ms, step.units());
        }
    }

    /// Learns the duration of a step that has a single run.
    pub fn observe_single(&mut self, key: Key, caller_ms: Millis, run_ms: Millis) {
        self.observe(key, caller_ms, Log::of(run_ms).units());
    }

    fn observe(&mut self, key: Key, caller_ms: Millis, units: i64) {
        let entry = self.entry(key);
        if let Some((belief, _source)) = entry.prior(caller_ms) {
            let error = Log::from_units(units - belief.units);
            entry.error.add(error, PRIOR_VARIANCE);
        }
        if caller_ms > 0 {
            let ratio = Log::from_units(units - Log::of(caller_ms).units());
            entry.ratio.add(ratio, PRIOR_VARIANCE);
        }
        entry.history.add(Log::from_units(units), PRIOR_VARIANCE);
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether nothing has been learned.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of changes so far. As long as it is the same, so are all estimates from the
    /// table.
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// Returns the entry of a key that is about to change, and evicts another one if it is new and there
    /// are too many.
    fn entry(&mut self, key: Key) -> &mut Entry {
        self.clock += 1;
        if self.entries.len() >= MAX_KEYS && !self.entries.contains_key(&key) {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_key, entry)| entry.changed);
            if let Some(oldest) = oldest.map(|(key, _entry)| *key) {
                self.entries.remove(&oldest);
            }
        }
        let entry = self.entries.entry(key).or_default();
        entry.changed = self.clock;
        entry
    }
}

/// Returns the expected time until a running job ends. One that has run past its estimate is expected
/// to run for another half of the time that it has run so far, as in Tsafrir, Etsion and Feitelson,
/// "Backfilling using system-generated predictions", TPDS 18(6), 2007.
pub fn remaining_ms(expected_ms: Millis, started_ms: Millis, now: Millis) -> Millis {
    let ran = now.saturating_sub(started_ms);
    if ran < expected_ms {
        expected_ms - ran
    } else {
        (ran / 2).max(1)
    }
}
