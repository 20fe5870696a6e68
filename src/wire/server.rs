//! Server side of the protocol: turns incoming streams into calls on a bounded queue.

use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel;
use h2::server;
use tokio::{net, time};

use crate::error;
use crate::serve::buffer::Buffer;
use crate::serve::quota::{Limits, Refusal};
use crate::wire::inbound::{Answer, Inbound, Link, Share};
use crate::wire::paced::{Paced, Turn};
use crate::wire::{self, Frame, call};

/// Flow control window of each stream and of the whole connection, which is what a connection holds
/// beyond the charged calls. At a round trip of 100 ms it carries 10 MB/s.
const WINDOW_BYTES: u32 = 1 << 20;

/// Maximum number of concurrent calls on one connection.
const MAX_STREAMS: u32 = 4_096;

/// Maximum size of the headers of a call, which has none of its own.
const MAX_HEADER_BYTES: u32 = 16 << 10;

/// Time allowed for the handshake of a connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

type Connection = server::Connection<Paced, Answer>;

/// A call, of which the headers have been received.
type Accepted = Result<(http::Request<h2::RecvStream>, server::SendResponse<Answer>), h2::Error>;

/// Accepts connections forever and sends their calls to `calls`.
pub async fn accept(
    listener: net::TcpListener,
    calls: channel::Sender<call::Call>,
    limits: Limits,
) {
    let inbound = Inbound::new(limits);
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                if let Some(link) = inbound.open_connection() {
                    let link = Arc::new(link);
                    tokio::spawn(connection(stream, calls.clone(), inbound.clone(), link));
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

/// Serves a connection until it ends or is evicted.
async fn connection(
    stream: net::TcpStream,
    calls: channel::Sender<call::Call>,
    inbound: Inbound,
    link: Arc<Link>,
) {
    drop(stream.set_nodelay(true));
    unless_evicted(link.evicted(), serve(stream, calls, inbound, &link)).await;
}

async fn serve(
    stream: net::TcpStream,
    calls: channel::Sender<call::Call>,
    inbound: Inbound,
    link: &Arc<Link>,
) {
    let (stream, turn) = Paced::new(stream);
    let handshake = server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES)
        .handshake::<_, Answer>(stream);
    let mut connection = match time::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(err)) => {
            log::debug!("handshake failed: {err}");
            return;
        }
        Err(_elapsed) => {
            log::debug!("handshake timed out");
            return;
        }
    };
    link.greeted();
    while let Some(Ok((request, mut respond))) = next(&mut connection, &turn, &inbound).await {
        // Charged before anything is allocated for the call.
        let share = match inbound.open_call() {
            Ok(share) => share,
            Err(refusal) => {
                reply(&mut respond, &Frame::Fault(no_room(refusal)), link);
                continue;
            }
        };
        let (calls, link) = (calls.clone(), Arc::clone(link));
        tokio::spawn(async move {
            handle_stream(request.into_body(), respond, &calls, &share, &link).await;
        });
    }
}

/// Waits for the next call. Between two turns of reading, the other tasks of the thread run, and so
/// they do until those that were evicted have ended.
async fn next(connection: &mut Connection, turn: &Turn, inbound: &Inbound) -> Option<Accepted> {
    poll_fn(|cx| {
        if !inbound.is_settled() {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let next = pin!(connection.accept()).poll(cx);
        if next.is_pending() && turn.renew() {
            cx.waker().wake_by_ref();
        }
        next
    })
    .await
}

/// Runs a future until it ends, or until an eviction; the result is `None` then.
async fn unless_evicted<T>(
    evicted: impl Future<Output = ()>,
    future: impl Future<Output = T>,
) -> Option<T> {
    let mut evicted = pin!(evicted);
    let mut future = pin!(future);
    poll_fn(|cx| {
        if evicted.as_mut().poll(cx).is_ready() {
            return Poll::Ready(None);
        }
        future.as_mut().poll(cx).map(Some)
    })
    .await
}

async fn handle_stream(
    body: h2::RecvStream,
    mut respond: server::SendResponse<Answer>,
    calls: &channel::Sender<call::Call>,
    share: &Share,
    link: &Arc<Link>,
) {
    // Ends early if the peer gives the call up or its connection is closed, since what the call holds
    // in `h2` is released only then.
    let answered = {
        let mut answered = pin!(answer(body, calls, share, link));
        poll_fn(|cx| {
            if let Poll::Ready(answer) = answered.as_mut().poll(cx) {
                return Poll::Ready(Some(answer));
            }
            respond.poll_reset(cx).map(|_reset| None)
        })
        .await
    };
    match answered {
        Some(Some(answer)) => reply(&mut respond, &answer, link),
        Some(None) => respond.send_reset(h2::Reason::CANCEL),
        None => {}
    }
}

async fn answer(
    body: h2::RecvStream,
    calls: &channel::Sender<call::Call>,
    share: &Share,
    link: &Arc<Link>,
) -> Option<Frame> {
    let received = unless_evicted(share.evicted(), receive(body, share, link)).await;
    let received = received.unwrap_or_else(|| Err(no_room(Refusal::Evicted)));
    let _in_progress = link.begin_call();
    let frame = match received.and_then(|data| wire::decode(&data)) {
        Ok(frame) => frame,
        Err(err) => return Some(Frame::Fault(err)),
    };
    let (reply, answer) = call::Reply::new();
    match calls.try_send(call::Call { frame, reply }) {
        Ok(()) => answer.await.ok(),
        Err(_full) => Some(Frame::Fault(error::Error::new(
            error::Kind::Overloaded,
            "the queue of inbound calls is full",
        ))),
    }
}

/// Reads a whole call of at most `MAX_FRAME_BYTES`.
async fn receive(mut body: h2::RecvStream, share: &Share, link: &Link) -> wire::Result<Bytes> {
    let read_error = |err: h2::Error| error::Error::new(error::Kind::Unreachable, err.to_string());
    let mut buffer = Buffer::new(wire::MAX_FRAME_BYTES);
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(read_error)?;
        share.received(chunk.len());
        link.received();
        let Some(capacity) = buffer.capacity_with(chunk.len()) else {
            return Err(error::Error::new(
                error::Kind::BodyTooLarge,
                "frame exceeds the size limit",
            ));
        };
        share.charge(capacity).map_err(no_room)?;
        buffer.push(&chunk, capacity);
        body.flow_control()
            .release_capacity(chunk.len())
            .map_err(read_error)?;
    }
    // Decoding copies what the call contains.
    let data = buffer.into_bytes();
    share
        .complete(data.len().saturating_mul(2))
        .map_err(no_room)?;
    Ok(data)
}

/// Returns the error for a call that was not handed to the process.
fn no_room(_refusal: Refusal) -> error::Error {
    error::Error::new(
        error::Kind::Overloaded,
        "the process has no room for the call",
    )
}

fn reply(respond: &mut server::SendResponse<Answer>, answer: &Frame, link: &Arc<Link>) {
    if let Err(err) = send(respond, answer, link) {
        log::debug!("cannot send an answer: {err}");
    }
}

fn send(
    respond: &mut server::SendResponse<Answer>,
    answer: &Frame,
    link: &Arc<Link>,
) -> Result<(), String> {
    let data = wire::encode(answer).or_else(|err| wire::encode(&Frame::Fault(err)));
    let data = data.map_err(|err| err.to_string())?;
    let mut stream = respond
        .send_response(http::Response::new(()), false)
        .map_err(|err| err.to_string())?;
    let data = link.queue(data);
    stream.send_data(data, true).map_err(|err| err.to_string())
}
