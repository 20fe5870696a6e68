//! Evacuated failure domains: the operators' side of the simulation, its oracle, and tests of single
//! decisions.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use oriolereel::codec;
use oriolereel::flow::agent::{Core, Effect, Outcome};
use oriolereel::flow::bounds::Bounds;
use oriolereel::flow::catalog::Limits;
use oriolereel::flow::durations::Durations;
use oriolereel::flow::message::{self, Active, Poll, Start};
use oriolereel::flow::planner::{Options, Planner};
use oriolereel::flow::registry::{Info, State};
use oriolereel::flow::{Command, Registry, Run, WorkerKey, ticket};
use oriolereel::ledger::Ledger;
use proptest::prelude::*;

use super::action::Action;
use super::agent::run;
use super::calm::{Calm, Job};
use super::worker::Worker;
use super::world::{Agent, World};
use crate::support;

/// What the operators want, and since when the log holds it.
#[derive(Default)]
pub struct Orders {
    wanted: BTreeSet<String>,
    known: BTreeSet<String>,
    committed_ms: BTreeMap<String, u64>,
}

impl World {
    pub fn order_evacuation(&mut self, pick: usize, begins: bool) {
        let machine = pick % self.workers.len();
        let domain = self.domain(machine);
        if begins {
            self.evacuations.wanted.insert(domain.clone());
        } else {
            self.evacuations.wanted.remove(&domain);
        }
        self.evacuations.known.insert(domain.clone());
        self.planner.evacuate(domain, begins);
    }

    pub fn resend_evacuations(&mut self) {
        for domain in &self.evacuations.known {
            let begins = self.evacuations.wanted.contains(domain);
            self.planner.evacuate(domain.clone(), begins);
        }
    }

    pub fn revoke_evacuations(&mut self) {
        self.evacuations.wanted.clear();
        self.resend_evacuations();
    }

    /// Records since when the log has held each evacuation.
    pub fn note_evacuations(&mut self) {
        let registry = &self.registry;
        let committed = &mut self.evacuations.committed_ms;
        committed.retain(|domain, _at_ms| registry.is_evacuated(domain));
        for domain in registry.evacuated_domains() {
            committed.entry(domain.to_owned()).or_insert(self.now);
        }
    }

    /// Checks that no run starts in an evacuated domain once its agent has the order, and none at all once
    /// the order is old enough. A machine that was suspended executes what had reached it before.
    pub fn check_evacuated_start(&mut self, machine: usize, run: Run, is_late: bool) {
        let agent = &self.agents[machine];
        if agent.evacuated.1 && !is_late {
            self.violations.push(format!(
                "{run:?} started after its agent knew of the evacuation"
            ));
        }
        let committed_ms = self.evacuations.committed_ms.get(&self.domain(machine));
        let limit_ms = committed_ms.map(|at_ms| *at_ms.max(&agent.suspended_until_ms));
        if limit_ms.is_some_and(|at_ms| self.now > at_ms + self.bounds.evacuate_ms) {
            self.violations
                .push(format!("{run:?} started long after the evacuation"));
        }
    }

    fn domain(&self, machine: usize) -> String {
        format!("d{}", machine / 2)
    }

    /// Returns the machines on which tasks are active.
    fn busy(&self) -> BTreeSet<usize> {
        let workers = self.workers.iter().enumerate();
        let busy = workers.filter(|(_machine, worker)| !worker.is_idle());
        busy.map(|(machine, _worker)| machine).collect()
    }
}

impl Agent {
    /// Records what orders say that the agent accepts.
    pub fn note_evacuation(&mut self, worker: &Worker, orders: &message::Orders) {
        let info = orders.worker.as_ref().map(|(_key, info)| info);
        let is_own = info
            .is_some_and(|info| info.name == worker.name && info.incarnation == worker.incarnation);
        if is_own && orders.token >= self.evacuated.0 {
            self.evacuated = (orders.token, orders.evacuated);
        }
    }
}

