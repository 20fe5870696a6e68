//! Elections: pre-vote, votes, leadership on request.

use crate::raft::message;
use crate::raft::node::{Node, Role, Write};
use crate::raft::{Id, Index, Term};

impl Node {
    pub(super) fn vote_tick(&mut self) {
        if self.now < self.deadline {
            return;
        }
        self.reset_deadline();
        if self.members.is_voter(self.id) && !self.log.is_blank() {
            self.poll();
        }
    }

    /// Whether a leader has been heard within the shortest election time.
    pub(super) fn hears_leader(&self) -> bool {
        let alive = match self.role {
            Role::Leader => self.now < self.quorum_echo() + self.timing.election_timeout_ms,
            _ => self.heard_ms > 0 && self.now < self.heard_ms + self.timing.election_timeout_ms,
        };
        self.leader.is_some() && alive
    }

    /// Asks the others whether they would vote, without raising the term.
    fn poll(&mut self) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.start_ballot(true, false);
    }

    pub(super) fn on_stand(&mut self) {
        if self.members.is_voter(self.id) && self.role != Role::Leader {
            self.stand(true);
        }
    }

    fn stand(&mut self, transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.hard_state = message::HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.id),
        };
        self.out.writes.push(Write::HardState(self.hard_state));
        self.reset_deadline();
        self.start_ballot(false, transfer);
    }

    fn start_ballot(&mut self, pre: bool, transfer: bool) {
        self.votes.clear();
        self.votes.insert(self.id, true);
        let last_index = self.log.last_index();
        let last_term = self.log.last_term();
        for to in self.members.others(self.id) {
            if self.members.is_voter(to) {
                let body = message::Body::Vote {
                    pre,
                    last_index,
                    last_term,
                    transfer,
                };
                self.send_after_write(to, body);
            }
        }
        self.count_votes(pre);
    }

    pub(super) fn on_vote(
        &mut self,
        from: Id,
        term: Term,
        pre: bool,
        last_index: Index,
        last_term: Term,
    ) {
        let fresh = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        let may_vote = fresh && !self.log.is_blank();
        if pre {
            let granted = may_vote && !self.hears_leader() && term >= self.hard_state.term;
            self.send_after_write(from, message::Body::Voted { pre, granted });
            return;
        }
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = may_vote && free;
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            self.out.writes.push(Write::HardState(self.hard_state));
            self.reset_deadline();
        }
        self.send_after_write(from, message::Body::Voted { pre, granted });
    }

    pub(super) fn on_voted(&mut self, from: Id, pre: bool, granted: bool) {
        let expected = match self.role {
            Role::PreCandidate => pre,
            Role::Candidate => !pre,
            Role::Follower | Role::Leader => false,
        };
        if expected {
            self.votes.insert(from, granted);
            self.count_votes(pre);
        }
    }

    fn count_votes(&mut self, pre: bool) {
        let granted = self
            .votes
            .iter()
            .filter(|(id, yes)| **yes && self.members.is_voter(**id));
        if granted.count() < self.members.quorum() {
            return;
        }
        if pre {
            self.stand(false);
        } else {
            self.become_leader();
        }
    }
}
