//! Replays a workload through the scheduling core, with the clock as a number.
//!
//! `cargo run --release --example replay -- --config FILE --workload FILE [--policy fifo]`
//! prints one JSON line of measures.

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

/// Time after which a lost worker's gangs are known to be lost: the term of their leases.
const LEASE_MS: Millis = 5_000;

/// Time after which a worker that fails everything fails a gang.
const FAILURE_MS: Millis = 1_000;

/// Longest run of a job that never succeeds.
const HOPELESS_MS: Millis = 60_000;

/// Interval at which time alone is passed to the core.
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Line(usize),
    /// The gang's current run ends; stale when another run has begun since.
    End {
        job: JobId,
        run: u32,
    },
    Tick,
}

#[derive(Clone, Debug, Default)]
struct Job {
    submitted: Millis,
    /// Work left; nothing for a job that never succeeds.
    left: Option<Millis>,
    started: Millis,
    run: u32,
    end: Option<End>,
    claimed: Option<Millis>,
    members: Vec<event::Member>,
    each: Resources,
    account: String,
    tasks: u32,
}

#[derive(Default)]
struct Replay {
    now: Millis,
    due: BinaryHeap<Reverse<(Millis, Due)>>,
    jobs: BTreeMap<JobId, Job>,
    names: BTreeMap<String, JobId>,
    broken: BTreeMap<event::WorkerKey, bool>,
    completions: Vec<Millis>,
    reclaims: Vec<Millis>,
    step_us: Vec<f64>,
    fragments: f64,
    waited_ms: f64,
    decisions: u64,
    violations: u64,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let sources = parse::read(&args.config)?;
    let config = parse::parse(sources).map_err(|faults| parse::error(&faults))?;
    let policy = match args.policy.as_str() {
        "fair" => Policy::Fair,
        "fifo" => Policy::Fifo,
        other => anyhow::bail!("--policy: `{other}` is not allowed; give fair or fifo"),
    };
    let mut lines = Vec::new();
    for (at, text) in std::fs::read_to_string(&args.workload)?.lines().enumerate() {
        let line: Line = serde_json::from_str(text)
            .map_err(|err| anyhow::anyhow!("{}:{}: {err}", args.workload.display(), at + 1))?;
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
    for (at, line) in lines.iter().enumerate() {
        replay
            .due
            .push(Reverse(((line.at_s * 1_000.0) as Millis, Due::Line(at))));
    }
    let shape = fragmentation::largest_shape(config).cloned();
    while let Some(Reverse((at, due))) = replay.due.pop() {
        replay.pass(at, &sched, shape.as_ref());
        let events = replay.events(due, lines, &workers);
        if events.is_empty() {
            continue;
        }
        let start = Instant::now();
        let decisions = sched.step(at, events, &mut router);
        replay.step_us.push(start.elapsed().as_secs_f64() * 1e6);
        replay.decisions += decisions.len() as u64;
        for decision in decisions {
            replay.decided(decision);
        }
        replay.audit(&sched, &workers, config);
        if replay.due.is_empty() && sched.waiting_count() > 0 {
            replay.due.push(Reverse((at + TICK_MS, Due::Tick)));
        }
    }
    replay.print(&sched, lines.len());
}

impl Replay {
    /// Weighs fragmentation by the time for which something waited.
    fn pass(&mut self, to: Millis, sched: &Scheduler, shape: Option<&config::Shape>) {
        if sched.waiting_count() > 0 && to > self.now {
            let time = (to - self.now) as f64;
            let share = shape.map_or(0.0, |shape| fragmentation::ratio(sched.fleet(), shape));
            self.fragments += share * time;
            self.waited_ms += time;
        }
        self.now = to;
    }

    fn events(
        &mut self,
        due: Due,
        lines: &[Line],
        workers: &BTreeMap<String, event::Worker>,
    ) -> Vec<Event> {
        match due {
            Due::Tick => vec![Event::Tick],
            Due::End { job, run } => self.ended(job, run),
            Due::Line(at) => {
                let line = &lines[at];
                let worker = line.worker.as_ref().and_then(|name| workers.get(name));
                match (line.event.as_deref(), worker) {
                    (None, _) => self.submit(at, line),
                    (Some("cancel"), _) => {
                        let job = line.job.as_ref().and_then(|name| self.names.get(name));
                        let cancel = |job: &JobId| Event::Cancel {
                            job: *job,
                            kind: Kind::Cancelled,
                        };
                        job.map(cancel).into_iter().collect()
                    }
                    (Some("worker_down"), Some(worker)) => {
                        self.lose(worker.key);
                        vec![Event::WorkerDown(worker.key)]
                    }
                    (Some("worker_up"), Some(worker)) => {
                        self.broken.remove(&worker.key);
                        vec![Event::WorkerUp(worker.clone())]
                    }
                    (Some("fails_all"), Some(worker)) => {
                        self.broken.insert(worker.key, true);
                        Vec::new()
                    }
                    (Some(other), _) => panic!("line {}: event {other} or its worker", at + 1),
                }
            }
        }
    }

