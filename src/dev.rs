//! A complete system in one process on the loopback interface, for trials, demonstrations and
//! tests.
//!
//! It runs every role, a stand-in target for each region and stand-in workers for the declared
//! racks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use rustix::net;
use serde_json::json;

use crate::agent;
use crate::agent::answers;
use crate::backend::{target, worker};
use crate::config;
use crate::config::parse;
use crate::console;
use crate::control;
use crate::entry;
use crate::error;
use crate::flow;
use crate::serve;

/// Result of starting a system.
pub type Result<T> = error::Result<T>;

/// Operator token of a system that this module starts.
pub const OPERATOR_TOKEN: &str = "operator-dev";

/// Time limit for all processes, workers and targets to register and be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time that a stand-in target takes for a request that does not set one.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Number of slots of a stand-in target.
const SLOTS: u32 = 8;

/// Number of connections of a stand-in target.
const CONNECTIONS: u32 = 64;

/// HTTP port of the first entry if ports are fixed; further entries take the next ports.
const ENTRY_PORT: u16 = 7080;

/// HTTP port of the first control member if ports are fixed; further members take the next ports.
const CONTROL_PORT: u16 = 7180;

/// A running system.
#[derive(Debug)]
pub struct System {
    pub control: Vec<control::daemon::Daemon>,
    /// Entries by region.
    pub entries: BTreeMap<String, entry::daemon::Daemon>,
    /// Agents by region.
    pub agents: BTreeMap<String, agent::daemon::Daemon>,
    pub targets: BTreeMap<String, target::Target>,
    pub workers: BTreeMap<String, worker::Worker>,
}

/// Settings of a system.
#[derive(Clone, Debug)]
pub struct Options<'a> {
    /// Path of the configuration's files.
    pub config: &'a Path,
    /// Folder for the data of the control members.
    pub data: &'a Path,
    /// Number of control members.
    pub members: u64,
    /// Whether entries and control members listen on the documented ports instead of free ones.
    pub fixed_ports: bool,
}

impl System {
    /// Starts all processes, applies the configuration and waits until the system is ready.
    ///
    /// # Errors
    /// Fails if the configuration is invalid, an address is in use, or the system is not ready in
    /// time.
    pub fn start(options: &Options<'_>) -> Result<Self> {
        let sources = parse::read(options.config)?;
        let config =
            parse::parse(sources.clone()).map_err(|diagnostics| parse::to_error(&diagnostics))?;
        let regions: BTreeSet<String> = config
            .racks
            .values()
            .map(|rack| rack.region.clone())
            .collect();
        let mut system = Self {
            control: start_control(options, regions.iter().next().map_or("dev", String::as_str))?,
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            targets: BTreeMap::new(),
            workers: BTreeMap::new(),
        };
        for (index, region) in regions.iter().enumerate() {
            system.start_region(options, &config, index as u16, region)?;
        }
        system.start_workers(&config)?;
        system.apply_config(&sources)?;
        system.wait_until_ready(&config)?;
        Ok(system)
    }

    /// Starts the entry, the agent and the target of a region.
    fn start_region(
        &mut self,
        options: &Options<'_>,
        config: &config::Config,
        index: u16,
        region: &str,
    ) -> Result<()> {
        let control: Vec<SocketAddr> = self.control.iter().map(|member| member.addr).collect();
        let port = if options.fixed_ports {
            ENTRY_PORT + index
        } else {
            0
        };
        let entry = entry::daemon::start(&entry::daemon::Options {
            name: format!("entry-{region}"),
            region: region.to_owned(),
            http: loopback(port),
            control: control.clone(),
            max_in_flight: 64,
            max_body_bytes: 64 << 10,
            delay: Duration::ZERO,
            budget: serve::Budget::default(),
        })?;
        let agent = agent::daemon::start(&agent::daemon::Options {
            name: format!("agent-{region}"),
            region: region.to_owned(),
            listen: loopback(0),
            http: loopback(0),
            control,
            connections: SLOTS as usize,
            max_answer_bytes: 4 << 20,
            answers: answers::Limits {
                bytes: 12 << 20,
                retention_ms: 3_600_000,
            },
            delay: Duration::ZERO,
            budget: serve::Budget::default(),
            links: serve::quota::Limits::default(),
        })?;
        let target = target::Target::start(target::Options {
            name: format!("target-{region}"),
            listen: loopback(0),
            services: config.services.keys().cloned().collect(),
            slots: SLOTS,
            connections: CONNECTIONS,
            agent: agent.http,
            service_time: SERVICE_TIME,
        })?;
        self.entries.insert(region.to_owned(), entry);
        self.agents.insert(region.to_owned(), agent);
        self.targets.insert(region.to_owned(), target);
        Ok(())
    }

    /// Starts the workers of all declared racks.
    fn start_workers(&mut self, config: &config::Config) -> Result<()> {
        for (name, rack) in &config.racks {
            let agent = self.agents.get(&rack.region).map(|agent| agent.http);
            let entry = self.entries.get(&rack.region).map(|entry| entry.http);
            for number in 1..=rack.workers {
                let worker_name = format!("{name}-w{number}");
                let worker = worker::Worker::start(worker::Options {
                    name: worker_name.clone(),
                    listen: loopback(0),
                    region: rack.region.clone(),
                    domain: rack.domain.clone(),
                    rack: name.clone(),
                    total: rack.each,
                    aggregators: agent.into_iter().chain(entry).collect(),
                })?;
                self.workers.insert(worker_name, worker);
            }
        }
        Ok(())
    }

