//! What the leader makes of progress and ends.

use crate::flow::message::Active;
use crate::flow::planner::{Planner, Progress};
use crate::flow::registry::{Cause, End, Running};
use crate::flow::{Millis, Run, UnitId, WorkerKey};

/// Time without progress after which a run is taken to stand still; progress is told in whole per
/// cent, so the work of ten minutes shows some within six seconds.
const STILL_MS: Millis = 2_500;

/// The same before the first progress: the members of a gang wait for each other that long.
const FIRST_STILL_MS: Millis = 4_500;

/// Declared time beyond which a run is never taken to stand still.
const LONGEST_WATCHED_MS: Millis = 120_000;

/// Time for which a worker is put aside on which runs stand still.
const STILL_ASIDE_MS: Millis = 3_000;

/// Longest age of a report that progress is judged by.
const FRESH_MS: Millis = 1_500;

/// Jobs that must fail on a worker in a row before it is put aside.
const QUARANTINE_JOBS: usize = 2;

/// First time for which a worker is put aside; doubles each time.
const QUARANTINE_MS: Millis = 4_000;

/// Most doublings.
const QUARANTINE_DOUBLINGS: u32 = 3;

impl Planner {
    pub(super) fn note_progress(&mut self, key: WorkerKey, active: Vec<Active>) {
        let Some(seen) = self.seen.get_mut(&key) else {
            return;
        };
        let now = seen.listed_ms;
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
                checkpoint: entry.checkpoint,
            };
            seen.progress.insert(entry.run, progress);
        }
    }

    /// Whether a worker is put aside.
    pub fn is_quarantined(&self, key: WorkerKey) -> bool {
        let seen = self.seen.get(&key);
        seen.is_some_and(|seen| self.now < seen.quarantined_ms)
    }

    /// Whether the last run to end on a worker by itself has failed.
    pub(super) fn is_doubtful(&self, key: WorkerKey) -> bool {
        self.seen
            .get(&key)
            .is_some_and(|seen| !seen.failed.is_empty())
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

impl Planner {
    /// Stops runs that stand still, and puts the workers aside on which nothing moves.
    pub(super) fn stop_still(&mut self) {
        let still: Vec<(UnitId, Vec<WorkerKey>)> = self
            .projected
            .active()
            .filter_map(|id| Some((id, self.stands_still(id)?)))
            .collect();
        for (unit, workers) in still {
            for key in workers {
                self.put_aside(key);
            }
            self.stop(unit, Cause::Stalled);
        }
    }

    /// Workers of a run that stands still; nothing for one that moves or cannot be judged.
    fn stands_still(&self, id: UnitId) -> Option<Vec<WorkerKey>> {
        let (_job, step) = self.projected.step(id)?;
        let unit = self.projected.unit(id)?;
        let running = unit.running.as_ref()?;
        let watched = !step.long_running && step.estimate_ms < LONGEST_WATCHED_MS;
        if !watched
            || running.stop.is_some()
            || running.members.iter().any(|member| member.end.is_some())
        {
            return None;
        }
        let all_still = running
            .members
            .iter()
            .enumerate()
            .all(|(position, member)| {
                let run = Run {
                    task: id.task(position as u32),
                    number: unit.last_run,
                };
                self.is_still(member.worker, run)
            });
        all_still.then(|| workers_of(running))
    }

    fn is_still(&self, key: WorkerKey, run: Run) -> bool {
        let Some(seen) = self.seen.get(&key) else {
            return false;
        };
        let fresh = seen.answers && self.now < seen.heard_ms + FRESH_MS;
        let still = |progress: &Progress| {
            let limit_ms = if progress.percent == 0 {
                FIRST_STILL_MS
            } else {
                STILL_MS
            };
            seen.listed_ms >= progress.rose_ms + limit_ms
        };
        fresh && seen.progress.get(&run).is_some_and(still)
    }

    /// Puts a worker aside unless something moves there.
    fn put_aside(&mut self, key: WorkerKey) {
        let now = self.now;
        let Some(seen) = self.seen.get_mut(&key) else {
            return;
        };
        let listed_ms = seen.listed_ms;
        let moves =
            |progress: &Progress| listed_ms < progress.rose_ms + FRESH_MS && progress.percent > 0;
        if seen.progress.values().any(moves) {
            return;
        }
        seen.quarantined_ms = seen.quarantined_ms.max(now + STILL_ASIDE_MS);
        log::warn!(worker = key.0; "put aside: nothing moves there");
    }
}

fn workers_of(running: &Running) -> Vec<WorkerKey> {
    let mut workers: Vec<WorkerKey> = running.members.iter().map(|member| member.worker).collect();
    workers.sort_unstable();
    workers.dedup();
    workers
}
