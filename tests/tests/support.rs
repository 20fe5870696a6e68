//! What several tests share.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oriolereel::raft::Id;
use oriolereel::raft::log::Log;
use oriolereel::raft::members::Members;
use oriolereel::raft::message::{Entry, HardState, Message, Payload};
use oriolereel::raft::node::{Effects, Node, Start, Timing, Write};
use proptest::test_runner::{Config, RngSeed};

/// Settings of a property: a fixed seed, few cases in CI, more by `ORIOLEREEL_CASES`.
pub fn proptest(few: u32) -> Config {
    let asked = std::env::var("ORIOLEREEL_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    let seed = std::env::var("ORIOLEREEL_SEED")
        .ok()
        .and_then(|text| text.parse().ok());
    Config {
        cases: asked.unwrap_or(few),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed.unwrap_or(1)),
        ..Config::default()
    }
}

/// Longest virtual time for an election; all bounds of recovery are far above.
const ELECTED_WITHIN_MS: u64 = 5_000;

/// Virtual time that a message takes.
const STEP_MS: u64 = 10;

/// Address of a member, by its identity.
pub fn member_addr(id: Id) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, (id & 255) as u8], 7000))
}

/// A member of a new group.
pub fn start(id: Id, seed: u64, ids: &[Id]) -> Node {
    let voters: BTreeMap<Id, SocketAddr> = ids.iter().map(|id| (*id, member_addr(*id))).collect();
    let first = Entry {
        index: 1,
        term: 0,
        payload: Payload::Members(Members::initial(voters)),
    };
    let start = Start {
        id,
        hard_state: HardState::default(),
        log: Log::new(0, 0, Members::default(), vec![first]),
        seed,
    };
    Node::new(start, Timing::default(), 1_000)
}

/// Passes virtual time until a member leads and has a commit of its own; writes take no time.
pub fn elect(nodes: &mut BTreeMap<Id, Node>) -> Option<(Id, u64)> {
    let mut under_way = Vec::new();
    for step in 1..=ELECTED_WITHIN_MS / STEP_MS {
        let now = 1_000 + step * STEP_MS;
        pass(nodes, now, &mut under_way);
        let leader = nodes
            .iter()
            .find(|(_id, node)| node.has_committed_in_term());
        if let Some((id, _node)) = leader {
            return Some((*id, now));
        }
    }
    None
}

/// Delivers what is under way, then lets every member look at its clock.
pub fn pass(nodes: &mut BTreeMap<Id, Node>, now: u64, under_way: &mut Vec<Message>) {
    let mut sent = Vec::new();
    for message in std::mem::take(under_way) {
        if let Some(node) = nodes.get_mut(&message.to) {
            let effects = node.receive(now, message);
            sent.extend(store(node, now, effects));
        }
    }
    for node in nodes.values_mut() {
        let effects = node.tick(now);
        sent.extend(store(node, now, effects));
    }
    *under_way = sent;
}

/// Makes writes durable at once; returns all messages.
fn store(node: &mut Node, now: u64, effects: Effects) -> Vec<Message> {
    let mut sent = effects.messages;
    sent.extend(effects.after_write);
    let last = effects.writes.iter().rev().find_map(|write| match write {
        Write::Append(entries) => entries.last().map(|entry| (entry.index, entry.term)),
        _ => None,
    });
    if let Some((index, term)) = last {
        let more = node.mark_durable(now, index, term);
        sent.extend(store(node, now, more));
    }
    sent
}
