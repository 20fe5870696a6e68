//! The leader's side: replication, commit, lease, transfer, snapshots to members far behind.

use std::collections::BTreeMap;

use crate::raft::members;
use crate::raft::message;
use crate::raft::node::{ChunkRequest, Node, Role};
use crate::raft::progress;
use crate::raft::{Id, Index, Millis};

/// Entries by which a learner may lag and still be made a voter.
const PROMOTE_LAG: Index = 64;

impl Node {
    pub(super) fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.elected_ms = self.now;
        self.transfer = None;
        self.progress.clear();
        self.track_members();
        self.append(message::Payload::Noop);
        self.heartbeat();
        self.advance_commit();
    }

    /// Makes the tracked members match the membership.
    pub(super) fn track_members(&mut self) {
        let next = self.log.last_index() + 1;
        let now = self.now;
        let others = self.members.others(self.id);
        let mut kept = BTreeMap::new();
        for id in others {
            let fresh = || progress::Progress::new(next, now);
            kept.insert(id, self.progress.remove(&id).unwrap_or_else(fresh));
        }
        self.progress = kept;
    }

    pub(super) fn lead_tick(&mut self) {
        let grace_ms = self.quorum_echo().max(self.elected_ms) + self.timing.election_timeout_ms;
        if self.now > grace_ms
            || !self.members.is_voter(self.id) && self.commit == self.last_index()
        {
            // Cut off from the quorum, or removed from the group: stops leading.
            self.follow(None);
            return;
        }
        if self
            .transfer
            .is_some_and(|(_to, until_ms)| self.now > until_ms)
        {
            // The order to stand may still arrive, so the lease cannot be taken up again.
            self.follow(None);
            return;
        }
        self.promote_learner();
        self.heartbeat();
    }

    /// Latest own clock value that a quorum has echoed; the own vote counts as now.
    pub(super) fn quorum_echo(&self) -> Millis {
        let echo = |id: &Id| match self.progress.get(id) {
            Some(progress) => progress.echoed_ms,
            None => self.now,
        };
        let mut echoes: Vec<Millis> = self.members.voters.keys().map(echo).collect();
        echoes.sort_unstable_by(|a, b| b.cmp(a));
        echoes.get(self.members.quorum() - 1).copied().unwrap_or(0)
    }

    fn heartbeat(&mut self) {
        for to in self.members.others(self.id) {
            let due = self.progress.get(&to).is_some_and(|progress| {
                self.now >= progress.sent_ms + self.timing.heartbeat_ms || progress.sent_ms == 0
            });
            if due {
                self.send_append(to, true);
            }
        }
    }

    /// Sends new entries to every member with room in its window.
    pub(super) fn replicate(&mut self) {
        for to in self.members.others(self.id) {
            self.send_append(to, false);
        }
    }

    fn send_append(&mut self, to: Id, even_empty: bool) {
        let learner = self.members.learners.contains_key(&to);
        let last_index = self.log.last_index();
        let now = self.now;
        let resend_ms = self.timing.resend_ms;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let stalled = now >= progress.window_ms + resend_ms;
        if progress.next > progress.matched + 1 && stalled {
            progress.next = progress.matched + 1;
            progress.window_ms = now;
        }
        if progress.next <= self.log.base_index() {
            self.request_install(to);
            return;
        }
        let open = progress.next <= progress.matched + self.timing.window_entries;
        let entries = if open {
            self.log.slice(progress.next, self.timing.batch_bytes)
        } else {
            Vec::new()
        };
        if entries.is_empty() && !even_empty {
            return;
        }
        let prev_index = (progress.next - 1).min(last_index);
        let prev_term = self.log.term(prev_index).unwrap_or(0);
        if progress.next == progress.matched + 1 {
            progress.window_ms = now;
        }
        progress.next += entries.len() as Index;
        progress.sent_ms = now;
        let commit = self.commit;
        let sent_ms = now;
        self.send(
            to,
            message::Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                sent_ms,
                learner,
            },
        );
    }

    pub(super) fn on_appended(&mut self, from: Id, matched: bool, index: Index, sent_ms: Millis) {
        if self.role != Role::Leader {
            return;
        }
        let base_index = self.log.base_index();
        let last_index = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.echoed_ms = progress.echoed_ms.max(sent_ms);
        if matched {
            progress.install = None;
            if index > progress.matched {
                progress.matched = index;
                progress.window_ms = self.now;
            }
            progress.next = progress.next.max(index + 1);
        } else {
            progress.next = (index + 1).clamp(progress.matched + 1, last_index + 1);
            progress.window_ms = self.now;
        }
        let more = progress.next <= last_index || progress.next <= base_index;
        self.advance_commit();
        if more {
            self.send_append(from, false);
        }
        self.finish_transfer(from);
    }

    pub(super) fn advance_commit(&mut self) {
        let known = |id: &Id| match self.progress.get(id) {
            Some(progress) => progress.matched,
            None => self.durable,
        };
        let mut matched: Vec<Index> = self.members.voters.keys().map(known).collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(self.members.quorum() - 1).copied() else {
            return;
        };
        if index > self.commit && self.log.term(index) == Some(self.hard_state.term) {
            self.commit_to(index);
            self.announce_commit();
        }
    }

    /// Tells the others of a commit at once: they hand grants and configuration on.
    fn announce_commit(&mut self) {
        for to in self.members.others(self.id) {
            self.send_append(to, true);
        }
    }

    fn promote_learner(&mut self) {
        if !self.has_committed_in_term() || self.log.has_members_change_after(self.commit) {
            return;
        }
        let commit = self.commit;
        let ready = self.members.learners.keys().copied().find(|id| {
            let progress = self.progress.get(id);
            progress.is_some_and(|p| p.matched > 0 && p.matched + PROMOTE_LAG >= commit)
        });
        let Some(id) = ready else { return };
        if let Ok(next) = self.members.with(&members::Change::Promote { id }) {
            self.append(message::Payload::Members(next));
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
        let best = voters.max_by_key(|(_, progress)| (progress.echoed_ms, progress.matched));
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
            .is_some_and(|p| p.matched == self.log.last_index());
        if to == from && caught_up {
            self.send(to, message::Body::Stand);
        }
    }

    fn request_install(&mut self, to: Id) {
        let resend_ms = self.timing.resend_ms;
        let now = self.now;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let idle = now >= progress.sent_ms + resend_ms;
        let request = match progress.install {
            Some(install) if idle => install,
            Some(_) => return,
            None => progress::Install {
                index: 0,
                offset: 0,
            },
        };
        progress.install = Some(request);
        progress.sent_ms = now;
        self.out.chunk_requests.push(ChunkRequest {
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
        progress.install = Some(progress::Install {
            index: chunk.index,
            offset: chunk.offset,
        });
        progress.sent_ms = sent_ms;
        self.send(
            to,
            message::Body::Install {
                chunk,
                sent_ms,
                learner,
            },
        );
    }

    pub(super) fn on_installed(&mut self, from: Id, index: Index, offset: u64, sent_ms: Millis) {
        if self.role != Role::Leader {
            return;
        }
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.echoed_ms = progress.echoed_ms.max(sent_ms);
        let Some(install) = progress.install else {
            return;
        };
        // A lower offset comes from a member that lost its parts in a restart.
        if install.index == index && offset != install.offset {
            progress.install = Some(progress::Install { index, offset });
            self.out.chunk_requests.push(ChunkRequest {
                to: from,
                index,
                offset,
            });
        }
    }
}
