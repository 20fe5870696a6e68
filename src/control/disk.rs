//! The disk thread: writes everything queued since the last sync as one batch.

use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel;

use crate::error;
use crate::raft::message;
use crate::raft::node;
use crate::raft::{Index, Term};
use crate::store;
use crate::store::disk;
use crate::telemetry;

/// Maximum number of requests queued for the disk.
const QUEUE_CAPACITY: usize = 4_096;

/// Pause before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Number of failed attempts per log line.
const ATTEMPTS_PER_LINE: u32 = 25;

/// Maximum number of requests written with one sync.
const MAX_BATCH_REQUESTS: usize = 1_024;

/// A request to the disk thread.
#[derive(Debug)]
pub enum Request {
    /// Writes, then returns the messages that may be sent once the writes are durable.
    Write {
        writes: Vec<node::Write>,
        after: Vec<message::Message>,
        /// Last entry written, to be reported as durable.
        last: Option<(Index, Term)>,
    },
    /// Saves a snapshot of the state and removes the log entries that it covers.
    Save {
        snapshot: store::Snapshot,
        after: Vec<message::Entry>,
    },
}

/// A request that the disk thread has completed.
#[derive(Debug)]
pub enum Completion {
    Written {
        after: Vec<message::Message>,
        last: Option<(Index, Term)>,
        /// Size of the log on the disk, in bytes.
        log_bytes: u64,
    },
    Saved {
        index: Index,
        /// Size of the log on the disk, in bytes.
        log_bytes: u64,
    },
}

/// Starts the thread. Returns the queues of requests and completions.
///
/// # Errors
/// `Internal` when no thread can be started.
pub fn start<D: disk::Disk + Send + 'static>(
    store: store::Store<D>,
) -> error::Result<(channel::Sender<Request>, channel::Receiver<Completion>)> {
    let (requests, queue) = channel::bounded(QUEUE_CAPACITY);
    // The member waits while the queue of requests is full. If this thread waited for the member in
    // turn, both would wait for ever.
    let (completed, completions) = channel::unbounded();
    thread::Builder::new()
        .name("disk".to_owned())
        .spawn(move || run(store, &queue, &completed))
        .map_err(|err| error::Error::new(error::Kind::Internal, err.to_string()))?;
    Ok((requests, completions))
}

fn run<D: disk::Disk>(
    mut store: store::Store<D>,
    queue: &channel::Receiver<Request>,
    completed: &channel::Sender<Completion>,
) {
    let mut next = queue.recv().ok();
    while let Some(request) = next.take() {
        let completions = match request {
            Request::Save { snapshot, after } => {
                let index = snapshot.index;
                retry_write(&mut store, |store| {
                    store.save_snapshot(snapshot.clone(), after.clone())
                });
                let log_bytes = store.log_bytes();
                vec![Completion::Saved { index, log_bytes }]
            }
            write @ Request::Write { .. } => write_batch(&mut store, queue, write, &mut next),
        };
        telemetry::LOG_BYTES.set(store.log_bytes() as i64);
        for completion in completions {
            if completed.send(completion).is_err() {
                return;
            }
        }
        if next.is_none() {
            next = queue.recv().ok();
        }
    }
}

/// Retries a write until it succeeds. A member whose disk is full or rejects writes sends nothing
/// that depends on them, which the other members treat as silence; stopping it would not help.
fn retry_write<D: disk::Disk>(
    store: &mut store::Store<D>,
    mut write: impl FnMut(&mut store::Store<D>) -> error::Result<()>,
) {
    let mut attempts = 0;
    while let Err(err) = write(store) {
        if attempts % ATTEMPTS_PER_LINE == 0 {
            let usage = store.usage().unwrap_or_default();
            log::error!(
                segment_bytes = usage.segments, snapshot_bytes = usage.snapshots,
                other_bytes = usage.other;
                "disk write failed, retrying: {err}"
            );
        }
        attempts += 1;
        thread::sleep(RETRY_DELAY);
        while let Err(err) = store.discard_partial_write() {
            log::debug!("cannot truncate the incomplete write, retrying: {err}");
            thread::sleep(RETRY_DELAY);
        }
    }
    if attempts > 0 {
        log::info!("disk writes succeed again after {attempts} attempts");
    }
}

/// Writes a request together with all writes queued behind it.
fn write_batch<D: disk::Disk>(
    store: &mut store::Store<D>,
    queue: &channel::Receiver<Request>,
    first: Request,
    next: &mut Option<Request>,
) -> Vec<Completion> {
    let mut writes = Vec::new();
    let mut results = Vec::new();
    let mut request = Some(first);
    while let Some(Request::Write {
        writes: more,
        after,
        last,
    }) = request.take()
    {
        writes.extend(more);
        results.push((after, last));
        if results.len() == MAX_BATCH_REQUESTS {
            break;
        }
        match queue.try_recv() {
            Ok(write @ Request::Write { .. }) => request = Some(write),
            Ok(save) => *next = Some(save),
            Err(_empty) => {}
        }
    }
    let start = Instant::now();
    for part in atomic_parts(&writes) {
        retry_write(store, |store| store.write(part));
    }
    telemetry::SYNC_SECONDS.observe(start.elapsed().as_secs_f64());
    telemetry::SYNC_WRITES.inc_by(results.len() as u64);
    let log_bytes = store.log_bytes();
    let written = |(after, last)| Completion::Written {
        after,
        last,
        log_bytes,
    };
    results.into_iter().map(written).collect()
}

/// Returns the parts that each reach the disk entirely or not at all: a snapshot by itself,
/// everything else together.
fn atomic_parts(writes: &[node::Write]) -> impl Iterator<Item = &[node::Write]> {
    let is_snapshot = |write: &node::Write| matches!(write, node::Write::Snapshot { .. });
    writes.chunk_by(move |a, b| !is_snapshot(a) && !is_snapshot(b))
}
