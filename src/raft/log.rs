//! The in-memory part of the replicated log: all entries after the last snapshot.

use crate::raft::members;
use crate::raft::message;
use crate::raft::{Index, Term};

/// Log entries after the last snapshot, with the snapshot's position and membership.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base_index: Index,
    base_term: Term,
    base_members: members::Members,
    entries: Vec<message::Entry>,
    /// Size of the entries in bytes.
    bytes: usize,
}

impl Log {
    /// Creates a log that starts after a snapshot; index and term are zero if there is none.
    pub fn new(
        base_index: Index,
        base_term: Term,
        base_members: members::Members,
        entries: Vec<message::Entry>,
    ) -> Self {
        Self {
            base_index,
            base_term,
            base_members,
            bytes: total_bytes(&entries),
            entries,
        }
    }

    /// Returns the last index that the snapshot covers, zero if there is none.
    pub fn base_index(&self) -> Index {
        self.base_index
    }

    /// Returns the number of entries in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the size of the entries in memory, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reports whether no entry is in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Reports whether this member has neither entries nor a snapshot; such a member never votes.
    pub fn is_blank(&self) -> bool {
        self.last_index() == 0
    }

    /// Returns the index of the last entry, or of the snapshot if there are no entries.
    pub fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as Index
    }

    /// Returns the term of the last entry, or of the snapshot if there are no entries.
    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term at an index, if the entry is in memory or is the last one of the snapshot.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at an index, if it is in memory.
    pub fn get(&self, index: Index) -> Option<&message::Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns entries from an index on, up to `max_bytes` in total but at least one.
    pub fn slice(&self, from: Index, max_bytes: usize) -> Vec<message::Entry> {
        let mut bytes = 0;
        let mut out = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry_bytes(entry);
            if !out.is_empty() && bytes > max_bytes {
                break;
            }
            out.push(entry.clone());
            index += 1;
        }
        out
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: message::Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.bytes += entry_bytes(&entry);
        self.entries.push(entry);
    }

    /// Removes the entry at an index and all entries after it.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.base_index + 1) as usize;
        let removed = self.entries.get(keep..).unwrap_or_default();
        self.bytes -= total_bytes(removed);
        self.entries.truncate(keep);
    }

    /// Returns the index up to which entries can be removed so that of those up to `index` at most
    /// this many, and at most this many bytes, remain.
    pub fn removable_to(&self, index: Index, max_entries: Index, max_bytes: usize) -> Index {
        let min_index = index.saturating_sub(max_entries);
        let mut bytes = 0;
        let mut first = index;
        while first > min_index {
            bytes += self.get(first).map_or(0, entry_bytes);
            if bytes > max_bytes {
                break;
            }
            first -= 1;
        }
        first
    }

    /// Removes the entries that a snapshot up to `index` covers.
    pub fn compact(&mut self, index: Index) {
        let Some(term) = self.term(index) else { return };
        let members = self.members_at(index);
        let drop = (index - self.base_index) as usize;
        self.bytes -= total_bytes(&self.entries[..drop]);
        self.entries.drain(..drop);
        self.base_index = index;
        self.base_term = term;
        self.base_members = members;
    }

    /// Replaces the whole log with a snapshot.
    pub fn reset(&mut self, index: Index, term: Term, members: members::Members) {
        *self = Self::new(index, term, members, Vec::new());
    }

    /// Returns the membership in force at an index.
    pub fn members_at(&self, index: Index) -> members::Members {
        let upto = index.saturating_sub(self.base_index) as usize;
        let kept = &self.entries[..upto.min(self.entries.len())];
        let found = kept.iter().rev().find_map(|entry| match &entry.payload {
            message::Payload::Members(members) => Some(members.clone()),
            message::Payload::Noop | message::Payload::Command(_) => None,
        });
        found.unwrap_or_else(|| self.base_members.clone())
    }

    /// Reports whether the log holds a membership change after an index.
    pub fn has_members_change_after(&self, index: Index) -> bool {
        let from = index.saturating_sub(self.base_index) as usize;
        let rest = self.entries.get(from..).unwrap_or_default();
        rest.iter()
            .any(|entry| matches!(entry.payload, message::Payload::Members(_)))
    }
}

fn total_bytes(entries: &[message::Entry]) -> usize {
    entries.iter().map(entry_bytes).sum()
}

/// Returns the size in bytes that an entry counts for in a batch.
pub fn entry_bytes(entry: &message::Entry) -> usize {
    const HEADER_BYTES: usize = 24;
    HEADER_BYTES
        + match &entry.payload {
            message::Payload::Command(data) => data.len(),
            message::Payload::Noop | message::Payload::Members(_) => 0,
        }
}
