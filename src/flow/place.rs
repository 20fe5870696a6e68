//! The search for room: whole units on workers, with or without others giving way.

use crate::flow::job::{Amount, Step};
use crate::flow::registry::Info;
use crate::flow::{Millis, UnitId, WorkerKey};
use crate::map;

/// How far from the ideal place a unit may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// Only where it is not slowed: near its data, on one rack.
    Ideal,
    Anywhere,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub step: &'a Step,
    pub tasks: u32,
    pub scope: Scope,
    /// When it would end, for workers that are reserved from a time on.
    pub end_ms: Millis,
}

/// A run that may be stopped to make room.
#[derive(Clone, Debug)]
pub struct Victim {
    pub unit: UnitId,
    /// Work lost, in core-milliseconds.
    pub cost: u64,
    /// What it holds, by worker.
    pub holds: Vec<(WorkerKey, Amount)>,
}

/// A worker as the search sees it.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    pub key: WorkerKey,
    pub info: &'a Info,
    pub free: Amount,
    /// Tasks of the same step that run there.
    pub step_tasks: u32,
    /// From when on it is reserved for another unit.
    pub reserved_ms: Option<Millis>,
    /// Whether the unit, or much else, has failed there.
    pub doubtful: bool,
}

/// Place of an offer in the order; the least comes first.
type Order = (bool, u64, u64, WorkerKey);

impl Candidate<'_> {
    fn admits(&self, ask: &Request<'_>) -> bool {
        let label = ask.step.label.as_ref();
        label.is_none_or(|label| self.info.labels.contains(label))
            && self.reserved_ms.is_none_or(|from_ms| ask.end_ms <= from_ms)
    }

    /// How many of the tasks fit here.
    fn places(&self, ask: &Request<'_>) -> u32 {
        if !self.admits(ask) {
            return 0;
        }
        let spread = match ask.step.max_per_worker {
            0 => ask.tasks,
            most => most.saturating_sub(self.step_tasks),
        };
        let limit = u64::from(ask.tasks.min(spread));
        self.free.count_fitting(&ask.step.per_task, limit) as u32
    }

    /// Full workers first, so that whole ones stay free for wide tasks.
    fn order(&self, free: &Amount) -> Order {
        (self.doubtful, free.accelerators, free.millicpus, self.key)
    }
}

/// A rack, by region and name.
type Rack<'a> = (&'a str, &'a str);

fn rack<'a>(info: &'a Info) -> Rack<'a> {
    (&info.region, &info.rack)
}

/// Finds a worker for each task, whole or not at all.
pub fn place(ask: &Request<'_>, offers: &[Candidate<'_>]) -> Option<Vec<WorkerKey>> {
    let all: Vec<&Candidate<'_>> = offers.iter().collect();
    sets(ask, &all)
        .into_iter()
        .filter_map(|set| fill(ask, &set))
        .min_by_key(|(_keys, left)| *left)
        .map(|(keys, _left)| keys)
}

/// Sets of workers within which the unit must lie whole.
fn sets<'o, 'a>(ask: &Request<'_>, offers: &[&'o Candidate<'a>]) -> Vec<Vec<&'o Candidate<'a>>> {
    if ask.scope == Scope::Anywhere {
        return vec![offers.to_vec()];
    }
    if let Some(near) = &ask.step.data_rack {
        let there = offers.iter().filter(|offer| offer.info.rack == *near);
        return vec![there.copied().collect()];
    }
    if ask.step.rack_local && ask.step.count > 1 {
        let mut racks: Vec<Rack<'_>> = offers.iter().map(|offer| rack(offer.info)).collect();
        racks.sort_unstable();
        racks.dedup();
        let of = |name: Rack<'_>| {
            let there = offers.iter().filter(|offer| rack(offer.info) == name);
            there.copied().collect()
        };
        return racks.into_iter().map(of).collect();
    }
    vec![offers.to_vec()]
}

