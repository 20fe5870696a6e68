//! Fragmentation: the share of free accelerators that the largest guaranteed shape cannot use.

use crate::config::{self, Within};
use crate::sched::event;
use crate::sched::fleet;

/// Returns the number of gangs of a shape that fit on borrowable resources, summed over scopes.
pub fn fitting_gangs(fleet: &fleet::Fleet, shape: &config::Shape) -> u32 {
    let region = match shape.region.as_deref().map(|name| fleet.find_region(name)) {
        Some(None) => return 0,
        Some(found) => found,
        None => None,
    };
    let mut gangs = 0;
    let mut cells_by_region = vec![0_u32; fleet.regions().len()];
    for rack in fleet.racks() {
        if region.is_some_and(|region| region != rack.region) {
            continue;
        }
        let cells_on = |key: &event::WorkerKey| match fleet.get(*key) {
            Some(worker) => worker.borrowable().count_fitting(&shape.each, u32::MAX),
            None => 0,
        };
        let cells: u32 = match shape.within {
            Within::Worker => rack
                .workers
                .iter()
                .map(|key| cells_on(key) / shape.workers)
                .sum(),
            Within::Rack | Within::Region => rack.workers.iter().map(cells_on).sum(),
        };
        match shape.within {
            Within::Worker => gangs += cells,
            Within::Rack => gangs += cells / shape.workers,
            Within::Region => cells_by_region[rack.region.0 as usize] += cells,
        }
    }
    gangs
        + cells_by_region
            .iter()
            .map(|cells| cells / shape.workers)
            .sum::<u32>()
}

/// Returns the number of free accelerators that borrowed gangs may use.
pub fn free_accelerators(fleet: &fleet::Fleet) -> u32 {
    fleet
        .iter()
        .map(|(_key, worker)| worker.borrowable().accelerators)
        .sum()
}

/// Returns the share, from 0 to 1, of free accelerators that the shape cannot use.
pub fn ratio(fleet: &fleet::Fleet, shape: &config::Shape) -> f64 {
    let free = free_accelerators(fleet);
    if free == 0 {
        return 0.0;
    }
    let usable = fitting_gangs(fleet, shape) * shape.workers * shape.each.accelerators;
    1.0 - f64::from(usable.min(free)) / f64::from(free)
}

/// Returns the guaranteed shape with the most accelerators.
pub fn largest_shape(config: &config::Config) -> Option<&config::Shape> {
    let shapes = config.accounts.values().flat_map(|account| &account.shapes);
    shapes.max_by_key(|shape| {
        (
            shape.workers * shape.each.accelerators,
            shape.each.accelerators,
        )
    })
}
