//! The `oriolereel demo` subcommand.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Context;
use serde::Deserialize;
use serde_json::Value;

use crate::command::Result;
use crate::command::dev::TempDir;
use crate::{console, dev, telemetry};

/// Summary in the list of subcommands.
pub const ABOUT: &str = "Run the sample requests of both example deployments and print the answers";

/// Help text: what the subcommand does and costs, with an example.
pub const USAGE: &str = "\
Starts the same system as `oriolereel dev`, on free ports, and sends the sample requests of each
example. A request that is not repeatable is sent twice, through different entries. Prints a line
for each answer and exits with 0 if every request was answered once.

Example:
  oriolereel demo";

/// Maximum time to wait for each answer, in seconds.
const WAIT_S: u64 = 60;

/// Arguments of the subcommand.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Folders that hold a configuration and `requests.jsonl`
    #[arg(default_values = ["examples/zucca", "examples/consortium"])]
    pub examples: Vec<PathBuf>,
    /// Number of control members
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=7))]
    pub members: u64,
    /// Log filter: error, warn, info, debug, or MODULE=LEVEL
    #[arg(long, env = "ORIOLEREEL_LOG", default_value = "error")]
    pub log: String,
}

/// A sample request.
#[derive(Clone, Debug, Deserialize)]
struct Sample {
    token: String,
    service: String,
    key: String,
    repeatable: bool,
    body: Value,
}

/// The result of a sample request, as a line of output.
#[derive(Debug)]
struct Outcome {
    request: String,
    text: String,
    answered: bool,
}

/// Counts for the last line of output.
#[derive(Debug, Default)]
struct Totals {
    answered: usize,
    /// Number of requests without the expected answer.
    lost: usize,
    /// Number of runs after the first of requests that are not repeatable.
    doubled: u32,
}

/// Runs the subcommand.
///
/// # Errors
/// When the system cannot start, a request was not answered, or one that is not repeatable ran
/// again.
pub fn run(args: &Args) -> Result<()> {
    telemetry::init("demo", "demo", &args.log, telemetry::Output::Stderr);
    let mut totals = Totals::default();
    for example in &args.examples {
        run_example(example, args.members, &mut totals)
            .with_context(|| format!("example {}", example.display()))?;
    }
    println!(
        "{} answered, {} lost, {} doubled",
        totals.answered, totals.lost, totals.doubled
    );
    if totals.lost > 0 || totals.doubled > 0 {
        anyhow::bail!("not every request was answered once");
    }
    Ok(())
}

fn run_example(example: &Path, members: u64, totals: &mut Totals) -> Result<()> {
    let samples = read_samples(&example.join("requests.jsonl"))?;
    let temp_dir = TempDir::new("demo")?;
    let system = dev::System::start(&dev::Options {
        config: example,
        data: temp_dir.path(),
        members,
        fixed_ports: false,
    })?;
    println!("{}", example.display());
    let entries: Vec<SocketAddr> = system.entries.values().map(|entry| entry.http).collect();
    let senders: Vec<_> = samples
        .iter()
        .enumerate()
        .map(|(index, sample)| {
            let (sample, entries) = (sample.clone(), entries.clone());
            thread::spawn(move || send(&sample, &entries, index))
        })
        .collect();
    for (sender, sample) in senders.into_iter().zip(&samples) {
        let outcome = sender
            .join()
            .map_err(|_panic| anyhow::anyhow!("a sender thread panicked"))?;
        println!("  {}", outcome.text);
        totals.answered += usize::from(outcome.answered);
        totals.lost += usize::from(!outcome.answered);
        log::debug!("request {} finished", outcome.request);
        if !sample.repeatable {
            let body = sample.body.to_string();
            let runs: u32 = system
                .targets
                .values()
                .map(|target| target.runs(&body))
                .sum();
            totals.doubled += runs.saturating_sub(1);
        }
    }
    system.stop();
    Ok(())
}

fn read_samples(path: &Path) -> Result<Vec<Sample>> {
    let text =
        std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    let parse = |(index, line): (usize, &str)| {
        serde_json::from_str(line)
            .with_context(|| format!("{}:{}: invalid sample request", path.display(), index + 1))
    };
    text.lines()
        .enumerate()
        .filter(|(_index, line)| !line.trim().is_empty())
        .map(parse)
        .collect()
}

/// Sends a sample request. One that is not repeatable is sent through two entries at once, which
/// must return the same request number.
fn send(sample: &Sample, entries: &[SocketAddr], index: usize) -> Outcome {
    let first = entries[index % entries.len()];
    if sample.repeatable {
        return send_to(sample, first);
    }
    let second = entries[(index + 1) % entries.len()];
    let copy = sample.clone();
    let other = thread::spawn(move || send_to(&copy, second));
    let outcome = send_to(sample, first);
    match other.join() {
        Ok(duplicate) if duplicate.answered && duplicate.request == outcome.request => outcome,
        _ => Outcome {
            answered: false,
            ..outcome
        },
    }
}

fn send_to(sample: &Sample, entry: SocketAddr) -> Outcome {
    let call = console::Call {
        method: "POST",
        url: format!("http://{entry}/v1/services/{}/requests", sample.service),
        token: &sample.token,
        headers: vec![
            ("content-type", "application/json".to_owned()),
            ("idempotency-key", sample.key.clone()),
            ("oriolereel-repeatable", sample.repeatable.to_string()),
            ("prefer", format!("wait={WAIT_S}")),
        ],
        body: Some(sample.body.to_string().into_bytes()),
    };
    let start = Instant::now();
    let result = console::send(&call, Duration::from_secs(WAIT_S + 10));
    let millis = start.elapsed().as_millis();
    match result {
        Ok(answer) if answer.status == 200 => {
            let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            let gang = body["gang"].as_array().map_or(0, Vec::len);
            let request = body["request"].as_str().unwrap_or("?").to_owned();
            let text = format!(
                "request {request:>3} {:18} {:18} gang of {gang} on {:24} answered in {millis} ms",
                body["account"].as_str().unwrap_or("?"),
                sample.service,
                body["gang"]
                    .as_array()
                    .map(|gang| join_names(gang))
                    .unwrap_or_default(),
            );
            Outcome {
                request,
                text,
                answered: true,
            }
        }
        Ok(answer) => {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let text = format!(
                "{} {}: status {} {text}",
                sample.service, sample.key, answer.status
            );
            Outcome {
                request: String::new(),
                text,
                answered: false,
            }
        }
        Err(err) => {
            let text = format!("{} {}: {err}", sample.service, sample.key);
            Outcome {
                request: String::new(),
                text,
                answered: false,
            }
        }
    }
}

fn join_names(gang: &[Value]) -> String {
    gang.iter()
        .filter_map(Value::as_str)
        .collect::<Vec<_>>()
        .join(",")
}
