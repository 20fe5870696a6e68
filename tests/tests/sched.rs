//! Compares the scheduling core with a simple oracle under random sequences of events.

#[path = "sched/cases.rs"]
mod cases;

use std::collections::BTreeMap;
use std::sync::Arc;

use oriolereel::config::{self, Resources, Within};
use oriolereel::error::Kind;
use oriolereel::sched::core::{Policy, Scheduler};
use oriolereel::sched::event::{self, Decision, End, Event};
use oriolereel::sched::{JobId, Millis, bind, fleet};
use proptest::prelude::*;

/// Racks of the test fleet: region, rack and number of workers.
const RACKS: [(&str, &str, u32); 3] = [("east", "e1", 2), ("east", "e2", 2), ("west", "w1", 2)];
const WORKERS: u32 = 6;
const TOTAL: Resources = Resources {
    accelerators: 4,
    cpus: 16,
    memory_gb: 32,
};
const GRACE_MS: Millis = 1_000;

fn worker(key: u32) -> event::Worker {
    let mut left = key;
    let found = RACKS.iter().find(|(_region, _rack, workers)| {
        let here = left < *workers;
        left = left.wrapping_sub(*workers);
        here
    });
    let (region, rack, _workers) = found.expect("a key below the number of workers");
    event::Worker {
        key: event::WorkerKey(key),
        region: (*region).to_owned(),
        domain: (*region).to_owned(),
        rack: (*rack).to_owned(),
        total: TOTAL,
    }
}

fn resources(accelerators: u32) -> Resources {
    Resources {
        accelerators,
        cpus: accelerators.max(1),
        memory_gb: accelerators.max(1),
    }
}

fn shape(count: u32, workers: u32, accelerators: u32, within: Within) -> config::Shape {
    config::Shape {
        count,
        workers,
        each: resources(accelerators),
        within,
        region: None,
    }
}

