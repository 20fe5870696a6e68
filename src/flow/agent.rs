//! What an agent does with the worker beside it: starts and stops runs as the leader orders,
//! extends the lease while the leader has been heard of, reports what runs and what has ended.
//!
//! The agent is the only caller of its worker and keeps nothing durable: after a restart it learns
//! what runs from the worker's own lists.

mod lease;
mod order;

pub use order::{Announcement, Effect, List, Listing, Outcome, Start, Stop};

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use crate::flow::message::{Orders, Poll, Report};
use crate::flow::planner;
use crate::flow::registry::Info;
use crate::flow::{Millis, Run, WorkerKey};
use crate::raft::Index;

/// Pause before an order without a usable answer is sent again.
const RETRY_DELAY_MS: Millis = 250;

/// The same for a stop of what may run elsewhere by now.
const URGENT_RETRY_DELAY_MS: Millis = 50;

/// Longest wait of a poll for orders.
pub const POLL_WAIT_MS: Millis = 500;

/// Longest wait of a worker's list for an end.
pub const LIST_WAIT_MS: Millis = 1_000;

/// Time after which an unanswered list counts as silence.
const RESPONSE_TIMEOUT_MS: Millis = 2_500;

/// Time from a worker's farewell to its end.
const DEREGISTRATION_GRACE_MS: Millis = 1_500;

/// Tries of a start after which the worker is given up as the place for it.
const MAX_START_ATTEMPTS: u32 = 12;

/// A run that is to be here.
#[derive(Clone, Debug)]
struct Order {
    payload: Bytes,
    checkpoint: String,
    in_flight: bool,
    accepted: bool,
    attempts: u32,
    next_attempt_ms: Millis,
}

/// A run that is not to be here.
#[derive(Clone, Copy, Debug, Default)]
struct Removal {
    in_flight: bool,
    /// When the worker confirmed the stop.
    confirmed_ms: Option<Millis>,
    next_attempt_ms: Millis,
}

/// State of an agent.
#[derive(Debug)]
pub struct Core {
    options: planner::Options,
    instance: String,
    worker: Option<Announcement>,
    /// Incarnation that the leader knows, until the worker has announced itself.
    expected: Option<Info>,
    key: Option<WorkerKey>,
    token: u64,
    /// When the last poll that was answered had been sent.
    last_grant_ms: Millis,
    index: Index,
    cursor: u64,
    /// The worker's clock, and the own one when it was read.
    worker_clock: Option<(Millis, Millis)>,
    /// When all leases are over for certain.
    lease_end_ms: Millis,
    /// Whether the leader last knew of no worker here.
    is_unknown: bool,
    /// Whether what the worker holds is void.
    is_fenced: bool,
    /// When its lease has lapsed then, on its clock.
    fence_end_ms: Option<Millis>,
    /// Whether the lease has lapsed since the worker was given up.
    fence_expired: bool,
    listing: Option<Listing>,
    /// When the call was sent that gave the lists.
    listed_ms: Millis,
    last_response_ms: Millis,
    orders: BTreeMap<Run, Order>,
    removals: BTreeMap<Run, Removal>,
    absent: BTreeSet<Run>,
    /// When the worker said farewell.
    deregistered_ms: Option<Millis>,
    /// Last look at the clock.
    last_check_ms: Millis,
    report_due: bool,
}

impl Core {
    /// Makes an agent that knows nothing yet.
    pub fn new(instance: String, options: planner::Options) -> Self {
        Self {
            options,
            instance,
            worker: None,
            expected: None,
            key: None,
            token: 0,
            last_grant_ms: 0,
            index: 0,
            cursor: 0,
            worker_clock: None,
            lease_end_ms: 0,
            is_unknown: false,
            is_fenced: false,
            fence_end_ms: None,
            fence_expired: false,
            listing: None,
            listed_ms: 0,
            last_response_ms: 0,
            orders: BTreeMap::new(),
            removals: BTreeMap::new(),
            absent: BTreeSet::new(),
            deregistered_ms: None,
            last_check_ms: 0,
            report_due: false,
        }
    }

    /// Takes what the worker says of itself. Words of an earlier incarnation, or that were
    /// overtaken, change nothing.
    pub fn on_announcement(&mut self, now: Millis, announcement: Announcement) {
        self.check_clock(now);
        let info = &announcement.info;
        match self.incarnation() {
            Some((name, incarnation)) if name == info.name && incarnation == info.incarnation => {
                let worker = self.worker.as_ref();
                if worker.is_some_and(|worker| announcement.sequence <= worker.sequence) {
                    return;
                }
            }
            Some((_name, incarnation))
                if info.incarnation < incarnation && self.is_responsive(now) =>
            {
                log::info!(worker = info.name; "an earlier incarnation's word came late");
                return;
            }
            // Orders for the incarnation before, also those expected after a restart, are void.
            Some(_other) => self.reset(),
            None => {}
        }
        if let Some(clock_ms) = announcement.clock_ms {
            self.set_worker_clock(now, clock_ms);
        }
        self.report_due |= self.worker.as_ref().is_none_or(|worker| {
            worker.draining != announcement.draining || worker.info != announcement.info
        });
        self.worker = Some(announcement);
    }

