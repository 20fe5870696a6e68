//! Listings that show only some of the ends which a worker holds.

use oriolereel::flow::agent::{Announcement, Core, Effect, Listing};
use oriolereel::flow::bounds::Bounds;
use oriolereel::flow::message::{Active, Ended, Orders};
use oriolereel::flow::planner::Options;
use oriolereel::flow::registry::End;
use oriolereel::flow::{Run, Task, WorkerKey};
use proptest::prelude::*;

use super::action::{self, Action};
use super::worker::Worker;
use super::world::World;
use crate::support;

/// Returns the first run of a task of job 1.
fn run(index: u32) -> Run {
    Run {
        task: Task {
            job: 1,
            occurrence: 0,
            step: 0,
            index,
        },
        number: 1,
    }
}

fn end(index: u32) -> Ended {
    Ended {
        number: u64::from(index) + 1,
        run: run(index),
        end: End::Done,
        checkpoint: String::new(),
    }
}

/// An agent whose worker runs tasks 0 and 1, and what the agent knows of the worker.
struct Setup {
    core: Core,
    worker: Worker,
    announcement: Announcement,
}

impl Setup {
    fn new() -> Self {
        let mut worker = Worker::new(0, 10);
        let announcement = worker.announce(0);
        let mut core = Core::new("i0".to_owned(), Options::default());
        core.on_announcement(1_000, announcement.clone());
        let mut setup = Self {
            core,
            worker,
            announcement,
        };
        let active = vec![run(0), run(1)];
        for now in [1_010, 1_050] {
            setup.order(now, 0, active.clone(), Vec::new());
            setup.list(now + 10, &active, Vec::new(), false);
        }
        setup
    }

    fn order(&mut self, now: u64, cursor: u64, wanted: Vec<Run>, stops: Vec<Run>) -> Vec<Effect> {
        let orders = Orders {
            token: 1,
            worker: Some((WorkerKey(3), self.announcement.info.clone())),
            wanted,
            stops,
            cursor,
            ..Orders::default()
        };
        self.core.on_orders(now, now - 10, orders)
    }

    fn list(&mut self, now: u64, active: &[Run], ended: Vec<Ended>, has_more_ends: bool) {
        let list = self.core.list(now, 0).expect("a call to the worker");
        let active = active.iter().map(|run| Active {
            run: *run,
            checkpoint: String::new(),
            percent: 10,
        });
        let listing = Listing {
            active: active.collect(),
            ended,
            has_more_ends,
            ..self.worker.listing()
        };
        self.core.on_listing(now + 10, now, &list, listing);
    }

    fn absent(&mut self, now: u64) -> Vec<Run> {
        self.core.report(now).expect("a report").absent
    }
}

// Guards against a task that is started again although its run has ended as done: the listing did not reach
// as far as that end, so the agent reported the stopped run as absent.
#[test]
fn a_stopped_run_is_absent_only_by_a_listing_that_shows_all_ends() {
    let mut setup = Setup::new();
    let both = vec![run(0), run(1)];
    setup.order(1_100, 0, Vec::new(), both.clone());
    for run in both.clone() {
        setup.core.on_stopped(1_110, run, true);
    }
    // Both runs had ended by themselves; the listing shows the first end.
    setup.list(1_120, &[], vec![end(0)], true);
    assert_eq!(setup.absent(1_140), []);
    assert!(
        !setup.core.needs_listing(),
        "the same listing was asked for again before its ends were acknowledged"
    );
    setup.order(1_200, 1, Vec::new(), vec![run(1)]);
    setup.list(1_210, &[], vec![end(1)], false);
    assert_eq!(setup.absent(1_230), []);
    // A run without an end is still found to be absent.
    setup.order(1_300, 2, Vec::new(), vec![run(2)]);
    setup.core.on_stopped(1_310, run(2), true);
    setup.list(1_320, &[], Vec::new(), false);
    assert_eq!(setup.absent(1_340), [run(2)]);
}

