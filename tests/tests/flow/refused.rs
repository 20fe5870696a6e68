//! Starts that a worker refuses while the leader goes on wanting the run.

use bytes::Bytes;
use oriolereel::flow::agent::{Announcement, Core, Effect, List, Listing, Outcome};
use oriolereel::flow::bounds::{Bounds, MAX_LIST_WAIT_MS};
use oriolereel::flow::message::{Active, Orders, Start};
use oriolereel::flow::planner::Options;
use oriolereel::flow::{Run, WorkerKey};

use super::agent::run;
use super::worker::Worker;

/// Interval of the leader's replies, none of which names the run as one to stop.
const REPLY_INTERVAL_MS: u64 = 500;

/// Time at which the leader places the run.
const PLACED_MS: u64 = 2_000;

/// Time in which a run that the worker has refused must be known to be absent: a start, a stop and two
/// listings that the worker holds.
const KNOWN_MS: u64 = 500 + 2 * MAX_LIST_WAIT_MS;

/// Time that the attempts to start a run may take beyond that if none is answered clearly.
const ATTEMPTS_MS: u64 = 4_000;

/// An agent whose worker answers each start with one outcome, confirms each stop, and holds each listing
/// for as long as it is asked to.
struct Setup {
    core: Core,
    worker: Worker,
    announcement: Announcement,
    outcome: Outcome,
    wanted: Vec<Run>,
    evacuated: bool,
    /// A listing that the worker holds, with the times of its call and its answer.
    held: Option<(u64, u64, List)>,
    /// Whether a listing is requested after a stop as soon as it is needed.
    lists_after_stops: bool,
    stops: usize,
    starts: usize,
}

impl Setup {
    fn new(outcome: Outcome) -> Self {
        let mut worker = Worker::new(0, 10);
        let announcement = worker.announce(0);
        let mut core = Core::new("i0".to_owned(), Options::default());
        core.on_announcement(1_000, announcement.clone());
        let mut setup = Self {
            core,
            worker,
            announcement,
            outcome,
            wanted: Vec::new(),
            evacuated: false,
            held: None,
            lists_after_stops: false,
            stops: 0,
            starts: 0,
        };
        setup.advance(1_000, PLACED_MS);
        setup.wanted.push(run());
        setup
    }

    fn orders(&self) -> Orders {
        let known = self.core.poll().known;
        let unknown = self.wanted.iter().filter(|run| !known.contains(run));
        Orders {
            token: 1,
            worker: Some((WorkerKey(3), self.announcement.info.clone())),
            starts: unknown
                .map(|run| Start {
                    run: *run,
                    payload: Bytes::from_static(b"work"),
                    checkpoint: String::new(),
                })
                .collect(),
            wanted: self.wanted.clone(),
            evacuated: self.evacuated,
            ..Orders::default()
        }
    }

    /// Lets the agent and the worker act until a time. Returns when the run was known to be absent.
    fn advance(&mut self, from_ms: u64, until_ms: u64) -> Option<u64> {
        for now in from_ms..until_ms {
            self.worker.clock_ms += 1;
            let mut effects = self.core.due_effects(now);
            if now % REPLY_INTERVAL_MS == 0 {
                let orders = self.orders();
                effects.extend(self.core.on_orders(now, now.saturating_sub(10), orders));
            }
            if let Some((sent_ms, _until_ms, list)) = self
                .held
                .take_if(|(_sent_ms, until_ms, _list)| now >= *until_ms)
            {
                effects.extend(self.answer(now, sent_ms, &list));
            }
            if self.held.is_none() {
                let list = self.core.list(now, MAX_LIST_WAIT_MS);
                self.held = list.map(|list| (now, now + list.wait_ms.max(100), list));
            }
            self.execute(now, effects);
            let report = self.core.report(now);
            if report.is_some_and(|report| report.absent.contains(&run())) {
                return Some(now);
            }
        }
        None
    }

    fn answer(&mut self, now: u64, sent_ms: u64, list: &List) -> Vec<Effect> {
        self.core
            .on_listing(now, sent_ms, list, self.worker.listing())
    }

    fn execute(&mut self, now: u64, effects: Vec<Effect>) {
        for effect in effects {
            let effects = match effect {
                Effect::Start(start) => {
                    self.starts += 1;
                    self.core.on_started(now, start.run, self.outcome)
                }
                Effect::Stop(stop) => {
                    self.stops += 1;
                    let mut effects = self.core.on_stopped(now, stop.run, true);
                    if self.lists_after_stops
                        && self.core.needs_listing()
                        && let Some(list) = self.core.list(now, 0)
                    {
                        effects.extend(self.answer(now, now, &list));
                    }
                    effects
                }
            };
            self.execute(now, effects);
        }
    }
}

