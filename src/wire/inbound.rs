//! Bounds what other processes may use of this one: connections, bytes of calls that have not been
//! answered, and bytes of answers that have not been written.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::{Buf, Bytes};
use tokio::sync::Notify;

use crate::clock;
use crate::notice::Notice;
use crate::serve::quota::{Key, Limits, Quota, Refusal};
use crate::telemetry;
use crate::wire::links::{self, Links};

/// Charge of a call for its own state, in bytes.
const CALL_BYTES: usize = 8 << 10;

/// Share of the limit that evicted calls and links may still hold while more is read: one in this many
/// bytes.
const EVICTED_SHARE: usize = 16;

/// Connections and calls of all peers.
#[derive(Clone, Debug)]
pub(super) struct Inbound {
    links: Arc<Mutex<Links<Arc<Notify>>>>,
    calls: Arc<Mutex<Quota<Arc<Notify>>>>,
    evictions: Evictions,
    max_evicted_bytes: usize,
}

impl Inbound {
    /// Creates the state of a process without peers. Calls and answers have a share of the same size.
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            links: Arc::new(Mutex::new(Links::new(limits))),
            // Calls are bounded by their charge alone.
            calls: Arc::new(Mutex::new(Quota::new(Limits {
                connections: usize::MAX,
                ..limits
            }))),
            evictions: Evictions::default(),
            max_evicted_bytes: limits.bytes / EVICTED_SHARE,
        }
    }

    /// Reports whether the evicted calls and links have released most of what they held.
    pub(super) fn is_settled(&self) -> bool {
        let evicted = lock(&self.links).evicted_bytes() + lock(&self.calls).evicted_bytes();
        evicted <= self.max_evicted_bytes
    }

    /// Adds a connection, and evicts another one at the limit. Returns nothing if calls of all others
    /// are in progress.
    pub(super) fn open_connection(&self) -> Option<Link> {
        let evicted: Arc<Notify> = Arc::default();
        let opened = lock(&self.links).open(clock::mono_ms(), Arc::clone(&evicted));
        let Ok((key, other)) = opened else {
            refuse("links");
            return None;
        };
        self.evictions.report("links", other);
        Some(Link {
            links: Arc::clone(&self.links),
            evictions: self.evictions.clone(),
            key,
            evicted,
        })
    }

    /// Adds a call.
    pub(super) fn open_call(&self) -> Result<Share, Refusal> {
        let evicted: Arc<Notify> = Arc::default();
        let opened = lock(&self.calls).open(clock::mono_ms(), Arc::clone(&evicted));
        let (key, _none) = opened.inspect_err(|_refusal| refuse("calls"))?;
        let share = Share {
            calls: Arc::clone(&self.calls),
            evictions: self.evictions.clone(),
            key,
            evicted,
        };
        share.charge(0)?;
        Ok(share)
    }
}

/// A connection of a peer.
#[derive(Debug)]
pub(super) struct Link {
    links: Arc<Mutex<Links<Arc<Notify>>>>,
    evictions: Evictions,
    key: links::Key,
    evicted: Arc<Notify>,
}

impl Link {
    /// Waits until the connection is evicted.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Records that the handshake has ended.
    pub(super) fn greeted(&self) {
        lock(&self.links).greet(self.key, clock::mono_ms());
    }

    /// Records that bytes of a call have been received.
    pub(super) fn received(&self) {
        lock(&self.links).received(self.key, clock::mono_ms());
    }

    /// Counts a call as in progress until the returned guard is dropped.
    pub(super) fn begin_call(self: &Arc<Self>) -> Guard {
        lock(&self.links).begin_call(self.key);
        Guard(Arc::clone(self))
    }

    /// Charges an answer until it has been written or its connection is closed.
    pub(super) fn queue(self: &Arc<Self>, data: Bytes) -> Answer {
        let charge = data.len() + links::ANSWER_BYTES;
        let evicted = lock(&self.links).queue(self.key, clock::mono_ms(), charge);
        self.evictions.report("answers", evicted);
        Answer {
            data,
            charge,
            link: Arc::clone(self),
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        lock(&self.links).close(self.key);
    }
}

/// A call in progress on a connection.
#[derive(Debug)]
pub(super) struct Guard(Arc<Link>);

impl Drop for Guard {
    fn drop(&mut self) {
        lock(&self.0.links).end_call(self.0.key, clock::mono_ms());
    }
}

/// An encoded answer, which `h2` drops once it has written it.
#[derive(Debug)]
pub(super) struct Answer {
    data: Bytes,
    charge: usize,
    link: Arc<Link>,
}

impl Buf for Answer {
    fn remaining(&self) -> usize {
        self.data.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.data.chunk()
    }

    fn advance(&mut self, cnt: usize) {
        self.data.advance(cnt);
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        lock(&self.link.links).written(self.link.key, clock::mono_ms(), self.charge);
    }
}

/// Tells the owners of evicted connections and calls, and logs a limited number of them.
#[derive(Clone, Debug, Default)]
struct Evictions(Arc<Notice>);

impl Evictions {
    fn report(&self, cause: &'static str, signals: impl IntoIterator<Item = Arc<Notify>>) {
        for signal in signals {
            signal.notify_one();
            let closed = &telemetry::CONNECTIONS_CLOSED;
            closed.with_label_values(&[cause]).inc();
            if let Some(omitted) = self.0.admit(clock::mono_ms()) {
                log::warn!(cause = cause, omitted = omitted; "slow or idle peer evicted: the limit of {cause} is reached");
            }
        }
    }
}

fn refuse(cause: &str) {
    let refused = &telemetry::REQUESTS_REFUSED;
    refused.with_label_values(&[cause]).inc();
}

/// The share of a call in the quota, which is returned when it is dropped.
#[derive(Debug)]
pub(super) struct Share {
    calls: Arc<Mutex<Quota<Arc<Notify>>>>,
    evictions: Evictions,
    key: Key,
    evicted: Arc<Notify>,
}

impl Share {
    /// Waits until the call is evicted.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Records bytes received.
    pub(super) fn received(&self, count: usize) {
        lock(&self.calls).received(self.key, clock::mono_ms(), count);
    }

    /// Charges the bytes that are held.
    pub(super) fn charge(&self, bytes: usize) -> Result<(), Refusal> {
        let bytes = bytes.saturating_add(CALL_BYTES);
        let result = lock(&self.calls).charge(self.key, clock::mono_ms(), bytes);
        self.settle(result)
    }

    /// Records that the call has been received completely, and charges the bytes that are held.
    pub(super) fn complete(&self, bytes: usize) -> Result<(), Refusal> {
        let bytes = bytes.saturating_add(CALL_BYTES);
        let result = lock(&self.calls).complete(self.key, clock::mono_ms(), bytes);
        self.settle(result)
    }

    fn settle(&self, result: Result<Vec<Arc<Notify>>, Refusal>) -> Result<(), Refusal> {
        let evicted = result.inspect_err(|refusal| {
            if *refusal != Refusal::Evicted {
                refuse("calls");
            }
        })?;
        self.evictions.report("calls", evicted);
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        lock(&self.calls).close(self.key);
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
