//! Finds workers by name and by agent, and records which of them have changed. Both follow from the
//! registry's other fields and are neither stored nor compared.

use crate::flow::WorkerKey;
use crate::flow::registry::Info;
use crate::map;

/// Workers by name and incarnation and by the instance of their agent.
#[derive(Clone, Debug, Default)]
pub struct Names {
    by_name: map::Map<String, Vec<(u64, WorkerKey)>>,
    by_instance: map::Map<String, Vec<WorkerKey>>,
    /// Workers that have changed since the last call of `take_changed`.
    changed: Vec<WorkerKey>,
}

impl PartialEq for Names {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for Names {}

impl Names {
    /// Adds a worker.
    pub fn add(&mut self, key: WorkerKey, info: &Info) {
        let named = self.by_name.entry(info.name.clone()).or_default();
        named.push((info.incarnation, key));
        let controlled = self.by_instance.entry(info.instance.clone()).or_default();
        controlled.push(key);
    }

    /// Removes a worker.
    pub fn remove(&mut self, key: WorkerKey, info: &Info) {
        if let Some(named) = self.by_name.get_mut(&info.name) {
            named.retain(|(_incarnation, other)| *other != key);
            if named.is_empty() {
                self.by_name.remove(&info.name);
            }
        }
        if let Some(controlled) = self.by_instance.get_mut(&info.instance) {
            controlled.retain(|other| *other != key);
            if controlled.is_empty() {
                self.by_instance.remove(&info.instance);
            }
        }
    }

    /// Returns the first worker of a name and incarnation.
    pub fn named(&self, name: &str, incarnation: u64) -> Option<WorkerKey> {
        let named = self.by_name.get(name)?;
        let same = named.iter().filter(|(other, _key)| *other == incarnation);
        same.map(|(_incarnation, key)| *key).min()
    }

    /// Returns the workers that an agent controls.
    pub fn controlled(&self, instance: &str) -> impl Iterator<Item = WorkerKey> {
        self.by_instance
            .get(instance)
            .into_iter()
            .flatten()
            .copied()
    }

    /// Records that a worker has changed.
    pub fn touch(&mut self, key: WorkerKey) {
        if self.changed.last() != Some(&key) {
            self.changed.push(key);
        }
    }

    /// Returns the workers that have changed since the last call, some of them more than once.
    pub fn take_changed(&mut self) -> Vec<WorkerKey> {
        std::mem::take(&mut self.changed)
    }
}
