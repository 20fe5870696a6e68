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
            now < *at_ms + WISH_MS && members.addr(*id).is_none() && *id > members.last_id
        });
        if !node.may_change() {
            return None;
        }
        let gone = silent(node);
        // Beyond an odd number a silent member only makes the quorum larger.
        let even = members.voters.len() % 2 == 0;
        if even && let Some(id) = gone {
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

/// The voter that has been silent longest, if for long enough and a quorum stays without it.
fn silent(node: &Node) -> Option<Id> {
    let voters = node.members().voters.keys();
    let silent = voters
        .filter(|id| **id != node.id())
        .map(|id| (node.silence_ms(*id), *id))
        .max()?;
    (silent.0 >= GONE_MS).then_some(silent.1)
}
