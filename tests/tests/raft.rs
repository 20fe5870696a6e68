//! Consensus, store and ledger together, over a simulated network and simulated disks in virtual
//! time.

#[path = "raft/cases.rs"]
mod cases;
#[path = "raft/change.rs"]
mod change;
#[path = "raft/fake.rs"]
pub mod fake;
#[path = "raft/step.rs"]
mod step;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use oriolereel::config::{self, diff};
use oriolereel::ledger::Ledger;
use oriolereel::ledger::command::{Batch, Command};
use oriolereel::raft::log;
use oriolereel::raft::members::{self, Members};
use oriolereel::raft::message::{Body, Entry, Message, Payload};
use oriolereel::raft::node::{Effects, Node, Role, Start, Timing};
use oriolereel::raft::{Id, Index, Millis, Term};
use oriolereel::store::{self, Snapshot, Store};
use oriolereel::{dev, error};
use proptest::prelude::*;

use fake::Disk;
use step::Step;

use crate::support;

struct Running {
    node: Node,
    store: Store<Disk>,
    ledger: Ledger,
    snapshot: Option<Snapshot>,
}

struct Member {
    /// The disk while the member is down; otherwise its store holds it.
    disk: Disk,
    running: Option<Running>,
}

#[derive(Default)]
struct Cluster {
    now: Millis,
    members: BTreeMap<Id, Member>,
    network: Vec<Message>,
    /// Sender and receiver pairs whose messages are lost.
    blocked: Vec<(Id, Id)>,
    leaders: BTreeMap<Term, Id>,
    /// Term and checksum of each applied entry.
    applied: BTreeMap<Index, (Term, u32)>,
    /// Generations acknowledged to an operator, with their hashes.
    acked: BTreeMap<u64, config::Hash>,
    /// Proposals that are not applied yet, by index: the member that proposed them, its term, and
    /// the generation and hash of the proposed configuration.
    pending: BTreeMap<Index, (Id, Term, u64, config::Hash)>,
    /// Highest identity used so far.
    last_id: Id,
}

fn addr(id: Id) -> SocketAddr {
    dev::loopback(id as u16)
}

impl Cluster {
    fn new(size: Id) -> Self {
        let mut cluster = Self {
            now: 1_000,
            last_id: size,
            ..Self::default()
        };
        let voters: BTreeMap<Id, SocketAddr> = (1..=size).map(|id| (id, addr(id))).collect();
        for id in 1..=size {
            let mut disk = Disk::default();
            let first = Some(Members::initial(voters.clone()));
            store::init(&mut disk, id, first).expect("an empty disk");
            cluster.members.insert(
                id,
                Member {
                    disk,
                    running: None,
                },
            );
            cluster.start(id);
        }
        cluster
    }

