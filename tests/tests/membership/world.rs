//! Machines of a control group, the network between them, and what must hold after each step.

#[path = "change.rs"]
mod change;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use bytes::Bytes;
use oriolereel::control::join::Requests;
use oriolereel::control::size::{Goal, Losses, Place};
use oriolereel::dev;
use oriolereel::raft::members::Members;
use oriolereel::raft::message::{Entry, Message, Payload};
use oriolereel::raft::node::{Effects, Node, Start, Timing, Write};
use oriolereel::raft::{Id, Index, Term};
use oriolereel::store::{self, Identity, Store, identity};

use super::step::Step;
use crate::raft::fake::Disk;

/// Virtual time between two rounds, and so the delay of a message.
const ROUND_MS: u64 = 20;

/// Silence after which a standby takes the place of a voter.
const SILENCE_MS: u64 = 3_000;

/// Interval at which a member without contact asks to be in the group.
const ENROL_MS: u64 = 400;

/// Lowest identity that is not one of a founding member.
const FIRST_NEW_ID: Id = 1 << 33;

/// Maximum number of machines.
const MAX_MACHINES: usize = 12;

/// Number of founding members.
const FOUNDERS: usize = 3;

pub struct Running {
    pub id: Id,
    pub node: Node,
    store: Store<Disk>,
    requests: Requests,
    places: BTreeMap<Id, Place>,
    /// Index of each proposed entry that is not committed yet, with its term and content.
    proposed: BTreeMap<Index, (Term, Bytes)>,
    /// Writes that wait for the disk, in order.
    unwritten: VecDeque<Unwritten>,
}

struct Unwritten {
    writes: Vec<Write>,
    after: Vec<Message>,
    /// Last entry of the writes.
    last: Option<(Index, Term)>,
}

pub struct Machine {
    pub addr: SocketAddr,
    disk: Disk,
    pub running: Option<Running>,
    /// Time at which a process that is down starts again.
    starts_ms: u64,
    frozen_until_ms: u64,
    cut_in_until_ms: u64,
    cut_out_until_ms: u64,
    full_until_ms: u64,
    /// Messages that arrived while the machine was frozen.
    inbox: Vec<Packet>,
    /// Identities that the machine had while its disk was whole.
    identities: Vec<Id>,
    /// Identity of the other machine whose disk was copied to this one.
    copied: Option<Id>,
}

#[derive(Clone)]
struct Packet {
    from_addr: SocketAddr,
    to_addr: SocketAddr,
    message: Message,
}

pub struct World {
    pub now: u64,
    pub goal: Goal,
    pub machines: Vec<Machine>,
    network: Vec<Packet>,
    next_id: Id,
    next_port: u16,
    next_content: u64,
    pub leaders: BTreeMap<Term, (Id, SocketAddr)>,
    committed: BTreeMap<Index, Entry>,
    pub acknowledged: BTreeMap<Index, Bytes>,
    /// Identities whose disk was lost on purpose.
    lost: BTreeSet<Id>,
    /// Identities that were ever in a committed membership.
    joined: BTreeSet<Id>,
}

impl World {
    pub fn new(machines: usize, losses: usize) -> Self {
        let mut world = Self {
            now: 1_000,
            goal: Goal {
                losses: Losses {
                    instances: losses,
                    ..Losses::default()
                },
                silence_ms: SILENCE_MS,
            },
            machines: Vec::new(),
            network: Vec::new(),
            next_id: FIRST_NEW_ID,
            next_port: 1,
            next_content: 0,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            lost: BTreeSet::new(),
            joined: BTreeSet::new(),
        };
        let founders: BTreeMap<Id, SocketAddr> = (1..=FOUNDERS as u16)
            .map(|number| (Id::from(number), dev::loopback(number)))
            .collect();
        for number in 0..machines {
            let at = world.add_machine();
            if number < FOUNDERS {
                let initial = Some(Members::initial(founders.clone()));
                let id = number as Id + 1;
                let disk = &mut world.machines[at].disk;
                store::init(disk, Identity::from(id), initial).expect("an empty disk");
            }
            world.start(at);
        }
        world
    }