fn configuration(generation: u64, variant: u8) -> config::Config {
    let account = |shapes: Vec<config::Shape>| config::Account {
        token_sha256: String::new(),
        weight: 1,
        queue: 50,
        rate_per_s: 100,
        shapes,
    };
    let first_shapes = match variant % 3 {
        0 => vec![shape(1, 2, 4, Within::Rack)],
        1 => vec![
            shape(2, 1, 4, Within::Worker),
            shape(1, 2, 1, Within::Region),
        ],
        _ => vec![shape(1, 2, 2, Within::Rack), shape(2, 1, 1, Within::Worker)],
    };
    let accounts = [
        ("a", first_shapes),
        ("b", vec![shape(1, 1, 4, Within::Worker)]),
        ("c", vec![shape(2, 1, 2, Within::Worker)]),
        ("d", Vec::new()),
    ];
    let accounts = accounts.map(|(name, shapes)| (name.to_owned(), account(shapes)));
    config::Config {
        generation,
        accounts: accounts.into(),
        ..config::Config::default()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Submit {
        account: u8,
        tasks: u32,
        accelerators: u32,
        within: u8,
        urgent: bool,
        repeatable: bool,
    },
    End {
        pick: usize,
        outcome: u8,
    },
    Cancel {
        pick: usize,
    },
    Down {
        worker: u32,
    },
    Up {
        worker: u32,
    },
    Configure {
        variant: u8,
    },
    Wait {
        ms: Millis,
    },
}

/// Strategy for one random event.
fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4_u8, 1..4_u32, 0..5_u32, 0..3_u8, any::<bool>(), any::<bool>()).prop_map(
            |(account, tasks, accelerators, within, urgent, repeatable)| Step::Submit {
                account, tasks, accelerators, within, urgent, repeatable,
            }
        ),
        5 => (any::<usize>(), 0..8_u8).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
        1 => (0..WORKERS).prop_map(|worker| Step::Down { worker }),
        2 => (0..WORKERS).prop_map(|worker| Step::Up { worker }),
        1 => any::<u8>().prop_map(|variant| Step::Configure { variant }),
        2 => (1..40_000_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// State of the test oracle, derived only from the events sent and the decisions received.
#[derive(Default)]
struct Oracle {
    now: Millis,
    next: JobId,
    generation: u64,
    specs: BTreeMap<JobId, event::Spec>,
    running: BTreeMap<JobId, event::Placement>,
    stopping: BTreeMap<JobId, Millis>,
    ended: BTreeMap<JobId, Option<Kind>>,
    down: BTreeMap<u32, bool>,
    runs: BTreeMap<JobId, u32>,
}

impl Oracle {
    fn event(&mut self, step: &Step) -> Vec<Event> {
        self.now += 10;
        match step {
            Step::Submit {
                account,
                tasks,
                accelerators,
                within,
                urgent,
                repeatable,
            } => {
                self.next += 1;
                let within = [Within::Worker, Within::Rack, Within::Region][usize::from(*within)];
                let spec = event::Spec {
                    id: self.next,
                    account: ["a", "b", "c", "d"][usize::from(*account)].to_owned(),
                    service: "s".to_owned(),
                    region: "east".to_owned(),
                    tasks: *tasks,
                    each: resources(*accelerators),
                    within,
                    urgent: *urgent,
                    repeatable: *repeatable,
                    declared_ms: 60_000,
                    submitted_ms: self.now,
                };
                self.specs.insert(self.next, spec.clone());
                vec![Event::Submit(spec)]
            }
            Step::End { pick, outcome } => self.end(*pick, *outcome),
            Step::Cancel { pick } => {
                let open: Vec<JobId> = self
                    .specs
                    .keys()
                    .filter(|id| !self.ended.contains_key(id))
                    .copied()
                    .collect();
                let job = open.get(pick % open.len().max(1)).copied();
                job.map(|job| Event::Cancel {
                    job,
                    kind: Kind::Cancelled,
                })
                .into_iter()
                .collect()
            }
            Step::Down { worker } => {
                self.down.insert(*worker, true);
                let mut events = vec![Event::WorkerDown(event::WorkerKey(*worker))];
                let lost = |placement: &event::Placement| {
                    placement
                        .members
                        .iter()
                        .any(|member| member.worker.0 == *worker)
                };
                let jobs: Vec<JobId> = self
                    .running
                    .iter()
                    .filter(|(_id, placement)| lost(placement))
                    .map(|(id, _placement)| *id)
                    .collect();
                for job in jobs {
                    self.remove_gang(job);
                    let end = End::Lost {
                        worker: Some(event::WorkerKey(*worker)),
                        ran: true,
                    };
                    events.push(Event::Ended {
                        job,
                        end,
                        run_ms: 5,
                    });
                }
                events
            }
            Step::Up { worker: key } => {
                self.down.remove(key);
                vec![Event::WorkerUp(worker(*key))]
            }
            Step::Configure { variant } => {
                self.generation += 1;
                vec![Event::Configure(Arc::new(configuration(
                    self.generation,
                    *variant,
                )))]
            }
            Step::Wait { ms } => {
                self.now += ms;
                self.due()
            }
        }
    }

    fn end(&mut self, pick: usize, outcome: u8) -> Vec<Event> {
        let jobs: Vec<JobId> = self.running.keys().copied().collect();
        let Some(job) = jobs.get(pick % jobs.len().max(1)).copied() else {
            return Vec::new();
        };
        let member = self.running[&job].members[0].worker;
        self.remove_gang(job);
        let end = match outcome {
            0 => End::Failed {
                worker: Some(member),
                ran: true,
            },
            1 => End::Failed {
                worker: None,
                ran: true,
            },
            2 => End::Lost {
                worker: None,
                ran: false,
            },
            _ => End::Done,
        };
        vec![Event::Ended {
            job,
            end,
            run_ms: 1_000,
        }]
    }

    /// Returns the ends of gangs whose grace period is over.
    fn due(&mut self) -> Vec<Event> {
        let due = self
            .stopping
            .iter()
            .filter(|(_job, until)| **until <= self.now);
        let jobs: Vec<JobId> = due.map(|(job, _until)| *job).collect();
        let mut events = vec![Event::Tick];
        for job in jobs {
            self.remove_gang(job);
            let end = End::Stopped { ran: true };
            events.push(Event::Ended {
                job,
                end,
                run_ms: 1_000,
            });
        }
        events
    }

    fn remove_gang(&mut self, job: JobId) {
        self.running.remove(&job);
        self.stopping.remove(&job);
    }

    fn apply_decision(&mut self, decision: Decision) {
        match decision {
            Decision::Place { job, placement, .. } => {
                let spec = &self.specs[&job];
                let tasks: u32 = placement.members.iter().map(|member| member.tasks).sum();
                assert_eq!(tasks, spec.tasks, "job {job} was placed incompletely");
                assert!(
                    !self.ended.contains_key(&job),
                    "job {job} was placed after its end"
                );
                let runs = self.runs.entry(job).or_default();
                *runs += 1;
                check_scope(spec, &placement);
                assert!(
                    self.running.insert(job, placement).is_none(),
                    "job {job} runs twice"
                );
            }
            Decision::Stop { job, .. } => {
                let until = self.now + GRACE_MS;
                self.stopping.insert(job, until);
            }
            Decision::End { job, kind, .. } => {
                assert!(
                    !self.running.contains_key(&job),
                    "job {job} ended while it runs"
                );
                assert!(
                    self.ended.insert(job, kind).is_none(),
                    "job {job} ended twice"
                );
            }
            Decision::Requeue { job, .. } => {
                assert!(
                    !self.running.contains_key(&job),
                    "job {job} was requeued while it runs"
                );
            }
            Decision::Throttle { .. } | Decision::Quarantine { .. } => {}
        }
    }

    fn check(&self, sched: &Scheduler) {
        self.check_capacity();
        self.check_bound_cells(sched);
        self.check_shortfalls(sched);
        self.check_claims(sched);
    }

    /// Checks that no worker runs more than its resources.
    fn check_capacity(&self) {
        for key in 0..WORKERS {
            let mut used = Resources::default();
            for (job, placement) in &self.running {
                let here = placement
                    .members
                    .iter()
                    .filter(|member| member.worker.0 == key);
                here.for_each(|member| used += self.specs[job].each.scaled(member.tasks));
            }
            assert!(TOTAL.fits(&used), "worker {key} runs {used:?}");
        }
    }

    /// Checks that all cells fit at the same time, on workers that are up.
    fn check_bound_cells(&self, sched: &Scheduler) {
        for key in 0..WORKERS {
            let mut bound = Resources::default();
            for gang in sched.guarantees().gangs() {
                let here = gang
                    .cells
                    .iter()
                    .filter(|cell| cell.worker == Some(event::WorkerKey(key)));
                here.for_each(|_cell| bound += gang.shape.each);
            }
            assert!(TOTAL.fits(&bound), "worker {key} is bound for {bound:?}");
            assert!(
                bound.is_zero() || !self.down.contains_key(&key),
                "cells are bound to worker {key}, which is down"
            );
        }
    }

    /// Checks that a shortfall is reported only if no packing exists beside the running guaranteed
    /// gangs.
    fn check_shortfalls(&self, sched: &Scheduler) {
        let gangs = sched.guarantees().gangs();
        if gangs.iter().all(|gang| !gang.has_unbound_cells()) {
            return;
        }
        if gangs
            .iter()
            .any(|gang| gang.is_used() && gang.has_unbound_cells())
        {
            return;
        }
        let mut bins = Vec::new();
        for (key, entry) in sched.fleet().iter() {
            let mut free = if entry.state == fleet::State::Up {
                TOTAL
            } else {
                Resources::default()
            };
            for gang in gangs.iter().filter(|gang| gang.is_used()) {
                let here = gang.cells.iter().filter(|cell| cell.worker == Some(key));
                here.for_each(|_cell| free = free.minus(&gang.shape.each));
            }
            bins.push(bind::Bin {
                region: entry.region.0,
                rack: entry.rack.0,
                free,
                busy: 0,
            });
        }
        bins.sort_by_key(|bin| (bin.region, bin.rack));
        let idle = gangs.iter().filter(|gang| !gang.is_used());
        let demands: Vec<bind::Demand> = idle.map(|gang| bind::demand(&gang.shape, None)).collect();
        assert!(
            !brute_force(&mut bins, &demands),
            "a shortfall is reported, but all unclaimed guarantees fit"
        );
    }

    /// Checks that no job waits whose account has an unclaimed gang that holds the job.
    fn check_claims(&self, sched: &Scheduler) {
        for gang in sched.guarantees().gangs() {
            if gang.is_used() || gang.has_unbound_cells() {
                continue;
            }
            let is_up = |cell: &oriolereel::sched::guarantee::Cell| {
                let worker = cell.worker.and_then(|key| sched.fleet().get(key));
                worker.is_some_and(|worker| worker.state == fleet::State::Up)
            };
            if !gang.cells.iter().all(is_up) {
                continue;
            }
            for (id, spec) in &self.specs {
                let is_waiting = sched.has_job(*id) && sched.placement(*id).is_none();
                let fits = gang.shape.each.count_fitting(&spec.each, spec.tasks) >= spec.tasks;
                assert!(
                    !(is_waiting && fits && spec.account == gang.account),
                    "job {id} waits although a guaranteed gang of {} is unclaimed",
                    gang.account
                );
            }
        }
    }
}

/// Checks that a placement stays within the scope of its job.
fn check_scope(spec: &event::Spec, placement: &event::Placement) {
    let workers: Vec<event::Worker> = placement
        .members
        .iter()
        .map(|member| worker(member.worker.0))
        .collect();
    let is_same = |of: fn(&event::Worker) -> String| {
        workers.windows(2).all(|pair| of(&pair[0]) == of(&pair[1]))
    };
    let is_in_scope = match spec.within {
        Within::Worker => placement.members.len() == 1,
        Within::Rack => is_same(|worker| worker.rack.clone()),
        Within::Region => is_same(|worker| worker.region.clone()),
    };
    assert!(
        is_in_scope,
        "job {} was placed in more than one {:?}",
        spec.id, spec.within
    );
}

/// Tries all placements of all gangs, cell by cell, and reports whether one exists.
fn brute_force(bins: &mut [bind::Bin], demands: &[bind::Demand]) -> bool {
    let Some((demand, rest)) = demands.split_first() else {
        return true;
    };
    let scopes: Vec<Vec<usize>> = match demand.within {
        Within::Worker => (0..bins.len()).map(|index| vec![index]).collect(),
        Within::Rack => group(bins, |bin| (bin.region, bin.rack)),
        Within::Region => group(bins, |bin| (bin.region, 0)),
    };
    scopes
        .iter()
        .any(|scope| place_cells(bins, demand, scope, demand.workers, rest))
}

fn group(bins: &[bind::Bin], key: impl Fn(&bind::Bin) -> (u32, u32)) -> Vec<Vec<usize>> {
    let mut groups: BTreeMap<(u32, u32), Vec<usize>> = BTreeMap::new();
    for (index, bin) in bins.iter().enumerate() {
        groups.entry(key(bin)).or_default().push(index);
    }
    groups.into_values().collect()
}

fn place_cells(
    bins: &mut [bind::Bin],
    demand: &bind::Demand,
    scope: &[usize],
    left: u32,
    rest: &[bind::Demand],
) -> bool {
    if left == 0 {
        return brute_force(bins, rest);
    }
    for (first, index) in scope.iter().enumerate() {
        if bins[*index].free.fits(&demand.each) {
            bins[*index].free -= demand.each;
            let found = place_cells(bins, demand, &scope[first..], left - 1, rest);
            bins[*index].free += demand.each;
            if found {
                return true;
            }
        }
    }
    false
}

/// Runs the steps through the scheduler and checks all invariants after each.
fn run_steps(steps: &[Step], policy: Policy) {
    let mut sched = Scheduler::new(policy);
    let mut oracle = Oracle {
        generation: 1,
        ..Oracle::default()
    };
    let mut router = event::Unlimited {
        regions: vec!["east".to_owned(), "west".to_owned()],
    };
    let setup = (0..WORKERS).map(|key| Event::WorkerUp(worker(key)));
    let setup = setup.chain([Event::Configure(Arc::new(configuration(1, 0)))]);
    assert!(sched.step(0, setup, &mut router).is_empty());
    for step in steps {
        let mut events = oracle.event(step);
        let due = if matches!(step, Step::Wait { .. }) {
            Vec::new()
        } else {
            oracle.due()
        };
        events.extend(due);
        for decision in sched.step(oracle.now, events, &mut router) {
            oracle.apply_decision(decision);
        }
        oracle.check(&sched);
    }
}

proptest! {
    #![proptest_config(crate::support::proptest_config(300))]

    #[test]
    fn invariants_hold_under_mixed_events(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        run_steps(&steps, Policy::Fair);
    }

    #[test]
    fn invariants_hold_under_fifo(steps in prop::collection::vec(step(), 1..60)) {
        run_steps(&steps, Policy::Fifo);
    }
}
