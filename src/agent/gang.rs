//! State of a granted gang, with its leases from preparation to release.

use std::collections::BTreeMap;

use crate::backend::{self, Op, Refusal, Verb};
use crate::error;
use crate::ledger;
use crate::sched::event;
use crate::wire::frame;

/// State of the lease on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lease {
    /// Requested, but not confirmed yet.
    Requested,
    Prepared,
    Started,
    Released,
}

/// Member of a gang with its lease.
#[derive(Clone, Debug)]
pub struct Member {
    pub info: frame::Member,
    pub lease: Lease,
    /// Whether an operation was sent and its result is outstanding.
    pub in_flight: bool,
    /// Time at which the worker last confirmed the lease.
    pub confirmed_ms: u64,
    /// Time at which an operation that creates or extends the lease was last sent.
    pub sent_ms: u64,
}

/// Stage of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waiting for a free slot of the target.
    Queued,
    Preparing,
    Starting,
    /// All members have started and the request was dispatched to the target.
    Running,
    /// The leases are being released.
    Releasing,
}

/// How a gang ended; recorded before its leases are released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ending {
    pub end: event::End,
    pub kind: Option<error::Kind>,
    pub ran: error::Ran,
    pub detail: String,
    pub answer: Option<ledger::Answer>,
    pub ended_ms: u64,
}

/// Gang that the leader has granted to this agent.
#[derive(Clone, Debug)]
pub struct Gang {
    pub grant: frame::Grant,
    pub stage: Stage,
    pub members: BTreeMap<event::WorkerKey, Member>,
    pub granted_ms: u64,
    pub started_ms: u64,
    pub deadline_ms: u64,
    /// Whether any task may have started.
    pub may_have_started: bool,
    /// Whether the target may have seen the request.
    pub dispatched: bool,
    pub throttled: bool,
    /// Time at which a gang that was asked to stop is ended.
    pub stop_ms: Option<u64>,
    pub ending: Option<Ending>,
    /// Whether the leader withdrew the grant, so that its end is not reported.
    pub is_withdrawn: bool,
    /// Later grant of the same job, accepted once this one is released.
    pub next_grant: Option<frame::Grant>,
}

impl Gang {
    /// Creates a queued gang from a grant.
    pub fn new(now: u64, grant: frame::Grant) -> Self {
        let member = |info: &frame::Member| Member {
            info: info.clone(),
            lease: Lease::Requested,
            in_flight: false,
            confirmed_ms: now,
            sent_ms: now,
        };
        let members = grant
            .members
            .iter()
            .map(|info| (info.worker, member(info)))
            .collect();
        let deadline_ms = now.saturating_add(grant.remaining_ms);
        Self {
            grant,
            stage: Stage::Queued,
            members,
            granted_ms: now,
            started_ms: now,
            deadline_ms,
            may_have_started: false,
            dispatched: false,
            throttled: false,
            stop_ms: None,
            ending: None,
            is_withdrawn: false,
            next_grant: None,
        }
    }

    /// Returns an operation on the lease of one member.
    pub fn op(&self, worker: event::WorkerKey, verb: Verb) -> Op {
        let tasks = self
            .members
            .get(&worker)
            .map_or(0, |member| member.info.tasks);
        Op {
            verb,
            job: self.grant.job,
            token: self.grant.token,
            tasks,
            each: self.grant.each,
            ttl_ms: self.lease_ms(),
        }
    }

    /// Reports whether the leases of all members are in the given state.
    pub fn has_all(&self, lease: Lease) -> bool {
        self.members.values().all(|member| member.lease == lease)
    }

    /// Reports whether the gang occupies a slot of the target.
    pub fn is_active(&self) -> bool {
        self.has_live_leases() && self.ending.is_none()
    }

    /// Records that an operation was sent to a member.
    pub fn mark_sent(&mut self, worker: event::WorkerKey, verb: Verb, now: u64) {
        let Some(member) = self.members.get_mut(&worker) else {
            return;
        };
        member.in_flight = true;
        if matches!(
            verb,
            Verb::Prepare | Verb::Start | Verb::Launch | Verb::Renew
        ) {
            member.sent_ms = now;
        }
    }

    /// Reports whether the gang holds leases that must be renewed.
    pub fn has_live_leases(&self) -> bool {
        matches!(
            self.stage,
            Stage::Preparing | Stage::Starting | Stage::Running
        )
    }

    /// Returns whether the request counts as run if the gang ends now without an answer.
    pub fn ran(&self) -> error::Ran {
        match (self.may_have_started, self.dispatched) {
            (false, false) => error::Ran::No,
            (_, true) => error::Ran::Yes,
            (true, false) => error::Ran::Unknown,
        }
    }

    /// Returns the term of the gang's leases.
    pub fn lease_ms(&self) -> u64 {
        backend::lease_ms(self.members.len())
    }

    /// Returns the names of the workers, separated by commas, as the target receives them.
    pub fn worker_names(&self) -> String {
        let names = self
            .members
            .values()
            .map(|member| member.info.name.as_str());
        names.collect::<Vec<_>>().join(",")
    }
}

/// Reports whether a refusal counts as a failure of the worker.
pub fn is_worker_fault(refusal: Refusal) -> bool {
    match refusal {
        Refusal::Failed => true,
        Refusal::Full | Refusal::Fenced | Refusal::Unknown => false,
    }
}
