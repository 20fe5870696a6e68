//! One member's state machine: consensus, ledger, and the leader's duty while it leads.

mod admin;
mod flow;
mod group;
mod snapshot;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crossbeam::channel;

use crate::clock;
use crate::control::disk;
use crate::control::flow::Coordinator;
use crate::control::join;
use crate::control::leader;
use crate::control::watch;
use crate::error;
use crate::flow::message;
use crate::flow::planner::Planner;
use crate::ledger;
use crate::ledger::command;
use crate::raft::message as raft_message;
use crate::raft::node;
use crate::raft::{Id, Index};
use crate::sched::{JobId, Millis};
use crate::store;
use crate::telemetry;
use crate::wire::call;
use crate::wire::frame::{self, Frame};
use crate::wire::transport;

/// Applied entries after which a snapshot is taken.
const SNAPSHOT_ENTRIES: Index = 8_192;

/// Entries kept in memory behind a snapshot, for members that are a little behind.
const KEPT_ENTRIES: Index = 2_048;

/// Time allowed for a message to another member.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest time that a caller's poll is held.
const MAX_WAIT_MS: u64 = 20_000;

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    pub region: String,
    pub addr: SocketAddr,
    pub leader: leader::Options,
}

/// A caller that waits for a job to move on.
#[derive(Debug)]
struct Awaiter {
    seen: u32,
    until_ms: u64,
    reply: call::Reply,
}

/// A member.
#[derive(Debug)]
pub struct Member {
    options: Options,
    node: node::Node,
    ledger: ledger::Ledger,
    leader: Option<leader::Leader>,
    /// The leader's duty towards jobs of several steps.
    coordinator: Option<Coordinator>,
    join_requests: join::Requests,
    transport: transport::Transport,
    disk: channel::Sender<disk::Request>,
    snapshot: Option<store::Snapshot>,
    saving: bool,
    watchers: watch::Watchers,
    awaiters: BTreeMap<JobId, Vec<Awaiter>>,
    changers: Vec<(Index, call::Reply)>,
    /// Addresses of members as their messages tell them.
    peers: BTreeMap<Id, SocketAddr>,
    /// Leader's clock at the last entry, and the own monotonic clock then.
    clock: (Millis, u64),
}

impl Member {
    /// Makes a member from what its disk holds.
    ///
    /// # Errors
    /// `Storage` when the snapshot cannot be decoded.
    pub fn new(
        options: Options,
        id: Id,
        recovered: store::Recovered,
        transport: transport::Transport,
        disk: channel::Sender<disk::Request>,
    ) -> error::Result<Self> {
        let ledger = match &recovered.snapshot {
            Some(snapshot) => ledger::Ledger::decode(&snapshot.data)?,
            None => ledger::Ledger::default(),
        };
        let start = node::Start {
            id,
            hard_state: recovered.hard_state,
            log: recovered.log,
            seed: options.leader.seed,
        };
        let mut watchers = watch::Watchers::default();
        watchers.reset(ledger.applied());
        Ok(Self {
            options,
            node: node::Node::new(start, node::Timing::default(), clock::mono_ms()),
            ledger,
            leader: None,
            coordinator: None,
            join_requests: join::Requests::default(),
            transport,
            disk,
            snapshot: recovered.snapshot,
            saving: false,
            watchers,
            awaiters: BTreeMap::new(),
            changers: Vec::new(),
            peers: BTreeMap::new(),
            clock: (0, clock::mono_ms()),
        })
    }

    /// The consensus core, to be read.
    pub fn node(&self) -> &node::Node {
        &self.node
    }

    /// The replicated state, to be read.
    pub fn ledger(&self) -> &ledger::Ledger {
        &self.ledger
    }

    /// The leader's soft state, while this member leads.
    pub fn leader(&self) -> Option<&leader::Leader> {
        self.leader.as_ref()
    }

    /// The decisions on jobs of several steps, while this member leads.
    pub fn planner(&self) -> Option<&Planner> {
        self.coordinator.as_ref().map(Coordinator::planner)
    }

    /// Settings, to be read.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Takes calls that came together, then decides and logs once.
    pub fn calls(&mut self, calls: impl IntoIterator<Item = call::Call>) {
        for call in calls {
            self.call(call.frame, call.reply);
        }
        self.decide();
    }

