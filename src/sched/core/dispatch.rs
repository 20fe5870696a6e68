//! One pass over the queues: claims under guarantees, probes, then everybody else.

use crate::config::Resources;
use crate::sched::core::{Class, Job, JobKey, Policy, Sched, State};
use crate::sched::estimate;
use crate::sched::event::{self, Decision, Gate, Reason};
use crate::sched::fleet;
use crate::sched::gang;
use crate::sched::guarantee;
use crate::sched::measure;
use crate::sched::queue;
use crate::sched::reclaim;
use crate::sched::reserve;
use crate::sched::{JobId, Millis};

/// Lost work that a gang which must not run again counts for, in accelerator-milliseconds.
const NOT_REPEATABLE_COST: u64 = 1 << 40;

/// Waiting time from which a gang may get a reservation, in per cent of its expected run time.
const RESERVE_AFTER_PERCENT: u64 = 10;

/// Gangs with at least this part of the largest guaranteed shape may get a reservation.
const WIDE_PART: u32 = 2;

/// Weight of fragmentation that keeps one place of the largest guaranteed shape free.
const KEEP_WEIGHT: u32 = 60;

/// Passes over the claims in one dispatch.
const CLAIM_ROUNDS: usize = 4;

/// Multiple of its expected run time that a narrow job waits for the sake of a kept place.
const KEEP_PATIENCE: u64 = 4;

/// Shortest waiting time from which a gang may get a reservation.
const RESERVE_FLOOR_MS: Millis = 10_000;

/// Most reservations at a time.
const MAX_RESERVATIONS: usize = 4;

/// Shortest time between forecasts.
const FORECAST_MS: Millis = 1_000;

impl Sched {
    pub(super) fn dispatch<G: Gate>(&mut self, gate: &mut G) {
        self.start_claimed();
        for _round in 0..CLAIM_ROUNDS {
            // A claim that makes another one give way may leave cells for an earlier job.
            self.vacated = false;
            self.claims(gate);
            if !self.vacated {
                break;
            }
        }
        match self.policy {
            Policy::Fair => {
                self.probes(gate);
                self.borrow_fairly(gate);
                self.consolidate(gate);
            }
            Policy::Fifo => self.borrow_in_order(gate),
        }
    }

    /// Starts gangs whose cells have been vacated.
    fn start_claimed(&mut self) {
        for key in self.claiming.clone() {
            let State::Claiming {
                placement,
                stopping,
            } = &self.jobs[key].state
            else {
                continue;
            };
            if placement
                .members
                .iter()
                .any(|member| self.is_awaited(key, member.worker))
            {
                continue;
            }
            let (placement, stopped) = (placement.clone(), stopping.clone());
            self.claiming.retain(|claiming| *claiming != key);
            let share_ppm = self.share_ppm(key);
            self.start(key, placement, |job, placement, now| {
                let waited_ms = now.saturating_sub(job.spec.submitted_ms);
                if placement.is_guaranteed() {
                    let shapes = shapes(placement);
                    return Reason::Guaranteed {
                        shapes,
                        waited_ms,
                        stopped,
                        moved: false,
                    };
                }
                Reason::Borrowed {
                    waited_ms,
                    share_ppm,
                    backfilled: None,
                    fragments: 0,
                }
            });
        }
    }

    /// Whether a claim still waits for others to leave a worker; later claims do not count.
    fn is_awaited(&self, key: JobKey, worker: fleet::Key) -> bool {
        let Some(entry) = self.fleet.get(worker) else {
            return true;
        };
        let later = self
            .claiming
            .iter()
            .skip_while(|other| **other != key)
            .skip(1);
        let mut used = entry.used;
        for job in later.map(|other| &self.jobs[*other]) {
            let members = job
                .state
                .placement()
                .map(|placement| placement.members.iter());
            let here = members
                .into_iter()
                .flatten()
                .filter(|member| member.worker == worker);
            here.for_each(|member| used = used.less(&job.spec.each.scaled(member.tasks)));
        }
        !entry.total.fits(&used)
    }

    fn share_ppm(&self, key: JobKey) -> u64 {
        let total = self.fleet.total();
        self.accounts[self.jobs[key].account].share_ppm(&total)
    }

