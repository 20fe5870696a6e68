//! The store on a disk that is full for a time, from each operation on.

use std::collections::BTreeMap;

use bytes::Bytes;
use oriolereel::raft::members::Members;
use oriolereel::raft::message::{Entry, HardState, Payload};
use oriolereel::raft::node::Write;
use oriolereel::raft::{Index, Term};
use oriolereel::store::{self, Recovered, Snapshot, Store};

use crate::raft::fake::Disk;
use crate::support::member_addr;

/// A request to the store that is acknowledged once it is durable.
enum Step {
    Write(Vec<Write>),
    Save(Snapshot, Vec<Entry>),
}

impl Step {
    /// Makes one attempt.
    fn attempt(&self, store: &mut Store<Disk>) -> store::Result<()> {
        match self {
            Self::Write(writes) => store.write(writes),
            Self::Save(snapshot, after) => store.save_snapshot(snapshot.clone(), after.clone()),
        }
    }
}

/// What the disk must hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Content {
    term: Term,
    snapshot: Index,
    /// Terms of the entries after the snapshot.
    log: BTreeMap<Index, Term>,
}

impl Content {
    fn of(recovered: &Recovered) -> Self {
        let snapshot = recovered.snapshot.as_ref();
        let base = snapshot.map_or(0, |snapshot| snapshot.index);
        let log = (base + 1..=recovered.log.last_index())
            .filter_map(|index| Some((index, recovered.log.term(index)?)));
        Self {
            term: recovered.hard_state.term,
            snapshot: base,
            log: log.collect(),
        }
    }

    fn after(&self, step: &Step) -> Self {
        let mut next = self.clone();
        let writes = match step {
            Step::Write(writes) => writes.as_slice(),
            Step::Save(snapshot, _after) => {
                next.snapshot = snapshot.index;
                next.log.retain(|index, _term| *index > snapshot.index);
                &[]
            }
        };
        for write in writes {
            match write {
                Write::HardState(hard_state) => next.term = hard_state.term,
                Write::Truncate(first) => next.log.retain(|index, _term| index < first),
                Write::Append(entries) => next
                    .log
                    .extend(entries.iter().map(|entry| (entry.index, entry.term))),
                Write::Snapshot { index, .. } => {
                    next.snapshot = *index;
                    next.log.clear();
                }
            }
        }
        next
    }
}

fn entry(index: Index, term: Term) -> Entry {
    let payload = Payload::Command(Bytes::from(vec![7; 40]));
    Entry {
        index,
        term,
        payload,
    }
}

fn members() -> Members {
    Members::initial([(1, member_addr(1))].into())
}

fn vote(term: Term) -> Write {
    let vote = Some(1);
    Write::HardState(HardState { term, vote })
}

fn save(index: Index, term: Term, after: Vec<Entry>) -> Step {
    let snapshot = Snapshot {
        index,
        term,
        members: members(),
        data: Bytes::from_static(b"state"),
    };
    Step::Save(snapshot, after)
}

fn steps() -> Vec<Step> {
    let received = Write::Snapshot {
        index: 9,
        term: 3,
        members: members(),
        data: Bytes::from_static(b"received"),
    };
    vec![
        Step::Write(vec![vote(1), Write::Append(vec![entry(2, 1), entry(3, 1)])]),
        Step::Write(vec![Write::Append(vec![entry(4, 1)])]),
        Step::Write(vec![
            vote(2),
            Write::Truncate(4),
            Write::Append(vec![entry(4, 2), entry(5, 2)]),
        ]),
        save(3, 1, vec![entry(4, 2), entry(5, 2)]),
        Step::Write(vec![Write::Append(vec![entry(6, 2)])]),
        Step::Write(vec![received]),
        Step::Write(vec![vote(4), Write::Append(vec![entry(10, 4)])]),
        save(10, 4, Vec::new()),
        Step::Write(vec![Write::Append(vec![entry(11, 4)])]),
    ]
}

/// Returns what a copy of the disk holds after a loss of power.
fn content_after_crash(store: &mut Store<Disk>, kept_unsynced: usize) -> store::Result<Content> {
    let mut disk = store.disk_mut().clone();
    disk.crash(kept_unsynced);
    let (_store, recovered) = Store::open(disk, 1)?;
    Ok(Content::of(&recovered))
}

/// Carries out all steps as the disk thread does. Returns the number of operations.
fn run(name: &str, full: std::ops::Range<u32>, kept_bytes: usize) -> u32 {
    let mut disk = Disk::default();
    store::init(&mut disk, 1, Some(members())).expect("an empty disk");
    let (mut store, recovered) = Store::open(disk, 1).expect("a readable disk");
    let disk = store.disk_mut();
    disk.operations = 0;
    disk.kept_bytes = kept_bytes;
    disk.full = full;
    let mut content = Content::of(&recovered);
    for step in steps() {
        let next = content.after(&step);
        let check = |store: &mut Store<Disk>, is_acknowledged: bool| {
            for kept_unsynced in [0, 25, 70] {
                let found = content_after_crash(store, kept_unsynced);
                let found = found.unwrap_or_else(|err| panic!("{name}: {err}"));
                let is_expected = found == next || !is_acknowledged && found == content;
                assert!(is_expected, "{name}: {found:?} instead of {next:?}");
            }
        };
        while step.attempt(&mut store).is_err() {
            check(&mut store, false);
            while store.discard_partial_write().is_err() {
                check(&mut store, false);
            }
        }
        check(&mut store, true);
        content = next;
    }
    store.disk_mut().operations
}

#[test]
fn a_store_continues_whichever_operation_finds_the_disk_full_first() {
    let operations = run("healthy disk", 0..0, 0);
    for from in 0..operations {
        for length in [1, 2, 3, 5, 9] {
            for kept_bytes in [0, 1, 25, 70, usize::MAX] {
                let name =
                    format!("full from operation {from} for {length}, keeps {kept_bytes} bytes");
                run(&name, from..from + length, kept_bytes);
            }
        }
    }
}
