//! Fetching an answer from the agent that keeps it, a part at a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes};

use crate::error;
use crate::wire::frame::{self, Frame};
use crate::wire::transport;

/// Result of fetching.
pub type Result<T> = error::Result<T>;

/// Time allowed for a part, beyond the time that its agent may wait for it.
const PART_TIMEOUT: Duration = Duration::from_millis(2_000);

/// What became of an attempt to fetch.
#[derive(Debug)]
pub enum Fetched {
    /// The head and first part of the answer.
    Answer(Box<frame::Part>),
    /// The gang still runs.
    Pending,
    /// The agent does not have it, or cannot be reached.
    Gone,
}

/// What fetching needs of the transport; a fake stands in for it in tests.
pub trait Source: Clone + Send + 'static {
    /// Calls an agent.
    ///
    /// # Errors
    /// `Unreachable` when it does not answer in time.
    fn call(&self, agent: SocketAddr, frame: Frame, timeout: Duration) -> Result<Frame>;
}

impl Source for transport::Transport {
    fn call(&self, agent: SocketAddr, frame: Frame, timeout: Duration) -> Result<Frame> {
        transport::Transport::call(self, agent, frame, timeout)
    }
}

/// Asks an agent for the first part of an answer, waiting for it if need be.
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
        // Anything that does not belong to this request and attempt is dropped.
        Ok(Frame::Part(part)) if (part.job, part.attempt) == (job, attempt) => {
            Fetched::Answer(Box::new(part))
        }
        Ok(Frame::Pending) => Fetched::Pending,
        _ => Fetched::Gone,
    }
}

/// Reads an answer to its end; a part that fails or does not belong breaks the reading off.
#[derive(Debug)]
pub struct Reader<S> {
    source: S,
    agent: SocketAddr,
    head: frame::Part,
    part: Bytes,
    /// Bytes fetched so far.
    fetched: u64,
    hasher: crc32fast::Hasher,
}

impl<S: Source> Reader<S> {
    /// Starts from the first part.
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

    fn next(&mut self) -> io::Result<()> {
        let (job, attempt, offset) = (self.head.job, self.head.attempt, self.fetched);
        let collect = Frame::Collect {
            job,
            attempt,
            offset,
            wait_ms: 0,
        };
        let answer = self.source.call(self.agent, collect, PART_TIMEOUT);
        let Ok(Frame::Part(part)) = answer else {
            return Err(io::Error::other("the rest of the answer is gone"));
        };
        let own = (part.job, part.attempt, part.offset) == (job, attempt, offset);
        if !own || part.checksum != self.head.checksum || part.data.is_empty() {
            return Err(io::Error::other("a part of another answer"));
        }
        self.hasher.update(&part.data);
        self.fetched += part.data.len() as u64;
        self.check()?;
        self.part = part.data;
        Ok(())
    }

    /// Compares the checksum before the last part is handed on.
    ///
    /// # Errors
    /// When the whole answer is here and its checksum differs.
    pub fn check(&self) -> io::Result<()> {
        let whole = self.fetched >= self.head.length;
        if whole && self.hasher.clone().finalize() != self.head.checksum {
            return Err(io::Error::other("the answer's checksum differs"));
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
            self.next()?;
        }
        let len = self.part.len().min(buf.len());
        self.part.copy_to_slice(&mut buf[..len]);
        Ok(len)
    }
}
