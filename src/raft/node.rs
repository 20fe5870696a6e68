//! One member's consensus core.

mod follow;
mod lead;
mod vote;

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::error;
use crate::raft::log;
use crate::raft::members;
use crate::raft::message;
use crate::raft::progress;
use crate::raft::{Id, Index, Millis, Term};

/// Result of a proposal.
pub type Result<T> = error::Result<T>;

/// Timings and limits of the consensus.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between heartbeats.
    pub heartbeat_ms: Millis,
    /// Shortest time without a leader before a member stands for election; the longest is twice that.
    pub election_timeout_ms: Millis,
    /// Share of `election_timeout_ms`, in per cent, for which a quorum's answers make a leader's lease.
    pub lease_percent: Millis,
    /// Time after which unanswered appends are sent again.
    pub resend_ms: Millis,
    /// Most bytes of entries in one message.
    pub batch_bytes: usize,
    /// Most entries in flight to one member.
    pub window_entries: Index,
    /// Bytes of one part of a snapshot.
    pub chunk_bytes: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_ms: 100,
            election_timeout_ms: 600,
            lease_percent: 75,
            resend_ms: 300,
            batch_bytes: 1 << 20,
            window_entries: 4_096,
            chunk_bytes: 1 << 20,
        }
    }
}

/// What a member starts from after reading its disk.
#[derive(Clone, Debug, Default)]
pub struct Start {
    pub id: Id,
    pub hard_state: message::HardState,
    pub log: log::Log,
    /// Seed of the election jitter.
    pub seed: u64,
}

/// Part that a member plays in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    Candidate,
    Leader,
}

/// A write that must be durable before the effects that follow it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    HardState(message::HardState),
    /// Drops the entry at the index and all after it.
    Truncate(Index),
    Append(Vec<message::Entry>),
    /// Replaces log and state by a received snapshot.
    Snapshot {
        index: Index,
        term: Term,
        members: members::Members,
        data: Bytes,
    },
}

/// What the driver must do after a step, in this order.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Messages that may leave at once.
    pub messages: Vec<message::Message>,
    /// To be made durable in order.
    pub writes: Vec<Write>,
    /// Messages that may leave only when `writes` are durable.
    pub after_write: Vec<message::Message>,
    /// Snapshot to load into the state machine before `committed`.
    pub restore: Option<(Index, Bytes)>,
    /// Entries to apply in order.
    pub committed: Vec<message::Entry>,
    /// The member for which the next part of the snapshot must be read.
    pub chunk_requests: Vec<ChunkRequest>,
}

/// A part of a snapshot that a member waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkRequest {
    pub to: Id,
    /// Index of the snapshot under way, zero for the newest.
    pub index: Index,
    pub offset: u64,
}

/// The consensus core of one member.
#[derive(Debug)]
pub struct Node {
    id: Id,
    timing: Timing,
    rng: u64,
    now: Millis,
    hard_state: message::HardState,
    role: Role,
    leader: Option<Id>,
    log: log::Log,
    members: members::Members,
    commit: Index,
    applied: Index,
    durable: Index,
    deadline: Millis,
    heard_ms: Millis,
    votes: BTreeMap<Id, bool>,
    progress: BTreeMap<Id, progress::Progress>,
    transfer: Option<(Id, Millis)>,
    partial: Option<follow::Partial>,
    elected_ms: Millis,
    out: Effects,
}

impl Node {
    /// Makes a follower from what its disk holds.
    pub fn new(start: Start, timing: Timing, now: Millis) -> Self {
        let applied = start.log.base_index();
        let members = start.log.members_at(start.log.last_index());
        let mut node = Self {
            id: start.id,
            timing,
            rng: mix(start.seed.wrapping_add(mix(start.id))),
            now,
            hard_state: start.hard_state,
            role: Role::Follower,
            leader: None,
            durable: start.log.last_index(),
            log: start.log,
            members,
            commit: applied,
            applied,
            deadline: 0,
            heard_ms: 0,
            votes: BTreeMap::new(),
            progress: BTreeMap::new(),
            transfer: None,
            partial: None,
            elected_ms: 0,
            out: Effects::default(),
        };
        node.reset_deadline();
        node
    }

    /// This member's identity.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Part played in the current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Leader of the current term, if known.
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    /// Membership in force.
    pub fn members(&self) -> &members::Members {
        &self.members
    }

    /// Highest index known to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// Index of the last entry of the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// The log kept in memory.
    pub fn log(&self) -> &log::Log {
        &self.log
    }

