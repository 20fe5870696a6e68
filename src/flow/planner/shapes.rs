//! What runs that are covered by guarantees leave of each worker.

use std::collections::BTreeMap;

use crate::flow::job::{Amount, Step};
use crate::flow::planner::Planner;
use crate::flow::planner::pass::Context;
use crate::flow::{UnitId, WorkerKey};
use crate::telemetry;

impl Planner {
    /// Returns what covered runs hold of each worker, and what is claimed there for covered units. Runs
    /// that are being stopped hold nothing.
    fn covered(&self, context: &Context) -> BTreeMap<WorkerKey, Amount> {
        let mut covered: BTreeMap<WorkerKey, Amount> = BTreeMap::new();
        let mut add = |key: WorkerKey, amount: &Amount| {
            let held = covered.entry(key).or_default();
            *held = held.plus(amount);
        };
        for id in &context.guaranteed_jobs {
            let Some(job) = self.projected.job(*id) else {
                continue;
            };
            for ((_occurrence, step, _first), unit) in &job.units {
                let running = unit.running.as_ref();
                let running = running.filter(|running| running.stop.is_none());
                let step = job.spec.steps.get(*step as usize);
                if let Some((running, step)) = running.zip(step) {
                    let active = running.members.iter().filter(|member| member.end.is_none());
                    active.for_each(|member| add(member.worker, &step.per_task));
                }
            }
        }
        for (unit, claim) in &self.claims {
            if let Some((job, step)) = self.projected.step(*unit)
                && context.guaranteed_jobs.contains(&job.id)
            {
                claim
                    .workers
                    .iter()
                    .for_each(|key| add(*key, &step.per_task));
            }
        }
        covered
    }

    /// Logs and counts a unit within a guarantee that fits on no workers, once while it waits.
    pub(super) fn log_blocked(
        &mut self,
        context: &Context,
        id: UnitId,
        step: &Step,
        service: &str,
    ) {
        if !self.blocked.insert(id) {
            return;
        }
        telemetry::BLOCKED_GUARANTEES.inc();
        let covered = self.covered(context);
        let keys = self.fleet.service(service).map(|service| service.workers());
        let usable: Vec<WorkerKey> = keys
            .into_iter()
            .flatten()
            .filter(|key| self.is_usable(*key))
            .collect();
        let left = usable.iter().filter_map(|key| {
            let held = covered.get(key).copied().unwrap_or_default();
            Some(self.projected.worker(*key)?.info.total.minus(&held))
        });
        let left = left.fold(Amount::default(), |max, left| max.max(&left));
        let with_covered = usable.iter().filter(|key| covered.contains_key(key));
        log::warn!(job:% = format_args!("{:016x}", id.job), step = id.step, first = id.first,
            accelerators = step.per_task.accelerators, millicpus = step.per_task.millicpus,
            workers = usable.len(), covered_workers = with_covered.count(),
            most_accelerators_left = left.accelerators, most_millicpus_left = left.millicpus;
            "gang or task within a guarantee fits on no workers, even by preemption");
    }
}