    /// Advances the clocks.
    pub fn tick(&mut self) {
        let effects = self.node.tick(clock::mono_ms());
        self.process(effects);
        self.follow_role();
        if let Some(leader) = &mut self.leader {
            leader.tick(&self.ledger, clock::wall_ms());
        }
        self.decide();
        self.reconcile();
        let leased = self.node.has_lease();
        if let Some(coordinator) = self.coordinator.as_mut().filter(|_coordinator| leased) {
            coordinator.answer_polls(self.ledger.flow(), self.ledger.applied());
        }
        self.expire_awaiters();
        self.answer_watchers();
        self.maybe_snapshot();
        telemetry::TERM.set(self.node.term() as i64);
        telemetry::APPLIED.set(self.ledger.applied() as i64);
        telemetry::LEADER.set(i64::from(self.leader.is_some()));
        telemetry::GENERATION.set(self.ledger.config().generation as i64);
    }

    /// Hands leadership over, for a graceful shutdown.
    pub fn hand_over(&mut self) {
        let effects = self.node.transfer_leadership(clock::mono_ms());
        self.process(effects);
    }

    /// Takes word from the disk thread.
    pub fn disk_done(&mut self, done: disk::Completion) {
        match done {
            disk::Completion::Written { after, last } => {
                self.send(after);
                if let Some((index, term)) = last {
                    let effects = self.node.mark_durable(clock::mono_ms(), index, term);
                    self.process(effects);
                }
            }
            disk::Completion::Saved { index } => {
                self.saving = false;
                self.node.compact(index.saturating_sub(KEPT_ENTRIES));
            }
        }
    }

    fn call(&mut self, frame: Frame, reply: call::Reply) {
        match frame {
            Frame::Raft { message, addr } => {
                self.peers.insert(message.from, addr);
                let effects = self.node.receive(clock::mono_ms(), message);
                self.process(effects);
                reply.send(Frame::Ok);
            }
            Frame::Watch(watch) => {
                self.watchers.add(clock::mono_ms(), watch, reply);
                self.answer_watchers();
            }
            Frame::Query(frame::Query::Status) => reply.send(admin::status(self)),
            frame => self.lead(frame, reply),
        }
    }

    /// Handles what only the leader may.
    fn lead(&mut self, frame: Frame, reply: call::Reply) {
        self.follow_role();
        if self.leader.is_none() || !self.node.has_lease() {
            let known = self
                .node
                .leader()
                .filter(|leader| *leader != self.node.id());
            let leader = known.and_then(|id| self.addr_of(id));
            reply.send(Frame::Redirect { leader });
            return;
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        match frame {
            Frame::Submit { request } => leader.submit(&self.ledger, request, reply),
            Frame::Report(report) => {
                let want_full = leader.report(&self.ledger, report);
                reply.send(Frame::Reported { want_full });
            }
            Frame::Finish(finish) => leader.finish(&self.ledger, finish, reply),
            Frame::Configure { config, dry_run } => {
                leader.configure(&self.ledger, *config, dry_run, reply);
            }
            Frame::Await {
                account,
                job,
                seen,
                wait_ms,
            } => {
                self.await_job(&account, job, seen, wait_ms, reply);
            }
            Frame::Cancel { account, job } => match leader.cancel(&self.ledger, &account, job) {
                Ok(()) => self.await_job(&account, job, u32::MAX - 1, MAX_WAIT_MS / 4, reply),
                Err(err) => reply.fail(err),
            },
            Frame::Decisions { account, job } => {
                reply.send(admin::decisions(self, Some(&account), job));
            }
            Frame::Query(query) => reply.send(admin::answer(self, &query)),
            Frame::Flow(message::Call::Join { id, addr, blank }) => {
                self.join(id, addr, blank, reply);
            }
            Frame::Flow(call) => {
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.call(self.ledger.flow(), self.ledger.applied(), call, reply);
                }
            }
            Frame::Change(change) => match self.node.propose_change(clock::mono_ms(), &change) {
                Ok((index, effects)) => {
                    self.changers.push((index, reply));
                    self.process(effects);
                }
                Err(err) => reply.fail(err),
            },
            _ => reply.fail(error::Error::new(
                error::Kind::Malformed,
                "a control member does not take this message",
            )),
        }
    }

