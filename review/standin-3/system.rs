//! The project's programs as separate processes with the commands of the deploy file, on loopback
//! addresses of their own, in a deployment like the site himshilp; and its clients and operator.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Call};
use crate::json::Json;
use crate::minion::{Amount, Fleet};

/// Why a case has no result.
pub type Broken = String;

/// Bounds of the site himshilp that the checks use.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
pub const VISIBLE: Duration = Duration::from_millis(3_000);
pub const CANCEL: Duration = Duration::from_millis(3_000);
pub const FINISH: Duration = Duration::from_millis(14_000);

const FRONT: u16 = 8_521;
const READINESS: u16 = 8_523;
const CONTROL_PLANE: u16 = 8_526;
const APP: u16 = 9_000;

const CORES: usize = 3;
const SIDES: usize = 11;

/// A minion of the site.
pub const MINION: Amount = Amount {
    cpu: 32_000,
    mem: 65_536,
    gpu: 8,
};

pub const HOST: &str = "orders.example";
pub const KEY: &str = "key-of-studio";

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn line(&self, line: impl Into<String>) {
        self.line_at(Instant::now(), line);
    }

    pub fn line_at(&self, at: Instant, line: impl Into<String>) {
        let line = line.into();
        self.lines.lock().expect("a record").push((at, line));
    }

    /// Writes the lines in the order of their times.
    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().expect("a record").clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:9.3} s  {line}\n", (*at - self.start).as_secs_f64()))
            .collect();
        fs::write(path, text).expect("a record can be written");
    }
}

/// A process of the project, which is killed when it is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

/// The whole deployment.
pub struct System {
    pub record: Record,
    pub fleet: Fleet,
    subnet: (u8, u8),
    dir: PathBuf,
    _processes: Vec<Process>,
}

