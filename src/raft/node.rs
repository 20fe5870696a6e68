//! The consensus core of one member.

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

/// Timeouts and size limits of the consensus core.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between heartbeats.
    pub heartbeat_ms: Millis,
    /// Minimum time without contact to a leader before a member campaigns. The actual timeout is
    /// random between this and twice this.
    pub election_timeout_ms: Millis,
    /// Duration of the leader lease after a quorum has answered, in percent of
    /// `election_timeout_ms`.
    pub lease_percent: Millis,
    /// Time after which unacknowledged entries are sent again.
    pub resend_ms: Millis,
    /// Maximum size of the entries in one message, in bytes.
    pub batch_bytes: usize,
    /// Maximum number of unacknowledged entries in flight to one member.
    pub window_entries: Index,
    /// Size of one part of a snapshot, in bytes.
    pub chunk_bytes: usize,
}

impl Timing {
    /// Returns the duration of the leader lease.
    pub fn lease_ms(&self) -> Millis {
        self.election_timeout_ms * self.lease_percent / 100
    }
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

/// State that a member starts from, as read from its disk.
#[derive(Clone, Debug, Default)]
pub struct Start {
    pub id: Id,
    pub hard_state: message::HardState,
    pub log: log::Log,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

/// Role of a member in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Follower,
    /// Runs a pre-vote to find out whether it could win an election.
    PreCandidate,
    Candidate,
    Leader,
}

/// A change of durable state, written in the order returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    HardState(message::HardState),
    /// Removes the entry at the index and all entries after it.
    Truncate(Index),
    Append(Vec<message::Entry>),
    /// Replaces the log and the state with a received snapshot.
    Snapshot {
        index: Index,
        term: Term,
        members: members::Members,
        data: Bytes,
    },
}

/// Effects that the caller must carry out after a step, in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Messages that may be sent at once.
    pub messages: Vec<message::Message>,
    /// Changes to make durable, in order.
    pub writes: Vec<Write>,
    /// Messages that may be sent only after `writes` are durable.
    pub after_write: Vec<message::Message>,
    /// Snapshot to load into the state machine before applying `committed`, with its index.
    pub restore: Option<(Index, Bytes)>,
    /// Committed entries to apply, in order.
    pub committed: Vec<message::Entry>,
    /// Parts of the snapshot to read and pass to `Node::provide_chunk`.
    pub chunk_requests: Vec<ChunkRequest>,
}

/// A request for the part of a snapshot that another member needs next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkRequest {
    pub to: Id,
    /// Index of the snapshot being sent, or zero for the newest one.
    pub index: Index,
    pub offset: u64,
}

/// The consensus core of one member.
#[derive(Debug)]
pub struct Node {
    id: Id,
    timing: Timing,
    rng_state: u64,
    /// Caller's clock at the last call.
    now: Millis,
    hard_state: message::HardState,
    role: Role,
    leader: Option<Id>,
    log: log::Log,
    members: members::Members,
    commit_index: Index,
    /// Last index handed out in `Effects::committed`.
    applied_index: Index,
    /// Last index known to be durable on this member.
    durable_index: Index,
    election_deadline_ms: Millis,
    /// Time of the last message from a leader, zero if there was none.
    leader_contact_ms: Millis,
    /// Elections that this member still starts early because the leader's process has ended.
    early_elections: u32,
    /// Votes received in the current election or pre-vote.
    votes: BTreeMap<Id, bool>,
    /// Replication state of the other members, while this member leads.
    progress: BTreeMap<Id, progress::Progress>,
    /// Target and deadline of a leadership transfer.
    transfer: Option<(Id, Millis)>,
    /// Snapshot being received.
    incoming: Option<follow::Partial>,
    elected_ms: Millis,
    /// Effects collected during the current call.
    effects: Effects,
}

impl Node {
    /// Creates a follower from the state on its disk.
    pub fn new(start: Start, timing: Timing, now: Millis) -> Self {
        let applied_index = start.log.base_index();
        let members = start.log.members_at(start.log.last_index());
        let mut node = Self {
            id: start.id,
            timing,
            rng_state: mix(start.seed.wrapping_add(mix(start.id))),
            now,
            hard_state: start.hard_state,
            role: Role::Follower,
            leader: None,
            durable_index: start.log.last_index(),
            log: start.log,
            members,
            commit_index: applied_index,
            applied_index,
            election_deadline_ms: 0,
            leader_contact_ms: 0,
            early_elections: 0,
            votes: BTreeMap::new(),
            progress: BTreeMap::new(),
            transfer: None,
            incoming: None,
            elected_ms: 0,
            effects: Effects::default(),
        };
        node.reset_deadline();
        node
    }

    /// Returns this member's identity.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Returns the role in the current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    /// Returns the latest membership in the log, committed or not.
    pub fn members(&self) -> &members::Members {
        &self.members
    }

