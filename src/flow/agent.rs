//! The agent's state machine: starts and stops runs on its worker as the leader orders, extends the
//! worker's lease while it has contact with the leader, and reports active and ended runs.
//!
//! The agent is the only caller of its worker and stores nothing durably. After a restart it learns
//! from the worker's own lists what is running.

mod absence;
mod evacuation;
mod incarnation;
mod lease;
mod order;
mod release;

pub use order::{Announcement, Answer, Effect, List, Listing, Outcome, Start, Stop};

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use incarnation::Candidate;

use crate::flow::message::{Orders, Poll, Report};
use crate::flow::planner;
use crate::flow::registry::Info;
use crate::flow::{Millis, Run, WorkerKey};
use crate::raft::Index;

/// Delay before a start or stop without a usable answer is sent again.
const RETRY_DELAY_MS: Millis = 250;

/// The same delay for the stop of a run that may already have been started elsewhere.
const URGENT_RETRY_DELAY_MS: Millis = 50;

/// Maximum time that the leader holds a poll for orders.
pub const POLL_WAIT_MS: Millis = 500;

/// Number of unconfirmed attempts to start a run after which the run is stopped and reported as
/// absent.
const MAX_START_ATTEMPTS: u32 = 12;

/// A run that should be active on the worker.
#[derive(Clone, Debug)]
struct Order {
    payload: Bytes,
    checkpoint: String,
    /// Whether a call to start the run has not been answered yet.
    in_flight: bool,
    /// Whether the worker has accepted the run.
    accepted: bool,
    attempts: u32,
    next_attempt_ms: Millis,
}

/// A run that should not be active on the worker.
#[derive(Clone, Copy, Debug, Default)]
struct Removal {
    /// Whether a call to stop the run has been made. The worker may refuse the run from then on.
    is_sent: bool,
    /// Whether a call to stop the run has not been answered yet.
    in_flight: bool,
    /// Time from which on requested listings show the worker after the stop, once it has confirmed that.
    confirmed_ms: Option<Millis>,
    next_attempt_ms: Millis,
}

/// State of an agent, without threads and connections.
#[derive(Debug)]
pub struct Core {
    options: planner::Options,
    instance: String,
    worker: Option<Announcement>,
    candidate: Option<Candidate>,
    /// Incarnation that the leader has registered, for use until the worker has announced itself.
    expected: Option<Info>,
    key: Option<WorkerKey>,
    /// Highest key that a worker of this agent may have had, as far as this process knows.
    highest_key: u64,
    /// Key under which the worker was seen to hold no run but those that the leader wants there.
    settled: Option<WorkerKey>,
    /// Number of incarnations that this process has controlled. Calls that were meant for an earlier one
    /// are not sent any more, and their outcomes are ignored.
    epoch: u64,
    /// Highest fencing token of the leader.
    token: u64,
    /// Time at which the last answered poll was sent; the grant starts then.
    last_grant_ms: Millis,
    index: Index,
    cursor: u64,
    /// A reading of the worker's clock, and the time on the own clock at which it was taken.
    worker_clock: Option<(Millis, Millis)>,
    /// Time after which all leases must have expired.
    lease_end_ms: Millis,
    /// Whether the leader has registered no worker for this agent, as far as it is known.
    is_unregistered: bool,
    /// Whether the leader has fenced the worker.
    is_fenced: bool,
    /// Whether the worker's failure domain is evacuated, as far as it is known.
    is_evacuated: bool,
    /// Time on the worker's clock at which the leases from before the fencing have expired.
    fence_end_ms: Option<Millis>,
    /// Whether the worker's clock has passed `fence_end_ms`.
    fence_expired: bool,
    listing: Option<Listing>,
    /// Time at which the call that returned the listing was sent.
    listed_ms: Millis,
    /// Latest time at which a listing was requested.
    requested_ms: Millis,
    /// Time at which the last listing arrived.
    last_response_ms: Millis,
    /// Time at which the last listing arrived; unlike the one above, a suspension does not move it.
    identified_ms: Millis,
    /// Runs that should be active, according to the leader.
    wanted: BTreeSet<Run>,
    orders: BTreeMap<Run, Order>,
    removals: BTreeMap<Run, Removal>,
    absent: BTreeSet<Run>,
    /// Whether the worker has deregistered.
    is_leaving: bool,
    /// Whether a later incarnation has answered under the worker's name.
    is_superseded: bool,
    /// Time of the last check for a suspension of the machine.
    last_check_ms: Millis,
    /// Whether the leader should receive a report at once.
    report_due: bool,
    /// Whether the last report said that the incarnation has ended.
    was_expired: bool,
}

