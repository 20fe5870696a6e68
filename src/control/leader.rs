//! The leader's duty: takes what callers, agents and operators say, decides, and logs the decision.
//!
//! It works ahead of the log: what it has proposed counts at once for the next decision. When it
//! loses leadership all of that is dropped, and the next leader starts from the ledger.

mod fleet;
mod request;
mod verdict;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use crate::config;
use crate::error;
use crate::explain;
use crate::ledger::{self, Command, Ledger};
use crate::limit;
use crate::map;
use crate::route;
use crate::sched::core::Policy;
use crate::sched::event::{self, Decision, Event, Router};
use crate::sched::fragmentation;
use crate::sched::{JobId, Millis, Scheduler};
use crate::telemetry;
use crate::wire::call;
use crate::wire::frame::{self, Frame};

pub use request::{unknown_request, unknown_service};
pub use verdict::error_of;

/// Most rounds of decisions that follow from each other in one step.
const MAX_ROUNDS: usize = 4;

/// Interval of forgetting what has been kept long enough.
const EXPIRE_MS: Millis = 60_000;

/// Interval of fragmentation samples.
const SAMPLE_MS: Millis = 10_000;

/// Samples of fragmentation kept, for six hours.
const KEPT_SAMPLES: usize = 2_160;

/// Settings of the leader.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time that ended jobs and their keys are kept.
    pub retention_ms: Millis,
    pub seed: u64,
}

/// A request that is not in the ledger yet.
#[derive(Debug)]
struct Fresh {
    request: ledger::Request,
    requirements: ledger::Requirements,
}

/// Soft state of the leader.
#[derive(Debug)]
pub struct Leader {
    options: Options,
    now: Millis,
    sched: Scheduler,
    route: route::Table,
    rates: limit::RateLimiter,
    next_job: JobId,
    events: Vec<Event>,
    commands: Vec<Command>,
    fresh: BTreeMap<JobId, Fresh>,
    /// Jobs submitted but not yet in the ledger, by account and key, with the request's digest.
    submitted: map::Map<(String, String), (JobId, u32)>,
    /// Callers that wait for a job to reach the ledger, and whether each is a resend.
    submitters: BTreeMap<JobId, Vec<(call::Reply, bool)>>,
    /// Finishes that have been decided on but are not in the ledger yet.
    finishing: BTreeMap<JobId, frame::Finish>,
    finishers: BTreeMap<JobId, Vec<call::Reply>>,
    /// Why running jobs are being cancelled.
    cancelled: BTreeMap<JobId, error::Kind>,
    deadlines: BTreeSet<(Millis, JobId)>,
    configuring: Option<request::Configuring>,
    fleet: fleet::Roster,
    nodes: BTreeMap<String, Heard>,
    expired_ms: Millis,
    ticked_ms: Millis,
    /// Fragmentation in per cent, sampled once for each slot of the report.
    fragmentation: std::collections::VecDeque<(Millis, f64)>,
}

/// A process as last heard.
#[derive(Clone, Debug)]
pub struct Heard {
    pub node: frame::Node,
    pub at_ms: Millis,
    /// When its present start was first heard.
    pub since_ms: Millis,
}

impl Leader {
    /// Takes over from the ledger.
    pub fn new(ledger: &Ledger, now: Millis, options: Options) -> Self {
        let mut leader = Self {
            options,
            now,
            sched: Scheduler::new(Policy::Fair),
            route: route::Table::new(options.seed),
            rates: limit::RateLimiter::default(),
            next_job: ledger.next_job(),
            events: Vec::new(),
            commands: Vec::new(),
            fresh: BTreeMap::new(),
            submitted: map::Map::default(),
            submitters: BTreeMap::new(),
            finishing: BTreeMap::new(),
            finishers: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            configuring: None,
            fleet: fleet::Roster::new(ledger),
            nodes: BTreeMap::new(),
            expired_ms: now,
            ticked_ms: 0,
            fragmentation: std::collections::VecDeque::new(),
        };
        leader.restore(ledger);
        leader
    }

