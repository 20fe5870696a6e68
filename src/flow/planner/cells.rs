//! Cells: parts of workers that are kept for guarantees. Runs that are covered by a guarantee are not
//! preempted, so they are placed where the whole guarantee of each other account still finds its cells.

use crate::flow::catalog::Account;
use crate::flow::fleet::Service;
use crate::flow::job::{Amount, Step};
use crate::flow::place::Scope;
use crate::flow::planner::Planner;
use crate::flow::planner::pass::{Context, Placement};
use crate::flow::planner::search::Search;
use crate::flow::{UnitId, WorkerKey};
use crate::map;
use crate::telemetry;

/// What one account may cover on each worker of a service, until another account's unit is placed.
#[derive(Debug, Default)]
pub(super) struct Spare {
    account: String,
    service: String,
    amounts: map::Map<WorkerKey, Amount>,
}

impl Spare {
    /// Returns how many tasks of a covered unit a worker may take.
    pub fn max_tasks(&self, key: WorkerKey, per_task: &Amount, tasks: u32) -> u32 {
        let spare = self.amounts.get(&key).copied().unwrap_or_default();
        spare.count_fitting(per_task, u64::from(tasks)) as u32
    }

    /// Subtracts the tasks of a unit that was placed, or has claimed capacity, on these workers.
    pub fn subtract(&mut self, workers: &[WorkerKey], per_task: &Amount) {
        for key in workers {
            if let Some(spare) = self.amounts.get_mut(key) {
                *spare = spare.minus(per_task);
            }
        }
    }
}

/// Position of an account in the catalog.
type AccountIndex = usize;

/// What an account has on a worker.
#[derive(Clone, Copy, Debug, Default)]
struct Holding {
    /// Held by covered runs, or claimed for covered units.
    used: Amount,
    /// Kept. The account's own runs are inside as far as they fit.
    cells: Amount,
}

impl Holding {
    fn committed(&self) -> Amount {
        self.used.max(&self.cells)
    }

    /// Returns the holding with another cell.
    fn with_cell(&self, cell: &Amount) -> Self {
        Self {
            cells: self.cells.plus(cell),
            ..*self
        }
    }
}

/// Holdings of the accounts that have any.
#[derive(Clone, Debug, Default)]
struct Holdings(Vec<(AccountIndex, Holding)>);

impl Holdings {
    fn get(&self, account: AccountIndex) -> Holding {
        let mut holdings = self.0.iter();
        let found = holdings.find(|(other, _holding)| *other == account);
        found.map_or(Holding::default(), |(_account, holding)| *holding)
    }

    fn set(&mut self, account: AccountIndex, holding: Holding) {
        match self
            .0
            .iter_mut()
            .find(|(other, _holding)| *other == account)
        {
            Some((_account, known)) => *known = holding,
            None => self.0.push((account, holding)),
        }
    }

    fn use_more(&mut self, account: AccountIndex, amount: &Amount) {
        let holding = self.get(account);
        let used = holding.used.plus(amount);
        self.set(account, Holding { used, ..holding });
    }

    /// Returns what covered runs hold, whatever their account.
    fn used(&self) -> Amount {
        let holdings = self.0.iter();
        holdings.fold(Amount::default(), |sum, (_account, holding)| {
            sum.plus(&holding.used)
        })
    }
}

/// A worker while cells are assigned.
struct Room {
    key: WorkerKey,
    total: Amount,
    /// What no account has.
    left: Amount,
    /// Free accelerators and millicores, whoever has them.
    free: (u64, u64),
    holdings: Holdings,
}

impl Room {
    /// Returns what a cell takes of what is left, or nothing if it does not fit.
    fn needed(&self, account: AccountIndex, accelerators: u64) -> Option<Amount> {
        if accelerators > self.total.accelerators {
            return None;
        }
        let holding = self.holdings.get(account);
        let committed = holding
            .with_cell(&self.total.share(accelerators))
            .committed();
        let needed = committed.minus(&holding.committed());
        self.left.fits(&needed).then_some(needed)
    }

    fn add(&mut self, account: AccountIndex, accelerators: u64, needed: &Amount) {
        let holding = self.holdings.get(account);
        let cell = self.total.share(accelerators);
        self.holdings.set(account, holding.with_cell(&cell));
        self.left = self.left.minus(needed);
    }
}

