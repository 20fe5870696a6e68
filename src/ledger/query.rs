//! Read access to the replicated state.

use crate::config;
use crate::config::diff;
use crate::flow;
use crate::ledger::burn;
use crate::ledger::{Agent, Job, Ledger, Revision, Worker};
use crate::raft::Index;
use crate::sched::JobId;
use crate::sched::event;

/// What a process needs to reach the current configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Catchup {
    /// The changes that the process lacks, in order.
    Deltas(Vec<diff::Delta>),
    /// The whole configuration.
    Snapshot(Box<config::Config>),
}

impl Ledger {
    /// Returns the state of jobs of several steps and their workers.
    pub fn flow(&self) -> &flow::Registry {
        &self.flow
    }

    /// Returns the index of the last applied log entry.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Returns the current configuration.
    pub fn config(&self) -> &config::Config {
        &self.config
    }

    /// Returns the hash of the current configuration.
    pub fn hash(&self) -> config::Hash {
        self.hash
    }

    /// Returns the change that led to a generation of the configuration, if it is still kept.
    pub fn revision(&self, generation: u64) -> Option<&Revision> {
        self.revisions
            .iter()
            .rev()
            .find(|revision| revision.delta.to == generation)
    }

    /// Returns what a process at a generation needs to reach the current configuration, or `None`
    /// if it is up to date or ahead.
    pub fn catchup(&self, generation: u64) -> Option<Catchup> {
        if generation >= self.config.generation {
            return None;
        }
        let start = self
            .revisions
            .iter()
            .position(|revision| revision.delta.from == generation);
        Some(match start {
            Some(start) => {
                let rest = self.revisions.iter().skip(start);
                Catchup::Deltas(rest.map(|revision| revision.delta.clone()).collect())
            }
            None => Catchup::Snapshot(Box::new(self.config.clone())),
        })
    }

    /// Returns a job.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns the job with an idempotency key of a client account.
    pub fn by_key(&self, account: &str, key: &str) -> Option<&Job> {
        // The map's key type owns its strings, so a lookup needs owned strings, too.
        self.jobs
            .get(self.keys.get(&(account.to_owned(), key.to_owned()))?)
    }

    /// Returns all jobs, oldest first.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the number of jobs kept.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the jobs that an agent holds a grant for.
    pub fn granted(&self, agent: &str) -> impl Iterator<Item = &Job> {
        let ids = self.granted.get(agent).into_iter().flatten();
        ids.filter_map(|id| self.jobs.get(id))
    }

    /// Returns the names of all agents that hold grants.
    pub fn grant_holders(&self) -> impl Iterator<Item = &String> {
        self.granted
            .iter()
            .filter(|(_agent, jobs)| !jobs.is_empty())
            .map(|(agent, _jobs)| agent)
    }

    /// Returns all workers ever registered, in the order of their keys.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Returns a worker.
    pub fn worker(&self, key: event::WorkerKey) -> Option<&Worker> {
        self.workers.get(key.0 as usize)
    }

    /// Returns the key of a worker, by its name.
    pub fn worker_key(&self, name: &str) -> Option<event::WorkerKey> {
        self.worker_keys.get(name).copied()
    }

    /// Returns all agents ever registered, by name.
    pub fn agents(&self) -> impl Iterator<Item = (&String, &Agent)> {
        self.agents.iter()
    }

    /// Returns an agent, by its name.
    pub fn agent(&self, name: &str) -> Option<&Agent> {
        self.agents.get(name)
    }

    /// Returns the identity of the next job.
    pub fn next_job(&self) -> JobId {
        self.next_job.max(1)
    }

    /// Returns the burn of the service-level objectives.
    pub fn burn(&self) -> &burn::Burn {
        &self.burn
    }
}