impl Core {
    /// Creates an agent without a known worker.
    pub fn new(instance: String, options: planner::Options) -> Self {
        Self {
            options,
            instance,
            worker: None,
            candidate: None,
            expected: None,
            key: None,
            highest_key: 0,
            settled: None,
            epoch: 0,
            token: 0,
            last_grant_ms: 0,
            index: 0,
            cursor: 0,
            worker_clock: None,
            lease_end_ms: 0,
            is_unregistered: false,
            is_fenced: false,
            is_evacuated: false,
            fence_end_ms: None,
            fence_expired: false,
            listing: None,
            listed_ms: 0,
            requested_ms: 0,
            last_response_ms: 0,
            identified_ms: 0,
            wanted: BTreeSet::new(),
            orders: BTreeMap::new(),
            removals: BTreeMap::new(),
            absent: BTreeSet::new(),
            is_leaving: false,
            is_superseded: false,
            last_check_ms: 0,
            report_due: false,
            was_expired: false,
        }
    }

    /// Returns the next poll for orders.
    pub fn poll(&self) -> Poll {
        let known = self.orders.keys().copied();
        let listed = self.listing.iter().flat_map(|listing| &listing.active);
        Poll {
            instance: self.instance.clone(),
            worker: self.incarnation(),
            seen_index: self.index,
            wait_ms: POLL_WAIT_MS,
            known: known.chain(listed.map(|active| active.run)).collect(),
        }
    }

