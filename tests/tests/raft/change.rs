//! Changes of the simulated group: members that are replaced, promoted or told of an end.

use oriolereel::control::size;

use super::*;

impl Cluster {
    /// Tells a member that the process of the leader that it follows has ended.
    pub(super) fn tell_leader_ended(&mut self, id: Id) {
        let now = self.now;
        if let Some(running) = self.running(id)
            && let Some(leader) = running.node.leader()
        {
            running.node.leader_ended(now, leader);
        }
    }

    /// Makes the leader promote a learner that has caught up, as a control member does.
    pub(super) fn promote_learner(&mut self) {
        let Some(leader) = self.leader() else { return };
        let Some(running) = self.running(leader) else {
            return;
        };
        let standings = size::standings(&running.node, &BTreeMap::new());
        let group = size::Group {
            standings: &standings,
            newcomers: &[],
            goal: None,
        };
        if let Some(change) = group.next_change() {
            drop(self.change(leader, &change));
        }
    }

    /// Replaces a member that lost its disk by a new one under a new identity.
    ///
    /// Does nothing while an earlier replacement is incomplete: losing another disk before that is
    /// a loss of quorum, for which there are no guarantees.
    pub(super) fn replace(&mut self, id: Id) {
        let Some(leader) = self.leader().filter(|leader| *leader != id) else {
            return;
        };
        if !self.has_all_members(leader) {
            return;
        }
        self.crash(id, 0);
        let removed = self.change(leader, &members::Change::Remove { id }).is_ok();
        self.run_for(400);
        let is_removed = |running: &Running| {
            !running.node.members().is_voter(id)
                && !running
                    .node
                    .log()
                    .has_members_change_after(running.node.commit_index())
        };
        let has_removed = self
            .leader()
            .and_then(|leader| self.running(leader))
            .is_some_and(|running| is_removed(running));
        if !removed || !has_removed {
            self.start(id);
            return;
        }
        self.members.remove(&id);
        self.last_id += 1;
        let new = self.last_id;
        let mut disk = Disk::default();
        store::init(&mut disk, new, None).expect("an empty disk");
        self.members.insert(
            new,
            Member {
                disk,
                running: None,
            },
        );
        self.start(new);
        if let Some(leader) = self.leader() {
            let added = self.change(
                leader,
                &members::Change::Add {
                    id: new,
                    addr: addr(new),
                },
            );
            if added.is_ok() {
                self.run_for(400);
            }
        }
    }

    /// Reports whether the voters are exactly the existing members.
    pub(super) fn has_all_members(&mut self, leader: Id) -> bool {
        let ids: Vec<Id> = self.members.keys().copied().collect();
        self.running(leader).is_some_and(|running| {
            let members = running.node.members();
            let voters: Vec<Id> = members.voters.keys().copied().collect();
            voters == ids && members.learners.is_empty()
        })
    }

    pub(super) fn change(&mut self, id: Id, change: &members::Change) -> error::Result<()> {
        let now = self.now;
        let Some(running) = self.running(id) else {
            return Err(error::Error::new(
                error::Kind::NotLeader,
                "the member is down",
            ));
        };
        let (_index, effects) = running.node.propose_change(now, change)?;
        self.process(id, effects);
        Ok(())
    }
}
