//! State machine of an agent: it takes the time and an event and returns effects, without I/O.
//!
//! A gang is prepared on all members before any of them starts, and released on all of them as soon
//! as one member is lost. Its leases expire when the agent fails. A grant to an earlier incarnation
//! of the agent is ignored, so a job is dispatched at most once for each grant.

mod collect;
mod grant;
mod lease;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::agent::answers;
use crate::agent::gang::{Ending, Gang, Stage};
use crate::backend::{self, Op, Outcomes, client};
use crate::error;
use crate::ledger;
use crate::map;
use crate::raft::Index;
use crate::sched::JobId;
use crate::sched::event;
use crate::wire::frame;

/// Number of renewals in the term of a lease.
const RENEWALS_PER_TERM: u64 = 3;

/// Interval at which leases are checked; renewals that are due go out in one message for each
/// worker.
const RENEWAL_CHECK_MS: u64 = 500;

/// Margin for clocks of agent and worker that run at different speeds.
const CLOCK_DRIFT_MS: u64 = 500;

/// Time without an announcement after which a target counts as gone.
const TARGET_TIMEOUT_MS: u64 = 2_000;

/// Maximum size of an answer that is stored in the ledger. Only answers to requests that must run
/// at most once are stored there.
const MAX_INLINE_BYTES: usize = 16 << 10;

/// Interval at which an unacknowledged finish is sent again.
const FINISH_RESEND_MS: u64 = 1_000;

/// Settings of the core.
#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    pub incarnation: u64,
    pub answers: answers::Limits,
}

/// Input of the core.
#[derive(Debug)]
pub enum Event {
    /// All grants to this agent as of an index of the log.
    Grants {
        index: Index,
        grants: Vec<frame::Grant>,
    },
    /// Result of lease operations; the outcomes are in the order of the operations.
    LeaseResult {
        worker: event::WorkerKey,
        ops: Vec<Op>,
        result: backend::Result<Outcomes>,
    },
    /// Result of a dispatch.
    DispatchResult {
        job: JobId,
        attempt: u32,
        result: backend::Result<client::Reply>,
    },
    /// Call for a part of an answer; the tag identifies the call in `Effect::Reply`.
    Collect {
        tag: u64,
        job: JobId,
        attempt: u32,
        offset: u64,
        wait_ms: u64,
    },
    /// Announcement of the target.
    Target(backend::TargetAnnouncement),
    /// Confirmation that the leader has recorded a finish.
    Acknowledged {
        job: JobId,
        attempt: u32,
    },
    /// Order to accept no new grants.
    Drain,
    Tick,
}

/// Lease operations for one worker, sent in one message.
#[derive(Debug)]
pub struct Batch {
    pub worker: event::WorkerKey,
    pub addr: SocketAddr,
    pub ops: Vec<Op>,
}

/// Output of the core, for the caller to carry out.
#[derive(Debug)]
pub enum Effect {
    Lease(Batch),
    Dispatch(client::Dispatch),
    Finish(frame::Finish),
    /// Replies to the `Event::Collect` with the same tag.
    Reply {
        tag: u64,
        frame: frame::Frame,
    },
}

#[derive(Debug)]
struct Target {
    announcement: backend::TargetAnnouncement,
    last_contact_ms: u64,
}

/// Finish that the leader has not acknowledged yet.
#[derive(Debug)]
struct PendingFinish {
    finish: frame::Finish,
    sent_ms: u64,
}

/// State of an agent.
#[derive(Debug)]
pub struct Core {
    options: Options,
    now: u64,
    /// Index of the latest grants.
    last_index: Index,
    gangs: BTreeMap<JobId, Gang>,
    pending_finishes: BTreeMap<(JobId, u32), PendingFinish>,
    answers: answers::Answers,
    target: Option<Target>,
    /// Requests that the target is working on, including those of gangs that were stopped.
    dispatched: map::Set<(JobId, u32)>,
    waiters: Vec<collect::Waiter>,
    renewed_ms: u64,
    draining: bool,
    effects: Vec<Effect>,
}

impl Core {
    /// Creates the core of an agent that has just started.
    pub fn new(options: Options) -> Self {
        Self {
            answers: answers::Answers::new(options.answers),
            options,
            now: 0,
            last_index: 0,
            gangs: BTreeMap::new(),
            pending_finishes: BTreeMap::new(),
            target: None,
            dispatched: map::Set::default(),
            waiters: Vec::new(),
            renewed_ms: 0,
            draining: false,
            effects: Vec::new(),
        }
    }

