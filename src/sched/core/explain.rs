//! Why a job waits, told from the state of the moment.

use crate::sched::JobId;
use crate::sched::core::{JobKey, Scheduler, State};
use crate::sched::event::{Reason, Router};
use crate::sched::fragmentation;

impl Scheduler {
    /// Tells who is ahead of a waiting job and what it lacks; nothing for a job that runs.
    pub fn explain<R: Router>(&self, id: JobId, router: &R) -> Option<Reason> {
        let key = *self.ids.get(&id)?;
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
        let ahead = (0..self.accounts.len())
            .filter(|index| *index != job.account && !self.accounts[*index].waiting.is_empty())
            .filter(|index| share(*index) < share(job.account))
            .min_by_key(|index| share(*index));
        let kept = self
            .guarantees
            .gangs()
            .iter()
            .find(|gang| gang.account != job.spec.account && !gang.is_used());
        let expected = self
            .forecast(key, router)
            .map(|found| found.start_ms.saturating_sub(self.now));
        let reserved = self.reservations.iter().find(|found| found.job != key);
        let would_stop = self
            .jobs
            .values()
            .filter(|other| other.is_reclaimable())
            .count();
        Reason::Waiting {
            account_share_ppm: share(job.account),
            ahead_account: ahead.map(|index| self.accounts[index].name.clone()),
            ahead_share_ppm: ahead.map_or(0, share),
            free_accelerators: fragmentation::free_accelerators(&self.fleet),
            kept_for: kept.map(|gang| gang.account.clone()),
            reserved_for: reserved
                .and_then(|found| self.jobs.get(found.job))
                .map(|job| job.spec.id),
            expected_in_ms: expected,
            would_stop: would_stop as u32,
        }
    }
}