    fn start(
        &mut self,
        key: JobKey,
        placement: event::Placement,
        reason: impl FnOnce(&Job, &event::Placement, Millis) -> Reason,
    ) {
        let now = self.now;
        let job = &mut self.jobs[key];
        job.started_ms = now;
        let reason = reason(job, &placement, now);
        job.state = State::Running {
            placement: placement.clone(),
        };
        self.counts.placed += 1;
        self.forecast_stale = true;
        self.out.push(Decision::Place {
            job: job.spec.id,
            placement,
            reason,
        });
    }

    /// Admitted regions of a job, in order of preference.
    pub(super) fn regions<G: Gate>(&self, job: &Job, gate: &G) -> Vec<fleet::RegionKey> {
        let names = gate.regions(&job.spec);
        names
            .iter()
            .filter_map(|name| self.fleet.find_region(name))
            .collect()
    }

    fn class(&self, job: &Job, regions: &[fleet::RegionKey]) -> Class {
        let bits = regions.iter().map(|region| 1_u64 << (region.0 % 64)).sum();
        let ends_ms = self.now + self.expected_ms(job);
        let long = self
            .reservations
            .iter()
            .filter(|found| ends_ms > found.date)
            .count();
        Class {
            each: job.spec.each,
            within: job.spec.within,
            regions: bits,
            long,
            careful: self.is_careful(job),
        }
    }

    /// Waiting jobs of an account in the order in which they are served.
    fn sorted(&self, account: usize) -> Vec<JobKey> {
        let mut waiting = self.accounts[account].waiting.clone();
        match self.policy {
            Policy::Fifo => waiting.sort_by_key(|key| self.arrival(*key)),
            Policy::Fair => waiting.sort_by_cached_key(|key| {
                let job = &self.jobs[*key];
                let standing = queue::Standing {
                    urgent: job.spec.urgent,
                    expected_ms: self.expected_ms(job),
                    accelerators: job.accelerators(),
                    waited_ms: self.now.saturating_sub(job.spec.submitted_ms),
                    completion: self.config.weights.completion,
                };
                (queue::rank(&standing), job.spec.submitted_ms, job.spec.id)
            }),
        }
        waiting
    }

    fn arrival(&self, key: JobKey) -> (Millis, JobId) {
        let spec = &self.jobs[key].spec;
        (spec.submitted_ms, spec.id)
    }

    fn claims<G: Gate>(&mut self, gate: &mut G) {
        let holds = |at: &usize| {
            let account = &self.accounts[*at];
            !account.waiting.is_empty() && self.guarantees.holds(&account.name)
        };
        let mut order: Vec<usize> = (0..self.accounts.len()).filter(holds).collect();
        let total = self.fleet.total();
        order.sort_by_key(|at| (self.accounts[*at].share_ppm(&total), *at));
        for account in order {
            for key in self.sorted(account) {
                self.claim(key, gate);
            }
        }
    }

    /// Places a job under its account's guarantee if cells are left; others leave if they must.
    fn claim<G: Gate>(&mut self, key: JobKey, gate: &mut G) {
        let job = &self.jobs[key];
        let account = job.account;
        let regions = self.regions(job, gate);
        let class = Class {
            long: 0,
            careful: false,
            ..self.class(job, &regions)
        };
        let failed = self.unclaimable.get(&(account, class));
        if failed.is_some_and(|tasks| *tasks <= job.spec.tasks) {
            return;
        }
        let spec = job.spec.clone();
        let Some(mut plan) = self.guarantees.plan(&self.fleet, &spec, &regions) else {
            self.unclaimable.insert((account, class), spec.tasks);
            return;
        };
        let spares = self.policy == Policy::Fair && !spec.urgent;
        if spares && self.guarantees.breaks(&spec, &plan) && self.try_lend(key, gate) {
            return;
        }
        let mut moved = false;
        if !plan.missing.is_empty() && self.guarantees.relocate(&mut self.fleet, &spec, &regions) {
            moved = true;
            plan = self
                .guarantees
                .plan(&self.fleet, &spec, &regions)
                .unwrap_or(plan);
        }
        self.drop_consolidations(&plan, gate);
        let missing = self.to_vacate(&plan.placement, &spec);
        let Some(victims) = reclaim::choose(&missing, &self.candidates(&missing)) else {
            self.unclaimable.insert((account, class), spec.tasks);
            return;
        };
        self.commit_claim(key, plan.placement, &victims, moved, gate);
    }

