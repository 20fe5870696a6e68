//! The control group as others call it: finds the leader, follows redirects, retries with pauses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel;

use crate::clock;
use crate::error;
use crate::flow::message::{Call, Reply};
use crate::limit;
use crate::wire::{self, Frame, transport};

/// Time that one member gets to answer, beyond a long poll's own time: two slow syncs and the way
/// between regions. An answer that comes later is asked for again under the same identity.
const CALL_MS: u64 = 700;

/// Longest time of one search for the leader among all members: twice the way between regions and
/// a busy member's delay.
const SEARCH_MS: u64 = 300;

/// Most members asked in one search, those that others point at included.
const MAX_ASKED: usize = 16;

/// First pause before a retry.
const PAUSE_MS: u64 = 20;

/// Longest pause before a retry.
const MAX_PAUSE_MS: u64 = 400;

/// Retries earned by a hundred successes.
const RETRY_PERCENT: u64 = 20;

/// Retries that may be saved up.
const RETRY_RESERVE: u64 = 100;

/// Calls to the control group; clones share what is known of the leader.
#[derive(Clone, Debug)]
pub struct Group {
    transport: transport::Transport,
    shared: Arc<Mutex<Shared>>,
    /// Held by the one search that goes on; when the last one failed.
    search: Arc<Mutex<Option<Instant>>>,
}

#[derive(Debug)]
struct Shared {
    /// Members to ask; never empty.
    members: Vec<SocketAddr>,
    leader: Option<SocketAddr>,
    /// When the leader answered last.
    heard: Option<Instant>,
    /// Since when no leader has been found.
    dark: Option<Instant>,
    budget: limit::RetryBudget,
}

impl Group {
    /// Makes a client of the members at these addresses.
    pub fn new(transport: transport::Transport, members: Vec<SocketAddr>) -> Self {
        let budget = limit::RetryBudget::new(RETRY_PERCENT, RETRY_RESERVE);
        let shared = Arc::new(Mutex::new(Shared {
            members,
            leader: None,
            heard: None,
            dark: None,
            budget,
        }));
        Self {
            transport,
            shared,
            search: Arc::default(),
        }
    }

    /// Addresses of the members.
    pub fn members(&self) -> Vec<SocketAddr> {
        self.shared().members.clone()
    }

    /// Takes addresses that members are known at; none change nothing.
    pub fn set_members(&self, members: &[SocketAddr]) {
        if !members.is_empty() {
            self.shared().members = members.to_vec();
        }
    }

    /// Takes further addresses that members may be known at.
    pub fn add_members(&self, members: &[SocketAddr]) {
        let mut shared = self.shared();
        for addr in members {
            if !shared.members.contains(addr) {
                shared.members.push(*addr);
            }
        }
    }

    /// Whether the leader has answered within a time.
    pub fn has_answered_within(&self, within: Duration) -> bool {
        let heard = self.shared().heard;
        heard.is_some_and(|heard| heard.elapsed() < within)
    }

    /// Whether no leader has been found for a time.
    pub fn is_leaderless_for(&self, time: Duration) -> bool {
        let dark = self.shared().dark;
        dark.is_some_and(|since| since.elapsed() >= time)
    }

    /// The transport underneath.
    pub fn transport(&self) -> &transport::Transport {
        &self.transport
    }

