//! Commands: the leader's decisions, as stored in the log.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::codec;
use crate::config;
use crate::config::diff;
use crate::error;
use crate::flow;
use crate::ledger::{Outcome, Request, Requirements, Result, Stop};
use crate::sched::event;
use crate::sched::{JobId, Millis};

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the configuration.
    Configure {
        delta: diff::Delta,
        hash: config::Hash,
        changes: Vec<String>,
    },
    /// Accepts a request as a job.
    Submit {
        job: JobId,
        request: Request,
        requirements: Requirements,
    },
    /// Grants a gang to an agent.
    Place {
        job: JobId,
        agent: String,
        incarnation: u64,
        placement: event::Placement,
        reason: event::Reason,
    },
    /// Stops a granted gang.
    Stop {
        job: JobId,
        stop: Stop,
        reason: event::Reason,
    },
    /// Slows a granted gang down.
    Throttle { job: JobId, reason: event::Reason },
    /// Returns a job whose gang has ended to its queue.
    Requeue {
        job: JobId,
        ran: error::Ran,
        reason: event::Reason,
    },
    /// Ends a job permanently.
    End {
        job: JobId,
        outcome: Outcome,
        reason: event::Reason,
    },
    /// Registers a worker that has appeared or come back.
    WorkerUp {
        name: String,
        addr: SocketAddr,
        info: event::Worker,
    },
    /// Records that a worker is lost.
    WorkerDown { key: event::WorkerKey },
    /// Quarantines a worker (`on`), or ends its quarantine.
    Quarantine { key: event::WorkerKey, on: bool },
    /// Registers an agent that has appeared or restarted.
    AgentUp {
        name: String,
        addr: SocketAddr,
        region: String,
        incarnation: u64,
    },
    /// Removes jobs that ended before a time, with their idempotency keys.
    Expire { before_ms: Millis },
    /// Changes jobs of several steps or their workers.
    Flow(flow::Command),
}

/// Commands that were decided together and share a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Leader's clock when it decided.
    pub at_ms: Millis,
    pub commands: Vec<Command>,
}

impl Batch {
    /// Encodes the batch for the log.
    ///
    /// # Errors
    /// `Internal` if it cannot be encoded.
    pub fn encode(&self) -> Result<Bytes> {
        codec::encode(self)
    }

    /// Decodes a batch from the log.
    ///
    /// # Errors
    /// `Storage` if the bytes are not a batch of this format version.
    pub fn decode(data: &[u8]) -> Result<Self> {
        codec::decode("log entry", data)
    }
}
