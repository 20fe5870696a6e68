//! Starts and stops a control member and its threads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel;

use crate::clock;
use crate::control::{admin, disk, enrol, group, leader, member, size};
use crate::error;
use crate::flow::bounds::Bounds;
use crate::raft::Id;
use crate::raft::members;
use crate::serve;
use crate::serve::quota;
use crate::store;
use crate::store::folder;
use crate::uplink;
use crate::wire::call;
use crate::wire::transport;

/// Maximum number of incoming calls queued for the member.
const CALL_QUEUE_CAPACITY: usize = 8_192;

/// Maximum number of calls that are decided on together.
const MAX_BATCH_CALLS: usize = 512;

/// Interval of the member's clock ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Time limit at shutdown for transferring leadership.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which the data of a replaced member is kept.
const ASIDE_TTL_MS: u64 = 7 * 24 * 3_600_000;

/// Maximum size of the data kept of a replaced member where nothing else is set.
pub const MAX_ASIDE_BYTES: u64 = 1 << 30;

/// Number of threads that serve operators.
const HTTP_THREADS: usize = 16;

/// Settings of a control member.
#[derive(Clone, Debug)]
pub struct Options {
    pub id: Id,
    pub name: String,
    pub place: size::Place,
    pub listen: SocketAddr,
    pub http: SocketAddr,
    pub data: PathBuf,
    /// Maximum size of the data that is kept of a member that the group has replaced.
    pub max_aside_bytes: u64,
    /// Growth of the log at which a snapshot is taken, in bytes.
    pub max_log_bytes: u64,
    /// What the group must bear; `None` if operators add and remove members by hand. With a goal, a
    /// member that the group has replaced rejoins under a new identity.
    pub goal: Option<size::Goal>,
    /// Times of workers and guarantees, for jobs of several steps.
    pub bounds: Bounds,
    pub operator_token: String,
    pub retention: Duration,
    /// Delay added to messages, for measurements.
    pub delay: Duration,
    /// Budget of the HTTP servers of the process.
    pub budget: serve::Budget,
    /// Limits of the connections that other processes open.
    pub links: quota::Limits,
}

/// A running member.
#[derive(Debug)]
pub struct Daemon {
    pub addr: SocketAddr,
    pub http: SocketAddr,
    group: group::Group,
    gate: Arc<serve::Gate>,
    stop: channel::Sender<()>,
    stopped: channel::Receiver<error::Result<()>>,
}

/// Returns the identity of a data folder; `None` if the folder was never initialized.
///
/// # Errors
/// `Storage` when the folder cannot be read.
pub fn identity(data: &Path) -> error::Result<Option<store::Identity>> {
    store::identity::identity(&mut folder::Folder::open(data)?)
}

/// Initializes a data folder: with the first members of a group, or empty for a member that joins.
///
/// # Errors
/// `Storage` when the folder already belongs to a member or cannot be written.
pub fn init(
    data: &Path,
    identity: impl Into<store::Identity>,
    voters: BTreeMap<Id, SocketAddr>,
) -> error::Result<()> {
    let mut folder = folder::Folder::open(data)?;
    let first = (!voters.is_empty()).then(|| members::Members::initial(voters));
    store::init(&mut folder, identity, first)
}

/// Starts a member.
///
/// # Errors
/// `Storage` when the folder is not usable, `Unreachable` when an address is in use.
pub fn start(options: Options) -> error::Result<Daemon> {
    let (calls_sender, calls) = channel::bounded(CALL_QUEUE_CAPACITY);
    let transport = transport::Transport::start(transport::Options {
        listen: Some((options.listen, calls_sender)),
        delay: options.delay,
        limits: options.links,
    })?;
    let addr = transport.local_addr().unwrap_or(options.listen);
    let life = Life::start(&options, options.id, addr, &transport)?;
    remove_expired(&options.data, options.id)?;
    let gate: Arc<serve::Gate> = Arc::default();
    let group = group::Group::new(transport.clone(), vec![addr]);
    let handler = Arc::new(admin::Admin {
        group: group.clone(),
        token: options.operator_token.clone(),
    });
    let gate_of_http = Arc::clone(&gate);
    let http = serve::start_within(
        &options.budget,
        options.http,
        HTTP_THREADS,
        gate_of_http,
        handler,
    )?;
    let (stop, stopping) = channel::bounded(1);
    let (stopped_sender, stopped) = channel::bounded(1);
    let state: Arc<enrol::State> = Arc::default();
    state.update(&life.member);
    let replaced = match options.goal {
        Some(_goal) => enrol::start(options.place.clone(), group.clone(), Arc::clone(&state))?,
        // Only operators change the group, and nobody tells the member.
        None => channel::never(),
    };
    let inputs = Inputs {
        calls,
        stopping,
        replaced,
        state,
    };
    uplink::spawn("control", move || {
        let result = run_lives(&options, life, addr, &transport, &inputs);
        if let Err(err) = &result {
            log::error!("control member failed: {err}");
        }
        drop(stopped_sender.send(result));
    })?;
    log::info!(addr:% = addr, http:% = http; "control member started");
    Ok(Daemon {
        addr,
        http,
        group,
        gate,
        stop,
        stopped,
    })
}

/// Removes the data of a replaced member once it is old.
fn remove_expired(data: &Path, id: Id) -> error::Result<()> {
    let mut folder = folder::Folder::open(data)?;
    let identity = store::identity::identity(&mut folder)?;
    let set_aside_ms = identity.and_then(|identity| identity.set_aside_ms);
    if set_aside_ms.is_some_and(|at_ms| clock::wall_ms() >= at_ms.saturating_add(ASIDE_TTL_MS)) {
        log::info!(member = id; "removing the data of the member that was replaced");
        store::identity::remove_set_aside(&mut folder)?;
    }
    Ok(())
}

