//! Consensus scenarios that each guard against one failure.

use super::*;

/// Returns the leader and another member.
fn leader_and_other(cluster: &Cluster) -> (Id, Id) {
    let leader = cluster.leader().expect("a leader");
    (leader, if leader == 1 { 2 } else { 1 })
}

#[test]
fn a_member_that_lost_its_disk_never_votes_under_its_old_identity() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(2_000);
    let (leader, lost) = leader_and_other(&cluster);
    cluster.propose(leader, 7);
    cluster.run_for(500);
    cluster.crash(lost, 0);
    let mut disk = Disk::default();
    store::init(&mut disk, lost, None).expect("an empty disk");
    if let Some(member) = cluster.members.get_mut(&lost) {
        member.disk = disk;
    }
    cluster.start(lost);
    cluster.crash(leader, 0);
    cluster.run_for(10_000);
    assert_eq!(
        cluster.leader(),
        None,
        "the member with an empty disk and the remaining one elected a leader"
    );
}

#[test]
fn a_leader_that_is_silently_cut_off_stops_within_its_lease() {
    for inbound_only in [false, true] {
        let mut cluster = Cluster::new(3);
        cluster.run_for(2_000);
        let leader = cluster.leader().expect("a leader");
        for other in [1, 2, 3].into_iter().filter(|other| *other != leader) {
            cluster.blocked.push((other, leader));
            if !inbound_only {
                cluster.blocked.push((leader, other));
            }
        }
        let timing = Timing::default();
        cluster.run_for(timing.election_timeout_ms * timing.lease_percent / 100 + 20);
        let old = cluster.running(leader).expect("the member runs");
        assert!(
            !old.node.has_lease(),
            "the leader still holds its lease, inbound only: {inbound_only}"
        );
        cluster.run_for(4_000);
        let old = cluster.running(leader).expect("the member runs");
        assert_ne!(old.node.role(), Role::Leader);
    }
}

#[test]
fn a_member_hundreds_of_changes_behind_catches_up_by_snapshot() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(2_000);
    let (leader, behind) = leader_and_other(&cluster);
    cluster.crash(behind, 0);
    for change in 0..400 {
        cluster.propose(leader, change % 90);
        cluster.run_for(40);
    }
    cluster.snapshot(leader);
    cluster.start(behind);
    cluster.run_for(4_000);
    let generation = cluster
        .running(leader)
        .expect("the member runs")
        .ledger
        .config()
        .generation;
    assert!(
        generation >= 400,
        "only generation {generation} was reached"
    );
    let caught_up = cluster
        .running(behind)
        .expect("the member runs")
        .ledger
        .config()
        .generation;
    assert_eq!(caught_up, generation);
}

#[test]
fn a_leader_that_transfers_leadership_gives_up_its_lease() {
    let mut cluster = Cluster::new(5);
    cluster.run_for(2_000);
    let leader = cluster.leader().expect("a leader");
    for other in (1..=5).filter(|other| *other != leader) {
        cluster.blocked.push((other, leader));
    }
    cluster.with_node(leader, Node::transfer_leadership);
    cluster.run_for(600);
    cluster.check();
    assert!(
        !cluster
            .running(leader)
            .expect("the member runs")
            .node
            .has_lease()
    );
}

#[test]
fn a_member_that_restarts_during_a_snapshot_still_receives_it() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(2_000);
    let (leader, behind) = leader_and_other(&cluster);
    cluster.crash(behind, 0);
    for change in 0..60 {
        cluster.propose(leader, change % 90);
        cluster.run_for(40);
    }
    cluster.snapshot(leader);
    cluster.start(behind);
    cluster.run_for(60);
    cluster.crash(behind, 0);
    cluster.start(behind);
    cluster.run_for(6_000);
    let expected = cluster
        .running(leader)
        .expect("the member runs")
        .ledger
        .config()
        .generation;
    let found = cluster
        .running(behind)
        .expect("the member runs")
        .ledger
        .config()
        .generation;
    assert_eq!(found, expected);
}

#[test]
fn members_that_know_that_the_leader_has_ended_wait_only_for_its_lease() {
    for size in [3, 5, 7] {
        let mut cluster = Cluster::new(size);
        cluster.run_for(2_000);
        let leader = cluster.leader().expect("a leader");
        cluster.crash(leader, 0);
        for id in (1..=size).filter(|id| *id != leader) {
            cluster.tell_leader_ended(id);
        }
        // The lease was renewed by the last heartbeat at the latest.
        let timing = Timing::default();
        let lease_ms = timing.lease_ms() - timing.heartbeat_ms;
        cluster.run_for(lease_ms);
        assert_eq!(cluster.leader(), None, "{size}: elected within the lease");
        cluster.run_for(timing.election_timeout_ms - lease_ms);
        assert!(cluster.leader().is_some(), "{size}: no leader yet");
    }
}

#[test]
fn a_log_counts_its_bytes_and_keeps_few_of_the_entries_that_a_snapshot_covers() {
    struct Case {
        name: &'static str,
        upto: Index,
        max_entries: Index,
        max_entry_sizes: usize,
        removable: Index,
    }
    let case = |name, upto, max_entries, max_entry_sizes, removable| Case {
        name,
        upto,
        max_entries,
        max_entry_sizes,
        removable,
    };
    let cases = [
        case("by number", 8, 3, 100, 5),
        case("by size", 8, 100, 3, 5),
        case("none kept", 8, 100, 0, 8),
        case("all kept", 8, 100, 100, 0),
    ];
    let entry = |index| Entry {
        index,
        term: 1,
        payload: Payload::Command(vec![0; 1_000].into()),
    };
    let entry_bytes = log::entry_bytes(&entry(1));
    for case in cases {
        let mut log = log::Log::default();
        (1..=10).for_each(|index| log.push(entry(index)));
        assert_eq!(log.bytes(), 10 * entry_bytes, "{}", case.name);
        let max_bytes = case.max_entry_sizes * entry_bytes;
        let removable = log.removable_to(case.upto, case.max_entries, max_bytes);
        assert_eq!(removable, case.removable, "{}", case.name);
        log.truncate(10);
        log.compact(removable);
        assert_eq!(log.bytes(), log.len() * entry_bytes, "{}", case.name);
        assert_eq!(log.len() as Index, 9 - removable, "{}", case.name);
    }
}
