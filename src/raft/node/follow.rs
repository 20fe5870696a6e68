//! Follower side of the node: entries and snapshots received from the leader.

use bytes::{Bytes, BytesMut};

use crate::raft::message;
use crate::raft::node::{Node, Role, Write};
use crate::raft::{Id, Index, Millis, Term};

/// Content of an `AppendEntries` message.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) prev_index: Index,
    pub(super) prev_term: Term,
    pub(super) entries: Vec<message::Entry>,
    pub(super) commit_index: Index,
}

/// The part of a snapshot received so far.
#[derive(Debug)]
pub(super) struct Partial {
    index: Index,
    term: Term,
    data: BytesMut,
}

impl Node {
    /// Accepts the sender as leader of the term. Returns false if this member must not answer.
    fn accept_leader(&mut self, from: Id, learner: bool) -> bool {
        if self.log.is_blank() && !learner {
            // A voter with an empty log has lost its disk. It may have voted or acknowledged
            // entries before, so it must not take part under its old identity.
            return false;
        }
        if self.role != Role::Follower || self.leader != Some(from) {
            self.become_follower(Some(from));
        }
        self.leader_contact_ms = self.now;
        self.early_elections = 0;
        self.reset_deadline();
        true
    }

    pub(super) fn on_append_entries(
        &mut self,
        from: Id,
        batch: Batch,
        sent_ms: Millis,
        learner: bool,
    ) {
        if !self.accept_leader(from, learner) {
            return;
        }
        if batch.prev_index < self.log.base_index() {
            let index = self.log.base_index();
            self.reply(from, true, index, sent_ms);
            return;
        }
        if self.log.term(batch.prev_index) != Some(batch.prev_term) {
            let retry_index = self.retry_index(batch.prev_index);
            self.reply(from, false, retry_index, sent_ms);
            return;
        }
        let matched = batch.prev_index + batch.entries.len() as Index;
        self.merge_entries(batch.entries);
        self.commit_to(batch.commit_index.min(matched));
        self.reply(from, true, matched, sent_ms);
    }

    fn reply(&mut self, to: Id, matched: bool, index: Index, sent_ms: Millis) {
        self.send_after_write(
            to,
            message::Body::AppendReply {
                matched,
                index,
                sent_ms,
            },
        );
    }

    /// Returns the highest index that may still match. Skips all entries of the conflicting term at
    /// once, down to the commit index.
    fn retry_index(&self, prev_index: Index) -> Index {
        let Some(term) = self.log.term(prev_index) else {
            return self.log.last_index().min(prev_index.saturating_sub(1));
        };
        let mut index = prev_index;
        while index > self.commit_index && self.log.term(index) == Some(term) {
            index -= 1;
        }
        index
    }

    fn merge_entries(&mut self, entries: Vec<message::Entry>) {
        let skip = entries
            .iter()
            .take_while(|entry| self.log.term(entry.index) == Some(entry.term))
            .count();
        let new_entries: Vec<message::Entry> = entries.into_iter().skip(skip).collect();
        let Some(first) = new_entries.first().map(|entry| entry.index) else {
            return;
        };
        if first <= self.log.last_index() {
            self.log.truncate(first);
            self.durable_index = self.durable_index.min(first - 1);
            self.effects.writes.push(Write::Truncate(first));
        }
        for entry in &new_entries {
            self.log.push(entry.clone());
        }
        self.effects.writes.push(Write::Append(new_entries));
        self.members = self.log.members_at(self.log.last_index());
    }

    pub(super) fn on_install_snapshot(
        &mut self,
        from: Id,
        chunk: message::Chunk,
        sent_ms: Millis,
        learner: bool,
    ) {
        if !self.accept_leader(from, learner) {
            return;
        }
        if chunk.index <= self.commit_index {
            self.reply(from, true, self.commit_index, sent_ms);
            return;
        }
        let offset = self.add_chunk(&chunk);
        if offset < chunk.total_bytes {
            let body = message::Body::SnapshotReply {
                index: chunk.index,
                offset,
                sent_ms,
            };
            self.send_after_write(from, body);
            return;
        }
        let data = self
            .incoming
            .take()
            .map(|partial| partial.data.freeze())
            .unwrap_or_default();
        self.install_snapshot(&chunk, data);
        self.reply(from, true, chunk.index, sent_ms);
    }

    /// Appends a part if it is the next one; returns the offset of the part needed next.
    fn add_chunk(&mut self, chunk: &message::Chunk) -> u64 {
        let is_same = self
            .incoming
            .as_ref()
            .is_some_and(|partial| partial.index == chunk.index && partial.term == chunk.term);
        if !is_same {
            self.incoming = Some(Partial {
                index: chunk.index,
                term: chunk.term,
                data: BytesMut::new(),
            });
        }
        let Some(partial) = &mut self.incoming else {
            return 0;
        };
        if partial.data.len() as u64 == chunk.offset {
            partial.data.extend_from_slice(&chunk.data);
        }
        partial.data.len() as u64
    }

    fn install_snapshot(&mut self, chunk: &message::Chunk, data: Bytes) {
        self.log
            .reset(chunk.index, chunk.term, chunk.members.clone());
        self.members = chunk.members.clone();
        self.commit_index = chunk.index;
        self.applied_index = chunk.index;
        self.durable_index = chunk.index;
        self.effects.committed.clear();
        self.effects.restore = Some((chunk.index, data.clone()));
        self.effects.writes.push(Write::Snapshot {
            index: chunk.index,
            term: chunk.term,
            members: chunk.members.clone(),
            data,
        });
    }
}
