//! Answers kept until they are collected, within a bound of bytes and time.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use crate::backend::client;
use crate::sched::JobId;
use crate::wire::frame;

/// Bytes of one part.
const PART_BYTES: usize = 256 << 10;

/// Time that a collected answer is still kept, for resends.
const COLLECTED_MS: u64 = 60_000;

/// Limits of what is kept.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of all answers.
    pub bytes: usize,
    /// Time that an answer is kept that nobody collects.
    pub retention_ms: u64,
}

#[derive(Debug)]
struct Kept {
    reply: client::Reply,
    checksum: u32,
    since_ms: u64,
    collected_ms: Option<u64>,
}

/// Answers by job and attempt.
#[derive(Debug)]
pub struct Answers {
    limits: Limits,
    bytes: usize,
    kept: BTreeMap<(JobId, u32), Kept>,
    order: VecDeque<(JobId, u32)>,
}

impl Answers {
    /// Keeps nothing yet.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            bytes: 0,
            kept: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Bytes kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Keeps an answer; returns its checksum. Collected answers make room first, then the oldest.
    pub fn keep(&mut self, now: u64, job: JobId, attempt: u32, reply: client::Reply) -> u32 {
        let checksum = crc32fast::hash(&reply.body);
        self.bytes += reply.body.len();
        self.order.push_back((job, attempt));
        let kept = Kept {
            reply,
            checksum,
            since_ms: now,
            collected_ms: None,
        };
        self.kept.insert((job, attempt), kept);
        while self.bytes > self.limits.bytes && self.order.len() > 1 {
            let collected = self.order.iter().position(|key| {
                self.kept
                    .get(key)
                    .is_none_or(|kept| kept.collected_ms.is_some())
            });
            self.drop_at(collected.unwrap_or(0));
        }
        checksum
    }

    /// Drops what has been kept long enough.
    pub fn expire(&mut self, now: u64) {
        let over = |kept: &Kept| match kept.collected_ms {
            Some(collected_ms) => now >= collected_ms + COLLECTED_MS,
            None => now >= kept.since_ms + self.limits.retention_ms,
        };
        let stale = |key: &(JobId, u32)| self.kept.get(key).is_none_or(over);
        let due: Vec<(JobId, u32)> = self.order.iter().copied().filter(stale).collect();
        for key in due {
            if let Some(at) = self.order.iter().position(|other| *other == key) {
                self.drop_at(at);
            }
        }
    }

    /// Reads a part; reading the last one counts as collecting.
    pub fn part(&mut self, now: u64, job: JobId, attempt: u32, offset: u64) -> Option<frame::Part> {
        let kept = self.kept.get_mut(&(job, attempt))?;
        let length = kept.reply.body.len();
        let from = usize::try_from(offset).unwrap_or(length).min(length);
        let to = (from + PART_BYTES).min(length);
        if to == length {
            kept.collected_ms.get_or_insert(now);
        }
        Some(frame::Part {
            job,
            attempt,
            status: kept.reply.status,
            content_type: kept.reply.content_type.clone(),
            length: length as u64,
            checksum: kept.checksum,
            offset: from as u64,
            data: kept.reply.body.slice(from..to),
        })
    }

    /// The whole body, when it is small enough.
    pub fn small(&self, job: JobId, attempt: u32, bytes: usize) -> Option<Bytes> {
        let kept = self.kept.get(&(job, attempt))?;
        (kept.reply.body.len() <= bytes).then(|| kept.reply.body.clone())
    }

    /// Whether every answer has been collected.
    pub fn all_collected(&self) -> bool {
        self.kept.values().all(|kept| kept.collected_ms.is_some())
    }

    fn drop_at(&mut self, at: usize) {
        if let Some(key) = self.order.remove(at)
            && let Some(kept) = self.kept.remove(&key)
        {
            self.bytes -= kept.reply.body.len();
        }
    }
}
