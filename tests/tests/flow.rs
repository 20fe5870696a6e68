//! Jobs of several steps under faults, against an oracle that sees only what workers see.
//!
//! Messages are late, lost or carried out seconds after they were given up; agents and workers
//! restart, leaders change, workers are cut off and run on.

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
