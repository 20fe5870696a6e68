//! `oriolereel apply`

use std::path::PathBuf;

use anyhow::Context;
use serde_json::json;

use crate::command::Result;
use crate::config::parse;
use crate::console;

/// One line for the list of commands.
pub const ABOUT: &str = "Put a configuration in force, entirely or not at all";

/// What it does and costs, with an example.
pub const USAGE: &str = "\
Reads a .toml file, or every .toml file of a folder, checks them all as one configuration and sends
it to control. Every fault is told with file, line and field, and then nothing is applied.

A configuration carries a generation number. A higher one replaces the one in force; the same one
with the same content is a resend and gets the first answer again; the same one with other content
is refused, and both hashes are told. Costs one commit of what has changed.

Example:
  oriolereel apply examples/zucca --dry-run && oriolereel apply examples/zucca";

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    #[command(flatten)]
    pub console: console::Console,
    /// File or folder
    pub path: PathBuf,
    /// Only tell what would change
    #[arg(long)]
    pub dry_run: bool,
}

/// Runs the command.
///
/// # Errors
/// When the files are faulty or control refuses them.
pub fn run(args: &Args) -> Result<()> {
    let sources = parse::read(&args.path)?;
    parse::parse(sources.clone()).map_err(|diagnostics| parse::to_error(&diagnostics))?;
    let path = if args.dry_run {
        "/v1/config?dry_run=true"
    } else {
        "/v1/config"
    };
    let answer = args
        .console
        .post(path, &json!({ "files": sources }))
        .context("apply")?;
    let changes = answer["changes"].as_array().cloned().unwrap_or_default();
    for change in &changes {
        println!("{}", change.as_str().unwrap_or_default());
    }
    let state = match (args.dry_run, answer["resent"] == true) {
        (true, _) => "would be put in force",
        (false, true) => "is in force already",
        (false, false) => "is in force",
    };
    let hash = answer["hash"].as_str().unwrap_or_default();
    println!(
        "generation {} ({hash}) {state}, {} changes",
        answer["generation"],
        changes.len()
    );
    Ok(())
}
