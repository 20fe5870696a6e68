//! The leader's decisions on jobs and workers.
//!
//! The planner works on a projected copy of the registry, to which its own decisions are applied at
//! once, before they are committed to the log. Later decisions build on them, but nothing else acts
//! on a decision before it is committed.

mod cells;
mod displace;
mod drain;
mod evacuations;
mod expect;
mod pass;
mod relocate;
mod report;
mod reserve;
mod search;
mod speed;
mod wait_reasons;
mod watch;
mod watched;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use crate::flow::bounds::Bounds;
use crate::flow::catalog::{Catalog, Limits, Route};
use crate::flow::command::{Accepted, Command};
use crate::flow::durations::OUTCOMES;
use crate::flow::fleet::Fleet;
use crate::flow::message::{Action, Answer};
use crate::flow::planner::expect::Cache;
use crate::flow::planner::watched::Watched;
use crate::flow::registry::{Cause, Registry, State};
use crate::flow::{JobId, Millis, Run, UnitId, WorkerKey};
use crate::raft::Index;

/// Time without contact with an agent after which its worker gets no new runs.
const CONTACT_TIMEOUT_MS: Millis = 2_500;

/// Interval between placement passes when nothing but time has changed.
const PASS_INTERVAL_MS: Millis = 100;

/// Time for which an agent keeps extending leases without contact with the leader. It outlasts an
/// election and a network partition of a few seconds. A longer grant would delay the restart of a
/// lost worker's runs on other workers.
pub const GRANT_MS: Millis = 6_000;

/// Margin added to grant and lease before the runs of a lost worker may start elsewhere. With 2 % of
/// both times, it covers the drift of both clocks and the delay of a message.
const LOST_MARGIN_MS: Millis = 700;

/// Time without a first report from any worker after which the others are taken to be away, if most
/// have reported.
const GATHER_PAUSE_MS: Millis = 120;

/// Settings of the planner, shared with the agents.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub grant_ms: Millis,
    pub bounds: Bounds,
}

impl From<Bounds> for Options {
    fn from(bounds: Bounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            grant_ms: GRANT_MS,
            bounds: Bounds::default(),
        }
    }
}

/// What the leader knows of a worker from its agent's reports.
#[derive(Clone, Debug, Default)]
struct Observation {
    last_contact_ms: Millis,
    /// Time after which nothing can still run on the worker if its agent stays silent.
    lease_end_ms: Millis,
    /// Time at which the worker returned the lists that were reported last.
    listed_ms: Millis,
    /// Whether the agent has reported to this leader.
    reported: bool,
    responsive: bool,
    draining: bool,
    /// Workers at the same agent that registered before. Their runs may still be active until this
    /// incarnation is settled.
    predecessors: Vec<WorkerKey>,
    progress: BTreeMap<Run, Progress>,
    /// Active runs that were logged because the log has their tasks on other workers.
    duplicates: BTreeSet<Run>,
    /// Different jobs that have failed on the worker since a run last succeeded there or the worker
    /// was last quarantined for failures.
    failed_jobs: Vec<JobId>,
    /// Whether the worker has refused a run that it should have started, since one last succeeded there.
    has_refused: bool,
    quarantined_until_ms: Millis,
    quarantine_count: u32,
}

/// Reported progress of a run.
#[derive(Clone, Debug, Default)]
struct Progress {
    percent: u32,
    /// Time at which the percentage last rose.
    advanced_ms: Millis,
    checkpoint: String,
    /// First percentage above zero and the time at which it was reported. A run may be at zero for some
    /// time as it starts, which says nothing about its rate.
    first: Option<(u32, Millis)>,
}

/// Capacity that is being reclaimed for a unit.
#[derive(Clone, Debug)]
struct Claim {
    workers: Vec<WorkerKey>,
    expires_ms: Millis,
}

