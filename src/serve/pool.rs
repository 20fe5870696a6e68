//! Handler threads, started as they are needed up to a bound.

use std::sync::Arc;
use std::sync::atomic::{AtomicIsize, AtomicUsize, Ordering};
use std::thread;

use crossbeam::channel;

use crate::error;
use crate::serve::{Gate, Handler, Job, Result, route};

/// Requests that may wait for a handler thread, for each thread.
const RING_PER_THREAD: usize = 4;

/// Stack of a handler thread.
const STACK_BYTES: usize = 256 << 10;

/// The threads of one address and the ring that they are fed from.
#[derive(Debug)]
pub struct Crew<H> {
    handler: Arc<H>,
    gate: Arc<Gate>,
    jobs: channel::Sender<Job>,
    queue: channel::Receiver<Job>,
    most: usize,
    started: AtomicUsize,
    /// Threads without a request, less the requests that wait for one.
    free: AtomicIsize,
}

impl<H: Handler> Crew<H> {
    /// Starts the first thread of at most so many.
    ///
    /// # Errors
    /// `Internal` when the system gives no thread.
    pub fn start(most: usize, gate: Arc<Gate>, handler: Arc<H>) -> Result<Arc<Self>> {
        let (jobs, queue) = channel::bounded(most * RING_PER_THREAD);
        let crew = Arc::new(Self {
            handler,
            gate,
            jobs,
            queue,
            most,
            started: AtomicUsize::new(0),
            free: AtomicIsize::new(0),
        });
        crew.grow()?;
        Ok(crew)
    }

    /// What is known of requests while they are answered.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Largest body of a request, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.handler.max_body_bytes()
    }

    /// Hands a request to a thread, or lets it wait for one.
    ///
    /// # Errors
    /// `Overloaded` when too many wait.
    pub fn hand_over(self: &Arc<Self>, job: Job) -> Result<()> {
        let free = self.free.fetch_sub(1, Ordering::SeqCst);
        if free <= 0
            && let Err(err) = self.grow()
        {
            log::warn!("no further thread for requests: {err}");
        }
        self.jobs.try_send(job).map_err(|_full| {
            self.free.fetch_add(1, Ordering::SeqCst);
            error::Error::new(
                error::Kind::Overloaded,
                "too many requests wait for a thread",
            )
        })
    }

    /// Starts one more thread unless there are as many as there may be.
    fn grow(self: &Arc<Self>) -> Result<()> {
        if self.started.fetch_add(1, Ordering::SeqCst) >= self.most {
            self.started.fetch_sub(1, Ordering::SeqCst);
            return Ok(());
        }
        let crew = Arc::clone(self);
        let spawned = thread::Builder::new()
            .name("handler".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || crew.work());
        match spawned {
            Ok(_handle) => {
                self.free.fetch_add(1, Ordering::SeqCst);
                Ok(())
            }
            Err(err) => {
                self.started.fetch_sub(1, Ordering::SeqCst);
                Err(error::Error::new(error::Kind::Internal, err.to_string()))
            }
        }
    }

    fn work(&self) {
        for Job { request, answer } in &self.queue {
            // A caller that has gone away does not take the answer.
            drop(answer.send(route(&self.gate, &*self.handler, &request)));
            self.free.fetch_add(1, Ordering::SeqCst);
        }
    }
}
