//! Follows one request: submits it, waits for its gang, and fetches the answer or reports the
//! error.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::control::{group, leader};
use crate::entry::answer::{self, Fetched, Source};
use crate::error;
use crate::ledger;
use crate::sched::JobId;
use crate::wire::frame::{self, Frame};

/// Result of a call to control or an agent.
pub type Result<T> = error::Result<T>;

/// Longest wait of a single poll of control or of an agent.
const MAX_POLL: Duration = Duration::from_millis(10_000);

/// Time limit of a call to control with its retries.
const CALL_TIMEOUT: Duration = Duration::from_millis(8_000);

/// Number of times that an agent may lack an answer before the entry waits for a change of the job
/// at control, instead of asking for the job's current state again.
const MAX_MISSES: u32 = 3;

/// Pause before control is asked again about a job whose agent does not have the answer.
const MISS_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Access to control; a trait so that a test can replace it.
pub trait Control {
    /// Sends a frame to the leader and returns its reply.
    ///
    /// # Errors
    /// Returns the leader's error, or `NoQuorum` when no leader answered in time.
    fn call(&self, frame: &Frame, wait: Duration, limit: Duration) -> Result<Frame>;
}

impl Control for group::Group {
    fn call(&self, frame: &Frame, wait: Duration, limit: Duration) -> Result<Frame> {
        group::Group::call(self, frame, wait, limit)
    }
}

/// Result of a request, as returned to the caller.
#[derive(Debug)]
pub enum Reply {
    /// The answer is stored in the ledger.
    Inline {
        job: JobId,
        answer: ledger::Answer,
        body: Bytes,
    },
    /// The answer is stored on an agent.
    Remote {
        agent: SocketAddr,
        head: Box<frame::Part>,
    },
    /// The caller's wait time ended before the job did.
    Accepted { job: JobId },
}

/// Client that submits a caller's request and follows its job.
#[derive(Debug)]
pub struct Tracker<'a, C, S> {
    pub control: &'a C,
    pub source: &'a S,
    pub account: &'a str,
    /// Time at which the caller stops waiting.
    pub until: Instant,
}

impl<C: Control, S: Source> Tracker<'_, C, S> {
    /// Submits a request to control; returns the state of its job.
    ///
    /// # Errors
    /// Returns control's error, or `NoQuorum` with `ran: unknown`.
    pub fn submit(&self, request: ledger::Request) -> Result<frame::View> {
        let remaining = Duration::from_millis(request.deadline_ms);
        let limit = CALL_TIMEOUT.min(remaining);
        match self
            .control
            .call(&Frame::Submit { request }, Duration::ZERO, limit)?
        {
            Frame::View(view) => Ok(view),
            _ => Err(unexpected_reply()),
        }
    }

    /// Follows a job until it has ended or the caller stops waiting.
    ///
    /// # Errors
    /// Returns the error of a job that ended without an answer.
    pub fn follow(&self, mut view: frame::View) -> Result<Reply> {
        let job = view.job;
        let mut misses = 0;
        loop {
            match &view.stage {
                frame::Stage::Ended { outcome, agent } => {
                    return self.conclude(job, outcome, *agent);
                }
                _ if self.remaining().is_zero() => return Ok(Reply::Accepted { job }),
                frame::Stage::Waiting => view = self.poll(job, &view.stage)?,
                frame::Stage::Granted { agent, attempt } => {
                    let wait = self.remaining().min(MAX_POLL);
                    match answer::fetch(self.source, *agent, job, *attempt, wait) {
                        Fetched::Answer(head) => {
                            return Ok(Reply::Remote {
                                agent: *agent,
                                head,
                            });
                        }
                        Fetched::Pending => {}
                        Fetched::Gone => {
                            misses += 1;
                            view = self.recheck(job, &view.stage, misses)?;
                        }
                    }
                }
            }
        }
    }

    /// Asks control for the state of a job whose agent does not have the answer.
    fn recheck(&self, job: JobId, seen: &frame::Stage, misses: u32) -> Result<frame::View> {
        if misses <= MAX_MISSES {
            std::thread::sleep(MISS_RETRY_DELAY.min(self.remaining()));
            return self.view(job, 0, Duration::ZERO);
        }
        self.poll(job, seen)
    }

    /// Waits until control reports that the job has left a stage.
    fn poll(&self, job: JobId, seen: &frame::Stage) -> Result<frame::View> {
        let wait = self.remaining().min(MAX_POLL);
        let progress = match seen {
            frame::Stage::Granted { attempt, .. } => attempt * 2 - 1,
            // The view does not carry the number of earlier attempts, so a wait is polled with
            // progress 0, which every later stage exceeds. A wait that follows an attempt exceeds
            // it as well, so control answers that poll at once.
            frame::Stage::Waiting | frame::Stage::Ended { .. } => 0,
        };
        self.view(job, progress, wait)
    }

    /// Returns the state of a job once it has passed the progress `seen` or the wait time is over.
    ///
    /// # Errors
    /// Returns `UnknownRequest`, or `NoQuorum` when no leader answers.
    pub fn view(&self, job: JobId, seen: u32, wait: Duration) -> Result<frame::View> {
        let account = self.account.to_owned();
        let wait_ms = wait.as_millis() as u64;
        let frame = Frame::Await {
            account,
            job,
            seen,
            wait_ms,
        };
        match self.control.call(&frame, wait, CALL_TIMEOUT)? {
            Frame::View(view) => Ok(view),
            _ => Err(unexpected_reply()),
        }
    }

    fn conclude(
        &self,
        job: JobId,
        outcome: &ledger::Outcome,
        agent: Option<SocketAddr>,
    ) -> Result<Reply> {
        if let Some(err) = leader::error_of(outcome) {
            return Err(err);
        }
        let Some(stored) = &outcome.answer else {
            return Err(answer_expired());
        };
        if let Some(body) = stored.inline.clone() {
            return Ok(Reply::Inline {
                job,
                answer: stored.clone(),
                body,
            });
        }
        let agent = agent.ok_or_else(answer_expired)?;
        match answer::fetch(self.source, agent, job, stored.attempt, Duration::ZERO) {
            Fetched::Answer(head) => Ok(Reply::Remote { agent, head }),
            Fetched::Pending | Fetched::Gone => Err(answer_expired()),
        }
    }

    /// Returns the time that the caller still waits.
    fn remaining(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }
}

fn answer_expired() -> error::Error {
    error::Error::new(
        error::Kind::AnswerExpired,
        "the request ran and was answered, but its answer is no longer stored",
    )
}

fn unexpected_reply() -> error::Error {
    error::Error::new(
        error::Kind::Internal,
        "unexpected reply from the leader, expected the state of a job",
    )
}
