//! Measures the leader's cost of scheduling jobs of several steps, for docs/CAPACITY.md.
//!
//! `cargo run --release --example flows` prints one JSON line for each fleet size: the time per
//! decision while the fleet is full and jobs arrive and end, and the size of the encoded state in
//! bytes.

use std::collections::VecDeque;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use oriolereel::codec;
use oriolereel::flow::catalog::{Account, Catalog, Limits, Queue};
use oriolereel::flow::job::{Amount, Spec, Step};
use oriolereel::flow::message::{Action, Active, Ended, Report};
use oriolereel::flow::planner::{Options, Planner};
use oriolereel::flow::registry::{End, Info};
use oriolereel::flow::{Command, Registry, Run, WorkerKey};
use serde_json::json;

/// Numbers of workers; the last one is the target size.
const FLEET_SIZES: [u64; 3] = [27, 270, 2_700];

/// Number of tasks per worker in a full fleet: 69,000 tasks on 2,700 workers.
const TASKS_PER_WORKER: u64 = 26;

/// Number of client accounts at the target size.
const ACCOUNTS: u64 = 110;

/// Maximum number of tasks of a gang.
const MAX_GANG_TASKS: u32 = 256;

/// Number of run ends that are measured once the fleet is full.
const MEASURED_ENDS: usize = 1_500;

/// Maximum recorded time of a decision, in microseconds.
const MAX_DECISION_US: u64 = 60_000_000;

/// Number of jobs that wait while ends are measured.
const WAITING_JOBS: usize = 100;

fn main() {
    for size in FLEET_SIZES {
        measure(size);
    }
}

/// A leader with its log, without disk and network.
struct Leader {
    planner: Planner,
    registry: Registry,
    index: u64,
    now: u64,
    jobs: u64,
    /// Runs in the order of their starts.
    running: VecDeque<(WorkerKey, Run)>,
    /// Runs that were asked to stop.
    stopping: VecDeque<(WorkerKey, Run)>,
    /// Number of ended runs of each worker.
    ends: Vec<u64>,
    /// Times of the decisions, in microseconds.
    times: Histogram<u64>,
}

fn info(number: u64) -> Info {
    Info {
        name: format!("worker-{number}"),
        incarnation: 1,
        instance: format!("inst-{number}"),
        service: "s".to_owned(),
        region: format!("region-{}", number % 4),
        domain: format!("domain-{}", number % 10),
        rack: format!("rack-{}", number / 30),
        labels: vec!["a".to_owned()],
        total: Amount {
            millicpus: 128_000,
            memory_mb: 512_000,
            accelerators: 8,
        },
        enforces_capacity: false,
    }
}

impl Leader {
    fn new(size: u64) -> Self {
        let registry = Registry::default();
        let queue = |name: &str, priority| Queue {
            name: name.to_owned(),
            host: "h".to_owned(),
            prefix: format!("/{name}/"),
            service: "s".to_owned(),
            priority,
            max_attempts: 3,
            slack_percent: 300,
            target_ms: 1_200,
            public: false,
        };
        let accounts = (0..ACCOUNTS).map(|number| Account {
            name: format!("account-{number}"),
            keys: vec![format!("key-{number}")],
            guaranteed: size * 8 / ACCOUNTS / 2,
        });
        let catalog = Catalog {
            version: 1,
            document: Bytes::new(),
            queues: vec![queue("urgent", 0), queue("later", 1)],
            accounts: accounts.collect(),
        };
        let mut leader = Self {
            planner: Planner::new(&registry, 0, Options::default()),
            registry,
            index: 0,
            now: 10_000,
            jobs: 0,
            running: VecDeque::new(),
            stopping: VecDeque::new(),
            ends: vec![0; size as usize],
            times: Histogram::new_with_bounds(1, MAX_DECISION_US, 3).expect("valid bounds"),
        };
        leader.planner.declare(Box::new(catalog), Limits::default());
        for number in 0..size {
            let report = Report {
                info: info(number),
                ..leader.report(number)
            };
            leader.planner.report(leader.now, report);
        }
        leader.decide();
        leader
    }

    fn report(&self, number: u64) -> Report {
        Report {
            instance: format!("inst-{number}"),
            info: info(number),
            responsive: true,
            ..Report::default()
        }
    }

