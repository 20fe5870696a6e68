//! Events that the scheduling core takes and decisions that it returns.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config;
use crate::error;
use crate::sched::{JobId, Millis};

/// Key of a worker, assigned by the ledger densely from zero on.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WorkerKey(pub u32);

/// A worker as its agent reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    pub key: WorkerKey,
    pub region: String,
    pub domain: String,
    pub rack: String,
    pub total: config::Resources,
}

/// Properties of a job that scheduling depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    pub id: JobId,
    pub account: String,
    pub service: String,
    /// Region of the caller.
    pub region: String,
    pub tasks: u32,
    /// Resources of each task.
    pub each: config::Resources,
    pub within: config::Within,
    pub urgent: bool,
    /// Whether the job may run again after it has started.
    pub repeatable: bool,
    /// Declared run time.
    pub declared_ms: Millis,
    pub submitted_ms: Millis,
}

/// Tasks of a gang on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub worker: WorkerKey,
    pub tasks: u32,
}

/// A job's use of the cells of one guaranteed gang.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Index of the shape in the account's list.
    pub shape_index: u32,
    /// Index among the gangs of the shape.
    pub gang_index: u32,
    /// Worker that each cell is bound to.
    pub workers: Vec<Option<WorkerKey>>,
    /// Tasks of the job in each cell.
    pub tasks: Vec<u32>,
}

/// Workers on which a gang runs and the guarantees that it uses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    pub members: Vec<Member>,
    /// Guaranteed cells in use; empty for a borrowed gang.
    pub claims: Vec<Claim>,
}

impl Placement {
    /// Reports whether the gang runs under its account's guarantee.
    pub fn is_guaranteed(&self) -> bool {
        !self.claims.is_empty()
    }
}

/// How a gang ended on its workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The work succeeded.
    Done,
    /// The work failed; `worker` is set if only that worker was at fault.
    Failed {
        worker: Option<WorkerKey>,
        ran: bool,
    },
    /// The gang was stopped on request.
    Stopped { ran: bool },
    /// A worker was lost, or the gang could not be started.
    Lost {
        worker: Option<WorkerKey>,
        ran: bool,
    },
}

/// Memory that a job uses on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    pub job: JobId,
    pub worker: WorkerKey,
    pub memory_gb: u32,
}

/// Input of the core.
#[derive(Clone, Debug)]
pub enum Event {
    Configure(Arc<config::Config>),
    WorkerUp(Worker),
    WorkerDown(WorkerKey),
    Submit(Spec),
    /// A gang that already runs, reported by the ledger after a change of leader.
    Adopt {
        spec: Spec,
        placement: Placement,
        started_ms: Millis,
        attempts: u32,
        stopping: bool,
    },
    Ended {
        job: JobId,
        end: End,
        run_ms: Millis,
    },
    /// The job was cancelled by its caller or its deadline has passed.
    Cancel {
        job: JobId,
        kind: error::Kind,
    },
    Usage(Vec<Usage>),
    /// Time has passed, or the slots of targets have changed.
    Tick,
}

/// Why a running gang must stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// Its resources are needed for a guarantee or a wide gang.
    Reclaimed,
    /// Its caller cancelled it, or its deadline has passed.
    Cancelled,
    /// It uses more memory than it declared.
    Overuse,
}

/// Output of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Starts a whole gang.
    Place {
        job: JobId,
        placement: Placement,
        reason: Reason,
    },
    /// Stops a whole gang: it is throttled and checkpointed at once and stopped after the grace
    /// period.
    Stop {
        job: JobId,
        cause: Cause,
        grace_ms: Millis,
        reason: Reason,
    },
    /// Slows a gang down.
    Throttle { job: JobId, reason: Reason },
    /// Puts the job of a gang that ended early back into its queue.
    Requeue { job: JobId, reason: Reason },
    /// Ends a job; `kind` is set unless it succeeded.
    End {
        job: JobId,
        kind: Option<error::Kind>,
        reason: Reason,
    },
    /// Quarantines a worker (`on`), or ends its quarantine.
    Quarantine {
        worker: WorkerKey,
        on: bool,
        reason: Reason,
    },
}

