//! The parts of the projected registry that a pass looks at, kept up to date with each command, so that
//! a pass need not go through all jobs, runs and workers.

use std::collections::BTreeSet;

use crate::flow::command::Command;
use crate::flow::registry::{Job, Registry, State};
use crate::flow::{JobId, Millis, UnitId, WorkerKey};

/// The urgency at which an account's guarantee counts.
const GUARANTEED_PRIORITY: u32 = 0;

/// Jobs, units and workers to look at.
#[derive(Debug)]
pub(super) struct Watched {
    /// Jobs with a schedule whose occurrences may not all be open.
    pub scheduled: BTreeSet<JobId>,
    /// Jobs that may count towards their account's guarantee.
    pub urgent: BTreeSet<JobId>,
    /// Units a part of whose run has ended since the last pass.
    pub ended: BTreeSet<UnitId>,
    /// Workers that have reported since the last pass.
    pub reported: BTreeSet<WorkerKey>,
    /// Time before which no worker's leases can have expired.
    pub next_loss_ms: Millis,
}

impl Watched {
    /// Looks at everything in a registry.
    pub fn new(registry: &Registry) -> Self {
        let mut watched = Self {
            scheduled: BTreeSet::new(),
            urgent: BTreeSet::new(),
            ended: registry.active().collect(),
            reported: BTreeSet::new(),
            next_loss_ms: Millis::MAX,
        };
        for job in registry.jobs() {
            watched.add_job(job);
        }
        watched
    }

    fn add_job(&mut self, job: &Job) {
        if job.state != State::Open {
            return;
        }
        if job.spec.schedule.is_some() {
            self.scheduled.insert(job.id);
        }
        if job.queue.priority == GUARANTEED_PRIORITY && !job.account.is_empty() {
            self.urgent.insert(job.id);
        }
    }

    /// Notes what a command is about to change.
    pub fn note(&mut self, registry: &Registry, command: &Command) {
        match command {
            Command::Accept(accepted) => {
                if accepted.spec.schedule.is_some() {
                    self.scheduled.insert(accepted.id);
                }
                if accepted.queue.priority == GUARANTEED_PRIORITY && !accepted.account.is_empty() {
                    self.urgent.insert(accepted.id);
                }
            }
            Command::EndRun { run, .. } => self.ended.extend(registry.unit_of(run.task)),
            Command::RemoveWorker { worker, .. } => {
                let runs = registry.worker(*worker).map(|worker| &worker.runs);
                let tasks = runs.into_iter().flat_map(|runs| runs.keys());
                self.ended
                    .extend(tasks.filter_map(|task| registry.unit_of(*task)));
            }
            _ => {}
        }
    }
}
