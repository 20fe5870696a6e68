//! Stand-in for a target: answers requests after a delay, or fails as the request's body asks.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::backend::{self, Result, client};
use crate::error;
use crate::map;
use crate::serve;

/// Interval between announcements.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Pause before a truncated body ends.
const TRUNCATION_PAUSE: Duration = Duration::from_millis(200);

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Settings of a stand-in target.
#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    pub listen: SocketAddr,
    pub services: Vec<String>,
    pub slots: u32,
    pub connections: u32,
    /// Address of the agent beside it, to which it announces itself.
    pub agent: SocketAddr,
    /// Time that a request takes unless its body sets another.
    pub service_time: Duration,
}

/// Behaviour for one request, from the member `standin` of its JSON body.
#[derive(Clone, Debug, Default, Deserialize)]
struct Script {
    work_ms: Option<u64>,
    #[serde(default)]
    fault: Fault,
    /// Size of the answer; unset for the usual JSON answer.
    bytes: Option<usize>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Fault {
    #[default]
    None,
    /// Declares a longer body than it sends.
    Truncate,
    /// Echoes the id of another request.
    Cross,
    /// Answers with status 500.
    Error,
    /// Never answers.
    Silence,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct Body {
    #[serde(default)]
    standin: Script,
}

#[derive(Clone, Debug, Serialize)]
struct AnswerBody<'a> {
    service: &'a str,
    request: &'a str,
    account: &'a str,
    gang: Vec<&'a str>,
    done_by: &'a str,
}

/// A running stand-in target.
#[derive(Clone, Debug)]
pub struct Target {
    pub addr: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    options: Options,
    /// Number of runs by the text of the request's body.
    runs: Mutex<map::Map<String, u32>>,
    /// Announced states `ready` and `leaving`, and whether the target announces itself.
    announcement: Mutex<(bool, bool, bool)>,
}

impl Target {
    /// Starts to serve requests and to announce the target.
    ///
    /// # Errors
    /// Returns `Unreachable` when the process cannot listen on the address.
    pub fn start(options: Options) -> Result<Self> {
        let listen = options.listen;
        let announcement = Mutex::new((true, false, true));
        let state = Arc::new(State {
            options,
            runs: Mutex::default(),
            announcement,
        });
        let handler = Arc::new(Service(Arc::clone(&state)));
        let addr = serve::start(listen, 128, Arc::default(), handler)?;
        let shared = Arc::clone(&state);
        let spawned = thread::Builder::new()
            .name("target-news".to_owned())
            .spawn(move || announce(&shared, addr));
        spawned.map_err(|err| error::Error::new(error::Kind::Internal, err.to_string()))?;
        Ok(Self { addr, state })
    }

    /// Returns how often requests with this body have run.
    pub fn runs(&self, body: &str) -> u32 {
        let runs = self
            .state
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        runs.get(body).copied().unwrap_or(0)
    }

    /// Sets the announced states `ready` and `leaving`, and whether the target announces itself.
    pub fn set_announcement(&self, ready: bool, leaving: bool, announces: bool) {
        let mut announcement = self
            .state
            .announcement
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *announcement = (ready, leaving, announces);
    }
}

struct Service(Arc<State>);

impl serve::Handler for Service {
    fn max_body_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }

    fn handle(&self, request: &serve::Request) -> serve::Response {
        self.answer(request)
            .unwrap_or_else(|err| serve::problem(&err))
    }
}

impl Service {
    fn answer(&self, request: &serve::Request) -> Result<serve::Response> {
        let text = String::from_utf8_lossy(request.body()).into_owned();
        let script = serde_json::from_str::<Body>(&text)
            .unwrap_or_default()
            .standin;
        {
            let mut runs = self.0.runs.lock().unwrap_or_else(PoisonError::into_inner);
            *runs.entry(text).or_default() += 1
        };
        let work = script
            .work_ms
            .map_or(self.0.options.service_time, Duration::from_millis);
        thread::sleep(work);
        if script.fault == Fault::Silence {
            thread::sleep(Duration::from_secs(3_600));
        }
        let value = |header: &str| serve::header(request, header).map(Option::unwrap_or_default);
        let (id, attempt) = (
            value(backend::REQUEST_HEADER)?,
            value(backend::ATTEMPT_HEADER)?,
        );
        let path = request.uri().path();
        let answer = AnswerBody {
            service: path.rsplit('/').next().unwrap_or_default(),
            request: id,
            account: value(backend::ACCOUNT_HEADER)?,
            gang: value(backend::GANG_HEADER)?.split(',').collect(),
            done_by: &self.0.options.name,
        };
        let mut response = match script.bytes {
            Some(bytes) => serve::response(
                200,
                "application/octet-stream",
                serve::Body::whole(vec![7; bytes]),
            ),
            None if script.fault == Fault::Error => {
                serve::text(500, "the request asked for this error\n")
            }
            None => serve::json(200, &answer),
        };
        let echoed = if script.fault == Fault::Cross {
            "0"
        } else {
            id
        };
        let headers = [
            (backend::REQUEST_HEADER, echoed),
            (backend::ATTEMPT_HEADER, attempt),
        ];
        for (header, value) in headers {
            serve::insert_header(&mut response, header, value);
        }
        if script.fault == Fault::Truncate {
            return Ok(truncate(response));
        }
        Ok(response)
    }
}

/// Body that ends before its declared length. It pauses first, so that its prefix is sent.
struct TruncatedBody(Option<&'static [u8]>);

impl std::io::Read for TruncatedBody {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        match self.0.take() {
            Some(prefix) => {
                buf[..prefix.len()].copy_from_slice(prefix);
                Ok(prefix.len())
            }
            None => {
                thread::sleep(TRUNCATION_PAUSE);
                Ok(0)
            }
        }
    }
}

/// Replaces the body by one that is shorter than the response declares.
fn truncate(response: serve::Response) -> serve::Response {
    const DECLARED_BYTES: u64 = 100;
    let (mut parts, _body) = response.into_parts();
    parts
        .headers
        .insert("content-length", DECLARED_BYTES.into());
    http::Response::from_parts(
        parts,
        serve::Body::stream(TruncatedBody(Some(b"partial answer")), DECLARED_BYTES),
    )
}

fn announce(state: &State, addr: SocketAddr) {
    let client = client::Client::new(1);
    let options = &state.options;
    loop {
        let (ready, leaving, announces) = *state
            .announcement
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let announcement = backend::TargetAnnouncement {
            name: options.name.clone(),
            addr,
            services: options.services.clone(),
            slots: options.slots,
            connections: options.connections,
            ready,
            leaving,
        };
        if announces
            && let Err(err) = client.announce(options.agent, "/v1/platform/targets", &announcement)
        {
            log::debug!("announcement failed: {err}");
        }
        thread::sleep(ANNOUNCEMENT_INTERVAL);
    }
}
