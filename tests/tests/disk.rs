//! The disk thread of a control member when the disk rejects writes for a time.

#[path = "disk/outage.rs"]
mod outage;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oriolereel::control::disk::{self, Completion, Request};
use oriolereel::error;
use oriolereel::raft::members::Members;
use oriolereel::raft::message::{Entry, Payload};
use oriolereel::raft::node::Write;
use oriolereel::store::disk::Disk;
use oriolereel::store::{self, Store};

use crate::support::member_addr;

/// An in-memory disk that is shared with the test.
#[derive(Clone, Debug, Default)]
struct SharedDisk(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<String, Vec<u8>>,
    /// Number of upcoming writes to reject.
    writes_to_reject: u32,
    /// Bytes of a rejected append that are stored nevertheless.
    kept_bytes: usize,
}

impl SharedDisk {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0
            .lock()
            .expect("no test panics while holding the lock")
    }

    fn reject_writes(&self, writes: u32, kept_bytes: usize) {
        let mut state = self.state();
        state.writes_to_reject = writes;
        state.kept_bytes = kept_bytes;
    }
}

fn disk_full() -> error::Error {
    error::Error::new(error::Kind::Storage, "no space left on the disk")
}

impl Disk for SharedDisk {
    fn list(&self) -> store::Result<Vec<String>> {
        Ok(self.state().files.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> store::Result<Vec<u8>> {
        self.state().files.get(name).cloned().ok_or_else(disk_full)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> store::Result<()> {
        let mut state = self.state();
        let is_rejected = state.writes_to_reject > 0;
        state.writes_to_reject = state.writes_to_reject.saturating_sub(1);
        let kept = if is_rejected {
            state.kept_bytes.min(bytes.len())
        } else {
            bytes.len()
        };
        let file = state.files.entry(name.to_owned()).or_default();
        file.extend_from_slice(&bytes[..kept]);
        if is_rejected {
            Err(disk_full())
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, _name: &str) -> store::Result<()> {
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> store::Result<()> {
        let mut state = self.state();
        if state.writes_to_reject > 0 {
            state.writes_to_reject -= 1;
            return Err(disk_full());
        }
        state.files.insert(name.to_owned(), bytes.to_vec());
        Ok(())
    }

    fn truncate(&mut self, name: &str, bytes: u64) -> store::Result<()> {
        let mut state = self.state();
        let file = state.files.get_mut(name).ok_or_else(disk_full)?;
        file.truncate(bytes as usize);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> store::Result<()> {
        let mut state = self.state();
        let data = state.files.remove(from).ok_or_else(disk_full)?;
        state.files.insert(to.to_owned(), data);
        Ok(())
    }

    fn size(&self, name: &str) -> store::Result<u64> {
        let state = self.state();
        let file = state.files.get(name).ok_or_else(disk_full)?;
        Ok(file.len() as u64)
    }

    fn remove(&mut self, name: &str) -> store::Result<()> {
        self.state()
            .files
            .remove(name)
            .map(drop)
            .ok_or_else(disk_full)
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
    writes_to_reject: u32,
    kept_bytes: usize,
}

#[test]
fn a_disk_that_rejects_writes_for_a_time_loses_no_entries_and_does_not_stop_the_member() {
    let cases = [
        Case {
            name: "healthy disk",
            writes_to_reject: 0,
            kept_bytes: 0,
        },
        Case {
            name: "full disk, nothing is written",
            writes_to_reject: 2,
            kept_bytes: 0,
        },
        Case {
            name: "full disk, a part of the write is stored",
            writes_to_reject: 2,
            kept_bytes: 11,
        },
    ];
    for case in cases {
        let shared_disk = SharedDisk::default();
        let voters = BTreeMap::from([(1, member_addr(1))]);
        store::init(&mut shared_disk.clone(), 1, Some(Members::initial(voters))).expect(case.name);
        let (store, _recovered) = Store::open(shared_disk.clone(), 1).expect(case.name);
        let (requests, completions) = disk::start(store).expect(case.name);
        shared_disk.reject_writes(case.writes_to_reject, case.kept_bytes);
        for index in 2..5 {
            let request = Request::Write {
                writes: vec![Write::Append(vec![entry(index)])],
                after: Vec::new(),
                last: Some((index, 1)),
            };
            requests.send(request).expect(case.name);
            let outcome = completions.recv().expect(case.name);
            let written =
                matches!(outcome, Completion::Written { last: Some((at, 1)), .. } if at == index);
            assert!(written, "{}: {outcome:?}", case.name);
        }
        let (_store, recovered) = Store::open(shared_disk.clone(), 1).expect(case.name);
        assert_eq!(recovered.log.last_index(), 4, "{}", case.name);
        assert_eq!(recovered.log.get(4), Some(&entry(4)), "{}", case.name);
    }
}

/// Number of requests that no queue between the member and its disk thread may hold back.
const MANY_REQUESTS: u64 = 20_000;

/// Time that the disk thread gets to take one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn a_member_that_sends_requests_before_it_takes_completions_is_not_blocked_for_good() {
    let shared_disk = SharedDisk::default();
    let voters = BTreeMap::from([(1, member_addr(1))]);
    store::init(&mut shared_disk.clone(), 1, Some(Members::initial(voters))).expect("a new disk");
    let (store, _recovered) = Store::open(shared_disk.clone(), 1).expect("a readable disk");
    shared_disk.reject_writes(2, 11);
    let (requests, completions) = disk::start(store).expect("a thread");
    for index in 2..2 + MANY_REQUESTS {
        let request = Request::Write {
            writes: vec![Write::Append(vec![entry(index)])],
            after: Vec::new(),
            last: Some((index, 1)),
        };
        let sent = requests.send_timeout(request, REQUEST_TIMEOUT);
        assert!(
            sent.is_ok(),
            "the disk thread does not take request {index}"
        );
    }
    for index in 2..2 + MANY_REQUESTS {
        let completion = completions.recv_timeout(REQUEST_TIMEOUT);
        let written = matches!(completion, Ok(Completion::Written { last: Some((at, 1)), .. }) if at == index);
        assert!(written, "{index}: {completion:?}");
    }
}
