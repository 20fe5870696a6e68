//! Client connections, one for each address.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use h2::client;
use tokio::net;
use tokio::sync;
use tokio::time;

use crate::error;
use crate::map;
use crate::wire::{self, Frame, Result};

/// Time allowed for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Window of each stream and connection.
const WINDOW_BYTES: u32 = 4 << 20;

type Slot = Arc<sync::Mutex<Option<client::SendRequest<Bytes>>>>;

/// Connections that calls share.
#[derive(Debug, Default)]
pub struct Pool {
    slots: Mutex<map::Map<SocketAddr, Slot>>,
    delay: Duration,
}

impl Pool {
    /// Makes an empty pool that delays each direction of a call, for measurements.
    pub fn new(delay: Duration) -> Self {
        Self {
            slots: Mutex::default(),
            delay,
        }
    }

    /// Sends a frame and waits for the answer.
    ///
    /// # Errors
    /// `Unreachable` when the peer cannot be reached or does not answer in time, or the error that
    /// the peer answered.
    pub async fn call(&self, addr: SocketAddr, frame: Frame, timeout: Duration) -> Result<Frame> {
        let data = wire::encode(&frame)?;
        let result = match time::timeout(timeout, self.exchange(addr, data)).await {
            Ok(result) => result,
            Err(_elapsed) => Err(unreachable(addr, "no answer in time")),
        };
        if result
            .as_ref()
            .is_err_and(|err| err.kind == error::Kind::Unreachable)
        {
            self.forget(addr);
        }
        match result? {
            Frame::Fault(err) => Err(err),
            answer => Ok(answer),
        }
    }

    async fn exchange(&self, addr: SocketAddr, data: Bytes) -> Result<Frame> {
        let failed = |err: h2::Error| unreachable(addr, &err.to_string());
        self.pause().await;
        let sender = self.sender(addr).await?;
        let mut sender = sender.ready().await.map_err(failed)?;
        let request = http::Request::post(format!("http://{addr}/"))
            .body(())
            .map_err(|err| unreachable(addr, &err.to_string()))?;
        let (answer, mut body) = sender.send_request(request, false).map_err(failed)?;
        body.send_data(data, true).map_err(failed)?;
        let answer = answer.await.map_err(failed)?;
        let data = read(answer.into_body())
            .await
            .map_err(|err| unreachable(addr, &err.detail))?;
        self.pause().await;
        wire::decode(&data)
    }

    async fn pause(&self) {
        if !self.delay.is_zero() {
            time::sleep(self.delay).await;
        }
    }

    async fn sender(&self, addr: SocketAddr) -> Result<client::SendRequest<Bytes>> {
        let slot = self.slot(addr);
        let mut open = slot.lock().await;
        if let Some(sender) = &*open {
            return Ok(sender.clone());
        }
        let sender = connect(addr).await?;
        *open = Some(sender.clone());
        Ok(sender)
    }

    fn slot(&self, addr: SocketAddr) -> Slot {
        let mut slots = self
            .slots
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        Arc::clone(slots.entry(addr).or_default())
    }

    /// Drops a connection, so that the next call makes a new one.
    fn forget(&self, addr: SocketAddr) {
        let mut slots = self
            .slots
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        slots.remove(&addr);
    }
}

async fn connect(addr: SocketAddr) -> Result<client::SendRequest<Bytes>> {
    // Nothing has been sent yet, so nothing can have run.
    let failed = |detail: String| unreachable(addr, &detail).with_ran(error::Ran::No);
    let attempt = time::timeout(CONNECT_TIMEOUT, net::TcpStream::connect(addr)).await;
    let stream = match attempt {
        Ok(stream) => stream.map_err(|err| failed(err.to_string()))?,
        Err(_elapsed) => return Err(failed("no connection in time".to_owned())),
    };
    stream
        .set_nodelay(true)
        .map_err(|err| failed(err.to_string()))?;
    let (sender, connection) = client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(stream)
        .await
        .map_err(|err| failed(err.to_string()))?;
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!(peer:% = addr; "connection ended: {err}");
        }
    });
    Ok(sender)
}

/// Reads a body up to the largest frame.
pub(super) async fn read(mut body: h2::RecvStream) -> Result<Vec<u8>> {
    let broken = |err: h2::Error| error::Error::new(error::Kind::Unreachable, err.to_string());
    let mut data = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(broken)?;
        if data.len() + chunk.len() > wire::MAX_FRAME_BYTES {
            return Err(error::Error::new(
                error::Kind::BodyTooLarge,
                "frame too large",
            ));
        }
        data.extend_from_slice(&chunk);
        body.flow_control()
            .release_capacity(chunk.len())
            .map_err(broken)?;
    }
    Ok(data)
}

fn unreachable(addr: SocketAddr, detail: &str) -> error::Error {
    error::Error::new(error::Kind::Unreachable, format!("{addr}: {detail}"))
}