/// Assigns a cell with as many accelerators as fit, up to the given number: first where the account's own
/// runs are, then on the worker with the least left, and of several on the one with the least free
/// capacity, so that what is free can be used. Returns the number of its accelerators.
fn assign(rooms: &mut [Room], account: AccountIndex, accelerators: u64) -> u64 {
    for accelerators in (1..=accelerators).rev() {
        let fitting = rooms.iter_mut().filter_map(|room| {
            let needed = room.needed(account, accelerators)?;
            let rank = (
                needed.accelerators,
                room.left.accelerators,
                room.free,
                room.key,
            );
            Some((rank, needed, room))
        });
        if let Some((_rank, needed, room)) = fitting.min_by_key(|(rank, _needed, _room)| *rank) {
            room.add(account, accelerators, &needed);
            return accelerators;
        }
    }
    0
}

/// Assigns the cells of all guarantees, the largest first: whole workers, and a rest for each account.
/// Returns the accelerators of each cell, in an order that depends on the workers' totals and the accounts
/// only.
fn assign_all(rooms: &mut [Room], accounts: &[Account]) -> Vec<u64> {
    let totals = rooms.iter().map(|room| room.total.accelerators);
    let largest = totals.clone().max().unwrap_or(0);
    let all = totals.fold(0, u64::saturating_add);
    let mut cells: Vec<(u64, AccountIndex)> = Vec::new();
    for (index, account) in accounts.iter().enumerate() {
        let mut remaining = account.guaranteed.min(all);
        while remaining > 0 {
            let cell = remaining.min(largest);
            cells.push((cell, index));
            remaining -= cell;
        }
    }
    cells.sort_unstable_by_key(|(accelerators, index)| (std::cmp::Reverse(*accelerators), *index));
    let cells = cells.into_iter();
    cells
        .map(|(accelerators, index)| assign(rooms, index, accelerators))
        .collect()
}

impl Planner {
    /// Works out what a covered unit's account may cover on its service's workers, so that the guarantees
    /// of all others find their cells there, unless that is known. The account's cells stay where the unit
    /// had its claim.
    pub(super) fn update_spare(&self, context: &mut Context, id: UnitId, claimed: &[WorkerKey]) {
        let Some((job, step)) = self.projected.step(id) else {
            return;
        };
        let (account, service) = (&job.account, &job.queue.service);
        let known = context.spare.as_ref();
        let is_known =
            known.is_some_and(|known| known.account == *account && known.service == *service);
        if is_known && claimed.is_empty() {
            return;
        }
        let Some(workers) = self.fleet.service(service) else {
            return;
        };
        let index = self.account_index(account);
        let mut covered = self.covered(context);
        let mut released: map::Map<WorkerKey, Amount> = map::Map::default();
        for key in claimed {
            covered
                .entry(*key)
                .or_default()
                .use_more(index, &step.per_task);
            let sum = released.entry(*key).or_default();
            *sum = sum.plus(&step.per_task);
        }
        let mut rooms = self.rooms(covered, workers);
        assign_all(&mut rooms, &self.projected.catalog().accounts);
        let spare = |room: Room| {
            let own = room.holdings.get(index);
            let released = released.get(&room.key).copied().unwrap_or_default();
            let used = own.used.minus(&released);
            (room.key, room.left.plus(&own.committed()).minus(&used))
        };
        context.spare = Some(Spare {
            account: account.clone(),
            service: service.clone(),
            amounts: rooms.into_iter().map(spare).collect(),
        });
    }

    /// Finds workers for a covered unit in free capacity beyond what its account may cover, if all
    /// guarantees still find cells of the same sizes beside it. Otherwise runs would be preempted while
    /// capacity is free in cells that can as well lie elsewhere.
    pub(super) fn find_beside_cells(
        &self,
        context: &Context,
        id: UnitId,
        scopes: &[Scope],
    ) -> Option<Placement> {
        let (job, step) = self.projected.step(id)?;
        let service = self.fleet.service(&job.queue.service)?;
        let index = self.account_index(&job.account);
        let search = Search::new(self, context, id, false)?;
        let mut found = scopes
            .iter()
            .filter_map(|scope| search.place(&search.request(*scope)))
            .peekable();
        found.peek()?;
        let covered = self.covered(context);
        let cells = |covered| {
            let mut rooms = self.rooms(covered, service);
            assign_all(&mut rooms, &self.projected.catalog().accounts)
        };
        let before = cells(covered.clone());
        let keeps_cells = |workers: &Vec<WorkerKey>| {
            let mut covered = covered.clone();
            for key in workers {
                let holdings = covered.entry(*key).or_default();
                holdings.use_more(index, &step.per_task);
            }
            let after = cells(covered);
            before
                .iter()
                .zip(&after)
                .all(|(before, after)| after >= before)
        };
        let workers = found.find(keeps_cells)?;
        Some((workers, Vec::new()))
    }

