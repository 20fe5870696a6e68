//! Durable state of a control member: a write-ahead log in segments, and snapshots, in one data
//! folder.
//!
//! A group of writes is stored as one checksummed batch with one sync. A batch is written only
//! after the previous one was synced. So an invalid batch that is followed by a valid one was
//! damaged after its sync, which is an error. An invalid batch that nothing valid follows is an
//! incomplete write at the end of the log and is truncated.

pub mod batch;
pub mod disk;
pub mod folder;
pub mod identity;

pub use identity::{Identity, init};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::error;
use crate::raft::log;
use crate::raft::members;
use crate::raft::message;
use crate::raft::node;
use crate::raft::{Id, Index, Term};

/// Result of reading or writing durable state.
pub type Result<T> = error::Result<T>;

/// Size of a segment at which the next write starts a new one.
const SEGMENT_BYTES: u64 = 16 << 20;

const SEGMENT_PREFIX: &str = "segment-";
const SEGMENT_SUFFIX: &str = ".log";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const SNAPSHOT_SUFFIX: &str = ".bin";

/// A record in a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    HardState(message::HardState),
    /// Removes the entry at the index and all entries after it; index zero resets the log to the
    /// position of the snapshot.
    Truncate(Index),
    Append(Vec<message::Entry>),
}

/// Header of a snapshot file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SnapshotHeader {
    index: Index,
    term: Term,
    members: members::Members,
}

/// A snapshot of the replicated state, with its position in the log.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    pub index: Index,
    pub term: Term,
    pub members: members::Members,
    pub data: Bytes,
}

impl Snapshot {
    /// Returns the part of at most `bytes` at an offset. Starts at offset zero if the request is
    /// for another snapshot.
    pub fn chunk(&self, index: Index, offset: u64, bytes: usize) -> message::Chunk {
        let offset = if self.index == index { offset } else { 0 };
        let total = self.data.len();
        let from = usize::try_from(offset).unwrap_or(total).min(total);
        let to = (from + bytes).min(total);
        message::Chunk {
            index: self.index,
            term: self.term,
            members: self.members.clone(),
            offset: from as u64,
            total_bytes: total as u64,
            data: self.data.slice(from..to),
        }
    }
}

/// State read from the data folder when it is opened.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    pub hard_state: message::HardState,
    pub snapshot: Option<Snapshot>,
    pub log: log::Log,
    /// Size of the log on the disk, in bytes.
    pub log_bytes: u64,
    /// Size of the incomplete batch that was truncated from the end of the log, in bytes.
    pub truncated_bytes: u64,
}

/// Size of the files in a data folder, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    pub segments: u64,
    pub snapshots: u64,
    /// Everything else: the identity, unfinished snapshots, and what is kept of a replaced member.
    pub other: u64,
}

/// The data folder of one member, open for writing.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    /// Number of the segment being written.
    segment: u64,
    segment_bytes: u64,
    /// Size of all segments.
    log_bytes: u64,
    /// Sequence number of the last batch.
    seq: u64,
    hard_state: message::HardState,
}

impl<D: disk::Disk> Store<D> {
    /// Opens the folder of a member, removes what a crash has left unfinished, and reads its state.
    ///
    /// # Errors
    /// `Storage` if the folder is not initialized, belongs to another member or is damaged; the
    /// detail names the file and, for damage, the offset.
    pub fn open(mut disk: D, id: Id) -> Result<(Self, Recovered)> {
        identity::check(&mut disk, id)?;
        remove_unfinished(&mut disk)?;
        let snapshot = read_snapshot(&mut disk)?;
        let mut replay = Replay::new(snapshot.as_ref());
        let segments = list_segments(&disk)?;
        let mut truncated_bytes = 0;
        for (at, segment) in segments.iter().enumerate() {
            let is_last = at + 1 == segments.len();
            truncated_bytes += replay.replay_segment(&mut disk, *segment, is_last)?;
        }
        let segment = segments.last().copied().unwrap_or(1);
        let recovered = Recovered {
            hard_state: replay.hard_state,
            snapshot,
            log: replay.log,
            log_bytes: replay.log_bytes,
            truncated_bytes,
        };
        let segment_bytes = replay.segment_bytes;
        let log_bytes = recovered.log_bytes;
        let seq = replay.seq;
        let hard_state = recovered.hard_state;
        let store = Self {
            disk,
            segment,
            segment_bytes,
            log_bytes,
            seq,
            hard_state,
        };
        Ok((store, recovered))
    }

