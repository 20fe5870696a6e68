//! Borrowed placements on free resources and idle guaranteed cells: probes, reservations, backfill.

use crate::config::Resources;
use crate::estimate;
use crate::sched::Millis;
use crate::sched::core::{Job, JobKey, Policy, RECLAIM_GRACE_MS, Scheduler, State};
use crate::sched::event::{self, Reason, Router};
use crate::sched::fleet;
use crate::sched::fragmentation;
use crate::sched::gang;
use crate::sched::reserve;

/// Waiting time after which a gang may get a reservation, in percent of its expected run time.
const RESERVE_AFTER_PERCENT: u64 = 10;

/// A gang is wide if it has at least 1 / `WIDE_DIVISOR` of the largest guaranteed shape's
/// accelerators; only wide gangs get reservations.
const WIDE_DIVISOR: u32 = 2;

/// Configured fragmentation weight that preserves one placement of the largest guaranteed shape.
const PRESERVE_WEIGHT: u32 = 60;

/// Multiple of its expected run time for which a narrow job waits without using a preserved
/// placement.
const PRESERVE_WAIT_FACTOR: u64 = 4;

/// Minimum waiting time before a wide gang gets a reservation or a narrow job uses a preserved
/// placement.
const MIN_RESERVE_WAIT_MS: Millis = 10_000;

/// Maximum number of reservations at a time.
const MAX_RESERVATIONS: usize = 4;

/// Minimum time between forecasts.
const FORECAST_INTERVAL_MS: Millis = 1_000;

impl Scheduler {
    /// Probes quarantined workers with a repeatable job that has not failed yet.
    pub(super) fn start_probes<R: Router>(&mut self, router: &mut R) {
        for worker_key in self.health.due_probes(self.now) {
            let Some(worker) = self.fleet.get(worker_key) else {
                continue;
            };
            if worker.state != fleet::State::Quarantined {
                continue;
            }
            let (free, region) = (worker.free(), worker.region);
            let fits = |key: &JobKey| {
                let job = &self.jobs[*key];
                job.spec.repeatable
                    && job.attempts == 0
                    && free.fits(&job.spec.each.scaled(job.spec.tasks))
                    && self.regions(job, router).contains(&region)
            };
            let waiting = self
                .accounts
                .iter()
                .flat_map(|account| account.waiting.iter().copied());
            let Some(key) = waiting.min_by_key(|key| (!fits(key), self.arrival(*key))) else {
                continue;
            };
            if !fits(&key) {
                continue;
            }
            self.health.defer_probe(worker_key, self.now);
            let tasks = self.jobs[key].spec.tasks;
            let members = vec![event::Member {
                worker: worker_key,
                tasks,
            }];
            self.place_borrowed(key, members, &gang::Cost::default(), router);
        }
    }

    /// Starts a borrowed gang and deducts it from the reservations of others.
    fn place_borrowed<R: Router>(
        &mut self,
        key: JobKey,
        members: Vec<event::Member>,
        cost: &gang::Cost,
        router: &mut R,
    ) {
        let placement = event::Placement {
            members,
            claims: Vec::new(),
        };
        let share_ppm = self.share_ppm(key);
        let job = &self.jobs[key];
        let ends_ms = self.now + self.expected_ms(job);
        let each = job.spec.each;
        let mut backfilled = None;
        for reservation in self
            .reservations
            .iter_mut()
            .filter(|reservation| reservation.job != key)
        {
            reservation.record_placement(&placement.members, &each, ends_ms);
            backfilled =
                backfilled.or_else(|| self.jobs.get(reservation.job).map(|job| job.spec.id));
        }
        self.dequeue(key, &placement, router);
        self.occupy(key, &placement);
        let fragments = cost.gangs_lost;
        self.start(key, placement, |job, _placement, now| Reason::Borrowed {
            waited_ms: now.saturating_sub(job.spec.submitted_ms),
            share_ppm,
            backfilled,
            fragments,
        });
    }

