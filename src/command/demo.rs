//! `oriolereel demo`

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

/// One line for the list of commands.
pub const ABOUT: &str = "Run the sample requests of both deployments and print their answers";

/// What it does and costs, with an example.
pub const USAGE: &str = "\
Starts the system of `oriolereel dev` on free ports, sends the sample requests of each example, the
not repeatable ones twice through different entries, prints a line for each answer, and exits with 0
when every request was answered once.

Example:
  oriolereel demo";

/// Seconds to wait for each answer.
const WAIT_S: u64 = 60;

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Folders with a configuration and `requests.jsonl`
    #[arg(default_values = ["examples/zucca", "examples/consortium"])]
    pub examples: Vec<PathBuf>,
    /// Control members
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=7))]
    pub members: u64,
    /// Log filter
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

/// What came back for a sample.
#[derive(Debug)]
struct Line {
    request: String,
    text: String,
    answered: bool,
}

/// Counts for the closing line.
#[derive(Debug, Default)]
struct Totals {
    answered: usize,
    lost: usize,
    doubled: u32,
}

/// Runs the command.
///
/// # Errors
/// When the system cannot start, or an answer was lost or doubled.
pub fn run(args: &Args) -> Result<()> {
    telemetry::init("demo", "demo", &args.log, telemetry::Output::Stderr);
    let mut totals = Totals::default();
    for example in &args.examples {
        play(example, args.members, &mut totals)
            .with_context(|| format!("{}", example.display()))?;
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

fn play(example: &Path, members: u64, totals: &mut Totals) -> Result<()> {
    let samples = read(&example.join("requests.jsonl"))?;
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
        .map(|(at, sample)| {
            let (sample, entries) = (sample.clone(), entries.clone());
            thread::spawn(move || send(&sample, &entries, at))
        })
        .collect();
    for (sender, sample) in senders.into_iter().zip(&samples) {
        let line = sender
            .join()
            .map_err(|_panic| anyhow::anyhow!("a sender has failed"))?;
        println!("  {}", line.text);
        totals.answered += usize::from(line.answered);
        totals.lost += usize::from(!line.answered);
        log::debug!("request {} was told", line.request);
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

fn read(path: &Path) -> Result<Vec<Sample>> {
    let text = std::fs::read_to_string(path).with_context(|| format!("{}", path.display()))?;
    let parse = |(at, line): (usize, &str)| {
        serde_json::from_str(line)
            .with_context(|| format!("{}:{}: not a sample request", path.display(), at + 1))
    };
    text.lines()
        .enumerate()
        .filter(|(_at, line)| !line.trim().is_empty())
        .map(parse)
        .collect()
}

/// Sends a sample; one that must run once goes through two entries at the same time.
fn send(sample: &Sample, entries: &[SocketAddr], at: usize) -> Line {
    let first = entries[at % entries.len()];
    if sample.repeatable {
        return one(sample, first);
    }
    let second = entries[(at + 1) % entries.len()];
    let copy = sample.clone();
    let other = thread::spawn(move || one(&copy, second));
    let line = one(sample, first);
    match other.join() {
        Ok(twin) if twin.answered && twin.request == line.request => line,
        _ => Line {
            answered: false,
            ..line
        },
    }
}

fn one(sample: &Sample, entry: SocketAddr) -> Line {
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
                    .map(|gang| names(gang))
                    .unwrap_or_default(),
            );
            Line {
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
            Line {
                request: String::new(),
                text,
                answered: false,
            }
        }
        Err(err) => {
            let text = format!("{} {}: {err}", sample.service, sample.key);
            Line {
                request: String::new(),
                text,
                answered: false,
            }
        }
    }
}

fn names(gang: &[Value]) -> String {
    gang.iter()
        .filter_map(Value::as_str)
        .collect::<Vec<_>>()
        .join(",")
}