/// Reason of a decision, in values that a client account can check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// Placed in the account's guaranteed cells.
    Guaranteed {
        shapes: Vec<u32>,
        waited_ms: Millis,
        /// Borrowed jobs that were stopped for it.
        stopped: Vec<JobId>,
        /// Whether unused cells were moved to other workers so that fewer jobs had to stop.
        moved: bool,
    },
    /// Placed on free resources or on idle cells guaranteed to other accounts.
    Borrowed {
        waited_ms: Millis,
        /// Weighted dominant share of the account.
        share_ppm: u64,
        /// A job with a reservation around which the gang was backfilled.
        backfilled: Option<JobId>,
        /// Number of gangs of the largest guaranteed shape that no longer fit.
        fragments: u32,
    },
    /// Waits until the gangs on its guaranteed cells have stopped.
    Claiming {
        shapes: Vec<u32>,
        stopping: Vec<JobId>,
    },
    /// Preempted for a guarantee.
    Yielded {
        to: JobId,
        account: String,
        shape: u32,
        lost_ms: Millis,
    },
    /// Stopped in order to move to other workers, so that a wide gang fits.
    Moved {
        to: JobId,
        account: String,
        ran_ms: Millis,
    },
    /// Does not fit even an empty fleet, which holds at most `most` tasks.
    NeverFits {
        tasks: u32,
        each: config::Resources,
        within: config::Within,
        most: u32,
    },
    /// The account has reached its limit of waiting jobs.
    QueueFull { limit: u32 },
    /// Waits for resources.
    Waiting {
        account_share_ppm: u64,
        /// Account with the lowest share among those served before the job's account.
        ahead_account: Option<String>,
        ahead_share_ppm: u64,
        free_accelerators: u32,
        /// Another account with an unclaimed guarantee.
        kept_for: Option<String>,
        /// Another job that has a reservation.
        reserved_for: Option<JobId>,
        /// Time until the job is expected to fit.
        expected_in_ms: Option<Millis>,
        /// Number of running borrowed gangs, which are stopped only for a guarantee.
        would_stop: u32,
    },
    /// Cancelled by its caller.
    Cancelled { was_running: bool },
    /// Its deadline passed while it waited.
    DeadlinePassed { waited_ms: Millis },
    /// Succeeded.
    Done { run_ms: Millis },
    /// Ended early and is queued again.
    Retried {
        attempt: u32,
        worker: Option<WorkerKey>,
    },
    /// Failed on several sets of workers, or failed once and must not run again.
    FailsEverywhere { attempts: u32 },
    /// Stopped after it had started, and must not run again.
    NotRepeatable { cause: Cause },
    /// A worker of the gang was lost.
    WorkerLost { worker: Option<WorkerKey> },
    /// Uses more memory than declared.
    Overuse { used_gb: u32, declared_gb: u32 },
    /// Several different jobs failed in a row on the worker.
    WorkerFails { failures: u32, until_ms: Millis },
    /// A job succeeded on the quarantined worker, or its failures were attributed to a job.
    WorkerRecovered,
}

/// Chooses the regions in which a job may run and counts the target slots that it takes there.
pub trait Router {
    /// Returns the regions with a free slot for the job, the best first.
    fn regions(&self, spec: &Spec) -> Vec<String>;

    /// Acquires a slot in the region for a gang that is being placed.
    fn acquire(&mut self, spec: &Spec, region: &str);

    /// Releases the slot of a job.
    fn release(&mut self, job: JobId);
}

/// A router that admits the same regions for every job and counts no slots.
#[derive(Clone, Debug, Default)]
pub struct Unlimited {
    /// Regions in order of preference.
    pub regions: Vec<String>,
}

impl Router for Unlimited {
    fn regions(&self, _spec: &Spec) -> Vec<String> {
        self.regions.clone()
    }

    fn acquire(&mut self, _spec: &Spec, _region: &str) {}

    fn release(&mut self, _job: JobId) {}
}
