//! A dated reservation for a gang that waits, around which others are backfilled (EASY).

use crate::config::{Resources, Within};
use crate::map;
use crate::sched::Millis;
use crate::sched::event;
use crate::sched::fleet;
use crate::sched::gang;

/// A running gang as the forecast sees it.
#[derive(Clone, Copy, Debug)]
pub struct Running<'a> {
    pub ends_ms: Millis,
    pub members: &'a [event::Member],
    pub each: Resources,
}

/// Workers kept for a gang from a date on.
#[derive(Clone, Debug)]
pub struct Reservation<K> {
    pub job: K,
    /// When the gang is expected to start.
    pub start_ms: Millis,
    /// What a gang that runs past the date may still use of each reserved worker.
    spare: map::Map<event::WorkerKey, Resources>,
}

impl<K> Reservation<K> {
    /// What a job that ends at a time may use of a worker.
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

    /// Counts a placement against what is spare beside the reservation.
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
                *spare = spare.less(&each.scaled(member.tasks));
            }
        }
    }
}

/// Finds when and where a gang will fit, as running gangs end in the order expected.
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
        let find_fitting_scope = gang
            .members
            .iter()
            .find_map(|member| scopes.find_fitting_scope(fleet, request, member.worker));
        if let Some(scope) = find_fitting_scope {
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

/// Room for the gang in each scope as running gangs leave.
struct Scopes {
    /// By position of the worker's key; nothing for workers that are not to be used.
    free: Vec<Option<Resources>>,
    /// By scope.
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
            // Workers that are kept for a gang ahead are left to it.
            let is_reserved = existing.iter().any(|other| other.spare.contains_key(&key));
            let fit = worker.state == fleet::State::Up && request.regions.contains(&worker.region);
            let free = (fit && !is_reserved).then(|| worker.borrowable());
            scopes.free.resize(key.0 as usize, None);
            scopes.free.push(free);
            if let Some(free) = free {
                let scope = scope_of(request.within, key, worker);
                *scopes.capacity_of(scope) += free.times(&request.each, request.tasks);
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
        let before = free.times(&request.each, request.tasks);
        *free += each.scaled(member.tasks);
        let after = free.times(&request.each, request.tasks);
        *self.capacity_of(scope_of(request.within, member.worker, worker)) += after - before;
    }

    fn find_fitting_scope(
        &self,
        fleet: &fleet::Fleet,
        request: &gang::Request<'_>,
        key: event::WorkerKey,
    ) -> Option<u32> {
        let scope = scope_of(request.within, key, fleet.get(key)?);
        (self.capacity.get(scope as usize).copied().unwrap_or(0) >= request.tasks).then_some(scope)
    }

    /// Picks the workers with the most room in a scope; tells what stays spare on each.
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
            let max_tasks = free.times(&request.each, request.tasks);
            if max_tasks > 0 {
                offers.push((max_tasks, key, free));
            }
        }
        offers.sort_by_key(|(max_tasks, key, _free)| (std::cmp::Reverse(*max_tasks), *key));
        let mut left = request.tasks;
        let mut spare = map::Map::default();
        for (max_tasks, key, free) in offers {
            let tasks = max_tasks.min(left);
            left -= tasks;
            spare.insert(key, free.less(&request.each.scaled(tasks)));
            if left == 0 {
                break;
            }
        }
        spare
    }
}

fn scope_of(within: Within, key: event::WorkerKey, worker: &fleet::Worker) -> u32 {
    match within {
        Within::Worker => key.0,
        Within::Rack => worker.rack.0,
        Within::Region => worker.region.0,
    }
}
