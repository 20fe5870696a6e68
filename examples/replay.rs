//! Replays a workload through the scheduling core with a simulated clock.
//!
//! `cargo run --release --example replay -- --config FILE --workload FILE [--policy fifo]`
//! prints one JSON line of measurements.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Instant;

use clap::Parser;
use oriolereel::config::{self, Resources, Within, parse};
use oriolereel::error::Kind;
use oriolereel::sched::core::{Policy, Scheduler};
use oriolereel::sched::event::{self, Decision, End, Event};
use oriolereel::sched::{JobId, Millis, fleet, fragmentation};
use serde::Deserialize;

/// Time until the gangs of a lost worker are known to be lost: the duration of their leases.
const LEASE_MS: Millis = 5_000;

/// Run time of a gang on a worker that fails all gangs.
const FAILING_WORKER_RUN_MS: Millis = 1_000;

/// Run time of a job that never succeeds.
const FAILING_JOB_RUN_MS: Millis = 60_000;

/// Interval of ticks while jobs wait and nothing else happens.
const TICK_MS: Millis = 10_000;

#[derive(Parser)]
struct Args {
    /// File or folder of the configuration
    #[arg(long)]
    config: PathBuf,
    /// JSON lines of jobs and events
    #[arg(long)]
    workload: PathBuf,
    /// `fair` or `fifo`
    #[arg(long, default_value = "fair")]
    policy: String,
}

/// A job or an event of the workload.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    at_s: f64,
    event: Option<String>,
    worker: Option<String>,
    job: Option<String>,
    account: Option<String>,
    service: Option<String>,
    tasks: Option<u32>,
    accelerators: Option<u32>,
    cpus: Option<u32>,
    memory_gb: Option<u32>,
    within: Option<Within>,
    #[serde(default)]
    urgent: bool,
    declared_s: Option<f64>,
    actual_s: Option<f64>,
}

/// What happens when a timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A line of the workload is due.
    Line(usize),
    /// A run of the gang ends; ignored if another run has started since.
    End {
        job: JobId,
        run: u32,
    },
    Tick,
}

#[derive(Clone, Debug, Default)]
struct Job {
    submitted_ms: Millis,
    /// Remaining run time; `None` for a job that never succeeds.
    remaining_ms: Option<Millis>,
    started_ms: Millis,
    /// Number of times that it was started or its end was rescheduled.
    run: u32,
    end: Option<End>,
    /// Time at which gangs were first stopped for it.
    claimed_ms: Option<Millis>,
    members: Vec<event::Member>,
    each: Resources,
    account: String,
    tasks: u32,
}

#[derive(Default)]
struct Replay {
    now: Millis,
    timers: BinaryHeap<Reverse<(Millis, Timer)>>,
    jobs: BTreeMap<JobId, Job>,
    ids_by_name: BTreeMap<String, JobId>,
    /// Workers that fail all gangs.
    failing: BTreeMap<event::WorkerKey, bool>,
    completions: Vec<Millis>,
    reclaims: Vec<Millis>,
    step_us: Vec<f64>,
    /// Sum of fragmentation, weighted by the milliseconds during which jobs waited.
    weighted_fragmentation: f64,
    waited_ms: f64,
    decisions: u64,
    violations: u64,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let sources = parse::read(&args.config)?;
    let config = parse::parse(sources).map_err(|diagnostics| parse::to_error(&diagnostics))?;
    let policy = match args.policy.as_str() {
        "fair" => Policy::Fair,
        "fifo" => Policy::Fifo,
        other => anyhow::bail!("invalid value `{other}` for --policy, expected `fair` or `fifo`"),
    };
    let mut lines = Vec::new();
    for (index, text) in std::fs::read_to_string(&args.workload)?.lines().enumerate() {
        let line: Line = serde_json::from_str(text)
            .map_err(|err| anyhow::anyhow!("{}:{}: {err}", args.workload.display(), index + 1))?;
        lines.push(line);
    }
    run(&config, &lines, policy);
    Ok(())
}

