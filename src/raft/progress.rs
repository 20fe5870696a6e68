//! The leader's view of how far another member has replicated the log.

use crate::raft::{Index, Millis};

/// Replication state of one member.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Highest index known to be durable on the member.
    pub match_index: Index,
    /// Next index to send.
    pub next_index: Index,
    /// Time at which the leader began to track the member.
    pub added_ms: Millis,
    /// Leader's clock when it sent the latest message that the member has answered.
    pub acked_ms: Millis,
    /// Time of the last message to the member.
    pub sent_ms: Millis,
    /// Time at which the window of unacknowledged entries last opened, advanced or was reset. If it
    /// stalls, the entries are sent again.
    pub window_opened_ms: Millis,
    /// Time at which `next_index` was last moved back. What the member says of earlier messages does not
    /// move it again.
    pub moved_back_ms: Millis,
    /// Position of the snapshot part in flight, while a snapshot is being sent.
    pub snapshot: Option<Position>,
}

/// Position in a snapshot transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    pub index: Index,
    pub offset: u64,
}

impl Progress {
    /// Creates the state of a member whose log is not known yet.
    pub fn new(next_index: Index, now_ms: Millis) -> Self {
        Self {
            match_index: 0,
            next_index,
            added_ms: now_ms,
            acked_ms: 0,
            sent_ms: 0,
            window_opened_ms: now_ms,
            moved_back_ms: 0,
            snapshot: None,
        }
    }

    /// Sends entries from an index on again.
    pub fn move_back(&mut self, next_index: Index, now_ms: Millis) {
        self.next_index = next_index;
        self.window_opened_ms = now_ms;
        self.moved_back_ms = now_ms;
    }
}
