//! Every role in one process on loopback, with a stand-in target for each region and stand-in
//! workers for the declared racks. For trying out, demonstrations and tests.

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

/// Result of starting.
pub type Result<T> = error::Result<T>;

/// Operator token of the system started here.
pub const OPERATOR_TOKEN: &str = "operator-dev";

/// Time allowed for everything to find each other.
const READY: Duration = Duration::from_secs(30);

/// Time that the stand-in target takes for a request that names none.
const WORK: Duration = Duration::from_millis(20);

/// Slots and connections of a stand-in target.
const SLOTS: u32 = 8;
const CONNECTIONS: u32 = 64;

/// First ports, when they are to be fixed.
const ENTRY_PORT: u16 = 7080;
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
    /// Files of the configuration.
    pub config: &'a Path,
    /// Folder for control's data.
    pub data: &'a Path,
    /// Control members.
    pub members: u64,
    /// Whether entries and control take the ports that the pages name.
    pub fixed_ports: bool,
}

impl System {
    /// Starts everything, applies the configuration and waits until all is ready.
    ///
    /// # Errors
    /// When the configuration is faulty, an address is taken, or nothing gets ready in time.
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
        for (at, region) in regions.iter().enumerate() {
            system.region(options, &config, at as u16, region)?;
        }
        system.racks(&config)?;
        system.apply(&sources)?;
        system.ready(&config)?;
        Ok(system)
    }

    fn region(
        &mut self,
        options: &Options<'_>,
        config: &config::Config,
        at: u16,
        region: &str,
    ) -> Result<()> {
        let control: Vec<SocketAddr> = self.control.iter().map(|member| member.addr).collect();
        let port = if options.fixed_ports {
            ENTRY_PORT + at
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
        })?;
        let target = target::Target::start(target::Options {
            name: format!("target-{region}"),
            listen: loopback(0),
            services: config.services.keys().cloned().collect(),
            slots: SLOTS,
            connections: CONNECTIONS,
            agent: agent.http,
            service_time: WORK,
        })?;
        self.entries.insert(region.to_owned(), entry);
        self.agents.insert(region.to_owned(), agent);
        self.targets.insert(region.to_owned(), target);
        Ok(())
    }

    fn racks(&mut self, config: &config::Config) -> Result<()> {
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

    /// Address and token for operators.
    pub fn console(&self) -> console::Console {
        console::Console {
            control: self.control.iter().map(|member| member.http).collect(),
            operator_token: OPERATOR_TOKEN.to_owned(),
        }
    }

    fn apply(&self, sources: &[parse::Source]) -> Result<()> {
        let console = self.console();
        let start = Instant::now();
        loop {
            match console.post("/v1/config", &json!({ "files": sources })) {
                Ok(_answer) => return Ok(()),
                Err(console::Error::Refused { status, detail }) if status < 500 => {
                    return Err(error::Error::new(error::Kind::InvalidConfiguration, detail));
                }
                Err(err) if start.elapsed() > READY => {
                    return Err(error::Error::new(error::Kind::NoQuorum, err.to_string()));
                }
                Err(_not_yet) => thread::sleep(Duration::from_millis(50)),
            }
        }
    }

    /// Waits until every worker and target is known and every process has the configuration.
    fn ready(&self, config: &config::Config) -> Result<()> {
        let console = self.console();
        let start = Instant::now();
        while start.elapsed() < READY {
            let up = |path: &str, field: &str| {
                let list = console.get(path).ok()?;
                let all = list.as_array()?.iter();
                Some(all.filter(|item| item[field] == true).count())
            };
            let workers = up("/v1/workers", "up") == Some(self.workers.len());
            let targets = up("/v1/targets", "ready") == Some(self.targets.len());
            let status = console.get("/v1/status").unwrap_or_default();
            let processes = status["processes"].as_array().map_or(0, |processes| {
                let current =
                    |process: &&serde_json::Value| process["generation"] == config.generation;
                processes.iter().filter(current).count()
            });
            if workers && targets && processes == self.entries.len() + self.agents.len() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        let detail = "not every worker and target was heard in time";
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
                log::error!("a control member had stopped before: {err}");
            }
        }
    }
}

fn start_control(options: &Options<'_>, region: &str) -> Result<Vec<control::daemon::Daemon>> {
    // Members must know each other's addresses before they start.
    let mut reserved = BTreeMap::new();
    for id in 1..=options.members {
        reserved.insert(id, Reservation::take()?);
    }
    let voters: BTreeMap<u64, SocketAddr> = reserved
        .iter()
        .map(|(id, kept)| (*id, kept.addr()))
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
            region: region.to_owned(),
            listen: *addr,
            http: loopback(port),
            data,
            operator_token: OPERATOR_TOKEN.to_owned(),
            retention: Duration::from_secs(86_400),
            delay: Duration::ZERO,
        })?);
    }
    Ok(members)
}

/// An address on loopback.
pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// An address on loopback that is kept from others until this is dropped. Bound, but not listening:
/// whoever is told the address may listen on it, at any time and again after a restart, while the
/// system gives it to nobody else.
#[derive(Debug)]
pub struct Reservation {
    addr: SocketAddr,
    _socket: OwnedFd,
}

impl Reservation {
    /// Takes an address that is free.
    ///
    /// # Errors
    /// `Unreachable` when there is none.
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

    /// The address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}