    /// Index that the next proposal gets.
    pub fn next_index(&self) -> Index {
        self.log.last_index() + 1
    }

    /// Whether this member leads and a quorum has confirmed it within the lease.
    pub fn has_lease(&self) -> bool {
        let lease_ms = self.timing.election_timeout_ms * self.timing.lease_percent / 100;
        let may_be_replaced = self.transfer.is_some();
        self.role == Role::Leader && !may_be_replaced && self.now <= self.quorum_echo() + lease_ms
    }

    /// Whether this member has been in touch with a quorum-backed leader within its lease.
    pub fn is_fresh(&self) -> bool {
        self.has_lease() || self.role == Role::Follower && self.hears_leader()
    }

    /// Whether an entry of this leader's own term is committed.
    pub fn has_committed_in_term(&self) -> bool {
        self.role == Role::Leader && self.log.term(self.commit) == Some(self.hard_state.term)
    }

    /// Whether a membership change may be proposed now.
    pub fn can_change_members(&self) -> bool {
        let under_way = self.log.has_members_change_after(self.commit);
        self.has_committed_in_term() && self.transfer.is_none() && !under_way
    }

    /// Time since a leader last heard of another member; zero for one that it does not track.
    pub fn since_contact_ms(&self, id: Id) -> Millis {
        let progress = self.progress.get(&id);
        progress.map_or(0, |progress| {
            let heard_ms = progress.echoed_ms.max(self.elected_ms);
            self.now.saturating_sub(heard_ms)
        })
    }

    /// Highest index known to match on another member, for a leader.
    pub fn match_index(&self, id: Id) -> Option<Index> {
        self.progress.get(&id).map(|progress| progress.matched)
    }

    /// Advances the clock.
    pub fn tick(&mut self, now: Millis) -> Effects {
        self.now = now;
        match self.role {
            Role::Leader => self.lead_tick(),
            Role::Follower | Role::PreCandidate | Role::Candidate => self.vote_tick(),
        }
        self.take()
    }

    /// Takes a message from another member.
    pub fn receive(&mut self, now: Millis, message: message::Message) -> Effects {
        self.now = now;
        if message.to == self.id && self.admit(&message) {
            self.dispatch(message);
        }
        self.take()
    }

    /// Appends commands to the log.
    ///
    /// # Errors
    /// `NotLeader` when this member does not lead or is handing leadership over.
    pub fn propose(&mut self, now: Millis, data: Bytes) -> Result<(Index, Effects)> {
        self.now = now;
        self.require_leader()?;
        let index = self.append(message::Payload::Command(data));
        self.replicate();
        Ok((index, self.take()))
    }

    /// Appends a membership change.
    ///
    /// # Errors
    /// `NotLeader`, or `InvalidMember` when the change does not apply or another is under way.
    pub fn propose_change(
        &mut self,
        now: Millis,
        change: &members::Change,
    ) -> Result<(Index, Effects)> {
        self.now = now;
        self.require_leader()?;
        if !self.has_committed_in_term() || self.log.has_members_change_after(self.commit) {
            return Err(error::Error::new(
                error::Kind::InvalidMember,
                "another membership change is under way",
            ));
        }
        let next = self.members.with(change)?;
        let index = self.append(message::Payload::Members(next));
        self.replicate();
        Ok((index, self.take()))
    }

