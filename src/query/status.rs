//! `oriolereel status`

use serde_json::Value;

use crate::console;
use crate::query::Result;

/// One line for the list of commands.
pub const ABOUT: &str = "Show members, leader, and who lags behind the configuration";

/// What it does and costs, with an example.
pub const USAGE: &str = "\
Asks every control member given, so it also works without a quorum. The leader adds a line for each
process it hears of: the generation in force there, how many it is behind, when it was last heard.
Exits with 4 when no member answers.

Example:
  oriolereel status --control 127.0.0.1:7181,127.0.0.1:7182,127.0.0.1:7183";

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    #[command(flatten)]
    pub console: console::Console,
    /// How to print it
    #[arg(long, value_enum, default_value_t)]
    pub format: console::Format,
}

/// Runs the command.
///
/// # Errors
/// When no member answers.
pub fn run(args: &Args) -> Result<()> {
    let mut members = Vec::new();
    let mut last = None;
    for addr in &args.console.control {
        let one = console::Console {
            control: vec![*addr],
            ..args.console.clone()
        };
        match one.get("/v1/status") {
            Ok(status) => members.push(status),
            Err(err) => {
                eprintln!("{addr}: {err}");
                last = Some(err);
            }
        }
    }
    if let Some(err) = last.filter(|_err| members.is_empty()) {
        return Err(err.into());
    }
    let members = Value::Array(members);
    if args.format == console::Format::Json {
        console::print(args.format, &members, &[])?;
        return Ok(());
    }
    let columns = [
        "member",
        "name",
        "region",
        "role",
        "leader",
        "term",
        "applied",
        "generation",
        "fresh",
    ];
    console::print(args.format, &members, &columns)?;
    let leader = members.as_array().into_iter().flatten().find(|member| {
        member["processes"]
            .as_array()
            .is_some_and(|processes| !processes.is_empty())
    });
    if let Some(leader) = leader {
        println!();
        let columns = [
            "name",
            "role",
            "region",
            "addr",
            "generation",
            "behind",
            "heard_ms_ago",
        ];
        console::print(args.format, &leader["processes"], &columns)?;
    }
    Ok(())
}