    /// Places jobs first come, first fit; the first job that does not fit blocks all later ones.
    pub(super) fn borrow_fifo<R: Router>(&mut self, router: &mut R) {
        let mut order: Vec<JobKey> = self
            .accounts
            .iter()
            .flat_map(|account| account.waiting.iter().copied())
            .collect();
        order.sort_by_key(|key| self.arrival(*key));
        for key in order {
            let job = &self.jobs[key];
            let regions = self.regions(job, router);
            let placed = gang::first_fit(&self.fleet, &self.request(job, &regions));
            let Some(members) = placed else { return };
            self.place_borrowed(key, members, &gang::Cost::default(), router);
        }
    }

    /// Returns the placement requirements of a job.
    fn request<'a>(&'a self, job: &Job, regions: &'a [fleet::RegionKey]) -> gang::Request<'a> {
        gang::Request {
            tasks: job.spec.tasks,
            each: job.spec.each,
            within: job.spec.within,
            regions,
            largest_shape: self.largest_shape.as_ref(),
            max_gangs_lost: self.max_gangs_lost(job),
        }
    }

    /// Returns how many placements of the largest guaranteed shape a job may displace.
    fn max_gangs_lost(&self, job: &Job) -> u32 {
        match &self.largest_shape {
            Some(largest_shape) if self.is_preserving_largest(job) => {
                let preserved = self.config.weights.fragmentation / PRESERVE_WEIGHT;
                fragmentation::fitting_gangs(&self.fleet, largest_shape).saturating_sub(preserved)
            }
            _ => u32::MAX,
        }
    }

    /// Reports whether a job must leave the last placements of the largest guaranteed shape free.
    ///
    /// Applies to narrow jobs that are not urgent until they have waited long, if the configured
    /// weight of fragmentation is high enough.
    pub(super) fn is_preserving_largest(&self, job: &Job) -> bool {
        if self.policy == Policy::Fifo || self.config.weights.fragmentation < PRESERVE_WEIGHT {
            return false;
        }
        let waited_ms = self.now.saturating_sub(job.spec.submitted_ms);
        let threshold_ms = (self.expected_ms(job) * PRESERVE_WAIT_FACTOR).max(MIN_RESERVE_WAIT_MS);
        !self.is_wide(job) && !job.spec.urgent && waited_ms <= threshold_ms
    }

    /// Reports whether a gang is so large that fragmentation could starve it.
    pub(super) fn is_wide(&self, job: &Job) -> bool {
        let width = self.largest_shape.as_ref().map_or(0, |largest_shape| {
            largest_shape.workers * largest_shape.each.accelerators
        });
        job.accelerators() * WIDE_DIVISOR >= width
    }

    /// Places jobs by account, the lowest dominant share first.
    pub(super) fn borrow_fair<R: Router>(&mut self, router: &mut R) {
        self.serve_reservations(router);
        let mut queues: Vec<(usize, std::vec::IntoIter<JobKey>)> = (0..self.accounts.len())
            .filter(|index| !self.accounts[*index].waiting.is_empty())
            .map(|index| (index, self.sorted_queue(index).into_iter()))
            .collect();
        let total = self.fleet.total();
        loop {
            queues.retain(|(_index, queue)| !queue.as_slice().is_empty());
            let next = queues
                .iter_mut()
                .min_by_key(|(index, _queue)| (self.accounts[*index].share_ppm(&total), *index));
            let Some(key) = next.and_then(|(_index, queue)| queue.next()) else {
                break;
            };
            self.try_borrow(key, router);
        }
    }

    /// Places a job on borrowed capacity and reports whether it did.
    pub(super) fn try_borrow<R: Router>(&mut self, key: JobKey, router: &mut R) -> bool {
        let Some(job) = self.jobs.get(key).filter(|job| job.is_waiting()) else {
            return false;
        };
        let regions = self.regions(job, router);
        let class = self.class(job, &regions);
        let is_cacheable = job.failed_workers.is_empty();
        let min_failed = self.unplaceable.get(&class);
        if is_cacheable && min_failed.is_some_and(|tasks| *tasks <= job.spec.tasks) {
            return false;
        }
        let ends_ms = self.now + self.expected_ms(job);
        let other_reservations: Vec<&reserve::Reservation<JobKey>> = self
            .reservations
            .iter()
            .filter(|reservation| reservation.job != key)
            .collect();
        let available = |worker: event::WorkerKey, entry: &fleet::Worker| {
            if job.failed_workers.contains(&worker) {
                return Resources::default();
            }
            let borrowable = entry.borrowable();
            other_reservations
                .iter()
                .fold(borrowable, |available, reservation| {
                    reservation.available(worker, available, ends_ms)
                })
        };
        let placed = gang::plan(&self.fleet, &self.request(job, &regions), available);
        let Some((members, cost)) = placed else {
            if is_cacheable {
                self.unplaceable.insert(class, job.spec.tasks);
            }
            return false;
        };
        self.place_borrowed(key, members, &cost, router);
        true
    }

