//! Membership of the group: join requests, changes in progress and addresses.

use std::net::SocketAddr;

use crate::clock;
use crate::control::member::Member;
use crate::error;
use crate::flow::message;
use crate::raft::{Id, Index};
use crate::wire::call;
use crate::wire::frame::Frame;

impl Member {
    /// Returns the addresses of the control members.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        let members = self.node.members();
        let all = members.voters.values().chain(members.learners.values());
        all.copied().collect()
    }

    /// Handles a member's request to join the group.
    pub(super) fn join(&mut self, id: Id, addr: SocketAddr, blank: bool, reply: call::Reply) {
        let members = self.node.members();
        if members.addr(id).is_none() && (!blank || members.removed.contains(&id)) {
            reply.fail(error::Error::new(
                error::Kind::InvalidMember,
                format!("member {id} was removed from the group, rejoin with another identity"),
            ));
            return;
        }
        if members.addr(id).is_none() {
            self.join_requests.add(clock::mono_ms(), id, addr);
        }
        reply.send(Frame::FlowReply(message::Reply::Members(self.addresses())));
    }

    /// Proposes the next membership change, if one is needed.
    pub(super) fn update_membership(&mut self) {
        if self.leader.is_none() {
            return;
        }
        let Some(change) = self.join_requests.next_change(clock::mono_ms(), &self.node) else {
            return;
        };
        log::info!("changing membership: {change:?}");
        match self.node.propose_change(clock::mono_ms(), &change) {
            Ok((_index, effects)) => self.perform(effects),
            Err(err) => log::debug!("membership not changed, retrying: {err}"),
        }
        let addresses = self.addresses();
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.set_members(addresses);
        }
    }

    pub(super) fn answer_pending_changes(&mut self, index: Index) {
        let (done, open) = std::mem::take(&mut self.pending_changes)
            .into_iter()
            .partition(|(at, _reply)| *at <= index);
        self.pending_changes = open;
        let done: Vec<(Index, call::Reply)> = done;
        for (_index, reply) in done {
            reply.send(Frame::Ok);
        }
    }
}
