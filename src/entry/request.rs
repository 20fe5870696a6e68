//! The way of one request: submit, wait for its gang, fetch the answer, or tell what became of it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::control::{group, leader};
use crate::entry::answer::{self, Fetched, Source};
use crate::error;
use crate::ledger;
use crate::sched::JobId;
use crate::wire::frame::{self, Frame};

/// Result of a step on the way.
pub type Result<T> = error::Result<T>;

/// Longest single poll of control or agent.
const POLL: Duration = Duration::from_millis(10_000);

/// Bound of a call to control with its retries.
const CALL_LIMIT: Duration = Duration::from_millis(8_000);

/// Times that a lost answer is looked for again before it is given up.
const MAX_LOST: u32 = 3;

/// Pause before asking again for an answer that its agent does not have.
const LOST_PAUSE: Duration = Duration::from_millis(200);

/// What the way needs of control; a fake stands in for it in tests.
pub trait Control {
    /// Calls the leader.
    ///
    /// # Errors
    /// The leader's error, or `NoQuorum` when none answered in time.
    fn call(&self, frame: &Frame, wait: Duration, limit: Duration) -> Result<Frame>;
}

impl Control for group::Group {
    fn call(&self, frame: &Frame, wait: Duration, limit: Duration) -> Result<Frame> {
        group::Group::call(self, frame, wait, limit)
    }
}

/// What a caller is told in the end.
#[derive(Debug)]
pub enum Outcome {
    /// An answer that the ledger holds.
    Inline {
        job: JobId,
        answer: ledger::Answer,
        body: Bytes,
    },
    /// An answer that an agent holds.
    Remote {
        agent: SocketAddr,
        head: Box<frame::Part>,
    },
    /// The caller's patience ended first.
    Accepted { job: JobId },
}

/// A request on its way.
#[derive(Debug)]
pub struct Way<'a, C, S> {
    pub control: &'a C,
    pub source: &'a S,
    pub account: &'a str,
    /// When the caller stops waiting.
    pub until: Instant,
}

impl<C: Control, S: Source> Way<'_, C, S> {
    /// Hands a request to control; returns where its job stands.
    ///
    /// # Errors
    /// Control's refusal, or `NoQuorum` with `ran: unknown`.
    pub fn submit(&self, request: ledger::Request) -> Result<frame::View> {
        let left = Duration::from_millis(request.deadline_ms);
        let limit = CALL_LIMIT.min(left);
        match self
            .control
            .call(&Frame::Submit { request }, Duration::ZERO, limit)?
        {
            Frame::View(view) => Ok(view),
            _ => Err(unexpected()),
        }
    }

    /// Follows a job until it has ended or the caller stops waiting.
    ///
    /// # Errors
    /// What is told of a job that ended without an answer.
    pub fn follow(&self, mut view: frame::View) -> Result<Outcome> {
        let job = view.job;
        let mut lost = 0;
        loop {
            match &view.stage {
                frame::Stage::Ended { outcome, agent } => {
                    return self.ended(job, outcome, *agent);
                }
                _ if self.left().is_zero() => return Ok(Outcome::Accepted { job }),
                frame::Stage::Waiting => view = self.poll(job, &view.stage)?,
                frame::Stage::Granted { agent, attempt } => {
                    let wait = self.left().min(POLL);
                    match answer::fetch(self.source, *agent, job, *attempt, wait) {
                        Fetched::Answer(head) => {
                            return Ok(Outcome::Remote {
                                agent: *agent,
                                head,
                            });
                        }
                        Fetched::Pending => {}
                        Fetched::Gone => {
                            lost += 1;
                            view = self.after_gone(job, &view.stage, lost)?;
                        }
                    }
                }
            }
        }
    }

    /// Asks control what became of a job whose agent does not have the answer.
    fn after_gone(&self, job: JobId, seen: &frame::Stage, lost: u32) -> Result<frame::View> {
        if lost <= MAX_LOST {
            std::thread::sleep(LOST_PAUSE.min(self.left()));
            return self.view(job, 0, Duration::ZERO);
        }
        self.poll(job, seen)
    }

    /// Waits at control until the job moves on from a stage.
    fn poll(&self, job: JobId, seen: &frame::Stage) -> Result<frame::View> {
        let wait = self.left().min(POLL);
        let mark = match seen {
            frame::Stage::Granted { attempt, .. } => attempt * 2 - 1,
            // Any stage after a wait has a higher mark than the wait before it.
            frame::Stage::Waiting | frame::Stage::Ended { .. } => 0,
        };
        self.view(job, mark, wait)
    }

    /// Where a job stands, once it is past a mark or the wait is over.
    ///
    /// # Errors
    /// `UnknownRequest`, or `NoQuorum` when no leader answers.
    pub fn view(&self, job: JobId, seen: u32, wait: Duration) -> Result<frame::View> {
        let account = self.account.to_owned();
        let wait_ms = wait.as_millis() as u64;
        let frame = Frame::Await {
            account,
            job,
            seen,
            wait_ms,
        };
        match self.control.call(&frame, wait, CALL_LIMIT)? {
            Frame::View(view) => Ok(view),
            _ => Err(unexpected()),
        }
    }

    fn ended(
        &self,
        job: JobId,
        outcome: &ledger::Outcome,
        agent: Option<SocketAddr>,
    ) -> Result<Outcome> {
        if let Some(err) = leader::error_of(outcome) {
            return Err(err);
        }
        let Some(found) = &outcome.answer else {
            return Err(expired());
        };
        if let Some(body) = found.inline.clone() {
            return Ok(Outcome::Inline {
                job,
                answer: found.clone(),
                body,
            });
        }
        let agent = agent.ok_or_else(expired)?;
        match answer::fetch(self.source, agent, job, found.attempt, Duration::ZERO) {
            Fetched::Answer(head) => Ok(Outcome::Remote { agent, head }),
            Fetched::Pending | Fetched::Gone => Err(expired()),
        }
    }

    /// Time that the caller still waits.
    fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }
}

fn expired() -> error::Error {
    error::Error::new(
        error::Kind::AnswerExpired,
        "the request ran and was answered, but the answer is no longer kept",
    )
}

fn unexpected() -> error::Error {
    error::Error::new(error::Kind::Internal, "unexpected answer from control")
}
