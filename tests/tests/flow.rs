//! Jobs of several steps under failures, checked by an oracle that sees only what workers see.
//!
//! Messages are late, lost or executed seconds after the sender has timed out. Agents and workers
//! restart, leaders change, and workers keep running behind network partitions.

#[path = "flow/action.rs"]
mod action;
#[path = "flow/agent.rs"]
mod agent;
#[path = "flow/call.rs"]
mod call;
#[path = "flow/calm.rs"]
mod calm;
#[path = "flow/ends.rs"]
mod ends;
#[path = "flow/evacuation.rs"]
mod evacuation;
#[path = "flow/lasting.rs"]
mod lasting;
#[path = "flow/leader.rs"]
mod leader;
#[path = "flow/leaving.rs"]
mod leaving;
#[path = "flow/life.rs"]
mod life;
#[path = "flow/lives.rs"]
mod lives;
#[path = "flow/oracle.rs"]
mod oracle;
#[path = "flow/place.rs"]
mod place;
#[path = "flow/queued.rs"]
mod queued;
#[path = "flow/queues.rs"]
mod queues;
#[path = "flow/refused.rs"]
mod refused;
#[path = "flow/refusing.rs"]
mod refusing;
#[path = "flow/shapes.rs"]
mod shapes;
#[path = "flow/stalls.rs"]
mod stalls;
#[path = "flow/worker.rs"]
mod worker;
#[path = "flow/world.rs"]
mod world;

use oriolereel::flow::bounds::Bounds;
use proptest::prelude::*;

use crate::support;

/// Performs actions in a new world, and returns the violations that the oracle has found.
fn run(workers: usize, seed: u64, actions: &[action::Action]) -> Vec<String> {
    let bounds = Bounds {
        stop_ms: 200,
        ..Bounds::default()
    };
    run_with(bounds, workers, seed, actions)
}

fn run_with(bounds: Bounds, workers: usize, seed: u64, actions: &[action::Action]) -> Vec<String> {
    run_in(world::World::new(workers, seed, bounds), actions)
}

fn run_in(mut world: world::World, actions: &[action::Action]) -> Vec<String> {
    for _step in 0..40 {
        world.step();
    }
    for action in actions {
        world.perform(action);
        if !world.violations.is_empty() {
            return world.violations;
        }
    }
    world.settle();
    world.violations
}

proptest! {
    #![proptest_config(support::proptest_config(60))]

    #[test]
    fn whatever_fails_each_task_runs_once_at_a_time_and_each_job_ends_as_expected(
        seed in any::<u64>(),
        actions in action::actions(),
    ) {
        let violations = run(4, seed, &actions);
        prop_assert!(violations.is_empty(), "{violations:#?}");
    }
}

struct Case {
    name: &'static str,
    bounds: Bounds,
}

/// Deployments that prescribe other times than the usual ones.
fn deployments() -> [Case; 5] {
    let bounds = Bounds::default();
    [
        Case {
            name: "short leases",
            bounds: Bounds {
                max_lease_ms: 1_500,
                ..bounds
            },
        },
        Case {
            name: "slow stops",
            bounds: Bounds {
                stop_ms: 1_500,
                reclaim_ms: 4_000,
                ..bounds
            },
        },
        Case {
            name: "long checkpoints and restores",
            bounds: Bounds {
                checkpoint_ms: 5_000,
                restore_ms: 2_000,
                ..bounds
            },
        },
        Case {
            name: "a tight reclaim",
            bounds: Bounds {
                stop_ms: 100,
                reclaim_ms: 1_000,
                contact_ms: 1_500,
                ..bounds
            },
        },
        Case {
            name: "far racks and gangs that wait for long",
            bounds: Bounds {
                remote_percent: 1_000,
                gang_wait_ms: 8_000,
                ..bounds
            },
        },
    ]
}

proptest! {
    #![proptest_config(support::proptest_config(12))]

    #[test]
    fn the_promises_hold_with_other_bounds(seed in any::<u64>(), actions in action::actions()) {
        for case in deployments() {
            let violations = run_with(case.bounds, 4, seed, &actions);
            prop_assert!(violations.is_empty(), "{}: {violations:#?}", case.name);
        }
    }
}

#[test]
fn results_of_a_worker_declared_lost_while_suspended_do_not_count_when_it_returns() {
    // Single tasks that end as done or failed while their worker is suspended, and are placed again.
    let task = |fails| action::Action::Submit {
        tasks: 3,
        accelerators: 2,
        gang: false,
        second_step: false,
        urgent: false,
        fails,
    };
    let suspended: Vec<action::Action> = [0, 1, 2, 3]
        .into_iter()
        .flat_map(|at| {
            [
                action::Action::SuspendMachine(at),
                action::Action::AdvanceSteps(30),
            ]
        })
        .collect();
    for seed in 1..=200 {
        let mut actions = vec![
            task(false),
            task(true),
            task(false),
            action::Action::AdvanceSteps(40),
        ];
        for _round in 0..3 {
            actions.extend(suspended.iter().cloned());
            actions.extend([task(false), task(true)]);
            actions.push(action::Action::AdvanceSteps(200));
        }
        let violations = run(4, seed, &actions);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}
