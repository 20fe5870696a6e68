//! Runs a single-threaded Tokio runtime, with an optional listener, on the current thread.

use std::net::SocketAddr;

use crossbeam::channel;
use tokio::net::TcpListener;

use crate::error;

/// Result of starting a runtime.
pub type Result<T> = error::Result<T>;

/// Starts a runtime, listens on `addr` if one is given, and runs `serve` until it ends.
///
/// Sends the local address, or the error that prevented the start, to `ready` before `serve` runs.
pub fn run<F: Future<Output = ()>>(
    addr: Option<SocketAddr>,
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
        match listen(addr).await {
            Ok(bound) => {
                let (listener, local) = bound.unzip();
                drop(ready.send(Ok(local)));
                serve(listener).await;
            }
            Err(err) => drop(ready.send(Err(err))),
        }
    });
}

async fn listen(addr: Option<SocketAddr>) -> Result<Option<(TcpListener, SocketAddr)>> {
    let Some(addr) = addr else {
        return Ok(None);
    };
    let failed = |err: std::io::Error| {
        let detail = format!("cannot listen on {addr}: {err}");
        error::Error::new(error::Kind::Unreachable, detail)
    };
    let listener = TcpListener::bind(addr).await.map_err(failed)?;
    let local = listener.local_addr().map_err(failed)?;
    Ok(Some((listener, local)))
}
