//! The messages between processes.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::config;
use crate::error;
use crate::flow;
use crate::ledger;
use crate::ledger::query;
use crate::raft::Index;
use crate::raft::members;
use crate::raft::message;
use crate::sched::event;
use crate::sched::{JobId, Millis};

/// What a process does in the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    Entry,
    Agent,
    Control,
}

/// A process as it presents itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    pub name: String,
    pub role: Role,
    pub region: String,
    pub addr: SocketAddr,
    /// Differs at each start.
    pub incarnation: u64,
    /// Configuration in force there.
    pub generation: u64,
}

/// A target as its agent reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    pub name: String,
    pub services: Vec<String>,
    pub slots: u32,
    pub connections: u32,
    /// Whether it may get new work.
    pub ready: bool,
}

/// A worker as an aggregator reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    pub name: String,
    pub addr: SocketAddr,
    pub region: String,
    pub domain: String,
    pub rack: String,
    pub total: config::Resources,
    /// Jobs with a lease there, with their fencing tokens and memory in use.
    pub leases: Vec<Lease>,
}

/// A lease on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    pub job: JobId,
    pub token: Index,
    pub memory_gb: u32,
}

/// What an agent or entry tells the leader once a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub node: Node,
    pub target: Option<Target>,
    /// Workers that are new or have changed, or all when `full`.
    pub workers: Vec<Worker>,
    /// Workers that are no longer heard of.
    pub gone: Vec<String>,
    pub full: bool,
    /// Jobs that the agent holds, with their attempts.
    pub jobs: Vec<(JobId, u32)>,
}

/// A long poll for configuration and grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    pub node: Node,
    /// Index up to which the process has seen changes.
    pub seen: Index,
    pub wait_ms: Millis,
}

/// A member of a gang as its agent needs it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub worker: event::WorkerKey,
    pub name: String,
    pub addr: SocketAddr,
    pub tasks: u32,
}

/// A grant as its agent needs it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub job: JobId,
    pub attempt: u32,
    pub token: Index,
    pub incarnation: u64,
    pub account: String,
    pub service: String,
    pub repeatable: bool,
    pub content_type: String,
    pub body: Bytes,
    pub members: Vec<Member>,
    pub each: config::Resources,
    /// Time left until the caller's deadline.
    pub remaining_ms: Millis,
    pub stop: Option<ledger::Stop>,
    pub throttled: bool,
}

/// Answers `Watch`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Index that the answering member has applied.
    pub index: Index,
    /// Whether that member has heard from a quorum's leader within the lease.
    pub fresh: bool,
    pub config: Option<query::Catchup>,
    /// All grants of the agent.
    pub grants: Vec<Grant>,
    /// Whether `grants` says something; it does not to an entry.
    pub has_grants: bool,
}

/// How a granted gang ended, as its agent tells the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    pub agent: String,
    pub incarnation: u64,
    pub job: JobId,
    pub attempt: u32,
    pub end: event::End,
    /// Whether the request reached the target.
    pub ran: error::Ran,
    pub kind: Option<error::Kind>,
    pub detail: String,
    pub run_ms: Millis,
    pub answer: Option<ledger::Answer>,
}

/// Where a job stands, as an entry needs it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub job: JobId,
    pub stage: Stage,
    /// Whether the request had been submitted before.
    pub attached: bool,
}

/// Stage of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    Waiting,
    Granted {
        agent: SocketAddr,
        attempt: u32,
    },
    Ended {
        outcome: Box<ledger::Outcome>,
        agent: Option<SocketAddr>,
    },
}

impl Stage {
    /// Returns a number that only rises as the job advances.
    pub fn progress(&self, attempts: u32) -> u32 {
        match self {
            Self::Waiting => attempts * 2,
            Self::Granted { attempt, .. } => attempt * 2 - 1,
            Self::Ended { .. } => u32::MAX,
        }
    }
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    pub job: JobId,
    pub attempt: u32,
    pub status: u16,
    pub content_type: String,
    pub length: u64,
    pub checksum: u32,
    pub offset: u64,
    pub data: Bytes,
}

/// What an operator asks to read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    Status,
    Accounts,
    Jobs,
    Workers,
    Targets,
    Members,
    Explain(JobId),
    /// The same for a job of several steps.
    ExplainSteps(flow::JobId),
    Burn,
    Config,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    Ok,
    Fault(error::Error),
    /// Whoever answers does not lead.
    Redirect {
        leader: Option<SocketAddr>,
    },
    Raft {
        message: message::Message,
        addr: SocketAddr,
    },
    Submit {
        request: ledger::Request,
    },
    Await {
        account: String,
        job: JobId,
        seen: u32,
        wait_ms: Millis,
    },
    View(View),
    Cancel {
        account: String,
        job: JobId,
    },
    Decisions {
        account: String,
        job: JobId,
    },
    Watch(Watch),
    Update(Update),
    Report(Report),
    Reported {
        want_full: bool,
    },
    Finish(Finish),
    Collect {
        job: JobId,
        attempt: u32,
        offset: u64,
        wait_ms: Millis,
    },
    Part(Part),
    /// The answer is not there yet.
    Pending,
    /// The agent has no such grant or answer.
    Gone {
        tombstone: bool,
    },
    Configure {
        config: Box<config::Config>,
        dry_run: bool,
    },
    Configured {
        generation: u64,
        hash: config::Hash,
        changes: Vec<String>,
        resent: bool,
    },
    Change(members::Change),
    Query(Query),
    /// A document for the operator, as JSON.
    Document(String),
    /// About jobs of several steps and their workers.
    Flow(flow::message::Call),
    FlowReply(flow::message::Reply),
}
