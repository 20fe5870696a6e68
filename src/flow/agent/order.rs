//! Messages between an agent and its worker.

use bytes::Bytes;

use crate::flow::message::{Active, Ended};
use crate::flow::registry::Info;
use crate::flow::{Millis, Run};

/// A call that the agent must make to its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Start(Box<Start>),
    Stop(Stop),
}

/// A call to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Name of the worker that is meant to execute the call.
    pub worker: String,
    pub run: Run,
    pub payload: Bytes,
    pub checkpoint: String,
    /// Time on the worker's clock at which the call and the lease expire.
    pub expires_ms: Millis,
    pub token: u64,
    /// Number of the incarnation that is meant, counted by the agent.
    pub epoch: u64,
}

/// A call to stop a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Name of the worker; empty for whichever is there.
    pub worker: String,
    pub run: Run,
    pub token: u64,
    /// Number of the incarnation that is meant, counted by the agent.
    pub epoch: u64,
}

/// A call for the worker's lists, which may also extend its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    /// Name of the worker; empty for whichever is there.
    pub worker: String,
    pub token: u64,
    pub cursor: u64,
    /// End of the extended lease on the worker's clock; nothing if the lease is not extended.
    pub expires_ms: Option<Millis>,
    pub wait_ms: Millis,
}

/// The worker's lists of active and ended runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    pub incarnation: u64,
    /// Time on the worker's clock when it answered.
    pub clock_ms: Millis,
    pub active: Vec<Active>,
    /// Ends that are not acknowledged, the oldest first.
    pub ended: Vec<Ended>,
    /// Whether the worker may hold ends that are not listed, as an answer has a limited number of them.
    pub has_more_ends: bool,
    /// Number of rows that could not be read, each of which may stand for any run.
    pub unreadable_rows: usize,
}

/// Answer to a list call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Listing(Listing),
    /// Another worker than the named one has answered.
    WrongWorker,
    /// No usable answer.
    Unknown,
}

/// Outcome of a call to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Accepted,
    /// The worker has seen a later fencing token.
    Fenced,
    /// The run, or a later run of the task, was stopped or has ended on the worker.
    Superseded,
    /// The call arrived after its expiry time.
    Expired,
    /// The run does not fit into the free capacity.
    NoCapacity,
    /// The worker cannot interpret the call.
    Rejected,
    /// The worker is busy and did nothing; the call may be repeated.
    Busy,
    /// Another incarnation answered.
    WrongWorker,
    /// It is unknown whether the call was or will be executed.
    Unknown,
}

/// A worker's announcement of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Announcement {
    pub info: Info,
    /// Whether the worker accepts no new work, and the time until it stops.
    pub draining: bool,
    pub remaining_ms: Millis,
    /// Time on the worker's clock.
    pub clock_ms: Option<Millis>,
    /// Rises with each announcement of an incarnation.
    pub sequence: u64,
}
