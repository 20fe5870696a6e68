//! Load on a whole system on loopback: overhead against a direct call, and overload by one account.
//!
//! `cargo run --release --example load [-- --seconds 5]` starts three control members, an entry, an
//! agent and a stand-in target in this process, and prints one JSON line for each phase. Bounded in
//! count and time; it sends to loopback only.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use clap::Parser;
use hdrhistogram::Histogram;
use oriolereel::command::dev::Scratch;
use oriolereel::{dev, telemetry};
use serde_json::json;

/// Most requests of a phase.
const MAX_REQUESTS: u64 = 20_000;

/// Threads that send.
const SENDERS: usize = 48;

/// Requests a second of the account that keeps quiet.
const QUIET_RATE: u64 = 10;

#[derive(Parser)]
struct Args {
    /// Seconds of each phase
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=30))]
    seconds: u64,
}

/// One stream of requests at an even rate (open loop).
#[derive(Clone)]
struct Stream {
    name: &'static str,
    token: &'static str,
    rate: u64,
    once: bool,
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
    /// Microseconds from when a request was due.
    latency: Histogram<u64>,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    telemetry::init("load", "load", "error", telemetry::Output::Stderr);
    let scratch = Scratch::new("load")?;
    let dir = scratch.path().join("config");
    std::fs::create_dir_all(&dir)?;
    std::fs::write(dir.join("load.toml"), configuration())?;
    let system = dev::System::start(&dev::Options {
        config: &dir,
        data: scratch.path(),
        members: 3,
        fixed_ports: false,
    })?;
    let entry = system.entries.values().next().map(|entry| entry.http);
    let target = system.targets.values().next().map(|target| target.addr);
    let (Some(entry), Some(target)) = (entry, target) else {
        anyhow::bail!("nothing started")
    };
    let seconds = args.seconds;
    direct(target);
    let quiet = |once| Stream {
        name: "quiet",
        token: "quiet",
        rate: QUIET_RATE,
        once,
    };
    report("alone, repeatable", run(entry, &[quiet(false)], seconds));
    report("alone, at most once", run(entry, &[quiet(true)], seconds));
    let mut peak = 0.0_f64;
    for rate in [50, 100, 200, 400, 800] {
        let flood = Stream {
            name: "flood",
            token: "flood",
            rate,
            once: false,
        };
        let outcomes = run(entry, &[flood], seconds);
        peak = peak.max(outcomes[0].counts.answered as f64 / seconds as f64);
        report(&format!("throughput at {rate}/s"), outcomes);
    }
    let rate = (peak * 2.0) as u64;
    let flood = Stream {
        name: "flood",
        token: "flood",
        rate,
        once: false,
    };
    let outcomes = run(entry, &[flood, quiet(false)], seconds);
    let goodput: u64 = outcomes.iter().map(|outcome| outcome.counts.answered).sum();
    println!(
        "{}",
        json!({ "peak_per_s": peak, "offered_per_s": rate,
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

/// Calls to the target without the system between.
fn direct(target: SocketAddr) {
    let agent = agent();
    let url = format!("http://{target}/v1/run/render");
    let mut latency = histogram();
    for _call in 0..300 {
        let start = Instant::now();
        let sent = agent.post(&url).content_type("application/json").send(BODY);
        if sent.is_ok_and(|mut answer| answer.body_mut().read_to_vec().is_ok()) {
            let _recorded = latency.record(start.elapsed().as_micros() as u64);
        }
    }
    println!(
        "{}",
        json!({ "phase": "direct call", "latency_us": quantiles(&latency) })
    );
}

/// The target answers at once.
const BODY: &str = r#"{"standin":{"work_ms":0}}"#;

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(40)))
        .build()
        .new_agent()
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("fixed bounds")
}

fn run(entry: SocketAddr, streams: &[Stream], seconds: u64) -> Vec<Outcome> {
    let running: Vec<_> = streams
        .iter()
        .map(|stream| {
            let stream = stream.clone();
            thread::spawn(move || send(entry, &stream, seconds))
        })
        .collect();
    running
        .into_iter()
        .map(|stream| stream.join().expect("a stream ends"))
        .collect()
}

/// Sends at an even rate whether or not answers have come.
fn send(entry: SocketAddr, stream: &Stream, seconds: u64) -> Outcome {
    let total = (stream.rate * seconds).min(MAX_REQUESTS);
    let next = Arc::new(Mutex::new(0_u64));
    let start = Instant::now();
    let run = clock();
    let senders: Vec<_> = (0..SENDERS.min(total as usize))
        .map(|_sender| {
            let (stream, next) = (stream.clone(), Arc::clone(&next));
            thread::spawn(move || {
                let agent = agent();
                let (mut counts, mut latency) = (Counts::default(), histogram());
                loop {
                    let number = {
                        let mut next = next.lock().expect("no sender panics");
                        *next += 1;
                        *next - 1
                    };
                    if number >= total {
                        return (counts, latency);
                    }
                    let due = start + Duration::from_secs_f64(number as f64 / stream.rate as f64);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let url = format!("http://{entry}/v1/services/render/requests");
                    let answer = agent
                        .post(&url)
                        .header("authorization", format!("Bearer {}", stream.token))
                        .header("prefer", "wait=30")
                        .header(
                            "oriolereel-repeatable",
                            if stream.once { "false" } else { "true" },
                        )
                        .header("idempotency-key", format!("{}-{run}-{number}", stream.name))
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
        let (counts, latency) = sender.join().expect("a sender ends");
        outcome.counts.answered += counts.answered;
        outcome.counts.shed += counts.shed;
        outcome.counts.other += counts.other;
        outcome.latency.add(&latency).expect("the same bounds");
    }
    outcome
}

/// Distinguishes the keys of different phases.
fn clock() -> u64 {
    oriolereel::clock::incarnation()
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