    /// Returns the size of the log on the disk, in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Returns the size of the files in the folder.
    ///
    /// # Errors
    /// `Storage` if the folder cannot be read.
    pub fn usage(&self) -> Result<Usage> {
        let mut usage = Usage::default();
        for name in self.disk.list()? {
            let bytes = self.disk.size(&name)?;
            if number_of(&name, SEGMENT_PREFIX, SEGMENT_SUFFIX).is_some() {
                usage.segments += bytes;
            } else if number_of(&name, SNAPSHOT_PREFIX, SNAPSHOT_SUFFIX).is_some() {
                usage.snapshots += bytes;
            } else {
                usage.other += bytes;
            }
        }
        Ok(usage)
    }

    /// Makes a group of writes durable with one sync.
    ///
    /// # Errors
    /// `Storage` if the disk fails; `discard_partial_write` must succeed before the next write.
    pub fn write(&mut self, writes: &[node::Write]) -> Result<()> {
        let mut records = Vec::with_capacity(writes.len());
        for write in writes {
            match write {
                node::Write::HardState(hard_state) => {
                    self.hard_state = *hard_state;
                    records.push(Record::HardState(*hard_state));
                }
                node::Write::Truncate(index) => records.push(Record::Truncate(*index)),
                node::Write::Append(entries) => records.push(Record::Append(entries.clone())),
                node::Write::Snapshot {
                    index,
                    term,
                    members,
                    data,
                } => {
                    self.flush(&mut records)?;
                    let snapshot = Snapshot {
                        index: *index,
                        term: *term,
                        members: members.clone(),
                        data: data.clone(),
                    };
                    self.save_snapshot(snapshot, Vec::new())?;
                }
            }
        }
        self.flush(&mut records)
    }

    fn flush(&mut self, records: &mut Vec<Record>) -> Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        if self.segment_bytes >= SEGMENT_BYTES {
            self.segment += 1;
            self.segment_bytes = 0;
        }
        let bytes = batch::encode(self.seq + 1, records)?;
        let name = segment_name(self.segment);
        self.disk.append(&name, &bytes)?;
        self.disk.sync(&name)?;
        self.seq += 1;
        self.segment_bytes += bytes.len() as u64;
        self.log_bytes += bytes.len() as u64;
        records.clear();
        Ok(())
    }

    /// Truncates what a failed write left in the segment, so that the write can be retried.
    ///
    /// # Errors
    /// `Storage` if the disk still fails.
    pub fn discard_partial_write(&mut self) -> Result<()> {
        let name = segment_name(self.segment);
        if self.disk.list()?.contains(&name) {
            self.disk.truncate(&name, self.segment_bytes)?;
        }
        Ok(())
    }

    /// Saves a snapshot, starts a new segment with the entries after it, and removes the older
    /// segments and snapshots.
    ///
    /// # Errors
    /// `Storage` if the disk fails.
    pub fn save_snapshot(&mut self, snapshot: Snapshot, after: Vec<message::Entry>) -> Result<()> {
        let header = SnapshotHeader {
            index: snapshot.index,
            term: snapshot.term,
            members: snapshot.members.clone(),
        };
        let bytes = batch::encode_snapshot(&header, &snapshot.data)?;
        self.disk.replace(&snapshot_name(snapshot.index), &bytes)?;
        let old_segments = list_segments(&self.disk)?;
        let old_snapshots = list_snapshots(&self.disk)?;
        self.segment += 1;
        self.segment_bytes = 0;
        // Entries at the end of the old segments may conflict with a received snapshot. If a crash
        // leaves these segments in place, the truncation makes replay discard their entries.
        let mut records = vec![Record::Truncate(0), Record::HardState(self.hard_state)];
        records.push(Record::Append(after));
        self.flush(&mut records)?;
        for index in old_snapshots
            .into_iter()
            .filter(|index| *index < snapshot.index)
        {
            self.disk.remove(&snapshot_name(index))?;
        }
        for segment in old_segments {
            self.disk.remove(&segment_name(segment))?;
        }
        self.log_bytes = self.segment_bytes;
        Ok(())
    }

    /// Returns the underlying disk, for tests that make it fail.
    pub fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }

    /// Returns the disk, for tests that simulate a restart.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// Progress of replaying the segments in order.
struct Replay {
    hard_state: message::HardState,
    log: log::Log,
    /// Index, term and membership of the snapshot, zero and empty without one.
    snapshot_position: (Index, Term, members::Members),
    /// Sequence number of the last valid batch.
    seq: u64,
    /// Valid bytes of the segment that was read last, and of all segments.
    segment_bytes: u64,
    log_bytes: u64,
}

