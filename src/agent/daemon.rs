//! The threads of an agent.

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
use crate::telemetry;
use crate::uplink;
use crate::wire::call;
use crate::wire::frame::{self, Frame};
use crate::wire::transport;

/// Events and calls that may wait for the core.
const RING: usize = 4_096;

/// Interval of the core's clock.
const TICK: Duration = Duration::from_millis(50);

/// Threads that send lease operations.
const LEASE_THREADS: usize = 8;

/// Threads that tell the leader of ended gangs.
const FINISH_THREADS: usize = 2;

/// Threads that answer the target, workers and operators.
const HTTP_THREADS: usize = 16;

/// Bound of one finish with its retries.
const FINISH_LIMIT: Duration = Duration::from_secs(5);

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    pub region: String,
    pub listen: SocketAddr,
    pub http: SocketAddr,
    /// Control members, the nearest first.
    pub control: Vec<SocketAddr>,
    /// Requests that the target may work on at once.
    pub connections: usize,
    pub max_answer_bytes: u64,
    pub answers: answers::Limits,
    pub delay: Duration,
}

/// A running agent.
#[derive(Debug)]
pub struct Daemon {
    pub addr: SocketAddr,
    pub http: SocketAddr,
    gate: Arc<serve::Gate>,
    inputs: channel::Sender<Event>,
    idle: Arc<Mutex<bool>>,
}

/// Starts an agent.
///
/// # Errors
/// `Unreachable` when an address is taken.
pub fn start(options: &Options) -> error::Result<Daemon> {
    let (calls_in, calls) = channel::bounded(RING);
    let transport = transport::Transport::start(transport::Options {
        listen: Some((options.listen, calls_in)),
        delay: options.delay,
    })?;
    let addr = transport.local_addr().unwrap_or(options.listen);
    let group = group::Group::new(transport, options.control.clone());
    let (inputs, events) = channel::bounded(RING);
    let cache: Arc<uplink::Cache> = Arc::default();
    let identity = uplink::Identity {
        node: frame::Node {
            name: options.name.clone(),
            role: frame::Role::Agent,
            region: options.region.clone(),
            addr,
            incarnation: clock::incarnation(),
            generation: 0,
        },
        cache,
    };
    let roster: Arc<Mutex<roster::Roster>> = Arc::default();
    let status: Arc<Mutex<uplink::Status>> = Arc::default();
    let idle = Arc::new(Mutex::new(true));
    let backend = client::Client::new(options.connections);
    let gate: Arc<serve::Gate> = Arc::default();
    let handler = Arc::new(Service {
        inputs: inputs.clone(),
        roster: Arc::clone(&roster),
        cache: Arc::clone(&identity.cache),
    });
    let http = serve::start(options.http, HTTP_THREADS, Arc::clone(&gate), handler)?;
    uplink::watch(identity.clone(), group.clone(), Grants(inputs.clone()))?;
    uplink::report(identity.clone(), group.clone(), roster, Arc::clone(&status))?;
    let core = Core::new(core::Options {
        name: options.name.clone(),
        incarnation: identity.node.incarnation,
        answers: options.answers,
    });
    let hands = Hands {
        leases: lease_pool(&options.name, &backend, &inputs)?,
        dispatches: dispatch_pool(options, &backend, &inputs)?,
        finishes: finish_pool(&group, &inputs)?,
        inputs: inputs.clone(),
    };
    let shared = Shared {
        status,
        idle: Arc::clone(&idle),
    };
    uplink::spawn("agent", move || run(core, &events, &calls, &hands, &shared))?;
    log::info!(addr:% = addr, http:% = http; "agent started");
    Ok(Daemon {
        addr,
        http,
        gate,
        inputs,
        idle,
    })
}

impl Daemon {
    /// Takes no new grants from now on.
    pub fn drain(&self) {
        self.gate.close();
        drop(self.inputs.send(Event::Drain));
    }

