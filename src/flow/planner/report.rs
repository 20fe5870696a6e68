//! Workers as their agents report them: registration, contact, the ends of runs, and removal.

use crate::flow::command::Command;
use crate::flow::message::{Ended, Report};
use crate::flow::planner::{Observation, Planner};
use crate::flow::registry::{End, Info, Registry, State};
use crate::flow::{Millis, Run, WorkerKey};
use crate::telemetry;

/// Why a worker is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// Its agent reports that the incarnation has ended.
    Expired,
    /// A later incarnation has taken its place.
    Superseded,
    /// No contact until its leases expired.
    Silent,
}

impl Loss {
    /// Returns the value of the metric's label.
    fn label(self) -> &'static str {
        match self {
            Self::Expired => "expired",
            Self::Superseded => "superseded",
            Self::Silent => "silent",
        }
    }
}

impl std::fmt::Display for Loss {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Expired => "its agent reports that the incarnation has ended",
            Self::Superseded => "a later incarnation has taken its place",
            Self::Silent => "no contact until its leases expired",
        })
    }
}

impl Planner {
    /// Renews the grant of an agent that is about to receive its orders. Returns false, without a new
    /// grant, if the worker was declared lost, even if that decision is not committed yet.
    pub fn try_grant(&mut self, now: Millis, worker: WorkerKey) -> bool {
        if self.projected.worker(worker).is_none() {
            return false;
        }
        self.now = self.now.max(now);
        let lease_end_ms = self.grant_end_ms();
        let observation = self.observations.entry(worker).or_default();
        observation.lease_end_ms = observation.lease_end_ms.max(lease_end_ms);
        observation.last_contact_ms = observation.last_contact_ms.max(now);
        self.watched.next_loss_ms = self.watched.next_loss_ms.min(lease_end_ms);
        true
    }

    /// Handles an agent's report on its worker.
    pub fn report(&mut self, now: Millis, report: Report) {
        self.now = self.now.max(now);
        let Some(key) = self.find_or_register(&report) else {
            return;
        };
        self.observe(key, &report);
        self.log_duplicates(key, &report);
        let is_settled = report.settled == Some(key);
        let fenced = self.projected.worker(key).map(|worker| worker.fenced);
        if fenced == Some(true) {
            if is_settled {
                log::info!(worker = report.info.name; "worker unfenced: its old leases have expired");
                self.push(Command::Unfence { worker: key });
            }
            return;
        }
        self.record_progress(key, report.active);
        self.record_speed(key);
        let cursor = self.projected.worker(key).map_or(0, |worker| worker.cursor);
        for ended in report.ended {
            if ended.number > cursor {
                self.count_contradiction(key, &ended);
                self.update_failures(key, ended.run, ended.end);
                self.record_end(key, ended);
            }
        }
        let end = if report.expired {
            End::Lapsed
        } else {
            End::Absent
        };
        for run in report.absent {
            self.end_absent(key, run, end);
        }
        if is_settled {
            self.remove_predecessors(key);
        }
        // An expired report that arrives late ends no run that was placed since.
        let has_runs = self
            .projected
            .worker(key)
            .is_some_and(|worker| !worker.runs.is_empty());
        if report.expired && !has_runs {
            self.remove_worker(key, Loss::Expired);
        }
    }

    /// Returns the worker that a report is about. Registers one that is not known, unless it has ended
    /// or another incarnation has replaced it.
    fn find_or_register(&mut self, report: &Report) -> Option<WorkerKey> {
        let info = &report.info;
        let known = self.projected.find_worker(&info.name, info.incarnation);
        if known.is_some() || report.expired {
            return known;
        }
        if self.projected.is_replaced(info) {
            log::info!(worker = info.name, incarnation = info.incarnation; "ignored a late report on a replaced incarnation");
            return None;
        }
        Some(self.register(info))
    }

