//! The scheduling core: takes the current time and events and returns decisions.

mod borrow;
mod consolidate;
mod dispatch;
mod explain;
mod lifecycle;

use std::sync::Arc;

use crate::config::{self, Resources};
use crate::estimate;
use crate::estimate::mean::Mean;
use crate::map;
use crate::sched::event::{self, Decision, Event, Reason, Router};
use crate::sched::fleet;
use crate::sched::guarantee;
use crate::sched::health;
use crate::sched::queue;
use crate::sched::reserve;
use crate::sched::{JobId, Millis};

slotmap::new_key_type! {
    /// Key of a job in the arena.
    pub struct JobKey;
}

/// Grace period of a reclaimed gang between throttling and stopping.
pub const RECLAIM_GRACE_MS: Millis = 1_000;

/// Order in which waiting jobs are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By dominant shares, with reservations and regard to fragmentation.
    #[default]
    Fair,
    /// First come, first fit, with the same guarantees; a baseline for comparisons.
    Fifo,
}

/// State of a job that has not ended.
#[derive(Clone, Debug)]
enum State {
    Waiting,
    /// Its workers are assigned, but the gangs that must leave them have not stopped yet.
    Claiming {
        placement: event::Placement,
        stopping: Vec<JobId>,
    },
    Running {
        placement: event::Placement,
    },
    Stopping {
        placement: event::Placement,
        cause: event::Cause,
    },
}

impl State {
    fn placement(&self) -> Option<&event::Placement> {
        match self {
            Self::Waiting => None,
            Self::Claiming { placement, .. }
            | Self::Running { placement }
            | Self::Stopping { placement, .. } => Some(placement),
        }
    }
}

/// A job that has not ended.
#[derive(Clone, Debug)]
struct Job {
    spec: event::Spec,
    /// Index in `Scheduler::accounts`.
    account: usize,
    estimate: estimate::Key,
    state: State,
    started_ms: Millis,
    attempts: u32,
    /// Workers on which it failed; borrowed placements avoid them.
    failed_workers: Vec<event::WorkerKey>,
    throttled: bool,
}

impl Job {
    fn accelerators(&self) -> u32 {
        self.spec.each.accelerators * self.spec.tasks
    }

    /// Returns the resources that its gang holds on a worker.
    fn held_on(&self, worker: event::WorkerKey) -> Resources {
        let members = self
            .state
            .placement()
            .map(|placement| placement.members.iter());
        let here = members
            .into_iter()
            .flatten()
            .filter(|member| member.worker == worker);
        let tasks = here.map(|member| member.tasks).sum();
        self.spec.each.scaled(tasks)
    }

    fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting)
    }

    /// Reports whether it is a running borrowed gang; only these may be reclaimed.
    fn is_reclaimable(&self) -> bool {
        matches!(&self.state, State::Running { placement } if !placement.is_guaranteed())
    }
}

/// Placement constraints shared by jobs that differ only in their number of tasks.
///
/// When a number of tasks of a class does not fit, a larger number does not fit either.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Class {
    each: Resources,
    within: config::Within,
    /// One bit for each region that admits the job.
    regions: u64,
    /// Number of reservations whose start the job would run past.
    overrun_reservations: usize,
    /// Whether the job must leave some placements of the largest guaranteed shape free.
    preserve_largest: bool,
}

/// Numbers of decisions so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub placed: u64,
    pub ended_with_error: u64,
    pub stopped: u64,
    pub requeued: u64,
}

/// Returns the key under which the run times of an account's service are learned.
fn estimate_key(account: &str, service: &str) -> estimate::Key {
    estimate::Key::new(&[account, service], 0)
}

