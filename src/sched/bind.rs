//! Packs guaranteed gangs into workers, to check a configuration and to bind cells at run time.
//!
//! Packs best-fit decreasing; a gang within a rack takes the rack with the fewest free accelerators
//! that holds it. Bin packing is NP-hard, so a failed packing is retried in a few fixed orders, not
//! in all.

use crate::config::{self, Resources, Within};
use crate::map;

/// A worker declared in a configuration whose guaranteed shapes are checked.
#[derive(Clone, Copy, Debug)]
pub struct Worker<'a> {
    pub region: &'a str,
    pub rack: &'a str,
    pub free: Resources,
}

/// A worker with capacity for cells; region and rack are numbered by the caller.
#[derive(Clone, Copy, Debug)]
pub struct Bin {
    pub region: u32,
    pub rack: u32,
    pub free: Resources,
    /// Accelerators in use by borrowed gangs; between equal fits the bin with fewer is used.
    pub busy: u32,
}

/// A guaranteed gang to be packed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    pub workers: u32,
    pub each: Resources,
    pub within: Within,
    /// Region in which it must be placed; it never fits if no bin has this number.
    pub region: Option<u32>,
}

impl Demand {
    /// Returns the number of accelerators of the whole gang.
    pub fn accelerators(&self) -> u32 {
        self.each.accelerators * self.workers
    }
}

/// Bins grouped by rack.
#[derive(Clone, Debug)]
pub struct Pool {
    bins: Vec<Bin>,
    /// Ranges of bins that share a rack.
    racks: Vec<(usize, usize)>,
}

impl Pool {
    /// Groups bins by rack; `bins` must be sorted by region and rack.
    pub fn new(bins: Vec<Bin>) -> Self {
        debug_assert!(bins.is_sorted_by_key(|bin| (bin.region, bin.rack)));
        let mut racks: Vec<(usize, usize)> = Vec::new();
        for (index, bin) in bins.iter().enumerate() {
            let same_rack = index > 0 && {
                let before = &bins[index - 1];
                (before.region, before.rack) == (bin.region, bin.rack)
            };
            match racks.last_mut() {
                Some(range) if same_rack => range.1 = index + 1,
                _ => racks.push((index, index + 1)),
            }
        }
        Self { bins, racks }
    }

    /// Places a gang where it fits best and returns the index of the bin for each of its cells.
    pub fn place(&mut self, demand: &Demand) -> Option<Vec<usize>> {
        let chosen = match demand.within {
            Within::Worker => self.place_in_worker(demand),
            Within::Rack => self.place_in_rack(demand),
            Within::Region => self.place_in_region(demand),
        }?;
        for index in &chosen {
            self.bins[*index].free -= demand.each;
        }
        Some(chosen)
    }

    /// Places as many cells as fit of a gang that does not fit as a whole; cells without a bin are
    /// `None`.
    pub fn place_partially(&mut self, demand: &Demand) -> Vec<Option<usize>> {
        for workers in (1..demand.workers).rev() {
            let part = Demand { workers, ..*demand };
            if let Some(chosen) = self.place(&part) {
                let mut cells: Vec<Option<usize>> = chosen.into_iter().map(Some).collect();
                cells.resize(demand.workers as usize, None);
                return cells;
            }
        }
        vec![None; demand.workers as usize]
    }

    /// Releases the resources of a placed gang.
    pub fn release(&mut self, cells: &[usize], each: Resources) {
        for index in cells {
            self.bins[*index].free += each;
        }
    }

    /// Reports whether the region of a bin is allowed for a gang.
    fn is_admitted(&self, index: usize, demand: &Demand) -> bool {
        demand
            .region
            .is_none_or(|region| region == self.bins[index].region)
    }

    /// Returns a sort key for best fit: accelerators left, then accelerators borrowed, then
    /// processors left.
    fn tightness(&self, index: usize, demand: &Demand) -> (u32, u32, u32) {
        let bin = &self.bins[index];
        let remaining = bin.free.minus(&demand.each);
        (remaining.accelerators, bin.busy, remaining.cpus)
    }

    fn place_in_worker(&self, demand: &Demand) -> Option<Vec<usize>> {
        let whole = demand.each.scaled(demand.workers);
        let fits =
            |index: &usize| self.is_admitted(*index, demand) && self.bins[*index].free.fits(&whole);
        let best = (0..self.bins.len())
            .filter(fits)
            .min_by_key(|index| self.tightness(*index, demand))?;
        Some(vec![best; demand.workers as usize])
    }

