//! Guaranteed gangs and the workers to which their cells are bound.
//!
//! Every guaranteed gang owns cells on healthy workers, whether a job uses them or not. The cells
//! on a worker never exceed its resources, so all unclaimed gangs fit at the same time on free and
//! borrowed resources; the binding itself proves it. Borrowed gangs run wherever resources are free
//! and are reclaimed when a claim needs them. As in HiveD, unused cells move to other workers when
//! a worker fails or when that avoids a reclaim.

mod claim;

use crate::config::{self, Resources, Within};
use crate::map;
use crate::sched::bind;
use crate::sched::event;
use crate::sched::fleet;

pub use claim::Plan;

/// Maximum number of steps of the exhaustive search, which runs when packing in fixed orders fails.
const SEARCH_STEPS: u32 = 20_000;

/// A part of one worker that belongs to a guaranteed gang.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cell {
    /// Worker that the cell is bound to.
    pub worker: Option<event::WorkerKey>,
    /// Resources used by jobs that claimed the cell.
    pub used: Resources,
}

/// One guaranteed gang.
#[derive(Clone, Debug)]
pub struct Gang {
    pub account: String,
    /// Index of the shape in the account's list.
    pub shape_index: u32,
    /// Index among the gangs of the shape.
    pub gang_index: u32,
    pub shape: config::Shape,
    pub cells: Vec<Cell>,
}

impl Gang {
    /// Reports whether any cell is in use.
    pub fn is_used(&self) -> bool {
        self.cells.iter().any(|cell| !cell.used.is_zero())
    }

    /// Reports whether any cell has no worker.
    pub fn has_unbound_cells(&self) -> bool {
        self.cells.iter().any(|cell| cell.worker.is_none())
    }

    fn demand(&self, fleet: &fleet::Fleet) -> bind::Demand {
        let region = self.shape.region.as_deref();
        let region = region.map(|name| fleet.find_region(name).map_or(u32::MAX, |key| key.0));
        bind::demand(&self.shape, region)
    }
}

/// Number of gangs of an account's shape that have unbound cells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortfall {
    pub account: String,
    /// Index of the shape in the account's list.
    pub shape: u32,
    pub gangs: u32,
}

/// All guaranteed gangs.
#[derive(Clone, Debug, Default)]
pub struct Table {
    gangs: Vec<Gang>,
    by_account: map::Map<String, Vec<usize>>,
}

/// Workers as bins for the packing, sorted by region and rack.
struct Bins {
    keys: Vec<event::WorkerKey>,
    pool: bind::Pool,
}

impl Table {
    /// Returns all guaranteed gangs.
    pub fn gangs(&self) -> &[Gang] {
        &self.gangs
    }

    /// Reports whether an account has any guarantee.
    pub fn has_account(&self, account: &str) -> bool {
        self.by_account.contains_key(account)
    }

    /// Applies a configuration; returns the keys of gangs in use that are no longer guaranteed.
    pub fn configure(
        &mut self,
        fleet: &mut fleet::Fleet,
        config: &config::Config,
    ) -> Vec<(String, u32, u32)> {
        let mut old: map::Map<(String, u32, u32), Gang> = map::Map::default();
        let mut order = Vec::new();
        for gang in std::mem::take(&mut self.gangs) {
            let key = (gang.account.clone(), gang.shape_index, gang.gang_index);
            order.push(key.clone());
            old.insert(key, gang);
        }
        self.by_account.clear();
        for (name, account) in &config.accounts {
            for (shape_index, shape) in account.shapes.iter().enumerate() {
                for gang_index in 0..shape.count {
                    self.carry_over(&mut old, name, shape_index as u32, gang_index, shape);
                }
            }
        }
        let mut dropped = Vec::new();
        for key in order {
            let Some(gang) = old.remove(&key) else {
                continue;
            };
            if gang.is_used() {
                dropped.push(key);
            }
            unbind_cells(fleet, &gang);
        }
        self.bind_missing(fleet);
        dropped
    }

