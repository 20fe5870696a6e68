//! `oriolereel completions`

use crate::query::Result;

/// One line for the list of commands.
pub const ABOUT: &str = "Print completions for a shell";

/// What it does, with an example.
pub const USAGE: &str = "\
Example:
  oriolereel completions bash > /etc/bash_completion.d/oriolereel";

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// The shell
    pub shell: clap_complete::Shell,
}

/// Runs the command.
///
/// # Errors
/// None; the result makes all commands alike.
pub fn run(args: &Args, mut command: clap::Command) -> Result<()> {
    clap_complete::generate(
        args.shell,
        &mut command,
        "oriolereel",
        &mut std::io::stdout(),
    );
    Ok(())
}
