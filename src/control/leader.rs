//! The leader: handles the requests and reports of callers, agents and operators, makes decisions
//! and returns the commands that log them.
//!
//! Proposed decisions count at once for the next decision, before the log holds them. When
//! leadership is lost, this state is dropped, and the next leader starts from the ledger.

mod fleet;
mod outcome;
mod request;

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

pub use outcome::error_of;
pub use request::{unknown_request, unknown_service};

/// Maximum number of rounds in one step; decisions of one round can cause events for the next.
const MAX_ROUNDS: usize = 4;

/// Interval of removing ended jobs whose retention is over.
const EXPIRE_INTERVAL_MS: Millis = 60_000;

/// Interval of fragmentation samples.
const SAMPLE_INTERVAL_MS: Millis = 10_000;

/// Maximum number of fragmentation samples: six hours' worth.
const MAX_SAMPLES: usize = 2_160;

/// Settings of the leader.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time for which ended jobs and their keys are kept.
    pub retention_ms: Millis,
    pub seed: u64,
}

/// A request that the scheduler has not decided on yet.
#[derive(Debug)]
struct Submission {
    request: ledger::Request,
    requirements: ledger::Requirements,
}

/// The leader's volatile state.
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
    submissions: BTreeMap<JobId, Submission>,
    /// Jobs submitted but not yet in the ledger, by account and key, with the request's digest.
    pending_keys: map::Map<(String, String), (JobId, u32)>,
    /// Callers that wait for a job to reach the ledger, and whether each repeats a request.
    submitters: BTreeMap<JobId, Vec<(call::Reply, bool)>>,
    /// Agents' reports of ended attempts that are not in the ledger yet.
    pending_finishes: BTreeMap<JobId, frame::Finish>,
    finishers: BTreeMap<JobId, Vec<call::Reply>>,
    /// Reasons for which jobs are being cancelled.
    cancel_reasons: BTreeMap<JobId, error::Kind>,
    deadlines: BTreeSet<(Millis, JobId)>,
    pending_config: Option<request::PendingConfig>,
    fleet: fleet::Fleet,
    processes: BTreeMap<String, Process>,
    last_expire_ms: Millis,
    last_tick_ms: Millis,
    /// Samples of fragmentation in percent, at least `SAMPLE_INTERVAL_MS` apart.
    fragmentation: std::collections::VecDeque<(Millis, f64)>,
}

/// A process that reports to the leader.
#[derive(Clone, Debug)]
pub struct Process {
    pub node: frame::Node,
    pub last_report_ms: Millis,
    /// Time of the first report of its current incarnation.
    pub first_report_ms: Millis,
}

impl Leader {
    /// Creates the leader's state from the ledger.
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
            submissions: BTreeMap::new(),
            pending_keys: map::Map::default(),
            submitters: BTreeMap::new(),
            pending_finishes: BTreeMap::new(),
            finishers: BTreeMap::new(),
            cancel_reasons: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            pending_config: None,
            fleet: fleet::Fleet::new(ledger),
            processes: BTreeMap::new(),
            last_expire_ms: now,
            last_tick_ms: 0,
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

