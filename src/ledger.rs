//! The replicated state of the control group.
//!
//! Commands record what the leader has decided; applying one never decides anything, so every
//! member and every replay comes to the same state. Queries only read.

pub mod apply;
pub mod burn;
pub mod command;
pub mod query;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::codec;
use crate::config;
use crate::config::diff;
use crate::error;
use crate::flow;
use crate::raft::Index;
use crate::sched::event;
use crate::sched::{JobId, Millis};

pub use command::Command;

/// Result of encoding or decoding the state.
pub type Result<T> = error::Result<T>;

/// Configuration changes kept for processes that missed some.
pub const KEPT_REVISIONS: usize = 1_024;

/// Notes kept for each job.
pub const KEPT_NOTES: usize = 32;

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    pub account: String,
    pub service: String,
    /// Idempotency key.
    pub key: String,
    /// Region of the entry that took it.
    pub region: String,
    pub repeatable: bool,
    pub content_type: String,
    pub body: Bytes,
    /// Checksum of service and body, by which a reused key is told from a resend.
    pub digest: u32,
    /// Time left until its deadline when the leader took it.
    pub deadline_ms: Millis,
}

/// The form of a job, taken from its service when it was submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requirements {
    pub tasks: u32,
    pub each: config::Resources,
    pub within: config::Within,
    pub urgent: bool,
    pub declared_ms: Millis,
}

/// An order to stop a granted gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    pub cause: event::Cause,
    pub grace_ms: Millis,
}

/// The right of an agent to run a job's gang.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub agent: String,
    /// Start of the agent that the grant is for; a later start of it refuses the grant.
    pub incarnation: u64,
    pub attempt: u32,
    /// Fencing token: index of the log entry that placed the gang.
    pub token: Index,
    pub placement: event::Placement,
    pub placed_ms: Millis,
    pub stop: Option<Stop>,
    pub throttled: bool,
}

/// Where an answer can be had.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    pub agent: String,
    pub attempt: u32,
    pub status: u16,
    pub content_type: String,
    pub length: u64,
    pub checksum: u32,
    /// The whole answer, when it is small and the job must not run again.
    pub inline: Option<Bytes>,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Nothing for a job that was answered.
    pub kind: Option<error::Kind>,
    pub ran: error::Ran,
    pub detail: String,
    pub ended_ms: Millis,
    pub run_ms: Millis,
    pub answer: Option<Answer>,
}

/// Where a job stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    Waiting,
    Granted(Grant),
    Ended(Outcome),
}

/// A decision with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    pub at_ms: Millis,
    pub reason: event::Reason,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    pub id: JobId,
    pub request: Request,
    pub requirements: Requirements,
    pub submitted_ms: Millis,
    pub attempts: u32,
    /// What is known of earlier attempts.
    pub ran: error::Ran,
    pub phase: Phase,
    /// Index of the last entry that changed it.
    pub changed_index: Index,
    pub notes: Vec<Note>,
}

/// A worker as the ledger knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    pub name: String,
    pub addr: SocketAddr,
    pub info: event::Worker,
    pub is_up: bool,
    pub is_quarantined: bool,
}

/// An agent and the target beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agent {
    pub addr: SocketAddr,
    pub region: String,
    pub incarnation: u64,
}

/// A configuration that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    pub hash: config::Hash,
    pub at_ms: Millis,
    /// What it changed, one line for each item.
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
    keys: BTreeMap<(String, String), JobId>,
    granted: BTreeMap<String, Vec<JobId>>,
    ended: VecDeque<(Millis, JobId)>,
    next_job: JobId,
    burn: burn::Burn,
    flow: flow::Registry,
}

impl Ledger {
    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    /// `Internal` when it cannot be encoded.
    pub fn encode(&self) -> Result<Bytes> {
        codec::encode(self)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    /// `Storage` when the bytes are not a snapshot of this version.
    pub fn decode(data: &[u8]) -> Result<Self> {
        codec::decode("snapshot", data)
    }
}

impl Job {
    /// What the scheduler needs to know of it.
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

    /// Leader's clock at its deadline.
    pub fn deadline_ms(&self) -> Millis {
        self.submitted_ms.saturating_add(self.request.deadline_ms)
    }

    /// Its grant, while it has one.
    pub fn grant(&self) -> Option<&Grant> {
        match &self.phase {
            Phase::Granted(grant) => Some(grant),
            Phase::Waiting | Phase::Ended(_) => None,
        }
    }

    /// How it ended, once it has.
    pub fn outcome(&self) -> Option<&Outcome> {
        match &self.phase {
            Phase::Ended(outcome) => Some(outcome),
            Phase::Waiting | Phase::Granted(_) => None,
        }
    }
}
