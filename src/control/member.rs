//! The state machine of one control member: consensus, the ledger, and the leader's state while
//! this member is the leader.

mod admin;
mod flow;
mod group;
mod poll;
mod search;
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
use crate::control::probe;
use crate::control::size;
use crate::control::watch;
use crate::error;
use crate::flow::bounds::Bounds;
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

/// Number of applied entries after which a snapshot is taken, however small they are.
const SNAPSHOT_ENTRIES: Index = 8_192;

/// Maximum growth of the log between two snapshots where nothing else is set, in bytes.
pub const MAX_LOG_BYTES: u64 = 16 << 20;

/// Maximum number of entries that stay in memory although a snapshot covers them, for members that are
/// slightly behind, and their maximum size in bytes.
const RETAINED_ENTRIES: Index = 2_048;
const RETAINED_BYTES: usize = 4 << 20;

/// Time allowed for sending a message to another member.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    pub place: size::Place,
    pub addr: SocketAddr,
    /// What the group must bear; `None` if operators add and remove members by hand.
    pub goal: Option<size::Goal>,
    pub bounds: Bounds,
    /// Growth of the log on the disk at which a snapshot is taken, in bytes.
    pub max_log_bytes: u64,
    pub leader: leader::Options,
}

/// A control member.
#[derive(Debug)]
pub struct Member {
    options: Options,
    node: node::Node,
    ledger: ledger::Ledger,
    leader: Option<leader::Leader>,
    /// Decides on jobs of several steps, while this member is the leader.
    coordinator: Option<Coordinator>,
    join_requests: join::Requests,
    /// Places of the members, as they have told this leader.
    places: BTreeMap<Id, size::Place>,
    /// Limits log lines on the group's state.
    notices: group::Notices,
    transport: transport::Transport,
    disk: channel::Sender<disk::Request>,
    snapshot: Option<store::Snapshot>,
    is_saving_snapshot: bool,
    log_size: snapshot::LogSize,
    watchers: watch::Watchers,
    job_polls: BTreeMap<JobId, Vec<poll::Poll>>,
    /// Queries for the leader that wait until there is one.
    queries: Vec<search::Query>,
    probe: probe::Probe,
    last_probe_ms: u64,
    pending_changes: Vec<(Index, call::Reply)>,
    /// Addresses of members, as given in their messages.
    peers: BTreeMap<Id, SocketAddr>,
    /// The leader's clock in the last entry, and this member's monotonic clock when it was applied.
    leader_clock: (Millis, u64),
}

