//! `oriolereel diff`

use std::path::PathBuf;

use crate::command::apply;
use crate::console;
use crate::query::Result;

/// One line for the list of commands.
pub const ABOUT: &str = "Tell what `apply` would change";

/// What it does and costs, with an example.
pub const USAGE: &str = "\
Checks the files as `apply` does, the joint feasibility of all guarantees included, and prints a line
for each item that differs from the configuration in force. Changes nothing.

Example:
  oriolereel diff examples/zucca";

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    #[command(flatten)]
    pub console: console::Console,
    /// File or folder
    pub path: PathBuf,
}

/// Runs the command.
///
/// # Errors
/// When the files are faulty or control cannot be reached.
pub fn run(args: &Args) -> Result<()> {
    let (console, path) = (args.console.clone(), args.path.clone());
    apply::run(&apply::Args {
        console,
        path,
        dry_run: true,
    })
}
