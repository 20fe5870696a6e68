//! Scheduling decisions: which gang runs on which workers, and which gangs are preempted for it.
//!
//! The core takes the current time and events and returns decisions. It has no clock, socket,
//! thread or randomness. It builds on HiveD (OSDI 2020) for guaranteed cells, FGD (USENIX ATC 2023)
//! for fragmentation, Tiresias (NSDI 2019) for least attained service, EASY backfilling (Lifka,
//! 1995) for reservations and DRF (NSDI 2011) for shares. docs/design/ states what was taken from
//! each.

pub mod bind;
pub mod core;
pub mod event;
pub mod fleet;
pub mod fragmentation;
pub mod gang;
pub mod guarantee;
pub mod health;
pub mod queue;
pub mod reclaim;
pub mod reserve;

pub use self::core::Scheduler;

/// Identity of a job, assigned by the ledger.
pub type JobId = u64;

/// Milliseconds on the leader's clock.
pub type Millis = u64;
