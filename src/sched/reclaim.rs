//! Choosing who gives way to a guarantee: the cheapest set of whole borrowed gangs.

use crate::config::Resources;
use crate::sched::event;

/// Scale at which cost is divided by gain.
const SCALE: u128 = 1_000_000;

/// A borrowed gang that could be stopped.
#[derive(Clone, Debug)]
pub struct Candidate<K> {
    pub job: K,
    /// What it holds on each worker.
    pub holds: Vec<(event::WorkerKey, Resources)>,
    /// Cost of stopping it, in accelerator-milliseconds of lost work.
    pub cost: u64,
}

/// Picks whole gangs that together vacate what is missing; nothing when they cannot.
///
/// Greedy by cost for each accelerator vacated where it is missing, then drops every gang that the
/// others make needless, the dearest first.
pub fn choose<K: Copy + PartialEq>(
    missing: &[(event::WorkerKey, Resources)],
    candidates: &[Candidate<K>],
) -> Option<Vec<K>> {
    let mut chosen: Vec<&Candidate<K>> = Vec::new();
    let mut left: Vec<(event::WorkerKey, Resources)> = missing.to_vec();
    while left.iter().any(|(_key, amount)| !amount.is_zero()) {
        let open = candidates
            .iter()
            .filter(|candidate| !chosen.iter().any(|taken| taken.job == candidate.job));
        let useful = open.filter_map(|candidate| {
            let gain = gain(&left, candidate);
            // Cost by gain, in whole numbers.
            let rate = || u128::from(candidate.cost) * SCALE / u128::from(gain);
            (gain > 0).then(|| (rate(), candidate))
        });
        let (_rate, best) = useful.min_by_key(|(rate, _candidate)| *rate)?;
        subtract(&mut left, best);
        chosen.push(best);
    }
    prune(missing, &mut chosen);
    Some(chosen.iter().map(|candidate| candidate.job).collect())
}

/// How much of what is missing a gang would vacate, weighing accelerators most.
fn gain(left: &[(event::WorkerKey, Resources)], candidate: &Candidate<impl Copy>) -> u64 {
    let mut sum = 0;
    for (key, held) in &candidate.holds {
        for (_key, amount) in left.iter().filter(|(other, _amount)| other == key) {
            let got = held.min(amount);
            sum += u64::from(got.accelerators) * 1_000;
            sum += u64::from(got.cpus) * 10 + u64::from(got.memory_gb);
        }
    }
    sum
}

fn subtract(left: &mut [(event::WorkerKey, Resources)], candidate: &Candidate<impl Copy>) {
    for (key, held) in &candidate.holds {
        for (_key, amount) in left.iter_mut().filter(|(other, _amount)| other == key) {
            *amount = amount.less(held);
        }
    }
}

fn prune<K: Copy + PartialEq>(
    missing: &[(event::WorkerKey, Resources)],
    chosen: &mut Vec<&Candidate<K>>,
) {
    let mut order: Vec<K> = chosen.iter().map(|candidate| candidate.job).collect();
    order.sort_by_key(|job| {
        let found = chosen.iter().find(|candidate| candidate.job == *job);
        std::cmp::Reverse(found.map_or(0, |candidate| candidate.cost))
    });
    for job in order {
        let mut left = missing.to_vec();
        for other in chosen.iter().filter(|other| other.job != job) {
            subtract(&mut left, other);
        }
        if left.iter().all(|(_key, amount)| amount.is_zero()) {
            chosen.retain(|candidate| candidate.job != job);
        }
    }
}