    fn await_job(
        &mut self,
        account: &str,
        job: JobId,
        seen: u32,
        wait_ms: u64,
        reply: call::Reply,
    ) {
        let found = self
            .ledger
            .job(job)
            .filter(|job| job.request.account == account);
        let Some(found) = found else {
            reply.fail(leader::unknown_request());
            return;
        };
        let view = leader::view(&self.ledger, found, true);
        if view.stage.mark(found.attempts) > seen || wait_ms == 0 {
            reply.send(Frame::View(view));
            return;
        }
        let until_ms = clock::mono_ms() + wait_ms.min(MAX_WAIT_MS);
        self.awaiters.entry(job).or_default().push(Awaiter {
            seen,
            until_ms,
            reply,
        });
    }

    /// Logs what the leader has decided.
    fn decide(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let at_ms = clock::wall_ms();
        let mut commands = leader.decide(&self.ledger, at_ms);
        if let Some(coordinator) = &mut self.coordinator {
            commands.extend(coordinator.decide().into_iter().map(command::Command::Flow));
        }
        if commands.is_empty() {
            self.answer_pressed();
            return;
        }
        let batch = command::Batch { at_ms, commands };
        let proposed = batch
            .encode()
            .and_then(|data| self.node.propose(clock::mono_ms(), data));
        match proposed {
            Ok((index, effects)) => {
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.record_proposed(index);
                }
                self.process(effects);
            }
            // What was decided is lost with the leadership; callers are told so.
            Err(err) => {
                log::info!("decision not logged: {err}");
                self.step_down();
            }
        }
    }

    /// Takes up or lays down the leader's duty as the consensus core says.
    fn follow_role(&mut self) {
        let leads = self.node.role() == node::Role::Leader;
        if !leads && self.leader.is_some() {
            self.step_down();
        }
        let settled =
            self.node.has_committed_in_term() && self.ledger.applied() == self.node.commit_index();
        if leads && self.leader.is_none() && settled {
            log::info!(term = self.node.term(); "leads");
            let now = clock::wall_ms();
            self.leader = Some(leader::Leader::new(&self.ledger, now, self.options.leader));
            let mut coordinator = Coordinator::new(self.ledger.flow(), self.node.term());
            coordinator.set_members(self.addresses());
            self.coordinator = Some(coordinator);
        }
    }

    /// Answers callers whose words need nothing new in the log once it holds what it has now.
    fn answer_pressed(&mut self) {
        let last = self.node.last_index();
        if let Some(coordinator) = self
            .coordinator
            .as_mut()
            .filter(|coordinator| coordinator.has_unproposed())
        {
            coordinator.record_proposed(last);
            coordinator.answer_applied(self.ledger.applied());
        }
    }

    fn step_down(&mut self) {
        if let Some(leader) = self.leader.take() {
            log::info!(term = self.node.term(); "leads no longer");
            leader.step_down();
        }
        if let Some(coordinator) = self.coordinator.take() {
            coordinator.step_down();
        }
        for awaiter in std::mem::take(&mut self.awaiters).into_values().flatten() {
            awaiter.reply.send(Frame::Redirect { leader: None });
        }
        for (_index, reply) in std::mem::take(&mut self.changers) {
            reply.send(Frame::Redirect { leader: None });
        }
    }

    fn process(&mut self, effects: node::Effects) {
        let node::Effects {
            messages,
            writes,
            after_write,
            restore,
            committed,
            chunk_requests,
        } = effects;
        self.send(messages);
        if !writes.is_empty() || !after_write.is_empty() {
            self.write(writes, after_write);
        }
        if let Some((index, data)) = restore {
            self.restore(index, &data);
        }
        for entry in committed {
            self.apply(entry);
        }
        for request in chunk_requests {
            self.install(&request);
        }
    }

    fn write(&mut self, writes: Vec<node::Write>, after: Vec<raft_message::Message>) {
        if writes.is_empty() {
            // Nothing of this depends on a write, but order with earlier ones must be kept.
            self.push(disk::Request::Write {
                writes,
                after,
                last: None,
            });
            return;
        }
        let last = writes.iter().rev().find_map(|write| match write {
            node::Write::Append(entries) => entries.last().map(|entry| (entry.index, entry.term)),
            _ => None,
        });
        for write in &writes {
            if let node::Write::Snapshot {
                index,
                term,
                members,
                data,
            } = write
            {
                self.snapshot = Some(store::Snapshot {
                    index: *index,
                    term: *term,
                    members: members.clone(),
                    data: data.clone(),
                });
            }
        }
        self.push(disk::Request::Write {
            writes,
            after,
            last,
        });
    }

    fn push(&self, job: disk::Request) {
        // The ring bounds what is in memory; waiting here slows the member to its disk's pace.
        if self.disk.send(job).is_err() {
            log::error!("the disk thread has stopped");
        }
    }

    fn send(&self, messages: Vec<raft_message::Message>) {
        for message in messages {
            let Some(addr) = self.addr_of(message.to) else {
                continue;
            };
            let frame = Frame::Raft {
                message,
                addr: self.options.addr,
            };
            self.transport.notify(addr, frame, MESSAGE_TIMEOUT);
        }
    }

    fn addr_of(&self, id: Id) -> Option<SocketAddr> {
        self.node
            .members()
            .addr(id)
            .or_else(|| self.peers.get(&id).copied())
    }

    fn apply(&mut self, entry: raft_message::Entry) {
        let index = entry.index;
        match entry.payload {
            raft_message::Payload::Noop => self.ledger.skip(index),
            raft_message::Payload::Members(_) => {
                self.ledger.skip(index);
                self.answer_changers(index);
            }
            raft_message::Payload::Command(data) => self.apply_commands(index, &data),
        }
    }

    fn apply_commands(&mut self, index: Index, data: &[u8]) {
        let batch = match command::Batch::decode(data) {
            Ok(batch) => batch,
            Err(err) => {
                // Going on would let this member's state differ from the others'.
                log::error!("entry {index}: {err}; this member stops");
                std::process::abort();
            }
        };
        self.clock = (batch.at_ms.max(self.clock.0), clock::mono_ms());
        let changeset = self.ledger.apply(index, batch);
        self.watchers.record_changes(index, &changeset);
        if let Some(leader) = &mut self.leader {
            leader.applied(&self.ledger, &changeset);
        }
        let leased = self.node.has_lease();
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.answer_applied(index);
            if leased {
                coordinator.answer_polls(self.ledger.flow(), index);
            }
        }
        for job in &changeset.jobs {
            self.serve_awaiters(*job);
        }
        if changeset.config || !changeset.agents.is_empty() {
            self.answer_watchers();
        }
    }

    fn serve_awaiters(&mut self, id: JobId) {
        let Some(waiting) = self.awaiters.remove(&id) else {
            return;
        };
        let Some(job) = self.ledger.job(id) else {
            return;
        };
        let mut open = Vec::new();
        for awaiter in waiting {
            let view = leader::view(&self.ledger, job, true);
            if view.stage.mark(job.attempts) > awaiter.seen {
                awaiter.reply.send(Frame::View(view));
            } else {
                open.push(awaiter);
            }
        }
        if !open.is_empty() {
            self.awaiters.insert(id, open);
        }
    }

    /// Answers polls whose time is up with the state as it is.
    fn expire_awaiters(&mut self) {
        let now = clock::mono_ms();
        for (id, waiting) in std::mem::take(&mut self.awaiters) {
            let mut open = Vec::new();
            for awaiter in waiting {
                if awaiter.reply.is_closed() {
                    continue;
                }
                match self.ledger.job(id) {
                    Some(job) if now >= awaiter.until_ms => {
                        let view = leader::view(&self.ledger, job, true);
                        awaiter.reply.send(Frame::View(view));
                    }
                    Some(_job) => open.push(awaiter),
                    None => awaiter.reply.fail(leader::unknown_request()),
                }
            }
            if !open.is_empty() {
                self.awaiters.insert(id, open);
            }
        }
    }

    fn answer_watchers(&mut self) {
        let now = clock::mono_ms();
        let (ledger_ms, at_ms) = self.clock;
        let view = watch::View {
            now,
            leader_now: ledger_ms + now.saturating_sub(at_ms),
            fresh: self.node.is_fresh(),
        };
        self.watchers.answer_polls(&self.ledger, &view);
    }
}
