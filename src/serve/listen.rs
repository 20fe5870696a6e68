//! The HTTP thread, which accepts connections, reads complete requests and writes answers.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::oneshot;
use tokio::{net, time};

use crate::error;
use crate::reactor;
use crate::serve::body::{Never, Sent};
use crate::serve::budget::{self, Budget, Ticket};
use crate::serve::buffer::Buffer;
use crate::serve::meter::Meter;
use crate::serve::pool::Pool;
use crate::serve::quota::Refusal;
use crate::serve::{Exchange, Handler, Request, Response, Result, problem};

/// Smallest size of `hyper`'s read buffer.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Sizes of a connection's buffers in the kernel, in bytes.
const MIN_SOCKET_BYTES: u32 = 32 << 10;
const MAX_SOCKET_BYTES: u32 = 256 << 10;

/// Share of the largest body that these buffers hold: one in this many bytes.
const BODY_SOCKET_SHARE: usize = 4;

/// Time limit for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves requests until the process ends.
pub(super) fn run<H: Handler>(
    addr: SocketAddr,
    pool: Arc<Pool<H>>,
    budget: Budget,
    ready: &channel::Sender<Result<Option<SocketAddr>>>,
) {
    let endpoint = reactor::Endpoint {
        addr,
        buffer_bytes: socket_bytes(pool.max_body_bytes()),
    };
    reactor::run(Some(endpoint), ready, async |listener| {
        if let Some(listener) = listener {
            tokio::spawn(expire(budget.clone()));
            accept(listener, pool, budget).await;
        }
    });
}

/// Returns the size of a connection's buffers in the kernel: a part of the largest body, which the client
/// sends in a few round trips then.
fn socket_bytes(max_body_bytes: usize) -> u32 {
    let bytes = max_body_bytes / BODY_SOCKET_SHARE;
    (bytes as u32).clamp(MIN_SOCKET_BYTES, MAX_SOCKET_BYTES)
}

/// Closes the connections whose time is up.
async fn expire(budget: Budget) {
    loop {
        time::sleep(budget::CHECK_INTERVAL).await;
        budget.expire();
    }
}

/// Accepts all connections, so that connections held open by others do not leave callers in the
/// backlog; the budget closes one for each connection above its limit.
async fn accept<H: Handler>(listener: net::TcpListener, pool: Arc<Pool<H>>, budget: Budget) {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                drop(stream.set_nodelay(true));
                if let Some(ticket) = budget.open() {
                    tokio::spawn(connection(stream, Arc::clone(&pool), Arc::new(ticket)));
                }
                // Evicted connections return their descriptors before the next one is accepted.
                tokio::task::yield_now().await;
            }
            Err(err) => {
                log::warn!("accept failed: {err}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn connection<H: Handler>(stream: net::TcpStream, pool: Arc<Pool<H>>, ticket: Arc<Ticket>) {
    let mut changes = ticket.budget().changes();
    let head_bytes = changes.borrow_and_update().head_bytes;
    let socket = TokioIo::new(Meter::new(stream, Arc::clone(&ticket)));
    let own = Arc::clone(&ticket);
    let service = service_fn(move |request| {
        let (pool, ticket) = (Arc::clone(&pool), Arc::clone(&own));
        async move { Ok::<_, Never>(answer(&pool, ticket, request).await) }
    });
    // The budget has the time-outs: `hyper` has the same one for heads and idle connections.
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_header_size(head_bytes)
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(socket, service);
    let mut served = pin!(served);
    loop {
        let mut evicted = pin!(ticket.evicted());
        let mut changed = pin!(changes.changed());
        let event = poll_fn(|cx| {
            if evicted.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Event::Evicted);
            }
            if let Poll::Ready(result) = served.as_mut().poll(cx) {
                return Poll::Ready(Event::Served(result));
            }
            changed.as_mut().poll(cx).map(|_changed| Event::Changed)
        });
        match event.await {
            Event::Served(Ok(())) | Event::Evicted => return,
            Event::Served(Err(err)) => {
                log::debug!("connection closed: {err}");
                return;
            }
            // The limit of a connection's heads is fixed, so the client opens another one.
            Event::Changed if ticket.budget().bounds().head_bytes != head_bytes => {
                served.as_mut().graceful_shutdown();
            }
            Event::Changed => {}
        }
    }
}