fn run(config: &config::Config, lines: &[Line], policy: Policy) {
    let mut sched = Scheduler::new(policy);
    let mut replay = Replay::default();
    let mut regions: Vec<String> = config
        .racks
        .values()
        .map(|rack| rack.region.clone())
        .collect();
    regions.dedup();
    let mut router = event::Unlimited { regions };
    let mut workers: BTreeMap<String, event::Worker> = BTreeMap::new();
    for (name, rack) in &config.racks {
        for number in 1..=rack.workers {
            let key = event::WorkerKey(workers.len() as u32);
            let worker = event::Worker {
                key,
                region: rack.region.clone(),
                domain: rack.domain.clone(),
                rack: name.clone(),
                total: rack.each,
            };
            workers.insert(format!("{name}-w{number}"), worker);
        }
    }
    let first = workers.values().cloned().map(Event::WorkerUp);
    let first = first.chain([Event::Configure(Arc::new(config.clone()))]);
    sched.step(0, first, &mut router);
    for (index, line) in lines.iter().enumerate() {
        replay.timers.push(Reverse((
            (line.at_s * 1_000.0) as Millis,
            Timer::Line(index),
        )));
    }
    let shape = fragmentation::largest_shape(config).cloned();
    while let Some(Reverse((at_ms, timer))) = replay.timers.pop() {
        replay.advance(at_ms, &sched, shape.as_ref());
        let events = replay.events(timer, lines, &workers);
        if events.is_empty() {
            continue;
        }
        let start = Instant::now();
        let decisions = sched.step(at_ms, events, &mut router);
        replay.step_us.push(start.elapsed().as_secs_f64() * 1e6);
        replay.decisions += decisions.len() as u64;
        for decision in decisions {
            replay.apply_decision(decision);
        }
        replay.count_violations(&sched, &workers, config);
        if replay.timers.is_empty() && sched.waiting_count() > 0 {
            replay.timers.push(Reverse((at_ms + TICK_MS, Timer::Tick)));
        }
    }
    replay.print_summary(&sched, lines.len());
}

impl Replay {
    /// Advances the clock and weights the fragmentation by the time during which jobs waited.
    fn advance(&mut self, to: Millis, sched: &Scheduler, shape: Option<&config::Shape>) {
        if sched.waiting_count() > 0 && to > self.now {
            let time = (to - self.now) as f64;
            let share = shape.map_or(0.0, |shape| fragmentation::ratio(sched.fleet(), shape));
            self.weighted_fragmentation += share * time;
            self.waited_ms += time;
        }
        self.now = to;
    }

    fn events(
        &mut self,
        timer: Timer,
        lines: &[Line],
        workers: &BTreeMap<String, event::Worker>,
    ) -> Vec<Event> {
        match timer {
            Timer::Tick => vec![Event::Tick],
            Timer::End { job, run } => self.ended(job, run),
            Timer::Line(index) => {
                let line = &lines[index];
                let worker = line.worker.as_ref().and_then(|name| workers.get(name));
                match (line.event.as_deref(), worker) {
                    (None, _) => self.submit(index, line),
                    (Some("cancel"), _) => {
                        let job = line
                            .job
                            .as_ref()
                            .and_then(|name| self.ids_by_name.get(name));
                        let cancel = |job: &JobId| Event::Cancel {
                            job: *job,
                            kind: Kind::Cancelled,
                        };
                        job.map(cancel).into_iter().collect()
                    }
                    (Some("worker_down"), Some(worker)) => {
                        self.lose_worker(worker.key);
                        vec![Event::WorkerDown(worker.key)]
                    }
                    (Some("worker_up"), Some(worker)) => {
                        self.failing.remove(&worker.key);
                        vec![Event::WorkerUp(worker.clone())]
                    }
                    (Some("fails_all"), Some(worker)) => {
                        self.failing.insert(worker.key, true);
                        Vec::new()
                    }
                    (Some(other), _) => panic!(
                        "line {}: unknown event `{other}` or unknown worker",
                        index + 1
                    ),
                }
            }
        }
    }

