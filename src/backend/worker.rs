//! Stand-in for a worker: a lease table without I/O and an HTTP service for it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::backend::{self, HeldLease, Op, Ops, Outcome, Outcomes, Refusal, Result, Verb, client};
use crate::clock;
use crate::config::Resources;
use crate::error;
use crate::serve;

/// Number of jobs, ended ones included, whose highest fencing token is remembered.
const MAX_FENCED_JOBS: usize = 4_096;

/// Interval between announcements.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Resources that a job holds on the worker until the lease expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    pub token: u64,
    pub amount: Resources,
    pub running: bool,
    pub throttled: bool,
    pub expires_ms: u64,
}

/// Lease table of a worker.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    total: Resources,
    held: BTreeMap<u64, Lease>,
    /// Highest fencing token seen for each job; operations with a lower one are refused.
    highest_tokens: BTreeMap<u64, u64>,
    /// Whether every start of tasks fails.
    pub fail_starts: bool,
    /// Number of leases whose tasks have been started.
    pub started: u64,
}

impl Leases {
    /// Creates an empty table.
    pub fn new(total: Resources) -> Self {
        Self {
            total,
            ..Self::default()
        }
    }

    /// Applies operations in order and returns their outcomes.
    pub fn apply(&mut self, now: u64, ops: &[Op]) -> Outcomes {
        self.expire(now);
        let outcome = |op: &Op, refusal| Outcome {
            job: op.job,
            token: op.token,
            refusal,
        };
        let outcomes = ops
            .iter()
            .map(|op| outcome(op, self.apply_one(now, op).err()))
            .collect();
        Outcomes { outcomes }
    }

    /// Removes the leases that have expired.
    pub fn expire(&mut self, now: u64) {
        self.held.retain(|_job, lease| lease.expires_ms > now);
    }

    /// Iterates over the leases with their jobs.
    pub fn held(&self) -> impl Iterator<Item = (u64, &Lease)> {
        self.held.iter().map(|(job, lease)| (*job, lease))
    }

    fn apply_one(&mut self, now: u64, op: &Op) -> std::result::Result<(), Refusal> {
        let highest_token = self.highest_tokens.get(&op.job).copied().unwrap_or(0);
        if op.token < highest_token {
            let is_repeat = op.verb == Verb::Release && !self.held.contains_key(&op.job);
            return if is_repeat {
                Ok(())
            } else {
                Err(Refusal::Fenced)
            };
        }
        self.highest_tokens.insert(op.job, op.token);
        while self.highest_tokens.len() > MAX_FENCED_JOBS {
            self.highest_tokens.pop_first();
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
            Verb::Renew => self
                .lease(op)
                .map(|lease| lease.expires_ms = now + op.ttl_ms),
            Verb::Throttle => self.lease(op).map(|lease| lease.throttled = true),
            Verb::Checkpoint => self.lease(op).map(|_lease| ()),
            Verb::Release => {
                self.held.remove(&op.job);
                // Fences off an operation with the same token that arrives after the release.
                self.highest_tokens.insert(op.job, op.token + 1);
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
            expires_ms: now + op.ttl_ms,
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
        let is_new = !lease.running;
        lease.running = true;
        lease.expires_ms = now + op.ttl_ms;
        self.started += u64::from(is_new);
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
    /// Addresses of the entries and agents of its region that accept announcements.
    pub aggregators: Vec<SocketAddr>,
}

/// A running stand-in worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub addr: SocketAddr,
    leases: Arc<Mutex<Leases>>,
}

impl Worker {
    /// Starts to serve lease operations and to announce the worker.
    ///
    /// # Errors
    /// Returns `Unreachable` when the process cannot listen on the address.
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

    /// Sets whether every start of tasks fails.
    pub fn fail_starts(&self, on: bool) {
        lock(&self.leases).fail_starts = on;
    }

    /// Returns the number of leases whose tasks have been started.
    pub fn started(&self) -> u64 {
        lock(&self.leases).started
    }

    /// Returns the jobs that hold a lease.
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
            let err = error::Error::new(
                error::Kind::UnknownPath,
                "unknown path, expected /v1/leases",
            );
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

/// Announces the worker to one aggregator at a time, and moves to the next one after a failure.
fn announce(options: &Options, addr: SocketAddr, leases: &Mutex<Leases>) {
    let client = client::Client::new(1);
    let first: usize = options.name.bytes().map(usize::from).sum();
    let mut next = first;
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
        let announcement = backend::WorkerAnnouncement {
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
            .get(next % options.aggregators.len().max(1))
            && let Err(err) = client.announce(*to, "/v1/platform/workers", &announcement)
        {
            log::debug!("announcement failed: {err}");
            next += 1;
        }
        thread::sleep(ANNOUNCEMENT_INTERVAL);
    }
}
