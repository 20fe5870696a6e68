//! Load test of a whole system on loopback: measures its overhead over direct calls, and its
//! behaviour when one account overloads it.
//!
//! `cargo run --release --example load [-- --seconds 5]` starts three control members, an entry, an
//! agent and a stand-in target in this process, and prints one JSON line for each phase. The number
//! of requests and the time are limited, and requests are sent to loopback only.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use clap::Parser;
use hdrhistogram::Histogram;
use oriolereel::command::dev::TempDir;
use oriolereel::{dev, telemetry};
use serde_json::json;

/// Maximum number of requests of one stream in a phase.
const MAX_REQUESTS: u64 = 20_000;

/// Number of threads that send the requests of a stream.
const SENDER_THREADS: usize = 48;

/// Requests per second of the account that stays within its share.
const QUIET_RATE_PER_S: u64 = 10;

#[derive(Parser)]
struct Args {
    /// Seconds of each phase
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=30))]
    seconds: u64,
}

/// Stream of requests at a constant rate (open loop).
#[derive(Clone)]
struct Stream {
    name: &'static str,
    token: &'static str,
    rate_per_s: u64,
    at_most_once: bool,
}

#[derive(Default)]
struct Counts {
    answered: u64,
    shed: u64,
    other: u64,
}

struct Outcome {
    name: &'static str,
    counts: Counts,
    /// Microseconds from the time at which a request was due to its answer.
    latency: Histogram<u64>,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    telemetry::init("load", "load", "error", telemetry::Output::Stderr);
    let temp_dir = TempDir::new("load")?;
    let dir = temp_dir.path().join("config");
    std::fs::create_dir_all(&dir)?;
    std::fs::write(dir.join("load.toml"), configuration())?;
    let system = dev::System::start(&dev::Options {
        config: &dir,
        data: temp_dir.path(),
        members: 3,
        fixed_ports: false,
    })?;
    let entry = system.entries.values().next().map(|entry| entry.http);
    let target = system.targets.values().next().map(|target| target.addr);
    let (Some(entry), Some(target)) = (entry, target) else {
        anyhow::bail!("the system has no entry or no target")
    };
    let seconds = args.seconds;
    measure_direct_calls(target);
    let quiet = |at_most_once| Stream {
        name: "quiet",
        token: "quiet",
        rate_per_s: QUIET_RATE_PER_S,
        at_most_once,
    };
    report(
        "alone, repeatable",
        run_streams(entry, &[quiet(false)], seconds),
    );
    report(
        "alone, at most once",
        run_streams(entry, &[quiet(true)], seconds),
    );
    let mut peak = 0.0_f64;
    for rate_per_s in [50, 100, 200, 400, 800] {
        let flood = Stream {
            name: "flood",
            token: "flood",
            rate_per_s,
            at_most_once: false,
        };
        let outcomes = run_streams(entry, &[flood], seconds);
        peak = peak.max(outcomes[0].counts.answered as f64 / seconds as f64);
        report(&format!("throughput at {rate_per_s}/s"), outcomes);
    }
    let rate_per_s = (peak * 2.0) as u64;
    let flood = Stream {
        name: "flood",
        token: "flood",
        rate_per_s,
        at_most_once: false,
    };
    let outcomes = run_streams(entry, &[flood, quiet(false)], seconds);
    let goodput: u64 = outcomes.iter().map(|outcome| outcome.counts.answered).sum();
    println!(
        "{}",
        json!({ "peak_per_s": peak, "offered_per_s": rate_per_s,
        "goodput_per_s": goodput as f64 / seconds as f64 })
    );
    report("overload", outcomes);
    system.stop();
    Ok(())
}

fn configuration() -> String {
    use std::fmt::Write;
    let mut text = String::from("generation = 1\n");
    for name in ["quiet", "flood"] {
        let digest = <sha2::Sha256 as sha2::Digest>::digest(name.as_bytes());
        let token = oriolereel::config::hex(&digest);
        let _written = write!(
            text,
            "[[account]]\nname = \"{name}\"\ntoken_sha256 = \"{token}\"\nqueue = 64\n\
             rate_per_s = 100000\n"
        );
    }
    text + "[[service]]\nname = \"render\"\naccelerators = 1\ncpus = 1\nmemory_gb = 1\n\
            within = \"worker\"\ndeclared_s = 1\ndeadline_s = 30\n\
            [[rack]]\nname = \"r\"\nregion = \"here\"\ndomain = \"d\"\nworkers = 3\n\
            accelerators = 8\ncpus = 64\nmemory_gb = 64\n"
}

