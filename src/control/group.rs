//! Client of the control group: finds the leader, follows redirects and retries with pauses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel;

use crate::error;
use crate::flow::message::{Call, Reply};
use crate::limit;
use crate::wire::{self, Frame, transport};

/// Time that one member gets to answer, in addition to the time of a long poll: two slow disk syncs
/// and the latency between regions. A call whose answer comes later is repeated under the same
/// identity.
const CALL_TIMEOUT_MS: u64 = 700;

/// Longest time of one search for the leader among all members: twice the latency between regions
/// plus the delay of a busy member.
const SEARCH_TIMEOUT_MS: u64 = 300;

/// Maximum number of members asked in one search, including those found through redirects.
const MAX_SEARCH_MEMBERS: usize = 16;

/// Shortest pause before a retry.
const RETRY_DELAY_MS: u64 = 20;

/// Longest pause before a retry.
const MAX_RETRY_DELAY_MS: u64 = 400;

/// Longest pause before another search for the leader. Members hold a query while there is none.
const MAX_SEARCH_DELAY_MS: u64 = 100;

/// Retries earned per hundred successful calls.
const RETRY_PERCENT: u64 = 20;

/// Maximum number of retries that can be saved up.
const MAX_SAVED_RETRIES: u64 = 100;

/// Client of the control group; clones share the known leader and members.
#[derive(Clone, Debug)]
pub struct Group {
    transport: transport::Transport,
    shared: Arc<Mutex<Shared>>,
    /// Time at which the last failed search ended; locked during a search, so that only one runs at a
    /// time.
    search: Arc<Mutex<Option<Instant>>>,
}

#[derive(Debug)]
struct Shared {
    /// Members to ask; never empty.
    members: Vec<SocketAddr>,
    leader: Option<SocketAddr>,
    /// Time of the leader's last answer.
    last_contact: Option<Instant>,
    /// Start of the first search that has failed since the leader's last answer.
    leaderless_since: Option<Instant>,
    budget: limit::RetryBudget,
}

impl Group {
    /// Creates a client of the members at these addresses.
    pub fn new(transport: transport::Transport, members: Vec<SocketAddr>) -> Self {
        let budget = limit::RetryBudget::new(RETRY_PERCENT, MAX_SAVED_RETRIES);
        let shared = Arc::new(Mutex::new(Shared {
            members,
            leader: None,
            last_contact: None,
            leaderless_since: None,
            budget,
        }));
        Self {
            transport,
            shared,
            search: Arc::default(),
        }
    }

    /// Returns the addresses of the members.
    pub fn members(&self) -> Vec<SocketAddr> {
        self.shared().members.clone()
    }

    /// Replaces the addresses of the members; an empty list changes nothing.
    pub fn set_members(&self, members: &[SocketAddr]) {
        if !members.is_empty() {
            self.shared().members = members.to_vec();
        }
    }

    /// Adds addresses at which members may be reached.
    pub fn add_members(&self, members: &[SocketAddr]) {
        let mut shared = self.shared();
        for addr in members {
            if !shared.members.contains(addr) {
                shared.members.push(*addr);
            }
        }
    }

    /// Reports whether the leader has answered within a time.
    pub fn has_answered_within(&self, time: Duration) -> bool {
        let last_contact = self.shared().last_contact;
        last_contact.is_some_and(|last_contact| last_contact.elapsed() < time)
    }

    /// Reports whether no leader has been found for a time.
    pub fn is_leaderless_for(&self, time: Duration) -> bool {
        let leaderless_since = self.shared().leaderless_since;
        leaderless_since.is_some_and(|since| since.elapsed() >= time)
    }

    /// Returns the transport that calls are sent over.
    pub fn transport(&self) -> &transport::Transport {
        &self.transport
    }

    /// Calls the leader; `wait` is how long the call itself may take, `limit` bounds all attempts.
    ///
    /// # Errors
    /// The leader's own error, or `NoQuorum` when no leader answered in time; `ran: no` when no
    /// member can have accepted the call.
    pub fn call(&self, frame: &Frame, wait: Duration, limit: Duration) -> wire::Result<Frame> {
        let start = Instant::now();
        let timeout = wait + Duration::from_millis(CALL_TIMEOUT_MS);
        let mut attempts: u32 = 0;
        let mut last_error = String::from("no member was reached");
        let mut ran = error::Ran::No;
        while attempts == 0 || start.elapsed() < limit {
            attempts += 1;
            let remaining = limit.saturating_sub(start.elapsed());
            let leader = self.leader(remaining);
            let found_leader = leader.is_some();
            if let Some(addr) = leader {
                let remaining = (limit + wait).saturating_sub(start.elapsed());
                let timeout = timeout.min(remaining.max(Duration::from_millis(100)));
                match self.transport.call(addr, frame.clone(), timeout) {
                    Ok(Frame::Redirect { leader }) => {
                        self.shared().leader = leader.filter(|leader| *leader != addr);
                        last_error = format!("{addr} is not the leader");
                        if leader.is_some_and(|leader| leader != addr) && attempts < 4 {
                            continue;
                        }
                    }
                    Err(err) if is_transient(&err) => {
                        if err.ran != error::Ran::No {
                            ran = error::Ran::Unknown;
                        }
                        self.shared().leader = None;
                        last_error = err.detail;
                    }
                    result => {
                        self.record_leader(addr);
                        return result;
                    }
                }
            }
            let pause = Duration::from_millis(self.pause_ms(attempts, found_leader));
            thread::sleep(pause.min(limit.saturating_sub(start.elapsed())));
        }
        let detail = format!("no control leader answered in time: {last_error}");
        Err(error::Error::new(error::Kind::NoQuorum, detail).with_ran(ran))
    }

