//! Who belongs to the group: wishes of newcomers, changes under way, addresses.

use std::net::SocketAddr;

use crate::clock;
use crate::control::member::Member;
use crate::error;
use crate::flow::message;
use crate::raft::{Id, Index};
use crate::wire::call;
use crate::wire::frame::Frame;

impl Member {
    /// Addresses of the control members.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        let members = self.node.members();
        let all = members.voters.values().chain(members.learners.values());
        all.copied().collect()
    }

    /// Takes a member's wish for a place in the group.
    pub(super) fn join(&mut self, id: Id, addr: SocketAddr, blank: bool, reply: call::Reply) {
        let members = self.node.members();
        if members.addr(id).is_none() && (!blank || members.removed.contains(&id)) {
            reply.fail(error::Error::new(
                error::Kind::InvalidMember,
                format!("member {id} has been removed; it must come back under a new identity"),
            ));
            return;
        }
        if members.addr(id).is_none() {
            self.join_requests.add(clock::mono_ms(), id, addr);
        }
        reply.send(Frame::FlowReply(message::Reply::Members(self.addresses())));
    }

    /// Brings the membership one change closer to those who are there.
    pub(super) fn reconcile(&mut self) {
        if self.leader.is_none() {
            return;
        }
        let Some(change) = self.join_requests.next_change(clock::mono_ms(), &self.node) else {
            return;
        };
        log::info!("membership: {change:?}");
        match self.node.propose_change(clock::mono_ms(), &change) {
            Ok((_index, effects)) => self.process(effects),
            Err(err) => log::debug!("membership not changed yet: {err}"),
        }
        let addresses = self.addresses();
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.set_members(addresses);
        }
    }

    pub(super) fn answer_changers(&mut self, index: Index) {
        let (done, open) = std::mem::take(&mut self.changers)
            .into_iter()
            .partition(|(at, _reply)| *at <= index);
        self.changers = open;
        let done: Vec<(Index, call::Reply)> = done;
        for (_index, reply) in done {
            reply.send(Frame::Ok);
        }
    }
}