    fn place_in_rack(&self, demand: &Demand) -> Option<Vec<usize>> {
        let mut best: Option<((u32, u32), Vec<usize>)> = None;
        for (start, end) in &self.racks {
            if !self.is_admitted(*start, demand) {
                continue;
            }
            let Some(cells) = self.fill(*start, *end, demand) else {
                continue;
            };
            let free: u32 = self.bins[*start..*end]
                .iter()
                .map(|bin| bin.free.accelerators)
                .sum();
            let busy: u32 = cells.iter().map(|index| self.bins[*index].busy).sum();
            let score = (free, busy);
            if best
                .as_ref()
                .is_none_or(|(best_score, _cells)| score < *best_score)
            {
                best = Some((score, cells));
            }
        }
        best.map(|(_score, cells)| cells)
    }

    fn place_in_region(&self, demand: &Demand) -> Option<Vec<usize>> {
        let mut start = 0;
        while start < self.bins.len() {
            let region = self.bins[start].region;
            let bin_count = self.bins[start..]
                .iter()
                .take_while(|bin| bin.region == region)
                .count();
            let end = start + bin_count;
            if self.is_admitted(start, demand)
                && let Some(cells) = self.fill(start, end, demand)
            {
                return Some(cells);
            }
            start = end;
        }
        None
    }

    /// Returns possible placements of a gang, each as the bins of its cells.
    fn candidates(&self, demand: &Demand) -> Vec<Vec<usize>> {
        let mut candidates: Vec<Vec<usize>> = Vec::new();
        match demand.within {
            Within::Worker => {
                for index in 0..self.bins.len() {
                    let whole = demand.each.scaled(demand.workers);
                    if self.is_admitted(index, demand) && self.bins[index].free.fits(&whole) {
                        candidates.push(vec![index; demand.workers as usize]);
                    }
                }
            }
            Within::Rack => {
                for (start, end) in &self.racks {
                    if self.is_admitted(*start, demand) {
                        self.add_subsets(*start, *end, demand, &mut candidates);
                    }
                }
            }
            Within::Region => {
                let mut start = 0;
                while start < self.bins.len() {
                    let region = self.bins[start].region;
                    let rest = self.bins[start..].iter();
                    let end = start + rest.take_while(|bin| bin.region == region).count();
                    if self.is_admitted(start, demand) {
                        self.add_subsets(start, end, demand, &mut candidates);
                    }
                    start = end;
                }
            }
        }
        candidates
    }

    /// Adds placements in a range of bins: all of them for small gangs, else only the tightest.
    fn add_subsets(
        &self,
        start: usize,
        end: usize,
        demand: &Demand,
        candidates: &mut Vec<Vec<usize>>,
    ) {
        /// Largest gang for which all placements are enumerated.
        const MAX_ENUMERATED_WORKERS: u32 = 4;
        if demand.workers > MAX_ENUMERATED_WORKERS {
            candidates.extend(self.fill(start, end, demand));
            return;
        }
        let mut stack = vec![(start, Vec::new())];
        while let Some((index, cells)) = stack.pop() {
            if cells.len() == demand.workers as usize {
                candidates.push(cells);
                continue;
            }
            if index >= end {
                continue;
            }
            stack.push((index + 1, cells.clone()));
            let cells_here = cells.iter().filter(|cell| **cell == index).count() as u32;
            if self.bins[index]
                .free
                .fits(&demand.each.scaled(cells_here + 1))
            {
                let mut extended = cells;
                extended.push(index);
                stack.push((index, extended));
            }
        }
    }

    /// Places the cells on the tightest bins of a range.
    fn fill(&self, start: usize, end: usize, demand: &Demand) -> Option<Vec<usize>> {
        let mut capacity: Vec<(usize, u32)> = (start..end)
            .map(|index| {
                (
                    index,
                    self.bins[index]
                        .free
                        .count_fitting(&demand.each, demand.workers),
                )
            })
            .filter(|(_index, max_cells)| *max_cells > 0)
            .collect();
        if capacity
            .iter()
            .map(|(_index, max_cells)| max_cells)
            .sum::<u32>()
            < demand.workers
        {
            return None;
        }
        capacity.sort_by_key(|(index, _max_cells)| (self.tightness(*index, demand), *index));
        let mut cells = Vec::with_capacity(demand.workers as usize);
        for (index, max_cells) in capacity {
            let needed = demand.workers as usize - cells.len();
            cells.extend(std::iter::repeat_n(index, needed.min(max_cells as usize)));
        }
        Some(cells)
    }
}

/// Sort key of gangs; the highest is packed first.
type Order = fn(&Demand) -> (u32, u32, u32);

