//! A control member: consensus, storage, the replicated ledger and the leader's scheduling.

mod admin;
pub mod daemon;
pub mod disk;
pub mod enrol;
pub mod flow;
pub mod group;
pub mod join;
pub mod leader;
pub mod member;
pub mod probe;
pub mod size;
pub mod watch;