    fn add_machine(&mut self) -> usize {
        let addr = dev::loopback(self.next_port);
        self.next_port += 1;
        self.machines.push(Machine {
            addr,
            disk: Disk::default(),
            running: None,
            starts_ms: 0,
            frozen_until_ms: 0,
            cut_in_until_ms: 0,
            cut_out_until_ms: 0,
            full_until_ms: 0,
            inbox: Vec::new(),
            identities: Vec::new(),
            copied: None,
        });
        self.machines.len() - 1
    }

    fn new_identity(&mut self, addr: SocketAddr) -> Identity {
        self.next_id += 1;
        Identity {
            addr: Some(addr),
            ..Identity::from(self.next_id)
        }
    }

    /// Starts the process of a machine as the daemon does: an empty disk gets a new identity.
    fn start(&mut self, at: usize) {
        let addr = self.machines[at].addr;
        let found = identity::identity(&mut self.machines[at].disk).expect("a readable disk");
        let id = match found {
            Some(identity) => identity.id,
            None => {
                let identity = self.new_identity(addr);
                store::init(&mut self.machines[at].disk, identity, None).expect("an empty disk");
                identity.id
            }
        };
        let now = self.now;
        let machine = &mut self.machines[at];
        let disk = std::mem::take(&mut machine.disk);
        let (store, recovered) = Store::open(disk, id).expect("a readable disk");
        let start = Start {
            id,
            hard_state: recovered.hard_state,
            log: recovered.log,
            seed: id,
        };
        if !machine.identities.contains(&id) && machine.copied != Some(id) {
            machine.identities.push(id);
        }
        machine.running = Some(Running {
            id,
            node: Node::new(start, Timing::default(), now),
            store,
            requests: Requests::default(),
            places: BTreeMap::new(),
            proposed: BTreeMap::new(),
            unwritten: VecDeque::new(),
        });
    }

    fn crash(&mut self, at: usize, kept_unsynced: usize, down_ms: u64) {
        let starts_ms = self.now + down_ms;
        let machine = &mut self.machines[at];
        machine.inbox.clear();
        machine.starts_ms = starts_ms.max(machine.frozen_until_ms);
        if let Some(running) = machine.running.take() {
            machine.disk = running.store.into_disk();
            machine.disk.crash(kept_unsynced);
        }
    }

    pub fn apply(&mut self, step: &Step) {
        let count = self.machines.len();
        let pick = |machine: u8| usize::from(machine) % count;
        match *step {
            Step::RunFor(ms) => self.run_for(ms),
            Step::Propose => self.propose(),
            Step::Freeze(machine, ms) => self.freeze(pick(machine), ms),
            Step::FreezeLeader(ms) => {
                if let Some(leader) = self.leader() {
                    self.freeze(leader, ms);
                }
            }
            Step::Fill(machine, ms) => self.fill(pick(machine), ms),
            Step::FillLeader(ms) => {
                if let Some(leader) = self.leader() {
                    self.fill(leader, ms);
                }
            }
            Step::Cut(machine, ms) => {
                self.cut(pick(machine), true, ms);
                self.cut(pick(machine), false, ms);
            }
            Step::CutOneWay {
                machine,
                inbound,
                ms,
            } => self.cut(pick(machine), inbound, ms),
            Step::Kill {
                machine,
                kept_unsynced,
                down_ms,
            } => self.crash(pick(machine), kept_unsynced, down_ms),
            Step::Wipe(machine) => self.wipe(pick(machine)),
            Step::PowerOff => {
                for at in 0..count {
                    self.crash(at, 7, 500);
                }
            }
            Step::Replace(machine) => self.replace(pick(machine)),
            Step::ReplaceLeader => {
                if let Some(leader) = self.leader() {
                    self.replace(leader);
                }
            }
            Step::Transfer => {
                if let Some(leader) = self.leader() {
                    self.with_node(leader, Node::transfer_leadership);
                }
            }
            Step::LeaderEnded(machine) => {
                let now = self.now;
                if let Some(running) = &mut self.machines[pick(machine)].running
                    && let Some(leader) = running.node.leader()
                {
                    running.node.leader_ended(now, leader);
                }
            }
            Step::Twin(machine) => self.twin(pick(machine)),
        }
        self.check();
    }