    fn restore(&mut self, ledger: &Ledger) {
        let mut events = Vec::new();
        for worker in ledger.workers() {
            events.push(Event::WorkerUp(worker.info.clone()));
            if !worker.is_up {
                events.push(Event::WorkerDown(worker.info.key));
            }
        }
        events.push(Event::Configure(Arc::new(ledger.config().clone())));
        for job in ledger.jobs() {
            match &job.phase {
                ledger::Phase::Granted(grant) => {
                    self.route
                        .assign(job.id, &job.request.account, &grant.agent);
                    self.deadlines.insert((job.deadline_ms(), job.id));
                    events.push(Event::Adopt {
                        spec: job.spec(),
                        placement: grant.placement.clone(),
                        started_ms: grant.placed_ms,
                        attempts: 0,
                        stopping: grant.stop.is_some(),
                    });
                }
                ledger::Phase::Waiting => {
                    self.deadlines.insert((job.deadline_ms(), job.id));
                    events.push(Event::Submit(job.spec()));
                }
                ledger::Phase::Ended(outcome) if outcome.kind.is_none() => {
                    let (account, service) = (&job.request.account, &job.request.service);
                    let declared_ms = job.requirements.declared_ms;
                    self.sched
                        .observe_run(account, service, declared_ms, outcome.run_ms);
                }
                ledger::Phase::Ended(_) => {}
            }
        }
        self.events = events;
        for worker in ledger
            .workers()
            .iter()
            .filter(|worker| worker.is_quarantined)
        {
            self.sched.adopt_quarantine(worker.info.key);
        }
    }

    /// Decides on everything taken since the last call; returns the commands to be logged.
    pub fn decide(&mut self, ledger: &Ledger, now: Millis) -> Vec<Command> {
        self.now = self.now.max(now);
        self.route.tick(self.now);
        let start = Instant::now();
        let mut decided = false;
        for _round in 0..MAX_ROUNDS {
            if self.events.is_empty() {
                break;
            }
            decided = true;
            let events = std::mem::take(&mut self.events);
            let decisions = self.sched.step(self.now, events, &mut self.route);
            self.refuse_fresh(&decisions);
            self.record_fresh();
            for decision in decisions {
                self.record(ledger, decision);
            }
        }
        if decided {
            telemetry::DECISION_SECONDS.observe(start.elapsed().as_secs_f64());
        }
        std::mem::take(&mut self.commands)
    }

    /// Passes time: deadlines, silent agents and workers, retention.
    pub fn tick(&mut self, ledger: &Ledger, now: Millis) {
        self.now = self.now.max(now);
        self.route.tick(self.now);
        self.pass_deadlines(ledger);
        if self.now < self.ticked_ms + 1_000 {
            return;
        }
        self.ticked_ms = self.now;
        self.check_workers(ledger);
        self.check_agents(ledger);
        self.expire();
        self.events.push(Event::Tick);
        self.publish(ledger);
    }

    fn expire(&mut self) {
        if self.now < self.expired_ms + EXPIRE_MS {
            return;
        }
        self.expired_ms = self.now;
        let before_ms = self.now.saturating_sub(self.options.retention_ms);
        self.commands.push(Command::Expire { before_ms });
    }

    fn publish(&mut self, ledger: &Ledger) {
        telemetry::WAITING.set(self.sched.waiting_count() as i64);
        if let Some(shape) = fragmentation::largest_shape(ledger.config()) {
            let share = fragmentation::ratio(self.sched.fleet(), shape);
            telemetry::FRAGMENTATION.set((share * 100.0) as i64);
            self.sample(share * 100.0);
        }
        telemetry::SHORTFALL.reset();
        for shortfall in self.sched.shortfalls() {
            let gauge = telemetry::SHORTFALL.with_label_values(&[&shortfall.account]);
            gauge.add(i64::from(shortfall.gangs));
        }
    }

