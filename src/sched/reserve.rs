//! Reservations of workers for waiting gangs, around which other jobs are backfilled (EASY).

use crate::config::{Resources, Within};
use crate::map;
use crate::sched::Millis;
use crate::sched::event;
use crate::sched::fleet;
use crate::sched::gang;

/// A running gang and its expected end.
#[derive(Clone, Copy, Debug)]
pub struct Running<'a> {
    pub ends_ms: Millis,
    pub members: &'a [event::Member],
    pub each: Resources,
}

/// Workers reserved for a gang from a point in time on.
#[derive(Clone, Debug)]
pub struct Reservation<K> {
    pub job: K,
    /// Time at which the gang is expected to start.
    pub start_ms: Millis,
    /// Resources of each reserved worker that gangs running past the start may use.
    spare: map::Map<event::WorkerKey, Resources>,
}

impl<K> Reservation<K> {
    /// Returns the resources of a worker that a job with the given end may use.
    pub fn available(
        &self,
        key: event::WorkerKey,
        borrowable: Resources,
        ends_ms: Millis,
    ) -> Resources {
        match self.spare.get(&key) {
            Some(spare) if ends_ms > self.start_ms => borrowable.min(spare),
            _ => borrowable,
        }
    }

    /// Subtracts a placement from the spare resources if it runs past the reservation's start.
    pub fn record_placement(
        &mut self,
        members: &[event::Member],
        each: &Resources,
        ends_ms: Millis,
    ) {
        if ends_ms <= self.start_ms {
            return;
        }
        for member in members {
            if let Some(spare) = self.spare.get_mut(&member.worker) {
                *spare = spare.minus(&each.scaled(member.tasks));
            }
        }
    }
}

/// Finds when and where a gang will fit as running gangs end in their expected order.
pub fn forecast<K>(
    fleet: &fleet::Fleet,
    request: &gang::Request<'_>,
    job: K,
    running: &mut [Running<'_>],
    existing: &[Reservation<K>],
) -> Option<Reservation<K>> {
    let mut scopes = Scopes::new(fleet, request, existing);
    running.sort_unstable_by_key(|gang| gang.ends_ms);
    for gang in running.iter() {
        for member in gang.members {
            scopes.release(fleet, request, member, &gang.each);
        }
        let fitting = gang
            .members
            .iter()
            .find_map(|member| scopes.find_fitting_scope(fleet, request, member.worker));
        if let Some(scope) = fitting {
            let spare = scopes.choose(fleet, request, scope);
            return Some(Reservation {
                job,
                start_ms: gang.ends_ms,
                spare,
            });
        }
    }
    None
}

/// Number of tasks of the gang that fit in each scope, updated as running gangs end.
struct Scopes {
    /// Free resources by worker key; `None` for workers that must not be used.
    free: Vec<Option<Resources>>,
    /// Number of tasks that fit, by worker, rack or region key.
    capacity: Vec<u32>,
}

impl Scopes {
    fn new<K>(
        fleet: &fleet::Fleet,
        request: &gang::Request<'_>,
        existing: &[Reservation<K>],
    ) -> Self {
        let mut scopes = Self {
            free: Vec::new(),
            capacity: Vec::new(),
        };
        for (key, worker) in fleet.iter() {
            // Workers reserved for another gang are not used.
            let is_reserved = existing.iter().any(|other| other.spare.contains_key(&key));
            let is_usable =
                worker.state == fleet::State::Up && request.regions.contains(&worker.region);
            let free = (is_usable && !is_reserved).then(|| worker.borrowable());
            scopes.free.resize(key.0 as usize, None);
            scopes.free.push(free);
            if let Some(free) = free {
                let scope = scope_of(request.within, key, worker);
                *scopes.capacity_of(scope) += free.count_fitting(&request.each, request.tasks);
            }
        }
        scopes
    }

    fn capacity_of(&mut self, scope: u32) -> &mut u32 {
        let index = scope as usize;
        if self.capacity.len() <= index {
            self.capacity.resize(index + 1, 0);
        }
        &mut self.capacity[index]
    }

    /// Adds the resources of an ended gang's tasks on one worker.
    fn release(
        &mut self,
        fleet: &fleet::Fleet,
        request: &gang::Request<'_>,
        member: &event::Member,
        each: &Resources,
    ) {
        let Some(worker) = fleet.get(member.worker) else {
            return;
        };
        let Some(Some(free)) = self.free.get_mut(member.worker.0 as usize) else {
            return;
        };
        let before = free.count_fitting(&request.each, request.tasks);
        *free += each.scaled(member.tasks);
        let after = free.count_fitting(&request.each, request.tasks);
        *self.capacity_of(scope_of(request.within, member.worker, worker)) += after - before;
    }

    /// Returns the scope of a worker if the whole gang fits in it.
    fn find_fitting_scope(
        &self,
        fleet: &fleet::Fleet,
        request: &gang::Request<'_>,
        key: event::WorkerKey,
    ) -> Option<u32> {
        let scope = scope_of(request.within, key, fleet.get(key)?);
        (self.capacity.get(scope as usize).copied().unwrap_or(0) >= request.tasks).then_some(scope)
    }

    /// Chooses the workers in a scope that hold the most tasks; returns the resources that stay
    /// spare on each.
    fn choose(
        &self,
        fleet: &fleet::Fleet,
        request: &gang::Request<'_>,
        scope: u32,
    ) -> map::Map<event::WorkerKey, Resources> {
        let mut offers: Vec<(u32, event::WorkerKey, Resources)> = Vec::new();
        for (key, worker) in fleet.iter() {
            let free = self.free.get(key.0 as usize).copied().flatten();
            let Some(free) = free.filter(|_free| scope_of(request.within, key, worker) == scope)
            else {
                continue;
            };
            let max_tasks = free.count_fitting(&request.each, request.tasks);
            if max_tasks > 0 {
                offers.push((max_tasks, key, free));
            }
        }
        offers.sort_by_key(|(max_tasks, key, _free)| (std::cmp::Reverse(*max_tasks), *key));
        let mut remaining = request.tasks;
        let mut spare = map::Map::default();
        for (max_tasks, key, free) in offers {
            let tasks = max_tasks.min(remaining);
            remaining -= tasks;
            spare.insert(key, free.minus(&request.each.scaled(tasks)));
            if remaining == 0 {
                break;
            }
        }
        spare
    }
}

/// Returns the key of the worker, rack or region in which a gang must be placed.
fn scope_of(within: Within, key: event::WorkerKey, worker: &fleet::Worker) -> u32 {
    match within {
        Within::Worker => key.0,
        Within::Rack => worker.rack.0,
        Within::Region => worker.region.0,
    }
}
