//! Pool of client connections, one for each address.

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

/// Time limit for establishing a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Flow control window of each stream and of the whole connection.
const WINDOW_BYTES: u32 = 4 << 20;

type Slot = Arc<sync::Mutex<Option<client::SendRequest<Bytes>>>>;

/// Connections shared by all calls to the same address.
#[derive(Debug, Default)]
pub struct Pool {
    slots: Mutex<map::Map<SocketAddr, Slot>>,
    delay: Duration,
}

impl Pool {
    /// Creates an empty pool that adds `delay` to each direction of a call, which measurements use
    /// to simulate a network.
    pub fn new(delay: Duration) -> Self {
        Self {
            slots: Mutex::default(),
            delay,
        }
    }

    /// Sends a frame and waits for the answer, for at most `timeout`.
    ///
    /// # Errors
    /// Returns `Unreachable` if the peer cannot be reached or does not answer in time, or the error
    /// that the peer answered with.
    pub async fn call(&self, addr: SocketAddr, frame: Frame, timeout: Duration) -> Result<Frame> {
        let data = wire::encode(&frame)?;
        let result = match time::timeout(timeout, self.exchange(addr, data)).await {
            Ok(result) => result,
            Err(_elapsed) => Err(unreachable(addr, "the call timed out")),
        };
        if result
            .as_ref()
            .is_err_and(|err| err.kind == error::Kind::Unreachable)
        {
            self.remove(addr);
        }
        match result? {
            Frame::Fault(err) => Err(err),
            answer => Ok(answer),
        }
    }

    async fn exchange(&self, addr: SocketAddr, data: Bytes) -> Result<Frame> {
        let failed = |err: h2::Error| unreachable(addr, &err.to_string());
        self.apply_delay().await;
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
        self.apply_delay().await;
        wire::decode(&data)
    }

    async fn apply_delay(&self) {
        if !self.delay.is_zero() {
            time::sleep(self.delay).await;
        }
    }

    async fn sender(&self, addr: SocketAddr) -> Result<client::SendRequest<Bytes>> {
        let slot = self.slot(addr);
        let mut connection = slot.lock().await;
        if let Some(sender) = &*connection {
            return Ok(sender.clone());
        }
        let sender = connect(addr).await?;
        *connection = Some(sender.clone());
        Ok(sender)
    }

    fn slot(&self, addr: SocketAddr) -> Slot {
        let mut slots = self
            .slots
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        Arc::clone(slots.entry(addr).or_default())
    }

    /// Removes a connection from the pool, so that the next call opens a new one.
    fn remove(&self, addr: SocketAddr) {
        let mut slots = self
            .slots
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        slots.remove(&addr);
    }
}

async fn connect(addr: SocketAddr) -> Result<client::SendRequest<Bytes>> {
    // No request has been sent yet, so none can have run.
    let failed = |detail: String| unreachable(addr, &detail).with_ran(error::Ran::No);
    let attempt = time::timeout(CONNECT_TIMEOUT, net::TcpStream::connect(addr)).await;
    let stream = match attempt {
        Ok(stream) => stream.map_err(|err| failed(err.to_string()))?,
        Err(_elapsed) => return Err(failed("the connection attempt timed out".to_owned())),
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
            log::debug!(peer:% = addr; "connection closed: {err}");
        }
    });
    Ok(sender)
}

/// Reads a whole body of at most `MAX_FRAME_BYTES`.
async fn read(mut body: h2::RecvStream) -> Result<Vec<u8>> {
    let read_error = |err: h2::Error| error::Error::new(error::Kind::Unreachable, err.to_string());
    let mut data = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(read_error)?;
        if data.len() + chunk.len() > wire::MAX_FRAME_BYTES {
            return Err(error::Error::new(
                error::Kind::BodyTooLarge,
                "frame exceeds the size limit",
            ));
        }
        data.extend_from_slice(&chunk);
        body.flow_control()
            .release_capacity(chunk.len())
            .map_err(read_error)?;
    }
    Ok(data)
}

fn unreachable(addr: SocketAddr, detail: &str) -> error::Error {
    error::Error::new(error::Kind::Unreachable, format!("{addr}: {detail}"))
}
