//! The disk thread of a control member on a disk that refuses writes for a time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use crossbeam::channel;
use oriolereel::control::disk::{self, Completion, Request};
use oriolereel::error;
use oriolereel::raft::members::Members;
use oriolereel::raft::message::{Entry, Payload};
use oriolereel::raft::node::Write;
use oriolereel::store::disk::Disk;
use oriolereel::store::{self, Store};

use crate::support::member_addr;

/// A disk in memory that is shared with the test.
#[derive(Clone, Debug, Default)]
struct Shared(Arc<Mutex<Content>>);

#[derive(Debug, Default)]
struct Content {
    files: BTreeMap<String, Vec<u8>>,
    /// Writes that are refused from now on, and how much of each is written all the same.
    refused: u32,
    kept_bytes: usize,
}

impl Shared {
    fn content(&self) -> std::sync::MutexGuard<'_, Content> {
        self.0.lock().expect("no test panics while it holds this")
    }

    fn refuse(&self, writes: u32, kept_bytes: usize) {
        let mut content = self.content();
        content.refused = writes;
        content.kept_bytes = kept_bytes;
    }
}

fn full() -> error::Error {
    error::Error::new(error::Kind::Storage, "no space is left")
}

impl Disk for Shared {
    fn list(&self) -> store::Result<Vec<String>> {
        Ok(self.content().files.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> store::Result<Vec<u8>> {
        self.content().files.get(name).cloned().ok_or_else(full)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> store::Result<()> {
        let mut content = self.content();
        let refuse = content.refused > 0;
        content.refused = content.refused.saturating_sub(1);
        let kept = if refuse {
            content.kept_bytes.min(bytes.len())
        } else {
            bytes.len()
        };
        let file = content.files.entry(name.to_owned()).or_default();
        file.extend_from_slice(&bytes[..kept]);
        if refuse { Err(full()) } else { Ok(()) }
    }

    fn sync(&mut self, _name: &str) -> store::Result<()> {
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> store::Result<()> {
        let mut content = self.content();
        if content.refused > 0 {
            content.refused -= 1;
            return Err(full());
        }
        content.files.insert(name.to_owned(), bytes.to_vec());
        Ok(())
    }

    fn truncate(&mut self, name: &str, bytes: u64) -> store::Result<()> {
        let mut content = self.content();
        let file = content.files.get_mut(name).ok_or_else(full)?;
        file.truncate(bytes as usize);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> store::Result<()> {
        self.content().files.remove(name).map(drop).ok_or_else(full)
    }

    fn display_path(&self, name: &str) -> String {
        name.to_owned()
    }
}

fn entry(index: u64) -> Entry {
    Entry {
        index,
        term: 1,
        payload: Payload::Command(bytes::Bytes::from(format!("command {index}"))),
    }
}

struct Case {
    name: &'static str,
    refused: u32,
    kept_bytes: usize,
}

#[test]
fn a_disk_that_refuses_writes_for_a_time_loses_nothing_and_ends_nobody() {
    let cases = [
        Case {
            name: "a sound disk",
            refused: 0,
            kept_bytes: 0,
        },
        Case {
            name: "full, nothing is written",
            refused: 2,
            kept_bytes: 0,
        },
        Case {
            name: "full amid a write",
            refused: 2,
            kept_bytes: 11,
        },
    ];
    for case in cases {
        let shared = Shared::default();
        let voters = BTreeMap::from([(1, member_addr(1))]);
        store::init(&mut shared.clone(), 1, Some(Members::initial(voters))).expect(case.name);
        let (opened, _recovered) = Store::open(shared.clone(), 1).expect(case.name);
        let (done_in, done) = channel::bounded(16);
        let jobs = disk::start(opened, done_in).expect(case.name);
        shared.refuse(case.refused, case.kept_bytes);
        for index in 2..5 {
            let job = Request::Write {
                writes: vec![Write::Append(vec![entry(index)])],
                after: Vec::new(),
                last: Some((index, 1)),
            };
            jobs.send(job).expect(case.name);
            let outcome = done.recv().expect(case.name);
            let written =
                matches!(outcome, Completion::Written { last: Some((at, 1)), .. } if at == index);
            assert!(written, "{}: {outcome:?}", case.name);
        }
        let (_store, recovered) = Store::open(shared.clone(), 1).expect(case.name);
        assert_eq!(recovered.log.last_index(), 4, "{}", case.name);
        assert_eq!(recovered.log.get(4), Some(&entry(4)), "{}", case.name);
    }
}
