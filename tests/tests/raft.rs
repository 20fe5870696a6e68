//! Consensus, store and ledger together over a fake network and fake disks, in virtual time.

#[path = "raft/cases.rs"]
mod cases;
#[path = "raft/fake.rs"]
mod fake;
#[path = "raft/step.rs"]
mod step;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use oriolereel::config::{self, diff};
use oriolereel::ledger::Ledger;
use oriolereel::ledger::command::{Batch, Command};
use oriolereel::raft::members::{self, Members};
use oriolereel::raft::message::{Entry, Message, Payload};
use oriolereel::raft::node::{Effects, Node, Role, Start, Timing};
use oriolereel::raft::{Id, Index, Millis, Term};
use oriolereel::store::{self, Snapshot, Store};
use oriolereel::{dev, error};
use proptest::prelude::*;

use fake::Disk;
use step::Step;

struct Running {
    node: Node,
    store: Store<Disk>,
    ledger: Ledger,
    snapshot: Option<Snapshot>,
}

struct Member {
    /// Holds the disk while the member is down.
    disk: Disk,
    running: Option<Running>,
}

#[derive(Default)]
struct World {
    now: Millis,
    members: BTreeMap<Id, Member>,
    network: Vec<Message>,
    /// Pairs that cannot talk, in this direction.
    cut: Vec<(Id, Id)>,
    leaders: BTreeMap<Term, Id>,
    applied: BTreeMap<Index, (Term, u32)>,
    /// Generations acknowledged to an operator, with their hashes.
    acked: BTreeMap<u64, config::Hash>,
    /// Proposals that wait, by index, with the member that must apply them.
    waiting: BTreeMap<Index, (Id, Term, u64, config::Hash)>,
    last_id: Id,
}

fn addr(id: Id) -> SocketAddr {
    dev::loopback(id as u16)
}

impl World {
    fn new(size: Id) -> Self {
        let mut world = Self {
            now: 1_000,
            last_id: size,
            ..Self::default()
        };
        let voters: BTreeMap<Id, SocketAddr> = (1..=size).map(|id| (id, addr(id))).collect();
        for id in 1..=size {
            let mut disk = Disk::default();
            let first = Some(Members::initial(voters.clone()));
            store::init(&mut disk, id, first).expect("an empty disk");
            world.members.insert(
                id,
                Member {
                    disk,
                    running: None,
                },
            );
            world.start(id);
        }
        world
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
        let (store, found) = Store::open(disk, id).expect("a readable disk");
        let ledger = match &found.snapshot {
            Some(snapshot) => Ledger::decode(&snapshot.data).expect("a readable snapshot"),
            None => Ledger::default(),
        };
        let start = Start {
            id,
            hard_state: found.hard_state,
            log: found.log,
            seed: id * 7_919,
        };
        let node = Node::new(start, Timing::default(), now);
        let snapshot = found.snapshot;
        member.running = Some(Running {
            node,
            store,
            ledger,
            snapshot,
        });
    }

