//! Consensus without I/O: the core takes the time and an event and returns effects.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, USENIX ATC 2014) with pre-vote, quorum check,
//! leader lease for reads, learners, single-member changes, leadership transfer and snapshots in
//! chunks (Ongaro's dissertation, 2014, chapters 3, 4, 6 and 9).

pub mod log;
pub mod members;
pub mod message;
pub mod node;
pub mod progress;

/// Identity of a control member. An identity is never used twice.
pub type Id = u64;

/// Position in the replicated log; the first entry has index 1.
pub type Index = u64;

/// Election term.
pub type Term = u64;

/// Milliseconds on the caller's monotonic clock.
pub type Millis = u64;
