//! The threads of a control member.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crossbeam::channel;

use crate::clock;
use crate::config;
use crate::config::parse;
use crate::control::{disk, group, leader, member};
use crate::error;
use crate::raft::Id;
use crate::raft::members;
use crate::serve;
use crate::store;
use crate::store::folder;
use crate::uplink;
use crate::wire::call;
use crate::wire::frame::{self, Frame};
use crate::wire::transport;

/// Incoming calls that may wait for the core.
const CALL_RING: usize = 8_192;

/// Most calls that are decided on together.
const MAX_BATCH: usize = 512;

/// Interval of the core's clock.
const TICK: Duration = Duration::from_millis(10);

/// Time in which leadership is handed over at shutdown.
const HAND_OVER: Duration = Duration::from_millis(800);

/// Time in which an operator's call must be answered.
const CALL_LIMIT: Duration = Duration::from_secs(8);

/// Largest configuration that operators may send.
const MAX_CONFIG_BYTES: usize = 8 << 20;

/// Digits of the identity of a job of several steps, in hexadecimal; requests have shorter numbers.
const STEPS_ID_DIGITS: usize = 16;

/// Threads that answer operators.
const HTTP_THREADS: usize = 16;

/// Settings of a control member.
#[derive(Clone, Debug)]
pub struct Options {
    pub id: Id,
    pub name: String,
    pub region: String,
    pub listen: SocketAddr,
    pub http: SocketAddr,
    pub data: PathBuf,
    pub operator_token: String,
    pub retention: Duration,
    /// Delay added to messages, for measurements.
    pub delay: Duration,
}

/// A running member.
#[derive(Debug)]
pub struct Daemon {
    pub addr: SocketAddr,
    pub http: SocketAddr,
    group: group::Group,
    state: Arc<State>,
    gate: Arc<serve::Gate>,
    stop: channel::Sender<()>,
    stopped: channel::Receiver<error::Result<()>>,
}

/// What others may know of a running member.
#[derive(Debug, Default)]
pub struct State {
    leader_contact: AtomicBool,
    log_written: AtomicBool,
}

impl State {
    /// Whether the member leads, or has heard from a leader within its lease.
    pub fn has_leader_contact(&self) -> bool {
        self.leader_contact.load(Ordering::SeqCst)
    }

    /// Whether nothing was ever written to its log.
    pub fn has_empty_log(&self) -> bool {
        !self.log_written.load(Ordering::SeqCst)
    }

    fn note(&self, member: &member::Member) {
        self.leader_contact
            .store(member.node().is_fresh(), Ordering::SeqCst);
        self.log_written
            .store(!member.node().log().is_blank(), Ordering::SeqCst);
    }
}

/// Reads whose data folder it is; nothing for one that was never prepared.
///
/// # Errors
/// `Storage` when the folder cannot be read.
pub fn identity(data: &std::path::Path) -> error::Result<Option<Id>> {
    store::identity(&mut folder::Folder::open(data)?)
}

/// Prepares a data folder: with the first members of a group, or blank for one that joins.
///
/// # Errors
/// `Storage` when the folder already has an owner.
pub fn init(data: &std::path::Path, id: Id, voters: BTreeMap<Id, SocketAddr>) -> error::Result<()> {
    let mut folder = folder::Folder::open(data)?;
    let first = (!voters.is_empty()).then(|| members::Members::initial(voters));
    store::init(&mut folder, id, first)
}

/// Empties a data folder whose member is not to come back under its identity.
///
/// # Errors
/// `Storage` when the disk fails.
pub fn wipe(data: &std::path::Path) -> error::Result<()> {
    store::wipe(&mut folder::Folder::open(data)?)
}

