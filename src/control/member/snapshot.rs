//! Snapshots: restored from the leader, sent to members that are far behind, and saved.

use crate::clock;
use crate::control::disk;
use crate::control::member::{Member, SNAPSHOT_ENTRIES};
use crate::ledger;
use crate::raft::Index;
use crate::raft::node;
use crate::store;
use crate::telemetry;

/// Size of the log on the disk, in bytes.
#[derive(Debug)]
pub(super) struct LogSize {
    bytes: u64,
    /// Size right after the last snapshot: that of the entries that it does not cover.
    base_bytes: u64,
}

impl LogSize {
    /// Creates the size of a log that was read from the disk.
    pub(super) fn new(bytes: u64) -> Self {
        Self {
            bytes,
            base_bytes: 0,
        }
    }

    pub(super) fn record_write(&mut self, bytes: u64) {
        self.bytes = bytes;
        // A snapshot that was received has replaced the log.
        self.base_bytes = self.base_bytes.min(bytes);
    }

    pub(super) fn record_snapshot(&mut self, bytes: u64) {
        *self = Self {
            bytes,
            base_bytes: bytes,
        };
    }

    /// Returns by how much the log has grown since the last snapshot.
    fn growth_bytes(&self) -> u64 {
        self.bytes - self.base_bytes
    }
}

impl Member {
    pub(super) fn restore(&mut self, index: Index, data: &[u8]) {
        match ledger::Ledger::decode(data) {
            Ok(ledger) => self.ledger = ledger,
            Err(err) => {
                log::error!("cannot decode snapshot {index}, aborting: {err}");
                std::process::abort();
            }
        }
        self.watchers.reset(index);
        log::info!(index = index; "restored a snapshot");
    }

    pub(super) fn send_chunk(&mut self, request: &node::ChunkRequest) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let bytes = node::Timing::default().chunk_bytes;
        let chunk = snapshot.chunk(request.index, request.offset, bytes);
        let effects = self.node.provide_chunk(clock::mono_ms(), request.to, chunk);
        self.send(effects.messages);
    }

    pub(super) fn snapshot_if_due(&mut self) {
        let applied = self.ledger.applied();
        let last = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let is_due = applied >= last + SNAPSHOT_ENTRIES
            || applied > last && self.log_size.growth_bytes() >= self.options.max_log_bytes;
        if self.is_saving_snapshot || !is_due {
            return;
        }
        let (Ok(data), Some(term)) = (self.ledger.encode(), self.node.log().term(applied)) else {
            return;
        };
        let members = self.node.log().members_at(applied);
        let snapshot = store::Snapshot {
            index: applied,
            term,
            members,
            data,
        };
        log::info!(
            index = applied, entries = applied - last, log_bytes = self.node.log().bytes(),
            snapshot_bytes = snapshot.data.len();
            "saving a snapshot"
        );
        telemetry::SNAPSHOTS.inc();
        telemetry::SNAPSHOT_BYTES.set(snapshot.data.len() as i64);
        let after = self.node.log().slice(applied + 1, usize::MAX);
        self.snapshot = Some(snapshot.clone());
        self.is_saving_snapshot = true;
        self.enqueue(disk::Request::Save { snapshot, after });
    }
}
