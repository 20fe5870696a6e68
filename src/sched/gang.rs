//! Places whole gangs on free resources.
//!
//! Workers are ranked first by how many placements of the largest guaranteed shape are lost, as FGD
//! ranks nodes by the fragmentation that a placement adds, then by how much is taken from
//! guaranteed cells, then by tightness of fit.

use crate::config::{self, Resources, Within};
use crate::sched::event;
use crate::sched::fleet;

/// Cost of a placement; fields are compared in order and lower is better.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost {
    /// Gangs of the largest guaranteed shape that no longer fit.
    pub gangs_lost: u32,
    /// Cells of the largest guaranteed shape that no longer fit.
    pub cells_lost: u32,
    /// Accelerators taken from unclaimed guaranteed cells, or processors if the gang needs no
    /// accelerators.
    pub from_guarantees: u32,
    /// Accelerators that stay free on the workers used.
    pub accelerators_left: u32,
    /// Processors that stay free on the workers used.
    pub cpus_left: u32,
}

impl std::ops::AddAssign for Cost {
    fn add_assign(&mut self, rhs: Self) {
        self.gangs_lost += rhs.gangs_lost;
        self.cells_lost += rhs.cells_lost;
        self.from_guarantees += rhs.from_guarantees;
        self.accelerators_left += rhs.accelerators_left;
        self.cpus_left += rhs.cpus_left;
    }
}

/// Requirements of a gang that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub tasks: u32,
    pub each: Resources,
    pub within: Within,
    /// Regions in order of preference.
    pub regions: &'a [fleet::RegionKey],
    /// Largest guaranteed shape, whose remaining placements enter into the cost.
    pub largest_shape: Option<&'a config::Shape>,
    /// Maximum number of gangs of the largest guaranteed shape that the placement may displace.
    pub max_gangs_lost: u32,
}

/// Tasks that one worker can take and their cost.
#[derive(Clone, Copy, Debug)]
struct Offer {
    worker: event::WorkerKey,
    max_tasks: u32,
    cost: Cost,
}

/// Finds the cheapest workers for a gang.
///
/// `available` returns the resources that the gang may use on a worker. Regions are tried in order
/// of preference and the first that holds the whole gang is used.
pub fn plan(
    fleet: &fleet::Fleet,
    request: &Request<'_>,
    available: impl Fn(event::WorkerKey, &fleet::Worker) -> Resources,
) -> Option<(Vec<event::Member>, Cost)> {
    request
        .regions
        .iter()
        .find_map(|region| plan_in_region(fleet, request, *region, &available))
}

/// Takes the first workers with enough resources; a baseline for `plan`.
pub fn first_fit(fleet: &fleet::Fleet, request: &Request<'_>) -> Option<Vec<event::Member>> {
    request.regions.iter().find_map(|region| {
        let mut region_offers = Vec::new();
        for rack in &fleet.region(*region).racks {
            let rack_offers: Vec<Offer> = fleet
                .rack(*rack)
                .workers
                .iter()
                .filter_map(|key| {
                    let max_tasks = fleet
                        .get(*key)?
                        .borrowable()
                        .count_fitting(&request.each, request.tasks);
                    (max_tasks > 0).then_some(Offer {
                        worker: *key,
                        max_tasks,
                        cost: Cost::default(),
                    })
                })
                .collect();
            match request.within {
                Within::Worker => {
                    let fitting = rack_offers
                        .iter()
                        .find(|offer| offer.max_tasks == request.tasks);
                    if let Some(offer) = fitting {
                        return Some(vec![event::Member {
                            worker: offer.worker,
                            tasks: request.tasks,
                        }]);
                    }
                }
                Within::Rack => {
                    if let Some((members, _cost)) = fill(request.tasks, &rack_offers) {
                        return Some(members);
                    }
                }
                Within::Region => region_offers.extend(rack_offers),
            }
        }
        fill(request.tasks, &region_offers).map(|(members, _cost)| members)
    })
}

