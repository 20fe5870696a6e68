//! What entries, agents and operators say to the leader about jobs, and what it answers.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::flow::catalog;
use crate::flow::job;
use crate::flow::registry;
use crate::flow::{Millis, Run, WorkerKey};
use crate::raft::Index;

/// A caller's words on a queue or job, as an entry hands them on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    pub host: String,
    pub path: String,
    pub key: Option<String>,
    pub action: Action,
}

/// What a caller wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    Submit(Box<job::Spec>),
    Read,
    Cancel,
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    Cancelled,
    State(registry::State, bool),
    Pending(u64),
    UnknownJob,
    UnknownQueue,
    Unauthorized,
    /// Nothing has been declared yet; the job does not run.
    Undeclared,
    Invalid(String),
}

/// A run as a worker lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Active {
    pub run: Run,
    pub checkpoint: String,
    pub percent: u32,
}

/// An end as a worker lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    pub number: u64,
    pub run: Run,
    pub end: registry::End,
    pub checkpoint: String,
}

/// What an agent knows of its worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub instance: String,
    pub info: registry::Info,
    /// Whether the worker takes no new work, and the time that it has left.
    pub draining: bool,
    pub remaining_ms: Millis,
    /// Whether the worker answers.
    pub responsive: bool,
    /// Age of what is said of runs and ends.
    pub age_ms: Millis,
    /// Whether its leases are over, so that nothing of this incarnation runs.
    pub expired: bool,
    pub active: Vec<Active>,
    pub ended: Vec<Ended>,
    /// Runs that have not begun and never will.
    pub absent: Vec<Run>,
    /// Key under which the worker has come back after it was given up, once its lease has lapsed.
    pub unfence: Option<WorkerKey>,
}

/// A long poll of an agent for its orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    pub instance: String,
    /// Name and start of the worker's incarnation, once known.
    pub worker: Option<(String, u64)>,
    /// Index up to which the agent has seen changes.
    pub seen_index: Index,
    pub wait_ms: Millis,
    /// Runs whose payload the agent needs no more.
    pub known: Vec<Run>,
}

/// A run to be started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    pub run: Run,
    pub payload: Bytes,
    pub checkpoint: String,
}

/// Answers `Poll`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Incarnation that the orders are for.
    pub worker: Option<(WorkerKey, registry::Info)>,
    /// Fencing token; rises with each leadership.
    pub token: u64,
    pub index: Index,
    /// Ends up to this number are in the log.
    pub cursor: u64,
    /// Every run that is to be there, with what the agent does not know of it.
    pub starts: Vec<Start>,
    pub wanted: Vec<Run>,
    pub stops: Vec<Run>,
    /// Whether the worker had been given up, and its lease is to lapse before anything counts.
    pub fenced: bool,
    /// Addresses of the control members.
    pub members: Vec<SocketAddr>,
}

/// A message to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    Request(Request),
    Declare(Box<catalog::Catalog>),
    ReadCatalog,
    Poll(Poll),
    Report(Box<Report>),
    /// Asks for the addresses of the control members.
    Members,
    /// A control member that is not in touch with the group asks for its place there.
    Join {
        id: u64,
        addr: SocketAddr,
        blank: bool,
    },
}

/// The leader's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    Answer(Answer),
    /// Version in force and its text.
    Catalog(u64, Bytes),
    Orders(Box<Orders>),
    Members(Vec<SocketAddr>),
}