    /// Adds a gang, with its previous cells if its shape is unchanged.
    fn carry_over(
        &mut self,
        old: &mut map::Map<(String, u32, u32), Gang>,
        account: &str,
        shape_index: u32,
        gang_index: u32,
        shape: &config::Shape,
    ) {
        let key = (account.to_owned(), shape_index, gang_index);
        let has_same_shape = |gang: &Gang| {
            config::Shape {
                count: shape.count,
                ..gang.shape.clone()
            } == *shape
        };
        let gang = match old.remove(&key) {
            Some(gang) if has_same_shape(&gang) => Gang {
                shape: shape.clone(),
                ..gang
            },
            other => {
                if let Some(gang) = other {
                    old.insert(key, gang);
                }
                Gang {
                    account: account.to_owned(),
                    shape_index,
                    gang_index,
                    shape: shape.clone(),
                    cells: vec![Cell::default(); shape.workers as usize],
                }
            }
        };
        self.by_account
            .entry(account.to_owned())
            .or_default()
            .push(self.gangs.len());
        self.gangs.push(gang);
    }

    /// Unbinds the cells of an unavailable worker; cells in use stay bound unless it is down.
    pub fn unbind_worker(&mut self, fleet: &mut fleet::Fleet, key: event::WorkerKey, down: bool) {
        for gang in &mut self.gangs {
            let each = gang.shape.each;
            for cell in &mut gang.cells {
                if cell.worker == Some(key) && (down || cell.used.is_zero()) {
                    unbind(fleet, cell, each);
                }
            }
        }
        self.bind_missing(fleet);
    }

    /// Binds missing cells after a worker became available; its unused cells are unbound first if
    /// it came back with fewer resources than are bound.
    pub fn worker_available(&mut self, fleet: &mut fleet::Fleet, key: event::WorkerKey) {
        let shrunk = fleet
            .get(key)
            .is_some_and(|worker| !worker.total.fits(&worker.bound));
        if shrunk {
            self.unbind_worker(fleet, key, false);
        } else {
            self.bind_missing(fleet);
        }
    }

    /// Adds the resources of a job to the cells that it claims.
    pub fn allocate(
        &mut self,
        fleet: &mut fleet::Fleet,
        account: &str,
        claims: &[event::Claim],
        each: Resources,
    ) {
        self.for_each_claimed_cell(account, claims, |cell, tasks| {
            let amount = each.scaled(tasks);
            cell.used += amount;
            if let Some(worker) = cell.worker.and_then(|key| fleet.get_mut(key)) {
                worker.claimed += amount;
            }
        });
        self.refresh_blocked(fleet);
    }

    /// Removes the resources of a job from the cells that it claimed.
    pub fn release(
        &mut self,
        fleet: &mut fleet::Fleet,
        account: &str,
        claims: &[event::Claim],
        each: Resources,
    ) {
        self.for_each_claimed_cell(account, claims, |cell, tasks| {
            let amount = each.scaled(tasks);
            cell.used -= amount;
            if let Some(worker) = cell.worker.and_then(|key| fleet.get_mut(key)) {
                worker.claimed -= amount;
            }
        });
        // A gang that is no longer used can move, which may make unbound cells fit.
        let is_any_unbound = self.gangs.iter().any(Gang::has_unbound_cells);
        if is_any_unbound {
            self.bind_missing(fleet);
        } else {
            self.unbind_unavailable(fleet);
            self.refresh_blocked(fleet);
        }
    }

    fn for_each_claimed_cell(
        &mut self,
        account: &str,
        claims: &[event::Claim],
        mut apply: impl FnMut(&mut Cell, u32),
    ) {
        for claim in claims {
            let found = self.find_gang(account, claim);
            let Some(index) = found else { continue };
            for (cell, tasks) in self.gangs[index].cells.iter_mut().zip(&claim.tasks) {
                if *tasks > 0 {
                    apply(cell, *tasks);
                }
            }
        }
    }

