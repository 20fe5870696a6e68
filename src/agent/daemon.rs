//! Threads of an agent and its HTTP endpoints.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crossbeam::channel;

use crate::agent::answers;
use crate::agent::core::{self, Core, Effect, Event};
use crate::backend::client::{self, Backend};
use crate::backend::{self, Ops};
use crate::clock;
use crate::control::group;
use crate::error;
use crate::raft::Index;
use crate::roster;
use crate::serve;
use crate::serve::quota;
use crate::telemetry;
use crate::uplink;
use crate::wire::call;
use crate::wire::frame::{self, Frame};
use crate::wire::transport;

/// Maximum number of events or calls that wait in a queue.
const QUEUE_CAPACITY: usize = 4_096;

/// Interval of the core's `Tick` events.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of threads that send lease operations.
const LEASE_THREADS: usize = 8;

/// Number of threads that report ended gangs to the leader.
const FINISH_THREADS: usize = 2;

/// Number of threads that serve requests of the target, workers and operators.
const HTTP_THREADS: usize = 16;

/// Time limit of the report of one ended gang, with its retries.
const FINISH_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    pub region: String,
    pub listen: SocketAddr,
    pub http: SocketAddr,
    /// Addresses of the control members, the nearest first.
    pub control: Vec<SocketAddr>,
    /// Maximum number of requests that are sent to the target at the same time.
    pub connections: usize,
    pub max_answer_bytes: u64,
    pub answers: answers::Limits,
    /// Delay added to each direction of a message, for measurements.
    pub delay: Duration,
    /// Budget of the HTTP servers of the process.
    pub budget: serve::Budget,
    /// Limits of the connections that other processes open.
    pub links: quota::Limits,
}

/// A running agent.
#[derive(Debug)]
pub struct Daemon {
    pub addr: SocketAddr,
    pub http: SocketAddr,
    gate: Arc<serve::Gate>,
    event_sender: channel::Sender<Event>,
    is_idle: Arc<Mutex<bool>>,
}

/// Starts an agent.
///
/// # Errors
/// Returns `Unreachable` when the process cannot listen on an address.
pub fn start(options: &Options) -> error::Result<Daemon> {
    let (call_sender, calls) = channel::bounded(QUEUE_CAPACITY);
    let transport = transport::Transport::start(transport::Options {
        listen: Some((options.listen, call_sender)),
        delay: options.delay,
        limits: options.links,
    })?;
    let addr = transport.local_addr().unwrap_or(options.listen);
    let group = group::Group::new(transport, options.control.clone());
    let (event_sender, events) = channel::bounded(QUEUE_CAPACITY);
    let cache: Arc<uplink::Cache> = Arc::default();
    let identity = uplink::Identity {
        node: frame::Node {
            name: options.name.clone(),
            role: frame::Role::Agent,
            region: options.region.clone(),
            addr,
            incarnation: uplink::incarnation(),
            generation: 0,
        },
        cache,
    };
    let roster: Arc<Mutex<roster::Roster>> = Arc::default();
    let status: Arc<Mutex<uplink::Status>> = Arc::default();
    let is_idle = Arc::new(Mutex::new(true));
    let backend = client::Client::new(options.connections);
    let gate: Arc<serve::Gate> = Arc::default();
    let handler = Arc::new(Service {
        event_sender: event_sender.clone(),
        roster: Arc::clone(&roster),
        cache: Arc::clone(&identity.cache),
    });
    let gate_of_http = Arc::clone(&gate);
    let http = serve::start_within(
        &options.budget,
        options.http,
        HTTP_THREADS,
        gate_of_http,
        handler,
    )?;
    uplink::watch(
        identity.clone(),
        group.clone(),
        Grants(event_sender.clone()),
    )?;
    uplink::report(identity.clone(), group.clone(), roster, Arc::clone(&status))?;
    let core = Core::new(core::Options {
        name: options.name.clone(),
        incarnation: identity.node.incarnation,
        answers: options.answers,
    });
    let pools = Pools {
        leases: lease_pool(&options.name, &backend, &event_sender)?,
        dispatches: dispatch_pool(options, &backend, &event_sender)?,
        finishes: finish_pool(&group, &event_sender)?,
        event_sender: event_sender.clone(),
    };
    let shared = Shared {
        status,
        is_idle: Arc::clone(&is_idle),
    };
    uplink::spawn("agent", move || run(core, &events, &calls, &pools, &shared))?;
    log::info!(addr:% = addr, http:% = http; "agent started");
    Ok(Daemon {
        addr,
        http,
        gate,
        event_sender,
        is_idle,
    })
}

impl Daemon {
    /// Stops accepting new grants.
    pub fn drain(&self) {
        self.gate.close();
        drop(self.event_sender.send(Event::Drain));
    }

