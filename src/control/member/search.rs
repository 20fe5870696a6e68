//! Callers that look for the leader: their queries are held while there is none, and members watch
//! whether the leader's process still runs.

use crate::clock;
use crate::control::member::Member;
use crate::flow::message;
use crate::raft::{Id, Millis};
use crate::wire::call;
use crate::wire::frame::Frame;

/// Longest time for which a query for the leader is held while none is known.
const MAX_HOLD_MS: Millis = 250;

/// Maximum number of queries that are held.
const MAX_QUERIES: usize = 1_024;

/// Silence of the leader after which its process is probed; two lost heartbeats.
const PROBE_SILENCE_MS: Millis = 250;

/// Interval of the probes.
const PROBE_INTERVAL_MS: Millis = 100;

/// A query for the leader that is held until there is one.
#[derive(Debug)]
pub(super) struct Query {
    until_ms: Millis,
    reply: call::Reply,
}

impl Member {
    /// Answers a query for the leader at a member that is not the leader, or holds it.
    pub(super) fn redirect(&mut self, frame: &Frame, reply: call::Reply) {
        let is_query = matches!(frame, Frame::Flow(message::Call::Members));
        if is_query && self.live_leader().is_none() && self.queries.len() < MAX_QUERIES {
            let until_ms = clock::mono_ms() + MAX_HOLD_MS;
            self.queries.push(Query { until_ms, reply });
            return;
        }
        let leader = self.other_leader().and_then(|id| self.addr_of(id));
        reply.send(Frame::Redirect { leader });
    }

    /// Answers the queries that are held, once there is a leader or their time is over.
    pub(super) fn answer_queries(&mut self) {
        let now = clock::mono_ms();
        let is_leader = self.leader.is_some() && self.node.has_lease();
        let leader = self.live_leader().and_then(|id| self.addr_of(id));
        for query in std::mem::take(&mut self.queries) {
            if is_leader {
                let members = message::Reply::Members(self.addresses());
                query.reply.send(Frame::FlowReply(members));
            } else if leader.is_some() || now >= query.until_ms {
                query.reply.send(Frame::Redirect { leader });
            } else if !query.reply.is_closed() {
                self.queries.push(query);
            }
        }
    }

    /// Probes the process of a silent leader, and starts an early election if it has ended.
    pub(super) fn watch_leader(&mut self) {
        let now = clock::mono_ms();
        if let Some(id) = self.probe.take_ended() {
            if !self.node.is_leader_ended() {
                log::info!(leader = id; "the leader's process has ended");
            }
            self.node.leader_ended(now, id);
        }
        let Some(id) = self.other_leader() else {
            return;
        };
        let is_silent = self.node.since_leader_ms() >= PROBE_SILENCE_MS;
        if !is_silent || self.node.is_leader_ended() || now < self.last_probe_ms + PROBE_INTERVAL_MS
        {
            return;
        }
        if let Some(addr) = self.addr_of(id) {
            self.last_probe_ms = now;
            self.probe.request(id, addr);
        }
    }

    /// Returns the other member that leads, as far as this member knows.
    fn other_leader(&self) -> Option<Id> {
        let leader = self.node.leader();
        leader.filter(|leader| *leader != self.node.id())
    }

    /// Returns the other member that leads, if it has been heard of lately.
    fn live_leader(&self) -> Option<Id> {
        let is_live = self.node.since_leader_ms() < PROBE_SILENCE_MS;
        self.other_leader().filter(|_leader| is_live)
    }
}
