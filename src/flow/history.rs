//! The latest decisions on a job, stored with it so that operators can look them up.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::flow::registry::{Cause, End};
use crate::flow::{Millis, UnitId};

/// Maximum number of notes stored for a job; the oldest are dropped.
const MAX_NOTES: usize = 24;

/// Maximum number of workers named for one run.
const MAX_NAMED_WORKERS: usize = 4;

/// An event in the life of a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    Placed {
        run: u32,
        /// Time since the unit became ready.
        waited_ms: Millis,
        /// Names of the first workers.
        on: Vec<String>,
        /// Number of further workers.
        more: u32,
    },
    Stopped {
        run: u32,
        cause: Cause,
    },
    Ended {
        run: u32,
        end: End,
        on: String,
    },
}

/// A fact, the time at which it was logged, and the unit that it concerns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    pub at_ms: Millis,
    pub unit: UnitId,
    pub fact: Fact,
}

/// The latest notes of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    notes: VecDeque<Note>,
    /// Number of notes that were dropped to stay within the limit.
    dropped: u32,
}

impl History {
    /// Adds a note and drops the oldest one if the history is full.
    pub fn add(&mut self, note: Note) {
        if self.notes.len() == MAX_NOTES {
            self.notes.pop_front();
            self.dropped += 1;
        }
        self.notes.push_back(note);
    }

    /// Returns the stored notes, the oldest first.
    pub fn notes(&self) -> impl Iterator<Item = &Note> {
        self.notes.iter()
    }

    /// Returns how many notes were dropped.
    pub fn dropped(&self) -> u32 {
        self.dropped
    }
}

/// Returns the names of the first workers of a run and the number of the others.
pub fn truncate_names<'a>(names: impl Iterator<Item = &'a str>) -> (Vec<String>, u32) {
    let mut all: Vec<&str> = names.collect();
    all.dedup();
    let more = all.len().saturating_sub(MAX_NAMED_WORKERS) as u32;
    all.truncate(MAX_NAMED_WORKERS);
    (all.into_iter().map(str::to_owned).collect(), more)
}
