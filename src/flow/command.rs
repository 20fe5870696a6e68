//! Commands: what the leader has decided on jobs and workers, as the log carries it.

use serde::{Deserialize, Serialize};

use crate::flow::catalog;
use crate::flow::job;
use crate::flow::registry::{Cause, End, Info};
use crate::flow::{JobId, Run, UnitId, WorkerKey};

/// A job that was accepted, with what its queue gave it at that time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    pub id: JobId,
    pub queue: catalog::Queue,
    pub account: String,
    pub spec: job::Spec,
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a declaration in force unless a higher version is.
    Declare(Box<catalog::Catalog>),
    Accept(Box<Accepted>),
    Cancel {
        job: JobId,
    },
    /// Makes the tasks of an occurrence known.
    Open {
        job: JobId,
        occurrence: u32,
    },
    /// Starts a unit under a new run number, a worker for each task.
    Place {
        unit: UnitId,
        run: u32,
        workers: Vec<WorkerKey>,
    },
    /// Orders a unit's run to stop.
    Stop {
        unit: UnitId,
        cause: Cause,
    },
    /// Records how a run ended on a worker.
    EndRun {
        worker: WorkerKey,
        /// Number of the end in the worker's list; zero for a run that never began there.
        number: u64,
        run: Run,
        end: End,
        /// Checkpoint, empty for none.
        checkpoint: String,
    },
    /// Records a new incarnation of a worker.
    RegisterWorker {
        key: WorkerKey,
        info: Info,
    },
    /// Records that the lease of a worker that had been given up has lapsed.
    Unfence {
        worker: WorkerKey,
    },
    /// Records that an incarnation is over, and with it all that ran on it.
    RemoveWorker {
        worker: WorkerKey,
        /// Latest checkpoints that were heard of.
        checkpoints: Vec<(Run, String)>,
    },
}
