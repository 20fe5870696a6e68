//! Reservations: workers that are kept for a unit that does not fit yet, from the estimated time at
//! which it will.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::flow::job::{Amount, Step};
use crate::flow::planner::Planner;
use crate::flow::planner::pass::Context;
use crate::flow::{Millis, UnitId, WorkerKey};

/// Maximum number of units that hold a reservation at a time.
const MAX_RESERVATIONS: usize = 2;

/// Estimated end of a task's run, its worker, and what it frees there.
pub(super) type RunEnd = (Millis, WorkerKey, Amount);

impl Planner {
    /// Reserves workers for a unit that does not fit yet, from the estimated time at which it will.
    pub(super) fn reserve(
        &self,
        context: &mut Context,
        id: UnitId,
        step: &Step,
        tasks: u32,
        service: &str,
    ) {
        if context.reservations >= MAX_RESERVATIONS {
            return;
        }
        let tasks = u64::from(tasks);
        let capacity = |free: &Amount| free.count_fitting(&step.per_task, tasks);
        let Some(mut free) = self.free_if_enough(step, tasks, service) else {
            return;
        };
        let mut total: u64 = free.values().map(capacity).sum();
        for (end_ms, key, amount) in self.ends(context).iter() {
            let Some(worker_free) = free.get_mut(key) else {
                continue;
            };
            total -= capacity(worker_free);
            *worker_free = worker_free.plus(amount);
            total += capacity(worker_free);
            if total < tasks {
                continue;
            }
            // Reserves the workers with the largest capacity. Others may still get long runs.
            let mut largest: Vec<(u64, WorkerKey)> = free
                .iter()
                .map(|(key, free)| (capacity(free), *key))
                .collect();
            largest.sort_unstable_by(|a, b| b.cmp(a));
            let mut remaining = tasks;
            for (count, key) in largest {
                if remaining == 0 {
                    break;
                }
                remaining = remaining.saturating_sub(count);
                context.reserved.entry(key).or_insert(*end_ms);
            }
            context.reservations += 1;
            log::debug!(job:% = format_args!("{:016x}", id.job), step = id.step; "workers reserved from {end_ms} on");
            return;
        }
    }

    /// Returns the free capacity of the workers that a unit may use, unless it would not fit there
    /// even if they were empty.
    fn free_if_enough(
        &self,
        step: &Step,
        tasks: u64,
        service: &str,
    ) -> Option<BTreeMap<WorkerKey, Amount>> {
        let mut free = BTreeMap::new();
        let mut capacity = 0;
        for key in self.fleet.service(service)?.workers() {
            let Some(worker) = self
                .projected
                .worker(key)
                .filter(|_worker| self.is_usable(key))
            else {
                continue;
            };
            let label = step.label.as_ref();
            if label.is_none_or(|label| worker.info.labels.contains(label)) {
                capacity += worker.info.total.count_fitting(&step.per_task, tasks);
                free.insert(key, worker.info.total.minus(&worker.used));
            }
        }
        (capacity >= tasks).then_some(free)
    }

    /// Returns the estimated ends of all runs, the earliest first. Of those that last, only the ones that
    /// are being stopped have an end.
    fn ends(&self, context: &mut Context) -> Rc<Vec<RunEnd>> {
        if let Some(ends) = &context.ends {
            return Rc::clone(ends);
        }
        let mut ends: Vec<RunEnd> = Vec::new();
        // The units of a step follow each other and have the same estimate.
        let mut last: Option<(UnitId, Millis)> = None;
        for unit in self.projected.active() {
            let (Some((_job, step)), Some(state)) =
                (self.projected.step(unit), self.projected.unit(unit))
            else {
                continue;
            };
            let Some(running) = &state.running else {
                continue;
            };
            // The others run until their job is cancelled, which nobody can foresee.
            if step.long_running && running.stop.is_none() {
                continue;
            }
            let first = UnitId { first: 0, ..unit };
            let (_step, expected_ms) = match last {
                Some(known) if known.0 == first => known,
                _ => *last.insert((first, self.expected_ms(unit))),
            };
            let end_ms = if step.long_running {
                let stop_ms = self.options.bounds.stop_ms;
                self.wall_now.saturating_add(stop_ms)
            } else {
                self.run_end_ms(unit, state.last_run, running, expected_ms)
            };
            for member in running.members.iter().filter(|member| member.end.is_none()) {
                ends.push((end_ms, member.worker, step.per_task));
            }
        }
        ends.sort_unstable_by_key(|(end_ms, key, _amount)| (*end_ms, *key));
        let ends = Rc::new(ends);
        context.ends = Some(Rc::clone(&ends));
        ends
    }
}
