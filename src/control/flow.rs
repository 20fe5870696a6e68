//! The leader's duty towards jobs of several steps: calls in, decisions out, polls held open.

use std::net::SocketAddr;

use crate::clock;
use crate::flow::Command;
use crate::flow::message::{Call, Orders, Poll, Reply, Request};
use crate::flow::planner::{self, Planner};
use crate::flow::registry::Registry;
use crate::raft::Index;
use crate::wire::call;
use crate::wire::frame::Frame;

/// Longest time that a poll is held.
const MAX_POLL_MS: u64 = 2_000;

/// An agent that waits for orders.
#[derive(Debug)]
struct Poller {
    poll: Poll,
    until_ms: u64,
    reply: call::Reply,
}

/// A caller that waits until the log has what was decided.
#[derive(Debug)]
struct Waiter {
    index: Index,
    reply: call::Reply,
    answer: Reply,
}

/// The duty, while this member leads.
#[derive(Debug)]
pub struct Coordinator {
    planner: Planner,
    token: u64,
    pollers: Vec<Poller>,
    waiters: Vec<Waiter>,
    /// Those whose commands have not been proposed yet.
    fresh: Vec<(call::Reply, Reply)>,
    members: Vec<SocketAddr>,
}

impl Coordinator {
    /// Takes over; the token must rise with each leadership.
    pub fn new(registry: &Registry, token: u64) -> Self {
        Self {
            planner: Planner::new(registry, clock::mono_ms(), planner::Options::default()),
            token,
            pollers: Vec::new(),
            waiters: Vec::new(),
            fresh: Vec::new(),
            members: Vec::new(),
        }
    }

    /// Takes the present addresses of the control members, to be told to agents and entries.
    pub fn set_members(&mut self, members: Vec<SocketAddr>) {
        self.members = members;
    }

    /// The decisions' state, to be read.
    pub fn planner(&self) -> &Planner {
        &self.planner
    }

    /// Takes a call.
    pub fn call(&mut self, registry: &Registry, index: Index, call: Call, reply: call::Reply) {
        match call {
            Call::Request(request) => self.request(registry, request, reply),
            Call::Declare(catalog) => {
                let version = catalog.version;
                self.planner.declare(catalog);
                self.fresh
                    .push((reply, Reply::Catalog(version, bytes::Bytes::new())));
            }
            Call::ReadCatalog => {
                let catalog = registry.catalog();
                let answer = Reply::Catalog(catalog.version, catalog.document.clone());
                reply.send(Frame::FlowReply(answer));
            }
            Call::Poll(poll) => {
                let until_ms = clock::mono_ms() + poll.wait_ms.min(MAX_POLL_MS);
                self.pollers.push(Poller {
                    poll,
                    until_ms,
                    reply,
                });
                self.serve(registry, index);
            }
            Call::Report(report) => {
                self.planner.report(clock::mono_ms(), *report);
                reply.send(Frame::Ok);
            }
            Call::Members | Call::Join { .. } => {
                reply.send(Frame::FlowReply(Reply::Members(self.members.clone())));
            }
        }
    }

    fn request(&mut self, registry: &Registry, request: Request, reply: call::Reply) {
        let Request {
            host,
            path,
            key,
            action,
        } = request;
        let (answer, waits) = self
            .planner
            .request(registry, &host, &path, key.as_deref(), action);
        let answer = Reply::Answer(answer);
        if waits {
            self.fresh.push((reply, answer));
        } else {
            reply.send(Frame::FlowReply(answer));
        }
    }

    /// Decides; returns the commands for the log.
    pub fn decide(&mut self) -> Vec<Command> {
        self.planner.decide(clock::mono_ms(), clock::wall_ms())
    }

    /// Notes the index at which the log will hold all that was decided so far.
    pub fn proposed(&mut self, index: Index) {
        for (reply, answer) in std::mem::take(&mut self.fresh) {
            self.waiters.push(Waiter {
                index,
                reply,
                answer,
            });
        }
    }

    /// Whether callers wait for something that has not been proposed.
    pub fn is_pressed(&self) -> bool {
        !self.fresh.is_empty()
    }

    /// Answers those who waited for the log.
    pub fn applied(&mut self, index: Index) {
        let all = std::mem::take(&mut self.waiters);
        let (done, open): (Vec<Waiter>, Vec<Waiter>) =
            all.into_iter().partition(|waiter| waiter.index <= index);
        self.waiters = open;
        for waiter in done {
            waiter.reply.send(Frame::FlowReply(waiter.answer));
        }
    }

    /// Answers polls that have something new, or whose time is up; only while this member holds its
    /// lease as the leader, as each answer is a grant.
    pub fn serve(&mut self, registry: &Registry, index: Index) {
        let now = clock::mono_ms();
        for poller in std::mem::take(&mut self.pollers) {
            if poller.reply.is_closed() {
                continue;
            }
            let key = registry.polled_worker(&poller.poll);
            let worker = key.and_then(|key| registry.worker(key));
            let changed =
                worker.is_some_and(|worker| worker.changed_index > poller.poll.seen_index);
            let asks_first = poller.poll.seen_index == 0 && worker.is_some();
            if !changed && !asks_first && now < poller.until_ms {
                self.pollers.push(poller);
                continue;
            }
            if key.is_some_and(|key| !self.planner.try_grant(now, key)) {
                // Answered once the log holds what was decided on the worker.
                self.pollers.push(poller);
                continue;
            }
            let orders = Orders {
                token: self.token,
                members: self.members.clone(),
                ..registry.orders(index, &poller.poll)
            };
            poller
                .reply
                .send(Frame::FlowReply(Reply::Orders(Box::new(orders))));
        }
    }

    /// Tells everyone who waits that this member no longer leads.
    pub fn resign(self) {
        let waiters = self.waiters.into_iter().map(|waiter| waiter.reply);
        let fresh = self.fresh.into_iter().map(|(reply, _answer)| reply);
        for reply in waiters.chain(fresh) {
            reply.fail(lost());
        }
        for poller in self.pollers {
            poller.reply.send(Frame::Redirect { leader: None });
        }
    }
}

/// What those are told whose commands may or may not come into the log.
fn lost() -> crate::error::Error {
    crate::error::Error::new(
        crate::error::Kind::NotLeader,
        "leadership was lost before the decision was durable",
    )
    .with_ran(crate::error::Ran::Unknown)
}