impl Member {
    /// Creates a member from what its disk holds.
    ///
    /// # Errors
    /// `Storage` when the snapshot cannot be decoded, `Internal` when no thread can be started.
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
        let place = options.place.clone();
        Ok(Self {
            options,
            node: node::Node::new(start, node::Timing::default(), clock::mono_ms()),
            ledger,
            leader: None,
            coordinator: None,
            join_requests: join::Requests::default(),
            places: BTreeMap::from([(id, place)]),
            notices: group::Notices::default(),
            transport,
            disk,
            snapshot: recovered.snapshot,
            is_saving_snapshot: false,
            log_size: snapshot::LogSize::new(recovered.log_bytes),
            watchers,
            job_polls: BTreeMap::new(),
            queries: Vec::new(),
            probe: probe::Probe::start()?,
            last_probe_ms: 0,
            pending_changes: Vec::new(),
            peers: BTreeMap::new(),
            leader_clock: (0, clock::mono_ms()),
        })
    }

    /// Returns the consensus core.
    pub fn node(&self) -> &node::Node {
        &self.node
    }

    /// Returns the replicated state.
    pub fn ledger(&self) -> &ledger::Ledger {
        &self.ledger
    }

    /// Returns the leader's volatile state, while this member is the leader.
    pub fn leader(&self) -> Option<&leader::Leader> {
        self.leader.as_ref()
    }

    /// Returns the planner for jobs of several steps, while this member is the leader.
    pub fn planner(&self) -> Option<&Planner> {
        self.coordinator.as_ref().map(Coordinator::planner)
    }

    /// Returns the settings.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Handles calls that arrived together, then decides and logs once.
    pub fn handle_calls(&mut self, calls: impl IntoIterator<Item = call::Call>) {
        for call in calls {
            self.handle_call(call.frame, call.reply);
        }
        self.decide();
    }

    /// Advances the clocks and does periodic work.
    pub fn tick(&mut self) {
        self.watch_leader();
        let effects = self.node.tick(clock::mono_ms());
        self.perform(effects);
        self.update_role();
        self.answer_queries();
        if let Some(leader) = &mut self.leader {
            leader.tick(&self.ledger, clock::wall_ms());
        }
        self.decide();
        self.update_membership();
        let has_lease = self.node.has_lease();
        if let Some(coordinator) = self.coordinator.as_mut().filter(|_coordinator| has_lease) {
            coordinator.answer_due(self.ledger.flow(), self.ledger.applied());
        }
        self.answer_expired_job_polls();
        self.answer_watchers();
        self.snapshot_if_due();
        telemetry::TERM.set(self.node.term() as i64);
        telemetry::APPLIED.set(self.ledger.applied() as i64);
        telemetry::LOG_MEMORY_BYTES.set(self.node.log().bytes() as i64);
        telemetry::LOG_MEMORY_ENTRIES.set(self.node.log().len() as i64);
        telemetry::LEADER.set(i64::from(self.leader.is_some()));
        telemetry::EVACUATED_DOMAINS.set(self.ledger.flow().evacuated_domains().len() as i64);
        telemetry::GENERATION.set(self.ledger.config().generation as i64);
    }

    /// Transfers leadership to another member, for a graceful shutdown.
    pub fn transfer_leadership(&mut self) {
        let effects = self.node.transfer_leadership(clock::mono_ms());
        self.perform(effects);
    }

    /// Handles a completion from the disk thread.
    pub fn handle_completion(&mut self, completion: disk::Completion) {
        match completion {
            disk::Completion::Written {
                after,
                last,
                log_bytes,
            } => {
                self.log_size.record_write(log_bytes);
                self.send(after);
                if let Some((index, term)) = last {
                    let effects = self.node.mark_durable(clock::mono_ms(), index, term);
                    self.perform(effects);
                }
            }
            disk::Completion::Saved { index, log_bytes } => {
                self.log_size.record_snapshot(log_bytes);
                self.is_saving_snapshot = false;
                let log = self.node.log();
                let removable = log.removable_to(index, RETAINED_ENTRIES, RETAINED_BYTES);
                self.node.compact(removable);
            }
        }
    }

    fn handle_call(&mut self, frame: Frame, reply: call::Reply) {
        match frame {
            Frame::Raft { message, addr } => {
                if let Err(err) = self.check_identity(message.from, addr) {
                    reply.fail(err);
                    return;
                }
                self.peers.insert(message.from, addr);
                let effects = self.node.receive(clock::mono_ms(), message);
                self.perform(effects);
                reply.send(Frame::Ok);
            }
            Frame::Watch(watch) => {
                self.watchers.add(clock::mono_ms(), watch, reply);
                self.answer_watchers();
            }
            Frame::Query(frame::Query::Status) => reply.send(admin::status(self)),
            frame => self.handle_leader_call(frame, reply),
        }
    }

    /// Handles a call that only the leader may answer.
    fn handle_leader_call(&mut self, frame: Frame, reply: call::Reply) {
        self.update_role();
        if self.leader.is_none() || !self.node.has_lease() {
            self.redirect(&frame, reply);
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
                self.poll_job(&account, job, seen, wait_ms, reply);
            }
            Frame::Cancel { account, job } => match leader.cancel(&self.ledger, &account, job) {
                Ok(()) => self.poll_job(&account, job, u32::MAX - 1, poll::MAX_POLL_MS / 4, reply),
                Err(err) => reply.fail(err),
            },
            Frame::Decisions { account, job } => {
                reply.send(admin::decisions(self, Some(&account), job));
            }
            Frame::Query(query) => reply.send(admin::answer(self, &query)),
            Frame::Flow(message::Call::Join { id, addr, blank }) => {
                self.join(id, addr, blank, reply);
            }
            Frame::Flow(message::Call::Enrol(enrolment)) => self.enrol(enrolment, reply),
            Frame::Flow(call) => {
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.call(self.ledger.flow(), self.ledger.applied(), call, reply);
                }
            }
            Frame::Change(change) => match self.node.propose_change(clock::mono_ms(), &change) {
                Ok((index, effects)) => {
                    self.pending_changes.push((index, reply));
                    self.perform(effects);
                }
                Err(err) => reply.fail(err),
            },
            _ => reply.fail(error::Error::new(
                error::Kind::Malformed,
                "message not supported by a control member",
            )),
        }
    }

    /// Proposes the leader's decisions to the log.
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
            self.answer_unproposed();
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
                self.perform(effects);
            }
            // The decisions are lost together with the leadership; callers get an error.
            Err(err) => {
                log::info!("decisions not proposed: {err}");
                self.step_down();
            }
        }
    }

    /// Creates or drops the leader's state according to the role in the consensus core.
    fn update_role(&mut self) {
        let is_leader = self.node.role() == node::Role::Leader;
        if !is_leader && self.leader.is_some() {
            self.step_down();
        }
        let is_caught_up =
            self.node.has_committed_in_term() && self.ledger.applied() == self.node.commit_index();
        if is_leader && self.leader.is_none() && is_caught_up {
            log::info!(term = self.node.term(); "became leader");
            let now = clock::wall_ms();
            self.leader = Some(leader::Leader::new(&self.ledger, now, self.options.leader));
            let mut coordinator = Coordinator::new(
                self.ledger.flow(),
                self.node.term(),
                self.options.bounds.into(),
            );
            coordinator.set_members(self.addresses());
            self.coordinator = Some(coordinator);
        }
    }

    /// Answers callers whose requests need no new entry, once the current log is applied.
    fn answer_unproposed(&mut self) {
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
            log::info!(term = self.node.term(); "lost leadership");
            leader.step_down();
        }
        if let Some(coordinator) = self.coordinator.take() {
            coordinator.step_down();
        }
        for poll in std::mem::take(&mut self.job_polls).into_values().flatten() {
            poll.reply.send(Frame::Redirect { leader: None });
        }
        for (_index, reply) in std::mem::take(&mut self.pending_changes) {
            reply.send(Frame::Redirect { leader: None });
        }
    }

    fn perform(&mut self, effects: node::Effects) {
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
            self.enqueue_writes(writes, after_write);
        }
        if let Some((index, data)) = restore {
            self.restore(index, &data);
        }
        for entry in committed {
            self.apply(entry);
        }
        for request in chunk_requests {
            self.send_chunk(&request);
        }
    }

    fn enqueue_writes(&mut self, writes: Vec<node::Write>, after: Vec<raft_message::Message>) {
        if writes.is_empty() {
            // These messages depend on no write, but must stay in order with earlier ones.
            self.enqueue(disk::Request::Write {
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
        self.enqueue(disk::Request::Write {
            writes,
            after,
            last,
        });
    }

    fn enqueue(&self, request: disk::Request) {
        // The bounded queue limits memory; blocking here slows the member to its disk's speed.
        if self.disk.send(request).is_err() {
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
                self.answer_pending_changes(index);
            }
            raft_message::Payload::Command(data) => self.apply_commands(index, &data),
        }
    }

    fn apply_commands(&mut self, index: Index, data: &[u8]) {
        let batch = match command::Batch::decode(data) {
            Ok(batch) => batch,
            Err(err) => {
                // Continuing would let this member's state diverge from the others'.
                log::error!("cannot decode entry {index}, aborting: {err}");
                std::process::abort();
            }
        };
        self.leader_clock = (batch.at_ms.max(self.leader_clock.0), clock::mono_ms());
        let changeset = self.ledger.apply(index, batch);
        self.watchers.record_changes(index, &changeset);
        if let Some(leader) = &mut self.leader {
            leader.answer_applied(&self.ledger, &changeset);
        }
        let has_lease = self.node.has_lease();
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.answer_applied(index);
            if has_lease {
                coordinator.answer_changed(self.ledger.flow(), index, &changeset.workers);
            }
        }
        for job in &changeset.jobs {
            self.answer_job_polls(*job);
        }
        if changeset.config || !changeset.agents.is_empty() {
            self.answer_watchers();
        }
    }

    fn answer_watchers(&mut self) {
        let now = clock::mono_ms();
        let (leader_ms, at_ms) = self.leader_clock;
        let view = watch::View {
            now,
            leader_now: leader_ms + now.saturating_sub(at_ms),
            fresh: self.node.is_fresh(),
        };
        self.watchers.answer_polls(&self.ledger, &view);
    }
}
