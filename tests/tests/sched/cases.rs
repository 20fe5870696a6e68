//! Sequences of events that once violated an invariant of the scheduling core.

use super::*;

fn submit(account: u8, tasks: u32, accelerators: u32, within: u8, urgent: bool) -> Step {
    Step::Submit {
        account,
        tasks,
        accelerators,
        within,
        urgent,
        repeatable: false,
    }
}

#[test]
fn sequences_that_once_failed() {
    struct Case {
        name: &'static str,
        steps: Vec<Step>,
    }
    let cases = [Case {
        name: "claim next to cells that move because a worker goes down",
        steps: vec![
            Step::Down { worker: 1 },
            submit(2, 1, 3, 0, false),
            submit(1, 1, 0, 0, false),
            submit(0, 1, 0, 0, false),
            Step::End {
                pick: 332_770_445_822_057_962,
                outcome: 0,
            },
            submit(0, 1, 0, 0, false),
            submit(0, 1, 2, 0, false),
            submit(1, 2, 3, 1, false),
            submit(0, 3, 2, 0, false),
            Step::Down { worker: 2 },
            submit(0, 2, 1, 0, true),
            submit(1, 1, 3, 0, false),
            Step::Configure { variant: 20 },
            Step::Submit {
                account: 2,
                tasks: 1,
                accelerators: 1,
                within: 0,
                urgent: false,
                repeatable: true,
            },
            Step::Down { worker: 0 },
        ],
    }];
    for case in cases {
        println!("{}", case.name);
        run_steps(&case.steps, Policy::Fair);
    }
}
