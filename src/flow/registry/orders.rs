//! Builds the orders for an agent from the replicated state.

use crate::flow::message::{Orders, Poll, Start};
use crate::flow::registry::Registry;
use crate::flow::{Run, WorkerKey};
use crate::raft::Index;

impl Registry {
    /// Returns the worker that a poll is about: the incarnation that it names, or else the one that
    /// the agent's instance has registered last.
    pub fn polled_worker(&self, poll: &Poll) -> Option<WorkerKey> {
        match &poll.worker {
            Some((name, incarnation)) => self.find_worker(name, *incarnation),
            None => self.workers_of(&poll.instance).max(),
        }
    }

    /// Returns the runs that the worker should run and those that it should stop, as of a log
    /// index. The leader adds the token and the members.
    pub fn orders(&self, index: Index, poll: &Poll) -> Orders {
        let mut orders = Orders {
            index,
            ..Orders::default()
        };
        let key = self.polled_worker(poll);
        let Some((key, worker)) = key.and_then(|key| Some((key, self.worker(key)?))) else {
            orders.cursor = self.next_worker.saturating_sub(1);
            return orders;
        };
        orders.worker = Some((key, worker.info.clone()));
        orders.cursor = worker.cursor;
        orders.fenced = worker.fenced;
        orders.evacuated = self.is_evacuated(&worker.info.domain);
        for (task, number) in &worker.runs {
            let run = Run {
                task: *task,
                number: *number,
            };
            if !self.is_wanted(key, run) {
                orders.stops.push(run);
                continue;
            }
            orders.wanted.push(run);
            if !poll.known.contains(&run) {
                orders.starts.extend(self.start(run));
            }
        }
        orders
    }

    fn start(&self, run: Run) -> Option<Start> {
        let id = self.unit_of(run.task)?;
        let payload = self.job(run.task.job)?.spec.payload.clone();
        let checkpoint = self.unit(id)?.checkpoint.clone();
        Some(Start {
            run,
            payload,
            checkpoint,
        })
    }
}
