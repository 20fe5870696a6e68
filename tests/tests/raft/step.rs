//! What befalls a group.

use proptest::prelude::*;

#[derive(Clone, Debug)]
pub enum Step {
    Pass(u16),
    Tick(u8),
    Deliver { pick: usize, keep: bool },
    Drop(usize),
    Cut { from: u8, to: u8 },
    Isolate { member: u8, inbound_only: bool },
    Heal,
    Crash { member: u8, torn: usize },
    FailWrite { member: u8, after: u8 },
    Restart(u8),
    Propose { member: u8, weight: u8 },
    Snapshot(u8),
    Replace(u8),
    Transfer(u8),
}

pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (20..900_u16).prop_map(Step::Pass),
        3 => (1..200_u8).prop_map(Step::Tick),
        6 => (any::<usize>(), any::<bool>()).prop_map(|(pick, keep)| Step::Deliver { pick, keep }),
        2 => any::<usize>().prop_map(Step::Drop),
        1 => (0..5_u8, 0..5_u8).prop_map(|(from, to)| Step::Cut { from, to }),
        1 => (0..5_u8, any::<bool>())
            .prop_map(|(member, inbound_only)| Step::Isolate { member, inbound_only }),
        1 => Just(Step::Heal),
        2 => (0..5_u8, any::<usize>()).prop_map(|(member, torn)| Step::Crash { member, torn }),
        1 => (0..5_u8, 0..6_u8).prop_map(|(member, after)| Step::FailWrite { member, after }),
        3 => (0..5_u8).prop_map(Step::Restart),
        8 => (0..5_u8, 0..90_u8).prop_map(|(member, weight)| Step::Propose { member, weight }),
        1 => (0..5_u8).prop_map(Step::Snapshot),
        1 => (0..5_u8).prop_map(Step::Replace),
        1 => (0..5_u8).prop_map(Step::Transfer),
    ]
}
