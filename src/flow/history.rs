//! What was decided on a job, kept with it for whoever asks why.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::flow::registry::{Cause, End};
use crate::flow::{Millis, UnitId};

/// Facts kept of a job; the oldest give way.
const MAX_NOTES: usize = 24;

/// Workers named of one run.
const NAMED_WORKERS: usize = 4;

/// Something that became of a unit of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    Placed {
        run: u32,
        /// Time from when it could run.
        waited_ms: Millis,
        on: Vec<String>,
        /// Workers beyond those named.
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

/// A fact, when it came into the log, and the unit it is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    pub at_ms: Millis,
    pub unit: UnitId,
    pub fact: Fact,
}

/// The latest facts of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    notes: VecDeque<Note>,
    /// Facts that have given way.
    dropped: u32,
}

impl History {
    /// Adds a fact.
    pub fn add(&mut self, note: Note) {
        if self.notes.len() == MAX_NOTES {
            self.notes.pop_front();
            self.dropped += 1;
        }
        self.notes.push_back(note);
    }

    /// The facts that are kept, the oldest first.
    pub fn notes(&self) -> impl Iterator<Item = &Note> {
        self.notes.iter()
    }

    /// How many facts are not kept any more.
    pub fn dropped(&self) -> u32 {
        self.dropped
    }
}

/// Names the first workers of a run and counts the others.
pub fn truncate_names<'a>(names: impl Iterator<Item = &'a str>) -> (Vec<String>, u32) {
    let mut all: Vec<&str> = names.collect();
    all.dedup();
    let more = all.len().saturating_sub(NAMED_WORKERS) as u32;
    all.truncate(NAMED_WORKERS);
    (all.into_iter().map(str::to_owned).collect(), more)
}
