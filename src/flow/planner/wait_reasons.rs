//! Why a job waits, for whoever asks.

use std::collections::BTreeMap;

use crate::flow::job::Step;
use crate::flow::planner::Planner;
use crate::flow::registry::State;
use crate::flow::{JobId, UnitId};

impl Planner {
    /// What holds the steps of an open job up at this moment, a sentence for each.
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
        let sentence = |(at, units): (u32, Vec<UnitId>)| {
            let step = job.spec.steps.get(at as usize)?;
            Some(self.waits(&job.queue.service, at, step, &units))
        };
        waiting.into_iter().filter_map(sentence).collect()
    }

    fn waits(&self, service: &str, at: u32, step: &Step, units: &[UnitId]) -> String {
        let what = if step.gang {
            format!("a gang of {}", step.count)
        } else {
            format!("{} tasks", units.len())
        };
        let each = &step.per_task;
        let fitting = self.fitting(service, step);
        let mut text = format!(
            "step {at}: {what} wait for {} millicores, {} MB and {} accelerators each; \
             {fitting} fit on the workers of {service} as they are",
            each.millicpus, each.memory_mb, each.accelerators
        );
        let claimed: Vec<String> = units
            .iter()
            .filter_map(|unit| self.claims.get(unit))
            .flat_map(|claim| &claim.workers)
            .filter_map(|key| self.projected.worker(*key))
            .map(|worker| worker.info.name.clone())
            .collect();
        if !claimed.is_empty() {
            text += &format!("; room is being vacated on {}", claimed.join(", "));
        }
        text
    }

    /// How many tasks of a step fit as things are.
    fn fitting(&self, service: &str, step: &Step) -> u64 {
        let usable = self.projected.workers().filter(|(key, worker)| {
            let label = step.label.as_ref();
            worker.info.service == service
                && label.is_none_or(|label| worker.info.labels.contains(label))
                && self.is_usable(*key)
        });
        let fit = usable.map(|(_key, worker)| {
            let free = worker.info.total.minus(&worker.used);
            free.count_fitting(&step.per_task, u64::from(step.count))
        });
        fit.sum()
    }
}