    /// Decides on all events since the last call and returns the commands to be logged.
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
            self.refuse_submissions(&decisions);
            self.record_submissions();
            for decision in decisions {
                self.record_decision(ledger, decision);
            }
        }
        if decided {
            telemetry::DECISION_SECONDS.observe(start.elapsed().as_secs_f64());
        }
        std::mem::take(&mut self.commands)
    }

    /// Advances the clock: checks deadlines, silent agents and workers, and retention.
    pub fn tick(&mut self, ledger: &Ledger, now: Millis) {
        self.now = self.now.max(now);
        self.route.tick(self.now);
        self.cancel_overdue(ledger);
        if self.now < self.last_tick_ms + 1_000 {
            return;
        }
        self.last_tick_ms = self.now;
        self.check_workers(ledger);
        self.check_agents(ledger);
        self.expire();
        self.events.push(Event::Tick);
        self.publish_metrics(ledger);
    }

    fn expire(&mut self) {
        if self.now < self.last_expire_ms + EXPIRE_INTERVAL_MS {
            return;
        }
        self.last_expire_ms = self.now;
        let before_ms = self.now.saturating_sub(self.options.retention_ms);
        self.commands.push(Command::Expire { before_ms });
    }

    fn publish_metrics(&mut self, ledger: &Ledger) {
        telemetry::WAITING.set(self.sched.waiting_count() as i64);
        if let Some(shape) = fragmentation::largest_shape(ledger.config()) {
            let share = fragmentation::ratio(self.sched.fleet(), shape);
            telemetry::FRAGMENTATION.set((share * 100.0) as i64);
            self.record_sample(share * 100.0);
        }
        telemetry::SHORTFALL.reset();
        for shortfall in self.sched.shortfalls() {
            let gauge = telemetry::SHORTFALL.with_label_values(&[&shortfall.account]);
            gauge.add(i64::from(shortfall.gangs));
        }
    }

    fn record_sample(&mut self, percent: f64) {
        let last = self
            .fragmentation
            .back()
            .map_or(0, |(at_ms, _percent)| *at_ms);
        if self.now < last + SAMPLE_INTERVAL_MS {
            return;
        }
        self.fragmentation.push_back((self.now, percent));
        while self.fragmentation.len() > MAX_SAMPLES {
            self.fragmentation.pop_front();
        }
    }

    /// Returns the fragmentation samples: time and percent.
    pub fn fragmentation(&self) -> Vec<(Millis, f64)> {
        self.fragmentation.iter().copied().collect()
    }

    /// Logs a decision and adds its commands to those to be proposed.
    fn record_decision(&mut self, ledger: &Ledger, decision: Decision) {
        telemetry::DECISIONS
            .with_label_values(&[label(&decision)])
            .inc();
        if let Some((job, reason)) = job_and_reason(&decision) {
            log::info!(job = job, decision = label(&decision); "{}", explain::sentence(reason));
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
                self.cancel_reasons.remove(&job);
                self.commands.push(Command::End {
                    job,
                    outcome,
                    reason,
                });
            }
            Decision::Quarantine { worker, on, reason } => {
                log::warn!(
                    worker = worker.0, on = u32::from(on);
                    "worker quarantine changed: {reason:?}"
                );
                self.commands.push(Command::Quarantine { key: worker, on });
            }
        }
    }

    fn place(&mut self, job: JobId, placement: event::Placement, reason: event::Reason) {
        let now = self.now;
        let target = self.route.assigned(job);
        let live_target =
            target.filter(|(_agent, target)| now < target.last_report_ms() + fleet::AGENT_DEAD_MS);
        let Some((agent, target)) = live_target else {
            // The target was lost while the cells were being vacated.
            let end = event::End::Lost {
                worker: None,
                ran: false,
            };
            self.end_gang(job, end, 0);
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

    /// Reports to the scheduler that a gang has ended, and frees its target's slot for the same
    /// step.
    fn end_gang(&mut self, job: JobId, end: event::End, run_ms: Millis) {
        self.route.release(job);
        self.events.push(Event::Ended { job, end, run_ms });
    }

    /// Answers requests that were refused before they reached the ledger.
    fn refuse_submissions(&mut self, decisions: &[Decision]) {
        for decision in decisions {
            let Decision::End {
                job,
                kind: Some(kind),
                reason,
            } = decision
            else {
                continue;
            };
            let Some(submission) = self.submissions.remove(job) else {
                continue;
            };
            let key = (submission.request.account, submission.request.key);
            self.pending_keys.remove(&key);
            let err = error::Error::new(*kind, explain::sentence(reason)).with_ran(error::Ran::No);
            for (reply, _resent) in self.submitters.remove(job).unwrap_or_default() {
                reply.fail(err.clone());
            }
        }
    }

    fn record_submissions(&mut self) {
        for (job, submission) in std::mem::take(&mut self.submissions) {
            let Submission {
                request,
                requirements,
            } = submission;
            self.deadlines
                .insert((self.now.saturating_add(request.deadline_ms), job));
            self.commands.push(Command::Submit {
                job,
                request,
                requirements,
            });
        }
    }

    /// Answers callers and agents whose jobs have reached the ledger.
    pub fn answer_applied(&mut self, ledger: &Ledger, changeset: &ledger::apply::Changeset) {
        for id in &changeset.jobs {
            let Some(job) = ledger.job(*id) else { continue };
            let key = (job.request.account.clone(), job.request.key.clone());
            if self
                .pending_keys
                .get(&key)
                .is_some_and(|(pending, _digest)| pending == id)
            {
                self.pending_keys.remove(&key);
            }
            for (reply, resent) in self.submitters.remove(id).unwrap_or_default() {
                reply.send(Frame::View(view(ledger, job, resent)));
            }
            let finished = self.pending_finishes.get(id).map(|finish| finish.attempt);
            if finished.is_some() && finished != job.grant().map(|grant| grant.attempt) {
                self.pending_finishes.remove(id);
                for reply in self.finishers.remove(id).unwrap_or_default() {
                    reply.send(Frame::Ok);
                }
            }
        }
        if changeset.config {
            self.answer_configured(ledger);
        }
    }

    /// Answers everyone who waits that this member has lost leadership.
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
            .pending_config
            .into_iter()
            .flat_map(request::PendingConfig::into_replies);
        for reply in submitters.chain(finishers).chain(configurers) {
            reply.fail(err.clone());
        }
    }

    /// Returns the scheduler.
    pub fn sched(&self) -> &Scheduler {
        &self.sched
    }

    /// Returns the table of targets.
    pub fn route(&self) -> &route::Table {
        &self.route
    }

    /// Returns the processes that report to the leader, by name.
    pub fn processes(&self) -> &BTreeMap<String, Process> {
        &self.processes
    }

    /// Explains why a job is waiting at the moment.
    pub fn explain(&self, job: JobId) -> Option<event::Reason> {
        self.sched.explain(job, &self.route)
    }
}

/// Builds the view of a job that its entry receives; `attached` marks a repeated request.
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

/// Returns the job and reason of a decision, for its log line.
fn job_and_reason(decision: &Decision) -> Option<(JobId, &event::Reason)> {
    match decision {
        Decision::Place { job, reason, .. }
        | Decision::Stop { job, reason, .. }
        | Decision::Throttle { job, reason }
        | Decision::Requeue { job, reason }
        | Decision::End { job, reason, .. } => Some((*job, reason)),
        Decision::Quarantine { .. } => None,
    }
}

fn label(decision: &Decision) -> &'static str {
    match decision {
        Decision::Place { .. } => "place",
        Decision::Stop { .. } => "stop",
        Decision::Throttle { .. } => "throttle",
        Decision::Requeue { .. } => "requeue",
        Decision::End { .. } => "end",
        Decision::Quarantine { .. } => "quarantine",
    }
}

/// Returns the requirements of a service's jobs.
fn requirements(service: &config::Service) -> ledger::Requirements {
    ledger::Requirements {
        tasks: service.tasks,
        each: service.each,
        within: service.within,
        urgent: service.urgent,
        declared_ms: u64::from(service.declared_s) * 1_000,
    }
}