    fn submit(&mut self, at: usize, line: &Line) -> Vec<Event> {
        let id = at as JobId + 1;
        let number = |value: Option<u32>| value.unwrap_or(1);
        let each = Resources {
            accelerators: line.accelerators.unwrap_or(0),
            cpus: number(line.cpus),
            memory_gb: number(line.memory_gb),
        };
        let account = line.account.clone().unwrap_or_default();
        let tasks = number(line.tasks);
        let left = line.actual_s.map(|seconds| (seconds * 1_000.0) as Millis);
        let submitted = self.now;
        let job = Job {
            submitted,
            left,
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
        self.names.insert(line.job.clone().unwrap_or_default(), id);
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
        let run_ms = self.now - job.started;
        if end == End::Done {
            self.completions.push(self.now - job.submitted);
        } else if let Some(left) = &mut job.left {
            // What ran was checkpointed when the gang was asked to leave.
            *left = left.saturating_sub(run_ms).max(1);
        }
        vec![Event::Ended {
            job: id,
            end,
            run_ms,
        }]
    }

    fn plan_end(&mut self, id: JobId, after: Millis, end: End) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.run += 1;
        job.end = Some(end);
        let run = job.run;
        self.due
            .push(Reverse((self.now + after, Due::End { job: id, run })));
    }

    fn lose(&mut self, key: event::WorkerKey) {
        let here = |job: &Job| job.members.iter().any(|member| member.worker == key);
        let lost: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_id, job)| here(job))
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

    fn decided(&mut self, decision: Decision) {
        match decision {
            Decision::Place {
                job: id, placement, ..
            } => {
                let broken = placement.members.iter().map(|member| member.worker);
                let broken = broken.filter(|key| self.broken.contains_key(key)).min();
                let now = self.now;
                let Some(job) = self.jobs.get_mut(&id) else {
                    return;
                };
                job.started = now;
                job.members = placement.members;
                if let Some(claimed) = job.claimed.take() {
                    self.reclaims.push(now - claimed);
                }
                let (after, end) = match (broken, job.left) {
                    (Some(key), _) => (
                        FAILURE_MS,
                        End::Failed {
                            worker: Some(key),
                            ran: true,
                        },
                    ),
                    (None, Some(left)) => (left, End::Done),
                    (None, None) => (
                        HOPELESS_MS,
                        End::Failed {
                            worker: None,
                            ran: true,
                        },
                    ),
                };
                self.plan_end(id, after, end);
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
                    to.claimed.get_or_insert(self.now);
                }
                self.plan_end(job, grace_ms, End::Stopped { ran: true });
            }
            Decision::Throttle { .. }
            | Decision::Requeue { .. }
            | Decision::End { .. }
            | Decision::Quarantine { .. } => {}
        }
    }

    /// Counts broken promises: overfull workers, cells beyond a worker, claims left waiting.
    fn audit(
        &mut self,
        sched: &Scheduler,
        workers: &BTreeMap<String, event::Worker>,
        config: &config::Config,
    ) {
        for worker in workers.values() {
            let mut used = Resources::default();
            for job in self.jobs.values() {
                let here = job
                    .members
                    .iter()
                    .filter(|member| member.worker == worker.key);
                here.for_each(|member| used += job.each.scaled(member.tasks));
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
            let waits = |(id, job): (&JobId, &Job)| {
                sched.has_job(*id)
                    && sched.placement(*id).is_none()
                    && job.account == gang.account
                    && gang.shape.each.times(&job.each, job.tasks) >= job.tasks
            };
            self.violations += u64::from(idle && self.jobs.iter().any(waits));
        }
        let healthy = sched
            .fleet()
            .iter()
            .all(|(_key, worker)| worker.state == fleet::State::Up);
        let declared = !config.racks.is_empty();
        self.violations += u64::from(healthy && declared && !sched.shortfalls().is_empty());
    }

    fn print(&mut self, sched: &Scheduler, lines: usize) {
        let of = |values: &mut Vec<f64>, share: f64| {
            values.sort_by(f64::total_cmp);
            let at = (values.len() as f64 * share) as usize;
            values
                .get(at.min(values.len().saturating_sub(1)))
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
            "completion_median_s": of(&mut done, 0.5),
            "completion_p95_s": of(&mut done, 0.95),
            "fragmentation": self.fragments / self.waited_ms.max(1.0),
            "waited_s": self.waited_ms / 1_000.0,
            "reclaim_mean_s": mean(&reclaims),
            "reclaim_worst_s": of(&mut reclaims, 1.0),
            "reclaims": reclaims.len(),
            "placed": counts.placed,
            "refused": counts.refused,
            "stopped": counts.stopped,
            "guarantee_violations": self.violations,
            "decisions": self.decisions,
            "step_p50_us": of(&mut self.step_us, 0.5),
            "step_p99_us": of(&mut self.step_us, 0.99),
        });
        println!("{line}");
    }
}