    fn submit(&mut self, index: usize, line: &Line) -> Vec<Event> {
        let id = index as JobId + 1;
        let number = |value: Option<u32>| value.unwrap_or(1);
        let each = Resources {
            accelerators: line.accelerators.unwrap_or(0),
            cpus: number(line.cpus),
            memory_gb: number(line.memory_gb),
        };
        let account = line.account.clone().unwrap_or_default();
        let tasks = number(line.tasks);
        let remaining_ms = line.actual_s.map(|seconds| (seconds * 1_000.0) as Millis);
        let submitted_ms = self.now;
        let job = Job {
            submitted_ms,
            remaining_ms,
            each,
            tasks,
            account,
            ..Job::default()
        };
        let spec = event::Spec {
            id,
            account: job.account.clone(),
            service: line.service.clone().unwrap_or_default(),
            region: String::new(),
            tasks,
            each,
            within: line.within.unwrap_or_default(),
            urgent: line.urgent,
            repeatable: true,
            declared_ms: (line.declared_s.unwrap_or(60.0) * 1_000.0) as Millis,
            submitted_ms: self.now,
        };
        self.ids_by_name
            .insert(line.job.clone().unwrap_or_default(), id);
        self.jobs.insert(id, job);
        vec![Event::Submit(spec)]
    }

