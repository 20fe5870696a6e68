//! A connection's socket, which charges what is read from it and records what is written to it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::serve::budget::Ticket;

/// Maximum size of one read. `hyper` doubles its buffer of 8 KiB for a connection as soon as a read
/// fills it, up to the limit of heads, so a read is kept just below that.
const MAX_READ_BYTES: usize = 8_191;

/// A socket with its share of the budget.
#[derive(Debug)]
pub(super) struct Meter {
    stream: TcpStream,
    ticket: Arc<Ticket>,
}

impl Meter {
    /// Wraps a socket.
    pub(super) fn new(stream: TcpStream, ticket: Arc<Ticket>) -> Self {
        Self { stream, ticket }
    }

    /// Records the result of a write of `offered` bytes.
    fn wrote(&self, offered: usize, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        // What is written at once needs no record, as it is flushed at once.
        if let Poll::Ready(Ok(count)) = &result
            && *count < offered
        {
            self.ticket.wrote(*count);
        }
        result
    }
}

impl AsyncRead for Meter {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.ticket.charge_buffer(buf.remaining()).is_err() {
            let refused = io::Error::other("the process has no room for further requests");
            return Poll::Ready(Err(refused));
        }
        // The buffer of a connection that is silent is not touched, so it occupies no memory.
        ready!(self.stream.poll_read_ready(cx))?;
        let wanted = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(wanted));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        buf.advance(count);
        if count > 0 {
            self.ticket.received(count);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Meter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wrote(buf.len(), result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        // `hyper` flushes the socket once it has written everything.
        self.ticket.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let offered = bufs.iter().map(|buf| buf.len()).sum();
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wrote(offered, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
