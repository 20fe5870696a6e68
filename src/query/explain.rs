//! The `oriolereel explain` subcommand.

use serde_json::Value;

use crate::console;
use crate::query::Result;

/// Summary in the list of subcommands.
pub const ABOUT: &str = "Explain why a job is running, waiting or finished";

/// Help text: what the subcommand does and costs, with an example.
pub const USAGE: &str = "\
Prints the reason for each decision about a job: which account came first and with which share,
which shape was kept for which account, and which jobs were preempted. For a waiting job it also
prints what the job is waiting for now. For a job of several steps only the latest decisions are
kept.

Example:
  oriolereel explain 17
  oriolereel explain 7b004b54be037165";

/// Arguments of the subcommand.
#[derive(clap::Args, Debug)]
pub struct Args {
    #[command(flatten)]
    pub console: console::Console,
    /// Output format
    #[arg(long, value_enum, default_value_t)]
    pub format: console::Format,
    /// Number of the request, or the 16 hexadecimal digits of a job of several steps
    pub request: String,
}

/// Runs the subcommand.
///
/// # Errors
/// When the job does not exist or control cannot be reached.
pub fn run(args: &Args) -> Result<()> {
    let answer = args
        .console
        .get(&format!("/v1/jobs/{}/decisions", args.request))?;
    if args.format == console::Format::Json {
        println!("{answer:#}");
        return Ok(());
    }
    let text = |value: &Value| value.as_str().unwrap_or("?").to_owned();
    println!(
        "request {} of {} ({}): {}",
        args.request,
        text(&answer["account"]),
        text(&answer["service"]),
        text(&answer["state"])
    );
    if let Some(dropped) = answer["dropped"].as_u64().filter(|dropped| *dropped > 0) {
        println!("  ({dropped} earlier decisions are not kept)");
    }
    let submitted_ms = answer["submitted_ms"].as_u64().unwrap_or(0);
    for decision in answer["decisions"].as_array().into_iter().flatten() {
        let after_ms = decision["at_ms"]
            .as_u64()
            .unwrap_or(0)
            .saturating_sub(submitted_ms);
        let seconds = after_ms as f64 / 1_000.0;
        println!("  +{seconds:.3} s  {}", text(&decision["reason"]));
    }
    Ok(())
}