/// What ends or changes a connection.
enum Event {
    Served(hyper::Result<()>),
    Evicted,
    Changed,
}

async fn answer<H: Handler>(
    pool: &Arc<Pool<H>>,
    ticket: Arc<Ticket>,
    request: http::Request<Incoming>,
) -> Response {
    ticket.written().await;
    let guard = pool.gate().enter();
    let recent = ticket.end_head();
    let result = match read(request, pool, &ticket).await {
        Ok(request) => dispatch(pool, request, &ticket, recent).await,
        Err(err) => Err(err),
    };
    let mut response = result.unwrap_or_else(|err| {
        ticket.refused();
        problem(&err)
    });
    response.body_mut().guard = Some(guard);
    response.body_mut().sent = Some(Sent(ticket));
    response
}

async fn read<H: Handler>(
    request: http::Request<Incoming>,
    pool: &Pool<H>,
    ticket: &Ticket,
) -> Result<Request> {
    let (parts, body) = request.into_parts();
    let received = read_body(body, pool.max_body_bytes(), ticket);
    let body = match time::timeout(BODY_TIMEOUT, received).await {
        Ok(body) => body?,
        Err(_elapsed) => return Err(malformed("the request body was not received in time")),
    };
    // From here on the connection is not evicted, so the request can be handed to a handler.
    let bytes = body.len().saturating_mul(pool.handling_factor());
    ticket.complete(bytes).map_err(no_room)?;
    Ok(http::Request::from_parts(parts, body))
}

async fn read_body(mut body: Incoming, max_bytes: usize, ticket: &Ticket) -> Result<Bytes> {
    let mut buffer = Buffer::new(max_bytes);
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|err| malformed(&format!("cannot read the request body: {err}")))?;
        let Some(chunk) = frame.data_ref() else {
            continue;
        };
        let Some(capacity) = buffer.capacity_with(chunk.len()) else {
            let detail = format!("the request body exceeds the limit of {max_bytes} bytes");
            return Err(error::Error::new(error::Kind::BodyTooLarge, detail));
        };
        if let Err(refusal) = ticket.charge_body(capacity) {
            drop(buffer);
            ticket.release_body();
            discard(body, max_bytes).await;
            return Err(no_room(refusal));
        }
        buffer.push(chunk, capacity);
    }
    Ok(buffer.into_bytes())
}

/// Reads the rest of a body that is refused, since a client that still sends would not see the answer.
async fn discard(mut body: Incoming, max_bytes: usize) {
    let mut discarded = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded += frame.data_ref().map_or(0, Bytes::len);
        if discarded > max_bytes {
            return;
        }
    }
}

fn malformed(detail: &str) -> error::Error {
    error::Error::new(error::Kind::Malformed, detail)
}

/// Returns the error for a request that was not handed to a handler.
fn no_room(_refusal: Refusal) -> error::Error {
    error::Error::new(
        error::Kind::Overloaded,
        "the process has no room for the request",
    )
}

async fn dispatch<H: Handler>(
    pool: &Arc<Pool<H>>,
    request: Request,
    ticket: &Arc<Ticket>,
    recent: u32,
) -> Result<Response> {
    let (answer, answered) = oneshot::channel();
    pool.dispatch(Exchange {
        request,
        answer,
        ticket: Arc::clone(ticket),
        recent,
    });
    answered.await.map_err(|_dropped| {
        error::Error::new(
            error::Kind::Internal,
            "the request handler failed without an answer",
        )
    })
}
