//! Steps of a run: faults of machines, and time that passes.

use proptest::prelude::*;

/// A step; machines are picked by their position.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    RunFor(u64),
    /// Proposes an entry at the leader; it is acknowledged once it is committed.
    Propose,
    /// Stops a machine for a time; messages to it wait.
    Freeze(u8, u64),
    FreezeLeader(u64),
    /// Leaves no room on a machine's disk for a time; its writes wait.
    Fill(u8, u64),
    FillLeader(u64),
    /// Loses all messages from and to a machine for a time.
    Cut(u8, u64),
    /// Loses the messages from a machine, or to it, for a time.
    CutOneWay {
        machine: u8,
        inbound: bool,
        ms: u64,
    },
    /// Kills a process, which starts again on its disk.
    Kill {
        machine: u8,
        kept_unsynced: usize,
        down_ms: u64,
    },
    /// Kills a process and loses its disk, unless more would be lost than the group must bear.
    Wipe(u8),
    /// Cuts the power of all machines.
    PowerOff,
    /// Removes a machine for good and adds another with an empty disk and a new address.
    Replace(u8),
    ReplaceLeader,
    /// Transfers leadership, as at a graceful stop.
    Transfer,
    /// Tells a machine that the process of its leader has ended, whether that is true or not.
    LeaderEnded(u8),
    /// Starts a process with a copy of a machine's disk at a new address.
    Twin(u8),
}

pub fn step() -> impl Strategy<Value = Step> {
    let machine = 0..9_u8;
    let short = || 1_000..20_000_u64;
    prop_oneof![
        6 => (100..6_000_u64).prop_map(Step::RunFor),
        6 => Just(Step::Propose),
        2 => (machine.clone(), short()).prop_map(|(machine, ms)| Step::Freeze(machine, ms)),
        2 => short().prop_map(Step::FreezeLeader),
        2 => (machine.clone(), short()).prop_map(|(machine, ms)| Step::Fill(machine, ms)),
        2 => short().prop_map(Step::FillLeader),
        2 => (machine.clone(), short()).prop_map(|(machine, ms)| Step::Cut(machine, ms)),
        2 => (machine.clone(), any::<bool>(), short())
            .prop_map(|(machine, inbound, ms)| Step::CutOneWay { machine, inbound, ms }),
        2 => (machine.clone(), 0..64_usize, 10..3_000_u64).prop_map(
            |(machine, kept_unsynced, down_ms)| Step::Kill { machine, kept_unsynced, down_ms }
        ),
        2 => machine.clone().prop_map(Step::Wipe),
        1 => Just(Step::PowerOff),
        1 => machine.clone().prop_map(Step::Replace),
        1 => Just(Step::ReplaceLeader),
        1 => Just(Step::Transfer),
        2 => machine.clone().prop_map(Step::LeaderEnded),
        1 => machine.prop_map(Step::Twin),
    ]
}
