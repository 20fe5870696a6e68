//! Messages exchanged between processes.

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

/// Role of a process in the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    Entry,
    Agent,
    Control,
}

/// Identity of a process, as the process itself reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    pub name: String,
    pub role: Role,
    pub region: String,
    pub addr: SocketAddr,
    /// Differs after each restart.
    pub incarnation: u64,
    /// Generation of the configuration that the process uses.
    pub generation: u64,
}

/// A target as its agent reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    pub name: String,
    pub services: Vec<String>,
    pub slots: u32,
    pub connections: u32,
    /// Whether the target accepts new work.
    pub ready: bool,
}

/// A worker, as an agent or entry that collects its announcements reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    pub name: String,
    pub addr: SocketAddr,
    pub region: String,
    pub domain: String,
    pub rack: String,
    pub total: config::Resources,
    /// Leases on this worker.
    pub leases: Vec<Lease>,
}

/// A lease on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    pub job: JobId,
    /// Fencing token.
    pub token: Index,
    /// Memory in use.
    pub memory_gb: u32,
}

/// Periodic report of an agent or entry to the leader, sent once a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub node: Node,
    pub target: Option<Target>,
    /// Workers that are new or have changed, or all workers if `full` is set.
    pub workers: Vec<Worker>,
    /// Names of workers that no longer announce themselves.
    pub gone: Vec<String>,
    pub full: bool,
    /// Jobs that the agent holds, each with its attempt number.
    pub jobs: Vec<(JobId, u32)>,
}

/// A long poll for configuration and grants, answered with `Update`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    pub node: Node,
    /// Log index up to which the process has received changes.
    pub seen: Index,
    pub wait_ms: Millis,
}

/// A worker of a gang, as sent to the gang's agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub worker: event::WorkerKey,
    pub name: String,
    pub addr: SocketAddr,
    pub tasks: u32,
}

/// A grant, as sent to the agent that runs the gang.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub job: JobId,
    pub attempt: u32,
    /// Fencing token.
    pub token: Index,
    pub incarnation: u64,
    pub account: String,
    pub service: String,
    pub repeatable: bool,
    pub content_type: String,
    pub body: Bytes,
    pub members: Vec<Member>,
    pub each: config::Resources,
    /// Time that remains until the caller's deadline.
    pub remaining_ms: Millis,
    pub stop: Option<ledger::Stop>,
    pub throttled: bool,
}

/// Answer to `Watch`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Log index that the answering member has applied.
    pub index: Index,
    /// Whether the answering member holds the leader's lease, or was recently in contact with the
    /// leader.
    pub fresh: bool,
    pub config: Option<query::Catchup>,
    /// All grants of the agent; valid only if `has_grants` is set.
    pub grants: Vec<Grant>,
    /// Whether `grants` is filled in. It is not in an update for an entry.
    pub has_grants: bool,
}

/// Result of a granted gang, as its agent reports it to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    pub agent: String,
    pub incarnation: u64,
    pub job: JobId,
    pub attempt: u32,
    pub end: event::End,
    /// Whether the request ran on the target.
    pub ran: error::Ran,
    pub kind: Option<error::Kind>,
    pub detail: String,
    pub run_ms: Millis,
    pub answer: Option<ledger::Answer>,
}

/// State of a job, as sent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub job: JobId,
    pub stage: Stage,
    /// Whether this request repeats an earlier one and was attached to the same job.
    pub attached: bool,
}

/// Stage of a job's life cycle.
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

/// A part of an answer's body, with the metadata of the whole answer.
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

/// A read request of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    Status,
    Accounts,
    Jobs,
    Workers,
    Targets,
    Members,
    Explain(JobId),
    /// Like `Explain`, for a job of several steps.
    ExplainSteps(flow::JobId),
    Burn,
    Config,
}

/// A message: a request, or the answer to one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    Ok,
    Fault(error::Error),
    /// The answering member is not the leader.
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
        /// `Stage::progress` that the entry has seen; a higher one ends the wait.
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
    /// The job's answer is not available yet.
    Pending,
    /// The agent has no such grant or answer; `tombstone` is set if the gang has ended there.
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
    /// A JSON document for an operator.
    Document(String),
    /// A call about jobs of several steps and their workers.
    Flow(flow::message::Call),
    /// The answer to `Flow`.
    FlowReply(flow::message::Reply),
}
