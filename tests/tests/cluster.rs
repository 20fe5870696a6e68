//! A system of real processes in a temporary directory, with stand-ins in the test's own process.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use oriolereel::backend::{target, worker};
use oriolereel::config::Resources;
use oriolereel::console::{self, Console};
use oriolereel::dev;
use serde_json::{Value, json};

/// Time limit for everything that a test waits for; generous, as machines are slow at times.
pub const TIMEOUT: Duration = Duration::from_secs(90);

const TOKEN: &str = "operator-test";

/// Token of the account `acme`.
pub const ACME: &str = "acme-token";

/// Number of log lines of each process that are printed if a test fails.
const PRINTED_LINES: usize = 40;

/// A process of the system, killed when dropped.
pub struct Process(Child);

impl Process {
    /// Starts the process. Its output is appended to a log in the temporary directory.
    fn start(dir: &Path, binary: &str, args: &[String]) -> Self {
        let name = args.get(1).map_or("process", String::as_str);
        let log = File::options()
            .create(true)
            .append(true)
            .open(dir.join(format!("{name}.log")))
            .expect("a log");
        let child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("a binary of this package");
        Self(child)
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }

    /// Sends the signal of this name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let (option, id) = (format!("-{name}"), self.0.id().to_string());
        let sent = Command::new("kill").args([option, id]).status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "signal {name} was not sent"
        );
    }

    /// Sends SIGTERM and waits. Reports whether the process exits successfully within the limit.
    pub fn terminate(&mut self) -> bool {
        self.signal("TERM");
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            if let Ok(Some(status)) = self.0.try_wait() {
                return status.success();
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A running system: three control members, two entries, one agent with its target, workers.
pub struct Cluster {
    pub dir: tempfile::TempDir,
    pub control: BTreeMap<u64, Process>,
    pub control_addrs: BTreeMap<u64, (SocketAddr, SocketAddr)>,
    pub entries: Vec<(Process, SocketAddr)>,
    pub agent: Process,
    agent_args: Vec<String>,
    pub target: target::Target,
    pub workers: Vec<worker::Worker>,
    _reserved: Vec<dev::Reservation>,
}

impl Drop for Cluster {
    /// Prints the ends of the logs if the test failed.
    fn drop(&mut self) {
        if thread::panicking() {
            print_logs(self.dir.path());
        }
    }
}

fn print_logs(dir: &Path) {
    let files = std::fs::read_dir(dir).into_iter().flatten().flatten();
    for file in files.filter(|file| {
        file.path()
            .extension()
            .is_some_and(|extension| extension == "log")
    }) {
        let text = std::fs::read_to_string(file.path()).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let last = &lines[lines.len().saturating_sub(PRINTED_LINES)..];
        eprintln!("--- {}\n{}", file.path().display(), last.join("\n"));
    }
}

fn to_strings(parts: &[&str]) -> Vec<String> {
    parts.iter().map(|part| (*part).to_owned()).collect()
}

/// Returns a configuration with this generation. A different weight gives different content.
pub fn configuration(generation: u64, weight: u32) -> String {
    let token = oriolereel::config::hex(&<sha2::Sha256 as sha2::Digest>::digest(ACME.as_bytes()));
    format!(
        r#"
generation = {generation}

[[account]]
name = "acme"
token_sha256 = "{token}"
weight = {weight}
rate_per_s = 10000
queue = 1000

[[account.shape]]
count = 1
workers = 1
accelerators = 2
cpus = 2
memory_gb = 2
within = "worker"

[[service]]
name = "render"
tasks = 2
accelerators = 1
cpus = 1
memory_gb = 1
within = "rack"
declared_s = 1
deadline_s = 20

[[rack]]
name = "r1"
region = "east"
domain = "east-a"
workers = 2
accelerators = 8
cpus = 32
memory_gb = 64
"#
    )
}

impl Cluster {
    /// Starts all processes and waits until the system can serve requests.
    pub fn start() -> Self {
        let dir = tempfile::tempdir().expect("a temporary directory");
        let mut reserved = Vec::new();
        let mut free_addr = || {
            let reservation = dev::Reservation::take().expect("a free address");
            let addr = reservation.addr();
            reserved.push(reservation);
            addr
        };
        let mut addrs = BTreeMap::new();
        for id in 1..=3_u64 {
            addrs.insert(id, (free_addr(), free_addr()));
        }
        let wire_addrs: Vec<String> = addrs
            .values()
            .map(|(wire, _http)| wire.to_string())
            .collect();
        let mut control = BTreeMap::new();
        for id in addrs.keys() {
            let members: BTreeMap<u64, SocketAddr> = addrs
                .iter()
                .map(|(id, (wire, _http))| (*id, *wire))
                .collect();
            let data = dir.path().join(format!("control-{id}"));
            oriolereel::control::daemon::init(&data, *id, members).expect("a new folder");
            control.insert(*id, start_control(dir.path(), *id, &addrs));
        }
        let mut entries = Vec::new();
        for name in ["entry-1", "entry-2"] {
            let http = free_addr();
            let (http_text, wire_addrs) = (http.to_string(), wire_addrs.join(","));
            let args = to_strings(&[
                "--name",
                name,
                "--region",
                "east",
                "--http",
                &http_text,
                "--control",
                &wire_addrs,
            ]);
            entries.push((
                Process::start(dir.path(), env!("CARGO_BIN_EXE_oriolereel-entry"), &args),
                http,
            ));
        }
        let listen = free_addr().to_string();
        let agent_http = free_addr();
        let (http_text, wire_addrs) = (agent_http.to_string(), wire_addrs.join(","));
        let agent_args = to_strings(&[
            "--name",
            "agent-1",
            "--region",
            "east",
            "--listen",
            &listen,
            "--http",
            &http_text,
            "--control",
            &wire_addrs,
        ]);
        let agent = Process::start(
            dir.path(),
            env!("CARGO_BIN_EXE_oriolereel-agent"),
            &agent_args,
        );
        let target = target::Target::start(target::Options {
            name: "target-1".to_owned(),
            listen: dev::loopback(0),
            services: vec!["render".to_owned()],
            slots: 8,
            connections: 64,
            agent: agent_http,
            service_time: Duration::from_millis(5),
        });
        let aggregators = vec![entries[0].1, entries[1].1, agent_http];
        let workers = (1..=2).map(|number| {
            let worker = worker::Worker::start(worker::Options {
                name: format!("w{number}"),
                listen: dev::loopback(0),
                region: "east".to_owned(),
                domain: "east-a".to_owned(),
                rack: "r1".to_owned(),
                total: Resources {
                    accelerators: 8,
                    cpus: 32,
                    memory_gb: 64,
                },
                aggregators: aggregators.clone(),
            });
            worker.expect("a free port")
        });
        let cluster = Self {
            dir,
            control,
            control_addrs: addrs,
            entries,
            agent,
            agent_args,
            target: target.expect("a free port"),
            workers: workers.collect(),
            _reserved: reserved,
        };
        cluster.apply(1, 1).expect("a first configuration");
        cluster.wait_ready();
        cluster
    }

    /// Starts the agent again after it was killed.
    pub fn restart_agent(&mut self) {
        let binary = env!("CARGO_BIN_EXE_oriolereel-agent");
        self.agent = Process::start(self.dir.path(), binary, &self.agent_args);
    }

    /// Starts a control member again after it was killed.
    pub fn restart_control(&mut self, id: u64) {
        let process = start_control(self.dir.path(), id, &self.control_addrs);
        self.control.insert(id, process);
    }

    /// Returns an operator's connection to control.
    pub fn console(&self) -> Console {
        Console {
            control: self
                .control_addrs
                .values()
                .map(|(_wire, http)| *http)
                .collect(),
            operator_token: TOKEN.to_owned(),
        }
    }

    /// Applies a configuration and resends it until control accepts or refuses it.
    pub fn apply(&self, generation: u64, weight: u32) -> Result<Value, console::Error> {
        let text = configuration(generation, weight);
        let body = json!({ "files": [{ "name": "test.toml", "text": text }] });
        let start = Instant::now();
        loop {
            match self.console().post("/v1/config", &body) {
                Err(console::Error::Refused { status, .. })
                    if status >= 500 && start.elapsed() < TIMEOUT => {}
                Err(console::Error::Unreachable { .. }) if start.elapsed() < TIMEOUT => {}
                result => return result,
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns the identity of the leader.
    pub fn leader(&self) -> u64 {
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            for (id, (_wire, http)) in &self.control_addrs {
                let console = Console {
                    control: vec![*http],
                    ..self.console()
                };
                let status = console.get("/v1/status").unwrap_or_default();
                if status["role"] == "leader" && status["fresh"] == true {
                    return *id;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("no leader within {TIMEOUT:?}");
    }

    /// Waits until the workers and the target are registered and both entries accept requests.
    pub fn wait_ready(&self) {
        let start = Instant::now();
        let console = self.console();
        while start.elapsed() < TIMEOUT {
            let count = |path: &str, field: &str| {
                let list = console.get(path).unwrap_or_default();
                let list = list.as_array().cloned().unwrap_or_default();
                list.iter().filter(|item| item[field] == true).count()
            };
            let ready = |http: &SocketAddr| {
                let call = console::Call {
                    method: "GET",
                    url: format!("http://{http}/readyz"),
                    token: "",
                    headers: Vec::new(),
                    body: None,
                };
                console::send(&call, Duration::from_secs(5))
                    .is_ok_and(|response| response.status == 200)
            };
            if count("/v1/workers", "up") == 2
                && count("/v1/targets", "ready") == 1
                && self.entries.iter().all(|(_process, http)| ready(http))
            {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("the system was not ready within {TIMEOUT:?}");
    }
}

fn start_control(dir: &Path, id: u64, addrs: &BTreeMap<u64, (SocketAddr, SocketAddr)>) -> Process {
    let (wire, http) = addrs[&id];
    let (id_text, wire, http) = (id.to_string(), wire.to_string(), http.to_string());
    let (name, data) = (format!("control-{id}"), dir.join(format!("control-{id}")));
    let data = data.display().to_string();
    let args = to_strings(&[
        "--name",
        &name,
        "--region",
        "east",
        "--id",
        &id_text,
        "--listen",
        &wire,
        "--http",
        &http,
        "--data",
        &data,
        "--operator-token",
        TOKEN,
    ]);
    Process::start(dir, env!("CARGO_BIN_EXE_oriolereel-control"), &args)
}

/// The response that a caller received.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub request: String,
    pub kind: String,
    pub ran: String,
    pub body: Vec<u8>,
}

/// Sends a request. Returns `None` if the connection broke.
pub fn submit(
    entry: SocketAddr,
    key: &str,
    body: &Value,
    once: bool,
    wait_s: u64,
) -> Option<Response> {
    let call = console::Call {
        method: "POST",
        url: format!("http://{entry}/v1/services/render/requests"),
        token: ACME,
        headers: vec![
            ("content-type", "application/json".to_owned()),
            ("idempotency-key", key.to_owned()),
            ("oriolereel-repeatable", (!once).to_string()),
            ("prefer", format!("wait={wait_s}")),
        ],
        body: Some(body.to_string().into_bytes()),
    };
    let answer = console::send(&call, TIMEOUT).ok()?;
    let value: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let field = |name: &str| value[name].as_str().unwrap_or_default().to_owned();
    let found = answer
        .headers
        .iter()
        .find(|(name, _value)| name == "oriolereel-request");
    Some(Response {
        status: answer.status,
        request: found
            .map(|(_name, value)| value.clone())
            .unwrap_or_default(),
        kind: field("kind"),
        ran: field("ran"),
        body: answer.body,
    })
}
