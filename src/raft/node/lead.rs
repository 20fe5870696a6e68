//! Leader side of the node: replication, commit, lease, leadership transfer, and snapshots for
//! members that are far behind.

use std::collections::BTreeMap;

use crate::raft::message;
use crate::raft::node::{ChunkRequest, Node, Role};
use crate::raft::progress;
use crate::raft::{Id, Index, Millis};

impl Node {
    pub(super) fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.elected_ms = self.now;
        self.early_elections = 0;
        self.transfer = None;
        self.progress.clear();
        self.sync_progress();
        self.append(message::Payload::Noop);
        self.heartbeat();
        self.advance_commit();
    }

    /// Adds and removes replication state to match the membership.
    pub(super) fn sync_progress(&mut self) {
        let next = self.log.last_index() + 1;
        let now = self.now;
        let others = self.members.others(self.id);
        let mut kept = BTreeMap::new();
        for id in others {
            let new_progress = || progress::Progress::new(next, now);
            kept.insert(id, self.progress.remove(&id).unwrap_or_else(new_progress));
        }
        self.progress = kept;
    }

    pub(super) fn tick_leader(&mut self) {
        let quorum_deadline_ms =
            self.quorum_acked_ms().max(self.elected_ms) + self.timing.election_timeout_ms;
        if self.now > quorum_deadline_ms
            || !self.members.is_voter(self.id) && self.commit_index == self.last_index()
        {
            // Steps down if it is cut off from the quorum or was removed from the group.
            self.become_follower(None);
            return;
        }
        if self
            .transfer
            .is_some_and(|(_to, until_ms)| self.now > until_ms)
        {
            // The target may still receive TimeoutNow and win an election, so this leader cannot
            // resume its lease and steps down.
            self.become_follower(None);
            return;
        }
        self.heartbeat();
    }

    /// Returns the latest time such that a quorum has answered a message sent at that time or
    /// later. The leader itself counts with the current time.
    pub(super) fn quorum_acked_ms(&self) -> Millis {
        let acked_ms = |id: &Id| match self.progress.get(id) {
            Some(progress) => progress.acked_ms,
            None => self.now,
        };
        let mut acked: Vec<Millis> = self.members.voters.keys().map(acked_ms).collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        acked.get(self.members.quorum() - 1).copied().unwrap_or(0)
    }

    fn heartbeat(&mut self) {
        for to in self.members.others(self.id) {
            let is_due = self.progress.get(&to).is_some_and(|progress| {
                self.now >= progress.sent_ms + self.timing.heartbeat_ms || progress.sent_ms == 0
            });
            if is_due {
                self.send_append(to, true);
            }
        }
    }

    /// Sends new entries to every member whose window has capacity.
    pub(super) fn replicate(&mut self) {
        for to in self.members.others(self.id) {
            self.send_append(to, false);
        }
    }

    fn send_append(&mut self, to: Id, allow_empty: bool) {
        let learner = self.members.learners.contains_key(&to);
        let last_index = self.log.last_index();
        let now = self.now;
        let resend_ms = self.timing.resend_ms;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let is_stalled = now >= progress.window_opened_ms + resend_ms;
        if progress.next_index > progress.match_index + 1 && is_stalled {
            progress.move_back(progress.match_index + 1, now);
        }
        if progress.next_index <= self.log.base_index() {
            self.request_chunk(to);
            return;
        }
        let has_capacity = progress.next_index <= progress.match_index + self.timing.window_entries;
        let entries = if has_capacity {
            self.log.slice(progress.next_index, self.timing.batch_bytes)
        } else {
            Vec::new()
        };
        if entries.is_empty() && !allow_empty {
            return;
        }
        let prev_index = (progress.next_index - 1).min(last_index);
        let prev_term = self.log.term(prev_index).unwrap_or(0);
        if progress.next_index == progress.match_index + 1 {
            progress.window_opened_ms = now;
        }
        progress.next_index += entries.len() as Index;
        progress.sent_ms = now;
        let commit_index = self.commit_index;
        let sent_ms = now;
        self.send(
            to,
            message::Body::AppendEntries {
                prev_index,
                prev_term,
                entries,
                commit_index,
                sent_ms,
                learner,
            },
        );
    }

    pub(super) fn on_append_reply(
        &mut self,
        from: Id,
        matched: bool,
        index: Index,
        sent_ms: Millis,
    ) {
        if self.role != Role::Leader {
            return;
        }
        let base_index = self.log.base_index();
        let last_index = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.acked_ms = progress.acked_ms.max(sent_ms);
        if matched {
            progress.snapshot = None;
            if index > progress.match_index {
                progress.match_index = index;
                progress.window_opened_ms = self.now;
            }
            progress.next_index = progress.next_index.max(index + 1);
        } else if sent_ms >= progress.moved_back_ms {
            // A member whose disk was full for a time gives the answers of that time all at once.
            let next_index = (index + 1).clamp(progress.match_index + 1, last_index + 1);
            progress.move_back(next_index, self.now);
        }
        let has_more = progress.next_index <= last_index || progress.next_index <= base_index;
        self.advance_commit();
        if has_more {
            self.send_append(from, false);
        }
        self.finish_transfer(from);
    }

    pub(super) fn advance_commit(&mut self) {
        let match_index = |id: &Id| match self.progress.get(id) {
            Some(progress) => progress.match_index,
            None => self.durable_index,
        };
        let mut match_indices: Vec<Index> = self.members.voters.keys().map(match_index).collect();
        match_indices.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = match_indices.get(self.members.quorum() - 1).copied() else {
            return;
        };
        if index > self.commit_index && self.log.term(index) == Some(self.hard_state.term) {
            self.commit_to(index);
            self.announce_commit();
        }
    }

    /// Sends the new commit index without waiting for the next heartbeat, because followers pass
    /// committed grants and configurations on to other processes.
    fn announce_commit(&mut self) {
        for to in self.members.others(self.id) {
            self.send_append(to, true);
        }
    }

    pub(super) fn start_transfer(&mut self) {
        if self.role != Role::Leader || self.transfer.is_some() {
            return;
        }
        let voters = self
            .progress
            .iter()
            .filter(|(id, _)| self.members.is_voter(**id));
        let best = voters.max_by_key(|(_, progress)| (progress.acked_ms, progress.match_index));
        let Some(to) = best.map(|(id, _)| *id) else {
            return;
        };
        self.transfer = Some((to, self.now + self.timing.election_timeout_ms));
        self.send_append(to, true);
        self.finish_transfer(to);
    }

    fn finish_transfer(&mut self, from: Id) {
        let Some((to, _)) = self.transfer else { return };
        let caught_up = self
            .progress
            .get(&to)
            .is_some_and(|p| p.match_index == self.log.last_index());
        if to == from && caught_up {
            self.send(to, message::Body::TimeoutNow);
        }
    }

    fn request_chunk(&mut self, to: Id) {
        let resend_ms = self.timing.resend_ms;
        let now = self.now;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let is_overdue = now >= progress.sent_ms + resend_ms;
        let request = match progress.snapshot {
            Some(position) if is_overdue => position,
            Some(_) => return,
            None => progress::Position {
                index: 0,
                offset: 0,
            },
        };
        progress.snapshot = Some(request);
        progress.sent_ms = now;
        self.effects.chunk_requests.push(ChunkRequest {
            to,
            index: request.index,
            offset: request.offset,
        });
    }

    pub(super) fn send_chunk(&mut self, to: Id, chunk: message::Chunk) {
        let learner = self.members.learners.contains_key(&to);
        let sent_ms = self.now;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        progress.snapshot = Some(progress::Position {
            index: chunk.index,
            offset: chunk.offset,
        });
        progress.sent_ms = sent_ms;
        self.send(
            to,
            message::Body::InstallSnapshot {
                chunk,
                sent_ms,
                learner,
            },
        );
    }

    pub(super) fn on_snapshot_reply(
        &mut self,
        from: Id,
        index: Index,
        offset: u64,
        sent_ms: Millis,
    ) {
        if self.role != Role::Leader {
            return;
        }
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.acked_ms = progress.acked_ms.max(sent_ms);
        let Some(position) = progress.snapshot else {
            return;
        };
        // The offset is lower than the sent one if the member lost its parts in a restart.
        if position.index == index && offset != position.offset {
            progress.snapshot = Some(progress::Position { index, offset });
            self.effects.chunk_requests.push(ChunkRequest {
                to: from,
                index,
                offset,
            });
        }
    }
}