    /// Starts over with a new incarnation.
    fn reset(&mut self) {
        self.key = None;
        self.worker_clock = None;
        self.listing = None;
        self.lease_end_ms = 0;
        self.is_unknown = false;
        self.is_fenced = false;
        self.fence_end_ms = None;
        self.fence_expired = false;
        self.cursor = 0;
        self.index = 0;
        self.expected = None;
        self.deregistered_ms = None;
        self.orders.clear();
        self.removals.clear();
        self.absent.clear();
    }

    fn is_responsive(&self, now: Millis) -> bool {
        now < self.last_response_ms + RESPONSE_TIMEOUT_MS
    }

    /// The incarnation in use, by name and start.
    fn incarnation(&self) -> Option<(String, u64)> {
        let info = self.worker.as_ref().map(|worker| &worker.info);
        let info = info.or(self.expected.as_ref())?;
        Some((info.name.clone(), info.incarnation))
    }

    /// The next poll for orders.
    pub fn poll(&self) -> Poll {
        let known = self.orders.keys().copied();
        let listed = self.listing.iter().flat_map(|lists| &lists.active);
        Poll {
            instance: self.instance.clone(),
            worker: self.incarnation(),
            seen_index: self.index,
            wait_ms: POLL_WAIT_MS,
            known: known.chain(listed.map(|active| active.run)).collect(),
        }
    }

    /// Takes the answer to a poll that was sent at a time; returns what is to be done.
    pub fn on_orders(&mut self, now: Millis, sent_ms: Millis, orders: Orders) -> Vec<Effect> {
        self.check_clock(now);
        if orders.token < self.token {
            return Vec::new();
        }
        self.token = orders.token;
        let Some((key, info)) = orders.worker else {
            // Nothing that runs beside an agent is wanted where the log knows of no worker.
            self.is_unknown = true;
            return self.due_effects(now);
        };
        self.is_unknown = false;
        match &self.worker {
            None => self.expected = Some(info),
            Some(worker)
                if worker.info.name != info.name || worker.info.incarnation != info.incarnation =>
            {
                return Vec::new();
            }
            Some(_worker) => {}
        }
        self.last_grant_ms = self.last_grant_ms.max(sent_ms);
        if self.key != Some(key) {
            self.set_fenced(now, false);
        }
        self.set_fenced(now, orders.fenced);
        self.key = Some(key);
        self.index = orders.index;
        self.cursor = self.cursor.max(orders.cursor);
        let mut payloads: BTreeMap<Run, (Bytes, String)> = orders
            .starts
            .into_iter()
            .map(|start| (start.run, (start.payload, start.checkpoint)))
            .collect();
        let wanted: BTreeSet<Run> = orders.wanted.into_iter().collect();
        for run in &wanted {
            if let Some((payload, checkpoint)) = payloads.remove(run) {
                self.orders.entry(*run).or_insert(Order {
                    payload,
                    checkpoint,
                    in_flight: false,
                    accepted: false,
                    attempts: 0,
                    next_attempt_ms: 0,
                });
            }
        }
        if self.is_fenced {
            self.stop_all();
        }
        self.orders.retain(|run, _order| wanted.contains(run));
        let listed = self.listing.iter().flat_map(|lists| &lists.active);
        let unwanted = listed
            .map(|active| active.run)
            .filter(|run| !wanted.contains(run));
        let mut stops: BTreeSet<Run> = orders.stops.into_iter().chain(unwanted).collect();
        if self.is_fenced {
            // Orders without an answer may yet be carried out.
            stops.extend(self.removals.keys());
        }
        for run in &stops {
            self.removals.entry(*run).or_default();
        }
        self.removals.retain(|run, _removal| stops.contains(run));
        self.absent
            .retain(|run| stops.contains(run) || wanted.contains(run));
        self.due_effects(now)
    }

    /// The next call for the worker's lists; the first one of an incarnation does not wait.
    pub fn list(&mut self, now: Millis, wait_ms: Millis) -> Option<List> {
        self.check_clock(now);
        let (worker, _incarnation) = self.incarnation()?;
        if self.token == 0 {
            return None;
        }
        let wait_ms = if self.listing.is_none() { 0 } else { wait_ms };
        let expires_ms = self.lease_expires_ms(now);
        if expires_ms.is_some() {
            self.record_lease(now);
        }
        Some(List {
            worker,
            token: self.token,
            cursor: self.cursor,
            expires_ms,
            wait_ms,
        })
    }

