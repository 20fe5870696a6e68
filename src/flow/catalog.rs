//! What operators declare: queues, services, client accounts.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::flow::{JobId, Millis};

/// A queue that callers hand jobs in at.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    pub name: String,
    /// Host and path prefix by which callers address it.
    pub host: String,
    pub prefix: String,
    pub service: String,
    /// Zero goes first, and may preempt others.
    pub priority: u32,
    /// Failed runs after which a task ends its job.
    pub max_attempts: u32,
    /// Objective: this share, in per cent, of the longest chain of work, and `target_ms` more.
    pub slack_percent: u64,
    pub target_ms: Millis,
    /// Whether callers need no key.
    pub public: bool,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    pub name: String,
    pub keys: Vec<String>,
    /// Accelerators that its most urgent jobs can have at any time.
    pub guaranteed: u64,
}

/// Everything declared, applied as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// Zero before the first declaration.
    pub version: u64,
    /// The text as the operator sent it.
    pub document: Bytes,
    pub queues: Vec<Queue>,
    pub accounts: Vec<Account>,
}

/// A path that leads to a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The queue itself.
    Queue,
    Job(JobId),
}

impl Catalog {
    /// Finds the queue with the host and the longest prefix that the path begins with, and what
    /// of it the rest of the path names.
    pub fn find(&self, host: &str, path: &str) -> Option<(&Queue, Option<Route>)> {
        let mine = self.queues.iter().filter(|queue| queue.host == host);
        let fitting = mine.filter(|queue| path.starts_with(&queue.prefix));
        let queue = fitting.max_by_key(|queue| queue.prefix.len())?;
        Some((queue, place(&path[queue.prefix.len()..])))
    }

    /// Finds the account that a key belongs to.
    pub fn account_of(&self, key: &str) -> Option<&Account> {
        let mut accounts = self.accounts.iter();
        accounts.find(|account| account.keys.iter().any(|own| own == key))
    }

    /// Accelerators guaranteed to an account.
    pub fn guaranteed(&self, account: &str) -> u64 {
        let found = self.accounts.iter().find(|other| other.name == account);
        found.map_or(0, |account| account.guaranteed)
    }
}

fn place(rest: &str) -> Option<Route> {
    const DIGITS: usize = 16;
    if rest.is_empty() {
        return Some(Route::Queue);
    }
    let plain = |digit: u8| digit.is_ascii_digit() || (b'a'..=b'f').contains(&digit);
    if rest.len() != DIGITS || !rest.bytes().all(plain) {
        return None;
    }
    u64::from_str_radix(rest, 16).ok().map(Route::Job)
}
