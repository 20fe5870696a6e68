//! Membership of the control group.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::error;
use crate::raft::Id;

/// Result of computing a membership change.
pub type Result<T> = error::Result<T>;

/// Maximum number of members, voters and learners together.
pub const MAX_MEMBERS: usize = 16;

/// Maximum number of voters; there is one more while a voter is being replaced.
pub const MAX_VOTERS: usize = 7;

/// Highest identity that is assigned by operators or derived from an address; random ones are
/// higher.
const MAX_ASSIGNED_ID: Id = u32::MAX as Id;

/// Draws an identity that no other member has.
pub fn random_id() -> Id {
    loop {
        let id: Id = rand::random();
        if id > MAX_ASSIGNED_ID {
            return id;
        }
    }
}

/// Members of the control group, as recorded in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members that vote in elections and count towards the quorum.
    pub voters: BTreeMap<Id, SocketAddr>,
    /// Members that receive the log but do not vote.
    pub learners: BTreeMap<Id, SocketAddr>,
    /// Identities of removed members, which must not be reused.
    pub removed: BTreeSet<Id>,
}

/// A change that adds, promotes, demotes or removes one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a learner.
    Add { id: Id, addr: SocketAddr },
    /// Makes a learner a voter once it has caught up with the log.
    Promote { id: Id },
    /// Removes a voter or learner.
    Remove { id: Id },
    /// Makes a voter a learner, which keeps its log and may be promoted again.
    Demote { id: Id },
}

impl Members {
    /// Creates the membership of a new group.
    pub fn initial(voters: BTreeMap<Id, SocketAddr>) -> Self {
        Self {
            voters,
            learners: BTreeMap::new(),
            removed: BTreeSet::new(),
        }
    }

    /// Returns the number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Reports whether the member is a voter.
    pub fn is_voter(&self, id: Id) -> bool {
        self.voters.contains_key(&id)
    }

    /// Returns the address of a voter or learner.
    pub fn addr(&self, id: Id) -> Option<SocketAddr> {
        self.voters
            .get(&id)
            .or_else(|| self.learners.get(&id))
            .copied()
    }

    /// Returns the address under which the group knows a member, if it is another one than `addr`. A
    /// process at that other address must not act as the member. An address without an IP, as of a
    /// process that listens on all of them, is compared by its port.
    pub fn conflicting_addr(&self, id: Id, addr: SocketAddr) -> Option<SocketAddr> {
        self.addr(id).filter(|known| {
            let is_any = addr.ip().is_unspecified() || known.ip().is_unspecified();
            known.port() != addr.port() || !is_any && known.ip() != addr.ip()
        })
    }

    /// Checks that a process at `addr` may use an identity.
    ///
    /// # Errors
    /// `InvalidMember` if the group knows the identity at another address.
    pub fn check_identity(&self, id: Id, addr: SocketAddr) -> Result<()> {
        match self.conflicting_addr(id, addr) {
            Some(known) => Err(invalid(format!(
                "member {id} is at {known}, a process at {addr} must use another identity"
            ))),
            None => Ok(()),
        }
    }

    /// Returns all voters and learners except the given one.
    pub fn others(&self, id: Id) -> Vec<Id> {
        let all = self.voters.keys().chain(self.learners.keys());
        all.copied().filter(|other| *other != id).collect()
    }

    /// Returns the membership after a change, leaving this one as it is.
    ///
    /// # Errors
    /// `InvalidMember` if the change does not apply; the detail says why.
    pub fn with(&self, change: &Change) -> Result<Self> {
        let mut next = self.clone();
        match change {
            Change::Add { id, addr } => next.add(*id, *addr)?,
            Change::Promote { id } => next.promote(*id)?,
            Change::Remove { id } => next.remove(*id)?,
            Change::Demote { id } => next.demote(*id)?,
        }
        Ok(next)
    }

    fn add(&mut self, id: Id, addr: SocketAddr) -> Result<()> {
        if self.removed.contains(&id) || self.addr(id).is_some() {
            return Err(invalid(format!(
                "cannot add member {id}: the identity is or was in use and cannot be reused"
            )));
        }
        if self.voters.len() + self.learners.len() >= MAX_MEMBERS {
            return Err(invalid(format!(
                "cannot add member {id}: the group already has {MAX_MEMBERS} members, the maximum"
            )));
        }
        self.learners.insert(id, addr);
        Ok(())
    }

    fn promote(&mut self, id: Id) -> Result<()> {
        if self.voters.len() > MAX_VOTERS {
            return Err(invalid(format!(
                "cannot promote member {id}: the group has more than {MAX_VOTERS} voters already"
            )));
        }
        let addr = self
            .learners
            .remove(&id)
            .ok_or_else(|| invalid(format!("cannot promote member {id}: it is not a learner")))?;
        self.voters.insert(id, addr);
        Ok(())
    }

    fn remove(&mut self, id: Id) -> Result<()> {
        if self.addr(id).is_none() {
            return Err(invalid(format!(
                "cannot remove member {id}: it is not in the group"
            )));
        }
        if self.learners.remove(&id).is_none() {
            self.remove_voter(id)?;
        }
        self.removed.insert(id);
        Ok(())
    }

    fn demote(&mut self, id: Id) -> Result<()> {
        let addr = self.remove_voter(id)?;
        self.learners.insert(id, addr);
        Ok(())
    }

    fn remove_voter(&mut self, id: Id) -> Result<SocketAddr> {
        if self.voters.len() == 1 && self.is_voter(id) {
            return Err(invalid(format!(
                "cannot take the vote from member {id}: it is the last voter"
            )));
        }
        self.voters
            .remove(&id)
            .ok_or_else(|| invalid(format!("cannot demote member {id}: it is not a voter")))
    }
}

fn invalid(detail: String) -> error::Error {
    error::Error::new(error::Kind::InvalidMember, detail)
}