    /// Whether no gang, unreported end or uncollected answer is left.
    pub fn is_idle(&self) -> bool {
        *self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drains and waits until nothing is left, or the time is up; tells which.
    pub fn stop(&self, limit: Duration) -> bool {
        self.drain();
        let start = std::time::Instant::now();
        std::thread::sleep(TICK * 2);
        while !self.is_idle() {
            if start.elapsed() > limit {
                return false;
            }
            std::thread::sleep(TICK);
        }
        true
    }
}

/// Rings to the threads that act for the core.
struct Hands {
    leases: channel::Sender<core::Order>,
    dispatches: channel::Sender<client::Dispatch>,
    finishes: channel::Sender<frame::Finish>,
    inputs: channel::Sender<Event>,
}

/// What other threads read of the core.
struct Shared {
    status: Arc<Mutex<uplink::Status>>,
    idle: Arc<Mutex<bool>>,
}

fn run(
    mut core: Core,
    events: &channel::Receiver<Event>,
    calls: &channel::Receiver<call::Call>,
    hands: &Hands,
    shared: &Shared,
) {
    let mut replies: BTreeMap<u64, call::Reply> = BTreeMap::new();
    let mut next_tag = 0;
    let ticker = channel::tick(TICK);
    loop {
        let event = channel::select! {
            recv(events) -> event => match event {
                Ok(event) => event,
                Err(_closed) => return,
            },
            recv(calls) -> call => match call {
                Ok(call) => {
                    next_tag += 1;
                    match collect(call, next_tag, &mut replies) {
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
            perform(effect, hands, &mut replies);
        }
        publish(&core, shared);
    }
}

fn collect(call: call::Call, tag: u64, replies: &mut BTreeMap<u64, call::Reply>) -> Option<Event> {
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
            let detail = "an agent does not take this message";
            call.reply
                .fail(error::Error::new(error::Kind::Malformed, detail));
            None
        }
    }
}

fn perform(effect: Effect, hands: &Hands, replies: &mut BTreeMap<u64, call::Reply>) {
    match effect {
        Effect::Lease(order) => {
            if let Err(full) = hands.leases.try_send(order) {
                let core::Order { worker, ops, .. } = full.into_inner();
                let result = Err(error::Error::new(
                    error::Kind::Overloaded,
                    "lease ring full",
                ));
                // This thread empties the ring that it would otherwise wait for.
                drop(hands.inputs.try_send(Event::Leased {
                    worker,
                    ops,
                    result,
                }));
            }
        }
        Effect::Dispatch(dispatch) => {
            if let Err(full) = hands.dispatches.try_send(dispatch) {
                let dispatch = full.into_inner();
                let result = Err(error::Error::new(
                    error::Kind::Overloaded,
                    "dispatch ring full",
                ));
                let (job, attempt) = (dispatch.job, dispatch.attempt);
                drop(hands.inputs.try_send(Event::Answered {
                    job,
                    attempt,
                    result,
                }));
            }
        }
        // A finish that finds no room is sent again later.
        Effect::Finish(finish) => drop(hands.finishes.try_send(finish)),
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
    *shared.idle.lock().unwrap_or_else(PoisonError::into_inner) = core.is_idle();
}

fn lease_pool(
    name: &str,
    backend: &client::Client,
    inputs: &channel::Sender<Event>,
) -> error::Result<channel::Sender<core::Order>> {
    let (ring, work) = channel::bounded(RING);
    for _thread in 0..LEASE_THREADS {
        let work: channel::Receiver<core::Order> = work.clone();
        let (backend, inputs, holder) = (backend.clone(), inputs.clone(), name.to_owned());
        uplink::spawn("lease", move || {
            for core::Order { worker, addr, ops } in work {
                let message = Ops {
                    holder: holder.clone(),
                    ops,
                };
                let result = backend.lease(addr, &message);
                count_leases(&message, &result);
                if inputs
                    .send(Event::Leased {
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
    Ok(ring)
}

fn count_leases(message: &Ops, result: &backend::Result<backend::Outcomes>) {
    for (at, op) in message.ops.iter().enumerate() {
        let outcome = match result {
            Ok(outcomes) => match outcomes.outcomes.get(at).map(|done| done.refusal) {
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
    inputs: &channel::Sender<Event>,
) -> error::Result<channel::Sender<client::Dispatch>> {
    let (ring, work) = channel::bounded(options.connections);
    for _thread in 0..options.connections {
        let work: channel::Receiver<client::Dispatch> = work.clone();
        let (backend, inputs) = (backend.clone(), inputs.clone());
        let max_bytes = options.max_answer_bytes;
        uplink::spawn("dispatch", move || {
            for dispatch in work {
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
                if inputs
                    .send(Event::Answered {
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
    Ok(ring)
}

fn finish_pool(
    group: &group::Group,
    inputs: &channel::Sender<Event>,
) -> error::Result<channel::Sender<frame::Finish>> {
    let (ring, work) = channel::bounded(RING);
    for _thread in 0..FINISH_THREADS {
        let work: channel::Receiver<frame::Finish> = work.clone();
        let (group, inputs) = (group.clone(), inputs.clone());
        uplink::spawn("finish", move || {
            for finish in work {
                let (job, attempt) = (finish.job, finish.attempt);
                match group.call(&Frame::Finish(finish), Duration::ZERO, FINISH_LIMIT) {
                    Ok(_) => drop(inputs.send(Event::Acknowledged { job, attempt })),
                    Err(err) => log::debug!(job = job; "finish not acknowledged: {err}"),
                }
            }
        })?;
    }
    Ok(ring)
}

/// Hands grants to the core.
struct Grants(channel::Sender<Event>);

impl uplink::Handler for Grants {
    fn handle_grants(&self, index: Index, grants: Vec<frame::Grant>) {
        drop(self.0.send(Event::Grants { index, grants }));
    }
}

/// Takes announcements, and the operator's order to drain.
struct Service {
    inputs: channel::Sender<Event>,
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
            ("POST", "/v1/platform/targets") => {
                serve::read_json(request).map(|news| drop(self.inputs.send(Event::Target(news))))
            }
            ("POST", "/v1/platform/workers") => record_worker(request, &self.roster),
            ("POST", "/v1/drain") => {
                drop(self.inputs.send(Event::Drain));
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
        Err("no word from the control group".to_owned())
    }
}

/// Takes a worker's announcement.
///
/// # Errors
/// `Malformed`, or `Overloaded` when too many workers announce themselves here.
pub fn record_worker(
    request: &serve::Request,
    roster: &Mutex<roster::Roster>,
) -> error::Result<()> {
    let news: backend::WorkerAnnouncement = serve::read_json(request)?;
    let mut roster = roster.lock().unwrap_or_else(PoisonError::into_inner);
    if roster.record_announcement(clock::mono_ms(), news) {
        return Ok(());
    }
    Err(error::Error::new(
        error::Kind::Overloaded,
        "too many workers announce themselves here",
    ))
}