/// Starts a member.
///
/// # Errors
/// `Storage` when the folder is not usable, `Unreachable` when an address is taken.
pub fn start(options: Options) -> error::Result<Daemon> {
    let folder = folder::Folder::open(&options.data)?;
    let (store, recovered) = store::Store::open(folder, options.id)?;
    if recovered.truncated_bytes > 0 {
        log::warn!(bytes = recovered.truncated_bytes; "cut a torn tail off the log");
    }
    let (calls_in, calls) = channel::bounded(CALL_RING);
    let transport = transport::Transport::start(transport::Options {
        listen: Some((options.listen, calls_in)),
        delay: options.delay,
    })?;
    let addr = transport.local_addr().unwrap_or(options.listen);
    let (done_in, done) = channel::bounded(CALL_RING);
    let disk = disk::start(store, done_in)?;
    let member = member::Member::new(
        member::Options {
            name: options.name.clone(),
            region: options.region.clone(),
            addr,
            leader: leader::Options {
                retention_ms: options.retention.as_millis() as u64,
                seed: clock::incarnation(),
            },
        },
        options.id,
        recovered,
        transport.clone(),
        disk,
    )?;
    let gate: Arc<serve::Gate> = Arc::default();
    let group = group::Group::new(transport, vec![addr]);
    let handler = Arc::new(Admin {
        group: group.clone(),
        token: options.operator_token.clone(),
    });
    let http = serve::start(options.http, HTTP_THREADS, Arc::clone(&gate), handler)?;
    let (stop, stopping) = channel::bounded(1);
    let (ended, stopped) = channel::bounded(1);
    let state: Arc<State> = Arc::default();
    state.note(&member);
    let shared = Arc::clone(&state);
    uplink::spawn("control", move || {
        let result = run(member, &calls, &done, &stopping, &shared);
        if let Err(err) = &result {
            log::error!("the member stops: {err}");
        }
        drop(ended.send(result));
    })?;
    log::info!(addr:% = addr, http:% = http; "control member started");
    Ok(Daemon {
        addr,
        http,
        group,
        state,
        gate,
        stop,
        stopped,
    })
}

impl Daemon {
    /// Hands leadership over and stops.
    ///
    /// # Errors
    /// The error that had stopped the member before.
    pub fn stop(self) -> error::Result<()> {
        self.gate.close();
        if self.stop.send(()).is_err() {
            log::debug!("the member had stopped before");
        }
        self.stopped.recv().unwrap_or(Ok(()))
    }

    /// Calls to the group that the member belongs to.
    pub fn group(&self) -> &group::Group {
        &self.group
    }

    /// What others may know of the member.
    pub fn state(&self) -> Arc<State> {
        Arc::clone(&self.state)
    }

    /// Tells whether the member has stopped by itself, and why.
    pub fn failure(&self) -> Option<error::Error> {
        self.stopped.try_recv().ok()?.err()
    }
}

fn run(
    mut member: member::Member,
    calls: &channel::Receiver<call::Call>,
    done: &channel::Receiver<disk::Completion>,
    stopping: &channel::Receiver<()>,
    state: &State,
) -> error::Result<()> {
    let ticker = channel::tick(TICK);
    loop {
        channel::select! {
            recv(calls) -> call => if let Ok(call) = call {
                let more = calls.try_iter().take(MAX_BATCH - 1);
                member.calls(std::iter::once(call).chain(more));
            },
            recv(done) -> outcome => match outcome {
                Ok(outcome) => member.disk_done(outcome),
                Err(_closed) => return Err(disk_gone()),
            },
            recv(ticker) -> _ => {
                member.tick();
                state.note(&member);
            }
            recv(stopping) -> _ => return leave(member, calls, done),
        }
    }
}

/// Hands leadership over and goes on until another member leads, or the time is up.
fn leave(
    mut member: member::Member,
    calls: &channel::Receiver<call::Call>,
    done: &channel::Receiver<disk::Completion>,
) -> error::Result<()> {
    let start = Instant::now();
    member.hand_over();
    while start.elapsed() < HAND_OVER && member.leader().is_some() {
        channel::select! {
            recv(calls) -> call => if let Ok(call) = call {
                member.calls(std::iter::once(call));
            },
            recv(done) -> outcome => match outcome {
                Ok(outcome) => member.disk_done(outcome),
                Err(_closed) => return Err(disk_gone()),
            },
            default(TICK) => member.tick(),
        }
    }
    Ok(())
}

fn disk_gone() -> error::Error {
    error::Error::new(error::Kind::Storage, "the disk thread has stopped")
}

