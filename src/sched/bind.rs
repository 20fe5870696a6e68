//! Packing of guaranteed gangs into workers, used by the check of a configuration and at run time.
//!
//! Best-fit decreasing over several orders; a shape within a rack takes the rack that it leaves
//! fullest. Bin packing is NP-hard, so a failed packing is tried in a few more orders, never all.

use crate::config::{self, Resources, Within};
use crate::map;

/// A worker as the check of a configuration sees it.
#[derive(Clone, Copy, Debug)]
pub struct Site<'a> {
    pub region: &'a str,
    pub rack: &'a str,
    pub free: Resources,
}

/// A worker that cells can be put on.
#[derive(Clone, Copy, Debug)]
pub struct Slot {
    pub region: u32,
    pub rack: u32,
    pub free: Resources,
    /// Accelerators in use by borrowed gangs, avoided on equal fit.
    pub busy: u32,
}

/// A guaranteed gang to be packed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    pub workers: u32,
    pub each: Resources,
    pub within: Within,
    /// Region that it must lie in; a region without workers has none that match.
    pub region: Option<u32>,
}

impl Need {
    /// Accelerators of the whole gang.
    pub fn accelerators(&self) -> u32 {
        self.each.accelerators * self.workers
    }
}

/// Workers grouped by rack.
#[derive(Clone, Debug)]
pub struct Pool {
    slots: Vec<Slot>,
    /// Ranges of slots that share a rack.
    racks: Vec<(usize, usize)>,
}

impl Pool {
    /// Groups slots by rack; the positions of slots stay as given by `order`.
    pub fn new(slots: Vec<Slot>) -> Self {
        debug_assert!(slots.is_sorted_by_key(|slot| (slot.region, slot.rack)));
        let mut racks: Vec<(usize, usize)> = Vec::new();
        for (at, slot) in slots.iter().enumerate() {
            let same = at > 0 && {
                let before = &slots[at - 1];
                (before.region, before.rack) == (slot.region, slot.rack)
            };
            match racks.last_mut() {
                Some(range) if same => range.1 = at + 1,
                _ => racks.push((at, at + 1)),
            }
        }
        Self { slots, racks }
    }

    /// Puts a gang where it fits best; returns the position of the slot for each of its cells.
    pub fn place(&mut self, need: &Need) -> Option<Vec<usize>> {
        let chosen = match need.within {
            Within::Worker => self.in_worker(need),
            Within::Rack => self.in_rack(need),
            Within::Region => self.in_region(need),
        }?;
        for at in &chosen {
            self.slots[*at].free -= need.each;
        }
        Some(chosen)
    }

    /// Puts as many cells of a gang as fit; cells without a slot are `None`.
    pub fn place_part(&mut self, need: &Need) -> Vec<Option<usize>> {
        for workers in (1..need.workers).rev() {
            let part = Need { workers, ..*need };
            if let Some(chosen) = self.place(&part) {
                let mut cells: Vec<Option<usize>> = chosen.into_iter().map(Some).collect();
                cells.resize(need.workers as usize, None);
                return cells;
            }
        }
        vec![None; need.workers as usize]
    }

    /// Gives back what a placed gang took.
    pub fn give_back(&mut self, cells: &[usize], each: Resources) {
        for at in cells {
            self.slots[*at].free += each;
        }
    }

    fn admits(&self, at: usize, need: &Need) -> bool {
        need.region
            .is_none_or(|region| region == self.slots[at].region)
    }

    /// Lower is tighter: accelerators left, then use by others, then processors left.
    fn tightness(&self, at: usize, need: &Need) -> (u32, u32, u32) {
        let slot = &self.slots[at];
        let left = slot.free.less(&need.each);
        (left.accelerators, slot.busy, left.cpus)
    }

    fn in_worker(&self, need: &Need) -> Option<Vec<usize>> {
        let whole = need.each.scaled(need.workers);
        let fits = |at: &usize| self.admits(*at, need) && self.slots[*at].free.fits(&whole);
        let best = (0..self.slots.len())
            .filter(fits)
            .min_by_key(|at| self.tightness(*at, need))?;
        Some(vec![best; need.workers as usize])
    }

