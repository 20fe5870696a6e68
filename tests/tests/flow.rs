//! Jobs of several steps under faults, against an oracle that sees only what workers see.
//!
//! Messages are late, lost or carried out seconds after they were given up; agents and workers
//! restart, leaders change, workers are cut off and run on.

#[path = "flow/agent.rs"]
mod agent;
#[path = "flow/deed.rs"]
mod deed;
#[path = "flow/oracle.rs"]
mod oracle;
#[path = "flow/worker.rs"]
mod worker;
#[path = "flow/world.rs"]
mod world;

use proptest::prelude::*;

use crate::support;

fn play(workers: usize, seed: u64, deeds: &[deed::Deed]) -> Vec<String> {
    let mut world = world::World::new(workers, seed);
    for _step in 0..40 {
        world.step();
    }
    for deed in deeds {
        world.act(deed);
        if !world.faults.is_empty() {
            return world.faults;
        }
    }
    world.settle();
    world.faults
}

proptest! {
    #![proptest_config(support::proptest(60))]

    #[test]
    fn whatever_fails_each_task_runs_once_at_a_time_and_each_job_ends_as_owed(
        seed in any::<u64>(),
        deeds in deed::deeds(),
    ) {
        let faults = play(4, seed, &deeds);
        prop_assert!(faults.is_empty(), "{faults:#?}");
    }
}

#[test]
fn a_worker_given_up_while_it_was_suspended_comes_back_with_nothing_that_counts() {
    // Single tasks that end as done or failed while their worker is away, and are placed again.
    let task = |poison| deed::Deed::Submit {
        width: 3,
        accelerators: 2,
        gang: false,
        second: false,
        urgent: false,
        poison,
    };
    let suspended: Vec<deed::Deed> = [0, 1, 2, 3]
        .into_iter()
        .flat_map(|at| [deed::Deed::Freeze(at), deed::Deed::Pass(30)])
        .collect();
    for seed in 1..=200 {
        let mut deeds = vec![task(false), task(true), task(false), deed::Deed::Pass(40)];
        for _time in 0..3 {
            deeds.extend(suspended.iter().cloned());
            deeds.extend([task(false), task(true)]);
            deeds.push(deed::Deed::Pass(200));
        }
        let faults = play(4, seed, &deeds);
        assert!(faults.is_empty(), "seed {seed}: {faults:#?}");
    }
}