    /// Handles an event and returns the effects to carry out.
    pub fn step(&mut self, now: u64, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Grants { index, grants } => self.on_grants(index, grants),
            Event::LeaseResult {
                worker,
                ops,
                result,
            } => self.on_lease_result(worker, &ops, &result),
            Event::DispatchResult {
                job,
                attempt,
                result,
            } => self.on_dispatch_result(job, attempt, result),
            Event::Collect {
                tag,
                job,
                attempt,
                offset,
                wait_ms,
            } => {
                self.on_collect(tag, job, attempt, offset, wait_ms);
            }
            Event::Target(announcement) => self.on_target(announcement),
            Event::Acknowledged { job, attempt } => {
                self.pending_finishes.remove(&(job, attempt));
            }
            Event::Drain => self.draining = true,
            Event::Tick => self.on_tick(),
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the gangs with their attempts, as reported to the leader; a gang that has ended is
    /// included until the leader has acknowledged its finish.
    pub fn jobs(&self) -> Vec<(JobId, u32)> {
        let held = self
            .gangs
            .iter()
            .map(|(job, gang)| (*job, gang.grant.attempt));
        held.chain(self.pending_finishes.keys().copied()).collect()
    }

    /// Returns the number of gangs, including those whose leases are being released.
    pub fn gang_count(&self) -> usize {
        self.gangs.len()
    }

    /// Returns the size of the stored answers, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answers.bytes()
    }

    /// Reports whether nothing is in progress: no gang, no unacknowledged finish and no uncollected
    /// answer.
    pub fn is_idle(&self) -> bool {
        self.gangs.is_empty()
            && self.pending_finishes.is_empty()
            && self.answers.is_fully_collected()
    }

    /// Returns the target as reported to the leader.
    pub fn target(&self) -> Option<frame::Target> {
        let target = self.target.as_ref()?;
        let is_timed_out = self.now >= target.last_contact_ms + TARGET_TIMEOUT_MS;
        let busy = self.dispatched.iter().filter(|(job, attempt)| {
            self.gangs
                .get(job)
                .is_none_or(|gang| gang.grant.attempt != *attempt)
        });
        // Requests of gangs that were stopped still occupy a slot of the target.
        let slots = target
            .announcement
            .slots
            .saturating_sub(busy.count() as u32);
        Some(frame::Target {
            name: target.announcement.name.clone(),
            services: target.announcement.services.clone(),
            slots,
            connections: target.announcement.connections,
            ready: target.announcement.ready
                && !target.announcement.leaving
                && !is_timed_out
                && !self.draining,
        })
    }

    fn on_target(&mut self, announcement: backend::TargetAnnouncement) {
        self.target = Some(Target {
            announcement,
            last_contact_ms: self.now,
        });
        self.admit_queued();
    }

    fn can_accept_work(&self) -> bool {
        self.target().is_some_and(|target| target.ready)
    }

    /// Records how a gang ended and starts to release its leases; the first end recorded is final.
    fn end(
        &mut self,
        job: JobId,
        end: event::End,
        kind: Option<error::Kind>,
        ran: error::Ran,
        detail: String,
    ) {
        let now = self.now;
        let Some(gang) = self.gangs.get_mut(&job) else {
            return;
        };
        if gang.ending.is_some() {
            return;
        }
        gang.ending = Some(Ending {
            end,
            kind,
            ran,
            detail,
            answer: None,
            ended_ms: now,
        });
        self.release(job);
    }

    fn on_dispatch_result(
        &mut self,
        job: JobId,
        attempt: u32,
        result: backend::Result<client::Reply>,
    ) {
        self.dispatched.remove(&(job, attempt));
        let is_current = self
            .gangs
            .get(&job)
            .is_some_and(|gang| gang.grant.attempt == attempt && gang.ending.is_none());
        if is_current {
            match result {
                Ok(reply) if reply.status < 500 => self.on_answered(job, attempt, reply),
                Ok(reply) => self.on_target_failed(job, &reply),
                Err(err) => self.on_dispatch_failed(job, &err),
            }
        }
        self.admit_queued();
    }

