//! Messages between control members, and the entries they carry.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::raft::members;
use crate::raft::{Id, Index, Millis, Term};

/// What an entry of the log holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Written by a new leader to commit what earlier terms left.
    Noop,
    /// Encoded ledger commands.
    Command(Bytes),
    /// The membership from this entry on.
    Members(members::Members),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub index: Index,
    pub term: Term,
    pub payload: Payload,
}

/// State that must be durable before any message of its term leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    pub term: Term,
    /// Member that got this member's vote in the term.
    pub vote: Option<Id>,
}

/// A part of the replicated state at one index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Last index that the snapshot covers.
    pub index: Index,
    /// Term of that index.
    pub term: Term,
    /// Membership at that index.
    pub members: members::Members,
    /// Byte offset of this part.
    pub offset: u64,
    /// Bytes of the whole snapshot.
    pub total: u64,
    pub data: Bytes,
}

/// Body of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for a vote; with `pre`, asks whether a vote would be given.
    Vote {
        pre: bool,
        last_index: Index,
        last_term: Term,
        transfer: bool,
    },
    /// Answers `Vote`.
    Voted { pre: bool, granted: bool },
    /// Replicates entries; without entries it is a heartbeat.
    Append {
        prev_index: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit: Index,
        /// Leader's clock when this left, echoed in the answer.
        sent_ms: Millis,
        /// Whether the leader knows the receiver as a learner.
        learner: bool,
    },
    /// Answers `Append` and `Install`.
    Appended {
        /// Whether the previous entry matched.
        matched: bool,
        /// Highest index known to match, or where to try next.
        index: Index,
        /// Echo of `sent_ms`.
        sent_ms: Millis,
    },
    /// Sends a part of a snapshot.
    Install {
        chunk: Chunk,
        sent_ms: Millis,
        learner: bool,
    },
    /// Asks for the next part of a snapshot.
    Installed {
        index: Index,
        offset: u64,
        sent_ms: Millis,
    },
    /// Tells the receiver to stand for election at once.
    Stand,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub from: Id,
    pub to: Id,
    pub term: Term,
    pub body: Body,
}
