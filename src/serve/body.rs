//! Bodies of answers, either in memory or streamed from a reader.

use std::convert::Infallible;
use std::io::Read;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::thread;

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::sync::mpsc;

use crate::serve::Guard;
use crate::serve::budget::Ticket;

/// Maximum number of chunks that wait for a slow client.
const QUEUE_CAPACITY: usize = 2;

/// Size of a chunk.
const CHUNK_BYTES: usize = 64 << 10;

/// A chunk of a body, or the error of the reader.
type Chunk = std::result::Result<Bytes, std::io::Error>;

/// The body of an answer.
#[derive(Debug)]
pub struct Body {
    content: Content,
    /// Counts the request as in progress until the body has been sent.
    pub(super) guard: Option<Guard>,
    /// Tells the connection when the body has been handed to it.
    pub(super) sent: Option<Sent>,
}

/// Tells a connection, when it is dropped, that it has the whole answer.
#[derive(Debug)]
pub(super) struct Sent(pub(super) Arc<Ticket>);

impl Drop for Sent {
    fn drop(&mut self) {
        self.0.answered();
    }
}

#[derive(Debug)]
enum Content {
    Whole(Option<Bytes>),
    Stream {
        chunks: mpsc::Receiver<Chunk>,
        remaining: u64,
    },
}

impl Body {
    /// Returns a body that is in memory.
    pub fn whole(data: impl Into<Bytes>) -> Self {
        Self {
            content: Content::Whole(Some(data.into())),
            guard: None,
            sent: None,
        }
    }

    /// Returns the number of bytes that the body holds in memory.
    pub(super) fn held_bytes(&self) -> usize {
        match &self.content {
            Content::Whole(data) => data.as_ref().map_or(0, Bytes::len),
            Content::Stream { .. } => QUEUE_CAPACITY * CHUNK_BYTES,
        }
    }

    /// Returns a body of a known length that a separate thread reads at the pace of the client.
    ///
    /// An error of the reader cuts the answer short, which the client detects by its length.
    pub fn stream(rdr: impl Read + Send + 'static, length: u64) -> Self {
        let (sender, chunks) = mpsc::channel(QUEUE_CAPACITY);
        let spawned = thread::Builder::new()
            .name("body".to_owned())
            .spawn(move || send_chunks(rdr, &sender));
        if let Err(err) = spawned {
            log::error!("cannot start a thread for the body of an answer: {err}");
        }
        Self {
            content: Content::Stream {
                chunks,
                remaining: length,
            },
            guard: None,
            sent: None,
        }
    }
}

/// Sends chunks until the reader ends or fails, or the client has disconnected.
fn send_chunks(mut rdr: impl Read, sender: &mpsc::Sender<Chunk>) {
    loop {
        let mut chunk = vec![0; CHUNK_BYTES];
        let read = rdr.read(&mut chunk);
        if matches!(read, Ok(0)) {
            return;
        }
        let failed = read.is_err();
        let sent = sender.blocking_send(read.map(|len| {
            chunk.truncate(len);
            Bytes::from(chunk)
        }));
        if failed || sent.is_err() {
            return;
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, std::io::Error>>> {
        match &mut self.content {
            Content::Whole(data) => Poll::Ready(data.take().map(|data| Ok(Frame::data(data)))),
            Content::Stream { chunks, remaining } => {
                chunks.poll_recv(cx).map(|chunk| match chunk {
                    Some(Ok(chunk)) => {
                        *remaining = remaining.saturating_sub(chunk.len() as u64);
                        Some(Ok(Frame::data(chunk)))
                    }
                    Some(Err(err)) => Some(Err(err)),
                    None => None,
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(data) => data.as_ref().is_none_or(Bytes::is_empty),
            Content::Stream { remaining, .. } => *remaining == 0,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(data) => {
                SizeHint::with_exact(data.as_ref().map_or(0, |data| data.len() as u64))
            }
            Content::Stream { remaining, .. } => SizeHint::with_exact(*remaining),
        }
    }
}

/// Error type of the HTTP service, which answers every request and so never fails.
pub(super) type Never = Infallible;