    fn on_answered(&mut self, job: JobId, attempt: u32, reply: client::Reply) {
        let (status, content_type) = (reply.status, reply.content_type.clone());
        let length = reply.body.len() as u64;
        let checksum = self.answers.store(self.now, job, attempt, reply);
        let Some(gang) = self.gangs.get(&job) else {
            return;
        };
        let inline = if gang.grant.repeatable {
            None
        } else {
            self.answers.inline_body(job, attempt, MAX_INLINE_BYTES)
        };
        let agent = self.options.name.clone();
        let answer = ledger::Answer {
            agent,
            attempt,
            status,
            content_type,
            length,
            checksum,
            inline,
        };
        self.end(job, event::End::Done, None, error::Ran::Yes, String::new());
        if let Some(ending) = self
            .gangs
            .get_mut(&job)
            .and_then(|gang| gang.ending.as_mut())
        {
            ending.answer = Some(answer);
        }
        self.serve_waiters();
    }

    fn on_target_failed(&mut self, job: JobId, reply: &client::Reply) {
        let end = event::End::Failed {
            worker: None,
            ran: true,
        };
        let detail = format!("the target answered with status {}", reply.status);
        self.end(
            job,
            end,
            Some(error::Kind::TargetFailed),
            error::Ran::Yes,
            detail,
        );
    }

    fn on_dispatch_failed(&mut self, job: JobId, err: &error::Error) {
        // Tasks have started by now. Even if nothing reached the target, the job counts as started
        // and it is unknown whether it ran.
        let end = match err.kind {
            error::Kind::Unreachable => event::End::Lost {
                worker: None,
                ran: true,
            },
            _ => event::End::Failed {
                worker: None,
                ran: true,
            },
        };
        let ran = if err.ran == error::Ran::No {
            error::Ran::Unknown
        } else {
            err.ran
        };
        self.end(job, end, Some(err.kind), ran, err.detail.clone());
    }

    fn on_tick(&mut self) {
        self.end_overdue();
        self.renew();
        self.expire_leases();
        self.answers.expire(self.now);
        self.serve_waiters();
        self.resend();
        self.admit_queued();
    }

    /// Ends gangs whose grace period is over, and queued gangs whose deadline has passed.
    fn end_overdue(&mut self) {
        let is_due = |gang: &Gang| {
            gang.ending.is_none() && gang.stop_ms.is_some_and(|stop_ms| stop_ms <= self.now)
        };
        let jobs: Vec<JobId> = self
            .gangs
            .iter()
            .filter(|(_job, gang)| is_due(gang))
            .map(|(job, _gang)| *job)
            .collect();
        for job in jobs {
            self.end_stopped(job);
        }
        let is_late = |gang: &Gang| {
            gang.ending.is_none() && gang.stage == Stage::Queued && gang.deadline_ms <= self.now
        };
        let jobs: Vec<JobId> = self
            .gangs
            .iter()
            .filter(|(_job, gang)| is_late(gang))
            .map(|(job, _gang)| *job)
            .collect();
        for job in jobs {
            let end = event::End::Lost {
                worker: None,
                ran: false,
            };
            let detail = "the deadline passed before the gang could start".to_owned();
            self.end(
                job,
                end,
                Some(error::Kind::Deadline),
                error::Ran::No,
                detail,
            );
        }
    }

    /// Reports the end of a gang to the leader, once all leases are released.
    fn finish(&mut self, job: JobId) {
        let Some(gang) = self.gangs.remove(&job) else {
            return;
        };
        if let Some(next) = gang.next_grant {
            self.on_grant(next);
        }
        let (Some(ending), false) = (gang.ending, gang.is_withdrawn) else {
            return;
        };
        let attempt = gang.grant.attempt;
        let finish = frame::Finish {
            agent: self.options.name.clone(),
            incarnation: self.options.incarnation,
            job,
            attempt,
            end: ending.end,
            ran: ending.ran,
            kind: ending.kind,
            detail: ending.detail,
            run_ms: ending.ended_ms.saturating_sub(gang.started_ms),
            answer: ending.answer,
        };
        self.effects.push(Effect::Finish(finish.clone()));
        let sent_ms = self.now;
        self.pending_finishes
            .insert((job, attempt), PendingFinish { finish, sent_ms });
        self.serve_waiters();
    }

    /// Sends unacknowledged finishes again.
    fn resend(&mut self) {
        let now = self.now;
        for pending in self.pending_finishes.values_mut() {
            if now >= pending.sent_ms + FINISH_RESEND_MS {
                pending.sent_ms = now;
                self.effects.push(Effect::Finish(pending.finish.clone()));
            }
        }
    }
}
