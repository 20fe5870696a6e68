//! Runs a single-threaded Tokio runtime, with an optional listener, on the current thread.

use std::io;
use std::net::SocketAddr;

use crossbeam::channel;
use tokio::net::{TcpListener, TcpSocket};

use crate::error;

/// Result of starting a runtime.
pub type Result<T> = error::Result<T>;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Address to accept connections on.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    pub addr: SocketAddr,
    /// Size of a connection's send and receive buffers in the kernel, which would grow to several MiB
    /// each with clients that do not read.
    pub buffer_bytes: u32,
}

/// Starts a runtime, listens if an endpoint is given, and runs `serve` until it ends.
///
/// Sends the local address, or the error that prevented the start, to `ready` before `serve` runs.
pub fn run<F: Future<Output = ()>>(
    endpoint: Option<Endpoint>,
    ready: &channel::Sender<Result<Option<SocketAddr>>>,
    serve: impl FnOnce(Option<TcpListener>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(err) => {
            drop(ready.send(Err(err.into())));
            return;
        }
    };
    runtime.block_on(async {
        match listen(endpoint) {
            Ok(bound) => {
                let (listener, local) = bound.unzip();
                drop(ready.send(Ok(local)));
                serve(listener).await;
            }
            Err(err) => drop(ready.send(Err(err))),
        }
    });
}

fn listen(endpoint: Option<Endpoint>) -> Result<Option<(TcpListener, SocketAddr)>> {
    let Some(endpoint) = endpoint else {
        return Ok(None);
    };
    bind(endpoint).map(Some).map_err(|err| {
        let detail = format!("cannot listen on {}: {err}", endpoint.addr);
        error::Error::new(error::Kind::Unreachable, detail)
    })
}

fn bind(endpoint: Endpoint) -> io::Result<(TcpListener, SocketAddr)> {
    let socket = match endpoint.addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the sizes.
    socket.set_recv_buffer_size(endpoint.buffer_bytes)?;
    socket.set_send_buffer_size(endpoint.buffer_bytes)?;
    socket.bind(endpoint.addr)?;
    let listener = socket.listen(BACKLOG)?;
    let local = listener.local_addr()?;
    Ok((listener, local))
}