impl System {
    /// Starts three machines with control and entry, and eleven with an agent and a minion each.
    pub fn start(record: &Record) -> Result<Self, Broken> {
        let program = std::env::current_dir()
            .map_err(|err| err.to_string())?
            .join("target/release/oriolereel-platform");
        if !program.exists() {
            return Err("target/release/oriolereel-platform is missing: build it first".to_owned());
        }
        let subnet = free_subnet()?;
        let dir = std::env::temp_dir().join(format!("oriolereel-review-3-{}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|err| err.to_string())?;
        let mut processes = Vec::new();
        let fleet = Fleet::default();
        for number in 1..=CORES as u8 {
            let settings = settings(&dir, subnet, number, number)?;
            processes.push(spawn(&program, &dir, &settings, number, "9102", "control")?);
            processes.push(spawn(&program, &dir, &settings, number, "9101", "entry")?);
        }
        for side in 0..SIDES as u8 {
            let number = side + 11;
            let zone = side % CORES as u8 + 1;
            let settings = settings(&dir, subnet, number, zone)?;
            processes.push(spawn(&program, &dir, &settings, number, "9103", "agent")?);
            let app = addr(subnet, number, APP);
            let agent = addr(subnet, number, CONTROL_PLANE);
            fleet
                .start("desk", &format!("z{zone}"), app, agent, MINION)
                .map_err(|err| err.to_string())?;
        }
        Ok(Self {
            record: record.clone(),
            fleet,
            subnet,
            dir,
            _processes: processes,
        })
    }

    fn front(&self, number: u8) -> SocketAddr {
        addr(self.subnet, number, FRONT)
    }

    /// Sends a client's call to an entry, and records it.
    pub fn client(
        &self,
        number: u8,
        method: &str,
        path: &str,
        body: Option<&str>,
    ) -> Option<(u16, Json)> {
        let timeout = Duration::from_secs(3);
        let answer = http::send(
            self.front(number),
            &Call {
                method,
                path,
                host: HOST,
                key: Some(KEY),
                body,
                timeout,
            },
        );
        let shown = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| {
                format!("{status} {body}")
            });
        self.record.line(format!(
            "client at entry {number}: {method} {path} {} -> {shown}",
            body.unwrap_or("")
        ));
        let (status, body) = answer?;
        Some((status, Json::parse(&body).unwrap_or(Json::Null)))
    }

    /// Hands a job in until it is accepted, as clients do.
    pub fn submit(&self, path: &str, body: &str) -> Result<Instant, Broken> {
        self.until(&format!("{path} is accepted"), 20, || {
            let answer = self.client(1, "POST", path, Some(body));
            answer.is_some_and(|(status, _)| status == 200)
        })?;
        Ok(Instant::now())
    }

    /// Sends a configuration until it is acknowledged, as the operator does.
    pub fn configure(&self, version: u64, routes: &[Route<'_>]) -> Result<Instant, Broken> {
        let body = configuration(version, routes);
        self.record
            .line(format!("operator sends version {version}: {body}"));
        let mut number = 0;
        self.until(&format!("version {version} is acknowledged"), 30, || {
            number = number % CORES as u8 + 1;
            let call = Call {
                method: "POST",
                path: "/-/config/replace",
                host: "control",
                key: None,
                body: Some(&body),
                timeout: Duration::from_secs(1),
            };
            let answer = http::send(addr(self.subnet, number, CONTROL_PLANE), &call);
            answer.is_some_and(|(status, _)| status == 200)
        })?;
        self.record
            .line(format!("version {version} is acknowledged"));
        Ok(Instant::now())
    }

    /// Starts the traffic: a configuration, and a job with a task on each minion, which must complete.
    pub fn warm_up(&self, version: u64, routes: &[Route<'_>]) -> Result<(), Broken> {
        self.configure(version, routes)?;
        let path = format!("{}00000000000000aa", routes[0].prefix);
        let body = format!(
            "{{\"spec\":\"work=500\",\"phases\":[{{\"count\":{SIDES},\"cpu\":1000,\"memMb\":64,\"estimateMs\":500,\"antiAffinity\":1}}]}}"
        );
        self.submit(&path, &body)?;
        self.until("every minion has run a task", 30, || {
            let answer = self.client(2, "GET", &path, None);
            answer.is_some_and(|(_, body)| body.get("state").text() == Some("completed"))
        })
    }

    /// Waits until a condition holds.
    pub fn until(
        &self,
        what: &str,
        seconds: u64,
        mut condition: impl FnMut() -> bool,
    ) -> Result<(), Broken> {
        let start = Instant::now();
        while !condition() {
            if start.elapsed() > Duration::from_secs(seconds) {
                return Err(format!("timed out: {what}"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Adds what the minions have run to the record.
    pub fn record_runs(&self) {
        for event in self.fleet.events() {
            let what = event
                .end
                .map_or("starts".to_owned(), |end| format!("ends {end}:"));
            self.record.line_at(
                event.at,
                format!(
                    "minion {}: {what} {} run {}",
                    event.minion, event.task, event.run
                ),
            );
        }
    }

    /// Adds the lines of the programs' logs that name one of these words to a file beside the record.
    pub fn copy_logs(&self, to: &Path) {
        drop(fs::remove_dir_all(to));
        drop(fs::create_dir_all(to));
        for entry in fs::read_dir(&self.dir).into_iter().flatten().flatten() {
            if entry
                .path()
                .extension()
                .is_some_and(|extension| extension == "log")
            {
                drop(fs::copy(entry.path(), to.join(entry.file_name())));
            }
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self._processes.clear();
        drop(fs::remove_dir_all(&self.dir));
    }
}

/// A route of the configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub priority: u32,
}

fn configuration(version: u64, routes: &[Route<'_>]) -> String {
    let routes = routes.iter().map(|route| {
        format!(
            "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{}\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":1200,\"priority\":{},\"service\":\"desk\",\"maxAttempts\":3,\"slackFactor\":3.0,\"public\":false}}",
            route.name, route.prefix, route.priority
        )
    });
    let routes: Vec<String> = routes.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":false,\"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"studio\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"guaranteed\":{{\"gpu\":0}}}}]}}",
        routes.join(",")
    )
}

fn addr((a, b): (u8, u8), number: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, a, b, number], port))
}

/// Finds loopback addresses whose ports nobody uses.
fn free_subnet() -> Result<(u8, u8), Broken> {
    let id = std::process::id();
    let is_free = |subnet: (u8, u8)| {
        let numbers = (1..=CORES as u8).chain(11..11 + SIDES as u8);
        let ports = [
            FRONT,
            READINESS,
            CONTROL_PLANE,
            APP,
            7_000,
            7_001,
            9_101,
            9_102,
            9_103,
        ];
        numbers.into_iter().all(|number| {
            ports
                .iter()
                .all(|port| TcpListener::bind(addr(subnet, number, *port)).is_ok())
        })
    };
    let subnets = (0..20).map(|step| ((100 + (id / 250 + step) % 100) as u8, (1 + id % 250) as u8));
    let mut free = subnets.filter(|subnet| is_free(*subnet));
    free.next().ok_or("no free loopback addresses".to_owned())
}

/// Writes the settings file of a machine, as the platform would.
fn settings(dir: &Path, subnet: (u8, u8), number: u8, zone: u8) -> Result<PathBuf, Broken> {
    let is_core = usize::from(number) <= CORES;
    let ip = addr(subnet, number, 1).ip();
    let seeds: Vec<String> = (1..=CORES as u8)
        .map(|core| format!("\"{}\"", addr(subnet, core, CONTROL_PLANE)))
        .collect();
    let data = dir.join(format!("data-{number}"));
    let own = if is_core {
        format!(
            "\"listen\":{{\"frontend\":\"{ip}:{FRONT}\",\"readiness\":\"{ip}:{READINESS}\",\"controlPlane\":\"{ip}:{CONTROL_PLANE}\"}},\"dataDir\":{:?},\"limits\":{{\"cpuQuota\":0.5,\"cores\":1,\"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":128}}",
            data.display().to_string()
        )
    } else {
        format!(
            "\"listen\":{{\"controlPlane\":\"{ip}:{CONTROL_PLANE}\"}},\"app\":\"{ip}:{APP}\",\"service\":\"desk\",\"limits\":{{\"cpuQuota\":0.15,\"cores\":1,\"memoryMb\":128,\"maxFds\":4096,\"linkMbps\":1000.0}}"
        )
    };
    let text = format!(
        "{{\"nodeName\":\"m-{number}\",\"ip\":\"{ip}\",\"zone\":\"z{zone}\",\"region\":\"g{zone}\",\"zones\":{{\"z1\":\"g1\",\"z2\":\"g2\",\"z3\":\"g3\"}},\"internalPorts\":[7000,7015],\"seedNodes\":[{}],\"bootstrap\":true,\"countsAsLoss\":{is_core},\"heartbeatMs\":1500,\"faultTolerance\":{{\"machines\":1,\"zones\":0,\"regions\":0}},\"config_mode\":\"highest\",\"controlMode\":\"invoke\",\"bounds\":{{\"seedLagS\":3,\"addrReuseS\":2,\"contactMs\":3000,\"ackTimeoutMs\":4000,\"catchUpS\":4,\"drainMs\":2500,\"gracePeriodS\":6,\"lossSlackMs\":200,\"configApplyMs\":2500,\"rollbackSlackMs\":250,\"maxSkewMs\":5000,\"strictRevoke\":false,\"revokeMs\":5000,\"recoveryS\":12,\"holdMaxMs\":6000,\"stopTimeoutMs\":400,\"gangTimeoutMs\":3000,\"cancel_ms\":3000,\"visible_ms\":3000,\"early_ms\":250,\"finish_s\":14,\"status_s\":120,\"remotePenalty\":3,\"checkpointS\":2,\"restoreMs\":100,\"noticeMs\":4500,\"migrationS\":1.5,\"maintenanceS\":2,\"enforceFencing\":false,\"leaseMs\":3000,\"thawSlackMs\":300,\"throttleDelayMs\":100,\"interferenceMs\":4000,\"reclaimMs\":2900}},{own}}}",
        seeds.join(",")
    );
    let path = dir.join(format!("settings-{number}.json"));
    fs::write(&path, text).map_err(|err| err.to_string())?;
    Ok(path)
}

fn spawn(
    program: &Path,
    dir: &Path,
    settings: &Path,
    number: u8,
    metrics: &str,
    role: &str,
) -> Result<Process, Broken> {
    let log: File = OpenOptions::new()
        .create(true)
        .append(true)
        .open(dir.join(format!("{role}-{number}.log")))
        .map_err(|err| err.to_string())?;
    let errors = log.try_clone().map_err(|err| err.to_string())?;
    let child = Command::new(program)
        .args(["--metrics", metrics, role])
        .env("ORIOLEREEL_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .map_err(|err| format!("{role} does not start: {err}"))?;
    Ok(Process(child))
}

/// Prints to standard error what is going on.
pub fn say(what: &str) {
    drop(writeln!(std::io::stderr(), "{what}"));
}
