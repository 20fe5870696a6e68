//! Tests of single decisions of an agent.

use bytes::Bytes;
use oriolereel::flow::agent::{Announcement, Core, Effect, Listing};
use oriolereel::flow::bounds::Bounds;
use oriolereel::flow::message::{Active, Orders, Start};
use oriolereel::flow::planner::Options;
use oriolereel::flow::{Run, Task, WorkerKey};

use super::worker::Worker;

/// Returns the first run of a task of job 1.
pub fn run() -> Run {
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

fn orders(key: u64, announcement: &Announcement, wanted: Vec<Run>) -> Orders {
    Orders {
        token: 1,
        worker: Some((WorkerKey(key), announcement.info.clone())),
        wanted,
        cursor: 40,
        ..Orders::default()
    }
}

/// Returns the worker of an incarnation; all have one name.
fn worker(incarnation: u64) -> Worker {
    Worker {
        name: "w".to_owned(),
        ..Worker::new(0, incarnation)
    }
}

/// An agent with incarnation 10, which runs a run under key 3. Its clock is 500 s ahead.
fn agent_with_run() -> (Core, Announcement) {
    let mut worker = Worker {
        clock_ms: 500_000,
        ..worker(10)
    };
    let announcement = worker.announce(0);
    let mut core = Core::new("i0".to_owned(), Options::default());
    core.on_announcement(1_000, announcement.clone());
    for now in [1_010, 1_050] {
        core.on_orders(now, now - 10, orders(3, &announcement, vec![run()]));
        let list = core.list(now + 10, 0).expect("a call to the worker");
        let listing = Listing {
            active: active(),
            ..worker.listing()
        };
        core.on_listing(now + 20, now + 10, &list, listing);
    }
    (core, announcement)
}

#[test]
fn an_incarnation_whose_successor_is_silent_before_its_announcement_is_reported_as_ended() {
    let (mut core, announcement) = agent_with_run();
    let list = core.list(1_500, 0).expect("a call to the worker");
    core.on_listing(1_510, 1_500, &list, worker(11).listing());
    let mut has_ended = false;
    for now in (1_600..20_000).step_by(200) {
        core.on_orders(now, now - 10, orders(3, &announcement, vec![run()]));
        core.list(now, 0);
        core.due_effects(now);
        has_ended |= core.report(now).is_some_and(|report| report.expired);
    }
    assert!(has_ended);
}

#[test]
fn another_incarnation_of_the_name_gets_no_start_no_lease_and_no_acknowledgement() {
    for incarnation in [5, 11] {
        let (mut core, announcement) = agent_with_run();
        let list = core.list(1_500, 0).expect("a call to the worker");
        core.on_listing(1_510, 1_500, &list, worker(incarnation).listing());
        let second = Run { number: 2, ..run() };
        let start = Start {
            run: second,
            payload: Bytes::from_static(b"work"),
            checkpoint: String::new(),
        };
        let orders = Orders {
            starts: vec![start],
            ..orders(3, &announcement, vec![run(), second])
        };
        let effects = core.on_orders(1_600, 1_590, orders);
        let list = core.list(1_700, 0).expect("a call to the worker");
        assert_eq!(effects, [], "{incarnation}");
        assert_eq!((list.cursor, list.expires_ms), (0, None), "{incarnation}");
    }
}

#[test]
fn a_successor_that_still_holds_a_run_of_the_incarnation_before_gets_no_lease() {
    let (mut core, _announcement) = agent_with_run();
    let mut next = worker(11);
    let announcement = next.announce(0);
    core.on_announcement(1_400, announcement.clone());
    for now in (1_500..14_000).step_by(200) {
        let list = core.list(now, 0).expect("a call to the worker");
        assert_eq!(list.expires_ms, None, "{now}");
        let listing = Listing {
            active: active(),
            ..next.listing()
        };
        // The answers to all stops are lost.
        for run in stops(&core.on_listing(now + 10, now, &list, listing)) {
            core.on_stopped(now + 20, run, false);
        }
        for run in stops(&core.on_orders(now + 30, now, orders(4, &announcement, Vec::new()))) {
            core.on_stopped(now + 40, run, false);
        }
    }
}

#[test]
fn a_lease_on_the_earlier_incarnations_clock_counts_to_the_longest_lease() {
    let bounds = Bounds::default();
    let (mut core, _announcement) = agent_with_run();
    let mut next = worker(11);
    let list = core.list(1_300, 0).expect("a call to the worker");
    next.extend_lease(list.expires_ms.expect("a lease"), bounds.max_lease_ms);
    let lease_ms = next.lease_end_ms - next.clock_ms;
    assert_eq!(lease_ms, bounds.max_lease_ms);
    core.on_listing(1_330, 1_300, &list, next.listing());
    let announcement = next.announce(0);
    core.on_announcement(1_400, announcement.clone());
    let list = core.list(1_410, 0).expect("a call to the worker");
    core.on_listing(1_420, 1_410, &list, next.listing());
    // From now on nothing is answered.
    for now in (1_500..1_320 + lease_ms).step_by(50) {
        core.on_orders(now, now - 10, orders(4, &announcement, vec![run()]));
        core.due_effects(now);
        let report = core.report(now).expect("a report");
        assert!(!report.expired, "{now}");
    }
}

#[test]
fn an_agent_that_starts_stops_what_an_unregistered_worker_runs_before_its_announcement() {
    let worker = worker(10);
    let mut core = Core::new("i0".to_owned(), Options::default());
    let orders = Orders {
        token: 1,
        ..Orders::default()
    };
    core.on_orders(1_010, 1_000, orders);
    let list = core.list(1_020, 0).expect("a call to any worker");
    let listing = Listing {
        active: active(),
        ..worker.listing()
    };
    assert_eq!(
        stops(&core.on_listing(1_030, 1_020, &list, listing)),
        [run()]
    );
}

// Guards against an end that is acknowledged before anyone has seen it: the call reached a later incarnation
// under the same name, which had run a task before its announcement, and the task was started again.
#[test]
fn nothing_is_acknowledged_where_a_later_incarnation_may_answer() {
    struct Case {
        name: &'static str,
        announced: bool,
        /// Time since the last answer.
        silent_ms: u64,
        cursor: u64,
    }
    let cases = [
        Case {
            name: "the worker has just answered",
            announced: false,
            silent_ms: 100,
            cursor: 40,
        },
        Case {
            name: "another incarnation has announced itself",
            announced: true,
            silent_ms: 100,
            cursor: 0,
        },
        Case {
            name: "the worker was silent",
            announced: false,
            silent_ms: 1_200,
            cursor: 0,
        },
        Case {
            name: "the machine was suspended",
            announced: false,
            silent_ms: 4_000,
            cursor: 0,
        },
    ];
    for case in cases {
        let (mut core, announcement) = agent_with_run();
        // The last answer came at 1,070 ms.
        let now = 1_070 + case.silent_ms;
        if case.announced {
            core.on_announcement(now, worker(11).announce(0));
            let probe = core.list(now, 0).expect("a call to the candidate");
            assert_eq!(probe.cursor, 0, "{}", case.name);
        }
        let list = core.list(now, 0).expect("a call to the worker");
        assert_eq!(list.cursor, case.cursor, "{}", case.name);
        if !case.announced {
            core.on_listing(now + 10, now, &list, worker(10).listing());
            core.on_orders(now + 20, now, orders(3, &announcement, vec![run()]));
            let list = core.list(now + 30, 0).expect("a call to the worker");
            assert_eq!(list.cursor, 40, "{}: after an answer", case.name);
        }
    }
}
