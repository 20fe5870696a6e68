//! Commands: the leader's decisions on jobs and workers, as they are replicated in the log.

use serde::{Deserialize, Serialize};

use crate::flow::catalog;
use crate::flow::job;
use crate::flow::registry::{Cause, End, Info};
use crate::flow::{JobId, Run, UnitId, WorkerKey};

/// An accepted job, with a copy of its queue's settings at the time of acceptance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    pub id: JobId,
    pub queue: catalog::Queue,
    pub account: String,
    pub spec: job::Spec,
}

/// A change to the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the catalog, unless the current version is as high.
    Declare(Box<catalog::Catalog>),
    Accept(Box<Accepted>),
    Cancel {
        job: JobId,
    },
    /// Creates the units of an occurrence.
    Open {
        job: JobId,
        occurrence: u32,
    },
    /// Starts a unit under a new run number, with one worker for each task in order.
    Place {
        unit: UnitId,
        run: u32,
        workers: Vec<WorkerKey>,
    },
    /// Requests that a unit's run stops.
    Stop {
        unit: UnitId,
        cause: Cause,
    },
    /// Records how a run of a task ended on a worker.
    EndRun {
        worker: WorkerKey,
        /// Number of the end in the worker's list; zero for a run that never started there.
        number: u64,
        run: Run,
        end: End,
        /// Latest checkpoint; empty for none.
        checkpoint: String,
    },
    /// Adds a new incarnation of a worker.
    RegisterWorker {
        key: WorkerKey,
        info: Info,
    },
    /// Allows new runs on a fenced worker after its old leases have expired.
    Unfence {
        worker: WorkerKey,
    },
    /// Removes an incarnation of a worker and ends every run on it.
    RemoveWorker {
        worker: WorkerKey,
        /// Latest reported checkpoint of each run.
        checkpoints: Vec<(Run, String)>,
    },
    /// Evacuates a failure domain, whose workers get no new runs then, or revokes that.
    Evacuate {
        domain: String,
        evacuated: bool,
    },
    /// Sets the limits of callers' requests that the catalog of this version declares. They are not part
    /// of the catalog, whose encoding in logs and snapshots of earlier builds stays readable.
    Limit {
        version: u64,
        limits: catalog::Limits,
    },
}