    /// Returns a console with the addresses of the control members and the operator token.
    pub fn console(&self) -> console::Console {
        console::Console {
            control: self.control.iter().map(|member| member.http).collect(),
            operator_token: OPERATOR_TOKEN.to_owned(),
        }
    }

    /// Applies the configuration, and retries until the control group accepts it.
    fn apply_config(&self, sources: &[parse::Source]) -> Result<()> {
        let console = self.console();
        let start = Instant::now();
        loop {
            match console.post("/v1/config", &json!({ "files": sources })) {
                Ok(_answer) => return Ok(()),
                Err(console::Error::Refused { status, detail }) if status < 500 => {
                    return Err(error::Error::new(error::Kind::InvalidConfiguration, detail));
                }
                Err(err) if start.elapsed() > READY_TIMEOUT => {
                    return Err(error::Error::new(error::Kind::NoQuorum, err.to_string()));
                }
                Err(_not_ready) => thread::sleep(Duration::from_millis(50)),
            }
        }
    }

    /// Waits until every worker is up, every target is ready and every process uses the current
    /// configuration.
    fn wait_until_ready(&self, config: &config::Config) -> Result<()> {
        let console = self.console();
        let start = Instant::now();
        while start.elapsed() < READY_TIMEOUT {
            let count_true = |path: &str, field: &str| {
                let list = console.get(path).ok()?;
                let all = list.as_array()?.iter();
                Some(all.filter(|item| item[field] == true).count())
            };
            let workers = count_true("/v1/workers", "up") == Some(self.workers.len());
            let targets = count_true("/v1/targets", "ready") == Some(self.targets.len());
            let processes = current_processes(&console, config.generation);
            if workers && targets && processes == self.entries.len() + self.agents.len() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        let detail = "some workers, targets or processes were not ready in time";
        Err(error::Error::new(error::Kind::Internal, detail))
    }

    /// Stops entries, agents and control, in this order.
    pub fn stop(self) {
        const GRACE: Duration = Duration::from_secs(10);
        for entry in self.entries.values() {
            entry.stop(GRACE);
        }
        for agent in self.agents.values() {
            agent.drain();
        }
        for member in self.control {
            if let Err(err) = member.stop() {
                log::error!("control member had already stopped: {err}");
            }
        }
    }
}

/// Initializes and starts the control members.
fn start_control(options: &Options<'_>, region: &str) -> Result<Vec<control::daemon::Daemon>> {
    // Members must know each other's addresses before they start.
    let mut reservations = BTreeMap::new();
    for id in 1..=options.members {
        reservations.insert(id, Reservation::take()?);
    }
    let voters: BTreeMap<u64, SocketAddr> = reservations
        .iter()
        .map(|(id, reservation)| (*id, reservation.addr()))
        .collect();
    let mut members = Vec::new();
    for (id, addr) in &voters {
        let data = options.data.join(format!("control-{id}"));
        control::daemon::init(&data, *id, voters.clone())?;
        let port = if options.fixed_ports {
            CONTROL_PORT + *id as u16 - 1
        } else {
            0
        };
        members.push(control::daemon::start(control::daemon::Options {
            id: *id,
            name: format!("control-{id}"),
            place: control::size::Place {
                domain: region.to_owned(),
                region: region.to_owned(),
            },
            listen: *addr,
            http: loopback(port),
            data,
            max_aside_bytes: control::daemon::MAX_ASIDE_BYTES,
            max_log_bytes: control::member::MAX_LOG_BYTES,
            goal: None,
            bounds: flow::bounds::Bounds::default(),
            operator_token: OPERATOR_TOKEN.to_owned(),
            retention: Duration::from_secs(86_400),
            delay: Duration::ZERO,
            budget: serve::Budget::default(),
            links: serve::quota::Limits::default(),
        })?);
    }
    Ok(members)
}

/// Returns a loopback address with the given port.
pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// A loopback address that is reserved until this is dropped.
///
/// The socket is bound but does not listen. A process that knows the address can listen on it at
/// any time, also again after a restart, while the operating system assigns it to no other process.
#[derive(Debug)]
pub struct Reservation {
    addr: SocketAddr,
    _socket: OwnedFd,
}

impl Reservation {
    /// Reserves a free address.
    ///
    /// # Errors
    /// Returns `Storage` with the error of the operating system if there is none.
    pub fn take() -> Result<Self> {
        Self::bind().map_err(|err| std::io::Error::from(err).into())
    }

    fn bind() -> rustix::io::Result<Self> {
        let socket = net::socket(net::AddressFamily::INET, net::SocketType::STREAM, None)?;
        rustix::io::ioctl_fioclex(&socket)?;
        net::sockopt::set_socket_reuseaddr(&socket, true)?;
        net::bind(&socket, &loopback(0))?;
        let addr = SocketAddr::try_from(net::getsockname(&socket)?)
            .map_err(|_other_family| rustix::io::Errno::AFNOSUPPORT)?;
        Ok(Self {
            addr,
            _socket: socket,
        })
    }

    /// Returns the reserved address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Returns the number of processes that report to the leader and use a generation of the
/// configuration. Only the leader's status lists them.
fn current_processes(console: &console::Console, generation: u64) -> usize {
    let status = |addr: &SocketAddr| {
        let member = console::Console {
            control: vec![*addr],
            ..console.clone()
        };
        member.get("/v1/status").unwrap_or_default()
    };
    let is_current = |process: &&serde_json::Value| process["generation"] == generation;
    let count = |status: serde_json::Value| {
        let processes = status["processes"].as_array().into_iter().flatten();
        processes.filter(is_current).count()
    };
    let members = console.control.iter().map(status);
    members.map(count).max().unwrap_or(0)
}
