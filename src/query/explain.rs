//! `oriolereel explain`

use serde_json::Value;

use crate::console;
use crate::query::Result;

/// One line for the list of commands.
pub const ABOUT: &str = "Tell why a job runs, waits or has ended";

/// What it does and costs, with an example.
pub const USAGE: &str = "\
Prints the account of each decision on a job: who was ahead, on what share, which shape was kept for
whom, who had to leave. For a job that waits it adds what holds it up at this moment. Of a job of
several steps the latest decisions are kept.

Example:
  oriolereel explain 17
  oriolereel explain 7b004b54be037165";

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    #[command(flatten)]
    pub console: console::Console,
    /// How to print it
    #[arg(long, value_enum, default_value_t)]
    pub format: console::Format,
    /// Number of the request, or the 16 hexadecimal digits of a job of several steps
    pub request: String,
}

/// Runs the command.
///
/// # Errors
/// When there is no such job or control cannot be reached.
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
