//! Bodies of answers: whole, or handed on as they are read.

use std::convert::Infallible;
use std::io::Read;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::thread;

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::sync::mpsc;

use crate::serve::Entered;

/// Parts that may wait for a slow reader.
const RING: usize = 2;

/// Bytes of a part.
const PART_BYTES: usize = 64 << 10;

/// A part of a body, or why there is none.
type Part = std::result::Result<Bytes, std::io::Error>;

/// Body of an answer.
#[derive(Debug)]
pub struct Body {
    content: Content,
    /// Counts the request as in progress until the body has been taken.
    pub(super) entered: Option<Entered>,
}

#[derive(Debug)]
enum Content {
    Whole(Option<Bytes>),
    Parts {
        ring: mpsc::Receiver<Part>,
        left: u64,
    },
}

impl Body {
    /// A body that is in memory.
    pub fn whole(data: impl Into<Bytes>) -> Self {
        Self {
            content: Content::Whole(Some(data.into())),
            entered: None,
        }
    }

    /// A body of a known length that is read on a thread of its own, at the pace of the caller.
    ///
    /// An error of the reader breaks the answer off, which the caller sees by its length.
    pub fn stream(rdr: impl Read + Send + 'static, length: u64) -> Self {
        let (parts, ring) = mpsc::channel(RING);
        let spawned = thread::Builder::new()
            .name("body".to_owned())
            .spawn(move || pump(rdr, &parts));
        if let Err(err) = spawned {
            log::error!("no thread for a body: {err}");
        }
        Self {
            content: Content::Parts { ring, left: length },
            entered: None,
        }
    }
}

/// Reads to the end, an error, or until the caller has gone away.
fn pump(mut rdr: impl Read, parts: &mpsc::Sender<Part>) {
    loop {
        let mut part = vec![0; PART_BYTES];
        let read = rdr.read(&mut part);
        if matches!(read, Ok(0)) {
            return;
        }
        let failed = read.is_err();
        let sent = parts.blocking_send(read.map(|len| {
            part.truncate(len);
            Bytes::from(part)
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
            Content::Parts { ring, left } => ring.poll_recv(cx).map(|part| match part {
                Some(Ok(part)) => {
                    *left = left.saturating_sub(part.len() as u64);
                    Some(Ok(Frame::data(part)))
                }
                Some(Err(err)) => Some(Err(err)),
                None => None,
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(data) => data.as_ref().is_none_or(Bytes::is_empty),
            Content::Parts { left, .. } => *left == 0,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(data) => {
                SizeHint::with_exact(data.as_ref().map_or(0, |data| data.len() as u64))
            }
            Content::Parts { left, .. } => SizeHint::with_exact(*left),
        }
    }
}

/// The error type of a service that always answers.
pub(super) type Never = Infallible;
