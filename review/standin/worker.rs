//! A stand-in for a minion, as the pages describe it: it runs tasks under leases, lists them, and
//! reports itself to the process on its machine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, Server};
use crate::json;
use crate::record::Record;

/// Longest lease (`holdMaxMs`).
const HOLD_MAX_MS: u64 = 6_000;

/// Time that a stop takes; `stopTimeoutMs` is the most that is allowed.
const STOP_MS: u64 = 100;

/// Interval of the reports (`heartbeatMs`).
const BEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Rows of `ended` in one answer.
const MAX_ENDED_ROWS: usize = 500;

/// Where a minion is and what it is.
#[derive(Clone, Debug)]
pub struct Place {
    /// Name of the minion's machine, for the record.
    pub machine: String,
    /// Address at which the minion accepts calls (`app`).
    pub app: SocketAddr,
    /// `controlPlane` address on its machine.
    pub agent: SocketAddr,
    pub zone: String,
    pub rack: String,
    pub service: String,
    pub cpu: u64,
}

struct Active {
    run: u64,
    began: Instant,
    work_ms: u64,
    stops_at: Option<Instant>,
}

struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// One life of a minion.
struct Life {
    id: String,
    born: u64,
    start: Instant,
    fence: u64,
    lease_end_ms: u64,
    active: BTreeMap<String, Active>,
    ended: Vec<Ended>,
    next_end: u64,
    /// Highest run that was stopped or has ended, by task.
    closed: BTreeMap<String, u64>,
    sequence: u64,
    draining: bool,
    is_healthy: bool,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        1_000 + self.start.elapsed().as_millis() as u64
    }
}

struct Shared {
    place: Place,
    record: Arc<Record>,
    life: Mutex<Option<Life>>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
}

/// A minion; clones share it.
#[derive(Clone)]
pub struct Worker(Arc<Shared>);

/// Returns the Unix milliseconds.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

