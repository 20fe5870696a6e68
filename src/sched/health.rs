//! Detects workers on which jobs fail that succeed elsewhere.
//!
//! A failed gang counts against its workers, and a success clears them. A worker on which several
//! different jobs failed in a row is quarantined and probed at growing intervals. A job that failed
//! on several disjoint sets of workers is itself at fault and no longer counts against them.

use crate::map;
use crate::sched::event;
use crate::sched::{JobId, Millis};

/// Number of different jobs that must fail in a row on a worker before it is quarantined.
const QUARANTINE_FAILURES: usize = 3;

/// Number of failed attempts after which a job is ended.
pub const MAX_ATTEMPTS: u32 = 3;

/// Delay before the first probe of a quarantined worker.
const FIRST_PROBE_DELAY_MS: Millis = 30_000;

/// Maximum delay between probes.
const MAX_PROBE_DELAY_MS: Millis = 600_000;

/// Failures on one worker.
#[derive(Clone, Debug, Default)]
struct Record {
    /// Jobs that failed on the worker since its last success.
    failed_jobs: Vec<JobId>,
    quarantine: Option<Quarantine>,
}

#[derive(Clone, Copy, Debug)]
struct Quarantine {
    next_probe_ms: Millis,
    /// Current delay between probes; doubles with each failed probe.
    probe_delay_ms: Millis,
}

/// Failure history of the workers.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    records: map::Map<event::WorkerKey, Record>,
}

impl Tracker {
    /// Clears the workers of a successful gang and returns those that leave quarantine.
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

    /// Counts a failed job against workers and returns those to quarantine, each with its number of
    /// failures and the time of its first probe.
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

    /// Removes a job that fails everywhere from all records and returns the workers that leave
    /// quarantine thereby.
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

    /// Restores a quarantine recorded in the ledger.
    pub fn adopt(&mut self, worker: event::WorkerKey, now: Millis) {
        let record = self.records.entry(worker).or_default();
        record.quarantine = Some(Quarantine {
            next_probe_ms: now,
            probe_delay_ms: FIRST_PROBE_DELAY_MS,
        });
    }

    /// Reports whether a worker is quarantined.
    pub fn is_quarantined(&self, worker: event::WorkerKey) -> bool {
        self.records
            .get(&worker)
            .is_some_and(|record| record.quarantine.is_some())
    }

    /// Returns the quarantined workers whose next probe is due.
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

    /// Defers the next probe while one is running.
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
