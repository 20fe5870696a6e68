//! Members that join the control group, and members that are removed from it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use oriolereel::control::join::Requests;
use oriolereel::control::size::{Goal, Group, Losses, Newcomer, Place, Standing};
use oriolereel::raft::Id;
use oriolereel::raft::members::{self, Change, Members};

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

const SILENCE_MS: u64 = 3_000;

/// Returns a goal of this many instances that may be lost.
fn goal(instances: usize) -> Goal {
    Goal {
        losses: Losses {
            instances,
            ..Losses::default()
        },
        silence_ms: SILENCE_MS,
    }
}

/// Returns a voter that has caught up, in a failure domain of its own; member 1 leads.
fn voter(id: Id) -> Standing {
    Standing {
        id,
        addr: member_addr(id),
        is_voter: true,
        is_leader: id == 1,
        place: Some(Place {
            domain: format!("d{id}"),
            region: format!("r{}", id % 3),
        }),
        silent_ms: 50,
        lag: Some(0),
    }
}

fn learner(id: Id) -> Standing {
    Standing {
        is_voter: false,
        ..voter(id)
    }
}

fn silent(member: Standing, silent_ms: u64) -> Standing {
    Standing {
        silent_ms,
        ..member
    }
}

fn at(member: Standing, owner: Id) -> Standing {
    Standing {
        addr: member_addr(owner),
        ..member
    }
}

struct Case {
    name: &'static str,
    goal: Option<Goal>,
    standings: Vec<Standing>,
    /// A newcomer, and the member whose address it has.
    newcomer: Option<(Id, Id)>,
    change: Option<Change>,
}

