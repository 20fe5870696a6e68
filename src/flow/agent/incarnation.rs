//! Which incarnation of a worker the agent controls, and when that incarnation has ended.
//!
//! An announcement only names a candidate. The candidate takes the place of the current incarnation
//! once it has answered a list call: the machine has one address for its worker, so the incarnation
//! before it has ended then. A deregistration ends nothing by itself: no lease is extended after it,
//! and the incarnation counts as ended once its leases have expired.

use crate::flow::Millis;
use crate::flow::agent::{Announcement, Core, Effect, List, Listing, Stop};
use crate::flow::message::Active;

/// Time after its last announcement for which a candidate is probed.
const CANDIDATE_TIMEOUT_MS: Millis = 5_000;

/// Time after the last listing from which on the worker counts as unresponsive.
const RESPONSE_TIMEOUT_MS: Millis = 2_500;

/// Time after the last listing for which ends are acknowledged. A worker needs longer to end, start again
/// under its name and finish a run.
const ACKNOWLEDGE_TIMEOUT_MS: Millis = 1_000;

/// Bits of a fencing token that hold the worker's key. The higher ones hold the leader's token.
const KEY_BITS: u32 = 32;

/// A worker that has announced itself, but has not answered a list call yet.
#[derive(Debug)]
pub(super) struct Candidate {
    announcement: Announcement,
    announced_ms: Millis,
    /// Whether the next list call goes to the candidate instead of the current worker.
    is_next: bool,
}

impl Core {
    /// Handles an announcement of a worker. One of the current incarnation updates it unless it
    /// arrives out of order; any other names a candidate.
    pub fn on_announcement(&mut self, now: Millis, announcement: Announcement) {
        self.check_clock(now);
        let info = &announcement.info;
        if self.is_current(&info.name, info.incarnation) {
            self.update_worker(now, announcement);
            return;
        }
        let known = self.candidate.as_ref().map(|known| &known.announcement);
        let is_known = known.is_some_and(|known| {
            known.info.name == info.name && known.info.incarnation == info.incarnation
        });
        if !is_known {
            let (current, incarnation) = self.incarnation().unwrap_or_default();
            log::info!(worker = info.name, incarnation = info.incarnation, current = current,
                current_incarnation = incarnation; "another incarnation has announced itself, probing it");
        }
        self.candidate = Some(Candidate {
            announcement,
            announced_ms: now,
            is_next: true,
        });
    }

    fn update_worker(&mut self, now: Millis, announcement: Announcement) {
        let known = self.worker.as_ref();
        if known.is_some_and(|known| announcement.sequence <= known.sequence) {
            return;
        }
        self.report_due |= known.is_none_or(|known| {
            known.draining != announcement.draining || known.info != announcement.info
        });
        if let Some(clock_ms) = announcement.clock_ms {
            self.set_worker_clock(now, clock_ms);
        }
        self.is_leaving &= announcement.draining;
        self.worker = Some(announcement);
    }

    /// Makes a candidate the current worker if the leader has it as that already, as after a restart of
    /// the agent.
    pub(super) fn adopt_expected(&mut self, now: Millis) {
        let Some(candidate) = self.candidate.take() else {
            return;
        };
        let info = &candidate.announcement.info;
        if self.is_current(&info.name, info.incarnation) {
            self.update_worker(now, candidate.announcement);
        } else {
            self.candidate = Some(candidate);
        }
    }

    /// Returns the name and incarnation of the current worker.
    pub(super) fn incarnation(&self) -> Option<(String, u64)> {
        let info = self.worker.as_ref().map(|worker| &worker.info);
        let info = info.or(self.expected.as_ref())?;
        Some((info.name.clone(), info.incarnation))
    }

    fn is_current(&self, name: &str, incarnation: u64) -> bool {
        let info = self.worker.as_ref().map(|worker| &worker.info);
        let info = info.or(self.expected.as_ref());
        info.is_some_and(|info| info.name == name && info.incarnation == incarnation)
    }

