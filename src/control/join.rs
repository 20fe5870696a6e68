//! Changes to the control group's membership: adds newcomers and removes members that are gone.
//!
//! One change is made at a time. A newcomer at the address of a member replaces that member, whose
//! disk must have been lost; any other newcomer replaces the member that has been silent longest.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::raft::members::{Change, MAX_MEMBERS};
use crate::raft::node::Node;
use crate::raft::{Id, Millis};

/// Silence after which a member counts as gone if a newcomer can replace it or the group is small.
const SILENCE_MS: Millis = 3_500;

/// Silence after which a member of a larger group is removed without a replacement; a member that
/// restarts sooner keeps its place.
const LONG_SILENCE_MS: Millis = 8_000;

/// Largest even number of voters that cannot lose another member while one is silent.
const SMALL_GROUP_VOTERS: usize = 4;

/// Time for which a join request is valid; newcomers repeat theirs.
const REQUEST_TTL_MS: Millis = 3_000;

/// Join requests of newcomers, with the address and time of each.
#[derive(Debug, Default)]
pub struct Requests {
    pending: BTreeMap<Id, (SocketAddr, Millis)>,
}

impl Requests {
    /// Adds or renews a join request.
    pub fn add(&mut self, now: Millis, id: Id, addr: SocketAddr) {
        self.pending.insert(id, (addr, now));
    }

    /// Returns the next change, if one is needed and none is in progress.
    pub fn next_change(&mut self, now: Millis, node: &Node) -> Option<Change> {
        let members = node.members();
        self.pending.retain(|id, (_addr, at_ms)| {
            now < *at_ms + REQUEST_TTL_MS
                && members.addr(*id).is_none()
                && !members.removed.contains(id)
        });
        if !node.can_change_members() {
            return None;
        }
        let most_silent = most_silent(node);
        let gone = most_silent
            .filter(|(ms, _id)| *ms >= SILENCE_MS)
            .map(|(_ms, id)| id);
        // In an even group, a silent member only makes the quorum larger.
        let is_even = members.voters.len().is_multiple_of(2);
        let is_small = members.voters.len() <= SMALL_GROUP_VOTERS;
        let limit_ms = if is_small {
            SILENCE_MS
        } else {
            LONG_SILENCE_MS
        };
        if let Some((_ms, id)) = most_silent.filter(|(ms, _id)| is_even && *ms >= limit_ms) {
            return Some(Change::Remove { id });
        }
        let (id, (addr, _at_ms)) = self.pending.iter().next()?;
        let all = members.voters.iter().chain(&members.learners);
        let replaced = all
            .filter(|(_id, other)| *other == addr)
            .map(|(id, _addr)| *id)
            .next();
        let is_full = members.voters.len() + members.learners.len() >= MAX_MEMBERS;
        let replaced = replaced.or(gone).or_else(|| is_full.then_some(0));
        match replaced {
            // No member has id 0: it stands for a full group without a member to replace.
            Some(0) => None,
            Some(id) => Some(Change::Remove { id }),
            None => Some(Change::Add {
                id: *id,
                addr: *addr,
            }),
        }
    }
}

/// Returns the voter that has been silent longest, and for how long.
fn most_silent(node: &Node) -> Option<(Millis, Id)> {
    let voters = node.members().voters.keys();
    let others = voters.filter(|id| **id != node.id());
    others.map(|id| (node.since_contact_ms(*id), *id)).max()
}
