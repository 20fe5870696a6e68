//! The data folder: incomplete writes, damaged files and folders of other members.

use std::collections::BTreeMap;

use oriolereel::raft::members::Members;
use oriolereel::raft::message::{Entry, HardState, Payload};
use oriolereel::raft::node::Write;
use oriolereel::store::{self, Store, disk, folder};
use oriolereel::{dev, error};

fn entry(index: u64) -> Write {
    let payload = Payload::Command(vec![7; 100].into());
    Write::Append(vec![Entry {
        index,
        term: 1,
        payload,
    }])
}

/// Initializes a folder and writes a hard state and the entries 2 to 5, each in its own batch.
fn fill_folder(path: &std::path::Path) {
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
    Store::open(disk, id).map(|(_store, recovered)| recovered)
}

#[test]
fn folders_recover_or_stop_with_a_clear_error() {
    struct Case {
        name: &'static str,
        /// Damages the bytes of the segment.
        damage: fn(&mut Vec<u8>),
        id: u64,
        /// Last recovered index, or parts of the error message.
        outcome: Result<u64, &'static [&'static str]>,
    }
    let cases = [
        Case {
            name: "undamaged",
            damage: |_data| {},
            id: 1,
            outcome: Ok(5),
        },
        Case {
            name: "incomplete record at the end of the log",
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
            name: "folder of another member",
            damage: |_data| {},
            id: 2,
            outcome: Err(&["identity.json", "belongs to member 1, not 2"]),
        },
    ];
    for case in cases {
        let dir = tempfile::tempdir().expect("a folder");
        fill_folder(dir.path());
        let segment = dir.path().join("segment-000000000001.log");
        let mut data = std::fs::read(&segment).expect("a segment");
        (case.damage)(&mut data);
        std::fs::write(&segment, data).expect("written");
        match (open(dir.path(), case.id), case.outcome) {
            (Ok(recovered), Ok(last)) => {
                assert_eq!(recovered.log.last_index(), last, "{}", case.name);
                assert_eq!(recovered.hard_state.vote, Some(1), "{}", case.name);
            }
            (Err(err), Err(parts)) => {
                for part in parts {
                    assert!(err.detail.contains(part), "{}: {}", case.name, err.detail);
                }
            }
            (recovered, _expected) => panic!("{}: {recovered:?}", case.name),
        }
    }
}

#[test]
fn an_empty_folder_is_rejected_and_an_initialized_one_is_not_initialized_again() {
    let dir = tempfile::tempdir().expect("a folder");
    let err = open(dir.path(), 1).expect_err("the folder is not initialized");
    assert!(err.detail.contains("oriolereel init"), "{}", err.detail);
    fill_folder(dir.path());
    let mut disk = folder::Folder::open(dir.path()).expect("a folder");
    let err = store::init(&mut disk, 1, None).expect_err("the folder is already initialized");
    assert!(err.detail.contains("already belongs"), "{}", err.detail);
}