    /// Records what a report says of the worker's state.
    fn observe(&mut self, key: WorkerKey, report: &Report) {
        let was_unusable = self
            .observations
            .get(&key)
            .is_none_or(|observation| observation.draining || !observation.responsive);
        let lease_end_ms = self.grant_end_ms();
        let now = self.now;
        let observation = self.observations.entry(key).or_default();
        observation.last_contact_ms = now;
        observation.lease_end_ms = observation.lease_end_ms.max(lease_end_ms);
        self.watched.next_loss_ms = self.watched.next_loss_ms.min(lease_end_ms);
        self.watched.reported.insert(key);
        if report.draining && !observation.draining {
            log::info!(worker = report.info.name; "worker draining, {} ms remaining", report.remaining_ms);
        }
        self.departures
            .record(now, key, report.draining, report.remaining_ms);
        observation.draining = report.draining;
        observation.responsive = report.responsive;
        if !observation.reported {
            observation.reported = true;
            self.gathered += 1;
            self.gathered_ms = now;
        }
        observation.listed_ms = observation.listed_ms.max(now.saturating_sub(report.age_ms));
        self.dirty |= was_unusable;
    }

    /// Logs and counts the end of a run that the log has ended otherwise, as after it was judged absent
    /// or its worker was declared lost.
    fn count_contradiction(&self, key: WorkerKey, ended: &Ended) {
        let run = ended.run;
        if self.is_assigned(key, run) || self.predecessor_with(key, run).is_some() {
            return;
        }
        let label = format!("{:?}", ended.end).to_lowercase();
        telemetry::CONTRADICTED_ENDS
            .with_label_values(&[&label])
            .inc();
        log::warn!(job:% = format_args!("{:016x}", run.task.job), step = run.task.step,
            index = run.task.index, run = run.number, key = key.0, number = ended.number;
            "run has ended on its worker as {label}, but the log had ended it before");
    }

    /// Records the end of a run, and logs if that ends the job.
    fn record_end(&mut self, key: WorkerKey, ended: Ended) {
        let Ended {
            number,
            run,
            end,
            checkpoint,
        } = ended;
        let job = run.task.job;
        let name = self
            .projected
            .worker(key)
            .map(|worker| worker.info.name.clone());
        log::info!(job:% = format_args!("{job:016x}"), step = run.task.step, index = run.task.index,
            run = run.number, worker = name.unwrap_or_default(); "run ended: {end:?}");
        let state = |registry: &Registry| registry.job(job).map(|job| job.state);
        let before = state(&self.projected);
        let (samples, durations) = (self.samples(), self.run_and_expected_ms(run));
        if let Some(predecessor) = self.predecessor_with(key, run) {
            // The worker has run what was meant for the incarnation before.
            self.push(Command::EndRun {
                worker: predecessor,
                number: 0,
                run,
                end,
                checkpoint: checkpoint.clone(),
            });
        }
        self.push(Command::EndRun {
            worker: key,
            number,
            run,
            end,
            checkpoint,
        });
        if let Some((run_ms, expected_ms @ 1..)) = durations
            && self.samples() > samples
        {
            telemetry::DURATION_RATIO.observe(run_ms as f64 / expected_ms as f64);
        }
        let after = state(&self.projected);
        if before != after {
            log::info!(job:% = format_args!("{job:016x}"); "job ended: {:?}", after.unwrap_or(State::Open));
        }
    }

    /// Ends a run that is not active on its worker, with its latest reported checkpoint.
    fn end_absent(&mut self, key: WorkerKey, run: Run, end: End) {
        if !self.is_assigned(key, run) {
            return;
        }
        // A worker that may get no runs has refused this one for that.
        if end == End::Absent && self.projected.is_wanted(key, run) && self.is_usable(key) {
            self.record_refusal(key);
        }
        let observation = self.observations.get(&key);
        let progress = observation.and_then(|observation| observation.progress.get(&run));
        let checkpoint = progress.map(|progress| progress.checkpoint.clone());
        self.push(Command::EndRun {
            worker: key,
            number: 0,
            run,
            end,
            checkpoint: checkpoint.unwrap_or_default(),
        });
    }

