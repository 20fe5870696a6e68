//! A stand-in worker: a lease table without I/O, and the HTTP service around it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::backend::{self, Done, HeldLease, Op, Ops, Outcomes, Refusal, Result, Verb, client};
use crate::clock;
use crate::config::Resources;
use crate::error;
use crate::serve;

/// Ended jobs whose tokens are remembered for fencing.
const KEPT_FENCES: usize = 4_096;

/// Interval of announcements.
const NEWS_INTERVAL: Duration = Duration::from_millis(1_000);

/// A lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    pub token: u64,
    pub amount: Resources,
    pub running: bool,
    pub throttled: bool,
    pub ends_ms: u64,
}

/// The lease table of a worker.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    total: Resources,
    held: BTreeMap<u64, Lease>,
    /// Highest token seen for each job.
    fences: BTreeMap<u64, u64>,
    /// Whether every start fails.
    pub fail_starts: bool,
    /// Tasks started so far, by job and token.
    pub started: u64,
}

impl Leases {
    /// Makes an empty table.
    pub fn new(total: Resources) -> Self {
        Self {
            total,
            ..Self::default()
        }
    }

    /// Applies operations in order.
    pub fn apply(&mut self, now: u64, ops: &[Op]) -> Outcomes {
        self.expire(now);
        let done = |op: &Op, refusal| Done {
            job: op.job,
            token: op.token,
            refusal,
        };
        let outcomes = ops
            .iter()
            .map(|op| done(op, self.one(now, op).err()))
            .collect();
        Outcomes { outcomes }
    }

    /// Ends leases whose term is over.
    pub fn expire(&mut self, now: u64) {
        self.held.retain(|_job, lease| lease.ends_ms > now);
    }

    /// Leases in force.
    pub fn held(&self) -> impl Iterator<Item = (u64, &Lease)> {
        self.held.iter().map(|(job, lease)| (*job, lease))
    }

    fn one(&mut self, now: u64, op: &Op) -> std::result::Result<(), Refusal> {
        let fence = self.fences.get(&op.job).copied().unwrap_or(0);
        if op.token < fence {
            let is_repeat = op.verb == Verb::Release && !self.held.contains_key(&op.job);
            return if is_repeat {
                Ok(())
            } else {
                Err(Refusal::Fenced)
            };
        }
        self.fences.insert(op.job, op.token);
        while self.fences.len() > KEPT_FENCES {
            self.fences.pop_first();
        }
        if self
            .held
            .get(&op.job)
            .is_some_and(|lease| lease.token < op.token)
        {
            self.held.remove(&op.job);
        }
        match op.verb {
            Verb::Prepare => self.prepare(now, op),
            Verb::Start => self.start(now, op),
            Verb::Launch => self.prepare(now, op).and_then(|()| self.start(now, op)),
            Verb::Renew => self.lease(op).map(|lease| lease.ends_ms = now + op.ttl_ms),
            Verb::Throttle => self.lease(op).map(|lease| lease.throttled = true),
            Verb::Checkpoint => self.lease(op).map(|_lease| ()),
            Verb::Release => {
                self.held.remove(&op.job);
                // An operation with this token that is still on its way comes too late.
                self.fences.insert(op.job, op.token + 1);
                Ok(())
            }
        }
    }

    fn lease(&mut self, op: &Op) -> std::result::Result<&mut Lease, Refusal> {
        self.held.get_mut(&op.job).ok_or(Refusal::Unknown)
    }

    fn prepare(&mut self, now: u64, op: &Op) -> std::result::Result<(), Refusal> {
        if self.held.contains_key(&op.job) {
            return Ok(());
        }
        let mut used = op.each.scaled(op.tasks);
        for lease in self.held.values() {
            used += lease.amount;
        }
        if !self.total.fits(&used) {
            return Err(Refusal::Full);
        }
        let lease = Lease {
            token: op.token,
            amount: op.each.scaled(op.tasks),
            running: false,
            throttled: false,
            ends_ms: now + op.ttl_ms,
        };
        self.held.insert(op.job, lease);
        Ok(())
    }