    /// Moves unused cells away from workers that are quarantined or down.
    fn unbind_unavailable(&mut self, fleet: &mut fleet::Fleet) {
        let movable = |cell: &Cell| {
            let state = cell
                .worker
                .and_then(|key| fleet.get(key))
                .map(|worker| worker.state);
            state.is_some_and(|state| state != fleet::State::Up) && cell.used.is_zero()
        };
        let any_movable = self.gangs.iter().any(|gang| gang.cells.iter().any(movable));
        if !any_movable {
            return;
        }
        for gang in &mut self.gangs {
            let each = gang.shape.each;
            for cell in &mut gang.cells {
                let key = cell.worker.filter(|_key| cell.used.is_zero());
                let state = key
                    .and_then(|key| fleet.get(key))
                    .map(|worker| worker.state);
                if state.is_some_and(|state| state != fleet::State::Up) {
                    unbind(fleet, cell, each);
                }
            }
        }
        self.bind_missing(fleet);
    }

    /// Binds cells to the recorded workers; returns false if a claimed gang no longer exists.
    pub fn restore(
        &mut self,
        fleet: &mut fleet::Fleet,
        account: &str,
        claims: &[event::Claim],
    ) -> bool {
        let found: Vec<usize> = claims
            .iter()
            .filter_map(|claim| self.find_gang(account, claim))
            .collect();
        if found.len() != claims.len() {
            return false;
        }
        for (index, claim) in found.into_iter().zip(claims) {
            let gang = &mut self.gangs[index];
            if gang.is_used() {
                continue;
            }
            let each = gang.shape.each;
            for (cell, worker) in gang.cells.iter_mut().zip(&claim.workers) {
                unbind(fleet, cell, each);
                if let Some(key) = worker {
                    bind_cell(fleet, cell, *key, each);
                }
            }
        }
        true
    }

    fn find_gang(&self, account: &str, claim: &event::Claim) -> Option<usize> {
        let gang_indexes = self.by_account.get(account)?;
        gang_indexes.iter().copied().find(|index| {
            let gang = &self.gangs[*index];
            gang.shape_index == claim.shape_index
                && gang.gang_index == claim.gang_index
                && gang.cells.len() == claim.workers.len()
        })
    }

    /// Unbinds unused cells from workers bound beyond their resources, then binds missing cells.
    pub fn rebind_excess(&mut self, fleet: &mut fleet::Fleet) {
        for gang in &mut self.gangs {
            if gang.is_used() {
                continue;
            }
            let each = gang.shape.each;
            for cell in &mut gang.cells {
                let key = cell.worker.and_then(|key| fleet.get(key));
                if key.is_some_and(|worker| !worker.total.fits(&worker.bound)) {
                    unbind(fleet, cell, each);
                }
            }
        }
        self.bind_missing(fleet);
    }

    /// Binds unbound cells; moves other unused gangs if there is no other way.
    pub fn bind_missing(&mut self, fleet: &mut fleet::Fleet) {
        let missing: Vec<usize> = (0..self.gangs.len())
            .filter(|index| self.gangs[*index].has_unbound_cells())
            .collect();
        if missing.is_empty() {
            self.refresh_blocked(fleet);
            return;
        }
        let idle: Vec<usize> = missing
            .iter()
            .copied()
            .filter(|index| !self.gangs[*index].is_used())
            .collect();
        if !self.bind_all(fleet, &idle) {
            let all: Vec<usize> = (0..self.gangs.len())
                .filter(|index| !self.gangs[*index].is_used())
                .collect();
            self.repack(fleet, &all);
        }
        for index in missing {
            self.bind_partially(fleet, index);
        }
        self.refresh_blocked(fleet);
    }

    /// Binds the given unused gangs as far as they fit and returns whether all fit.
    fn bind_all(&mut self, fleet: &mut fleet::Fleet, indexes: &[usize]) -> bool {
        for index in indexes {
            self.unbind_gang(fleet, *index);
        }
        let bins = bins(fleet, |worker| worker.bindable());
        let demands: Vec<bind::Demand> = indexes
            .iter()
            .map(|index| self.gangs[*index].demand(fleet))
            .collect();
        let placed = bind::pack(&bins.pool, &demands);
        let are_all_placed = placed.iter().all(Option::is_some);
        self.bind_placed(fleet, indexes, &bins.keys, placed);
        are_all_placed
    }

