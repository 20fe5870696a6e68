//! Client accounts: who is next.
//!
//! Between accounts the lowest dominant share by weight goes first (DRF). Within an account urgent
//! jobs go first, then those with the least service to come, discounted by how long they have
//! waited, so that nothing waits for ever.

use crate::config::Resources;
use crate::sched::Millis;

/// One in parts per million.
const PPM: u64 = 1_000_000;

/// A client account's queue and use.
#[derive(Clone, Debug)]
pub struct Account<K> {
    pub name: String,
    pub weight: u32,
    /// Most jobs that may wait.
    pub limit: u32,
    pub waiting: Vec<K>,
    /// In use by its gangs, guaranteed or borrowed.
    pub used: Resources,
}

impl<K> Account<K> {
    /// Largest share of any resource, divided by the weight, in parts per million.
    pub fn share_ppm(&self, total: &Resources) -> u64 {
        let of = |used: u32, total: u32| {
            (u64::from(used) * PPM)
                .checked_div(u64::from(total))
                .unwrap_or(0)
        };
        let dominant = of(self.used.accelerators, total.accelerators)
            .max(of(self.used.cpus, total.cpus))
            .max(of(self.used.memory_gb, total.memory_gb));
        dominant / u64::from(self.weight.max(1))
    }
}

/// What a job's place in its account's queue depends on.
#[derive(Clone, Copy, Debug)]
pub struct Factors {
    pub urgent: bool,
    pub expected_ms: Millis,
    pub accelerators: u32,
    pub waited_ms: Millis,
    /// Weight of completion time, from 0 to 100.
    pub completion: u32,
}

/// Waiting time that halves a job's reckoned service, as a multiple of its expected run time.
const AGING_FACTOR: u64 = 4;

/// Shortest waiting time that counts as long.
const MIN_AGING_MS: Millis = 60_000;

/// Sort key of a waiting job; the lowest goes first.
pub fn rank(factors: &Factors) -> (bool, u64) {
    let width = u64::from(factors.accelerators.max(1));
    let service = match factors.completion {
        0 => u64::from(u32::MAX),
        _ => factors.expected_ms.saturating_mul(width),
    };
    let aging_ms = (factors.expected_ms * AGING_FACTOR).max(MIN_AGING_MS);
    let aged =
        u128::from(service) * u128::from(aging_ms) / u128::from(aging_ms + factors.waited_ms);
    // Squaring the wait's effect keeps a long one from being outrun by ever new short jobs.
    let aged = aged * u128::from(aging_ms) / u128::from(aging_ms + factors.waited_ms);
    (!factors.urgent, u64::try_from(aged).unwrap_or(u64::MAX))
}
