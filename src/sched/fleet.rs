//! The workers, by rack and region, and what is in use on each.

use crate::config::Resources;
use crate::map;
use crate::sched::event;

/// event::WorkerKey of a rack.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RackKey(pub u32);

/// event::WorkerKey of a region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionKey(pub u32);

/// Whether a worker takes gangs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    /// Takes nothing but probes.
    Quarantined,
    Down,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub rack: RackKey,
    pub region: RegionKey,
    pub state: State,
    pub total: Resources,
    /// In use by running gangs and by gangs that wait for others to leave.
    pub used: Resources,
    /// Amount of all guaranteed cells bound here.
    pub bound: Resources,
    /// Part of `bound` that is in use.
    pub claimed: Resources,
    /// Unused cells of guarantees that have lost other cells; nothing borrowed goes here.
    pub blocked: Resources,
}

impl Worker {
    /// What is not in use.
    pub fn free(&self) -> Resources {
        self.total.less(&self.used)
    }

    /// What a borrowed gang may use.
    pub fn borrowable(&self) -> Resources {
        match self.state {
            State::Up => self.free().less(&self.blocked),
            State::Quarantined | State::Down => Resources::default(),
        }
    }

    /// What is neither in use nor kept for a guarantee.
    pub fn spare(&self) -> Resources {
        self.free().less(&self.bound.less(&self.claimed))
    }

    /// What may still be bound.
    pub fn bindable(&self) -> Resources {
        match self.state {
            State::Up => self.total.less(&self.bound),
            State::Quarantined | State::Down => Resources::default(),
        }
    }

    /// Whether more is in use than there is, because gangs are still leaving.
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
    /// Adds a worker, or brings it back with what it has now.
    pub fn register(&mut self, info: &event::Worker) {
        let region = self.region_key(&info.region);
        let rack = self.rack_key(region, &info.rack);
        let at = info.key.0 as usize;
        if self.workers.len() <= at {
            self.workers.resize(at + 1, None);
        }
        if let Some(worker) = &mut self.workers[at] {
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
        self.workers[at] = Some(Worker {
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

    /// A worker.
    pub fn get(&self, key: event::WorkerKey) -> Option<&Worker> {
        self.workers.get(key.0 as usize)?.as_ref()
    }

    /// A worker, to be changed.
    pub fn get_mut(&mut self, key: event::WorkerKey) -> Option<&mut Worker> {
        self.workers.get_mut(key.0 as usize)?.as_mut()
    }

    /// All workers in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (event::WorkerKey, &Worker)> {
        let indexed = self.workers.iter().enumerate();
        indexed.filter_map(|(at, worker)| Some((event::WorkerKey(at as u32), worker.as_ref()?)))
    }

    /// All racks.
    pub fn racks(&self) -> &[Rack] {
        &self.racks
    }

    /// All regions.
    pub fn regions(&self) -> &[Region] {
        &self.regions
    }

    /// A rack.
    pub fn rack(&self, key: RackKey) -> &Rack {
        &self.racks[key.0 as usize]
    }

    /// A region.
    pub fn region(&self, key: RegionKey) -> &Region {
        &self.regions[key.0 as usize]
    }

    /// event::WorkerKey of a region by name, if any worker ever was in it.
    pub fn find_region(&self, name: &str) -> Option<RegionKey> {
        self.region_keys.get(name).copied()
    }

    /// Resources of all workers ever seen.
    pub fn total(&self) -> Resources {
        self.total
    }

    /// Adds tasks of a gang to what is in use.
    pub fn allocate(&mut self, members: &[event::Member], each: &Resources) {
        for member in members {
            if let Some(worker) = self.get_mut(member.worker) {
                worker.used += each.scaled(member.tasks);
            }
        }
    }

    /// Removes tasks of a gang from what is in use.
    pub fn release(&mut self, members: &[event::Member], each: &Resources) {
        for member in members {
            if let Some(worker) = self.get_mut(member.worker) {
                worker.used -= each.scaled(member.tasks);
            }
        }
    }

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

    fn rack_key(&mut self, region: RegionKey, name: &str) -> RackKey {
        let index = (region, name.to_owned());
        if let Some(key) = self.rack_keys.get(&index) {
            return *key;
        }
        let key = RackKey(self.racks.len() as u32);
        self.racks.push(Rack {
            name: name.to_owned(),
            region,
            workers: Vec::new(),
        });
        self.regions[region.0 as usize].racks.push(key);
        self.rack_keys.insert(index, key);
        key
    }
}
