//! Robust mean and variance of logarithms, in which old samples lose weight.

use serde::{Deserialize, Serialize};

use crate::estimate::log2::{DOUBLING, Log};

/// Number of samples from which on each new one replaces this part of the mean. After 40 further
/// samples less than a tenth of what was learned before is left.
pub const WINDOW: u16 = 16;

/// Distance from the mean, in halves of the spread, beyond which a sample counts as an outlier and is
/// moved to that distance. A twentieth of what is normally distributed lies beyond 4 halves, and
/// 1 % beyond 5.
const OUTLIER_HALF_SPREADS: i64 = 5;

/// Number of outliers in a row on the same side after which the mean starts over from the last one.
/// Where 3 % of the runs take far longer, four in a row are seen once in a million runs.
const RESTART_OUTLIERS: i8 = 4;

/// Smallest spread, a factor of about 1.07: samples that agree by chance do not make the next one an
/// outlier.
const MIN_SPREAD: i64 = DOUBLING / 10;

/// Largest deviation that enters a variance, so that products of variances stay in range.
const MAX_DEVIATION: i64 = 8 * DOUBLING;

/// Mean and variance of the latest samples, more or less.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mean {
    /// Number of samples, up to `WINDOW`.
    count: u16,
    /// Number of outliers in a row, negative if they lie below the mean.
    outliers: i8,
    mean: Log,
    /// Square of the spread, in squared units of the logarithm.
    variance: u32,
}

impl Mean {
    /// Adds a sample. `prior` is the variance that is assumed before there are samples; it weighs as much
    /// as one of them.
    pub fn add(&mut self, sample: Log, prior: i64) {
        if self.count == 0 {
            self.restart(sample, prior);
            return;
        }
        let deviation = sample.units() - self.mean.units();
        let limit = (self.spread() * OUTLIER_HALF_SPREADS / 2).min(MAX_DEVIATION);
        let side = i8::from(deviation > limit) - i8::from(deviation < -limit);
        self.outliers = if side == 0 || self.outliers.signum() == -side {
            side
        } else {
            self.outliers + side
        };
        if self.outliers.abs() >= RESTART_OUTLIERS {
            self.restart(sample, prior);
            return;
        }
        let deviation = deviation.clamp(-limit, limit);
        self.count = (self.count + 1).min(WINDOW);
        let count = i64::from(self.count);
        self.mean = Log::from_units(self.mean.units() + deviation / count);
        let variance = i64::from(self.variance);
        self.variance = (variance + (deviation * deviation - variance) / count) as u32;
    }

    fn restart(&mut self, sample: Log, prior: i64) {
        *self = Self {
            count: 1,
            outliers: 0,
            mean: sample,
            variance: prior.clamp(0, MAX_DEVIATION * MAX_DEVIATION) as u32,
        };
    }

    /// Returns the number of samples, up to `WINDOW`.
    pub fn count(&self) -> u32 {
        u32::from(self.count)
    }

    /// Returns the mean in units of the logarithm; zero without samples.
    pub fn units(&self) -> i64 {
        self.mean.units()
    }

    /// Returns the spread of the samples around the mean.
    fn spread(&self) -> i64 {
        (u64::from(self.variance).isqrt() as i64).max(MIN_SPREAD)
    }

    /// Returns the variance of the samples.
    pub fn variance(&self) -> i64 {
        let spread = self.spread();
        spread * spread
    }

    /// Returns the variance of the next sample around the mean, which is itself uncertain.
    pub fn predictive_variance(&self) -> i64 {
        let variance = self.variance();
        variance + variance / i64::from(self.count.max(1))
    }
}
