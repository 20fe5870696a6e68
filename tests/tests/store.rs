//! The data folder: torn tails, damage, wrong owners.

use std::collections::BTreeMap;

use oriolereel::raft::members::Members;
use oriolereel::raft::message::{Entry, HardState, Payload};
use oriolereel::raft::node::Write;
use oriolereel::store::{self, Store, folder};
use oriolereel::{dev, error};

fn entry(index: u64) -> Write {
    let payload = Payload::Command(vec![7; 100].into());
    Write::Append(vec![Entry {
        index,
        term: 1,
        payload,
    }])
}

/// A folder with a ballot and entries 2 to 5, each in a batch of its own.
fn filled(path: &std::path::Path) {
    let voters: BTreeMap<u64, _> = [(1, dev::loopback(1))].into();
    let mut disk = folder::Folder::open(path).expect("a folder");
    store::init(&mut disk, 1, Some(Members::initial(voters))).expect("a new folder");
    let (mut store, _found) = Store::open(disk, 1).expect("a readable folder");
    store
        .write(&[Write::HardState(HardState {
            term: 1,
            vote: Some(1),
        })])
        .expect("written");
    for index in 2..=5 {
        store.write(&[entry(index)]).expect("written");
    }
}

fn open(path: &std::path::Path, id: u64) -> error::Result<store::Recovered> {
    let disk = folder::Folder::open(path)?;
    Store::open(disk, id).map(|(_store, found)| found)
}

#[test]
fn folders_recover_or_stop_with_a_clear_error() {
    struct Case {
        name: &'static str,
        /// Changes the segment's bytes.
        damage: fn(&mut Vec<u8>),
        id: u64,
        /// Last index found, or words of the error.
        outcome: Result<u64, &'static [&'static str]>,
    }
    let cases = [
        Case {
            name: "whole",
            damage: |_data| {},
            id: 1,
            outcome: Ok(5),
        },
        Case {
            name: "torn tail",
            damage: |data| data.truncate(data.len() - 30),
            id: 1,
            outcome: Ok(4),
        },
        Case {
            name: "flipped bit in the last batch",
            damage: |data| {
                let at = data.len() - 10;
                data[at] ^= 1;
            },
            id: 1,
            outcome: Ok(4),
        },
        Case {
            name: "flipped bit in the middle",
            damage: |data| {
                let at = data.len() / 2;
                data[at] ^= 1;
            },
            id: 1,
            outcome: Err(&[
                "segment-000000000001.log",
                "damaged record at byte",
                "repair.md",
            ]),
        },
        Case {
            name: "another member's",
            damage: |_data| {},
            id: 2,
            outcome: Err(&["identity.json", "belongs to member 1, not 2"]),
        },
    ];
    for case in cases {
        let dir = tempfile::tempdir().expect("a folder");
        filled(dir.path());
        let segment = dir.path().join("segment-000000000001.log");
        let mut data = std::fs::read(&segment).expect("a segment");
        (case.damage)(&mut data);
        std::fs::write(&segment, data).expect("written");
        match (open(dir.path(), case.id), case.outcome) {
            (Ok(found), Ok(last)) => {
                assert_eq!(found.log.last_index(), last, "{}", case.name);
                assert_eq!(found.hard_state.vote, Some(1), "{}", case.name);
            }
            (Err(err), Err(words)) => {
                for word in words {
                    assert!(err.detail.contains(word), "{}: {}", case.name, err.detail);
                }
            }
            (found, _expected) => panic!("{}: {found:?}", case.name),
        }
    }
}

#[test]
fn an_empty_folder_is_refused_and_an_owned_one_is_never_prepared_again() {
    let dir = tempfile::tempdir().expect("a folder");
    let err = open(dir.path(), 1).expect_err("nobody owns it");
    assert!(err.detail.contains("oriolereel init"), "{}", err.detail);
    filled(dir.path());
    let mut disk = folder::Folder::open(dir.path()).expect("a folder");
    let err = store::init(&mut disk, 1, None).expect_err("it has an owner");
    assert!(err.detail.contains("already belongs"), "{}", err.detail);
}

#[test]
fn a_snapshot_replaces_the_segments_that_it_covers() {
    let dir = tempfile::tempdir().expect("a folder");
    filled(dir.path());
    let disk = folder::Folder::open(dir.path()).expect("a folder");
    let (mut store, found) = Store::open(disk, 1).expect("a readable folder");
    let members = found.log.members_at(5);
    let data = bytes::Bytes::from_static(b"state");
    let snapshot = store::Snapshot {
        index: 4,
        term: 1,
        members,
        data,
    };
    store
        .save_snapshot(snapshot, found.log.slice(5, usize::MAX))
        .expect("saved");
    store.write(&[entry(6)]).expect("written");
    drop(store);
    let found = open(dir.path(), 1).expect("a readable folder");
    assert_eq!((found.log.base_index(), found.log.last_index()), (4, 6));
    assert_eq!(found.hard_state.vote, Some(1));
    let names: Vec<String> = std::fs::read_dir(dir.path())
        .expect("a folder")
        .map(|entry| {
            entry
                .expect("an entry")
                .file_name()
                .to_string_lossy()
                .into_owned()
        })
        .collect();
    assert!(
        !names.contains(&"segment-000000000001.log".to_owned()),
        "{names:?}"
    );
}