    /// Makes all due decisions, applies them at once, and records the time that they took.
    fn decide(&mut self) {
        self.now += 10;
        let start = Instant::now();
        let commands = self.planner.decide(self.now, self.now);
        self.times
            .saturating_record(start.elapsed().as_micros() as u64);
        for command in commands {
            if let Command::Place { unit, run, workers } = &command {
                for (position, worker) in workers.iter().enumerate() {
                    let task = unit.task(position as u32);
                    let run = Run { task, number: *run };
                    self.running.push_back((*worker, run));
                }
            }
            if let Command::Stop { unit, .. } = &command {
                let state = self.registry.unit(*unit);
                let running =
                    state.and_then(|state| Some((state.last_run, state.running.as_ref()?)));
                if let Some((number, running)) = running {
                    for (position, member) in running.members.iter().enumerate() {
                        let task = unit.task(position as u32);
                        self.stopping
                            .push_back((member.worker, Run { task, number }));
                    }
                }
            }
            self.index += 1;
            self.registry.apply(self.index, self.now, command);
        }
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let (id, account) = (self.jobs, self.jobs % ACCOUNTS);
        // One job in forty is a large gang, one in seven is urgent and needs four accelerators a task.
        let step = match id {
            _ if id.is_multiple_of(40) => (MAX_GANG_TASKS.min(self.ends.len() as u32), 1, true),
            _ if id.is_multiple_of(7) => (3, 4, false),
            _ => (1 + (id % 32) as u32, 0, false),
        };
        let (count, accelerators, gang) = step;
        let step = Step {
            count,
            per_task: Amount {
                millicpus: 4_500,
                memory_mb: 16_000,
                accelerators,
            },
            estimate_ms: 8_500,
            gang,
            checkpoints: true,
            ..Step::default()
        };
        let spec = Spec {
            payload: Bytes::from(vec![0; 1_000]),
            steps: vec![step],
            schedule: None,
        };
        let queue = if id.is_multiple_of(7) {
            "urgent"
        } else {
            "later"
        };
        let (path, key) = (format!("/{queue}/{id:016x}"), format!("key-{account}"));
        let action = Action::Submit(Box::new(spec));
        self.planner
            .request(&self.registry, "h", &path, Some(&key), action);
        self.decide();
    }

    /// Returns the number of jobs none of whose tasks has been placed.
    fn waiting(&self) -> usize {
        let queues = &self.registry.catalog().queues;
        queues
            .iter()
            .map(|queue| self.registry.pending(queue))
            .sum()
    }

    /// Ends the stopped runs and the oldest run, as their agents would report them.
    fn end_oldest(&mut self) {
        self.end_stopped();
        if let Some((worker, run)) = self.running.pop_front() {
            self.end(worker, run, End::Done);
        }
    }

    fn end_stopped(&mut self) {
        while let Some((worker, run)) = self.stopping.pop_front() {
            self.end(worker, run, End::Stopped);
        }
    }

    fn end(&mut self, worker: WorkerKey, run: Run, end: End) {
        let Some(state) = self.registry.worker(worker) else {
            return;
        };
        let number: u64 = state.info.name["worker-".len()..].parse().unwrap_or(0);
        let is_assigned = state.runs.get(&run.task) == Some(&run.number);
        if !is_assigned {
            return;
        }
        let active = state
            .runs
            .iter()
            .filter(|(task, _number)| **task != run.task);
        let active = active.map(|(task, number)| Active {
            run: Run {
                task: *task,
                number: *number,
            },
            checkpoint: String::new(),
            percent: 50,
        });
        self.ends[number as usize] += 1;
        let ended = Ended {
            number: self.ends[number as usize],
            run,
            end,
            checkpoint: String::new(),
        };
        let report = Report {
            active: active.collect(),
            ended: vec![ended],
            ..self.report(number)
        };
        self.planner.report(self.now, report);
        self.decide();
    }

    /// Renews the grants of all agents, so that no worker is declared lost.
    fn grant_all(&mut self) {
        for number in 0..self.ends.len() as u64 {
            self.planner.try_grant(self.now, WorkerKey(number));
        }
    }
}

fn measure(size: u64) {
    let mut leader = Leader::new(size);
    while leader.waiting() < WAITING_JOBS
        && leader.running.len() < (size * TASKS_PER_WORKER) as usize
    {
        leader.submit();
        leader.end_stopped();
        if leader.jobs.is_multiple_of(50) {
            leader.grant_all();
        }
    }
    let (tasks, filling_times) = (leader.running.len(), leader.times.clone());
    leader.times.reset();
    for _end in 0..MEASURED_ENDS {
        leader.end_oldest();
        if leader.waiting() < WAITING_JOBS {
            leader.submit();
        }
        leader.grant_all();
    }
    let bytes = codec::encode(&leader.registry).map_or(0, |data| data.len());
    println!(
        "{}",
        json!({
            "measure": "decisions on jobs of several steps",
            "workers": size, "tasks": tasks, "jobs": leader.jobs, "waiting": leader.waiting(),
            "filling_p99_us": filling_times.value_at_quantile(0.99),
            "p50_us": leader.times.value_at_quantile(0.5),
            "p99_us": leader.times.value_at_quantile(0.99),
            "max_us": leader.times.max(),
            "state_bytes": bytes,
        })
    );
}
