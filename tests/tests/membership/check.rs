//! What must hold after each step, and once the group is calm.

use oriolereel::raft::message::Payload;
use oriolereel::raft::node::Role;

use super::step::Step;
use super::world::{Running, World};

/// Time in which a calm group acknowledges a change; several round trips.
const ACKNOWLEDGE_MS: u64 = 500;

impl World {
    pub fn check(&mut self) {
        let holds_lease = |running: &Running| running.node.has_lease();
        let lease_holders = (0..self.machines.len()).filter(|at| {
            let running = self.machines[*at].running.as_ref();
            !self.is_frozen(*at) && running.is_some_and(holds_lease)
        });
        assert!(lease_holders.count() <= 1, "two leases at {}", self.now);
        for machine in &self.machines {
            let Some(running) = &machine.running else {
                continue;
            };
            if running.node.role() == Role::Leader {
                let term = running.node.term();
                let leader = (running.id, machine.addr);
                let first = *self.leaders.entry(term).or_insert(leader);
                assert_eq!(first, leader, "two leaders in term {term}");
            }
        }
    }

    pub fn wanted_voters(&self) -> usize {
        let machines = self.machines.len();
        let odd = machines - usize::from(machines.is_multiple_of(2));
        self.goal.voters().min(odd)
    }

    /// Checks that every machine is in the group and the group has its wanted size.
    pub fn check_size(&self) {
        let leader = self.leader().expect("a leader in a calm group");
        let running = self.machines[leader].running.as_ref().expect("it runs");
        let members = running.node.members();
        assert_eq!(members.voters.len(), self.wanted_voters(), "{members:?}");
        for machine in &self.machines {
            let running = machine.running.as_ref().expect("every process runs");
            assert_eq!(
                members.addr(running.id),
                Some(machine.addr),
                "{} is not in the group: {members:?}",
                machine.addr
            );
        }
    }

    /// Checks that the leader has everything that was acknowledged.
    pub fn check_acknowledged(&self) {
        let leader = self.leader().expect("a leader in a calm group");
        let running = self.machines[leader].running.as_ref().expect("it runs");
        for (index, content) in &self.acknowledged {
            let entry = running
                .node
                .log()
                .get(*index)
                .expect("an entry that was acknowledged");
            assert_eq!(entry.payload, Payload::Command(content.clone()));
        }
    }

    /// Checks that a change is acknowledged at once.
    pub fn check_accepts(&mut self) {
        let before = self.acknowledged.len();
        self.apply(&Step::Propose);
        self.run_for(ACKNOWLEDGE_MS);
        assert!(
            self.acknowledged.len() > before,
            "a calm group acknowledges no change"
        );
    }
}
