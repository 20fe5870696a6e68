//! Durable state of a control member: log segments and snapshots in one data folder.
//!
//! A group of writes becomes one checksummed batch and one sync. A batch is only started after the
//! one before it was synced, so a bad batch with a valid later one behind it was damaged after its
//! sync, and stops the member; a bad batch with nothing valid behind it is a torn tail, and is cut.

pub mod batch;
pub mod disk;
pub mod folder;

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

/// Size from which a new segment is started.
const SEGMENT_BYTES: u64 = 16 << 20;

/// Name of the file that tells whose folder it is.
const IDENTITY: &str = "identity.json";

/// Version of the formats in the folder.
const FORMAT: u32 = 1;

/// Owner of a data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    pub id: Id,
    pub format: u32,
}

/// A record inside a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    HardState(message::HardState),
    Truncate(Index),
    Append(Vec<message::Entry>),
}

/// Head of a snapshot file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    index: Index,
    term: Term,
    members: members::Members,
}

/// A snapshot as read from disk or received from the leader.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    pub index: Index,
    pub term: Term,
    pub members: members::Members,
    pub data: Bytes,
}

impl Snapshot {
    /// Reads a part; starts over when another snapshot was asked for.
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

/// What a member finds on its disk.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    pub hard_state: message::HardState,
    pub snapshot: Option<Snapshot>,
    pub log: log::Log,
    /// Bytes cut off a torn tail.
    pub truncated_bytes: u64,
}

/// The data folder of one member.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    segment: u64,
    segment_bytes: u64,
    seq: u64,
    hard_state: message::HardState,
}

/// Prepares an empty folder for the first member group, or for a member that joins later.
///
/// # Errors
/// `Storage` when the folder already has an owner or cannot be written.
pub fn init<D: disk::Disk>(disk: &mut D, id: Id, voters: Option<members::Members>) -> Result<()> {
    if disk.list()?.iter().any(|name| name == IDENTITY) {
        return Err(error::Error::new(
            error::Kind::Storage,
            format!(
                "{}: the folder already belongs to a member",
                disk.name(IDENTITY)
            ),
        ));
    }
    // What an interrupted preparation or removal has left.
    clear(disk)?;
    let identity = Identity { id, format: FORMAT };
    if let Some(members) = voters {
        let payload = message::Payload::Members(members);
        let first = message::Entry {
            index: 1,
            term: 0,
            payload,
        };
        let records = [Record::Append(vec![first])];
        disk.append(&segment_name(1), &batch::encode(1, &records)?)?;
        disk.sync(&segment_name(1))?;
    }
    let text = serde_json::to_vec(&identity).map_err(encode_error)?;
    disk.replace(IDENTITY, &text)
}

/// Reads whose folder it is; nothing for one that was never prepared.
///
/// # Errors
/// `Storage` when the folder cannot be read.
pub fn identity<D: disk::Disk>(disk: &mut D) -> Result<Option<Id>> {
    if !disk.list()?.iter().any(|name| name == IDENTITY) {
        return Ok(None);
    }
    read_identity(disk).map(|identity| Some(identity.id))
}

/// Empties a folder whose member is not to come back under its identity.
///
/// # Errors
/// `Storage` when the disk fails.
pub fn wipe<D: disk::Disk>(disk: &mut D) -> Result<()> {
    // Without the identity the rest counts for nothing, so it goes first.
    disk.remove(IDENTITY)?;
    clear(disk)
}

fn clear<D: disk::Disk>(disk: &mut D) -> Result<()> {
    for name in disk.list()? {
        disk.remove(&name)?;
    }
    Ok(())
}

impl<D: disk::Disk> Store<D> {
    /// Reads the folder of a member.
    ///
    /// # Errors
    /// `Storage` when the folder was never initialised, belongs to another member or is damaged;
    /// names file and offset.
    pub fn open(mut disk: D, id: Id) -> Result<(Self, Recovered)> {
        check_identity(&mut disk, id)?;
        let snapshot = read_snapshot(&mut disk)?;
        let mut replay = Replay::new(snapshot.as_ref());
        let segments = segments(&disk)?;
        let mut truncated_bytes = 0;
        for (at, segment) in segments.iter().enumerate() {
            let last = at + 1 == segments.len();
            truncated_bytes += replay.segment(&mut disk, *segment, last)?;
        }
        let segment = segments.last().copied().unwrap_or(1);
        let recovered = Recovered {
            hard_state: replay.hard_state,
            snapshot,
            log: replay.log,
            truncated_bytes,
        };
        let segment_bytes = replay.last_bytes;
        let seq = replay.seq;
        let hard_state = recovered.hard_state;
        let store = Self {
            disk,
            segment,
            segment_bytes,
            seq,
            hard_state,
        };
        Ok((store, recovered))
    }

    /// Makes a group of writes durable with one sync.
    ///
    /// # Errors
    /// `Storage` when the disk fails; nothing more may be written before `mend`.
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
        records.clear();
        Ok(())
    }

    /// Cuts off what a failed write has left, so that it can be made again.
    ///
    /// # Errors
    /// `Storage` while the disk still fails.
    pub fn discard_partial_write(&mut self) -> Result<()> {
        let name = segment_name(self.segment);
        if self.disk.list()?.contains(&name) {
            self.disk.truncate(&name, self.segment_bytes)?;
        }
        Ok(())
    }

    /// Saves a snapshot, starts a segment with the entries after it and drops what it covers.
    ///
    /// # Errors
    /// `Storage` when the disk fails.
    pub fn save_snapshot(&mut self, snapshot: Snapshot, after: Vec<message::Entry>) -> Result<()> {
        let head = Head {
            index: snapshot.index,
            term: snapshot.term,
            members: snapshot.members.clone(),
        };
        let bytes = batch::encode_snapshot(&head, &snapshot.data)?;
        self.disk.replace(&snapshot_name(snapshot.index), &bytes)?;
        let old_segments = segments(&self.disk)?;
        let old_snapshots = snapshots(&self.disk)?;
        self.segment += 1;
        self.segment_bytes = 0;
        // The old segments' tail would contradict a received snapshot, so replay starts from zero.
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
        Ok(())
    }

    /// The disk underneath, for tests that make it fail.
    pub fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }

    /// Gives the disk back, as a restart does in tests.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// State of reading the segments in order.