/// Orders in which gangs are packed; the first that packs all of them is used.
const ORDERS: [Order; 3] = [
    |demand| {
        (
            scope_rank(demand.within),
            demand.each.accelerators,
            demand.workers,
        )
    },
    |demand| {
        (
            demand.each.accelerators,
            demand.accelerators(),
            scope_rank(demand.within),
        )
    },
    |demand| {
        (
            demand.accelerators(),
            demand.each.accelerators,
            demand.each.cpus,
        )
    },
];

fn scope_rank(within: Within) -> u32 {
    match within {
        Within::Worker => 3,
        Within::Rack => 2,
        Within::Region => 1,
    }
}

/// Packs gangs in the first order that packs all of them, else in the one that packs most.
pub fn pack(pool: &Pool, demands: &[Demand]) -> Vec<Option<Vec<usize>>> {
    let mut best: Option<(usize, Vec<Option<Vec<usize>>>)> = None;
    for order in ORDERS {
        let mut sorted: Vec<usize> = (0..demands.len()).collect();
        sorted.sort_by_key(|index| (std::cmp::Reverse(order(&demands[*index])), *index));
        let mut pool = pool.clone();
        let mut placed = vec![None; demands.len()];
        for index in sorted {
            placed[index] = pool.place(&demands[index]);
        }
        let unplaced = placed.iter().filter(|cells| cells.is_none()).count();
        if best
            .as_ref()
            .is_none_or(|(fewest, _placed)| unplaced < *fewest)
        {
            best = Some((unplaced, placed));
        }
        if unplaced == 0 {
            break;
        }
    }
    best.map(|(_unplaced, placed)| placed).unwrap_or_default()
}

/// Searches for a packing of all gangs by backtracking, for a limited number of steps.
pub fn search(pool: &Pool, demands: &[Demand], steps: u32) -> Option<Vec<Vec<usize>>> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|index| std::cmp::Reverse(ORDERS[0](&demands[*index])));
    let mut placed = vec![Vec::new(); demands.len()];
    let mut pool = pool.clone();
    let mut steps_left = steps;
    search_rest(&mut pool, demands, &order, &mut placed, &mut steps_left).then_some(placed)
}

/// Places the gangs in `order` by backtracking.
fn search_rest(
    pool: &mut Pool,
    demands: &[Demand],
    order: &[usize],
    placed: &mut [Vec<usize>],
    steps_left: &mut u32,
) -> bool {
    let Some((index, rest)) = order.split_first() else {
        return true;
    };
    let demand = demands[*index];
    for cells in pool.candidates(&demand) {
        if *steps_left == 0 {
            return false;
        }
        *steps_left -= 1;
        for cell in &cells {
            pool.bins[*cell].free -= demand.each;
        }
        placed[*index].clone_from(&cells);
        if search_rest(pool, demands, rest, placed, steps_left) {
            return true;
        }
        pool.release(&cells, demand.each);
    }
    false
}

/// Returns the guaranteed shapes, by account and index, that do not fit beside all the others.
pub fn unplaceable_shapes(config: &config::Config, workers: &[Worker<'_>]) -> Vec<(String, usize)> {
    let mut regions: map::Map<&str, u32> = map::Map::default();
    let mut racks: map::Map<(&str, &str), u32> = map::Map::default();
    let mut bins = Vec::new();
    for worker in workers {
        let next = regions.len() as u32;
        let region = *regions.entry(worker.region).or_insert(next);
        let next = racks.len() as u32;
        let rack = *racks.entry((worker.region, worker.rack)).or_insert(next);
        bins.push(Bin {
            region,
            rack,
            free: worker.free,
            busy: 0,
        });
    }
    bins.sort_by_key(|bin| (bin.region, bin.rack));
    let mut demands = Vec::new();
    let mut owners = Vec::new();
    for (name, account) in &config.accounts {
        for (index, shape) in account.shapes.iter().enumerate() {
            let region = shape.region.as_deref();
            let region = region.map(|name| regions.get(name).copied().unwrap_or(u32::MAX));
            for _gang in 0..shape.count {
                demands.push(demand(shape, region));
                owners.push((name.clone(), index));
            }
        }
    }
    let placed = pack(&Pool::new(bins), &demands);
    let mut unplaceable: Vec<(String, usize)> = owners
        .into_iter()
        .zip(&placed)
        .filter(|(_owner, cells)| cells.is_none())
        .map(|(owner, _cells)| owner)
        .collect();
    unplaceable.dedup();
    unplaceable
}

/// Returns the demand of one gang of a shape.
pub fn demand(shape: &config::Shape, region: Option<u32>) -> Demand {
    Demand {
        workers: shape.workers,
        each: shape.each,
        within: shape.within,
        region,
    }
}