    /// Returns the highest index known to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Returns the index of the last entry of the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Returns the in-memory part of the log.
    pub fn log(&self) -> &log::Log {
        &self.log
    }

    /// Returns the index of the next entry to be appended.
    pub fn next_index(&self) -> Index {
        self.log.last_index() + 1
    }

    /// Reports whether this member leads, is not transferring its leadership, and was confirmed by a
    /// quorum within the lease.
    pub fn has_lease(&self) -> bool {
        let lease_ms = self.timing.lease_ms();
        let may_be_replaced = self.transfer.is_some();
        self.role == Role::Leader
            && !may_be_replaced
            && self.now <= self.quorum_acked_ms() + lease_ms
    }

    /// Reports whether this member holds the lease, or is a follower that was in contact with a
    /// leader within the minimum election timeout.
    pub fn is_fresh(&self) -> bool {
        self.has_lease() || self.role == Role::Follower && self.has_live_leader()
    }

    /// Reports whether this member leads and has committed an entry of its own term.
    pub fn has_committed_in_term(&self) -> bool {
        self.role == Role::Leader && self.log.term(self.commit_index) == Some(self.hard_state.term)
    }

    /// Reports whether a membership change can be proposed now.
    pub fn can_change_members(&self) -> bool {
        let is_change_pending = self.log.has_members_change_after(self.commit_index);
        self.has_committed_in_term() && self.transfer.is_none() && !is_change_pending
    }

    /// Returns the time since this leader's last contact with another member, or since it began to
    /// track the member if that is later; zero for a member that it does not track.
    pub fn since_contact_ms(&self, id: Id) -> Millis {
        let progress = self.progress.get(&id);
        progress.map_or(0, |progress| {
            let last_contact_ms = progress.acked_ms.max(progress.added_ms);
            self.now.saturating_sub(last_contact_ms)
        })
    }

    /// Returns the time since this member last heard from a leader.
    pub fn since_leader_ms(&self) -> Millis {
        self.now.saturating_sub(self.leader_contact_ms)
    }

    /// Returns the highest index known to be durable on another member, if this member leads.
    pub fn match_index(&self, id: Id) -> Option<Index> {
        self.progress.get(&id).map(|progress| progress.match_index)
    }

    /// Advances the clock and handles timeouts.
    pub fn tick(&mut self, now: Millis) -> Effects {
        self.now = now;
        match self.role {
            Role::Leader => self.tick_leader(),
            Role::Follower | Role::PreCandidate | Role::Candidate => self.tick_election(),
        }
        self.take_effects()
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, now: Millis, message: message::Message) -> Effects {
        self.now = now;
        if message.to == self.id && self.accept_term(&message) {
            self.dispatch(message);
        }
        self.take_effects()
    }

    /// Appends encoded commands to the log and replicates them; returns the index of the entry.
    ///
    /// # Errors
    /// `NotLeader` if this member does not lead or is transferring leadership.
    pub fn propose(&mut self, now: Millis, data: Bytes) -> Result<(Index, Effects)> {
        self.now = now;
        self.require_leader()?;
        let index = self.append(message::Payload::Command(data));
        self.replicate();
        Ok((index, self.take_effects()))
    }

    /// Appends a membership change to the log and replicates it; returns the index of the entry.
    ///
    /// # Errors
    /// `NotLeader`, or `InvalidMember` if the change does not apply, if another one is in progress
    /// or if the leader has not committed an entry of its term yet.
    pub fn propose_change(
        &mut self,
        now: Millis,
        change: &members::Change,
    ) -> Result<(Index, Effects)> {
        self.now = now;
        self.require_leader()?;
        if !self.has_committed_in_term() || self.log.has_members_change_after(self.commit_index) {
            return Err(error::Error::new(
                error::Kind::InvalidMember,
                "another membership change is in progress, or this leader has not committed an \
                 entry of its term yet",
            ));
        }
        let next = self.members.with(change)?;
        let index = self.append(message::Payload::Members(next));
        self.replicate();
        Ok((index, self.take_effects()))
    }