/// Fills workers in order; tells what stays free on those that are used.
fn fill(ask: &Request<'_>, set: &[&Candidate<'_>]) -> Option<(Vec<WorkerKey>, u64)> {
    let mut fitting: Vec<(&Candidate<'_>, u32)> = set
        .iter()
        .map(|offer| (*offer, offer.places(ask)))
        .filter(|(_offer, places)| *places > 0)
        .collect();
    let room: u64 = fitting
        .iter()
        .map(|(_offer, places)| u64::from(*places))
        .sum();
    if room < u64::from(ask.tasks) {
        return None;
    }
    fitting.sort_by_key(|(offer, _places)| offer.order(&offer.free));
    let mut keys = Vec::new();
    let mut left = 0;
    for (offer, places) in fitting {
        let take = places.min(ask.tasks - keys.len() as u32);
        keys.extend(std::iter::repeat_n(offer.key, take as usize));
        let rest = offer.free.minus(&ask.step.per_task.scaled(u64::from(take)));
        left += rest.accelerators + u64::from(offer.doubtful) * 1_000;
        if keys.len() as u32 == ask.tasks {
            return Some((keys, left));
        }
    }
    None
}

/// Finds workers for all tasks by stopping the cheapest runs; none are stopped where room is free.
pub fn reclaim(
    ask: &Request<'_>,
    offers: &[Candidate<'_>],
    victims: &[Victim],
) -> Option<(Vec<WorkerKey>, Vec<UnitId>)> {
    let all: Vec<&Candidate<'_>> = offers.iter().collect();
    let holders = by_worker(victims);
    sets(ask, &all)
        .into_iter()
        .filter_map(|set| vacate(ask, &set, victims, &holders))
        .min_by_key(|found| found.cost)
        .map(|found| (found.keys, found.stopped))
}

/// Cost, position and holding of each victim, by worker, the cheapest first.
type Holders = map::Map<WorkerKey, Vec<(u64, usize, Amount)>>;

fn by_worker(victims: &[Victim]) -> Holders {
    let mut holders: Holders = map::Map::default();
    for (at, victim) in victims.iter().enumerate() {
        for (worker, amount) in &victim.holds {
            let here = holders.entry(*worker).or_default();
            here.push((victim.cost, at, *amount));
        }
    }
    for here in holders.values_mut() {
        here.sort_unstable_by_key(|(cost, at, _amount)| (*cost, *at));
    }
    holders
}

struct Vacated {
    keys: Vec<WorkerKey>,
    stopped: Vec<UnitId>,
    cost: u64,
}

/// A step towards a vacated place: what it costs, the worker's place in the order, who must go.
struct Move {
    price: u64,
    order: Order,
    chosen: Vec<usize>,
}

/// Takes the tasks one by one to where the next costs least.
fn vacate(
    ask: &Request<'_>,
    set: &[&Candidate<'_>],
    victims: &[Victim],
    holders: &Holders,
) -> Option<Vacated> {
    let mut free: map::Map<WorkerKey, Amount> = map::Map::default();
    let mut here: map::Map<WorkerKey, u32> = map::Map::default();
    for offer in set {
        free.insert(offer.key, offer.free);
        here.insert(offer.key, offer.step_tasks);
    }
    let mut gone = vec![false; victims.len()];
    let mut keys: Vec<WorkerKey> = Vec::new();
    let mut cost = 0;
    for _task in 0..ask.tasks {
        let spread = ask.step.max_per_worker;
        let admits = |offer: &&&Candidate<'_>| {
            offer.admits(ask) && (spread == 0 || here[&offer.key] < spread)
        };
        let steps = set.iter().filter(admits).filter_map(|offer| {
            let room = &free[&offer.key];
            let here = holders.get(&offer.key).map_or(&[][..], Vec::as_slice);
            let (price, chosen) = open(ask, room, here, &gone)?;
            let order = offer.order(room);
            Some(Move {
                price,
                order,
                chosen,
            })
        });
        let best = steps.min_by_key(|step| (step.price, step.order))?;
        cost += best.price;
        for at in best.chosen {
            gone[at] = true;
            for (worker, amount) in &victims[at].holds {
                if let Some(free) = free.get_mut(worker) {
                    *free = free.plus(amount);
                }
            }
        }
        let (_doubtful, _accelerators, _cpus, key) = best.order;
        if let Some(free) = free.get_mut(&key) {
            *free = free.minus(&ask.step.per_task);
        }
        *here.entry(key).or_default() += 1;
        keys.push(key);
    }
    let stopped = victims.iter().zip(&gone);
    let stopped = stopped
        .filter(|(_victim, gone)| **gone)
        .map(|(victim, _gone)| victim.unit)
        .collect();
    Some(Vacated {
        keys,
        stopped,
        cost,
    })
}

/// The cheapest runs whose end makes room for one task on a worker.
fn open(
    ask: &Request<'_>,
    free: &Amount,
    here: &[(u64, usize, Amount)],
    gone: &[bool],
) -> Option<(u64, Vec<usize>)> {
    let need = &ask.step.per_task;
    if free.fits(need) {
        return Some((0, Vec::new()));
    }
    let mut room = *free;
    let mut chosen: Vec<(u64, usize, Amount)> = Vec::new();
    for entry in here.iter().filter(|(_cost, at, _amount)| !gone[*at]) {
        if room.fits(need) {
            break;
        }
        room = room.plus(&entry.2);
        chosen.push(*entry);
    }
    if !room.fits(need) {
        return None;
    }
    // Spares those that the later, larger ones have made needless.
    let mut at = 0;
    while at < chosen.len() {
        let without = room.minus(&chosen[at].2);
        if without.fits(need) {
            room = without;
            chosen.remove(at);
        } else {
            at += 1;
        }
    }
    let cost = chosen.iter().map(|(cost, _at, _amount)| cost).sum();
    Some((
        cost,
        chosen.into_iter().map(|(_cost, at, _amount)| at).collect(),
    ))
}