    /// Reports whether there is no gang, no unacknowledged finish and no uncollected answer.
    pub fn is_idle(&self) -> bool {
        *self.is_idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drains the agent and waits up to `timeout` until it is idle; returns whether it is.
    pub fn stop(&self, timeout: Duration) -> bool {
        self.drain();
        let start = std::time::Instant::now();
        std::thread::sleep(TICK_INTERVAL * 2);
        while !self.is_idle() {
            if start.elapsed() > timeout {
                return false;
            }
            std::thread::sleep(TICK_INTERVAL);
        }
        true
    }
}

/// Queues of the thread pools that carry out the core's effects.
struct Pools {
    leases: channel::Sender<core::Batch>,
    dispatches: channel::Sender<client::Dispatch>,
    finishes: channel::Sender<frame::Finish>,
    event_sender: channel::Sender<Event>,
}

/// State of the core that other threads read.
struct Shared {
    status: Arc<Mutex<uplink::Status>>,
    is_idle: Arc<Mutex<bool>>,
}

fn run(
    mut core: Core,
    events: &channel::Receiver<Event>,
    calls: &channel::Receiver<call::Call>,
    pools: &Pools,
    shared: &Shared,
) {
    let mut replies: BTreeMap<u64, call::Reply> = BTreeMap::new();
    let mut next_tag = 0;
    let ticker = channel::tick(TICK_INTERVAL);
    loop {
        let event = channel::select! {
            recv(events) -> event => match event {
                Ok(event) => event,
                Err(_closed) => return,
            },
            recv(calls) -> call => match call {
                Ok(call) => {
                    next_tag += 1;
                    match accept_call(call, next_tag, &mut replies) {
                        Some(event) => event,
                        None => continue,
                    }
                }
                Err(_closed) => return,
            },
            recv(ticker) -> _ => Event::Tick,
        };
        let effects = core.step(clock::mono_ms(), event);
        for effect in effects {
            perform(effect, pools, &mut replies);
        }
        publish(&core, shared);
    }
}

fn accept_call(
    call: call::Call,
    tag: u64,
    replies: &mut BTreeMap<u64, call::Reply>,
) -> Option<Event> {
    match call.frame {
        Frame::Collect {
            job,
            attempt,
            offset,
            wait_ms,
        } => {
            replies.insert(tag, call.reply);
            Some(Event::Collect {
                tag,
                job,
                attempt,
                offset,
                wait_ms,
            })
        }
        _ => {
            let detail = "an agent accepts no messages other than `Collect`";
            call.reply
                .fail(error::Error::new(error::Kind::Malformed, detail));
            None
        }
    }
}

fn perform(effect: Effect, pools: &Pools, replies: &mut BTreeMap<u64, call::Reply>) {
    match effect {
        Effect::Lease(batch) => {
            if let Err(full) = pools.leases.try_send(batch) {
                let core::Batch { worker, ops, .. } = full.into_inner();
                let result = Err(error::Error::new(
                    error::Kind::Overloaded,
                    "the queue of lease operations is full",
                ));
                // A blocking send could wait forever, because this thread drains that queue itself.
                drop(pools.event_sender.try_send(Event::LeaseResult {
                    worker,
                    ops,
                    result,
                }));
            }
        }
        Effect::Dispatch(dispatch) => {
            if let Err(full) = pools.dispatches.try_send(dispatch) {
                let dispatch = full.into_inner();
                let result = Err(error::Error::new(
                    error::Kind::Overloaded,
                    "the queue of dispatches is full",
                ));
                let (job, attempt) = (dispatch.job, dispatch.attempt);
                drop(pools.event_sender.try_send(Event::DispatchResult {
                    job,
                    attempt,
                    result,
                }));
            }
        }
        // A finish that does not fit into the queue is sent again later.
        Effect::Finish(finish) => drop(pools.finishes.try_send(finish)),
        Effect::Reply { tag, frame } => {
            if let Some(reply) = replies.remove(&tag) {
                reply.send(frame);
            }
        }
    }
}

fn publish(core: &Core, shared: &Shared) {
    telemetry::GANGS.set(core.gang_count() as i64);
    telemetry::ANSWER_BYTES.set(core.answer_bytes() as i64);
    let mut status = shared.status.lock().unwrap_or_else(PoisonError::into_inner);
    status.target = core.target();
    status.jobs = core.jobs();
    *shared
        .is_idle
        .lock()
        .unwrap_or_else(PoisonError::into_inner) = core.is_idle();
}

fn lease_pool(
    name: &str,
    backend: &client::Client,
    event_sender: &channel::Sender<Event>,
) -> error::Result<channel::Sender<core::Batch>> {
    let (queue, receiver) = channel::bounded(QUEUE_CAPACITY);
    for _thread in 0..LEASE_THREADS {
        let receiver: channel::Receiver<core::Batch> = receiver.clone();
        let (backend, event_sender, holder) =
            (backend.clone(), event_sender.clone(), name.to_owned());
        uplink::spawn("lease", move || {
            for core::Batch { worker, addr, ops } in receiver {
                let message = Ops {
                    holder: holder.clone(),
                    ops,
                };
                let result = backend.lease(addr, &message);
                count_lease_ops(&message, &result);
                if event_sender
                    .send(Event::LeaseResult {
                        worker,
                        ops: message.ops,
                        result,
                    })
                    .is_err()
                {
                    return;
                }
            }
        })?;
    }
    Ok(queue)
}

fn count_lease_ops(message: &Ops, result: &backend::Result<backend::Outcomes>) {
    for (index, op) in message.ops.iter().enumerate() {
        let outcome = match result {
            Ok(outcomes) => match outcomes.outcomes.get(index).map(|outcome| outcome.refusal) {
                Some(None) => "done",
                Some(Some(_)) => "refused",
                None => "missing",
            },
            Err(_) => "unanswered",
        };
        let verb = format!("{:?}", op.verb).to_lowercase();
        telemetry::LEASES
            .with_label_values(&[verb.as_str(), outcome])
            .inc();
    }
}

fn dispatch_pool(
    options: &Options,
    backend: &client::Client,
    event_sender: &channel::Sender<Event>,
) -> error::Result<channel::Sender<client::Dispatch>> {
    let (queue, receiver) = channel::bounded(options.connections);
    for _thread in 0..options.connections {
        let receiver: channel::Receiver<client::Dispatch> = receiver.clone();
        let (backend, event_sender) = (backend.clone(), event_sender.clone());
        let max_bytes = options.max_answer_bytes;
        uplink::spawn("dispatch", move || {
            for dispatch in receiver {
                let result = backend.dispatch(&dispatch, max_bytes);
                let (job, attempt) = (dispatch.job, dispatch.attempt);
                if result
                    .as_ref()
                    .is_err_and(|err| err.kind == error::Kind::AnswerInvalid)
                {
                    telemetry::ANSWERS_DROPPED
                        .with_label_values(&["invalid"])
                        .inc();
                }
                if event_sender
                    .send(Event::DispatchResult {
                        job,
                        attempt,
                        result,
                    })
                    .is_err()
                {
                    return;
                }
            }
        })?;
    }
    Ok(queue)
}

fn finish_pool(
    group: &group::Group,
    event_sender: &channel::Sender<Event>,
) -> error::Result<channel::Sender<frame::Finish>> {
    let (queue, receiver) = channel::bounded(QUEUE_CAPACITY);
    for _thread in 0..FINISH_THREADS {
        let receiver: channel::Receiver<frame::Finish> = receiver.clone();
        let (group, event_sender) = (group.clone(), event_sender.clone());
        uplink::spawn("finish", move || {
            for finish in receiver {
                let (job, attempt) = (finish.job, finish.attempt);
                match group.call(&Frame::Finish(finish), Duration::ZERO, FINISH_TIMEOUT) {
                    Ok(_) => drop(event_sender.send(Event::Acknowledged { job, attempt })),
                    Err(err) => log::debug!(job = job; "finish not acknowledged: {err}"),
                }
            }
        })?;
    }
    Ok(queue)
}

/// Forwards grants to the core.
struct Grants(channel::Sender<Event>);

impl uplink::Handler for Grants {
    fn handle_grants(&self, index: Index, grants: Vec<frame::Grant>) {
        drop(self.0.send(Event::Grants { index, grants }));
    }
}

/// Handles announcements and the operator's request to drain.
struct Service {
    event_sender: channel::Sender<Event>,
    roster: Arc<Mutex<roster::Roster>>,
    cache: Arc<uplink::Cache>,
}

impl serve::Handler for Service {
    fn max_body_bytes(&self) -> usize {
        backend::MAX_JSON_BYTES as usize
    }