    /// Takes the lists that a call sent at a time has brought; returns what is to be done.
    pub fn on_listing(&mut self, now: Millis, sent_ms: Millis, lists: Listing) -> Vec<Effect> {
        self.check_clock(now);
        let incarnation = self.incarnation().map(|(_name, incarnation)| incarnation);
        if incarnation.is_some_and(|incarnation| incarnation != lists.incarnation)
            || sent_ms < self.listed_ms
        {
            return Vec::new();
        }
        self.set_worker_clock(now, lists.clock_ms);
        let cursor = self.cursor;
        let fresh = lists.ended.iter().any(|ended| ended.number > cursor);
        let old = self.listing.as_ref();
        let runs = |lists: &Listing| -> BTreeSet<Run> {
            lists.active.iter().map(|active| active.run).collect()
        };
        self.report_due |=
            fresh || old.is_none_or(|old| runs(old) != runs(&lists)) || !self.is_responsive(now);
        for active in &lists.active {
            if let Some(order) = self.orders.get_mut(&active.run) {
                order.accepted = true;
            }
        }
        self.set_fenced(now, self.is_fenced);
        if self
            .fence_end_ms
            .is_some_and(|end_ms| lists.clock_ms > end_ms)
            && !self.fence_expired
        {
            self.fence_expired = true;
            self.report_due = true;
        }
        self.find_absent(sent_ms, &lists);
        self.listing = Some(lists);
        self.listed_ms = sent_ms;
        self.last_response_ms = now;
        self.due_effects(now)
    }

    /// Notes runs as absent whose stop was confirmed before the lists were asked for and that are
    /// on neither list.
    fn find_absent(&mut self, sent_ms: Millis, lists: &Listing) {
        for (run, removal) in &self.removals {
            let confirmed = removal.confirmed_ms.is_some_and(|at_ms| at_ms < sent_ms);
            let active = lists.active.iter().any(|active| active.run == *run);
            let ended = lists.ended.iter().any(|ended| ended.run == *run);
            if confirmed && !active && !ended && self.absent.insert(*run) {
                self.report_due = true;
            }
        }
    }

    /// Takes the worker's answer to a start; returns what is to be done.
    pub fn on_started(&mut self, now: Millis, run: Run, taken: Outcome) -> Vec<Effect> {
        let Some(order) = self.orders.get_mut(&run) else {
            return self.due_effects(now);
        };
        order.in_flight = false;
        match taken {
            Outcome::Accepted => order.accepted = true,
            Outcome::Superseded | Outcome::NoCapacity | Outcome::Rejected => {
                log::info!(job:% = format_args!("{:016x}", run.task.job), run = run.number; "start not taken: {taken:?}");
                self.removals.entry(run).or_default();
            }
            Outcome::Fenced
            | Outcome::Expired
            | Outcome::Busy
            | Outcome::WrongWorker
            | Outcome::Unknown => {
                log::info!(job:% = format_args!("{:016x}", run.task.job), run = run.number; "start not confirmed: {taken:?}");
                order.attempts += 1;
                order.next_attempt_ms = now + RETRY_DELAY_MS;
                if order.attempts >= MAX_START_ATTEMPTS {
                    self.removals.entry(run).or_default();
                }
            }
        }
        self.due_effects(now)
    }

    /// Takes the worker's answer to a stop; returns what is to be done.
    pub fn on_stopped(&mut self, now: Millis, run: Run, confirmed: bool) -> Vec<Effect> {
        let urgent = self.is_fenced || self.is_unknown || self.may_be_declared_lost(now);
        if let Some(removal) = self.removals.get_mut(&run) {
            removal.in_flight = false;
            if confirmed {
                removal.confirmed_ms = Some(now);
            }
            removal.next_attempt_ms = now
                + if urgent {
                    URGENT_RETRY_DELAY_MS
                } else {
                    RETRY_DELAY_MS
                };
        }
        self.due_effects(now)
    }

    /// Whether a list is wanted at once, for a stop that has been confirmed.
    pub fn needs_listing(&self) -> bool {
        let open = self.removals.iter();
        open.filter(|(run, _removal)| !self.absent.contains(run))
            .any(|(_run, removal)| removal.confirmed_ms.is_some())
    }

    /// Whether ends are listed that the leader has not taken note of; the worker answers at once as
    /// long as there are some.
    pub fn has_unacknowledged_ends(&self) -> bool {
        let ended = self.listing.iter().flat_map(|lists| &lists.ended);
        ended.into_iter().any(|ended| ended.number > self.cursor)
    }

