//! Decides which connection is closed when too much has been received or too many connections are
//! open. Has no clock and no sockets.
//!
//! A connection is charged for what it has received and what is not handled yet, then for its answer
//! until that is written. If a charge does not fit, those are evicted that send or read the slowest. A
//! connection whose request has been received completely is not evicted before the answer is ready.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use slotmap::SlotMap;

/// Time without a byte after which a sender has stalled, or a client that does not read its answer.
pub const STALL_MS: u64 = 500;

/// Time from the start of a request in which its sender is evicted only after all others. Ordinary
/// requests are complete by then.
pub const GRACE_MS: u64 = 1_000;

/// Number of connections where the settings name no limit.
pub const DEFAULT_CONNECTIONS: usize = 4_096;

/// Part of the limit that is freed at once where senders are evicted, one in this many bytes, since each
/// eviction looks at all connections.
const BATCH_SHARE: usize = 64;

/// Share of the bytes that bodies leave to heads: one in this many.
const HEAD_SHARE: usize = 16;

slotmap::new_key_type! {
    /// A connection.
    pub struct Key;
}

/// What the connections may occupy together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub bytes: usize,
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            bytes: usize::MAX,
            connections: DEFAULT_CONNECTIONS,
        }
    }
}

/// Time without a byte after which a connection with an answer to write expires.
pub const WRITE_TIMEOUT_MS: u64 = 30_000;

/// Times after which a connection expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// From the first byte of a request to the end of its head.
    pub head_ms: u64,
    /// Without a byte.
    pub idle_ms: u64,
}

/// Why a charge is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The connection has been evicted.
    Evicted,
    /// All others send faster, so it would be the one to evict.
    Slowest,
    /// The requests in progress leave no room.
    Full,
}

/// Why a connection has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expiry {
    Head,
    Idle,
    Write,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Between two requests.
    Idle {
        since_ms: u64,
    },
    /// Receives a request, or waits for the first one.
    Receiving {
        since_ms: u64,
        last_ms: u64,
        bytes: u64,
        in_head: bool,
    },
    /// Has received a request that is not answered yet.
    Whole,
    /// Has an answer that is not written yet.
    Writing {
        since_ms: u64,
        last_ms: u64,
        bytes: u64,
    },
    Evicted,
}

#[derive(Debug)]
struct Record<T> {
    state: State,
    bytes: usize,
    tag: T,
}

/// Order of eviction: class, then a number within the class, the lowest first.
type Rank = (u8, u64);

impl<T> Record<T> {
    /// Returns the rank of a connection; none if it must not be evicted.
    fn rank(&self, now_ms: u64) -> Option<Rank> {
        match self.state {
            State::Whole | State::Evicted => None,
            State::Idle { since_ms } => Some((1, since_ms)),
            State::Receiving {
                since_ms,
                last_ms,
                bytes,
                ..
            }
            | State::Writing {
                since_ms,
                last_ms,
                bytes,
            } => {
                let age_ms = now_ms.saturating_sub(since_ms);
                let bytes_per_s = bytes.saturating_mul(1_000) / age_ms.max(1);
                if now_ms.saturating_sub(last_ms) >= STALL_MS {
                    Some((0, bytes_per_s))
                } else if age_ms >= GRACE_MS {
                    Some((2, bytes_per_s))
                } else if self.is_writing() {
                    Some((4, last_ms))
                } else {
                    Some((3, last_ms))
                }
            }
        }
    }

    /// Returns the rank of a connection among those that make room for an answer: clients that have
    /// stalled, then the answers that are not written, the largest first.
    fn rank_for_answer(&self, now_ms: u64) -> Option<Rank> {
        match self.rank(now_ms)? {
            stalled @ (0, _rate) => Some(stalled),
            _ if self.is_writing() => Some((1, u64::MAX - self.bytes as u64)),
            _ => None,
        }
    }

    fn is_writing(&self) -> bool {
        matches!(self.state, State::Writing { .. })
    }

    fn expiry(&self, now_ms: u64, timeouts: &Timeouts) -> Option<Expiry> {
        let (since_ms, last_ms, in_head) = match self.state {
            State::Whole | State::Evicted => return None,
            State::Idle { since_ms } => (since_ms, since_ms, false),
            State::Writing { last_ms, .. } => {
                let is_over = now_ms.saturating_sub(last_ms) >= WRITE_TIMEOUT_MS;
                return is_over.then_some(Expiry::Write);
            }
            State::Receiving {
                since_ms,
                last_ms,
                bytes,
                in_head,
            } => (since_ms, last_ms, in_head && bytes > 0),
        };
        if in_head && now_ms.saturating_sub(since_ms) >= timeouts.head_ms {
            return Some(Expiry::Head);
        }
        (now_ms.saturating_sub(last_ms) >= timeouts.idle_ms).then_some(Expiry::Idle)
    }
}

/// The connections of a process. A connection has a tag, by which its owner is told of its eviction.
#[derive(Debug)]
pub struct Quota<T> {
    limits: Limits,
    records: SlotMap<Key, Record<T>>,
    /// Sums over the connections that have not been evicted.
    bytes: usize,
    connections: usize,
    /// Sum over the connections that have been evicted and are not closed yet.
    evicted_bytes: usize,
}