struct Replay {
    hard_state: message::HardState,
    log: log::Log,
    floor: (Index, Term, members::Members),
    seq: u64,
    last_bytes: u64,
}

impl Replay {
    fn new(snapshot: Option<&Snapshot>) -> Self {
        let floor = snapshot.map_or((0, 0, members::Members::default()), |snapshot| {
            (snapshot.index, snapshot.term, snapshot.members.clone())
        });
        let log = log::Log::new(floor.0, floor.1, floor.2.clone(), Vec::new());
        Self {
            hard_state: message::HardState::default(),
            log,
            floor,
            seq: 0,
            last_bytes: 0,
        }
    }

    fn segment<D: disk::Disk>(&mut self, disk: &mut D, segment: u64, last: bool) -> Result<u64> {
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
                _ if !last || batch::later(&bytes[offset..], self.seq + 1) => {
                    return Err(damaged(disk, &name, offset));
                }
                _ => {
                    disk.truncate(&name, offset as u64)?;
                    self.last_bytes = offset as u64;
                    return Ok((bytes.len() - offset) as u64);
                }
            }
        }
        self.last_bytes = offset as u64;
        Ok(0)
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Truncate(0) => {
                let (index, term, members) = self.floor.clone();
                self.log.reset(index, term, members);
            }
            Record::Truncate(index) => self.log.truncate(index),
            Record::Append(entries) => entries.into_iter().for_each(|entry| self.push(entry)),
        }
    }

    /// Skips what the snapshot covers.
    fn push(&mut self, entry: message::Entry) {
        if entry.index == self.log.last_index() + 1 && entry.term >= self.log.last_term() {
            self.log.push(entry);
        }
    }
}

fn damaged<D: disk::Disk>(disk: &D, name: &str, offset: usize) -> error::Error {
    error::Error::new(
        error::Kind::Storage,
        format!(
            "{}: damaged record at byte {offset}, followed by later ones; the disk has lost synced data. \
             Replace this member: see docs/operators/repair.md",
            disk.name(name)
        ),
    )
}

fn check_identity<D: disk::Disk>(disk: &mut D, id: Id) -> Result<()> {
    let fault = |detail: String| error::Error::new(error::Kind::Storage, detail);
    if !disk.list()?.iter().any(|name| name == IDENTITY) {
        return Err(fault(format!(
            "{}: not found; prepare the folder with `oriolereel init`, or replace a member that lost \
             its disk with `oriolereel member`",
            disk.name(IDENTITY)
        )));
    }
    let identity = read_identity(disk)?;
    if identity.id != id {
        let name = disk.name(IDENTITY);
        return Err(fault(format!(
            "{name}: the folder belongs to member {}, not {id}",
            identity.id
        )));
    }
    Ok(())
}

fn read_identity<D: disk::Disk>(disk: &mut D) -> Result<Identity> {
    let fault = |detail: String| error::Error::new(error::Kind::Storage, detail);
    let text = disk.read(IDENTITY)?;
    let identity: Identity = serde_json::from_slice(&text)
        .map_err(|err| fault(format!("{}: {err}", disk.name(IDENTITY))))?;
    if identity.format != FORMAT {
        let name = disk.name(IDENTITY);
        return Err(fault(format!(
            "{name}: format {} is not supported, only {FORMAT}",
            identity.format
        )));
    }
    Ok(identity)
}

fn read_snapshot<D: disk::Disk>(disk: &mut D) -> Result<Option<Snapshot>> {
    let Some(index) = snapshots(disk)?.last().copied() else {
        return Ok(None);
    };
    let name = snapshot_name(index);
    let bytes = disk.read(&name)?;
    let Some((head, data)) = batch::decode_snapshot::<Head>(&bytes) else {
        return Err(damaged(disk, &name, 0));
    };
    Ok(Some(Snapshot {
        index: head.index,
        term: head.term,
        members: head.members,
        data,
    }))
}

fn segments<D: disk::Disk>(disk: &D) -> Result<Vec<u64>> {
    numbered(disk, "segment-", ".log")
}

fn snapshots<D: disk::Disk>(disk: &D) -> Result<Vec<u64>> {
    numbered(disk, "snapshot-", ".bin")
}

fn numbered<D: disk::Disk>(disk: &D, prefix: &str, suffix: &str) -> Result<Vec<u64>> {
    let names = disk.list()?;
    let middle = |name: &String| {
        let number = name.strip_prefix(prefix)?.strip_suffix(suffix)?;
        number.parse().ok()
    };
    let mut numbers: Vec<u64> = names.iter().filter_map(middle).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

fn segment_name(number: u64) -> String {
    format!("segment-{number:012}.log")
}

fn snapshot_name(index: Index) -> String {
    format!("snapshot-{index:016}.bin")
}

fn encode_error(err: impl std::fmt::Display) -> error::Error {
    error::Error::new(error::Kind::Storage, format!("encoding failed: {err}"))
}
