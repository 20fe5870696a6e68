//! Limits on requests: rate and concurrency of each client account, and a budget for retries.

use std::sync::{Arc, Mutex, PoisonError};

use crate::map;

/// Milliseconds in a second.
const MS_PER_SECOND: u64 = 1_000;

/// Thousandths in a whole token or retry.
const MILLI: u64 = 1_000;

/// Token bucket whose capacity is the number of tokens that it gains in one second.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate_per_s: u32,
    milli_tokens: u64,
    filled_ms: u64,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(rate_per_s: u32, now: u64) -> Self {
        Self {
            rate_per_s,
            milli_tokens: u64::from(rate_per_s) * MILLI,
            filled_ms: now,
        }
    }

    /// Takes a token at the given rate; returns whether one was available.
    pub fn take(&mut self, rate_per_s: u32, now: u64) -> bool {
        self.rate_per_s = rate_per_s;
        let gained =
            now.saturating_sub(self.filled_ms) * u64::from(rate_per_s) * MILLI / MS_PER_SECOND;
        self.filled_ms = now;
        self.milli_tokens = (self.milli_tokens + gained).min(u64::from(rate_per_s) * MILLI);
        if self.milli_tokens < MILLI {
            return false;
        }
        self.milli_tokens -= MILLI;
        true
    }
}

/// Token buckets of all accounts.
#[derive(Debug, Default)]
pub struct RateLimiter {
    buckets: map::Map<String, Bucket>,
}

impl RateLimiter {
    /// Takes a token of an account; returns whether one was available.
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

/// Permits for requests in progress, with a limit in total and for each account.
#[derive(Debug)]
pub struct Permits {
    total: usize,
    per_account: usize,
    usage: Mutex<Usage>,
}

#[derive(Debug, Default)]
struct Usage {
    total: usize,
    by_account: map::Map<String, usize>,
}

/// Which limit on permits was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exhausted {
    /// The account holds as many permits as one account may hold.
    Account,
    /// All permits are in use.
    Total,
}

impl Permits {
    /// Creates `total` permits, of which one account may hold `per_account`.
    pub fn new(total: usize, per_account: usize) -> Arc<Self> {
        Arc::new(Self {
            total,
            per_account,
            usage: Mutex::default(),
        })
    }

    /// Takes a permit, which is held until it is dropped.
    ///
    /// # Errors
    /// Returns the limit that was reached.
    pub fn take(self: &Arc<Self>, account: &str) -> Result<Permit, Exhausted> {
        let mut usage = self.usage.lock().unwrap_or_else(PoisonError::into_inner);
        if usage.total >= self.total {
            return Err(Exhausted::Total);
        }
        let used = usage.by_account.entry(account.to_owned()).or_default();
        if *used >= self.per_account {
            return Err(Exhausted::Account);
        }
        *used += 1;
        usage.total += 1;
        Ok(Permit {
            permits: Arc::clone(self),
            account: account.to_owned(),
        })
    }
}

/// Permit for one request in progress; returned when dropped.
#[derive(Debug)]
pub struct Permit {
    permits: Arc<Permits>,
    account: String,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut usage = self
            .permits
            .usage
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        usage.total -= 1;
        if let Some(used) = usage.by_account.get_mut(&self.account) {
            *used -= 1;
            if *used == 0 {
                usage.by_account.remove(&self.account);
            }
        }
    }
}

/// Budget that allows retries as a share of successes, so that retries cannot worsen an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries earned by each success, in thousandths.
    milli_per_success: u64,
    max_milli_retries: u64,
    milli_retries: u64,
}

impl RetryBudget {
    /// Creates a full budget: `percent` retries are earned by 100 successes, `max_retries` are held
    /// at most.
    pub fn new(percent: u64, max_retries: u64) -> Self {
        Self {
            milli_per_success: percent * 10,
            max_milli_retries: max_retries * MILLI,
            milli_retries: max_retries * MILLI,
        }
    }

    /// Earns a fraction of a retry.
    pub fn record_success(&mut self) {
        self.milli_retries =
            (self.milli_retries + self.milli_per_success).min(self.max_milli_retries);
    }

    /// Spends a retry; returns whether one was available.
    pub fn try_retry(&mut self) -> bool {
        if self.milli_retries < MILLI {
            return false;
        }
        self.milli_retries -= MILLI;
        true
    }
}

/// Returns the pause before a retry: it doubles with each attempt up to a cap, and half of it is
/// random so that callers do not retry at the same time.
pub fn backoff_ms(attempt: u32, base_ms: u64, cap_ms: u64, random: u64) -> u64 {
    let full = base_ms
        .saturating_mul(1 << attempt.min(20))
        .min(cap_ms)
        .max(1);
    full / 2 + random % (full / 2 + 1)
}
