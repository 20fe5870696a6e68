//! Settings of the daemons, read from flags and environment variables and checked at startup.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;

use crate::agent;
use crate::agent::answers;
use crate::control::{self, size};
use crate::entry;
use crate::flow;
use crate::serve;
use crate::serve::budget::Machine;

/// Minimum length of an operator token, in bytes.
const MIN_TOKEN_BYTES: usize = 8;

/// Settings that all daemons share.
#[derive(Args, Clone, Debug)]
pub struct Common {
    /// Name of this instance, unique in the system
    #[arg(long, env = "ORIOLEREEL_NAME", value_parser = parse_name)]
    pub name: String,
    /// Region of this instance
    #[arg(long, env = "ORIOLEREEL_REGION", value_parser = parse_name)]
    pub region: String,
    /// Log filter: error, warn, info, debug, or MODULE=LEVEL
    #[arg(long, env = "ORIOLEREEL_LOG", default_value = "info")]
    pub log: String,
    /// Milliseconds of artificial delay for messages in each direction, for measurements
    #[arg(long, env = "ORIOLEREEL_DELAY_MS", default_value_t = 0,
          value_parser = clap::value_parser!(u64).range(0..=1_000), hide = true)]
    pub delay_ms: u64,
    /// Seconds to wait for requests in progress at shutdown
    #[arg(long, env = "ORIOLEREEL_GRACE_S", default_value_t = 30,
          value_parser = clap::value_parser!(u64).range(1..=3_600))]
    pub grace_s: u64,
    /// Memory of the machine in MiB; a quarter is for requests that are not handled yet. 0: no limit
    #[arg(long, env = "ORIOLEREEL_MEMORY_MB", default_value_t = 0)]
    pub memory_mb: u64,
    /// File descriptors of the process, which bound its connections. 0: 4,096 connections
    #[arg(long, env = "ORIOLEREEL_MAX_FDS", default_value_t = 0)]
    pub max_fds: u64,
}

impl Common {
    fn machine(&self) -> Machine {
        Machine {
            memory_bytes: self.memory_mb.saturating_mul(1 << 20),
            descriptors: self.max_fds,
        }
    }
}

/// Settings of `oriolereel-control`.
#[derive(Args, Clone, Debug)]
pub struct Control {
    #[command(flatten)]
    pub common: Common,
    /// Identity of this member, as given to `oriolereel init`
    #[arg(long, env = "ORIOLEREEL_ID", value_parser = clap::value_parser!(u64).range(1..))]
    pub id: u64,
    /// Address for internal messages, IP:PORT; the other members must be able to reach it
    #[arg(long, env = "ORIOLEREEL_LISTEN")]
    pub listen: SocketAddr,
    /// Address for operators, health and metrics, IP:PORT
    #[arg(long, env = "ORIOLEREEL_HTTP")]
    pub http: SocketAddr,
    /// Data folder, prepared with `oriolereel init`
    #[arg(long, env = "ORIOLEREEL_DATA")]
    pub data: PathBuf,
    /// Failure domain of this instance
    #[arg(long, env = "ORIOLEREEL_DOMAIN", value_parser = parse_name, default_value = "default")]
    pub domain: String,
    /// Instances that the control group must be able to lose at the same time. With it, members are
    /// promoted, replaced and demoted by themselves; without it, only by `oriolereel member`
    #[arg(long, env = "ORIOLEREEL_TOLERATE",
          value_parser = clap::value_parser!(u64).range(1..=3))]
    pub tolerate: Option<u64>,
    /// Token that operators must send, at least 8 bytes
    #[arg(long, env = "ORIOLEREEL_OPERATOR_TOKEN", value_parser = parse_token,
          hide_env_values = true)]
    pub operator_token: String,
    /// Seconds to keep finished jobs and their idempotency keys
    #[arg(long, env = "ORIOLEREEL_RETENTION_S", default_value_t = 86_400,
          value_parser = clap::value_parser!(u64).range(60..=2_592_000))]
    pub retention_s: u64,
}

/// Connection to the control group.
#[derive(Args, Clone, Debug)]
pub struct Uplink {
    /// Addresses of the control members, nearest first, separated by commas
    #[arg(
        long,
        env = "ORIOLEREEL_CONTROL",
        value_delimiter = ',',
        required = true
    )]
    pub control: Vec<SocketAddr>,
}

/// Settings of `oriolereel-entry`.
#[derive(Args, Clone, Debug)]
pub struct Entry {
    #[command(flatten)]
    pub common: Common,
    /// Address for callers, workers, health and metrics, IP:PORT
    #[arg(long, env = "ORIOLEREEL_HTTP")]
    pub http: SocketAddr,
    #[command(flatten)]
    pub uplink: Uplink,
    /// Maximum number of requests in progress; one account may use a quarter of them
    #[arg(long, env = "ORIOLEREEL_PLACES", default_value_t = 256,
          value_parser = clap::value_parser!(u64).range(4..=4_096))]
    pub places: u64,
    /// Maximum size of a request body, in bytes
    #[arg(long, env = "ORIOLEREEL_MAX_BODY_BYTES", default_value_t = 65_536,
          value_parser = clap::value_parser!(u64).range(1..=1_048_576))]
    pub max_body_bytes: u64,
}

