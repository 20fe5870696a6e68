//! Workers by rack and region, with the resources in use on each.

use crate::config::Resources;
use crate::map;
use crate::sched::event;

/// Key of a rack, dense from zero on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RackKey(pub u32);

/// Key of a region, dense from zero on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionKey(pub u32);

/// Availability of a worker for gangs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    /// Takes only probes.
    Quarantined,
    Down,
}

/// Resources and location of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub rack: RackKey,
    pub region: RegionKey,
    pub state: State,
    pub total: Resources,
    /// Resources in use by running and stopping gangs, and claimed by gangs that wait until others
    /// have vacated them.
    pub used: Resources,
    /// Resources of all guaranteed cells that are bound to the worker.
    pub bound: Resources,
    /// Part of `bound` that is in use.
    pub claimed: Resources,
    /// Unused resources of cells whose gang also has unbound cells; borrowed gangs must not use
    /// them.
    pub blocked: Resources,
}

impl Worker {
    /// Returns the resources that are not in use.
    pub fn free(&self) -> Resources {
        self.total.minus(&self.used)
    }

    /// Returns the resources that a borrowed gang may use.
    pub fn borrowable(&self) -> Resources {
        match self.state {
            State::Up => self.free().minus(&self.blocked),
            State::Quarantined | State::Down => Resources::default(),
        }
    }

    /// Returns the resources that are neither in use nor bound to an unclaimed guaranteed cell.
    pub fn spare(&self) -> Resources {
        self.free().minus(&self.bound.minus(&self.claimed))
    }

    /// Returns the resources to which cells may still be bound.
    pub fn bindable(&self) -> Resources {
        match self.state {
            State::Up => self.total.minus(&self.bound),
            State::Quarantined | State::Down => Resources::default(),
        }
    }

    /// Reports whether more resources are in use than exist, because gangs are still stopping.
    pub fn is_overcommitted(&self) -> bool {
        !self.total.fits(&self.used)
    }
}

/// A rack and its workers.
#[derive(Clone, Debug)]
pub struct Rack {
    pub name: String,
    pub region: RegionKey,
    pub workers: Vec<event::WorkerKey>,
}

/// A region and its racks.
#[derive(Clone, Debug)]
pub struct Region {
    pub name: String,
    pub racks: Vec<RackKey>,
}

/// All workers.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    workers: Vec<Option<Worker>>,
    racks: Vec<Rack>,
    regions: Vec<Region>,
    rack_keys: map::Map<(RegionKey, String), RackKey>,
    region_keys: map::Map<String, RegionKey>,
    total: Resources,
}

impl Fleet {
    /// Adds a worker, or marks a known one as up with its current resources and location.
    pub fn register(&mut self, info: &event::Worker) {
        let region = self.region_key(&info.region);
        let rack = self.rack_key(region, &info.rack);
        let index = info.key.0 as usize;
        if self.workers.len() <= index {
            self.workers.resize(index + 1, None);
        }
        if let Some(worker) = &mut self.workers[index] {
            self.total -= worker.total;
            self.total += info.total;
            worker.total = info.total;
            worker.state = State::Up;
            if worker.rack != rack {
                let old = worker.rack;
                worker.rack = rack;
                worker.region = region;
                self.racks[old.0 as usize]
                    .workers
                    .retain(|key| *key != info.key);
                self.racks[rack.0 as usize].workers.push(info.key);
            }
            return;
        }
        self.total += info.total;
        self.racks[rack.0 as usize].workers.push(info.key);
        self.workers[index] = Some(Worker {
            rack,
            region,
            state: State::Up,
            total: info.total,
            used: Resources::default(),
            bound: Resources::default(),
            claimed: Resources::default(),
            blocked: Resources::default(),
        });
    }

    /// Returns a worker.
    pub fn get(&self, key: event::WorkerKey) -> Option<&Worker> {
        self.workers.get(key.0 as usize)?.as_ref()
    }

    /// Returns a mutable worker.
    pub fn get_mut(&mut self, key: event::WorkerKey) -> Option<&mut Worker> {
        self.workers.get_mut(key.0 as usize)?.as_mut()
    }

    /// Returns all workers in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (event::WorkerKey, &Worker)> {
        let indexed = self.workers.iter().enumerate();
        indexed
            .filter_map(|(index, worker)| Some((event::WorkerKey(index as u32), worker.as_ref()?)))
    }

    /// Returns all racks.
    pub fn racks(&self) -> &[Rack] {
        &self.racks
    }

    /// Returns all regions.
    pub fn regions(&self) -> &[Region] {
        &self.regions
    }

    /// Returns a rack.
    pub fn rack(&self, key: RackKey) -> &Rack {
        &self.racks[key.0 as usize]
    }

    /// Returns a region.
    pub fn region(&self, key: RegionKey) -> &Region {
        &self.regions[key.0 as usize]
    }

    /// Returns the key of a region by name, if it ever had a worker.
    pub fn find_region(&self, name: &str) -> Option<RegionKey> {
        self.region_keys.get(name).copied()
    }

    /// Returns the resources of all workers ever seen.
    pub fn total(&self) -> Resources {
        self.total
    }

    /// Adds the tasks of a gang to the resources in use.
    pub fn allocate(&mut self, members: &[event::Member], each: &Resources) {
        for member in members {
            if let Some(worker) = self.get_mut(member.worker) {
                worker.used += each.scaled(member.tasks);
            }
        }
    }

    /// Removes the tasks of a gang from the resources in use.
    pub fn release(&mut self, members: &[event::Member], each: &Resources) {
        for member in members {
            if let Some(worker) = self.get_mut(member.worker) {
                worker.used -= each.scaled(member.tasks);
            }
        }
    }

    /// Returns the key of a region, adding it if it is new.
    fn region_key(&mut self, name: &str) -> RegionKey {
        if let Some(key) = self.find_region(name) {
            return key;
        }
        let key = RegionKey(self.regions.len() as u32);
        self.regions.push(Region {
            name: name.to_owned(),
            racks: Vec::new(),
        });
        self.region_keys.insert(name.to_owned(), key);
        key
    }

    /// Returns the key of a rack, adding it if it is new.
    fn rack_key(&mut self, region: RegionKey, name: &str) -> RackKey {
        let qualified_name = (region, name.to_owned());
        if let Some(key) = self.rack_keys.get(&qualified_name) {
            return *key;
        }
        let key = RackKey(self.racks.len() as u32);
        self.racks.push(Rack {
            name: name.to_owned(),
            region,
            workers: Vec::new(),
        });
        self.regions[region.0 as usize].racks.push(key);
        self.rack_keys.insert(qualified_name, key);
        key
    }
}
