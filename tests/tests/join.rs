//! Members that join the control group, and members that are removed from it.

use std::collections::BTreeMap;

use oriolereel::control::join::Requests;
use oriolereel::raft::Id;
use oriolereel::raft::members::{Change, Members};

use crate::support::{self, member_addr};

#[test]
fn newcomers_join_in_any_order_and_none_that_was_removed() {
    let voters = BTreeMap::from([(1, member_addr(1)), (2, member_addr(2))]);
    let mut members = Members::initial(voters);
    struct Step {
        change: Change,
        applies: bool,
    }
    let add = |id| Change::Add {
        id,
        addr: member_addr(id),
    };
    let steps = [
        Step {
            change: add(200),
            applies: true,
        },
        Step {
            change: add(100),
            applies: true,
        },
        Step {
            change: add(100),
            applies: false,
        },
        Step {
            change: Change::Remove { id: 200 },
            applies: true,
        },
        Step {
            change: add(200),
            applies: false,
        },
        Step {
            change: Change::Remove { id: 2 },
            applies: true,
        },
        Step {
            change: add(2),
            applies: false,
        },
    ];
    for step in steps {
        let next = members.with(&step.change);
        assert_eq!(next.is_ok(), step.applies, "{:?}", step.change);
        members = next.unwrap_or(members);
    }
}

struct Case {
    name: &'static str,
    group: &'static [Id],
    /// A member that has stopped sending messages.
    silent: Option<Id>,
    silent_ms: u64,
    /// A newcomer, and the member whose address it has.
    newcomer: Option<(Id, Id)>,
    change: Option<Change>,
}

#[test]
fn membership_changes_one_step_at_a_time_to_match_the_reachable_members() {
    let cases = [
        Case {
            name: "no newcomer and no silent member",
            group: &[1, 2, 3],
            silent: None,
            silent_ms: 5_000,
            newcomer: None,
            change: None,
        },
        Case {
            name: "a newcomer at a new address",
            group: &[1, 2, 3],
            silent: None,
            silent_ms: 0,
            newcomer: Some((900, 9)),
            change: Some(Change::Add {
                id: 900,
                addr: member_addr(9),
            }),
        },
        Case {
            name: "a newcomer at a member's address replaces it, as its disk is lost",
            group: &[1, 2, 3],
            silent: Some(3),
            silent_ms: 500,
            newcomer: Some((900, 3)),
            change: Some(Change::Remove { id: 3 }),
        },
        Case {
            name: "a newcomer replaces the member that has been silent too long",
            group: &[1, 2, 3],
            silent: Some(2),
            silent_ms: 5_000,
            newcomer: Some((900, 9)),
            change: Some(Change::Remove { id: 2 }),
        },
        Case {
            name: "a silent member of three keeps its place without a newcomer",
            group: &[1, 2, 3],
            silent: Some(2),
            silent_ms: 20_000,
            newcomer: None,
            change: None,
        },
        Case {
            name: "a silent fourth member only makes the quorum larger",
            group: &[1, 2, 3, 4],
            silent: Some(4),
            silent_ms: 5_000,
            newcomer: None,
            change: Some(Change::Remove { id: 4 }),
        },
        Case {
            name: "a sixth member that was silent for a short time keeps its place",
            group: &[1, 2, 3, 4, 5, 6],
            silent: Some(6),
            silent_ms: 5_000,
            newcomer: None,
            change: None,
        },
    ];
    for case in cases {
        let mut nodes = BTreeMap::new();
        for id in case.group {
            nodes.insert(*id, support::start_node(*id, 1, case.group));
        }
        let (mut leader, mut now) = support::elect_leader(&mut nodes).expect("a leader");
        let mut in_flight = Vec::new();
        // The member that falls silent must not be the leader.
        while Some(leader) == case.silent {
            nodes = BTreeMap::new();
            for id in case.group {
                nodes.insert(*id, support::start_node(*id, now, case.group));
            }
            (leader, now) = support::elect_leader(&mut nodes).expect("a leader");
        }
        for _step in 0..50 {
            now += 10;
            support::step(&mut nodes, now, &mut in_flight);
        }
        if let Some(silent) = case.silent {
            nodes.remove(&silent);
        }
        for _step in 0..case.silent_ms / 10 {
            now += 10;
            support::step(&mut nodes, now, &mut in_flight);
        }
        let mut requests = Requests::default();
        if let Some((id, owner)) = case.newcomer {
            requests.add(now, id, member_addr(owner));
        }
        let change = requests.next_change(now, &nodes[&leader]);
        assert_eq!(change, case.change, "{}", case.name);
    }
}