// Guards against finished tasks that are started again after a worker has deregistered: the listings did not
// reach as far as their ends when the leases expired.
#[test]
fn a_leaving_worker_has_not_ended_before_all_its_ends_are_listed() {
    let mut setup = Setup::new();
    let both = vec![run(0), run(1)];
    let name = setup.announcement.info.name.clone();
    setup.core.on_deregistered(1_100, &name, Some(10));
    for now in (1_200..20_000).step_by(200) {
        setup.order(now, 0, both.clone(), Vec::new());
        setup.list(now + 10, &[], vec![end(0)], true);
        let report = setup.core.report(now + 30).expect("a report");
        assert!(!report.expired, "{now}");
    }
    setup.order(20_000, 1, vec![run(1)], Vec::new());
    setup.list(20_010, &[], vec![end(1)], false);
    let report = setup.core.report(20_030).expect("a report");
    assert_eq!(report.absent, []);
    assert!(report.expired);
}

// Guards against an earlier incarnation whose runs are given up while the list of ends may hide one of them.
#[test]
fn a_worker_is_settled_only_by_a_listing_that_shows_all_ends() {
    let mut setup = Setup::new();
    let mut next = Worker {
        name: setup.worker.name.clone(),
        ..Worker::new(0, 11)
    };
    setup.announcement = next.announce(0);
    setup.worker = next;
    setup
        .core
        .on_announcement(1_100, setup.announcement.clone());
    let settled = |setup: &mut Setup, now| setup.core.report(now).expect("a report").settled;
    for now in [1_200, 1_300] {
        setup.order(now, 0, Vec::new(), Vec::new());
        setup.list(now + 10, &[], vec![end(0)], true);
    }
    assert_eq!(settled(&mut setup, 1_330), None);
    setup.order(1_400, 1, Vec::new(), Vec::new());
    setup.list(1_410, &[], vec![end(1)], false);
    assert_eq!(settled(&mut setup, 1_430), Some(WorkerKey(3)));
}

/// Performs actions in a new world whose workers list a few ends at a time.
fn violations(seed: u64, max_listed_ends: usize, actions: &[Action]) -> Vec<String> {
    let bounds = Bounds {
        stop_ms: 200,
        ..Bounds::default()
    };
    let mut world = World::new(4, seed, bounds);
    world.spare = 1;
    world.max_listed_ends = max_listed_ends;
    super::run_in(world, actions)
}

/// Returns a job of single tasks.
fn tasks(tasks: u32, accelerators: u64, urgent: bool) -> Action {
    Action::Submit {
        tasks,
        accelerators,
        gang: false,
        second_step: false,
        urgent,
        fails: false,
    }
}

// Guards against finished tasks that are started again: their runs were preempted just as they ended, and
// their ends waited behind others to be listed.
#[test]
fn tasks_that_end_while_they_are_preempted_run_once() {
    let mut failures = Vec::new();
    for seed in (1..80).step_by(2) {
        let mut actions = Vec::new();
        for _round in 0..6 {
            actions.extend(vec![tasks(5, 1, false); 6]);
            actions.push(Action::AdvanceSteps(20 + seed as u32 % 40));
            actions.push(tasks(1, 8, true));
            actions.push(Action::AdvanceSteps(20));
        }
        if let Some(violation) = violations(seed, 1, &actions).first() {
            failures.push(format!("seed {seed}: {violation}"));
        }
    }
    let count = failures.len();
    assert!(count == 0, "{count} of 40 seeds:\n{}", failures.join("\n"));
}

proptest! {
    #![proptest_config(support::proptest_config(60))]

    #[test]
    fn however_few_ends_a_listing_shows_each_task_runs_once(
        seed in any::<u64>(),
        max_listed_ends in 1..4usize,
        actions in action::actions_with_lives(),
    ) {
        let violations = violations(seed, max_listed_ends, &actions);
        prop_assert!(violations.is_empty(), "{violations:#?}");
    }
}
