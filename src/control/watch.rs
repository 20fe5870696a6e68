//! Long polls for configuration and grants; every member answers them from the state that it has
//! applied.

use std::collections::BTreeMap;

use crate::ledger;
use crate::ledger::apply;
use crate::raft::Index;
use crate::sched::Millis;
use crate::wire::call;
use crate::wire::frame::{self, Frame};

/// Longest time for which a poll is held open.
const MAX_POLL_MS: u64 = 1_000;

#[derive(Debug)]
struct Watcher {
    watch: frame::Watch,
    until_ms: u64,
    reply: call::Reply,
}

/// Open polls, with the changes that decide when they are answered.
#[derive(Debug, Default)]
pub struct Watchers {
    open: Vec<Watcher>,
    /// Index at which each agent's grants last changed.
    changed: BTreeMap<String, Index>,
    /// Index of the snapshot restored last; changes up to it are not known per agent.
    snapshot_index: Index,
}

/// Inputs of an answer besides the ledger.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Monotonic clock.
    pub now: u64,
    /// Leader's clock, as estimated by this member.
    pub leader_now: Millis,
    pub fresh: bool,
}

impl Watchers {
    /// Resets the recorded changes after the state was replaced by a snapshot.
    pub fn reset(&mut self, snapshot_index: Index) {
        self.snapshot_index = snapshot_index;
        self.changed.clear();
    }

    /// Records which agents' grants a log entry has changed.
    pub fn record_changes(&mut self, index: Index, changeset: &apply::Changeset) {
        for agent in &changeset.agents {
            self.changed.insert(agent.clone(), index);
        }
    }

    /// Adds a poll.
    pub fn add(&mut self, now: u64, watch: frame::Watch, reply: call::Reply) {
        let until_ms = now + watch.wait_ms.min(MAX_POLL_MS);
        self.open.push(Watcher {
            watch,
            until_ms,
            reply,
        });
    }

    /// Answers polls that have something new or have timed out.
    pub fn answer_polls(&mut self, ledger: &ledger::Ledger, view: &View) {
        let open = std::mem::take(&mut self.open);
        for watcher in open {
            if self.is_due(&watcher, ledger, view) {
                let update = self.update(&watcher.watch, ledger, view);
                watcher.reply.send(Frame::Update(update));
            } else if !watcher.reply.is_closed() {
                self.open.push(watcher);
            }
        }
    }

    fn is_due(&self, watcher: &Watcher, ledger: &ledger::Ledger, view: &View) -> bool {
        let node = &watcher.watch.node;
        let config = ledger.config().generation > node.generation;
        let grants = node.role == frame::Role::Agent
            && ledger.applied() >= watcher.watch.seen
            && self.changed_at(&node.name) > watcher.watch.seen;
        config || grants || view.now >= watcher.until_ms
    }

    fn changed_at(&self, agent: &str) -> Index {
        self.changed
            .get(agent)
            .copied()
            .unwrap_or(self.snapshot_index)
    }

    fn update(&self, watch: &frame::Watch, ledger: &ledger::Ledger, view: &View) -> frame::Update {
        let is_agent = watch.node.role == frame::Role::Agent;
        let jobs = ledger.granted(&watch.node.name).filter(|_job| is_agent);
        let grants = jobs
            .filter_map(|job| grant(ledger, job, watch.seen, view))
            .collect();
        frame::Update {
            index: ledger.applied(),
            fresh: view.fresh,
            config: ledger.catchup(watch.node.generation),
            grants,
            has_grants: is_agent,
        }
    }
}

/// Builds the grant to send to its agent; the body is included only if the grant is new to it.
fn grant(
    ledger: &ledger::Ledger,
    job: &ledger::Job,
    seen: Index,
    view: &View,
) -> Option<frame::Grant> {
    let grant = job.grant()?;
    let member = |member: &crate::sched::event::Member| {
        let worker = ledger.worker(member.worker)?;
        Some(frame::Member {
            worker: member.worker,
            name: worker.name.clone(),
            addr: worker.addr,
            tasks: member.tasks,
        })
    };
    let members: Option<Vec<frame::Member>> = grant.placement.members.iter().map(member).collect();
    let is_new = grant.token > seen;
    Some(frame::Grant {
        job: job.id,
        attempt: grant.attempt,
        token: grant.token,
        incarnation: grant.incarnation,
        account: job.request.account.clone(),
        service: job.request.service.clone(),
        repeatable: job.request.repeatable,
        content_type: job.request.content_type.clone(),
        body: if is_new {
            job.request.body.clone()
        } else {
            bytes::Bytes::new()
        },
        members: members?,
        each: job.requirements.each,
        remaining_ms: job.deadline_ms().saturating_sub(view.leader_now),
        stop: grant.stop,
        throttled: grant.throttled,
    })
}
