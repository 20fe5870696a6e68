//! What a leader knows of one other member.

use crate::raft::{Index, Millis};

/// Replication state of one member.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Highest index known to be durable on the member.
    pub matched: Index,
    /// Next index to send.
    pub next: Index,
    /// Latest own clock value that the member has echoed.
    pub echoed_ms: Millis,
    /// When something was last sent.
    pub sent_ms: Millis,
    /// When the in-flight window was opened; a stalled window is sent again.
    pub window_ms: Millis,
    /// Offset of the snapshot part in flight, if one is being sent.
    pub install: Option<Install>,
}

/// Position in a snapshot transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Install {
    pub index: Index,
    pub offset: u64,
}

impl Progress {
    /// Starts with nothing known.
    pub fn new(next: Index, now_ms: Millis) -> Self {
        Self {
            matched: 0,
            next,
            echoed_ms: 0,
            sent_ms: 0,
            window_ms: now_ms,
            install: None,
        }
    }
}
