//! Elections among members that start at the same moment.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oriolereel::raft::Id;
use oriolereel::raft::log::Log;
use oriolereel::raft::members::Members;
use oriolereel::raft::message::{Ballot, Entry, Message, Payload};
use oriolereel::raft::node::{Effects, Node, Role, Start, Timing};

/// Bound of recovery: the smallest of the platform's bounds for it is far above.
const ELECTED_WITHIN_MS: u64 = 5_000;

fn start(id: Id, seed: u64, ids: &[Id]) -> Node {
    let addr = |id: &Id| (*id, SocketAddr::from(([10, 0, 0, (*id & 255) as u8], 7000)));
    let voters: BTreeMap<Id, SocketAddr> = ids.iter().map(addr).collect();
    let first = Entry {
        index: 1,
        term: 0,
        payload: Payload::Members(Members::initial(voters)),
    };
    let start = Start {
        id,
        ballot: Ballot::default(),
        log: Log::new(0, 0, Members::default(), vec![first]),
        seed,
    };
    Node::new(start, Timing::default(), 1_000)
}

/// Passes time in steps; each message takes one, writes none.
fn elected_after(nodes: &mut BTreeMap<Id, Node>) -> Option<u64> {
    const STEP_MS: u64 = 10;
    let mut under_way: Vec<Message> = Vec::new();
    for step in 1..=ELECTED_WITHIN_MS / STEP_MS {
        let now = 1_000 + step * STEP_MS;
        let mut sent: Vec<Message> = Vec::new();
        let mut collect = |effects: Effects| {
            sent.extend(effects.messages);
            sent.extend(effects.after_write);
        };
        for message in std::mem::take(&mut under_way) {
            if let Some(node) = nodes.get_mut(&message.to) {
                collect(node.receive(now, message));
            }
        }
        for node in nodes.values_mut() {
            collect(node.tick(now));
        }
        under_way = sent;
        if nodes.values().any(|node| node.role() == Role::Leader) {
            return Some(step * STEP_MS);
        }
    }
    None
}

struct Case {
    name: &'static str,
    ids: &'static [Id],
    /// Seed of each member, by its identity.
    seed: fn(Id) -> u64,
}

#[test]
fn members_that_start_at_once_agree_on_a_leader_whatever_their_seeds() {
    let cases = [
        Case {
            name: "equal seeds",
            ids: &[1, 2, 3],
            seed: |_id| 0,
        },
        Case {
            name: "seeds that cancel the identity out",
            ids: &[167_837_715, 167_903_255, 167_968_784],
            seed: |id| id,
        },
        Case {
            name: "seeds that differ in the lowest bit",
            ids: &[4, 5, 6, 7, 8],
            seed: |id| id,
        },
    ];
    for case in cases {
        let mut nodes = BTreeMap::new();
        for id in case.ids {
            nodes.insert(*id, start(*id, (case.seed)(*id), case.ids));
        }
        let after = elected_after(&mut nodes);
        assert!(after.is_some(), "{}: nobody was elected", case.name);
    }
}
