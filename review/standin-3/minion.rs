//! Stand-ins for the minions, as the pages describe them: they run tasks under leases, list them and
//! announce themselves to the agent beside them. All share one record of what was run.
//!
//! What a task does stands in its job's `spec`, which only clients and minions read: `work=MS` ends
//! `done` after that time; `last` is at work until it is stopped; `fail=MS` ends `failed` after that time;
//! `near=RACK` lets the work take `remotePenalty` times as long on any other rack (the rack of the job's
//! `affinity`).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Call, Request};
use crate::json::Json;

/// Longest lease (`holdMaxMs`), time of a stop (below `stopTimeoutMs`), time until a task that lasts is
/// at work, and time between two heartbeats (`heartbeatMs`).
const MAX_LEASE_MS: u64 = 6_000;
const STOP_TIME: Duration = Duration::from_millis(5);
const STARTUP: Duration = Duration::from_millis(300);
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// How many times as long a task takes away from its data (`remotePenalty`).
const REMOTE_PENALTY: u32 = 3;

/// Time between two checks of a `hold` that waits for an end, and rows of ended runs in one answer.
const CHECK: Duration = Duration::from_millis(20);
const MAX_ENDED_ROWS: usize = 500;

/// What a minion has in all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Amount {
    pub cpu: u64,
    pub mem: u64,
    pub gpu: u64,
}

/// A run that is active.
struct Active {
    run: u64,
    start: Instant,
    work: Option<Duration>,
    fail: Option<Duration>,
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
    born: u64,
    start: Instant,
    token: u64,
    lease_end_ms: u64,
    active: BTreeMap<String, Active>,
    ended: Vec<Ended>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    sequence: u64,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        1_000 + self.start.elapsed().as_millis() as u64
    }

    fn extend(&mut self, body: &Json) {
        let longest = self.clock_ms() + MAX_LEASE_MS;
        let end_ms = body.get("expiresMs").number().unwrap_or(0).min(longest);
        self.lease_end_ms = self.lease_end_ms.max(end_ms);
    }

    fn close(&mut self, task: &str, run: u64) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
    }
}

/// A start or an end of a run, as a minion has seen it.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub minion: usize,
    pub task: String,
    pub run: u64,
    /// How the run ended; nothing for its start.
    pub end: Option<&'static str>,
}

#[derive(Default)]
struct State {
    lives: Vec<Option<Life>>,
    events: Vec<Event>,
    /// Tasks whose current run fails now.
    failing: BTreeSet<String>,
    /// Minions that are unhealthy: they answer each start with 503, and do nothing.
    unhealthy: BTreeSet<usize>,
    /// Minions that answer nothing and carry nothing out.
    hanging: BTreeSet<usize>,
}

impl State {
    /// Ends the runs that are done, failed, stopped or without a lease by now.
    fn advance(&mut self) {
        let now = Instant::now();
        for (minion, life) in self.lives.iter_mut().enumerate() {
            let Some(life) = life else { continue };
            let has_lapsed = life.clock_ms() > life.lease_end_ms;
            let mut ends = Vec::new();
            for (task, active) in &life.active {
                let is_over =
                    |time: Option<Duration>| time.is_some_and(|time| now >= active.start + time);
                let how = if active.stops_at.is_some_and(|at| now >= at) {
                    "stopped"
                } else if has_lapsed {
                    "lapsed"
                } else if active.stops_at.is_some() {
                    continue;
                } else if is_over(active.fail) || self.failing.remove(task) {
                    "failed"
                } else if is_over(active.work) {
                    "done"
                } else {
                    continue;
                };
                ends.push((task.clone(), active.run, how));
            }
            for (task, run, how) in ends {
                life.active.remove(&task);
                life.close(&task, run);
                life.last_end += 1;
                let number = life.last_end;
                life.ended.push(Ended {
                    number,
                    task: task.clone(),
                    run,
                    how,
                });
                self.events.push(Event {
                    at: now,
                    minion,
                    task,
                    run,
                    end: Some(how),
                });
            }
        }
    }

