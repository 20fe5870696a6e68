//! Workers by free capacity: an index over the planner's projected registry that finds the workers
//! for a unit without looking at those that are full.

use std::collections::{BTreeMap, BTreeSet};

use crate::flow::WorkerKey;
use crate::flow::job::Amount;
use crate::flow::registry::{Info, Registry};
use crate::map;

/// Position of a worker in the order of free capacity: accelerators, millicores, worker.
type Position = (u64, u64, WorkerKey);

/// Region and name of a rack.
pub type Rack = (String, String);

/// The workers of one service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    by_free: BTreeSet<Position>,
    free: map::Map<WorkerKey, Amount>,
    racks: BTreeMap<Rack, BTreeSet<WorkerKey>>,
}

impl Service {
    /// Returns the free capacity of a worker.
    pub fn free(&self, key: WorkerKey) -> Option<Amount> {
        self.free.get(&key).copied()
    }

    /// Returns the workers with at least so many free accelerators, those with the least free
    /// capacity first.
    pub fn by_free(&self, accelerators: u64) -> impl Iterator<Item = (WorkerKey, Amount)> {
        let from = (accelerators, 0, WorkerKey(0));
        let range = self.by_free.range(from..);
        range.map(|(_accelerators, _millicpus, key)| (*key, self.free[key]))
    }

    /// Returns all workers in the order of their keys.
    pub fn workers(&self) -> Vec<WorkerKey> {
        let mut keys: Vec<WorkerKey> = self.free.keys().copied().collect();
        keys.sort_unstable();
        keys
    }

    /// Returns the racks with their workers.
    pub fn racks(&self) -> impl Iterator<Item = (&Rack, &BTreeSet<WorkerKey>)> {
        self.racks.iter()
    }

    /// Returns the largest free amount of each resource on any single worker that qualifies.
    pub fn max_free(&self, qualifies: impl Fn(WorkerKey) -> bool) -> Amount {
        let free = self.free.iter().filter(|(key, _free)| qualifies(**key));
        free.fold(Amount::default(), |max, (_key, free)| max.max(free))
    }

    fn set(&mut self, key: WorkerKey, info: &Info, free: Amount) {
        let position = |free: &Amount| (free.accelerators, free.millicpus, key);
        match self.free.insert(key, free) {
            Some(old) => {
                self.by_free.remove(&position(&old));
            }
            None => {
                let rack = (info.region.clone(), info.rack.clone());
                self.racks.entry(rack).or_default().insert(key);
            }
        }
        self.by_free.insert(position(&free));
    }

    fn remove(&mut self, key: WorkerKey, rack: &Rack) {
        if let Some(old) = self.free.remove(&key) {
            self.by_free.remove(&(old.accelerators, old.millicpus, key));
        }
        if let Some(workers) = self.racks.get_mut(rack) {
            workers.remove(&key);
            if workers.is_empty() {
                self.racks.remove(rack);
            }
        }
    }
}

/// The workers of all services.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    services: map::Map<String, Service>,
    /// Service and rack of each worker.
    homes: map::Map<WorkerKey, (String, Rack)>,
}

impl Fleet {
    /// Creates the index of a registry.
    pub fn new(registry: &Registry) -> Self {
        let mut fleet = Self::default();
        for (key, _worker) in registry.workers() {
            fleet.refresh(registry, key);
        }
        fleet
    }

    /// Returns the workers of a service, if it has any.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Copies the state of a worker that has been added, changed or removed.
    pub fn refresh(&mut self, registry: &Registry, key: WorkerKey) {
        let Some(worker) = registry.worker(key) else {
            if let Some((service, rack)) = self.homes.remove(&key)
                && let Some(service) = self.services.get_mut(&service)
            {
                service.remove(key, &rack);
            }
            return;
        };
        let info = &worker.info;
        self.homes.entry(key).or_insert_with(|| {
            let rack = (info.region.clone(), info.rack.clone());
            (info.service.clone(), rack)
        });
        if !self.services.contains_key(&info.service) {
            self.services
                .insert(info.service.clone(), Service::default());
        }
        if let Some(service) = self.services.get_mut(&info.service) {
            service.set(key, info, info.total.minus(&worker.used));
        }
    }
}