impl<T: Clone> Quota<T> {
    /// Creates a quota without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            records: SlotMap::with_key(),
            bytes: 0,
            connections: 0,
            evicted_bytes: 0,
        }
    }

    /// Returns what the evicted connections were charged whose owners have not closed them yet.
    pub fn evicted_bytes(&self) -> usize {
        self.evicted_bytes
    }

    /// Returns what the connections that have not been evicted are charged.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of connections that have not been evicted.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Adds a connection. Returns the one that is evicted for it, if the number is at its limit.
    ///
    /// # Errors
    /// `Full` if each of the others has a request in progress.
    pub fn open(&mut self, now_ms: u64, tag: T) -> Result<(Key, Option<T>), Refusal> {
        let mut evicted = None;
        if self.connections >= self.limits.connections {
            let ranked = self
                .records
                .iter()
                .filter_map(|(key, record)| Some((record.rank(now_ms)?, key)));
            let (_rank, key) = ranked.min().ok_or(Refusal::Full)?;
            evicted = self.evict(key);
        }
        self.connections += 1;
        let state = State::Receiving {
            since_ms: now_ms,
            last_ms: now_ms,
            bytes: 0,
            in_head: true,
        };
        let record = Record {
            state,
            bytes: 0,
            tag,
        };
        Ok((self.records.insert(record), evicted))
    }

    /// Removes a connection.
    pub fn close(&mut self, key: Key) {
        let Some(record) = self.records.remove(key) else {
            return;
        };
        if record.state == State::Evicted {
            self.evicted_bytes -= record.bytes;
        } else {
            self.bytes -= record.bytes;
            self.connections -= 1;
        }
    }

    /// Records bytes that a connection has received; the first ones begin a request.
    pub fn received(&mut self, key: Key, now_ms: u64, count: usize) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        let count = count as u64;
        record.state = match record.state {
            State::Idle { .. } => State::Receiving {
                since_ms: now_ms,
                last_ms: now_ms,
                bytes: count,
                in_head: true,
            },
            State::Receiving {
                since_ms,
                bytes,
                in_head,
                ..
            } => State::Receiving {
                // The time to the first byte of a connection does not count.
                since_ms: if bytes == 0 { now_ms } else { since_ms },
                last_ms: now_ms,
                bytes: bytes.saturating_add(count),
                in_head,
            },
            other => other,
        };
    }

    /// Records that the head of a request is complete.
    pub fn end_head(&mut self, key: Key, now_ms: u64) {
        if let Some(record) = self.records.get_mut(key) {
            match &mut record.state {
                State::Receiving { in_head, .. } => *in_head = false,
                // The request had been received together with the one before.
                state @ State::Idle { .. } => {
                    *state = State::Receiving {
                        since_ms: now_ms,
                        last_ms: now_ms,
                        bytes: 0,
                        in_head: false,
                    }
                }
                State::Whole | State::Writing { .. } | State::Evicted => {}
            }
        }
    }

    /// Sets what a connection is charged for its own state and its read buffer, and returns the
    /// connections that are evicted for it. A connection that is the only one charged may exceed the
    /// limit, and so may one whose request is complete, since it must not be closed.
    ///
    /// # Errors
    /// If the charge does not fit; it is unchanged then.
    pub fn charge(&mut self, key: Key, now_ms: u64, bytes: usize) -> Result<Vec<T>, Refusal> {
        match self.charge_within(self.limits.bytes, key, now_ms, bytes) {
            Err(Refusal::Full) if self.is_whole(key) => {
                self.set(key, bytes);
                Ok(Vec::new())
            }
            result => result,
        }
    }

    /// As `charge`, for a charge that includes a body. It leaves room for the heads of others, so that
    /// health checks and small requests are served while large bodies are handled.
    ///
    /// # Errors
    /// As `charge`.
    pub fn charge_body(&mut self, key: Key, now_ms: u64, bytes: usize) -> Result<Vec<T>, Refusal> {
        let limit = self.limits.bytes - self.limits.bytes / HEAD_SHARE;
        self.charge_within(limit, key, now_ms, bytes)
    }

    fn is_whole(&self, key: Key) -> bool {
        let record = self.records.get(key);
        record.is_some_and(|record| record.state == State::Whole || record.is_writing())
    }

    fn charge_within(
        &mut self,
        limit: usize,
        key: Key,
        now_ms: u64,
        bytes: usize,
    ) -> Result<Vec<T>, Refusal> {
        let Some(record) = self.records.get(key) else {
            return Err(Refusal::Evicted);
        };
        if record.state == State::Evicted {
            return Err(Refusal::Evicted);
        }
        let others = self.bytes - record.bytes;
        let excess = others.saturating_add(bytes).saturating_sub(limit);
        let evicted = if bytes <= record.bytes || excess == 0 || others == 0 {
            Vec::new()
        } else {
            let rank = record.rank(now_ms);
            self.evict_for(key, rank, now_ms, excess.min(others))?
        };
        self.set(key, bytes);
        Ok(evicted)
    }

    /// Records that a request has been received completely, so that its connection is not evicted
    /// before `finish`. Sets the charge for its handling like `charge_body`.
    ///
    /// # Errors
    /// `Evicted` if the request must not be handled. If the charge does not fit, the connection is
    /// kept nevertheless, for the answer that says so.
    pub fn complete(&mut self, key: Key, now_ms: u64, bytes: usize) -> Result<Vec<T>, Refusal> {
        if let Some(record) = self.records.get_mut(key)
            && record.state != State::Evicted
        {
            record.state = State::Whole;
        }
        self.charge_body(key, now_ms, bytes)
    }

    /// Records that an answer is ready, charges it, and returns the connections that are evicted for
    /// it. It is charged even if they do not leave enough room: the others are in handlers' threads,
    /// whose number is bounded.
    pub fn answer(&mut self, key: Key, now_ms: u64, bytes: usize) -> Vec<T> {
        if let Some(record) = self.records.get_mut(key)
            && record.state != State::Evicted
        {
            record.state = State::Writing {
                since_ms: now_ms,
                last_ms: now_ms,
                bytes: 0,
            };
        }
        self.set(key, bytes);
        let mut excess = self.bytes.saturating_sub(self.limits.bytes);
        if excess == 0 {
            return Vec::new();
        }
        let mut ranked = self.others(key, |record| record.rank_for_answer(now_ms));
        let mut evicted = Vec::new();
        while excess > 0
            && let Some(Reverse((_rank, other))) = ranked.pop()
        {
            excess = excess.saturating_sub(self.records[other].bytes);
            evicted.extend(self.evict(other));
        }
        evicted
    }

    /// Records bytes of an answer that have been written.
    pub fn wrote(&mut self, key: Key, now_ms: u64, count: usize) {
        if let Some(record) = self.records.get_mut(key)
            && let State::Writing { last_ms, bytes, .. } = &mut record.state
        {
            *last_ms = now_ms;
            *bytes = bytes.saturating_add(count as u64);
        }
    }

    /// Records that an answer has been written.
    pub fn finish(&mut self, key: Key, now_ms: u64) {
        if let Some(record) = self.records.get_mut(key)
            && matches!(record.state, State::Whole | State::Writing { .. })
        {
            record.state = State::Idle { since_ms: now_ms };
        }
    }

    /// Sets what a connection is charged without a check.
    pub fn set(&mut self, key: Key, bytes: usize) {
        if let Some(record) = self.records.get_mut(key)
            && record.state != State::Evicted
        {
            self.bytes = (self.bytes - record.bytes).saturating_add(bytes);
            record.bytes = bytes;
        }
    }

    /// Evicts the connections whose time is up, and returns them.
    pub fn expire(&mut self, now_ms: u64, timeouts: &Timeouts) -> Vec<(Expiry, T)> {
        let expired = self
            .records
            .iter()
            .filter_map(|(key, record)| Some((record.expiry(now_ms, timeouts)?, key)));
        let expired: Vec<(Expiry, Key)> = expired.collect();
        expired
            .into_iter()
            .filter_map(|(expiry, key)| Some((expiry, self.evict(key)?)))
            .collect()
    }

    /// Evicts other connections until `excess` bytes are free, and a batch of those that go before the
    /// connection itself; none if `excess` cannot be reached.
    fn evict_for(
        &mut self,
        key: Key,
        own_rank: Option<Rank>,
        now_ms: u64,
        excess: usize,
    ) -> Result<Vec<T>, Refusal> {
        let mut ranked = self.others(key, |record| record.rank(now_ms));
        let mut victims = Vec::new();
        let mut freed = 0;
        let wanted = excess.max(self.limits.bytes / BATCH_SHARE);
        while freed < wanted {
            let Some(Reverse((rank, other))) = ranked.pop() else {
                if freed < excess {
                    return Err(Refusal::Full);
                }
                break;
            };
            if own_rank.is_some_and(|own_rank| own_rank < rank) {
                if freed < excess {
                    return Err(Refusal::Slowest);
                }
                break;
            }
            freed += self.records[other].bytes;
            victims.push(other);
        }
        Ok(victims
            .into_iter()
            .filter_map(|other| self.evict(other))
            .collect())
    }

    /// Returns the other connections that are charged and have a rank, the lowest first.
    fn others(
        &self,
        key: Key,
        rank: impl Fn(&Record<T>) -> Option<Rank>,
    ) -> BinaryHeap<Reverse<(Rank, Key)>> {
        let others = self
            .records
            .iter()
            .filter(|(other, record)| *other != key && record.bytes > 0);
        let ranked = others.filter_map(|(other, record)| Some(Reverse((rank(record)?, other))));
        ranked.collect()
    }

    /// Marks a connection as evicted. It no longer counts, although its owner closes it later.
    fn evict(&mut self, key: Key) -> Option<T> {
        let record = self.records.get_mut(key)?;
        record.state = State::Evicted;
        self.evicted_bytes += record.bytes;
        self.bytes -= record.bytes;
        self.connections -= 1;
        Some(record.tag.clone())
    }
}
