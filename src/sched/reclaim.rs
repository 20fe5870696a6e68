//! Chooses a cheap set of whole borrowed gangs to stop for a guarantee or a wide gang.

use crate::config::Resources;
use crate::sched::event;

/// Factor applied to costs before the integer division by the vacated amount.
const COST_SCALE: u128 = 1_000_000;

/// A borrowed gang that could be stopped.
#[derive(Clone, Debug)]
pub struct Candidate<K> {
    pub job: K,
    /// Resources that it holds on each worker.
    pub held: Vec<(event::WorkerKey, Resources)>,
    /// Cost of stopping it, in accelerator-milliseconds of lost work.
    pub cost: u64,
}

/// Chooses gangs that together vacate what is missing; `None` if all candidates do not suffice.
///
/// Greedily adds the gang with the lowest cost per resource vacated where it is missing, then drops
/// each gang that the others make unnecessary, the most expensive first.
pub fn choose<K: Copy + PartialEq>(
    missing: &[(event::WorkerKey, Resources)],
    candidates: &[Candidate<K>],
) -> Option<Vec<K>> {
    let mut chosen: Vec<&Candidate<K>> = Vec::new();
    let mut remaining: Vec<(event::WorkerKey, Resources)> = missing.to_vec();
    while remaining.iter().any(|(_key, amount)| !amount.is_zero()) {
        let unchosen = candidates
            .iter()
            .filter(|candidate| !chosen.iter().any(|taken| taken.job == candidate.job));
        let useful = unchosen.filter_map(|candidate| {
            let weight = vacated_weight(&remaining, candidate);
            // Cost per vacated resource, as a scaled integer.
            let rate = || u128::from(candidate.cost) * COST_SCALE / u128::from(weight);
            (weight > 0).then(|| (rate(), candidate))
        });
        let (_rate, best) = useful.min_by_key(|(rate, _candidate)| *rate)?;
        subtract(&mut remaining, best);
        chosen.push(best);
    }
    prune(missing, &mut chosen);
    Some(chosen.iter().map(|candidate| candidate.job).collect())
}

/// Returns a weighted sum of the missing resources that a gang would vacate; accelerators weigh
/// most.
fn vacated_weight(
    remaining: &[(event::WorkerKey, Resources)],
    candidate: &Candidate<impl Copy>,
) -> u64 {
    let mut sum = 0;
    for (key, amount_held) in &candidate.held {
        for (_key, amount) in remaining.iter().filter(|(other, _amount)| other == key) {
            let got = amount_held.min(amount);
            sum += u64::from(got.accelerators) * 1_000;
            sum += u64::from(got.cpus) * 10 + u64::from(got.memory_gb);
        }
    }
    sum
}

/// Subtracts what a gang holds from the remaining amounts.
fn subtract(remaining: &mut [(event::WorkerKey, Resources)], candidate: &Candidate<impl Copy>) {
    for (key, amount_held) in &candidate.held {
        for (_key, amount) in remaining.iter_mut().filter(|(other, _amount)| other == key) {
            *amount = amount.minus(amount_held);
        }
    }
}

/// Removes gangs that the others make unnecessary, the most expensive first.
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
        let mut remaining = missing.to_vec();
        for other in chosen.iter().filter(|other| other.job != job) {
            subtract(&mut remaining, other);
        }
        if remaining.iter().all(|(_key, amount)| amount.is_zero()) {
            chosen.retain(|candidate| candidate.job != job);
        }
    }
}
