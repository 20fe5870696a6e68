//! Elections among members that start at the same time.
//!
//! Guards against members that draw the same election timeouts and split the vote again and again.
//! This happened when the identity was combined with the seed by XOR and the seed was the identity.

use std::collections::BTreeMap;

use oriolereel::raft::Id;

use crate::support;

struct Case {
    name: &'static str,
    ids: &'static [Id],
    /// Returns the seed of a member.
    seed: fn(Id) -> u64,
}

#[test]
fn members_that_start_at_the_same_time_elect_a_leader_for_any_seeds() {
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
            nodes.insert(*id, support::start_node(*id, (case.seed)(*id), case.ids));
        }
        let leader = support::elect_leader(&mut nodes);
        assert!(leader.is_some(), "{}: no leader was elected", case.name);
    }
}
