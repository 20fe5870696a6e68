//! A control member: consensus, storage, the replicated ledger and the leader's scheduling.

pub mod daemon;
pub mod disk;
pub mod flow;
pub mod group;
pub mod join;
pub mod leader;
pub mod member;
pub mod watch;