    /// Returns the pause before the next attempt. A search that has failed costs no member more than
    /// a query, so the next one follows soon; calls that have failed are limited by the budget.
    fn pause_ms(&self, attempts: u32, found_leader: bool) -> u64 {
        let random: u64 = rand::random();
        if !found_leader {
            return limit::backoff_ms(attempts, RETRY_DELAY_MS, MAX_SEARCH_DELAY_MS, random);
        }
        // Without retry budget, attempts continue at the slowest pace.
        let is_allowed = self.shared().budget.try_retry();
        let pause_ms = limit::backoff_ms(attempts, RETRY_DELAY_MS, MAX_RETRY_DELAY_MS, random);
        if is_allowed {
            pause_ms
        } else {
            MAX_RETRY_DELAY_MS
        }
    }

    /// Calls the member in this process.
    ///
    /// # Errors
    /// The error of the call, or `Internal` if this process has no member.
    pub fn call_self(&self, frame: Frame, timeout: Duration) -> wire::Result<Frame> {
        let addr = self.transport.local_addr().ok_or_else(|| {
            error::Error::new(
                error::Kind::Internal,
                "this process is not a control member",
            )
        })?;
        self.transport.call(addr, frame, timeout)
    }

    /// Calls the member at a position in the list of members; positions wrap around.
    ///
    /// # Errors
    /// The error of the call.
    pub fn call_member(
        &self,
        position: usize,
        frame: &Frame,
        wait: Duration,
    ) -> wire::Result<Frame> {
        let members = self.members();
        let addr = members[position % members.len()];
        self.transport.call(
            addr,
            frame.clone(),
            wait + Duration::from_millis(CALL_TIMEOUT_MS),
        )
    }

    /// Returns the known leader, or searches for one.
    fn leader(&self, limit: Duration) -> Option<SocketAddr> {
        if let Some(leader) = self.shared().leader {
            return Some(leader);
        }
        // One search serves all callers that wait for it.
        let start = Instant::now();
        let mut last_failure = self.search.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(leader) = self.shared().leader {
            return Some(leader);
        }
        if last_failure.is_some_and(|at| at > start) {
            return None;
        }
        let leader = self.search(limit);
        if leader.is_none() {
            *last_failure = Some(Instant::now());
            self.shared().leaderless_since.get_or_insert(start);
        }
        leader
    }

    /// Asks all members at once for the leader, so that a silent member does not delay the others.
    fn search(&self, limit: Duration) -> Option<SocketAddr> {
        let limit = limit.clamp(
            Duration::from_millis(100),
            Duration::from_millis(SEARCH_TIMEOUT_MS),
        );
        let deadline = Instant::now() + limit;
        let (sender, answers) = channel::bounded(MAX_SEARCH_MEMBERS);
        let mut addrs = self.members();
        addrs.truncate(MAX_SEARCH_MEMBERS);
        for at in 0..addrs.len() {
            self.send_query(&addrs, at, limit, &sender);
        }
        let mut pending = addrs.len();
        while pending > 0 {
            let answer = answers.recv_deadline(deadline).ok()?;
            pending -= 1;
            match answer.result {
                Ok(Frame::Redirect { leader: Some(addr) })
                    if !addrs.contains(&addr) && addrs.len() < MAX_SEARCH_MEMBERS =>
                {
                    addrs.push(addr);
                    self.send_query(&addrs, addrs.len() - 1, limit, &sender);
                    pending += 1;
                }
                Ok(Frame::Redirect { .. }) | Err(_) => {}
                Ok(frame) => {
                    if let Frame::FlowReply(Reply::Members(members)) = frame {
                        self.set_members(&members);
                    }
                    let addr = addrs[answer.tag as usize];
                    self.record_leader(addr);
                    return Some(addr);
                }
            }
        }
        None
    }

    fn send_query(
        &self,
        addrs: &[SocketAddr],
        at: usize,
        limit: Duration,
        sender: &channel::Sender<transport::Answer>,
    ) {
        let frame = Frame::Flow(Call::Members);
        let sent = self
            .transport
            .send(addrs[at], frame, limit, at as u64, sender);
        if let Err(err) = sent {
            log::debug!(peer:% = addrs[at]; "leader query not sent: {err}");
        }
    }

    fn record_leader(&self, addr: SocketAddr) {
        let mut shared = self.shared();
        shared.leader = Some(addr);
        shared.last_contact = Some(Instant::now());
        shared.leaderless_since = None;
        shared.budget.record_success();
    }

    fn shared(&self) -> std::sync::MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reports whether another attempt may succeed; the command's key makes it safe.
fn is_transient(err: &error::Error) -> bool {
    matches!(
        err.kind,
        error::Kind::Unreachable | error::Kind::NotLeader | error::Kind::Overloaded
    )
}