    fn in_rack(&self, need: &Need) -> Option<Vec<usize>> {
        let mut best: Option<((u32, u32), Vec<usize>)> = None;
        for (from, to) in &self.racks {
            if !self.admits(*from, need) {
                continue;
            }
            let Some(cells) = self.fill(*from, *to, need) else {
                continue;
            };
            let left: u32 = self.slots[*from..*to]
                .iter()
                .map(|slot| slot.free.accelerators)
                .sum();
            let busy: u32 = cells.iter().map(|at| self.slots[*at].busy).sum();
            let score = (left, busy);
            if best.as_ref().is_none_or(|(found, _cells)| score < *found) {
                best = Some((score, cells));
            }
        }
        best.map(|(_score, cells)| cells)
    }

    fn in_region(&self, need: &Need) -> Option<Vec<usize>> {
        let mut from = 0;
        while from < self.slots.len() {
            let region = self.slots[from].region;
            let same = self.slots[from..]
                .iter()
                .take_while(|slot| slot.region == region)
                .count();
            let to = from + same;
            if self.admits(from, need)
                && let Some(cells) = self.fill(from, to, need)
            {
                return Some(cells);
            }
            from = to;
        }
        None
    }

    /// Ways to put a gang: each worker, each rack filled from its tightest or widest workers.
    fn choices(&self, need: &Need) -> Vec<Vec<usize>> {
        let mut found: Vec<Vec<usize>> = Vec::new();
        match need.within {
            Within::Worker => {
                for at in 0..self.slots.len() {
                    let whole = need.each.scaled(need.workers);
                    if self.admits(at, need) && self.slots[at].free.fits(&whole) {
                        found.push(vec![at; need.workers as usize]);
                    }
                }
            }
            Within::Rack => {
                for (from, to) in &self.racks {
                    if self.admits(*from, need) {
                        self.subsets(*from, *to, need, &mut found);
                    }
                }
            }
            Within::Region => {
                let mut from = 0;
                while from < self.slots.len() {
                    let region = self.slots[from].region;
                    let rest = self.slots[from..].iter();
                    let to = from + rest.take_while(|slot| slot.region == region).count();
                    if self.admits(from, need) {
                        self.subsets(from, to, need, &mut found);
                    }
                    from = to;
                }
            }
        }
        found
    }

    /// Choices of cells in a range: every multiset of slots for small gangs, else the tightest.
    fn subsets(&self, from: usize, to: usize, need: &Need, found: &mut Vec<Vec<usize>>) {
        const SMALL: u32 = 4;
        if need.workers > SMALL {
            found.extend(self.fill(from, to, need));
            return;
        }
        let mut stack = vec![(from, Vec::new())];
        while let Some((at, cells)) = stack.pop() {
            if cells.len() == need.workers as usize {
                found.push(cells);
                continue;
            }
            if at >= to {
                continue;
            }
            stack.push((at + 1, cells.clone()));
            let here = cells.iter().filter(|cell| **cell == at).count() as u32;
            if self.slots[at].free.fits(&need.each.scaled(here + 1)) {
                let mut more = cells;
                more.push(at);
                stack.push((at, more));
            }
        }
    }

    /// Puts the cells on the tightest slots of a range.
    fn fill(&self, from: usize, to: usize, need: &Need) -> Option<Vec<usize>> {
        let mut room: Vec<(usize, u32)> = (from..to)
            .map(|at| (at, self.slots[at].free.times(&need.each, need.workers)))
            .filter(|(_at, times)| *times > 0)
            .collect();
        if room.iter().map(|(_at, times)| times).sum::<u32>() < need.workers {
            return None;
        }
        room.sort_by_key(|(at, _times)| (self.tightness(*at, need), *at));
        let mut cells = Vec::with_capacity(need.workers as usize);
        for (at, times) in room {
            let missing = need.workers as usize - cells.len();
            cells.extend(std::iter::repeat_n(at, missing.min(times as usize)));
        }
        Some(cells)
    }
}

