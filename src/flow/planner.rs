//! The leader's decisions on jobs and workers.
//!
//! It works ahead of the log on a copy of the registry: what it has decided counts at once for the next
//! decision, and nothing outside sees it before it is in the log.

mod pass;
mod wait_reasons;
mod watch;

use std::collections::BTreeMap;

use crate::flow::catalog::{Catalog, Route};
use crate::flow::command::{Accepted, Command};
use crate::flow::message::{Action, Answer, Ended, Report};
use crate::flow::registry::{Cause, End, Info, Registry, State};
use crate::flow::{JobId, Millis, Run, UnitId, WorkerKey};
use crate::raft::Index;

/// Time without word from an agent after which its worker gets nothing new.
const SILENT_MS: Millis = 2_500;

/// Interval of passes that only time has brought about.
const PASS_MS: Millis = 100;

/// Time for which an agent goes on extending leases without word from the leader. It outlasts an
/// election and a cut of seconds; a longer one keeps the work of a lost worker from others.
pub const GRANT_MS: Millis = 6_000;

/// Term of the leases on a worker; outlasts the restart of its agent.
pub const LEASE_MS: Millis = 4_000;

/// Added to grant and lease before what ran on a lost worker may start elsewhere: 2 % drift of
/// both clocks, and the time of a message.
const LOST_MARGIN_MS: Millis = 700;

/// Time after taking over in which agents find the new leader; until all workers have been heard of
/// again, nothing is placed.
const GATHER_MS: Millis = 700;

/// Settings of the planner.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub grant_ms: Millis,
    pub lease_ms: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            grant_ms: GRANT_MS,
            lease_ms: LEASE_MS,
        }
    }
}

/// A worker as last heard of.
#[derive(Clone, Debug, Default)]
struct Seen {
    heard_ms: Millis,
    /// When nothing can run there any more if its agent stays silent.
    until_ms: Millis,
    /// When the worker gave the lists that its agent reported last.
    listed_ms: Millis,
    /// Whether its agent has reported to this leader.
    reported: bool,
    answers: bool,
    leaving: bool,
    /// Progress of each run: per cent, when it last rose, latest checkpoint.
    progress: BTreeMap<Run, Progress>,
    /// Failed runs in a row, and of how many jobs.
    failed: Vec<JobId>,
    quarantined_ms: Millis,
    quarantines: u32,
}

#[derive(Clone, Debug, Default)]
struct Progress {
    percent: u32,
    rose_ms: Millis,
    checkpoint: String,
}

/// Room that is being vacated for a unit.
#[derive(Clone, Debug)]
struct Claim {
    workers: Vec<WorkerKey>,
    until_ms: Millis,
}

/// The leader's soft state.
#[derive(Debug)]
pub struct Planner {
    options: Options,
    projected: Registry,
    now: Millis,
    wall: Millis,
    seen: BTreeMap<WorkerKey, Seen>,
    claims: BTreeMap<UnitId, Claim>,
    commands: Vec<Command>,
    dirty: bool,
    passed_ms: Millis,
    /// When this member took over; zero once all workers are known or had their time.
    gather_ms: Millis,
}

impl Planner {
    /// Takes over from the log at a time on the monotonic clock.
    pub fn new(registry: &Registry, now: Millis, options: Options) -> Self {
        let mut planner = Self {
            options,
            projected: registry.clone(),
            now,
            wall: 0,
            seen: BTreeMap::new(),
            claims: BTreeMap::new(),
            commands: Vec::new(),
            dirty: true,
            passed_ms: 0,
            gather_ms: now,
        };
        // An earlier leader may have renewed any grant until now.
        let until_ms = planner.grant_end();
        for (key, _worker) in registry.workers() {
            let seen = Seen {
                until_ms,
                ..Seen::default()
            };
            planner.seen.insert(key, seen);
        }
        planner
    }

    /// The state that all decisions so far lead to.
    pub fn projected(&self) -> &Registry {
        &self.projected
    }

    fn grant_end(&self) -> Millis {
        let lasts_ms = self.options.grant_ms + self.options.lease_ms;
        self.now + lasts_ms + lasts_ms / 50 + LOST_MARGIN_MS
    }

    fn push(&mut self, command: Command) {
        self.projected.apply(Index::MAX, self.wall, command.clone());
        self.commands.push(command);
        self.dirty = true;
    }

