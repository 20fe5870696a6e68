//! The transport thread: the only place where asynchronous code runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel;
use tokio::sync::mpsc;

use crate::error;
use crate::reactor;
use crate::wire::{Frame, Result, call, pool, server};

/// Calls that may wait for the transport thread.
const RING: usize = 8_192;

/// Where the answer of a call goes.
#[derive(Debug)]
enum Sink {
    Nowhere,
    Tagged {
        tag: u64,
        ring: channel::Sender<Answer>,
    },
}

/// The answer to a call made with `Transport::send`.
#[derive(Debug)]
pub struct Answer {
    /// The tag given with the call.
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
    ring: mpsc::Sender<Outbound>,
    local: Option<SocketAddr>,
}

/// Settings of the transport.
#[derive(Debug, Default)]
pub struct Options {
    /// Where to accept calls, if at all, and the ring that takes them.
    pub listen: Option<(SocketAddr, channel::Sender<call::Call>)>,
    /// Delay added to each direction of a call, for measurements.
    pub delay: Duration,
}

impl Transport {
    /// Starts the thread.
    ///
    /// # Errors
    /// `Unreachable` when the address cannot be listened on.
    pub fn start(options: Options) -> Result<Self> {
        let (ring, calls) = mpsc::channel(RING);
        let (ready, started) = channel::bounded(1);
        let spawned = thread::Builder::new()
            .name("transport".to_owned())
            .spawn(move || run(options, calls, &ready));
        spawned.map_err(|err| error::Error::new(error::Kind::Internal, err.to_string()))?;
        let local = started.recv().map_err(|_closed| stopped())??;
        Ok(Self { ring, local })
    }

    /// Address that calls are accepted on.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.local
    }

    /// Sends a frame and blocks for the answer.
    ///
    /// # Errors
    /// `Unreachable`, or the error that the peer answered.
    pub fn call(&self, addr: SocketAddr, frame: Frame, timeout: Duration) -> Result<Frame> {
        let (ring, answers) = channel::bounded(1);
        self.push(addr, frame, timeout, Sink::Tagged { tag: 0, ring })?;
        answers.recv().map_err(|_closed| stopped())?.result
    }

    /// Sends a frame; the answer goes to a ring with the tag.
    ///
    /// # Errors
    /// `Overloaded` when the transport thread is behind.
    pub fn send(
        &self,
        addr: SocketAddr,
        frame: Frame,
        timeout: Duration,
        tag: u64,
        ring: &channel::Sender<Answer>,
    ) -> Result<()> {
        self.push(
            addr,
            frame,
            timeout,
            Sink::Tagged {
                tag,
                ring: ring.clone(),
            },
        )
    }

    /// Sends a frame whose answer does not matter.
    pub fn notify(&self, addr: SocketAddr, frame: Frame, timeout: Duration) {
        if let Err(err) = self.push(addr, frame, timeout, Sink::Nowhere) {
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
        self.ring.try_send(outbound).map_err(|err| match err {
            mpsc::error::TrySendError::Full(_) => {
                error::Error::new(error::Kind::Overloaded, "the transport is behind")
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
    calls: mpsc::Receiver<Outbound>,
    ready: &channel::Sender<Result<Option<SocketAddr>>>,
) {
    let (addr, taken) = options.listen.unzip();
    reactor::run(addr, ready, async |listener| {
        if let (Some(listener), Some(taken)) = (listener, taken) {
            tokio::spawn(server::accept(listener, taken));
        }
        serve(calls, Arc::new(pool::Pool::new(options.delay))).await;
    });
}

async fn serve(mut calls: mpsc::Receiver<Outbound>, pool: Arc<pool::Pool>) {
    while let Some(outbound) = calls.recv().await {
        let pool = Arc::clone(&pool);
        tokio::spawn(async move {
            let result = pool
                .call(outbound.addr, outbound.frame, outbound.timeout)
                .await;
            if let Sink::Tagged { tag, ring } = outbound.sink {
                // Blocking here would stall every other call, so a full ring drops the answer.
                drop(ring.try_send(Answer { tag, result }));
            }
        });
    }
}
