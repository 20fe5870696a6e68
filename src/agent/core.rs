//! The agent's core: takes the time and an event, returns effects; no I/O.
//!
//! A gang is prepared on all members before any of it starts, and released on all as soon as one
//! member is lost. Its leases end by themselves when the agent dies. A grant of an earlier start of
//! the agent is refused, so a job gets at most one dispatch for each grant.

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

/// Renewals in the term of a lease.
const RENEWALS: u64 = 3;

/// Interval at which renewals that are due are gathered.
const GATHER_MS: u64 = 500;

/// Margin for clocks that run at different speeds.
const DRIFT_MS: u64 = 500;

/// Silence after which a target counts as gone.
const TARGET_SILENCE_MS: u64 = 2_000;

/// Largest answer that is made durable in the ledger.
const INLINE_BYTES: usize = 16 << 10;

/// Interval after which an unacknowledged finish is sent again.
const RESEND_MS: u64 = 1_000;

/// Settings of the core.
#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    pub incarnation: u64,
    pub answers: answers::Limits,
}

/// What the core is told.
#[derive(Debug)]
pub enum Event {
    /// All grants of this agent, as of an index of the log.
    Grants {
        index: Index,
        grants: Vec<frame::Grant>,
    },
    /// The answer to lease operations, in their order.
    Leased {
        worker: event::WorkerKey,
        ops: Vec<Op>,
        result: backend::Result<Outcomes>,
    },
    /// The outcome of a dispatch.
    Answered {
        job: JobId,
        attempt: u32,
        result: backend::Result<client::Reply>,
    },
    /// Someone wants a part of an answer; the tag names it.
    Collect {
        tag: u64,
        job: JobId,
        attempt: u32,
        offset: u64,
        wait_ms: u64,
    },
    /// The target has announced itself.
    Target(backend::TargetAnnouncement),
    /// The leader has recorded a finish.
    Acknowledged {
        job: JobId,
        attempt: u32,
    },
    /// Takes no new grants from now on.
    Drain,
    Tick,
}

/// Lease operations for one worker, sent in one message.
#[derive(Debug)]
pub struct Order {
    pub worker: event::WorkerKey,
    pub addr: SocketAddr,
    pub ops: Vec<Op>,
}

/// What the core wants done.
#[derive(Debug)]
pub enum Effect {
    Lease(Order),
    Dispatch(client::Dispatch),
    Finish(frame::Finish),
    /// Answers a `Collect` by its tag.
    Reply {
        tag: u64,
        frame: frame::Frame,
    },
}

#[derive(Debug)]
struct Target {
    news: backend::TargetAnnouncement,
    heard_ms: u64,
}

#[derive(Debug)]
struct Finished {
    finish: frame::Finish,
    sent_ms: u64,
}

/// The agent's core.
#[derive(Debug)]
pub struct Core {
    options: Options,
    now: u64,
    seen: Index,
    gangs: BTreeMap<JobId, Gang>,
    finished: BTreeMap<(JobId, u32), Finished>,
    answers: answers::Answers,
    target: Option<Target>,
    /// Requests that the target is working on, stopped gangs' included.
    dispatched: map::Set<(JobId, u32)>,
    waiters: Vec<collect::Waiter>,
    renewed_ms: u64,
    draining: bool,
    out: Vec<Effect>,
}

impl Core {
    /// Makes a core that has just started.
    pub fn new(options: Options) -> Self {
        Self {
            answers: answers::Answers::new(options.answers),
            options,
            now: 0,
            seen: 0,
            gangs: BTreeMap::new(),
            finished: BTreeMap::new(),
            target: None,
            dispatched: map::Set::default(),
            waiters: Vec::new(),
            renewed_ms: 0,
            draining: false,
            out: Vec::new(),
        }
    }

