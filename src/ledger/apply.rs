//! Applies commands to the replicated state.

use crate::error;
use crate::ledger::command::Batch;
use crate::ledger::{
    Accepted, Agent, Command, Grant, Job, KEPT_CHANGES, KEPT_NOTES, Ledger, Note, Outcome, Phase,
    Worker,
};
use crate::raft::Index;
use crate::sched::event;
use crate::sched::{JobId, Millis};

/// What a batch has changed, for those who wait for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Touched {
    pub jobs: Vec<JobId>,
    pub config: bool,
    /// Whether jobs of several steps or their workers have changed.
    pub flow: bool,
    /// Agents whose grants have changed.
    pub agents: Vec<String>,
}

impl Ledger {
    /// Applies the batch of one log entry; entries are applied once, in order.
    pub fn apply(&mut self, index: Index, batch: Batch) -> Touched {
        let mut touched = Touched::default();
        self.applied = index;
        for command in batch.commands {
            self.command(index, batch.at_ms, command, &mut touched);
        }
        touched
    }

    /// Notes an entry without commands.
    pub fn skip(&mut self, index: Index) {
        self.applied = index;
    }

    fn command(&mut self, index: Index, now: Millis, command: Command, touched: &mut Touched) {
        match command {
            Command::Configure {
                delta,
                hash,
                changes,
            } => {
                let accepted = Accepted {
                    hash,
                    at_ms: now,
                    changes,
                    delta,
                };
                touched.config |= self.configure(accepted);
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
                    changed: index,
                    notes: Vec::new(),
                };
                self.keys.insert(key, job.id);
                touched.jobs.push(job.id);
                self.jobs.insert(job.id, job);
            }
            Command::Place {
                job,
                agent,
                incarnation,
                placement,
                reason,
            } => {
                self.place(index, now, job, (agent, incarnation), placement, touched);
                self.note(index, now, job, reason, touched);
            }
            Command::Stop { job, stop, reason } => {
                self.with_grant(job, touched, |grant| grant.stop = Some(stop));
                self.note(index, now, job, reason, touched);
            }
            Command::Throttle { job, reason } => {
                self.with_grant(job, touched, |grant| grant.throttled = true);
                self.note(index, now, job, reason, touched);
            }
            Command::Requeue { job, ran, reason } => {
                self.ungrant(job, touched);
                if let Some(entry) = self.jobs.get_mut(&job) {
                    entry.phase = Phase::Waiting;
                    entry.ran = worst(entry.ran, ran);
                }
                self.note(index, now, job, reason, touched);
            }
            Command::End {
                job,
                outcome,
                reason,
            } => {
                self.note(index, now, job, reason, touched);
                self.end(job, outcome, touched);
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
            Command::Agent {
                name,
                addr,
                region,
                incarnation,
            } => {
                touched.agents.push(name.clone());
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
                touched.flow = true;
                self.flow.apply(index, now, command);
            }
        }
    }

    /// Takes a configuration over unless another came first; generations only rise.
    fn configure(&mut self, accepted: Accepted) -> bool {
        let delta = &accepted.delta;
        if delta.from != self.config.generation || delta.to <= delta.from {
            return false;
        }
        delta.apply(&mut self.config);
        self.hash = accepted.hash;
        self.accepted.push_back(accepted);
        while self.accepted.len() > KEPT_CHANGES {
            self.accepted.pop_front();
        }
        true
    }

    fn place(
        &mut self,
        index: Index,
        now: Millis,
        job: JobId,
        (agent, incarnation): (String, u64),
        placement: event::Placement,
        touched: &mut Touched,
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
        touched.agents.push(agent);
    }

    fn with_grant(&mut self, job: JobId, touched: &mut Touched, change: impl FnOnce(&mut Grant)) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        if let Phase::Granted(grant) = &mut entry.phase {
            change(grant);
            touched.agents.push(grant.agent.clone());
        }
    }

    fn ungrant(&mut self, job: JobId, touched: &mut Touched) {
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
        touched.agents.push(agent);
    }

    fn end(&mut self, job: JobId, outcome: Outcome, touched: &mut Touched) {
        self.ungrant(job, touched);
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        // The body is only needed while the job may still run.
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
        touched: &mut Touched,
    ) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        if entry.notes.len() == KEPT_NOTES {
            // Keeps the first decisions and the latest.
            entry.notes.remove(KEPT_NOTES / 2);
        }
        entry.notes.push(Note { at_ms: now, reason });
        entry.changed = index;
        touched.jobs.push(job);
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

/// What is known after two attempts.
pub fn worst(before: error::Ran, now: error::Ran) -> error::Ran {
    match (before, now) {
        (error::Ran::No, now) => now,
        (before, error::Ran::No) => before,
        (error::Ran::Yes, _) | (_, error::Ran::Yes) => error::Ran::Yes,
        (error::Ran::Unknown, error::Ran::Unknown) => error::Ran::Unknown,
    }
}

/// Statement about a job that ended without an answer.
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