fn membership_cases() -> Vec<Case> {
    let add = |id, owner| {
        Some(Change::Add {
            id,
            addr: member_addr(owner),
        })
    };
    vec![
        Case {
            name: "nobody new and nobody silent",
            goal: Some(goal(1)),
            standings: vec![voter(1), voter(2), voter(3)],
            newcomer: None,
            change: None,
        },
        Case {
            name: "a newcomer at a new address becomes a learner",
            goal: Some(goal(1)),
            standings: vec![voter(1), voter(2), voter(3)],
            newcomer: Some((900, 9)),
            change: add(900, 9),
        },
        Case {
            name: "a newcomer at a voter's address is added before the voter goes",
            goal: Some(goal(1)),
            standings: vec![voter(1), voter(2), silent(voter(3), 800)],
            newcomer: Some((900, 3)),
            change: add(900, 3),
        },
        Case {
            name: "the successor at a lost voter's address is promoted first",
            goal: Some(goal(1)),
            standings: vec![
                voter(1),
                voter(2),
                silent(voter(3), 2_000),
                at(learner(900), 3),
            ],
            newcomer: None,
            change: Some(Change::Promote { id: 900 }),
        },
        Case {
            name: "then the lost voter is removed",
            goal: Some(goal(1)),
            standings: vec![
                voter(1),
                voter(2),
                silent(voter(3), 2_000),
                at(voter(900), 3),
            ],
            newcomer: None,
            change: Some(Change::Remove { id: 3 }),
        },
        Case {
            name: "a silent voter keeps its place while nobody can take it",
            goal: Some(goal(1)),
            standings: vec![voter(1), voter(2), silent(voter(3), 300_000)],
            newcomer: None,
            change: None,
        },
        Case {
            name: "a silent voter keeps its place while the standby has not caught up",
            goal: Some(goal(1)),
            standings: vec![
                voter(1),
                voter(2),
                silent(voter(3), 20_000),
                Standing {
                    lag: Some(10_000),
                    ..learner(4)
                },
            ],
            newcomer: None,
            change: None,
        },
        Case {
            name: "a voter that is silent for a short time keeps its place",
            goal: Some(goal(1)),
            standings: vec![
                voter(1),
                voter(2),
                silent(voter(3), SILENCE_MS - 1),
                learner(4),
            ],
            newcomer: None,
            change: None,
        },
        Case {
            name: "a caught-up standby takes the place of a silent voter",
            goal: Some(goal(1)),
            standings: vec![voter(1), voter(2), silent(voter(3), SILENCE_MS), learner(4)],
            newcomer: None,
            change: Some(Change::Promote { id: 4 }),
        },
        Case {
            name: "then the silent voter is demoted, not removed",
            goal: Some(goal(1)),
            standings: vec![voter(1), voter(2), silent(voter(3), SILENCE_MS), voter(4)],
            newcomer: None,
            change: Some(Change::Demote { id: 3 }),
        },
        Case {
            name: "a group of six that must bear two has five voters and a standby",
            goal: Some(goal(2)),
            standings: (1..=6).map(voter).collect(),
            newcomer: None,
            change: Some(Change::Demote { id: 6 }),
        },
        Case {
            name: "five machines that must bear two all vote",
            goal: Some(goal(2)),
            standings: vec![voter(1), voter(2), voter(3), learner(4), learner(5)],
            newcomer: None,
            change: Some(Change::Promote { id: 4 }),
        },
        Case {
            name: "a fourth machine stands by, as four voters bear no more than three",
            goal: Some(goal(2)),
            standings: vec![voter(1), voter(2), voter(3), learner(4)],
            newcomer: None,
            change: None,
        },
        Case {
            name: "a learner that has been gone for very long is removed",
            goal: Some(goal(1)),
            standings: vec![voter(1), voter(2), voter(3), silent(learner(4), 600_000)],
            newcomer: None,
            change: Some(Change::Remove { id: 4 }),
        },
        Case {
            name: "a learner whose address another process has is removed",
            goal: Some(goal(1)),
            standings: vec![voter(1), voter(2), voter(3), silent(learner(4), 600)],
            newcomer: Some((900, 4)),
            change: Some(Change::Remove { id: 4 }),
        },
        Case {
            name: "a change that costs the quorum is put off",
            goal: Some(goal(1)),
            standings: vec![
                voter(1),
                silent(voter(2), 9_000),
                silent(voter(3), 9_000),
                learner(4),
            ],
            newcomer: None,
            change: None,
        },
        Case {
            name: "members added by hand are promoted and nobody else is touched",
            goal: None,
            standings: vec![voter(1), voter(2), silent(voter(3), 900_000), learner(4)],
            newcomer: None,
            change: Some(Change::Promote { id: 4 }),
        },
        Case {
            name: "a group run by hand keeps a silent fourth voter",
            goal: None,
            standings: vec![voter(1), voter(2), voter(3), silent(voter(4), 900_000)],
            newcomer: None,
            change: None,
        },
    ]
}

#[test]
fn the_group_changes_one_step_at_a_time_and_gives_up_nobody_for_silence() {
    for case in membership_cases() {
        let newcomer = |(id, owner)| Newcomer {
            id,
            addr: member_addr(owner),
        };
        let newcomers: Vec<Newcomer> = case.newcomer.map(newcomer).into_iter().collect();
        let group = Group {
            standings: &case.standings,
            newcomers: &newcomers,
            goal: case.goal.as_ref(),
        };
        assert_eq!(group.next_change(), case.change, "{}", case.name);
    }
}

struct BearsCase {
    name: &'static str,
    /// Region, failure domain and silence of each voter.
    voters: &'static [(&'static str, &'static str, u64)],
    bears: Losses,
}

