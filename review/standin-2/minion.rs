//! A minion that follows the pages, and the disruptions that the pages name for it.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::kit::{Json, Message, Record, SERVICE, call, read_message};

/// Longest lease, as `holdMaxMs`.
const HOLD_MAX_MS: u64 = 6_000;

/// Time that a stop takes, within `stopTimeoutMs`.
const STOP_MS: u64 = 100;

/// Most ends in one answer.
const MAX_ENDS: usize = 500;

/// What a minion does with orders to start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Trouble {
    #[default]
    None,
    /// A share, in thousandths, is carried out and gets no answer.
    AnswerLost(u64),
    /// Every start is answered with 503 and not carried out.
    Unhealthy,
}

/// A start, a stop or an end that the minion has seen.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub minion: usize,
    pub kind: &'static str,
    pub task: String,
    pub run: u64,
}

struct Running {
    run: u64,
    started_ms: u64,
    ends_ms: u64,
    how: &'static str,
}

struct State {
    token: u64,
    lease_end_ms: u64,
    running: BTreeMap<String, Running>,
    /// Highest run of each task that was stopped or has ended.
    closed: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    trouble: Trouble,
    random: u64,
}

/// A minion with its own server.
pub struct Minion {
    pub number: usize,
    pub id: String,
    addr: SocketAddr,
    agent: SocketAddr,
    capacity: (u64, u64, u64),
    kind: &'static str,
    born: u64,
    start: Instant,
    state: Mutex<State>,
    ended: Condvar,
    pub events: Mutex<Vec<Event>>,
    record: Record,
}