    fn sample(&mut self, percent: f64) {
        let last = self
            .fragmentation
            .back()
            .map_or(0, |(at_ms, _percent)| *at_ms);
        if self.now < last + SAMPLE_MS {
            return;
        }
        self.fragmentation.push_back((self.now, percent));
        while self.fragmentation.len() > KEPT_SAMPLES {
            self.fragmentation.pop_front();
        }
    }

    /// Samples of fragmentation: time and per cent.
    pub fn fragmentation(&self) -> Vec<(Millis, f64)> {
        self.fragmentation.iter().copied().collect()
    }

    /// Turns a decision into commands.
    fn record(&mut self, ledger: &Ledger, decision: Decision) {
        telemetry::DECISIONS
            .with_label_values(&[name(&decision)])
            .inc();
        if let Some((job, reason)) = told(&decision) {
            log::info!(job = job, decision = name(&decision); "{}", explain::sentence(reason));
        }
        match decision {
            Decision::Place {
                job,
                placement,
                reason,
            } => self.place(job, placement, reason),
            Decision::Stop {
                job,
                cause,
                grace_ms,
                reason,
            } => {
                let stop = ledger::Stop { cause, grace_ms };
                self.commands.push(Command::Stop { job, stop, reason });
            }
            Decision::Throttle { job, reason } => {
                self.commands.push(Command::Throttle { job, reason });
            }
            Decision::Requeue { job, reason } => {
                let ran = self.last_ran(ledger, job);
                self.commands.push(Command::Requeue { job, ran, reason });
            }
            Decision::End { job, kind, reason } => {
                let outcome = self.outcome(ledger, job, kind, &reason);
                self.cancelled.remove(&job);
                self.commands.push(Command::End {
                    job,
                    outcome,
                    reason,
                });
            }
            Decision::Quarantine { worker, on, reason } => {
                log::warn!(worker = worker.0, on = u32::from(on); "{reason:?}");
                self.commands.push(Command::Quarantine { key: worker, on });
            }
        }
    }

    fn place(&mut self, job: JobId, placement: event::Placement, reason: event::Reason) {
        let now = self.now;
        let target = self.route.assigned(job);
        let live =
            target.filter(|(_agent, target)| now < target.last_report_ms() + fleet::AGENT_DEAD_MS);
        let Some((agent, target)) = live else {
            // The target went away while the cells were being vacated.
            let end = event::End::Lost {
                worker: None,
                ran: false,
            };
            self.ended(job, end, 0);
            return;
        };
        let (agent, incarnation) = (agent.clone(), target.incarnation);
        self.commands.push(Command::Place {
            job,
            agent,
            incarnation,
            placement,
            reason,
        });
    }

    /// Tells the scheduler that a gang has ended; its target's slot is free for the same pass.
    fn ended(&mut self, job: JobId, end: event::End, run_ms: Millis) {
        self.route.release(job);
        self.events.push(Event::Ended { job, end, run_ms });
    }

    /// Answers requests that were refused before they reached the ledger.
    fn refuse_fresh(&mut self, decisions: &[Decision]) {
        for decision in decisions {
            let Decision::End {
                job,
                kind: Some(kind),
                reason,
            } = decision
            else {
                continue;
            };
            let Some(fresh) = self.fresh.remove(job) else {
                continue;
            };
            let key = (fresh.request.account, fresh.request.key);
            self.submitted.remove(&key);
            let err = error::Error::new(*kind, explain::sentence(reason)).with_ran(error::Ran::No);
            for (reply, _resent) in self.submitters.remove(job).unwrap_or_default() {
                reply.fail(err.clone());
            }
        }
    }

    fn record_fresh(&mut self) {
        for (job, fresh) in std::mem::take(&mut self.fresh) {
            let Fresh {
                request,
                requirements,
            } = fresh;
            self.deadlines
                .insert((self.now.saturating_add(request.deadline_ms), job));
            self.commands.push(Command::Submit {
                job,
                request,
                requirements,
            });
        }
    }

