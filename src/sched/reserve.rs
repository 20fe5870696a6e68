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
    pub date: Millis,
    /// What a gang that runs past the date may still use of each reserved worker.
    spare: map::Map<event::WorkerKey, Resources>,
}

impl<K> Reservation<K> {
    /// What a job that ends at a time may use of a worker.
    pub fn room(&self, key: event::WorkerKey, lendable: Resources, ends_ms: Millis) -> Resources {
        match self.spare.get(&key) {
            Some(spare) if ends_ms > self.date => lendable.min(spare),
            _ => lendable,
        }
    }

    /// Counts a placement against what is spare beside the reservation.
    pub fn took(&mut self, members: &[event::Member], each: &Resources, ends_ms: Millis) {
        if ends_ms <= self.date {
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
    ask: &gang::Ask<'_>,
    job: K,
    running: &mut [Running<'_>],
    held: &[Reservation<K>],
) -> Option<Reservation<K>> {
    let mut scopes = Scopes::new(fleet, ask, held);
    running.sort_unstable_by_key(|gang| gang.ends_ms);
    for gang in running.iter() {
        for member in gang.members {
            scopes.release(fleet, ask, member, &gang.each);
        }
        let full = gang
            .members
            .iter()
            .find_map(|member| scopes.full(fleet, ask, member.worker));
        if let Some(scope) = full {
            let spare = scopes.choose(fleet, ask, scope);
            return Some(Reservation {
                job,
                date: gang.ends_ms,
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
    room: Vec<u32>,
}

impl Scopes {
    fn new<K>(fleet: &fleet::Fleet, ask: &gang::Ask<'_>, held: &[Reservation<K>]) -> Self {
        let mut scopes = Self {
            free: Vec::new(),
            room: Vec::new(),
        };
        for (key, worker) in fleet.iter() {
            // Workers that are kept for a gang ahead are left to it.
            let kept = held.iter().any(|other| other.spare.contains_key(&key));
            let fit = worker.state == fleet::State::Up && ask.regions.contains(&worker.region);
            let free = (fit && !kept).then(|| worker.lendable());
            scopes.free.resize(key.0 as usize, None);
            scopes.free.push(free);
            if let Some(free) = free {
                let scope = scope_of(ask.within, key, worker);
                *scopes.room_of(scope) += free.times(&ask.each, ask.tasks);
            }
        }
        scopes
    }

    fn room_of(&mut self, scope: u32) -> &mut u32 {
        let at = scope as usize;
        if self.room.len() <= at {
            self.room.resize(at + 1, 0);
        }
        &mut self.room[at]
    }

    fn release(
        &mut self,
        fleet: &fleet::Fleet,
        ask: &gang::Ask<'_>,
        member: &event::Member,
        each: &Resources,
    ) {
        let Some(worker) = fleet.get(member.worker) else {
            return;
        };
        let Some(Some(free)) = self.free.get_mut(member.worker.0 as usize) else {
            return;
        };
        let before = free.times(&ask.each, ask.tasks);
        *free += each.scaled(member.tasks);
        let after = free.times(&ask.each, ask.tasks);
        *self.room_of(scope_of(ask.within, member.worker, worker)) += after - before;
    }

    fn full(
        &self,
        fleet: &fleet::Fleet,
        ask: &gang::Ask<'_>,
        key: event::WorkerKey,
    ) -> Option<u32> {
        let scope = scope_of(ask.within, key, fleet.get(key)?);
        (self.room.get(scope as usize).copied().unwrap_or(0) >= ask.tasks).then_some(scope)
    }

    /// Picks the workers with the most room in a scope; tells what stays spare on each.
    fn choose(
        &self,
        fleet: &fleet::Fleet,
        ask: &gang::Ask<'_>,
        scope: u32,
    ) -> map::Map<event::WorkerKey, Resources> {
        let mut offers: Vec<(u32, event::WorkerKey, Resources)> = Vec::new();
        for (key, worker) in fleet.iter() {
            let free = self.free.get(key.0 as usize).copied().flatten();
            let Some(free) = free.filter(|_free| scope_of(ask.within, key, worker) == scope) else {
                continue;
            };
            let times = free.times(&ask.each, ask.tasks);
            if times > 0 {
                offers.push((times, key, free));
            }
        }
        offers.sort_by_key(|(times, key, _free)| (std::cmp::Reverse(*times), *key));
        let mut left = ask.tasks;
        let mut spare = map::Map::default();
        for (times, key, free) in offers {
            let tasks = times.min(left);
            left -= tasks;
            spare.insert(key, free.less(&ask.each.scaled(tasks)));
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
