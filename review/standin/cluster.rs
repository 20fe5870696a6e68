//! Starts the project's programs with the commands of the deploy file, each machine at a loopback
//! address of its own, and speaks to them as clients and the operator do.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::worker::{Place, Worker, wall_ms};

const FRONTEND: u16 = 8521;
const READINESS: u16 = 8523;
const CONTROL_PLANE: u16 = 8526;
const APP: u16 = 8529;
const METRICS: [u16; 3] = [9101, 9102, 9103];
const INTERNAL: (u16, u16) = (7000, 7015);

/// Name of the service on this day.
pub const SERVICE: &str = "huvo11a";

/// Key of the only tenant.
pub const KEY: &str = "d4a3hwrr6x73d3zji9n7";

/// Host of all routes.
pub const HOST: &str = "nony24.example";

/// Name of the route at first.
pub const ROUTE: &str = "r-ce7ejsm";

/// Capacity of a minion, in thousandths of a core.
pub const CPU: u64 = 128_000;

/// Prefix of the route that jobs are submitted to.
pub const PREFIX: &str = "/lohu930/";

const ZONES: [(&str, &str); 3] = [
    ("lombardia-a", "lombardia"),
    ("veneto-a", "veneto"),
    ("piemonte-a", "piemonte"),
];

/// Result of a step; an error means that the case could not run.
pub type Result<T> = std::result::Result<T, String>;

/// A small deployment: three machines with a disk that run `control` and `entry`, and a machine with
/// an agent beside each minion.
pub struct Cluster {
    root: PathBuf,
    dir: PathBuf,
    net: (u8, u8),
    pub record: Arc<Record>,
    processes: BTreeMap<String, Child>,
    pub workers: Vec<Worker>,
}