#[test]
fn the_losses_that_a_group_bears_count_only_reachable_voters() {
    let cases = [
        BearsCase {
            name: "three regions",
            voters: &[("r1", "a", 0), ("r2", "b", 0), ("r3", "c", 0)],
            bears: Losses {
                instances: 1,
                domains: 1,
                regions: 1,
            },
        },
        BearsCase {
            name: "five voters, two in each of two regions",
            voters: &[
                ("r1", "a", 0),
                ("r1", "b", 0),
                ("r2", "c", 0),
                ("r2", "d", 0),
                ("r3", "e", 0),
            ],
            bears: Losses {
                instances: 2,
                domains: 2,
                regions: 1,
            },
        },
        BearsCase {
            name: "five voters of which one is silent",
            voters: &[
                ("r1", "a", 0),
                ("r1", "b", 5_000),
                ("r2", "c", 0),
                ("r2", "d", 0),
                ("r3", "e", 0),
            ],
            bears: Losses {
                instances: 1,
                domains: 1,
                regions: 0,
            },
        },
        BearsCase {
            name: "four voters bear no more than three",
            voters: &[
                ("r1", "a", 0),
                ("r2", "b", 0),
                ("r3", "c", 0),
                ("r3", "d", 0),
            ],
            bears: Losses {
                instances: 1,
                domains: 1,
                regions: 0,
            },
        },
    ];
    for case in cases {
        let standing = |(id, (region, domain, silent_ms)): (Id, &(&str, &str, u64))| Standing {
            place: Some(Place {
                domain: (*domain).to_owned(),
                region: (*region).to_owned(),
            }),
            ..silent(voter(id), *silent_ms)
        };
        let standings: Vec<Standing> = (1..).zip(case.voters).map(standing).collect();
        let group = Group {
            standings: &standings,
            newcomers: &[],
            goal: None,
        };
        assert_eq!(group.bears(), case.bears, "{}", case.name);
    }
}

#[test]
fn a_new_member_is_not_taken_for_silent_since_the_election() {
    let mut nodes = BTreeMap::new();
    for id in 1..=3 {
        nodes.insert(id, support::start_node(id, 1, &[1, 2, 3]));
    }
    let (leader, mut now) = support::elect_leader(&mut nodes).expect("a leader");
    let mut in_flight = Vec::new();
    for _step in 0..2_000 {
        now += 10;
        support::step(&mut nodes, now, &mut in_flight);
    }
    let node = nodes.get_mut(&leader).expect("the leader");
    let change = Change::Add {
        id: 900,
        addr: member_addr(900),
    };
    node.propose_change(now, &change).expect("a change");
    assert_eq!(node.since_contact_ms(900), 0);
}

#[test]
fn members_that_start_at_one_instant_have_identities_of_their_own() {
    let ids: BTreeSet<Id> = (0..1_000).map(|_member| members::random_id()).collect();
    assert_eq!(ids.len(), 1_000);
    assert!(ids.iter().all(|id| *id > Id::from(u32::MAX)));
}

#[test]
fn an_identity_belongs_to_one_address() {
    struct Case {
        name: &'static str,
        addr: &'static str,
        conflicts: bool,
    }
    let cases = [
        Case {
            name: "the member's own",
            addr: "10.0.0.2:7000",
            conflicts: false,
        },
        Case {
            name: "another machine",
            addr: "10.0.0.9:7000",
            conflicts: true,
        },
        Case {
            name: "another process of the machine",
            addr: "10.0.0.2:7001",
            conflicts: true,
        },
        Case {
            name: "a process that listens on all addresses",
            addr: "0.0.0.0:7000",
            conflicts: false,
        },
    ];
    let members = Members::initial(BTreeMap::from([(2, member_addr(2))]));
    for case in cases {
        let addr: SocketAddr = case.addr.parse().expect("an address");
        let conflict = members.conflicting_addr(2, addr);
        assert_eq!(conflict.is_some(), case.conflicts, "{}", case.name);
        assert_eq!(members.conflicting_addr(3, addr), None, "{}", case.name);
    }
}

#[test]
fn of_two_newcomers_at_one_address_the_latest_waits() {
    let mut requests = Requests::default();
    requests.add(1_000, 900, member_addr(9));
    requests.add(1_400, 901, member_addr(9));
    requests.add(1_400, 902, member_addr(8));
    let ids: Vec<Id> = requests
        .newcomers()
        .iter()
        .map(|newcomer| newcomer.id)
        .collect();
    assert_eq!(ids, [902, 901]);
    requests.expire(4_100, &Members::default());
    let ids: Vec<Id> = requests
        .newcomers()
        .iter()
        .map(|newcomer| newcomer.id)
        .collect();
    assert_eq!(ids, [902, 901]);
    requests.expire(4_500, &Members::default());
    assert_eq!(requests.newcomers(), []);
}
