//! The replicated state of the control group.
//!
//! Commands record the leader's decisions. Applying a command is deterministic, so all members, and
//! a replay of the log, reach the same state. Queries only read the state.

pub mod apply;
pub mod burn;
pub mod command;
pub mod query;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::codec;
use crate::config;
use crate::config::diff;
use crate::error;
use crate::flow;
use crate::flow::catalog;
use crate::flow::durations;
use crate::raft::Index;
use crate::sched::event;
use crate::sched::{JobId, Millis};

pub use command::Command;

/// Result of encoding or decoding the state.
pub type Result<T> = error::Result<T>;

/// Maximum number of configuration changes kept for processes that missed some, and of the items that
/// they changed. The last change is kept in any case.
pub const KEPT_REVISIONS: usize = 1_024;
pub const KEPT_CHANGED_ITEMS: usize = 8_192;

/// Number of decisions kept for each job.
pub const KEPT_NOTES: usize = 32;

/// A caller's request, as accepted by an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    pub account: String,
    pub service: String,
    /// Idempotency key.
    pub key: String,
    /// Region of the entry that accepted the request.
    pub region: String,
    pub repeatable: bool,
    pub content_type: String,
    pub body: Bytes,
    /// Checksum of service and body, which distinguishes a resent request from another request with
    /// the same key.
    pub digest: u32,
    /// Time from submission to the deadline.
    pub deadline_ms: Millis,
}

/// What a job needs to run, copied from its service at submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requirements {
    pub tasks: u32,
    /// Resources of each task.
    pub each: config::Resources,
    /// Scope that all tasks must be placed in.
    pub within: config::Within,
    pub urgent: bool,
    /// Run time that the service declares.
    pub declared_ms: Millis,
}

/// An order to stop a granted gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    pub cause: event::Cause,
    pub grace_ms: Millis,
}

/// Permission for an agent to run a job's gang.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub agent: String,
    /// Incarnation of the agent that the grant is for; later incarnations refuse it.
    pub incarnation: u64,
    pub attempt: u32,
    /// Fencing token: index of the log entry that placed the gang.
    pub token: Index,
    pub placement: event::Placement,
    pub placed_ms: Millis,
    pub stop: Option<Stop>,
    pub throttled: bool,
}

/// Location and properties of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    pub agent: String,
    pub attempt: u32,
    pub status: u16,
    pub content_type: String,
    pub length: u64,
    pub checksum: u32,
    /// The answer itself, if it is small and the job is not repeatable.
    pub inline: Option<Bytes>,
}

/// Result of a job that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Kind of error, or `None` if the job was answered.
    pub kind: Option<error::Kind>,
    pub ran: error::Ran,
    pub detail: String,
    pub ended_ms: Millis,
    pub run_ms: Millis,
    pub answer: Option<Answer>,
}

/// State of a job in its life cycle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    Waiting,
    Granted(Grant),
    Ended(Outcome),
}

/// A decision about a job, with its time and reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    pub at_ms: Millis,
    pub reason: event::Reason,
}

/// A job: an accepted request and its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    pub id: JobId,
    pub request: Request,
    pub requirements: Requirements,
    pub submitted_ms: Millis,
    pub attempts: u32,
    /// Whether any earlier attempt ran.
    pub ran: error::Ran,
    pub phase: Phase,
    /// Index of the last log entry that changed the job.
    pub changed_index: Index,
    pub notes: Vec<Note>,
}

/// A registered worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    pub name: String,
    pub addr: SocketAddr,
    pub info: event::Worker,
    pub is_up: bool,
    pub is_quarantined: bool,
}

/// A registered agent, which runs beside a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agent {
    pub addr: SocketAddr,
    pub region: String,
    pub incarnation: u64,
}

/// An accepted change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    pub hash: config::Hash,
    pub at_ms: Millis,
    /// Description of the change, one line for each item.
    pub changes: Vec<String>,
    pub delta: diff::Delta,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    applied: Index,
    config: config::Config,
    hash: config::Hash,
    revisions: VecDeque<Revision>,
    workers: Vec<Worker>,
    worker_keys: BTreeMap<String, event::WorkerKey>,
    agents: BTreeMap<String, Agent>,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs by client account and idempotency key.
    keys: BTreeMap<(String, String), JobId>,
    /// Jobs with a grant, by agent.
    granted: BTreeMap<String, Vec<JobId>>,
    /// Ended jobs with the time of their end, in log order.
    ended: VecDeque<(Millis, JobId)>,
    next_job: JobId,
    burn: burn::Burn,
    flow: flow::Registry,
}

impl Ledger {
    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    /// `Internal` if it cannot be encoded.
    pub fn encode(&self) -> Result<Bytes> {
        codec::encode(self)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    /// `Storage` if the bytes are not a snapshot of this format version.
    pub fn decode(data: &[u8]) -> Result<Self> {
        let decode = |data: &[u8]| codec::decode::<Self>("snapshot", data);
        let mut ledger = decode(data).or_else(|err| {
            decode(&[data, &missing_fields()?].concat()).map_err(|_still_invalid| err)
        })?;
        ledger.flow.rebuild();
        Ok(ledger)
    }
}

/// Returns what a snapshot of a build before evacuations, estimates and limits lacks at its end.
fn missing_fields() -> Result<Bytes> {
    let limits = (0_u64, catalog::Limits::default());
    codec::encode(&(
        BTreeSet::<String>::new(),
        durations::Durations::default(),
        limits,
    ))
}

impl Job {
    /// Returns the job's description for the scheduler.
    pub fn spec(&self) -> event::Spec {
        event::Spec {
            id: self.id,
            account: self.request.account.clone(),
            service: self.request.service.clone(),
            region: self.request.region.clone(),
            tasks: self.requirements.tasks,
            each: self.requirements.each,
            within: self.requirements.within,
            urgent: self.requirements.urgent,
            repeatable: self.request.repeatable,
            declared_ms: self.requirements.declared_ms,
            submitted_ms: self.submitted_ms,
        }
    }

    /// Returns the job's deadline on the leader's clock.
    pub fn deadline_ms(&self) -> Millis {
        self.submitted_ms.saturating_add(self.request.deadline_ms)
    }

    /// Returns the job's grant, if it has one.
    pub fn grant(&self) -> Option<&Grant> {
        match &self.phase {
            Phase::Granted(grant) => Some(grant),
            Phase::Waiting | Phase::Ended(_) => None,
        }
    }

    /// Returns the job's outcome, if it has ended.
    pub fn outcome(&self) -> Option<&Outcome> {
        match &self.phase {
            Phase::Ended(outcome) => Some(outcome),
            Phase::Waiting | Phase::Granted(_) => None,
        }
    }
}
