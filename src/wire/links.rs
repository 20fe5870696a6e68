//! Decides which link of a peer is closed when too many are open, or when peers do not read their
//! answers. Has no clock and no sockets.
//!
//! A link is charged for the answers that have not been written to it yet. If they do not fit, the
//! links go first whose peers have stopped reading, then those with the most such bytes.

use std::cmp::Reverse;

use slotmap::SlotMap;

use crate::serve::quota::{Limits, Refusal, STALL_MS};

/// Charge of an answer for the state of its call, in bytes.
pub const ANSWER_BYTES: usize = 8 << 10;

slotmap::new_key_type! {
    /// A link.
    pub struct Key;
}

#[derive(Debug)]
struct Record<T> {
    is_greeted: bool,
    is_evicted: bool,
    /// Time of the last byte received, or of the last call's end.
    last_ms: u64,
    /// Calls that have been received completely and have no answer yet.
    calls: usize,
    /// Charge of the answers that have not been written.
    unwritten: usize,
    /// Time at which an answer was written, or the first of the unwritten ones was queued.
    written_ms: u64,
    tag: T,
}

/// Order of eviction: class, then a number within the class, the lowest first.
type Rank = (u8, u64);

impl<T> Record<T> {
    fn has_stalled(&self, now_ms: u64) -> bool {
        self.unwritten > 0 && now_ms.saturating_sub(self.written_ms) >= STALL_MS
    }

    /// Returns the rank of a link among those that make room for another one; none if it must not be
    /// closed.
    fn rank(&self, now_ms: u64) -> Option<Rank> {
        if self.is_evicted {
            None
        } else if !self.is_greeted {
            let is_new = now_ms.saturating_sub(self.last_ms) < STALL_MS;
            Some((if is_new { 3 } else { 0 }, self.last_ms))
        } else if self.has_stalled(now_ms) {
            Some((1, u64::MAX - self.unwritten as u64))
        } else if self.calls == 0 && self.unwritten == 0 {
            Some((2, self.last_ms))
        } else {
            None
        }
    }

    /// Returns the rank of a link among those that make room for an answer.
    fn rank_for_answer(&self, now_ms: u64) -> Option<Rank> {
        let is_charged = !self.is_evicted && self.unwritten > 0;
        let class = u8::from(!self.has_stalled(now_ms));
        is_charged.then_some((class, u64::MAX - self.unwritten as u64))
    }
}

/// The links of a process. A link has a tag, by which its owner is told of its eviction.
#[derive(Debug)]
pub struct Links<T> {
    limits: Limits,
    records: SlotMap<Key, Record<T>>,
    /// Sums over the links that have not been evicted.
    unwritten: usize,
    connections: usize,
    /// Sum over the links that have been evicted and are not closed yet.
    evicted_bytes: usize,
}

impl<T: Clone> Links<T> {
    /// Creates the state of a process without links.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            records: SlotMap::with_key(),
            unwritten: 0,
            connections: 0,
            evicted_bytes: 0,
        }
    }

    /// Returns what the evicted links were charged whose owners have not closed them yet.
    pub fn evicted_bytes(&self) -> usize {
        self.evicted_bytes
    }

    /// Returns the charge of all answers that have not been written.
    pub fn unwritten(&self) -> usize {
        self.unwritten
    }

    /// Adds a link. Returns the one that is evicted for it, if the number is at its limit.
    ///
    /// # Errors
    /// `Full` if calls of all others are in progress.
    pub fn open(&mut self, now_ms: u64, tag: T) -> Result<(Key, Option<T>), Refusal> {
        let mut evicted = None;
        if self.connections >= self.limits.connections {
            let ranked = self.records.iter();
            let ranked = ranked.filter_map(|(key, record)| Some((record.rank(now_ms)?, key)));
            let (_rank, key) = ranked.min().ok_or(Refusal::Full)?;
            evicted = self.evict(key);
        }
        self.connections += 1;
        let key = self.records.insert(Record {
            is_greeted: false,
            is_evicted: false,
            last_ms: now_ms,
            calls: 0,
            unwritten: 0,
            written_ms: now_ms,
            tag,
        });
        Ok((key, evicted))
    }

    /// Removes a link.
    pub fn close(&mut self, key: Key) {
        self.evict(key);
        if let Some(record) = self.records.remove(key) {
            self.evicted_bytes -= record.unwritten;
        }
    }

    /// Records that the handshake has ended.
    pub fn greet(&mut self, key: Key, now_ms: u64) {
        if let Some(record) = self.records.get_mut(key) {
            record.is_greeted = true;
            record.last_ms = now_ms;
        }
    }

    /// Records that bytes of a call have been received.
    pub fn received(&mut self, key: Key, now_ms: u64) {
        if let Some(record) = self.records.get_mut(key) {
            record.last_ms = now_ms;
        }
    }

    /// Records that a call has been received completely.
    pub fn begin_call(&mut self, key: Key) {
        if let Some(record) = self.records.get_mut(key) {
            record.calls += 1;
        }
    }

    /// Records that a call has ended.
    pub fn end_call(&mut self, key: Key, now_ms: u64) {
        if let Some(record) = self.records.get_mut(key) {
            record.calls -= 1;
            record.last_ms = now_ms;
        }
    }

    /// Charges an answer that is queued for a link, and returns the links that are evicted for it. The
    /// link itself is among them if the others do not leave enough room, unless this is its only
    /// answer.
    pub fn queue(&mut self, key: Key, now_ms: u64, bytes: usize) -> Vec<T> {
        let Some(record) = self.records.get_mut(key) else {
            return Vec::new();
        };
        if record.is_evicted {
            return Vec::new();
        }
        if record.unwritten == 0 {
            record.written_ms = now_ms;
        }
        let is_only = record.unwritten == 0;
        record.unwritten += bytes;
        self.unwritten += bytes;
        let mut evicted = Vec::new();
        if self.unwritten > self.limits.bytes {
            let others = self.records.iter().filter(|(other, _record)| *other != key);
            let ranked =
                others.filter_map(|(other, record)| Some((record.rank_for_answer(now_ms)?, other)));
            let mut ranked: Vec<Reverse<(Rank, Key)>> = ranked.map(Reverse).collect();
            ranked.sort_unstable();
            while self.unwritten > self.limits.bytes
                && let Some(Reverse((_rank, other))) = ranked.pop()
            {
                evicted.extend(self.evict(other));
            }
            if self.unwritten > self.limits.bytes && !is_only {
                evicted.extend(self.evict(key));
            }
        }
        evicted
    }

    /// Records that an answer has been written, or dropped with its link.
    pub fn written(&mut self, key: Key, now_ms: u64, bytes: usize) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        // An answer that was queued after the eviction has not been charged.
        let bytes = bytes.min(record.unwritten);
        record.unwritten -= bytes;
        record.written_ms = now_ms;
        if record.is_evicted {
            self.evicted_bytes -= bytes;
        } else {
            self.unwritten -= bytes;
        }
    }

    /// Marks a link as evicted. It no longer counts, although its owner closes it later.
    fn evict(&mut self, key: Key) -> Option<T> {
        let record = self.records.get_mut(key)?;
        if record.is_evicted {
            return None;
        }
        record.is_evicted = true;
        self.unwritten -= record.unwritten;
        self.evicted_bytes += record.unwritten;
        self.connections -= 1;
        Some(record.tag.clone())
    }
}
