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

/// Size of a large entry, and the number of entries that a member has not acknowledged.
const LARGE_ENTRY_BYTES: usize = 200_000;
const BACKLOG: u64 = 40;

/// Answers that a member gives at once when its disk has room again.
const LATE_ANSWERS: u64 = 100;

/// Returns the entries' bytes in messages to a member.
fn entries_bytes(messages: &[Message], to: Id) -> usize {
    let sent = messages.iter().filter(|message| message.to == to);
    let entries = sent.filter_map(|message| match &message.body {
        Body::AppendEntries { entries, .. } => Some(entries),
        _ => None,
    });
    entries.flatten().map(log::entry_bytes).sum()
}

// Guards against a leader that runs out of memory as soon as a full disk has room again: it sent a batch
// for each of the old answers that came at once.
#[test]
fn late_answers_of_a_member_make_the_leader_send_the_backlog_once() {
    let ids = [1, 2, 3];
    let start = |id: Id| (id, support::start_node(id, 7, &ids));
    let mut nodes: BTreeMap<Id, Node> = ids.into_iter().map(start).collect();
    let (leader_id, start_ms) = support::elect_leader(&mut nodes).expect("a leader");
    let member = ids
        .into_iter()
        .find(|id| *id != leader_id)
        .expect("another");
    let leader = nodes.get_mut(&leader_id).expect("it runs");
    let known_index = leader.match_index(member).expect("it leads");
    let mut now = start_ms;
    for _entry in 0..BACKLOG {
        now += 20;
        let data = vec![0; LARGE_ENTRY_BYTES].into();
        let (_index, _effects) = leader.propose(now, data).expect("it leads");
    }
    let mut sent = 0;
    for answer in 0..LATE_ANSWERS {
        // The entry before the ones in these messages had been overtaken.
        let body = Body::AppendReply {
            matched: false,
            index: known_index,
            sent_ms: start_ms + answer * 8,
        };
        let message = Message {
            from: member,
            to: leader_id,
            term: leader.term(),
            body,
        };
        sent += entries_bytes(&leader.receive(now, message).messages, member);
    }
    let backlog = LARGE_ENTRY_BYTES * BACKLOG as usize;
    let limit = backlog + Timing::default().batch_bytes;
    assert!(sent > 0, "nothing is sent");
    assert!(
        sent <= limit,
        "{sent} bytes sent for a backlog of {backlog}"
    );
}