    fn freeze(&mut self, at: usize, ms: u64) {
        self.machines[at].frozen_until_ms = self.now + ms;
    }

    fn fill(&mut self, at: usize, ms: u64) {
        self.machines[at].full_until_ms = self.now + ms;
    }

    fn cut(&mut self, at: usize, inbound: bool, ms: u64) {
        let until_ms = self.now + ms;
        if inbound {
            self.machines[at].cut_in_until_ms = until_ms;
        } else {
            self.machines[at].cut_out_until_ms = until_ms;
        }
    }

    /// Returns the identities that still count towards the quorum although their disk is lost, or
    /// whose machine has not caught up since.
    fn open_losses(&self) -> usize {
        let Some(leader) = self.leader() else {
            return usize::MAX;
        };
        let Some(running) = &self.machines[leader].running else {
            return usize::MAX;
        };
        let voters = &running.node.members().voters;
        let wanted = self.wanted_voters();
        let lost = voters.keys().filter(|id| self.lost.contains(id)).count();
        lost + wanted.saturating_sub(voters.len())
    }

    fn wipe(&mut self, at: usize) {
        if self.open_losses() >= self.goal.losses.instances {
            return;
        }
        self.lost.extend(self.machines[at].identities.last());
        self.crash(at, 0, 300);
        self.machines[at].disk = Disk::default();
        self.machines[at].identities.clear();
    }

    fn replace(&mut self, at: usize) {
        if self.open_losses() >= self.goal.losses.instances {
            return;
        }
        let Some(running) = &self.machines[at].running else {
            return;
        };
        self.lost.insert(running.id);
        self.machines.remove(at);
        let added = self.add_machine();
        self.start(added);
    }

    fn twin(&mut self, at: usize) {
        if self.machines.len() >= MAX_MACHINES {
            return;
        }
        let Some(running) = &mut self.machines[at].running else {
            return;
        };
        let copied = Some(running.id);
        let disk = running.store.disk_mut().clone();
        let added = self.add_machine();
        self.machines[added].disk = disk;
        self.machines[added].copied = copied;
        self.start(added);
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        for machine in &mut self.machines {
            machine.starts_ms = 0;
            machine.frozen_until_ms = 0;
            machine.cut_in_until_ms = 0;
            machine.cut_out_until_ms = 0;
            machine.full_until_ms = 0;
        }
    }

