//! Threads of an entry and its HTTP endpoints.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::agent;
use crate::clock;
use crate::config;
use crate::control::{group, leader};
use crate::entry::{answer, headers, request};
use crate::error::{self, Kind};
use crate::ledger;
use crate::limit;
use crate::roster;
use crate::serve;
use crate::telemetry;
use crate::uplink;
use crate::wire::frame::{self, Frame};
use crate::wire::transport;

/// Maximum share of the requests in progress that one account may have, in percent.
const MAX_ACCOUNT_PERCENT: usize = 25;

/// Threads in addition to those for callers' requests; they serve announcements, health and
/// metrics.
const SPARE_THREADS: usize = 16;

/// Time limit of a call to control that neither submits nor follows a job.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(8);

/// Prefix of the paths at which workers announce themselves.
const PLATFORM_PATH_PREFIX: &str = "/v1/platform/";

/// Time past a request's deadline that its caller still waits for control to report the outcome.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    pub region: String,
    pub http: SocketAddr,
    /// Addresses of the control members, the nearest first.
    pub control: Vec<SocketAddr>,
    /// Maximum number of requests in progress.
    pub max_in_flight: usize,
    pub max_body_bytes: usize,
    /// Delay added to each direction of a message, for measurements.
    pub delay: Duration,
    /// Budget of the HTTP servers of the process.
    pub budget: serve::Budget,
}

/// A running entry.
#[derive(Debug)]
pub struct Daemon {
    pub http: SocketAddr,
    gate: Arc<serve::Gate>,
}

/// Starts an entry.
///
/// # Errors
/// Returns `Unreachable` when the process cannot listen on the address.
pub fn start(options: &Options) -> error::Result<Daemon> {
    let delay = options.delay;
    let transport = transport::Transport::start(transport::Options {
        delay,
        ..transport::Options::default()
    })?;
    let group = group::Group::new(transport, options.control.clone());
    let cache: Arc<uplink::Cache> = Arc::default();
    let roster: Arc<Mutex<roster::Roster>> = Arc::default();
    let gate: Arc<serve::Gate> = Arc::default();
    let per_account = (options.max_in_flight * MAX_ACCOUNT_PERCENT / 100).max(1);
    let service = Arc::new(Service {
        options: options.clone(),
        group: group.clone(),
        cache: Arc::clone(&cache),
        roster: Arc::clone(&roster),
        permits: limit::Permits::new(options.max_in_flight, per_account),
        rate_limiter: Mutex::default(),
        gate: Arc::clone(&gate),
        next_key: AtomicU64::new(uplink::incarnation()),
    });
    let threads = options.max_in_flight + SPARE_THREADS;
    let gate_of_http = Arc::clone(&gate);
    let http = serve::start_within(
        &options.budget,
        options.http,
        threads,
        gate_of_http,
        service,
    )?;
    let identity = uplink::Identity {
        node: frame::Node {
            name: options.name.clone(),
            role: frame::Role::Entry,
            region: options.region.clone(),
            addr: http,
            incarnation: uplink::incarnation(),
            generation: 0,
        },
        cache,
    };
    uplink::watch(identity.clone(), group.clone(), uplink::Ignore)?;
    uplink::report(identity, group, roster, Arc::default())?;
    log::info!(http:% = http; "entry started");
    Ok(Daemon { http, gate })
}

impl Daemon {
    /// Refuses new requests and waits up to `timeout` for those in progress; returns whether all
    /// ended.
    pub fn stop(&self, timeout: Duration) -> bool {
        self.gate.close();
        self.gate.drain(timeout)
    }
}

struct Service {
    options: Options,
    group: group::Group,
    cache: Arc<uplink::Cache>,
    roster: Arc<Mutex<roster::Roster>>,
    permits: Arc<limit::Permits>,
    rate_limiter: Mutex<limit::RateLimiter>,
    gate: Arc<serve::Gate>,
    next_key: AtomicU64,
}

impl serve::Handler for Service {
    fn max_body_bytes(&self) -> usize {
        self.options.max_body_bytes
    }

    fn handle(&self, request: &serve::Request) -> serve::Response {
        let start = Instant::now();
        let result = self.route(request);
        let is_caller_request = !request.uri().path().starts_with(PLATFORM_PATH_PREFIX);
        if is_caller_request {
            record_request(&result, start.elapsed());
        }
        result.unwrap_or_else(|err| serve::problem(&err))
    }

    fn readiness(&self) -> std::result::Result<(), String> {
        if !self.cache.is_fresh() {
            return Err("no recent contact with the control group".to_owned());
        }
        if self.cache.config().generation == 0 {
            return Err("no configuration has been applied yet".to_owned());
        }
        Ok(())
    }
}

