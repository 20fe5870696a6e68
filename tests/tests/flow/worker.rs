//! A fake worker: what an agent's orders come to.

use std::collections::BTreeMap;

use oriolereel::flow::agent::{Announcement, Listing};
use oriolereel::flow::job::Amount;
use oriolereel::flow::message::{Active, Ended};
use oriolereel::flow::registry::{End, Info};
use oriolereel::flow::{Run, Task};

/// Room of each worker.
pub const ROOM: Amount = Amount {
    millicpus: 32_000,
    memory_mb: 64_000,
    accelerators: 8,
};

/// A run on a fake worker.
#[derive(Clone, Debug)]
pub struct Doing {
    pub run: Run,
    pub left_ms: u64,
    pub total_ms: u64,
    pub fails: bool,
    pub stopping_ms: Option<u64>,
}

/// A fake worker: what PROTOCOL says of one, as far as starts, stops and leases go.
#[derive(Debug)]
pub struct Worker {
    pub name: String,
    pub incarnation: u64,
    pub clock_ms: u64,
    pub lease_ms: u64,
    pub token: u64,
    pub doing: Vec<Doing>,
    pub ended: Vec<Ended>,
    pub next_end: u64,
    /// Highest run of each task that was stopped or has ended.
    pub over: BTreeMap<Task, u32>,
    pub leaving: bool,
    pub sequence: u64,
    /// Ends up to this number came before the lease last lapsed; an acknowledgement after that does
    /// not count as taking note.
    pub void: u64,
}

impl Worker {
    pub fn new(at: usize, incarnation: u64) -> Self {
        Self {
            name: format!("w{at}-{incarnation}"),
            incarnation,
            clock_ms: 1_000 * incarnation,
            lease_ms: 0,
            token: 0,
            doing: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            over: BTreeMap::new(),
            leaving: false,
            sequence: 0,
            void: 0,
        }
    }

    pub fn is_idle(&self) -> bool {
        self.doing.is_empty()
    }

    pub fn hold(&mut self, expires_ms: u64) {
        const MOST_MS: u64 = 6_000;
        let until_ms = expires_ms.min(self.clock_ms + MOST_MS);
        self.lease_ms = self.lease_ms.max(until_ms);
    }

    pub fn end(&mut self, run: Run, end: End) {
        let over = self.over.entry(run.task).or_default();
        *over = (*over).max(run.number);
        self.ended.push(Ended {
            number: self.next_end,
            run,
            end,
            checkpoint: String::new(),
        });
        self.next_end += 1;
    }

    pub fn lists(&self) -> Listing {
        let active = self.doing.iter().map(|doing| Active {
            run: doing.run,
            checkpoint: String::new(),
            percent: (100 - doing.left_ms * 100 / doing.total_ms.max(1)) as u32,
        });
        Listing {
            incarnation: self.incarnation,
            clock_ms: self.clock_ms,
            active: active.collect(),
            ended: self.ended.clone(),
        }
    }

    pub fn announce(&mut self, at: usize) -> Announcement {
        self.sequence += 1;
        Announcement {
            info: Info {
                name: self.name.clone(),
                incarnation: self.incarnation,
                instance: format!("i{at}"),
                service: "s".to_owned(),
                region: "r".to_owned(),
                domain: "d".to_owned(),
                rack: format!("k{}", at / 2),
                labels: Vec::new(),
                total: ROOM,
                enforces_capacity: false,
            },
            draining: self.leaving,
            remaining_ms: 3_000,
            clock_ms: Some(self.clock_ms),
            sequence: self.sequence,
        }
    }
}
