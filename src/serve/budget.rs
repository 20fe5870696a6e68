//! What all HTTP connections of a process may use together: bytes that are not handled yet,
//! descriptors and time. Several listeners share a budget.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use crate::clock;
use crate::notice::Notice;
use crate::serve::quota::{DEFAULT_CONNECTIONS, Expiry, Key, Limits, Quota, Refusal, Timeouts};
use crate::telemetry;

/// Charge of a connection for its own state, in bytes.
const CONNECTION_BYTES: usize = 8 << 10;

/// Share of the memory for data received: one in this many bytes.
const MEMORY_SHARE: u64 = 4;

/// Descriptors for files.
const FILE_DESCRIPTORS: u64 = 200;

/// Descriptors for the process's own links, where it only opens some.
const OUTBOUND_LINKS: u64 = 64;

/// Share of the other descriptors for the links of a process that accepts them from all others, in
/// percent. Each agent and entry holds one.
const INBOUND_LINKS_PERCENT: u64 = 75;

/// Share of the memory for data received on links: one in this many bytes.
const LINK_MEMORY_SHARE: u64 = 8;

/// Smallest number of connections, even where the settings leave fewer descriptors.
const MIN_CONNECTIONS: u64 = 16;

/// Interval at which connections are checked for their time-outs.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What the machine allows a process. Zero where it is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Machine {
    pub memory_bytes: u64,
    pub descriptors: u64,
}

impl Machine {
    /// Returns the limits of all HTTP connections together. `inbound_links` says whether the process
    /// accepts links of other processes, which need descriptors as well.
    pub fn limits(&self, inbound_links: bool) -> Limits {
        let connections = match self.descriptors {
            0 => DEFAULT_CONNECTIONS as u64,
            _ => (self.free_descriptors() - self.links(inbound_links)).max(MIN_CONNECTIONS),
        };
        Limits {
            bytes: share(self.memory_bytes, MEMORY_SHARE),
            connections: connections as usize,
        }
    }

    /// Returns the limits of the links that a process accepts.
    pub fn link_limits(&self) -> Limits {
        let connections = match self.descriptors {
            0 => DEFAULT_CONNECTIONS as u64,
            _ => self
                .links(true)
                .saturating_sub(OUTBOUND_LINKS)
                .max(MIN_CONNECTIONS),
        };
        Limits {
            bytes: share(self.memory_bytes, LINK_MEMORY_SHARE),
            connections: connections as usize,
        }
    }

    fn free_descriptors(&self) -> u64 {
        self.descriptors.saturating_sub(FILE_DESCRIPTORS)
    }

    fn links(&self, inbound: bool) -> u64 {
        let free = self.free_descriptors();
        if inbound {
            free * INBOUND_LINKS_PERCENT / 100
        } else {
            OUTBOUND_LINKS.min(free)
        }
    }
}

/// Returns a part of the memory, or no limit if the memory is not known.
fn share(bytes: u64, parts: u64) -> usize {
    match bytes {
        0 => usize::MAX,
        bytes => usize::try_from(bytes / parts).unwrap_or(usize::MAX),
    }
}

/// Limits of each request and connection, which may change at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub head_bytes: usize,
    /// For the bodies of callers; handlers of other listeners have limits of their own.
    pub body_bytes: usize,
    /// From the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// Without a byte, while no request is in progress.
    pub idle_timeout: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            head_bytes: 64 << 10,
            body_bytes: 262_144,
            head_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// A budget; clones share it.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    quota: Mutex<Quota<Arc<Notify>>>,
    bounds: watch::Sender<Bounds>,
    closed: Notice,
    refused: Notice,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(Machine::default().limits(false))
    }
}

impl Budget {
    /// Creates a budget with limits, as `Machine::limits` returns them.
    pub fn new(limits: Limits) -> Self {
        Self(Arc::new(Shared {
            quota: Mutex::new(Quota::new(limits)),
            bounds: watch::Sender::new(Bounds::default()),
            closed: Notice::default(),
            refused: Notice::default(),
        }))
    }

    /// Returns the bytes that the connections are charged.
    pub fn bytes(&self) -> usize {
        self.quota().bytes()
    }

    /// Returns the limits of each request and connection.
    pub fn bounds(&self) -> Bounds {
        *self.0.bounds.borrow()
    }

    /// Changes the limits of each request and connection. Requests in progress are not affected.
    pub fn set_bounds(&self, bounds: Bounds) {
        let changed = self.0.bounds.send_if_modified(|current| {
            let changed = *current != bounds;
            *current = bounds;
            changed
        });
        if changed {
            log::info!(
                head_bytes = bounds.head_bytes, body_bytes = bounds.body_bytes,
                head_timeout_ms = bounds.head_timeout.as_millis() as u64,
                idle_timeout_ms = bounds.idle_timeout.as_millis() as u64;
                "limits of requests changed"
            );
        }
    }