    fn handle(&self, request: &serve::Request) -> serve::Response {
        let path = request.uri().path().to_owned();
        let result = match (request.method().as_str(), path.as_str()) {
            ("POST", "/v1/platform/targets") => serve::read_json(request)
                .map(|announcement| drop(self.event_sender.send(Event::Target(announcement)))),
            ("POST", "/v1/platform/workers") => record_worker(request, &self.roster),
            ("POST", "/v1/drain") => {
                drop(self.event_sender.send(Event::Drain));
                Ok(())
            }
            _ => Err(error::Error::new(
                error::Kind::UnknownPath,
                format!("nothing is served at {path}"),
            )),
        };
        match result {
            Ok(()) => serve::json(200, &serde_json::json!({ "ok": true })),
            Err(err) => serve::problem(&err),
        }
    }

    fn readiness(&self) -> std::result::Result<(), String> {
        if self.cache.is_fresh() {
            return Ok(());
        }
        Err("no recent contact with the control group".to_owned())
    }
}

/// Records a worker's announcement.
///
/// # Errors
/// Returns `Malformed` when it cannot be parsed, or `Overloaded` when too many workers announce
/// themselves to this process.
pub fn record_worker(
    request: &serve::Request,
    roster: &Mutex<roster::Roster>,
) -> error::Result<()> {
    let announcement: backend::WorkerAnnouncement = serve::read_json(request)?;
    let mut roster = roster.lock().unwrap_or_else(PoisonError::into_inner);
    if roster.record_announcement(clock::mono_ms(), announcement) {
        return Ok(());
    }
    Err(error::Error::new(
        error::Kind::Overloaded,
        "this process already tracks the maximum number of workers",
    ))
}