impl Worker {
    /// Creates a minion that is not up yet.
    pub fn new(place: Place, record: Arc<Record>) -> Self {
        let worker = Self(Arc::new(Shared {
            place,
            record,
            life: Mutex::default(),
            changed: Condvar::new(),
            server: Mutex::default(),
        }));
        let ticking = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                ticking.tick();
            }
        });
        worker
    }

    fn life(&self) -> MutexGuard<'_, Option<Life>> {
        self.0.life.lock().unwrap()
    }

    /// Returns the machine's name.
    pub fn machine(&self) -> &str {
        &self.0.place.machine
    }

    /// Returns the id and the `born` of this life, if the minion is up.
    pub fn identity(&self) -> Option<(String, u64)> {
        let life = self.life();
        life.as_ref().map(|life| (life.id.clone(), life.born))
    }

    /// Starts a life. Its first report is sent after `first_beat`, the others each `heartbeatMs`.
    pub fn start(&self, id: &str, first_beat: Duration) -> std::io::Result<()> {
        let born = wall_ms();
        *self.life() = Some(Life {
            id: id.to_owned(),
            born,
            start: Instant::now(),
            fence: 0,
            lease_end_ms: 0,
            active: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            closed: BTreeMap::new(),
            sequence: 0,
            draining: false,
            is_healthy: true,
        });
        self.0.record.line(format_args!(
            "minion {id} starts on {}, born {born}",
            self.machine()
        ));
        let handler = self.clone();
        let server = Server::start(
            self.0.place.app,
            Arc::new(move |request| handler.handle(&request)),
        )?;
        *self.0.server.lock().unwrap() = Some(server);
        let beating = self.clone();
        thread::spawn(move || {
            thread::sleep(first_beat);
            while beating.beat(born) {
                thread::sleep(BEAT_INTERVAL);
            }
        });
        Ok(())
    }

    /// Ends this life at once, with everything that runs.
    pub fn crash(&self, why: &str) {
        let life = self.life().take();
        if let Some(mut server) = self.0.server.lock().unwrap().take() {
            server.kill();
        }
        if let Some(life) = life {
            let (id, machine) = (&life.id, self.machine());
            self.0
                .record
                .line(format_args!("minion {id} on {machine} ends: {why}"));
            for (task, active) in &life.active {
                self.0.record.ended(task, active.run, &life.id, "gone");
            }
        }
        self.0.changed.notify_all();
    }

    /// Makes the minion say in its reports that it drains, and sends one.
    pub fn drain(&self) -> Option<u16> {
        let born = {
            let mut life = self.life();
            let life = life.as_mut()?;
            life.draining = true;
            life.born
        };
        self.send_beat(born)
    }

    /// Returns the body of the next report of a life, or nothing if it has ended.
    pub fn next_beat(&self, born: u64) -> Option<(String, String)> {
        let mut life = self.life();
        let life = life.as_mut().filter(|life| life.born == born)?;
        life.sequence += 1;
        let place = &self.0.place;
        let remaining = if life.draining {
            ",\"remainingMs\":2500"
        } else {
            ""
        };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{}\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":524288,\"gpu\":8}},\
             \"labels\":[\"a\",\"{}\"],\"clockMs\":{},\"sequence\":{},\"born\":{}{remaining}}}",
            place.service,
            place.app,
            place.zone,
            if life.draining { "draining" } else { "ready" },
            place.cpu,
            place.rack,
            life.clock_ms(),
            life.sequence,
            life.born,
        );
        Some((life.id.clone(), body))
    }

    /// Sends a report to the process on the machine, and returns the status of the answer.
    pub fn send_to_agent(&self, id: &str, call: &str, body: &str) -> Option<u16> {
        let path = format!("/-/instances/{id}/{call}");
        let timeout = Duration::from_millis(1_000);
        let answer = http::call(self.0.place.agent, "POST", &path, &[], body, timeout);
        let status = answer.as_ref().map(|(status, _body)| *status).ok();
        self.0.record.quiet(format_args!(
            "{id} sends {call} to {}: {}",
            self.machine(),
            match &answer {
                Ok((status, _body)) => status.to_string(),
                Err(err) => err.to_string(),
            }
        ));
        status
    }

    fn send_beat(&self, born: u64) -> Option<u16> {
        let (id, body) = self.next_beat(born)?;
        self.send_to_agent(&id, "heartbeat", &body)
    }

    /// Sends a report and tells whether the life goes on.
    fn beat(&self, born: u64) -> bool {
        self.send_beat(born);
        self.life().as_ref().is_some_and(|life| life.born == born)
    }

    fn tick(&self) {
        let mut guard = self.life();
        let Some(life) = guard.as_mut() else {
            return;
        };
        let now = Instant::now();
        let has_lapsed = life.clock_ms() > life.lease_end_ms;
        let mut ends: Vec<(String, &'static str)> = Vec::new();
        for (task, active) in &life.active {
            let is_done = now >= active.began + Duration::from_millis(active.work_ms);
            if active.stops_at.is_some_and(|at| now >= at) {
                ends.push((task.clone(), "stopped"));
            } else if has_lapsed {
                ends.push((task.clone(), "lapsed"));
            } else if is_done && active.stops_at.is_none() {
                ends.push((task.clone(), "done"));
            }
        }
        for (task, how) in &ends {
            if let Some(active) = life.active.remove(task) {
                let closed = life.closed.entry(task.clone()).or_default();
                *closed = (*closed).max(active.run);
                self.0.record.ended(task, active.run, &life.id, how);
                life.ended.push(Ended {
                    number: life.next_end,
                    task: task.clone(),
                    run: active.run,
                    how,
                });
                life.next_end += 1;
            }
        }
        drop(guard);
        if !ends.is_empty() {
            self.0.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Option<(u16, String)> {
        if request.method == "GET" {
            let guard = self.life();
            let is_healthy = guard.as_ref()?.is_healthy;
            return Some((if is_healthy { 200 } else { 503 }, "{}".to_owned()));
        }
        let body = json::parse(&request.body);
        let mut guard = self.life();
        let life = guard.as_mut()?;
        if request
            .header("expect-instance")
            .is_some_and(|id| id != life.id)
        {
            return Some((421, format!("{{\"clockMs\":{}}}", life.clock_ms())));
        }
        let Some(body) = body else {
            return Some((400, "{}".to_owned()));
        };
        let token = body.number("fencingToken").unwrap_or(0);
        if token < life.fence {
            return Some(refusal(life, "fence"));
        }
        life.fence = token;
        match request.path.as_str() {
            "/-/run-start" => Some(self.run_start(life, &body)),
            "/-/run-stop" => {
                let task = body.text("taskId")?.to_owned();
                let run = body.number("runId")?;
                let closed = life.closed.entry(task.clone()).or_default();
                *closed = (*closed).max(run);
                if let Some(active) = life
                    .active
                    .get_mut(&task)
                    .filter(|active| active.run <= run)
                {
                    let stops_at = Instant::now() + Duration::from_millis(STOP_MS);
                    active.stops_at.get_or_insert(stops_at);
                }
                self.0
                    .record
                    .quiet(format_args!("{} is told to stop {task} run {run}", life.id));
                Some((200, format!("{{\"clockMs\":{}}}", life.clock_ms())))
            }
            "/-/hold" => {
                let born = life.born;
                extend(life, &body);
                let cursor = body.number("ackCursor").unwrap_or(0);
                let (noted, open): (Vec<Ended>, Vec<Ended>) = std::mem::take(&mut life.ended)
                    .into_iter()
                    .partition(|ended| ended.number <= cursor);
                life.ended = open;
                for ended in noted {
                    self.0.record.noted(&ended.task, ended.run, &life.id);
                }
                let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0));
                let until = Instant::now() + wait.min(Duration::from_millis(2_000));
                drop(guard);
                self.listing(born, until)
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn run_start(&self, life: &mut Life, body: &json::Value) -> (u16, String) {
        let (Some(task), Some(run)) = (body.text("taskId"), body.number("runId")) else {
            return (400, "{}".to_owned());
        };
        if !life.is_healthy {
            return (503, format!("{{\"clockMs\":{}}}", life.clock_ms()));
        }
        if body.number("expiresMs").unwrap_or(0) <= life.clock_ms() {
            return refusal(life, "late");
        }
        extend(life, body);
        let is_old = life.closed.get(task).is_some_and(|closed| run <= *closed);
        match life.active.get(task) {
            Some(active) if active.run == run => {}
            Some(active) if active.run > run => return refusal(life, "old"),
            _ if is_old => return refusal(life, "old"),
            before => {
                // A later run of a task takes the place of an earlier one.
                if let Some(before) = before {
                    self.0.record.ended(task, before.run, &life.id, "stopped");
                }
                let work_ms = body.text("spec").and_then(|spec| spec.parse().ok());
                let active = Active {
                    run,
                    began: Instant::now(),
                    work_ms: work_ms.unwrap_or(1_000),
                    stops_at: None,
                };
                life.active.insert(task.to_owned(), active);
                self.0.record.began(task, run, &life.id);
            }
        }
        (200, format!("{{\"clockMs\":{}}}", life.clock_ms()))
    }

    /// Answers with both lists, once there is an end or the time is over.
    fn listing(&self, born: u64, until: Instant) -> Option<(u16, String)> {
        let mut guard = self.life();
        loop {
            let life = guard.as_ref().filter(|life| life.born == born)?;
            let remaining = until.saturating_duration_since(Instant::now());
            if !life.ended.is_empty() || remaining.is_zero() {
                break;
            }
            guard = self.0.changed.wait_timeout(guard, remaining).unwrap().0;
        }
        let life = guard.as_ref().filter(|life| life.born == born)?;
        let active: Vec<String> = life
            .active
            .iter()
            .map(|(task, active)| {
                let done_ms = active.began.elapsed().as_millis() as u64;
                let percent = (done_ms * 100 / active.work_ms.max(1)).min(99);
                format!("[\"{task}\",{},\"\",{percent},0]", active.run)
            })
            .collect();
        let ended: Vec<String> = life
            .ended
            .iter()
            .take(MAX_ENDED_ROWS)
            .map(|ended| {
                format!(
                    "[{},\"{}\",{},\"{}\",\"\"]",
                    ended.number, ended.task, ended.run, ended.how
                )
            })
            .collect();
        Some((
            200,
            format!(
                "{{\"clockMs\":{},\"active\":[{}],\"ended\":[{}],\"born\":{}}}",
                life.clock_ms(),
                active.join(","),
                ended.join(","),
                life.born
            ),
        ))
    }
}

/// Extends the lease of everything that runs; it never shortens.
fn extend(life: &mut Life, body: &json::Value) {
    if let Some(expires_ms) = body.number("expiresMs") {
        let longest_ms = life.clock_ms() + HOLD_MAX_MS;
        life.lease_end_ms = life.lease_end_ms.max(expires_ms.min(longest_ms));
    }
}

fn refusal(life: &Life, reason: &str) -> (u16, String) {
    let clock_ms = life.clock_ms();
    (
        409,
        format!("{{\"clockMs\":{clock_ms},\"reason\":\"{reason}\"}}"),
    )
}