    /// Returns a receiver of changes of the limits.
    pub(super) fn changes(&self) -> watch::Receiver<Bounds> {
        self.0.bounds.subscribe()
    }

    /// Adds a connection, and evicts another one at the limit. Returns nothing if all others have
    /// requests in progress.
    pub(super) fn open(&self) -> Option<Ticket> {
        let evicted: Arc<Notify> = Arc::default();
        let opened = self.quota().open(clock::mono_ms(), Arc::clone(&evicted));
        let Ok((key, other)) = opened else {
            self.refuse("connections");
            return None;
        };
        if let Some(other) = other {
            self.evict("connections", &[other]);
        }
        let ticket = Ticket {
            budget: self.clone(),
            key,
            evicted,
            written: Notify::new(),
            second_ms: AtomicU64::new(0),
            requests: AtomicU32::new(0),
            buffer_bytes: AtomicUsize::new(0),
            body_bytes: AtomicUsize::new(0),
            head_bytes: AtomicUsize::new(0),
            is_in_head: AtomicBool::new(true),
            is_answered: AtomicBool::new(false),
        };
        // A connection that has no room even for its own state is closed like an evicted one.
        ticket.charge().ok()?;
        Some(ticket)
    }

    /// Evicts the connections whose time is up.
    pub(super) fn expire(&self) {
        let bounds = self.bounds();
        let timeouts = Timeouts {
            head_ms: bounds.head_timeout.as_millis() as u64,
            idle_ms: bounds.idle_timeout.as_millis() as u64,
        };
        let expired = self.quota().expire(clock::mono_ms(), &timeouts);
        for (expiry, signal) in expired {
            signal.notify_one();
            let cause = match expiry {
                Expiry::Head => "header-timeout",
                Expiry::Idle => "idle-timeout",
                Expiry::Write => "write-timeout",
            };
            count(&telemetry::CONNECTIONS_CLOSED, cause);
        }
        let quota = self.quota();
        telemetry::RECEIVED_BYTES.set(i64::try_from(quota.bytes()).unwrap_or(i64::MAX));
        telemetry::CONNECTIONS.set(i64::try_from(quota.connections()).unwrap_or(i64::MAX));
    }

    fn quota(&self) -> MutexGuard<'_, Quota<Arc<Notify>>> {
        self.0.quota.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn evict(&self, cause: &'static str, signals: &[Arc<Notify>]) {
        for signal in signals {
            signal.notify_one();
            count(&telemetry::CONNECTIONS_CLOSED, cause);
            if let Some(omitted) = self.0.closed.admit(clock::mono_ms()) {
                log::warn!(cause = cause, omitted = omitted; "connection of a slow or idle client closed: the limit of {cause} is reached");
            }
        }
    }

    fn refuse(&self, cause: &'static str) {
        count(&telemetry::REQUESTS_REFUSED, cause);
        if let Some(omitted) = self.0.refused.admit(clock::mono_ms()) {
            log::warn!(cause = cause, omitted = omitted; "request refused: the limit of {cause} is reached");
        }
    }
}

fn count(counter: &prometheus::IntCounterVec, cause: &str) {
    counter.with_label_values(&[cause]).inc();
}

/// A connection's share of the budget, which is returned when it is dropped.
#[derive(Debug)]
pub(super) struct Ticket {
    budget: Budget,
    key: Key,
    evicted: Arc<Notify>,
    /// Tells a request on the same connection that the answer before it has been written.
    written: Notify,
    /// Begin of the second in which requests are counted, and their number.
    second_ms: AtomicU64,
    requests: AtomicU32,
    buffer_bytes: AtomicUsize,
    body_bytes: AtomicUsize,
    /// Bytes of an incomplete head, which are held in the read buffer.
    head_bytes: AtomicUsize,
    is_in_head: AtomicBool,
    /// Whether an answer has been handed to the connection but may not be written yet.
    is_answered: AtomicBool,
}

impl Ticket {
    /// Returns the budget that the connection belongs to.
    pub(super) fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Waits until the connection is evicted.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Records bytes received.
    pub(super) fn received(&self, count: usize) {
        if self.is_in_head.load(Ordering::SeqCst) {
            self.head_bytes.fetch_add(count, Ordering::SeqCst);
        }
        let now_ms = clock::mono_ms();
        self.budget.quota().received(self.key, now_ms, count);
    }

