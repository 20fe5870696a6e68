//! Order in which client accounts and their waiting jobs are served.
//!
//! The account with the lowest weighted dominant share goes first (DRF). Within an account urgent
//! jobs go first, then those with the least expected service, discounted by their waiting time so
//! that no job starves.

use crate::config::Resources;
use crate::sched::Millis;

/// Parts per million in a whole.
const PPM: u64 = 1_000_000;

/// Queue and resource usage of a client account.
#[derive(Clone, Debug)]
pub struct Account<K> {
    pub name: String,
    pub weight: u32,
    /// Maximum number of waiting jobs.
    pub limit: u32,
    pub waiting: Vec<K>,
    /// Resources in use by its gangs, guaranteed or borrowed.
    pub used: Resources,
}

impl<K> Account<K> {
    /// Returns the largest share of any resource, divided by the weight, in parts per million.
    pub fn share_ppm(&self, total: &Resources) -> u64 {
        let share_of = |used: u32, total: u32| {
            (u64::from(used) * PPM)
                .checked_div(u64::from(total))
                .unwrap_or(0)
        };
        let dominant = share_of(self.used.accelerators, total.accelerators)
            .max(share_of(self.used.cpus, total.cpus))
            .max(share_of(self.used.memory_gb, total.memory_gb));
        dominant / u64::from(self.weight.max(1))
    }
}

/// Properties that determine a job's rank in its account's queue.
#[derive(Clone, Copy, Debug)]
pub struct Factors {
    pub urgent: bool,
    pub expected_ms: Millis,
    pub accelerators: u32,
    pub waited_ms: Millis,
    /// Configured weight of completion time, from 0 to 100.
    pub completion: u32,
}

/// Waiting time, in multiples of the expected run time, at which the aging factor is one half.
const AGING_RUN_TIMES: u64 = 4;

/// Minimum waiting time at which the aging factor is one half.
const MIN_AGING_MS: Millis = 60_000;

/// Returns the sort key of a waiting job; the lowest goes first.
pub fn rank(factors: &Factors) -> (bool, u64) {
    let width = u64::from(factors.accelerators.max(1));
    let service = match factors.completion {
        0 => u64::from(u32::MAX),
        _ => factors.expected_ms.saturating_mul(width),
    };
    let aging_ms = (factors.expected_ms * AGING_RUN_TIMES).max(MIN_AGING_MS);
    let aged =
        u128::from(service) * u128::from(aging_ms) / u128::from(aging_ms + factors.waited_ms);
    // The aging factor is squared so that a job that waited long overtakes a steady stream of new
    // short jobs.
    let aged = aged * u128::from(aging_ms) / u128::from(aging_ms + factors.waited_ms);
    (!factors.urgent, u64::try_from(aged).unwrap_or(u64::MAX))
}
