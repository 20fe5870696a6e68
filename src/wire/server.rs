//! Server side of the protocol: turns incoming streams into calls on a bounded queue.

use bytes::Bytes;
use crossbeam::channel;
use h2::server;
use tokio::net;

use crate::error;
use crate::wire::{self, Frame, call, pool};

/// Flow control window of each stream and of the whole connection.
const WINDOW_BYTES: u32 = 4 << 20;

/// Maximum number of concurrent calls on one connection.
const MAX_STREAMS: u32 = 4_096;

/// Accepts connections forever and sends their calls to `calls`.
pub async fn accept(listener: net::TcpListener, calls: channel::Sender<call::Call>) {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                tokio::spawn(connection(stream, calls.clone()));
            }
            Err(err) => {
                log::warn!("accept failed: {err}");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn connection(stream: net::TcpStream, calls: channel::Sender<call::Call>) {
    drop(stream.set_nodelay(true));
    let handshake = server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake::<_, Bytes>(stream)
        .await;
    let mut connection = match handshake {
        Ok(connection) => connection,
        Err(err) => {
            log::debug!("handshake failed: {err}");
            return;
        }
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        tokio::spawn(handle_stream(request.into_body(), respond, calls.clone()));
    }
}

async fn handle_stream(
    body: h2::RecvStream,
    mut respond: server::SendResponse<Bytes>,
    calls: channel::Sender<call::Call>,
) {
    let Some(answer) = answer(body, &calls).await else {
        respond.send_reset(h2::Reason::CANCEL);
        return;
    };
    if let Err(err) = send(&mut respond, &answer) {
        log::debug!("cannot send an answer: {err}");
    }
}

async fn answer(body: h2::RecvStream, calls: &channel::Sender<call::Call>) -> Option<Frame> {
    let frame = match pool::read(body).await.and_then(|data| wire::decode(&data)) {
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

fn send(respond: &mut server::SendResponse<Bytes>, answer: &Frame) -> Result<(), String> {
    let data = wire::encode(answer).or_else(|err| wire::encode(&Frame::Fault(err)));
    let data = data.map_err(|err| err.to_string())?;
    let mut stream = respond
        .send_response(http::Response::new(()), false)
        .map_err(|err| err.to_string())?;
    stream.send_data(data, true).map_err(|err| err.to_string())
}