    /// Tells the core that everything up to an index is durable here.
    pub fn mark_durable(&mut self, now: Millis, index: Index, term: Term) -> Effects {
        self.now = now;
        if self.log.term(index) == Some(term) {
            self.durable = self.durable.max(index);
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
        self.take()
    }

    /// Hands leadership to the member that is furthest ahead.
    pub fn transfer_leadership(&mut self, now: Millis) -> Effects {
        self.now = now;
        self.start_transfer();
        self.take()
    }

    /// Sends a part of a snapshot that `Effects::install` asked for.
    pub fn provide_chunk(&mut self, now: Millis, to: Id, chunk: message::Chunk) -> Effects {
        self.now = now;
        self.send_chunk(to, chunk);
        self.take()
    }

    /// Drops log entries that a durable snapshot covers.
    pub fn compact(&mut self, index: Index) {
        let index = index.min(self.applied);
        if index > self.log.base_index() {
            self.log.compact(index);
        }
    }

    fn require_leader(&self) -> Result<()> {
        if self.role == Role::Leader && self.transfer.is_none() {
            return Ok(());
        }
        Err(error::Error::new(
            error::Kind::NotLeader,
            "this member does not lead",
        ))
    }

    /// Handles terms; returns whether the message is to be processed.
    fn admit(&mut self, message: &message::Message) -> bool {
        if message.term < self.hard_state.term {
            self.answer_old(message);
            return false;
        }
        if message.term == self.hard_state.term {
            return true;
        }
        match &message.body {
            // A pre-vote, or a vote while the leader is alive, must not raise the term.
            message::Body::Vote { pre: true, .. } => true,
            message::Body::Vote {
                transfer: false, ..
            } if self.hears_leader() => false,
            message::Body::Voted {
                pre: true,
                granted: true,
            } => true,
            _ => {
                self.adopt(message.term);
                true
            }
        }
    }

    /// Tells a sender of an earlier term about the current one.
    fn answer_old(&mut self, message: &message::Message) {
        let body = match &message.body {
            message::Body::Append { sent_ms, .. } | message::Body::Install { sent_ms, .. } => {
                message::Body::Appended {
                    matched: false,
                    index: 0,
                    sent_ms: *sent_ms,
                }
            }
            message::Body::Vote { pre, .. } => message::Body::Voted {
                pre: *pre,
                granted: false,
            },
            _ => return,
        };
        self.send_after_write(message.from, body);
    }

    fn dispatch(&mut self, message: message::Message) {
        let message::Message {
            from, term, body, ..
        } = message;
        match body {
            message::Body::Vote {
                pre,
                last_index,
                last_term,
                ..
            } => {
                self.on_vote(from, term, pre, last_index, last_term);
            }
            message::Body::Voted { pre, granted } => self.on_voted(from, pre, granted),
            message::Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                sent_ms,
                learner,
            } => {
                let batch = follow::Batch {
                    prev_index,
                    prev_term,
                    entries,
                    commit,
                };
                self.on_append(from, batch, sent_ms, learner);
            }
            message::Body::Appended {
                matched,
                index,
                sent_ms,
            } => {
                self.on_appended(from, matched, index, sent_ms);
            }
            message::Body::Install {
                chunk,
                sent_ms,
                learner,
            } => {
                self.on_install(from, chunk, sent_ms, learner);
            }
            message::Body::Installed {
                index,
                offset,
                sent_ms,
            } => {
                self.on_installed(from, index, offset, sent_ms);
            }
            message::Body::Stand => self.on_stand(),
        }
    }

    /// Enters a later term as a follower.
    fn adopt(&mut self, term: Term) {
        self.hard_state = message::HardState { term, vote: None };
        self.out.writes.push(Write::HardState(self.hard_state));
        self.follow(None);
    }

    fn follow(&mut self, leader: Option<Id>) {
        if self.role == Role::Leader {
            self.progress.clear();
            self.transfer = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.reset_deadline();
    }

    fn append(&mut self, payload: message::Payload) -> Index {
        let index = self.next_index();
        let entry = message::Entry {
            index,
            term: self.hard_state.term,
            payload,
        };
        if let message::Payload::Members(members) = &entry.payload {
            self.members = members.clone();
            self.track_members();
        }
        self.log.push(entry.clone());
        match self.out.writes.last_mut() {
            Some(Write::Append(batch)) => batch.push(entry),
            _ => self.out.writes.push(Write::Append(vec![entry])),
        }
        index
    }

    fn commit_to(&mut self, index: Index) {
        self.commit = self.commit.max(index.min(self.log.last_index()));
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1) else {
                break;
            };
            self.out.committed.push(entry.clone());
            self.applied += 1;
        }
    }

    fn send(&mut self, to: Id, body: message::Body) {
        let message = message::Message {
            from: self.id,
            to,
            term: self.hard_state.term,
            body,
        };
        self.out.messages.push(message);
    }

    fn send_after_write(&mut self, to: Id, body: message::Body) {
        let message = message::Message {
            from: self.id,
            to,
            term: self.hard_state.term,
            body,
        };
        self.out.after_write.push(message);
    }

    fn take(&mut self) -> Effects {
        std::mem::take(&mut self.out)
    }

    /// Draws the next election deadline between one and two election times.
    fn reset_deadline(&mut self) {
        // xorshift64: Marsaglia, Journal of Statistical Software 8(14), 2003.
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        let jitter = self.rng % self.timing.election_timeout_ms;
        self.deadline = self.now + self.timing.election_timeout_ms + jitter;
    }
}

/// Spreads a number over all bits, so that alike seeds give unlike draws; never zero.
/// splitmix64: Steele, Lea and Flood, OOPSLA 2014.
fn mix(seed: u64) -> u64 {
    let mut bits = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (bits ^ (bits >> 31)).max(1)
}
