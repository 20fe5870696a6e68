//! The transport thread, which runs the asynchronous code of calls between processes.
//!
//! Other threads hand it calls through a bounded queue.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel;
use tokio::sync::mpsc;

use crate::error;
use crate::reactor;
use crate::serve::quota;
use crate::wire::{Frame, Result, call, pool, server};

/// Maximum number of calls that wait for the transport thread.
const QUEUE_CAPACITY: usize = 8_192;

/// Size of a connection's buffers in the kernel, in bytes. At a round trip of 16 ms they carry 4 MB/s.
const SOCKET_BYTES: u32 = 64 << 10;

/// Destination of the answer to a call.
#[derive(Debug)]
enum Sink {
    Discard,
    Tagged {
        tag: u64,
        answers: channel::Sender<Answer>,
    },
}

/// The answer to a call made with `Transport::send`.
#[derive(Debug)]
pub struct Answer {
    /// The tag that was passed with the call.
    pub tag: u64,
    pub result: Result<Frame>,
}

#[derive(Debug)]
struct Outbound {
    addr: SocketAddr,
    frame: Frame,
    timeout: Duration,
    sink: Sink,
}

/// Handle of the transport thread; clones share it.
#[derive(Clone, Debug)]
pub struct Transport {
    calls: mpsc::Sender<Outbound>,
    local: Option<SocketAddr>,
}

/// Settings of the transport.
#[derive(Debug, Default)]
pub struct Options {
    /// Address to accept calls on and the queue that receives them, or `None` to accept none.
    pub listen: Option<(SocketAddr, channel::Sender<call::Call>)>,
    /// Delay added to each direction of a call, which measurements use to simulate a network.
    pub delay: Duration,
    /// Limits of the connections that other processes open, and of the calls on them.
    pub limits: quota::Limits,
}

impl Transport {
    /// Starts the transport thread.
    ///
    /// # Errors
    /// Returns `Unreachable` if the process cannot listen on the address.
    pub fn start(options: Options) -> Result<Self> {
        let (calls, queue) = mpsc::channel(QUEUE_CAPACITY);
        let (ready, started) = channel::bounded(1);
        let spawned = thread::Builder::new()
            .name("transport".to_owned())
            .spawn(move || run(options, queue, &ready));
        spawned.map_err(|err| error::Error::new(error::Kind::Internal, err.to_string()))?;
        let local = started.recv().map_err(|_closed| stopped())??;
        Ok(Self { calls, local })
    }

    /// Returns the address that calls are accepted on, if any.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.local
    }

    /// Sends a frame and blocks until the answer arrives.
    ///
    /// # Errors
    /// Returns `Unreachable` if there is no answer in time, or the error that the peer answered
    /// with.
    pub fn call(&self, addr: SocketAddr, frame: Frame, timeout: Duration) -> Result<Frame> {
        let (answers, answer) = channel::bounded(1);
        self.push(addr, frame, timeout, Sink::Tagged { tag: 0, answers })?;
        answer.recv().map_err(|_closed| stopped())?.result
    }

    /// Sends a frame; the answer is sent to `answers` together with `tag`.
    ///
    /// # Errors
    /// Returns `Overloaded` if the queue of the transport thread is full.
    pub fn send(
        &self,
        addr: SocketAddr,
        frame: Frame,
        timeout: Duration,
        tag: u64,
        answers: &channel::Sender<Answer>,
    ) -> Result<()> {
        self.push(
            addr,
            frame,
            timeout,
            Sink::Tagged {
                tag,
                answers: answers.clone(),
            },
        )
    }

    /// Sends a frame and discards the answer.
    pub fn notify(&self, addr: SocketAddr, frame: Frame, timeout: Duration) {
        if let Err(err) = self.push(addr, frame, timeout, Sink::Discard) {
            log::debug!(peer:% = addr; "notification dropped: {err}");
        }
    }

    fn push(&self, addr: SocketAddr, frame: Frame, timeout: Duration, sink: Sink) -> Result<()> {
        let outbound = Outbound {
            addr,
            frame,
            timeout,
            sink,
        };
        self.calls.try_send(outbound).map_err(|err| match err {
            mpsc::error::TrySendError::Full(_) => {
                error::Error::new(error::Kind::Overloaded, "the transport queue is full")
            }
            mpsc::error::TrySendError::Closed(_) => stopped(),
        })
    }
}

fn stopped() -> error::Error {
    error::Error::new(error::Kind::Internal, "the transport thread has stopped")
}

fn run(
    options: Options,
    queue: mpsc::Receiver<Outbound>,
    ready: &channel::Sender<Result<Option<SocketAddr>>>,
) {
    let (addr, incoming) = options.listen.unzip();
    let endpoint = addr.map(|addr| reactor::Endpoint {
        addr,
        buffer_bytes: SOCKET_BYTES,
    });
    reactor::run(endpoint, ready, async |listener| {
        if let (Some(listener), Some(incoming)) = (listener, incoming) {
            tokio::spawn(server::accept(listener, incoming, options.limits));
        }
        serve(queue, Arc::new(pool::Pool::new(options.delay))).await;
    });
}

async fn serve(mut queue: mpsc::Receiver<Outbound>, pool: Arc<pool::Pool>) {
    while let Some(outbound) = queue.recv().await {
        let pool = Arc::clone(&pool);
        tokio::spawn(async move {
            let result = pool
                .call(outbound.addr, outbound.frame, outbound.timeout)
                .await;
            if let Sink::Tagged { tag, answers } = outbound.sink {
                // Blocking here would stall all other calls, so a full queue drops the answer.
                drop(answers.try_send(Answer { tag, result }));
            }
        });
    }
}