impl Minion {
    /// Starts a minion on a machine; `capacity` is in thousandths of a core, megabytes and GPUs.
    pub fn start(
        number: usize,
        addr: SocketAddr,
        agent: SocketAddr,
        capacity: (u64, u64, u64),
        kind: &'static str,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let minion = Arc::new(Self {
            number,
            id: format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_add(number as u32)),
            addr,
            agent,
            capacity,
            kind,
            born,
            start: Instant::now(),
            state: Mutex::new(State {
                token: 0,
                lease_end_ms: 0,
                running: BTreeMap::new(),
                closed: BTreeMap::new(),
                ended: Vec::new(),
                ends: 0,
                trouble: Trouble::None,
                random: 0x9e37_79b9_7f4a_7c15 ^ number as u64,
            }),
            ended: Condvar::new(),
            events: Mutex::default(),
            record: record.clone(),
        });
        let listener = TcpListener::bind(addr)?;
        let server = Arc::clone(&minion);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        let clock = Arc::clone(&minion);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                clock.advance();
            }
        });
        let heart = Arc::clone(&minion);
        thread::spawn(move || {
            let mut sequence = 0;
            loop {
                sequence += 1;
                heart.beat(sequence);
                thread::sleep(Duration::from_millis(1_500));
            }
        });
        Ok(minion)
    }

    pub fn set_trouble(&self, trouble: Trouble) {
        self.record
            .line(&format!("minion {}: {trouble:?}", self.number));
        self.state.lock().unwrap().trouble = trouble;
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.start.elapsed().as_millis() as u64
    }

    fn beat(&self, sequence: u64) {
        let (cpu, memory, gpu) = self.capacity;
        let body = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"lombardia-a\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{cpu},\"memMb\":{memory},\
             \"gpu\":{gpu}}},\"labels\":[\"{}\",\"r1-{}\"],\"clockMs\":{},\"sequence\":{sequence},\"born\":{}}}",
            self.addr,
            self.kind,
            self.number / 3,
            self.clock_ms(),
            self.born,
        );
        let path = format!("/-/instances/{}/heartbeat", self.id);
        let answer = call(
            self.agent,
            "POST",
            &path,
            &[],
            &body,
            Duration::from_secs(1),
        );
        let status = answer.map(|(status, _body)| status);
        self.record
            .line(&format!("minion {}: heartbeat -> {status:?}", self.number));
    }

    /// Ends what is over.
    fn advance(&self) {
        let now = self.clock_ms();
        let mut state = self.state.lock().unwrap();
        if now > state.lease_end_ms && !state.running.is_empty() {
            for running in state.running.values_mut() {
                if running.ends_ms > now {
                    running.ends_ms = now;
                    running.how = "lapsed";
                }
            }
        }
        let over: Vec<String> = state
            .running
            .iter()
            .filter(|(_task, running)| running.ends_ms <= now)
            .map(|(task, _running)| task.clone())
            .collect();
        for task in over {
            let running = state.running.remove(&task).unwrap();
            state.ends += 1;
            let number = state.ends;
            let closed = state.closed.entry(task.clone()).or_default();
            *closed = (*closed).max(running.run);
            state
                .ended
                .push((number, task.clone(), running.run, running.how));
            self.note(running.how, &task, running.run);
            self.ended.notify_all();
        }
    }

    fn note(&self, kind: &'static str, task: &str, run: u64) {
        self.record
            .line(&format!("minion {}: {kind} {task} run {run}", self.number));
        self.events.lock().unwrap().push(Event {
            at: Instant::now(),
            minion: self.number,
            kind,
            task: task.to_owned(),
            run,
        });
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(message) = read_message(&mut stream, &mut buffer) {
            let Some((status, body)) = self.answer(&message) else {
                // No answer: the connection stays open and says nothing.
                thread::sleep(Duration::from_secs(20));
                return;
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(self: &Arc<Self>, message: &Message) -> Option<(u16, String)> {
        let path = message
            .first
            .split(' ')
            .nth(1)
            .unwrap_or_default()
            .to_owned();
        let clock = |minion: &Self| {
            format!(
                "{{\"clockMs\":{},\"born\":{}}}",
                minion.clock_ms(),
                minion.born
            )
        };
        if message
            .headers
            .get("expect-instance")
            .is_some_and(|id| *id != self.id)
        {
            return Some((421, clock(self)));
        }
        let Some(body) = Json::parse(&message.body) else {
            return Some((400, clock(self)));
        };
        match path.as_str() {
            "/-/run-start" => self.order_start(&body),
            "/-/run-stop" => {
                let (task, run) = (body.text("taskId")?, body.number("runId")?);
                self.stop(task, run, body.number("fencingToken").unwrap_or(0));
                Some((200, clock(self)))
            }
            "/-/hold" => Some(self.hold(&body)),
            _ => Some((404, clock(self))),
        }
    }

    fn order_start(&self, body: &Json) -> Option<(u16, String)> {
        let (trouble, draw) = {
            let mut state = self.state.lock().unwrap();
            state.random ^= state.random << 13;
            state.random ^= state.random >> 7;
            state.random ^= state.random << 17;
            (state.trouble, state.random / 7 % 1_000)
        };
        match trouble {
            Trouble::AnswerLost(share) if draw < share => {
                self.begin(body);
                None
            }
            Trouble::Unhealthy => Some((503, String::new())),
            _ => Some(self.begin(body)),
        }
    }

    /// Starts a run, unless the pages say that it is rejected.
    fn begin(&self, body: &Json) -> (u16, String) {
        let now = self.clock_ms();
        let refused = |reason: &str| {
            let born = self.born;
            (
                409,
                format!("{{\"clockMs\":{now},\"born\":{born},\"reason\":\"{reason}\"}}"),
            )
        };
        let accepted = (200, format!("{{\"clockMs\":{now},\"born\":{}}}", self.born));
        let (Some(task), Some(run), Some(expires_ms)) = (
            body.text("taskId"),
            body.number("runId"),
            body.number("expiresMs"),
        ) else {
            return (400, String::new());
        };
        let token = body.number("fencingToken").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if token < state.token {
            return refused("fence");
        }
        state.token = token;
        if expires_ms <= now {
            return refused("late");
        }
        state.lease_end_ms = state.lease_end_ms.max(expires_ms.min(now + HOLD_MAX_MS));
        if state
            .running
            .get(task)
            .is_some_and(|running| running.run == run)
        {
            return accepted;
        }
        let is_old = state.closed.get(task).is_some_and(|closed| run <= *closed);
        if is_old || state.running.contains_key(task) {
            return refused("old");
        }
        let spec = body.text("spec").unwrap_or_default();
        // The text of a job says how long its tasks work and how they end.
        let mut words = spec.split(' ');
        let work_ms = words
            .next()
            .and_then(|word| word.parse().ok())
            .unwrap_or(1_000);
        let how = if words.next() == Some("fails") {
            "failed"
        } else {
            "done"
        };
        let running = Running {
            run,
            started_ms: now,
            ends_ms: now + work_ms,
            how,
        };
        state.running.insert(task.to_owned(), running);
        drop(state);
        self.note("start", task, run);
        accepted
    }

    fn stop(&self, task: &str, run: u64, token: u64) {
        let now = self.clock_ms();
        let mut state = self.state.lock().unwrap();
        if token < state.token {
            return;
        }
        state.token = token;
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run);
        if let Some(running) = state.running.get_mut(task)
            && running.run == run
            && running.how != "stopped"
        {
            running.ends_ms = running.ends_ms.min(now + STOP_MS);
            running.how = "stopped";
        }
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let token = body.number("fencingToken").unwrap_or(0);
        let wait_ms = body.number("waitMs").unwrap_or(0).min(2_000);
        let mut state = self.state.lock().unwrap();
        if token >= state.token {
            state.token = token;
            if let Some(expires_ms) = body.number("expiresMs") {
                state.lease_end_ms = state
                    .lease_end_ms
                    .max(expires_ms.min(self.clock_ms() + HOLD_MAX_MS));
            }
            let cursor = body.number("ackCursor").unwrap_or(0);
            for (number, task, run, _how) in &state.ended {
                if *number <= cursor {
                    self.note("noted", task, *run);
                }
            }
            state.ended.retain(|(number, ..)| *number > cursor);
        }
        let until = Instant::now() + Duration::from_millis(wait_ms);
        while state.ended.is_empty() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.ended.wait_timeout(state, left).unwrap().0;
        }
        let now = self.clock_ms();
        let active: Vec<String> = state
            .running
            .iter()
            .map(|(task, running)| {
                let span = running.ends_ms.saturating_sub(running.started_ms).max(1);
                let percent = (now.saturating_sub(running.started_ms) * 100 / span).min(99);
                format!("[\"{task}\",{},\"\",{percent}]", running.run)
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(MAX_ENDS)
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let text = format!(
            "{{\"clockMs\":{now},\"born\":{},\"active\":[{}],\"ended\":[{}]}}",
            self.born,
            active.join(","),
            ended.join(",")
        );
        (200, text)
    }
}
