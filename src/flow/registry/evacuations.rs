//! Evacuated failure domains, whose workers get no new runs until an operator revokes the order.

use crate::flow::WorkerKey;
use crate::flow::registry::Registry;
use crate::raft::Index;

impl Registry {
    /// Reports whether the workers of a failure domain get no new runs.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
    }

    /// Returns the evacuated failure domains in the order of their names.
    pub fn evacuated_domains(&self) -> impl ExactSizeIterator<Item = &str> {
        self.evacuated.iter().map(String::as_str)
    }

    /// Evacuates a failure domain or revokes that. A change renews the orders of every worker of the
    /// domain, so that the polls of their agents are answered at once.
    pub(super) fn set_evacuated(&mut self, index: Index, domain: String, evacuated: bool) {
        let has_changed = if evacuated {
            self.evacuated.insert(domain.clone())
        } else {
            self.evacuated.remove(&domain)
        };
        if !has_changed {
            return;
        }
        let workers = self.workers.iter();
        let keys: Vec<WorkerKey> = workers
            .filter(|(_key, worker)| worker.info.domain == domain)
            .map(|(key, _worker)| *key)
            .collect();
        for key in keys {
            if let Some(worker) = self.workers.get_mut(&key) {
                worker.changed_index = index;
                self.names.touch(key);
            }
        }
    }
}
