//! HTTP client for workers and targets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::backend::{self, Ops, Outcomes, Result};
use crate::error;

/// Timeout of a message with lease operations.
const LEASE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Age above which an idle connection is not reused. It must be below the time after which targets
/// close idle connections.
const MAX_IDLE_AGE: Duration = Duration::from_secs(3);

/// Request to a target.
#[derive(Clone, Debug)]
pub struct Dispatch {
    pub target: SocketAddr,
    pub service: String,
    pub account: String,
    pub job: u64,
    pub attempt: u32,
    /// Names of the gang's workers, separated by commas.
    pub gang: String,
    pub content_type: String,
    pub body: Bytes,
    pub remaining: Duration,
}

/// Complete answer of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub content_type: String,
    pub body: Bytes,
}

/// Access to workers and targets; a trait so that a test can replace it.
pub trait Backend: Clone + Send + 'static {
    /// Sends lease operations to a worker.
    ///
    /// # Errors
    /// Returns `Unreachable` when the worker does not answer in time.
    fn lease(&self, worker: SocketAddr, ops: &Ops) -> Result<Outcomes>;

    /// Sends a request to a target and reads the whole answer.
    ///
    /// # Errors
    /// Returns `Unreachable` with `ran: no` when no connection was made, or `TargetFailed`,
    /// `AnswerInvalid` or `Deadline` when the target may have run the request.
    fn dispatch(&self, dispatch: &Dispatch, max_bytes: u64) -> Result<Reply>;
}

/// HTTP client for workers and targets; clones share their connections.
#[derive(Clone, Debug)]
pub struct Client {
    agent: ureq::Agent,
}

impl Client {
    /// Creates a client that keeps at most `connections` idle connections to one address.
    pub fn new(connections: usize) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(connections * 4)
            .max_idle_connections_per_host(connections)
            .max_idle_age(MAX_IDLE_AGE)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .timeout_connect(Some(Duration::from_millis(1_000)))
            .build();
        Self {
            agent: config.new_agent(),
        }
    }

    /// Sends a JSON body and parses a JSON answer.
    ///
    /// # Errors
    /// Returns `Unreachable` when there is no valid answer in time.
    pub fn post<T: DeserializeOwned>(
        &self,
        url: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T> {
        let failed = |detail: String| {
            error::Error::new(error::Kind::Unreachable, format!("{url}: {detail}"))
        };
        let text = serde_json::to_vec(body).map_err(|err| failed(err.to_string()))?;
        let request = self
            .agent
            .post(url)
            .config()
            .timeout_global(Some(timeout))
            .build();
        let mut answer = request
            .content_type("application/json")
            .send(&*text)
            .map_err(|err| failed(err.to_string()))?;
        let status = answer.status().as_u16();
        let limited = answer
            .body_mut()
            .with_config()
            .limit(backend::MAX_JSON_BYTES);
        let text = limited
            .read_to_vec()
            .map_err(|err| failed(err.to_string()))?;
        if status >= 300 {
            return Err(failed(format!("status {status}")));
        }
        serde_json::from_slice(&text).map_err(|err| failed(err.to_string()))
    }

    /// Sends an announcement to an entry or agent.
    ///
    /// # Errors
    /// Returns `Unreachable` when it does not answer in time.
    pub fn announce(
        &self,
        addr: SocketAddr,
        path: &str,
        announcement: &impl Serialize,
    ) -> Result<()> {
        let url = format!("http://{addr}{path}");
        self.post::<serde_json::Value>(&url, announcement, ANNOUNCE_TIMEOUT)
            .map(drop)
    }
}

impl Backend for Client {
    fn lease(&self, worker: SocketAddr, ops: &Ops) -> Result<Outcomes> {
        self.post(&format!("http://{worker}/v1/leases"), ops, LEASE_TIMEOUT)
    }

    fn dispatch(&self, dispatch: &Dispatch, max_bytes: u64) -> Result<Reply> {
        let url = format!("http://{}/v1/run/{}", dispatch.target, dispatch.service);
        let request = self
            .agent
            .post(&url)
            .config()
            .timeout_global(Some(dispatch.remaining));
        let answer = request
            .build()
            .content_type(&dispatch.content_type)
            .header(backend::REQUEST_HEADER, dispatch.job.to_string())
            .header(backend::ATTEMPT_HEADER, dispatch.attempt.to_string())
            .header(backend::ACCOUNT_HEADER, &dispatch.account)
            .header(backend::GANG_HEADER, &dispatch.gang)
            .header(
                backend::REMAINING_HEADER,
                dispatch.remaining.as_millis().to_string(),
            )
            .send(&*dispatch.body);
        let mut answer = answer.map_err(|err| dispatch_error(&err))?;
        check_echo(dispatch, answer.headers())?;
        let status = answer.status().as_u16();
        let content_type = header(answer.headers(), "content-type").unwrap_or_default();
        let length = header(answer.headers(), "content-length");
        let limited = answer.body_mut().with_config().limit(max_bytes);
        let body = limited
            .read_to_vec()
            .map_err(|err| read_error(&err, max_bytes))?;
        let declared_length = length.and_then(|text| text.parse::<usize>().ok());
        if declared_length.is_some_and(|declared_length| declared_length != body.len()) {
            return Err(invalid_answer(
                "the length of the answer differs from its content-length header",
            ));
        }
        Ok(Reply {
            status,
            content_type,
            body: body.into(),
        })
    }
}

fn header(headers: &ureq::http::HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

/// Checks that an answer belongs to the request and attempt that were sent.
fn check_echo(dispatch: &Dispatch, headers: &ureq::http::HeaderMap) -> Result<()> {
    let request = header(headers, backend::REQUEST_HEADER);
    let attempt = header(headers, backend::ATTEMPT_HEADER);
    let is_match = request.as_deref() == Some(&*dispatch.job.to_string())
        && attempt.as_deref() == Some(&*dispatch.attempt.to_string());
    if is_match {
        return Ok(());
    }
    Err(invalid_answer(
        "the answer does not echo the headers oriolereel-request and oriolereel-attempt",
    ))
}

fn invalid_answer(detail: &str) -> error::Error {
    error::Error::new(error::Kind::AnswerInvalid, detail)
}

fn dispatch_error(err: &ureq::Error) -> error::Error {
    match err {
        // Without a connection, no part of the request has been sent.
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            error::Error::new(error::Kind::Unreachable, err.to_string()).with_ran(error::Ran::No)
        }
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            error::Error::new(error::Kind::Unreachable, err.to_string()).with_ran(error::Ran::No)
        }
        ureq::Error::Timeout(_) => error::Error::new(
            error::Kind::Deadline,
            "the target did not answer before the deadline",
        ),
        _ => error::Error::new(error::Kind::TargetFailed, err.to_string())
            .with_ran(error::Ran::Unknown),
    }
}

fn read_error(err: &ureq::Error, max_bytes: u64) -> error::Error {
    match err {
        ureq::Error::BodyExceedsLimit(_) => {
            invalid_answer(&format!("the answer is larger than {max_bytes} bytes"))
        }
        ureq::Error::Timeout(_) => error::Error::new(
            error::Kind::Deadline,
            "the target's answer was not complete before the deadline",
        )
        .with_ran(error::Ran::Yes),
        _ => invalid_answer(&format!("the answer could not be read completely: {err}")),
    }
}
