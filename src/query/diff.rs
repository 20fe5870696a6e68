//! The `oriolereel diff` subcommand.

use std::path::PathBuf;

use crate::command::apply;
use crate::console;
use crate::query::Result;

/// Summary in the list of subcommands.
pub const ABOUT: &str = "Show what `apply` would change";

/// Help text: what the subcommand does and costs, with an example.
pub const USAGE: &str = "\
Checks the files like `apply`, including whether all guarantees can be met together, and prints a
line for each item that differs from the configuration in force. Changes nothing.

Example:
  oriolereel diff examples/zucca";

/// Arguments of the subcommand.
#[derive(clap::Args, Debug)]
pub struct Args {
    #[command(flatten)]
    pub console: console::Console,
    /// Configuration file or folder
    pub path: PathBuf,
}

/// Runs the subcommand.
///
/// # Errors
/// When the files are invalid or control cannot be reached.
pub fn run(args: &Args) -> Result<()> {
    let (console, path) = (args.console.clone(), args.path.clone());
    apply::run(&apply::Args {
        console,
        path,
        dry_run: true,
    })
}