    /// Returns the fencing token of calls to the worker: the leader's, then the highest known key. Keys
    /// rise with each incarnation that registers, so a worker that has seen its own key refuses calls
    /// that were meant for an earlier incarnation of the same name.
    pub(super) fn call_token(&self) -> u64 {
        (self.token << KEY_BITS) | (self.highest_key & ((1 << KEY_BITS) - 1))
    }

    /// Returns the number up to which the next list call acknowledges ends. It is zero unless the current
    /// incarnation has answered just before: a later one under its name numbers its ends anew, and would
    /// forget those that it has not listed yet.
    pub(super) fn acknowledged(&self, now: Millis) -> u64 {
        let name = self.incarnation().map(|(name, _incarnation)| name);
        let candidate = self.candidate.as_ref();
        let candidate = candidate.map(|candidate| &candidate.announcement.info.name);
        let has_successor = self.is_superseded || candidate.is_some() && candidate == name.as_ref();
        let has_answered =
            self.listing.is_some() && now <= self.identified_ms + ACKNOWLEDGE_TIMEOUT_MS;
        if has_answered && !has_successor {
            self.cursor
        } else {
            0
        }
    }

    /// Returns the next call to the candidate. Calls to it and to the current worker alternate.
    pub(super) fn probe(&mut self, now: Millis) -> Option<List> {
        let is_known = self.incarnation().is_some();
        let (token, timeout_ms) = (self.call_token(), CANDIDATE_TIMEOUT_MS);
        self.candidate
            .take_if(|candidate| now > candidate.announced_ms + timeout_ms);
        let candidate = self.candidate.as_mut()?;
        let is_due = candidate.is_next || !is_known;
        candidate.is_next = !is_due;
        is_due.then(|| List {
            worker: candidate.announcement.info.name.clone(),
            token,
            cursor: 0,
            expires_ms: None,
            wait_ms: 0,
        })
    }

    /// Returns a call to whichever worker is on the machine, while neither the leader nor an announcement
    /// has named one. After a suspension it may still run what was started elsewhere.
    pub(super) fn list_unknown(&self) -> Option<List> {
        self.is_unregistered.then(|| List {
            worker: String::new(),
            token: self.call_token(),
            cursor: 0,
            expires_ms: None,
            wait_ms: 0,
        })
    }

    /// Returns calls that stop all runs of a worker that nobody has named yet.
    pub(super) fn stop_unknown(&self, listing: &Listing) -> Vec<Effect> {
        if self.incarnation().is_some() {
            return Vec::new();
        }
        let stop = |active: &Active| {
            Effect::Stop(Stop {
                worker: String::new(),
                run: active.run,
                token: self.call_token(),
                epoch: self.epoch,
            })
        };
        listing.active.iter().map(stop).collect()
    }

    /// Handles the answer to a list call that another worker than the one it named has given.
    pub fn on_wrong_worker(&mut self, sent_ms: Millis, list: &List) {
        let refuted = self.candidate.take_if(|candidate| {
            candidate.announcement.info.name == list.worker && sent_ms >= candidate.announced_ms
        });
        if refuted.is_some() {
            log::info!(worker = list.worker; "announced worker is not the one on this machine");
        }
    }

    /// Determines whose listing a list call has returned. Returns true for the current worker, which a
    /// candidate becomes by its first listing.
    pub(super) fn identify(
        &mut self,
        now: Millis,
        sent_ms: Millis,
        list: &List,
        listing: &Listing,
    ) -> bool {
        let incarnation = listing.incarnation;
        if let Some(candidate) = self.candidate.take_if(|candidate| {
            candidate.announcement.info.name == list.worker && sent_ms >= candidate.announced_ms
        }) && candidate.announcement.info.incarnation == incarnation
        {
            self.take_over(now, candidate.announcement);
        }
        if self.is_current(&list.worker, incarnation) {
            return true;
        }
        let has_name = self
            .incarnation()
            .is_some_and(|(name, _current)| name == list.worker);
        if has_name {
            self.note_successor(now, incarnation);
        }
        false
    }

