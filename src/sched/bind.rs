//! Packing of guaranteed gangs into workers, used by the check of a configuration and at run time.
//!
//! Best-fit decreasing over several orders; a shape within a rack takes the rack that it leaves
//! fullest. Bin packing is NP-hard, so a failed packing is tried in a few more orders, never all.

use crate::config::{self, Resources, Within};
use crate::map;

/// A worker as the check of a configuration sees it.
#[derive(Clone, Copy, Debug)]
pub struct Worker<'a> {
    pub region: &'a str,
    pub rack: &'a str,
    pub free: Resources,
}

/// A worker that cells can be put on.
#[derive(Clone, Copy, Debug)]
pub struct Bin {
    pub region: u32,
    pub rack: u32,
    pub free: Resources,
    /// Accelerators in use by borrowed gangs, avoided on equal fit.
    pub busy: u32,
}

/// A guaranteed gang to be packed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    pub workers: u32,
    pub each: Resources,
    pub within: Within,
    /// Region that it must lie in; a region without workers has none that match.
    pub region: Option<u32>,
}

impl Demand {
    /// Accelerators of the whole gang.
    pub fn accelerators(&self) -> u32 {
        self.each.accelerators * self.workers
    }
}

/// Workers grouped by rack.
#[derive(Clone, Debug)]
pub struct Pool {
    bins: Vec<Bin>,
    /// Ranges of bins that share a rack.
    racks: Vec<(usize, usize)>,
}

impl Pool {
    /// Groups bins by rack; the positions of bins stay as given by `order`.
    pub fn new(bins: Vec<Bin>) -> Self {
        debug_assert!(bins.is_sorted_by_key(|bin| (bin.region, bin.rack)));
        let mut racks: Vec<(usize, usize)> = Vec::new();
        for (at, bin) in bins.iter().enumerate() {
            let same = at > 0 && {
                let before = &bins[at - 1];
                (before.region, before.rack) == (bin.region, bin.rack)
            };
            match racks.last_mut() {
                Some(range) if same => range.1 = at + 1,
                _ => racks.push((at, at + 1)),
            }
        }
        Self { bins, racks }
    }

    /// Puts a gang where it fits best; returns the position of the bin for each of its cells.
    pub fn place(&mut self, demand: &Demand) -> Option<Vec<usize>> {
        let chosen = match demand.within {
            Within::Worker => self.in_worker(demand),
            Within::Rack => self.in_rack(demand),
            Within::Region => self.in_region(demand),
        }?;
        for at in &chosen {
            self.bins[*at].free -= demand.each;
        }
        Some(chosen)
    }

