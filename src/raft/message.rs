//! Messages between control members and the log entries they carry.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::raft::members;
use crate::raft::{Id, Index, Millis, Term};

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Appended by a new leader to commit entries of earlier terms.
    Noop,
    /// Encoded ledger commands.
    Command(Bytes),
    /// Membership in force from this entry on.
    Members(members::Members),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub index: Index,
    pub term: Term,
    pub payload: Payload,
}

/// Raft's hard state: it must be durable before any message of its term is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    pub term: Term,
    /// Member that this member voted for in the term.
    pub vote: Option<Id>,
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Last log index that the snapshot covers.
    pub index: Index,
    /// Term of that index.
    pub term: Term,
    /// Membership at that index.
    pub members: members::Members,
    /// Offset of `data` within the snapshot, in bytes.
    pub offset: u64,
    /// Size of the whole snapshot in bytes.
    pub total_bytes: u64,
    pub data: Bytes,
}

/// Body of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a vote. With `pre_vote`, only asks whether a vote would be granted.
    RequestVote {
        pre_vote: bool,
        last_index: Index,
        last_term: Term,
        /// Whether the leader asked the candidate to take over; overrides the check for a live
        /// leader.
        transfer: bool,
    },
    /// Answers `RequestVote`.
    VoteReply { pre_vote: bool, granted: bool },
    /// Replicates entries; serves as a heartbeat if `entries` is empty.
    AppendEntries {
        prev_index: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit_index: Index,
        /// Leader's clock when the message was sent, echoed in the reply.
        sent_ms: Millis,
        /// Whether the receiver is a learner.
        learner: bool,
    },
    /// Answers `AppendEntries`, and `InstallSnapshot` once no further part is needed.
    AppendReply {
        /// Whether the receiver's log holds the entry before the sent ones.
        matched: bool,
        /// Highest index known to match, or if `matched` is false, the highest that may match.
        index: Index,
        /// `sent_ms` of the answered message.
        sent_ms: Millis,
    },
    /// Sends one part of a snapshot.
    InstallSnapshot {
        chunk: Chunk,
        sent_ms: Millis,
        learner: bool,
    },
    /// Answers `InstallSnapshot` while parts are missing; `offset` is where the next one starts.
    SnapshotReply {
        index: Index,
        offset: u64,
        sent_ms: Millis,
    },
    /// Asks the receiver to start an election at once, for a leadership transfer.
    TimeoutNow,
}

/// A message from one member to another, with the sender's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub from: Id,
    pub to: Id,
    pub term: Term,
    pub body: Body,
}
