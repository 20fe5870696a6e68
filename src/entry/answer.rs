//! Fetches an answer from the agent that stores it, one part at a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes};

use crate::error;
use crate::wire::frame::{self, Frame};
use crate::wire::transport;

/// Result of a call to an agent.
pub type Result<T> = error::Result<T>;

/// Timeout of a call for a part, on top of the time that the agent may wait for the answer.
const PART_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Result of asking an agent for an answer.
#[derive(Debug)]
pub enum Fetched {
    /// The head and first part of the answer.
    Answer(Box<frame::Part>),
    /// The gang is still running.
    Pending,
    /// The agent does not have the answer, or cannot be reached.
    Gone,
}

/// Access to the agents; a trait so that a test can replace it.
pub trait Source: Clone + Send + 'static {
    /// Sends a frame to an agent and returns its reply.
    ///
    /// # Errors
    /// Returns `Unreachable` when the agent does not reply in time.
    fn call(&self, agent: SocketAddr, frame: Frame, timeout: Duration) -> Result<Frame>;
}

impl Source for transport::Transport {
    fn call(&self, agent: SocketAddr, frame: Frame, timeout: Duration) -> Result<Frame> {
        transport::Transport::call(self, agent, frame, timeout)
    }
}

/// Asks an agent for the first part of an answer, and waits up to `wait` until there is one.
pub fn fetch<S: Source>(
    source: &S,
    agent: SocketAddr,
    job: u64,
    attempt: u32,
    wait: Duration,
) -> Fetched {
    let wait_ms = wait.as_millis() as u64;
    let collect = Frame::Collect {
        job,
        attempt,
        offset: 0,
        wait_ms,
    };
    match source.call(agent, collect, wait + PART_TIMEOUT) {
        // A part of another request or attempt is dropped.
        Ok(Frame::Part(part)) if (part.job, part.attempt) == (job, attempt) => {
            Fetched::Answer(Box::new(part))
        }
        Ok(Frame::Pending) => Fetched::Pending,
        _ => Fetched::Gone,
    }
}

/// Reads a whole answer; a part that cannot be fetched or belongs to another answer is an error.
#[derive(Debug)]
pub struct Reader<S> {
    source: S,
    agent: SocketAddr,
    head: frame::Part,
    part: Bytes,
    /// Number of bytes fetched so far.
    fetched: u64,
    hasher: crc32fast::Hasher,
}

impl<S: Source> Reader<S> {
    /// Creates a reader that starts with the first part.
    pub fn new(source: S, agent: SocketAddr, mut head: frame::Part) -> Self {
        let part = std::mem::take(&mut head.data);
        let fetched = part.len() as u64;
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&part);
        Self {
            source,
            agent,
            head,
            part,
            fetched,
            hasher,
        }
    }

    fn fetch_next(&mut self) -> io::Result<()> {
        let (job, attempt, offset) = (self.head.job, self.head.attempt, self.fetched);
        let collect = Frame::Collect {
            job,
            attempt,
            offset,
            wait_ms: 0,
        };
        let reply = self.source.call(self.agent, collect, PART_TIMEOUT);
        let Ok(Frame::Part(part)) = reply else {
            return Err(io::Error::other(
                "the agent no longer has the rest of the answer",
            ));
        };
        let is_match = (part.job, part.attempt, part.offset) == (job, attempt, offset);
        if !is_match || part.checksum != self.head.checksum || part.data.is_empty() {
            return Err(io::Error::other("received a part of another answer"));
        }
        self.hasher.update(&part.data);
        self.fetched += part.data.len() as u64;
        self.check()?;
        self.part = part.data;
        Ok(())
    }

    /// Verifies the checksum once all parts are fetched, before the last one is passed on.
    ///
    /// # Errors
    /// Returns an error when the whole answer is fetched and its checksum differs.
    pub fn check(&self) -> io::Result<()> {
        let is_complete = self.fetched >= self.head.length;
        if is_complete && self.hasher.clone().finalize() != self.head.checksum {
            return Err(io::Error::other(
                "the checksum of the answer does not match its content",
            ));
        }
        Ok(())
    }
}

impl<S: Source> io::Read for Reader<S> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if self.part.is_empty() {
            if self.fetched >= self.head.length {
                return Ok(0);
            }
            self.fetch_next()?;
        }
        let len = self.part.len().min(buf.len());
        self.part.copy_to_slice(&mut buf[..len]);
        Ok(len)
    }
}
