//! The `oriolereel standin` subcommand.

use std::net::SocketAddr;
use std::time::Duration;

use crate::backend::{target, worker};
use crate::command::Result;
use crate::config;
use crate::{settings, telemetry};

/// Summary in the list of subcommands.
pub const ABOUT: &str = "Run a stand-in worker or target, for tests without a platform";

/// Help text: what the subcommand does and costs, with an example.
pub const USAGE: &str = "\
A stand-in worker holds leases but starts no tasks; a stand-in target answers after a set time. Both
announce themselves like the workers and targets of the platform.

Example:
  oriolereel standin worker --name w1 --listen 127.0.0.1:7401 --region lombardia --domain a \\
      --rack lom-1 --accelerators 8 --cpus 128 --memory-gb 512 --to 127.0.0.1:7301
  oriolereel standin target --name t1 --listen 127.0.0.1:7501 --agent 127.0.0.1:7301 \\
      --services preview,catalogue";

/// Arguments of the subcommand.
#[derive(clap::Args, Debug)]
pub struct Args {
    #[command(subcommand)]
    pub kind: Kind,
}

/// What the process stands in for.
#[derive(clap::Subcommand, Debug)]
pub enum Kind {
    /// Stand in for a worker of the platform
    Worker(Worker),
    /// Stand in for a target of the platform
    Target(Target),
}

/// Arguments of a stand-in worker.
#[derive(clap::Args, Debug)]
pub struct Worker {
    /// Name
    #[arg(long)]
    pub name: String,
    /// Address to listen on, IP:PORT
    #[arg(long)]
    pub listen: SocketAddr,
    /// Region
    #[arg(long)]
    pub region: String,
    /// Failure domain
    #[arg(long)]
    pub domain: String,
    /// Rack
    #[arg(long)]
    pub rack: String,
    /// Number of accelerators
    #[arg(long, default_value_t = 8)]
    pub accelerators: u32,
    /// Number of processors
    #[arg(long, default_value_t = 128)]
    pub cpus: u32,
    /// Memory, in GB
    #[arg(long, default_value_t = 512)]
    pub memory_gb: u32,
    /// HTTP addresses of the entries and agents of its region, separated by commas
    #[arg(long, value_delimiter = ',', required = true)]
    pub to: Vec<SocketAddr>,
}

/// Arguments of a stand-in target.
#[derive(clap::Args, Debug)]
pub struct Target {
    /// Name
    #[arg(long)]
    pub name: String,
    /// Address to listen on, IP:PORT
    #[arg(long)]
    pub listen: SocketAddr,
    /// HTTP address of its agent, IP:PORT
    #[arg(long)]
    pub agent: SocketAddr,
    /// Services that it provides, separated by commas
    #[arg(long, value_delimiter = ',', required = true)]
    pub services: Vec<String>,
    /// Maximum number of requests in progress
    #[arg(long, default_value_t = 8)]
    pub slots: u32,
    /// Maximum number of connections
    #[arg(long, default_value_t = 64)]
    pub connections: u32,
    /// Service time of a request that sets none, in milliseconds
    #[arg(long, default_value_t = 20)]
    pub work_ms: u64,
}

/// Runs the subcommand.
///
/// # Errors
/// When the address is in use.
pub fn run(args: &Args) -> Result<()> {
    telemetry::init("standin", "standin", "warn", telemetry::Output::Stdout);
    match &args.kind {
        Kind::Worker(args) => start_worker(args)?,
        Kind::Target(args) => start_target(args)?,
    }
    settings::wait_for_signal(|| true);
    Ok(())
}

fn start_worker(args: &Worker) -> Result<()> {
    worker::Worker::start(worker::Options {
        name: args.name.clone(),
        listen: args.listen,
        region: args.region.clone(),
        domain: args.domain.clone(),
        rack: args.rack.clone(),
        total: config::Resources {
            accelerators: args.accelerators,
            cpus: args.cpus,
            memory_gb: args.memory_gb,
        },
        aggregators: args.to.clone(),
    })?;
    Ok(())
}

fn start_target(args: &Target) -> Result<()> {
    target::Target::start(target::Options {
        name: args.name.clone(),
        listen: args.listen,
        services: args.services.clone(),
        slots: args.slots,
        connections: args.connections,
        agent: args.agent,
        service_time: Duration::from_millis(args.work_ms),
    })?;
    Ok(())
}
