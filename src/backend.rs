//! Interface to the back ends: workers run tasks under leases, targets answer requests.
//!
//! Both use HTTP with JSON bodies. A worker accepts a list of lease operations in one message, so
//! that all its leases are renewed with one message. The size of bodies is limited on both sides.

pub mod client;
pub mod target;
pub mod worker;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::config;
use crate::error;

/// Result of a call to a worker or target.
pub type Result<T> = error::Result<T>;

/// Maximum size of the JSON body of a message to or from a worker or target.
pub const MAX_JSON_BYTES: u64 = 1 << 20;

/// Header with the id of the request; the target must echo it.
pub const REQUEST_HEADER: &str = "oriolereel-request";

/// Header with the number of the attempt; the target must echo it.
pub const ATTEMPT_HEADER: &str = "oriolereel-attempt";

/// Header with the client account of the request.
pub const ACCOUNT_HEADER: &str = "oriolereel-account";

/// Header with the names of the gang's workers, separated by commas.
pub const GANG_HEADER: &str = "oriolereel-gang";

/// Header with the time until the deadline, in milliseconds.
pub const REMAINING_HEADER: &str = "oriolereel-remaining-ms";

/// Number of members above which a gang counts as wide.
const WIDE_GANG_MEMBERS: usize = 64;

/// Returns the term of a lease on a worker. The leases of a wide gang have a longer term, so that
/// renewing them on all members takes at most 24 KB per second.
pub const fn lease_ms(members: usize) -> u64 {
    if members > WIDE_GANG_MEMBERS {
        15_000
    } else {
        5_000
    }
}

/// Kind of an operation on a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verb {
    /// Reserves the resources.
    Prepare,
    /// Starts the tasks of a prepared lease.
    Start,
    /// Prepares and starts in one step, for a gang on a single worker.
    Launch,
    Renew,
    Throttle,
    Checkpoint,
    /// Stops the tasks and frees the resources; succeeds also when there is no such lease.
    Release,
}

/// One operation on a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Op {
    pub verb: Verb,
    pub job: u64,
    /// Fencing token; a worker refuses a token below the highest one it has seen for the job.
    pub token: u64,
    #[serde(default)]
    pub tasks: u32,
    #[serde(default)]
    pub each: config::Resources,
    /// Term of the lease, from the time at which the worker applies the operation.
    #[serde(default)]
    pub ttl_ms: u64,
}

/// Operations that one holder sends to one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ops {
    /// Name of the agent that holds the leases.
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
    /// There is no such lease, or it has expired.
    Unknown,
    /// The tasks could not be started, or have failed.
    Failed,
}

/// Outcome of one operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    pub job: u64,
    pub token: u64,
    /// Why the operation was refused; `None` when it was done.
    pub refusal: Option<Refusal>,
}

/// Outcomes of a list of operations, in the order of the operations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    pub outcomes: Vec<Outcome>,
}

/// A lease as a worker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    pub job: u64,
    pub token: u64,
    /// Memory in use; the figure lags behind the actual use.
    pub memory_gb: u32,
}

/// Announcement that a worker sends every second to an entry or agent of its region.
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

/// Announcement that a target sends every second to the agent beside it.
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
