//! Tests of single decisions of an agent.

use oriolereel::flow::agent::{Core, Effect, Listing};
use oriolereel::flow::message::{Active, Orders};
use oriolereel::flow::planner::Options;
use oriolereel::flow::{Run, Task, WorkerKey};

use super::worker::Worker;

/// Returns a run of a task of job 1.
fn run() -> Run {
    Run {
        task: Task {
            job: 1,
            occurrence: 0,
            step: 0,
            index: 0,
        },
        number: 1,
    }
}

fn active() -> Vec<Active> {
    vec![Active {
        run: run(),
        checkpoint: String::new(),
        percent: 10,
    }]
}

fn stops(effects: &[Effect]) -> Vec<Run> {
    let stop = |effect: &Effect| match effect {
        Effect::Stop(stop) => Some(stop.run),
        Effect::Start(_start) => None,
    };
    effects.iter().filter_map(stop).collect()
}

#[test]
fn an_agent_that_starts_again_stops_no_run_of_its_worker() {
    let mut worker = Worker::new(0, 1);
    let mut core = Core::new("i0".to_owned(), Options::default());
    let announcement = worker.announce(0);
    core.on_announcement(1_000, announcement.clone());
    let orders = || Orders {
        token: 1,
        worker: Some((WorkerKey(3), announcement.info.clone())),
        wanted: vec![run()],
        ..Orders::default()
    };
    let mut effects = core.on_orders(1_010, 1_000, orders());
    let list = core.list(1_020, 0).expect("a call to the worker");
    let listing = Listing {
        active: active(),
        ..worker.listing()
    };
    effects.extend(core.on_listing(1_030, 1_020, &list, listing));
    effects.extend(core.on_orders(1_050, 1_040, orders()));
    assert_eq!(stops(&effects), []);
}

#[test]
fn an_agent_stops_all_runs_at_once_if_the_log_has_no_worker_for_it() {
    let mut worker = Worker::new(0, 1);
    let mut core = Core::new("i0".to_owned(), Options::default());
    core.on_announcement(1_000, worker.announce(0));
    let orders = Orders {
        token: 1,
        ..Orders::default()
    };
    assert!(core.on_orders(1_010, 1_000, orders).is_empty());
    let list = core.list(1_020, 0).expect("a call to the announced worker");
    let listing = Listing {
        active: active(),
        ..worker.listing()
    };
    let effects = core.on_listing(1_030, 1_020, &list, listing);
    assert_eq!(stops(&effects), [run()]);
}