/// An agent whose worker is settled and has not accepted a run, as every start is left unanswered.
fn agent_with_order(has_run: bool) -> (Core, Worker, message::Orders, Vec<Effect>) {
    let mut worker = Worker::new(0, 1);
    let mut core = Core::new("i0".to_owned(), Options::default());
    let announcement = worker.announce(0);
    core.on_announcement(1_000, announcement.clone());
    let start = Start {
        run: run(),
        payload: Bytes::from_static(b"work"),
        checkpoint: String::new(),
    };
    let orders = message::Orders {
        token: 1,
        worker: Some((WorkerKey(3), announcement.info)),
        wanted: vec![run()],
        starts: vec![start],
        ..message::Orders::default()
    };
    let mut effects = Vec::new();
    for now in [1_010, 1_050] {
        effects.extend(core.on_orders(now, now - 10, orders.clone()));
        let list = core.list(now + 10, 0).expect("a call to the worker");
        let mut listing = worker.listing();
        if has_run {
            listing.active.push(Active {
                run: run(),
                checkpoint: String::new(),
                percent: 1,
            });
        }
        effects.extend(core.on_listing(now + 20, now + 10, &list, listing));
    }
    (core, worker, orders, effects)
}

fn count(effects: &[Effect]) -> (usize, usize) {
    let starts = effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Start(_)));
    let starts = starts.count();
    (starts, effects.len() - starts)
}

// Guards against starts after the order, runs that are stopped although they are active, and withdrawn runs
// that never become known as absent. The worker refuses them, so revoking the order does not start them again.
#[test]
fn an_agent_withdraws_only_what_its_worker_has_not_accepted() {
    struct Case {
        name: &'static str,
        has_run: bool,
        outcome: Option<Outcome>,
        evacuated: bool,
        /// Starts and stops after the order.
        calls: (usize, usize),
    }
    let case = |name, has_run, outcome, evacuated, calls| Case {
        name,
        has_run,
        outcome,
        evacuated,
        calls,
    };
    let cases = [
        case("active", true, None, true, (0, 0)),
        case("accepted", false, Some(Outcome::Accepted), true, (0, 0)),
        case("unanswered", false, Some(Outcome::Unknown), true, (0, 1)),
        case("busy", false, Some(Outcome::Busy), true, (0, 1)),
        case("in flight", false, None, true, (0, 0)),
        case("not evacuated", false, Some(Outcome::Busy), false, (1, 0)),
    ];
    for case in cases {
        let (mut core, worker, mut orders, effects) = agent_with_order(case.has_run);
        assert_eq!(
            count(&effects).0,
            usize::from(!case.has_run),
            "{}",
            case.name
        );
        if let Some(outcome) = case.outcome {
            core.on_started(1_100, run(), outcome);
        }
        orders.evacuated = case.evacuated;
        let effects = core.on_orders(1_500, 1_490, orders.clone());
        assert_eq!(count(&effects), case.calls, "{}", case.name);
        if case.calls.1 > 0 {
            core.on_stopped(1_510, run(), true);
            orders.evacuated = false;
            let effects = core.on_orders(1_600, 1_590, orders);
            assert_eq!(count(&effects), (0, 0), "{}: revoked", case.name);
            let list = core.list(1_610, 0).expect("a call to the worker");
            core.on_listing(1_620, 1_610, &list, worker.listing());
            let report = core.report(1_630).expect("a report");
            assert_eq!(report.absent, [run()], "{}: revoked", case.name);
        }
    }
}

// Guards against a start that was queued in the agent when the order arrived.
#[test]
fn a_start_that_was_not_sent_is_withdrawn() {
    let (mut core, _worker, mut orders, effects) = agent_with_order(false);
    assert_eq!(count(&effects), (1, 0));
    orders.evacuated = true;
    assert_eq!(count(&core.on_orders(1_500, 1_490, orders)), (0, 0));
    for effect in effects {
        assert_eq!(core.release(1_510, effect), None);
    }
    assert_eq!(count(&core.due_effects(1_510)), (0, 1));
}

// Guards against an agent that has missed the order and starts runs under its grant, which is longer.
#[test]
fn an_agent_without_contact_starts_nothing_later_than_an_evacuation_takes_effect() {
    let (mut core, mut worker, _orders, _effects) = agent_with_order(false);
    let mut starts = Vec::new();
    for now in (1_100..9_000).step_by(100) {
        worker.clock_ms += 100;
        let clock_ms = worker.clock_ms;
        let list = core.list(now, 0).expect("a call to the worker");
        let mut effects = core.on_listing(now, now, &list, worker.listing());
        if now % 600 == 0 {
            effects.extend(core.on_started(now, run(), Outcome::Busy));
        }
        starts.extend(effects.into_iter().filter_map(|effect| match effect {
            Effect::Start(start) => Some((now, now + start.expires_ms - clock_ms)),
            Effect::Stop(_stop) => None,
        }));
    }
    assert!(starts.len() > 3, "{starts:?}");
    // The last poll that was answered was sent at 1,040 ms.
    let limit_ms = 1_040 + Bounds::default().evacuate_ms * 95 / 100;
    let late = starts
        .iter()
        .find(|(_sent_ms, expires_ms)| *expires_ms > limit_ms);
    assert_eq!(late, None);
}

