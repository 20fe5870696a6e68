//! The leader's coordinator for jobs of several steps: handles calls, makes decisions and answers
//! the long polls of agents.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::clock;
use crate::flow::catalog::{Catalog, Limits};
use crate::flow::message::{Call, Orders, Poll, Reply, Request};
use crate::flow::planner::{self, Planner};
use crate::flow::registry::Registry;
use crate::flow::{Command, WorkerKey, ticket};
use crate::map;
use crate::raft::Index;
use crate::wire::call;
use crate::wire::frame::Frame;

/// Longest time for which a poll is held open.
const MAX_POLL_MS: u64 = 2_000;

/// An agent's poll that has not been answered yet.
#[derive(Debug)]
struct PendingPoll {
    poll: Poll,
    until_ms: u64,
    reply: call::Reply,
}

/// A reply that is held back until the log holds the decision.
#[derive(Debug)]
struct PendingReply {
    index: Index,
    reply: call::Reply,
    answer: Reply,
}

/// Coordinates jobs of several steps while this member is the leader.
#[derive(Debug)]
pub struct Coordinator {
    planner: Planner,
    token: u64,
    /// Polls that are held, by worker.
    polls: BTreeMap<WorkerKey, PendingPoll>,
    /// Held polls of agents without a registered worker, and polls that a later one has overtaken.
    strangers: Vec<PendingPoll>,
    pending_replies: Vec<PendingReply>,
    /// Replies whose commands have not been proposed yet.
    unproposed: Vec<(call::Reply, Reply)>,
    members: Vec<SocketAddr>,
    /// Agents that have had an answer to a poll from this leader.
    greeted: map::Set<String>,
    /// Tickets for operators' orders.
    tickets: ticket::Counter,
}

impl Coordinator {
    /// Creates a coordinator from the replicated state; the fencing token must rise with each
    /// leadership.
    pub fn new(registry: &Registry, token: u64, options: planner::Options) -> Self {
        Self {
            planner: Planner::new(registry, clock::mono_ms(), options),
            token,
            polls: BTreeMap::new(),
            strangers: Vec::new(),
            pending_replies: Vec::new(),
            unproposed: Vec::new(),
            members: Vec::new(),
            greeted: map::Set::default(),
            tickets: ticket::Counter::new(token),
        }
    }

    /// Sets the addresses of the control members, which are sent to agents and entries.
    pub fn set_members(&mut self, members: Vec<SocketAddr>) {
        self.members = members;
    }

    /// Returns the planner with the state of its decisions.
    pub fn planner(&self) -> &Planner {
        &self.planner
    }

    /// Handles a call: answers it at once or holds the reply until the answer is known.
    pub fn call(&mut self, registry: &Registry, index: Index, call: Call, reply: call::Reply) {
        match call {
            Call::Request(request) => self.request(registry, request, reply),
            Call::Declare(catalog) => self.declare(catalog, Limits::default(), reply),
            Call::DeclareWithin(catalog, limits) => self.declare(catalog, limits, reply),
            Call::Evacuate {
                domain,
                evacuated,
                ticket,
            } => match self.tickets.redeem(ticket) {
                Ok(()) => {
                    self.planner.evacuate(domain, evacuated);
                    self.unproposed.push((reply, Reply::Evacuation(evacuated)));
                }
                Err(valid) => reply.send(Frame::FlowReply(Reply::Ticket(valid))),
            },
            Call::ReadCatalog => {
                let catalog = registry.catalog();
                let answer = Reply::Catalog(catalog.version, catalog.document.clone());
                reply.send(Frame::FlowReply(answer));
            }
            Call::Poll(poll) => {
                let until_ms = clock::mono_ms() + poll.wait_ms.min(MAX_POLL_MS);
                let pending = PendingPoll {
                    poll,
                    until_ms,
                    reply,
                };
                self.answer_poll(registry, index, clock::mono_ms(), pending);
            }
            Call::Report(report) => {
                self.planner.report(clock::mono_ms(), *report);
                reply.send(Frame::Ok);
            }
            Call::Limits => {
                reply.send(Frame::FlowReply(Reply::Limits(registry.limits())));
            }
            Call::Members | Call::Join { .. } | Call::Enrol(_) => {
                reply.send(Frame::FlowReply(Reply::Members(self.members.clone())));
            }
        }
    }

    fn declare(&mut self, catalog: Box<Catalog>, limits: Limits, reply: call::Reply) {
        let version = catalog.version;
        self.planner.declare(catalog, limits);
        self.unproposed
            .push((reply, Reply::Catalog(version, bytes::Bytes::new())));
    }

    fn request(&mut self, registry: &Registry, request: Request, reply: call::Reply) {
        let Request {
            host,
            path,
            key,
            action,
        } = request;
        let (answer, needs_log) =
            self.planner
                .request(registry, &host, &path, key.as_deref(), action);
        let answer = Reply::Answer(answer);
        if needs_log {
            self.unproposed.push((reply, answer));
        } else {
            reply.send(Frame::FlowReply(answer));
        }
    }

