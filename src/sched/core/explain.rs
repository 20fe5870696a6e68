//! Explains from the current state why a job waits.

use crate::sched::JobId;
use crate::sched::core::{JobKey, Scheduler, State};
use crate::sched::event::{Reason, Router};
use crate::sched::fragmentation;

impl Scheduler {
    /// Returns the reason why a job waits; `None` for a job that runs or is unknown.
    pub fn explain<R: Router>(&self, id: JobId, router: &R) -> Option<Reason> {
        let key = *self.job_keys.get(&id)?;
        let job = &self.jobs[key];
        match &job.state {
            State::Waiting => Some(self.waiting_reason(key, router)),
            State::Claiming {
                placement,
                stopping,
            } => Some(Reason::Claiming {
                shapes: placement
                    .claims
                    .iter()
                    .map(|claim| claim.shape_index)
                    .collect(),
                stopping: stopping.clone(),
            }),
            State::Running { .. } | State::Stopping { .. } => None,
        }
    }

    fn waiting_reason<R: Router>(&self, key: JobKey, router: &R) -> Reason {
        let job = &self.jobs[key];
        let total = self.fleet.total();
        let share = |index: usize| self.accounts[index].share_ppm(&total);
        let next_account = (0..self.accounts.len())
            .filter(|index| *index != job.account && !self.accounts[*index].waiting.is_empty())
            .filter(|index| share(*index) < share(job.account))
            .min_by_key(|index| share(*index));
        let reclaimable_for = self
            .guarantees
            .gangs()
            .iter()
            .find(|gang| gang.account != job.spec.account && !gang.is_used());
        let expected_wait_ms = self
            .forecast(key, router)
            .map(|reservation| reservation.start_ms.saturating_sub(self.now));
        let reservation = self
            .reservations
            .iter()
            .find(|reservation| reservation.job != key);
        let would_stop = self
            .jobs
            .values()
            .filter(|other| other.is_reclaimable())
            .count();
        Reason::Waiting {
            account_share_ppm: share(job.account),
            ahead_account: next_account.map(|index| self.accounts[index].name.clone()),
            ahead_share_ppm: next_account.map_or(0, share),
            free_accelerators: fragmentation::free_accelerators(&self.fleet),
            kept_for: reclaimable_for.map(|gang| gang.account.clone()),
            reserved_for: reservation
                .and_then(|found| self.jobs.get(found.job))
                .map(|job| job.spec.id),
            expected_in_ms: expected_wait_ms,
            would_stop: would_stop as u32,
        }
    }
}
