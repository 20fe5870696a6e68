//! The HTTP thread: accepts connections, reads whole requests, writes answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::{Semaphore, oneshot};
use tokio::{net, time};

use crate::error;
use crate::reactor;
use crate::serve::body::Never;
use crate::serve::crew::Crew;
use crate::serve::{Handler, Job, Request, Response, Result, problem};

/// Most connections at a time; more wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 4_096;

/// Time in which the headers of a request must have come.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// Time in which the body of a request must have come.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause after a failed accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves until the process ends.
pub(super) fn run<H: Handler>(
    addr: SocketAddr,
    crew: Arc<Crew<H>>,
    ready: &channel::Sender<Result<Option<SocketAddr>>>,
) {
    reactor::run(Some(addr), ready, async |listener| {
        if let Some(listener) = listener {
            accept(listener, crew).await;
        }
    });
}

async fn accept<H: Handler>(listener: net::TcpListener, crew: Arc<Crew<H>>) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _peer)) => {
                drop(stream.set_nodelay(true));
                let crew = Arc::clone(&crew);
                tokio::spawn(async move {
                    connection(stream, crew).await;
                    drop(place);
                });
            }
            Err(err) => {
                log::warn!("accepting failed: {err}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<H: Handler>(stream: net::TcpStream, crew: Arc<Crew<H>>) {
    let service = service_fn(move |request| {
        let crew = Arc::clone(&crew);
        async move { Ok::<_, Never>(answer(&crew, request).await) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(err) = served {
        log::debug!("connection ended: {err}");
    }
}

async fn answer<H: Handler>(crew: &Arc<Crew<H>>, request: http::Request<Incoming>) -> Response {
    let entered = crew.gate().enter();
    let result = match read(request, crew.max_body_bytes()).await {
        Ok(request) => hand_over(crew, request).await,
        Err(err) => Err(err),
    };
    let mut response = result.unwrap_or_else(|err| problem(&err));
    response.body_mut().entered = Some(entered);
    response
}

async fn read(request: http::Request<Incoming>, max_bytes: usize) -> Result<Request> {
    let (parts, body) = request.into_parts();
    let limited = Limited::new(body, max_bytes).collect();
    let read = time::timeout(BODY_TIMEOUT, limited).await;
    let malformed = |detail: &str| error::Error::new(error::Kind::Malformed, detail);
    let collected = match read {
        Ok(Ok(collected)) => collected,
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
            let detail = format!("the body is over {max_bytes} bytes");
            return Err(error::Error::new(error::Kind::BodyTooLarge, detail));
        }
        Ok(Err(err)) => return Err(malformed(&format!("body: {err}"))),
        Err(_elapsed) => return Err(malformed("the body did not come in time")),
    };
    Ok(http::Request::from_parts(parts, collected.to_bytes()))
}

async fn hand_over<H: Handler>(crew: &Arc<Crew<H>>, request: Request) -> Result<Response> {
    let (answer, answered) = oneshot::channel();
    crew.hand_over(Job { request, answer })?;
    answered
        .await
        .map_err(|_dropped| error::Error::new(error::Kind::Internal, "the handler has failed"))
}
