//! A stand-in target: answers requests after a while, or misbehaves as a request's body asks.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::backend::{self, Result, client};
use crate::error;
use crate::map;
use crate::serve;

/// Interval of announcements.
const NEWS_INTERVAL: Duration = Duration::from_millis(500);

/// Pause before a body is broken off.
const HALF_PAUSE: Duration = Duration::from_millis(200);

/// Most bytes of a request.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Settings of a stand-in target.
#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    pub listen: SocketAddr,
    pub services: Vec<String>,
    pub slots: u32,
    pub connections: u32,
    /// The agent beside it.
    pub agent: SocketAddr,
    /// Time that a request takes if it names none.
    pub service_time: Duration,
}

/// How the stand-in treats a request, as the member `standin` of its JSON body says.
#[derive(Clone, Debug, Default, Deserialize)]
struct Script {
    work_ms: Option<u64>,
    #[serde(default)]
    fault: Fault,
    /// Bytes of the answer, when it is to be large.
    bytes: Option<usize>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Fault {
    #[default]
    None,
    /// Declares a longer body than it sends.
    Truncate,
    /// Names another request in its answer.
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
struct Answer<'a> {
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
    runs: Mutex<map::Map<String, u32>>,
    news: Mutex<(bool, bool, bool)>,
}

impl Target {
    /// Starts serving and announcing.
    ///
    /// # Errors
    /// `Unreachable` when the address cannot be listened on.
    pub fn start(options: Options) -> Result<Self> {
        let listen = options.listen;
        let news = Mutex::new((true, false, true));
        let state = Arc::new(State {
            options,
            runs: Mutex::default(),
            news,
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

    /// How often requests with this key have run; the key is the body's text.
    pub fn runs(&self, body: &str) -> u32 {
        let runs = self
            .state
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        runs.get(body).copied().unwrap_or(0)
    }

    /// Sets what the target announces: ready, leaving, and whether it announces at all.
    pub fn set_announcement(&self, ready: bool, leaving: bool, announces: bool) {
        let mut news = self
            .state
            .news
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *news = (ready, leaving, announces);
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
        let name = |header: &str| serve::header(request, header).map(Option::unwrap_or_default);
        let (id, attempt) = (
            name(backend::REQUEST_HEADER)?,
            name(backend::ATTEMPT_HEADER)?,
        );
        let path = request.uri().path();
        let answer = Answer {
            service: path.rsplit('/').next().unwrap_or_default(),
            request: id,
            account: name(backend::ACCOUNT_HEADER)?,
            gang: name(backend::GANG_HEADER)?.split(',').collect(),
            done_by: &self.0.options.name,
        };
        let mut response = match script.bytes {
            Some(bytes) => serve::respond(
                200,
                "application/octet-stream",
                serve::Body::whole(vec![7; bytes]),
            ),
            None if script.fault == Fault::Error => serve::text(500, "the stand-in was told to\n"),
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
            serve::insert(&mut response, header, value);
        }
        if script.fault == Fault::Truncate {
            return Ok(truncated(response));
        }
        Ok(response)
    }
}

/// A body that ends half way, after what there is of it has left.
struct Half(Option<&'static [u8]>);

impl std::io::Read for Half {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        match self.0.take() {
            Some(half) => {
                buf[..half.len()].copy_from_slice(half);
                Ok(half.len())
            }
            None => {
                thread::sleep(HALF_PAUSE);
                Ok(0)
            }
        }
    }
}

/// Keeps the headers and breaks the body off half way.
fn truncated(response: serve::Response) -> serve::Response {
    const DECLARED: u64 = 100;
    let (mut parts, _body) = response.into_parts();
    parts.headers.insert("content-length", DECLARED.into());
    http::Response::from_parts(
        parts,
        serve::Body::parts(Half(Some(b"half an answer")), DECLARED),
    )
}

fn announce(state: &State, addr: SocketAddr) {
    let client = client::Client::new(1);
    let options = &state.options;
    loop {
        let (ready, leaving, announces) =
            *state.news.lock().unwrap_or_else(PoisonError::into_inner);
        let news = backend::TargetAnnouncement {
            name: options.name.clone(),
            addr,
            services: options.services.clone(),
            slots: options.slots,
            connections: options.connections,
            ready,
            leaving,
        };
        if announces && let Err(err) = client.announce(options.agent, "/v1/platform/targets", &news)
        {
            log::debug!("announcement failed: {err}");
        }
        thread::sleep(NEWS_INTERVAL);
    }
}