    /// Stops all that runs and all that may have been started.
    fn stop_all(&mut self) {
        let listed = self.listing.iter().flat_map(|lists| &lists.active);
        let runs = self.orders.keys().copied();
        for run in runs.chain(listed.map(|active| active.run)) {
            self.removals.entry(run).or_default();
        }
    }

    /// Orders whose time has come.
    pub fn due_effects(&mut self, now: Millis) -> Vec<Effect> {
        self.check_clock(now);
        let mut effects = Vec::new();
        let Some((worker, _incarnation)) = self.incarnation() else {
            return effects;
        };
        if self.listing.is_none() {
            return effects;
        }
        if self.may_be_declared_lost(now) || self.is_fenced || self.is_unknown {
            self.stop_all();
        }
        let Some(lists) = &self.listing else {
            return effects;
        };
        let listed = |run: &Run| {
            lists.active.iter().any(|active| active.run == *run)
                || lists.ended.iter().any(|ended| ended.run == *run)
        };
        let leaving = self.worker.as_ref().is_some_and(|worker| worker.draining);
        let expires_ms = self.lease_expires_ms(now);
        let mut refused = Vec::new();
        for (run, order) in &mut self.orders {
            let gone = self.removals.contains_key(run) || self.absent.contains(run);
            if order.in_flight
                || order.accepted
                || gone
                || listed(run)
                || now < order.next_attempt_ms
            {
                continue;
            }
            if leaving {
                refused.push(*run);
                continue;
            }
            let Some(expires_ms) = expires_ms else {
                continue;
            };
            order.in_flight = true;
            effects.push(Effect::Start(Box::new(Start {
                worker: worker.clone(),
                run: *run,
                payload: order.payload.clone(),
                checkpoint: order.checkpoint.clone(),
                expires_ms,
                token: self.token,
            })));
        }
        for run in refused {
            self.removals.entry(run).or_default();
        }
        for (run, removal) in &mut self.removals {
            let ended = lists.ended.iter().any(|ended| ended.run == *run);
            let started = self.orders.get(run).is_some_and(|order| order.in_flight);
            let done = self.absent.contains(run) || ended || removal.confirmed_ms.is_some();
            if removal.in_flight || started || done || now < removal.next_attempt_ms {
                continue;
            }
            removal.in_flight = true;
            effects.push(Effect::Stop(Stop {
                worker: worker.clone(),
                run: *run,
                token: self.token,
            }));
        }
        if !effects.is_empty() && expires_ms.is_some() {
            self.record_lease(now);
        }
        effects
    }

    /// Whether there is something that the leader should hear at once.
    pub fn has_urgent_report(&self) -> bool {
        self.report_due && self.incarnation().is_some()
    }

    /// Whether nothing of the incarnation can run any more.
    fn has_expired(&self, now: Millis, responsive: bool) -> bool {
        let lapsed = self.listing.is_some() && !responsive && now > self.lease_end_ms;
        let left = self
            .deregistered_ms
            .is_some_and(|at_ms| now > at_ms + DEREGISTRATION_GRACE_MS);
        lapsed || left
    }

    /// Notes that a report did not arrive.
    pub fn retry_report(&mut self) {
        self.report_due = true;
    }

    /// Takes the worker's farewell; what is left of it ends within moments.
    pub fn on_deregistered(&mut self, now: Millis, name: &str) {
        if let Some(worker) = self
            .worker
            .as_mut()
            .filter(|worker| worker.info.name == name)
        {
            worker.draining = true;
            self.deregistered_ms = Some(now);
            self.report_due = true;
        }
    }

    /// What the leader is to know; nothing before a worker is known.
    pub fn report(&mut self, now: Millis) -> Option<Report> {
        self.check_clock(now);
        let worker = self.worker.clone();
        let info = worker
            .as_ref()
            .map(|worker| worker.info.clone())
            .or_else(|| self.expected.clone())?;
        self.report_due = false;
        let lists = self.listing.clone().unwrap_or_default();
        let responsive = self.listing.is_some() && self.is_responsive(now);
        Some(Report {
            instance: self.instance.clone(),
            info,
            draining: worker.as_ref().is_some_and(|worker| worker.draining),
            remaining_ms: worker.map_or(0, |worker| worker.remaining_ms),
            responsive,
            age_ms: now.saturating_sub(self.last_response_ms),
            expired: self.has_expired(now, responsive),
            active: lists.active,
            ended: lists
                .ended
                .into_iter()
                .filter(|ended| ended.number > self.cursor)
                .collect(),
            absent: self.absent.iter().copied().collect(),
            unfence: self.key.filter(|_key| self.fence_expired),
        })
    }
}
