//! Reads the replicated state.

use crate::config;
use crate::config::diff;
use crate::flow;
use crate::ledger::burn;
use crate::ledger::{Agent, Job, Ledger, Revision, Worker};
use crate::raft::Index;
use crate::sched::JobId;
use crate::sched::event;

/// What brings a process to the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Catchup {
    /// The changes it lacks, in order.
    Deltas(Vec<diff::Delta>),
    /// The whole configuration.
    Snapshot(Box<config::Config>),
}

impl Ledger {
    /// Jobs of several steps and their workers.
    pub fn flow(&self) -> &flow::Registry {
        &self.flow
    }

    /// Index of the last entry applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Configuration in force.
    pub fn config(&self) -> &config::Config {
        &self.config
    }

    /// Hash of the configuration in force.
    pub fn hash(&self) -> config::Hash {
        self.hash
    }

    /// A configuration that was accepted, while it is kept.
    pub fn revision(&self, generation: u64) -> Option<&Revision> {
        self.revisions
            .iter()
            .rev()
            .find(|revision| revision.delta.to == generation)
    }

    /// What a process at a generation lacks; nothing when it is up to date or ahead.
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

    /// A job.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// The job that a key of an account belongs to.
    pub fn by_key(&self, account: &str, key: &str) -> Option<&Job> {
        // The key type owns its strings, so a look-up has to as well.
        self.jobs
            .get(self.keys.get(&(account.to_owned(), key.to_owned()))?)
    }

    /// All jobs, the oldest first.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Number of jobs kept.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Jobs that an agent holds a grant for.
    pub fn granted(&self, agent: &str) -> impl Iterator<Item = &Job> {
        let ids = self.granted.get(agent).into_iter().flatten();
        ids.filter_map(|id| self.jobs.get(id))
    }

    /// All agents that hold grants.
    pub fn grant_holders(&self) -> impl Iterator<Item = &String> {
        self.granted
            .iter()
            .filter(|(_agent, jobs)| !jobs.is_empty())
            .map(|(agent, _jobs)| agent)
    }

    /// All workers ever recorded, in the order of their keys.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// A worker.
    pub fn worker(&self, key: event::WorkerKey) -> Option<&Worker> {
        self.workers.get(key.0 as usize)
    }

    /// A worker by name.
    pub fn worker_key(&self, name: &str) -> Option<event::WorkerKey> {
        self.worker_keys.get(name).copied()
    }

    /// All agents ever recorded.
    pub fn agents(&self) -> impl Iterator<Item = (&String, &Agent)> {
        self.agents.iter()
    }

    /// An agent.
    pub fn agent(&self, name: &str) -> Option<&Agent> {
        self.agents.get(name)
    }

    /// Identity that the next job gets.
    pub fn next_job(&self) -> JobId {
        self.next_job.max(1)
    }

    /// Service-level record.
    pub fn burn(&self) -> &burn::Burn {
        &self.burn
    }
}