fn apply(registry: &mut Registry, index: u64, domain: &str, evacuated: bool) {
    let domain = domain.to_owned();
    registry.apply(index, 0, Command::Evacuate { domain, evacuated });
}

/// A registry with two workers in each of two domains.
fn registry() -> Registry {
    let mut registry = Registry::default();
    for machine in 0..4 {
        let key = WorkerKey(machine as u64);
        let info = Worker::new(machine, 1).announce(machine).info;
        registry.apply(1, 0, Command::RegisterWorker { key, info });
    }
    registry.take_changed();
    registry
}

// Guards against polls that are held although the orders have changed, and polls that are answered although
// a resent order has changed nothing.
#[test]
fn each_change_renews_the_orders_of_the_workers_of_its_domain() {
    let mut registry = registry();
    let steps = [(true, 2), (true, 0), (false, 2), (false, 0), (true, 2)];
    for (step, (evacuated, changed)) in steps.into_iter().enumerate() {
        let index = 10 + step as u64;
        apply(&mut registry, index, "d1", evacuated);
        let keys = registry.take_changed();
        assert_eq!(keys.len(), changed, "{step}");
        assert!(keys.iter().all(|key| [2, 3].contains(&key.0)), "{keys:?}");
        for machine in 0..4 {
            let poll = Poll {
                instance: format!("i{machine}"),
                worker: None,
                seen_index: 0,
                wait_ms: 0,
                known: Vec::new(),
            };
            let orders = registry.orders(index, &poll);
            assert_eq!(
                orders.evacuated,
                evacuated && machine >= 2,
                "{step}, {machine}"
            );
        }
    }
    // A worker that registers in an evacuated domain has the order from its first poll on.
    let info = Info {
        instance: "i9".to_owned(),
        ..Worker::new(3, 2).announce(3).info
    };
    let key = WorkerKey(9);
    registry.apply(20, 0, Command::RegisterWorker { key, info });
    let worker = registry.worker(key).expect("a registered worker");
    assert!(registry.is_evacuated(&worker.info.domain));
}

// Guards against a snapshot of an earlier build that cannot be read, which would stop the member.
#[test]
fn a_snapshot_from_before_evacuations_has_none() {
    let snapshot = Ledger::default().encode().expect("a snapshot");
    let limits = (0_u64, Limits::default());
    let later = (BTreeSet::<String>::new(), Durations::default(), limits);
    let later = codec::encode(&later).expect("the fields since then");
    let before = &snapshot[..snapshot.len() - later.len()];
    assert_eq!(Ledger::decode(before).ok(), Some(Ledger::default()));
    let cut = Ledger::decode(&before[..before.len() - 1]);
    cut.expect_err("a snapshot that lacks more");
}

/// What happens to operators' orders.
#[derive(Clone, Debug)]
enum Event {
    /// A new order for a domain; the message may be lost.
    Order(usize, bool, bool),
    /// The order of a domain that was given last is sent again.
    Resend(usize),
    /// A message of any earlier order arrives, once more or for the first time.
    Late(usize),
    Commit,
    /// Decisions that are not committed are lost.
    NewLeader,
    /// The member starts from a snapshot.
    Restart,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let order = (0..3usize, any::<bool>(), any::<bool>());
    let event = prop_oneof![
        4 => order.prop_map(|(domain, begins, lost)| Event::Order(domain, begins, lost)),
        3 => (0..3usize).prop_map(Event::Resend),
        3 => (0..64usize).prop_map(Event::Late),
        3 => Just(Event::Commit),
        1 => Just(Event::NewLeader),
        1 => Just(Event::Restart),
    ];
    prop::collection::vec(event, 1..80)
}