fn plan_in_region(
    fleet: &fleet::Fleet,
    request: &Request<'_>,
    region: fleet::RegionKey,
    available: &impl Fn(event::WorkerKey, &fleet::Worker) -> Resources,
) -> Option<(Vec<event::Member>, Cost)> {
    let mut best: Option<(Vec<event::Member>, Cost)> = None;
    let mut region_offers: Vec<Offer> = Vec::new();
    for rack in &fleet.region(region).racks {
        let mut offers = offers(fleet, request, *rack, available);
        match request.within {
            Within::Worker => {
                let fitting = offers
                    .iter()
                    .filter(|offer| offer.max_tasks == request.tasks);
                let fitting =
                    fitting.filter(|offer| offer.cost.gangs_lost <= request.max_gangs_lost);
                if let Some(offer) = fitting.min_by_key(|offer| offer.cost) {
                    let members = vec![event::Member {
                        worker: offer.worker,
                        tasks: request.tasks,
                    }];
                    keep_cheaper(&mut best, (members, offer.cost));
                }
            }
            Within::Rack => {
                offers.sort_by_key(|offer| (offer.cost, offer.worker));
                if let Some(found) = fill(request.tasks, &offers) {
                    let members = found.0;
                    let cost = rack_cost(fleet, request, *rack, &members);
                    if cost.gangs_lost <= request.max_gangs_lost {
                        keep_cheaper(&mut best, (members, cost));
                    }
                }
            }
            Within::Region => region_offers.extend(offers),
        }
    }
    if request.within == Within::Region {
        region_offers.sort_by_key(|offer| (offer.cost, offer.worker));
        best = fill(request.tasks, &region_offers);
    }
    best
}

fn keep_cheaper(best: &mut Option<(Vec<event::Member>, Cost)>, found: (Vec<event::Member>, Cost)) {
    if best.as_ref().is_none_or(|(_members, cost)| found.1 < *cost) {
        *best = Some(found);
    }
}

fn offers(
    fleet: &fleet::Fleet,
    request: &Request<'_>,
    rack: fleet::RackKey,
    available: &impl Fn(event::WorkerKey, &fleet::Worker) -> Resources,
) -> Vec<Offer> {
    let mut offers = Vec::new();
    for key in &fleet.rack(rack).workers {
        let Some(worker) = fleet.get(*key) else {
            continue;
        };
        let max_tasks = available(*key, worker).count_fitting(&request.each, request.tasks);
        if max_tasks > 0 {
            let cost = worker_cost(fleet, worker, request, max_tasks);
            offers.push(Offer {
                worker: *key,
                max_tasks,
                cost,
            });
        }
    }
    if let Some(largest_shape) = request.largest_shape.filter(|_shape| !offers.is_empty()) {
        add_gang_losses(fleet, rack, largest_shape, &mut offers);
    }
    offers
}

/// Reports whether the shape may be placed in a region.
fn is_allowed_in(
    fleet: &fleet::Fleet,
    region: fleet::RegionKey,
    largest_shape: &config::Shape,
) -> bool {
    largest_shape
        .region
        .as_ref()
        .is_none_or(|name| *name == fleet.region(region).name)
}

fn worker_cost(
    fleet: &fleet::Fleet,
    worker: &fleet::Worker,
    request: &Request<'_>,
    tasks: u32,
) -> Cost {
    let amount = request.each.scaled(tasks);
    let free = worker.free();
    let left = free.minus(&amount);
    let cells_lost = request
        .largest_shape
        .filter(|largest_shape| is_allowed_in(fleet, worker.region, largest_shape))
        .map_or(0, |largest_shape| {
            free.count_fitting(&largest_shape.each, u32::MAX)
                .saturating_sub(left.count_fitting(&largest_shape.each, u32::MAX))
        });
    let from_guarantees = amount.minus(&worker.spare());
    Cost {
        gangs_lost: 0,
        cells_lost,
        from_guarantees: if amount.accelerators > 0 {
            from_guarantees.accelerators
        } else {
            from_guarantees.cpus
        },
        accelerators_left: left.accelerators,
        cpus_left: left.cpus,
    }
}