/// A member under one identity, with the completions of its disk thread.
struct Life {
    member: member::Member,
    completions: channel::Receiver<disk::Completion>,
}

impl Life {
    /// Reads the data folder and starts its disk thread.
    fn start(
        options: &Options,
        id: Id,
        addr: SocketAddr,
        transport: &transport::Transport,
    ) -> error::Result<Self> {
        let folder = folder::Folder::open(&options.data)?;
        let (store, recovered) = store::Store::open(folder, id)?;
        if recovered.truncated_bytes > 0 {
            log::warn!(
                bytes = recovered.truncated_bytes;
                "truncated an incomplete record at the end of the log"
            );
        }
        let (disk, completions) = disk::start(store)?;
        let member_options = member::Options {
            name: options.name.clone(),
            place: options.place.clone(),
            addr,
            goal: options.goal,
            bounds: options.bounds,
            max_log_bytes: options.max_log_bytes,
            leader: leader::Options {
                retention_ms: options.retention.as_millis() as u64,
                seed: rand::random(),
            },
        };
        let transport = transport.clone();
        let member = member::Member::new(member_options, id, recovered, transport, disk)?;
        Ok(Self {
            member,
            completions,
        })
    }

    /// Ends the life and waits until its disk thread has written everything.
    fn end(self) {
        drop(self.member);
        while self.completions.recv().is_ok() {}
    }
}

/// What a running member receives from other threads.
struct Inputs {
    calls: channel::Receiver<call::Call>,
    stopping: channel::Receiver<()>,
    /// Identities that the group has replaced.
    replaced: channel::Receiver<Id>,
    state: Arc<enrol::State>,
}

/// Reason for which a life ends.
enum End {
    Stopped,
    Replaced,
}

/// Runs the member, and again under a new identity each time that the group has replaced it.
fn run_lives(
    options: &Options,
    mut life: Life,
    addr: SocketAddr,
    transport: &transport::Transport,
    inputs: &Inputs,
) -> error::Result<()> {
    while let End::Replaced = run(&mut life, inputs)? {
        let old = life.member.node().id();
        life.end();
        let id = rejoin(options, addr)?;
        log::warn!(member = id, replaced = old; "set the data of the replaced member aside, rejoining under a new identity");
        life = Life::start(options, id, addr, transport)?;
        inputs.state.update(&life.member);
    }
    Ok(())
}

/// Sets the data of the folder's member aside and initializes the folder for a new one.
fn rejoin(options: &Options, addr: SocketAddr) -> error::Result<Id> {
    let mut folder = folder::Folder::open(&options.data)?;
    let identity = store::Identity::random(addr);
    let max_bytes = options.max_aside_bytes;
    store::identity::renew(&mut folder, identity, clock::wall_ms(), max_bytes)?;
    Ok(identity.id)
}

impl Daemon {
    /// Transfers leadership and stops the member.
    ///
    /// # Errors
    /// The error that stopped the member before this call.
    pub fn stop(self) -> error::Result<()> {
        self.gate.close();
        if self.stop.send(()).is_err() {
            log::debug!("control member had already stopped");
        }
        self.stopped.recv().unwrap_or(Ok(()))
    }

    /// Returns a client of the group that the member belongs to.
    pub fn group(&self) -> &group::Group {
        &self.group
    }

    /// Returns the error if the member has stopped by itself.
    pub fn failure(&self) -> Option<error::Error> {
        self.stopped.try_recv().ok()?.err()
    }
}

fn run(life: &mut Life, inputs: &Inputs) -> error::Result<End> {
    let ticker = channel::tick(TICK_INTERVAL);
    let Life {
        member,
        completions,
    } = life;
    loop {
        channel::select! {
            recv(inputs.calls) -> call => if let Ok(call) = call {
                let more = inputs.calls.try_iter().take(MAX_BATCH_CALLS - 1);
                member.handle_calls(std::iter::once(call).chain(more));
            },
            recv(completions) -> completion => {
                let first = completion.map_err(|_closed| disk_stopped())?;
                // A turn that takes many calls adds as many completions.
                for completion in std::iter::once(first).chain(completions.try_iter()) {
                    member.handle_completion(completion);
                }
            }
            recv(ticker) -> _ => {
                member.tick();
                inputs.state.update(member);
            }
            recv(inputs.stopping) -> _ => {
                transfer_leadership(member, &inputs.calls, completions)?;
                return Ok(End::Stopped);
            }
            recv(inputs.replaced) -> id => {
                if id == Ok(member.node().id()) {
                    return Ok(End::Replaced);
                }
            }
        }
    }
}

/// Transfers leadership and keeps serving until another member is the leader or the time is up.
fn transfer_leadership(
    member: &mut member::Member,
    calls: &channel::Receiver<call::Call>,
    completions: &channel::Receiver<disk::Completion>,
) -> error::Result<()> {
    let start = Instant::now();
    member.transfer_leadership();
    while start.elapsed() < TRANSFER_TIMEOUT && member.leader().is_some() {
        channel::select! {
            recv(calls) -> call => if let Ok(call) = call {
                member.handle_calls(std::iter::once(call));
            },
            recv(completions) -> completion => match completion {
                Ok(completion) => member.handle_completion(completion),
                Err(_closed) => return Err(disk_stopped()),
            },
            default(TICK_INTERVAL) => member.tick(),
        }
    }
    Ok(())
}

fn disk_stopped() -> error::Error {
    error::Error::new(error::Kind::Storage, "the disk thread has stopped")
}