impl Cluster {
    /// Starts the deployment and waits until a job can be submitted.
    pub fn start(root: PathBuf, record: Arc<Record>, minions: usize) -> Result<Self> {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("review-{pid}"));
        std::fs::create_dir_all(&dir).map_err(|err| err.to_string())?;
        let net = free_net(pid)?;
        let mut cluster = Self {
            root,
            dir,
            net,
            record,
            processes: BTreeMap::new(),
            workers: Vec::new(),
        };
        for machine in 0..ZONES.len() {
            cluster.launch(&edge(machine), "control")?;
            cluster.launch(&edge(machine), "entry")?;
        }
        for machine in 0..minions {
            cluster.launch(&side(machine), "agent")?;
            let worker = Worker::new(
                Place {
                    machine: side(machine),
                    app: cluster.addr(&side(machine), APP),
                    agent: cluster.addr(&side(machine), CONTROL_PLANE),
                    zone: ZONES[machine % ZONES.len()].0.to_owned(),
                    rack: format!("r{}-1", machine % ZONES.len()),
                    service: SERVICE.to_owned(),
                    cpu: CPU,
                },
                Arc::clone(&cluster.record),
            );
            cluster.workers.push(worker);
        }
        thread::sleep(Duration::from_millis(300));
        for (at, worker) in cluster.workers.iter().enumerate() {
            let id = format!("i-{at:04}a");
            let started = worker.start(&id, Duration::ZERO);
            started.map_err(|err| err.to_string())?;
        }
        cluster.replace_config(&config(1, ROUTE))?;
        let ready = cluster.wait(Duration::from_secs(20), |cluster| {
            cluster.submit(0, &job_id(0xffff), &job(1, 100, 50)).0 == 200
        });
        if !ready {
            return Err("no job was accepted in 20 s".to_owned());
        }
        // The users' traffic starts 10 s after their machines.
        thread::sleep(Duration::from_secs(5));
        cluster.record.line("the deployment is up");
        Ok(cluster)
    }

    fn ip(&self, machine: &str) -> IpAddr {
        let number: u8 = machine
            .rsplit('-')
            .next()
            .unwrap_or("0")
            .parse()
            .unwrap_or(0);
        let base = if machine.starts_with("edge") { 10 } else { 50 };
        IpAddr::V4(Ipv4Addr::new(127, self.net.0, self.net.1, base + number))
    }

    fn addr(&self, machine: &str, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(machine), port)
    }

    /// Starts a role on a machine, with the command of the deploy file. Only the first start of all
    /// has `bootstrap` set.
    fn launch(&mut self, machine: &str, role: &str) -> Result<()> {
        let name = format!("{machine}/{role}");
        let folder = self.dir.join(machine).join(role);
        let is_first = !folder.exists();
        let data = folder.join("data");
        std::fs::create_dir_all(&data).map_err(|err| err.to_string())?;
        let settings = folder.join("local.yaml");
        let text = self.settings(machine, role, is_first, &data);
        std::fs::write(&settings, text).map_err(|err| err.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join("log"))
            .map_err(|err| err.to_string())?;
        let port = match role {
            "entry" => METRICS[0],
            "control" => METRICS[1],
            _ => METRICS[2],
        };
        let child = Command::new(self.root.join("target/release/oriolereel-platform"))
            .args(["--metrics", &port.to_string(), role])
            .env_clear()
            .env("ORIOLEREEL_BOOT", &settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|err| err.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|err| format!("cannot start {name}: {err}"))?;
        note_process(child.id());
        self.record
            .quiet(format_args!("start {name}, process {}", child.id()));
        self.processes.insert(name, child);
        Ok(())
    }

    fn settings(
        &self,
        machine: &str,
        role: &str,
        bootstrap: bool,
        data: &std::path::Path,
    ) -> String {
        let number: usize = machine
            .rsplit('-')
            .next()
            .unwrap_or("0")
            .parse()
            .unwrap_or(0);
        let (zone, region) = ZONES[number % ZONES.len()];
        let addr = |port| self.addr(machine, port);
        let listen = match role {
            "entry" => format!(
                "\"frontend\":\"{}\",\"readiness\":\"{}\"",
                addr(FRONTEND),
                addr(READINESS)
            ),
            _ => format!("\"controlPlane\":\"{}\"", addr(CONTROL_PLANE)),
        };
        let seeds: Vec<String> = (0..ZONES.len())
            .map(|at| format!("\"{}\"", self.addr(&edge(at), CONTROL_PLANE)))
            .collect();
        let beside = if role == "agent" {
            format!("\"app\":\"{}\",\"service\":\"{SERVICE}\",", addr(APP))
        } else {
            String::new()
        };
        let data_dir = if role == "agent" {
            "null".to_owned()
        } else {
            format!("\"{}\"", data.display())
        };
        format!(
            "{{\"nodeName\":\"{machine}\",\"role\":\"{role}\",\"ip\":\"{}\",\"zone\":\"{zone}\",\
             \"region\":\"{region}\",\"listen\":{{{listen}}},\"internalPorts\":[{},{}],\
             \"seedNodes\":[{}],\"bootstrap\":{bootstrap},\"dataDir\":{data_dir},{beside}\
             \"limits\":{{\"cpuQuota\":0.5,\"cores\":1,\"memoryMb\":260,\"maxFds\":4100,\"diskMb\":128}},\
             \"discovery\":\"local\",\"entry\":\"vip\",\"heartbeatMs\":1500,\
             \"faultTolerance\":{{\"machines\":1,\"zones\":0,\"regions\":0}},\
             \"bounds\":{{\"contactMs\":3000,\"ackTimeoutMs\":4000,\"catchUpS\":4,\"drainMs\":2500,\
             \"gracePeriodS\":6,\"configApplyMs\":2500,\"recoveryS\":12,\"holdMaxMs\":6000,\
             \"stopTimeoutMs\":200,\"gangTimeoutMs\":3000,\"cancel_ms\":3000,\"visible_ms\":3000,\
             \"finish_s\":14,\"remotePenalty\":3,\"checkpointS\":0.5,\"restoreMs\":600,\
             \"reclaimMs\":2700}},\"config_mode\":\"highest\",\"controlMode\":\"invoke\"}}",
            self.ip(machine),
            INTERNAL.0,
            INTERNAL.1,
            seeds.join(","),
        )
    }

    /// Waits until a condition holds; returns whether it did in time.
    pub fn wait(&self, limit: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let start = Instant::now();
        loop {
            if condition(self) {
                return true;
            }
            if start.elapsed() > limit {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends a configuration as the operator does: again, to the next machine, until it is answered.
    pub fn replace_config(&self, body: &str) -> Result<()> {
        for attempt in 0..30 {
            let addr = self.addr(&edge(attempt % ZONES.len()), CONTROL_PLANE);
            let timeout = Duration::from_millis(1_000);
            let answer = http::call(addr, "POST", "/-/config/replace", &[], body, timeout);
            if let Ok((200, _body)) = answer {
                self.record
                    .line(format_args!("operator: configuration acknowledged: {body}"));
                return Ok(());
            }
            self.record
                .quiet(format_args!("operator: no acknowledgement: {answer:?}"));
            thread::sleep(Duration::from_millis(300));
        }
        Err("no configuration was acknowledged".to_owned())
    }

    /// Makes a client's call at the entry of a machine; status 0 means that no answer came.
    pub fn client(&self, machine: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let addr = self.addr(&edge(machine), FRONTEND);
        let authorization = format!("Token {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", authorization.as_str()),
            ("Deadline-Ms", "3000"),
        ];
        let timeout = Duration::from_millis(3_000);
        let answer = http::call(addr, method, path, &headers, body, timeout);
        let (status, text) = answer.unwrap_or_else(|err| (0, err.to_string()));
        let sent: String = body.chars().take(160).collect();
        self.record.quiet(format_args!(
            "client to {}: {method} {path} {sent} -> {status} {text}",
            edge(machine)
        ));
        (status, text)
    }

    /// Submits a job.
    pub fn submit(&self, machine: usize, id: &str, body: &str) -> (u16, String) {
        self.client(machine, "POST", &format!("{PREFIX}{id}"), body)
    }

    /// Returns a job's state, or the status of the answer if there is none.
    pub fn state(&self, id: &str) -> String {
        let (status, body) = self.client(0, "GET", &format!("{PREFIX}{id}"), "");
        let value = crate::json::parse(&body);
        let state = value.and_then(|value| value.text("state").map(str::to_owned));
        state.unwrap_or_else(|| status.to_string())
    }

    /// Returns the minion on which a run takes place.
    pub fn worker_of(&self, id: &str) -> Option<Worker> {
        let mut workers = self.workers.iter();
        workers
            .find(|worker| worker.identity().is_some_and(|(own, _born)| own == id))
            .cloned()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns the name of a machine with a disk.
pub fn edge(machine: usize) -> String {
    format!("edge-{machine}")
}

/// Returns the name of a minion's machine.
pub fn side(machine: usize) -> String {
    format!("side-{machine}")
}

/// Returns a job's identity for this run of the script.
pub fn job_id(number: u64) -> String {
    format!("{:012x}{number:04x}", wall_ms() & 0xffff_ffff_ffff)
}

/// Returns a job of one step with tasks that each work for a time.
pub fn job(count: u32, work_ms: u64, cpu: u64) -> String {
    format!(
        "{{\"spec\":\"{work_ms}\",\"phases\":[{{\"count\":{count},\"cpu\":{cpu},\"memMb\":64,\
         \"estimateMs\":{work_ms}}}]}}"
    )
}

/// Returns a configuration with one route and one tenant.
pub fn config(version: u64, route: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"{route}\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"{PREFIX}\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\
         \"targetLatencyMs\":1200,\"priority\":1,\"service\":\"{SERVICE}\",\"maxAttempts\":3,\
         \"slackFactor\":3.0,\"public\":false}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"healthPath\":\"/healthz\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"enforcesCapacity\":false,\"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"kaje80\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\
         \"guaranteed\":{{\"gpu\":16}}}}]}}"
    )
}

/// Notes a process for the script that runs the case, which ends it in any event.
fn note_process(id: u32) {
    if let Some(path) = std::env::var_os("PROCESSES")
        && let Ok(mut file) = File::options().append(true).open(path)
    {
        let _ = writeln!(file, "{id}");
    }
}

/// Finds a loopback network in which the ports of the deployment are free.
fn free_net(seed: u32) -> Result<(u8, u8)> {
    for attempt in 0..200 {
        let mixed = seed.wrapping_mul(2_654_435_761).wrapping_add(attempt * 97);
        let net = (64 + (mixed >> 8) as u8 % 128, 1 + (mixed >> 16) as u8 % 250);
        let is_free = |host: u8, port: u16| {
            let ip = Ipv4Addr::new(127, net.0, net.1, host);
            TcpListener::bind((ip, port)).is_ok()
        };
        let ports = [FRONTEND, READINESS, CONTROL_PLANE, APP, INTERNAL.0];
        if ports
            .iter()
            .all(|port| is_free(10, *port) && is_free(50, *port))
        {
            return Ok(net);
        }
    }
    Err("no free loopback network".to_owned())
}