/// The leader's planning state, which is rebuilt after a change of leadership.
#[derive(Debug)]
pub struct Planner {
    options: Options,
    projected: Registry,
    /// Workers of `projected` by free capacity.
    fleet: Fleet,
    /// What the next pass has to look at.
    watched: Watched,
    /// Latest time on the monotonic clock.
    now: Millis,
    /// Latest time on the wall clock.
    wall_now: Millis,
    observations: BTreeMap<WorkerKey, Observation>,
    /// Workers with a recent failure or refusal.
    failing: BTreeSet<WorkerKey>,
    claims: BTreeMap<UnitId, Claim>,
    departures: drain::Table,
    speeds: speed::Table,
    relocations: relocate::Table,
    /// Waiting units within a guarantee that were logged because they fit on no workers.
    blocked: BTreeSet<UnitId>,
    cache: RefCell<Cache>,
    /// Numbers of ended runs by outcome that are in the metrics.
    counted: [u64; OUTCOMES],
    /// Decisions that the log has not received yet.
    commands: Vec<Command>,
    /// Whether something has changed since the last pass.
    dirty: bool,
    last_pass_ms: Millis,
    /// Time at which this member became leader; zero once all workers have reported or the time for
    /// that is over.
    gather_start_ms: Millis,
    /// Number of workers that have reported since, and time of the last first report.
    gathered: usize,
    gathered_ms: Millis,
}

impl Planner {
    /// Creates a planner for a new leader from the committed state, at a time on the monotonic clock.
    pub fn new(registry: &Registry, now: Millis, options: Options) -> Self {
        let mut planner = Self {
            options,
            projected: registry.clone(),
            fleet: Fleet::new(registry),
            watched: Watched::new(registry),
            now,
            wall_now: 0,
            observations: BTreeMap::new(),
            failing: BTreeSet::new(),
            claims: BTreeMap::new(),
            departures: drain::Table::default(),
            speeds: speed::Table::default(),
            relocations: relocate::Table::default(),
            blocked: BTreeSet::new(),
            cache: RefCell::default(),
            counted: registry.durations().counts(),
            commands: Vec::new(),
            dirty: true,
            last_pass_ms: 0,
            gather_start_ms: now,
            gathered: 0,
            gathered_ms: now,
        };
        // The previous leader may have renewed any grant up to now.
        let lease_end_ms = planner.grant_end_ms();
        planner.watched.next_loss_ms = lease_end_ms;
        for (key, worker) in registry.workers() {
            let others = registry.workers_of(&worker.info.instance);
            let observation = Observation {
                lease_end_ms,
                predecessors: others.filter(|other| *other < key).collect(),
                ..Observation::default()
            };
            planner.observations.insert(key, observation);
        }
        planner
    }

    /// Returns the projected state: the committed state with all decisions so far applied.
    pub fn projected(&self) -> &Registry {
        &self.projected
    }

    /// Returns the time after which nothing can run under a grant that is renewed now.
    fn grant_end_ms(&self) -> Millis {
        let term_ms = self.options.grant_ms + self.options.bounds.lease_ms();
        self.now + term_ms + term_ms / 50 + LOST_MARGIN_MS
    }

    /// Applies a command to the projected state and queues it for the log.
    fn push(&mut self, command: Command) {
        self.watched.note(&self.projected, &command);
        self.projected
            .apply(Index::MAX, self.wall_now, command.clone());
        for key in self.projected.take_changed() {
            self.fleet.refresh(&self.projected, key);
        }
        self.count_outcomes();
        self.commands.push(command);
        self.dirty = true;
    }

    /// Handles a caller's request. Returns the answer, and whether it must wait until the decision is
    /// committed to the log.
    pub fn request(
        &mut self,
        registry: &Registry,
        host: &str,
        path: &str,
        key: Option<&str>,
        action: Action,
    ) -> (Answer, bool) {
        let catalog = self.projected.catalog();
        if catalog.version == 0 {
            return (Answer::Undeclared, false);
        }
        let Some((queue, route)) = catalog.find(host, path) else {
            return (Answer::UnknownQueue, false);
        };
        let account = key.and_then(|key| catalog.account_of(key));
        if account.is_none() && !queue.public {
            return (Answer::Unauthorized, false);
        }
        let account = account.map_or(String::new(), |account| account.name.clone());
        let job = match route {
            Some(Route::Job(id)) => self.projected.job(id),
            _ => None,
        };
        let is_same_queue = job.is_some_and(|job| catalog.continues(queue, &job.queue));
        let is_known = job.is_some();
        match (route, action) {
            (Some(Route::Queue), Action::Read) => {
                (Answer::Pending(registry.pending(queue) as u64), false)
            }
            (Some(Route::Job(id)), Action::Submit(spec)) => {
                if is_known {
                    let is_committed = registry.job(id).is_some();
                    let answer = if is_same_queue {
                        Answer::Accepted
                    } else {
                        Answer::Invalid(
                            "a job with this identity exists in another queue".to_owned(),
                        )
                    };
                    return (answer, is_same_queue && !is_committed);
                }
                if let Some(error) = spec.validation_error() {
                    return (Answer::Invalid(error), false);
                }
                log::info!(job:% = format_args!("{id:016x}"), queue = queue.name, account = account;
                    "job accepted with {} steps", spec.steps.len());
                let accepted = Accepted {
                    id,
                    queue: queue.clone(),
                    account,
                    spec: *spec,
                };
                self.push(Command::Accept(Box::new(accepted)));
                (Answer::Accepted, true)
            }
            (Some(Route::Job(id)), Action::Cancel) if is_same_queue => {
                log::info!(job:% = format_args!("{id:016x}"); "job cancelled by its caller");
                self.push(Command::Cancel { job: id });
                (Answer::Cancelled, true)
            }
            (Some(Route::Job(id)), Action::Read) if is_same_queue => {
                (self.state(registry, id), false)
            }
            _ => (Answer::UnknownJob, false),
        }
    }

