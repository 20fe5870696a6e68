//! What the leader makes of progress and ends.

use crate::flow::book::End;
use crate::flow::message::Active;
use crate::flow::planner::{Planner, Progress};
use crate::flow::{Millis, Run, WorkerKey};

/// Jobs that must fail on a worker in a row before it is put aside.
const QUARANTINE_JOBS: usize = 2;

/// First time for which a worker is put aside; doubles each time.
const QUARANTINE_MS: Millis = 4_000;

/// Most doublings.
const QUARANTINE_DOUBLINGS: u32 = 3;

impl Planner {
    pub(super) fn note_progress(&mut self, key: WorkerKey, active: Vec<Active>) {
        let now = self.now;
        let Some(seen) = self.seen.get_mut(&key) else {
            return;
        };
        let mut old = std::mem::take(&mut seen.progress);
        for entry in active {
            let before = old.remove(&entry.run);
            let rose = before
                .as_ref()
                .is_none_or(|before| entry.percent > before.percent);
            let rose_ms = match before {
                Some(before) if !rose => before.rose_ms,
                _ => now,
            };
            let progress = Progress {
                percent: entry.percent,
                rose_ms,
                saved: entry.saved,
            };
            seen.progress.insert(entry.run, progress);
        }
    }

    /// Whether the last run to end on a worker by itself has failed.
    pub(super) fn is_doubtful(&self, key: WorkerKey) -> bool {
        self.seen.get(&key).is_some_and(|seen| !seen.failed.is_empty())
    }

    /// Counts failures in a row and puts a worker aside on which several jobs have failed.
    pub(super) fn note_end(&mut self, key: WorkerKey, run: Run, end: End) {
        let now = self.now;
        let Some(seen) = self.seen.get_mut(&key) else {
            return;
        };
        match end {
            End::Done => {
                seen.failed.clear();
                seen.quarantines = 0;
            }
            End::Failed if !seen.failed.contains(&run.task.job) => seen.failed.push(run.task.job),
            _ => {}
        }
        if seen.failed.len() >= QUARANTINE_JOBS {
            seen.failed.clear();
            let doublings = seen.quarantines.min(QUARANTINE_DOUBLINGS);
            seen.quarantines += 1;
            seen.quarantined_ms = now + (QUARANTINE_MS << doublings);
            log::warn!(worker = key.0; "put aside: several jobs have failed there in a row");
        }
    }
}
