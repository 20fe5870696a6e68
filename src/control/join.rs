//! Processes that ask the leader to be added to the control group.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::control::size::Newcomer;
use crate::error;
use crate::raft::members::Members;
use crate::raft::{Id, Millis};

/// Time for which a request is valid; newcomers repeat theirs.
const REQUEST_TTL_MS: Millis = 3_000;

/// Requests of newcomers, with the address and time of each.
#[derive(Debug, Default)]
pub struct Requests {
    pending: BTreeMap<Id, (SocketAddr, Millis)>,
}

impl Requests {
    /// Adds or renews a request.
    pub fn add(&mut self, now: Millis, id: Id, addr: SocketAddr) {
        self.pending.insert(id, (addr, now));
    }

    /// Handles the request of a process to be in the group; `blank` tells that its log is empty.
    ///
    /// # Errors
    /// `InvalidMember` if the process must use another identity: the group has removed its member,
    /// or knows it at another address.
    pub fn admit(
        &mut self,
        now: Millis,
        members: &Members,
        newcomer: Newcomer,
        blank: bool,
    ) -> error::Result<()> {
        let Newcomer { id, addr } = newcomer;
        members.check_identity(id, addr)?;
        if members.addr(id).is_some() {
            return Ok(());
        }
        if !blank || members.removed.contains(&id) {
            return Err(error::Error::new(
                error::Kind::InvalidMember,
                format!("member {id} was removed from the group, rejoin with another identity"),
            ));
        }
        self.add(now, id, addr);
        Ok(())
    }

    /// Drops requests that have expired or been granted.
    pub fn expire(&mut self, now: Millis, members: &Members) {
        self.pending.retain(|id, (_addr, at_ms)| {
            now < *at_ms + REQUEST_TTL_MS
                && members.addr(*id).is_none()
                && !members.removed.contains(id)
        });
    }

    /// Returns the newcomers that wait, one for each address.
    pub fn newcomers(&self) -> Vec<Newcomer> {
        let mut latest: BTreeMap<SocketAddr, (Millis, Id)> = BTreeMap::new();
        for (id, (addr, at_ms)) in &self.pending {
            let entry = latest.entry(*addr).or_insert((*at_ms, *id));
            *entry = (*entry).max((*at_ms, *id));
        }
        let newcomer = |(addr, (_at_ms, id))| Newcomer { id, addr };
        latest.into_iter().map(newcomer).collect()
    }
}
