//! Who should belong to the control group: newcomers are taken in, those long gone removed.
//!
//! One change at a time. A newcomer at the address of a member replaces it, since that member's
//! disk is gone; another one replaces the member that has been silent longest.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::raft::members::{Change, MAX_VOTERS};
use crate::raft::node::Node;
use crate::raft::{Id, Millis};

/// Time without word after which a member counts as gone when there is another in its stead.
const GONE_MS: Millis = 3_500;

/// The same when nothing comes in its stead and the group is large: a member that restarts soon
/// keeps its place.
const LONG_GONE_MS: Millis = 8_000;

/// Largest even group that cannot lose another member while one is silent.
const SMALL_GROUP: usize = 4;

/// Time for which a newcomer's wish stands.
const WISH_MS: Millis = 3_000;

/// Newcomers that have asked for a place.
#[derive(Debug, Default)]
pub struct Joins {
    wishes: BTreeMap<Id, (SocketAddr, Millis)>,
}

impl Joins {
    /// Takes a wish.
    pub fn ask(&mut self, now: Millis, id: Id, addr: SocketAddr) {
        self.wishes.insert(id, (addr, now));
    }

    /// The next change, if one is wanted and none is under way.
    pub fn next(&mut self, now: Millis, node: &Node) -> Option<Change> {
        let members = node.members();
        self.wishes.retain(|id, (_addr, at_ms)| {
            now < *at_ms + WISH_MS && members.addr(*id).is_none() && !members.removed.contains(id)
        });
        if !node.can_change_members() {
            return None;
        }
        let silent = most_silent(node);
        let gone = silent
            .filter(|(ms, _id)| *ms >= GONE_MS)
            .map(|(_ms, id)| id);
        // Beyond an odd number a silent member only makes the quorum larger.
        let even = members.voters.len().is_multiple_of(2);
        let small = members.voters.len() <= SMALL_GROUP;
        let limit_ms = if small { GONE_MS } else { LONG_GONE_MS };
        if let Some((_ms, id)) = silent.filter(|(ms, _id)| even && *ms >= limit_ms) {
            return Some(Change::Remove { id });
        }
        let (id, (addr, _at_ms)) = self.wishes.iter().next()?;
        let all = members.voters.iter().chain(&members.learners);
        let replaced = all
            .filter(|(_id, other)| *other == addr)
            .map(|(id, _addr)| *id)
            .next();
        let full = members.voters.len() + members.learners.len() >= MAX_VOTERS;
        let replaced = replaced.or(gone).or_else(|| full.then_some(0));
        match replaced {
            Some(0) => None,
            Some(id) => Some(Change::Remove { id }),
            None => Some(Change::Add {
                id: *id,
                addr: *addr,
            }),
        }
    }
}

/// The voter that has been silent longest, and for how long.
fn most_silent(node: &Node) -> Option<(Millis, Id)> {
    let voters = node.members().voters.keys();
    let others = voters.filter(|id| **id != node.id());
    others.map(|id| (node.since_contact_ms(*id), *id)).max()
}
