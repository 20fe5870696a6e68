//! The back-end interface: workers that run tasks under leases, targets that answer requests.
//!
//! Both speak HTTP with JSON bodies. A worker takes a list of lease operations in one message, so
//! that renewing everything it holds costs one message. Bodies are bounded on both sides.

pub mod client;
pub mod target;
pub mod worker;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::config;
use crate::error;

/// Result of talking to workers and targets.
pub type Result<T> = error::Result<T>;

/// Largest JSON body of their messages.
pub const MAX_JSON_BYTES: u64 = 1 << 20;

/// Header that names the request towards a target, which must echo it.
pub const REQUEST_HEADER: &str = "oriolereel-request";

/// Header that names the attempt towards a target, which must echo it.
pub const ATTEMPT_HEADER: &str = "oriolereel-attempt";

/// Header with the account that the request belongs to.
pub const ACCOUNT_HEADER: &str = "oriolereel-account";

/// Header with the gang's workers.
pub const GANG_HEADER: &str = "oriolereel-gang";

/// Header with the time left, in milliseconds.
pub const REMAINING_HEADER: &str = "oriolereel-remaining-ms";

/// Members from which a gang counts as wide.
const WIDE_MEMBERS: usize = 64;

/// Term of a lease on a worker. That of a wide gang is longer, so that renewing it on every member
/// stays within 24 KB a second.
pub const fn lease_ms(members: usize) -> u64 {
    if members > WIDE_MEMBERS {
        15_000
    } else {
        5_000
    }
}

/// What is done to a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verb {
    /// Reserves the resources.
    Prepare,
    /// Starts the tasks of a prepared lease.
    Start,
    /// Prepares and starts in one step; for a gang on a single worker.
    Launch,
    Renew,
    Throttle,
    Checkpoint,
    /// Stops the tasks and gives the resources back; succeeds when there is nothing left to stop.
    Release,
}

/// One operation on a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Op {
    pub verb: Verb,
    pub job: u64,
    /// Fencing token; a worker refuses tokens below the highest it has seen for the job.
    pub token: u64,
    #[serde(default)]
    pub tasks: u32,
    #[serde(default)]
    pub each: config::Resources,
    /// Term of the lease from now on.
    #[serde(default)]
    pub ttl_ms: u64,
}

/// Operations of one holder on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ops {
    pub holder: String,
    pub ops: Vec<Op>,
}

/// Why an operation was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Refusal {
    /// Not enough resources are free.
    Full,
    /// The token is older than one seen before.
    Fenced,
    /// There is no such lease, or it has ended.
    Unknown,
    /// The tasks could not be started, or have failed.
    Failed,
}

/// Outcome of one operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    pub job: u64,
    pub token: u64,
    /// Nothing when it was done.
    pub refusal: Option<Refusal>,
}

/// Outcomes of a list of operations, in their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    pub outcomes: Vec<Done>,
}

/// A lease as a worker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    pub job: u64,
    pub token: u64,
    /// Memory in use, which lags.
    pub memory_gb: u32,
}

/// A worker's announcement, sent every second to an entry or agent of its region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerAnnouncement {
    pub name: String,
    pub addr: SocketAddr,
    pub region: String,
    pub domain: String,
    pub rack: String,
    pub total: config::Resources,
    #[serde(default)]
    pub leases: Vec<HeldLease>,
}

/// A target's announcement, sent every second to the agent beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetAnnouncement {
    pub name: String,
    pub addr: SocketAddr,
    pub services: Vec<String>,
    pub slots: u32,
    pub connections: u32,
    #[serde(default = "yes")]
    pub ready: bool,
    #[serde(default)]
    pub leaving: bool,
}

const fn yes() -> bool {
    true
}
