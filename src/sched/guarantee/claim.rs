//! Finds cells for a job under its account's guarantee.

use crate::config::{Resources, Within};
use crate::map;
use crate::sched::event;
use crate::sched::fleet;
use crate::sched::guarantee::{Gang, Table, bind_cell, bins_where};

/// A job below 1 / `SMALL_JOB_DIVISOR` of an idle guaranteed gang is placed on borrowed resources
/// if possible, so that the gang is not split.
const SMALL_JOB_DIVISOR: u32 = 2;

/// Cells for a job and the resources that borrowed gangs must vacate for it.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    pub placement: event::Placement,
    /// Resources that must be vacated, by worker.
    pub to_vacate: Vec<(event::WorkerKey, Resources)>,
}

impl Plan {
    /// Returns the accelerators to be vacated, then the larger of processors and GB of memory on
    /// each worker, summed over the workers.
    pub fn cost(&self) -> (u32, u32) {
        let accelerators = self
            .to_vacate
            .iter()
            .map(|(_key, amount)| amount.accelerators)
            .sum();
        let cpus = self
            .to_vacate
            .iter()
            .map(|(_key, amount)| amount.cpus.max(amount.memory_gb));
        (accelerators, cpus.sum())
    }
}

/// Tasks that fit in one cell.
#[derive(Clone, Copy, Debug)]
struct Offer {
    /// Key of the worker, rack or region in which the whole job must be placed.
    scope: u32,
    /// Index in `Table::gangs`.
    gang: usize,
    cell: usize,
    worker: event::WorkerKey,
    max_tasks: u32,
    /// Tasks that fit without vacating anything.
    max_free_tasks: u32,
    /// One plus the accelerators of the whole gang if it is idle, else zero.
    opening_cost: u32,
}

impl Table {
    /// Finds the cells for a job that require the fewest resources to be vacated.
    pub fn plan(
        &self,
        fleet: &fleet::Fleet,
        spec: &event::Spec,
        regions: &[fleet::RegionKey],
    ) -> Option<Plan> {
        let mut offers = self.offers(fleet, spec, regions);
        offers.sort_by_key(|offer| offer.scope);
        let scopes = offers.chunk_by(|a, b| a.scope == b.scope);
        let plans = scopes.filter_map(|scope| self.fill_scope(fleet, spec, scope));
        plans
            .min_by_key(|(plan, opening_cost)| (plan.cost(), *opening_cost))
            .map(|(plan, _opening_cost)| plan)
    }

    fn offers(
        &self,
        fleet: &fleet::Fleet,
        spec: &event::Spec,
        regions: &[fleet::RegionKey],
    ) -> Vec<Offer> {
        let mut offers = Vec::new();
        let Some(gang_indexes) = self.by_account.get(&spec.account) else {
            return offers;
        };
        for index in gang_indexes {
            let gang = &self.gangs[*index];
            let idle_cost = gang.shape.each.accelerators * gang.shape.workers + 1;
            let opening_cost = if gang.is_used() { 0 } else { idle_cost };
            for (cell_index, cell) in gang.cells.iter().enumerate() {
                let Some(key) = cell.worker else { continue };
                let Some(worker) = fleet.get(key) else {
                    continue;
                };
                let is_usable =
                    worker.state == fleet::State::Up && regions.contains(&worker.region);
                let max_tasks = gang
                    .shape
                    .each
                    .minus(&cell.used)
                    .count_fitting(&spec.each, spec.tasks);
                if !is_usable || max_tasks == 0 {
                    continue;
                }
                let scope = match spec.within {
                    Within::Worker => key.0,
                    Within::Rack => worker.rack.0,
                    Within::Region => worker.region.0,
                };
                let max_free_tasks = worker.free().count_fitting(&spec.each, max_tasks);
                offers.push(Offer {
                    scope,
                    gang: *index,
                    cell: cell_index,
                    worker: key,
                    max_tasks,
                    max_free_tasks,
                    opening_cost,
                });
            }
        }
        offers
    }