    /// Starts gangs with a reservation that fit now and renews the reservations of the others.
    fn serve_reservations<R: Router>(&mut self, router: &mut R) {
        let existing: Vec<JobKey> = self
            .reservations
            .iter()
            .map(|reservation| reservation.job)
            .collect();
        for key in existing {
            let is_waiting = self.jobs.get(key).is_some_and(Job::is_waiting);
            if !is_waiting || self.try_borrow(key, router) {
                self.reservations
                    .retain(|reservation| reservation.job != key);
                self.unplaceable.clear();
            }
        }
        let has_start_passed = self
            .reservations
            .iter()
            .any(|reservation| reservation.start_ms <= self.now);
        let is_due = self.forecast_stale || has_start_passed;
        if !is_due || self.now < self.last_forecast_ms + FORECAST_INTERVAL_MS {
            return;
        }
        self.forecast_stale = false;
        self.last_forecast_ms = self.now;
        let had_reservations = !self.reservations.is_empty();
        self.reservations.clear();
        if had_reservations {
            self.unplaceable.clear();
        }
        for key in self.overdue() {
            if self.reservations.len() == MAX_RESERVATIONS {
                break;
            }
            if !self.try_borrow(key, router) {
                let reservation = self.forecast(key, router);
                self.reservations.extend(reservation);
            }
        }
    }

    /// Returns the wide gangs that have waited long relative to their expected run time, longest
    /// relative wait first.
    pub(super) fn overdue(&self) -> Vec<JobKey> {
        let waiting = self
            .accounts
            .iter()
            .flat_map(|account| account.waiting.iter().copied());
        let mut overdue: Vec<(Millis, JobKey)> = waiting
            .filter(|key| self.is_wide(&self.jobs[*key]))
            .filter_map(|key| {
                let job = &self.jobs[key];
                let waited_ms = self.now.saturating_sub(job.spec.submitted_ms);
                let threshold_ms = self.expected_ms(job) * RESERVE_AFTER_PERCENT / 100;
                let threshold_ms = threshold_ms.max(MIN_RESERVE_WAIT_MS);
                (waited_ms >= threshold_ms).then_some((waited_ms * 1_000 / threshold_ms, key))
            })
            .collect();
        overdue.sort_by_key(|(relative_wait, key)| {
            (std::cmp::Reverse(*relative_wait), self.arrival(*key))
        });
        overdue
            .into_iter()
            .map(|(_relative_wait, key)| key)
            .collect()
    }

    /// Forecasts when and where a waiting job fits; `None` if it would not fit even after all
    /// running gangs have ended.
    pub(super) fn forecast<R: Router>(
        &self,
        key: JobKey,
        router: &R,
    ) -> Option<reserve::Reservation<JobKey>> {
        let job = self.jobs.get(key)?;
        let regions = self.regions(job, router);
        let mut running: Vec<reserve::Running<'_>> = self
            .jobs
            .values()
            .filter(|other| !other.is_waiting())
            .filter_map(|other| {
                let remaining_ms = match other.state {
                    State::Running { .. } => {
                        estimate::remaining_ms(self.expected_ms(other), other.started_ms, self.now)
                    }
                    State::Claiming { .. } => self.expected_ms(other),
                    State::Stopping { .. } | State::Waiting => RECLAIM_GRACE_MS,
                };
                Some(reserve::Running {
                    ends_ms: self.now + remaining_ms,
                    members: &other.state.placement()?.members,
                    each: other.spec.each,
                })
            })
            .collect();
        let existing = &self.reservations;
        reserve::forecast(
            &self.fleet,
            &self.request(job, &regions),
            key,
            &mut running,
            existing,
        )
    }
}