    fn ended(&mut self, id: JobId, run: u32) -> Vec<Event> {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.run == run) else {
            return Vec::new();
        };
        let Some(end) = job.end.take() else {
            return Vec::new();
        };
        job.members.clear();
        let run_ms = self.now - job.started_ms;
        if end == End::Done {
            self.completions.push(self.now - job.submitted_ms);
        } else if let Some(remaining_ms) = &mut job.remaining_ms {
            // The work done so far was checkpointed when the gang was stopped.
            *remaining_ms = remaining_ms.saturating_sub(run_ms).max(1);
        }
        vec![Event::Ended {
            job: id,
            end,
            run_ms,
        }]
    }

    fn plan_end(&mut self, id: JobId, delay_ms: Millis, end: End) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.run += 1;
        job.end = Some(end);
        let run = job.run;
        self.timers
            .push(Reverse((self.now + delay_ms, Timer::End { job: id, run })));
    }

    fn lose_worker(&mut self, key: event::WorkerKey) {
        let runs_on_worker = |job: &Job| job.members.iter().any(|member| member.worker == key);
        let lost: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_id, job)| runs_on_worker(job))
            .map(|(id, _job)| *id)
            .collect();
        for id in lost {
            self.plan_end(
                id,
                LEASE_MS,
                End::Lost {
                    worker: Some(key),
                    ran: true,
                },
            );
        }
    }

    fn apply_decision(&mut self, decision: Decision) {
        match decision {
            Decision::Place {
                job: id, placement, ..
            } => {
                let failing = placement.members.iter().map(|member| member.worker);
                let failing = failing.filter(|key| self.failing.contains_key(key)).min();
                let now = self.now;
                let Some(job) = self.jobs.get_mut(&id) else {
                    return;
                };
                job.started_ms = now;
                job.members = placement.members;
                if let Some(claimed_ms) = job.claimed_ms.take() {
                    self.reclaims.push(now - claimed_ms);
                }
                let (delay_ms, end) = match (failing, job.remaining_ms) {
                    (Some(key), _) => (
                        FAILING_WORKER_RUN_MS,
                        End::Failed {
                            worker: Some(key),
                            ran: true,
                        },
                    ),
                    (None, Some(remaining_ms)) => (remaining_ms, End::Done),
                    (None, None) => (
                        FAILING_JOB_RUN_MS,
                        End::Failed {
                            worker: None,
                            ran: true,
                        },
                    ),
                };
                self.plan_end(id, delay_ms, end);
            }
            Decision::Stop {
                job,
                grace_ms,
                reason,
                ..
            } => {
                if let event::Reason::Yielded { to, .. } = reason
                    && let Some(to) = self.jobs.get_mut(&to)
                {
                    to.claimed_ms.get_or_insert(self.now);
                }
                self.plan_end(job, grace_ms, End::Stopped { ran: true });
            }
            Decision::Throttle { .. }
            | Decision::Requeue { .. }
            | Decision::End { .. }
            | Decision::Quarantine { .. } => {}
        }
    }

    /// Counts violated guarantees: overcommitted workers, cells beyond a worker's resources, jobs
    /// that wait beside an unclaimed gang, and shortfalls while all workers are up.
    fn count_violations(
        &mut self,
        sched: &Scheduler,
        workers: &BTreeMap<String, event::Worker>,
        config: &config::Config,
    ) {
        for worker in workers.values() {
            let mut used = Resources::default();
            for job in self.jobs.values() {
                let runs_on_worker = job
                    .members
                    .iter()
                    .filter(|member| member.worker == worker.key);
                runs_on_worker.for_each(|member| used += job.each.scaled(member.tasks));
            }
            let mut bound = Resources::default();
            for gang in sched.guarantees().gangs() {
                let cells = gang
                    .cells
                    .iter()
                    .filter(|cell| cell.worker == Some(worker.key));
                cells.for_each(|_cell| bound += gang.shape.each);
            }
            self.violations += u64::from(!worker.total.fits(&used));
            self.violations += u64::from(!worker.total.fits(&bound));
        }
        for gang in sched.guarantees().gangs() {
            let idle = !gang.is_used() && !gang.has_unbound_cells();
            let is_waiting = |(id, job): (&JobId, &Job)| {
                sched.has_job(*id)
                    && sched.placement(*id).is_none()
                    && job.account == gang.account
                    && gang.shape.each.count_fitting(&job.each, job.tasks) >= job.tasks
            };
            self.violations += u64::from(idle && self.jobs.iter().any(is_waiting));
        }
        let all_up = sched
            .fleet()
            .iter()
            .all(|(_key, worker)| worker.state == fleet::State::Up);
        let has_declared_racks = !config.racks.is_empty();
        self.violations +=
            u64::from(all_up && has_declared_racks && !sched.shortfalls().is_empty());
    }

    fn print_summary(&mut self, sched: &Scheduler, lines: usize) {
        let quantile = |values: &mut Vec<f64>, share: f64| {
            values.sort_by(f64::total_cmp);
            let index = (values.len() as f64 * share) as usize;
            values
                .get(index.min(values.len().saturating_sub(1)))
                .copied()
                .unwrap_or(0.0)
        };
        let mean = |values: &[f64]| values.iter().sum::<f64>() / (values.len() as f64).max(1.0);
        let seconds = |values: &[Millis]| -> Vec<f64> {
            values.iter().map(|value| *value as f64 / 1_000.0).collect()
        };
        let mut done = seconds(&self.completions);
        let mut reclaims = seconds(&self.reclaims);
        let counts = sched.counts();
        let line = serde_json::json!({
            "lines": lines,
            "done": done.len(),
            "completion_mean_s": mean(&done),
            "completion_median_s": quantile(&mut done, 0.5),
            "completion_p95_s": quantile(&mut done, 0.95),
            "fragmentation": self.weighted_fragmentation / self.waited_ms.max(1.0),
            "waited_s": self.waited_ms / 1_000.0,
            "reclaim_mean_s": mean(&reclaims),
            "reclaim_worst_s": quantile(&mut reclaims, 1.0),
            "reclaims": reclaims.len(),
            "placed": counts.placed,
            "refused": counts.ended_with_error,
            "stopped": counts.stopped,
            "guarantee_violations": self.violations,
            "decisions": self.decisions,
            "step_p50_us": quantile(&mut self.step_us, 0.5),
            "step_p99_us": quantile(&mut self.step_us, 0.99),
        });
        println!("{line}");
    }
}