    /// Answers those who waited for jobs to reach the ledger.
    pub fn applied(&mut self, ledger: &Ledger, changeset: &ledger::apply::Changeset) {
        for id in &changeset.jobs {
            let Some(job) = ledger.job(*id) else { continue };
            let key = (job.request.account.clone(), job.request.key.clone());
            if self
                .submitted
                .get(&key)
                .is_some_and(|(submitted, _digest)| submitted == id)
            {
                self.submitted.remove(&key);
            }
            for (reply, attached) in self.submitters.remove(id).unwrap_or_default() {
                reply.send(Frame::View(view(ledger, job, attached)));
            }
            let finished = self.finishing.get(id).map(|finish| finish.attempt);
            if finished.is_some() && finished != job.grant().map(|grant| grant.attempt) {
                self.finishing.remove(id);
                for reply in self.finishers.remove(id).unwrap_or_default() {
                    reply.send(Frame::Ok);
                }
            }
        }
        if changeset.config {
            self.configured(ledger);
        }
    }

    /// Tells everyone who waits that this member no longer leads.
    pub fn step_down(self) {
        let err = error::Error::new(
            error::Kind::NotLeader,
            "leadership was lost before the decision was durable",
        )
        .with_ran(error::Ran::Unknown);
        let submitters = self
            .submitters
            .into_values()
            .flatten()
            .map(|(reply, _resent)| reply);
        let finishers = self.finishers.into_values().flatten();
        let configurers = self
            .configuring
            .into_iter()
            .flat_map(request::Configuring::into_replies);
        for reply in submitters.chain(finishers).chain(configurers) {
            reply.fail(err.clone());
        }
    }

    /// The scheduler, to be read.
    pub fn sched(&self) -> &Scheduler {
        &self.sched
    }

    /// The targets, to be read.
    pub fn route(&self) -> &route::Table {
        &self.route
    }

    /// Processes heard of, by name.
    pub fn nodes(&self) -> &BTreeMap<String, Heard> {
        &self.nodes
    }

    /// Why a job waits, from the state of the moment.
    pub fn explain(&self, job: JobId) -> Option<event::Reason> {
        self.sched.explain(job, &self.route)
    }
}

/// A job as an entry needs it.
pub fn view(ledger: &Ledger, job: &ledger::Job, attached: bool) -> frame::View {
    let addr = |name: &str| ledger.agent(name).map(|agent| agent.addr);
    let stage = match &job.phase {
        ledger::Phase::Waiting => frame::Stage::Waiting,
        ledger::Phase::Granted(grant) => match addr(&grant.agent) {
            Some(agent) => frame::Stage::Granted {
                agent,
                attempt: grant.attempt,
            },
            None => frame::Stage::Waiting,
        },
        ledger::Phase::Ended(outcome) => frame::Stage::Ended {
            agent: outcome
                .answer
                .as_ref()
                .and_then(|answer| addr(&answer.agent)),
            outcome: Box::new(outcome.clone()),
        },
    };
    frame::View {
        job: job.id,
        stage,
        attached,
    }
}

/// Job and reason of a decision, for the log.
fn told(decision: &Decision) -> Option<(JobId, &event::Reason)> {
    match decision {
        Decision::Place { job, reason, .. }
        | Decision::Stop { job, reason, .. }
        | Decision::Throttle { job, reason }
        | Decision::Requeue { job, reason }
        | Decision::End { job, reason, .. } => Some((*job, reason)),
        Decision::Quarantine { .. } => None,
    }
}

fn name(decision: &Decision) -> &'static str {
    match decision {
        Decision::Place { .. } => "place",
        Decision::Stop { .. } => "stop",
        Decision::Throttle { .. } => "throttle",
        Decision::Requeue { .. } => "requeue",
        Decision::End { .. } => "end",
        Decision::Quarantine { .. } => "quarantine",
    }
}

/// The form that a service gives its jobs.
fn requirements(service: &config::Service) -> ledger::Requirements {
    ledger::Requirements {
        tasks: service.tasks,
        each: service.each,
        within: service.within,
        urgent: service.urgent,
        declared_ms: u64::from(service.declared_s) * 1_000,
    }
}
