//! The `oriolereel status` subcommand.

use serde_json::Value;

use crate::console;
use crate::query::Result;

/// Summary in the list of subcommands.
pub const ABOUT: &str =
    "Show the members, the leader, and which processes lag behind the configuration";

/// Help text: what the subcommand does and costs, with an example.
pub const USAGE: &str = "\
Queries every control member in --control, so it also works without a quorum. The leader adds a line
for each process that reports to it: the generation in force there, how many generations it is
behind, and the time since its last report. Exits with 4 if no member answers.

Example:
  oriolereel status --control 127.0.0.1:7181,127.0.0.1:7182,127.0.0.1:7183";

/// Arguments of the subcommand.
#[derive(clap::Args, Debug)]
pub struct Args {
    #[command(flatten)]
    pub console: console::Console,
    /// Output format
    #[arg(long, value_enum, default_value_t)]
    pub format: console::Format,
}

/// Runs the subcommand.
///
/// # Errors
/// When no member answers.
pub fn run(args: &Args) -> Result<()> {
    let mut members = Vec::new();
    let mut last_error = None;
    for addr in &args.console.control {
        let console = console::Console {
            control: vec![*addr],
            ..args.console.clone()
        };
        match console.get("/v1/status") {
            Ok(status) => members.push(status),
            Err(err) => {
                eprintln!("{addr}: {err}");
                last_error = Some(err);
            }
        }
    }
    if let Some(err) = last_error.filter(|_err| members.is_empty()) {
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
    let mut rows = members.as_array().into_iter().flatten();
    if let Some(leader) = rows.find(|member| !member["group"].is_null()) {
        println!("\n{}", group_line(&leader["group"]));
    }
    if let Some(line) = evacuation_line(&members) {
        println!("\n{line}");
    }
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

/// Renders the evacuated failure domains, as the member that has applied most of the log knows them.
/// Returns nothing if there are none.
fn evacuation_line(members: &Value) -> Option<String> {
    let members = members.as_array().into_iter().flatten();
    let latest = members.max_by_key(|member| member["applied"].as_u64())?;
    let domains = latest["evacuated"].as_array()?.iter();
    let names: Vec<&str> = domains.filter_map(Value::as_str).collect();
    (!names.is_empty()).then(|| format!("evacuated failure domains: {}", names.join(", ")))
}

/// Renders the size of the control group and the losses that it bears.
fn group_line(group: &Value) -> String {
    let bears = &group["bears"];
    let declared = match &group["declared"] {
        Value::Null => String::new(),
        losses => format!(" of {} declared", losses["instances"]),
    };
    format!(
        "control group: {} voters ({} wanted), {} standbys, bears the loss of {} instances{declared}, \
         {} failure domains, {} regions",
        group["voters"],
        group["wanted"],
        group["standbys"],
        bears["instances"],
        bears["domains"],
        bears["regions"],
    )
}
