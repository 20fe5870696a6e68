//! Explains why the steps of a job are waiting.

use std::collections::BTreeMap;

use crate::flow::job::Step;
use crate::flow::planner::Planner;
use crate::flow::registry::State;
use crate::flow::{JobId, UnitId};

impl Planner {
    /// Returns one sentence for each waiting step of an open job that states what it is waiting for.
    pub fn wait_reasons(&self, id: JobId) -> Vec<String> {
        let Some(job) = self
            .projected
            .job(id)
            .filter(|job| job.state == State::Open)
        else {
            return Vec::new();
        };
        let mut waiting: BTreeMap<u32, Vec<UnitId>> = BTreeMap::new();
        for unit in self.projected.ready().filter(|unit| unit.job == id) {
            waiting.entry(unit.step).or_default().push(unit);
        }
        let sentence = |(index, units): (u32, Vec<UnitId>)| {
            let step = job.spec.steps.get(index as usize)?;
            Some(self.wait_reason(&job.queue.service, index, step, &units))
        };
        waiting.into_iter().filter_map(sentence).collect()
    }

    fn wait_reason(&self, service: &str, index: u32, step: &Step, units: &[UnitId]) -> String {
        let waiting = if step.gang {
            format!("a gang of {}", step.count)
        } else {
            format!("{} tasks", units.len())
        };
        let per_task = &step.per_task;
        let fitting = self.count_fitting(service, step);
        let mut text = format!(
            "step {index}: {waiting} wait for {} millicores, {} MB and {} accelerators each; \
             {fitting} fit on the workers of {service} now",
            per_task.millicpus, per_task.memory_mb, per_task.accelerators
        );
        let claimed: Vec<String> = units
            .iter()
            .filter_map(|unit| self.claims.get(unit))
            .flat_map(|claim| &claim.workers)
            .filter_map(|key| self.projected.worker(*key))
            .map(|worker| worker.info.name.clone())
            .collect();
        if !claimed.is_empty() {
            text += &format!("; capacity is being reclaimed on {}", claimed.join(", "));
        }
        let needed = if step.gang {
            u64::from(step.count)
        } else {
            units.len() as u64
        };
        if fitting < needed
            && let Some(evacuated) = self.evacuated_workers(service, step)
        {
            text += &format!("; {evacuated}");
        }
        text
    }

    /// Returns how many tasks of a step fit into the free capacity of usable workers.
    fn count_fitting(&self, service: &str, step: &Step) -> u64 {
        let usable = self.projected.workers().filter(|(key, worker)| {
            let label = step.label.as_ref();
            worker.info.service == service
                && label.is_none_or(|label| worker.info.labels.contains(label))
                && self.is_usable(*key)
        });
        let counts = usable.map(|(_key, worker)| {
            let free = worker.info.total.minus(&worker.used);
            free.count_fitting(&step.per_task, u64::from(step.count))
        });
        counts.sum()
    }
}