/// Measures calls that go to the target without passing through the system.
fn measure_direct_calls(target: SocketAddr) {
    let http_agent = http_agent();
    let url = format!("http://{target}/v1/run/render");
    let mut latency = histogram();
    for _call in 0..300 {
        let start = Instant::now();
        let sent = http_agent
            .post(&url)
            .content_type("application/json")
            .send(BODY);
        if sent.is_ok_and(|mut answer| answer.body_mut().read_to_vec().is_ok()) {
            let _recorded = latency.record(start.elapsed().as_micros() as u64);
        }
    }
    println!(
        "{}",
        json!({ "phase": "direct call", "latency_us": quantiles(&latency) })
    );
}

/// Body that makes the stand-in target answer without delay.
const BODY: &str = r#"{"standin":{"work_ms":0}}"#;

fn http_agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(40)))
        .build()
        .new_agent()
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds are valid")
}

fn run_streams(entry: SocketAddr, streams: &[Stream], seconds: u64) -> Vec<Outcome> {
    let running: Vec<_> = streams
        .iter()
        .map(|stream| {
            let stream = stream.clone();
            thread::spawn(move || send_stream(entry, &stream, seconds))
        })
        .collect();
    running
        .into_iter()
        .map(|stream| stream.join().expect("stream thread panicked"))
        .collect()
}

/// Sends requests at a constant rate, whether or not earlier ones have been answered.
fn send_stream(entry: SocketAddr, stream: &Stream, seconds: u64) -> Outcome {
    let total = (stream.rate_per_s * seconds).min(MAX_REQUESTS);
    let next = Arc::new(Mutex::new(0_u64));
    let start = Instant::now();
    let phase = phase_id();
    let senders: Vec<_> = (0..SENDER_THREADS.min(total as usize))
        .map(|_sender| {
            let (stream, next) = (stream.clone(), Arc::clone(&next));
            thread::spawn(move || {
                let http_agent = http_agent();
                let (mut counts, mut latency) = (Counts::default(), histogram());
                loop {
                    let number = {
                        let mut next = next.lock().expect("sender thread panicked");
                        *next += 1;
                        *next - 1
                    };
                    if number >= total {
                        return (counts, latency);
                    }
                    let due =
                        start + Duration::from_secs_f64(number as f64 / stream.rate_per_s as f64);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let url = format!("http://{entry}/v1/services/render/requests");
                    let answer = http_agent
                        .post(&url)
                        .header("authorization", format!("Bearer {}", stream.token))
                        .header("prefer", "wait=30")
                        .header(
                            "oriolereel-repeatable",
                            if stream.at_most_once { "false" } else { "true" },
                        )
                        .header(
                            "idempotency-key",
                            format!("{}-{phase}-{number}", stream.name),
                        )
                        .content_type("application/json")
                        .send(BODY);
                    let status = answer.ok().map(|mut answer| {
                        let whole = answer.body_mut().read_to_vec().is_ok();
                        if whole { answer.status().as_u16() } else { 0 }
                    });
                    match status {
                        Some(200) => {
                            counts.answered += 1;
                            let _recorded = latency.record(due.elapsed().as_micros() as u64);
                        }
                        Some(429) => counts.shed += 1,
                        _ => counts.other += 1,
                    }
                }
            })
        })
        .collect();
    let mut outcome = Outcome {
        name: stream.name,
        counts: Counts::default(),
        latency: histogram(),
    };
    for sender in senders {
        let (counts, latency) = sender.join().expect("sender thread panicked");
        outcome.counts.answered += counts.answered;
        outcome.counts.shed += counts.shed;
        outcome.counts.other += counts.other;
        outcome
            .latency
            .add(&latency)
            .expect("histograms have the same bounds");
    }
    outcome
}

/// Returns a number that makes the idempotency keys of each phase unique.
fn phase_id() -> u64 {
    oriolereel::uplink::incarnation()
}

fn quantiles(latency: &Histogram<u64>) -> serde_json::Value {
    json!({
        "p50": latency.value_at_quantile(0.5),
        "p99": latency.value_at_quantile(0.99),
        "p999": latency.value_at_quantile(0.999),
    })
}

fn report(phase: &str, outcomes: Vec<Outcome>) {
    for outcome in outcomes {
        println!(
            "{}",
            json!({
                "phase": phase, "stream": outcome.name, "answered": outcome.counts.answered,
                "shed": outcome.counts.shed, "other": outcome.counts.other,
                "latency_us": quantiles(&outcome.latency),
            })
        );
    }
}
