//! Where the leader places a task again that a worker was to start and never did.

use bytes::Bytes;
use oriolereel::flow::catalog::{Account, Catalog, Limits};
use oriolereel::flow::job::{Amount, Spec, Step};
use oriolereel::flow::message::{Action, Answer, Ended, Report};
use oriolereel::flow::planner::{Options, Planner};
use oriolereel::flow::registry::End;
use oriolereel::flow::{Registry, Run, WorkerKey};

use super::worker::{CAPACITY, Worker};
use super::world;

/// Time on the leader's wall clock.
const WALL_MS: u64 = 1_700_000_000_000;

/// A leader whose decisions are committed at once, and two workers.
struct Leader {
    planner: Planner,
    registry: Registry,
    workers: [Worker; 2],
    index: u64,
    now: u64,
}

/// What an agent reports of its worker.
#[derive(Clone, Debug, Default)]
struct Seen {
    ended: Vec<Ended>,
    absent: Vec<Run>,
    draining: bool,
}

impl Leader {
    fn new() -> Self {
        let registry = Registry::default();
        let mut leader = Self {
            planner: Planner::new(&registry, 0, Options::default()),
            registry,
            workers: [Worker::new(0, 1), Worker::new(1, 1)],
            index: 1,
            now: 10_000,
        };
        let account = Account {
            name: "a".to_owned(),
            keys: vec!["k".to_owned()],
            guaranteed: 0,
        };
        let catalog = Catalog {
            version: 1,
            document: Bytes::new(),
            queues: vec![world::queue("q", 1)],
            accounts: vec![account],
        };
        leader.planner.declare(Box::new(catalog), Limits::default());
        leader.report(0, Seen::default());
        leader.report(1, Seen::default());
        leader
    }

    fn commit(&mut self) {
        self.now += 50;
        let wall_ms = WALL_MS + self.now;
        for command in self.planner.decide(self.now, wall_ms) {
            self.index += 1;
            self.registry.apply(self.index, wall_ms, command);
        }
    }

    fn report(&mut self, machine: usize, seen: Seen) {
        let info = self.workers[machine].announce(machine).info;
        let key = self.registry.find_worker(&info.name, info.incarnation);
        let report = Report {
            instance: info.instance.clone(),
            info,
            draining: seen.draining,
            responsive: true,
            ended: seen.ended,
            absent: seen.absent,
            settled: key,
            ..Report::default()
        };
        self.planner.report(self.now, report);
        self.commit();
    }

    /// Submits a job of one task that fills most of a worker. Returns where it is placed.
    fn submit(&mut self, id: u64) -> (WorkerKey, Run) {
        let step = Step {
            count: 1,
            per_task: Amount {
                accelerators: 0,
                ..CAPACITY
            },
            estimate_ms: 1_000,
            ..Step::default()
        };
        let spec = Spec {
            steps: vec![step],
            ..Spec::default()
        };
        let path = format!("/q/{id:016x}");
        let action = Action::Submit(Box::new(spec));
        let answer = self
            .planner
            .request(&self.registry, "h", &path, Some("k"), action);
        assert_eq!(answer.0, Answer::Accepted);
        self.commit();
        self.commit();
        self.place_of(id).expect("a place")
    }

    /// Returns the worker of a job's run, and the run.
    fn place_of(&self, id: u64) -> Option<(WorkerKey, Run)> {
        let mut workers = self.registry.workers();
        workers.find_map(|(key, worker)| {
            let (task, number) = worker.runs.iter().find(|(task, _number)| task.job == id)?;
            let run = Run {
                task: *task,
                number: *number,
            };
            Some((key, run))
        })
    }

    fn machine_of(&self, key: WorkerKey) -> usize {
        let info = &self.registry.worker(key).expect("a worker").info;
        usize::from(info.instance == "i1")
    }

    /// Ends the run of a job as done.
    fn finish(&mut self, id: u64) {
        let (key, run) = self.place_of(id).expect("a place");
        let number = self.registry.worker(key).map_or(0, |worker| worker.cursor) + 1;
        let ended = Ended {
            number,
            run,
            end: End::Done,
            checkpoint: String::new(),
        };
        let seen = Seen {
            ended: vec![ended],
            ..Seen::default()
        };
        self.report(self.machine_of(key), seen);
    }
}

// Guards against a task that is placed again and again on a worker that refuses each start, with another one empty.
#[test]
fn a_task_that_a_worker_has_refused_is_placed_on_another_one() {
    let mut leader = Leader::new();
    let (first, run) = leader.submit(1);
    let seen = Seen {
        absent: vec![run],
        ..Seen::default()
    };
    leader.report(leader.machine_of(first), seen);
    let (second, again) = leader.place_of(1).expect("a place");
    assert_ne!(second, first);
    assert!(again.number > run.number);
    // Other jobs avoid the worker too, unless the others are full.
    let (third, _run) = leader.submit(2);
    assert_eq!(third, first);
    // It has started a run since, so it is as good as the other one.
    leader.finish(2);
    leader.finish(1);
    assert_eq!(leader.submit(3).0, first);
}

// Guards against sound workers that are avoided: what they were to start had been withdrawn for another reason.
#[test]
fn a_run_that_was_withdrawn_is_no_refusal() {
    let mut leader = Leader::new();
    let (first, run) = leader.submit(1);
    let path = format!("/q/{:016x}", 1);
    leader
        .planner
        .request(&leader.registry, "h", &path, Some("k"), Action::Cancel);
    leader.commit();
    let seen = Seen {
        absent: vec![run],
        ..Seen::default()
    };
    leader.report(leader.machine_of(first), seen);
    assert_eq!(leader.place_of(1), None);
    assert_eq!(leader.submit(2).0, first, "the job was cancelled");

    let mut leader = Leader::new();
    let (first, run) = leader.submit(1);
    let seen = Seen {
        absent: vec![run],
        draining: true,
        ..Seen::default()
    };
    let machine = leader.machine_of(first);
    leader.report(machine, seen);
    leader.report(machine, Seen::default());
    leader.finish(1);
    assert_eq!(leader.submit(2).0, first, "the worker was draining");
}