    /// Carries a call out. Nothing if the minion is not up.
    fn execute(
        &mut self,
        minion: usize,
        path: &str,
        meant: Option<&str>,
        body: &Json,
    ) -> Option<(u16, String)> {
        self.advance();
        let life = self.lives[minion].as_mut()?;
        let clock_ms = life.clock_ms();
        let refused = |reason| {
            Some((
                409,
                format!("{{\"clockMs\":{clock_ms},\"reason\":\"{reason}\"}}"),
            ))
        };
        if meant.is_some_and(|id| id != id_of(minion)) {
            return Some((421, format!("{{\"clockMs\":{clock_ms}}}")));
        }
        let token = body.get("fencingToken").number().unwrap_or(0);
        if token < life.token {
            return refused("fence");
        }
        life.token = token;
        if path == "/-/run-start" && self.unhealthy.contains(&minion) {
            return Some((503, format!("{{\"clockMs\":{clock_ms}}}")));
        }
        let task = body.get("taskId").text().unwrap_or_default().to_owned();
        let run = body.get("runId").number().unwrap_or(0);
        match path {
            "/-/run-start" => {
                if body.get("expiresMs").number().unwrap_or(0) <= clock_ms {
                    return refused("late");
                }
                life.extend(body);
                let active = life.active.get(&task).map(|active| active.run);
                let is_closed = life.closed.get(&task).is_some_and(|closed| run <= *closed);
                if is_closed || active.is_some_and(|active| run < active) {
                    return refused("old");
                }
                if active != Some(run) {
                    let spec = body.get("spec").text().unwrap_or_default();
                    let time = |name: &str| {
                        let value = spec.split(' ').find_map(|word| word.strip_prefix(name));
                        value
                            .and_then(|ms| ms.parse().ok())
                            .map(Duration::from_millis)
                    };
                    let start = Instant::now();
                    let is_far = spec
                        .split(' ')
                        .filter_map(|word| word.strip_prefix("near="))
                        .any(|rack| rack != rack_of(minion));
                    let work =
                        time("work=").map(|work| if is_far { work * REMOTE_PENALTY } else { work });
                    let fail = time("fail=");
                    let active = Active {
                        run,
                        start,
                        work,
                        fail,
                        stops_at: None,
                    };
                    life.active.insert(task.clone(), active);
                    self.events.push(Event {
                        at: start,
                        minion,
                        task,
                        run,
                        end: None,
                    });
                }
            }
            "/-/run-stop" => {
                life.close(&task, run);
                if let Some(active) = life.active.get_mut(&task)
                    && active.run <= run
                {
                    active.stops_at.get_or_insert(Instant::now() + STOP_TIME);
                }
            }
            "/-/hold" => {
                life.extend(body);
                let cursor = body.get("ackCursor").number().unwrap_or(0);
                life.ended.retain(|ended| ended.number > cursor);
            }
            _ => return Some((404, "{}".to_owned())),
        }
        Some((
            200,
            format!("{{\"clockMs\":{clock_ms},\"born\":{}}}", life.born),
        ))
    }

    fn lists(&self, minion: usize) -> Option<String> {
        let life = self.lives[minion].as_ref()?;
        let now = Instant::now();
        let active = life.active.iter().map(|(task, active)| {
            let ran = now - active.start;
            let percent = match active.work {
                Some(work) => (ran.as_millis() * 100 / work.as_millis().max(1)).min(99),
                None if ran >= STARTUP => 100,
                None => 0,
            };
            format!("[\"{task}\",{},\"\",{percent},0]", active.run)
        });
        let ended = life.ended.iter().take(MAX_ENDED_ROWS).map(|ended| {
            format!(
                "[{},\"{}\",{},\"{}\",\"\"]",
                ended.number, ended.task, ended.run, ended.how
            )
        });
        let join = |rows: Vec<String>| rows.join(",");
        Some(format!(
            "{{\"clockMs\":{},\"born\":{},\"active\":[{}],\"ended\":[{}]}}",
            life.clock_ms(),
            life.born,
            join(active.collect()),
            join(ended.collect())
        ))
    }
}

/// The name of a minion.
pub fn id_of(minion: usize) -> String {
    format!("i-{minion:04}")
}

/// The rack of a minion, which is one of its labels.
pub fn rack_of(minion: usize) -> String {
    format!("r1-{}", minion / 3)
}

pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// All minions; clones share them.
#[derive(Clone, Default)]
pub struct Fleet(Arc<Mutex<State>>);