    fn start(&mut self, id: Id) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        if member.running.is_some() {
            return;
        }
        let disk = std::mem::take(&mut member.disk);
        let (store, recovered) = Store::open(disk, id).expect("a readable disk");
        let ledger = match &recovered.snapshot {
            Some(snapshot) => Ledger::decode(&snapshot.data).expect("a readable snapshot"),
            None => Ledger::default(),
        };
        let start = Start {
            id,
            hard_state: recovered.hard_state,
            log: recovered.log,
            seed: id * 7_919,
        };
        let node = Node::new(start, Timing::default(), now);
        let snapshot = recovered.snapshot;
        member.running = Some(Running {
            node,
            store,
            ledger,
            snapshot,
        });
    }

    fn crash(&mut self, id: Id, kept_unsynced: usize) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        let Some(running) = member.running.take() else {
            return;
        };
        member.disk = running.store.into_disk();
        member.disk.crash(kept_unsynced);
        self.pending
            .retain(|_index, (proposer, ..)| *proposer != id);
    }

    fn with_node(&mut self, id: Id, call: impl FnOnce(&mut Node, Millis) -> Effects) {
        let now = self.now;
        let Some(running) = self
            .members
            .get_mut(&id)
            .and_then(|member| member.running.as_mut())
        else {
            return;
        };
        let effects = call(&mut running.node, now);
        self.process(id, effects);
    }

    fn process(&mut self, id: Id, effects: Effects) {
        let Effects {
            messages,
            writes,
            after_write,
            restore,
            committed,
            chunk_requests,
        } = effects;
        self.network.extend(messages);
        let last = writes.iter().rev().find_map(|write| match write {
            oriolereel::raft::node::Write::Append(entries) => {
                entries.last().map(|entry| (entry.index, entry.term))
            }
            _ => None,
        });
        let Some(running) = self
            .members
            .get_mut(&id)
            .and_then(|member| member.running.as_mut())
        else {
            return;
        };
        for write in &writes {
            if let oriolereel::raft::node::Write::Snapshot {
                index,
                term,
                members,
                data,
            } = write
            {
                let (index, term) = (*index, *term);
                let (members, data) = (members.clone(), data.clone());
                running.snapshot = Some(Snapshot {
                    index,
                    term,
                    members,
                    data,
                });
            }
        }
        if running.store.write(&writes).is_err() {
            self.crash(id, 17);
            return;
        }
        self.network.extend(after_write);
        if let Some((_index, data)) = restore {
            running.ledger = Ledger::decode(&data).expect("a readable snapshot");
        }
        for entry in committed {
            self.apply(id, entry);
        }
        for request in chunk_requests {
            let Some(running) = self.running(id) else {
                continue;
            };
            let Some(snapshot) = running.snapshot.clone() else {
                continue;
            };
            let chunk = snapshot.chunk(request.index, request.offset, 64);
            self.with_node(id, |node, now| node.provide_chunk(now, request.to, chunk));
        }
        if let Some((index, term)) = last {
            self.with_node(id, |node, now| node.mark_durable(now, index, term));
        }
    }

    fn running(&mut self, id: Id) -> Option<&mut Running> {
        self.members.get_mut(&id)?.running.as_mut()
    }

    fn apply(&mut self, id: Id, entry: Entry) {
        let data = match &entry.payload {
            Payload::Command(data) => data.clone(),
            Payload::Noop | Payload::Members(_) => Bytes::new(),
        };
        let fingerprint = (entry.term, crc32fast::hash(&data));
        let first = *self.applied.entry(entry.index).or_insert(fingerprint);
        assert_eq!(
            first, fingerprint,
            "member {id} applied a different entry at index {}",
            entry.index
        );
        let Some(running) = self.running(id) else {
            return;
        };
        assert_eq!(
            running.ledger.applied() + 1,
            entry.index,
            "member {id} skipped an entry"
        );
        let before = running.ledger.config().generation;
        match entry.payload {
            Payload::Command(data) => {
                running
                    .ledger
                    .apply(entry.index, Batch::decode(&data).expect("a batch"));
            }
            Payload::Noop | Payload::Members(_) => running.ledger.skip(entry.index),
        }
        let after = running.ledger.config().generation;
        assert!(
            after >= before,
            "member {id} went from generation {before} back to {after}"
        );
        let hash = running.ledger.revision(after).map(|revision| revision.hash);
        if let Some((proposer, term, generation, proposed_hash)) =
            self.pending.get(&entry.index).copied()
            && proposer == id
        {
            self.pending.remove(&entry.index);
            if term == entry.term && generation == after && hash == Some(proposed_hash) {
                let first = *self.acked.entry(generation).or_insert(proposed_hash);
                assert_eq!(
                    first, proposed_hash,
                    "two configurations were acknowledged as generation {generation}"
                );
            }
        }
    }

    /// Proposes a configuration of the next generation at a member.
    fn propose(&mut self, id: Id, weight: u32) {
        let now = self.now;
        let Some(running) = self.running(id) else {
            return;
        };
        let old = running.ledger.config().clone();
        let mut new = old.clone();
        new.generation += 1;
        new.weights.completion = weight;
        let hash = new.hash();
        let delta = diff::Delta::between(&old, &new);
        let command = Command::Configure {
            delta,
            hash,
            changes: Vec::new(),
        };
        let batch = Batch {
            at_ms: now,
            commands: vec![command],
        };
        let term = running.node.term();
        let data = batch.encode().expect("a batch");
        if let Ok((index, effects)) = running.node.propose(now, data) {
            self.pending.insert(index, (id, term, new.generation, hash));
            self.process(id, effects);
        }
    }

    fn snapshot(&mut self, id: Id) {
        let Some(running) = self.running(id) else {
            return;
        };
        let index = running.ledger.applied();
        let last = running
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.index);
        let Some(term) = running.node.log().term(index).filter(|_term| index > last) else {
            return;
        };
        let members = running.node.log().members_at(index);
        let data = running.ledger.encode().expect("a snapshot");
        let snapshot = Snapshot {
            index,
            term,
            members,
            data,
        };
        let after = running.node.log().slice(index + 1, usize::MAX);
        running.snapshot = Some(snapshot.clone());
        if running.store.save_snapshot(snapshot, after).is_err() {
            self.crash(id, 5);
            return;
        }
        running.node.compact(index);
    }

    fn deliver(&mut self, pick: usize, keep: bool) {
        if self.network.is_empty() {
            return;
        }
        let position = pick % self.network.len();
        let message = if keep {
            self.network[position].clone()
        } else {
            self.network.remove(position)
        };
        if !self.blocked.contains(&(message.from, message.to)) {
            let to = message.to;
            self.with_node(to, |node, now| node.receive(now, message));
        }
    }

    /// Advances the time and delivers all messages except the blocked ones.
    fn run_for(&mut self, ms: Millis) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 20;
            for id in self.members.keys().copied().collect::<Vec<_>>() {
                self.with_node(id, Node::tick);
            }
            self.promote_learner();
            for _round in 0..6 {
                for message in std::mem::take(&mut self.network) {
                    if !self.blocked.contains(&(message.from, message.to)) {
                        let to = message.to;
                        self.with_node(to, |node, now| node.receive(now, message));
                    }
                }
            }
            self.check();
        }
    }

    fn leader(&self) -> Option<Id> {
        let is_leader = |member: &&Member| {
            let running = member.running.as_ref();
            running.is_some_and(|running| {
                running.node.has_lease() && running.node.has_committed_in_term()
            })
        };
        let found = self.members.iter().find(|(_id, member)| is_leader(member));
        found.map(|(id, _member)| *id)
    }

    fn check(&mut self) {
        let mut lease_holders = 0;
        for (id, member) in &self.members {
            let Some(running) = &member.running else {
                continue;
            };
            if running.node.role() != Role::Leader {
                continue;
            }
            let first = *self.leaders.entry(running.node.term()).or_insert(*id);
            assert_eq!(first, *id, "two leaders in term {}", running.node.term());
            lease_holders += u32::from(running.node.has_lease());
            let has_applied_all = running.ledger.applied() == running.node.commit_index();
            if running.node.has_committed_in_term() && running.node.has_lease() && has_applied_all {
                let generation = running.ledger.config().generation;
                let acked = self.acked.keys().next_back().copied().unwrap_or(0);
                assert!(generation >= acked, "leader {id} lost generation {acked}");
            }
        }
        assert!(
            lease_holders <= 1,
            "{lease_holders} members hold a lease at {}",
            self.now
        );
    }

    /// Restarts all members and removes all faults. Then there must be a leader, and every voter
    /// must have the last acknowledged configuration.
    fn heal_and_check(&mut self) {
        self.blocked.clear();
        for id in self.members.keys().copied().collect::<Vec<_>>() {
            self.start(id);
            if let Some(running) = self.running(id) {
                running.store.disk_mut().operations_left = None;
            }
        }
        self.run_for(8_000);
        let leader = self
            .leader()
            .expect("a leader after all faults are removed");
        self.propose(leader, 99);
        self.run_for(2_000);
        let acked = self.acked.clone();
        // A removal that was not committed in time may have been committed since.
        let leader = self.leader().expect("the leader still leads");
        let group = self
            .running(leader)
            .expect("the leader runs")
            .node
            .members()
            .clone();
        for (id, member) in &self.members {
            let running = member.running.as_ref().expect("all members run");
            let is_voter = group.is_voter(*id);
            let generation = running.ledger.config().generation;
            let last = acked.keys().next_back().copied().unwrap_or(0);
            assert!(
                !is_voter || generation >= last,
                "member {id} lacks generation {last}"
            );
        }
    }
}