    fn state(&self, registry: &Registry, id: JobId) -> Answer {
        registry.job(id).map_or(Answer::UnknownJob, |job| {
            Answer::State(job.state, job.started)
        })
    }

    /// Replaces the catalog, unless the current version is as high.
    pub fn declare(&mut self, catalog: Box<Catalog>, limits: Limits) {
        if catalog.version > self.projected.catalog().version {
            log::info!(version = catalog.version, queues = catalog.queues.len(); "catalog declared");
            let version = catalog.version;
            self.push(Command::Declare(catalog));
            self.push(Command::Limit { version, limits });
        }
    }

    /// Makes all decisions that are due, and returns the commands for the log since the last call.
    pub fn decide(&mut self, now: Millis, wall_now: Millis) -> Vec<Command> {
        self.now = self.now.max(now);
        self.wall_now = self.wall_now.max(wall_now);
        if self.dirty || self.now >= self.last_pass_ms + PASS_INTERVAL_MS {
            self.last_pass_ms = self.now;
            self.open_due();
            self.remove_lost();
            self.stop_broken();
            self.stop_stalled();
            if self.has_gathered() {
                self.pass();
            }
            self.dirty = false;
        }
        std::mem::take(&mut self.commands)
    }

    /// Reports whether the workers have reported since this member became leader, or the time for that
    /// is over. Without the state of some workers, runs would be stopped for capacity that is free on
    /// others.
    fn has_gathered(&mut self) -> bool {
        if self.gather_start_ms == 0 {
            return true;
        }
        let workers = self.projected.workers().count();
        let are_others_away =
            self.gathered * 2 > workers && self.now >= self.gathered_ms + GATHER_PAUSE_MS;
        if self.gathered >= workers
            || are_others_away
            || self.now >= self.gather_start_ms + self.options.bounds.gather_timeout_ms()
        {
            log::info!(workers = workers, reported = self.gathered;
                "workers gathered after {} ms", self.now - self.gather_start_ms);
            self.gather_start_ms = 0;
        }
        self.gather_start_ms == 0
    }

    /// Opens the occurrences that are due.
    fn open_due(&mut self) {
        let mut due: Vec<(JobId, u32)> = Vec::new();
        let projected = &self.projected;
        self.watched.scheduled.retain(|id| {
            let job = projected.job(*id).filter(|job| job.state == State::Open);
            let job = job.filter(|job| job.opened < job.spec.occurrences());
            if let Some(job) = job
                && job.spec.due_ms(job.opened) <= self.wall_now
            {
                due.push((job.id, job.opened));
            }
            job.is_some()
        });
        for (job, occurrence) in due {
            self.push(Command::Open { job, occurrence });
        }
    }

    /// Stops the remaining members of gangs that have lost a member.
    fn stop_broken(&mut self) {
        let mut broken = std::mem::take(&mut self.watched.ended);
        broken.retain(|id| {
            let unit = self.projected.unit(*id);
            let running = unit.and_then(|unit| unit.running.as_ref());
            running.is_some_and(|running| running.stop.is_none() && running.is_broken())
        });
        for unit in broken {
            self.stop(unit, Cause::GangBroken);
        }
    }

    /// Stops the current run of a unit, if it has one that is not being stopped already.
    fn stop(&mut self, unit: UnitId, cause: Cause) {
        let running = self
            .projected
            .unit(unit)
            .and_then(|unit| unit.running.as_ref());
        if running.is_none_or(|running| running.stop.is_some()) {
            return;
        }
        log::info!(job:% = format_args!("{:016x}", unit.job), step = unit.step, first = unit.first;
            "stopping run: {cause}");
        self.push(Command::Stop { unit, cause });
    }
}