    fn start(&mut self, now: u64, op: &Op) -> std::result::Result<(), Refusal> {
        if self.fail_starts {
            self.held.remove(&op.job);
            return Err(Refusal::Failed);
        }
        let lease = self.lease(op)?;
        let fresh = !lease.running;
        lease.running = true;
        lease.ends_ms = now + op.ttl_ms;
        self.started += u64::from(fresh);
        Ok(())
    }
}

/// Settings of a stand-in worker.
#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    pub listen: SocketAddr,
    pub region: String,
    pub domain: String,
    pub rack: String,
    pub total: Resources,
    /// Entries and agents of its region.
    pub aggregators: Vec<SocketAddr>,
}

/// A running stand-in worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub addr: SocketAddr,
    leases: Arc<Mutex<Leases>>,
}

impl Worker {
    /// Starts serving and announcing.
    ///
    /// # Errors
    /// `Unreachable` when the address cannot be listened on.
    pub fn start(options: Options) -> Result<Self> {
        let leases = Arc::new(Mutex::new(Leases::new(options.total)));
        let handler = Arc::new(Service {
            leases: Arc::clone(&leases),
        });
        let addr = serve::start(options.listen, 16, Arc::default(), handler)?;
        let table = Arc::clone(&leases);
        let spawned = thread::Builder::new()
            .name("worker-news".to_owned())
            .spawn(move || announce(&options, addr, &table));
        spawned.map_err(|err| error::Error::new(error::Kind::Internal, err.to_string()))?;
        Ok(Self { addr, leases })
    }

    /// Makes every start fail, or succeed again.
    pub fn fail_starts(&self, on: bool) {
        lock(&self.leases).fail_starts = on;
    }

    /// Tasks started so far.
    pub fn started(&self) -> u64 {
        lock(&self.leases).started
    }

    /// Jobs that hold a lease now.
    pub fn jobs(&self) -> Vec<u64> {
        let mut leases = lock(&self.leases);
        leases.expire(clock::mono_ms());
        leases.held().map(|(job, _lease)| job).collect()
    }
}

fn lock(leases: &Mutex<Leases>) -> std::sync::MutexGuard<'_, Leases> {
    leases.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Service {
    leases: Arc<Mutex<Leases>>,
}

impl serve::Handler for Service {
    fn max_body_bytes(&self) -> usize {
        backend::MAX_JSON_BYTES as usize
    }

    fn handle(&self, request: &serve::Request) -> serve::Response {
        if request.uri().path() != "/v1/leases" {
            let err = error::Error::new(error::Kind::UnknownPath, "only /v1/leases");
            return serve::problem(&err);
        }
        match serve::read_json::<Ops>(request) {
            Ok(ops) => {
                let outcomes = lock(&self.leases).apply(clock::mono_ms(), &ops.ops);
                serve::json(200, &outcomes)
            }
            Err(err) => serve::problem(&err),
        }
    }
}

/// Announces the worker to one aggregator, to the next one when that does not answer.
fn announce(options: &Options, addr: SocketAddr, leases: &Mutex<Leases>) {
    let client = client::Client::new(1);
    let spread: usize = options.name.bytes().map(usize::from).sum();
    let mut at = spread;
    loop {
        let held = {
            let mut leases = lock(leases);
            leases.expire(clock::mono_ms());
            let held = leases.held().map(|(job, lease)| HeldLease {
                job,
                token: lease.token,
                memory_gb: lease.amount.memory_gb,
            });
            held.collect()
        };
        let news = backend::WorkerAnnouncement {
            name: options.name.clone(),
            addr,
            region: options.region.clone(),
            domain: options.domain.clone(),
            rack: options.rack.clone(),
            total: options.total,
            leases: held,
        };
        if let Some(to) = options
            .aggregators
            .get(at % options.aggregators.len().max(1))
            && let Err(err) = client.announce(*to, "/v1/platform/workers", &news)
        {
            log::debug!("announcement failed: {err}");
            at += 1;
        }
        thread::sleep(NEWS_INTERVAL);
    }
}