    /// Records that all entries up to an index are durable on this member. Has no effect on an
    /// entry that was replaced since, which the term shows.
    pub fn mark_durable(&mut self, now: Millis, index: Index, term: Term) -> Effects {
        self.now = now;
        if self.log.term(index) == Some(term) {
            self.durable_index = self.durable_index.max(index);
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
        self.take_effects()
    }

    /// Starts a transfer of leadership to the voter with the most recent contact, and among equals
    /// to the one with the most complete log.
    pub fn transfer_leadership(&mut self, now: Millis) -> Effects {
        self.now = now;
        self.start_transfer();
        self.take_effects()
    }

    /// Sends a part of a snapshot, in answer to a request in `Effects::chunk_requests`.
    pub fn provide_chunk(&mut self, now: Millis, to: Id, chunk: message::Chunk) -> Effects {
        self.now = now;
        self.send_chunk(to, chunk);
        self.take_effects()
    }

    /// Removes log entries that a durable snapshot covers.
    pub fn compact(&mut self, index: Index) {
        let index = index.min(self.applied_index);
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
            "this member is not the leader, or is transferring its leadership",
        ))
    }

    /// Compares the message's term with the current one and adopts it if needed. Reports whether
    /// the message should be processed.
    fn accept_term(&mut self, message: &message::Message) -> bool {
        if message.term < self.hard_state.term {
            self.reject_stale(message);
            return false;
        }
        if message.term == self.hard_state.term {
            return true;
        }
        match &message.body {
            // A pre-vote, or a vote request while a leader is alive, must not raise the term.
            message::Body::RequestVote { pre_vote: true, .. } => true,
            message::Body::RequestVote {
                transfer: false, ..
            } if self.has_live_leader() => false,
            message::Body::VoteReply {
                pre_vote: true,
                granted: true,
            } => true,
            _ => {
                self.adopt_term(message.term);
                true
            }
        }
    }

    /// Answers a message of an earlier term, so that its sender learns the current term.
    fn reject_stale(&mut self, message: &message::Message) {
        let body = match &message.body {
            message::Body::AppendEntries { sent_ms, .. }
            | message::Body::InstallSnapshot { sent_ms, .. } => message::Body::AppendReply {
                matched: false,
                index: 0,
                sent_ms: *sent_ms,
            },
            message::Body::RequestVote { pre_vote, .. } => message::Body::VoteReply {
                pre_vote: *pre_vote,
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
            message::Body::RequestVote {
                pre_vote,
                last_index,
                last_term,
                ..
            } => {
                self.on_request_vote(from, term, pre_vote, last_index, last_term);
            }
            message::Body::VoteReply { pre_vote, granted } => {
                self.on_vote_reply(from, pre_vote, granted)
            }
            message::Body::AppendEntries {
                prev_index,
                prev_term,
                entries,
                commit_index,
                sent_ms,
                learner,
            } => {
                let batch = follow::Batch {
                    prev_index,
                    prev_term,
                    entries,
                    commit_index,
                };
                self.on_append_entries(from, batch, sent_ms, learner);
            }
            message::Body::AppendReply {
                matched,
                index,
                sent_ms,
            } => {
                self.on_append_reply(from, matched, index, sent_ms);
            }
            message::Body::InstallSnapshot {
                chunk,
                sent_ms,
                learner,
            } => {
                self.on_install_snapshot(from, chunk, sent_ms, learner);
            }
            message::Body::SnapshotReply {
                index,
                offset,
                sent_ms,
            } => {
                self.on_snapshot_reply(from, index, offset, sent_ms);
            }
            message::Body::TimeoutNow => self.on_timeout_now(),
        }
    }

    /// Becomes a follower in a later term.
    fn adopt_term(&mut self, term: Term) {
        self.hard_state = message::HardState { term, vote: None };
        self.effects.writes.push(Write::HardState(self.hard_state));
        self.become_follower(None);
    }

    fn become_follower(&mut self, leader: Option<Id>) {
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
            self.sync_progress();
        }
        self.log.push(entry.clone());
        match self.effects.writes.last_mut() {
            Some(Write::Append(batch)) => batch.push(entry),
            _ => self.effects.writes.push(Write::Append(vec![entry])),
        }
        index
    }

    fn commit_to(&mut self, index: Index) {
        self.commit_index = self.commit_index.max(index.min(self.log.last_index()));
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1) else {
                break;
            };
            self.effects.committed.push(entry.clone());
            self.applied_index += 1;
        }
    }

    fn send(&mut self, to: Id, body: message::Body) {
        let message = message::Message {
            from: self.id,
            to,
            term: self.hard_state.term,
            body,
        };
        self.effects.messages.push(message);
    }

    fn send_after_write(&mut self, to: Id, body: message::Body) {
        let message = message::Message {
            from: self.id,
            to,
            term: self.hard_state.term,
            body,
        };
        self.effects.after_write.push(message);
    }

    fn take_effects(&mut self) -> Effects {
        std::mem::take(&mut self.effects)
    }

    /// Sets the next election deadline to a random time between one and two election timeouts.
    fn reset_deadline(&mut self) {
        // xorshift64, from Marsaglia, Journal of Statistical Software 8(14), 2003.
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        let jitter = self.rng_state % self.timing.election_timeout_ms;
        self.election_deadline_ms = self.now + self.timing.election_timeout_ms + jitter;
    }
}

/// Mixes the bits of a seed, so that similar seeds give different random numbers. Never returns
/// zero, which xorshift64 cannot use. The function is splitmix64, from Steele, Lea and Flood,
/// OOPSLA 2014.
fn mix(seed: u64) -> u64 {
    let mut bits = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (bits ^ (bits >> 31)).max(1)
}
