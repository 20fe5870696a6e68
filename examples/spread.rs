//! Measures how fast a change of the configuration reaches many processes.
//!
//! `cargo run --release --example spread` starts three control members and 10, 100 and 300
//! receivers in this process. It prints one JSON line for each number of receivers: the time until
//! a change is in force everywhere, and the processor time per change and receiver.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use oriolereel::command::dev::TempDir;
use oriolereel::control::group;
use oriolereel::wire::frame;
use oriolereel::wire::transport::{Options, Transport};
use oriolereel::{config, dev, telemetry, uplink};
use serde_json::json;

/// Number of changes for each number of receivers.
const CHANGES: u64 = 20;

/// Number of receivers that share a transport thread.
const RECEIVERS_PER_TRANSPORT: usize = 25;

/// Kernel clock ticks per second.
const TICKS_PER_S: f64 = 100.0;

fn main() -> anyhow::Result<()> {
    telemetry::init("spread", "spread", "error", telemetry::Output::Stderr);
    let temp_dir = TempDir::new("spread")?;
    let dir = temp_dir.path().join("config");
    std::fs::create_dir_all(&dir)?;
    std::fs::write(dir.join("spread.toml"), config_text(1))?;
    let system = dev::System::start(&dev::Options {
        config: &dir,
        data: temp_dir.path(),
        members: 3,
        fixed_ports: false,
    })?;
    let control: Vec<_> = system.control.iter().map(|member| member.addr).collect();
    let mut receivers: Vec<Arc<uplink::Cache>> = Vec::new();
    let mut transport = None;
    let mut generation = 1;
    for count in [10, 100, 300] {
        while receivers.len() < count {
            if receivers.len().is_multiple_of(RECEIVERS_PER_TRANSPORT) {
                transport = Some(Transport::start(Options::default())?);
            }
            let Some(transport) = transport.clone() else {
                continue;
            };
            let cache: Arc<uplink::Cache> = Arc::default();
            let mut members = control.clone();
            members.rotate_left(receivers.len() % control.len());
            let identity = uplink::Identity {
                node: frame::Node {
                    name: format!("receiver-{}", receivers.len()),
                    role: frame::Role::Entry,
                    region: "here".to_owned(),
                    addr: dev::loopback(1),
                    incarnation: uplink::incarnation(),
                    generation: 0,
                },
                cache: Arc::clone(&cache),
            };
            let group = group::Group::new(transport, members);
            uplink::watch(identity, group, uplink::Ignore)?;
            receivers.push(cache);
        }
        thread::sleep(Duration::from_secs(3));
        let idle_start_s = cpu_s();
        thread::sleep(Duration::from_secs(5));
        let idle_cpu_per_s = (cpu_s() - idle_start_s) / 5.0;
        let (start, cpu_start_s) = (Instant::now(), cpu_s());
        let mut slowest = Duration::ZERO;
        for _change in 0..CHANGES {
            generation += 1;
            let body =
                json!({ "files": [{ "name": "spread.toml", "text": config_text(generation) }] });
            let sent_at = Instant::now();
            system.console().post("/v1/config", &body)?;
            while receivers
                .iter()
                .any(|cache| cache.config().generation < generation)
            {
                thread::sleep(Duration::from_millis(1));
            }
            slowest = slowest.max(sent_at.elapsed());
        }
        let wall_s = start.elapsed().as_secs_f64();
        let used_cpu_s = (cpu_s() - cpu_start_s - idle_cpu_per_s * wall_s).max(0.0);
        println!(
            "{}",
            json!({
                "receivers": count, "slowest_in_force_ms": slowest.as_millis() as u64,
                "mean_in_force_ms": wall_s * 1e3 / CHANGES as f64,
                "cpu_us_per_change_and_receiver": used_cpu_s * 1e6 / CHANGES as f64 / count as f64,
                "idle_cpu_percent_per_receiver": idle_cpu_per_s * 100.0 / count as f64,
            })
        );
    }
    system.stop();
    Ok(())
}

/// Returns a configuration with 110 accounts, of which each generation changes one.
fn config_text(generation: u64) -> String {
    use std::fmt::Write;
    let mut text = format!("generation = {generation}\n");
    for number in 0..110_u64 {
        let digest = <sha2::Sha256 as sha2::Digest>::digest(number.to_le_bytes());
        let token = config::hex(&digest);
        let weight = if number == generation % 110 { 2 } else { 1 };
        let _written = write!(
            text,
            "[[account]]\nname = \"account-{number}\"\ntoken_sha256 = \"{token}\"\nweight = {weight}\n"
        );
    }
    text + "[[service]]\nname = \"s\"\naccelerators = 1\ncpus = 1\nmemory_gb = 1\n\
            declared_s = 1\n[[rack]]\nname = \"r\"\nregion = \"here\"\ndomain = \"d\"\n\
            workers = 1\naccelerators = 8\ncpus = 64\nmemory_gb = 64\n"
}

/// Returns the processor time of this process so far, in seconds.
fn cpu_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = rest
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse().ok())
        .collect();
    fields.iter().sum::<f64>() / TICKS_PER_S
}