impl Service {
    fn route(&self, request: &serve::Request) -> error::Result<serve::Response> {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let method = request.method().as_str().to_owned();
        match (method.as_str(), parts.as_slice()) {
            ("POST", ["v1", "services", service, "requests"]) => self.submit(request, service),
            ("GET", ["v1", "requests", id]) => self.get(request, id),
            ("DELETE", ["v1", "requests", id]) => self.cancel(request, id),
            ("GET", ["v1", "requests", id, "decisions"]) => self.decisions(request, id),
            ("POST", ["v1", "platform", "workers"]) => {
                agent::daemon::record_worker(request, &self.roster)?;
                Ok(serve::json(200, &serde_json::json!({ "ok": true })))
            }
            (_, ["v1", "services", _, "requests"] | ["v1", "requests", _]) => {
                let detail = format!("method {method} is not supported at {path}");
                Err(error::Error::new(Kind::WrongMethod, detail))
            }
            _ => {
                let detail = format!("nothing is served at {path}");
                Err(error::Error::new(Kind::UnknownPath, detail))
            }
        }
    }

    /// Authenticates the caller; returns the configuration in force and the caller's account.
    fn authenticate(
        &self,
        request: &serve::Request,
    ) -> error::Result<(Arc<config::Config>, String)> {
        if !self.cache.is_fresh() {
            let detail = "this entry had no recent contact with the control group";
            return Err(error::Error::new(Kind::StaleConfiguration, detail));
        }
        let config = self.cache.config();
        let token = headers::token(request)?;
        let account = config.account_of(token).map(str::to_owned);
        let account = account.ok_or_else(|| {
            error::Error::new(
                Kind::Unauthorized,
                "the bearer token does not belong to any account",
            )
        })?;
        Ok((config, account))
    }

    fn submit(&self, http: &serve::Request, name: &str) -> error::Result<serve::Response> {
        if self.gate.is_closing() {
            let detail = "this entry is shutting down; send the request again";
            return Err(error::Error::new(Kind::ShuttingDown, detail));
        }
        let (config, account) = self.authenticate(http)?;
        let service = config
            .services
            .get(name)
            .filter(|service| service.admits(&account));
        let service = service.ok_or_else(|| leader::unknown_service(name))?;
        let headers = headers::Headers::read(http)?;
        let permit = self.admit(&config, &account)?;
        let body = http.body().clone();
        let deadline = headers
            .deadline
            .unwrap_or_else(|| Duration::from_secs(u64::from(service.deadline_s)));
        let key = headers.key.unwrap_or_else(|| self.new_key());
        let request = ledger::Request {
            account: account.clone(),
            service: name.to_owned(),
            key: key.clone(),
            region: self.options.region.clone(),
            repeatable: headers.repeatable,
            content_type: headers.content_type,
            digest: digest(name, headers.repeatable, &body),
            body,
            deadline_ms: deadline.as_millis() as u64,
        };
        let tracker = self.tracker(&account, headers.wait.min(deadline + DEADLINE_GRACE));
        let start = Instant::now();
        let view = tracker.submit(request)?;
        let reply = tracker.follow(view);
        drop(permit);
        let reply = reply?;
        if matches!(reply, request::Reply::Accepted { .. }) && start.elapsed() > deadline {
            let detail = "the deadline passed before control reported an outcome";
            return Err(error::Error::new(Kind::Deadline, detail));
        }
        let mut response = self.respond(reply);
        serve::insert_header(&mut response, headers::KEY, &key);
        Ok(response)
    }

    /// Checks the account's limits; returns a permit for a request in progress.
    fn admit(&self, config: &config::Config, account: &str) -> error::Result<limit::Permit> {
        let account_config = config.accounts.get(account);
        let rate = account_config.map_or(1, |account| account.rate_per_s);
        let is_allowed = {
            let mut rate_limiter = self
                .rate_limiter
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            rate_limiter.take(account, rate, clock::mono_ms())
        };
        if !is_allowed {
            let detail = format!(
                "account `{account}` exceeded its rate limit of {rate} requests per second"
            );
            return Err(error::Error::new(Kind::RateLimited, detail));
        }
        self.permits
            .take(account)
            .map_err(|exhausted| match exhausted {
                limit::Exhausted::Account => error::Error::new(
                    Kind::QueueFull,
                    "the account has too many requests in progress at this entry",
                ),
                limit::Exhausted::Total => error::Error::new(
                    Kind::Overloaded,
                    "this entry has too many requests in progress",
                ),
            })
    }

    fn get(&self, http: &serve::Request, id: &str) -> error::Result<serve::Response> {
        let (config, account) = self.authenticate(http)?;
        let permit = self.admit(&config, &account)?;
        let job = parse_job_id(id)?;
        let tracker = self.tracker(&account, headers::wait(http)?);
        let view = tracker.view(job, 0, Duration::ZERO)?;
        let reply = tracker.follow(view);
        drop(permit);
        reply.map(|reply| self.respond(reply))
    }