    /// Assigns the tasks to the cells of one scope; also returns the opening cost of idle gangs.
    fn fill_scope(
        &self,
        fleet: &fleet::Fleet,
        spec: &event::Spec,
        scope: &[Offer],
    ) -> Option<(Plan, u32)> {
        if scope.iter().map(|offer| offer.max_tasks).sum::<u32>() < spec.tasks {
            return None;
        }
        let mut order: Vec<&Offer> = scope.iter().collect();
        order.sort_by_key(|offer| {
            (
                offer.max_tasks - offer.max_free_tasks,
                offer.opening_cost,
                offer.gang,
                offer.cell,
            )
        });
        let mut left = spec.tasks;
        let mut chosen: Vec<(&Offer, u32)> = Vec::new();
        for offer in order {
            let tasks = offer.max_tasks.min(left);
            left -= tasks;
            chosen.push((offer, tasks));
            if left == 0 {
                break;
            }
        }
        let mut opening_cost: Vec<(usize, u32)> = chosen
            .iter()
            .map(|(offer, _tasks)| (offer.gang, offer.opening_cost))
            .collect();
        opening_cost.sort_unstable();
        opening_cost.dedup();
        let opening_cost = opening_cost
            .iter()
            .map(|(_gang, opening_cost)| opening_cost)
            .sum();
        Some((self.build_plan(fleet, spec, &chosen), opening_cost))
    }

    fn build_plan(
        &self,
        fleet: &fleet::Fleet,
        spec: &event::Spec,
        chosen: &[(&Offer, u32)],
    ) -> Plan {
        let mut members: Vec<event::Member> = Vec::new();
        let mut claims: Vec<(usize, event::Claim)> = Vec::new();
        for (offer, tasks) in chosen {
            match members
                .iter_mut()
                .find(|member| member.worker == offer.worker)
            {
                Some(member) => member.tasks += tasks,
                None => members.push(event::Member {
                    worker: offer.worker,
                    tasks: *tasks,
                }),
            }
            if !claims.iter().any(|(gang, _claim)| *gang == offer.gang) {
                claims.push((offer.gang, empty_claim(&self.gangs[offer.gang])));
            }
            for (_gang, claim) in claims.iter_mut().filter(|(gang, _)| *gang == offer.gang) {
                claim.tasks[offer.cell] += tasks;
            }
        }
        let mut to_vacate = Vec::new();
        for member in &members {
            let Some(worker) = fleet.get(member.worker) else {
                continue;
            };
            let short = spec.each.scaled(member.tasks).minus(&worker.free());
            if !short.is_zero() {
                to_vacate.push((member.worker, short));
            }
        }
        let claims = claims.into_iter().map(|(_gang, claim)| claim).collect();
        Plan {
            placement: event::Placement { members, claims },
            to_vacate,
        }
    }

    /// Reports whether a plan uses a small part of a gang that is idle so far.
    pub fn is_splitting_idle_gang(&self, spec: &event::Spec, plan: &Plan) -> bool {
        let amount = spec.each.accelerators * spec.tasks;
        plan.placement.claims.iter().any(|claim| {
            let gang = self
                .find_gang(&spec.account, claim)
                .map(|index| &self.gangs[index]);
            gang.is_some_and(|gang| {
                let total_accelerators = gang.shape.each.accelerators * gang.shape.workers;
                !gang.is_used() && amount * SMALL_JOB_DIVISOR < total_accelerators
            })
        })
    }

    /// Moves one of the account's unused gangs to workers where nothing must be vacated; returns
    /// whether one was moved.
    pub fn relocate(
        &mut self,
        fleet: &mut fleet::Fleet,
        spec: &event::Spec,
        regions: &[fleet::RegionKey],
    ) -> bool {
        let Some(gang_indexes) = self.by_account.get(&spec.account).cloned() else {
            return false;
        };
        let mut tried: Vec<u32> = Vec::new();
        for index in gang_indexes {
            let gang = &self.gangs[index];
            if gang.is_used() || !can_hold(gang, spec) || tried.contains(&gang.shape_index) {
                continue;
            }
            tried.push(gang.shape_index);
            if self.move_to_free(fleet, index, regions) || self.swap(fleet, index, regions) {
                return true;
            }
        }
        false
    }