/// Settings of `oriolereel-agent`.
#[derive(Args, Clone, Debug)]
pub struct Agent {
    #[command(flatten)]
    pub common: Common,
    /// Address for internal messages, IP:PORT; entries must be able to reach it
    #[arg(long, env = "ORIOLEREEL_LISTEN")]
    pub listen: SocketAddr,
    /// Address for the target, workers, health and metrics, IP:PORT
    #[arg(long, env = "ORIOLEREEL_HTTP")]
    pub http: SocketAddr,
    #[command(flatten)]
    pub uplink: Uplink,
    /// Number of connections to the target
    #[arg(long, env = "ORIOLEREEL_CONNECTIONS", default_value_t = 16,
          value_parser = clap::value_parser!(u64).range(1..=64))]
    pub connections: u64,
    /// Maximum size of an answer, in bytes
    #[arg(long, env = "ORIOLEREEL_MAX_ANSWER_BYTES", default_value_t = 4 << 20,
          value_parser = clap::value_parser!(u64).range(1..=67_108_864))]
    pub max_answer_bytes: u64,
    /// Maximum size of all answers that wait to be collected, in bytes
    #[arg(long, env = "ORIOLEREEL_ANSWER_BYTES", default_value_t = 12 << 20,
          value_parser = clap::value_parser!(u64).range(1..=1_073_741_824))]
    pub answer_bytes: u64,
    /// Seconds to keep an answer that is not collected
    #[arg(long, env = "ORIOLEREEL_ANSWER_S", default_value_t = 3_600,
          value_parser = clap::value_parser!(u64).range(1..=86_400))]
    pub answer_s: u64,
}

impl Control {
    /// Converts the settings to options of the daemon.
    pub fn options(&self) -> control::daemon::Options {
        control::daemon::Options {
            id: self.id,
            name: self.common.name.clone(),
            place: size::Place {
                domain: self.domain.clone(),
                region: self.common.region.clone(),
            },
            listen: self.listen,
            http: self.http,
            data: self.data.clone(),
            max_aside_bytes: control::daemon::MAX_ASIDE_BYTES,
            max_log_bytes: control::member::MAX_LOG_BYTES,
            goal: self.tolerate.map(goal),
            bounds: flow::bounds::Bounds::default(),
            operator_token: self.operator_token.clone(),
            retention: Duration::from_secs(self.retention_s),
            delay: Duration::from_millis(self.common.delay_ms),
            budget: serve::Budget::new(self.common.machine().limits(true)),
            links: self.common.machine().link_limits(),
        }
    }
}

impl Entry {
    /// Converts the settings to options of the daemon.
    pub fn options(&self) -> entry::daemon::Options {
        entry::daemon::Options {
            name: self.common.name.clone(),
            region: self.common.region.clone(),
            http: self.http,
            control: self.uplink.control.clone(),
            max_in_flight: self.places as usize,
            max_body_bytes: self.max_body_bytes as usize,
            delay: Duration::from_millis(self.common.delay_ms),
            budget: serve::Budget::new(self.common.machine().limits(false)),
        }
    }
}

impl Agent {
    /// Converts the settings to options of the daemon.
    pub fn options(&self) -> agent::daemon::Options {
        agent::daemon::Options {
            name: self.common.name.clone(),
            region: self.common.region.clone(),
            listen: self.listen,
            http: self.http,
            control: self.uplink.control.clone(),
            connections: self.connections as usize,
            max_answer_bytes: self.max_answer_bytes,
            answers: answers::Limits {
                bytes: self.answer_bytes as usize,
                retention_ms: self.answer_s * 1_000,
            },
            delay: Duration::from_millis(self.common.delay_ms),
            budget: serve::Budget::new(self.common.machine().limits(true)),
            links: self.common.machine().link_limits(),
        }
    }
}

/// Blocks until the process receives SIGTERM or SIGINT, or until `is_healthy` returns false.
pub fn wait_for_signal(is_healthy: impl Fn() -> bool) {
    use std::sync::Arc;
    use std::sync::atomic::{AtomicBool, Ordering};
    let signalled = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        if let Err(err) = signal_hook::flag::register(signal, Arc::clone(&signalled)) {
            log::error!("cannot register a handler for signal {signal}: {err}");
        }
    }
    while !signalled.load(Ordering::SeqCst) && is_healthy() {
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Silence after which a standby takes the place of a voter.
const REPLACEMENT_SILENCE_MS: u64 = 5_000;

fn goal(instances: u64) -> size::Goal {
    size::Goal {
        losses: size::Losses {
            instances: instances as usize,
            domains: 0,
            regions: 0,
        },
        silence_ms: REPLACEMENT_SILENCE_MS,
    }
}

fn parse_name(text: &str) -> std::result::Result<String, String> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if text.is_empty() || text.len() > 64 || !text.bytes().all(is_allowed) {
        return Err("expected 1 to 64 letters, digits, `-`, `_` or `.`".to_owned());
    }
    Ok(text.to_owned())
}

fn parse_token(text: &str) -> std::result::Result<String, String> {
    if text.len() < MIN_TOKEN_BYTES {
        return Err(format!("expected at least {MIN_TOKEN_BYTES} bytes"));
    }
    Ok(text.to_owned())
}
