//! The follower's side: taking entries and snapshots from the leader.

use bytes::{Bytes, BytesMut};

use crate::raft::message;
use crate::raft::node::{Node, Role, Write};
use crate::raft::{Id, Index, Millis, Term};

/// Entries as a leader sends them.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) prev_index: Index,
    pub(super) prev_term: Term,
    pub(super) entries: Vec<message::Entry>,
    pub(super) commit: Index,
}

/// Parts of a snapshot received so far.
#[derive(Debug)]
pub(super) struct Partial {
    index: Index,
    term: Term,
    data: BytesMut,
}

impl Node {
    /// Accepts the sender as leader of the term; false when this member must stay silent.
    fn accept_leader(&mut self, from: Id, learner: bool) -> bool {
        if self.log.is_blank() && !learner {
            // A voter without a log has lost its disk and must not take part under its old name.
            return false;
        }
        if self.role != Role::Follower || self.leader != Some(from) {
            self.follow(Some(from));
        }
        self.heard_ms = self.now;
        self.reset_deadline();
        true
    }

    pub(super) fn on_append(&mut self, from: Id, batch: Batch, sent_ms: Millis, learner: bool) {
        if !self.accept_leader(from, learner) {
            return;
        }
        if batch.prev_index < self.log.base_index() {
            let index = self.log.base_index();
            self.reply(from, true, index, sent_ms);
            return;
        }
        if self.log.term(batch.prev_index) != Some(batch.prev_term) {
            let hint = self.conflict_hint(batch.prev_index);
            self.reply(from, false, hint, sent_ms);
            return;
        }
        let matched = batch.prev_index + batch.entries.len() as Index;
        self.merge(batch.entries);
        self.commit_to(batch.commit.min(matched));
        self.reply(from, true, matched, sent_ms);
    }

    fn reply(&mut self, to: Id, matched: bool, index: Index, sent_ms: Millis) {
        self.send_after_write(
            to,
            message::Body::Appended {
                matched,
                index,
                sent_ms,
            },
        );
    }

    /// Highest index that may still match: before the whole term of the entry in conflict.
    fn conflict_hint(&self, prev_index: Index) -> Index {
        let Some(term) = self.log.term(prev_index) else {
            return self.log.last_index().min(prev_index.saturating_sub(1));
        };
        let mut index = prev_index;
        while index > self.commit && self.log.term(index) == Some(term) {
            index -= 1;
        }
        index
    }

    fn merge(&mut self, entries: Vec<message::Entry>) {
        let skip = entries
            .iter()
            .take_while(|entry| self.log.term(entry.index) == Some(entry.term))
            .count();
        let fresh: Vec<message::Entry> = entries.into_iter().skip(skip).collect();
        let Some(first) = fresh.first().map(|entry| entry.index) else {
            return;
        };
        if first <= self.log.last_index() {
            self.log.truncate(first);
            self.durable = self.durable.min(first - 1);
            self.out.writes.push(Write::Truncate(first));
        }
        for entry in &fresh {
            self.log.push(entry.clone());
        }
        self.out.writes.push(Write::Append(fresh));
        self.members = self.log.members_at(self.log.last_index());
    }

    pub(super) fn on_install(
        &mut self,
        from: Id,
        chunk: message::Chunk,
        sent_ms: Millis,
        learner: bool,
    ) {
        if !self.accept_leader(from, learner) {
            return;
        }
        if chunk.index <= self.commit {
            self.reply(from, true, self.commit, sent_ms);
            return;
        }
        let offset = self.collect(&chunk);
        if offset < chunk.total {
            let body = message::Body::Installed {
                index: chunk.index,
                offset,
                sent_ms,
            };
            self.send_after_write(from, body);
            return;
        }
        let data = self
            .partial
            .take()
            .map(|partial| partial.data.freeze())
            .unwrap_or_default();
        self.load(&chunk, data);
        self.reply(from, true, chunk.index, sent_ms);
    }

    /// Adds a part if it is the next one; returns the offset wanted next.
    fn collect(&mut self, chunk: &message::Chunk) -> u64 {
        let same = self
            .partial
            .as_ref()
            .is_some_and(|partial| partial.index == chunk.index && partial.term == chunk.term);
        if !same {
            self.partial = Some(Partial {
                index: chunk.index,
                term: chunk.term,
                data: BytesMut::new(),
            });
        }
        let Some(partial) = &mut self.partial else {
            return 0;
        };
        if partial.data.len() as u64 == chunk.offset {
            partial.data.extend_from_slice(&chunk.data);
        }
        partial.data.len() as u64
    }

    fn load(&mut self, chunk: &message::Chunk, data: Bytes) {
        self.log
            .reset(chunk.index, chunk.term, chunk.members.clone());
        self.members = chunk.members.clone();
        self.commit = chunk.index;
        self.applied = chunk.index;
        self.durable = chunk.index;
        self.out.committed.clear();
        self.out.restore = Some((chunk.index, data.clone()));
        self.out.writes.push(Write::Snapshot {
            index: chunk.index,
            term: chunk.term,
            members: chunk.members.clone(),
            data,
        });
    }
}