    /// Binds an unused gang to free resources; keeps its workers and returns false if none fit.
    fn move_to_free(
        &mut self,
        fleet: &mut fleet::Fleet,
        index: usize,
        regions: &[fleet::RegionKey],
    ) -> bool {
        let each = self.gangs[index].shape.each;
        let old: Vec<Option<event::WorkerKey>> = self.gangs[index]
            .cells
            .iter()
            .map(|cell| cell.worker)
            .collect();
        self.unbind_gang(fleet, index);
        let is_admitted =
            |_key: event::WorkerKey, worker: &fleet::Worker| regions.contains(&worker.region);
        let free = |worker: &fleet::Worker| worker.bindable().min(&worker.free());
        let mut bins = bins_where(fleet, is_admitted, free);
        let placed = bins.pool.place(&self.gangs[index].demand(fleet));
        let moved = placed.is_some();
        let to: Vec<Option<event::WorkerKey>> = match placed {
            Some(chosen) => chosen.into_iter().map(|bin| Some(bins.keys[bin])).collect(),
            None => old,
        };
        for (cell, key) in self.gangs[index].cells.iter_mut().zip(to) {
            if let Some(key) = key {
                bind_cell(fleet, cell, key, each);
            }
        }
        moved
    }

    /// Exchanges the workers of two unused gangs with equal cells if the other's workers are free.
    fn swap(
        &mut self,
        fleet: &mut fleet::Fleet,
        index: usize,
        regions: &[fleet::RegionKey],
    ) -> bool {
        let partner = (0..self.gangs.len()).find(|other| {
            *other != index
                && self.can_swap(fleet, index, *other)
                && self.is_free(fleet, *other, regions)
        });
        let Some(other) = partner else { return false };
        for cell in 0..self.gangs[index].cells.len() {
            let mine = self.gangs[index].cells[cell].worker;
            self.gangs[index].cells[cell].worker = self.gangs[other].cells[cell].worker;
            self.gangs[other].cells[cell].worker = mine;
        }
        true
    }

    fn can_swap(&self, fleet: &fleet::Fleet, index: usize, other: usize) -> bool {
        let (mine, theirs) = (&self.gangs[index], &self.gangs[other]);
        let is_allowed_in = |gang: &Gang, region: &Option<String>| {
            region.as_deref().is_none_or(|name| {
                let key = gang.cells.first().and_then(|cell| cell.worker);
                let worker = key.and_then(|key| fleet.get(key));
                worker.map(|worker| worker.region) == fleet.find_region(name)
            })
        };
        !theirs.is_used()
            && !theirs.has_unbound_cells()
            && !mine.has_unbound_cells()
            && mine.shape.each == theirs.shape.each
            && mine.shape.workers == theirs.shape.workers
            && mine.shape.within == theirs.shape.within
            && is_allowed_in(theirs, &mine.shape.region)
            && is_allowed_in(mine, &theirs.shape.region)
    }

    /// Reports whether all workers of a gang have free resources for its cells.
    fn is_free(&self, fleet: &fleet::Fleet, index: usize, regions: &[fleet::RegionKey]) -> bool {
        let gang = &self.gangs[index];
        let mut cells_on: map::Map<event::WorkerKey, u32> = map::Map::default();
        for key in gang.cells.iter().filter_map(|cell| cell.worker) {
            *cells_on.entry(key).or_default() += 1;
        }
        cells_on.iter().all(|(key, cells)| {
            fleet.get(*key).is_some_and(|worker| {
                worker.state == fleet::State::Up
                    && regions.contains(&worker.region)
                    && worker.free().fits(&gang.shape.each.scaled(*cells))
            })
        })
    }
}

/// Reports whether a job fits into this gang alone.
fn can_hold(gang: &Gang, spec: &event::Spec) -> bool {
    let max_tasks = gang.shape.each.count_fitting(&spec.each, spec.tasks);
    let is_narrower = gang.shape.within <= spec.within;
    max_tasks >= spec.tasks || is_narrower && max_tasks * gang.shape.workers >= spec.tasks
}

/// Returns a claim on a gang without any tasks.
fn empty_claim(gang: &Gang) -> event::Claim {
    event::Claim {
        shape_index: gang.shape_index,
        gang_index: gang.gang_index,
        workers: gang.cells.iter().map(|cell| cell.worker).collect(),
        tasks: vec![0; gang.cells.len()],
    }
}
