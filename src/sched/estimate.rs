//! Estimates run times from history, because declared run times are inaccurate.
//!
//! Run times vary over orders of magnitude, so the means are those of their logarithms. A running
//! job that exceeds its estimate is expected to run for another half of the time that it has run so
//! far, as in Tsafrir, Etsion and Feitelson, "Backfilling using system-generated predictions", TPDS
//! 18(6), 2007.

use crate::map;
use crate::sched::Millis;

/// Minimum weight of a new observation in a mean.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;

/// Number of observations from which the declared run time is ignored.
const FULL_WEIGHT_SAMPLES: f64 = 3.0;

/// Key of an account's service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key(u32);

/// The arithmetic mean of the first samples, and from then on an exponential moving average.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    count: f64,
    value: f64,
}

impl Mean {
    fn add(&mut self, sample: f64) {
        self.count += 1.0;
        self.value += (sample - self.value) * (1.0 / self.count).max(MIN_SAMPLE_WEIGHT);
    }
}

/// Run times observed so far.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    keys: map::Map<(String, String), Key>,
    /// Logarithm of the run time in milliseconds, by `Key`.
    run_times: Vec<Mean>,
    /// Logarithm of the ratio of run time to declared run time, over all jobs.
    ratio: Mean,
}

impl Estimator {
    /// Returns the key of an account's service, adding it if it is new.
    pub fn key(&mut self, account: &str, service: &str) -> Key {
        let name = (account.to_owned(), service.to_owned());
        if let Some(key) = self.keys.get(&name) {
            return *key;
        }
        let key = Key(self.run_times.len() as u32);
        self.run_times.push(Mean::default());
        self.keys.insert(name, key);
        key
    }

    /// Adds the run time of a successful job.
    pub fn observe(&mut self, key: Key, declared_ms: Millis, run_ms: Millis) {
        let run = (run_ms.max(1)) as f64;
        let declared = (declared_ms.max(1)) as f64;
        self.run_times[key.0 as usize].add(run.ln());
        self.ratio.add((run / declared).ln());
    }

    /// Returns the expected run time of a job.
    pub fn run_ms(&self, key: Key, declared_ms: Millis) -> Millis {
        let history = self.run_times[key.0 as usize];
        let prior = ((declared_ms.max(1)) as f64).ln() + self.ratio.value;
        let weight = (history.count / FULL_WEIGHT_SAMPLES).min(1.0);
        let expected = prior * (1.0 - weight) + history.value * weight;
        expected.exp().round().max(1.0) as Millis
    }
}

/// Returns the expected time until a running job ends.
pub fn remaining_ms(expected_ms: Millis, started_ms: Millis, now: Millis) -> Millis {
    let ran = now.saturating_sub(started_ms);
    if ran < expected_ms {
        expected_ms - ran
    } else {
        (ran / 2).max(1)
    }
}
