//! Jobs whose queue gets another name or another place.

use bytes::Bytes;
use oriolereel::flow::Registry;
use oriolereel::flow::catalog::{Account, Catalog, Limits, Queue};
use oriolereel::flow::job::{Amount, Spec, Step};
use oriolereel::flow::message::{Action, Answer};
use oriolereel::flow::planner::{Options, Planner};
use oriolereel::flow::registry::State;

use super::world;

/// Time on the leader's wall clock.
const WALL_MS: u64 = 1_700_000_000_000;

/// A leader whose decisions are committed at once.
struct Leader {
    planner: Planner,
    registry: Registry,
    index: u64,
    now: u64,
}

impl Leader {
    fn new() -> Self {
        let registry = Registry::default();
        Self {
            planner: Planner::new(&registry, 0, Options::default()),
            registry,
            index: 1,
            now: 10_000,
        }
    }

    fn commit(&mut self) {
        self.now += 10;
        let wall_ms = WALL_MS + self.now;
        for command in self.planner.decide(self.now, wall_ms) {
            self.index += 1;
            self.registry.apply(self.index, wall_ms, command);
        }
    }

    /// Declares queues, given as pairs of name and place.
    fn declare(&mut self, version: u64, queues: &[(&str, &str)]) {
        let queues = queues.iter().map(|(name, place)| Queue {
            prefix: format!("/{place}/"),
            ..world::queue(name, 1)
        });
        let account = Account {
            name: "a".to_owned(),
            keys: vec!["k".to_owned()],
            guaranteed: 0,
        };
        let catalog = Catalog {
            version,
            document: Bytes::new(),
            queues: queues.collect(),
            accounts: vec![account],
        };
        self.planner.declare(Box::new(catalog), Limits::default());
        self.commit();
    }

    fn call(&mut self, path: &str, action: Action) -> Answer {
        let answer = self
            .planner
            .request(&self.registry, "h", path, Some("k"), action);
        self.commit();
        answer.0
    }

    fn submit(&mut self, path: &str) -> Answer {
        let step = Step {
            count: 1,
            per_task: Amount {
                millicpus: 1_000,
                memory_mb: 1_000,
                accelerators: 0,
            },
            estimate_ms: 1_000,
            ..Step::default()
        };
        let spec = Spec {
            steps: vec![step],
            ..Spec::default()
        };
        self.call(path, Action::Submit(Box::new(spec)))
    }
}

// Guards against jobs that nobody can read or cancel any more, and cancels that are acknowledged and not carried
// out: the queue of an accepted job was compared by its name, which callers do not know.
#[test]
fn a_job_is_found_where_its_callers_find_its_queue() {
    const OTHER: Answer = Answer::UnknownJob;
    struct Case {
        name: &'static str,
        /// Queues by name and place after the job was accepted in queue "plan" at "plan".
        queues: &'static [(&'static str, &'static str)],
        /// Places at which the job is found, and is not.
        found: &'static [&'static str],
        missing: &'static [(&'static str, Answer)],
    }
    let cases = [
        Case {
            name: "unchanged",
            queues: &[("plan", "plan"), ("other", "other")],
            found: &["plan"],
            missing: &[("other", OTHER)],
        },
        Case {
            name: "another name at the place",
            queues: &[("plan-2", "plan"), ("idle", "idle")],
            found: &["plan"],
            missing: &[("idle", OTHER)],
        },
        Case {
            name: "another place for the name",
            queues: &[("plan", "new"), ("other", "other")],
            found: &["new"],
            missing: &[("plan", Answer::UnknownQueue), ("other", OTHER)],
        },
        Case {
            name: "the names of two places exchanged",
            queues: &[("plan", "other"), ("other", "plan")],
            found: &["plan"],
            missing: &[("other", OTHER)],
        },
        Case {
            name: "removed",
            queues: &[("other", "other")],
            found: &[],
            missing: &[("plan", Answer::UnknownQueue), ("other", OTHER)],
        },
    ];
    const JOB: &str = "00000000000000aa";
    for case in cases {
        let mut leader = Leader::new();
        leader.declare(1, &[("plan", "plan"), ("other", "other")]);
        assert_eq!(leader.submit(&format!("/plan/{JOB}")), Answer::Accepted);
        leader.declare(2, case.queues);
        for (place, answer) in case.missing {
            let path = format!("/{place}/{JOB}");
            assert_eq!(leader.call(&path, Action::Read), *answer, "{}", case.name);
            assert_eq!(leader.call(&path, Action::Cancel), *answer, "{}", case.name);
            if *answer == OTHER {
                let resent = leader.submit(&path);
                assert!(matches!(resent, Answer::Invalid(_)), "{}", case.name);
                let pending = leader.call(&format!("/{place}/"), Action::Read);
                assert_eq!(pending, Answer::Pending(0), "{}", case.name);
            }
        }
        for place in case.found {
            let path = format!("/{place}/{JOB}");
            let state = |state| Answer::State(state, false);
            assert_eq!(
                leader.call(&path, Action::Read),
                state(State::Open),
                "{}",
                case.name
            );
            assert_eq!(leader.submit(&path), Answer::Accepted, "{}", case.name);
            let pending = leader.call(&format!("/{place}/"), Action::Read);
            assert_eq!(pending, Answer::Pending(1), "{}", case.name);
            assert_eq!(
                leader.call(&path, Action::Cancel),
                Answer::Cancelled,
                "{}",
                case.name
            );
            assert_eq!(
                leader.call(&path, Action::Read),
                state(State::Cancelled),
                "{}",
                case.name
            );
        }
    }
}

// Guards against a job that is lost with the change that removes its route by mistake and the one that brings
// the route back under another name.
#[test]
fn a_job_is_found_again_once_a_queue_is_at_its_place_again() {
    let mut leader = Leader::new();
    leader.declare(1, &[("plan", "plan")]);
    let path = "/plan/00000000000000aa";
    assert_eq!(leader.submit(path), Answer::Accepted);
    leader.declare(2, &[("other", "other")]);
    assert_eq!(leader.call(path, Action::Read), Answer::UnknownQueue);
    leader.declare(3, &[("plan-3", "plan")]);
    assert_eq!(
        leader.call(path, Action::Read),
        Answer::State(State::Open, false)
    );
    assert_eq!(leader.call(path, Action::Cancel), Answer::Cancelled);
}