    fn cancel(&self, http: &serve::Request, id: &str) -> error::Result<serve::Response> {
        let (_config, account) = self.authenticate(http)?;
        let job = parse_job_id(id)?;
        let cancel = Frame::Cancel {
            account: account.clone(),
            job,
        };
        let answer = self.group.call(&cancel, CONTROL_TIMEOUT, CONTROL_TIMEOUT)?;
        let (state, ran) = match answer {
            Frame::View(frame::View {
                stage: frame::Stage::Ended { outcome, .. },
                ..
            }) => match outcome.kind {
                None => ("answered", outcome.ran),
                Some(kind) => (kind.row().name, outcome.ran),
            },
            // The cancellation is durable, but the job's agent has not confirmed it yet.
            _ => ("cancelling", error::Ran::Unknown),
        };
        Ok(serve::json(
            200,
            &serde_json::json!({ "request": job, "state": state, "ran": ran }),
        ))
    }

    fn decisions(&self, http: &serve::Request, id: &str) -> error::Result<serve::Response> {
        let (_config, account) = self.authenticate(http)?;
        let job = parse_job_id(id)?;
        match self.group.call(
            &Frame::Decisions { account, job },
            Duration::ZERO,
            CONTROL_TIMEOUT,
        )? {
            Frame::Document(text) => Ok(serve::response(
                200,
                "application/json",
                serve::Body::whole(text),
            )),
            _ => Err(error::Error::new(
                Kind::Internal,
                "unexpected reply from the leader, expected the decisions on a request",
            )),
        }
    }

    fn tracker<'a>(
        &'a self,
        account: &'a str,
        wait: Duration,
    ) -> request::Tracker<'a, group::Group, transport::Transport> {
        request::Tracker {
            control: &self.group,
            source: self.group.transport(),
            account,
            until: Instant::now() + wait,
        }
    }

    fn respond(&self, reply: request::Reply) -> serve::Response {
        match reply {
            request::Reply::Accepted { job } => accepted_response(job),
            request::Reply::Inline { job, answer, body } => {
                let body = serve::Body::whole(body);
                let mut response = serve::response(answer.status, &answer.content_type, body);
                insert_answer_headers(&mut response, job, answer.attempt, answer.checksum);
                response
            }
            request::Reply::Remote { agent, head } => self.stream(agent, *head),
        }
    }

    /// Streams an answer from its agent, so that the entry never holds it in memory as a whole.
    fn stream(&self, agent: SocketAddr, head: frame::Part) -> serve::Response {
        let (status, length) = (head.status, head.length);
        let (job, attempt, checksum) = (head.job, head.attempt, head.checksum);
        let content_type = head.content_type.clone();
        let reader = answer::Reader::new(self.group.transport().clone(), agent, head);
        if let Err(err) = reader.check() {
            return serve::problem(&error::Error::new(Kind::AnswerInvalid, err.to_string()));
        }
        let body = serve::Body::stream(reader, length);
        let mut response = serve::response(status, &content_type, body);
        insert_answer_headers(&mut response, job, attempt, checksum);
        response
    }

    fn new_key(&self) -> String {
        let number = self.next_key.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.options.name)
    }
}

/// Counts and logs the result of a caller's request.
fn record_request(result: &error::Result<serve::Response>, elapsed: Duration) {
    let kind = result
        .as_ref()
        .err()
        .map_or("answered", |err| err.kind.row().name);
    telemetry::REQUESTS.with_label_values(&[kind]).inc();
    telemetry::REQUEST_SECONDS.observe(elapsed.as_secs_f64());
    let id_header = result
        .as_ref()
        .ok()
        .and_then(|response| response.headers().get(headers::REQUEST));
    let request = id_header
        .and_then(|value| value.to_str().ok())
        .unwrap_or("-");
    let detail = result
        .as_ref()
        .err()
        .map_or("request answered", |err| err.detail.as_str());
    let ms = elapsed.as_millis() as u64;
    log::info!(request = request, kind = kind, ms = ms; "{detail}");
}

/// Returns the checksum that distinguishes a reused idempotency key from a request sent again.
fn digest(service: &str, repeatable: bool, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(service.as_bytes());
    hasher.update(&[0, u8::from(repeatable)]);
    hasher.update(body);
    hasher.finalize()
}

fn parse_job_id(text: &str) -> error::Result<u64> {
    text.parse()
        .map_err(|_not_a_number| leader::unknown_request())
}

fn accepted_response(job: u64) -> serve::Response {
    let location = format!("/v1/requests/{job}");
    let body = serde_json::json!({ "request": job, "state": "accepted", "location": location });
    let mut response = serve::json(202, &body);
    serve::insert_header(&mut response, "location", &location);
    serve::insert_header(&mut response, headers::REQUEST, &job.to_string());
    response
}

fn insert_answer_headers(response: &mut serve::Response, job: u64, attempt: u32, checksum: u32) {
    serve::insert_header(response, headers::REQUEST, &job.to_string());
    serve::insert_header(response, headers::ATTEMPT, &attempt.to_string());
    serve::insert_header(response, headers::CHECKSUM, &format!("{checksum:08x}"));
}
