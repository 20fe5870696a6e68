//! A link's socket, of which a limited number of bytes is read in each turn.
//!
//! `h2` reads all that has arrived before it hands out the first call, and thousands of calls fit into
//! the socket's buffer. With turns, the calls of one are charged or refused before the next is read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that are read in a turn: some two hundred calls of the smallest size.
const TURN_BYTES: usize = 4 << 10;

/// What may still be read in this turn, in bytes.
#[derive(Clone, Debug)]
pub(super) struct Turn(Arc<AtomicUsize>);

impl Turn {
    /// Begins the next turn if this one has been used up; returns whether that is the case.
    pub(super) fn renew(&self) -> bool {
        let is_over = self.0.load(Ordering::Relaxed) == 0;
        if is_over {
            self.0.store(TURN_BYTES, Ordering::Relaxed);
        }
        is_over
    }
}

/// A socket whose turns are renewed by its owner. A read after the end of a turn does not register for
/// a wake-up.
#[derive(Debug)]
pub(super) struct Paced {
    stream: TcpStream,
    turn: Turn,
}

impl Paced {
    /// Wraps a socket, and returns its first turn with it.
    pub(super) fn new(stream: TcpStream) -> (Self, Turn) {
        let turn = Turn(Arc::new(AtomicUsize::new(TURN_BYTES)));
        let paced = Self {
            stream,
            turn: turn.clone(),
        };
        (paced, turn)
    }
}

impl AsyncRead for Paced {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.turn.0.load(Ordering::Relaxed);
        if left == 0 {
            return Poll::Pending;
        }
        let wanted = buf.remaining().min(left);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(wanted));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        buf.advance(count);
        self.turn.0.store(left - count, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Paced {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