    pub fn run_for(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += ROUND_MS;
            self.round();
            self.check();
        }
    }

    fn round(&mut self) {
        for at in 0..self.machines.len() {
            let machine = &self.machines[at];
            if machine.running.is_none() && self.now >= machine.starts_ms && !self.is_full(at) {
                self.start(at);
            }
        }
        for packet in std::mem::take(&mut self.network) {
            self.deliver(packet);
        }
        for at in 0..self.machines.len() {
            if self.is_frozen(at) {
                continue;
            }
            for packet in std::mem::take(&mut self.machines[at].inbox) {
                self.receive(at, packet);
            }
            self.write(at);
            self.with_node(at, Node::tick);
            self.change_membership(at);
            self.enrol(at);
        }
    }

    pub fn is_frozen(&self, at: usize) -> bool {
        self.now < self.machines[at].frozen_until_ms
    }

    fn is_full(&self, at: usize) -> bool {
        self.now < self.machines[at].full_until_ms
    }

    fn position(&self, addr: SocketAddr) -> Option<usize> {
        self.machines
            .iter()
            .position(|machine| machine.addr == addr)
    }

    fn is_linked(&self, from: usize, to: usize) -> bool {
        self.now >= self.machines[from].cut_out_until_ms
            && self.now >= self.machines[to].cut_in_until_ms
    }

    fn deliver(&mut self, packet: Packet) {
        let Some(to) = self.position(packet.to_addr) else {
            return;
        };
        let is_linked = self
            .position(packet.from_addr)
            .is_some_and(|from| self.is_linked(from, to));
        if !is_linked {
            return;
        }
        if self.is_frozen(to) {
            self.machines[to].inbox.push(packet);
        } else {
            self.receive(to, packet);
        }
    }

    fn receive(&mut self, at: usize, packet: Packet) {
        let Some(running) = &self.machines[at].running else {
            return;
        };
        let from = packet.message.from;
        let members = running.node.members();
        if members.check_identity(from, packet.from_addr).is_err() {
            return;
        }
        self.with_node(at, |node, now| node.receive(now, packet.message));
    }

    fn with_node(&mut self, at: usize, call: impl FnOnce(&mut Node, u64) -> Effects) {
        let now = self.now;
        let Some(running) = &mut self.machines[at].running else {
            return;
        };
        let effects = call(&mut running.node, now);
        self.process(at, effects);
    }

    fn process(&mut self, at: usize, effects: Effects) {
        let Some(running) = &mut self.machines[at].running else {
            return;
        };
        let last = effects.writes.iter().rev().find_map(|write| match write {
            Write::Append(entries) => entries.last().map(|entry| (entry.index, entry.term)),
            _ => None,
        });
        running.unwritten.push_back(Unwritten {
            writes: effects.writes,
            after: effects.after_write,
            last,
        });
        self.send(at, effects.messages);
        for entry in effects.committed {
            self.commit(at, entry);
        }
        self.write(at);
    }

    /// Carries out the writes that wait, unless the disk is full.
    fn write(&mut self, at: usize) {
        while !self.is_full(at)
            && let Some(running) = &mut self.machines[at].running
            && let Some(unwritten) = running.unwritten.pop_front()
        {
            let written = running.store.write(&unwritten.writes);
            written.expect("a healthy disk");
            self.send(at, unwritten.after);
            if let Some((index, term)) = unwritten.last {
                self.with_node(at, |node, now| node.mark_durable(now, index, term));
            }
        }
    }

    fn send(&mut self, at: usize, messages: Vec<Message>) {
        let from_addr = self.machines[at].addr;
        for message in messages {
            let Some(running) = &self.machines[at].running else {
                return;
            };
            // A member that knows no address yet answers the sender.
            let known = running.node.members().addr(message.to);
            let Some(to_addr) = known.or_else(|| self.addr_of(message.to)) else {
                continue;
            };
            self.network.push(Packet {
                from_addr,
                to_addr,
                message,
            });
        }
    }

    fn addr_of(&self, id: Id) -> Option<SocketAddr> {
        let has_id = |machine: &&Machine| machine.identities.last() == Some(&id);
        self.machines
            .iter()
            .find(has_id)
            .map(|machine| machine.addr)
    }

    fn commit(&mut self, at: usize, entry: Entry) {
        let first = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        assert_eq!(
            (first.term, &first.payload),
            (entry.term, &entry.payload),
            "two entries are committed at {}",
            entry.index
        );
        if let Payload::Members(members) = &entry.payload {
            let all = members.voters.keys().chain(members.learners.keys());
            self.joined.extend(all);
        }
        let Some(running) = &mut self.machines[at].running else {
            return;
        };
        if let Some((term, content)) = running.proposed.remove(&entry.index)
            && term == entry.term
        {
            self.acknowledged.insert(entry.index, content);
        }
    }

    fn propose(&mut self) {
        let Some(at) = self.leader() else { return };
        self.next_content += 1;
        let content = Bytes::from(self.next_content.to_be_bytes().to_vec());
        let now = self.now;
        let Some(running) = &mut self.machines[at].running else {
            return;
        };
        let term = running.node.term();
        let Ok((index, effects)) = running.node.propose(now, content.clone()) else {
            return;
        };
        running.proposed.insert(index, (term, content));
        self.process(at, effects);
    }

    /// Returns the machine that leads under a lease and is not frozen.
    pub fn leader(&self) -> Option<usize> {
        let leads =
            |running: &Running| running.node.has_lease() && running.node.has_committed_in_term();
        (0..self.machines.len()).find(|at| {
            !self.is_frozen(*at) && self.machines[*at].running.as_ref().is_some_and(leads)
        })
    }
}
