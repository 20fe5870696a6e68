//! Commands: what the leader has decided, as the log carries it.

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
    /// Puts a configuration in force.
    Configure {
        delta: diff::Delta,
        hash: config::Hash,
        changes: Vec<String>,
    },
    /// Takes a request.
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
    /// Orders a granted gang to stop.
    Stop {
        job: JobId,
        stop: Stop,
        reason: event::Reason,
    },
    /// Orders a granted gang to slow down.
    Throttle { job: JobId, reason: event::Reason },
    /// Puts a job whose gang has ended back into its queue.
    Requeue {
        job: JobId,
        ran: error::Ran,
        reason: event::Reason,
    },
    /// Ends a job for good.
    End {
        job: JobId,
        outcome: Outcome,
        reason: event::Reason,
    },
    /// Records a worker that has appeared or come back.
    WorkerUp {
        name: String,
        addr: SocketAddr,
        info: event::Worker,
    },
    /// Records a worker that is no longer heard of.
    WorkerDown { key: event::WorkerKey },
    /// Takes a worker out of use or back.
    Quarantine { key: event::WorkerKey, on: bool },
    /// Records an agent that has appeared or restarted.
    AgentUp {
        name: String,
        addr: SocketAddr,
        region: String,
        incarnation: u64,
    },
    /// Forgets jobs that ended before a time, with their keys.
    Expire { before_ms: Millis },
    /// Changes jobs of several steps or their workers.
    Flow(flow::Command),
}

/// Commands that were decided together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Leader's clock.
    pub at_ms: Millis,
    pub commands: Vec<Command>,
}

impl Batch {
    /// Encodes the batch for the log.
    ///
    /// # Errors
    /// `Internal` when it cannot be encoded.
    pub fn encode(&self) -> Result<Bytes> {
        codec::encode(self)
    }

    /// Decodes a batch from the log.
    ///
    /// # Errors
    /// `Storage` when the bytes are not a batch of this version.
    pub fn decode(data: &[u8]) -> Result<Self> {
        codec::decode("log entry", data)
    }
}
