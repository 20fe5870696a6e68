//! HTTP service: bounded bodies, a pool of handler threads, problem documents, health, metrics.
//!
//! `hyper` reads and writes on one thread; whole requests go over a bounded ring to the handlers,
//! which may block. A connection that is idle or slow costs no thread.

mod body;
mod crew;
mod listen;

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

/// Result of reading a request.
pub type Result<T> = error::Result<T>;

/// A whole request.
pub type Request = http::Request<Bytes>;

/// An answer.
pub type Response = http::Response<Body>;

/// Time in which the last bytes of answers leave after a drain.
const FLUSH: Duration = Duration::from_millis(50);

/// Answers the requests of one daemon.
pub trait Handler: Send + Sync + 'static {
    /// Largest body of a request, in bytes.
    fn max_body_bytes(&self) -> usize;

    /// Answers a request to a path that is not health or metrics.
    fn handle(&self, request: &Request) -> Response;

    /// Whether the daemon can do its work; the sentence tells what is missing.
    fn readiness(&self) -> std::result::Result<(), String> {
        Ok(())
    }
}

/// What a daemon's HTTP side shares with its main thread.
#[derive(Debug, Default)]
pub struct Gate {
    closing: AtomicBool,
    in_flight: AtomicUsize,
}

impl Gate {
    /// Whether the daemon is shutting down.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    /// Makes `/readyz` fail, so that the balancer sends nothing new.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Requests being answered.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> Entered {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Entered(Arc::clone(self))
    }

    /// Waits until no request is being answered, or the time is up; tells which.
    pub fn drain(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while self.in_flight() > 0 {
            if start.elapsed() > limit {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep(FLUSH);
        true
    }
}

/// A request being answered; leaves the count when dropped.
#[derive(Debug)]
pub struct Entered(Arc<Gate>);

impl Drop for Entered {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A request on its way to a handler thread.
struct Job {
    request: Request,
    answer: oneshot::Sender<Response>,
}

/// Starts serving with at most so many handler threads; returns the address in use.
///
/// # Errors
/// `Unreachable` when the address cannot be listened on.
pub fn start<H: Handler>(
    addr: SocketAddr,
    threads: usize,
    gate: Arc<Gate>,
    handler: Arc<H>,
) -> Result<SocketAddr> {
    let crew = crew::Crew::start(threads, gate, handler)?;
    let (ready, started) = channel::bounded(1);
    thread::Builder::new()
        .name("http".to_owned())
        .spawn(move || listen::run(addr, crew, &ready))
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

/// A plain text answer.
pub fn text(status: u16, body: &str) -> Response {
    response(
        status,
        "text/plain; charset=utf-8",
        Body::whole(body.to_owned()),
    )
}

/// A JSON answer.
pub fn json(status: u16, body: &impl Serialize) -> Response {
    let body = serde_json::to_vec(body).unwrap_or_default();
    response(status, "application/json", Body::whole(body))
}

/// An answer with a body of a type.
pub fn response(status: u16, content_type: &str, body: Body) -> Response {
    let mut response = http::Response::new(body);
    if let Ok(status) = http::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
    insert_header(&mut response, "content-type", content_type);
    response
}

/// Sets a header; a value that is not plain text is left out.
pub fn insert_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = http::HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

/// The answer that the table gives for an error.
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

/// Reads a JSON body.
///
/// # Errors
/// `Malformed`, with line and column.
pub fn read_json<T: DeserializeOwned>(request: &Request) -> Result<T> {
    serde_json::from_slice(request.body())
        .map_err(|err| error::Error::new(error::Kind::Malformed, format!("body: {err}")))
}

/// A header as text.
///
/// # Errors
/// `InvalidHeader` when it is not plain text.
pub fn header<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_not_text| {
        error::Error::new(
            error::Kind::InvalidHeader,
            format!("{name} is not plain text"),
        )
    })
}
