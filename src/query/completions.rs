//! The `oriolereel completions` subcommand.

use crate::query::Result;

/// Summary in the list of subcommands.
pub const ABOUT: &str = "Print a completion script for a shell";

/// Help text with an example.
pub const USAGE: &str = "\
Example:
  oriolereel completions bash > /etc/bash_completion.d/oriolereel";

/// Arguments of the subcommand.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Shell to complete for
    pub shell: clap_complete::Shell,
}

/// Runs the subcommand.
///
/// # Errors
/// Never; it returns a result because all subcommands do.
pub fn run(args: &Args, mut command: clap::Command) -> Result<()> {
    clap_complete::generate(
        args.shell,
        &mut command,
        "oriolereel",
        &mut std::io::stdout(),
    );
    Ok(())
}