    /// Packs the given unused gangs again, if necessary by a bounded exhaustive search; keeps the
    /// previous cells unless more gangs than before are bound completely.
    fn repack(&mut self, fleet: &mut fleet::Fleet, indexes: &[usize]) {
        let before: Vec<Vec<Cell>> = indexes
            .iter()
            .map(|index| self.gangs[*index].cells.clone())
            .collect();
        let bound_gangs = before
            .iter()
            .filter(|cells| cells.iter().all(|cell| cell.worker.is_some()));
        let bound_gangs = bound_gangs.count();
        for index in indexes {
            self.unbind_gang(fleet, *index);
        }
        let bins = bins(fleet, |worker| worker.bindable());
        let demands: Vec<bind::Demand> = indexes
            .iter()
            .map(|index| self.gangs[*index].demand(fleet))
            .collect();
        let mut placed = bind::pack(&bins.pool, &demands);
        if placed.iter().any(Option::is_none)
            && let Some(found) = bind::search(&bins.pool, &demands, SEARCH_STEPS)
        {
            placed = found.into_iter().map(Some).collect();
        }
        if placed.iter().filter(|cells| cells.is_some()).count() > bound_gangs {
            self.bind_placed(fleet, indexes, &bins.keys, placed);
            return;
        }
        for (index, cells) in indexes.iter().zip(before) {
            let each = self.gangs[*index].shape.each;
            for (cell, old) in self.gangs[*index].cells.iter_mut().zip(cells) {
                if let Some(key) = old.worker {
                    bind_cell(fleet, cell, key, each);
                }
            }
        }
    }

    fn bind_placed(
        &mut self,
        fleet: &mut fleet::Fleet,
        indexes: &[usize],
        keys: &[event::WorkerKey],
        placed: Vec<Option<Vec<usize>>>,
    ) {
        for (index, bins) in indexes.iter().zip(placed) {
            let gang = &mut self.gangs[*index];
            let each = gang.shape.each;
            for (cell, bin) in gang.cells.iter_mut().zip(bins.unwrap_or_default()) {
                bind_cell(fleet, cell, keys[bin], each);
            }
        }
    }

    /// Binds as many cells as possible of a gang that does not fit completely.
    fn bind_partially(&mut self, fleet: &mut fleet::Fleet, index: usize) {
        let gang = &self.gangs[index];
        if !gang.has_unbound_cells() {
            return;
        }
        let missing = gang
            .cells
            .iter()
            .filter(|cell| cell.worker.is_none())
            .count() as u32;
        let anchor = gang.cells.iter().find_map(|cell| cell.worker);
        if anchor.is_none() && gang.is_used() {
            // All its workers were lost, but its jobs have not ended yet.
            return;
        }
        let scope = anchor
            .and_then(|key| fleet.get(key))
            .map(|worker| (worker.region, worker.rack));
        let within = gang.shape.within;
        let is_in_scope = |key: event::WorkerKey, worker: &fleet::Worker| match (within, scope) {
            (_, None) => true,
            (Within::Worker, Some(_)) => Some(key) == anchor,
            (Within::Rack, Some((_region, rack))) => worker.rack == rack,
            (Within::Region, Some((region, _rack))) => worker.region == region,
        };
        let mut bins = bins_where(fleet, is_in_scope, |worker| worker.bindable());
        let demand = bind::Demand {
            workers: missing,
            ..gang.demand(fleet)
        };
        let placed = match bins.pool.place(&demand) {
            Some(placed) => placed.into_iter().map(Some).collect(),
            None => bins.pool.place_partially(&demand),
        };
        let gang = &mut self.gangs[index];
        let each = gang.shape.each;
        let unbound = gang.cells.iter_mut().filter(|cell| cell.worker.is_none());
        for (cell, bin) in unbound.zip(placed) {
            // A cell in use on a lost worker cannot move until its tasks have ended.
            if let Some(bin) = bin.filter(|_bin| cell.used.is_zero()) {
                bind_cell(fleet, cell, bins.keys[bin], each);
            }
        }
    }

