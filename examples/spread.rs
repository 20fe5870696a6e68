//! Measures how a change of configuration reaches many processes.
//!
//! `cargo run --release --example spread` starts three control members and 10, 100 and 300
//! receivers in this process, and prints one JSON line for each number: time until a change is in
//! force everywhere, and processor time for each change and receiver.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use oriolereel::command::dev::Scratch;
use oriolereel::control::group;
use oriolereel::wire::frame;
use oriolereel::wire::transport::{Options, Transport};
use oriolereel::{clock, config, dev, telemetry, uplink};
use serde_json::json;

/// Changes applied for each number of receivers.
const CHANGES: u64 = 20;

/// Receivers that share a transport thread.
const SHARED: usize = 25;

/// Clock ticks of the kernel in a second.
const TICKS_PER_S: f64 = 100.0;

fn main() -> anyhow::Result<()> {
    telemetry::init("spread", "spread", "error", telemetry::Output::Stderr);
    let scratch = Scratch::new("spread")?;
    let dir = scratch.path().join("config");
    std::fs::create_dir_all(&dir)?;
    std::fs::write(dir.join("spread.toml"), text(1))?;
    let system = dev::System::start(&dev::Options {
        config: &dir,
        data: scratch.path(),
        members: 3,
        fixed_ports: false,
    })?;
    let control: Vec<_> = system.control.iter().map(|member| member.addr).collect();
    let mut receivers: Vec<Arc<uplink::Cache>> = Vec::new();
    let mut transport = None;
    let mut generation = 1;
    for wanted in [10, 100, 300] {
        while receivers.len() < wanted {
            if receivers.len().is_multiple_of(SHARED) {
                transport = Some(Transport::start(Options::default())?);
            }
            let Some(transport) = transport.clone() else {
                continue;
            };
            let cache: Arc<uplink::Cache> = Arc::default();
            let mut nearest = control.clone();
            nearest.rotate_left(receivers.len() % control.len());
            let identity = uplink::Identity {
                node: frame::Node {
                    name: format!("receiver-{}", receivers.len()),
                    role: frame::Role::Entry,
                    region: "here".to_owned(),
                    addr: dev::loopback(1),
                    incarnation: clock::incarnation(),
                    generation: 0,
                },
                cache: Arc::clone(&cache),
            };
            let group = group::Group::new(transport, nearest);
            uplink::watch(identity, group, uplink::Ignore)?;
            receivers.push(cache);
        }
        thread::sleep(Duration::from_secs(3));
        let idle = cpu_s();
        thread::sleep(Duration::from_secs(5));
        let idle = (cpu_s() - idle) / 5.0;
        let (start, before) = (Instant::now(), cpu_s());
        let mut slowest = Duration::ZERO;
        for _change in 0..CHANGES {
            generation += 1;
            let body = json!({ "files": [{ "name": "spread.toml", "text": text(generation) }] });
            let sent = Instant::now();
            system.console().post("/v1/config", &body)?;
            while receivers
                .iter()
                .any(|cache| cache.config().generation < generation)
            {
                thread::sleep(Duration::from_millis(1));
            }
            slowest = slowest.max(sent.elapsed());
        }
        let wall = start.elapsed().as_secs_f64();
        let cpu = (cpu_s() - before - idle * wall).max(0.0);
        println!(
            "{}",
            json!({
                "receivers": wanted, "slowest_in_force_ms": slowest.as_millis() as u64,
                "mean_in_force_ms": wall * 1e3 / CHANGES as f64,
                "cpu_us_per_change_and_receiver": cpu * 1e6 / CHANGES as f64 / wanted as f64,
                "idle_cpu_percent_per_receiver": idle * 100.0 / wanted as f64,
            })
        );
    }
    system.stop();
    Ok(())
}

/// A configuration with 110 accounts, of which each generation changes one.
fn text(generation: u64) -> String {
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

/// Processor time of this process so far, in seconds.
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
