//! Workers heard by an entry or agent, summed up for the leader.

use crate::backend;
use crate::map;
use crate::wire::frame;

/// Silence after which a worker counts as gone.
pub const SILENCE_MS: u64 = 3_000;

/// Most workers that one process takes announcements of.
const MAX_WORKERS: usize = 10_000;

#[derive(Debug)]
struct Entry {
    worker: frame::Worker,
    heard_ms: u64,
    changed: bool,
}

/// Workers that announce themselves here.
#[derive(Debug, Default)]
pub struct Roster {
    workers: map::Map<String, Entry>,
    gone: Vec<String>,
}

impl Roster {
    /// Takes an announcement; false when there is no room for another worker.
    pub fn record_announcement(&mut self, now: u64, news: backend::WorkerAnnouncement) -> bool {
        if self.workers.len() >= MAX_WORKERS && !self.workers.contains_key(&news.name) {
            return false;
        }
        let name = news.name.clone();
        let worker = convert(news);
        match self.workers.get_mut(&name) {
            Some(entry) => {
                entry.heard_ms = now;
                entry.changed |= entry.worker != worker;
                entry.worker = worker;
            }
            None => {
                self.workers.insert(
                    name,
                    Entry {
                        worker,
                        heard_ms: now,
                        changed: true,
                    },
                );
            }
        }
        true
    }

    /// Drops workers that have been silent for too long.
    pub fn expire(&mut self, now: u64) {
        let gone = &mut self.gone;
        self.workers.retain(|name, entry| {
            let heard = now < entry.heard_ms + SILENCE_MS;
            if !heard {
                gone.push(name.clone());
            }
            heard
        });
    }

    /// Takes what has changed since the last call, or everything: workers, and names that left.
    pub fn changes(&mut self, full: bool) -> (Vec<frame::Worker>, Vec<String>) {
        let mut changed = Vec::new();
        for entry in self.workers.values_mut() {
            if full || entry.changed {
                entry.changed = false;
                changed.push(entry.worker.clone());
            }
        }
        changed.sort_by(|a, b| a.name.cmp(&b.name));
        (changed, std::mem::take(&mut self.gone))
    }

    /// Number of workers heard.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether no worker is heard.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }
}

fn convert(news: backend::WorkerAnnouncement) -> frame::Worker {
    let lease = |held: &backend::HeldLease| frame::Lease {
        job: held.job,
        token: held.token,
        memory_gb: held.memory_gb,
    };
    frame::Worker {
        name: news.name,
        addr: news.addr,
        region: news.region,
        domain: news.domain,
        rack: news.rack,
        total: news.total,
        leases: news.leases.iter().map(lease).collect(),
    }
}
