//! Workers that announce themselves to an entry or agent, which reports them to the leader.

use crate::backend;
use crate::map;
use crate::wire::frame;

/// Time without an announcement after which a worker counts as gone.
pub const SILENCE_MS: u64 = 3_000;

/// Maximum number of workers that one process accepts announcements from.
const MAX_WORKERS: usize = 10_000;

#[derive(Debug)]
struct Entry {
    worker: frame::Worker,
    last_announcement_ms: u64,
    changed: bool,
}

/// Workers that announce themselves to this process.
#[derive(Debug, Default)]
pub struct Roster {
    workers: map::Map<String, Entry>,
    gone: Vec<String>,
}

impl Roster {
    /// Records an announcement; returns false if the limit of workers is reached.
    pub fn record_announcement(
        &mut self,
        now: u64,
        announcement: backend::WorkerAnnouncement,
    ) -> bool {
        if self.workers.len() >= MAX_WORKERS && !self.workers.contains_key(&announcement.name) {
            return false;
        }
        let name = announcement.name.clone();
        let worker = convert(announcement);
        match self.workers.get_mut(&name) {
            Some(entry) => {
                entry.last_announcement_ms = now;
                entry.changed |= entry.worker != worker;
                entry.worker = worker;
            }
            None => {
                self.workers.insert(
                    name,
                    Entry {
                        worker,
                        last_announcement_ms: now,
                        changed: true,
                    },
                );
            }
        }
        true
    }

    /// Removes workers that have been silent for longer than `SILENCE_MS`.
    pub fn expire(&mut self, now: u64) {
        let gone = &mut self.gone;
        self.workers.retain(|name, entry| {
            let alive = now < entry.last_announcement_ms + SILENCE_MS;
            if !alive {
                gone.push(name.clone());
            }
            alive
        });
    }

    /// Returns the workers that have changed since the last call, or all of them if `full`, and the
    /// names of those removed since.
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

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Reports whether there are no workers.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }
}

fn convert(announcement: backend::WorkerAnnouncement) -> frame::Worker {
    let lease = |held: &backend::HeldLease| frame::Lease {
        job: held.job,
        token: held.token,
        memory_gb: held.memory_gb,
    };
    frame::Worker {
        name: announcement.name,
        addr: announcement.addr,
        region: announcement.region,
        domain: announcement.domain,
        rack: announcement.rack,
        total: announcement.total,
        leases: announcement.leases.iter().map(lease).collect(),
    }
}
