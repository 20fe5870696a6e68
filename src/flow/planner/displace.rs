//! Covered runs that give way to a covered unit because they fit elsewhere. They are in its way if they
//! were placed before their account's guarantee covered them, or before workers were lost.

use std::collections::BTreeSet;

use crate::flow::job::Amount;
use crate::flow::place::{self, Candidate, Request, Scope, Victim, Victims};
use crate::flow::planner::Planner;
use crate::flow::planner::pass::{Context, Placement};
use crate::flow::planner::search::Search;
use crate::flow::registry::Job;
use crate::flow::{JobId, Run, UnitId, WorkerKey};
use crate::map;

/// Factor on the cost of stopping a covered run. Runs without a guarantee are stopped rather than it.
const COVERED_COST_FACTOR: u64 = 1 << 16;

/// Changes of free capacity that a plan makes.
#[derive(Debug, Default)]
struct Changes(map::Map<WorkerKey, (Amount, Amount)>);

impl Changes {
    fn release(&mut self, held: &[(WorkerKey, Amount)]) {
        for (key, amount) in held {
            let (released, _taken) = self.0.entry(*key).or_default();
            *released = released.plus(amount);
        }
    }

    fn take(&mut self, workers: &[WorkerKey], per_task: &Amount) {
        for key in workers {
            let (_released, taken) = self.0.entry(*key).or_default();
            *taken = taken.plus(per_task);
        }
    }

    fn apply(&self, key: WorkerKey, free: &Amount) -> Amount {
        let (released, taken) = self.0.get(&key).copied().unwrap_or_default();
        free.plus(&released).minus(&taken)
    }
}

impl Planner {
    /// Finds workers for a covered unit where other covered runs must stop, each of which fits elsewhere
    /// if runs without a guarantee are preempted there.
    pub(super) fn displace(
        &self,
        context: &Context,
        id: UnitId,
        request: &Request<'_>,
        candidates: &[Candidate<'_>],
        victims: &Victims,
    ) -> Option<Placement> {
        let movable = self.movable(context, id.job);
        if movable.is_empty() {
            return None;
        }
        let displaced: BTreeSet<UnitId> = movable.iter().map(|victim| victim.unit).collect();
        let all: Vec<Victim> = victims.all().iter().cloned().chain(movable).collect();
        let (workers, stopped) = place::reclaim(request, candidates, &Victims::new(all.clone()))?;
        let mut stopping: BTreeSet<UnitId> = stopped.iter().copied().collect();
        let mut changes = Changes::default();
        changes.take(&workers, &request.step.per_task);
        for victim in all.iter().filter(|victim| stopping.contains(&victim.unit)) {
            changes.release(&victim.held);
        }
        for unit in stopped.iter().filter(|unit| displaced.contains(unit)) {
            let remaining = victims.all().iter();
            let remaining = remaining.filter(|victim| !stopping.contains(&victim.unit));
            let remaining = Victims::new(remaining.cloned().collect());
            let also_stopped = self.fit_elsewhere(context, *unit, &remaining, &mut changes)?;
            stopping.extend(also_stopped);
        }
        log::info!(job:% = format_args!("{:016x}", id.job), step = id.step, first = id.first,
            displaced = stopped.iter().filter(|unit| displaced.contains(unit)).count();
            "covered runs give way to a unit within a guarantee, as they fit elsewhere");
        Some((workers, stopped))
    }

    /// Finds workers for a unit after changes of the free capacity, and adds its own. Returns the runs that
    /// must stop for it.
    fn fit_elsewhere(
        &self,
        context: &Context,
        id: UnitId,
        victims: &Victims,
        changes: &mut Changes,
    ) -> Option<Vec<UnitId>> {
        let search = Search::new(self, context, id, false)?;
        let request = search.request(Scope::Anywhere);
        let mut candidates = search.all_candidates();
        for candidate in &mut candidates {
            candidate.free = changes.apply(candidate.key, &candidate.free);
        }
        let (workers, stopped) = place::reclaim(&request, &candidates, victims)?;
        for victim in victims
            .all()
            .iter()
            .filter(|victim| stopped.contains(&victim.unit))
        {
            changes.release(&victim.held);
        }
        changes.take(&workers, &request.step.per_task);
        Some(stopped)
    }

    /// Returns the covered runs that may be stopped and started elsewhere: those of other jobs all of whose
    /// ready units have begun.
    fn movable(&self, context: &Context, job: JobId) -> Vec<Victim> {
        let waiting: BTreeSet<JobId> = self.projected.ready_steps().map(|unit| unit.job).collect();
        let others = context.guaranteed_jobs.iter().filter(|id| **id != job);
        let begun = others
            .filter(|id| !waiting.contains(id))
            .filter_map(|id| self.projected.job(*id))
            .filter(|job| self.have_begun(job));
        let mut movable: Vec<Victim> = begun.flat_map(|job| self.covered_runs(job)).collect();
        movable.sort_unstable_by_key(|victim| victim.unit);
        movable
    }

    fn covered_runs(&self, job: &Job) -> Vec<Victim> {
        let runs = job.units.iter().filter_map(|(key, unit)| {
            let step = job.spec.steps.get(key.1 as usize)?;
            let running = unit.running.as_ref()?;
            let mut victim = self.victim(job.unit_id(*key), job, step, unit, running);
            victim.cost = victim.cost.saturating_mul(COVERED_COST_FACTOR);
            running.stop.is_none().then_some(victim)
        });
        runs.collect()
    }

    /// Reports whether the workers of a job have reported all its runs as active, and none of them is
    /// being stopped.
    fn have_begun(&self, job: &Job) -> bool {
        let is_reported = |worker: WorkerKey, run: Run| {
            let observation = self.observations.get(&worker);
            observation.is_some_and(|observation| observation.progress.contains_key(&run))
        };
        job.units.iter().all(|(key, unit)| {
            unit.running.as_ref().is_none_or(|running| {
                let mut members = running.members.iter().enumerate();
                running.stop.is_none()
                    && members.all(|(position, member)| {
                        let run = Run {
                            task: job.unit_id(*key).task(position as u32),
                            number: unit.last_run,
                        };
                        member.end.is_some() || is_reported(member.worker, run)
                    })
            })
        })
    }
}