#[test]
fn a_snapshot_replaces_the_segments_that_it_covers() {
    let dir = tempfile::tempdir().expect("a folder");
    fill_folder(dir.path());
    let disk = folder::Folder::open(dir.path()).expect("a folder");
    let (mut store, recovered) = Store::open(disk, 1).expect("a readable folder");
    let members = recovered.log.members_at(5);
    let data = bytes::Bytes::from_static(b"state");
    let snapshot = store::Snapshot {
        index: 4,
        term: 1,
        members,
        data,
    };
    store
        .save_snapshot(snapshot, recovered.log.slice(5, usize::MAX))
        .expect("saved");
    store.write(&[entry(6)]).expect("written");
    drop(store);
    let recovered = open(dir.path(), 1).expect("a readable folder");
    assert_eq!(
        (recovered.log.base_index(), recovered.log.last_index()),
        (4, 6)
    );
    assert_eq!(recovered.hard_state.vote, Some(1));
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

#[test]
fn the_data_of_a_replaced_member_is_set_aside_whole_or_removed() {
    struct Case {
        name: &'static str,
        /// Files of an earlier replaced member, and whether this one's identity is set aside already,
        /// as after an interruption.
        before: &'static [&'static str],
        is_interrupted: bool,
        max_bytes: u64,
        /// Names of the files that are kept aside.
        kept: &'static [&'static str],
    }
    let both: &'static [&'static str] = &[
        "replaced-identity.json",
        "replaced-segment-000000000001.log",
    ];
    let cases = [
        Case {
            name: "the first",
            before: &[],
            is_interrupted: false,
            max_bytes: u64::MAX,
            kept: both,
        },
        Case {
            name: "an earlier one is removed",
            before: &[
                "replaced-identity.json",
                "replaced-snapshot-0000000000000009.bin",
            ],
            is_interrupted: false,
            max_bytes: u64::MAX,
            kept: both,
        },
        Case {
            name: "an interruption is continued",
            before: &[],
            is_interrupted: true,
            max_bytes: u64::MAX,
            kept: both,
        },
        Case {
            name: "too large for the disk",
            before: &[],
            is_interrupted: false,
            max_bytes: 10,
            kept: &[],
        },
    ];
    for case in cases {
        let dir = tempfile::tempdir().expect("a folder");
        fill_folder(dir.path());
        for name in case.before {
            std::fs::write(dir.path().join(name), b"earlier").expect("written");
        }
        if case.is_interrupted {
            let path = |name| dir.path().join(name);
            std::fs::rename(path("identity.json"), path("replaced-identity.json"))
                .expect("renamed");
        }
        let mut disk = folder::Folder::open(dir.path()).expect("a folder");
        let next = store::Identity::from(900);
        store::identity::renew(&mut disk, next, 5, case.max_bytes).expect(case.name);
        let recovered = open(dir.path(), 900).expect(case.name);
        assert!(recovered.log.is_blank(), "{}", case.name);
        let found = store::identity::identity(&mut disk).expect(case.name);
        assert_eq!(found.and_then(|identity| identity.set_aside_ms), Some(5));
        let names = disk::Disk::list(&disk).expect("a folder");
        let mut aside: Vec<&str> = names
            .iter()
            .map(String::as_str)
            .filter(|name| name.starts_with("replaced-"))
            .collect();
        aside.sort_unstable();
        assert_eq!(aside, case.kept, "{}", case.name);
    }
}

#[test]
fn a_folder_of_an_earlier_version_keeps_its_identity() {
    let dir = tempfile::tempdir().expect("a folder");
    fill_folder(dir.path());
    std::fs::write(dir.path().join("identity.json"), br#"{"id":1,"format":1}"#).expect("written");
    let mut disk = folder::Folder::open(dir.path()).expect("a folder");
    let found = store::identity::identity(&mut disk).expect("readable");
    assert_eq!(
        found.map(|identity| (identity.id, identity.addr)),
        Some((1, None))
    );
    open(dir.path(), 1).expect("a readable folder");
}

// Guards against snapshots that a crash has left unfinished: each stayed on the disk for good, and enough
// of them filled it.
#[test]
fn unfinished_files_are_removed_when_the_folder_is_opened() {
    let folder = tempfile::tempdir().expect("a folder");
    fill_folder(folder.path());
    let unfinished = [
        "snapshot-0000000000000004.bin.new",
        "snapshot-0000000000000009.bin.new",
        "identity.json.new",
    ];
    for name in unfinished {
        std::fs::write(folder.path().join(name), [7; 1_000]).expect("a file");
    }
    let recovered = open(folder.path(), 1).expect("a readable folder");
    assert_eq!(recovered.log.last_index(), 5);
    for name in unfinished {
        assert!(!folder.path().join(name).exists(), "{name} is still there");
    }
}
