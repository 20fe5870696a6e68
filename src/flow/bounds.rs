//! Times that the workers and the operators of a deployment prescribe, and the planner's and agents'
//! own times that follow from them.

use crate::flow::Millis;

/// Term of a lease on a worker that outlasts a restart of the agent.
const LEASE_MS: Millis = 4_000;

/// Term of a lease on a draining worker.
const DRAIN_LEASE_MS: Millis = 1_500;

/// Extensions of a lease that may fail in a row before it expires.
const EXTENSIONS_PER_LEASE: Millis = 4;

/// Longest time that a worker holds a list call until a run ends.
pub const MAX_LIST_WAIT_MS: Millis = 1_000;

/// Time in addition to the worker's own in which the end of a stopped run is in the log: an order, a
/// listing, a report and their repeats.
const STOP_MARGIN_MS: Millis = 2_100;

/// Time in addition to the gang's own after which a run without progress counts as stalled.
const STARTUP_MARGIN_MS: Millis = 1_500;

/// Longest time that a new leader allows the agents to find it.
const MAX_GATHER_MS: Millis = 700;

/// Longest time for which an urgent unit waits for a place where it runs at full speed.
const MAX_URGENT_WAIT_MS: Millis = 600;

/// The same time for other units.
const IDEAL_WAIT_MS: Millis = 2_000;

/// Share of `evacuate_ms` for which a start is valid after the poll that the agent's orders rest on. The
/// rest covers the drift of the worker's clock, which is 2 %, and the error of the agent's estimate of it.
const START_VALIDITY_PERCENT: Millis = 92;

/// Shortest validity of a start. In regular operation the last answered poll is up to 1 s old.
const MIN_START_VALIDITY_MS: Millis = 2_000;

/// What a deployment prescribes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Longest lease that a worker accepts.
    pub max_lease_ms: Millis,
    /// Longest time that a worker takes to stop a run.
    pub stop_ms: Millis,
    /// Time for which the members of a gang wait for each other.
    pub gang_wait_ms: Millis,
    /// Work between two checkpoints.
    pub checkpoint_ms: Millis,
    /// Time that a run takes to continue from a checkpoint.
    pub restore_ms: Millis,
    /// Duration of a run away from its data or its rack, in percent of that at the best place.
    pub remote_percent: u64,
    /// Time in which urgent jobs within their account's guarantee must have begun.
    pub reclaim_ms: Millis,
    /// Time after a fault in which processes must have found each other again.
    pub contact_ms: Millis,
    /// Time after the acknowledgement of an evacuation from which on nothing starts in the domain.
    pub evacuate_ms: Millis,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_lease_ms: 6_000,
            stop_ms: 400,
            gang_wait_ms: 3_000,
            checkpoint_ms: 500,
            restore_ms: 100,
            remote_percent: 300,
            reclaim_ms: 2_900,
            contact_ms: 3_000,
            evacuate_ms: 5_000,
        }
    }
}

impl Bounds {
    /// Returns the term of a lease.
    pub fn lease_ms(&self) -> Millis {
        LEASE_MS.min(self.max_lease_ms)
    }

    /// Returns the term of a lease on a draining worker.
    pub fn drain_lease_ms(&self) -> Millis {
        DRAIN_LEASE_MS.min(self.lease_ms())
    }

    /// Returns the longest time that a worker may hold a list call, which also extends a lease of the
    /// given term.
    pub fn list_wait_ms(&self, lease_ms: Millis) -> Millis {
        MAX_LIST_WAIT_MS.min(lease_ms / EXTENSIONS_PER_LEASE)
    }

    /// Returns the time after the agent's last answered poll in which the worker must execute a start.
    pub fn start_validity_ms(&self) -> Millis {
        (self.evacuate_ms.saturating_mul(START_VALIDITY_PERCENT) / 100).max(MIN_START_VALIDITY_MS)
    }

    /// Returns the time in which preempted runs must end, or the claim on their capacity is dropped.
    pub fn claim_timeout_ms(&self) -> Millis {
        self.stop_ms + STOP_MARGIN_MS
    }

    /// Returns the time without any progress after which a run that has just started counts as
    /// stalled.
    pub fn startup_timeout_ms(&self) -> Millis {
        self.gang_wait_ms + STARTUP_MARGIN_MS
    }

    /// Returns the time that a new leader allows the agents to find it.
    pub fn gather_timeout_ms(&self) -> Millis {
        MAX_GATHER_MS.min(self.contact_ms / 4)
    }

    /// Returns the time that a run loses when it is stopped, besides its work since the checkpoint.
    pub fn stop_cost_ms(&self, checkpoints: bool) -> Millis {
        self.stop_ms + if checkpoints { self.restore_ms } else { 0 }
    }

    /// Returns the time for which a unit waits for a place where it runs at full speed.
    pub fn ideal_wait_ms(&self, is_urgent: bool) -> Millis {
        if self.remote_percent <= 100 {
            0
        } else if is_urgent {
            MAX_URGENT_WAIT_MS.min(self.reclaim_ms / 4)
        } else {
            IDEAL_WAIT_MS
        }
    }
}
