//! Pool of handler threads, which are started on demand up to a limit.

use std::panic::{self, AssertUnwindSafe};
use std::sync::atomic::{AtomicIsize, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

use crate::error;
use crate::serve::queue::Queue;
use crate::serve::{Exchange, Gate, Handler, Result, route};

/// Maximum number of requests that wait for a handler thread, per thread.
const QUEUE_CAPACITY_PER_THREAD: usize = 4;

/// Stack size of a handler thread.
const STACK_BYTES: usize = 256 << 10;

/// The handler threads of one server and the queue that feeds them.
#[derive(Debug)]
pub struct Pool<H> {
    handler: Arc<H>,
    gate: Arc<Gate>,
    queue: Mutex<Queue<Exchange>>,
    queued: Condvar,
    max_threads: usize,
    started: AtomicUsize,
    /// Number of idle threads minus the number of queued requests.
    idle: AtomicIsize,
}

impl<H: Handler> Pool<H> {
    /// Creates a pool of at most `max_threads` threads and starts the first one.
    ///
    /// # Errors
    /// Returns `Internal` if the thread cannot be started.
    pub fn start(max_threads: usize, gate: Arc<Gate>, handler: Arc<H>) -> Result<Arc<Self>> {
        let queue = Queue::new(max_threads * QUEUE_CAPACITY_PER_THREAD);
        let pool = Arc::new(Self {
            handler,
            gate,
            queue: Mutex::new(queue),
            queued: Condvar::new(),
            max_threads,
            started: AtomicUsize::new(0),
            idle: AtomicIsize::new(0),
        });
        pool.grow()?;
        Ok(pool)
    }

    /// Returns the gate that counts the requests in progress.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Returns the maximum size of a request body, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.handler.max_body_bytes()
    }

    /// Returns how many times its size the handling of a body may occupy, including the body.
    pub fn handling_factor(&self) -> usize {
        self.handler.handling_factor()
    }

    /// Queues a request for a handler thread, and starts another thread if none is idle. If the queue is
    /// full, one request is answered with `Overloaded`.
    pub fn dispatch(self: &Arc<Self>, exchange: Exchange) {
        let idle = self.idle.fetch_sub(1, Ordering::SeqCst);
        if idle <= 0
            && let Err(err) = self.grow()
        {
            log::warn!("cannot start another handler thread: {err}");
        }
        let recent = exchange.recent;
        let refused = self.queue().push(exchange, recent);
        match refused {
            Some(refused) => {
                self.idle.fetch_add(1, Ordering::SeqCst);
                refused.refuse();
            }
            None => self.queued.notify_one(),
        }
    }

    fn queue(&self) -> MutexGuard<'_, Queue<Exchange>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a request.
    fn next(&self) -> Exchange {
        let mut queue = self.queue();
        loop {
            if let Some(exchange) = queue.pop() {
                return exchange;
            }
            let waited = self.queued.wait(queue);
            queue = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Starts another thread unless the pool has reached its limit.
    fn grow(self: &Arc<Self>) -> Result<()> {
        if self.started.fetch_add(1, Ordering::SeqCst) >= self.max_threads {
            self.started.fetch_sub(1, Ordering::SeqCst);
            return Ok(());
        }
        let pool = Arc::clone(self);
        let spawned = thread::Builder::new()
            .name("handler".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || pool.run());
        match spawned {
            Ok(_handle) => {
                self.idle.fetch_add(1, Ordering::SeqCst);
                Ok(())
            }
            Err(err) => {
                self.started.fetch_sub(1, Ordering::SeqCst);
                Err(error::Error::new(error::Kind::Internal, err.to_string()))
            }
        }
    }

    /// Answers queued requests.
    fn run(&self) {
        loop {
            let Exchange {
                request,
                answer,
                ticket,
                ..
            } = self.next();
            // A panic costs its request, which is answered with an error, and not the thread: the pool
            // does not start another one in its place.
            let handle = || route(&self.gate, &*self.handler, &request);
            match panic::catch_unwind(AssertUnwindSafe(handle)) {
                Ok(response) => {
                    drop(request);
                    ticket.handled(response.body().held_bytes());
                    // Sending fails if the client has disconnected.
                    drop(answer.send(response));
                }
                Err(_panic) => {
                    log::error!(path = request.uri().path(); "request handler panicked");
                }
            }
            self.idle.fetch_add(1, Ordering::SeqCst);
        }
    }
}