/// Sets the number of whole gangs of the shape that the rack loses by each offer.
fn add_gang_losses(
    fleet: &fleet::Fleet,
    rack: fleet::RackKey,
    largest_shape: &config::Shape,
    offers: &mut [Offer],
) {
    let cells = rack_cells(fleet, rack, largest_shape);
    for offer in offers {
        let after = cells.saturating_sub(offer.cost.cells_lost);
        offer.cost.gangs_lost = cells / largest_shape.workers - after / largest_shape.workers;
    }
}

fn rack_cells(fleet: &fleet::Fleet, rack: fleet::RackKey, largest_shape: &config::Shape) -> u32 {
    let workers = fleet
        .rack(rack)
        .workers
        .iter()
        .filter_map(|key| fleet.get(*key));
    workers
        .map(|worker| {
            worker
                .borrowable()
                .count_fitting(&largest_shape.each, u32::MAX)
        })
        .sum()
}

/// Returns the cost of placing a gang in one rack.
fn rack_cost(
    fleet: &fleet::Fleet,
    request: &Request<'_>,
    rack: fleet::RackKey,
    members: &[event::Member],
) -> Cost {
    let mut sum = Cost::default();
    for member in members {
        if let Some(worker) = fleet.get(member.worker) {
            sum += worker_cost(fleet, worker, request, member.tasks);
        }
    }
    if let Some(largest_shape) = request.largest_shape {
        let cells = rack_cells(fleet, rack, largest_shape);
        let after = cells.saturating_sub(sum.cells_lost);
        sum.gangs_lost = cells / largest_shape.workers - after / largest_shape.workers;
    }
    sum
}

/// Assigns all tasks to offers in the given order; `None` if they do not all fit.
fn fill(tasks: u32, offers: &[Offer]) -> Option<(Vec<event::Member>, Cost)> {
    let mut left = tasks;
    let mut members = Vec::new();
    let mut sum = Cost::default();
    for offer in offers {
        let here = offer.max_tasks.min(left);
        members.push(event::Member {
            worker: offer.worker,
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

/// Returns the maximum number of tasks, up to `limit`, that an empty fleet holds in one scope.
pub fn max_tasks(fleet: &fleet::Fleet, each: &Resources, within: Within, limit: u32) -> u32 {
    let tasks_on_worker = |key: &event::WorkerKey| {
        fleet
            .get(*key)
            .map_or(0, |worker| worker.total.count_fitting(each, limit))
    };
    let tasks_in_rack = |rack: &fleet::Rack| rack.workers.iter().map(tasks_on_worker).sum::<u32>();
    let best = match within {
        Within::Worker => fleet
            .racks()
            .iter()
            .flat_map(|rack| &rack.workers)
            .map(tasks_on_worker)
            .max(),
        Within::Rack => fleet.racks().iter().map(tasks_in_rack).max(),
        Within::Region => {
            let tasks_in_region = |region: &fleet::Region| {
                region
                    .racks
                    .iter()
                    .map(|rack| tasks_in_rack(fleet.rack(*rack)))
                    .sum::<u32>()
            };
            fleet.regions().iter().map(tasks_in_region).max()
        }
    };
    best.unwrap_or(0).min(limit)
}

/// Returns the maximum number of tasks, up to `limit`, that the configured racks hold in one scope.
pub fn max_tasks_declared(
    config: &config::Config,
    each: &Resources,
    within: Within,
    limit: u32,
) -> u32 {
    let racks = config.racks.values();
    let tasks_in_rack = |rack: &config::Rack| rack.each.count_fitting(each, limit) * rack.workers;
    let best = match within {
        Within::Worker => racks.map(|rack| rack.each.count_fitting(each, limit)).max(),
        Within::Rack => racks.map(tasks_in_rack).max(),
        Within::Region => {
            let mut sums = std::collections::BTreeMap::new();
            for rack in racks {
                *sums.entry(&rack.region).or_insert(0) += tasks_in_rack(rack);
            }
            sums.into_values().max()
        }
    };
    best.unwrap_or(0).min(limit)
}