    fn crash(&mut self, id: Id, torn: usize) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        let Some(running) = member.running.take() else {
            return;
        };
        member.disk = running.store.into_disk();
        member.disk.crash(torn);
        self.waiting.retain(|_index, (by, ..)| *by != id);
    }

    fn with(&mut self, id: Id, act: impl FnOnce(&mut Node, Millis) -> Effects) {
        let now = self.now;
        let Some(running) = self
            .members
            .get_mut(&id)
            .and_then(|member| member.running.as_mut())
        else {
            return;
        };
        let effects = act(&mut running.node, now);
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
            self.with(id, |node, now| node.provide_chunk(now, request.to, chunk));
        }
        if let Some((index, term)) = last {
            self.with(id, |node, now| node.mark_durable(now, index, term));
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
        let mark = (entry.term, crc32fast::hash(&data));
        let first = *self.applied.entry(entry.index).or_insert(mark);
        assert_eq!(
            first, mark,
            "member {id} applied another entry at {}",
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
            "member {id} went back from generation {before} to {after}"
        );
        let hash = running.ledger.revision(after).map(|revision| revision.hash);
        if let Some((by, term, generation, wanted)) = self.waiting.get(&entry.index).copied()
            && by == id
        {
            self.waiting.remove(&entry.index);
            if term == entry.term && generation == after && hash == Some(wanted) {
                let first = *self.acked.entry(generation).or_insert(wanted);
                assert_eq!(
                    first, wanted,
                    "generation {generation} was acknowledged twice"
                );
            }
        }
    }

    /// An operator puts a configuration with the next number forward at a member.
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
            self.waiting.insert(index, (id, term, new.generation, hash));
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
        let at = pick % self.network.len();
        let message = if keep {
            self.network[at].clone()
        } else {
            self.network.remove(at)
        };
        if !self.cut.contains(&(message.from, message.to)) {
            let to = message.to;
            self.with(to, |node, now| node.receive(now, message));
        }
    }

    /// Passes time with a network that works but for the cuts.
    fn pass(&mut self, ms: Millis) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 20;
            for id in self.members.keys().copied().collect::<Vec<_>>() {
                self.with(id, Node::tick);
            }
            for _round in 0..6 {
                for message in std::mem::take(&mut self.network) {
                    if !self.cut.contains(&(message.from, message.to)) {
                        let to = message.to;
                        self.with(to, |node, now| node.receive(now, message));
                    }
                }
            }
            self.check();
        }
    }

    /// A member loses its disk and is replaced by a new one under a new identity.
    ///
    /// Only once an earlier repair is complete: losing one disk after the other before that is a
    /// loss of quorum, in which nothing is promised.
    fn replace(&mut self, id: Id) {
        let Some(leader) = self.leader().filter(|leader| *leader != id) else {
            return;
        };
        if !self.is_repaired(leader) {
            return;
        }
        self.crash(id, 0);
        let removed = self.change(leader, &members::Change::Remove { id }).is_ok();
        self.pass(400);
        let gone = |running: &Running| {
            !running.node.members().is_voter(id)
                && !running
                    .node
                    .log()
                    .has_members_change_after(running.node.commit_index())
        };
        let done = self
            .leader()
            .and_then(|leader| self.running(leader))
            .is_some_and(|it| gone(it));
        if !removed || !done {
            self.start(id);
            return;
        }
        self.members.remove(&id);
        self.last_id += 1;
        let new = self.last_id;
        let mut disk = Disk::default();
        store::init(&mut disk, new, None).expect("an empty disk");
        self.members.insert(
            new,
            Member {
                disk,
                running: None,
            },
        );
        self.start(new);
        if let Some(leader) = self.leader() {
            let added = self.change(
                leader,
                &members::Change::Add {
                    id: new,
                    addr: addr(new),
                },
            );
            if added.is_ok() {
                self.pass(400);
            }
        }
    }

    /// Whether the voters are just the members there are.
    fn is_repaired(&mut self, leader: Id) -> bool {
        let ids: Vec<Id> = self.members.keys().copied().collect();
        self.running(leader).is_some_and(|running| {
            let members = running.node.members();
            let voters: Vec<Id> = members.voters.keys().copied().collect();
            voters == ids && members.learners.is_empty()
        })
    }

    fn change(&mut self, id: Id, change: &members::Change) -> error::Result<()> {
        let now = self.now;
        let Some(running) = self.running(id) else {
            return Err(error::Error::new(error::Kind::NotLeader, "down"));
        };
        let (_index, effects) = running.node.propose_change(now, change)?;
        self.process(id, effects);
        Ok(())
    }

    fn leader(&self) -> Option<Id> {
        let leads = |member: &&Member| {
            let running = member.running.as_ref();
            running.is_some_and(|running| {
                running.node.has_lease() && running.node.has_committed_in_term()
            })
        };
        let found = self.members.iter().find(|(_id, member)| leads(member));
        found.map(|(id, _member)| *id)
    }

    fn check(&mut self) {
        let mut leases = 0;
        for (id, member) in &self.members {
            let Some(running) = &member.running else {
                continue;
            };
            if running.node.role() != Role::Leader {
                continue;
            }
            let first = *self.leaders.entry(running.node.term()).or_insert(*id);
            assert_eq!(first, *id, "two leaders in term {}", running.node.term());
            leases += u32::from(running.node.has_lease());
            let whole = running.ledger.applied() == running.node.commit_index();
            if running.node.has_committed_in_term() && running.node.has_lease() && whole {
                let generation = running.ledger.config().generation;
                let acked = self.acked.keys().next_back().copied().unwrap_or(0);
                assert!(generation >= acked, "leader {id} lost generation {acked}");
            }
        }
        assert!(leases <= 1, "{leases} members hold a lease at {}", self.now);
    }

    /// Heals everything; then a leader must exist and all must agree on what was acknowledged.
    fn settle(&mut self) {
        self.cut.clear();
        for id in self.members.keys().copied().collect::<Vec<_>>() {
            self.start(id);
            if let Some(running) = self.running(id) {
                running.store.disk_mut().fuse = None;
            }
        }
        self.pass(8_000);
        let leader = self.leader().expect("a leader once everything is healed");
        self.propose(leader, 99);
        self.pass(2_000);
        let acked = self.acked.clone();
        // A removal that could not be completed in time may have taken effect since.
        let leader = self.leader().expect("it still leads");
        let group = self
            .running(leader)
            .expect("it runs")
            .node
            .members()
            .clone();
        for (id, member) in &self.members {
            let running = member.running.as_ref().expect("all run");
            let votes = group.is_voter(*id);
            let generation = running.ledger.config().generation;
            let last = acked.keys().next_back().copied().unwrap_or(0);
            assert!(
                !votes || generation >= last,
                "member {id} lacks generation {last}"
            );
        }
    }
}