    /// Gives up borrowed gangs that are being made room for where a guarantee needs the place.
    fn drop_consolidations<G: Gate>(&mut self, plan: &guarantee::Plan, gate: &mut G) {
        for (worker, _amount) in &plan.missing {
            let here = self
                .residents
                .get(worker.0 as usize)
                .cloned()
                .unwrap_or_default();
            for key in here {
                if self.is_consolidating(key) {
                    self.unclaim(key, gate);
                }
            }
        }
    }

    /// What must be vacated for a gang, beyond what is being vacated already.
    pub(super) fn to_vacate(
        &self,
        placement: &event::Placement,
        spec: &event::Spec,
    ) -> Vec<(fleet::Key, Resources)> {
        let mut missing = Vec::new();
        for member in &placement.members {
            let Some(worker) = self.fleet.get(member.worker) else {
                continue;
            };
            let mut used = worker.used;
            used += spec.each.scaled(member.tasks);
            let used = used.less(&self.leaving(member.worker));
            let short = used.less(&worker.total);
            if !short.is_zero() {
                missing.push((member.worker, short));
            }
        }
        missing
    }

    /// Resources of gangs that are being stopped on a worker.
    fn leaving(&self, key: fleet::Key) -> Resources {
        let mut sum = Resources::default();
        for job in self.residents.get(key.0 as usize).into_iter().flatten() {
            let job = &self.jobs[*job];
            if let State::Stopping { placement, .. } = &job.state {
                let here = placement
                    .members
                    .iter()
                    .filter(|member| member.worker == key);
                here.for_each(|member| sum += job.spec.each.scaled(member.tasks));
            }
        }
        sum
    }

    fn candidates(&self, missing: &[(fleet::Key, Resources)]) -> Vec<reclaim::Candidate<JobKey>> {
        let mut keys: Vec<JobKey> = Vec::new();
        for (worker, _amount) in missing {
            let here = self.residents.get(worker.0 as usize).into_iter().flatten();
            keys.extend(here.filter(|key| self.jobs[**key].is_reclaimable()));
        }
        keys.sort_unstable();
        keys.dedup();
        keys.into_iter().map(|key| self.candidate(key)).collect()
    }

    pub(super) fn candidate(&self, key: JobKey) -> reclaim::Candidate<JobKey> {
        let job = &self.jobs[key];
        let each = job.spec.each;
        let members = job
            .state
            .placement()
            .map(|placement| placement.members.as_slice());
        let holds = members
            .unwrap_or_default()
            .iter()
            .map(|member| (member.worker, each.scaled(member.tasks)))
            .collect();
        let ran = self.now.saturating_sub(job.started_ms) + 1;
        let mut cost = ran * u64::from(job.accelerators().max(1));
        if !job.spec.repeatable {
            cost += NOT_REPEATABLE_COST;
        }
        reclaim::Candidate {
            job: key,
            holds,
            cost,
        }
    }

    pub(super) fn commit_claim<G: Gate>(
        &mut self,
        key: JobKey,
        placement: event::Placement,
        victims: &[JobKey],
        moved: bool,
        gate: &mut G,
    ) {
        let id = self.jobs[key].spec.id;
        for victim in victims {
            let reason = self.yield_reason(*victim, id, placement.claims.first());
            self.reclaim(*victim, reason);
        }
        self.leave_queue(key, &placement, gate);
        self.occupy(key, &placement);
        let crowded = placement.members.iter().any(|member| {
            self.fleet
                .get(member.worker)
                .is_none_or(fleet::Worker::is_crowded)
        });
        if !crowded {
            self.start(key, placement, |job, placement, now| Reason::Guaranteed {
                shapes: shapes(placement),
                waited_ms: now.saturating_sub(job.spec.submitted_ms),
                stopped: Vec::new(),
                moved,
            });
            return;
        }
        let stopping = victims
            .iter()
            .map(|victim| self.jobs[*victim].spec.id)
            .collect();
        self.jobs[key].state = State::Claiming {
            placement,
            stopping,
        };
        self.claiming.push(key);
    }

    fn leave_queue<G: Gate>(&mut self, key: JobKey, placement: &event::Placement, gate: &mut G) {
        let job = &self.jobs[key];
        self.accounts[job.account]
            .waiting
            .retain(|waiting| *waiting != key);
        let worker = placement
            .members
            .first()
            .and_then(|member| self.fleet.get(member.worker));
        if let Some(worker) = worker {
            gate.take(&job.spec, &self.fleet.region(worker.region).name);
        }
    }