    fn unbind_gang(&mut self, fleet: &mut fleet::Fleet, index: usize) {
        let each = self.gangs[index].shape.each;
        for cell in &mut self.gangs[index].cells {
            unbind(fleet, cell, each);
        }
    }

    /// Recomputes the resources that must not be borrowed because their gangs have unbound cells.
    fn refresh_blocked(&self, fleet: &mut fleet::Fleet) {
        let keys: Vec<event::WorkerKey> = fleet
            .iter()
            .filter(|(_key, worker)| !worker.blocked.is_zero())
            .map(|(key, _worker)| key)
            .collect();
        for key in keys {
            if let Some(worker) = fleet.get_mut(key) {
                worker.blocked = Resources::default();
            }
        }
        for gang in self.gangs.iter().filter(|gang| gang.has_unbound_cells()) {
            for cell in &gang.cells {
                if let Some(worker) = cell.worker.and_then(|key| fleet.get_mut(key)) {
                    worker.blocked += gang.shape.each.minus(&cell.used);
                }
            }
        }
    }

    /// Returns the number of gangs with unbound cells by account and shape.
    pub fn shortfalls(&self) -> Vec<Shortfall> {
        let mut found: Vec<Shortfall> = Vec::new();
        for gang in self.gangs.iter().filter(|gang| gang.has_unbound_cells()) {
            match found.last_mut() {
                Some(last) if last.account == gang.account && last.shape == gang.shape_index => {
                    last.gangs += 1;
                }
                _ => found.push(Shortfall {
                    account: gang.account.clone(),
                    shape: gang.shape_index,
                    gangs: 1,
                }),
            }
        }
        found
    }
}

fn bind_cell(fleet: &mut fleet::Fleet, cell: &mut Cell, key: event::WorkerKey, each: Resources) {
    let Some(worker) = fleet.get_mut(key) else {
        return;
    };
    cell.worker = Some(key);
    worker.bound += each;
    worker.claimed += cell.used;
}

fn unbind(fleet: &mut fleet::Fleet, cell: &mut Cell, each: Resources) {
    let Some(key) = cell.worker.take() else {
        return;
    };
    if let Some(worker) = fleet.get_mut(key) {
        worker.bound -= each;
        worker.claimed -= cell.used;
    }
}

fn unbind_cells(fleet: &mut fleet::Fleet, gang: &Gang) {
    for cell in &gang.cells {
        let mut cell = *cell;
        unbind(fleet, &mut cell, gang.shape.each);
    }
}

fn bins(fleet: &fleet::Fleet, free: impl Fn(&fleet::Worker) -> Resources) -> Bins {
    bins_where(fleet, |_key, _worker| true, free)
}

fn bins_where(
    fleet: &fleet::Fleet,
    admits: impl Fn(event::WorkerKey, &fleet::Worker) -> bool,
    free: impl Fn(&fleet::Worker) -> Resources,
) -> Bins {
    let mut keys = Vec::new();
    let mut candidates = Vec::new();
    for region in fleet.regions() {
        for rack in &region.racks {
            for key in &fleet.rack(*rack).workers {
                let Some(worker) = fleet.get(*key) else {
                    continue;
                };
                if worker.state != fleet::State::Up || !admits(*key, worker) {
                    continue;
                }
                let busy = worker.used.minus(&worker.claimed).accelerators;
                let free = free(worker);
                keys.push(*key);
                candidates.push(bind::Bin {
                    region: worker.region.0,
                    rack: rack.0,
                    free,
                    busy,
                });
            }
        }
    }
    // Racks are numbered in the order in which workers appeared, not by region.
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|index| (candidates[*index].region, candidates[*index].rack));
    let sorted = order.iter().map(|index| candidates[*index]).collect();
    let keys = order.iter().map(|index| keys[*index]).collect();
    Bins {
        keys,
        pool: bind::Pool::new(sorted),
    }
}
