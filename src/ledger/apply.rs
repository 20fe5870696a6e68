//! Applies commands to the replicated state.

use crate::error;
use crate::flow::WorkerKey;
use crate::ledger::command::Batch;
use crate::ledger::{
    Agent, Command, Grant, Job, KEPT_CHANGED_ITEMS, KEPT_NOTES, KEPT_REVISIONS, Ledger, Note,
    Outcome, Phase, Revision, Worker,
};
use crate::raft::Index;
use crate::sched::event;
use crate::sched::{JobId, Millis};

/// What a batch has changed, used to notify waiting callers and watchers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changeset {
    pub jobs: Vec<JobId>,
    /// Whether the configuration has changed.
    pub config: bool,
    /// Whether jobs of several steps or their workers have changed.
    pub flow: bool,
    /// Agents whose grants have changed.
    pub agents: Vec<String>,
    /// Workers of jobs of several steps whose orders have changed.
    pub workers: Vec<WorkerKey>,
}

impl Ledger {
    /// Applies the batch of one log entry. Each entry must be applied once, in order.
    pub fn apply(&mut self, index: Index, batch: Batch) -> Changeset {
        let mut changeset = Changeset::default();
        self.applied = index;
        for command in batch.commands {
            self.apply_command(index, batch.at_ms, command, &mut changeset);
        }
        changeset.workers = self.flow.take_changed();
        changeset
    }

    /// Marks an entry without commands as applied.
    pub fn skip(&mut self, index: Index) {
        self.applied = index;
    }

    fn apply_command(
        &mut self,
        index: Index,
        now: Millis,
        command: Command,
        changeset: &mut Changeset,
    ) {
        match command {
            Command::Configure {
                delta,
                hash,
                changes,
            } => {
                let revision = Revision {
                    hash,
                    at_ms: now,
                    changes,
                    delta,
                };
                changeset.config |= self.configure(revision);
            }
            Command::Submit {
                job,
                request,
                requirements,
            } => {
                self.next_job = self.next_job.max(job + 1);
                let key = (request.account.clone(), request.key.clone());
                let job = Job {
                    id: job,
                    request,
                    requirements,
                    submitted_ms: now,
                    attempts: 0,
                    ran: error::Ran::No,
                    phase: Phase::Waiting,
                    changed_index: index,
                    notes: Vec::new(),
                };
                self.keys.insert(key, job.id);
                changeset.jobs.push(job.id);
                self.jobs.insert(job.id, job);
            }
            Command::Place {
                job,
                agent,
                incarnation,
                placement,
                reason,
            } => {
                self.grant(index, now, job, (agent, incarnation), placement, changeset);
                self.note(index, now, job, reason, changeset);
            }
            Command::Stop { job, stop, reason } => {
                self.update_grant(job, changeset, |grant| grant.stop = Some(stop));
                self.note(index, now, job, reason, changeset);
            }
            Command::Throttle { job, reason } => {
                self.update_grant(job, changeset, |grant| grant.throttled = true);
                self.note(index, now, job, reason, changeset);
            }
            Command::Requeue { job, ran, reason } => {
                self.remove_grant(job, changeset);
                if let Some(entry) = self.jobs.get_mut(&job) {
                    entry.phase = Phase::Waiting;
                    entry.ran = combine_ran(entry.ran, ran);
                }
                self.note(index, now, job, reason, changeset);
            }
            Command::End {
                job,
                outcome,
                reason,
            } => {
                self.note(index, now, job, reason, changeset);
                self.end(job, outcome, changeset);
            }
            Command::WorkerUp { name, addr, info } => self.worker_up(name, addr, info),
            Command::WorkerDown { key } => {
                if let Some(worker) = self.workers.get_mut(key.0 as usize) {
                    worker.is_up = false;
                }
            }
            Command::Quarantine { key, on } => {
                if let Some(worker) = self.workers.get_mut(key.0 as usize) {
                    worker.is_quarantined = on;
                }
            }
            Command::AgentUp {
                name,
                addr,
                region,
                incarnation,
            } => {
                changeset.agents.push(name.clone());
                self.agents.insert(
                    name,
                    Agent {
                        addr,
                        region,
                        incarnation,
                    },
                );
            }
            Command::Expire { before_ms } => {
                self.expire(before_ms);
                self.flow.expire(before_ms);
            }
            Command::Flow(command) => {
                changeset.flow = true;
                self.flow.apply(index, now, command);
            }
        }
    }

    /// Applies a configuration change, unless another one was applied first. Generations only
    /// increase.
    fn configure(&mut self, revision: Revision) -> bool {
        let delta = &revision.delta;
        if delta.from != self.config.generation || delta.to <= delta.from {
            return false;
        }
        delta.apply(&mut self.config);
        self.hash = revision.hash;
        self.revisions.push_back(revision);
        self.drop_revisions();
        true
    }