/// The last order of a domain.
#[derive(Clone, Copy)]
struct Last {
    begins: bool,
    is_accepted: bool,
    is_acknowledged: bool,
}

/// A leader with its log, and the operators.
struct Control {
    registry: Registry,
    planner: Planner,
    token: u64,
    tickets: ticket::Counter,
    sent: Vec<(usize, bool, ticket::Ticket)>,
    last: BTreeMap<usize, Last>,
    index: u64,
}

impl Control {
    fn new() -> Self {
        let registry = registry();
        Self {
            planner: Planner::new(&registry, 0, Options::default()),
            registry,
            token: 1,
            tickets: ticket::Counter::new(1),
            sent: Vec::new(),
            last: BTreeMap::new(),
            index: 10,
        }
    }

    fn send(&mut self, domain: usize, begins: bool, is_lost: bool) {
        let valid = self.tickets.redeem(None).expect_err("no ticket");
        self.sent.push((domain, begins, valid));
        let is_accepted = !is_lost && self.deliver(self.sent.len() - 1);
        let last = Last {
            begins,
            is_accepted,
            is_acknowledged: false,
        };
        self.last.insert(domain, last);
    }

    fn deliver(&mut self, at: usize) -> bool {
        let (domain, begins, ticket) = self.sent[at];
        let is_accepted = self.tickets.redeem(Some(ticket)).is_ok();
        if is_accepted {
            self.planner.evacuate(format!("d{domain}"), begins);
        }
        is_accepted
    }

    fn perform(&mut self, event: &Event) {
        match event {
            Event::Order(domain, begins, is_lost) => self.send(*domain, *begins, *is_lost),
            Event::Resend(domain) => {
                if let Some(last) = self.last.get(domain).copied() {
                    self.send(*domain, last.begins, false);
                }
            }
            Event::Late(pick) => {
                if !self.sent.is_empty() {
                    self.deliver(pick % self.sent.len());
                }
            }
            Event::Commit => {
                self.index += 1;
                for command in self.planner.decide(0, 0) {
                    self.registry.apply(self.index, 0, command);
                }
                let orders = self.last.values_mut();
                orders.for_each(|last| last.is_acknowledged |= last.is_accepted);
            }
            Event::NewLeader | Event::Restart => {
                if matches!(event, Event::Restart) {
                    let snapshot = codec::encode(&self.registry).expect("a snapshot");
                    self.registry = codec::decode("snapshot", &snapshot).expect("a registry");
                    self.registry.rebuild();
                }
                self.token += 1;
                self.tickets = ticket::Counter::new(self.token);
                self.planner = Planner::new(&self.registry, 0, Options::default());
                let orders = self.last.values_mut();
                orders.for_each(|last| last.is_accepted &= last.is_acknowledged);
            }
        }
    }
}

proptest! {
    #![proptest_config(support::proptest_config(200))]

    // Guards against acknowledged orders that are lost or undone by resends, late messages, leaders or
    // snapshots.
    #[test]
    fn the_last_acknowledged_order_of_a_domain_stands(events in events()) {
        let mut control = Control::new();
        for event in events {
            control.perform(&event);
            for (domain, last) in &control.last {
                if last.is_acknowledged {
                    let evacuated = control.registry.is_evacuated(&format!("d{domain}"));
                    prop_assert_eq!(evacuated, last.begins, "{}", domain);
                }
            }
        }
    }
}

fn task(tasks: u32, accelerators: u64, is_urgent: bool) -> Job {
    Job {
        account: 0,
        urgent: is_urgent,
        tasks,
        accelerators,
        work_ms: 20_000,
        max_per_worker: 0,
    }
}

// Guards against work that is placed in the domain after the order, active runs that are stopped for it, and
// work that stays away once it is revoked.
#[test]
fn new_work_avoids_an_evacuated_domain_until_that_is_revoked() {
    let mut calm = Calm::new(4, &[0]);
    let before = calm.submit(task(4, 8, false));
    calm.advance(3_000);
    assert_eq!(calm.machines(before).len(), 4);
    calm.evacuate(2, true);
    calm.advance(18_000);
    assert_eq!(calm.stopped.len(), 0);
    let after = calm.submit(task(4, 8, false));
    calm.advance(5_000);
    assert!(calm.machines(after).iter().all(|machine| *machine < 2));
    assert_eq!(calm.active(after), 2);
    let reasons = calm.wait_reasons(after).join("\n");
    assert!(
        reasons.contains("2 workers get no new runs, as their failure domains are evacuated (d1)"),
        "{reasons}"
    );
    calm.evacuate(2, false);
    calm.advance(3_000);
    assert_eq!(calm.active(after), 4);
}

