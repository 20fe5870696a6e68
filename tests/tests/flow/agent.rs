//! Tests of single decisions of an agent.

use oriolereel::flow::agent::{Core, Effect, Listing};
use oriolereel::flow::message::{Active, Orders};
use oriolereel::flow::planner::Options;
use oriolereel::flow::{Run, Task};

use super::worker::Worker;

#[test]
fn an_agent_stops_all_runs_at_once_if_the_log_has_no_worker_for_it() {
    let mut worker = Worker::new(0, 1);
    let mut core = Core::new("i0".to_owned(), Options::default());
    let run = Run {
        task: Task {
            job: 1,
            occurrence: 0,
            step: 0,
            index: 0,
        },
        number: 1,
    };
    core.on_announcement(1_000, worker.announce(0));
    let orders = Orders {
        token: 1,
        ..Orders::default()
    };
    assert!(core.on_orders(1_010, 1_000, orders).is_empty());
    let active = vec![Active {
        run,
        checkpoint: String::new(),
        percent: 10,
    }];
    let listing = Listing {
        active,
        ..worker.listing()
    };
    let effects = core.on_listing(1_030, 1_020, listing);
    let stops: Vec<Run> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Stop(stop) => Some(stop.run),
            Effect::Start(_start) => None,
        })
        .collect();
    assert_eq!(stops, [run]);
}
