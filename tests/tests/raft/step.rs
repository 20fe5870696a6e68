//! Steps of a simulated run: passing time, proposals and faults.

use proptest::prelude::*;

#[derive(Clone, Debug)]
pub enum Step {
    /// Advances the time by this many milliseconds, delivering messages.
    RunFor(u16),
    /// Advances the time by this many milliseconds without delivering messages.
    Tick(u8),
    /// Delivers one message in flight; with `keep`, a copy of it stays in flight.
    Deliver {
        pick: usize,
        keep: bool,
    },
    /// Loses one message in flight.
    Drop(usize),
    /// Blocks messages in one direction.
    Block {
        from: u8,
        to: u8,
    },
    Isolate {
        member: u8,
        inbound_only: bool,
    },
    Heal,
    /// Crashes a member; a part of its unsynced bytes may survive.
    Crash {
        member: u8,
        kept_unsynced: usize,
    },
    /// Restarts a member and makes its disk fail after a number of operations.
    FailWrite {
        member: u8,
        after: u8,
    },
    Restart(u8),
    Propose {
        member: u8,
        weight: u8,
    },
    Snapshot(u8),
    /// Replaces a member by a new one, as after the loss of its disk.
    Replace(u8),
    Transfer(u8),
    /// Tells a member that the process of its leader has ended, whether that is true or not.
    LeaderEnded(u8),
}

pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (20..900_u16).prop_map(Step::RunFor),
        3 => (1..200_u8).prop_map(Step::Tick),
        6 => (any::<usize>(), any::<bool>()).prop_map(|(pick, keep)| Step::Deliver { pick, keep }),
        2 => any::<usize>().prop_map(Step::Drop),
        1 => (0..5_u8, 0..5_u8).prop_map(|(from, to)| Step::Block { from, to }),
        1 => (0..5_u8, any::<bool>())
            .prop_map(|(member, inbound_only)| Step::Isolate { member, inbound_only }),
        1 => Just(Step::Heal),
        2 => (0..5_u8, any::<usize>())
            .prop_map(|(member, kept_unsynced)| Step::Crash { member, kept_unsynced }),
        1 => (0..5_u8, 0..6_u8).prop_map(|(member, after)| Step::FailWrite { member, after }),
        3 => (0..5_u8).prop_map(Step::Restart),
        8 => (0..5_u8, 0..90_u8).prop_map(|(member, weight)| Step::Propose { member, weight }),
        1 => (0..5_u8).prop_map(Step::Snapshot),
        1 => (0..5_u8).prop_map(Step::Replace),
        1 => (0..5_u8).prop_map(Step::Transfer),
        2 => (0..5_u8).prop_map(Step::LeaderEnded),
    ]
}