    /// Takes an event.
    pub fn step(&mut self, now: u64, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Grants { index, grants } => self.on_grants(index, grants),
            Event::Leased {
                worker,
                ops,
                result,
            } => self.on_leased(worker, &ops, &result),
            Event::Answered {
                job,
                attempt,
                result,
            } => self.on_answered(job, attempt, result),
            Event::Collect {
                tag,
                job,
                attempt,
                offset,
                wait_ms,
            } => {
                self.on_collect(tag, job, attempt, offset, wait_ms);
            }
            Event::Target(news) => self.on_target(news),
            Event::Acknowledged { job, attempt } => {
                self.finished.remove(&(job, attempt));
            }
            Event::Drain => self.draining = true,
            Event::Tick => self.on_tick(),
        }
        std::mem::take(&mut self.out)
    }

    /// Gangs held, with their attempts, for the leader; finished ones until it knows.
    pub fn jobs(&self) -> Vec<(JobId, u32)> {
        let held = self
            .gangs
            .iter()
            .map(|(job, gang)| (*job, gang.grant.attempt));
        held.chain(self.finished.keys().copied()).collect()
    }

    /// Number of gangs held.
    pub fn gang_count(&self) -> usize {
        self.gangs.len()
    }

    /// Bytes of answers kept.
    pub fn answer_bytes(&self) -> usize {
        self.answers.bytes()
    }

    /// Whether nothing is in progress: no gang, no finish to tell, no answer to collect.
    pub fn is_idle(&self) -> bool {
        self.gangs.is_empty() && self.finished.is_empty() && self.answers.all_collected()
    }

    /// The target as the leader should see it.
    pub fn target(&self) -> Option<frame::Target> {
        let target = self.target.as_ref()?;
        let silent = self.now >= target.heard_ms + TARGET_SILENCE_MS;
        let busy = self.dispatched.iter().filter(|(job, attempt)| {
            self.gangs
                .get(job)
                .is_none_or(|gang| gang.grant.attempt != *attempt)
        });
        // Requests of gangs that were stopped still take a slot of the target.
        let slots = target.news.slots.saturating_sub(busy.count() as u32);
        Some(frame::Target {
            name: target.news.name.clone(),
            services: target.news.services.clone(),
            slots,
            connections: target.news.connections,
            ready: target.news.ready && !target.news.leaving && !silent && !self.draining,
        })
    }

    fn on_target(&mut self, news: backend::TargetAnnouncement) {
        self.target = Some(Target {
            news,
            heard_ms: self.now,
        });
        self.admit_queued();
    }

    fn accepts_work(&self) -> bool {
        self.target().is_some_and(|target| target.ready)
    }

    /// Begins to give the leases back; what is told is fixed now.
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

    fn on_answered(&mut self, job: JobId, attempt: u32, result: backend::Result<client::Reply>) {
        self.dispatched.remove(&(job, attempt));
        let current = self
            .gangs
            .get(&job)
            .is_some_and(|gang| gang.grant.attempt == attempt && gang.ending.is_none());
        if current {
            match result {
                Ok(reply) if reply.status < 500 => self.answered(job, attempt, reply),
                Ok(reply) => self.target_failed(job, &reply),
                Err(err) => self.dispatch_failed(job, &err),
            }
        }
        self.admit_queued();
    }

    fn answered(&mut self, job: JobId, attempt: u32, reply: client::Reply) {
        let (status, content_type) = (reply.status, reply.content_type.clone());
        let length = reply.body.len() as u64;
        let checksum = self.answers.keep(self.now, job, attempt, reply);
        let Some(gang) = self.gangs.get(&job) else {
            return;
        };
        let inline = if gang.grant.repeatable {
            None
        } else {
            self.answers.small(job, attempt, INLINE_BYTES)
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

    fn target_failed(&mut self, job: JobId, reply: &client::Reply) {
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

    fn dispatch_failed(&mut self, job: JobId, err: &error::Error) {
        // Tasks have started by now, so the job counts as run unless nothing reached the target.
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
        self.stop_due();
        self.renew();
        self.expire_leases();
        self.answers.expire(self.now);
        self.serve_waiters();
        self.resend();
        self.admit_queued();
    }

    fn stop_due(&mut self) {
        let due = |gang: &Gang| {
            gang.ending.is_none() && gang.stop_ms.is_some_and(|stop_ms| stop_ms <= self.now)
        };
        let jobs: Vec<JobId> = self
            .gangs
            .iter()
            .filter(|(_job, gang)| due(gang))
            .map(|(job, _gang)| *job)
            .collect();
        for job in jobs {
            self.end_stopped(job);
        }
        let late = |gang: &Gang| {
            gang.ending.is_none() && gang.stage == Stage::Queued && gang.deadline_ms <= self.now
        };
        let jobs: Vec<JobId> = self
            .gangs
            .iter()
            .filter(|(_job, gang)| late(gang))
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

    /// Tells the leader once all leases are given back.
    fn finish(&mut self, job: JobId) {
        let Some(gang) = self.gangs.remove(&job) else {
            return;
        };
        if let Some(next) = gang.next {
            self.on_grant(next);
        }
        let (Some(ending), false) = (gang.ending, gang.silent) else {
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
        self.out.push(Effect::Finish(finish.clone()));
        let sent_ms = self.now;
        self.finished
            .insert((job, attempt), Finished { finish, sent_ms });
        self.serve_waiters();
    }

    fn resend(&mut self) {
        let now = self.now;
        for finished in self.finished.values_mut() {
            if now >= finished.sent_ms + RESEND_MS {
                finished.sent_ms = now;
                self.out.push(Effect::Finish(finished.finish.clone()));
            }
        }
    }
}