    /// Puts as many cells of a gang as fit; cells without a bin are `None`.
    pub fn place_part(&mut self, demand: &Demand) -> Vec<Option<usize>> {
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

    /// Gives back what a placed gang took.
    pub fn give_back(&mut self, cells: &[usize], each: Resources) {
        for at in cells {
            self.bins[*at].free += each;
        }
    }

    fn admits(&self, at: usize, demand: &Demand) -> bool {
        demand
            .region
            .is_none_or(|region| region == self.bins[at].region)
    }

    /// Lower is tighter: accelerators left, then use by others, then processors left.
    fn tightness(&self, at: usize, demand: &Demand) -> (u32, u32, u32) {
        let bin = &self.bins[at];
        let left = bin.free.less(&demand.each);
        (left.accelerators, bin.busy, left.cpus)
    }

    fn in_worker(&self, demand: &Demand) -> Option<Vec<usize>> {
        let whole = demand.each.scaled(demand.workers);
        let fits = |at: &usize| self.admits(*at, demand) && self.bins[*at].free.fits(&whole);
        let best = (0..self.bins.len())
            .filter(fits)
            .min_by_key(|at| self.tightness(*at, demand))?;
        Some(vec![best; demand.workers as usize])
    }

    fn in_rack(&self, demand: &Demand) -> Option<Vec<usize>> {
        let mut best: Option<((u32, u32), Vec<usize>)> = None;
        for (from, to) in &self.racks {
            if !self.admits(*from, demand) {
                continue;
            }
            let Some(cells) = self.fill(*from, *to, demand) else {
                continue;
            };
            let left: u32 = self.bins[*from..*to]
                .iter()
                .map(|bin| bin.free.accelerators)
                .sum();
            let busy: u32 = cells.iter().map(|at| self.bins[*at].busy).sum();
            let score = (left, busy);
            if best.as_ref().is_none_or(|(found, _cells)| score < *found) {
                best = Some((score, cells));
            }
        }
        best.map(|(_score, cells)| cells)
    }

    fn in_region(&self, demand: &Demand) -> Option<Vec<usize>> {
        let mut from = 0;
        while from < self.bins.len() {
            let region = self.bins[from].region;
            let same = self.bins[from..]
                .iter()
                .take_while(|bin| bin.region == region)
                .count();
            let to = from + same;
            if self.admits(from, demand)
                && let Some(cells) = self.fill(from, to, demand)
            {
                return Some(cells);
            }
            from = to;
        }
        None
    }

    /// Ways to put a gang: each worker, each rack filled from its tightest or widest workers.
    fn choices(&self, demand: &Demand) -> Vec<Vec<usize>> {
        let mut found: Vec<Vec<usize>> = Vec::new();
        match demand.within {
            Within::Worker => {
                for at in 0..self.bins.len() {
                    let whole = demand.each.scaled(demand.workers);
                    if self.admits(at, demand) && self.bins[at].free.fits(&whole) {
                        found.push(vec![at; demand.workers as usize]);
                    }
                }
            }
            Within::Rack => {
                for (from, to) in &self.racks {
                    if self.admits(*from, demand) {
                        self.subsets(*from, *to, demand, &mut found);
                    }
                }
            }
            Within::Region => {
                let mut from = 0;
                while from < self.bins.len() {
                    let region = self.bins[from].region;
                    let rest = self.bins[from..].iter();
                    let to = from + rest.take_while(|bin| bin.region == region).count();
                    if self.admits(from, demand) {
                        self.subsets(from, to, demand, &mut found);
                    }
                    from = to;
                }
            }
        }
        found
    }

    /// Choices of cells in a range: every multiset of bins for small gangs, else the tightest.
    fn subsets(&self, from: usize, to: usize, demand: &Demand, found: &mut Vec<Vec<usize>>) {
        const SMALL: u32 = 4;
        if demand.workers > SMALL {
            found.extend(self.fill(from, to, demand));
            return;
        }
        let mut stack = vec![(from, Vec::new())];
        while let Some((at, cells)) = stack.pop() {
            if cells.len() == demand.workers as usize {
                found.push(cells);
                continue;
            }
            if at >= to {
                continue;
            }
            stack.push((at + 1, cells.clone()));
            let here = cells.iter().filter(|cell| **cell == at).count() as u32;
            if self.bins[at].free.fits(&demand.each.scaled(here + 1)) {
                let mut more = cells;
                more.push(at);
                stack.push((at, more));
            }
        }
    }

    /// Puts the cells on the tightest bins of a range.
    fn fill(&self, from: usize, to: usize, demand: &Demand) -> Option<Vec<usize>> {
        let mut room: Vec<(usize, u32)> = (from..to)
            .map(|at| (at, self.bins[at].free.times(&demand.each, demand.workers)))
            .filter(|(_at, times)| *times > 0)
            .collect();
        if room.iter().map(|(_at, times)| times).sum::<u32>() < demand.workers {
            return None;
        }
        room.sort_by_key(|(at, _times)| (self.tightness(*at, demand), *at));
        let mut cells = Vec::with_capacity(demand.workers as usize);
        for (at, times) in room {
            let missing = demand.workers as usize - cells.len();
            cells.extend(std::iter::repeat_n(at, missing.min(times as usize)));
        }
        Some(cells)
    }
}

/// Sort key of an order; the highest goes first.
type Order = fn(&Demand) -> (u32, u32, u32);

/// Orders in which gangs are packed until one works.
const ORDERS: [Order; 3] = [
    |demand| {
        (
            rank(demand.within),
            demand.each.accelerators,
            demand.workers,
        )
    },
    |demand| {
        (
            demand.each.accelerators,
            demand.accelerators(),
            rank(demand.within),
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

fn rank(within: Within) -> u32 {
    match within {
        Within::Worker => 3,
        Within::Rack => 2,
        Within::Region => 1,
    }
}

/// Packs all gangs, in the first order that works, else as many as the best order can.
pub fn pack(pool: &Pool, demands: &[Demand]) -> Vec<Option<Vec<usize>>> {
    let mut best: Option<(usize, Vec<Option<Vec<usize>>>)> = None;
    for order in ORDERS {
        let mut sorted: Vec<usize> = (0..demands.len()).collect();
        sorted.sort_by_key(|at| (std::cmp::Reverse(order(&demands[*at])), *at));
        let mut pool = pool.clone();
        let mut placed = vec![None; demands.len()];
        for at in sorted {
            placed[at] = pool.place(&demands[at]);
        }
        let missing = placed.iter().filter(|cells| cells.is_none()).count();
        if best
            .as_ref()
            .is_none_or(|(found, _placed)| missing < *found)
        {
            best = Some((missing, placed));
        }
        if missing == 0 {
            break;
        }
    }
    best.map(|(_missing, placed)| placed).unwrap_or_default()
}

/// Looks for a packing of all gangs exhaustively, for a number of steps.
pub fn search(pool: &Pool, demands: &[Demand], steps: u32) -> Option<Vec<Vec<usize>>> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|at| std::cmp::Reverse(ORDERS[0](&demands[*at])));
    let mut placed = vec![Vec::new(); demands.len()];
    let mut pool = pool.clone();
    let mut left = steps;
    descend(&mut pool, demands, &order, &mut placed, &mut left).then_some(placed)
}

fn descend(
    pool: &mut Pool,
    demands: &[Demand],
    order: &[usize],
    placed: &mut [Vec<usize>],
    left: &mut u32,
) -> bool {
    let Some((at, rest)) = order.split_first() else {
        return true;
    };
    let demand = demands[*at];
    for cells in pool.choices(&demand) {
        if *left == 0 {
            return false;
        }
        *left -= 1;
        for cell in &cells {
            pool.bins[*cell].free -= demand.each;
        }
        placed[*at].clone_from(&cells);
        if descend(pool, demands, rest, placed, left) {
            return true;
        }
        pool.give_back(&cells, demand.each);
    }
    false
}

/// Guaranteed shapes, by account and position, that the workers cannot hold with all the others.
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
        for (at, shape) in account.shapes.iter().enumerate() {
            let region = shape.region.as_deref();
            let region = region.map(|name| regions.get(name).copied().unwrap_or(u32::MAX));
            for _gang in 0..shape.count {
                demands.push(demand(shape, region));
                owners.push((name.clone(), at));
            }
        }
    }
    let placed = pack(&Pool::new(bins), &demands);
    let mut missing: Vec<(String, usize)> = owners
        .into_iter()
        .zip(&placed)
        .filter(|(_owner, cells)| cells.is_none())
        .map(|(owner, _cells)| owner)
        .collect();
    missing.dedup();
    missing
}

/// The gang that a shape guarantees.
pub fn demand(shape: &config::Shape, region: Option<u32>) -> Demand {
    Demand {
        workers: shape.workers,
        each: shape.each,
        within: shape.within,
        region,
    }
}