    /// Gives quarantined workers a job that may fail.
    fn probes<G: Gate>(&mut self, gate: &mut G) {
        for worker_key in self.health.due(self.now) {
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
                    && self.regions(job, gate).contains(&region)
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
            self.health.probing(worker_key, self.now);
            let tasks = self.jobs[key].spec.tasks;
            let members = vec![event::Member {
                worker: worker_key,
                tasks,
            }];
            self.lend(key, members, &gang::Cost::default(), gate);
        }
    }

    fn lend<G: Gate>(
        &mut self,
        key: JobKey,
        members: Vec<event::Member>,
        cost: &gang::Cost,
        gate: &mut G,
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
            .filter(|found| found.job != key)
        {
            reservation.took(&placement.members, &each, ends_ms);
            backfilled =
                backfilled.or_else(|| self.jobs.get(reservation.job).map(|job| job.spec.id));
        }
        self.leave_queue(key, &placement, gate);
        self.occupy(key, &placement);
        let fragments = cost.gangs;
        self.start(key, placement, |job, _placement, now| Reason::Borrowed {
            waited_ms: now.saturating_sub(job.spec.submitted_ms),
            share_ppm,
            backfilled,
            fragments,
        });
    }

    /// First come, first fit; the first that does not fit holds up all behind it.
    fn borrow_in_order<G: Gate>(&mut self, gate: &mut G) {
        let mut order: Vec<JobKey> = self
            .accounts
            .iter()
            .flat_map(|account| account.waiting.iter().copied())
            .collect();
        order.sort_by_key(|key| self.arrival(*key));
        for key in order {
            let job = &self.jobs[key];
            let regions = self.regions(job, gate);
            let found = gang::first_fit(&self.fleet, &self.ask(job, &regions));
            let Some(members) = found else { return };
            self.lend(key, members, &gang::Cost::default(), gate);
        }
    }

    fn ask<'a>(&'a self, job: &Job, regions: &'a [fleet::RegionKey]) -> gang::Ask<'a> {
        gang::Ask {
            tasks: job.spec.tasks,
            each: job.spec.each,
            within: job.spec.within,
            regions,
            big: self.big.as_ref(),
            may_cost: self.may_cost(job),
        }
    }

    /// Places for the largest guaranteed shape that a job may take.
    fn may_cost(&self, job: &Job) -> u32 {
        match &self.big {
            Some(big) if self.is_careful(job) => {
                let kept = self.config.weights.fragmentation / KEEP_WEIGHT;
                measure::gangs(&self.fleet, big).saturating_sub(kept)
            }
            _ => u32::MAX,
        }
    }

    /// Whether a job leaves the last places for the largest guaranteed shape free, as far as
    /// fragmentation weighs: narrow jobs do, until they have waited long.
    fn is_careful(&self, job: &Job) -> bool {
        if self.policy == Policy::Fifo || self.config.weights.fragmentation < KEEP_WEIGHT {
            return false;
        }
        let waited_ms = self.now.saturating_sub(job.spec.submitted_ms);
        let patience_ms = (self.expected_ms(job) * KEEP_PATIENCE).max(RESERVE_FLOOR_MS);
        !self.is_wide(job) && !job.spec.urgent && waited_ms <= patience_ms
    }

    /// Whether a gang is large enough to be what fragmentation starves.
    fn is_wide(&self, job: &Job) -> bool {
        let width = self
            .big
            .as_ref()
            .map_or(0, |big| big.workers * big.each.accelerators);
        job.accelerators() * WIDE_PART >= width
    }

    fn borrow_fairly<G: Gate>(&mut self, gate: &mut G) {
        self.serve_reservations(gate);
        let mut queues: Vec<(usize, std::vec::IntoIter<JobKey>)> = (0..self.accounts.len())
            .filter(|at| !self.accounts[*at].waiting.is_empty())
            .map(|at| (at, self.sorted(at).into_iter()))
            .collect();
        let total = self.fleet.total();
        loop {
            queues.retain(|(_at, queue)| !queue.as_slice().is_empty());
            let next = queues
                .iter_mut()
                .min_by_key(|(at, _queue)| (self.accounts[*at].share_ppm(&total), *at));
            let Some(key) = next.and_then(|(_at, queue)| queue.next()) else {
                break;
            };
            self.try_lend(key, gate);
        }
    }