    /// Calls the leader; `wait` is how long the call itself may take, `limit` bounds all tries.
    ///
    /// # Errors
    /// The leader's own error, or `NoQuorum` when no leader answered in time; `ran: no` when none can
    /// have taken the call.
    pub fn call(&self, frame: &Frame, wait: Duration, limit: Duration) -> wire::Result<Frame> {
        let start = Instant::now();
        let timeout = wait + Duration::from_millis(CALL_MS);
        let mut tries: u32 = 0;
        let mut last = String::from("no member was reached");
        let mut ran = error::Ran::No;
        while tries == 0 || start.elapsed() < limit {
            tries += 1;
            let left = limit.saturating_sub(start.elapsed());
            if let Some(addr) = self.leader(left) {
                let left = (limit + wait).saturating_sub(start.elapsed());
                let timeout = timeout.min(left.max(Duration::from_millis(100)));
                match self.transport.call(addr, frame.clone(), timeout) {
                    Ok(Frame::Redirect { leader }) => {
                        self.shared().leader = leader.filter(|leader| *leader != addr);
                        last = format!("{addr} does not lead");
                        if leader.is_some_and(|leader| leader != addr) && tries < 4 {
                            continue;
                        }
                    }
                    Err(err) if is_transient(&err) => {
                        if err.ran != error::Ran::No {
                            ran = error::Ran::Unknown;
                        }
                        self.shared().leader = None;
                        last = err.detail;
                    }
                    result => {
                        self.found(addr);
                        return result;
                    }
                }
            }
            let allowed = self.shared().budget.try_retry();
            let pause = limit::backoff_ms(tries, PAUSE_MS, MAX_PAUSE_MS, clock::incarnation() >> 7);
            // Without budget the tries go on, but at the slowest pace.
            let pause = if allowed { pause } else { MAX_PAUSE_MS };
            thread::sleep(Duration::from_millis(pause).min(limit.saturating_sub(start.elapsed())));
        }
        let detail = format!("no control leader answered in time: {last}");
        Err(error::Error::new(error::Kind::NoQuorum, detail).with_ran(ran))
    }

    /// Calls any member, the given one first.
    ///
    /// # Errors
    /// The error of the last member tried.
    pub fn call_member(&self, first: usize, frame: &Frame, wait: Duration) -> wire::Result<Frame> {
        let members = self.members();
        let addr = members[first % members.len()];
        self.transport
            .call(addr, frame.clone(), wait + Duration::from_millis(CALL_MS))
    }

    /// The leader, searched for unless one is known.
    fn leader(&self, limit: Duration) -> Option<SocketAddr> {
        if let Some(leader) = self.shared().leader {
            return Some(leader);
        }
        // One search serves all that wait for it.
        let asked = Instant::now();
        let mut failed = self.search.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(leader) = self.shared().leader {
            return Some(leader);
        }
        if failed.is_some_and(|at| at > asked) {
            return None;
        }
        let found = self.search(limit);
        if found.is_none() {
            *failed = Some(Instant::now());
            self.shared().dark.get_or_insert(asked);
        }
        found
    }

    /// Asks all members at once who leads: one that keeps silent takes no time of the others.
    fn search(&self, limit: Duration) -> Option<SocketAddr> {
        let limit = limit.clamp(Duration::from_millis(100), Duration::from_millis(SEARCH_MS));
        let deadline = Instant::now() + limit;
        let (ring, answers) = channel::bounded(MAX_ASKED);
        let mut asked = self.members();
        asked.truncate(MAX_ASKED);
        for at in 0..asked.len() {
            self.ask(&asked, at, limit, &ring);
        }
        let mut open = asked.len();
        while open > 0 {
            let answer = answers.recv_deadline(deadline).ok()?;
            open -= 1;
            match answer.result {
                Ok(Frame::Redirect { leader: Some(addr) })
                    if !asked.contains(&addr) && asked.len() < MAX_ASKED =>
                {
                    asked.push(addr);
                    self.ask(&asked, asked.len() - 1, limit, &ring);
                    open += 1;
                }
                Ok(Frame::Redirect { .. }) | Err(_) => {}
                Ok(frame) => {
                    if let Frame::FlowReply(Reply::Members(members)) = frame {
                        self.set_members(&members);
                    }
                    let addr = asked[answer.tag as usize];
                    self.found(addr);
                    return Some(addr);
                }
            }
        }
        None
    }

    fn ask(
        &self,
        asked: &[SocketAddr],
        at: usize,
        limit: Duration,
        ring: &channel::Sender<transport::Answer>,
    ) {
        let frame = Frame::Flow(Call::Members);
        let sent = self
            .transport
            .send(asked[at], frame, limit, at as u64, ring);
        if let Err(err) = sent {
            log::debug!(peer:% = asked[at]; "not asked who leads: {err}");
        }
    }

    fn found(&self, addr: SocketAddr) {
        let mut shared = self.shared();
        shared.leader = Some(addr);
        shared.heard = Some(Instant::now());
        shared.dark = None;
        shared.budget.record_success();
    }

    fn shared(&self) -> std::sync::MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether another try may help; the command's key makes it safe.
fn is_transient(err: &error::Error) -> bool {
    matches!(
        err.kind,
        error::Kind::Unreachable | error::Kind::NotLeader | error::Kind::Overloaded
    )
}
