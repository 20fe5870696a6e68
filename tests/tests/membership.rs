//! The control group under faults in virtual time: consensus, store and the decisions on membership
//! together, on machines whose disks, links and clocks fail.

#[path = "membership/check.rs"]
mod check;
#[path = "membership/step.rs"]
mod step;
#[path = "membership/world.rs"]
mod world;

use proptest::prelude::*;

use step::Step;
use world::World;

/// Time after which a calm group has its wanted size again: silence, election, catching up and two
/// changes, several times over for the members that came back together.
const CALM_MS: u64 = 20_000;

fn run(machines: usize, losses: usize, steps: &[Step]) {
    let mut world = World::new(machines, losses);
    world.run_for(CALM_MS);
    world.check_size();
    for step in steps {
        world.apply(step);
    }
    world.heal();
    world.run_for(CALM_MS);
    world.check_size();
    world.check_acknowledged();
    world.check_accepts();
}

/// Disks that are full for some seconds, with short pauses between, beside proposals.
const FULL_IN_TURN: &[Step] = &[
    Step::Propose,
    Step::FillLeader(5_000),
    Step::Propose,
    Step::RunFor(5_200),
    Step::Fill(0, 6_000),
    Step::Propose,
    Step::RunFor(6_200),
    Step::Fill(1, 3_500),
    Step::Propose,
    Step::RunFor(3_700),
    Step::Fill(2, 6_000),
    Step::Propose,
    Step::RunFor(8_000),
    Step::FillLeader(6_000),
    Step::RunFor(3_000),
    Step::Propose,
    Step::RunFor(3_200),
    Step::Fill(1, 4_000),
    Step::Propose,
];

struct Case {
    name: &'static str,
    machines: usize,
    losses: usize,
    steps: &'static [Step],
}

#[test]
fn groups_keep_their_members_and_their_size() {
    let cases = [
        Case {
            name: "twelve machines start at one instant",
            machines: 12,
            losses: 3,
            steps: &[],
        },
        Case {
            name: "the leader freezes for longer than it takes to replace it",
            machines: 6,
            losses: 2,
            steps: &[Step::FreezeLeader(8_000), Step::RunFor(12_000)],
        },
        Case {
            name: "two machines freeze while a third is cut off",
            machines: 6,
            losses: 2,
            steps: &[
                Step::Freeze(0, 7_000),
                Step::Freeze(1, 7_000),
                Step::Cut(2, 5_000),
                Step::RunFor(15_000),
            ],
        },
        Case {
            name: "two disks are lost and the others lose power",
            machines: 6,
            losses: 2,
            steps: &[
                Step::Propose,
                Step::Wipe(0),
                Step::Wipe(1),
                Step::PowerOff,
                Step::RunFor(15_000),
            ],
        },
        Case {
            name: "a machine is replaced by another at a new address",
            machines: 3,
            losses: 1,
            steps: &[Step::Replace(1), Step::RunFor(20_000), Step::Replace(0)],
        },
        Case {
            name: "the leader is replaced as planned",
            machines: 3,
            losses: 1,
            steps: &[Step::Transfer, Step::ReplaceLeader, Step::RunFor(20_000)],
        },
        Case {
            name: "the disks of three machines are full in turn, the leader's first",
            machines: 3,
            losses: 1,
            steps: FULL_IN_TURN,
        },
        Case {
            name: "the disks of voters are full in turn, and a standby replaces them",
            machines: 6,
            losses: 2,
            steps: FULL_IN_TURN,
        },
        Case {
            name: "a machine is killed while it is suspended",
            machines: 7,
            losses: 3,
            steps: &[Step::Replace(0), Step::Freeze(6, 19_800), Step::PowerOff],
        },
        Case {
            name: "a copy of a member's disk is started at another address",
            machines: 5,
            losses: 2,
            steps: &[
                Step::Twin(0),
                Step::FreezeLeader(3_000),
                Step::RunFor(20_000),
            ],
        },
    ];
    for case in cases {
        println!("{}", case.name);
        run(case.machines, case.losses, case.steps);
    }
}

proptest! {
    #![proptest_config(crate::support::proptest_config(12))]

    #[test]
    fn three_machines(steps in prop::collection::vec(step::step(), 1..25)) {
        run(3, 1, &steps);
    }

    #[test]
    fn five_machines(steps in prop::collection::vec(step::step(), 1..25)) {
        run(5, 2, &steps);
    }

    #[test]
    fn six_machines(steps in prop::collection::vec(step::step(), 1..25)) {
        run(6, 2, &steps);
    }

    #[test]
    fn seven_machines(steps in prop::collection::vec(step::step(), 1..20)) {
        run(7, 3, &steps);
    }

    #[test]
    fn nine_machines(steps in prop::collection::vec(step::step(), 1..20)) {
        run(9, 3, &steps);
    }
}
