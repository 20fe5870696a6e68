//! Limits: rates and shares for each client account, and a budget for retries.

use std::sync::{Arc, Mutex, PoisonError};

use crate::map;

/// One second in milliseconds.
const SECOND_MS: u64 = 1_000;

/// Thousandths of a token.
const MILLI: u64 = 1_000;

/// A token bucket; holds a second's worth of tokens.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate_per_s: u32,
    milli_tokens: u64,
    filled_ms: u64,
}

impl Bucket {
    /// Makes a full bucket.
    pub fn new(rate_per_s: u32, now: u64) -> Self {
        Self {
            rate_per_s,
            milli_tokens: u64::from(rate_per_s) * MILLI,
            filled_ms: now,
        }
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, rate_per_s: u32, now: u64) -> bool {
        self.rate_per_s = rate_per_s;
        let gained = now.saturating_sub(self.filled_ms) * u64::from(rate_per_s) * MILLI / SECOND_MS;
        self.filled_ms = now;
        self.milli_tokens = (self.milli_tokens + gained).min(u64::from(rate_per_s) * MILLI);
        if self.milli_tokens < MILLI {
            return false;
        }
        self.milli_tokens -= MILLI;
        true
    }
}

/// RateLimiter of all accounts.
#[derive(Debug, Default)]
pub struct RateLimiter {
    buckets: map::Map<String, Bucket>,
}

impl RateLimiter {
    /// Takes a token of an account.
    pub fn take(&mut self, account: &str, rate_per_s: u32, now: u64) -> bool {
        if let Some(bucket) = self.buckets.get_mut(account) {
            return bucket.take(rate_per_s, now);
        }
        let mut bucket = Bucket::new(rate_per_s, now);
        let taken = bucket.take(rate_per_s, now);
        self.buckets.insert(account.to_owned(), bucket);
        taken
    }
}

/// Places for requests in progress, of which no account may take more than its part.
#[derive(Debug)]
pub struct Places {
    total: usize,
    each: usize,
    taken: Mutex<Taken>,
}

#[derive(Debug, Default)]
struct Taken {
    all: usize,
    by_account: map::Map<String, usize>,
}

/// Why there is no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// The account has as many as it may.
    Account,
    /// All are taken.
    All,
}

impl Places {
    /// Makes places of which one account may take `each`.
    pub fn new(total: usize, each: usize) -> Arc<Self> {
        Arc::new(Self {
            total,
            each,
            taken: Mutex::default(),
        })
    }

    /// Takes a place until the guard is dropped.
    ///
    /// # Errors
    /// Tells what is full.
    pub fn take(self: &Arc<Self>, account: &str) -> Result<Place, Full> {
        let mut taken = self.taken.lock().unwrap_or_else(PoisonError::into_inner);
        if taken.all >= self.total {
            return Err(Full::All);
        }
        let mine = taken.by_account.entry(account.to_owned()).or_default();
        if *mine >= self.each {
            return Err(Full::Account);
        }
        *mine += 1;
        taken.all += 1;
        Ok(Place {
            places: Arc::clone(self),
            account: account.to_owned(),
        })
    }
}

/// A place; given back when dropped.
#[derive(Debug)]
pub struct Place {
    places: Arc<Places>,
    account: String,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut taken = self
            .places
            .taken
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        taken.all -= 1;
        if let Some(mine) = taken.by_account.get_mut(&self.account) {
            *mine -= 1;
            if *mine == 0 {
                taken.by_account.remove(&self.account);
            }
        }
    }
}

/// Retries allowed as a share of successes, so that retries cannot feed an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries earned by each success, in thousandths.
    per_success: u64,
    most: u64,
    milli_retries: u64,
}

impl RetryBudget {
    /// Makes a budget with a reserve of retries to start with.
    pub fn new(percent: u64, most: u64) -> Self {
        Self {
            per_success: percent * 10,
            most: most * MILLI,
            milli_retries: most * MILLI,
        }
    }

    /// Earns a part of a retry.
    pub fn record_success(&mut self) {
        self.milli_retries = (self.milli_retries + self.per_success).min(self.most);
    }

    /// Spends a retry if there is one.
    pub fn try_retry(&mut self) -> bool {
        if self.milli_retries < MILLI {
            return false;
        }
        self.milli_retries -= MILLI;
        true
    }
}

/// Pause before a retry: grows twofold up to a cap, and varies by half so that callers spread.
pub fn backoff_ms(attempt: u32, base_ms: u64, cap_ms: u64, random: u64) -> u64 {
    let full = base_ms
        .saturating_mul(1 << attempt.min(20))
        .min(cap_ms)
        .max(1);
    full / 2 + random % (full / 2 + 1)
}
