//! Measures the commit rate and latency of a group of three members with real syncs, for several
//! network delays.
//!
//! `cargo run --release --example commit` prints one JSON line for each delay between members and
//! number of callers. Requests of one caller cannot be batched, those of many are. Each commit is
//! one submitted request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use oriolereel::command::dev::TempDir;
use oriolereel::console::Console;
use oriolereel::control::{daemon, group, member};
use oriolereel::wire::Frame;
use oriolereel::wire::transport::{Options, Transport};
use oriolereel::{config, dev, ledger, serve, telemetry};
use serde_json::json;

/// One-way delays between members: none, as between failure domains, and as to other regions.
const DELAYS_US: [u64; 4] = [0, 500, 1_000, 8_000];

/// Numbers of concurrent callers.
const CALLERS: [usize; 2] = [1, 64];

/// Duration of each measurement.
const MEASURE_TIME: Duration = Duration::from_secs(3);

const TOKEN: &str = "operator-commit";

fn main() -> anyhow::Result<()> {
    telemetry::init("commit", "commit", "error", telemetry::Output::Stderr);
    for delay_us in DELAYS_US {
        measure(Duration::from_micros(delay_us))?;
    }
    Ok(())
}

fn measure(delay: Duration) -> anyhow::Result<()> {
    let temp_dir = TempDir::new("commit")?;
    let mut reserved = BTreeMap::new();
    for id in 1..=3 {
        reserved.insert(id, dev::Reservation::take()?);
    }
    let voters: BTreeMap<u64, SocketAddr> = reserved
        .iter()
        .map(|(id, reservation)| (*id, reservation.addr()))
        .collect();
    let mut members = Vec::new();
    for (id, addr) in &voters {
        let data = temp_dir.path().join(id.to_string());
        daemon::init(&data, *id, voters.clone())?;
        members.push(daemon::start(daemon::Options {
            id: *id,
            name: format!("control-{id}"),
            place: oriolereel::control::size::Place::default(),
            goal: None,
            bounds: oriolereel::flow::bounds::Bounds::default(),
            max_aside_bytes: daemon::MAX_ASIDE_BYTES,
            max_log_bytes: member::MAX_LOG_BYTES,
            listen: *addr,
            http: dev::loopback(0),
            data,
            operator_token: TOKEN.to_owned(),
            retention: Duration::from_secs(3_600),
            delay,
            budget: serve::Budget::default(),
            links: serve::quota::Limits::default(),
        })?);
    }
    let console = Console {
        control: members.iter().map(|member| member.http).collect(),
        operator_token: TOKEN.to_owned(),
    };
    let body = json!({ "files": [{ "name": "commit.toml", "text": config_text() }] });
    let start = Instant::now();
    while console.post("/v1/config", &body).is_err() && start.elapsed() < Duration::from_secs(20) {
        thread::sleep(Duration::from_millis(100));
    }
    let group = group::Group::new(
        Transport::start(Options::default())?,
        voters.values().copied().collect(),
    );
    for callers in CALLERS {
        let (mut latencies, seconds) = run(&group, callers);
        latencies.sort_unstable();
        let percentile = |share: f64| latencies[((latencies.len() - 1) as f64 * share) as usize];
        println!(
            "{}",
            json!({
                "one_way_delay_us": delay.as_micros() as u64, "callers": callers,
                "commits_per_s": latencies.len() as f64 / seconds,
                "p50_us": percentile(0.5), "p99_us": percentile(0.99),
            })
        );
    }
    for member in members {
        member.stop()?;
    }
    Ok(())
}

fn run(group: &group::Group, callers: usize) -> (Vec<u64>, f64) {
    let next = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let running: Vec<_> = (0..callers)
        .map(|_caller| {
            let (group, next) = (group.clone(), Arc::clone(&next));
            thread::spawn(move || {
                let mut latencies = Vec::new();
                while start.elapsed() < MEASURE_TIME {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let request = request(&format!("{callers}-{number}"));
                    let sent = Instant::now();
                    let limit = Duration::from_secs(5);
                    let answer = group.call(&Frame::Submit { request }, Duration::ZERO, limit);
                    if answer.is_ok() {
                        latencies.push(sent.elapsed().as_micros() as u64);
                    }
                }
                latencies
            })
        })
        .collect();
    let latencies = running
        .into_iter()
        .flat_map(|caller| caller.join().unwrap_or_default());
    (latencies.collect(), start.elapsed().as_secs_f64())
}

fn request(key: &str) -> ledger::Request {
    ledger::Request {
        account: "a".to_owned(),
        service: "s".to_owned(),
        key: key.to_owned(),
        region: "here".to_owned(),
        repeatable: true,
        content_type: String::new(),
        body: vec![7; 256].into(),
        digest: 1,
        deadline_ms: 600_000,
    }
}

fn config_text() -> String {
    let digest = <sha2::Sha256 as sha2::Digest>::digest(b"a");
    format!(
        "generation = 1\n[[account]]\nname = \"a\"\ntoken_sha256 = \"{}\"\nqueue = 10000\n\
         rate_per_s = 100000\n[[service]]\nname = \"s\"\naccelerators = 1\ncpus = 1\n\
         memory_gb = 1\ndeclared_s = 1\n[[rack]]\nname = \"r\"\nregion = \"here\"\n\
         domain = \"d\"\nworkers = 1\naccelerators = 8\ncpus = 8\nmemory_gb = 8\n",
        config::hex(&digest)
    )
}
