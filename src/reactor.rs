//! A thread's asynchronous part: one runtime, one listener, and word of how the start went.

use std::net::SocketAddr;

use crossbeam::channel;
use tokio::net::TcpListener;

use crate::error;

/// Result of starting.
pub type Result<T> = error::Result<T>;

/// Listens on an address if one is given, tells how that went, and runs `serve` until it ends.
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
            Ok(found) => {
                let (listener, local) = found.unzip();
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
    let fault = |err: std::io::Error| {
        let detail = format!("listening on {addr}: {err}");
        error::Error::new(error::Kind::Unreachable, detail)
    };
    let listener = TcpListener::bind(addr).await.map_err(fault)?;
    let local = listener.local_addr().map_err(fault)?;
    Ok(Some((listener, local)))
}
