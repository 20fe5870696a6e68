//! Placing a whole gang on what is free.
//!
//! Workers are ranked by what the placement costs the largest guaranteed shape, as FGD ranks nodes
//! by the fragmentation that a placement adds, then by how much it takes of what is kept for
//! guarantees, then by tightness of fit.

use crate::config::{self, Resources, Within};
use crate::sched::event;
use crate::sched::fleet;

/// What a placement costs; lower is better.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost {
    /// Gangs of the largest guaranteed shape that no longer fit.
    pub gangs: u32,
    /// Cells of that shape that no longer fit.
    pub cells: u32,
    /// Accelerators, or else processors, taken from unclaimed guaranteed cells.
    pub kept: u32,
    /// Accelerators left over on the workers used.
    pub left: u32,
    /// Processors left over on the workers used.
    pub left_cpus: u32,
}

impl std::ops::AddAssign for Cost {
    fn add_assign(&mut self, rhs: Self) {
        self.gangs += rhs.gangs;
        self.cells += rhs.cells;
        self.kept += rhs.kept;
        self.left += rhs.left;
        self.left_cpus += rhs.left_cpus;
    }
}

/// What is asked of a placement.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    pub tasks: u32,
    pub each: Resources,
    pub within: Within,
    /// Regions in order of preference.
    pub regions: &'a [fleet::RegionKey],
    /// Largest guaranteed shape, which is kept placeable.
    pub big: Option<&'a config::Shape>,
    /// Most gangs of that shape that the placement may cost.
    pub may_cost: u32,
}

/// A possible use of one worker.
#[derive(Clone, Copy, Debug)]
struct Offer {
    key: event::WorkerKey,
    times: u32,
    cost: Cost,
}

/// Finds the cheapest workers for a gang; `room` tells what it may use of each.
pub fn plan(
    fleet: &fleet::Fleet,
    ask: &Ask<'_>,
    room: impl Fn(event::WorkerKey, &fleet::Worker) -> Resources,
) -> Option<(Vec<event::Member>, Cost)> {
    ask.regions
        .iter()
        .find_map(|region| in_region(fleet, ask, *region, &room))
}

/// Takes the first workers with room, for comparison.
pub fn first_fit(fleet: &fleet::Fleet, ask: &Ask<'_>) -> Option<Vec<event::Member>> {
    ask.regions.iter().find_map(|region| {
        let mut of_region = Vec::new();
        for rack in &fleet.region(*region).racks {
            let of_rack: Vec<Offer> = fleet
                .rack(*rack)
                .workers
                .iter()
                .filter_map(|key| {
                    let times = fleet.get(*key)?.lendable().times(&ask.each, ask.tasks);
                    (times > 0).then_some(Offer {
                        key: *key,
                        times,
                        cost: Cost::default(),
                    })
                })
                .collect();
            match ask.within {
                Within::Worker => {
                    let whole = of_rack.iter().find(|offer| offer.times == ask.tasks);
                    if let Some(offer) = whole {
                        return Some(vec![event::Member {
                            worker: offer.key,
                            tasks: ask.tasks,
                        }]);
                    }
                }
                Within::Rack => {
                    if let Some((members, _cost)) = fill(ask.tasks, &of_rack) {
                        return Some(members);
                    }
                }
                Within::Region => of_region.extend(of_rack),
            }
        }
        fill(ask.tasks, &of_region).map(|(members, _cost)| members)
    })
}

fn in_region(
    fleet: &fleet::Fleet,
    ask: &Ask<'_>,
    region: fleet::RegionKey,
    room: &impl Fn(event::WorkerKey, &fleet::Worker) -> Resources,
) -> Option<(Vec<event::Member>, Cost)> {
    let mut best: Option<(Vec<event::Member>, Cost)> = None;
    let mut of_region: Vec<Offer> = Vec::new();
    for rack in &fleet.region(region).racks {
        let mut offers = offers(fleet, ask, *rack, room);
        match ask.within {
            Within::Worker => {
                let whole = offers.iter().filter(|offer| offer.times == ask.tasks);
                let whole = whole.filter(|offer| offer.cost.gangs <= ask.may_cost);
                if let Some(offer) = whole.min_by_key(|offer| offer.cost) {
                    let members = vec![event::Member {
                        worker: offer.key,
                        tasks: ask.tasks,
                    }];
                    keep_better(&mut best, (members, offer.cost));
                }
            }
            Within::Rack => {
                offers.sort_by_key(|offer| (offer.cost, offer.key));
                if let Some(found) = fill(ask.tasks, &offers) {
                    let members = found.0;
                    let cost = rack_cost(fleet, ask, *rack, &members);
                    if cost.gangs <= ask.may_cost {
                        keep_better(&mut best, (members, cost));
                    }
                }
            }
            Within::Region => of_region.extend(offers),
        }
    }
    if ask.within == Within::Region {
        of_region.sort_by_key(|offer| (offer.cost, offer.key));
        best = fill(ask.tasks, &of_region);
    }
    best
}

fn keep_better(best: &mut Option<(Vec<event::Member>, Cost)>, found: (Vec<event::Member>, Cost)) {
    if best.as_ref().is_none_or(|(_members, cost)| found.1 < *cost) {
        *best = Some(found);
    }
}

