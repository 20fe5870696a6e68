//! The Raft consensus core of the control group.
//!
//! The core does no I/O: each call takes the current time and an event and returns the effects that
//! the caller has to carry out.
//!
//! It implements Raft (Ongaro and Ousterhout, USENIX ATC 2014) with pre-vote, quorum check, leader
//! leases for reads, learners, single-member membership changes, leadership transfer and chunked
//! snapshots (Ongaro's dissertation, 2014, chapters 3, 4, 6 and 9).

pub mod log;
pub mod members;
pub mod message;
pub mod node;
pub mod progress;

/// Identity of a control member, never reused after the member is removed.
pub type Id = u64;

/// Position in the replicated log; the first entry has index 1.
pub type Index = u64;

/// Election term.
pub type Term = u64;

/// Time in milliseconds on the caller's monotonic clock.
pub type Millis = u64;