    /// Handles a listing of another incarnation under the current worker's name. The call was sent after
    /// the last one that the current incarnation has answered, so that one has ended.
    fn note_successor(&mut self, now: Millis, incarnation: u64) {
        if !self.is_superseded {
            log::info!(incarnation = incarnation; "another incarnation answers, waiting for its announcement");
            self.is_superseded = true;
            self.record_longest_lease(now);
        }
        self.last_response_ms = now;
    }

    /// Reports whether calls that were meant for an incarnation may still be sent, and their outcomes
    /// count.
    pub fn is_current_epoch(&self, epoch: u64) -> bool {
        self.epoch == epoch && !self.is_superseded
    }

    /// Makes a candidate the current worker.
    fn take_over(&mut self, now: Millis, announcement: Announcement) {
        let info = &announcement.info;
        let (previous, previous_incarnation) = self.incarnation().unwrap_or_default();
        log::info!(worker = info.name, incarnation = info.incarnation, previous = previous,
            previous_incarnation = previous_incarnation, orders = self.orders.len(),
            lease_left_ms = self.lease_end_ms.saturating_sub(now);
            "incarnation answers and takes the place of the one before");
        self.key = None;
        self.settled = None;
        self.last_grant_ms = 0;
        self.worker_clock = None;
        self.listing = None;
        // Until the leader has registered it, all that it runs was meant for another incarnation.
        self.is_unregistered = true;
        self.is_fenced = false;
        self.fence_end_ms = None;
        self.fence_expired = false;
        self.cursor = 0;
        self.index = 0;
        self.expected = None;
        self.is_leaving = false;
        self.is_superseded = false;
        self.was_expired = false;
        self.wanted.clear();
        self.orders.clear();
        self.removals.clear();
        self.absent.clear();
        self.epoch += 1;
        self.lease_end_ms = 0;
        // A call that was meant for the incarnation before may have given it a lease. That one's clock
        // was ahead, so the lease is as long as the worker accepts.
        self.record_longest_lease(now);
        self.worker = Some(announcement);
        self.report_due = true;
    }

    /// Handles a worker's deregistration: nothing is started on it any more, and its leases are not
    /// extended. `incarnation` is given if the worker has named it.
    pub fn on_deregistered(&mut self, now: Millis, name: &str, incarnation: Option<u64>) {
        let is_current = self.incarnation().is_some_and(|(current, known)| {
            current == name && incarnation.is_none_or(|incarnation| incarnation == known)
        });
        if !is_current {
            log::info!(worker = name; "ignored the deregistration of another incarnation");
            return;
        }
        log::info!(worker = name, orders = self.orders.len(),
            lease_left_ms = self.lease_end_ms.saturating_sub(now); "worker has deregistered");
        self.is_leaving = true;
        self.report_due = true;
    }

    pub(super) fn is_responsive(&self, now: Millis) -> bool {
        now < self.last_response_ms + RESPONSE_TIMEOUT_MS
    }

    /// Reports whether the worker accepts no new work.
    pub(super) fn is_draining(&self) -> bool {
        self.is_leaving || self.worker.as_ref().is_some_and(|worker| worker.draining)
    }

    /// Reports whether no run of the incarnation can still be active: it no longer answers or is
    /// leaving, and every lease that it or a successor under its name may have has expired. One that still
    /// answers has time to list all its ends.
    pub(super) fn has_expired(&self, now: Millis) -> bool {
        let is_away = self.is_leaving && !self.has_more_ends() || !self.is_responsive(now);
        is_away && now > self.lease_end_ms && self.incarnation().is_some()
    }
}
