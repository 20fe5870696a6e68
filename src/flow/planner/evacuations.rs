//! Operators' orders to evacuate failure domains, and what waits because of them.

use std::collections::BTreeSet;

use crate::flow::command::Command;
use crate::flow::job::Step;
use crate::flow::planner::Planner;

impl Planner {
    /// Evacuates a failure domain or revokes that. An order that changes nothing is ignored.
    pub fn evacuate(&mut self, domain: String, evacuated: bool) {
        if self.projected.is_evacuated(&domain) == evacuated {
            return;
        }
        let workers = self.projected.workers();
        let workers = workers.filter(|(_key, worker)| worker.info.domain == domain);
        let (count, runs) = workers.fold((0, 0), |(count, runs), (_key, worker)| {
            (count + 1, runs + worker.runs.len())
        });
        let what = if evacuated {
            "failure domain evacuated, its workers get no new runs"
        } else {
            "evacuation of a failure domain revoked"
        };
        log::info!(domain = domain, workers = count, runs = runs; "{what}");
        self.push(Command::Evacuate { domain, evacuated });
    }

    /// Describes the workers of a service that a step may use, but that are in evacuated domains.
    /// Returns nothing if there are none.
    pub(super) fn evacuated_workers(&self, service: &str, step: &Step) -> Option<String> {
        let suitable = self.projected.workers().filter(|(_key, worker)| {
            let label = step.label.as_ref();
            worker.info.service == service
                && label.is_none_or(|label| worker.info.labels.contains(label))
                && self.projected.is_evacuated(&worker.info.domain)
        });
        let mut domains = BTreeSet::new();
        let (mut workers, mut tasks) = (0, 0);
        for (_key, worker) in suitable {
            let free = worker.info.total.minus(&worker.used);
            domains.insert(worker.info.domain.as_str());
            workers += 1;
            tasks += free.count_fitting(&step.per_task, u64::from(step.count));
        }
        let names: Vec<&str> = domains.into_iter().collect();
        (workers > 0).then(|| {
            format!(
                "{workers} workers get no new runs, as their failure domains are evacuated ({}); \
                 {tasks} tasks would fit there now",
                names.join(", ")
            )
        })
    }
}
