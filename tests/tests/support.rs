//! Helpers that several tests share.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oriolereel::raft::Id;
use oriolereel::raft::log::Log;
use oriolereel::raft::members::Members;
use oriolereel::raft::message::{Entry, HardState, Message, Payload};
use oriolereel::raft::node::{Effects, Node, Start, Timing, Write};
use proptest::test_runner::{Config, RngSeed};

/// Configuration of a property test: a fixed seed and a default number of cases, which
/// `ORIOLEREEL_SEED` and `ORIOLEREEL_CASES` override.
pub fn proptest_config(default_cases: u32) -> Config {
    let cases = std::env::var("ORIOLEREEL_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    let seed = std::env::var("ORIOLEREEL_SEED")
        .ok()
        .and_then(|text| text.parse().ok());
    Config {
        cases: cases.unwrap_or(default_cases),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed.unwrap_or(1)),
        ..Config::default()
    }
}

/// Longest virtual time for an election, far below every recovery limit.
const MAX_ELECTION_MS: u64 = 5_000;

/// Virtual time between two steps, and so the delay of a message.
const STEP_MS: u64 = 10;

/// Returns the address of a member.
pub fn member_addr(id: Id) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, (id & 255) as u8], 7000))
}

/// Starts a member of a new group with the voters `ids`.
pub fn start_node(id: Id, seed: u64, ids: &[Id]) -> Node {
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

/// Advances virtual time until a leader has committed an entry of its own term.
///
/// Returns the leader and the time. Writes take no virtual time.
pub fn elect_leader(nodes: &mut BTreeMap<Id, Node>) -> Option<(Id, u64)> {
    let mut in_flight = Vec::new();
    for round in 1..=MAX_ELECTION_MS / STEP_MS {
        let now = 1_000 + round * STEP_MS;
        step(nodes, now, &mut in_flight);
        let leader = nodes
            .iter()
            .find(|(_id, node)| node.has_committed_in_term());
        if let Some((id, _node)) = leader {
            return Some((*id, now));
        }
    }
    None
}

/// Delivers the messages in flight, then ticks every member.
pub fn step(nodes: &mut BTreeMap<Id, Node>, now: u64, in_flight: &mut Vec<Message>) {
    let mut sent = Vec::new();
    for message in std::mem::take(in_flight) {
        if let Some(node) = nodes.get_mut(&message.to) {
            let effects = node.receive(now, message);
            sent.extend(complete_writes(node, now, effects));
        }
    }
    for node in nodes.values_mut() {
        let effects = node.tick(now);
        sent.extend(complete_writes(node, now, effects));
    }
    *in_flight = sent;
}

/// Marks all writes durable at once and returns the messages to send.
fn complete_writes(node: &mut Node, now: u64, effects: Effects) -> Vec<Message> {
    let mut sent = effects.messages;
    sent.extend(effects.after_write);
    let last = effects.writes.iter().rev().find_map(|write| match write {
        Write::Append(entries) => entries.last().map(|entry| (entry.index, entry.term)),
        _ => None,
    });
    if let Some((index, term)) = last {
        let more = node.mark_durable(now, index, term);
        sent.extend(complete_writes(node, now, more));
    }
    sent
}
