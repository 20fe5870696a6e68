//! HTTP server with bounded request bodies, a pool of handler threads, problem documents, and
//! endpoints for health and metrics.
//!
//! `hyper` reads and writes on one thread. Complete requests go through a bounded queue to the
//! handler threads, which may block. An idle or slow connection holds no handler thread.

mod body;
pub mod budget;
pub mod buffer;
mod listen;
mod meter;
mod pool;
pub mod queue;
pub mod quota;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use crossbeam::channel;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

use crate::error;
use crate::telemetry;

pub use body::Body;
pub use budget::Budget;

/// Result of reading a request.
pub type Result<T> = error::Result<T>;

/// A request with its complete body.
pub type Request = http::Request<Bytes>;

/// An answer to a request.
pub type Response = http::Response<Body>;

/// Time that the last bytes of answers have to leave the process after a drain.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Memory for a body, what is decoded from it, and the message in which it is sent on, in bodies.
const HANDLING_FACTOR: usize = 4;

/// Answers the requests of one daemon.
pub trait Handler: Send + Sync + 'static {
    /// Returns the maximum size of a request body, in bytes.
    fn max_body_bytes(&self) -> usize;

    /// Returns how many times its size the handling of a body may occupy, including the body itself.
    fn handling_factor(&self) -> usize {
        HANDLING_FACTOR
    }

    /// Answers a request to any path other than those of health and metrics.
    fn handle(&self, request: &Request) -> Response;

    /// Checks whether the daemon can do its work.
    ///
    /// # Errors
    /// Returns a sentence that says what is missing.
    fn readiness(&self) -> std::result::Result<(), String> {
        Ok(())
    }
}

/// Counts the requests in progress and holds the shutdown flag of an HTTP server.
#[derive(Debug, Default)]
pub struct Gate {
    closing: AtomicBool,
    in_flight: AtomicUsize,
}

impl Gate {
    /// Reports whether the daemon is shutting down.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    /// Makes `/readyz` fail, so that the load balancer sends no new requests.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn enter(self: &Arc<Self>) -> Guard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Guard(Arc::clone(self))
    }

    /// Waits up to `timeout` until no request is in progress; returns whether that is the case.
    pub fn drain(&self, timeout: Duration) -> bool {
        let start = Instant::now();
        while self.in_flight() > 0 {
            if start.elapsed() > timeout {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep(FLUSH_DELAY);
        true
    }
}

/// A request in progress, which is no longer counted once this guard is dropped.
#[derive(Debug)]
pub struct Guard(Arc<Gate>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A request for a handler thread, with the channel for its answer.
#[derive(Debug)]
struct Exchange {
    request: Request,
    answer: oneshot::Sender<Response>,
    /// Keeps the request's charge until it has been handled, even if the client has disconnected.
    ticket: Arc<budget::Ticket>,
    /// Number of requests of the connection within the last second.
    recent: u32,
}

impl Exchange {
    /// Answers that the request is not handled. A connection with many requests is closed.
    fn refuse(self) {
        let mut response = problem(&error::Error::new(
            error::Kind::Overloaded,
            "the queue of requests for handler threads is full",
        ));
        if self.recent > queue::USUAL_REQUESTS {
            insert_header(&mut response, "connection", "close");
        }
        self.ticket.refused();
        drop(self.answer.send(response));
    }
}

/// Starts a server with a budget of its own, which has the default limits. See `start_within`.
///
/// # Errors
/// As `start_within`.
pub fn start<H: Handler>(
    addr: SocketAddr,
    threads: usize,
    gate: Arc<Gate>,
    handler: Arc<H>,
) -> Result<SocketAddr> {
    start_within(&Budget::default(), addr, threads, gate, handler)
}

/// Starts a server with at most `threads` handler threads and returns the address that it listens
/// on. The servers of a process share its budget.
///
/// # Errors
/// Returns `Unreachable` if the process cannot listen on the address, or `Internal` if a thread
/// cannot be started.
pub fn start_within<H: Handler>(
    budget: &Budget,
    addr: SocketAddr,
    threads: usize,
    gate: Arc<Gate>,
    handler: Arc<H>,
) -> Result<SocketAddr> {
    let budget = budget.clone();
    let pool = pool::Pool::start(threads, gate, handler)?;
    let (ready, started) = channel::bounded(1);
    thread::Builder::new()
        .name("http".to_owned())
        .spawn(move || listen::run(addr, pool, budget, &ready))
        .map_err(|err| error::Error::new(error::Kind::Internal, err.to_string()))?;
    let stopped = || error::Error::new(error::Kind::Internal, "the HTTP thread has stopped");
    let local = started.recv().map_err(|_closed| stopped())??;
    local.ok_or_else(stopped)
}

fn route<H: Handler>(gate: &Gate, handler: &H, request: &Request) -> Response {
    match request.uri().path() {
        "/healthz" => text(200, "ok\n"),
        "/readyz" if gate.is_closing() => text(503, "shutting down\n"),
        "/readyz" => match handler.readiness() {
            Ok(()) => text(200, "ready\n"),
            Err(missing) => text(503, &format!("{missing}\n")),
        },
        "/metrics" => text(200, &telemetry::render()),
        _ => handler.handle(request),
    }
}

/// Returns an answer in plain text.
pub fn text(status: u16, body: &str) -> Response {
    response(
        status,
        "text/plain; charset=utf-8",
        Body::whole(body.to_owned()),
    )
}

/// Returns an answer in JSON.
pub fn json(status: u16, body: &impl Serialize) -> Response {
    let body = serde_json::to_vec(body).unwrap_or_default();
    response(status, "application/json", Body::whole(body))
}

/// Returns an answer with the given status, content type and body.
pub fn response(status: u16, content_type: &str, body: Body) -> Response {
    let mut response = http::Response::new(body);
    if let Ok(status) = http::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
    insert_header(&mut response, "content-type", content_type);
    response
}

/// Sets a header. A value that is not valid in a header is ignored.
pub fn insert_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = http::HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

/// Returns the answer for an error, as the table of error kinds defines it.
pub fn problem(err: &error::Error) -> Response {
    let row = err.kind.row();
    let body = serde_json::json!({
        "type": format!("urn:oriolereel:problem:{}", row.name),
        "title": row.name.replace('-', " "),
        "status": row.status,
        "kind": row.name,
        "ran": err.ran,
        "detail": err.detail,
    });
    let mut response = json(row.status, &body);
    insert_header(&mut response, "content-type", "application/problem+json");
    if row.retry_after_s > 0 {
        insert_header(&mut response, "retry-after", &row.retry_after_s.to_string());
    }
    if row.status == 401 {
        insert_header(&mut response, "www-authenticate", "Bearer");
    }
    response
}

/// Parses the JSON body of a request.
///
/// # Errors
/// Returns `Malformed`, with the line and column of the fault.
pub fn read_json<T: DeserializeOwned>(request: &Request) -> Result<T> {
    serde_json::from_slice(request.body()).map_err(|err| {
        error::Error::new(error::Kind::Malformed, format!("invalid JSON body: {err}"))
    })
}

/// Returns the value of a header as text, if the header is present.
///
/// # Errors
/// Returns `InvalidHeader` if the value is not visible ASCII.
pub fn header<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_not_text| {
        error::Error::new(
            error::Kind::InvalidHeader,
            format!("invalid header {name}: the value is not visible ASCII"),
        )
    })
}
