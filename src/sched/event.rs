//! What goes into the core and what comes out.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config;
use crate::error;
use crate::sched::{JobId, Millis};

/// Key of a worker in the arena; the ledger gives them out densely from zero on.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WorkerKey(pub u32);

/// A worker as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    pub key: WorkerKey,
    pub region: String,
    pub domain: String,
    pub rack: String,
    pub total: config::Resources,
}

/// What the core needs to know of a job.
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
    pub repeatable: bool,
    pub declared_ms: Millis,
    pub submitted_ms: Millis,
}

/// Tasks of a gang on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub worker: WorkerKey,
    pub tasks: u32,
}

/// Use of one guaranteed gang's cells by a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Position of the shape in the account's list.
    pub shape_index: u32,
    /// Which of the shape's gangs.
    pub gang_index: u32,
    /// Worker that each cell is bound to.
    pub workers: Vec<Option<WorkerKey>>,
    /// Tasks of the job in each cell.
    pub tasks: Vec<u32>,
}

/// Where a gang runs, and by what right.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    pub members: Vec<Member>,
    /// Empty for a borrowed gang.
    pub claims: Vec<Claim>,
}

impl Placement {
    /// Whether the gang runs under its account's guarantee.
    pub fn is_guaranteed(&self) -> bool {
        !self.claims.is_empty()
    }
}

/// How a gang ended on its workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The work is done.
    Done,
    /// The work failed; the worker is named when it alone was at fault.
    Failed {
        worker: Option<WorkerKey>,
        ran: bool,
    },
    /// It was stopped on request.
    Stopped { ran: bool },
    /// A member was lost, or the gang could not be started for another reason.
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

/// What the core is told.
#[derive(Clone, Debug)]
pub enum Event {
    Configure(Arc<config::Config>),
    WorkerUp(Worker),
    WorkerDown(WorkerKey),
    Submit(Spec),
    /// A gang that runs already, told by the ledger after a change of leader.
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
    /// The caller or its deadline ends the job.
    Cancel {
        job: JobId,
        kind: error::Kind,
    },
    Usage(Vec<Usage>),
    /// Time has passed, or targets have changed.
    Tick,
}

/// Why a running gang must stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// The cells are claimed under a guarantee.
    Reclaimed,
    /// Its caller cancelled it, or its deadline has passed.
    Cancelled,
    /// It uses more memory than it declared.
    Overuse,
}

/// What the core decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Starts a whole gang.
    Place {
        job: JobId,
        placement: Placement,
        reason: Reason,
    },
    /// Stops a whole gang: throttle and checkpoint at once, stop at the end of the grace.
    Stop {
        job: JobId,
        cause: Cause,
        grace_ms: Millis,
        reason: Reason,
    },
    /// Slows a gang down.
    Throttle { job: JobId, reason: Reason },
    /// Puts a gang that ended early back into its queue.
    Requeue { job: JobId, reason: Reason },
    /// Ends a job for good.
    End {
        job: JobId,
        kind: Option<error::Kind>,
        reason: Reason,
    },
    /// Takes a worker out of use for a time, or back into use.
    Quarantine {
        worker: WorkerKey,
        on: bool,
        reason: Reason,
    },
}

/// The account of a decision, in terms that a client account can check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// Runs in the account's own cells.
    Guaranteed {
        shapes: Vec<u32>,
        waited_ms: Millis,
        stopped: Vec<JobId>,
        moved: bool,
    },
    /// Runs on capacity that is free or kept for others.
    Borrowed {
        waited_ms: Millis,
        share_ppm: u64,
        backfilled: Option<JobId>,
        fragments: u32,
    },
    /// Its cells are being vacated.
    Claiming {
        shapes: Vec<u32>,
        stopping: Vec<JobId>,
    },
    /// Gives way to a guarantee.
    Yielded {
        to: JobId,
        account: String,
        shape: u32,
        lost_ms: Millis,
    },
    /// Moves to another place, so that a wide gang fits.
    Moved {
        to: JobId,
        account: String,
        ran_ms: Millis,
    },
    /// Does not fit even an empty fleet.
    NeverFits {
        tasks: u32,
        each: config::Resources,
        within: config::Within,
        most: u32,
    },
    /// The account has as many waiting jobs as it may.
    QueueFull { limit: u32 },
    /// Waits: who is ahead, and what is missing.
    Waiting {
        account_share_ppm: u64,
        ahead_account: Option<String>,
        ahead_share_ppm: u64,
        free_accelerators: u32,
        kept_for: Option<String>,
        reserved_for: Option<JobId>,
        expected_in_ms: Option<Millis>,
        would_stop: u32,
    },
    /// Ended on request.
    Cancelled { was_running: bool },
    /// Its deadline passed while it waited.
    DeadlinePassed { waited_ms: Millis },
    /// Finished.
    Done { run_ms: Millis },
    /// Failed and is tried elsewhere.
    Retried {
        attempt: u32,
        worker: Option<WorkerKey>,
    },
    /// Failed on several sets of workers.
    FailsEverywhere { attempts: u32 },
    /// Stopped part of the way and must not run again.
    NotRepeatable { cause: Cause },
    /// A worker of the gang was lost.
    WorkerLost { worker: Option<WorkerKey> },
    /// Uses more memory than declared.
    Overuse { used_gb: u32, declared_gb: u32 },
    /// The worker failed several different jobs in a row.
    WorkerFails { failures: u32, until_ms: Millis },
    /// The worker has passed a probe.
    WorkerRecovered,
}

/// Chooses the regions in which a job may run and counts the target slots that it takes there.
pub trait Router {
    /// Regions with a free slot for the job, the best first.
    fn regions(&self, spec: &Spec) -> Vec<String>;

    /// Takes a slot in the region for a gang that is being placed.
    fn acquire(&mut self, spec: &Spec, region: &str);

    /// Gives the slot of a job back that will not be placed after all.
    fn release(&mut self, job: JobId);
}

/// A router that admits every region and counts no slots.
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