    /// Handles the reply to a poll that was sent at `sent_ms`. Returns the calls to make next.
    pub fn on_orders(&mut self, now: Millis, sent_ms: Millis, orders: Orders) -> Vec<Effect> {
        self.check_clock(now);
        if orders.token < self.token {
            return Vec::new();
        }
        // A new leader places nothing before it knows what runs.
        self.report_due |= orders.token > self.token;
        self.token = orders.token;
        let Some((key, info)) = orders.worker else {
            // If the log has no worker for this agent, none of the worker's runs is wanted.
            self.is_unregistered = true;
            // The worker may have been registered before, and refuses calls under lower keys then.
            self.highest_key = self.highest_key.max(orders.cursor);
            return self.due_effects(now);
        };
        self.is_unregistered = false;
        match &self.worker {
            None => {
                if self.expected.is_none() {
                    // An earlier process of this agent may have extended its lease.
                    self.record_longest_lease(now);
                }
                self.expected = Some(info);
                self.adopt_expected(now);
            }
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
        self.set_evacuated(orders.evacuated);
        self.key = Some(key);
        self.highest_key = self.highest_key.max(key.0);
        self.index = orders.index;
        self.cursor = self.cursor.max(orders.cursor);
        let mut payloads: BTreeMap<Run, (Bytes, String)> = orders
            .starts
            .into_iter()
            .map(|start| (start.run, (start.payload, start.checkpoint)))
            .collect();
        self.wanted = orders.wanted.into_iter().collect();
        let wanted = &self.wanted;
        for run in wanted {
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
        let wanted = &self.wanted;
        self.orders.retain(|run, _order| wanted.contains(run));
        let listed = self.listing.iter().flat_map(|listing| &listing.active);
        let unwanted = listed
            .map(|active| active.run)
            .filter(|run| !wanted.contains(run));
        let mut stops: BTreeSet<Run> = orders.stops.into_iter().chain(unwanted).collect();
        if self.is_fenced {
            // Starts without an answer may still be executed.
            stops.extend(self.removals.keys());
        }
        for run in &stops {
            self.removals.entry(*run).or_default();
        }
        // A run that the worker may refuse is still to be found absent, unless it goes on there.
        let listed = self.listing.iter().flat_map(|listing| &listing.active);
        let active: BTreeSet<Run> = listed.map(|active| active.run).collect();
        self.removals.retain(|run, removal| {
            let is_final = removal.is_sent && wanted.contains(run) && !active.contains(run);
            is_final || stops.contains(run)
        });
        self.absent
            .retain(|run| stops.contains(run) || wanted.contains(run));
        self.due_effects(now)
    }

    /// Returns the next call for the lists of the worker or of a candidate.
    pub fn list(&mut self, now: Millis, wait_ms: Millis) -> Option<List> {
        self.check_clock(now);
        self.requested_ms = self.requested_ms.max(now);
        if self.token == 0 {
            return None;
        }
        if let Some(probe) = self.probe(now) {
            return Some(probe);
        }
        let Some((worker, _incarnation)) = self.incarnation() else {
            return self.list_unknown();
        };
        let wait_ms = if self.lists_at_once(now) {
            0
        } else {
            wait_ms.min(self.max_list_wait_ms())
        };
        let expires_ms = self.lease_expires_ms(now);
        if expires_ms.is_some() {
            self.record_lease(now);
        }
        Some(List {
            worker,
            token: self.call_token(),
            cursor: self.acknowledged(now),
            expires_ms,
            wait_ms,
        })
    }

    /// Reports whether the next list call should be answered without waiting: as long as it is not
    /// known which worker is there and that it holds only its own runs.
    fn lists_at_once(&self, now: Millis) -> bool {
        self.listing.is_none()
            || self.candidate.is_some()
            || self.settled.is_none()
            || self.settled != self.key
            || !self.is_responsive(now)
    }

    /// Handles the listing returned by a call that was sent at `sent_ms`. Returns the calls to make
    /// next.
    pub fn on_listing(
        &mut self,
        now: Millis,
        sent_ms: Millis,
        list: &List,
        listing: Listing,
    ) -> Vec<Effect> {
        self.check_clock(now);
        if list.worker.is_empty() {
            return self.stop_unknown(&listing);
        }
        if sent_ms < self.listed_ms || !self.identify(now, sent_ms, list, &listing) {
            return Vec::new();
        }
        self.set_worker_clock(now, listing.clock_ms);
        let cursor = self.cursor;
        let has_new_ends = listing.ended.iter().any(|ended| ended.number > cursor);
        let previous = self.listing.as_ref();
        let runs = |listing: &Listing| -> BTreeSet<Run> {
            listing.active.iter().map(|active| active.run).collect()
        };
        self.report_due |= has_new_ends
            || previous.is_none_or(|previous| runs(previous) != runs(&listing))
            || !self.is_responsive(now);
        for active in &listing.active {
            if let Some(order) = self.orders.get_mut(&active.run) {
                order.accepted = true;
            }
        }
        self.set_fenced(now, self.is_fenced);
        if self
            .fence_end_ms
            .is_some_and(|end_ms| listing.clock_ms > end_ms)
            && !self.fence_expired
        {
            self.fence_expired = true;
            self.report_due = true;
        }
        self.find_absent(sent_ms, &listing);
        // An end that is not listed may be that of a run which was meant for an earlier incarnation.
        let holds_own = listing.unreadable_rows == 0
            && !listing.has_more_ends
            && listing
                .active
                .iter()
                .all(|active| self.wanted.contains(&active.run));
        if self.key.is_some()
            && self.settled != self.key
            && holds_own
            && list.token == self.call_token()
        {
            self.settled = self.key;
            self.report_due = true;
        }
        self.listing = Some(listing);
        self.listed_ms = sent_ms;
        self.last_response_ms = now;
        self.identified_ms = now;
        self.due_effects(now)
    }

    /// Handles the worker's answer to a start. Returns the calls to make next.
    pub fn on_started(&mut self, now: Millis, run: Run, outcome: Outcome) -> Vec<Effect> {
        let Some(order) = self.orders.get_mut(&run) else {
            return self.due_effects(now);
        };
        order.in_flight = false;
        match outcome {
            Outcome::Accepted => order.accepted = true,
            Outcome::Superseded | Outcome::NoCapacity | Outcome::Rejected => {
                log::info!(job:% = format_args!("{:016x}", run.task.job), run = run.number; "start rejected: {outcome:?}");
                self.removals.entry(run).or_default();
            }
            Outcome::Fenced
            | Outcome::Expired
            | Outcome::Busy
            | Outcome::WrongWorker
            | Outcome::Unknown => {
                log::info!(job:% = format_args!("{:016x}", run.task.job), run = run.number; "start not confirmed: {outcome:?}");
                order.attempts += 1;
                order.next_attempt_ms = now + RETRY_DELAY_MS;
                if order.attempts >= MAX_START_ATTEMPTS {
                    self.removals.entry(run).or_default();
                }
            }
        }
        self.due_effects(now)
    }

    /// Handles the worker's answer to a stop. Returns the calls to make next.
    pub fn on_stopped(&mut self, now: Millis, run: Run, confirmed: bool) -> Vec<Effect> {
        let is_urgent = self.is_fenced || self.is_unregistered || self.may_be_declared_lost(now);
        if let Some(removal) = self.removals.get_mut(&run) {
            removal.in_flight = false;
            if confirmed {
                // A listing that was requested in this millisecond may be from before the stop.
                removal.confirmed_ms = Some(now.max(self.requested_ms + 1));
            }
            removal.next_attempt_ms = now
                + if is_urgent {
                    URGENT_RETRY_DELAY_MS
                } else {
                    RETRY_DELAY_MS
                };
        }
        self.due_effects(now)
    }

    /// Reports whether the worker answers the next list call without waiting, as it does if its listing
    /// holds ends that the leader has not acknowledged.
    pub fn is_answered_at_once(&self, now: Millis) -> bool {
        let ended = self.listing.iter().flat_map(|listing| &listing.ended);
        let is_unacknowledged = ended.into_iter().any(|ended| ended.number > self.cursor);
        is_unacknowledged || self.lists_at_once(now)
    }

    /// Marks all runs for removal that are active or may have been started.
    fn stop_all(&mut self) {
        let listed = self.listing.iter().flat_map(|listing| &listing.active);
        let runs = self.orders.keys().copied();
        for run in runs.chain(listed.map(|active| active.run)) {
            self.removals.entry(run).or_default();
        }
    }

    /// Returns the calls to the worker that are due.
    pub fn due_effects(&mut self, now: Millis) -> Vec<Effect> {
        self.check_clock(now);
        let mut effects = Vec::new();
        let Some((worker, _incarnation)) = self.incarnation() else {
            return effects;
        };
        self.report_due |= !self.was_expired && self.has_expired(now);
        if self.listing.is_none() || self.is_superseded {
            return effects;
        }
        if self.may_be_declared_lost(now)
            || self.is_fenced
            || self.is_unregistered
            || self.is_leaving
        {
            self.stop_all();
        }
        let Some(listing) = &self.listing else {
            return effects;
        };
        let is_listed = |run: &Run| {
            listing.active.iter().any(|active| active.run == *run)
                || listing.ended.iter().any(|ended| ended.run == *run)
        };
        let accepts_no_starts = self.accepts_no_starts();
        let token = self.call_token();
        let expires_ms = self.lease_expires_ms(now);
        let start_expires_ms = self.start_expires_ms(now);
        let mut cancelled = Vec::new();
        for (run, order) in &mut self.orders {
            let is_removed = self.removals.contains_key(run) || self.absent.contains(run);
            if order.in_flight
                || order.accepted
                || is_removed
                || is_listed(run)
                || now < order.next_attempt_ms
            {
                continue;
            }
            if accepts_no_starts {
                cancelled.push(*run);
                continue;
            }
            let Some(expires_ms) = start_expires_ms else {
                continue;
            };
            order.in_flight = true;
            effects.push(Effect::Start(Box::new(Start {
                worker: worker.clone(),
                run: *run,
                payload: order.payload.clone(),
                checkpoint: order.checkpoint.clone(),
                expires_ms,
                token,
                epoch: self.epoch,
            })));
        }
        for run in cancelled {
            self.removals.entry(run).or_default();
        }
        for (run, removal) in &mut self.removals {
            let has_ended = listing.ended.iter().any(|ended| ended.run == *run);
            let is_starting = self.orders.get(run).is_some_and(|order| order.in_flight);
            let is_done = self.absent.contains(run) || has_ended || removal.confirmed_ms.is_some();
            if removal.in_flight || is_starting || is_done || now < removal.next_attempt_ms {
                continue;
            }
            removal.in_flight = true;
            removal.is_sent = true;
            effects.push(Effect::Stop(Stop {
                worker: worker.clone(),
                run: *run,
                token,
                epoch: self.epoch,
            }));
        }
        if !effects.is_empty() && expires_ms.is_some() {
            self.record_lease(now);
        }
        effects
    }

    /// Reports whether the leader should receive a report at once.
    pub fn has_urgent_report(&self) -> bool {
        self.report_due && self.incarnation().is_some()
    }

    /// Schedules another report after one has failed to arrive.
    pub fn retry_report(&mut self) {
        self.report_due = true;
    }

    /// Returns a report for the leader, or nothing if no worker is known yet.
    pub fn report(&mut self, now: Millis) -> Option<Report> {
        self.check_clock(now);
        let worker = self.worker.clone();
        let info = worker
            .as_ref()
            .map(|worker| worker.info.clone())
            .or_else(|| self.expected.clone())?;
        self.report_due = false;
        let listing = self.listing.clone().unwrap_or_default();
        let responsive = self.listing.is_some() && self.is_responsive(now) && !self.is_superseded;
        let expired = self.has_expired(now);
        if expired {
            self.mark_expired();
        }
        if expired && !self.was_expired {
            log::info!(worker = info.name, incarnation = info.incarnation, deregistered = self.is_leaving,
                active = listing.active.len(), lapsed = self.absent.len(),
                listed_ago_ms = now.saturating_sub(self.last_response_ms);
                "reporting that the worker has ended");
        }
        self.was_expired = expired;
        Some(Report {
            instance: self.instance.clone(),
            info,
            draining: self.is_draining(),
            remaining_ms: worker.map_or(0, |worker| worker.remaining_ms),
            responsive,
            age_ms: now.saturating_sub(self.last_response_ms),
            expired,
            active: listing.active,
            ended: listing
                .ended
                .into_iter()
                .filter(|ended| ended.number > self.cursor)
                .collect(),
            absent: self.absent.iter().copied().collect(),
            settled: if self.is_fenced {
                self.key.filter(|_key| self.fence_expired)
            } else {
                self.settled.filter(|key| self.key == Some(*key))
            },
        })
    }
}