fn run(size: Id, steps: &[Step]) {
    let mut cluster = Cluster::new(size);
    cluster.run_for(2_000);
    for step in steps {
        let ids: Vec<Id> = cluster.members.keys().copied().collect();
        let id = |member: &u8| ids[usize::from(*member) % ids.len()];
        match step {
            Step::RunFor(ms) => cluster.run_for(Millis::from(*ms)),
            Step::Tick(ms) => {
                cluster.now += Millis::from(*ms);
                ids.iter().for_each(|id| cluster.with_node(*id, Node::tick));
            }
            Step::Deliver { pick, keep } => cluster.deliver(*pick, *keep),
            Step::Drop(pick) => {
                if !cluster.network.is_empty() {
                    let position = pick % cluster.network.len();
                    cluster.network.swap_remove(position);
                }
            }
            Step::Block { from, to } => cluster.blocked.push((id(from), id(to))),
            Step::Isolate {
                member,
                inbound_only,
            } => {
                let isolated = id(member);
                for other in ids.iter().filter(|other| **other != isolated) {
                    cluster.blocked.push((*other, isolated));
                    if !inbound_only {
                        cluster.blocked.push((isolated, *other));
                    }
                }
            }
            Step::Heal => cluster.blocked.clear(),
            Step::Crash {
                member,
                kept_unsynced,
            } => cluster.crash(id(member), *kept_unsynced),
            Step::FailWrite { member, after } => {
                let id = id(member);
                if let Some(member) = cluster.members.get_mut(&id)
                    && let Some(running) = member.running.take()
                {
                    // Restarts the member with a disk that fails during a later write, like a
                    // crash.
                    member.disk = running.store.into_disk();
                    cluster.start(id);
                    if let Some(running) = cluster.running(id) {
                        running.store.disk_mut().operations_left = Some(u32::from(*after));
                    }
                }
            }
            Step::Restart(member) => cluster.start(id(member)),
            Step::Propose { member, weight } => {
                let proposer = cluster.leader().unwrap_or_else(|| id(member));
                cluster.propose(proposer, u32::from(*weight));
            }
            Step::Snapshot(member) => cluster.snapshot(id(member)),
            Step::Replace(member) => cluster.replace(id(member)),
            Step::Transfer(member) => cluster.with_node(id(member), Node::transfer_leadership),
            Step::LeaderEnded(member) => cluster.tell_leader_ended(id(member)),
        }
        cluster.check();
    }
    cluster.heal_and_check();
}

proptest! {
    #![proptest_config(crate::support::proptest_config(60))]

    #[test]
    fn nothing_acknowledged_is_lost_among_three(
        steps in prop::collection::vec(step::step(), 1..150),
    ) {
        run(3, &steps);
    }

    #[test]
    fn nothing_acknowledged_is_lost_among_five(steps in prop::collection::vec(step::step(), 1..100)) {
        run(5, &steps);
    }
}
