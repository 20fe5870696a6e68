//! Stores answers until they are collected, with a limit on their size and age.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use crate::backend::client;
use crate::sched::JobId;
use crate::wire::frame;

/// Maximum number of bytes in one part of an answer.
const MAX_PART_BYTES: usize = 256 << 10;

/// Time that a collected answer is still stored, so that it can be sent again.
const COLLECTED_RETENTION_MS: u64 = 60_000;

/// Limits on the stored answers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of all bodies together, in bytes.
    pub bytes: usize,
    /// Time that an answer is stored when it is not collected.
    pub retention_ms: u64,
}

#[derive(Debug)]
struct StoredAnswer {
    reply: client::Reply,
    checksum: u32,
    stored_ms: u64,
    collected_ms: Option<u64>,
}

/// Stored answers, by job and attempt.
#[derive(Debug)]
pub struct Answers {
    limits: Limits,
    bytes: usize,
    stored: BTreeMap<(JobId, u32), StoredAnswer>,
    order: VecDeque<(JobId, u32)>,
}

impl Answers {
    /// Creates an empty store.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            bytes: 0,
            stored: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Returns the size of all stored bodies, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Stores an answer and returns its checksum. Above the size limit, collected answers are
    /// removed first, then the oldest ones; the newest answer always stays.
    pub fn store(&mut self, now: u64, job: JobId, attempt: u32, reply: client::Reply) -> u32 {
        let checksum = crc32fast::hash(&reply.body);
        self.bytes += reply.body.len();
        self.order.push_back((job, attempt));
        let stored = StoredAnswer {
            reply,
            checksum,
            stored_ms: now,
            collected_ms: None,
        };
        self.stored.insert((job, attempt), stored);
        while self.bytes > self.limits.bytes && self.order.len() > 1 {
            let collected = self.order.iter().position(|key| {
                self.stored
                    .get(key)
                    .is_none_or(|stored| stored.collected_ms.is_some())
            });
            self.remove_at(collected.unwrap_or(0));
        }
        checksum
    }

    /// Removes the answers whose retention time is over.
    pub fn expire(&mut self, now: u64) {
        let is_expired = |stored: &StoredAnswer| match stored.collected_ms {
            Some(collected_ms) => now >= collected_ms + COLLECTED_RETENTION_MS,
            None => now >= stored.stored_ms + self.limits.retention_ms,
        };
        let is_stale = |key: &(JobId, u32)| self.stored.get(key).is_none_or(is_expired);
        let expired: Vec<(JobId, u32)> = self.order.iter().copied().filter(is_stale).collect();
        for key in expired {
            if let Some(position) = self.order.iter().position(|other| *other == key) {
                self.remove_at(position);
            }
        }
    }

    /// Returns the part of an answer at an offset. An answer counts as collected once its last part
    /// was read.
    pub fn read_part(
        &mut self,
        now: u64,
        job: JobId,
        attempt: u32,
        offset: u64,
    ) -> Option<frame::Part> {
        let stored = self.stored.get_mut(&(job, attempt))?;
        let length = stored.reply.body.len();
        let from = usize::try_from(offset).unwrap_or(length).min(length);
        let to = (from + MAX_PART_BYTES).min(length);
        if to == length {
            stored.collected_ms.get_or_insert(now);
        }
        Some(frame::Part {
            job,
            attempt,
            status: stored.reply.status,
            content_type: stored.reply.content_type.clone(),
            length: length as u64,
            checksum: stored.checksum,
            offset: from as u64,
            data: stored.reply.body.slice(from..to),
        })
    }

    /// Returns the body of an answer unless it is larger than `max_bytes`.
    pub fn inline_body(&self, job: JobId, attempt: u32, max_bytes: usize) -> Option<Bytes> {
        let stored = self.stored.get(&(job, attempt))?;
        (stored.reply.body.len() <= max_bytes).then(|| stored.reply.body.clone())
    }

    /// Reports whether every answer has been collected.
    pub fn is_fully_collected(&self) -> bool {
        self.stored
            .values()
            .all(|stored| stored.collected_ms.is_some())
    }

    fn remove_at(&mut self, position: usize) {
        if let Some(key) = self.order.remove(position)
            && let Some(stored) = self.stored.remove(&key)
        {
            self.bytes -= stored.reply.body.len();
        }
    }
}