    /// Makes decisions and returns the commands to be logged.
    pub fn decide(&mut self) -> Vec<Command> {
        self.planner.decide(clock::mono_ms(), clock::wall_ms())
    }

    /// Records the index at which the log will hold everything decided so far.
    pub fn record_proposed(&mut self, index: Index) {
        for (reply, answer) in std::mem::take(&mut self.unproposed) {
            self.pending_replies.push(PendingReply {
                index,
                reply,
                answer,
            });
        }
    }

    /// Reports whether callers wait for decisions that have not been proposed.
    pub fn has_unproposed(&self) -> bool {
        !self.unproposed.is_empty()
    }

    /// Answers callers whose decisions the log holds up to an index.
    pub fn answer_applied(&mut self, index: Index) {
        let all = std::mem::take(&mut self.pending_replies);
        let (done, open): (Vec<PendingReply>, Vec<PendingReply>) =
            all.into_iter().partition(|pending| pending.index <= index);
        self.pending_replies = open;
        for pending in done {
            pending.reply.send(Frame::FlowReply(pending.answer));
        }
    }

    /// Answers the polls of workers that have changed. Must be called only while this member holds the
    /// leader lease, as each answer is a grant.
    pub fn answer_changed(&mut self, registry: &Registry, index: Index, workers: &[WorkerKey]) {
        let now = clock::mono_ms();
        for key in workers {
            if let Some(poll) = self.polls.remove(key) {
                self.answer_poll(registry, index, now, poll);
            }
        }
    }

    /// Answers the polls that are due. Must be called only while this member holds the leader lease.
    pub fn answer_due(&mut self, registry: &Registry, index: Index) {
        let now = clock::mono_ms();
        let is_due = |(_key, pending): &(&WorkerKey, &PendingPoll)| {
            now >= pending.until_ms || pending.reply.is_closed()
        };
        let due: Vec<WorkerKey> = self
            .polls
            .iter()
            .filter(is_due)
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            if let Some(poll) = self.polls.remove(&key) {
                self.answer_poll(registry, index, now, poll);
            }
        }
        for pending in std::mem::take(&mut self.strangers) {
            self.answer_poll(registry, index, now, pending);
        }
    }

    /// Answers a poll that has something new or has timed out, or holds it.
    fn answer_poll(&mut self, registry: &Registry, index: Index, now: u64, pending: PendingPoll) {
        if pending.reply.is_closed() {
            return;
        }
        let key = registry.polled_worker(&pending.poll);
        let worker = key.and_then(|key| registry.worker(key));
        let changed = worker.is_some_and(|worker| worker.changed_index > pending.poll.seen_index);
        // An agent must hear of a new leader at once, and reports to it then.
        let is_new = pending.poll.seen_index == 0 || !self.greeted.contains(&pending.poll.instance);
        let is_first_poll = is_new && worker.is_some();
        let has_news = changed || is_first_poll || now >= pending.until_ms;
        // A worker that is being declared lost gets no grant: its agent is answered once the log
        // holds that decision.
        if !has_news || key.is_some_and(|key| !self.planner.try_grant(now, key)) {
            self.hold(key, pending);
            return;
        }
        self.greeted.insert(pending.poll.instance.clone());
        let orders = Orders {
            token: self.token,
            members: self.members.clone(),
            ..registry.orders(index, &pending.poll)
        };
        pending
            .reply
            .send(Frame::FlowReply(Reply::Orders(Box::new(orders))));
    }

    /// Holds a poll until its worker changes; an agent's later poll takes the place of an earlier one.
    fn hold(&mut self, key: Option<WorkerKey>, pending: PendingPoll) {
        match key {
            Some(key) => {
                if let Some(earlier) = self.polls.insert(key, pending) {
                    self.strangers.push(earlier);
                }
            }
            None => self.strangers.push(pending),
        }
    }

    /// Answers everyone who waits that this member has lost leadership.
    pub fn step_down(self) {
        let pending_replies = self
            .pending_replies
            .into_iter()
            .map(|pending| pending.reply);
        let unproposed = self.unproposed.into_iter().map(|(reply, _answer)| reply);
        for reply in pending_replies.chain(unproposed) {
            reply.fail(leadership_lost());
        }
        for pending in self.polls.into_values().chain(self.strangers) {
            pending.reply.send(Frame::Redirect { leader: None });
        }
    }
}

/// Returns the error for callers whose commands may or may not reach the log.
fn leadership_lost() -> crate::error::Error {
    crate::error::Error::new(
        crate::error::Kind::NotLeader,
        "leadership was lost before the decision was durable",
    )
    .with_ran(crate::error::Ran::Unknown)
}