    /// Takes a caller's words; tells whether the answer must wait until the log has what was
    /// decided.
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
        let Some((queue, place)) = catalog.find(host, path) else {
            return (Answer::UnknownQueue, false);
        };
        let account = key.and_then(|key| catalog.account_of(key));
        if account.is_none() && !queue.public {
            return (Answer::Unauthorized, false);
        }
        let account = account.map_or(String::new(), |account| account.name.clone());
        let queue = queue.clone();
        match (place, action) {
            (Some(Route::Queue), Action::Read) => {
                (Answer::Pending(registry.pending(&queue.name) as u64), false)
            }
            (Some(Route::Job(id)), Action::Submit(spec)) => {
                if let Some(job) = self.projected.job(id) {
                    let same = job.queue.name == queue.name;
                    let stored = registry.job(id).is_some();
                    let answer = if same {
                        Answer::Accepted
                    } else {
                        Answer::Invalid("the identity is in use at another queue".to_owned())
                    };
                    return (answer, same && !stored);
                }
                if let Some(fault) = spec.validation_error() {
                    return (Answer::Invalid(fault), false);
                }
                log::info!(job:% = format_args!("{id:016x}"), queue = queue.name, account = account;
                    "accepted {} steps", spec.steps.len());
                let accepted = Accepted {
                    id,
                    queue,
                    account,
                    spec: *spec,
                };
                self.push(Command::Accept(Box::new(accepted)));
                (Answer::Accepted, true)
            }
            (Some(Route::Job(id)), action) => match self.projected.job(id) {
                Some(job) if job.queue.name == queue.name => match action {
                    Action::Cancel => {
                        log::info!(job:% = format_args!("{id:016x}"); "cancelled by its caller");
                        self.push(Command::Cancel { job: id });
                        (Answer::Cancelled, true)
                    }
                    _ => (self.state(registry, id), false),
                },
                _ => (Answer::UnknownJob, false),
            },
            _ => (Answer::UnknownJob, false),
        }
    }

    fn state(&self, registry: &Registry, id: JobId) -> Answer {
        registry.job(id).map_or(Answer::UnknownJob, |job| {
            Answer::State(job.state, job.started)
        })
    }

    /// Takes a declaration, unless a version as high is known.
    pub fn declare(&mut self, catalog: Box<Catalog>) {
        if catalog.version > self.projected.catalog().version {
            log::info!(version = catalog.version, queues = catalog.queues.len(); "declaration taken");
            self.push(Command::Declare(catalog));
        }
    }

    /// Notes that an agent is given its orders, and with them a new grant; tells whether it may be.
    /// A worker that has been given up must not get one, though the log may not say so yet.
    pub fn try_grant(&mut self, now: Millis, worker: WorkerKey) -> bool {
        if self.projected.worker(worker).is_none() {
            return false;
        }
        self.now = self.now.max(now);
        let until_ms = self.grant_end();
        let seen = self.seen.entry(worker).or_default();
        seen.until_ms = seen.until_ms.max(until_ms);
        seen.heard_ms = seen.heard_ms.max(now);
        true
    }

    /// Takes what an agent knows of its worker.
    pub fn report(&mut self, now: Millis, report: Report) {
        self.now = self.now.max(now);
        let known = self
            .projected
            .find_worker(&report.info.name, report.info.incarnation);
        let Some(key) = known.or_else(|| self.appear(&report.info)) else {
            return;
        };
        if report.expired {
            self.gone(key, "its agent says that its leases are over");
            return;
        }
        let quiet = self
            .seen
            .get(&key)
            .is_none_or(|seen| seen.leaving || !seen.answers);
        let until_ms = self.grant_end();
        let now = self.now;
        let seen = self.seen.entry(key).or_default();
        seen.heard_ms = now;
        seen.until_ms = seen.until_ms.max(until_ms);
        if report.draining && !seen.leaving {
            log::info!(worker = report.info.name; "leaving, {} ms are left", report.remaining_ms);
        }
        seen.leaving = report.draining;
        seen.answers = report.responsive;
        seen.reported = true;
        seen.listed_ms = seen.listed_ms.max(now.saturating_sub(report.age_ms));
        self.dirty |= quiet;
        if self
            .projected
            .worker(key)
            .is_some_and(|worker| worker.fenced)
        {
            if report.unfence == Some(key) {
                log::info!(worker = report.info.name; "lapsed since it was given up");
                self.push(Command::Unfence { worker: key });
            }
            return;
        }
        self.note_progress(key, report.active);
        let cursor = self.projected.worker(key).map_or(0, |worker| worker.cursor);
        for ended in report.ended {
            if ended.number > cursor {
                self.note_end(key, ended.run, ended.end);
                self.end(key, ended);
            }
        }
        for run in report.absent {
            let here = self.projected.worker(key);
            let held = here.is_some_and(|worker| worker.runs.get(&run.task) == Some(&run.number));
            if held {
                self.push(Command::EndRun {
                    worker: key,
                    number: 0,
                    run,
                    end: End::Absent,
                    checkpoint: String::new(),
                });
            }
        }
    }

    /// Records an end, and tells when it ends the job.
    fn end(&mut self, key: WorkerKey, ended: Ended) {
        let Ended {
            number,
            run,
            end,
            checkpoint,
        } = ended;
        let job = run.task.job;
        let name = self
            .projected
            .worker(key)
            .map(|worker| worker.info.name.clone());
        log::info!(job:% = format_args!("{job:016x}"), step = run.task.step, index = run.task.index,
            run = run.number, worker = name.unwrap_or_default(); "run ended: {end:?}");
        let state = |registry: &Registry| registry.job(job).map(|job| job.state);
        let before = state(&self.projected);
        self.push(Command::EndRun {
            worker: key,
            number,
            run,
            end,
            checkpoint,
        });
        let after = state(&self.projected);
        if before != after {
            log::info!(job:% = format_args!("{job:016x}"); "job ended: {:?}", after.unwrap_or(State::Open));
        }
    }

    /// Records a new incarnation; whatever else ran beside the same agent is over.
    fn appear(&mut self, info: &Info) -> Option<WorkerKey> {
        let old: Vec<WorkerKey> = self
            .projected
            .workers()
            .filter(|(_key, worker)| {
                worker.info.instance == info.instance || worker.info.name == info.name
            })
            .map(|(key, _worker)| key)
            .collect();
        for key in old {
            self.gone(key, "a later incarnation has appeared");
        }
        let key = self.projected.next_worker();
        log::info!(worker = info.name, key = key.0, rack = info.rack, domain = info.domain; "worker appeared");
        self.push(Command::RegisterWorker {
            key,
            info: info.clone(),
        });
        Some(key)
    }

    fn gone(&mut self, key: WorkerKey, why: &str) {
        let seen = self.seen.remove(&key).unwrap_or_default();
        let checkpoints = seen.progress.into_iter();
        let checkpoints = checkpoints
            .map(|(run, progress)| (run, progress.checkpoint))
            .collect();
        let name = self
            .projected
            .worker(key)
            .map(|worker| worker.info.name.clone());
        log::info!(worker = name.unwrap_or_default(), key = key.0; "worker is over: {why}");
        self.push(Command::RemoveWorker {
            worker: key,
            checkpoints,
        });
    }

    /// Decides on all that has come since the last call; returns commands for the log.
    pub fn decide(&mut self, now: Millis, wall: Millis) -> Vec<Command> {
        self.now = self.now.max(now);
        self.wall = self.wall.max(wall);
        if self.dirty || self.now >= self.passed_ms + PASS_MS {
            self.passed_ms = self.now;
            self.open_due();
            self.drop_lost();
            self.stop_broken();
            self.stop_still();
            if self.is_gathered() {
                self.pass();
            }
            self.dirty = false;
        }
        std::mem::take(&mut self.commands)
    }

    /// Whether the workers have been heard of since this member took over. With some of them
    /// unknown, runs would be stopped for room that is free elsewhere.
    fn is_gathered(&mut self) -> bool {
        if self.gather_ms == 0 {
            return true;
        }
        let mut workers = self.projected.workers();
        let heard = workers.all(|(key, _worker)| self.is_heard(key));
        drop(workers);
        if heard || self.now >= self.gather_ms + GATHER_MS {
            self.gather_ms = 0;
        }
        self.gather_ms == 0
    }

    fn is_heard(&self, key: WorkerKey) -> bool {
        self.seen.get(&key).is_some_and(|seen| seen.reported)
    }

    /// Makes occurrences known that are due.
    fn open_due(&mut self) {
        let mut due: Vec<(JobId, u32)> = Vec::new();
        for job in self.projected.jobs() {
            let more = job.opened < job.spec.occurrences();
            let open = job.state == State::Open;
            if open
                && more
                && job.spec.schedule.is_some()
                && job.spec.due_ms(job.opened) <= self.wall
            {
                due.push((job.id, job.opened));
            }
        }
        for (job, occurrence) in due {
            self.push(Command::Open { job, occurrence });
        }
    }

    /// Gives up workers whose leases are certainly over.
    fn drop_lost(&mut self) {
        let now = self.now;
        let keys: Vec<WorkerKey> = self.projected.workers().map(|(key, _worker)| key).collect();
        for key in keys {
            let over = self.seen.get(&key).is_none_or(|seen| now > seen.until_ms);
            if over {
                self.gone(key, "nothing was heard of it until its leases were over");
            }
        }
    }

    /// Stops what is left of gangs that have lost a member.
    fn stop_broken(&mut self) {
        let broken: Vec<UnitId> = self
            .projected
            .active()
            .filter(|id| {
                let unit = self.projected.unit(*id);
                let running = unit.and_then(|unit| unit.running.as_ref());
                running.is_some_and(|running| running.stop.is_none() && running.is_broken())
            })
            .collect();
        for unit in broken {
            self.stop(unit, Cause::GangBroken);
        }
    }

    /// Orders a run to stop.
    fn stop(&mut self, unit: UnitId, cause: Cause) {
        let running = self
            .projected
            .unit(unit)
            .and_then(|unit| unit.running.as_ref());
        if running.is_none_or(|running| running.stop.is_some()) {
            return;
        }
        log::info!(job:% = format_args!("{:016x}", unit.job), step = unit.step, first = unit.first;
            "stop: {cause}");
        self.push(Command::Stop { unit, cause });
    }
}