impl Replay {
    fn new(snapshot: Option<&Snapshot>) -> Self {
        let snapshot_position = snapshot.map_or((0, 0, members::Members::default()), |snapshot| {
            (snapshot.index, snapshot.term, snapshot.members.clone())
        });
        let log = log::Log::new(
            snapshot_position.0,
            snapshot_position.1,
            snapshot_position.2.clone(),
            Vec::new(),
        );
        Self {
            hard_state: message::HardState::default(),
            log,
            snapshot_position,
            seq: 0,
            segment_bytes: 0,
            log_bytes: 0,
        }
    }

    /// Replays one segment and returns the number of bytes truncated from its end.
    fn replay_segment<D: disk::Disk>(
        &mut self,
        disk: &mut D,
        segment: u64,
        is_last: bool,
    ) -> Result<u64> {
        let name = segment_name(segment);
        let bytes = disk.read(&name)?;
        let mut offset = 0;
        while offset < bytes.len() {
            match batch::decode(&bytes[offset..]) {
                Some((seq, records, used)) if seq > self.seq => {
                    self.seq = seq;
                    offset += used;
                    records.into_iter().for_each(|record| self.apply(record));
                }
                _ if !is_last || batch::has_later(&bytes[offset..], self.seq + 1) => {
                    return Err(damaged_error(disk, &name, offset));
                }
                _ => {
                    disk.truncate(&name, offset as u64)?;
                    self.finish_segment(offset);
                    return Ok((bytes.len() - offset) as u64);
                }
            }
        }
        self.finish_segment(offset);
        Ok(0)
    }

    fn finish_segment(&mut self, valid_bytes: usize) {
        self.segment_bytes = valid_bytes as u64;
        self.log_bytes += valid_bytes as u64;
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Truncate(0) => {
                let (index, term, members) = self.snapshot_position.clone();
                self.log.reset(index, term, members);
            }
            Record::Truncate(index) => self.log.truncate(index),
            Record::Append(entries) => entries.into_iter().for_each(|entry| self.push(entry)),
        }
    }

    /// Appends an entry that continues the log; skips others, which the snapshot covers.
    fn push(&mut self, entry: message::Entry) {
        if entry.index == self.log.last_index() + 1 && entry.term >= self.log.last_term() {
            self.log.push(entry);
        }
    }
}

fn damaged_error<D: disk::Disk>(disk: &D, name: &str, offset: usize) -> error::Error {
    error::Error::new(
        error::Kind::Storage,
        format!(
            "{}: damaged record at byte {offset}; the disk has lost synced data. Replace this \
             member: see docs/operators/repair.md",
            disk.display_path(name)
        ),
    )
}

fn read_snapshot<D: disk::Disk>(disk: &mut D) -> Result<Option<Snapshot>> {
    let Some(index) = list_snapshots(disk)?.last().copied() else {
        return Ok(None);
    };
    let name = snapshot_name(index);
    let bytes = disk.read(&name)?;
    let Some((header, data)) = batch::decode_snapshot::<SnapshotHeader>(&bytes) else {
        return Err(damaged_error(disk, &name, 0));
    };
    Ok(Some(Snapshot {
        index: header.index,
        term: header.term,
        members: header.members,
        data,
    }))
}

fn remove_unfinished<D: disk::Disk>(disk: &mut D) -> Result<()> {
    for name in disk.list()? {
        if name.ends_with(disk::UNFINISHED_SUFFIX) {
            ::log::info!(file = name; "removing a file that a crash has left unfinished");
            disk.remove(&name)?;
        }
    }
    Ok(())
}

fn list_segments<D: disk::Disk>(disk: &D) -> Result<Vec<u64>> {
    list_numbered(disk, SEGMENT_PREFIX, SEGMENT_SUFFIX)
}

fn list_snapshots<D: disk::Disk>(disk: &D) -> Result<Vec<u64>> {
    list_numbered(disk, SNAPSHOT_PREFIX, SNAPSHOT_SUFFIX)
}

fn list_numbered<D: disk::Disk>(disk: &D, prefix: &str, suffix: &str) -> Result<Vec<u64>> {
    let names = disk.list()?;
    let numbers = names
        .iter()
        .filter_map(|name| number_of(name, prefix, suffix));
    let mut numbers: Vec<u64> = numbers.collect();
    numbers.sort_unstable();
    Ok(numbers)
}

fn number_of(name: &str, prefix: &str, suffix: &str) -> Option<u64> {
    let number = name.strip_prefix(prefix)?.strip_suffix(suffix)?;
    number.parse().ok()
}

fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:012}{SEGMENT_SUFFIX}")
}

fn snapshot_name(index: Index) -> String {
    format!("{SNAPSHOT_PREFIX}{index:016}{SNAPSHOT_SUFFIX}")
}

fn encode_error(err: impl std::fmt::Display) -> error::Error {
    error::Error::new(
        error::Kind::Storage,
        format!("cannot encode stored state: {err}"),
    )
}
