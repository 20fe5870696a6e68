//! One granted gang: its leases from preparation to release.

use std::collections::BTreeMap;

use crate::backend::{self, Op, Refusal, Verb};
use crate::error;
use crate::ledger;
use crate::sched::event;
use crate::wire::frame;

/// State of the lease on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lease {
    /// Asked for, no answer yet.
    Asked,
    Prepared,
    Started,
    Released,
}

/// A member with its lease.
#[derive(Clone, Debug)]
pub struct Member {
    pub info: frame::Member,
    pub lease: Lease,
    /// Whether an operation is under way.
    pub busy: bool,
    /// When the worker last confirmed the lease.
    pub confirmed_ms: u64,
    /// When an operation that makes or prolongs the lease was last sent.
    pub sent_ms: u64,
}

/// What the gang is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waits for a free slot of the target.
    Queued,
    Preparing,
    Starting,
    /// All members run, the target has the request.
    Running,
    /// Leases are being given back.
    Releasing,
}

/// How the gang ends, while its leases are being given back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ending {
    pub end: event::End,
    pub kind: Option<error::Kind>,
    pub ran: error::Ran,
    pub detail: String,
    pub answer: Option<ledger::Answer>,
    pub ended_ms: u64,
}

/// A granted gang.
#[derive(Clone, Debug)]
pub struct Gang {
    pub grant: frame::Grant,
    pub stage: Stage,
    pub members: BTreeMap<event::WorkerKey, Member>,
    pub granted_ms: u64,
    pub started_ms: u64,
    pub deadline_ms: u64,
    /// Whether any task may have started.
    pub touched: bool,
    /// Whether the target may have seen the request.
    pub dispatched: bool,
    pub throttled: bool,
    /// When a stopping gang is stopped for good.
    pub stop_ms: Option<u64>,
    pub ending: Option<Ending>,
    /// Whether the leader need not be told how it ended.
    pub silent: bool,
    /// A later grant of the same job, to be taken once this one is released.
    pub next: Option<frame::Grant>,
}

impl Gang {
    /// Takes a grant.
    pub fn new(now: u64, grant: frame::Grant) -> Self {
        let member = |info: &frame::Member| Member {
            info: info.clone(),
            lease: Lease::Asked,
            busy: false,
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
            touched: false,
            dispatched: false,
            throttled: false,
            stop_ms: None,
            ending: None,
            silent: false,
            next: None,
        }
    }

    /// Operation for one member.
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

    /// Whether every member's lease is in a state.
    pub fn all(&self, lease: Lease) -> bool {
        self.members.values().all(|member| member.lease == lease)
    }

    /// Whether the gang takes a slot of the target.
    pub fn is_active(&self) -> bool {
        self.is_held() && self.ending.is_none()
    }

    /// Notes that an operation is on its way to a member.
    pub fn sending(&mut self, worker: event::WorkerKey, verb: Verb, now: u64) {
        let Some(member) = self.members.get_mut(&worker) else {
            return;
        };
        member.busy = true;
        if matches!(
            verb,
            Verb::Prepare | Verb::Start | Verb::Launch | Verb::Renew
        ) {
            member.sent_ms = now;
        }
    }

    /// Whether the gang holds leases that must be renewed.
    pub fn is_held(&self) -> bool {
        matches!(
            self.stage,
            Stage::Preparing | Stage::Starting | Stage::Running
        )
    }

    /// What is known of the request's fate if the gang ends now without an answer.
    pub fn ran(&self) -> error::Ran {
        match (self.touched, self.dispatched) {
            (false, false) => error::Ran::No,
            (_, true) => error::Ran::Yes,
            (true, false) => error::Ran::Unknown,
        }
    }

    /// Term of its leases.
    pub fn lease_ms(&self) -> u64 {
        backend::lease_ms(self.members.len())
    }

    /// Names of the workers, for the target.
    pub fn names(&self) -> String {
        let names = self
            .members
            .values()
            .map(|member| member.info.name.as_str());
        names.collect::<Vec<_>>().join(",")
    }
}

/// What a refusal says of the worker.
pub fn is_fault(refusal: Refusal) -> bool {
    match refusal {
        Refusal::Failed => true,
        Refusal::Full | Refusal::Fenced | Refusal::Unknown => false,
    }
}