fn offers(
    fleet: &fleet::Fleet,
    ask: &Ask<'_>,
    rack: fleet::RackKey,
    room: &impl Fn(event::WorkerKey, &fleet::Worker) -> Resources,
) -> Vec<Offer> {
    let mut offers = Vec::new();
    for key in &fleet.rack(rack).workers {
        let Some(worker) = fleet.get(*key) else {
            continue;
        };
        let times = room(*key, worker).times(&ask.each, ask.tasks);
        if times > 0 {
            let cost = worker_cost(fleet, worker, ask, times);
            offers.push(Offer {
                key: *key,
                times,
                cost,
            });
        }
    }
    if let Some(big) = ask.big.filter(|_big| !offers.is_empty()) {
        charge_gangs(fleet, rack, big, &mut offers);
    }
    offers
}

/// Whether the shape may lie in a region.
fn lies_in(fleet: &fleet::Fleet, region: fleet::RegionKey, big: &config::Shape) -> bool {
    big.region
        .as_ref()
        .is_none_or(|name| *name == fleet.region(region).name)
}

fn worker_cost(fleet: &fleet::Fleet, worker: &fleet::Worker, ask: &Ask<'_>, tasks: u32) -> Cost {
    let amount = ask.each.scaled(tasks);
    let free = worker.free();
    let left = free.less(&amount);
    let cells = ask
        .big
        .filter(|big| lies_in(fleet, worker.region, big))
        .map_or(0, |big| {
            free.times(&big.each, u32::MAX)
                .saturating_sub(left.times(&big.each, u32::MAX))
        });
    let kept = amount.less(&worker.spare());
    Cost {
        gangs: 0,
        cells,
        kept: if amount.accelerators > 0 {
            kept.accelerators
        } else {
            kept.cpus
        },
        left: left.accelerators,
        left_cpus: left.cpus,
    }
}

/// Adds to each offer how many whole gangs of the shape its rack loses by it.
fn charge_gangs(
    fleet: &fleet::Fleet,
    rack: fleet::RackKey,
    big: &config::Shape,
    offers: &mut [Offer],
) {
    let cells = rack_cells(fleet, rack, big);
    for offer in offers {
        let after = cells.saturating_sub(offer.cost.cells);
        offer.cost.gangs = cells / big.workers - after / big.workers;
    }
}

fn rack_cells(fleet: &fleet::Fleet, rack: fleet::RackKey, big: &config::Shape) -> u32 {
    let workers = fleet
        .rack(rack)
        .workers
        .iter()
        .filter_map(|key| fleet.get(*key));
    workers
        .map(|worker| worker.lendable().times(&big.each, u32::MAX))
        .sum()
}

/// Cost of a gang in one rack.
fn rack_cost(
    fleet: &fleet::Fleet,
    ask: &Ask<'_>,
    rack: fleet::RackKey,
    members: &[event::Member],
) -> Cost {
    let mut sum = Cost::default();
    for member in members {
        if let Some(worker) = fleet.get(member.worker) {
            sum += worker_cost(fleet, worker, ask, member.tasks);
        }
    }
    if let Some(big) = ask.big {
        let cells = rack_cells(fleet, rack, big);
        let after = cells.saturating_sub(sum.cells);
        sum.gangs = cells / big.workers - after / big.workers;
    }
    sum
}

/// Puts the tasks on offers in order, whole or not at all.
fn fill(tasks: u32, offers: &[Offer]) -> Option<(Vec<event::Member>, Cost)> {
    let mut left = tasks;
    let mut members = Vec::new();
    let mut sum = Cost::default();
    for offer in offers {
        let here = offer.times.min(left);
        members.push(event::Member {
            worker: offer.key,
            tasks: here,
        });
        sum += offer.cost;
        left -= here;
        if left == 0 {
            return Some((members, sum));
        }
    }
    None
}

/// Most tasks that an empty fleet could hold at once within the scope.
pub fn most(fleet: &fleet::Fleet, each: &Resources, within: Within, limit: u32) -> u32 {
    let times = |key: &event::WorkerKey| {
        fleet
            .get(*key)
            .map_or(0, |worker| worker.total.times(each, limit))
    };
    let in_rack = |rack: &fleet::Rack| rack.workers.iter().map(times).sum::<u32>();
    let best = match within {
        Within::Worker => fleet
            .racks()
            .iter()
            .flat_map(|rack| &rack.workers)
            .map(times)
            .max(),
        Within::Rack => fleet.racks().iter().map(in_rack).max(),
        Within::Region => {
            let of_region = |region: &fleet::Region| {
                region
                    .racks
                    .iter()
                    .map(|rack| in_rack(fleet.rack(*rack)))
                    .sum::<u32>()
            };
            fleet.regions().iter().map(of_region).max()
        }
    };
    best.unwrap_or(0).min(limit)
}

/// Most tasks that the declared racks could hold at once within the scope.
pub fn most_declared(config: &config::Config, each: &Resources, within: Within, limit: u32) -> u32 {
    let racks = config.racks.values();
    let in_rack = |rack: &config::Rack| rack.each.times(each, limit) * rack.workers;
    let best = match within {
        Within::Worker => racks.map(|rack| rack.each.times(each, limit)).max(),
        Within::Rack => racks.map(in_rack).max(),
        Within::Region => {
            let mut sums = std::collections::BTreeMap::new();
            for rack in racks {
                *sums.entry(&rack.region).or_insert(0) += in_rack(rack);
            }
            sums.into_values().max()
        }
    };
    best.unwrap_or(0).min(limit)
}
