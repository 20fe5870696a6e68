//! Changes of the members: those that the leader decides on, and members that ask to be in the group.

use oriolereel::control::size::{self, Group, Newcomer};
use oriolereel::store::identity;

use super::{ENROL_MS, ROUND_MS, World};

impl World {
    /// Makes a leader propose the next membership change, as a control member does.
    pub(super) fn change_membership(&mut self, at: usize) {
        let now = self.now;
        let Some(running) = &mut self.machines[at].running else {
            return;
        };
        if !running.node.can_change_members() || !running.node.has_lease() {
            return;
        }
        running.requests.expire(now, running.node.members());
        let standings = size::standings(&running.node, &running.places);
        let newcomers = running.requests.newcomers();
        let group = Group {
            standings: &standings,
            newcomers: &newcomers,
            goal: Some(&self.goal),
        };
        let Some(change) = group.next_change() else {
            return;
        };
        if let Ok((_index, effects)) = running.node.propose_change(now, &change) {
            self.process(at, effects);
        }
    }

    /// Lets a member without contact ask the leader to be in the group.
    pub(super) fn enrol(&mut self, at: usize) {
        let (now, addr) = (self.now, self.machines[at].addr);
        let Some(running) = &self.machines[at].running else {
            return;
        };
        let is_due = now % ENROL_MS < ROUND_MS && !running.node.is_fresh();
        let Some(leader) = self.leader().filter(|_leader| is_due) else {
            return;
        };
        let is_linked = self.is_linked(at, leader) && self.is_linked(leader, at);
        if leader == at || !is_linked || self.is_frozen(leader) {
            return;
        }
        let (id, blank) = (running.id, running.node.log().is_blank());
        let Some(leading) = &mut self.machines[leader].running else {
            return;
        };
        let newcomer = Newcomer { id, addr };
        let members = leading.node.members();
        if leading
            .requests
            .admit(now, members, newcomer, blank)
            .is_err()
        {
            self.rejoin(at);
        }
    }

    /// Gives a machine a new identity, as the daemon does when the group has replaced its member.
    pub(super) fn rejoin(&mut self, at: usize) {
        if self.is_full(at) {
            return;
        }
        let addr = self.machines[at].addr;
        let identity = self.new_identity(addr);
        let machine = &mut self.machines[at];
        let Some(running) = machine.running.take() else {
            return;
        };
        // A newcomer whose addition was never committed has nothing that others rely on.
        let is_own = machine.identities.contains(&running.id) && self.joined.contains(&running.id);
        assert!(
            !is_own || self.lost.contains(&running.id) || running.node.log().is_blank(),
            "member {} was given up although it kept its log",
            running.id
        );
        machine.disk = running.store.into_disk();
        identity::renew(&mut machine.disk, identity, self.now, u64::MAX).expect("a healthy disk");
        self.start(at);
    }
}
