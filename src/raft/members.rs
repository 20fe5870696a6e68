//! The control group's membership.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::error;
use crate::raft::Id;

/// Result of a membership change.
pub type Result<T> = error::Result<T>;

/// Most voters a group may have.
pub const MAX_VOTERS: usize = 7;

/// Who belongs to the control group, as recorded in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members that vote.
    pub voters: BTreeMap<Id, SocketAddr>,
    /// Members that receive the log but do not vote yet.
    pub learners: BTreeMap<Id, SocketAddr>,
    /// Identities of members that were removed; none is used twice.
    pub removed: BTreeSet<Id>,
}

/// A change of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a learner.
    Add { id: Id, addr: SocketAddr },
    /// Makes a learner that has caught up a voter.
    Promote { id: Id },
    /// Removes a voter or learner.
    Remove { id: Id },
}

impl Members {
    /// Makes the first membership of a new group.
    pub fn initial(voters: BTreeMap<Id, SocketAddr>) -> Self {
        Self {
            voters,
            learners: BTreeMap::new(),
            removed: BTreeSet::new(),
        }
    }

    /// Number of voters that make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Tells whether the member votes.
    pub fn is_voter(&self, id: Id) -> bool {
        self.voters.contains_key(&id)
    }

    /// Address of a voter or learner.
    pub fn addr(&self, id: Id) -> Option<SocketAddr> {
        self.voters
            .get(&id)
            .or_else(|| self.learners.get(&id))
            .copied()
    }

    /// All voters and learners but one.
    pub fn others(&self, id: Id) -> Vec<Id> {
        let all = self.voters.keys().chain(self.learners.keys());
        all.copied().filter(|other| *other != id).collect()
    }

    /// Returns the membership after a change.
    ///
    /// # Errors
    /// `InvalidMember` when the change does not apply, says why.
    pub fn with(&self, change: &Change) -> Result<Self> {
        let mut next = self.clone();
        match change {
            Change::Add { id, addr } => next.add(*id, *addr)?,
            Change::Promote { id } => next.promote(*id)?,
            Change::Remove { id } => next.remove(*id)?,
        }
        Ok(next)
    }

    fn add(&mut self, id: Id, addr: SocketAddr) -> Result<()> {
        if self.removed.contains(&id) || self.addr(id).is_some() {
            return Err(invalid(format!(
                "member {id} cannot be added: the identity has been used, and one is never used twice"
            )));
        }
        if self.voters.len() + self.learners.len() >= MAX_VOTERS {
            return Err(invalid(format!(
                "the group already has {MAX_VOTERS} members"
            )));
        }
        self.learners.insert(id, addr);
        Ok(())
    }

    fn promote(&mut self, id: Id) -> Result<()> {
        let addr = self
            .learners
            .remove(&id)
            .ok_or_else(|| invalid(format!("member {id} is not a learner")))?;
        self.voters.insert(id, addr);
        Ok(())
    }

    fn remove(&mut self, id: Id) -> Result<()> {
        if self.learners.remove(&id).is_some() {
            self.removed.insert(id);
            return Ok(());
        }
        if self.voters.len() == 1 && self.is_voter(id) {
            return Err(invalid(format!("member {id} is the last voter")));
        }
        self.voters
            .remove(&id)
            .ok_or_else(|| invalid(format!("member {id} does not exist")))?;
        self.removed.insert(id);
        Ok(())
    }
}

fn invalid(detail: String) -> error::Error {
    error::Error::new(error::Kind::InvalidMember, detail)
}