fn play(size: Id, steps: &[Step]) {
    let mut world = World::new(size);
    world.pass(2_000);
    for step in steps {
        let ids: Vec<Id> = world.members.keys().copied().collect();
        let id = |member: &u8| ids[usize::from(*member) % ids.len()];
        match step {
            Step::Pass(ms) => world.pass(Millis::from(*ms)),
            Step::Tick(ms) => {
                world.now += Millis::from(*ms);
                ids.iter().for_each(|id| world.with(*id, Node::tick));
            }
            Step::Deliver { pick, keep } => world.deliver(*pick, *keep),
            Step::Drop(pick) => {
                if !world.network.is_empty() {
                    let at = pick % world.network.len();
                    world.network.swap_remove(at);
                }
            }
            Step::Cut { from, to } => world.cut.push((id(from), id(to))),
            Step::Isolate {
                member,
                inbound_only,
            } => {
                let alone = id(member);
                for other in ids.iter().filter(|other| **other != alone) {
                    world.cut.push((*other, alone));
                    if !inbound_only {
                        world.cut.push((alone, *other));
                    }
                }
            }
            Step::Heal => world.cut.clear(),
            Step::Crash { member, torn } => world.crash(id(member), *torn),
            Step::FailWrite { member, after } => {
                let id = id(member);
                if let Some(member) = world.members.get_mut(&id)
                    && let Some(running) = member.running.take()
                {
                    // Reopening with a fuse stands for a crash in the middle of a later write.
                    member.disk = running.store.into_disk();
                    world.start(id);
                    if let Some(running) = world.running(id) {
                        running.store.disk_mut().fuse = Some(u32::from(*after));
                    }
                }
            }
            Step::Restart(member) => world.start(id(member)),
            Step::Propose { member, weight } => {
                let at = world.leader().unwrap_or_else(|| id(member));
                world.propose(at, u32::from(*weight));
            }
            Step::Snapshot(member) => world.snapshot(id(member)),
            Step::Replace(member) => world.replace(id(member)),
            Step::Transfer(member) => world.with(id(member), Node::transfer_leadership),
        }
        world.check();
    }
    world.settle();
}

proptest! {
    #![proptest_config(crate::support::proptest(60))]

    #[test]
    fn nothing_acknowledged_is_lost_among_three(
        steps in prop::collection::vec(step::step(), 1..150),
    ) {
        play(3, &steps);
    }

    #[test]
    fn nothing_acknowledged_is_lost_among_five(steps in prop::collection::vec(step::step(), 1..100)) {
        play(5, &steps);
    }
}
