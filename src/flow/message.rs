//! Messages about jobs that entries, agents and operators send to the leader, and its replies.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::control::size;
use crate::flow::catalog;
use crate::flow::job;
use crate::flow::registry;
use crate::flow::ticket::Ticket;
use crate::flow::{Millis, Run, WorkerKey};
use crate::raft::Index;

/// A caller's request on a queue or job, as an entry forwards it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    pub host: String,
    pub path: String,
    pub key: Option<String>,
    pub action: Action,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    Submit(Box<job::Spec>),
    Read,
    Cancel,
}

/// The leader's answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    Cancelled,
    /// State of a job, and whether any of its tasks has ever been placed.
    State(registry::State, bool),
    /// Number of jobs in a queue none of whose tasks has been placed yet.
    Pending(u64),
    UnknownJob,
    UnknownQueue,
    Unauthorized,
    /// No catalog has been declared yet. The job does not run.
    Undeclared,
    Invalid(String),
}

/// An active run in a worker's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Active {
    pub run: Run,
    pub checkpoint: String,
    pub percent: u32,
}

/// An ended run in a worker's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Position in the order of ends, counted by the worker.
    pub number: u64,
    pub run: Run,
    pub end: registry::End,
    pub checkpoint: String,
}

/// An agent's report on its worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub instance: String,
    pub info: registry::Info,
    /// Whether the worker is draining and accepts no new work, and the time until it stops.
    pub draining: bool,
    pub remaining_ms: Millis,
    /// Whether the worker answers calls.
    pub responsive: bool,
    /// Age of `active` and `ended`.
    pub age_ms: Millis,
    /// Whether every lease of the incarnation has expired and it no longer answers or is leaving. Its
    /// runs that the agent knows are then among those in `absent`.
    pub expired: bool,
    pub active: Vec<Active>,
    pub ended: Vec<Ended>,
    /// Runs that are not active and never will be.
    pub absent: Vec<Run>,
    /// Key of the worker, once it refuses calls under earlier keys and holds no run but those that the
    /// leader wants there. For a fenced worker: once its old leases have expired.
    pub settled: Option<WorkerKey>,
}

/// An agent's long poll for its orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    pub instance: String,
    /// Name and incarnation of the worker, once known.
    pub worker: Option<(String, u64)>,
    /// Log index up to which the agent has seen changes.
    pub seen_index: Index,
    pub wait_ms: Millis,
    /// Runs whose payload the agent does not need.
    pub known: Vec<Run>,
}

/// A run to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    pub run: Run,
    pub payload: Bytes,
    pub checkpoint: String,
}

/// Reply to `Poll`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Incarnation to which the orders apply.
    pub worker: Option<(WorkerKey, registry::Info)>,
    /// Fencing token; rises with each leadership.
    pub token: u64,
    pub index: Index,
    /// Ends up to this number are recorded in the log. Without a worker: the highest key that any worker
    /// has had.
    pub cursor: u64,
    /// Payloads of the wanted runs that the agent does not know.
    pub starts: Vec<Start>,
    /// Every run that should be active on the worker.
    pub wanted: Vec<Run>,
    /// Every run that should stop.
    pub stops: Vec<Run>,
    /// Whether the worker was declared lost before. It gets no runs, and its results do not count,
    /// until its old leases have expired.
    pub fenced: bool,
    /// Addresses of the control members.
    pub members: Vec<SocketAddr>,
    /// Whether the worker's failure domain is evacuated. Runs that the worker has not accepted are
    /// withdrawn then.
    pub evacuated: bool,
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
    /// Asks to be admitted to the group; sent by a control member that has no contact with it.
    Join {
        id: u64,
        addr: SocketAddr,
        /// Whether the member's log is empty.
        blank: bool,
    },
    /// As `Join`, with the place of the member, which also members of the group send.
    Enrol(Enrolment),
    /// Evacuates a failure domain or revokes that; answered once the log holds it. Without the valid
    /// ticket, it is answered with that and changes nothing.
    Evacuate {
        domain: String,
        evacuated: bool,
        ticket: Option<Ticket>,
    },
    /// Asks for the limits of callers' requests in force.
    Limits,
    /// As `Declare`, with the limits of callers' requests.
    DeclareWithin(Box<catalog::Catalog>, catalog::Limits),
}

/// A control member's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Enrolment {
    pub id: u64,
    pub addr: SocketAddr,
    /// Whether the member's log is empty.
    pub blank: bool,
    pub place: size::Place,
}

/// The leader's reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    Answer(Answer),
    /// Version of the current catalog and its document.
    Catalog(u64, Bytes),
    Orders(Box<Orders>),
    Members(Vec<SocketAddr>),
    /// Whether the domain of the call is evacuated now.
    Evacuation(bool),
    /// The ticket that an order needs.
    Ticket(Ticket),
    Limits(catalog::Limits),
}
