//! Calls that wait in an agent's queue while the leader decides otherwise.

use bytes::Bytes;
use oriolereel::flow::agent::{Announcement, Core, Effect, Listing, Outcome};
use oriolereel::flow::message::{Active, Ended, Orders, Start};
use oriolereel::flow::planner::Options;
use oriolereel::flow::registry::End;
use oriolereel::flow::{Run, WorkerKey};

use super::agent::run;
use super::worker::Worker;

/// Time at which the start of the run is queued.
const QUEUED_MS: u64 = 1_070;

/// An agent that has queued the start of a run.
struct Setup {
    core: Core,
    worker: Worker,
    announcement: Announcement,
}

impl Setup {
    fn new() -> (Self, Effect) {
        let mut worker = Worker::new(0, 10);
        let announcement = worker.announce(0);
        let mut core = Core::new("i0".to_owned(), Options::default());
        core.on_announcement(1_000, announcement.clone());
        let mut setup = Self {
            core,
            worker,
            announcement,
        };
        let mut effects = Vec::new();
        for now in [1_010, 1_050] {
            let orders = setup.orders(vec![run()], Vec::new());
            effects.extend(setup.core.on_orders(now, now - 10, orders));
            effects.extend(setup.list(now + 10, Listing::default()));
        }
        let start = effects.pop().expect("a start");
        assert!(matches!(start, Effect::Start(_)) && effects.is_empty());
        (setup, start)
    }

    fn orders(&self, wanted: Vec<Run>, stops: Vec<Run>) -> Orders {
        let start = |run: &Run| Start {
            run: *run,
            payload: Bytes::from_static(b"work"),
            checkpoint: String::new(),
        };
        Orders {
            token: 1,
            worker: Some((WorkerKey(3), self.announcement.info.clone())),
            starts: wanted.iter().map(start).collect(),
            wanted,
            stops,
            ..Orders::default()
        }
    }

    fn list(&mut self, now: u64, listing: Listing) -> Vec<Effect> {
        let list = self.core.list(now, 0).expect("a call to the worker");
        self.worker.clock_ms += 50;
        let listing = Listing {
            active: listing.active,
            ended: listing.ended,
            ..self.worker.listing()
        };
        self.core.on_listing(now + 10, now, &list, listing)
    }
}

fn active() -> Listing {
    let active = Active {
        run: run(),
        checkpoint: String::new(),
        percent: 1,
    };
    Listing {
        active: vec![active],
        ..Listing::default()
    }
}

fn ended() -> Listing {
    let ended = Ended {
        number: 1,
        run: run(),
        end: End::Done,
        checkpoint: String::new(),
    };
    Listing {
        ended: vec![ended],
        ..Listing::default()
    }
}

// Guards against tasks of a cancelled job that are started seconds after the cancel was acknowledged: their starts
// had waited behind calls to a worker that did not answer.
#[test]
fn a_queued_start_is_sent_only_if_it_is_still_needed() {
    struct Case {
        name: &'static str,
        change: fn(&mut Setup),
        is_sent: bool,
    }
    let cases = [
        Case {
            name: "nothing has changed",
            change: |_setup| {},
            is_sent: true,
        },
        Case {
            name: "the leader wants it still",
            change: |setup| {
                let orders = setup.orders(vec![run()], Vec::new());
                setup.core.on_orders(1_500, 1_490, orders);
            },
            is_sent: true,
        },
        Case {
            name: "the leader stops the run",
            change: |setup| {
                let orders = setup.orders(Vec::new(), vec![run()]);
                setup.core.on_orders(1_500, 1_490, orders);
            },
            is_sent: false,
        },
        Case {
            name: "the leader has forgotten the run",
            change: |setup| {
                let orders = setup.orders(Vec::new(), Vec::new());
                setup.core.on_orders(1_500, 1_490, orders);
            },
            is_sent: false,
        },
        Case {
            name: "the leader has fenced the worker",
            change: |setup| {
                let orders = Orders {
                    fenced: true,
                    ..setup.orders(vec![run()], Vec::new())
                };
                setup.core.on_orders(1_500, 1_490, orders);
            },
            is_sent: false,
        },
        Case {
            name: "the domain is evacuated",
            change: |setup| {
                let orders = Orders {
                    evacuated: true,
                    ..setup.orders(vec![run()], Vec::new())
                };
                setup.core.on_orders(1_500, 1_490, orders);
            },
            is_sent: false,
        },
        Case {
            name: "the worker drains",
            change: |setup| {
                setup.worker.draining = true;
                let announcement = setup.worker.announce(0);
                setup.core.on_announcement(1_500, announcement);
            },
            is_sent: false,
        },
        Case {
            name: "the worker has deregistered",
            change: |setup| {
                let name = setup.worker.name.clone();
                setup.core.on_deregistered(1_500, &name, None);
            },
            is_sent: false,
        },
        Case {
            name: "another incarnation has answered",
            change: |setup| {
                let mut next = Worker::new(0, 11);
                setup.core.on_announcement(1_500, next.announce(0));
                let list = setup.core.list(1_510, 0).expect("a call to the candidate");
                setup.core.on_listing(1_520, 1_510, &list, next.listing());
            },
            is_sent: false,
        },
        Case {
            name: "an earlier attempt was executed",
            change: |setup| {
                setup.list(1_500, active());
            },
            is_sent: false,
        },
        Case {
            name: "an earlier attempt was executed and has ended",
            change: |setup| {
                setup.list(1_500, ended());
            },
            is_sent: false,
        },
    ];
    for case in cases {
        let (mut setup, start) = Setup::new();
        (case.change)(&mut setup);
        let released = setup.core.release(1_600, start);
        assert_eq!(released.is_some(), case.is_sent, "{}", case.name);
    }
}

