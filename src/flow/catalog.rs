//! The catalog that operators declare: queues and client accounts.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::flow::{JobId, Millis};

/// A queue to which callers submit jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    pub name: String,
    /// Host and path prefix under which callers address the queue.
    pub host: String,
    pub prefix: String,
    /// Service whose workers run the jobs.
    pub service: String,
    /// Zero is the most urgent. Its jobs are placed first and may preempt other jobs.
    pub priority: u32,
    /// Number of failed runs of a unit after which the job fails.
    pub max_attempts: u32,
    /// Objective for the completion time: this percentage of the estimated critical path, plus
    /// `target_ms`.
    pub slack_percent: u64,
    pub target_ms: Millis,
    /// Whether callers may use the queue without a key.
    pub public: bool,
}

impl Queue {
    /// Reports whether callers address both queues by the same host and path prefix.
    pub fn is_at_place_of(&self, other: &Self) -> bool {
        self.host == other.host && self.prefix == other.prefix
    }
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    pub name: String,
    pub keys: Vec<String>,
    /// Number of accelerators that the account's most urgent jobs can claim at any time.
    pub guaranteed: u64,
}

/// Limits of callers' requests at the entries. Zero stands for the entry's default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    pub head_bytes: u64,
    pub body_bytes: u64,
    /// From the first byte of a request to the end of its head.
    pub head_timeout_ms: Millis,
    /// Without a byte, while no request is in progress.
    pub idle_timeout_ms: Millis,
}

/// Everything that operators declare, replaced as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// Zero before the first declaration.
    pub version: u64,
    /// The document as the operator sent it.
    pub document: Bytes,
    pub queues: Vec<Queue>,
    pub accounts: Vec<Account>,
}

/// What a path below a queue's prefix addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The queue itself.
    Queue,
    Job(JobId),
}

impl Catalog {
    /// Finds the queue on a host whose prefix matches the path, the longest prefix first, and what
    /// the rest of the path addresses.
    pub fn find(&self, host: &str, path: &str) -> Option<(&Queue, Option<Route>)> {
        let on_host = self.queues.iter().filter(|queue| queue.host == host);
        let matching = on_host.filter(|queue| path.starts_with(&queue.prefix));
        let queue = matching.max_by_key(|queue| queue.prefix.len())?;
        Some((queue, parse_route(&path[queue.prefix.len()..])))
    }

    /// Reports whether a queue of this catalog has the jobs that were accepted in a queue of an earlier one.
    /// Callers know a queue only by its place, so its name may change. The name decides once nothing is at
    /// the earlier place, as the queue has moved then.
    pub fn continues(&self, queue: &Queue, earlier: &Queue) -> bool {
        let has_moved = || {
            let mut queues = self.queues.iter();
            queue.name == earlier.name && !queues.any(|other| other.is_at_place_of(earlier))
        };
        queue.is_at_place_of(earlier) || has_moved()
    }

    /// Finds the account to which a key belongs.
    pub fn account_of(&self, key: &str) -> Option<&Account> {
        let mut accounts = self.accounts.iter();
        accounts.find(|account| account.keys.iter().any(|own| own == key))
    }

    /// Returns the number of accelerators guaranteed to an account.
    pub fn guaranteed(&self, account: &str) -> u64 {
        let found = self.accounts.iter().find(|other| other.name == account);
        found.map_or(0, |account| account.guaranteed)
    }
}

fn parse_route(rest: &str) -> Option<Route> {
    const JOB_ID_DIGITS: usize = 16;
    if rest.is_empty() {
        return Some(Route::Queue);
    }
    let is_hex_digit = |digit: u8| digit.is_ascii_digit() || (b'a'..=b'f').contains(&digit);
    if rest.len() != JOB_ID_DIGITS || !rest.bytes().all(is_hex_digit) {
        return None;
    }
    u64::from_str_radix(rest, 16).ok().map(Route::Job)
}