    /// Places a job on what is free; returns whether it did.
    fn try_lend<G: Gate>(&mut self, key: JobKey, gate: &mut G) -> bool {
        let Some(job) = self.jobs.get(key).filter(|job| job.is_waiting()) else {
            return false;
        };
        let regions = self.regions(job, gate);
        let class = self.class(job, &regions);
        let memorable = job.bad.is_empty();
        let failed = self.blocked.get(&class);
        if memorable && failed.is_some_and(|tasks| *tasks <= job.spec.tasks) {
            return false;
        }
        let ends_ms = self.now + self.expected_ms(job);
        let others: Vec<&reserve::Reservation<JobKey>> = self
            .reservations
            .iter()
            .filter(|found| found.job != key)
            .collect();
        let room = |worker: fleet::Key, entry: &fleet::Worker| {
            if job.bad.contains(&worker) {
                return Resources::default();
            }
            let lendable = entry.lendable();
            others
                .iter()
                .fold(lendable, |room, found| found.room(worker, room, ends_ms))
        };
        let found = gang::plan(&self.fleet, &self.ask(job, &regions), room);
        let Some((members, cost)) = found else {
            if memorable {
                self.blocked.insert(class, job.spec.tasks);
            }
            return false;
        };
        self.lend(key, members, &cost, gate);
        true
    }

    /// Starts gangs with a reservation that fit by now; renews the reservations of the others.
    fn serve_reservations<G: Gate>(&mut self, gate: &mut G) {
        let held: Vec<JobKey> = self.reservations.iter().map(|found| found.job).collect();
        for key in held {
            let waits = self.jobs.get(key).is_some_and(Job::is_waiting);
            if !waits || self.try_lend(key, gate) {
                self.reservations.retain(|found| found.job != key);
                self.blocked.clear();
            }
        }
        let passed = self.reservations.iter().any(|found| found.date <= self.now);
        let due = self.forecast_stale || passed;
        if !due || self.now < self.forecast_ms + FORECAST_MS {
            return;
        }
        self.forecast_stale = false;
        self.forecast_ms = self.now;
        let had = !self.reservations.is_empty();
        self.reservations.clear();
        if had {
            self.blocked.clear();
        }
        for key in self.overdue() {
            if self.reservations.len() == MAX_RESERVATIONS {
                break;
            }
            if !self.try_lend(key, gate) {
                let found = self.forecast(key, gate);
                self.reservations.extend(found);
            }
        }
    }

    /// Waiting gangs that have waited long for their expected run time, the longest first.
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
                let patience_ms = self.expected_ms(job) * RESERVE_AFTER_PERCENT / 100;
                let patience_ms = patience_ms.max(RESERVE_FLOOR_MS);
                (waited_ms >= patience_ms).then_some((waited_ms * 1_000 / patience_ms, key))
            })
            .collect();
        overdue.sort_by_key(|(ratio, key)| (std::cmp::Reverse(*ratio), self.arrival(*key)));
        overdue.into_iter().map(|(_ratio, key)| key).collect()
    }

    pub(super) fn forecast<G: Gate>(
        &self,
        key: JobKey,
        gate: &G,
    ) -> Option<reserve::Reservation<JobKey>> {
        let job = self.jobs.get(key)?;
        let regions = self.regions(job, gate);
        let mut running: Vec<reserve::Running<'_>> = self
            .jobs
            .values()
            .filter(|other| !other.is_waiting())
            .filter_map(|other| {
                let rest_ms = match other.state {
                    State::Running { .. } => {
                        estimate::rest_ms(self.expected_ms(other), other.started_ms, self.now)
                    }
                    State::Claiming { .. } => self.expected_ms(other),
                    State::Stopping { .. } | State::Waiting => super::RECLAIM_GRACE_MS,
                };
                Some(reserve::Running {
                    ends_ms: self.now + rest_ms,
                    members: &other.state.placement()?.members,
                    each: other.spec.each,
                })
            })
            .collect();
        let held = &self.reservations;
        reserve::forecast(
            &self.fleet,
            &self.ask(job, &regions),
            key,
            &mut running,
            held,
        )
    }
}

fn shapes(placement: &event::Placement) -> Vec<u32> {
    placement.claims.iter().map(|claim| claim.shape).collect()
}