/// State of the scheduling core.
#[derive(Clone, Debug)]
pub struct Scheduler {
    policy: Policy,
    now: Millis,
    config: Arc<config::Config>,
    largest_shape: Option<config::Shape>,
    fleet: fleet::Fleet,
    guarantees: guarantee::Table,
    estimates: estimate::Table,
    health: health::Tracker,
    jobs: slotmap::SlotMap<JobKey, Job>,
    job_keys: map::Map<JobId, JobKey>,
    accounts: Vec<queue::Account<JobKey>>,
    account_indexes: map::Map<String, usize>,
    /// Jobs that hold resources on each worker, by worker key.
    residents: Vec<Vec<JobKey>>,
    /// Jobs in `State::Claiming`, oldest claim first.
    claiming: Vec<JobKey>,
    /// Smallest number of tasks of each class that did not fit.
    unplaceable: map::Map<Class, u32>,
    /// Smallest number of tasks, by account and class, that the account's guarantees did not hold.
    unclaimable: map::Map<(usize, Class), u32>,
    /// Reservations, first that of the gang that has waited longest relative to its run time.
    reservations: Vec<reserve::Reservation<JobKey>>,
    forecast_stale: bool,
    last_forecast_ms: Millis,
    /// Whether resources or cells were freed since the flag was last cleared.
    has_freed_capacity: bool,
    shortfalls: Vec<guarantee::Shortfall>,
    counts: Counts,
    decisions: Vec<Decision>,
}

