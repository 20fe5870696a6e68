//! The `oriolereel apply` subcommand.

use std::path::PathBuf;

use anyhow::Context;
use serde_json::json;

use crate::command::Result;
use crate::config::parse;
use crate::console;

/// Summary in the list of subcommands.
pub const ABOUT: &str = "Apply a configuration, all of it or nothing";

/// Help text: what the subcommand does and costs, with an example.
pub const USAGE: &str = "\
Reads a .toml file, or every .toml file of a folder, checks them as one configuration and sends it
to control. Reports every error with file, line and field; if there is any, nothing is applied.

A configuration has a generation number. One with a higher number replaces the configuration in
force. The same number with the same content is a resend and gets the first answer again. The same
number with other content is refused, and the message shows both hashes. Costs one commit of the
items that changed.

Example:
  oriolereel apply examples/zucca --dry-run && oriolereel apply examples/zucca";

/// Arguments of the subcommand.
#[derive(clap::Args, Debug)]
pub struct Args {
    #[command(flatten)]
    pub console: console::Console,
    /// Configuration file or folder
    pub path: PathBuf,
    /// Only print what would change
    #[arg(long)]
    pub dry_run: bool,
}

/// Runs the subcommand.
///
/// # Errors
/// When the files are invalid or control refuses them.
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
        .context("cannot apply the configuration")?;
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
