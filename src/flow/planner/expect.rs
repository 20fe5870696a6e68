//! When runs are expected to end, from the estimates of run durations and from reported progress.

use crate::estimate;
use crate::flow::durations::Outcome;
use crate::flow::job::Step;
use crate::flow::planner::{Planner, Progress};
use crate::flow::registry::{Running, State};
use crate::flow::{JobId, Millis, Run, UnitId};
use crate::map;
use crate::telemetry;

/// Number of percentage points that a run must have advanced before its end is predicted from them.
/// They are whole numbers seen at the times of listings, so fewer points give no rate.
const MIN_ADVANCE_PERCENT: u32 = 5;

/// Maximum number of steps whose durations are cached. The cache is cleared when it is full, and with
/// each change of the learned durations.
const MAX_CACHED_STEPS: usize = 8_192;

/// Expected durations by step, as of one state of the learned durations. A pass asks for them several
/// times for each unit that it tries to place.
#[derive(Debug, Default)]
pub(super) struct Cache {
    clock: u64,
    expected_ms: map::Map<(JobId, u32, u32), Millis>,
}

impl Cache {
    /// Removes everything if it does not belong to the given state of the learned durations.
    fn refresh(&mut self, clock: u64) {
        if self.clock != clock || self.expected_ms.len() >= MAX_CACHED_STEPS {
            self.expected_ms.clear();
            self.clock = clock;
        }
    }
}

impl Progress {
    /// Returns how long the run still takes at the rate at which its percentage has risen, from the time
    /// at which it last rose.
    fn remaining_ms(&self) -> Option<Millis> {
        let (first_percent, first_ms) = self.first?;
        let advance = self.percent.checked_sub(first_percent)?;
        let elapsed_ms = self.advanced_ms.saturating_sub(first_ms);
        if advance < MIN_ADVANCE_PERCENT || elapsed_ms == 0 {
            return None;
        }
        let remaining = u64::from(100_u32.saturating_sub(self.percent));
        Some(elapsed_ms.saturating_mul(remaining) / u64::from(advance))
    }
}

impl Planner {
    /// Returns the time on the wall clock at which a run of a unit would be expected to end if it started
    /// now.
    pub fn end_if_placed_ms(&self, id: UnitId) -> Millis {
        self.wall_now.saturating_add(self.expected_ms(id))
    }

    /// Returns the expected duration of a unit's runs, computed once for each state of the learned
    /// durations.
    pub(super) fn expected_ms(&self, id: UnitId) -> Millis {
        let mut cache = self.cache.borrow_mut();
        cache.refresh(self.projected.durations().clock());
        let known = cache.expected_ms.entry((id.job, id.occurrence, id.step));
        *known.or_insert_with(|| self.projected.estimate(id).expected_ms)
    }

    /// Returns the time on the wall clock, later than now, at which the current run of a unit is expected
    /// to end: from its reported percentage once that has risen, or else from the estimate. A run that has
    /// outlived either is expected to run for another half of its time so far.
    pub fn expected_end_ms(&self, id: UnitId) -> Option<Millis> {
        let expected_ms = self.expected_ms(id);
        let unit = self.projected.unit(id)?;
        let running = unit.running.as_ref()?;
        Some(self.run_end_ms(id, unit.last_run, running, expected_ms))
    }

    /// As `expected_end_ms`, for a run whose duration has been estimated already.
    pub(super) fn run_end_ms(
        &self,
        id: UnitId,
        number: u32,
        running: &Running,
        expected_ms: Millis,
    ) -> Millis {
        let started_ms = running.placed_ms;
        if let Some(end_ms) = self.reported_end_ms(id, number, running)
            && end_ms > self.wall_now
        {
            return end_ms;
        }
        let remaining_ms = estimate::remaining_ms(expected_ms, started_ms, self.wall_now);
        self.wall_now.saturating_add(remaining_ms)
    }

    /// Returns the end that the reported percentage suggests. The members of a gang advance together, so
    /// the first one that has not ended stands for all.
    fn reported_end_ms(&self, id: UnitId, number: u32, running: &Running) -> Option<Millis> {
        let mut members = (0..).zip(&running.members);
        let (position, member) = members.find(|(_position, member)| member.end.is_none())?;
        let run = Run {
            task: id.task(position),
            number,
        };
        let progress = self.observations.get(&member.worker)?.progress.get(&run)?;
        let remaining_ms = progress.remaining_ms()?;
        let age_ms = self.now.saturating_sub(progress.advanced_ms);
        let advanced_ms = self.wall_now.saturating_sub(age_ms);
        Some(advanced_ms.saturating_add(remaining_ms))
    }

    /// Returns one sentence for each step of an open job's last occurrence that states how long its tasks
    /// are expected to run.
    pub fn estimate_sentences(&self, id: JobId) -> Vec<String> {
        let job = self.projected.job(id);
        let Some(job) = job.filter(|job| job.state == State::Open) else {
            return Vec::new();
        };
        let occurrence = job.opened.saturating_sub(1);
        let steps = (0..).zip(&job.spec.steps);
        let sentence = |(index, step): (u32, &Step)| {
            let unit = job.unit_id((occurrence, index, 0));
            let estimate = self.projected.estimate(unit);
            let caller_s = step.estimate_ms as f64 / 1_000.0;
            format!("step {index}: {estimate}; the caller estimates {caller_s:.1} s")
        };
        steps.map(sentence).collect()
    }

    /// Counts the runs that have ended since the last call.
    pub(super) fn count_outcomes(&mut self) {
        let durations = self.projected.durations();
        for (outcome, counted) in Outcome::ALL.iter().zip(&mut self.counted) {
            let total = durations.outcomes(*outcome);
            let new = total.saturating_sub(*counted);
            if new > 0 {
                *counted = total;
                let samples = telemetry::DURATION_SAMPLES.with_label_values(&[outcome.label()]);
                samples.inc_by(new);
            }
        }
    }

    /// Returns the number of samples so far.
    pub(super) fn samples(&self) -> u64 {
        self.projected.durations().outcomes(Outcome::Used)
    }

    /// Returns how long the current run of a unit has taken, and how long it was expected to take.
    pub(super) fn run_and_expected_ms(&self, run: Run) -> Option<(Millis, Millis)> {
        let id = self.projected.unit_of(run.task)?;
        let running = self.projected.unit(id)?.running.as_ref()?;
        let run_ms = self.wall_now.saturating_sub(running.placed_ms);
        Some((run_ms, self.projected.estimate(id).expected_ms))
    }
}
