//! Cases of consensus that are worth a name of their own.

use super::*;

/// The leader, and a member that does not lead.
fn leader_and_other(world: &World) -> (Id, Id) {
    let leader = world.leader().expect("a leader");
    (leader, if leader == 1 { 2 } else { 1 })
}

#[test]
fn a_member_that_lost_its_disk_never_votes_under_its_old_name() {
    let mut world = World::new(3);
    world.pass(2_000);
    let (leader, lost) = leader_and_other(&world);
    world.propose(leader, 7);
    world.pass(500);
    world.crash(lost, 0);
    let mut disk = Disk::default();
    store::init(&mut disk, lost, None).expect("an empty disk");
    if let Some(member) = world.members.get_mut(&lost) {
        member.disk = disk;
    }
    world.start(lost);
    world.crash(leader, 0);
    world.pass(10_000);
    assert_eq!(
        world.leader(),
        None,
        "the empty member and the third one elected a leader"
    );
}

#[test]
fn a_leader_that_is_silently_cut_off_stops_within_its_lease() {
    for inbound_only in [false, true] {
        let mut world = World::new(3);
        world.pass(2_000);
        let leader = world.leader().expect("a leader");
        for other in [1, 2, 3].into_iter().filter(|other| *other != leader) {
            world.cut.push((other, leader));
            if !inbound_only {
                world.cut.push((leader, other));
            }
        }
        let timing = Timing::default();
        world.pass(timing.election_timeout_ms * timing.lease_percent / 100 + 20);
        let old = world.running(leader).expect("it runs");
        assert!(
            !old.node.has_lease(),
            "it still answers reads, inbound only: {inbound_only}"
        );
        world.pass(4_000);
        let old = world.running(leader).expect("it runs");
        assert_ne!(old.node.role(), Role::Leader);
    }
}

#[test]
fn a_member_hundreds_of_changes_behind_catches_up_by_snapshot() {
    let mut world = World::new(3);
    world.pass(2_000);
    let (leader, behind) = leader_and_other(&world);
    world.crash(behind, 0);
    for change in 0..400 {
        world.propose(leader, change % 90);
        world.pass(40);
    }
    world.snapshot(leader);
    world.start(behind);
    world.pass(4_000);
    let generation = world
        .running(leader)
        .expect("it runs")
        .ledger
        .config()
        .generation;
    assert!(
        generation >= 400,
        "only generation {generation} was reached"
    );
    let caught_up = world
        .running(behind)
        .expect("it runs")
        .ledger
        .config()
        .generation;
    assert_eq!(caught_up, generation);
}

#[test]
fn a_leader_that_hands_over_reads_no_more_under_its_lease() {
    let mut world = World::new(5);
    world.pass(2_000);
    let leader = world.leader().expect("a leader");
    for other in (1..=5).filter(|other| *other != leader) {
        world.cut.push((other, leader));
    }
    world.with(leader, Node::transfer_leadership);
    world.pass(600);
    world.check();
    assert!(!world.running(leader).expect("it runs").node.has_lease());
}

#[test]
fn a_member_that_restarts_amid_a_snapshot_still_gets_it() {
    let mut world = World::new(3);
    world.pass(2_000);
    let (leader, behind) = leader_and_other(&world);
    world.crash(behind, 0);
    for change in 0..60 {
        world.propose(leader, change % 90);
        world.pass(40);
    }
    world.snapshot(leader);
    world.start(behind);
    world.pass(60);
    world.crash(behind, 0);
    world.start(behind);
    world.pass(6_000);
    let wanted = world
        .running(leader)
        .expect("it runs")
        .ledger
        .config()
        .generation;
    let found = world
        .running(behind)
        .expect("it runs")
        .ledger
        .config()
        .generation;
    assert_eq!(found, wanted);
}