    /// Records that the head of a request is complete. Returns the number of requests of the connection
    /// within the last second.
    pub(super) fn end_head(&self) -> u32 {
        self.is_in_head.store(false, Ordering::SeqCst);
        self.head_bytes.store(0, Ordering::SeqCst);
        let now_ms = clock::mono_ms();
        self.budget.quota().end_head(self.key, now_ms);
        let is_over = now_ms.saturating_sub(self.second_ms.load(Ordering::SeqCst)) >= 1_000;
        if is_over {
            self.second_ms.store(now_ms, Ordering::SeqCst);
            self.requests.store(0, Ordering::SeqCst);
        }
        self.requests.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Waits until the answer to the request before has been written, so that a client that sends
    /// requests without reading the answers has only one of them in memory.
    pub(super) async fn written(&self) {
        while self.is_answered.load(Ordering::SeqCst) {
            self.written.notified().await;
        }
    }

    /// Charges a read buffer with room for `free` bytes, if it is larger than before.
    pub(super) fn charge_buffer(&self, free: usize) -> Result<(), Refusal> {
        let bytes = free.saturating_add(self.head_bytes.load(Ordering::SeqCst));
        if self.buffer_bytes.fetch_max(bytes, Ordering::SeqCst) >= bytes {
            return Ok(());
        }
        self.charge()
    }

    /// Charges the buffer of a body.
    pub(super) fn charge_body(&self, bytes: usize) -> Result<(), Refusal> {
        if self.body_bytes.swap(bytes, Ordering::SeqCst) == bytes {
            return Ok(());
        }
        let (now_ms, total) = (clock::mono_ms(), self.total());
        let result = self.budget.quota().charge_body(self.key, now_ms, total);
        self.settle(result)
    }

    /// Records that the buffer of a body has been dropped.
    pub(super) fn release_body(&self) {
        self.body_bytes.store(0, Ordering::SeqCst);
        let total = self.total();
        self.budget.quota().set(self.key, total);
    }

    /// Records that the request has been received completely, and charges its handling.
    pub(super) fn complete(&self, bytes: usize) -> Result<(), Refusal> {
        self.body_bytes.store(bytes, Ordering::SeqCst);
        let (now_ms, total) = (clock::mono_ms(), self.total());
        let result = self.budget.quota().complete(self.key, now_ms, total);
        self.settle(result)
    }

    /// Records that the request is refused, and that the answer which says so is to be written.
    pub(super) fn refused(&self) {
        self.body_bytes.store(0, Ordering::SeqCst);
        let (now_ms, total) = (clock::mono_ms(), self.total());
        // A connection that has been evicted is closed without an answer.
        drop(self.budget.quota().complete(self.key, now_ms, total));
        self.handled(0);
    }

    /// Records that the request has been handled, and charges its answer.
    pub(super) fn handled(&self, answer_bytes: usize) {
        self.body_bytes.store(answer_bytes, Ordering::SeqCst);
        let (now_ms, total) = (clock::mono_ms(), self.total());
        let evicted = self.budget.quota().answer(self.key, now_ms, total);
        self.budget.evict("answers", &evicted);
    }

    /// Records bytes of an answer that have been written while others remain.
    pub(super) fn wrote(&self, count: usize) {
        let now_ms = clock::mono_ms();
        self.budget.quota().wrote(self.key, now_ms, count);
    }

    /// Records that an answer has been handed to the connection.
    pub(super) fn answered(&self) {
        self.is_in_head.store(true, Ordering::SeqCst);
        self.is_answered.store(true, Ordering::SeqCst);
    }

    /// Records that all data handed to the connection has been written.
    pub(super) fn flushed(&self) {
        if self.is_answered.swap(false, Ordering::SeqCst) {
            self.body_bytes.store(0, Ordering::SeqCst);
            let total = self.total();
            let mut quota = self.budget.quota();
            quota.set(self.key, total);
            quota.finish(self.key, clock::mono_ms());
            drop(quota);
            self.written.notify_one();
        }
    }

    fn total(&self) -> usize {
        let body_bytes = self.body_bytes.load(Ordering::SeqCst);
        CONNECTION_BYTES + self.buffer_bytes.load(Ordering::SeqCst) + body_bytes
    }

    fn charge(&self) -> Result<(), Refusal> {
        let (now_ms, total) = (clock::mono_ms(), self.total());
        let result = self.budget.quota().charge(self.key, now_ms, total);
        self.settle(result)
    }

    fn settle(&self, result: Result<Vec<Arc<Notify>>, Refusal>) -> Result<(), Refusal> {
        match result {
            Ok(evicted) => {
                self.budget.evict("bytes", &evicted);
                Ok(())
            }
            Err(refusal) => {
                if refusal != Refusal::Evicted {
                    self.budget.refuse("bytes");
                }
                Err(refusal)
            }
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.budget.quota().close(self.key);
    }
}
