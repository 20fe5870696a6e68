//! `oriolereel report`

use std::path::PathBuf;

use anyhow::Context;

use crate::console;
use crate::query::Result;
use crate::report::{html, render};

/// One line for the list of commands.
pub const ABOUT: &str = "Report on service-level burn";

/// What it does and costs, with an example.
pub const USAGE: &str = "\
For each service and client account: requests that met the objective, the error budget left, and the
burn rate over 5 minutes, 1 hour, 6 hours and 3 days. A rate of 1 spends the budget exactly by the
end of the objective's window; page someone at 14.4 over 1 hour and 5 minutes together. Then the
jobs that burnt it, and why. Reads from the leader; costs no commit.

Example:
  oriolereel report slo --html burn.html";

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    #[command(flatten)]
    pub console: console::Console,
    #[command(subcommand)]
    pub kind: Kind,
}

/// Kinds of report.
#[derive(clap::Subcommand, Debug)]
pub enum Kind {
    /// Service-level burn by service and client account
    Slo {
        /// How to print it
        #[arg(long, value_enum, default_value_t)]
        format: console::Format,
        /// Also write one self-contained page with charts and a picture of the racks
        #[arg(long)]
        html: Option<PathBuf>,
    },
}

/// Runs the command.
///
/// # Errors
/// When control cannot be reached or the page cannot be written.
pub fn run(args: &Args) -> Result<()> {
    let Kind::Slo { format, html: page } = &args.kind;
    let answer = args.console.get("/v1/burn")?;
    if let Some(path) = page {
        std::fs::write(path, html::page(&answer))
            .with_context(|| format!("--html {}", path.display()))?;
        eprintln!("wrote {}", path.display());
    }
    match format {
        console::Format::Json => println!("{:#}", answer["lines"]),
        console::Format::Table => print!("{}", render::table(&answer)),
    }
    Ok(())
}
