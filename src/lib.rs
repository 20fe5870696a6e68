//! oriolereel schedules multi-accelerator jobs under client account guarantees.

pub mod agent;
pub mod clock;
pub mod command;
pub mod config;
pub mod console;
pub mod control;
pub mod dev;
pub mod entry;
pub mod error;
pub mod explain;
pub mod ledger;
pub mod limit;
pub mod map;
pub mod platform;
pub mod query;
pub mod raft;
pub mod report;
pub mod roster;
pub mod route;
pub mod sched;
pub mod serve;
pub mod settings;
pub mod store;
pub mod telemetry;
pub mod uplink;
pub mod wire;