// Guards against a task that stays assigned to a worker that has refused it: the leader's next reply, which still
// wanted the run, withdrew the stop before a listing could show that the run is absent.
#[test]
fn a_refused_run_becomes_known_as_absent_while_the_leader_wants_it() {
    struct Case {
        name: &'static str,
        outcome: Outcome,
        draining: bool,
        evacuated: bool,
        within_ms: u64,
    }
    let refused = Case {
        name: "",
        outcome: Outcome::Accepted,
        draining: false,
        evacuated: false,
        within_ms: KNOWN_MS,
    };
    let cases = [
        Case {
            name: "an earlier stop or end",
            outcome: Outcome::Superseded,
            ..refused
        },
        Case {
            name: "no room",
            outcome: Outcome::NoCapacity,
            ..refused
        },
        Case {
            name: "a call that the worker cannot interpret",
            outcome: Outcome::Rejected,
            ..refused
        },
        Case {
            name: "a busy worker",
            outcome: Outcome::Busy,
            within_ms: ATTEMPTS_MS + KNOWN_MS,
            ..refused
        },
        Case {
            name: "no answer",
            outcome: Outcome::Unknown,
            within_ms: ATTEMPTS_MS + KNOWN_MS,
            ..refused
        },
        Case {
            name: "expired calls",
            outcome: Outcome::Expired,
            within_ms: ATTEMPTS_MS + KNOWN_MS,
            ..refused
        },
        Case {
            name: "a later token",
            outcome: Outcome::Fenced,
            within_ms: ATTEMPTS_MS + KNOWN_MS,
            ..refused
        },
        Case {
            name: "another incarnation",
            outcome: Outcome::WrongWorker,
            within_ms: ATTEMPTS_MS + KNOWN_MS,
            ..refused
        },
        Case {
            name: "a draining worker",
            draining: true,
            ..refused
        },
        Case {
            name: "an evacuated domain",
            evacuated: true,
            ..refused
        },
    ];
    for case in cases {
        let mut setup = Setup::new(case.outcome);
        setup.evacuated = case.evacuated;
        if case.draining {
            setup.worker.draining = true;
            let announcement = setup.worker.announce(0);
            setup.core.on_announcement(PLACED_MS, announcement);
        }
        let known_ms = setup.advance(PLACED_MS, PLACED_MS + 60_000);
        let known_ms = known_ms.map(|known_ms| known_ms - PLACED_MS);
        assert!(
            known_ms.is_some_and(|known_ms| known_ms <= case.within_ms),
            "{}: known after {known_ms:?} ms, {} ms allowed; {} starts, {} stops",
            case.name,
            case.within_ms,
            setup.starts,
            setup.stops
        );
    }
}

// Guards against a run that was given up and started again: once its stop was sent, the worker refuses it.
#[test]
fn a_run_that_was_given_up_is_not_started_again() {
    let mut setup = Setup::new(Outcome::NoCapacity);
    assert!(setup.advance(PLACED_MS, PLACED_MS + 60_000).is_some());
    assert_eq!((setup.starts, setup.stops), (1, 1));
}

// Guards against work that is thrown away: contact with the leader was lost for longer than a grant lasts, the
// leader still wants the run, and the stop did not reach the worker.
#[test]
fn a_run_that_goes_on_is_not_stopped_again_once_the_leader_wants_it() {
    let mut setup = Setup::new(Outcome::Accepted);
    setup.advance(PLACED_MS, 3_000);
    let active = Active {
        run: run(),
        checkpoint: String::new(),
        percent: 10,
    };
    let list = setup.core.list(3_000, 0).expect("a call to the worker");
    let listing = Listing {
        active: vec![active],
        ..setup.worker.listing()
    };
    setup.core.on_listing(3_010, 3_000, &list, listing.clone());
    let options = Options::from(Bounds::default());
    let lost_ms = 3_000 + options.grant_ms + options.bounds.lease_ms() + 1_000;
    let mut stops = Vec::new();
    for now in (3_100..lost_ms).step_by(100) {
        let list = setup.core.list(now, 0).expect("a call to the worker");
        stops.extend(setup.core.on_listing(now, now, &list, listing.clone()));
        for _stop in &stops {
            setup.core.on_stopped(now, run(), false);
        }
    }
    assert!(!stops.is_empty());
    let orders = setup.orders();
    assert_eq!(setup.core.on_orders(lost_ms, lost_ms, orders), []);
    assert_eq!(setup.core.due_effects(lost_ms + 300), []);
}

// Guards against a second without a run after each refusal: the listing that was requested right after the stop had
// the same time in milliseconds as its confirmation and did not count.
#[test]
fn a_listing_requested_right_after_a_stop_shows_that_the_run_is_absent() {
    let mut setup = Setup::new(Outcome::NoCapacity);
    setup.lists_after_stops = true;
    let known_ms = setup.advance(PLACED_MS, PLACED_MS + 60_000);
    assert_eq!(known_ms, Some(PLACED_MS));
}

#[test]
fn a_listing_requested_in_the_same_millisecond_before_the_confirmation_shows_nothing() {
    let mut setup = Setup::new(Outcome::NoCapacity);
    let orders = setup.orders();
    let mut effects = setup.core.on_orders(PLACED_MS, PLACED_MS - 10, orders);
    assert!(matches!(effects.pop(), Some(Effect::Start(_))));
    let mut effects = setup.core.on_started(PLACED_MS, run(), Outcome::NoCapacity);
    assert!(matches!(effects.pop(), Some(Effect::Stop(_))));
    let list = setup.core.list(PLACED_MS, 0).expect("a call to the worker");
    setup.core.on_stopped(PLACED_MS, run(), true);
    setup.answer(PLACED_MS + 1, PLACED_MS, &list);
    let report = setup.core.report(PLACED_MS + 2).expect("a report");
    assert_eq!(report.absent, []);
}