#[test]
fn no_queued_start_is_sent_without_a_recent_answer_of_the_leader_and_of_the_worker() {
    for answers in [(true, false), (false, true), (true, true)] {
        let (mut setup, start) = Setup::new();
        for now in (1_500..7_000).step_by(500) {
            if answers.0 {
                let orders = setup.orders(vec![run()], Vec::new());
                setup.core.on_orders(now, now - 10, orders);
            }
            if answers.1 {
                setup.list(now, Listing::default());
            } else {
                setup.core.list(now, 0);
            }
        }
        let released = setup.core.release(7_000, start);
        assert_eq!(released.is_some(), answers == (true, true), "{answers:?}");
    }
}

// Guards against a start that expires in the queue although it is still wanted.
#[test]
fn a_start_has_the_lease_and_the_token_of_the_time_at_which_it_is_sent() {
    let (mut setup, start) = Setup::new();
    let Effect::Start(queued) = start.clone() else {
        panic!("expected a start");
    };
    let orders = Orders {
        token: 2,
        ..setup.orders(vec![run()], Vec::new())
    };
    setup.core.on_orders(2_000, 1_990, orders);
    setup.list(2_100, Listing::default());
    let Some(Effect::Start(sent)) = setup.core.release(2_200, start) else {
        panic!("expected a start");
    };
    assert!(sent.token > queued.token);
    assert!(sent.expires_ms > queued.expires_ms);
}

// Guards against work that is thrown away: the stop of a run that the leader wants again was still queued.
#[test]
fn a_queued_stop_is_sent_only_if_it_is_still_needed() {
    struct Case {
        name: &'static str,
        change: fn(&mut Setup),
        is_sent: bool,
    }
    let cases = [
        Case {
            name: "nothing has changed",
            change: |_setup| {},
            is_sent: true,
        },
        Case {
            name: "the leader wants the run again",
            change: |setup| {
                let orders = setup.orders(vec![run()], Vec::new());
                setup.core.on_orders(1_500, 1_490, orders);
            },
            is_sent: false,
        },
        Case {
            name: "the run has ended",
            change: |setup| {
                setup.list(1_500, ended());
            },
            is_sent: false,
        },
        Case {
            name: "another incarnation has answered",
            change: |setup| {
                let mut next = Worker::new(0, 11);
                setup.core.on_announcement(1_500, next.announce(0));
                let list = setup.core.list(1_510, 0).expect("a call to the candidate");
                setup.core.on_listing(1_520, 1_510, &list, next.listing());
            },
            is_sent: false,
        },
    ];
    for case in cases {
        let (mut setup, _start) = Setup::new();
        setup
            .core
            .on_started(QUEUED_MS + 10, run(), Outcome::Accepted);
        setup.list(1_100, active());
        let orders = setup.orders(Vec::new(), vec![run()]);
        let mut effects = setup.core.on_orders(1_200, 1_190, orders);
        let stop = effects.pop().expect("a stop");
        assert!(matches!(stop, Effect::Stop(_)) && effects.is_empty());
        (case.change)(&mut setup);
        let released = setup.core.release(1_600, stop);
        assert_eq!(released.is_some(), case.is_sent, "{}", case.name);
    }
}
