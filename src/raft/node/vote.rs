//! Elections: pre-vote, votes, and campaigns started by a leadership transfer.

use crate::raft::message;
use crate::raft::node::{Node, Role, Write};
use crate::raft::{Id, Index, Millis, Term};

/// Time after the end of a leader's lease before which nobody votes for another leader: it covers
/// the drift of the clocks.
const LEASE_MARGIN_MS: Millis = 50;

/// Time between the early elections of two members: a pre-vote, a vote and their syncs.
const EARLY_ELECTION_STEP_MS: Millis = 40;

/// Number of elections that a member starts early.
const EARLY_ELECTIONS: u32 = 4;

impl Node {
    /// Records that the process of the leader has ended, so that an election need not wait for the
    /// election timeout. The lease of the leader still ends before anybody votes, so a mistake is
    /// harmless.
    pub fn leader_ended(&mut self, now: Millis, leader: Id) {
        self.now = now;
        if self.role == Role::Follower && self.leader == Some(leader) && self.early_elections == 0 {
            self.early_elections = EARLY_ELECTIONS;
            let earliest_ms = self.leader_contact_ms + self.vote_guard_ms();
            let early_ms = now.max(earliest_ms) + self.early_turn() * EARLY_ELECTION_STEP_MS;
            self.election_deadline_ms = self.election_deadline_ms.min(early_ms);
        }
    }

    /// Reports whether this member knows that the process of the last leader has ended.
    pub fn is_leader_ended(&self) -> bool {
        self.early_elections > 0
    }

    /// Returns the turn of this member among the voters that follow the leader, so that two of them
    /// do not campaign at the same time.
    fn early_turn(&self) -> Millis {
        let before = self.members.voters.keys().take_while(|id| **id < self.id);
        before.filter(|id| self.leader != Some(**id)).count() as Millis
    }

    /// Returns the time after the last contact with a leader for which this member votes for nobody
    /// else.
    fn vote_guard_ms(&self) -> Millis {
        if self.early_elections > 0 {
            self.timing.lease_ms() + LEASE_MARGIN_MS
        } else {
            self.timing.election_timeout_ms
        }
    }

    pub(super) fn tick_election(&mut self) {
        if self.now < self.election_deadline_ms {
            return;
        }
        self.reset_deadline();
        if self.early_elections > 1 {
            self.early_elections -= 1;
            let turns = self.members.voters.len() as Millis;
            self.election_deadline_ms = self.now + turns * EARLY_ELECTION_STEP_MS;
        }
        if self.members.is_voter(self.id) && !self.log.is_blank() {
            self.start_pre_vote();
        }
    }

    /// Reports whether there was contact with the leader, or for a leader with a quorum, within the
    /// minimum election timeout.
    pub(super) fn has_live_leader(&self) -> bool {
        let is_alive = match self.role {
            Role::Leader => self.now < self.quorum_acked_ms() + self.timing.election_timeout_ms,
            _ => {
                self.leader_contact_ms > 0
                    && self.now < self.leader_contact_ms + self.vote_guard_ms()
            }
        };
        self.leader.is_some() && is_alive
    }

    /// Asks the other voters whether they would grant a vote, without raising the term.
    fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.request_votes(true, false);
    }

    pub(super) fn on_timeout_now(&mut self) {
        if self.members.is_voter(self.id) && self.role != Role::Leader {
            self.campaign(true);
        }
    }

    /// Starts an election in the next term.
    fn campaign(&mut self, transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.hard_state = message::HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.id),
        };
        self.effects.writes.push(Write::HardState(self.hard_state));
        self.reset_deadline();
        self.request_votes(false, transfer);
    }

    fn request_votes(&mut self, pre_vote: bool, transfer: bool) {
        self.votes.clear();
        self.votes.insert(self.id, true);
        let last_index = self.log.last_index();
        let last_term = self.log.last_term();
        for to in self.members.others(self.id) {
            if self.members.is_voter(to) {
                let body = message::Body::RequestVote {
                    pre_vote,
                    last_index,
                    last_term,
                    transfer,
                };
                self.send_after_write(to, body);
            }
        }
        self.count_votes(pre_vote);
    }

    pub(super) fn on_request_vote(
        &mut self,
        from: Id,
        term: Term,
        pre_vote: bool,
        last_index: Index,
        last_term: Term,
    ) {
        let is_up_to_date =
            (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        let is_eligible = is_up_to_date && !self.log.is_blank();
        if pre_vote {
            let granted = is_eligible && !self.has_live_leader() && term >= self.hard_state.term;
            self.send_after_write(from, message::Body::VoteReply { pre_vote, granted });
            return;
        }
        let can_vote_for_sender = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = is_eligible && can_vote_for_sender;
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            self.effects.writes.push(Write::HardState(self.hard_state));
            self.reset_deadline();
        }
        self.send_after_write(from, message::Body::VoteReply { pre_vote, granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: Id, pre_vote: bool, granted: bool) {
        let expected = match self.role {
            Role::PreCandidate => pre_vote,
            Role::Candidate => !pre_vote,
            Role::Follower | Role::Leader => false,
        };
        if expected {
            self.votes.insert(from, granted);
            self.count_votes(pre_vote);
        }
    }

    fn count_votes(&mut self, pre_vote: bool) {
        let granted = self
            .votes
            .iter()
            .filter(|(id, is_granted)| **is_granted && self.members.is_voter(**id));
        if granted.count() < self.members.quorum() {
            return;
        }
        if pre_vote {
            self.campaign(false);
        } else {
            self.become_leader();
        }
    }
}