/// Answers operators.
struct Admin {
    group: group::Group,
    token: String,
}

impl serve::Handler for Admin {
    fn max_body_bytes(&self) -> usize {
        MAX_CONFIG_BYTES
    }

    fn handle(&self, request: &serve::Request) -> serve::Response {
        self.answer(request)
            .unwrap_or_else(|err| serve::problem(&err))
    }

    fn readiness(&self) -> std::result::Result<(), String> {
        let status = self.group.call(
            &Frame::Query(frame::Query::Members),
            Duration::ZERO,
            Duration::ZERO,
        );
        status.map(drop).map_err(|err| err.to_string())
    }
}

#[derive(serde::Deserialize)]
struct Files {
    files: Vec<parse::Source>,
}

impl Admin {
    fn answer(&self, request: &serve::Request) -> serve::Result<serve::Response> {
        self.authorize(request)?;
        let path = request.uri().path().to_owned();
        let dry_run = request
            .uri()
            .query()
            .is_some_and(|query| query == "dry_run=true");
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let method = request.method().as_str().to_owned();
        match (method.as_str(), parts.as_slice()) {
            ("POST", ["v1", "config"]) => {
                let files: Files = serve::read_json(request)?;
                self.configure(files.files, dry_run)
            }
            ("POST", ["v1", "members"]) => {
                let change: members::Change = serve::read_json(request)?;
                self.call(&Frame::Change(change))
            }
            ("GET", ["v1", "jobs", id, "decisions"]) => {
                let query = if id.len() == STEPS_ID_DIGITS {
                    u64::from_str_radix(id, 16).map(frame::Query::ExplainSteps)
                } else {
                    id.parse().map(frame::Query::Explain)
                };
                let query = query.map_err(|_not_a_number| leader::unknown_request())?;
                self.call(&Frame::Query(query))
            }
            ("GET", ["v1", name]) => match query(name) {
                Some(query) => self.call(&Frame::Query(query)),
                None => Err(unknown_path(&path)),
            },
            _ => Err(unknown_path(&path)),
        }
    }

    fn authorize(&self, request: &serve::Request) -> serve::Result<()> {
        let given = serve::header(request, "authorization")?;
        let token = given.and_then(|value| value.strip_prefix("Bearer "));
        if token == Some(&self.token) {
            return Ok(());
        }
        Err(error::Error::new(
            error::Kind::Unauthorized,
            "the operator token is missing or wrong",
        ))
    }

    fn configure(
        &self,
        files: Vec<parse::Source>,
        dry_run: bool,
    ) -> serve::Result<serve::Response> {
        let config: config::Config = parse::parse(files).map_err(|faults| parse::error(&faults))?;
        self.call(&Frame::Configure {
            config: Box::new(config),
            dry_run,
        })
    }

    fn call(&self, frame: &Frame) -> serve::Result<serve::Response> {
        match self.group.call(frame, Duration::ZERO, CALL_LIMIT)? {
            Frame::Document(text) => Ok(serve::respond(
                200,
                "application/json",
                serve::Body::whole(text),
            )),
            Frame::Configured {
                generation,
                hash,
                changes,
                resent,
            } => {
                let hash = hash.to_string();
                Ok(serve::json(
                    200,
                    &serde_json::json!({
                        "generation": generation,
                        "hash": hash,
                        "changes": changes,
                        "resent": resent,
                    }),
                ))
            }
            _ => Ok(serve::json(200, &serde_json::json!({ "ok": true }))),
        }
    }
}

fn query(name: &str) -> Option<frame::Query> {
    Some(match name {
        "status" => frame::Query::Status,
        "accounts" => frame::Query::Accounts,
        "jobs" => frame::Query::Jobs,
        "workers" => frame::Query::Workers,
        "targets" => frame::Query::Targets,
        "members" => frame::Query::Members,
        "burn" => frame::Query::Burn,
        "config" => frame::Query::Config,
        _ => return None,
    })
}

fn unknown_path(path: &str) -> error::Error {
    error::Error::new(
        error::Kind::UnknownPath,
        format!("nothing is served at {path}"),
    )
}