    /// Removes the oldest configuration changes beyond the limits.
    fn drop_revisions(&mut self) {
        let changes = self.revisions.iter().map(|revision| &revision.changes);
        let mut items: usize = changes.map(Vec::len).sum();
        while self.revisions.len() > 1
            && (self.revisions.len() > KEPT_REVISIONS || items > KEPT_CHANGED_ITEMS)
        {
            let first = self.revisions.pop_front();
            items -= first.map_or(0, |revision| revision.changes.len());
        }
    }

    fn grant(
        &mut self,
        index: Index,
        now: Millis,
        job: JobId,
        (agent, incarnation): (String, u64),
        placement: event::Placement,
        changeset: &mut Changeset,
    ) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        entry.attempts += 1;
        entry.phase = Phase::Granted(Grant {
            agent: agent.clone(),
            incarnation,
            attempt: entry.attempts,
            token: index,
            placement,
            placed_ms: now,
            stop: None,
            throttled: false,
        });
        self.granted.entry(agent.clone()).or_default().push(job);
        changeset.agents.push(agent);
    }

    fn update_grant(
        &mut self,
        job: JobId,
        changeset: &mut Changeset,
        change: impl FnOnce(&mut Grant),
    ) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        if let Phase::Granted(grant) = &mut entry.phase {
            change(grant);
            changeset.agents.push(grant.agent.clone());
        }
    }

    fn remove_grant(&mut self, job: JobId, changeset: &mut Changeset) {
        let Some(agent) = self
            .jobs
            .get(&job)
            .and_then(Job::grant)
            .map(|grant| grant.agent.clone())
        else {
            return;
        };
        if let Some(jobs) = self.granted.get_mut(&agent) {
            jobs.retain(|granted| *granted != job);
        }
        changeset.agents.push(agent);
    }

    fn end(&mut self, job: JobId, outcome: Outcome, changeset: &mut Changeset) {
        self.remove_grant(job, changeset);
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        // The body is not needed any more, since the job cannot run again.
        entry.request.body = bytes::Bytes::new();
        let service = self.config.services.get(&entry.request.service);
        if let Some(objective) = service.map(|service| service.objective) {
            self.burn.record(entry, &outcome, &objective);
        }
        self.ended.push_back((outcome.ended_ms, job));
        entry.phase = Phase::Ended(outcome);
    }

    fn note(
        &mut self,
        index: Index,
        now: Millis,
        job: JobId,
        reason: event::Reason,
        changeset: &mut Changeset,
    ) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        if entry.notes.len() == KEPT_NOTES {
            // Removes one from the middle, so that the first and the latest decisions are kept.
            entry.notes.remove(KEPT_NOTES / 2);
        }
        entry.notes.push(Note { at_ms: now, reason });
        entry.changed_index = index;
        changeset.jobs.push(job);
    }

    fn worker_up(&mut self, name: String, addr: std::net::SocketAddr, info: event::Worker) {
        let at = info.key.0 as usize;
        if at > self.workers.len() {
            return;
        }
        self.worker_keys.insert(name.clone(), info.key);
        let was_quarantined = self
            .workers
            .get(at)
            .is_some_and(|worker| worker.is_quarantined);
        let worker = Worker {
            name,
            addr,
            info,
            is_up: true,
            is_quarantined: was_quarantined,
        };
        if at == self.workers.len() {
            self.workers.push(worker);
        } else {
            self.workers[at] = worker;
        }
    }

    fn expire(&mut self, before_ms: Millis) {
        while let Some((ended_ms, id)) = self.ended.front().copied() {
            if ended_ms >= before_ms {
                break;
            }
            self.ended.pop_front();
            if let Some(job) = self.jobs.remove(&id) {
                let key = (job.request.account, job.request.key);
                if self.keys.get(&key) == Some(&id) {
                    self.keys.remove(&key);
                }
            }
        }
        self.burn.expire(before_ms);
    }
}

/// Combines what is known about an earlier and a later attempt: whether any of them ran.
pub fn combine_ran(before: error::Ran, now: error::Ran) -> error::Ran {
    match (before, now) {
        (error::Ran::No, now) => now,
        (before, error::Ran::No) => before,
        (error::Ran::Yes, _) | (_, error::Ran::Yes) => error::Ran::Yes,
        (error::Ran::Unknown, error::Ran::Unknown) => error::Ran::Unknown,
    }
}

/// Creates the outcome of a job that ended without an answer.
pub fn failure(kind: error::Kind, ran: error::Ran, detail: String, now: Millis) -> Outcome {
    Outcome {
        kind: Some(kind),
        ran,
        detail,
        ended_ms: now,
        run_ms: 0,
        answer: None,
    }
}