    /// Returns the position of an account; the same one for all that are not in the catalog.
    fn account_index(&self, name: &str) -> AccountIndex {
        let accounts = &self.projected.catalog().accounts;
        let found = accounts.iter().position(|account| account.name == name);
        found.unwrap_or(accounts.len())
    }

    fn rooms(&self, mut covered: map::Map<WorkerKey, Holdings>, service: &Service) -> Vec<Room> {
        let usable = service.workers().into_iter();
        let usable = usable.filter(|key| self.is_usable(*key));
        let room = |key| {
            let total = self.projected.worker(key)?.info.total;
            let holdings = covered.remove(&key).unwrap_or_default();
            let free = service.free(key).unwrap_or_default();
            Some(Room {
                key,
                total,
                left: total.minus(&holdings.used()),
                free: (free.accelerators, free.millicpus),
                holdings,
            })
        };
        usable.filter_map(room).collect()
    }

    /// Returns what covered runs hold of each worker, and what is claimed there for covered units. Runs
    /// that are being stopped hold nothing.
    fn covered(&self, context: &Context) -> map::Map<WorkerKey, Holdings> {
        let mut covered: map::Map<WorkerKey, Holdings> = map::Map::default();
        let mut add = |key: WorkerKey, account: AccountIndex, amount: &Amount| {
            covered.entry(key).or_default().use_more(account, amount);
        };
        for id in &context.guaranteed_jobs {
            let Some(job) = self.projected.job(*id) else {
                continue;
            };
            let account = self.account_index(&job.account);
            for ((_occurrence, step, _first), unit) in &job.units {
                let running = unit.running.as_ref();
                let running = running.filter(|running| running.stop.is_none());
                let step = job.spec.steps.get(*step as usize);
                if let Some((running, step)) = running.zip(step) {
                    let active = running.members.iter().filter(|member| member.end.is_none());
                    active.for_each(|member| add(member.worker, account, &step.per_task));
                }
            }
        }
        for (unit, claim) in &self.claims {
            if let Some((job, step)) = self.projected.step(*unit)
                && context.guaranteed_jobs.contains(&job.id)
            {
                let account = self.account_index(&job.account);
                let workers = claim.workers.iter();
                workers.for_each(|key| add(*key, account, &step.per_task));
            }
        }
        covered
    }

    /// Logs and counts a unit within a guarantee that fits on no workers, once while it waits.
    pub(super) fn log_blocked(
        &mut self,
        context: &Context,
        id: UnitId,
        step: &Step,
        service: &str,
    ) {
        if !self.blocked.insert(id) {
            return;
        }
        telemetry::BLOCKED_GUARANTEES.inc();
        let covered = self.covered(context);
        let keys = self.fleet.service(service).map(|service| service.workers());
        let usable: Vec<WorkerKey> = keys
            .into_iter()
            .flatten()
            .filter(|key| self.is_usable(*key))
            .collect();
        let left = usable.iter().filter_map(|key| {
            let total = self.projected.worker(*key)?.info.total;
            let held = covered.get(key).map(Holdings::used).unwrap_or_default();
            Some(total.minus(&held))
        });
        let left = left.fold(Amount::default(), |max, left| max.max(&left));
        let with_covered = usable.iter().filter(|key| covered.contains_key(key));
        log::warn!(job:% = format_args!("{:016x}", id.job), step = id.step, first = id.first,
            accelerators = step.per_task.accelerators, millicpus = step.per_task.millicpus,
            workers = usable.len(), covered_workers = with_covered.count(),
            most_accelerators_left = left.accelerators, most_millicpus_left = left.millicpus;
            "gang or task within a guarantee fits on no workers, even by preemption");
    }
}
