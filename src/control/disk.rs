//! The disk thread: writes what has gathered since the last sync as one batch.

use std::thread;
use std::time::Instant;

use crossbeam::channel;

use crate::error;
use crate::raft::message;
use crate::raft::node;
use crate::raft::{Index, Term};
use crate::store;
use crate::store::disk;
use crate::telemetry;

/// Jobs that may wait for the disk.
const RING: usize = 4_096;

/// Most jobs in one sync.
const MAX_GROUP: usize = 1_024;

/// Work for the disk thread.
#[derive(Debug)]
pub enum Job {
    /// Writes, then hands on the messages that depend on them.
    Write {
        writes: Vec<node::Write>,
        after: Vec<message::Message>,
        /// Last entry written, to be reported as durable.
        last: Option<(Index, Term)>,
    },
    /// Saves a snapshot of the state and drops what it covers.
    Save {
        snapshot: store::Snapshot,
        after: Vec<message::Entry>,
    },
}

/// What the disk thread has done.
#[derive(Debug)]
pub enum Done {
    Written {
        after: Vec<message::Message>,
        last: Option<(Index, Term)>,
    },
    Saved {
        index: Index,
    },
    /// The disk has failed; the member must stop.
    Failed(error::Error),
}

/// Starts the thread.
///
/// # Errors
/// `Internal` when no thread can be started.
pub fn start<D: disk::Disk + Send + 'static>(
    store: store::Store<D>,
    done: channel::Sender<Done>,
) -> error::Result<channel::Sender<Job>> {
    let (jobs, queue) = channel::bounded(RING);
    thread::Builder::new()
        .name("disk".to_owned())
        .spawn(move || run(store, &queue, &done))
        .map_err(|err| error::Error::new(error::Kind::Internal, err.to_string()))?;
    Ok(jobs)
}

fn run<D: disk::Disk>(
    mut store: store::Store<D>,
    queue: &channel::Receiver<Job>,
    done: &channel::Sender<Done>,
) {
    let mut next = queue.recv().ok();
    while let Some(job) = next.take() {
        let result = match job {
            Job::Save { snapshot, after } => {
                let index = snapshot.index;
                store
                    .save(snapshot, after)
                    .map(|()| vec![Done::Saved { index }])
            }
            write @ Job::Write { .. } => write_group(&mut store, queue, write, &mut next),
        };
        let outcomes = result.unwrap_or_else(|err| vec![Done::Failed(err)]);
        for outcome in outcomes {
            if done.send(outcome).is_err() {
                return;
            }
        }
        if next.is_none() {
            next = queue.recv().ok();
        }
    }
}

/// Writes a job together with all writes that wait behind it.
fn write_group<D: disk::Disk>(
    store: &mut store::Store<D>,
    queue: &channel::Receiver<Job>,
    first: Job,
    next: &mut Option<Job>,
) -> error::Result<Vec<Done>> {
    let mut writes = Vec::new();
    let mut outcomes = Vec::new();
    let mut job = Some(first);
    while let Some(Job::Write {
        writes: more,
        after,
        last,
    }) = job.take()
    {
        writes.extend(more);
        outcomes.push(Done::Written { after, last });
        if outcomes.len() == MAX_GROUP {
            break;
        }
        match queue.try_recv() {
            Ok(write @ Job::Write { .. }) => job = Some(write),
            Ok(save) => *next = Some(save),
            Err(_empty) => {}
        }
    }
    let start = Instant::now();
    store.write(&writes)?;
    telemetry::SYNC_SECONDS.observe(start.elapsed().as_secs_f64());
    telemetry::SYNC_WRITES.inc_by(outcomes.len() as u64);
    Ok(outcomes)
}