    fn is_assigned(&self, key: WorkerKey, run: Run) -> bool {
        let worker = self.projected.worker(key);
        worker.is_some_and(|worker| worker.runs.get(&run.task) == Some(&run.number))
    }

    /// Returns the predecessor of a worker that has a run.
    fn predecessor_with(&self, key: WorkerKey, run: Run) -> Option<WorkerKey> {
        let observation = self.observations.get(&key)?;
        let mut predecessors = observation.predecessors.iter().copied();
        predecessors.find(|predecessor| self.is_assigned(*predecessor, run))
    }

    /// Reports whether an earlier incarnation at the same agent may still have active runs.
    pub(super) fn has_predecessor(&self, observation: &Observation) -> bool {
        let mut predecessors = observation.predecessors.iter();
        predecessors.any(|key| self.projected.worker(*key).is_some())
    }

    /// Registers a new incarnation of a worker.
    fn register(&mut self, info: &Info) -> WorkerKey {
        let predecessors = self.projected.workers_of(&info.instance).collect();
        let key = self.projected.next_worker();
        log::info!(worker = info.name, key = key.0, rack = info.rack, domain = info.domain; "worker registered");
        self.push(Command::RegisterWorker {
            key,
            info: info.clone(),
        });
        self.observations.entry(key).or_default().predecessors = predecessors;
        key
    }

    /// Removes the incarnations before a settled worker.
    fn remove_predecessors(&mut self, key: WorkerKey) {
        let observation = self.observations.get_mut(&key);
        let predecessors =
            observation.map(|observation| std::mem::take(&mut observation.predecessors));
        for predecessor in predecessors.into_iter().flatten() {
            if self.projected.worker(predecessor).is_some() {
                self.remove_worker(predecessor, Loss::Superseded);
            }
        }
    }

    /// Removes a worker and ends its runs with their latest reported checkpoints.
    fn remove_worker(&mut self, key: WorkerKey, loss: Loss) {
        self.failing.remove(&key);
        self.departures.remove(key);
        self.speeds.remove(key);
        let observation = self.observations.remove(&key).unwrap_or_default();
        let silent_ms = self.now.saturating_sub(observation.last_contact_ms);
        let listed_ago_ms = self.now.saturating_sub(observation.listed_ms);
        let runs = self
            .projected
            .worker(key)
            .map_or(0, |worker| worker.runs.len());
        let checkpoints = observation.progress.into_iter();
        let checkpoints = checkpoints
            .map(|(run, progress)| (run, progress.checkpoint))
            .collect();
        let name = self
            .projected
            .worker(key)
            .map(|worker| worker.info.name.clone());
        telemetry::WORKERS_REMOVED
            .with_label_values(&[loss.label()])
            .inc();
        log::info!(worker = name.unwrap_or_default(), key = key.0, runs = runs, silent_ms = silent_ms,
            listed_ago_ms = listed_ago_ms; "worker lost: {loss}");
        self.push(Command::RemoveWorker {
            worker: key,
            checkpoints,
        });
    }

    /// Declares workers lost whose leases must have expired.
    pub(super) fn remove_lost(&mut self) {
        let now = self.now;
        if now <= self.watched.next_loss_ms {
            return;
        }
        let keys: Vec<WorkerKey> = self.projected.workers().map(|(key, _worker)| key).collect();
        for key in keys {
            let has_expired = self
                .observations
                .get(&key)
                .is_none_or(|observation| now > observation.lease_end_ms);
            if has_expired {
                self.remove_worker(key, Loss::Silent);
            }
        }
        let ends = self
            .observations
            .values()
            .map(|observation| observation.lease_end_ms);
        self.watched.next_loss_ms = ends.min().unwrap_or(Millis::MAX);
    }
}
