//! Starts and stops a control member: its threads, and the HTTP service for operators.

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

/// Maximum number of incoming calls queued for the member.
const CALL_QUEUE_CAPACITY: usize = 8_192;

/// Maximum number of calls that are decided on together.
const MAX_BATCH_CALLS: usize = 512;

/// Interval of the member's clock ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Time limit at shutdown for transferring leadership.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time limit for answering an operator's call.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum size of a configuration that operators send.
const MAX_CONFIG_BYTES: usize = 8 << 20;

/// Number of hexadecimal digits in the id of a job of several steps; request ids are shorter.
const STEPS_JOB_ID_DIGITS: usize = 16;

/// Number of threads that serve operators.
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

/// State of a running member that other threads can read.
#[derive(Debug, Default)]
pub struct State {
    has_leader_contact: AtomicBool,
    log_written: AtomicBool,
}

impl State {
    /// Reports whether the member is the leader, or had contact with one within its lease.
    pub fn has_leader_contact(&self) -> bool {
        self.has_leader_contact.load(Ordering::SeqCst)
    }

    /// Reports whether nothing was ever written to the member's log.
    pub fn has_empty_log(&self) -> bool {
        !self.log_written.load(Ordering::SeqCst)
    }

    fn update(&self, member: &member::Member) {
        self.has_leader_contact
            .store(member.node().is_fresh(), Ordering::SeqCst);
        self.log_written
            .store(!member.node().log().is_blank(), Ordering::SeqCst);
    }
}

/// Reads the identity of the member that owns a data folder; `None` if the folder was never
/// initialized.
///
/// # Errors
/// `Storage` when the folder cannot be read.
pub fn identity(data: &std::path::Path) -> error::Result<Option<Id>> {
    store::identity(&mut folder::Folder::open(data)?)
}

/// Initializes a data folder: with the first members of a group, or empty for a member that joins.
///
/// # Errors
/// `Storage` when the folder already belongs to a member or cannot be written.
pub fn init(data: &std::path::Path, id: Id, voters: BTreeMap<Id, SocketAddr>) -> error::Result<()> {
    let mut folder = folder::Folder::open(data)?;
    let first = (!voters.is_empty()).then(|| members::Members::initial(voters));
    store::init(&mut folder, id, first)
}

/// Empties a data folder whose member must not come back under its identity.
///
/// # Errors
/// `Storage` when the disk fails.
pub fn wipe(data: &std::path::Path) -> error::Result<()> {
    store::wipe(&mut folder::Folder::open(data)?)
}

/// Starts a member.
///
/// # Errors
/// `Storage` when the folder is not usable, `Unreachable` when an address is in use.
pub fn start(options: Options) -> error::Result<Daemon> {
    let folder = folder::Folder::open(&options.data)?;
    let (store, recovered) = store::Store::open(folder, options.id)?;
    if recovered.truncated_bytes > 0 {
        log::warn!(
            bytes = recovered.truncated_bytes;
            "truncated an incomplete record at the end of the log"
        );
    }
    let (calls_sender, calls) = channel::bounded(CALL_QUEUE_CAPACITY);
    let transport = transport::Transport::start(transport::Options {
        listen: Some((options.listen, calls_sender)),
        delay: options.delay,
    })?;
    let addr = transport.local_addr().unwrap_or(options.listen);
    let (completions_sender, completions) = channel::bounded(CALL_QUEUE_CAPACITY);
    let disk = disk::start(store, completions_sender)?;
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
    let (stopped_sender, stopped) = channel::bounded(1);
    let state: Arc<State> = Arc::default();
    state.update(&member);
    let shared = Arc::clone(&state);
    uplink::spawn("control", move || {
        let result = run(member, &calls, &completions, &stopping, &shared);
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
        state,
        gate,
        stop,
        stopped,
    })
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

    /// Returns the state of the member that other threads can read.
    pub fn state(&self) -> Arc<State> {
        Arc::clone(&self.state)
    }

    /// Returns the error if the member has stopped by itself.
    pub fn failure(&self) -> Option<error::Error> {
        self.stopped.try_recv().ok()?.err()
    }
}

fn run(
    mut member: member::Member,
    calls: &channel::Receiver<call::Call>,
    completions: &channel::Receiver<disk::Completion>,
    stopping: &channel::Receiver<()>,
    state: &State,
) -> error::Result<()> {
    let ticker = channel::tick(TICK_INTERVAL);
    loop {
        channel::select! {
            recv(calls) -> call => if let Ok(call) = call {
                let more = calls.try_iter().take(MAX_BATCH_CALLS - 1);
                member.handle_calls(std::iter::once(call).chain(more));
            },
            recv(completions) -> completion => match completion {
                Ok(completion) => member.handle_completion(completion),
                Err(_closed) => return Err(disk_stopped()),
            },
            recv(ticker) -> _ => {
                member.tick();
                state.update(&member);
            }
            recv(stopping) -> _ => return transfer_leadership(member, calls, completions),
        }
    }
}

/// Transfers leadership and keeps serving until another member is the leader or the time is up.
fn transfer_leadership(
    mut member: member::Member,
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

/// Serves operators over HTTP.
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
                let query = if id.len() == STEPS_JOB_ID_DIGITS {
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
            "the operator token is missing or invalid",
        ))
    }

    fn configure(
        &self,
        files: Vec<parse::Source>,
        dry_run: bool,
    ) -> serve::Result<serve::Response> {
        let config: config::Config =
            parse::parse(files).map_err(|diagnostics| parse::to_error(&diagnostics))?;
        self.call(&Frame::Configure {
            config: Box::new(config),
            dry_run,
        })
    }

    fn call(&self, frame: &Frame) -> serve::Result<serve::Response> {
        match self.group.call(frame, Duration::ZERO, CALL_TIMEOUT)? {
            Frame::Document(text) => Ok(serve::response(
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