/// Sort key of an order; the highest goes first.
type Order = fn(&Need) -> (u32, u32, u32);

/// Orders in which gangs are packed until one works.
const ORDERS: [Order; 3] = [
    |need| (rank(need.within), need.each.accelerators, need.workers),
    |need| {
        (
            need.each.accelerators,
            need.accelerators(),
            rank(need.within),
        )
    },
    |need| (need.accelerators(), need.each.accelerators, need.each.cpus),
];

fn rank(within: Within) -> u32 {
    match within {
        Within::Worker => 3,
        Within::Rack => 2,
        Within::Region => 1,
    }
}

/// Packs all gangs, in the first order that works, else as many as the best order can.
pub fn pack(pool: &Pool, needs: &[Need]) -> Vec<Option<Vec<usize>>> {
    let mut best: Option<(usize, Vec<Option<Vec<usize>>>)> = None;
    for order in ORDERS {
        let mut sorted: Vec<usize> = (0..needs.len()).collect();
        sorted.sort_by_key(|at| (std::cmp::Reverse(order(&needs[*at])), *at));
        let mut pool = pool.clone();
        let mut placed = vec![None; needs.len()];
        for at in sorted {
            placed[at] = pool.place(&needs[at]);
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
pub fn search(pool: &Pool, needs: &[Need], steps: u32) -> Option<Vec<Vec<usize>>> {
    let mut order: Vec<usize> = (0..needs.len()).collect();
    order.sort_by_key(|at| std::cmp::Reverse(ORDERS[0](&needs[*at])));
    let mut placed = vec![Vec::new(); needs.len()];
    let mut pool = pool.clone();
    let mut left = steps;
    descend(&mut pool, needs, &order, &mut placed, &mut left).then_some(placed)
}

fn descend(
    pool: &mut Pool,
    needs: &[Need],
    order: &[usize],
    placed: &mut [Vec<usize>],
    left: &mut u32,
) -> bool {
    let Some((at, rest)) = order.split_first() else {
        return true;
    };
    let need = needs[*at];
    for cells in pool.choices(&need) {
        if *left == 0 {
            return false;
        }
        *left -= 1;
        for cell in &cells {
            pool.slots[*cell].free -= need.each;
        }
        placed[*at].clone_from(&cells);
        if descend(pool, needs, rest, placed, left) {
            return true;
        }
        pool.give_back(&cells, need.each);
    }
    false
}

/// Guaranteed shapes, by account and position, that the sites cannot hold with all the others.
pub fn misfits(config: &config::Config, sites: &[Site<'_>]) -> Vec<(String, usize)> {
    let mut regions: map::Map<&str, u32> = map::Map::default();
    let mut racks: map::Map<(&str, &str), u32> = map::Map::default();
    let mut slots = Vec::new();
    for site in sites {
        let next = regions.len() as u32;
        let region = *regions.entry(site.region).or_insert(next);
        let next = racks.len() as u32;
        let rack = *racks.entry((site.region, site.rack)).or_insert(next);
        slots.push(Slot {
            region,
            rack,
            free: site.free,
            busy: 0,
        });
    }
    slots.sort_by_key(|slot| (slot.region, slot.rack));
    let mut needs = Vec::new();
    let mut owners = Vec::new();
    for (name, account) in &config.accounts {
        for (at, shape) in account.shapes.iter().enumerate() {
            let region = shape.region.as_deref();
            let region = region.map(|name| regions.get(name).copied().unwrap_or(u32::MAX));
            for _gang in 0..shape.count {
                needs.push(need(shape, region));
                owners.push((name.clone(), at));
            }
        }
    }
    let placed = pack(&Pool::new(slots), &needs);
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
pub fn need(shape: &config::Shape, region: Option<u32>) -> Need {
    Need {
        workers: shape.workers,
        each: shape.each,
        within: shape.within,
        region,
    }
}