// Guards against a unit that waits for capacity that it has claimed in a domain which is evacuated
// meanwhile, and against a guarantee that is not served on the other workers.
#[test]
fn a_claim_in_a_domain_that_is_evacuated_moves_to_other_workers() {
    // Either domain may hold the claim.
    for first in [0, 2] {
        let mut calm = Calm::new(4, &[8]);
        calm.submit(task(32, 1, false));
        calm.advance(3_000);
        // The runs of the claim are being stopped when the order is given.
        let urgent = calm.submit(task(1, 8, true));
        calm.evacuate(first, true);
        calm.advance(2_900);
        assert_eq!(calm.active(urgent), 1, "{first}");
        assert_ne!(calm.machines(urgent)[0] / 2, first / 2);
    }
}

// Guards against cells of a guarantee that are kept on evacuated workers, where they serve nobody: small
// covered jobs then take a part of each other worker.
#[test]
fn the_shape_of_a_guarantee_is_kept_on_workers_that_are_not_evacuated() {
    for evacuated in [0, 2] {
        let mut calm = Calm::new(4, &[8, 8]);
        // All workers are full, so that none is preferred for the cells.
        calm.submit(task(32, 1, false));
        calm.advance(3_000);
        calm.evacuate(evacuated, true);
        let mut small = Vec::new();
        for _job in 0..4 {
            small.push(calm.submit(task(1, 2, true)));
            calm.advance(700);
        }
        let large = calm.submit(Job {
            account: 1,
            ..task(1, 8, true)
        });
        calm.advance(2_900);
        assert_eq!(calm.active(large), 1, "{evacuated}");
        assert_ne!(calm.machines(large)[0] / 2, evacuated / 2);
        assert_eq!(calm.late(2_900).len(), 0, "{evacuated}");
        // No covered run had to give way.
        assert!(small.iter().all(|job| !calm.stopped.contains_key(job)));
    }
}

fn gang(tasks: u32) -> Action {
    Action::Submit {
        tasks,
        accelerators: 8,
        gang: true,
        second_step: false,
        urgent: false,
        fails: false,
    }
}

// Guards against a gang whose members are started although some of them were withdrawn.
#[test]
fn a_gang_that_spans_an_evacuated_domain_starts_elsewhere_as_a_whole() {
    for (tasks, seed) in [(2, 3), (2, 5), (3, 7)] {
        let mut world = World::new(6, seed, Bounds::default());
        world.perform(&Action::AdvanceSteps(40));
        // The placement is decided, but not committed when the order is given.
        world.perform(&gang(tasks));
        world.step();
        world.perform(&Action::Evacuate(0, true));
        world.perform(&Action::AdvanceSteps(400));
        assert!(world.busy().iter().all(|machine| *machine >= 2));
        let states = world.registry.jobs().map(|job| job.state);
        assert_eq!(
            states.collect::<Vec<_>>(),
            [State::Completed],
            "seed {seed}"
        );
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

// Guards against a gang that is placed in part, or on fewer workers than it needs.
#[test]
fn a_gang_that_needs_an_evacuated_domain_waits_and_says_so() {
    let mut world = World::new(4, 9, Bounds::default());
    world.perform(&Action::AdvanceSteps(40));
    world.perform(&Action::Evacuate(3, true));
    world.perform(&Action::AdvanceSteps(10));
    world.perform(&gang(4));
    world.perform(&Action::AdvanceSteps(200));
    assert!(world.busy().is_empty());
    let job = *world.jobs.keys().next().expect("a job");
    let reasons = world.planner.wait_reasons(job).join("\n");
    assert!(
        reasons.contains("evacuated (d1); 2 tasks would fit"),
        "{reasons}"
    );
    // A worker that registers in the domain gets no work either.
    world.perform(&Action::KillWorker(3));
    world.perform(&Action::AdvanceSteps(400));
    assert!(world.busy().is_empty());
    world.settle();
    assert_eq!(world.violations, Vec::<String>::new());
}