impl Fleet {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a minion that serves `app` and sends its heartbeats to `agent`.
    pub fn start(
        &self,
        service: &str,
        zone: &str,
        app: SocketAddr,
        agent: SocketAddr,
        total: Amount,
    ) -> std::io::Result<()> {
        let mut state = self.state();
        let minion = state.lives.len();
        let born = wall_ms();
        state.lives.push(Some(Life {
            born,
            start: Instant::now(),
            token: 0,
            lease_end_ms: 0,
            active: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            closed: BTreeMap::new(),
            sequence: 0,
        }));
        drop(state);
        let fleet = self.clone();
        http::serve(
            app,
            Arc::new(move |request: &Request| fleet.answer(minion, request)),
        )?;
        let (fleet, service, zone) = (self.clone(), service.to_owned(), zone.to_owned());
        thread::spawn(move || {
            let path = format!("/-/instances/{}/heartbeat", id_of(minion));
            while let Some((sequence, clock_ms)) = fleet.beat(minion) {
                let body = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{app}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpu\":{}}},\"labels\":[\"a\",\"{}\"],\"clockMs\":{clock_ms},\"sequence\":{sequence},\"born\":{born}}}",
                    total.cpu,
                    total.mem,
                    total.gpu,
                    rack_of(minion)
                );
                let timeout = Duration::from_secs(1);
                http::send(
                    agent,
                    &Call {
                        method: "POST",
                        path: &path,
                        host: "agent",
                        key: None,
                        body: Some(&body),
                        timeout,
                    },
                );
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(())
    }

    fn beat(&self, minion: usize) -> Option<(u64, u64)> {
        let mut state = self.state();
        let life = state.lives[minion].as_mut()?;
        life.sequence += 1;
        Some((life.sequence, life.clock_ms()))
    }

    fn answer(&self, minion: usize, request: &Request) -> Option<(u16, String)> {
        if request.path == "/healthz" {
            return Some((200, "{}".to_owned()));
        }
        if self.is_hanging(minion) {
            while self.is_hanging(minion) {
                thread::sleep(CHECK);
            }
            return None;
        }
        let body = Json::parse(&request.body)?;
        let meant = request.header("expect-instance");
        let (status, answer) = self.state().execute(minion, &request.path, meant, &body)?;
        if status != 200 || request.path != "/-/hold" {
            return Some((status, answer));
        }
        let wait = Duration::from_millis(body.get("waitMs").number().unwrap_or(0).min(2_000));
        let start = Instant::now();
        loop {
            let mut state = self.state();
            state.advance();
            let has_ended = state.lives[minion]
                .as_ref()
                .is_none_or(|life| !life.ended.is_empty());
            if has_ended || start.elapsed() >= wait {
                return Some((200, state.lists(minion)?));
            }
            drop(state);
            thread::sleep(CHECK);
        }
    }

    /// Lets the current run of a task fail.
    pub fn fail(&self, task: &str) {
        self.state().failing.insert(task.to_owned());
    }

    /// Lets a minion be unhealthy, or healthy again.
    pub fn set_unhealthy(&self, minion: usize, unhealthy: bool) {
        let mut state = self.state();
        if unhealthy {
            state.unhealthy.insert(minion);
        } else {
            state.unhealthy.remove(&minion);
        }
    }

    /// Lets a minion hang, or answer again.
    pub fn set_hanging(&self, minion: usize, hanging: bool) {
        let mut state = self.state();
        if hanging {
            state.hanging.insert(minion);
        } else {
            state.hanging.remove(&minion);
        }
    }

    fn is_hanging(&self, minion: usize) -> bool {
        self.state().hanging.contains(&minion)
    }

    /// Returns the minions on which a task is active, with its run.
    pub fn active(&self, task: &str) -> Vec<(usize, u64)> {
        let mut state = self.state();
        state.advance();
        let lives = state.lives.iter().enumerate();
        let lives =
            lives.filter_map(|(minion, life)| Some((minion, life.as_ref()?.active.get(task)?.run)));
        lives.collect()
    }

    /// Returns the tasks that are active on a minion.
    pub fn tasks_on(&self, minion: usize) -> Vec<String> {
        let mut state = self.state();
        state.advance();
        let life = state.lives[minion].as_ref();
        life.map_or(Vec::new(), |life| life.active.keys().cloned().collect())
    }

    /// Returns all starts and ends so far.
    pub fn events(&self) -> Vec<Event> {
        let mut state = self.state();
        state.advance();
        state.events.clone()
    }
}
