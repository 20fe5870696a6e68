//! Finds workers on which jobs fail that pass elsewhere.
//!
//! Every failed gang blames its members; a success clears them. A worker that failed several
//! different jobs in a row is quarantined, and probed with growing pauses. A job that failed on
//! several disjoint sets of workers is itself at fault, and its blame is withdrawn.

use crate::map;
use crate::sched::event;
use crate::sched::{JobId, Millis};

/// Different jobs that must fail in a row on a worker.
const QUARANTINE_FAILURES: usize = 3;

/// Sets of workers on which a job may fail.
pub const MAX_ATTEMPTS: u32 = 3;

/// First pause before a probe.
const FIRST_PROBE_DELAY_MS: Millis = 30_000;

/// Longest pause before a probe.
const MAX_PROBE_DELAY_MS: Millis = 600_000;

#[derive(Clone, Debug, Default)]
struct Record {
    /// Jobs that failed here since the last success.
    failed_jobs: Vec<JobId>,
    quarantine: Option<Quarantine>,
}

#[derive(Clone, Copy, Debug)]
struct Quarantine {
    next_probe_ms: Millis,
    probe_delay_ms: Millis,
}

/// Failure history of the workers.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    records: map::Map<event::WorkerKey, Record>,
}

impl Tracker {
    /// Clears the workers of a gang that was done; returns those that leave quarantine.
    pub fn record_success(&mut self, members: &[event::Member]) -> Vec<event::WorkerKey> {
        let mut recovered = Vec::new();
        for member in members {
            let Some(record) = self.records.remove(&member.worker) else {
                continue;
            };
            if record.quarantine.is_some() {
                recovered.push(member.worker);
            }
        }
        recovered
    }

    /// Blames workers for a failed gang; returns those to quarantine, with failures and end.
    pub fn record_failure(
        &mut self,
        job: JobId,
        workers: &[event::WorkerKey],
        now: Millis,
    ) -> Vec<(event::WorkerKey, u32, Millis)> {
        let mut quarantined = Vec::new();
        for worker in workers {
            let record = self.records.entry(*worker).or_default();
            if !record.failed_jobs.contains(&job) {
                record.failed_jobs.push(job);
            }
            let failures = record.failed_jobs.len();
            match &mut record.quarantine {
                Some(quarantine) => {
                    quarantine.probe_delay_ms =
                        (quarantine.probe_delay_ms * 2).min(MAX_PROBE_DELAY_MS);
                    quarantine.next_probe_ms = now + quarantine.probe_delay_ms;
                }
                None if failures >= QUARANTINE_FAILURES => {
                    let next_probe_ms = now + FIRST_PROBE_DELAY_MS;
                    record.quarantine = Some(Quarantine {
                        next_probe_ms,
                        probe_delay_ms: FIRST_PROBE_DELAY_MS,
                    });
                    quarantined.push((*worker, failures as u32, next_probe_ms));
                }
                None => {}
            }
        }
        quarantined
    }

    /// Withdraws the blame for a job that fails everywhere; returns workers that are cleared by it.
    pub fn withdraw_blame(&mut self, job: JobId) -> Vec<event::WorkerKey> {
        let mut cleared = Vec::new();
        for (worker, record) in &mut self.records {
            let before = record.failed_jobs.len();
            record.failed_jobs.retain(|blamed| *blamed != job);
            let is_cleared =
                record.failed_jobs.len() < before && record.failed_jobs.len() < QUARANTINE_FAILURES;
            if is_cleared && record.quarantine.take().is_some() {
                cleared.push(*worker);
            }
        }
        cleared.sort_unstable();
        cleared
    }

    /// Takes over a quarantine that the ledger knows of.
    pub fn adopt(&mut self, worker: event::WorkerKey, now: Millis) {
        let record = self.records.entry(worker).or_default();
        record.quarantine = Some(Quarantine {
            next_probe_ms: now,
            probe_delay_ms: FIRST_PROBE_DELAY_MS,
        });
    }

    /// Whether a worker is in quarantine.
    pub fn is_quarantined(&self, worker: event::WorkerKey) -> bool {
        self.records
            .get(&worker)
            .is_some_and(|record| record.quarantine.is_some())
    }

    /// Quarantined workers whose next probe is due.
    pub fn due_probes(&self, now: Millis) -> Vec<event::WorkerKey> {
        let is_due = |record: &Record| {
            record
                .quarantine
                .is_some_and(|quarantine| quarantine.next_probe_ms <= now)
        };
        let mut due: Vec<event::WorkerKey> = self
            .records
            .iter()
            .filter(|(_worker, record)| is_due(record))
            .map(|(worker, _record)| *worker)
            .collect();
        due.sort_unstable();
        due
    }

    /// Puts off the next probe while one is running.
    pub fn defer_probe(&mut self, worker: event::WorkerKey, now: Millis) {
        if let Some(quarantine) = self
            .records
            .get_mut(&worker)
            .and_then(|record| record.quarantine.as_mut())
        {
            quarantine.next_probe_ms = now + quarantine.probe_delay_ms;
        }
    }
}