impl Scheduler {
    /// Creates a scheduler without workers, accounts or jobs.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            now: 0,
            config: Arc::default(),
            largest_shape: None,
            fleet: fleet::Fleet::default(),
            guarantees: guarantee::Table::default(),
            estimates: estimate::Table::default(),
            health: health::Tracker::default(),
            jobs: slotmap::SlotMap::with_key(),
            job_keys: map::Map::default(),
            accounts: Vec::new(),
            account_indexes: map::Map::default(),
            residents: Vec::new(),
            claiming: Vec::new(),
            unplaceable: map::Map::default(),
            unclaimable: map::Map::default(),
            reservations: Vec::new(),
            forecast_stale: true,
            last_forecast_ms: 0,
            has_freed_capacity: false,
            shortfalls: Vec::new(),
            counts: Counts::default(),
            decisions: Vec::new(),
        }
    }

    /// Applies a batch of events, runs one scheduling pass and returns its decisions.
    pub fn step<R: Router>(
        &mut self,
        now: Millis,
        events: impl IntoIterator<Item = Event>,
        router: &mut R,
    ) -> Vec<Decision> {
        self.now = self.now.max(now);
        for event in events {
            self.apply(event, router);
        }
        self.dispatch(router);
        self.shortfalls = self.guarantees.shortfalls();
        std::mem::take(&mut self.decisions)
    }

    fn apply<R: Router>(&mut self, event: Event, router: &mut R) {
        match event {
            Event::Configure(config) => self.configure(config),
            Event::WorkerUp(worker) => self.worker_up(&worker),
            Event::WorkerDown(key) => self.worker_down(key, router),
            Event::Submit(spec) => self.submit(spec),
            Event::Adopt {
                spec,
                placement,
                started_ms,
                attempts,
                stopping,
            } => {
                self.adopt(spec, placement, started_ms, attempts, stopping);
            }
            Event::Ended { job, end, run_ms } => self.on_ended(job, end, run_ms),
            Event::Cancel { job, kind } => self.cancel(job, kind, router),
            Event::Usage(usage) => self.on_usage(&usage),
            Event::Tick => {}
        }
    }

    /// Adds the run time of a job that ended under an earlier leader to the estimates.
    pub fn observe_run(
        &mut self,
        account: &str,
        service: &str,
        declared_ms: Millis,
        run_ms: Millis,
    ) {
        let key = estimate_key(account, service);
        self.estimates.observe_single(key, declared_ms, run_ms);
    }

    /// Restores a quarantine recorded under an earlier leader; the next probe is due at once.
    pub fn adopt_quarantine(&mut self, worker: event::WorkerKey) {
        self.health.adopt(worker, self.now);
        if let Some(entry) = self.fleet.get_mut(worker) {
            entry.state = fleet::State::Quarantined;
        }
        self.guarantees
            .unbind_worker(&mut self.fleet, worker, false);
    }

    /// Returns the workers and their resources in use.
    pub fn fleet(&self) -> &fleet::Fleet {
        &self.fleet
    }

    /// Returns the guaranteed gangs and their cells.
    pub fn guarantees(&self) -> &guarantee::Table {
        &self.guarantees
    }

    /// Returns the guaranteed gangs that had unbound cells after the last pass.
    pub fn shortfalls(&self) -> &[guarantee::Shortfall] {
        &self.shortfalls
    }

    /// Returns the numbers of decisions so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of waiting jobs, including those whose workers are being vacated.
    pub fn waiting_count(&self) -> usize {
        let queued: usize = self
            .accounts
            .iter()
            .map(|account| account.waiting.len())
            .sum();
        queued + self.claiming.len()
    }

    /// Returns the placement of a job that holds resources.
    pub fn placement(&self, job: JobId) -> Option<&event::Placement> {
        self.jobs.get(*self.job_keys.get(&job)?)?.state.placement()
    }

    /// Reports whether the job is known and has not ended.
    pub fn has_job(&self, job: JobId) -> bool {
        self.job_keys.contains_key(&job)
    }

    /// Returns the index of an account, adding the account if it is new.
    fn account_index(&mut self, name: &str) -> usize {
        if let Some(index) = self.account_indexes.get(name) {
            return *index;
        }
        let index = self.accounts.len();
        let declared = self.config.accounts.get(name);
        self.accounts.push(queue::Account {
            name: name.to_owned(),
            weight: declared.map_or(1, |account| account.weight),
            limit: declared.map_or(u32::MAX, |account| account.queue),
            waiting: Vec::new(),
            used: Resources::default(),
        });
        self.account_indexes.insert(name.to_owned(), index);
        index
    }

    fn expected_ms(&self, job: &Job) -> Millis {
        let none = Mean::default();
        let estimate = self
            .estimates
            .estimate(job.estimate, job.spec.declared_ms, &none);
        estimate.expected_ms.max(1)
    }

    /// Allocates the resources of a gang.
    fn occupy(&mut self, key: JobKey, placement: &event::Placement) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let each = job.spec.each;
        let account = job.account;
        self.fleet.allocate(&placement.members, &each);
        if placement.is_guaranteed() {
            let name = &self.accounts[account].name;
            self.guarantees
                .allocate(&mut self.fleet, name, &placement.claims, each);
        }
        for member in &placement.members {
            let index = member.worker.0 as usize;
            if self.residents.len() <= index {
                self.residents.resize_with(index + 1, Vec::new);
            }
            self.residents[index].push(key);
            self.accounts[account].used += each.scaled(member.tasks);
        }
    }

    /// Releases the resources of a gang.
    fn vacate(&mut self, key: JobKey, placement: &event::Placement) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let each = job.spec.each;
        let account = job.account;
        self.fleet.release(&placement.members, &each);
        if placement.is_guaranteed() {
            let name = &self.accounts[account].name;
            self.guarantees
                .release(&mut self.fleet, name, &placement.claims, each);
        }
        for member in &placement.members {
            self.residents[member.worker.0 as usize].retain(|resident| *resident != key);
            self.accounts[account].used -= each.scaled(member.tasks);
        }
        self.on_capacity_freed();
    }

    /// Clears the records of what did not fit, since it may fit now.
    fn on_capacity_freed(&mut self) {
        self.unplaceable.clear();
        self.unclaimable.clear();
        self.forecast_stale = true;
        self.has_freed_capacity = true;
    }

    fn push_end(&mut self, job: JobId, kind: Option<crate::error::Kind>, reason: Reason) {
        if kind.is_some() {
            self.counts.ended_with_error += 1;
        }
        self.decisions.push(Decision::End { job, kind, reason });
    }

    /// Removes a job that has ended.
    fn remove(&mut self, key: JobKey) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.job_keys.remove(&job.spec.id);
        self.accounts[job.account]
            .waiting
            .retain(|waiting| *waiting != key);
        self.claiming.retain(|claiming| *claiming != key);
        self.reservations
            .retain(|reservation| reservation.job != key);
    }
}
